"""A UDP socket that sends and receives typed messages."""

from collections import abc
import contextlib
import itertools
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
"""Called for each message with its sender."""

_EVENTS = logs.Events("datagram")


class Endpoint:
    """Sends and receives the messages of one codec.

    :param codec: the closed set of messages
    :param take: called for each message
    :param clock: steady seconds, for fragments that never come
    """

    def __init__(
        self,
        codec: wire.Codec,
        take: MessageHandler,
        clock: abc.Callable[[], float],
    ) -> None:
        self._codec = codec
        self._take = take
        self._clock = clock
        self._assembler = _fragments.Assembler()
        self._numbers = itertools.count()
        self._port: udp.Socket | None = None
        self.malformed = 0
        """Datagrams that could not be read."""

    def attach(self, port: udp.Socket) -> None:
        """Send through ``port`` from now on."""
        self._port = port

    def send(self, msg: object, target: ids.Address) -> None:
        """Send one message; it may be lost.

        :raises FoxtailError: ``MESSAGE_TOO_LARGE``
        """
        assert self._port is not None
        data = self._codec.encode(msg)
        for item in _fragments.split(next(self._numbers), data):
            self._port.send(item, target)

    def receive(self, datagram: bytes, src: ids.Address) -> None:
        """Take one datagram; what can't be read is counted and dropped."""
        try:
            data = self._assembler.add(src, datagram, self._clock())
            msg = None if data is None else self._codec.decode(data)
        except errors.FoxtailError as exc:
            self.malformed += 1
            _EVENTS.failed("datagram_dropped", exc)
            return
        if msg is not None:
            self._take(msg, src)


@contextlib.asynccontextmanager
async def open_endpoint(
    address: ids.Address,
    codec: wire.Codec,
    take: MessageHandler,
    clock: abc.Callable[[], float],
) -> abc.AsyncIterator[Endpoint]:
    """Bind an endpoint and close it at the end."""
    endpoint = Endpoint(codec, take, clock)
    async with udp.open_socket(
        address.ip, address.port, endpoint.receive
    ) as port:
        endpoint.attach(port)
        yield endpoint
