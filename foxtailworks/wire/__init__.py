"""Typed messages to CBOR and back.

A :class:`Codec` knows a closed set of frozen dataclasses, each under a
number.  What isn't one of them, whole and well-typed, is refused with
``MESSAGE_MALFORMED``.

Example::

    codec = wire.Codec({1: Ping, 2: Pong}, limit=1200)
    codec.decode(codec.encode(Ping(seq=7)))
"""

from foxtailworks.wire._codec import Codec

__all__ = ["Codec"]
