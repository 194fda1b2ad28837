"""Tests of the queue of a host's link on an event loop, and of its use."""

import asyncio

import pytest
import uvloop

from foxtailworks import datagram
from foxtailworks.discovery.tests import making
from foxtailworks import edge
from foxtailworks.edge import _audit
from foxtailworks.edge import _scrape
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import service
from foxtailworks import steering

ADDRESS = ids.Address("10.0.1.1", 80)
SOURCE = ids.Address("10.0.0.9", 7)
FULL = 1244


class FakePort:
    def __init__(self, expected=0):
        self.sent = []
        self._expected = expected
        self.has_all = asyncio.Event()

    def send(self, data, target):
        assert target == ADDRESS
        self.sent.append(data)
        if len(self.sent) == self._expected:
            self.has_all.set()


class FakeTranslator:
    """Packets of which the first byte is the flow, the second the token."""

    def read(self, data):
        flow = steering.FlowKey(data[:1])
        token = steering.Token(data[1])
        return steering.Packet(flow, ADDRESS, token, False, True, data)

    def to_upstream(self, data, decision):
        return data[:1] + bytes([decision.token]) + data[2:]

    def reset(self, data):
        return b"reset" + data[:1], ADDRESS

    def identify(self, data):
        return steering.FlowKey(data[:1]), data[:1] + data[2:]


class FakeSteering:
    """Forwards each packet with its own token; token 0 is reset."""

    def __init__(self):
        self._instance = making.instance(address=ADDRESS)

    def forward(self, packet, now):
        if not packet.token:
            return steering.Reset(steering.Reason.NO_UPSTREAM)
        return steering.Forward(self._instance, packet.token)


def upload(count=17, token=1):
    return [
        bytes([7, token, number]) + bytes(FULL - 3) for number in range(count)
    ]


def make_ingress(port, link):
    ingress = edge.Ingress(FakeTranslator(), lambda: 0.0, link)
    ingress.attach_steering(FakeSteering())
    ingress.attach_port(port)
    return ingress


def receive_all(ingress, packets):
    for data in packets:
        ingress.receive(data, SOURCE)


@pytest.mark.parametrize("mbps", [None, 100.5, 1000.0, 0.0])
def test_fast_and_unknown_links_have_no_queue(mbps):
    """Guards against a delay in deployments that don't limit the link."""
    assert edge.Link.for_rate(mbps, service.clock) is None


def test_packets_are_sent_at_once_without_a_link():
    """Guards against a change for deployments without a slow link."""
    port = FakePort()
    receive_all(make_ingress(port, None), upload())
    assert port.sent == upload()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_an_upload_leaves_in_turns_of_the_timer(run):
    """Guards against a queue that stops, or that sends a burst at once."""

    async def play():
        port = FakePort(expected=17)
        link = edge.Link.for_rate(20.0, service.clock)
        receive_all(make_ingress(port, link), upload())
        at_once = len(port.sent)
        await asyncio.wait_for(port.has_all.wait(), 10)
        return at_once, port.sent

    at_once, sent = run(play())
    assert at_once < 17
    assert sent == upload()


def test_the_timer_is_set_earlier_for_a_small_packet():
    """Guards against a small packet that waits for the next bulk one."""

    async def play():
        loop = asyncio.get_running_loop()
        call_later, delays_s = loop.call_later, []

        def record(delay_s, *args):
            delays_s.append(delay_s)
            return call_later(delay_s, *args)

        loop.call_later = record
        link = edge.Link.for_rate(0.1, lambda: 0.0)
        ingress = make_ingress(FakePort(), link)
        receive_all(ingress, [*upload(), b"\x08\x01"])
        ingress.detach_port()
        return delays_s

    bulk_s, small_s = asyncio.run(play())
    assert small_s < bulk_s / 2


def test_a_copy_takes_the_place_of_the_queued_packet():
    """Guards against copies on the link, and copies with an old token."""

    async def play():
        port = FakePort()
        link = edge.Link.for_rate(0.1, lambda: 0.0)
        ingress = make_ingress(port, link)
        receive_all(ingress, upload(token=1) + upload(token=2))
        ingress.detach_port()
        return port.sent

    sent = asyncio.run(play())
    # Two of each copy fit into the burst or are sent again: not queued then.
    assert [data[2] for data in sent[:17]] == list(range(17))
    assert {data[1] for data in sent[2:17]} == {2}
    assert len(sent) == 17 + 2


def test_a_planned_stop_sends_what_waits():
    """Guards against packets that are lost with the process."""

    async def play():
        port = FakePort()
        link = edge.Link.for_rate(0.1, lambda: 0.0)
        ingress = make_ingress(port, link)
        receive_all(ingress, [*upload(), b"\x08\x00"])
        ingress.detach_port()
        assert link.queued_bytes == 0
        receive_all(ingress, upload())
        assert link.queued_bytes == 0
        return port.sent

    sent = asyncio.run(play())
    assert [data for data in sent if len(data) == FULL] == upload()
    assert sent[2] == b"reset\x08"
    assert len(sent) == 18


def test_control_messages_are_charged():
    """Guards against polls that overfill the link beside uploads."""
    port = FakePort()
    link = edge.Link.for_rate(2.0, service.clock)
    endpoint = datagram.Endpoint(
        polling.CODEC, print, service.clock, on_sent=link.charge
    )
    endpoint.attach(port)
    endpoint.send(polling.PartRequest.of(1, [1, 2]), ADDRESS)
    (data,) = port.sent
    assert link.counters.charged_bytes == len(data) + 28
    assert not link.queued_bytes


def test_metrics_show_the_queue():
    """Guards against an overloaded link that operators can't see."""

    async def play():
        link = edge.Link.for_rate(0.1, lambda: 0.0)
        ingress = make_ingress(FakePort(), link)
        receive_all(ingress, upload() + upload())
        metrics = _audit.Audit(bytes.hex).metrics
        text = _scrape.render(metrics, {}, link).decode()
        ingress.detach_port()
        return text

    text = asyncio.run(play())
    for line in (
        "foxtail_link_queued_bytes 21624.0",
        "foxtail_link_oldest_seconds 0.0",
        "foxtail_link_sent_bytes_total 2544.0",
        "foxtail_link_charged_bytes_total 0.0",
        'foxtail_link_dropped_total{reason="repeated"} 15.0',
        'foxtail_link_dropped_total{reason="full"} 0.0',
        'foxtail_link_dropped_total{reason="old"} 0.0',
    ):
        assert line in text
