"""CoAP exchanges with upstreams: messages and their answers."""

from collections import abc
import dataclasses
import typing

import aiocoap

from foxtailworks import coap
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import udp

MESSAGE_IDS = 1 << 16
# As in RFC 7252 a retransmission has the same message id: an upstream
# runs the request once.
FIRST_RETRANSMIT_S = 1.0
MAX_RETRANSMITS = 3
MAX_EXCHANGES = 100_000
# Shorter than a placement's token, so that the two are never equal.
CANCEL_TOKEN_BYTES = 7


class ResponseHandler(typing.Protocol):
    """Callbacks for the answer to a message."""

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Process the decoded answer and its bytes."""

    def on_unresponsive(self) -> None:
        """Note that the upstream hasn't answered the first transmission."""

    def on_abandoned(self) -> None:
        """Note that the exchange ended without an answer."""


class IgnoredResponse:
    """Ignores the answer to a message."""

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Ignore the event."""

    def on_unresponsive(self) -> None:
        """Ignore the event."""

    def on_abandoned(self) -> None:
        """Ignore the event."""


@dataclasses.dataclass(slots=True)
class _Exchange:
    """One message that awaits its answer."""

    address: ids.Address
    data: bytes
    message_id: int
    handler: ResponseHandler
    expires_at: float
    retransmit_at: float
    interval_s: float = FIRST_RETRANSMIT_S
    retransmissions: int = 0


class Exchanges:
    """Sends confirmable messages, retransmits them and matches answers.

    An answer counts only from the address that the message went to and
    with the token that it carried.

    :param first_message_id: message id before the first one used
    """

    def __init__(
        self, first_message_id: int, metrics: observe.Metrics
    ) -> None:
        self._message_id = first_message_id
        self._metrics = metrics
        self._pending: dict[bytes, _Exchange] = {}
        self._cancels = 0
        self.port: udp.Socket | None = None

    def __len__(self) -> int:
        """Return the number of messages that await an answer."""
        return len(self._pending)

    def has_room(self) -> bool:
        """Return whether another message can be sent."""
        return len(self._pending) < MAX_EXCHANGES

    def send(
        self,
        token: bytes,
        address: ids.Address,
        build: abc.Callable[[int], bytes],
        handler: ResponseHandler,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Send a message and await its answer for ``lifetime_s``.

        :param build: encodes the message with the given message id
        :raises FoxtailError: ``TABLE_FULL``
        """
        if not self.has_room():
            raise errors.FoxtailError(
                errors.Code.TABLE_FULL, "too many exchanges with upstreams"
            )
        self._message_id = (self._message_id + 1) % MESSAGE_IDS
        exchange = _Exchange(
            address=address,
            data=build(self._message_id),
            message_id=self._message_id,
            handler=handler,
            expires_at=now + lifetime_s,
            retransmit_at=now + FIRST_RETRANSMIT_S,
        )
        self._pending[token] = exchange
        self._transmit(exchange)

    def cancel(
        self,
        placement: bytes,
        address: ids.Address,
        key: ids.RequestKey | None,
        handler: ResponseHandler,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Ask an upstream never to start a placement, if there is room.

        :param placement: token under which the request was sent
        """
        if not self.has_room():
            return
        self._cancels += 1
        token = b"c" + self._cancels.to_bytes(CANCEL_TOKEN_BYTES - 1, "big")
        self.send(
            token,
            address,
            lambda message_id: coap.cancel_request(
                key, placement, token, message_id
            ),
            handler,
            now,
            lifetime_s,
        )

    def _transmit(self, exchange: _Exchange) -> None:
        """Send the message to its address."""
        assert self.port is not None
        self.port.send(exchange.data, exchange.address)

    def discard(self, token: bytes) -> None:
        """Abandon an exchange without an answer."""
        exchange = self._pending.pop(token, None)
        if exchange is not None:
            exchange.handler.on_abandoned()

    def on_datagram(self, data: bytes, src: ids.Address) -> None:
        """Process a datagram from an upstream."""
        if coap.kind_of(data) is not coap.Kind.ANSWER:
            return
        try:
            answer = coap.read_answer(data)
        except errors.FoxtailError:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        if answer.confirmable:
            self._acknowledge(answer.message_id, src)
        exchange = self._pending.get(answer.token)
        if exchange is None or exchange.address != src:
            self._metrics.count(observe.Counter.ANSWERS_LATE)
            return
        del self._pending[answer.token]
        exchange.handler.on_answer(answer, data)

    def _acknowledge(self, message_id: int, src: ids.Address) -> None:
        """Acknowledge a confirmable answer."""
        msg = coap.compose(aiocoap.ACK, message_id, aiocoap.EMPTY, b"")
        assert self.port is not None
        self.port.send(msg.encode(), src)

    def on_tick(self, now: float) -> None:
        """Retransmit unanswered messages and discard expired ones."""
        due = [
            (token, item)
            for token, item in self._pending.items()
            if now >= item.expires_at or now >= item.retransmit_at
        ]
        for token, exchange in due:
            if now >= exchange.expires_at:
                self.discard(token)
            else:
                self._retransmit(exchange, now)

    def _retransmit(self, exchange: _Exchange, now: float) -> None:
        """Retransmit a message; the first time, report the upstream."""
        if exchange.retransmissions >= MAX_RETRANSMITS:
            exchange.retransmit_at = exchange.expires_at
            return
        exchange.retransmissions += 1
        exchange.interval_s *= 2
        exchange.retransmit_at = now + exchange.interval_s
        self._transmit(exchange)
        if exchange.retransmissions == 1:
            exchange.handler.on_unresponsive()
