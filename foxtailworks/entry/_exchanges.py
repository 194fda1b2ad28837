"""Messages to upstreams and the answers that belong to them."""

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
# RFC 7252 retransmits the same message: an upstream runs it once.
FIRST_RESEND_S = 1.0
MAX_RESENDS = 3
MAX_EXCHANGES = 100_000
# Shorter than a placement's token, so that the two never meet.
CANCEL_TOKEN_BYTES = 7


class Awaiting(typing.Protocol):
    """Who awaits the answer to a message."""

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Take the answer and its bytes."""

    def on_silence(self) -> None:
        """Learn that the upstream has been silent for a while."""

    def on_end(self) -> None:
        """Learn that no answer is awaited any more."""


class Unheeded:
    """Awaits an answer that changes nothing."""

    def on_answer(self, answer: coap.UpstreamAnswer, data: bytes) -> None:
        """Do nothing."""

    def on_silence(self) -> None:
        """Do nothing."""

    def on_end(self) -> None:
        """Do nothing."""


@dataclasses.dataclass(slots=True)
class _Exchange:
    """One message that is out."""

    address: ids.Address
    data: bytes
    message_id: int
    awaiting: Awaiting
    until: float
    resend_at: float
    pause_s: float = FIRST_RESEND_S
    resends: int = 0


class Exchanges:
    """Sends confirmable messages, sends them again, matches answers.

    An answer counts only from the address that the message went to and
    with the token that it carried.

    :param first_message_id: where message ids start
    """

    def __init__(
        self, first_message_id: int, metrics: observe.Metrics
    ) -> None:
        self._message_id = first_message_id
        self._metrics = metrics
        self._open: dict[bytes, _Exchange] = {}
        self._cancels = 0
        self.port: udp.Socket | None = None

    def __len__(self) -> int:
        """Return how many messages are out."""
        return len(self._open)

    def has_room(self) -> bool:
        """Tell whether another message can be sent."""
        return len(self._open) < MAX_EXCHANGES

    def send(
        self,
        token: bytes,
        address: ids.Address,
        make: abc.Callable[[int], bytes],
        awaiting: Awaiting,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Send a message and await its answer for ``lifetime_s``.

        :param make: writes the message with the id that it is given
        :raises FoxtailError: ``TABLE_FULL``
        """
        if not self.has_room():
            raise errors.FoxtailError(
                errors.Code.TABLE_FULL, "too many messages to upstreams"
            )
        self._message_id = (self._message_id + 1) % MESSAGE_IDS
        exchange = _Exchange(
            address=address,
            data=make(self._message_id),
            message_id=self._message_id,
            awaiting=awaiting,
            until=now + lifetime_s,
            resend_at=now + FIRST_RESEND_S,
        )
        self._open[token] = exchange
        self._transmit(exchange)

    def cancel(
        self,
        placement: bytes,
        address: ids.Address,
        key: ids.RequestKey | None,
        awaiting: Awaiting,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Ask an upstream never to start a placement; none without room.

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
            awaiting,
            now,
            lifetime_s,
        )

    def _transmit(self, exchange: _Exchange) -> None:
        """Put the message on the wire."""
        assert self.port is not None
        self.port.send(exchange.data, exchange.address)

    def forget(self, token: bytes) -> None:
        """Await an answer no more."""
        exchange = self._open.pop(token, None)
        if exchange is not None:
            exchange.awaiting.on_end()

    def take(self, data: bytes, src: ids.Address) -> None:
        """Take an upstream's message in."""
        if coap.kind_of(data) is not coap.Kind.ANSWER:
            return
        try:
            answer = coap.read_answer(data)
        except errors.FoxtailError:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        if answer.confirmable:
            self._acknowledge(answer.message_id, src)
        exchange = self._open.get(answer.token)
        if exchange is None or exchange.address != src:
            self._metrics.count(observe.Counter.ANSWERS_LATE)
            return
        del self._open[answer.token]
        exchange.awaiting.on_answer(answer, data)

    def _acknowledge(self, message_id: int, src: ids.Address) -> None:
        """Acknowledge a separate answer."""
        msg = coap.compose(aiocoap.ACK, message_id, aiocoap.EMPTY, b"")
        assert self.port is not None
        self.port.send(msg.encode(), src)

    def on_tick(self, now: float) -> None:
        """Send again what is unanswered; forget what is over."""
        due = [
            (token, item)
            for token, item in self._open.items()
            if now >= item.until or now >= item.resend_at
        ]
        for token, exchange in due:
            if now >= exchange.until:
                self.forget(token)
            else:
                self._resend(exchange, now)

    def _resend(self, exchange: _Exchange, now: float) -> None:
        """Send a message again, the first time with word of silence."""
        if exchange.resends >= MAX_RESENDS:
            exchange.resend_at = exchange.until
            return
        exchange.resends += 1
        exchange.pause_s *= 2
        exchange.resend_at = now + exchange.pause_s
        self._transmit(exchange)
        if exchange.resends == 1:
            exchange.awaiting.on_silence()
