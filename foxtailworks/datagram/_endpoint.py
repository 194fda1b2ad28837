"""A UDP socket that sends and receives typed messages."""

from collections import abc
import contextlib
import itertools
import secrets
import socket as sockets
import typing

from foxtailworks.datagram import _fragments
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import udp
from foxtailworks import wire

MessageHandler: typing.TypeAlias = abc.Callable[
    [typing.Any, ids.Address], None
]
"""Called with each received message and the address of its sender."""

NUMBERS = 1 << 31
"""Numbers of messages; saved replies use those from here on."""

_EVENTS = logs.Events("datagram")


class Endpoint:
    """Sends and receives typed messages through one UDP socket.

    :param codec: encodes and decodes the messages
    :param on_message: called for each message
    :param clock: monotonic seconds; limits the wait for missing fragments
    :param on_part: called for each fragment of a message that has several
    :param first_number: number of the first message; it differs from start
        to start, so that a peer doesn't take fragments of a message for
        those of an earlier one, sent from the same address
    :param on_sent: called with the bytes of each datagram that is sent
    """

    def __init__(
        self,
        codec: wire.Codec,
        on_message: MessageHandler,
        clock: abc.Callable[[], float],
        on_part: _fragments.PartHandler | None = None,
        first_number: int = 0,
        on_sent: abc.Callable[[int], None] | None = None,
    ) -> None:
        self._codec = codec
        self._on_message = on_message
        self._clock = clock
        self._assembler = _fragments.Assembler(on_part)
        self._message_numbers = itertools.count(first_number)
        self._on_sent = on_sent
        self._socket: udp.Socket | None = None
        self.malformed = 0
        """Datagrams dropped because they could not be decoded."""

    def attach(self, socket: udp.Socket) -> None:
        """Set the socket to send through."""
        self._socket = socket

    def send(self, msg: object, target: ids.Address) -> None:
        """Send one message; delivery is not guaranteed.

        :raises FoxtailError: ``MESSAGE_TOO_LARGE``
        """
        self.send_encoded(self.encode(msg), target)

    def encode(self, msg: object) -> tuple[bytes, ...]:
        """Return the datagrams of a message for any number of receivers.

        :raises FoxtailError: ``MESSAGE_TOO_LARGE``
        """
        number = next(self._message_numbers)
        data = self._codec.encode(msg)
        return tuple(_fragments.split(number % NUMBERS, data))

    def send_encoded(
        self, datagrams: abc.Iterable[bytes], target: ids.Address
    ) -> None:
        """Send the datagrams of one message; delivery is not guaranteed."""
        assert self._socket is not None
        for item in datagrams:
            self._socket.send(item, target)
            if self._on_sent is not None:
                self._on_sent(len(item))

    def receive(self, datagram: bytes, src: ids.Address) -> None:
        """Process one datagram; count and drop one that cannot be decoded.

        Those that arrive before :meth:`attach` are dropped, since they
        couldn't be answered; their senders repeat them.
        """
        if self._socket is None:
            return
        try:
            data = self._assembler.add(src, datagram, self._clock())
            msg = None if data is None else self._codec.decode(data)
        except errors.FoxtailError as exc:
            self.malformed += 1
            _EVENTS.failed("datagram_dropped", exc)
            return
        if msg is not None:
            self._on_message(msg, src)


@contextlib.asynccontextmanager
async def open_endpoint(
    address: ids.Address,
    codec: wire.Codec,
    on_message: MessageHandler,
    clock: abc.Callable[[], float],
    bound: sockets.socket | None = None,
    on_part: _fragments.PartHandler | None = None,
    on_sent: abc.Callable[[int], None] | None = None,
) -> abc.AsyncIterator[Endpoint]:
    """Bind an endpoint and close it when the block ends.

    :param bound: socket that was bound to ``address`` before
    :param on_part: called for each fragment of a message that has several
    :param on_sent: called with the bytes of each datagram that is sent
    """
    first_number = secrets.randbelow(NUMBERS)
    endpoint = Endpoint(
        codec, on_message, clock, on_part, first_number, on_sent
    )
    async with udp.open_socket(
        address.ip, address.port, endpoint.receive, bound
    ) as socket:
        endpoint.attach(socket)
        yield endpoint
