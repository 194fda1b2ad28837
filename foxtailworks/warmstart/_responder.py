"""Sockets that are bound early, and answers sent through them."""

import socket

from foxtailworks.warmstart import _reply

BUFFER_BYTES = 4 << 20
"""Size of the receive buffer, in which datagrams wait during the start."""
MAX_UNANSWERED = 256
"""Maximum number of other datagrams kept for the program."""
_READ_BYTES = 64 << 10

Peer = tuple[str, int]


def bind(ip: str, port: int) -> socket.socket | None:
    """Return a bound, non-blocking UDP socket; None if it can't be bound.

    The program then binds the address itself and reports the error.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        bound.setblocking(False)
        bound.bind((ip, port))
    except OSError:
        bound.close()
        return None
    return bound


class Responder:
    """Answers requests with a saved reply until the program takes over.

    :param bound: socket that receives the requests
    :param reply: sent to peers that poll; None keeps all datagrams for the
        program
    """

    def __init__(
        self, bound: socket.socket, reply: _reply.Reply | None
    ) -> None:
        self.socket = bound
        """Socket that receives the requests."""
        self._reply = reply
        self._unanswered: list[tuple[bytes, Peer]] = []

    @property
    def reply_datagrams(self) -> tuple[bytes, ...]:
        """Datagrams of the saved reply; empty without one."""
        return self._reply.datagrams if self._reply else ()

    def answer_waiting(self) -> None:
        """Answer the requests that wait in the socket.

        Of the polls of a peer the one that grants most is answered.
        """
        granted: dict[Peer, int] = {}
        while True:
            try:
                data, peer = self.socket.recvfrom(_READ_BYTES)
            except OSError:
                # Nothing waits, or an earlier datagram couldn't be delivered.
                break
            parts = self._granted_parts(data)
            if parts is not None:
                granted[peer] = max(parts, granted.get(peer, 0))
            else:
                self._answer_request(data, peer)
        for peer, count in granted.items():
            self._answer_poll(peer, count)

    def _granted_parts(self, data: bytes) -> int | None:
        """Return how many parts a poll grants; None for other datagrams."""
        if self._reply is None:
            return None
        return _reply.granted_parts(self._reply, data)

    def _answer_poll(self, peer: Peer, count: int) -> None:
        """Send as many parts of the reply as a poll grants, or a summary."""
        assert self._reply is not None
        if count:
            self._send(self._reply.datagrams[:count], peer)
        else:
            self._send(self._reply.summaries, peer)

    def _answer_request(self, data: bytes, peer: Peer) -> None:
        """Send requested parts; keep any other datagram."""
        parts: tuple[bytes, ...] = ()
        if self._reply is not None:
            parts = _reply.requested_parts(self._reply, data)
        if parts:
            self._send(parts, peer)
        elif len(self._unanswered) < MAX_UNANSWERED:
            self._unanswered.append((data, peer))

    def _send(self, datagrams: tuple[bytes, ...], peer: Peer) -> None:
        """Send datagrams; a peer without them asks again."""
        try:
            for item in datagrams:
                self.socket.sendto(item, peer)
        except OSError:
            return

    def take_unanswered(self) -> list[tuple[bytes, Peer]]:
        """Return and remove the datagrams that had no saved reply."""
        unanswered, self._unanswered = self._unanswered, []
        return unanswered
