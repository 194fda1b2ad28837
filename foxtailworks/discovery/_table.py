"""Table of instances with indexes by identity, id and address."""

from collections import abc
import dataclasses

from foxtailworks.discovery import _instance
from foxtailworks import ids

Key = tuple[_instance.InstanceId, ids.Incarnation]


@dataclasses.dataclass(slots=True)
class Row:
    """One instance in the table."""

    instance: _instance.Instance
    """Latest state of the instance."""
    last_heartbeat_at: float
    """Time of its last heartbeat to any coordinator, monotonic seconds."""
    is_live: bool
    """Whether its lease hasn't expired."""
    version: int
    """Version of the registry when this row last changed."""
    grace_s: float = 0.0
    """Time by which its lease is longer, since a list told of the heartbeat
    and a later one may not be listed yet."""
    heard_at: float = float("-inf")
    """Time of its last heartbeat to this coordinator itself."""
    digest_part: int = 0
    """Its part of the registry's digest; 0 while it isn't live."""
    withdrawn_at: float = float("-inf")
    """Time of a withdrawal that may be one of an earlier start."""
    has_earlier: bool = False
    """Whether earlier incarnations of the id are known."""

    def took_address_of(self, earlier: "Row") -> bool:
        """Return whether this later start runs at the address of another id.

        Their clocks may differ, so that the order of their starts alone
        doesn't show it.
        """
        return (
            self.is_live
            and self.instance.state is not _instance.InstanceState.GONE
            and self.last_heartbeat_at >= earlier.last_heartbeat_at
        )


class Table:
    """All rows, indexed so that a heartbeat needs no scan."""

    def __init__(self) -> None:
        self._rows: dict[Key, Row] = {}
        self._by_name: dict[_instance.InstanceId, set[Key]] = {}
        self._by_address: dict[ids.Address, set[Key]] = {}
        self._by_token: dict[_instance.ContentToken, Row] = {}
        self._by_change: dict[Key, Row] = {}
        # All rows with a version, in order of their last change.

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def get(self, key: Key) -> Row | None:
        """Return the row of an identity; None when there is none."""
        return self._rows.get(key)

    def with_token(self, token: _instance.ContentToken) -> Row | None:
        """Return the row whose instance has a token; None without one."""
        return self._by_token.get(token)

    def rows(self) -> abc.Iterable[Row]:
        """Return all rows in order of insertion."""
        return self._rows.values()

    def put_version(self, row: Row, version: int) -> None:
        """Record that a row has just changed.

        :param version: version of the registry, above all earlier ones
        """
        key = row.instance.key
        row.version = version
        self._by_change.pop(key, None)
        self._by_change[key] = row

    def changed_since(self, version: int) -> abc.Iterator[Row]:
        """Yield the rows that changed after a version, the latest first."""
        for row in reversed(self._by_change.values()):
            if row.version <= version:
                return
            yield row

    def newest(self, name: _instance.InstanceId) -> Row | None:
        """Return the row of an id's latest incarnation."""
        keys = self._by_name.get(name)
        if not keys:
            return None
        return self._rows[max(keys, key=lambda key: key[1])]

    def is_related_to_others(self, instance: _instance.Instance) -> bool:
        """Return whether other rows have the id or address of an instance."""
        names = self._by_name.get(instance.instance)
        addresses = self._by_address.get(instance.address)
        return not (
            (names is None or names == {instance.key})
            and (addresses is None or addresses == {instance.key})
        )

    def related(self, instance: _instance.Instance) -> tuple[Row, ...]:
        """Return the rows with the id or the address of an instance."""
        keys = self._by_name.get(instance.instance, set()) | (
            self._by_address.get(instance.address, set())
        )
        return tuple(self._rows[key] for key in keys)

    def add(self, row: Row) -> None:
        """Add a row and index it."""
        key = row.instance.key
        self._rows[key] = row
        self._by_name.setdefault(key[0], set()).add(key)
        self._by_address.setdefault(row.instance.address, set()).add(key)
        self._by_token[row.instance.content_token()] = row

    def replace(self, row: Row, instance: _instance.Instance) -> None:
        """Replace the instance of a row by a newer state of it."""
        if instance.address != row.instance.address:
            self._unindex_address(row)
            keys = self._by_address.setdefault(instance.address, set())
            keys.add(instance.key)
        if not instance.is_same_but_counters(row.instance):
            self._by_token.pop(row.instance.content_token(), None)
            self._by_token[instance.content_token()] = row
        row.instance = instance

    def remove(self, row: Row) -> None:
        """Remove a row from the table and its indexes."""
        key = row.instance.key
        del self._rows[key]
        self._by_change.pop(key, None)
        self._by_token.pop(row.instance.content_token(), None)
        self._unindex_address(row)
        names = self._by_name[key[0]]
        names.discard(key)
        if not names:
            del self._by_name[key[0]]

    def _unindex_address(self, row: Row) -> None:
        """Remove a row from the index by address."""
        keys = self._by_address[row.instance.address]
        keys.discard(row.instance.key)
        if not keys:
            del self._by_address[row.instance.address]
