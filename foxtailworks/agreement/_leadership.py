"""A leader's state: progress of its followers and pending reads."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of another keeper."""

    next_index: int
    """Index of the next entry to be sent."""
    match_index: int = 0
    """Index of the last entry that its answers confirm to be on its disk."""
    acked_round: int = 0
    """Number of the newest broadcast that it answered."""
    awaits_answer: bool = False
    """Whether the last entries or snapshot part sent are unanswered."""
    snapshot_index: int = 0
    """Index of the snapshot that is being sent; 0 for none."""
    snapshot_offset: int = 0
    """Bytes of that snapshot that the keeper has received."""

    def confirm(self, index: int) -> None:
        """Record that the entries up to ``index`` are on its disk."""
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1


@dataclasses.dataclass(slots=True)
class PendingRead:
    """A read that waits until a majority confirms the leader."""

    number: int
    """Number returned to the caller."""
    round: int
    """Number of the broadcast that a majority must answer."""
    index: int
    """Index of the entry that the state machine must have applied."""


class Leadership:
    """State that a keeper has only while it leads, for one term.

    :param keeper: this keeper
    :param now: start of the term, in monotonic seconds
    """

    def __init__(self, keeper: ids.KeeperId, now: float) -> None:
        self._keeper = keeper
        self.round = 0
        self._sent_at: dict[int, float] = {0: now}
        self.progress: dict[ids.KeeperId, Progress] = {}
        self.pending_reads: list[PendingRead] = []

    def next_round(self, now: float) -> int:
        """Number a broadcast, record its time and return the number."""
        self.round += 1
        self._sent_at[self.round] = now
        self._drop_old_rounds()
        return self.round

    def track(
        self, keepers: tuple[ids.KeeperId, ...], next_index: int
    ) -> None:
        """Track the progress of these keepers and of no others."""
        for keeper in keepers:
            if keeper not in self.progress:
                self.progress[keeper] = Progress(next_index)
        for keeper in set(self.progress) - set(keepers):
            del self.progress[keeper]

    def majority_round(self, voters: tuple[ids.KeeperId, ...]) -> int:
        """Return the newest broadcast number that a majority answered."""
        rounds = [
            self.round if item == self._keeper else self._acked(item)
            for item in voters
        ]
        return majority(rounds)

    def majority_match(
        self, voters: tuple[ids.KeeperId, ...], own: int
    ) -> int:
        """Return the index of the last entry on the disks of a majority.

        :param own: index of the last entry on this keeper's disk
        """
        matches = [
            own if item == self._keeper else self._matched(item)
            for item in voters
        ]
        return majority(matches)

    def majority_confirmed_at(
        self, voters: tuple[ids.KeeperId, ...], now: float
    ) -> float:
        """Return the time of the newest broadcast that a majority answered.

        :return: when it was sent, in monotonic seconds; ``now`` if there is no
            other voter, and 0.0 if the time has been discarded
        """
        if voters == (self._keeper,):
            return now
        return self._sent_at.get(self.majority_round(voters), 0.0)

    def take_confirmed_reads(
        self, voters: tuple[ids.KeeperId, ...], applied: int
    ) -> list[PendingRead]:
        """Remove and return the reads that may be answered now.

        :param applied: index of the last entry that the state machine applied
        """
        confirmed = self.majority_round(voters)
        ready = [
            item
            for item in self.pending_reads
            if item.round <= confirmed and item.index <= applied
        ]
        self.pending_reads = [
            item for item in self.pending_reads if item not in ready
        ]
        return ready

    def _acked(self, keeper: ids.KeeperId) -> int:
        """Return the newest broadcast number that ``keeper`` answered."""
        progress = self.progress.get(keeper)
        return progress.acked_round if progress else 0

    def _matched(self, keeper: ids.KeeperId) -> int:
        """Return the index of the last entry that ``keeper`` has confirmed."""
        progress = self.progress.get(keeper)
        return progress.match_index if progress else 0

    def _drop_old_rounds(self) -> None:
        """Discard the send times of old broadcasts.

        Kept are those from the newest one that all members have answered on,
        at most ``_MAX_ROUNDS`` before the current one.
        """
        oldest = min(
            (item.acked_round for item in self.progress.values()),
            default=self.round,
        )
        oldest = max(oldest, self.round - _MAX_ROUNDS)
        for item in [key for key in self._sent_at if key < oldest]:
            del self._sent_at[item]


_MAX_ROUNDS = 256


def majority(values: list[int]) -> int:
    """Return the largest value that a majority of ``values`` reaches."""
    if not values:
        return 0
    return sorted(values, reverse=True)[len(values) // 2]
