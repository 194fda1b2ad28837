"""Cost of one entry host by size, and the table for the target size.

``make capacity`` prints each slope as a line of JSON (points, fit, spread)
and then the rows of docs/CAPACITY.md that follow from them.
"""

from collections import abc
import dataclasses
import gc
import random
import time
import tracemalloc

from foxtailworks.bench import _capacity_parts as parts
from foxtailworks.bench import _figure
from foxtailworks.bench import _membership

# Target size that the users named; see docs/DEVELOPERS.md.
HOSTS = 690
UPSTREAMS = 3_900
SERVICES = 360
OPEN_FLOWS = 5_800_000
ARRIVALS_PER_S = 45_000
EDITS_A_DAY = 620
# Assumed share of arrivals that are requests which must not run twice.
KEYED_SHARE = 1 / 3
KEY_RETENTION_S = 300
MEMBERS_PER_KEY = 3

CORE_SHARE_LIMIT = 0.032
MEMORY_LIMIT_BYTES = 64 << 20
BYTES_PER_S_LIMIT = 30_000

FLOWS_PER_HOST = OPEN_FLOWS / HOSTS
NEW_FLOWS_PER_HOST = ARRIVALS_PER_S / HOSTS
CLAIMS_PER_HOST = ARRIVALS_PER_S * KEYED_SHARE * MEMBERS_PER_KEY / HOSTS
KEYS_PER_HOST = CLAIMS_PER_HOST * KEY_RETENTION_S


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A line of the table: cost at the target size."""

    what: str
    """Name of the figure."""
    count: float
    """Count per host at the target size."""
    value: float
    """Slope times count, plus the intercept."""
    unit: str
    """Unit of the value."""

    def to_json(self) -> str:
        """Return the row as one line of JSON."""
        return _figure.render(self)


def retained_bytes(build: abc.Callable[[int], object], count: int) -> float:
    """Return the bytes allocated by ``build(count)`` and still in use."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(after - before)


def shortest_run_s(run: abc.Callable[[], object], repeats: int) -> float:
    """Return the seconds of the shortest of several runs."""
    shortest_s = float("inf")
    for _ in range(repeats):
        start = time.perf_counter()
        run()
        shortest_s = min(shortest_s, time.perf_counter() - start)
    return shortest_s


def _memory_slope(
    name: str,
    per: str,
    build: abc.Callable[[int], object],
    sizes: tuple[int, ...],
) -> _membership.Slope:
    """Fit memory in bytes against the count.

    :param per: what is counted
    """
    points = [(float(n), retained_bytes(build, n)) for n in sizes]
    return _membership.fit(name, "bytes", per, points)


def _time_slope(
    name: str,
    per: str,
    prepare: abc.Callable[[int], abc.Callable[[], object]],
    sizes: tuple[int, ...],
    repeats: int = 5,
) -> _membership.Slope:
    """Fit processor time in microseconds against the count.

    :param per: what is counted
    """
    points = [
        (float(n), 1e6 * shortest_run_s(prepare(n), repeats)) for n in sizes
    ]
    return _membership.fit(name, "us", per, points)


def slopes() -> abc.Iterator[tuple[_membership.Slope, float]]:
    """Yield each slope with the count at the target size."""
    rng = random.Random(1)
    yield (
        _memory_slope(
            "flow_table_bytes",
            "open flow",
            parts.build_flows,
            (4_000, 8_000, 16_000, 32_000),
        ),
        FLOWS_PER_HOST,
    )
    yield (
        _memory_slope(
            "claim_store_bytes",
            "key",
            parts.build_keys,
            (4_000, 8_000, 16_000, 32_000),
        ),
        KEYS_PER_HOST,
    )
    yield (
        _memory_slope(
            "contracts_bytes",
            "service",
            parts.build_contracts,
            (40, 120, 240, 360),
        ),
        SERVICES,
    )
    yield (
        _memory_slope(
            "directory_bytes",
            "upstream",
            parts.build_directory,
            (300, 1_000, 2_000, 3_900),
        ),
        UPSTREAMS,
    )
    yield (
        _time_slope(
            "gate_us_per_s",
            "service",
            lambda n: parts.prepare_admission_ticks(n, rng),
            (40, 120, 240, 360),
        ),
        SERVICES,
    )
    yield (
        _time_slope(
            "views_refresh_us",
            "upstream",
            parts.prepare_view_refresh,
            (300, 1_000, 2_000, 3_900),
        ),
        UPSTREAMS,
    )
    yield (
        _time_slope(
            "gauges_us",
            "upstream",
            parts.prepare_gauge_count,
            (300, 1_000, 2_000, 3_900),
        ),
        UPSTREAMS,
    )
    yield (
        _time_slope(
            "claims_us",
            "claim",
            parts.prepare_claims,
            (500, 1_000, 2_000, 4_000),
        ),
        CLAIMS_PER_HOST,
    )
    yield (
        _time_slope(
            "new_flows_us",
            "flow",
            parts.prepare_new_flows,
            (500, 1_000, 2_000, 4_000),
        ),
        NEW_FLOWS_PER_HOST,
    )


def rows(
    slope_counts: abc.Iterable[tuple[_membership.Slope, float]],
) -> abc.Iterator[Row]:
    """Yield the rows of the capacity table."""
    for slope, count in slope_counts:
        value = slope.intercept + slope.slope * count
        yield Row(slope.figure, count, value, slope.unit)


def main() -> None:
    """Print all slopes, then the rows of the table."""
    slope_counts = []
    for slope, count in slopes():
        print(slope.to_json(), flush=True)
        slope_counts.append((slope, count))
    for row in rows(slope_counts):
        print(row.to_json())


if __name__ == "__main__":
    main()
