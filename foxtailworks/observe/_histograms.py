"""Latency histograms for each customer, service and priority class."""

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

# A value keeps its 8 highest bits: the resolution of two digits.
_KEPT_BITS = 8
_HALF = 1 << (_KEPT_BITS - 1)
_SLOTS = ((MAX_LATENCY_US.bit_length() - _KEPT_BITS) << 7) + 2 * _HALF

# What is recorded once the table of series is full.
OTHER_CUSTOMER = ids.CustomerId("(other)")

_Key = tuple[ids.CustomerId, ids.ServiceId, contracts.Priority]


@dataclasses.dataclass(frozen=True)
class Bucket:
    """A range of values that are counted as one."""

    value_us: int
    """Lowest value of the range, in microseconds."""
    count: int
    """How often a value of the range was recorded."""


@dataclasses.dataclass(frozen=True)
class HistogramSnapshot:
    """What one series holds at one moment."""

    customer: ids.CustomerId
    """Whose requests."""
    service: ids.ServiceId
    """Which service."""
    priority: contracts.Priority
    """Which priority class."""
    buckets: tuple[Bucket, ...]
    """Ranges with a count, in ascending order."""

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return sum(item.count for item in self.buckets)


class Histograms:
    """A bounded number of series of latencies in microseconds.

    :param limit: largest number of series; what comes after the table is
        full is recorded for the customer ``(other)``
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
        """Record one latency; one out of range counts as the nearest."""
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
        """Return the counts of a new series."""
        if len(self._series) >= self._limit:
            key = (OTHER_CUSTOMER, ids.ServiceId(OTHER_CUSTOMER), key[2])
        return self._series.setdefault(key, [0] * _SLOTS)

    def snapshots(self) -> tuple[HistogramSnapshot, ...]:
        """Return what each series holds now."""
        return tuple(
            HistogramSnapshot(*key, tuple(_buckets(counts)))
            for key, counts in self._series.items()
        )


def _buckets(counts: list[int]) -> abc.Iterator[Bucket]:
    """Yield the ranges that hold something."""
    for slot, count in enumerate(counts):
        if count:
            shift = max((slot >> (_KEPT_BITS - 1)) - 1, 0)
            base = slot - (shift << (_KEPT_BITS - 1))
            yield Bucket(base << shift, count)


def merge(
    snapshots: abc.Iterable[HistogramSnapshot],
) -> tuple[HistogramSnapshot, ...]:
    """Return one snapshot for each series, over all hosts.

    :raises FoxtailError: ``MESSAGE_MALFORMED`` for values out of range,
        ``TABLE_FULL`` for more series than any host may have
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
    """Refuse a bucket that no host could have recorded."""
    countable = 1 <= bucket.count <= MAX_COUNT
    if not countable or not 0 <= bucket.value_us <= MAX_LATENCY_US:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED,
            "histogram out of range",
            value_us=bucket.value_us,
            count=bucket.count,
        )


def percentile(snapshot: HistogramSnapshot, percent: float) -> int:
    """Return the latency that ``percent`` of the values don't exceed."""
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for bucket in snapshot.buckets:
        _check(bucket)
        histogram.record_value(bucket.value_us, bucket.count)
    return int(histogram.get_value_at_percentile(percent))
