"""Simulated hosts, upstreams and callers around the request cores.

Time is virtual; callers of this module inject loss, duplication, delay,
partitions, freezes and crashes.  The guarantees are checked against the
upstreams' run log.
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
    """Simulates hosts, upstreams and callers under faults."""

    def __init__(
        self, seed: int, roster: requests.Roster, upstreams: int = 4
    ) -> None:
        super().__init__(seed)
        self.next_send_fault: _request_parts.SendFault | None = None
        self.avoids_isolated = False
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
        is_first_start: bool,
        saved: requests.SavedState | None = None,
    ) -> None:
        """Start a process of a host with its saved state, if any."""
        groups = requests.KeyGroups(
            self.roster, _request_ledger.RETENTION_S, self._older_rosters()
        )
        recovery = requests.Recovery(
            self.now,
            _request_ledger.RETENTION_S,
            is_first_start or saved is not None,
        )
        incarnation = ids.Incarnation(next(self._serial))
        store = requests.ClaimStore(
            name, groups, recovery, incarnation=incarnation
        )
        rng = random.Random(self.rng.random())

        def choose(
            service: ids.ServiceId, excluded: typing.Collection[ids.UpstreamId]
        ) -> ids.UpstreamId | None:
            """Return a random upstream that is up in this host's view."""
            able = [
                item.name
                for item in self.upstreams.values()
                if item.is_up and item.name not in excluded
                if not self.avoids_isolated or self._reaches(zone, item.zone)
            ]
            return rng.choice(able) if able else None

        coordinator = requests.Coordinator(
            name, incarnation, groups, store, choose, rng
        )
        if saved is not None:
            coordinator.restore(saved, self.now)
        host = _request_parts.Host(name, zone, groups, coordinator)
        self.hosts[name] = host
        self._tick(host)

    def _older_rosters(self) -> tuple[requests.Roster, ...]:
        """Return the older rosters that a starting host gets from others."""
        lists = [item.groups.rosters for item in self.hosts.values()]
        longest = max(lists, key=len, default=())
        newest = self.roster.epoch
        return tuple(item for item in longest if item.epoch < newest)

    def send_request(
        self,
        key: ids.RequestKey,
        name: ids.HostId,
        deadline_s: float = 2.0,
        retransmitted: _request_parts.Attempt | None = None,
        is_admitted: bool = True,
        is_routed: bool = True,
    ) -> _request_parts.Attempt:
        """Send a caller's datagram, a new attempt or a retransmission."""
        attempt = retransmitted
        if attempt is None:
            number = requests.AttemptId(next(self._serial))
            attempt = _request_parts.Attempt(key, number, self.now)
            self.attempts.append(attempt)
        req = requests.KeyedRequest(
            key,
            attempt.number,
            SERVICE,
            int(deadline_s * 1000),
            attempt,
            _request_ledger.RETENTION_S,
        )
        if not attempt.refused_at:
            # The caller itself sends the attempt again.
            attempt.sent_at = self.now
        host = self.hosts[name]
        if is_admitted:
            self._on_datagram(host, req, not is_routed)
            self._duplicate(req)
        else:
            refuse = host.coordinator.refuse
            self._handle_event(host, lambda: refuse(self.now, req, 1.0))
        return attempt

    def kill(self, name: ids.HostId) -> None:
        """Kill a host at once."""
        self.hosts[name].is_up = False

    def leave(self, name: ids.HostId, back_after_s: float) -> None:
        """Restart a host in order: it finishes and hands over first."""
        host = self.hosts[name]
        host.coordinator.leave()
        host.is_leaving = True
        self._finish_leaving(host, back_after_s, False)

    def _finish_leaving(
        self,
        host: _request_parts.Host,
        back_after_s: float,
        is_handing_over: bool,
    ) -> None:
        """Hand over once idle; stop once the hand-over is complete."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        core = host.coordinator
        if self.now >= host.frozen_until:
            if not is_handing_over and core.is_idle:
                self._handle_event(host, lambda: core.hand_over(self.now))
                is_handing_over = True
            elif is_handing_over and core.is_handed_over(self.now):
                saved = core.saved_state(self.now) if self.has_disks else None
                self.kill(host.name)
                self.schedule(back_after_s, lambda: self._restart(host, saved))
                return
        self.schedule(
            TICK_S,
            lambda: self._finish_leaving(host, back_after_s, is_handing_over),
        )

    def _restart(
        self, old: _request_parts.Host, saved: requests.SavedState | None
    ) -> None:
        """Start a host again unless it has been restarted already."""
        if self.hosts[old.name] is old:
            self.start_host(old.name, old.zone, False, saved)

    def freeze(self, name: ids.HostId, seconds: float) -> None:
        """Freeze a host; it resumes after ``seconds``."""
        host = self.hosts[name]
        host.frozen_until = self.now + seconds
        self.schedule(seconds, lambda: self._resume(host))

    def replace_host(self, name: ids.HostId, max_delay_s: float) -> None:
        """Kill host ``name`` and put a new host in its place in the roster."""
        zone = self.hosts[name].zone
        self.kill(name)
        new_name = ids.HostId(f"n{next(self._serial)}")
        kept = [pair for pair in self.roster.hosts if pair[0] != name]
        self.roster = requests.Roster(
            self.roster.epoch + 1, (*kept, (new_name, zone))
        )
        self.start_host(new_name, zone, False)
        for host in self.hosts.values():
            delay_s = max_delay_s * self.rng.random()
            self.schedule(delay_s, functools.partial(self._adopt_roster, host))

    def _adopt_roster(self, host: _request_parts.Host) -> None:
        """Let a host adopt the newest roster and notify the others."""
        if not host.is_up or self.now < host.frozen_until:
            self.schedule(1.0, functools.partial(self._adopt_roster, host))
            return
        host.groups.adopt(self.now, self.roster)
        epoch = host.groups.epoch
        for other in self.hosts.values():
            other.groups.record_adoption(self.now, host.name, epoch)

    def perform(
        self, host: _request_parts.Host, actions: tuple[requests.Action, ...]
    ) -> None:
        """Carry out actions as a host's program does."""
        for action in actions:
            step = functools.partial(self._perform_one, host, action)
            self._run_or_postpone(host, step)

    def _perform_one(
        self, host: _request_parts.Host, action: requests.Action
    ) -> None:
        """Carry out one action of a host."""
        match action:
            case requests.Send():
                self._send(host, action)
            case requests.Place() if self.next_send_fault is not None:
                self._place_with_fault(host, action)
            case requests.Place() | requests.Cancel():
                self._to_upstream(host, action)
            case requests.Forward():
                self.counts["passed"] += 1
            case _:
                self._record_reply(action)

    def _place_with_fault(
        self, host: _request_parts.Host, action: requests.Place
    ) -> None:
        """Inject the pending fault around a host's placement."""
        send_fault, self.next_send_fault = self.next_send_fault, None
        if send_fault is _request_parts.SendFault.FREEZE_BEFORE:
            self.freeze(host.name, FREEZE_S)
            self._run_or_postpone(
                host, functools.partial(self._perform_one, host, action)
            )
        elif send_fault is _request_parts.SendFault.KILL_AFTER:
            self._perform_one(host, action)
        if send_fault in (
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
            """Deliver the message to the current process of the host."""
            to = self.hosts[action.host]
            message = self._codec.decode(data)
            self._handle_event(
                to,
                lambda: to.coordinator.receive(self.now, host.name, message),
            )

        link = (min(host.name, target.name), max(host.name, target.name))
        if link not in self.failed_links:
            self._carry(host.zone, target.zone, deliver)

    def _duplicate(self, req: requests.KeyedRequest) -> None:
        """Let the fabric deliver a late copy at a random host."""
        if self.rng.random() < self.duplication:
            host = self.rng.choice(list(self.hosts.values()))
            self.schedule(
                FABRIC_DELAY_S * self.rng.random(),
                lambda: self._on_datagram(host, req, False),
            )

    def _on_datagram(
        self,
        host: _request_parts.Host,
        req: requests.KeyedRequest,
        is_forwarded: bool,
    ) -> None:
        """Forward a caller's datagram to its coordinator, or begin it."""
        if not host.is_up:
            return
        is_possibly_stale = host.coordinator.may_read_stale_datagrams(self.now)
        is_local = is_forwarded or is_possibly_stale
        other = None if is_local else host.coordinator.route(req.key)
        if other is None:
            self._handle_event(
                host, lambda: host.coordinator.request(self.now, req)
            )
            return
        target = self.hosts[other]
        self._carry(
            host.zone,
            target.zone,
            lambda: self._on_datagram(target, req, True),
        )

    def _tick(self, host: _request_parts.Host) -> None:
        """Run a host's timers at intervals while it is up."""
        if not host.is_up or self.hosts[host.name] is not host:
            return
        self._handle_event(host, lambda: host.coordinator.tick(self.now))
        for ran in host.coordinator.take_completed_runs():
            self.reported_runs[ran.key] += 1
        self.schedule(TICK_S, lambda: self._tick(host))
