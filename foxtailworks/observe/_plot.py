"""Renders histograms as text for a terminal."""

from collections import abc
import itertools

from foxtailworks.observe import _histograms

BAR_CHARS = 40
MAX_ROWS = 16
MAX_GAP_ROWS = 2
_PERCENTS = (50.0, 90.0, 99.0, 99.9, 100.0)
_EIGHTHS = " ▏▎▍▌▋▊▉█"


def plot(snapshot: _histograms.HistogramSnapshot) -> str:
    """Return a title, percentiles and one bar per range of latency."""
    title = (
        f"{snapshot.customer} {snapshot.service} {snapshot.priority.value}:"
        f" {snapshot.count} values"
    )
    if not snapshot.buckets:
        return title
    shown = (
        f"p{p:g} {_format_latency(_percentile(snapshot, p))}"
        for p in _PERCENTS
    )
    return "\n".join((title, "  " + "  ".join(shown), *_rows(snapshot)))


def _percentile(
    snapshot: _histograms.HistogramSnapshot, percent: float
) -> int:
    """Return a percentile in microseconds."""
    return _histograms.percentile(snapshot, percent)


def _rows(snapshot: _histograms.HistogramSnapshot) -> abc.Iterator[str]:
    """Yield a row for each power of two from the lowest to the highest.

    Longer gaps than ``MAX_GAP_ROWS`` are shown as one row of dots.
    """
    counts: dict[int, int] = {}
    for bucket in snapshot.buckets:
        power = bucket.value_us.bit_length()
        counts[power] = counts.get(power, 0) + bucket.count
    max_count = max(counts.values())
    for is_gap, powers in itertools.groupby(
        _shown_powers(counts), lambda power: power not in counts
    ):
        rows = list(powers)
        if is_gap and len(rows) > MAX_GAP_ROWS:
            yield f"  {'...':>8}"
            continue
        for power in rows:
            count = counts.get(power, 0)
            low = _format_latency(1 << power >> 1)
            yield f"  {low:>8} {_bar(count / max_count)} {count}"


def _shown_powers(counts: dict[int, int]) -> range:
    """Return the powers of two to show, at most the ``MAX_ROWS`` highest."""
    last = max(counts)
    return range(max(min(counts), last - MAX_ROWS + 1), last + 1)


def _bar(share: float) -> str:
    """Return a bar, padded to ``BAR_CHARS``.

    :param share: 0 to 1
    """
    eighths = round(share * BAR_CHARS * 8)
    whole, part = divmod(max(eighths, 1 if share else 0), 8)
    bar = _EIGHTHS[8] * whole + (_EIGHTHS[part] if part else "")
    return bar.ljust(BAR_CHARS)


def _format_latency(value_us: int) -> str:
    """Format a latency in us, ms or s."""
    if value_us < 1_000:
        return f"{value_us}us"
    if value_us < 1_000_000:
        return f"{value_us / 1_000:.3g}ms"
    return f"{value_us / 1_000_000:.3g}s"
