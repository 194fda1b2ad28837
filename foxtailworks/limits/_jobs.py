"""Number of jobs placed for each customer, without duplicates."""

import collections

from foxtailworks import ids

MAX_REMEMBERED = 100_000
MAX_CUSTOMERS = 10_000


class JobCounter:
    """Counter of the jobs on this host, by customer.

    A job is identified by a number: the claim that ran, or the token of the
    attempt that was answered.  Recent numbers are kept, so that a duplicate
    event isn't counted.
    """

    def __init__(self) -> None:
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._totals: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )
        self._increments: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )
        self.dropped = 0

    def count_once(self, customer: ids.CustomerId, number: int) -> bool:
        """Count a job; return False if it was counted before or dropped."""
        if number in self._seen:
            return False
        if customer not in self._totals:
            if len(self._totals) >= MAX_CUSTOMERS:
                self.dropped += 1
                return False
        self._seen[number] = None
        if len(self._seen) > MAX_REMEMBERED:
            self._seen.popitem(last=False)
        self._totals[customer] += 1
        self._increments[customer] += 1
        return True

    def total(self, customer: ids.CustomerId) -> int:
        """Return the number of jobs counted since the start."""
        return self._totals[customer]

    def take_increments(self) -> dict[ids.CustomerId, int]:
        """Return the increment of each customer since the last call."""
        increments = dict(self._increments)
        self._increments.clear()
        return increments
