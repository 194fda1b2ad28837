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
    """Counts in memory; a flush sends what grew since the last one.

    Counting costs no system call, so that it may stand on paths of packets.

    :param client: statsd client; None sends nothing
    """

    def __init__(self, client: typing.Any = None) -> None:
        self._client = client
        self._totals: dict[_names.Counter, int] = dict.fromkeys(
            _names.Counter, 0
        )
        self._sent = dict(self._totals)
        self._levels: dict[_names.Gauge, float] = {}

    def count(self, counter: _names.Counter, amount: int = 1) -> None:
        """Add ``amount`` to ``counter``."""
        self._totals[counter] += amount

    def gauge(self, gauge: _names.Gauge, level: float) -> None:
        """Note the level of ``gauge``."""
        self._levels[gauge] = level

    def total(self, counter: _names.Counter) -> int:
        """Return ``counter`` since the start."""
        return self._totals[counter]

    def totals(self) -> dict[str, int]:
        """Return each counter that isn't zero, by name."""
        return {k.value: v for k, v in self._totals.items() if v}

    def flush(self) -> None:
        """Send what grew since the last flush, and the levels."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for counter, grown in self._grown():
                pipe.incr(counter.value, grown)
            for gauge, level in self._levels.items():
                pipe.gauge(gauge.value, level)
        self._sent = dict(self._totals)

    def _grown(self) -> abc.Iterator[tuple[_names.Counter, int]]:
        """Yield the counters that grew since the last flush."""
        for counter, total in self._totals.items():
            if total != self._sent[counter]:
                yield counter, total - self._sent[counter]


class _Flusher:
    """Flushes once a second on the running loop, if there is one."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Flush after a second, and so on."""
        with contextlib.suppress(RuntimeError):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_S, self._run)

    def _run(self) -> None:
        """Flush and go on."""
        self._metrics.flush()
        self.start()

    def stop(self) -> None:
        """Flush no more."""
        if self._timer is not None:
            self._timer.cancel()


@contextlib.contextmanager
def open_metrics(
    address: ids.Address | None, prefix: str
) -> abc.Iterator[Metrics]:
    """Count for a program; send to ``address`` unless it is None.

    Sends once a second while a loop runs, and at the end.

    :param prefix: stands before each name, such as ``foxtail.entry.lima-1``
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
