"""A bound UDP socket that passes datagrams to a callback."""

import asyncio
from collections import abc
import contextlib
import functools
import socket
import typing

from foxtailworks import ids
from foxtailworks import warmstart

# Called with each received datagram and the address of its sender.
DatagramHandler: typing.TypeAlias = abc.Callable[[bytes, ids.Address], None]

_CACHED_ADDRESSES = 1 << 16


@functools.lru_cache(_CACHED_ADDRESSES)
def address_of(ip: str, port: int) -> ids.Address:
    """Return an address, from a cache: packets repeat the same few."""
    return ids.Address(ip, port)


class Socket(asyncio.DatagramProtocol):
    """A UDP socket on the running event loop.

    :param on_datagram: called for each received datagram
    """

    def __init__(self, on_datagram: DatagramHandler) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.error_count = 0
        """Datagrams that couldn't be sent, and errors that the kernel
        reported, such as ICMP port unreachable."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enlarge the socket's receive buffer."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, warmstart.BUFFER_BYTES
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram and its sender to the callback."""
        self._on_datagram(data, address_of(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count an error; the timeouts of callers handle lost datagrams."""
        self.error_count += 1

    def send(self, data: bytes, target: ids.Address) -> None:
        """Send one datagram; delivery is not guaranteed.

        An address that this socket can't reach, such as one of another
        family in a message, is counted and must not end the program.
        """
        assert self._transport is not None
        try:
            self._transport.sendto(data, (target.ip, target.port))
        except (OSError, ValueError):
            self.error_count += 1

    def local(self) -> ids.Address:
        """Return the address that the socket is bound to."""
        assert self._transport is not None
        name = self._transport.get_extra_info("sockname")
        return address_of(name[0], name[1])

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


@contextlib.asynccontextmanager
async def open_socket(
    ip: str,
    port: int,
    on_datagram: DatagramHandler,
    bound: socket.socket | None = None,
) -> abc.AsyncIterator[Socket]:
    """Bind a socket and close it when the block ends.

    :param port: 0 lets the kernel choose a free port
    :param bound: socket that was bound to this address before
    """
    loop = asyncio.get_running_loop()
    _, opened = await loop.create_datagram_endpoint(
        lambda: Socket(on_datagram),
        local_addr=None if bound else (ip, port),
        sock=bound,
    )
    try:
        yield opened
    finally:
        opened.close()
