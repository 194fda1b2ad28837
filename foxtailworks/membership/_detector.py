"""Probes, indirect probes and suspicion within an availability zone."""

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
    """The probe under way."""

    target: ids.HostId
    sequence: int
    started_at: float
    asked_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """A probe made in another host's stead."""

    asker: ids.Address
    """Who is told of an answer."""
    sequence: int
    """The asker's number."""
    until: float
    """When the answer is too late."""


class Detector:
    """Decides whom to probe next, and which silence makes a suspect.

    It holds no claims of its own: it reads the table of hosts and tells the
    core what to claim.
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
        self._relayed: dict[int, Relayed] = {}
        self._sequence = rng.getrandbits(30)

    def next_sequence(self) -> int:
        """Return a fresh number for a ping."""
        self._sequence += 1
        return self._sequence

    def pick(self, now: float) -> tuple[_host.Host, int] | None:
        """Choose the next host to probe, each once in a round."""
        host = self._next_live()
        if host is None:
            return None
        sequence = self.next_sequence()
        self._probe = _Probe(host.id, sequence, now)
        return host, sequence

    def _next_live(self) -> _host.Host | None:
        """Return the next live host of the round."""
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

    def overdue(self, now: float) -> tuple[_host.Host, int] | None:
        """Return the probed host once its direct answer is overdue."""
        probe = self._probe
        if probe is None or probe.asked_at is not None:
            return None
        if now - probe.started_at < self._cfg.probe_timeout_s:
            return None
        probe.asked_at = now
        host = self._hosts.get(probe.target)
        return (host, probe.sequence) if host is not None else None

    def helpers(self, target: _host.Host) -> list[_host.Host]:
        """Choose hosts to probe ``target``, of the own zone if there are."""
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
        known = (self._me.id, target.id)
        return [host for host in hosts if host.id not in known]

    def answered(self, sequence: int) -> None:
        """Take an answer to the probe under way."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None

    def is_waiting(self, now: float) -> bool:
        """Tell whether others may still answer; ticks can come late."""
        probe = self._probe
        if probe is None or probe.asked_at is None:
            return False
        return now - probe.asked_at < self._cfg.probe_timeout_s

    def finish(self) -> _host.Host | None:
        """End the probe; return the host if nobody reached it."""
        probe, self._probe = self._probe, None
        if probe is None or probe.asked_at is None:
            return None
        host = self._hosts.get(probe.target)
        if host is None or host.state is not _host.HostState.ALIVE:
            return None
        return host

    def relay(self, sequence: int, relayed: Relayed) -> bool:
        """Remember a probe made for another host, if there is room."""
        if len(self._relayed) >= MAX_RELAYED:
            return False
        self._relayed[sequence] = relayed
        return True

    def relayed(self, sequence: int) -> Relayed | None:
        """Return for whom the probe ``sequence`` was made."""
        return self._relayed.pop(sequence, None)

    def note(self, host: _host.Host, now: float) -> None:
        """Start or end the suspicion of a host of the own zone."""
        is_suspect = host.state is _host.HostState.SUSPECT
        if host.zone != self._me.zone or not is_suspect:
            self._suspects.pop(host.id, None)
            return
        until = now + self._cfg.suspicion_s
        self._suspects[host.id] = (host, until)

    def condemned(self, now: float) -> list[_host.Host]:
        """Return the suspects whose time to refute is over."""
        ended = [h for h, until in self._suspects.values() if now >= until]
        for host in ended:
            del self._suspects[host.id]
        return ended

    def restart(self, now: float) -> None:
        """Start probe and suspicions anew after this host was stopped."""
        self._probe = None
        until = now + self._cfg.suspicion_s
        for host_id, (host, _) in self._suspects.items():
            self._suspects[host_id] = (host, until)

    def on_tick(self, now: float) -> None:
        """Drop relayed probes that weren't answered."""
        if self._relayed:
            self._relayed = {
                key: item
                for key, item in self._relayed.items()
                if item.until > now
            }
