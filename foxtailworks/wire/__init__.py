"""Encoding of typed messages as CBOR.

A :class:`Codec` has a closed set of frozen dataclasses, each with a number.
Anything but a complete and well-typed message of one of them is rejected
with ``MESSAGE_MALFORMED``.

Example::

    codec = wire.Codec({1: Ping, 2: Pong}, limit=1200)
    codec.decode(codec.encode(Ping(seq=7)))
"""

from foxtailworks.wire._codec import Codec

__all__ = ["Codec"]
