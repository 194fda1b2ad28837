"""Tests of log lines, metrics, and the precision of histograms."""

import asyncio
import io
import socket

import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import wire

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
HIGH = contracts.Priority.HIGH
SERVICE = ids.ServiceId("routes")


def logged(value, level="info"):
    stream = io.StringIO()
    with observe.logging_to(stream, level):
        observe.Events("test").info("flow_placed", upstream=value, n=1)
    return stream.getvalue()


@FUZZ
@hypothesis.given(st.text(max_size=600) | st.binary() | st.floats())
def test_an_event_is_one_line_whatever_its_values(value):
    line = logged(value)
    assert line.endswith(" n=1\n") and len(line.splitlines()) == 1
    assert "\n" not in line[:-1] and line.isascii()
    assert "level=info part=test event=flow_placed upstream=" in line


def test_plain_values_stay_readable_and_levels_hold():
    assert "upstream=127.0.0.1:1 n=1" in logged("127.0.0.1:1")
    assert 'upstream="a b" n=1' in logged("a b")
    assert "upstream=high n=1" in logged(HIGH)
    assert logged("a", level="warning") == ""


def test_metrics_send_only_growth():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
        address = ids.Address(*sock.getsockname())
        with observe.open_metrics(address, "foxtail.entry.a") as metrics:
            metrics.count(observe.Counter.PACKETS_SENT, 3)
            metrics.gauge(observe.Gauge.HOSTS_LIVE, 7)
            metrics.flush()
            lines = sock.recv(512).decode().splitlines()
            metrics.count(observe.Counter.PACKETS_SENT)
        again = sock.recv(512).decode().splitlines()
    assert "foxtail.entry.a.packets.sent:3|c" in lines
    assert "foxtail.entry.a.hosts.live:7|g" in lines
    assert "foxtail.entry.a.packets.sent:1|c" in again
    assert metrics.totals() == {"packets.sent": 4}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock a test advances in place of waiting."""

    ahead_s = 0.0

    def time(self):
        return super().time() + self.ahead_s

    def advance(self, seconds):
        self.ahead_s += seconds


def test_metrics_flush_by_themselves_while_a_loop_runs():
    async def scenario(sock, address):
        loop = asyncio.get_running_loop()
        with observe.open_metrics(address, "foxtail") as metrics:
            for _ in range(2):
                metrics.count(observe.Counter.PACKETS_SENT)
                loop.advance(1.1)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                assert sock.recv(512) == b"foxtail.packets.sent:1|c"

    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
        runner.run(scenario(sock, ids.Address(*sock.getsockname())))


@FUZZ
@hypothesis.given(
    st.lists(st.integers(-5, 80_000_000), min_size=1),
    st.lists(st.integers(0, 3_000), min_size=1),
)
def test_merged_histograms_keep_count_and_two_digits(one, two):
    parts = []
    for values in (one, two):
        histograms = observe.Histograms()
        for value in values:
            histograms.record(ids.CustomerId("h"), SERVICE, HIGH, value)
        parts.extend(histograms.snapshots())
    (merged,) = observe.merge(parts)
    values = sorted(min(max(v, 0), 60_000_000) for v in one + two)
    assert merged.count == len(values)
    top = observe.percentile(merged, 100)
    assert abs(top - values[-1]) <= 0.01 * values[-1]
    assert f"{len(values)} values" in observe.plot(merged)


def test_the_number_of_series_is_bounded():
    histograms = observe.Histograms(limit=3)
    for n in range(10):
        histograms.record(ids.CustomerId(f"c{n}"), SERVICE, HIGH, 5)
    counts = {s.customer: s.count for s in histograms.snapshots()}
    assert counts == {"c0": 1, "c1": 1, "c2": 1, observe.OTHER_CUSTOMER: 7}


@pytest.mark.parametrize(
    "bucket", [(-1, 1), (1, 0), (1 << 40, 1), (1, 1 << 60)]
)
def test_hostile_snapshots_are_refused(bucket):
    invalid = observe.HistogramSnapshot(
        ids.CustomerId("h"), SERVICE, HIGH, (observe.Bucket(*bucket),)
    )
    with pytest.raises(errors.FoxtailError) as info:
        observe.merge([invalid])
    assert info.value.code is errors.Code.MESSAGE_MALFORMED


def test_pages_hold_all_series_and_fit_a_message():
    histograms = observe.Histograms()
    for n in range(100):
        name = ids.CustomerId(f"c{n}")
        for value in range(0, 60_000_000, 40_000):
            histograms.record(name, SERVICE, HIGH, value)
    codec = wire.Codec(observe.HOST_MESSAGES)
    found, more = [], True
    while more:
        request = observe.HistogramRequest(1, first=len(found))
        page = observe.page_of(
            request, ids.HostId("a"), histograms.snapshots()
        )
        data = codec.encode(page)
        assert len(data) < 1 << 20
        found.extend(codec.decode(data).snapshots)
        more = page.more
    assert tuple(found) == histograms.snapshots()


def test_a_plot_leaves_out_long_gaps():
    histograms = observe.Histograms()
    for value in (0, 3_000, 5_000, 5_500):
        histograms.record(ids.CustomerId("h"), SERVICE, HIGH, value)
    rows = observe.plot(histograms.snapshots()[0]).splitlines()
    assert [row.split()[0] for row in rows[2:]] == [
        "0us",
        "...",
        "2.05ms",
        "4.1ms",
    ]
    assert [row.split()[-1] for row in rows[2:]] == ["1", "...", "1", "2"]
