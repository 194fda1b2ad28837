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
    :param reply: None keeps all datagrams for the program
    """

    def __init__(
        self, bound: socket.socket, reply: _reply.Reply | None
    ) -> None:
        self.socket = bound
        """Socket that receives the requests."""
        self._reply = reply
        self._unanswered: list[tuple[bytes, Peer]] = []

    def answer_waiting(self) -> None:
        """Answer the requests that wait in the socket, once for each peer."""
        answered: set[Peer] = set()
        while True:
            try:
                data, peer = self.socket.recvfrom(_READ_BYTES)
            except OSError:
                # Nothing waits, or an earlier datagram couldn't be delivered.
                return
            if self._reply is None or not _reply.answers(self._reply, data):
                if len(self._unanswered) < MAX_UNANSWERED:
                    self._unanswered.append((data, peer))
            elif peer not in answered:
                answered.add(peer)
                self._send(self._reply.datagrams, peer)

    def _send(self, datagrams: tuple[bytes, ...], peer: Peer) -> None:
        """Send a reply; a peer without one asks again."""
        try:
            for item in datagrams:
                self.socket.sendto(item, peer)
        except OSError:
            return

    def take_unanswered(self) -> list[tuple[bytes, Peer]]:
        """Return and remove the datagrams that had no saved reply."""
        unanswered, self._unanswered = self._unanswered, []
        return unanswered
