"""Slopes of what one entry host costs, and the table for the target size.

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

# The size of letter 1.
HOSTS = 690
UPSTREAMS = 3_900
SERVICES = 360
OPEN_FLOWS = 5_800_000
NEW_PER_S = 45_000
EDITS_A_DAY = 620
# Of the new work, taken to be requests that may not be repeated.
KEYED_SHARE = 1 / 3
RETENTION_S = 300
MEMBERS = 3

CORE_SHARE_LIMIT = 0.032
MEMORY_LIMIT_BYTES = 64 << 20
BYTES_PER_S_LIMIT = 30_000

FLOWS_PER_HOST = OPEN_FLOWS / HOSTS
NEW_FLOWS_PER_HOST = NEW_PER_S / HOSTS
KEYED_PER_HOST = NEW_PER_S * KEYED_SHARE * MEMBERS / HOSTS
KEYS_PER_HOST = KEYED_PER_HOST * RETENTION_S


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the table: a slope times a number."""

    what: str
    """What it is of."""
    count: float
    """The number at the target size."""
    value: float
    """Slope times number, plus the intercept."""
    unit: str
    """Unit of the value."""

    def to_json(self) -> str:
        """Return the row as one line of JSON."""
        return _figure.render(self)


def memory_of(build: abc.Callable[[int], object], count: int) -> float:
    """Return the bytes that ``build(count)`` keeps."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)


def seconds_of(run: abc.Callable[[], object], repeats: int) -> float:
    """Return the least seconds that one of several runs took."""
    best = float("inf")
    for _ in range(repeats):
        start = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - start)
    return best


def _memory_slope(
    name: str,
    per: str,
    build: abc.Callable[[int], object],
    sizes: tuple[int, ...],
) -> _membership.Slope:
    """Return the growth of memory with a number."""
    points = [(float(n), memory_of(build, n)) for n in sizes]
    return _membership.fit(name, "bytes", per, points)


def _time_slope(
    name: str,
    per: str,
    prepare: abc.Callable[[int], abc.Callable[[], object]],
    sizes: tuple[int, ...],
    repeats: int = 5,
) -> _membership.Slope:
    """Return the growth of processor time with a number."""
    points = [(float(n), 1e6 * seconds_of(prepare(n), repeats)) for n in sizes]
    return _membership.fit(name, "us", per, points)


def slopes() -> abc.Iterator[tuple[_membership.Slope, float]]:
    """Yield each slope with the number at the target size."""
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
            lambda n: parts.gate_tick(n, rng),
            (40, 120, 240, 360),
        ),
        SERVICES,
    )
    yield (
        _time_slope(
            "views_refresh_us",
            "upstream",
            parts.views_refresh,
            (300, 1_000, 2_000, 3_900),
        ),
        UPSTREAMS,
    )
    yield (
        _time_slope(
            "gauges_us",
            "upstream",
            parts.gauges_pass,
            (300, 1_000, 2_000, 3_900),
        ),
        UPSTREAMS,
    )
    yield (
        _time_slope(
            "claims_us", "claim", parts.claims, (500, 1_000, 2_000, 4_000)
        ),
        KEYED_PER_HOST,
    )
    yield (
        _time_slope(
            "new_flows_us",
            "flow",
            parts.new_flows,
            (500, 1_000, 2_000, 4_000),
        ),
        NEW_FLOWS_PER_HOST,
    )


def rows(
    found: abc.Iterable[tuple[_membership.Slope, float]],
) -> abc.Iterator[Row]:
    """Yield the table's rows."""
    for slope, count in found:
        value = slope.intercept + slope.slope * count
        yield Row(slope.figure, count, value, slope.unit)


def main() -> None:
    """Print slopes, then rows."""
    found = []
    for slope, count in slopes():
        print(slope.to_json(), flush=True)
        found.append((slope, count))
    for row in rows(found):
        print(row.to_json())


if __name__ == "__main__":
    main()
