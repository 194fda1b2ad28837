"""Structured logging: one line of key=value pairs for each event.

Separate from :mod:`foxtailworks.observe`, so that small processes need not
load the metrics.

Example::

    with logs.logging_to(sys.stderr, "info"):
        logs.Events("edge").info("started", host="edge-1")
"""

from foxtailworks.logs._events import Events
from foxtailworks.logs._events import format_fields
from foxtailworks.logs._events import logging_to
from foxtailworks.logs._pipe import Pipe
from foxtailworks.logs._rate_limiter import RateLimiter

__all__ = ["Events", "Pipe", "RateLimiter", "format_fields", "logging_to"]
