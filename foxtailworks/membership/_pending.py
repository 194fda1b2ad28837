"""Updates waiting to be sent, for rumour mongering."""

import typing

MAX_PENDING = 4_096
ITEM_OVERHEAD_BYTES = 3
URGENT_LEVEL = 100


class UpdateBuffer:
    """Encoded records by key, ordered by their remaining sends.

    A newer record replaces the older one of its key. When the buffer is full
    the record sent most often is dropped; table comparison makes up for it.
    """

    def __init__(self) -> None:
        self._level_of: dict[str, int] = {}
        self._levels: dict[int, dict[str, bytes]] = {}

    def __len__(self) -> int:
        """Return the number of records still to be sent."""
        return len(self._level_of)

    def put(self, key: str, item: bytes, sends: int, urgent: bool) -> None:
        """Add ``item`` for a number of sends; urgent ones are sent first."""
        self.drop(key)
        if sends <= 0:
            return
        if len(self._level_of) >= MAX_PENDING:
            self.drop(next(iter(self._levels[min(self._levels)])))
        self._insert(key, item, sends + URGENT_LEVEL * urgent)

    def drop(self, key: str) -> None:
        """Remove the record of ``key`` if there is one."""
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]
            if not self._levels[level]:
                del self._levels[level]

    def _insert(self, key: str, item: bytes, level: int) -> None:
        """Add a record at a level, unless it has no sends left."""
        if level % URGENT_LEVEL:
            self._level_of[key] = level
            self._levels.setdefault(level, {})[key] = item

    def take(self, budget: int) -> tuple[bytes, ...]:
        """Return records of up to ``budget`` bytes and count them as sent."""
        taken = list(self._choose(budget)) if self._level_of else []
        for key, item, level in taken:
            self.drop(key)
            self._insert(key, item, level - 1)
        return tuple(item for _, item, _ in taken)

    def _choose(self, budget: int) -> typing.Iterator[tuple[str, bytes, int]]:
        """Yield the records to send next: urgent, then least-sent first."""
        for level in sorted(self._levels, reverse=True):
            for key, item in self._levels[level].items():
                budget -= len(item) + ITEM_OVERHEAD_BYTES
                if budget < 0:
                    return
                yield key, item, level


class PendingUpdates:
    """Updates of one table that are still to be sent.

    Those in ``own_zone`` go to hosts of the own availability zone, those in
    ``other_zones`` in rounds to a relay of each other zone.
    """

    def __init__(self) -> None:
        self.own_zone = UpdateBuffer()
        self.other_zones = UpdateBuffer()

    def __len__(self) -> int:
        """Return the number of records still to be sent."""
        return len(self.own_zone) + len(self.other_zones)

    def put(
        self,
        key: str,
        item: bytes,
        zone_sends: int,
        cross_zone_rounds: int,
        urgent: bool,
    ) -> None:
        """Add ``item`` for sends in the zone and rounds to other zones."""
        self.own_zone.put(key, item, zone_sends, urgent)
        self.other_zones.put(key, item, cross_zone_rounds, urgent)

    def drop(self, key: str) -> None:
        """Remove the record of ``key``, which is out of date."""
        self.own_zone.drop(key)
        self.other_zones.drop(key)
