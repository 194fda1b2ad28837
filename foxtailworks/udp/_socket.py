"""A bound UDP socket that passes datagrams on as values."""

import asyncio
from collections import abc
import contextlib
import functools
import socket
import typing

from foxtailworks import ids

# Called for each datagram with its sender.
DatagramHandler: typing.TypeAlias = abc.Callable[[bytes, ids.Address], None]

BUFFER_BYTES = 4 << 20
_CACHED_ADDRESSES = 1 << 16


@functools.lru_cache(_CACHED_ADDRESSES)
def address_of(ip: str, port: int) -> ids.Address:
    """Return the address of a socket's peer; few are made twice."""
    return ids.Address(ip, port)


class Socket(asyncio.DatagramProtocol):
    """One socket: what comes in is passed on, what goes out is sent."""

    def __init__(self, take: DatagramHandler) -> None:
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None
        self.error_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and give the socket a large buffer."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one datagram on."""
        self._take(data, address_of(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count a refusal; UDP promises nothing, timers see to the rest."""
        self.error_count += 1

    def send(self, data: bytes, target: ids.Address) -> None:
        """Send one datagram."""
        assert self._transport is not None
        self._transport.sendto(data, (target.ip, target.port))

    def local(self) -> ids.Address:
        """Return where the socket is bound."""
        assert self._transport is not None
        name = self._transport.get_extra_info("sockname")
        return address_of(name[0], name[1])

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


@contextlib.asynccontextmanager
async def open_socket(
    ip: str, port: int, take: DatagramHandler
) -> abc.AsyncIterator[Socket]:
    """Bind a socket and close it at the end; port 0 is any free one."""
    loop = asyncio.get_running_loop()
    _, item = await loop.create_datagram_endpoint(
        lambda: Socket(take), local_addr=(ip, port)
    )
    try:
        yield item
    finally:
        item.close()
