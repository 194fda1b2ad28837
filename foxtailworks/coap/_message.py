"""Decodes CoAP messages into immutable values."""

import dataclasses
import enum
import hashlib
import struct

import aiocoap
from aiocoap import error as coap_error

from foxtailworks import errors
from foxtailworks import ids

MAX_TOKEN_BYTES = 8
MAX_KEY_BYTES = 32
KEY_BYTES = 16
MAX_DEADLINE_MS = 600_000
_HEADER_BYTES = 4


class Option(enum.IntEnum):
    """CoAP option numbers; the last two are elective and experimental."""

    IF_MATCH = 1
    ETAG = 4
    URI_PATH = 11
    CONTENT_FORMAT = 12
    MAX_AGE = 14
    URI_QUERY = 15
    ACCEPT = 17
    BLOCK2 = 23
    BLOCK1 = 27
    SIZE2 = 28
    IDEMPOTENCY_KEY = 65000
    DEADLINE_MS = 65004


class Method(enum.Enum):
    """Request methods of RFC 7252."""

    GET = 1
    POST = 2
    PUT = 3
    DELETE = 4

    @property
    def is_idempotent(self) -> bool:
        """Whether running a request twice has the same effect as once."""
        return self is not Method.POST


class Kind(enum.Enum):
    """Type of a datagram, determined from its header."""

    REQUEST = "request"
    ANSWER = "answer"
    PING = "ping"
    EMPTY = "empty"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A CoAP request as received from a caller."""

    method: Method
    """Request method."""
    confirmable: bool
    """Whether the answer is sent in an acknowledgement (CON)."""
    message_id: int
    """CoAP message id, repeated in the acknowledgement."""
    token: bytes
    """CoAP token of 0 to 8 bytes, repeated in the answer."""
    path: str
    """Uri-Path options joined by ``/``."""
    key: bytes | None
    """Idempotency key that the caller chose, 1 to 32 bytes."""
    deadline_ms: int | None
    """Time that the caller waits for the answer, in milliseconds."""
    block: int
    """Number of the requested block of the answer (Block2)."""
    raw: aiocoap.Message
    """The decoded message, for forwarding."""

    @property
    def resource(self) -> str:
        """Path and query, which identify the body of an answer."""
        return self.path + "?" + "&".join(self.raw.opt.uri_query)

    def request_key(
        self, service: ids.ServiceId, caller: ids.Address
    ) -> ids.RequestKey:
        """Return the key under which the request runs at most once.

        If the caller sent no idempotency key, the key is derived from its
        address, message id and token, which retransmissions share.
        """
        given_key = self.key
        if given_key is not None:
            parts = (b"own", service.encode(), given_key)
        else:
            derived = f"{caller} {self.message_id} {self.token.hex()}"
            parts = (b"derived", service.encode(), derived.encode())
        return ids.RequestKey(_digest(*parts))

    def attempt_id(self, caller: ids.Address) -> bytes:
        """Return an id that only retransmissions of this message share."""
        text = f"{caller} {self.message_id} {self.token.hex()}"
        return _digest(text.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A CoAP response as received from an upstream."""

    token: bytes
    """Token of the request that it answers."""
    code: int
    """CoAP response code."""
    more_blocks: bool
    """Whether more blocks of the body follow."""
    retry_after_s: int
    """Max-Age: time to wait before a retry, in seconds."""
    confirmable: bool
    """Whether the upstream expects an acknowledgement."""
    message_id: int
    """CoAP message id, repeated in that acknowledgement."""
    raw: aiocoap.Message
    """The decoded message, for forwarding."""

    @property
    def is_shed(self) -> bool:
        """Whether the upstream states that it did not run the request."""
        return self.code == int(aiocoap.SERVICE_UNAVAILABLE)


