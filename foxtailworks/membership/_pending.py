"""News that is still to be passed on."""

import typing

MAX_RUMOURS = 4_096
ITEM_OVERHEAD_BYTES = 3
URGENT_LEVEL = 100


class UpdateBuffer:
    """Encoded records by key, sorted by how often they're still sent.

    A newer record replaces the older one of its key. When the lane is full
    the most-sent record goes: comparing tables repairs it.
    """

    def __init__(self) -> None:
        self._level_of: dict[str, int] = {}
        self._levels: dict[int, dict[str, bytes]] = {}

    def __len__(self) -> int:
        """Return the number of records still to be sent."""
        return len(self._level_of)

    def put(self, key: str, item: bytes, sends: int, urgent: bool) -> None:
        """Send ``item`` so often; ``urgent`` ones go first."""
        self.drop(key)
        if sends <= 0:
            return
        if len(self._level_of) >= MAX_RUMOURS:
            self.drop(next(iter(self._levels[min(self._levels)])))
        self._insert(key, item, sends + URGENT_LEVEL * urgent)

    def drop(self, key: str) -> None:
        """Send the record of ``key`` no more."""
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]
            if not self._levels[level]:
                del self._levels[level]

    def _insert(self, key: str, item: bytes, level: int) -> None:
        """Put a record on a level; the lowest ones are done with."""
        if level % URGENT_LEVEL:
            self._level_of[key] = level
            self._levels.setdefault(level, {})[key] = item

    def take(self, budget: int) -> tuple[bytes, ...]:
        """Return records that fit into ``budget`` and count them as sent."""
        taken = list(self._choose(budget)) if self._level_of else []
        for key, item, level in taken:
            self.drop(key)
            self._insert(key, item, level - 1)
        return tuple(item for _, item, _ in taken)

    def _choose(self, budget: int) -> typing.Iterator[tuple[str, bytes, int]]:
        """Yield the records to send next, urgent and least-sent first."""
        for level in sorted(self._levels, reverse=True):
            for key, item in self._levels[level].items():
                budget -= len(item) + ITEM_OVERHEAD_BYTES
                if budget < 0:
                    return
                yield key, item, level


class PendingUpdates:
    """What one table still passes on.

    ``inner`` goes to hosts of the availability zone, ``outer`` in rounds to
    the other zones.
    """

    def __init__(self) -> None:
        self.inner = UpdateBuffer()
        self.outer = UpdateBuffer()

    def __len__(self) -> int:
        """Return the number of records still to be sent."""
        return len(self.inner) + len(self.outer)

    def put(
        self, key: str, item: bytes, inner: int, outer: int, urgent: bool
    ) -> None:
        """Spread ``item``."""
        self.inner.put(key, item, inner, urgent)
        self.outer.put(key, item, outer, urgent)

    def drop(self, key: str) -> None:
        """Pass the record of ``key`` on no more: it is out of date."""
        self.inner.drop(key)
        self.outer.drop(key)
