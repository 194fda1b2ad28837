"""A model of hosts, upstreams and callers around the request cores.

Time is virtual; loss, doubling, delay, cuts, freezes and deaths come from
outside.  Each promise is checked against the upstreams' run log.
"""

import functools
import random
import typing

from foxtailworks.bench import _request_ledger
from foxtailworks.bench import _request_parts
from foxtailworks.bench import _request_upstreams
from foxtailworks import ids
from foxtailworks import requests

TICK_S = 0.05
FABRIC_DELAY_S = 1.0
FREEZE_S = 30.0
SERVICE = ids.ServiceId("check-ins")


class World(_request_upstreams.Upstreams):
    """Hosts, upstreams and callers under faults."""

    def __init__(
        self, seed: int, roster: requests.Roster, upstreams: int = 4
    ) -> None:
        super().__init__(seed)
        self.next_send_fault: _request_parts.SendFault | None = None
        self.avoids_cut = False
        self.has_disks = False
        self.failed_links: set[tuple[ids.HostId, ids.HostId]] = set()
        self.sent_bytes = 0
        self.sent_messages = 0
        self._codec = requests.make_codec()
        self.roster = roster
        zones = sorted({zone for _, zone in roster.hosts})
        self.upstreams = {
            ids.UpstreamId(f"u{i}"): _request_parts.Upstream(
                ids.UpstreamId(f"u{i}"), zones[i % len(zones)]
            )
            for i in range(upstreams)
        }
        for name, zone in roster.hosts:
            self.start_host(name, zone, True)

    def start_host(
        self,
        name: ids.HostId,
        zone: ids.ZoneId,
        fresh: bool,
        memory: requests.SavedState | None = None,
    ) -> None:
        """Start a process, with no memory but what its disk held."""
        groups = requests.KeyGroups(
            self.roster, _request_ledger.RETENTION_S, self._older_rosters()
        )
        recovery = requests.Recovery(
            self.now,
            _request_ledger.RETENTION_S,
            fresh or memory is not None,
        )
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
        if memory is not None:
            coordinator.restore(memory, self.now)
        host = _request_parts.Host(name, zone, groups, coordinator)
        self.hosts[name] = host
        self._tick(host)

    def _older_rosters(self) -> tuple[requests.Roster, ...]:
        """Return what a starting host learns from the others."""
        lists = [item.groups.rosters for item in self.hosts.values()]
        longest = max(lists, key=len, default=())
        newest = self.roster.epoch
        return tuple(item for item in longest if item.epoch < newest)

    def send_request(
        self,
        key: ids.RequestKey,
        name: ids.HostId,
        deadline_s: float = 2.0,
        again: _request_parts.Attempt | None = None,
        is_admitted: bool = True,
        is_routed: bool = True,
    ) -> _request_parts.Attempt:
        """Send a caller's datagram, a new attempt or a retransmission."""
        attempt = again
        if attempt is None:
            number = requests.AttemptId(next(self._serial))
            attempt = _request_parts.Attempt(key, number, self.now)
            self.attempts.append(attempt)
        arrival = requests.KeyedRequest(
            key,
            attempt.number,
            SERVICE,
            int(deadline_s * 1000),
            attempt,
            _request_ledger.RETENTION_S,
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
        self, host: _request_parts.Host, back_after_s: float, has_begun: bool
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
                memory = core.saved_state(self.now) if self.has_disks else None
                self.kill(host.name)
                self.at(back_after_s, lambda: self._come_back(host, memory))
                return
        self.at(
            TICK_S,
            lambda: self._finish_leaving(host, back_after_s, has_begun),
        )

    def _come_back(
        self, old: _request_parts.Host, memory: requests.SavedState | None
    ) -> None:
        """Start a host again unless something else has."""
        if self.hosts[old.name] is old:
            self.start_host(old.name, old.zone, False, memory)

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

    def _learn_roster(self, host: _request_parts.Host) -> None:
        """Let a host adopt the newest roster, and tell the others so."""
        if not host.is_up or self.now < host.frozen_until:
            self.at(1.0, functools.partial(self._learn_roster, host))
            return
        host.groups.adopt(self.now, self.roster)
        epoch = host.groups.epoch
        for other in self.hosts.values():
            other.groups.record_adoption(self.now, host.name, epoch)

    def perform(
        self, host: _request_parts.Host, actions: tuple[requests.Action, ...]
    ) -> None:
        """Carry out actions, as the program of a host does."""
        for action in actions:
            step = functools.partial(self._act, host, action)
            self._do(host, step)

    def _act(self, host: _request_parts.Host, action: requests.Action) -> None:
        """Carry out one action."""
        match action:
            case requests.Send():
                self._send(host, action)
            case requests.Place() if self.next_send_fault is not None:
                self._struck(host, action)
            case requests.Place() | requests.Cancel():
                self._to_upstream(host, action)
            case requests.Forward():
                self.counts["passed"] += 1
            case _:
                self._told(action)

    def _struck(
        self, host: _request_parts.Host, action: requests.Place
    ) -> None:
        """Let a fault befall a host around its send."""
        strike, self.next_send_fault = self.next_send_fault, None
        if strike is _request_parts.SendFault.FREEZE_BEFORE:
            self.freeze(host.name, FREEZE_S)
            self._do(host, functools.partial(self._act, host, action))
        elif strike is _request_parts.SendFault.KILL_AFTER:
            self._act(host, action)
        if strike in (
            _request_parts.SendFault.KILL_BEFORE,
            _request_parts.SendFault.KILL_AFTER,
        ):
            self.kill(host.name)

    def _send(self, host: _request_parts.Host, action: requests.Send) -> None:
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
        if link not in self.failed_links:
            self._carry(host.zone, target.zone, deliver)

    def _double(self, arrival: requests.KeyedRequest) -> None:
        """Let the fabric bring a copy late, at any host."""
        if self.rng.random() < self.doubling:
            host = self.rng.choice(list(self.hosts.values()))
            self.at(
                FABRIC_DELAY_S * self.rng.random(),
                lambda: self._arrive(host, arrival, False),
            )

    def _arrive(
        self,
        host: _request_parts.Host,
        arrival: requests.KeyedRequest,
        passed: bool,
    ) -> None:
        """Route a caller's datagram and begin it."""
        if not host.is_up:
            return
        waited = host.coordinator.may_read_stale_datagrams(self.now)
        stays = passed or waited
        other = None if stays else host.coordinator.route(arrival.key)
        if other is None:
            self._event(
                host, lambda: host.coordinator.request(self.now, arrival)
            )
            return
        target = self.hosts[other]
        self._carry(
            host.zone, target.zone, lambda: self._arrive(target, arrival, True)
        )

    def _tick(self, host: _request_parts.Host) -> None:
        """Tick a host for as long as it lives."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        self._event(host, lambda: host.coordinator.tick(self.now))
        for ran in host.coordinator.take_completed_runs():
            self.reported_runs[ran.key] += 1
        self.at(TICK_S, lambda: self._tick(host))
