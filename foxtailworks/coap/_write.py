"""Encodes CoAP messages: forwarded ones and an entry host's own."""

import aiocoap
from aiocoap import numbers
from aiocoap import optiontypes

from foxtailworks.coap import _message
from foxtailworks import ids

# Hop-by-hop options: not copied, written anew on each hop.  Upstreams of
# other vendors don't know them.
_HOP_BY_HOP_OPTIONS = frozenset(
    (int(_message.Option.IDEMPOTENCY_KEY), int(_message.Option.DEADLINE_MS))
)
_DEADLINE_BYTES = 4
CANCEL_PATH = "cancel"


def compose(
    kind: aiocoap.Type,
    message_id: int,
    code: aiocoap.Code,
    token: bytes,
    payload: bytes = b"",
) -> aiocoap.Message:
    """Return a message with its header fields set."""
    msg = aiocoap.Message(code=code, payload=payload)
    msg.mtype = kind
    msg.mid = message_id
    msg.token = token
    return msg


def _opaque(number: _message.Option, value: bytes) -> object:
    """Return an option unknown to aiocoap."""
    return optiontypes.OpaqueOption(numbers.OptionNumber(int(number)), value)


def _copy_options(source: aiocoap.Message, target: aiocoap.Message) -> None:
    """Copy all options except the hop-by-hop ones."""
    for option in source.opt.option_list():
        if int(option.number) not in _HOP_BY_HOP_OPTIONS:
            target.opt.add_option(option)


def forward_request(
    req: _message.Request,
    token: bytes,
    message_id: int,
    remaining_ms: int,
    key: ids.RequestKey | None,
) -> bytes:
    """Encode ``req`` for an upstream, under the entry host's own token.

    :param remaining_ms: time left until the deadline, in milliseconds
    """
    msg = compose(
        aiocoap.CON, message_id, req.raw.code, token, req.raw.payload
    )
    _copy_options(req.raw, msg)
    deadline = max(0, remaining_ms).to_bytes(_DEADLINE_BYTES, "big")
    msg.opt.add_option(_opaque(_message.Option.DEADLINE_MS, deadline))
    if key is not None:
        msg.opt.add_option(_opaque(_message.Option.IDEMPOTENCY_KEY, key))
    return bytes(msg.encode())


def cancel_request(
    key: ids.RequestKey | None,
    placement: bytes,
    token: bytes,
    message_id: int,
) -> bytes:
    """Encode the request that a placement not yet started never starts.

    :param placement: token under which the request was placed
    """
    msg = compose(aiocoap.CON, message_id, aiocoap.POST, token, placement)
    msg.opt.uri_path = (CANCEL_PATH,)
    if key is not None:
        msg.opt.add_option(_opaque(_message.Option.IDEMPOTENCY_KEY, key))
    return bytes(msg.encode())


def is_cancel_confirmed(answer: _message.UpstreamAnswer) -> bool:
    """Return whether an upstream promises never to start a placement."""
    return answer.code == int(aiocoap.CHANGED)


def _reply(
    req: _message.Request, code: object, payload: bytes
) -> aiocoap.Message:
    """Return an answer to ``req``, piggybacked if the request is CON."""
    # The message id of a NON answer must differ from the sender's recent
    # ones.  Hosts share the address, so the id of the request is reused.
    kind = aiocoap.ACK if req.confirmable else aiocoap.NON
    return compose(kind, req.message_id, code, req.token, payload)


def answer_from_upstream(
    req: _message.Request, answer: _message.UpstreamAnswer
) -> bytes:
    """Encode an upstream's answer under the caller's message id and token."""
    msg = _reply(req, answer.raw.code, answer.raw.payload)
    _copy_options(answer.raw, msg)
    return bytes(msg.encode())


def _own_answer(
    req: _message.Request, code: object, text: str, retry_after_s: int
) -> bytes:
    """Encode an answer of the entry host, with Max-Age as retry time."""
    msg = _reply(req, code, text.encode())
    msg.opt.max_age = retry_after_s
    return bytes(msg.encode())


def not_run(req: _message.Request, retry_after_s: int) -> bytes:
    """Encode the answer that the request never runs (5.03)."""
    code = aiocoap.SERVICE_UNAVAILABLE
    return _own_answer(req, code, "not run", retry_after_s)


def outcome_unknown(req: _message.Request, retry_after_s: int) -> bytes:
    """Encode the answer that the request may have run (5.04)."""
    code = aiocoap.GATEWAY_TIMEOUT
    return _own_answer(req, code, "outcome unknown", retry_after_s)


def bad_request(data: bytes) -> bytes | None:
    """Encode 4.00 for a malformed request; None if it isn't identifiable."""
    if _message.kind_of(data) is not _message.Kind.REQUEST:
        return None
    size = data[0] & 0x0F
    end = 4 + size
    if size > _message.MAX_TOKEN_BYTES or len(data) < end:
        return None
    confirmable = (data[0] >> 4) & 3 == int(aiocoap.CON)
    kind = aiocoap.ACK if confirmable else aiocoap.NON
    message_id = int.from_bytes(data[2:4], "big")
    msg = compose(kind, message_id, aiocoap.BAD_REQUEST, data[4:end])
    return bytes(msg.encode())


def reset(data: bytes) -> bytes:
    """Encode the reset that answers a ping (empty CON message)."""
    message_id = int.from_bytes(data[2:4], "big")
    msg = compose(aiocoap.RST, message_id, aiocoap.EMPTY, b"")
    return bytes(msg.encode())
