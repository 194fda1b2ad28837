"""One line of key=value pairs for each event.

Apart from the metrics, so that a small process needn't load these.

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
