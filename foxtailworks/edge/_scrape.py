"""Figures in the text format that scrapers read.

The library is loaded with the first scrape: nobody pays for its memory
where nobody looks.
"""

from collections import abc
import typing

from foxtailworks.edge import _audit

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def render(
    figures: _audit.Figures, gauges: abc.Mapping[str, tuple[str, float]]
) -> bytes:
    """Return all figures of an edge host as text.

    :param gauges: name to meaning and level
    """
    import prometheus_client
    from prometheus_client import registry

    made = registry.CollectorRegistry()
    made.register(_Collector(figures, gauges))
    return prometheus_client.generate_latest(made)


class _Collector:
    """Hands figures over at each scrape."""

    def __init__(
        self,
        figures: _audit.Figures,
        gauges: abc.Mapping[str, tuple[str, float]],
    ) -> None:
        self._figures = figures
        self._gauges = gauges

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield each family of figures."""
        from prometheus_client import core

        found = self._figures
        counters = (
            ("placed", "Openings passed on.", found.placed),
            ("placed_again", "Openings placed again.", found.placed_again),
            ("unanswered", "Openings without answer.", found.unanswered),
        )
        for name, meaning, value in counters:
            yield core.CounterMetricFamily(
                f"foxtail_openings_{name}", meaning, value=value
            )
        ended = core.CounterMetricFamily(
            "foxtail_flows_ended", "Flows by ending.", labels=["ending"]
        )
        for ending, count in found.ended.items():
            ended.add_metric([ending.value], count)
        yield ended
        turned = core.CounterMetricFamily(
            "foxtail_packets_refused",
            "Packets not forwarded, by reason.",
            labels=["reason"],
        )
        for reason, count in found.rejected.items():
            turned.add_metric([reason.value], count)
        yield turned
        histograms = (
            ("answer", "Time to an answer.", found.answer),
            ("flow", "Time from opening to close.", found.duration),
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
