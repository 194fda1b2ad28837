"""Incremental encoding of route tables."""

from collections import abc
import dataclasses

import xxhash

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks.steering import _routes
from foxtailworks import wire

MAX_TABLE_BYTES = 4 << 20
"""Largest encoded table; equal to the limit of the messages with one."""
MAX_REVISIONS = 64
"""Most recent revisions to which changes are known."""


@dataclasses.dataclass(frozen=True, slots=True)
class _EncodedTable:
    """A table whose routes are encoded one by one."""

    revision: int
    """Revision of the table."""
    routes: tuple[bytes, ...]
    """Encoded routes; a route decoded before is found by its bytes."""
    idle_timeout_ms: int
    """Idle timeout of flows in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _TableChanges:
    """Difference between the tables of two revisions."""

    base: int
    """Revision of the table that the changes apply to."""
    revision: int
    """Revision of the table that results."""
    removed: tuple[ids.Address, ...]
    """Destinations whose routes were removed."""
    routes: tuple[bytes, ...]
    """Encoded routes that are new or have changed."""
    idle_timeout_ms: int
    """Idle timeout of flows in milliseconds."""
    digest: int
    """Digest of the routes of the table that results."""


_TABLES = wire.Codec(
    {1: _EncodedTable, 2: _TableChanges}, limit=MAX_TABLE_BYTES
)
_ROUTES = wire.Codec({1: _routes.Route}, limit=MAX_TABLE_BYTES)

_Encoded = dict[ids.Address, bytes]
# Encoded routes by destination.


def _digest(routes: _Encoded) -> int:
    """Return a digest of encoded routes in any order."""
    return xxhash.xxh64_intdigest(b"".join(sorted(routes.values())))


class TableEncoder:
    """Encodes the latest table, whole or as changes to an earlier revision.

    A table has a thousand routes and more, of which operators change a few
    at a time, up to several times a second.

    Example::

        encoder = TableEncoder()
        encoder.put(table)
        encoder.encode()
        encoder.encode(base=host_revision)
    """

    def __init__(self) -> None:
        self._table = _routes.RouteTable(0, (), 0)
        self._encoded: dict[_routes.Route, bytes] = {}
        self._routes: _Encoded = {}
        self._changed: dict[int, frozenset[ids.Address]] = {}
        self._whole = b""

    @property
    def revision(self) -> int:
        """Revision of the latest table; 0 before the first one."""
        return self._table.revision

    def put(self, table: _routes.RouteTable) -> None:
        """Make ``table`` the latest one."""
        old_encoded, old_routes = self._encoded, self._routes
        self._encoded = {
            item: old_encoded.get(item) or _ROUTES.encode(item)
            for item in table.routes
        }
        self._routes = {
            item.destination: data for item, data in self._encoded.items()
        }
        destinations = old_routes.keys() | self._routes.keys()
        self._changed[table.revision] = frozenset(
            item
            for item in destinations
            if old_routes.get(item) != self._routes.get(item)
        )
        if len(self._changed) > MAX_REVISIONS:
            del self._changed[next(iter(self._changed))]
        self._table = table
        self._whole = _TABLES.encode(
            _EncodedTable(
                table.revision,
                tuple(self._routes.values()),
                table.idle_timeout_ms,
            )
        )

    def knows(self, revision: int) -> bool:
        """Return whether changes to the table of a revision are known.

        That needs the very table: one between two known revisions may have
        other routes than both.
        """
        return revision in self._changed

    def encode(self, base: int = 0) -> bytes:
        """Return the latest table.

        :param base: revision whose table the reader has; 0 without one
        """
        if not self.knows(base):
            return self._whole
        changed = frozenset[ids.Address]().union(
            *(
                destinations
                for revision, destinations in self._changed.items()
                if revision > base
            )
        )
        return _TABLES.encode(
            _TableChanges(
                base,
                self._table.revision,
                tuple(sorted(changed - self._routes.keys())),
                tuple(
                    self._routes[i]
                    for i in sorted(changed)
                    if (i in self._routes)
                ),
                self._table.idle_timeout_ms,
                _digest(self._routes),
            )
        )


class TableDecoder:
    """Decodes tables, reusing the routes of the last one.

    Example::

        decoder = TableDecoder()
        table = decoder.decode(data)
    """

    def __init__(self) -> None:
        self._revision = 0
        self._encoded: _Encoded = {}
        self._decoded: dict[bytes, _routes.Route] = {}

    def decode(self, data: bytes) -> _routes.RouteTable | None:
        """Return the decoded table.

        :returns: None for changes to another table than the last one
        :raises FoxtailError: ``MESSAGE_MALFORMED``, ``CONTRACT_INVALID``;
            the last table then stays
        """
        encoded = _TABLES.decode(data)
        if isinstance(encoded, _EncodedTable):
            return self._replace(encoded, self._decode_routes(encoded.routes))
        if encoded.base != self._revision:
            return None
        return self._apply(encoded)

    def _apply(self, changes: _TableChanges) -> _routes.RouteTable:
        """Apply changes to the last table."""
        routes = dict(self._encoded)
        for destination in changes.removed:
            routes.pop(destination, None)
        for data, route in self._decode_routes(changes.routes).items():
            routes[route.destination] = data
        if _digest(routes) != changes.digest:
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "changes don't lead to the table that they name",
                base=changes.base,
                revision=changes.revision,
            )
        decoded = self._decode_routes(routes.values())
        return self._replace(changes, decoded)

    def _decode_routes(
        self, encoded: abc.Iterable[bytes]
    ) -> dict[bytes, _routes.Route]:
        """Return decoded routes, those of the last table without decoding."""
        old = self._decoded
        return {
            item: old.get(item) or _ROUTES.decode(item) for item in encoded
        }

    def _replace(
        self,
        source: _EncodedTable | _TableChanges,
        decoded: dict[bytes, _routes.Route],
    ) -> _routes.RouteTable:
        """Make a table the last one and return it."""
        table = _routes.RouteTable(
            source.revision, tuple(decoded.values()), source.idle_timeout_ms
        )
        self._revision = source.revision
        self._decoded = decoded
        self._encoded = {
            item.destination: data for data, item in decoded.items()
        }
        return table
