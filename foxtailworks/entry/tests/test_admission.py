"""A retransmission takes no second place in what is in flight."""

import random

import aiocoap

from foxtailworks import coap
from foxtailworks import contracts
from foxtailworks.entry import _admission
from foxtailworks.entry import _replies
from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe
from foxtailworks import proxyv2
from foxtailworks import requests

CALLER = ids.Address("127.0.0.1", 4000)
IN_FLIGHT = 3
NOW = 100.0


class _Nobody:
    """Knows no other host."""

    def host_at(self, address):
        return None

    def address_of(self, host):
        return None


def _route():
    service = contracts.Service(
        name=ids.ServiceId("desk"),
        kind=contracts.ServiceKind.REQUEST,
        address="127.0.0.1:7001",
        limits=contracts.Limits(in_flight=IN_FLIGHT),
    )
    contract = contracts.Contract(ids.CustomerId("balans"), (service,))
    index = _services.ServiceIndex()
    index.set_contracts([contract])
    return index.all()[0]


def _call(route, message_id):
    msg = coap.compose(aiocoap.CON, message_id, aiocoap.GET, b"t")
    req = coap.read_request(msg.encode())
    attempt = req.attempt_id(CALLER)[:8]
    return _replies.Call(
        route=route,
        packet=proxyv2.Packet(CALLER, route.address, msg.encode()),
        req=req,
        request_class=route.class_of(req),
        received_at=NOW,
        deadline_at=NOW + 5.0,
        attempt=requests.AttemptId(int.from_bytes(attempt, "big")),
    )


def _gate(admitted):
    rng = random.Random(1)
    shares = limits.Shares(ids.HostId("a"), 0.0, True, rng)
    return _admission.RequestAdmission(
        shares,
        _Nobody(),
        None,
        observe.Metrics(),
        rng,
        lambda: NOW,
        admitted.append,
        lambda call, seconds: None,
    )


def test_places_come_back_after_retransmissions():
    route = _route()
    admitted = []
    gate = _gate(admitted)
    gate.set_limits([route], 1)
    for message_id in range(20):
        gate.offer(_call(route, message_id))
        gate.offer(_call(route, message_id))
        gate.done(_call(route, message_id), True)
    assert len({call.attempt for call in admitted}) == 20
