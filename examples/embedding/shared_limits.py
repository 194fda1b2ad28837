"""Limits: shares of one limit that hosts lease to each other; admission.

Shows: all traffic arrives at one host and the others lease it their shares;
the sum of the shares never exceeds the limit; requests above the limit are
rejected, those with high priority least.
"""

import collections
from collections import abc
import random

from foxtailworks import contracts
from foxtailworks import ids
from foxtailworks import limits

TICK_S = 0.05
RATE = 90.0
IN_FLIGHT = 300.0
OFFERED_PER_TICK = 9
ANSWERED_AFTER_S = 0.1
TIMEOUT_S = 1.0
CUSTOMER = ids.CustomerId("balans")
SERVICE = ids.ServiceId("check-ins")
HOSTS = tuple(ids.HostId(f"host-{n}") for n in range(5))
BUSY = HOSTS[0]
LIMIT = limits.LimitId(CUSTOMER, SERVICE, limits.Resource.REQUESTS_PER_S)
FLIGHT = limits.LimitId(CUSTOMER, SERVICE, limits.Resource.IN_FLIGHT)


class Adapter:
    """Executes the actions of the hosts; messages arrive without delay."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.shares = {host: self._make_shares(host) for host in HOSTS}
        self.admission = limits.Admission(
            CUSTOMER, SERVICE, self.shares[BUSY], self.rng
        )
        self.admitted: collections.Counter[contracts.Priority]
        self.admitted = collections.Counter()
        self.rejected: collections.Counter[contracts.Priority]
        self.rejected = collections.Counter()
        self._number = 0
        self._answers: collections.deque[tuple[float, int]]
        self._answers = collections.deque()

    def _make_shares(self, host: ids.HostId) -> limits.Shares:
        """Return the shares of a host that starts for the first time."""
        rng = random.Random(self.rng.random())
        shares = limits.Shares(host, self.now, is_first_start=True, rng=rng)
        shares.set_live_hosts(HOSTS)
        shares.set_limit(LIMIT, RATE, divisor=len(HOSTS))
        shares.set_limit(FLIGHT, IN_FLIGHT, divisor=len(HOSTS))
        return shares

    def offer(self, priority: contracts.Priority) -> None:
        """Pass a request to the busy host."""
        self._number += 1
        ticket = limits.Ticket(
            self._number, priority, self.now + TIMEOUT_S, None, self.now
        )
        self.perform(self.admission.offer(self.now, ticket))

    def perform(self, decisions: abc.Iterable[limits.Decision]) -> None:
        """Count decisions and schedule answers to admitted requests."""
        for item in decisions:
            ticket = item.ticket
            match item:
                case limits.Admit():
                    self.admitted[ticket.priority] += 1
                    at = self.now + ANSWERED_AFTER_S
                    self._answers.append((at, ticket.number))
                case limits.Reject():
                    self.rejected[ticket.priority] += 1

    def send(self, src: ids.HostId, sends: abc.Iterable[limits.Send]) -> None:
        """Deliver messages and the answers to them."""
        for item in sends:
            answers = self.shares[item.host].receive(
                self.now, src, item.message
            )
            self.send(item.host, answers)

    def current_shares(self) -> list[float]:
        """Return the share of each host, the busy one's first."""
        return [s.share(self.now, LIMIT) for s in self.shares.values()]

    def tick(self) -> None:
        """Advance the virtual time by a tick; check the sum of the shares."""
        self.now += TICK_S
        while self._answers and self._answers[0][0] <= self.now:
            _, number = self._answers.popleft()
            self.perform(
                self.admission.finish(self.now, number, is_success=True)
            )
        self.perform(self.admission.tick(self.now))
        for host, shares in self.shares.items():
            self.send(host, shares.tick(self.now))
        assert sum(self.current_shares()) <= RATE * (1 + 1e-9)

    def run(self, seconds: float) -> None:
        """Offer twice the limit, a third of it with high priority."""
        until = self.now + seconds
        while self.now < until:
            for number in range(OFFERED_PER_TICK):
                is_high = number % 3 == 0
                self.offer(
                    contracts.Priority.HIGH
                    if is_high
                    else contracts.Priority.NORMAL
                )
            self.tick()


def run(seed: int) -> abc.Iterator[str]:
    """Run the scenario and yield a line for each result."""
    adapter = Adapter(seed)
    own = adapter.current_shares()[0]
    adapter.run(0.5)
    early = [round(share, 3) for share in adapter.current_shares()]
    yield f"shares of the hosts after 0.5 s: {early}"
    adapter.run(9.5)
    grown = adapter.current_shares()[0]
    assert own == RATE / len(HOSTS) and grown > 2 * own
    yield f"share of the busy host: {own:.0f}/s, then {grown:.0f}/s"

    adapter.admitted.clear()
    adapter.rejected.clear()
    adapter.run(10.0)
    admitted = adapter.admitted.total()
    # Up to one second's worth of requests may be saved.
    assert RATE * 10 * 0.7 < admitted <= RATE * 11
    yield f"{admitted} requests of 1800 admitted within 10 s at {RATE:.0f}/s"

    high, normal = contracts.Priority.HIGH, contracts.Priority.NORMAL
    assert adapter.rejected[high] < adapter.rejected[normal] / 4
    yield f"rejected: {adapter.rejected[high]} high, " + (
        f"{adapter.rejected[normal]} normal"
    )


if __name__ == "__main__":
    for line in run(seed=1):
        print(line)
