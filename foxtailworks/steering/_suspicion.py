"""Suspicion of upstreams that don't answer SYNs."""

from collections import abc
import dataclasses
import itertools

from foxtailworks import discovery
from foxtailworks.steering import _config
from foxtailworks.steering import _flows


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """This host's own suspicion of an upstream."""

    suspected_until: float = 0.0
    """End of the suspicion, monotonic seconds."""
    back_off_s: float = 0.0
    """Length of the last back-off in seconds."""


class SuspicionTracker:
    """Suspects upstreams that leave SYNs unanswered.

    Upstreams answer the caller directly. This host infers an answer from
    the caller's next packet.
    """

    def __init__(self, config: _config.Config) -> None:
        self._cfg = config
        self._local: dict[_flows.InstanceKey, _Suspicion] = {}
        self._reported: dict[_flows.InstanceKey, float] = {}
        self.has_updates = False
        """Whether an upstream became suspected since this was last reset."""

    def is_suspected(self, upstream: _flows.InstanceKey, now: float) -> bool:
        """Return whether this host or several others suspect an upstream."""
        if now < self._reported.get(upstream, 0.0):
            return True
        suspicion = self._local.get(upstream)
        return suspicion is not None and now < suspicion.suspected_until

    def level(self, upstream: _flows.InstanceKey, now: float) -> float:
        """Return the evidence against an upstream.

        0 without a suspicion, 1 after one unanswered SYN or when other hosts
        suspect it, and twice as much after each further one without an
        answer in between.
        """
        if not self._local and not self._reported:
            return 0.0
        suspicion = self._local.get(upstream)
        if suspicion is not None and now < suspicion.suspected_until:
            return suspicion.back_off_s / self._cfg.back_off_s
        return float(self.is_suspected(upstream, now))

    def local_suspects(self, now: float) -> tuple[_flows.InstanceKey, ...]:
        """Return the upstreams that this host itself suspects."""
        return tuple(
            key
            for key, suspicion in self._local.items()
            if now < suspicion.suspected_until
        )

    def reportable(
        self, roster: discovery.Roster, now: float
    ) -> tuple[_flows.InstanceKey, ...]:
        """Return the upstreams that this host suspects, to report them.

        Empty while this host suspects more than half of all upstreams: then
        it is most likely partitioned itself, or was stopped for a while.
        """
        suspects = self.local_suspects(now)
        if not suspects:
            return ()
        live = (i for i in roster.all() if roster.is_presumed_live(i, now))
        enough = 2 * len(suspects)
        # Counts no further than needed: there may be thousands.
        has_enough = sum(1 for _ in itertools.islice(live, enough)) == enough
        return suspects if has_enough else ()

    def put_suspected(
        self, keys: abc.Iterable[_flows.InstanceKey], now: float
    ) -> None:
        """Store the upstreams that several other hosts suspect."""
        self._reported = {
            key: until for key, until in self._reported.items() if now < until
        }
        for key in keys:
            self._reported[key] = now + self._cfg.suspicion_valid_s

    def on_answered(self, upstream: _flows.InstanceKey) -> None:
        """Clear the suspicion of an upstream that has answered."""
        self._local.pop(upstream, None)
        self._reported.pop(upstream, None)

    def clear(self) -> None:
        """Clear the suspicion of all upstreams."""
        self._local.clear()
        self._reported.clear()

    def on_unanswered(self, upstream: _flows.InstanceKey, now: float) -> None:
        """Suspect an upstream, longer with each unanswered SYN."""
        suspicion = self._local.setdefault(upstream, _Suspicion())
        if now < suspicion.suspected_until:
            return
        suspicion.back_off_s = min(
            self._cfg.max_back_off_s,
            suspicion.back_off_s * 2 or self._cfg.back_off_s,
        )
        suspicion.suspected_until = now + suspicion.back_off_s
        self.has_updates = True
