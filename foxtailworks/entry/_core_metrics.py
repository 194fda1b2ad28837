"""Export of the cores' figures to the metrics."""

from foxtailworks.entry import _cores
from foxtailworks.entry import _requests
from foxtailworks import membership
from foxtailworks import observe

INTERVAL_S = 1.0


class CoreMetrics:
    """Exports gauges and the increases of counters once a second."""

    def __init__(
        self,
        cores: _cores.Cores,
        path: _requests.RequestPath,
        metrics: observe.Metrics,
    ) -> None:
        self._cores = cores
        self._path = path
        self._metrics = metrics
        self._next_at = 0.0
        self._last_totals: dict[observe.Counter, int] = {}

    def on_tick(self, now: float) -> None:
        """Export the figures when it is due."""
        if now < self._next_at:
            return
        self._next_at = now + INTERVAL_S
        for gauge, level in self._levels().items():
            self._metrics.gauge(gauge, level)
        for counter, total in self._totals().items():
            increase = total - self._last_totals.get(counter, 0)
            self._metrics.count(counter, increase)
            self._last_totals[counter] = total

    def _levels(self) -> dict[observe.Gauge, float]:
        """Return the current value of each gauge."""
        cores = self._cores
        suspected = membership.HostState.SUSPECT
        hosts = cores.members.hosts()
        known = [item for item in cores.directory.all() if item.is_open]
        return {
            observe.Gauge.FLOWS_OPEN: cores.placer.flow_count,
            observe.Gauge.REQUESTS_IN_FLIGHT: len(self._path.exchanges),
            observe.Gauge.HOSTS_LIVE: len(cores.members.live()),
            observe.Gauge.HOSTS_SUSPECTED: sum(
                1 for item in hosts if item.state is suspected
            ),
            observe.Gauge.UPSTREAMS_KNOWN: len(known),
            observe.Gauge.VERSION_IN_FORCE: cores.contracts.version,
        }

    def _totals(self) -> dict[observe.Counter, int]:
        """Return the totals of the cores' counters since the start."""
        placed = self._cores.placer.counts
        return {
            observe.Counter.FLOWS_PLACED: placed.placed,
            observe.Counter.FLOWS_BROKEN: placed.reassigned,
            observe.Counter.REQUESTS_RETRIED: self._path.retries(),
        }
