"""A model of hosts, upstreams and callers around the request cores.

Time is virtual; loss, doubling, delay, cuts, freezes and deaths come from
outside.  Each promise is checked against the upstreams' run log.
"""

import collections
import dataclasses
import enum
import functools
import heapq
import itertools
import random
import typing

from foxtailworks import ids
from foxtailworks import requests

TICK_S = 0.05
RUN_S = 0.02
RETENTION_S = 60.0
FABRIC_DELAY_S = 1.0
FREEZE_S = 30.0
SERVICE = ids.ServiceId("check-ins")
Event = typing.Callable[[], None]


class Strike(enum.Enum):
    """What befalls the next host that is about to place a request."""

    FREEZE_BEFORE = "frozen after its last check, sends when it goes on"
    KILL_BEFORE = "dies before the send"
    KILL_AFTER = "dies after the send"
    LOSE = "its send is lost"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One datagram of a caller and what the caller was told."""

    key: ids.RequestKey
    number: requests.AttemptId
    sent_at: float
    told: str = ""
    told_at: float = 0.0
    refused_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Host:
    """An entry host of the model."""

    name: ids.HostId
    zone: ids.ZoneId
    groups: requests.KeyGroups
    coordinator: requests.Coordinator
    is_up: bool = True
    is_leaving: bool = False
    frozen_until: float = 0.0
    held: list[Event] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Upstream:
    """A fake upstream with a log of what it ran."""

    name: ids.UpstreamId
    zone: ids.ZoneId
    is_up: bool = True
    is_shedding: bool = False
    run_s: float = RUN_S
    started: dict[requests.ClaimId, float] = dataclasses.field(
        default_factory=dict
    )
    fenced: set[requests.ClaimId] = dataclasses.field(default_factory=set)


def answer_to(key: ids.RequestKey) -> bytes:
    """Return the one right answer to ``key``."""
    return b"ran " + key


def make_roster(epoch: int, zones: list[int]) -> requests.Roster:
    """Return a roster of hosts ``h0``... in the given zones."""
    return requests.Roster(
        epoch,
        tuple(
            (ids.HostId(f"h{i}"), ids.ZoneId(f"z{zone}"))
            for i, zone in enumerate(zones)
        ),
    )


class World:
    """Hosts, upstreams and callers under faults."""

    def __init__(
        self, seed: int, roster: requests.Roster, upstreams: int = 4
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_s = 0.001
        self.strike: Strike | None = None
        self.avoids_cut = False
        self.broken: set[tuple[ids.HostId, ids.HostId]] = set()
        self.cut: frozenset[ids.ZoneId] = frozenset()
        self.counts: collections.Counter[str] = collections.Counter()
        self.counted: collections.Counter[ids.RequestKey] = (
            collections.Counter()
        )
        self.runs: dict[ids.RequestKey, list[float]] = {}
        self.attempts: list[Attempt] = []
        self.refused: list[Attempt] = []
        self.sent_bytes = 0
        self.sent_messages = 0
        self._codec = requests.make_codec()
        self._serial = itertools.count(1)
        self._events: list[tuple[float, int, Event]] = []
        self.roster = roster
        zones = sorted({zone for _, zone in roster.hosts})
        self.upstreams = {
            ids.UpstreamId(f"u{i}"): Upstream(
                ids.UpstreamId(f"u{i}"), zones[i % len(zones)]
            )
            for i in range(upstreams)
        }
        self.hosts: dict[ids.HostId, Host] = {}
        for name, zone in roster.hosts:
            self.start_host(name, zone, True)

    def start_host(
        self, name: ids.HostId, zone: ids.ZoneId, fresh: bool
    ) -> None:
        """Start a process with no memory."""
        groups = requests.KeyGroups(
            self.roster, RETENTION_S, self._older_rosters()
        )
        recovery = requests.Recovery(self.now, RETENTION_S, fresh)
        incarnation = ids.Incarnation(next(self._serial))
        store = requests.ClaimStore(
            name, groups, recovery, incarnation=incarnation
        )
        rng = random.Random(self.rng.random())

        def choose(
            service: ids.ServiceId, excluded: typing.Collection[ids.UpstreamId]
        ) -> ids.UpstreamId | None:
            """Return any upstream that is up in this host's view."""
            able = [
                item.name
                for item in self.upstreams.values()
                if item.is_up and item.name not in excluded
                if not self.avoids_cut or self._reaches(zone, item.zone)
            ]
            return rng.choice(able) if able else None

        coordinator = requests.Coordinator(
            name, incarnation, groups, store, choose, rng
        )
        host = Host(name, zone, groups, coordinator)
        self.hosts[name] = host
        self._tick(host)

    def _older_rosters(self) -> tuple[requests.Roster, ...]:
        """Return what a starting host learns from the others."""
        lists = [item.groups.rosters for item in self.hosts.values()]
        longest = max(lists, key=len, default=())
        newest = self.roster.epoch
        return tuple(item for item in longest if item.epoch < newest)

    def ask(
        self,
        key: ids.RequestKey,
        name: ids.HostId,
        deadline_s: float = 2.0,
        again: Attempt | None = None,
        is_admitted: bool = True,
        is_routed: bool = True,
    ) -> Attempt:
        """Send a caller's datagram, a new attempt or a retransmission."""
        attempt = again
        if attempt is None:
            number = requests.AttemptId(next(self._serial))
            attempt = Attempt(key, number, self.now)
            self.attempts.append(attempt)
        arrival = requests.Arrival(
            key,
            attempt.number,
            SERVICE,
            int(deadline_s * 1000),
            attempt,
            RETENTION_S,
        )
        if not attempt.refused_at:
            # The caller asks once more of its own accord.
            attempt.sent_at = self.now
        host = self.hosts[name]
        if is_admitted:
            self._arrive(host, arrival, not is_routed)
            self._double(arrival)
        else:
            refuse = host.coordinator.refuse
            self._event(host, lambda: refuse(self.now, arrival, 1.0))
        return attempt

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, event = heapq.heappop(self._events)
            self.now = max(self.now, at)
            event()
        self.now = end

    def at(self, delay_s: float, event: Event) -> None:
        """Do ``event`` later."""
        item = (self.now + delay_s, next(self._serial), event)
        heapq.heappush(self._events, item)

    def kill(self, name: ids.HostId) -> None:
        """End a host at once."""
        self.hosts[name].is_up = False

    def leave(self, name: ids.HostId, back_after_s: float) -> None:
        """Restart a host as planned: it finishes and hands over first."""
        host = self.hosts[name]
        host.coordinator.leave()
        host.is_leaving = True
        self._finish_leaving(host, back_after_s, False)

    def _finish_leaving(
        self, host: Host, back_after_s: float, has_begun: bool
    ) -> None:
        """Hand over once idle; stop once that is done."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        core = host.coordinator
        if self.now >= host.frozen_until:
            if not has_begun and core.is_idle:
                self._event(host, lambda: core.hand_over(self.now))
                has_begun = True
            elif has_begun and core.is_handed_over(self.now):
                self.kill(host.name)
                self.at(back_after_s, lambda: self._come_back(host))
                return
        self.at(
            TICK_S,
            lambda: self._finish_leaving(host, back_after_s, has_begun),
        )

    def _come_back(self, old: Host) -> None:
        """Start a host again unless something else has."""
        if self.hosts[old.name] is old:
            self.start_host(old.name, old.zone, False)

    def freeze(self, name: ids.HostId, seconds: float) -> None:
        """Stop a host where it is; it goes on afterwards."""
        host = self.hosts[name]
        host.frozen_until = self.now + seconds
        self.at(seconds, lambda: self._thaw(host))

    def replace_host(self, name: ids.HostId, spread_s: float) -> None:
        """Put a new host into the roster for ``name``, which is stopped."""
        zone = self.hosts[name].zone
        self.kill(name)
        fresh = ids.HostId(f"n{next(self._serial)}")
        kept = [pair for pair in self.roster.hosts if pair[0] != name]
        self.roster = requests.Roster(
            self.roster.epoch + 1, (*kept, (fresh, zone))
        )
        self.start_host(fresh, zone, False)
        for host in self.hosts.values():
            delay_s = spread_s * self.rng.random()
            self.at(delay_s, functools.partial(self._learn_roster, host))

    def _learn_roster(self, host: Host) -> None:
        """Let a host adopt the newest roster, and tell the others so."""
        if not host.is_up or self.now < host.frozen_until:
            self.at(1.0, functools.partial(self._learn_roster, host))
            return
        host.groups.change(self.now, self.roster)
        epoch = host.groups.epoch
        for other in self.hosts.values():
            other.groups.adopted(self.now, host.name, epoch)

    def crash_upstream(self, name: ids.UpstreamId) -> None:
        """End an upstream; its successor is another upstream."""
        old = self.upstreams.pop(name)
        old.is_up = False
        new = ids.UpstreamId(f"{name}'")
        self.upstreams[new] = Upstream(new, old.zone)

    def perform(
        self, host: Host, actions: tuple[requests.Action, ...]
    ) -> None:
        """Carry out actions, as the program of a host does."""
        for action in actions:
            step = functools.partial(self._act, host, action)
            self._do(host, step)

    def counts_of_violations(self) -> dict[str, int]:
        """Return the violations, all named."""
        names = ("run_twice", "false_not_run", "crossed")
        found = {name: self.counts[name] for name in names}
        found["counted_twice"] = sum(
            count > len(self.runs.get(key, ()))
            for key, count in self.counted.items()
        )
        return found

    def _act(self, host: Host, action: requests.Action) -> None:
        """Carry out one action."""
        match action:
            case requests.Send():
                self._send(host, action)
            case requests.Place() if self.strike is not None:
                self._struck(host, action)
            case requests.Place() | requests.Cancel():
                self._to_upstream(host, action)
            case requests.PassTo():
                self.counts["passed"] += 1
            case _:
                self._told(action)

    def _struck(self, host: Host, action: requests.Place) -> None:
        """Let a fault befall a host around its send."""
        strike, self.strike = self.strike, None
        if strike is Strike.FREEZE_BEFORE:
            self.freeze(host.name, FREEZE_S)
            self._do(host, functools.partial(self._act, host, action))
        elif strike is Strike.KILL_AFTER:
            self._act(host, action)
        if strike in (Strike.KILL_BEFORE, Strike.KILL_AFTER):
            self.kill(host.name)

    def _send(self, host: Host, action: requests.Send) -> None:
        """Send a message between hosts through the codec."""
        data = self._codec.encode(action.message)
        self.sent_bytes += len(data)
        self.sent_messages += 1
        target = self.hosts[action.host]

        def deliver() -> None:
            """Hand the message to whoever has the address now."""
            to = self.hosts[action.host]
            message = self._codec.decode(data)
            self._event(
                to,
                lambda: to.coordinator.receive(self.now, host.name, message),
            )

        link = (min(host.name, target.name), max(host.name, target.name))
        if link not in self.broken:
            self._carry(host.zone, target.zone, deliver)

    def _carry(
        self, source: ids.ZoneId, target: ids.ZoneId, deliver: Event
    ) -> None:
        """Lose, double or delay a datagram."""
        if not self._reaches(source, target):
            return
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                spread = 0.5 + self.rng.random()
                self.at(self.delay_s * spread, deliver)

    def _double(self, arrival: requests.Arrival) -> None:
        """Let the fabric bring a copy late, at any host."""
        if self.rng.random() < self.doubling:
            host = self.rng.choice(list(self.hosts.values()))
            self.at(
                FABRIC_DELAY_S * self.rng.random(),
                lambda: self._arrive(host, arrival, False),
            )

    def _reaches(self, source: ids.ZoneId, target: ids.ZoneId) -> bool:
        """Return whether no cut lies between two availability zones."""
        return (source in self.cut) == (target in self.cut)

    def _arrive(
        self, host: Host, arrival: requests.Arrival, passed: bool
    ) -> None:
        """Route a caller's datagram and begin it."""
        if not host.is_up:
            return
        other = None if passed else host.coordinator.route(arrival.key)
        if other is None:
            self._event(
                host, lambda: host.coordinator.request(self.now, arrival)
            )
            return
        target = self.hosts[other]
        self._carry(
            host.zone, target.zone, lambda: self._arrive(target, arrival, True)
        )

    def _event(
        self,
        host: Host,
        event: typing.Callable[[], tuple[requests.Action, ...]],
    ) -> None:
        """Let a host take in an event, now or when it goes on."""
        self._do(host, lambda: self.perform(host, event()))

    def _do(self, host: Host, step: Event) -> None:
        """Do a step of a host unless it is down or frozen."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        if self.now < host.frozen_until:
            host.held.append(step)
        else:
            step()

    def _thaw(self, host: Host) -> None:
        """Go on with what was held."""
        held, host.held = host.held, []
        for step in held:
            self._do(host, step)

    def _tick(self, host: Host) -> None:
        """Tick a host for as long as it lives."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        self._event(host, lambda: host.coordinator.tick(self.now))
        for ran in host.coordinator.drain_ran():
            self.counted[ran.key] += 1
        self.at(TICK_S, lambda: self._tick(host))

    def _to_upstream(
        self, host: Host, action: requests.Place | requests.Cancel
    ) -> None:
        """Send a datagram to an upstream that may be gone."""
        target = self.upstreams.get(action.upstream)
        if target is None:
            return
        if isinstance(action, requests.Place):
            step = functools.partial(self._placed, host, target, action)
        else:
            step = functools.partial(self._cancel, host, target, action)
        self._carry(host.zone, target.zone, step)

    def _placed(
        self, host: Host, target: Upstream, action: requests.Place
    ) -> None:
        """Run a placement unless it is fenced or shed."""
        key, claim = action.key, action.claim
        if not target.is_up or claim in target.started:
            return
        if claim in target.fenced or target.is_shedding:
            target.fenced.add(claim)
            self._reply(
                host,
                target,
                lambda: host.coordinator.shed(self.now, key, claim),
            )
            return
        target.started[claim] = self.now
        self._ran(key)
        self.at(
            target.run_s,
            lambda: self._reply(
                host,
                target,
                lambda: host.coordinator.answered(
                    self.now, key, claim, answer_to(key)
                ),
            ),
        )

    def _cancel(
        self, host: Host, target: Upstream, action: requests.Cancel
    ) -> None:
        """Fence a placement, or say that it started."""
        key, claim = action.key, action.claim
        if not target.is_up:
            return
        started = target.started.get(claim)
        result = requests.CancelResult.STARTED
        answer = None
        if started is None:
            target.fenced.add(claim)
            result = requests.CancelResult.NEVER_STARTED
        elif self.now >= started + target.run_s:
            answer = answer_to(key)
        self._reply(
            host,
            target,
            lambda: host.coordinator.cancel_result(
                self.now, key, claim, result, answer
            ),
        )

    def _reply(
        self,
        host: Host,
        target: Upstream,
        event: typing.Callable[[], tuple[requests.Action, ...]],
    ) -> None:
        """Carry an upstream's word back."""
        if target.is_up:
            self._carry(
                target.zone, host.zone, lambda: self._event(host, event)
            )

    def _ran(self, key: ids.RequestKey) -> None:
        """Log a run and judge it."""
        runs = self.runs.setdefault(key, [])
        self.counts["run"] += 1
        newest = max(a.sent_at for a in self.attempts if a.key == key)
        if any(newest < at + RETENTION_S for at in runs):
            self.counts["run_twice"] += 1
        runs.append(self.now)
        for attempt in self.refused:
            if attempt.key == key and attempt.refused_at >= newest:
                self.counts["false_not_run"] += 1

    def _told(
        self, action: requests.Answer | requests.Refuse | requests.Unknown
    ) -> None:
        """Judge what a caller is told."""
        attempt = typing.cast(Attempt, action.handle)
        attempt.told = type(action).__name__
        attempt.told_at = self.now
        self.counts[attempt.told] += 1
        if isinstance(action, requests.Answer):
            if action.answer != answer_to(attempt.key):
                self.counts["crossed"] += 1
        if isinstance(action, requests.Refuse):
            runs = self.runs.get(attempt.key, ())
            if any(attempt.sent_at < at + RETENTION_S for at in runs):
                self.counts["false_not_run"] += 1
            attempt.refused_at = self.now
            self.refused.append(attempt)
