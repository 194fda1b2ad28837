"""News that is still to be passed on."""

import dataclasses
import typing

MAX_RUMOURS = 1_024
ITEM_OVERHEAD_BYTES = 3


@dataclasses.dataclass(slots=True)
class _Rumour:
    """One encoded record and how often it is still sent."""

    item: bytes
    inner: int
    outer: int
    urgent: bool


class Rumours:
    """Encoded records by key, each sent a bounded number of times.

    ``inner`` counts sends within the availability zone, ``outer`` rounds to
    the other ones. A newer record replaces the older one of its key. When
    the table is full the most-sent record goes: comparing tables repairs it.
    """

    def __init__(self) -> None:
        self._rumours: dict[str, _Rumour] = {}

    def __len__(self) -> int:
        """Return the number of records still to be sent."""
        return len(self._rumours)

    def put(
        self,
        key: str,
        item: bytes,
        inner: int,
        outer: int,
        urgent: bool = False,
    ) -> None:
        """Spread ``item``; ``urgent`` ones go first."""
        if len(self._rumours) >= MAX_RUMOURS and key not in self._rumours:
            self._drop_one()
        self._rumours[key] = _Rumour(item, inner, outer, urgent)

    def drop(self, key: str) -> None:
        """Pass the record of ``key`` on no more: it is out of date."""
        self._rumours.pop(key, None)

    def _drop_one(self) -> None:
        """Make room for a newer record."""
        key = min(self._rumours, key=lambda key: self._rumours[key].inner)
        del self._rumours[key]

    def _ordered(self) -> list[tuple[str, _Rumour]]:
        """Return the records, urgent and least-sent first."""
        return sorted(
            self._rumours.items(),
            key=lambda pair: (pair[1].urgent, pair[1].inner, pair[1].outer),
            reverse=True,
        )

    def take_inner(self, budget: int) -> tuple[bytes, ...]:
        """Return records for one host of the own availability zone."""
        return self._take(budget, "inner")

    def take_outer(self, budget: int) -> tuple[bytes, ...]:
        """Return records for one round to other availability zones."""
        return self._take(budget, "outer")

    def _take(
        self, budget: int, side: typing.Literal["inner", "outer"]
    ) -> tuple[bytes, ...]:
        """Return records that fit into ``budget`` and count them as sent."""
        taken = []
        for key, rumour in self._ordered() if self._rumours else ():
            left = getattr(rumour, side)
            size = len(rumour.item) + ITEM_OVERHEAD_BYTES
            if left <= 0 or size > budget:
                continue
            budget -= size
            taken.append(rumour.item)
            setattr(rumour, side, left - 1)
            if rumour.inner <= 0 and rumour.outer <= 0:
                del self._rumours[key]
        return tuple(taken)
