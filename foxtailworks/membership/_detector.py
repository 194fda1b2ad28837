"""SWIM's failure detector within an availability zone."""

from collections import abc
import dataclasses
import random

from foxtailworks import ids
from foxtailworks.membership import _config
from foxtailworks.membership import _host
from foxtailworks.membership import _hosts

MAX_RELAYED = 1_024


@dataclasses.dataclass(slots=True)
class _Probe:
    """Current probe of this host."""

    target: ids.HostId
    sequence: int
    started_at: float
    indirect_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Probe made on behalf of another host."""

    requester: ids.Address
    """Host that is notified of an ack."""
    sequence: int
    """Sequence number of the requester's ping-req."""
    expires_at: float
    """Monotonic time from which an ack is too late."""


class Detector:
    """Chooses targets of probes and keeps the timeouts of suspects.

    It changes no records: it reads the table of hosts, and the core records
    suspicions and deaths.
    """

    def __init__(
        self,
        me: _host.Host,
        rng: random.Random,
        config: _config.Config,
        hosts: _hosts.HostTable,
    ) -> None:
        self._me = me
        self._rng = rng
        self._cfg = config
        self._hosts = hosts
        self._queue: list[ids.HostId] = []
        self._probe: _Probe | None = None
        self._suspects: dict[ids.HostId, tuple[_host.Host, float]] = {}
        self._relayed: dict[int, IndirectProbe] = {}
        self._sequence = rng.getrandbits(30)

    def next_sequence(self) -> int:
        """Return an unused sequence number for a ping."""
        self._sequence += 1
        return self._sequence

    def start_probe(self, now: float) -> tuple[_host.Host, int] | None:
        """Start a probe of the next host; return it and the sequence number.

        Each live host of the zone is probed once in a round.
        """
        host = self._next_target()
        if host is None:
            return None
        sequence = self.next_sequence()
        self._probe = _Probe(host.id, sequence, now)
        return host, sequence

    def _next_target(self) -> _host.Host | None:
        """Return the next live host of the round, or of a new one."""
        for _ in range(2):
            while self._queue:
                host = self._hosts.get(self._queue.pop())
                if host is not None and host.is_live:
                    return host
            self._queue = [
                host.id
                for host in self._hosts.live_in(self._me.zone)
                if host.id != self._me.id
            ]
            self._rng.shuffle(self._queue)
        return None

    def start_indirect_probe(
        self, now: float
    ) -> tuple[_host.Host, int] | None:
        """Return the probed host, once, when its direct ack is overdue."""
        probe = self._probe
        if probe is None or probe.indirect_since is not None:
            return None
        if now - probe.started_at < self._cfg.probe_timeout_s:
            return None
        probe.indirect_since = now
        host = self._hosts.get(probe.target)
        return (host, probe.sequence) if host is not None else None

    def choose_helpers(self, target: _host.Host) -> list[_host.Host]:
        """Choose hosts for ping-reqs, of the own zone if there are enough."""
        near = self._others(self._hosts.live_in(self._me.zone), target)
        wanted = self._cfg.indirect_probes
        if len(near) >= wanted:
            return self._rng.sample(near, wanted)
        live = (host for host in self._hosts.all() if host.is_live)
        far = self._others(
            (host for host in live if host.zone != self._me.zone), target
        )
        missing = min(wanted - len(near), len(far))
        return near + self._rng.sample(far, missing)

    def _others(
        self, hosts: abc.Iterable[_host.Host], target: _host.Host
    ) -> list[_host.Host]:
        """Return ``hosts`` without this one and the target."""
        excluded = (self._me.id, target.id)
        return [host for host in hosts if host.id not in excluded]

    def on_ack(self, sequence: int) -> None:
        """End the current probe if ``sequence`` is its number."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None

    def is_awaiting_indirect_ack(self, now: float) -> bool:
        """Return whether an indirect ack may still come.

        Late ticks would otherwise end the probe too early.
        """
        probe = self._probe
        if probe is None or probe.indirect_since is None:
            return False
        return now - probe.indirect_since < self._cfg.probe_timeout_s

    def finish_probe(self) -> _host.Host | None:
        """End the probe; return the target if it must be suspected."""
        probe, self._probe = self._probe, None
        if probe is None or probe.indirect_since is None:
            return None
        host = self._hosts.get(probe.target)
        if host is None or host.state is not _host.HostState.ALIVE:
            return None
        return host

    def add_relayed(self, sequence: int, relayed: IndirectProbe) -> bool:
        """Store a probe made for another host; return if there was room."""
        if len(self._relayed) >= MAX_RELAYED:
            return False
        self._relayed[sequence] = relayed
        return True

    def pop_relayed(self, sequence: int) -> IndirectProbe | None:
        """Remove and return the probe made for another host, if any."""
        return self._relayed.pop(sequence, None)

    def on_host_changed(self, host: _host.Host, now: float) -> None:
        """Start or stop the timeout of a suspect of the own zone."""
        is_suspect = host.state is _host.HostState.SUSPECT
        if host.zone != self._me.zone or not is_suspect:
            self._suspects.pop(host.id, None)
            return
        refute_until = now + self._cfg.suspicion_s
        self._suspects[host.id] = (host, refute_until)

    def pop_expired_suspects(self, now: float) -> list[_host.Host]:
        """Remove and return the suspects that didn't refute in time."""
        ended = [
            h
            for h, refute_until in self._suspects.values()
            if now >= refute_until
        ]
        for host in ended:
            del self._suspects[host.id]
        return ended

    def reset_timers(self, now: float) -> None:
        """Drop the probe and restart the timeouts of all suspects."""
        self._probe = None
        refute_until = now + self._cfg.suspicion_s
        for host_id, (host, _) in self._suspects.items():
            self._suspects[host_id] = (host, refute_until)

    def on_tick(self, now: float) -> None:
        """Drop expired probes that were made for other hosts."""
        if self._relayed:
            self._relayed = {
                key: item
                for key, item in self._relayed.items()
                if item.expires_at > now
            }
