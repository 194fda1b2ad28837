"""Latency histograms per customer, service and priority class."""

from collections import abc
import dataclasses

import hdrh.histogram

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids

MAX_SERIES = 256
MAX_SNAPSHOTS = 64 * MAX_SERIES
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_COUNT = 1 << 48

# Values are rounded to their 8 highest bits: two significant digits.
_KEPT_BITS = 8
_HALF = 1 << (_KEPT_BITS - 1)
_SLOTS = ((MAX_LATENCY_US.bit_length() - _KEPT_BITS) << 7) + 2 * _HALF

# Customer whose series counts all others once the table is full.
OTHER_CUSTOMER = ids.CustomerId("(other)")

_Key = tuple[ids.CustomerId, ids.ServiceId, contracts.Priority]


@dataclasses.dataclass(frozen=True)
class Bucket:
    """Count of the recorded values in one range."""

    value_us: int
    """Lowest value of the range, in microseconds."""
    count: int
    """Number of recorded values in the range."""


@dataclasses.dataclass(frozen=True)
class HistogramSnapshot:
    """Buckets of one series at one moment."""

    customer: ids.CustomerId
    """Customer of the requests."""
    service: ids.ServiceId
    """Service of the requests."""
    priority: contracts.Priority
    """Priority class of the requests."""
    buckets: tuple[Bucket, ...]
    """Buckets that are not empty, in ascending order."""

    @property
    def count(self) -> int:
        """Return the number of recorded values."""
        return sum(item.count for item in self.buckets)


class Histograms:
    """A bounded number of series of latencies in microseconds.

    :param limit: largest number of series; further series are recorded
        together for the customer ``(other)``
    """

    def __init__(self, limit: int = MAX_SERIES) -> None:
        self._limit = limit
        self._series: dict[_Key, list[int]] = {}

    def record(
        self,
        customer: ids.CustomerId,
        service: ids.ServiceId,
        priority: contracts.Priority,
        latency_us: int,
    ) -> None:
        """Record one latency, limited to 0 up to ``MAX_LATENCY_US``."""
        key = (customer, service, priority)
        counts = self._series.get(key) or self._open(key)
        value = latency_us if latency_us > 0 else 0
        if value > MAX_LATENCY_US:
            value = MAX_LATENCY_US
        shift = value.bit_length() - _KEPT_BITS
        if shift < 0:
            shift = 0
        counts[(shift << (_KEPT_BITS - 1)) + (value >> shift)] += 1

    def _open(self, key: _Key) -> list[int]:
        """Create the counts of a series, or return those of ``(other)``."""
        if len(self._series) >= self._limit:
            key = (OTHER_CUSTOMER, ids.ServiceId(OTHER_CUSTOMER), key[2])
        return self._series.setdefault(key, [0] * _SLOTS)

    def snapshots(self) -> tuple[HistogramSnapshot, ...]:
        """Return the current buckets of each series."""
        return tuple(
            HistogramSnapshot(*key, tuple(_buckets(counts)))
            for key, counts in self._series.items()
        )


def _buckets(counts: list[int]) -> abc.Iterator[Bucket]:
    """Yield the buckets that are not empty."""
    for slot, count in enumerate(counts):
        if count:
            shift = max((slot >> (_KEPT_BITS - 1)) - 1, 0)
            base = slot - (shift << (_KEPT_BITS - 1))
            yield Bucket(base << shift, count)


def merge(
    snapshots: abc.Iterable[HistogramSnapshot],
) -> tuple[HistogramSnapshot, ...]:
    """Merge the snapshots of several hosts into one for each series.

    :raises FoxtailError: ``MESSAGE_MALFORMED`` for values out of range,
        ``TABLE_FULL`` for more than ``MAX_SNAPSHOTS`` series
    """
    merged: dict[_Key, dict[int, int]] = {}
    for item in snapshots:
        key = (item.customer, item.service, item.priority)
        counts = merged.setdefault(key, {})
        if len(merged) > MAX_SNAPSHOTS:
            raise errors.FoxtailError(
                errors.Code.TABLE_FULL, "too many histograms"
            )
        for bucket in item.buckets:
            _check(bucket)
            value = bucket.value_us
            counts[value] = counts.get(value, 0) + bucket.count
    return tuple(
        HistogramSnapshot(
            *key, tuple(Bucket(*pair) for pair in sorted(counts.items()))
        )
        for key, counts in merged.items()
    )


def _check(bucket: Bucket) -> None:
    """Reject a bucket that no host could have recorded."""
    is_valid_count = 1 <= bucket.count <= MAX_COUNT
    if not is_valid_count or not 0 <= bucket.value_us <= MAX_LATENCY_US:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED,
            "histogram out of range",
            value_us=bucket.value_us,
            count=bucket.count,
        )


def percentile(snapshot: HistogramSnapshot, percent: float) -> int:
    """Return the latency that ``percent`` of the values do not exceed.

    :param percent: 0 to 100
    :return: microseconds
    """
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for bucket in snapshot.buckets:
        _check(bucket)
        histogram.record_value(bucket.value_us, bucket.count)
    return int(histogram.get_value_at_percentile(percent))
