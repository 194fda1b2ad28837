"""Incremental encoding of route tables."""

import dataclasses

from foxtailworks.steering import _routes
from foxtailworks import wire

MAX_TABLE_BYTES = 4 << 20
"""Largest encoded table; equal to the limit of the messages with one."""


@dataclasses.dataclass(frozen=True, slots=True)
class _EncodedTable:
    """A table whose routes are encoded one by one."""

    revision: int
    """Revision of the table."""
    routes: tuple[bytes, ...]
    """Encoded routes; a route decoded before is found by its bytes."""
    idle_timeout_ms: int
    """Idle timeout of flows in milliseconds."""


_TABLES = wire.Codec({1: _EncodedTable}, limit=MAX_TABLE_BYTES)
_ROUTES = wire.Codec({1: _routes.Route}, limit=MAX_TABLE_BYTES)


class TableCodec:
    """Encodes and decodes route tables, reusing routes of the last one.

    A table has a thousand routes and more, of which operators change a few
    at a time, up to several times a second.

    Example::

        codec = TableCodec()
        assert codec.decode(codec.encode(table)) == table
    """

    def __init__(self) -> None:
        self._encoded_routes: dict[_routes.Route, bytes] = {}
        self._decoded_routes: dict[bytes, _routes.Route] = {}

    def encode(self, table: _routes.RouteTable) -> bytes:
        """Return the encoded table."""
        old = self._encoded_routes
        self._encoded_routes = {
            item: old.get(item) or _ROUTES.encode(item)
            for item in table.routes
        }
        encoded = _EncodedTable(
            table.revision,
            tuple(self._encoded_routes.values()),
            table.idle_timeout_ms,
        )
        return _TABLES.encode(encoded)

    def decode(self, data: bytes) -> _routes.RouteTable:
        """Return the decoded table.

        :raises FoxtailError: ``MESSAGE_MALFORMED``, ``CONTRACT_INVALID``
        """
        encoded: _EncodedTable = _TABLES.decode(data)
        old = self._decoded_routes
        decoded = {
            item: old.get(item) or _ROUTES.decode(item)
            for item in encoded.routes
        }
        table = _routes.RouteTable(
            encoded.revision,
            tuple(decoded[item] for item in encoded.routes),
            encoded.idle_timeout_ms,
        )
        self._decoded_routes = decoded
        return table
