"""What a leader knows of the others while it leads."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one other keeper is."""

    next_index: int
    """First entry to send next."""
    match_index: int = 0
    """Last entry known to be on its disk."""
    acked_round: int = 0
    """Largest broadcast that it answered."""
    waiting: bool = False
    """Entries are on their way and not yet answered."""
    snapshot_index: int = 0
    """Snapshot being sent; 0 when none is."""
    snapshot_offset: int = 0
    """Bytes of it that have arrived."""


@dataclasses.dataclass(slots=True)
class Read:
    """A read that waits for a majority to confirm the leader."""

    number: int
    """Known to the asker."""
    round: int
    """Broadcast that must be answered by a majority."""
    index: int
    """The state machine must have applied this entry."""


class Leadership:
    """Progress, broadcasts and reads of one term as leader."""

    def __init__(self, keeper: ids.KeeperId, now: float) -> None:
        self._keeper = keeper
        self.round = 0
        self._sent_at: dict[int, float] = {0: now}
        self.progress: dict[ids.KeeperId, Progress] = {}
        self.reads: list[Read] = []

    def next_round(self, now: float) -> int:
        """Start a broadcast and remember when."""
        self.round += 1
        self._sent_at[self.round] = now
        self._forget_rounds()
        return self.round

    def track(
        self, keepers: tuple[ids.KeeperId, ...], next_index: int
    ) -> None:
        """Keep progress for exactly these keepers."""
        for keeper in keepers:
            if keeper not in self.progress:
                self.progress[keeper] = Progress(next_index)
        for keeper in set(self.progress) - set(keepers):
            del self.progress[keeper]

    def majority_round(self, voters: tuple[ids.KeeperId, ...]) -> int:
        """Return the newest broadcast that a majority answered."""
        rounds = [
            self.round if item == self._keeper else self._acked(item)
            for item in voters
        ]
        return majority(rounds)

    def majority_match(
        self, voters: tuple[ids.KeeperId, ...], own: int
    ) -> int:
        """Return the last entry that a majority holds on disk."""
        matches = [
            own if item == self._keeper else self._matched(item)
            for item in voters
        ]
        return majority(matches)

    def confirmed_at(
        self, voters: tuple[ids.KeeperId, ...], now: float
    ) -> float:
        """Return when the newest answered broadcast was sent."""
        if voters == (self._keeper,):
            return now
        return self._sent_at.get(self.majority_round(voters), 0.0)

    def take_confirmed_reads(
        self, voters: tuple[ids.KeeperId, ...], applied: int
    ) -> list[Read]:
        """Remove and return the reads that may be answered."""
        confirmed = self.majority_round(voters)
        ready = [
            item
            for item in self.reads
            if item.round <= confirmed and item.index <= applied
        ]
        self.reads = [item for item in self.reads if item not in ready]
        return ready

    def _acked(self, keeper: ids.KeeperId) -> int:
        """Return the newest broadcast that ``keeper`` answered."""
        known = self.progress.get(keeper)
        return known.acked_round if known else 0

    def _matched(self, keeper: ids.KeeperId) -> int:
        """Return the last entry known on the disk of ``keeper``."""
        known = self.progress.get(keeper)
        return known.match_index if known else 0

    def _forget_rounds(self) -> None:
        """Drop the times of broadcasts that all keepers answered."""
        oldest = min(
            (item.acked_round for item in self.progress.values()),
            default=self.round,
        )
        oldest = max(oldest, self.round - _MAX_ROUNDS)
        for item in [key for key in self._sent_at if key < oldest]:
            del self._sent_at[item]


_MAX_ROUNDS = 256


def majority(values: list[int]) -> int:
    """Return the largest value that a majority reaches."""
    if not values:
        return 0
    return sorted(values, reverse=True)[len(values) // 2]
