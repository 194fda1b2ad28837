"""Rows of instances, found by identity, id and address."""

from collections import abc
import dataclasses

from foxtailworks.discovery import _instance
from foxtailworks import ids

Key = tuple[_instance.InstanceId, ids.Incarnation]


@dataclasses.dataclass(slots=True)
class Row:
    """One instance in the table."""

    instance: _instance.Instance
    """Last news of it."""
    heard_at: float
    """When it last announced itself, to anyone."""
    is_live: bool
    """Whether the lease runs."""
    version: int
    """Count of changes when this row last changed."""


class Table:
    """All rows; what a heartbeat concerns is found without a scan."""

    def __init__(self) -> None:
        self._rows: dict[Key, Row] = {}
        self._by_name: dict[_instance.InstanceId, set[Key]] = {}
        self._by_address: dict[ids.Address, set[Key]] = {}

    def __len__(self) -> int:
        """Return how many rows there are."""
        return len(self._rows)

    def get(self, key: Key) -> Row | None:
        """Return the row of one start."""
        return self._rows.get(key)

    def rows(self) -> abc.Iterable[Row]:
        """Return all rows."""
        return self._rows.values()

    def newest(self, name: _instance.InstanceId) -> Row | None:
        """Return the latest start under an id."""
        keys = self._by_name.get(name)
        if not keys:
            return None
        return self._rows[max(keys, key=lambda key: key[1])]

    def relatives(self, instance: _instance.Instance) -> tuple[Row, ...]:
        """Return the starts that share an id or an address with one."""
        keys = self._by_name.get(instance.instance, set()) | (
            self._by_address.get(instance.address, set())
        )
        return tuple(self._rows[key] for key in keys)

    def add(self, row: Row) -> None:
        """Take a new row."""
        key = row.instance.key
        self._rows[key] = row
        self._by_name.setdefault(key[0], set()).add(key)
        self._by_address.setdefault(row.instance.address, set()).add(key)

    def replace(self, row: Row, instance: _instance.Instance) -> None:
        """Put later news of the same start into its row."""
        if instance.address != row.instance.address:
            self._forget_address(row)
            keys = self._by_address.setdefault(instance.address, set())
            keys.add(instance.key)
        row.instance = instance

    def remove(self, row: Row) -> None:
        """Forget a row."""
        key = row.instance.key
        del self._rows[key]
        self._forget_address(row)
        names = self._by_name[key[0]]
        names.discard(key)
        if not names:
            del self._by_name[key[0]]

    def _forget_address(self, row: Row) -> None:
        """Find a row by its address no more."""
        keys = self._by_address[row.instance.address]
        keys.discard(row.instance.key)
        if not keys:
            del self._by_address[row.instance.address]
