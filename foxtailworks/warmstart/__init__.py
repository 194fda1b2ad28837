"""Serving before a program has loaded: early sockets and a saved reply.

A start takes a quarter of a second of processor time, nearly all of it for
imports.  This package loads in a few milliseconds.  It binds a socket first,
so that datagrams wait in it instead of being lost, and answers those that a
reply was saved for between two imports.

Example::

    early = warmstart.bind(ip, port)
    responder = warmstart.Responder(early, warmstart.load(folder))
    warmstart.import_modules(names, responder.answer_waiting)
"""

from foxtailworks.warmstart._imports import COORDINATOR_MODULES
from foxtailworks.warmstart._imports import import_modules
from foxtailworks.warmstart._reply import FILE_NAME
from foxtailworks.warmstart._reply import granted_parts
from foxtailworks.warmstart._reply import load
from foxtailworks.warmstart._reply import pack
from foxtailworks.warmstart._reply import Reply
from foxtailworks.warmstart._reply import requested_parts
from foxtailworks.warmstart._reply import split
from foxtailworks.warmstart._responder import bind
from foxtailworks.warmstart._responder import BUFFER_BYTES
from foxtailworks.warmstart._responder import Responder
from foxtailworks.warmstart._settings import peek

__all__ = [
    "BUFFER_BYTES",
    "COORDINATOR_MODULES",
    "FILE_NAME",
    "Reply",
    "Responder",
    "bind",
    "granted_parts",
    "import_modules",
    "load",
    "pack",
    "peek",
    "requested_parts",
    "split",
]
