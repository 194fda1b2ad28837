"""Route tables on the wire, cheap where little has changed."""

import dataclasses

from foxtailworks.steering import _routes
from foxtailworks import wire

MAX_TABLE_BYTES = 4 << 20
"""As for the messages that carry a table."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Packed:
    """A table whose routes are encoded one by one."""

    revision: int
    """As in the table."""
    routes: tuple[bytes, ...]
    """Each route by itself, so that a known one is known by its bytes."""
    idle_timeout_ms: int
    """As in the table."""


_TABLES = wire.Codec({1: _Packed}, limit=MAX_TABLE_BYTES)
_ROUTES = wire.Codec({1: _routes.Route}, limit=MAX_TABLE_BYTES)


class TableCodec:
    """Writes and reads tables; routes as in its last table cost little.

    Operators change a few routes at a time and may do so several times a
    second, while a table has a thousand and more.

    Example::

        codec = TableCodec()
        assert codec.decode(codec.encode(table)) == table
    """

    def __init__(self) -> None:
        self._written: dict[_routes.Route, bytes] = {}
        self._read: dict[bytes, _routes.Route] = {}

    def encode(self, table: _routes.RouteTable) -> bytes:
        """Return a table for the wire."""
        old = self._written
        self._written = {
            item: old.get(item) or _ROUTES.encode(item)
            for item in table.routes
        }
        packed = _Packed(
            table.revision,
            tuple(self._written.values()),
            table.idle_timeout_ms,
        )
        return _TABLES.encode(packed)

    def decode(self, data: bytes) -> _routes.RouteTable:
        """Read a table from the wire.

        :raises FoxtailError: ``MESSAGE_MALFORMED``, ``CONTRACT_INVALID``
        """
        packed: _Packed = _TABLES.decode(data)
        old = self._read
        read = {
            item: old.get(item) or _ROUTES.decode(item)
            for item in packed.routes
        }
        table = _routes.RouteTable(
            packed.revision,
            tuple(read[item] for item in packed.routes),
            packed.idle_timeout_ms,
        )
        self._read = read
        return table
