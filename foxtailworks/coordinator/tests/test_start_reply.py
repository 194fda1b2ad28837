"""Tests of the answer to polls that the next start begins with."""

import random

import cbor2

from foxtailworks.coordinator import _start_reply
from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import edge
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import steering
from foxtailworks.steering.tests import encoded
from foxtailworks import warmstart

COORDINATOR = ids.Address("10.0.0.1", 7000)
DESTINATION = ids.Address("198.18.0.1", 443)
EVACUATION = polling.Evacuation(4, (ids.ZoneId("b"),))


def make_table(count=1000):
    """Return a table too large for one datagram."""
    rng = random.Random(1)
    destinations = [DESTINATION] + [
        ids.Address(f"198.19.{number // 250}.{number % 250 + 1}", port)
        for number in range(count)
        for port in (rng.randrange(1024, 65536),)
    ]
    shares = (steering.Share(ids.ServiceId("desk"), 1),)
    kind = steering.RequestKind.IDEMPOTENT
    routes = tuple(
        steering.Route(item, shares, kind, 500, 100, 1)
        for item in destinations
    )
    return steering.RouteTable(7, routes, 15_000)


def make_reply(seed=1):
    return _start_reply.make_reply(
        (making.instance(),),
        7,
        encoded.encode(make_table()),
        (COORDINATOR,),
        9,
        EVACUATION,
        random.Random(seed),
    )


class Recorder:
    """Socket that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, data, _target):
        self.sent.append(data)


class Beginner:
    """An edge host that has just started, behind a recorded socket."""

    def __init__(self):
        self.carried_out = []
        cfg = edge.Settings(
            ids.HostId("e1"),
            ids.ZoneId("a"),
            ids.Address("10.0.0.9", 7001),
            (COORDINATOR,),
        )
        self.host = edge.Host(
            cfg, lambda: 0.0, random.Random(1), self.carried_out.append
        )
        self.socket = Recorder()
        self.endpoint = datagram.Endpoint(
            polling.CODEC, self.host.receive, lambda: 0.0
        )
        self.endpoint.attach(self.socket)
        self.host.attach(self.endpoint)


def test_a_host_that_has_just_started_serves_by_a_saved_reply():
    beginner = Beginner()
    flow = steering.FlowKey(bytes(12))
    beginner.host.steering.open(
        steering.Syn(flow, DESTINATION, 0, b"syn"), 0.0
    )
    saved, _ = warmstart.split(warmstart.pack(make_reply()))
    assert len(saved.datagrams) > 1
    for item in saved.datagrams:
        beginner.endpoint.receive(item, COORDINATOR)
    beginner.host.on_tick(0.02)
    (due,) = beginner.carried_out
    assert isinstance(due.decision, steering.Forward)


def test_the_reply_is_recognized_as_the_answer_to_polls_alone():
    beginner = Beginner()
    beginner.host.on_tick(0.0)
    (poll,) = beginner.socket.sent
    reply = make_reply()
    assert poll.startswith(reply.signature, reply.offset)
    changes = discovery.Registry(1, 3.0).changes(0, 0)
    answer = polling.PollAnswer(changes, 1, b"", ())
    (other,) = datagram.split(0, polling.CODEC.encode(answer))
    assert not other.startswith(reply.signature, reply.offset)


def test_each_reply_has_a_session_of_its_own():
    # Otherwise a host would take what it has from one saved reply for the
    # content of another.
    sessions = set()
    for seed in (1, 2):
        beginner = Beginner()
        for item in make_reply(seed).datagrams:
            beginner.endpoint.receive(item, COORDINATOR)
        sessions.add(beginner.host.roster.position(COORDINATOR))
    assert len(sessions) == 2


def test_parts_of_the_saved_reply_are_sent_by_request():
    reply = make_reply()
    number = datagram.message_number(reply.datagrams[0])
    for indexes in ((1,), (0, 2), range(12)):
        msg = polling.PartRequest.of(number, indexes)
        (request,) = datagram.split(0, polling.CODEC.encode(msg))
        expected = [
            reply.datagrams[i] for i in indexes if i < len(reply.datagrams)
        ]
        assert list(warmstart.requested_parts(reply, request)) == expected


def test_other_requests_get_no_parts_of_the_saved_reply():
    reply = make_reply()
    number = datagram.message_number(reply.datagrams[0])
    for msg in (
        polling.PartRequest.of(number ^ 2, (0,)),
        polling.PartRequest.of(number, ()),
        polling.PartRequest(number, b"odd"),
        polling.PartRequest.of(number, [0] * 200),
        polling.PartsGone(number),
    ):
        (request,) = datagram.split(0, polling.CODEC.encode(msg))
        assert warmstart.requested_parts(reply, request) == ()


def test_a_poll_gets_what_it_grants_of_the_saved_reply():
    reply = make_reply()
    granted = []
    for parts in (0, 1, polling.FIRST_PARTS):
        msg = polling.Poll(ids.HostId("e1"), 0, 0, 0, max_parts=parts)
        (request,) = datagram.split(0, polling.CODEC.encode(msg))
        granted.append(warmstart.granted_parts(reply, request))
    assert granted == [0, 1, polling.FIRST_PARTS]


def test_a_host_of_the_last_release_gets_the_whole_saved_reply():
    reply = make_reply()
    for is_follower in (False, True):
        msg = polling.Poll(ids.HostId("e1"), 0, 0, 0, (), is_follower)
        number, fields = cbor2.loads(polling.CODEC.encode(msg))
        data = cbor2.dumps([number, fields[:-1]])
        (request,) = datagram.split(0, data)
        found = warmstart.granted_parts(reply, request)
        assert found == len(reply.datagrams)


def test_a_summary_of_the_saved_reply_makes_a_host_ask_for_it():
    beginner = Beginner()
    beginner.host.on_tick(0.0)
    for item in make_reply().summaries:
        beginner.endpoint.receive(item, COORDINATOR)
    beginner.socket.sent.clear()
    beginner.host.on_tick(0.06)
    (request,) = beginner.socket.sent
    granted = warmstart.granted_parts(make_reply(), request)
    assert granted == polling.FIRST_PARTS
