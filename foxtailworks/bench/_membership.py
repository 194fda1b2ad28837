"""What membership and the directory cost, over hosts and upstreams.

Run with ``python -m foxtailworks.bench._membership [--largest 690]``.
"""

from collections import abc
import dataclasses
import statistics
import typing

import typer

from foxtailworks.bench import _figure
from foxtailworks.bench import _membership_figures as figures
from foxtailworks.bench import _membership_suspicions

# (hosts, availability zones); three regions throughout.
HOST_SIZES = ((7, 3), (30, 3), (77, 3), (150, 6), (300, 9), (690, 9))
UPSTREAM_SIZES = (20, 200, 1_000, 3_900)


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points."""

    figure: str
    """What was measured."""
    unit: str
    """Unit of the value."""
    per: str
    """What the value was measured over."""
    points: tuple[tuple[float, float], ...]
    """Size and value."""
    slope: float
    """Growth of the value for one more."""
    intercept: float
    """Value at none."""
    spread: float
    """Largest distance of a point from the line."""

    def to_json(self) -> str:
        """Return the slope as one line of JSON."""
        return _figure.render(self)


def fit(
    figure: str,
    unit: str,
    per: str,
    points: abc.Sequence[tuple[float, float]],
) -> Slope:
    """Return the least-squares line through ``points``."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    spread = max(abs(y - line.intercept - line.slope * x) for x, y in points)
    return Slope(
        figure,
        unit,
        per,
        tuple(points),
        line.slope,
        line.intercept,
        spread,
    )


class Collector:
    """Prints figures and keeps the points of the slopes."""

    def __init__(self) -> None:
        self._points: dict[str, list[tuple[float, float]]] = {}
        self._units: dict[str, str] = {}

    def add(
        self, size: float, found: abc.Iterable[_figure.Figure], suffix: str
    ) -> None:
        """Print the figures of one size."""
        for figure in found:
            print(figure.to_json(), flush=True)
            name = figure.figure.removesuffix(f"_{suffix}")
            self._points.setdefault(name, []).append((size, figure.value))
            self._units[name] = figure.unit

    def slopes(self, per: str) -> abc.Iterator[Slope]:
        """Yield a line through the points of each figure."""
        for name, points in self._points.items():
            if len(points) > 2:
                yield fit(name, self._units[name], per, points)


def run_hosts(largest: int, largest_bad: int) -> abc.Iterator[Slope]:
    """Print the figures over hosts; yield their slopes."""
    collector = Collector()
    for hosts, zones in HOST_SIZES:
        if hosts > largest:
            break
        suffix = f"{hosts}_hosts"
        bench = figures.Bench(hosts, zones, 20, seed=hosts)
        collector.add(hosts, figures.measure_steady(bench, 20, suffix), suffix)
        collector.add(hosts, figures.measure_news(bench, suffix), suffix)
        if 77 <= hosts <= largest_bad:
            collector.add(
                hosts, figures.measure_bad_days(bench, suffix), suffix
            )
        state = _figure.Figure(
            f"membership_state_bytes_{suffix}",
            figures.measure_state(hosts, 0),
            "bytes",
        )
        collector.add(hosts, [state], suffix)
    yield from collector.slopes("host")


def run_upstreams(largest: int) -> abc.Iterator[Slope]:
    """Print the figures over upstreams; yield their slopes."""
    collector = Collector()
    for count in UPSTREAM_SIZES:
        if count > largest:
            break
        suffix = f"{count}_upstreams"
        bench = figures.Bench(30, 3, 0, seed=count)
        collector.add(
            count, [figures.measure_cold_start(bench, count)], suffix
        )
        bench.cluster.run(figures.SETTLE_S)
        collector.add(
            count, figures.measure_steady(bench, count, suffix), suffix
        )
        collector.add(count, figures.measure_join(bench, count), suffix)
        state = _figure.Figure(
            f"membership_state_bytes_{suffix}",
            figures.measure_state(1, count),
            "bytes",
            target=figures.TARGET_STATE_BYTES,
        )
        collector.add(count, [state], suffix)
    yield from collector.slopes("upstream")


def main(
    largest: typing.Annotated[int, typer.Option()] = figures.TARGET_HOSTS,
    largest_upstreams: typing.Annotated[
        int, typer.Option()
    ] = figures.TARGET_UPSTREAMS,
    largest_bad: typing.Annotated[int, typer.Option()] = 150,
) -> None:
    """Print figures, then slopes, as lines of JSON."""
    slopes = [
        *run_hosts(largest, largest_bad),
        *run_upstreams(largest_upstreams),
    ]
    print(_membership_suspicions.measure_doubts().to_json())
    for slope in slopes:
        print(slope.to_json())


if __name__ == "__main__":
    typer.run(main)
