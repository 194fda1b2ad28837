"""Datagrams between entry hosts: control messages and relayed packets."""

from collections import abc
import hashlib
import hmac
import typing

from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import observe
from foxtailworks import proxyv2
from foxtailworks import udp
from foxtailworks import wire

DATAGRAM_BYTES = 1 << 16
SIGNATURE_BYTES = 16

Handler: typing.TypeAlias = abc.Callable[[ids.Address, typing.Any], None]
RelayedPacketHandler: typing.TypeAlias = abc.Callable[
    [proxyv2.Packet, ids.Address], None
]


class PeerTransport:
    """Exchanges datagrams with other entry hosts; dispatches by type.

    With a cluster key each datagram carries a keyed hash, and one without
    it is dropped. A replayed datagram has no effect, because the cores check
    incarnations and sequences.

    :param messages: number on the wire -> message type
    :param key: secret key of the cluster, or ``None``
    """

    def __init__(
        self,
        messages: typing.Mapping[int, type],
        key: bytes | None,
        metrics: observe.Metrics,
        on_relayed: RelayedPacketHandler,
    ) -> None:
        self._codec = wire.Codec(messages, limit=DATAGRAM_BYTES)
        self._key = key
        self._metrics = metrics
        self._on_relayed = on_relayed
        self._handlers: dict[type, Handler] = {}
        self.port: udp.Socket | None = None

    def register(self, kinds: abc.Iterable[type], handler: Handler) -> None:
        """Register ``handler`` for messages of the types ``kinds``."""
        for kind in kinds:
            self._handlers[kind] = handler

    def send(self, target: ids.Address, msg: object) -> None:
        """Send a control message to an address."""
        data = self._codec.encode(msg)
        self._metrics.count(observe.Counter.PEERS_BYTES_SENT, len(data))
        self._send(target, data)

    def relay(self, target: ids.Address, packet: proxyv2.Packet) -> None:
        """Relay a caller's packet to another host."""
        data = proxyv2.encode(
            packet.source, packet.target, packet.payload, packet.hops
        )
        self._metrics.count(observe.Counter.PACKETS_RELAYED)
        self._send(target, data)

    def _send(self, target: ids.Address, data: bytes) -> None:
        """Sign a datagram and send it."""
        assert self.port is not None
        self._metrics.count(observe.Counter.PEERS_SENT)
        self.port.send(self._sign(data) + data, target)

    def _sign(self, data: bytes) -> bytes:
        """Return the keyed hash that precedes a datagram."""
        if self._key is None:
            return b""
        return hashlib.blake2b(
            data, digest_size=SIGNATURE_BYTES, key=self._key
        ).digest()

    def _verify(self, data: bytes) -> bytes:
        """Return a datagram without its signature.

        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        if self._key is None:
            return data
        body = data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(data[:SIGNATURE_BYTES], self._sign(body)):
            raise errors.FoxtailError(
                errors.Code.MESSAGE_MALFORMED,
                "datagram without a valid signature",
            )
        return body

    def on_datagram(self, data: bytes, src: ids.Address) -> None:
        """Dispatch a datagram; a malformed one is counted and dropped."""
        self._metrics.count(observe.Counter.PEERS_RECEIVED)
        try:
            body = self._verify(data)
            if body.startswith(proxyv2.SIGNATURE):
                self._on_relayed(proxyv2.decode(body), src)
                return
            msg = self._codec.decode(body)
        except errors.FoxtailError:
            self._metrics.count(observe.Counter.PEERS_DROPPED)
            return
        handler = self._handlers.get(type(msg))
        if handler is not None:
            handler(src, msg)
