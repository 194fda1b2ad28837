"""Metrics in Prometheus' text format.

The client library is imported at the first scrape, so that hosts that
aren't scraped don't spend memory on it.
"""

from collections import abc
import typing

from foxtailworks.edge import _audit
from foxtailworks.edge import _link

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def render(
    metrics: _audit.Metrics,
    gauges: abc.Mapping[str, tuple[str, float]],
    link: _link.Link | None = None,
) -> bytes:
    """Return all metrics of an edge host as text.

    :param gauges: maps a name to its help text and value
    :param link: queue of the host's own link; None if it has none
    """
    import prometheus_client
    from prometheus_client import registry

    collectors = registry.CollectorRegistry()
    collectors.register(_Collector(metrics, gauges))
    if link is not None:
        collectors.register(_LinkCollector(link))
    return prometheus_client.generate_latest(collectors)


class _Collector:
    """Collector that reads the metrics at each scrape."""

    def __init__(
        self,
        metrics: _audit.Metrics,
        gauges: abc.Mapping[str, tuple[str, float]],
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield each family of metrics."""
        from prometheus_client import core

        metrics = self._metrics
        counters = (
            ("placed", "Openings passed on.", metrics.placed),
            ("placed_again", "Openings placed again.", metrics.placed_again),
            ("unanswered", "Openings without answer.", metrics.unanswered),
        )
        for name, meaning, value in counters:
            yield core.CounterMetricFamily(
                f"foxtail_openings_{name}", meaning, value=value
            )
        ended = core.CounterMetricFamily(
            "foxtail_flows_ended", "Flows by ending.", labels=["ending"]
        )
        for ending, count in metrics.ended.items():
            ended.add_metric([ending.value], count)
        yield ended
        rejected = core.CounterMetricFamily(
            "foxtail_packets_refused",
            "Packets not forwarded, by reason.",
            labels=["reason"],
        )
        for reason, count in metrics.rejected.items():
            rejected.add_metric([reason.value], count)
        yield rejected
        histograms = (
            ("answer", "Time to an answer.", metrics.answer),
            ("flow", "Time from opening to close.", metrics.duration),
        )
        for name, meaning, item in histograms:
            yield core.HistogramMetricFamily(
                f"foxtail_{name}_seconds",
                meaning,
                buckets=list(item.cumulative()),
                sum_value=item.total_s,
            )
        for name, (meaning, level) in self._gauges.items():
            yield core.GaugeMetricFamily(f"foxtail_{name}", meaning, level)


class _LinkCollector:
    """Collector that reads the metrics of the link's queue."""

    def __init__(self, link: _link.Link) -> None:
        self._link = link

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield each family of metrics."""
        from prometheus_client import core

        link = self._link
        yield core.GaugeMetricFamily(
            "foxtail_link_queued_bytes",
            "Bytes that wait for the link.",
            link.queued_bytes,
        )
        yield core.GaugeMetricFamily(
            "foxtail_link_oldest_seconds",
            "Age of the oldest packet that waits for the link.",
            link.oldest_age_s,
        )
        counters = (
            ("sent", "Callers' bytes sent.", link.counters.sent_bytes),
            ("charged", "Control bytes sent.", link.counters.charged_bytes),
        )
        for name, meaning, value in counters:
            yield core.CounterMetricFamily(
                f"foxtail_link_{name}_bytes", meaning, value=value
            )
        dropped = core.CounterMetricFamily(
            "foxtail_link_dropped",
            "Packets dropped in the link's queue, by reason.",
            labels=["reason"],
        )
        for reason, count in link.counters.dropped.items():
            dropped.add_metric([reason.value], count)
        yield dropped
