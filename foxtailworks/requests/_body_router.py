"""Binds all blocks of one body to one upstream."""

import collections
import dataclasses
import itertools

import xxhash

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _messages

BODY_IDLE_S = 60.0
ASK_EVERY_S = 0.05
MAX_ASKS = 4
MAX_BODIES = 20_000
MAX_WAITING = 5_000
EXPIRED_PER_TICK = 64


@dataclasses.dataclass(frozen=True, slots=True)
class BlockRoute:
    """The upstream of a body is known; none when the body is broken.

    A broken body's block is refused: the caller starts again at block 0.
    """

    handle: object
    upstream: ids.UpstreamId | None


@dataclasses.dataclass(slots=True)
class _Asked:
    """Blocks that wait for their owner's word."""

    upstream: ids.UpstreamId
    handles: list[object]
    ask_at: float
    asks: int = 1


BodyAction = BlockRoute | _actions.Send


def body_id(service: ids.ServiceId, caller: str, path: str) -> int:
    """Return the digest by which a body is known."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{caller}\0{path}".encode())


class BodyRouter:
    """Asks the owner of a body where its blocks go, and is such an owner.

    The owner is the first live host by rendezvous and tells the second.
    A host asks the second when the first is silent.

    :param host: this host
    """

    def __init__(self, host: ids.HostId) -> None:
        self._host = host
        self._alive: tuple[ids.HostId, ...] = (host,)
        self._bound: collections.OrderedDict[
            int, tuple[ids.UpstreamId, float]
        ] = collections.OrderedDict()
        self._asked: dict[int, _Asked] = {}

    def __len__(self) -> int:
        """Return how many bodies are bound as far as is known here."""
        return len(self._bound)

    def set_live_hosts(
        self, hosts: collections.abc.Collection[ids.HostId]
    ) -> None:
        """Take in which hosts are held to be alive."""
        self._alive = tuple(sorted({*hosts, self._host}))

    def route_block(
        self,
        now: float,
        body: int,
        handle: object,
        proposal: ids.UpstreamId | None,
    ) -> tuple[BodyAction, ...]:
        """Find the upstream of a block.

        :param proposal: where block 0 would go; none for later blocks
        """
        known = self._get(now, body)
        if known is not None:
            return (BlockRoute(handle, known),)
        owner = self._owners(body)[0]
        upstream = proposal or _messages.NO_UPSTREAM
        if owner == self._host:
            bound = self._bind(now, body, upstream)
            return (
                BlockRoute(handle, bound or None),
                *self._tell(body, bound),
            )
        asked = self._asked.get(body)
        if asked is not None:
            asked.handles.append(handle)
            asked.upstream = asked.upstream or upstream
            return ()
        if len(self._asked) >= MAX_WAITING:
            return (BlockRoute(handle, None),)
        self._asked[body] = _Asked(upstream, [handle], now + ASK_EVERY_S)
        return (
            _actions.Send(owner, _messages.BodyBindRequest(body, upstream)),
        )

    def on_bind_request(
        self,
        now: float,
        sender: ids.HostId,
        message: _messages.BodyBindRequest,
    ) -> tuple[BodyAction, ...]:
        """Answer another host as the owner, and tell the second one."""
        bound = self._bind(now, message.body, message.upstream)
        reply = _messages.BodyBinding(message.body, bound)
        told = self._tell(message.body, bound)
        return (_actions.Send(sender, reply), *told)

    def on_binding(
        self, now: float, message: _messages.BodyBinding
    ) -> tuple[BodyAction, ...]:
        """Take in the owner's word."""
        if message.upstream and self._get(now, message.body) is None:
            self._keep(now, message.body, message.upstream)
        asked = self._asked.pop(message.body, None)
        if asked is None:
            return ()
        upstream = message.upstream or None
        return tuple(BlockRoute(handle, upstream) for handle in asked.handles)

    def on_upstream_lost(self, upstream: ids.UpstreamId) -> None:
        """Break the bodies that were bound to a dead upstream."""
        gone = [b for b, (name, _) in self._bound.items() if name == upstream]
        for body in gone:
            del self._bound[body]

    def tick(self, now: float) -> tuple[BodyAction, ...]:
        """Ask again, the second owner in turn, and give up after a while."""
        actions: list[BodyAction] = []
        for body, asked in list(self._asked.items()):
            if now < asked.ask_at:
                continue
            if asked.asks >= MAX_ASKS:
                del self._asked[body]
                actions += (
                    BlockRoute(handle, None) for handle in asked.handles
                )
                continue
            actions += self._ask_again(now, body, asked)
        oldest = itertools.islice(self._bound.items(), EXPIRED_PER_TICK)
        for body, (_, seen_at) in list(oldest):
            if now >= seen_at + BODY_IDLE_S:
                del self._bound[body]
        return tuple(actions)

    def _ask_again(
        self, now: float, body: int, asked: _Asked
    ) -> tuple[BodyAction, ...]:
        """Ask the owners in turn; this host may be one by now."""
        owners = self._owners(body)
        owner = owners[asked.asks % len(owners)]
        asked.asks += 1
        asked.ask_at = now + ASK_EVERY_S
        if owner == self._host:
            upstream = self._bind(now, body, asked.upstream)
            return self.on_binding(now, _messages.BodyBinding(body, upstream))
        message = _messages.BodyBindRequest(body, asked.upstream)
        return (_actions.Send(owner, message),)

    def _get(self, now: float, body: int) -> ids.UpstreamId | None:
        """Return the known upstream of a body and note its use."""
        found = self._bound.get(body)
        if found is None or now >= found[1] + BODY_IDLE_S:
            return None
        self._keep(now, body, found[0])
        return found[0]

    def _bind(
        self, now: float, body: int, upstream: ids.UpstreamId
    ) -> ids.UpstreamId:
        """Return where a body is bound, binding it if it isn't yet."""
        known = self._get(now, body)
        if known is not None:
            return known
        if upstream and len(self._bound) < MAX_BODIES:
            self._keep(now, body, upstream)
            return upstream
        return _messages.NO_UPSTREAM

    def _keep(self, now: float, body: int, upstream: ids.UpstreamId) -> None:
        """Remember a body as just used; the oldest goes when full."""
        self._bound[body] = (upstream, now)
        self._bound.move_to_end(body)
        if len(self._bound) > MAX_BODIES:
            self._bound.popitem(last=False)

    def _tell(
        self, body: int, upstream: ids.UpstreamId
    ) -> tuple[BodyAction, ...]:
        """Tell the other owner of a body where it is bound."""
        if not upstream:
            return ()
        message = _messages.BodyBinding(body, upstream)
        others = (h for h in self._owners(body) if h != self._host)
        return tuple(_actions.Send(host, message) for host in others)

    def _owners(self, body: int) -> list[ids.HostId]:
        """Return the first two live hosts for a body."""
        seed = body.to_bytes(8, "big")
        return sorted(
            self._alive,
            key=lambda host: xxhash.xxh3_64_intdigest(seed + host.encode()),
        )[:2]
