"""Tests of CoAP messages: forwarding, keys, registrations, fuzzing."""

import aiocoap
import hypothesis
from hypothesis import strategies as st
import pytest

from foxtailworks import coap
from foxtailworks import errors
from foxtailworks import ids

CALLER = ids.Address("127.0.0.1", 4000)
SERVICE = ids.ServiceId("slot-desk")
FIXED = hypothesis.settings(derandomize=True, deadline=None)


def _request(code=aiocoap.POST, mid=7, token=b"\x01\x02"):
    msg = coap.compose(aiocoap.CON, mid, code, token, b"x")
    msg.opt.uri_path = ("book", "now")
    return msg


def test_forwarding_keeps_the_request_and_adds_the_key():
    req = coap.read_request(_request().encode())
    key = req.request_key(SERVICE, CALLER)
    data = coap.forward_request(req, b"tok", 9, 1500, key)
    forwarded = coap.read_request(data)
    assert (forwarded.path, forwarded.token, forwarded.key) == (
        "/book/now",
        b"tok",
        key,
    )
    assert forwarded.deadline_ms == 1500
    assert forwarded.raw.payload == b"x"


def test_answer_comes_back_in_the_callers_terms():
    req = coap.read_request(_request().encode())
    raw = coap.compose(aiocoap.ACK, 9, aiocoap.CHANGED, b"tok", b"done")
    data = coap.answer_from_upstream(req, coap.read_answer(raw.encode()))
    answer = aiocoap.Message.decode(data)
    assert (answer.token, answer.mid, answer.payload) == (
        b"\x01\x02",
        7,
        b"done",
    )
    assert answer.mtype is aiocoap.ACK


def test_retransmission_shares_key_and_attempt_new_message_does_not():
    first = coap.read_request(_request().encode())
    again = coap.read_request(_request().encode())
    other = coap.read_request(_request(mid=8).encode())
    key = first.request_key(SERVICE, CALLER)
    assert again.request_key(SERVICE, CALLER) == key
    assert other.request_key(SERVICE, CALLER) != key
    assert first.attempt_id(CALLER) == again.attempt_id(CALLER)
    assert other.attempt_id(CALLER) != first.attempt_id(CALLER)


@FIXED
@hypothesis.given(st.binary(max_size=60))
def test_hostile_bytes(data):
    for read in (coap.read_request, coap.read_answer):
        try:
            read(b"\x42" + data)
        except errors.FoxtailError as exc:
            assert exc.code == errors.Code.REQUEST_MALFORMED
    coap.bad_request(data)
    coap.kind_of(data)


@pytest.mark.parametrize("value", [b"", b"\xff\xff\xff\xff"])
def test_deadline_out_of_range(value):
    msg = _request()
    number = aiocoap.numbers.OptionNumber(int(coap.Option.DEADLINE_MS))
    option = aiocoap.optiontypes.OpaqueOption(number, value)
    msg.opt.add_option(option)
    with pytest.raises(errors.FoxtailError):
        coap.read_request(msg.encode())


SAMPLE = coap.Registration(
    name="desk-1",
    customer=ids.CustomerId("balans"),
    service=SERVICE,
    zone=ids.ZoneId("z1"),
    address=ids.Address("127.0.0.1", 9001),
    slots=2,
    incarnation=ids.Incarnation(5),
    lifetime_s=6,
    sequence=3,
    state=coap.AnnouncedState.DRAINING,
    load=0.5,
)


def test_registration_round_trip():
    req = coap.read_request(coap.write_registration(SAMPLE, 4))
    assert coap.read_registration(req) == SAMPLE
    assert coap.read_answer(coap.registration_confirmed(req)).message_id == 4


@pytest.mark.parametrize(
    "changes",
    [{"slots": 0}, {"load": float("nan")}, {"name": ""}, {"lifetime_s": -1}],
)
def test_registration_out_of_bounds(changes):
    with pytest.raises(errors.FoxtailError):
        SAMPLE.with_changes(**changes)


@FIXED
@hypothesis.given(st.lists(st.text(max_size=20), max_size=12))
def test_hostile_registration(query):
    msg = coap.compose(aiocoap.CON, 1, aiocoap.POST, b"")
    msg.opt.uri_path = ("rd",)
    msg.opt.uri_query = query
    req = coap.read_request(msg.encode())
    with pytest.raises(errors.FoxtailError):
        coap.read_registration(req)