def _digest(*parts: bytes) -> bytes:
    """Return a 16-byte digest of ``parts``, each prefixed by its length."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(2, "big"))
        digest.update(part)
    return digest.digest()


def _malformed(reason: str) -> errors.FoxtailError:
    """Return the error for a message that cannot be decoded."""
    return errors.FoxtailError(
        errors.Code.REQUEST_MALFORMED, "CoAP message", reason=reason
    )


def kind_of(data: bytes) -> Kind:
    """Return the type of a datagram without decoding its options."""
    if len(data) < _HEADER_BYTES or data[0] >> 6 != 1:
        return Kind.OTHER
    code = data[1]
    if code == 0:
        confirmable = (data[0] >> 4) & 3 == int(aiocoap.CON)
        return Kind.PING if confirmable else Kind.EMPTY
    if code < 32:
        return Kind.REQUEST
    return Kind.ANSWER


def _decode(data: bytes) -> aiocoap.Message:
    """Decode a message; translate every error of the library."""
    if len(data) < _HEADER_BYTES:
        raise _malformed("shorter than the header")
    token_bytes = data[0] & 0x0F
    if token_bytes > MAX_TOKEN_BYTES:
        raise _malformed("token longer than 8 bytes")
    if len(data) < _HEADER_BYTES + token_bytes:
        raise _malformed("token truncated")
    try:
        return aiocoap.Message.decode(data)
    except (
        coap_error.Error,
        ValueError,
        IndexError,
        AttributeError,
        struct.error,
    ) as exc:
        raise _malformed(type(exc).__name__) from exc


def _opaque(msg: aiocoap.Message, number: Option) -> bytes | None:
    """Return the first value of an option unknown to aiocoap."""
    found = msg.opt.get_option(int(number))
    return bytes(found[0].value) if found else None


def _deadline(msg: aiocoap.Message) -> int | None:
    """Return the caller's deadline in milliseconds, checked for its range."""
    raw = _opaque(msg, Option.DEADLINE_MS)
    if raw is None:
        return None
    value = int.from_bytes(raw, "big")
    if not 0 < value <= MAX_DEADLINE_MS:
        raise _malformed("deadline out of range")
    return value


def _key(msg: aiocoap.Message) -> bytes | None:
    """Return the idempotency key, checked for its length."""
    raw = _opaque(msg, Option.IDEMPOTENCY_KEY)
    if raw is not None and not 1 <= len(raw) <= MAX_KEY_BYTES:
        raise _malformed("key must have 1 to 32 bytes")
    return raw


def _method(msg: aiocoap.Message) -> Method:
    """Return the method; reject those that later RFCs add."""
    try:
        return Method(int(msg.code))
    except ValueError as exc:
        raise _malformed("method not supported") from exc


def read_request(data: bytes) -> Request:
    """Decode a request.

    :raises FoxtailError: ``REQUEST_MALFORMED``
    """
    msg = _decode(data)
    if msg.opt.block1 is not None and (
        msg.opt.block1.more or msg.opt.block1.block_number
    ):
        raise _malformed("request bodies of several blocks are not supported")
    block2 = msg.opt.block2
    return Request(
        method=_method(msg),
        confirmable=msg.mtype is aiocoap.CON,
        message_id=msg.mid,
        token=msg.token,
        path="/" + "/".join(msg.opt.uri_path),
        key=_key(msg),
        deadline_ms=_deadline(msg),
        block=block2.block_number if block2 is not None else 0,
        raw=msg,
    )


def read_answer(data: bytes) -> UpstreamAnswer:
    """Decode an answer of an upstream.

    :raises FoxtailError: ``REQUEST_MALFORMED``
    """
    msg = _decode(data)
    if not msg.code.is_response():
        raise _malformed("not a response")
    block2 = msg.opt.block2
    max_age = msg.opt.max_age
    return UpstreamAnswer(
        token=msg.token,
        code=int(msg.code),
        more_blocks=block2 is not None and block2.more,
        retry_after_s=max_age if max_age is not None else 0,
        confirmable=msg.mtype is aiocoap.CON,
        message_id=msg.mid,
        raw=msg,
    )
