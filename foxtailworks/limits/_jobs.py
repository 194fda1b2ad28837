"""Jobs placed for each customer, each counted once."""

import collections

from foxtailworks import ids

MAX_REMEMBERED = 100_000
MAX_CUSTOMERS = 10_000


class JobCounter:
    """Counts jobs of this host and hands the increments out once.

    A job is counted by its number: the claim that ran, or the token of the
    try that was answered.  Numbers are remembered for a while, so that a
    doubled event counts once.
    """

    def __init__(self) -> None:
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._totals: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )
        self._fresh: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )
        self.dropped = 0

    def count_once(self, customer: ids.CustomerId, job: int) -> bool:
        """Count a job; false when it was counted before."""
        if job in self._seen:
            return False
        if customer not in self._totals:
            if len(self._totals) >= MAX_CUSTOMERS:
                self.dropped += 1
                return False
        self._seen[job] = None
        if len(self._seen) > MAX_REMEMBERED:
            self._seen.popitem(last=False)
        self._totals[customer] += 1
        self._fresh[customer] += 1
        return True

    def total(self, customer: ids.CustomerId) -> int:
        """Return the jobs counted since the start."""
        return self._totals[customer]

    def take_increments(self) -> dict[ids.CustomerId, int]:
        """Return the increments since the last call."""
        fresh = dict(self._fresh)
        self._fresh.clear()
        return fresh
