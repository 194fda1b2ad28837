"""Counters and gauges, sent to statsd in batches."""

import asyncio
from collections import abc
import contextlib
import typing

import statsd

from foxtailworks import ids
from foxtailworks.observe import _names


FLUSH_S = 1.0


class Metrics:
    """Counters and gauges in memory; ``flush`` sends increments to statsd.

    Counting makes no system call, so that it is cheap enough per packet.

    :param client: statsd client; None sends nothing
    """

    def __init__(self, client: typing.Any = None) -> None:
        self._client = client
        self._totals: dict[_names.Counter, int] = dict.fromkeys(
            _names.Counter, 0
        )
        self._flushed_totals = dict(self._totals)
        self._gauges: dict[_names.Gauge, float] = {}

    def count(self, counter: _names.Counter, amount: int = 1) -> None:
        """Add ``amount`` to ``counter``."""
        self._totals[counter] += amount

    def gauge(self, gauge: _names.Gauge, level: float) -> None:
        """Set ``gauge`` to ``level``."""
        self._gauges[gauge] = level

    def total(self, counter: _names.Counter) -> int:
        """Return the total of ``counter`` since the start."""
        return self._totals[counter]

    def totals(self) -> dict[str, int]:
        """Return the totals that are not zero, by counter name."""
        return {k.value: v for k, v in self._totals.items() if v}

    def flush(self) -> None:
        """Send the counter increments since the last flush, and all gauges."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for counter, increment in self._increments():
                pipe.incr(counter.value, increment)
            for gauge, level in self._gauges.items():
                pipe.gauge(gauge.value, level)
        self._flushed_totals = dict(self._totals)

    def _increments(self) -> abc.Iterator[tuple[_names.Counter, int]]:
        """Yield the counters that grew since the last flush, and by what."""
        for counter, total in self._totals.items():
            if total != self._flushed_totals[counter]:
                yield counter, total - self._flushed_totals[counter]


class _Flusher:
    """Flushes every ``FLUSH_S`` on the running loop, if there is one."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next flush; without a running loop do nothing."""
        with contextlib.suppress(RuntimeError):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_S, self._run)

    def _run(self) -> None:
        """Flush and schedule the next flush."""
        self._metrics.flush()
        self.start()

    def stop(self) -> None:
        """Cancel the scheduled flush."""
        if self._timer is not None:
            self._timer.cancel()


@contextlib.contextmanager
def open_metrics(
    address: ids.Address | None, prefix: str
) -> abc.Iterator[Metrics]:
    """Yield the metrics of a process, sent to statsd at ``address``.

    They are flushed every ``FLUSH_S`` while a loop runs and when the block
    ends.

    :param address: of the statsd server; None sends nothing
    :param prefix: prepended to each name, such as ``foxtail.entry.lima-1``
    """
    if address is None:
        yield Metrics()
        return
    client = statsd.StatsClient(
        address.ip, address.port, prefix, ipv6=":" in address.ip
    )
    metrics = Metrics(client)
    flusher = _Flusher(metrics)
    flusher.start()
    try:
        yield metrics
        metrics.flush()
    finally:
        flusher.stop()
        client.close()
