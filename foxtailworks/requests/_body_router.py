"""Binding of all blocks of a request body to one upstream."""

import collections
import dataclasses
import itertools

import xxhash

from foxtailworks import ids
from foxtailworks.requests import _actions
from foxtailworks.requests import _messages

BODY_IDLE_S = 60.0
REQUEST_INTERVAL_S = 0.05
MAX_REQUESTS = 4
MAX_BODIES = 20_000
MAX_PENDING = 5_000
EXPIRED_PER_TICK = 64


@dataclasses.dataclass(frozen=True, slots=True)
class BlockRoute:
    """The upstream of one block; none when its body isn't bound.

    A block without an upstream is refused: the caller restarts at block 0.
    """

    handle: object
    upstream: ids.UpstreamId | None


@dataclasses.dataclass(slots=True)
class _PendingBinding:
    """Blocks that wait for the binding of their body."""

    upstream: ids.UpstreamId
    handles: list[object]
    resend_at: float
    request_count: int = 1


BodyAction = BlockRoute | _actions.Send


def body_id(service: ids.ServiceId, caller: str, path: str) -> int:
    """Return the digest that identifies a body."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{caller}\0{path}".encode())


class BodyRouter:
    """Routes the blocks of each body to the upstream that it is bound to.

    The owner of a body, its first live host by rendezvous hashing, stores the
    binding and replicates it to the second owner.  A host queries the second
    owner when the first one doesn't reply.

    :param host: this host
    """

    def __init__(self, host: ids.HostId) -> None:
        self._host = host
        self._live_hosts: tuple[ids.HostId, ...] = (host,)
        self._bindings: collections.OrderedDict[
            int, tuple[ids.UpstreamId, float]
        ] = collections.OrderedDict()
        self._pending: dict[int, _PendingBinding] = {}

    def __len__(self) -> int:
        """Return the number of bindings stored on this host."""
        return len(self._bindings)

    def set_live_hosts(
        self, hosts: collections.abc.Collection[ids.HostId]
    ) -> None:
        """Set the hosts that are believed to be live."""
        self._live_hosts = tuple(sorted({*hosts, self._host}))

    def route_block(
        self,
        now: float,
        body: int,
        handle: object,
        proposal: ids.UpstreamId | None,
    ) -> tuple[BodyAction, ...]:
        """Route a block to the upstream of its body.

        :param body: digest from :func:`body_id`
        :param proposal: upstream proposed for block 0; none for later blocks
        """
        known = self._find(now, body)
        if known is not None:
            return (BlockRoute(handle, known),)
        owner = self._owners(body)[0]
        upstream = proposal or _messages.NO_UPSTREAM
        if owner == self._host:
            bound = self._bind(now, body, upstream)
            return (
                BlockRoute(handle, bound or None),
                *self._notify_other_owner(body, bound),
            )
        pending = self._pending.get(body)
        if pending is not None:
            pending.handles.append(handle)
            pending.upstream = pending.upstream or upstream
            return ()
        if len(self._pending) >= MAX_PENDING:
            return (BlockRoute(handle, None),)
        self._pending[body] = _PendingBinding(
            upstream, [handle], now + REQUEST_INTERVAL_S
        )
        return (
            _actions.Send(owner, _messages.BodyBindRequest(body, upstream)),
        )

    def on_bind_request(
        self,
        now: float,
        sender: ids.HostId,
        message: _messages.BodyBindRequest,
    ) -> tuple[BodyAction, ...]:
        """Reply to another host as the owner, and notify the other owner."""
        bound = self._bind(now, message.body, message.upstream)
        reply = _messages.BodyBinding(message.body, bound)
        notices = self._notify_other_owner(message.body, bound)
        return (_actions.Send(sender, reply), *notices)

    def on_binding(
        self, now: float, message: _messages.BodyBinding
    ) -> tuple[BodyAction, ...]:
        """Process a binding from an owner."""
        if message.upstream and self._find(now, message.body) is None:
            self._store(now, message.body, message.upstream)
        pending = self._pending.pop(message.body, None)
        if pending is None:
            return ()
        upstream = message.upstream or None
        return tuple(
            BlockRoute(handle, upstream) for handle in pending.handles
        )

    def on_upstream_lost(self, upstream: ids.UpstreamId) -> None:
        """Remove the bindings to a dead upstream."""
        lost = [
            b for b, (name, _) in self._bindings.items() if name == upstream
        ]
        for body in lost:
            del self._bindings[body]

    def tick(self, now: float) -> tuple[BodyAction, ...]:
        """Resend requests, then refuse their blocks, and expire bindings."""
        actions: list[BodyAction] = []
        for body, pending in list(self._pending.items()):
            if now < pending.resend_at:
                continue
            if pending.request_count >= MAX_REQUESTS:
                del self._pending[body]
                actions += (
                    BlockRoute(handle, None) for handle in pending.handles
                )
                continue
            actions += self._resend(now, body, pending)
        oldest = itertools.islice(self._bindings.items(), EXPIRED_PER_TICK)
        for body, (_, seen_at) in list(oldest):
            if now >= seen_at + BODY_IDLE_S:
                del self._bindings[body]
        return tuple(actions)

    def _resend(
        self, now: float, body: int, pending: _PendingBinding
    ) -> tuple[BodyAction, ...]:
        """Query the owners in turn; this host may be one by now."""
        owners = self._owners(body)
        owner = owners[pending.request_count % len(owners)]
        pending.request_count += 1
        pending.resend_at = now + REQUEST_INTERVAL_S
        if owner == self._host:
            upstream = self._bind(now, body, pending.upstream)
            return self.on_binding(now, _messages.BodyBinding(body, upstream))
        message = _messages.BodyBindRequest(body, pending.upstream)
        return (_actions.Send(owner, message),)

    def _find(self, now: float, body: int) -> ids.UpstreamId | None:
        """Return the bound upstream of a body and refresh the binding."""
        found = self._bindings.get(body)
        if found is None or now >= found[1] + BODY_IDLE_S:
            return None
        self._store(now, body, found[0])
        return found[0]

    def _bind(
        self, now: float, body: int, upstream: ids.UpstreamId
    ) -> ids.UpstreamId:
        """Return the upstream of a body; bind it first if need be."""
        known = self._find(now, body)
        if known is not None:
            return known
        if upstream and len(self._bindings) < MAX_BODIES:
            self._store(now, body, upstream)
            return upstream
        return _messages.NO_UPSTREAM

    def _store(self, now: float, body: int, upstream: ids.UpstreamId) -> None:
        """Store a binding as just used; the oldest is removed when full."""
        self._bindings[body] = (upstream, now)
        self._bindings.move_to_end(body)
        if len(self._bindings) > MAX_BODIES:
            self._bindings.popitem(last=False)

    def _notify_other_owner(
        self, body: int, upstream: ids.UpstreamId
    ) -> tuple[BodyAction, ...]:
        """Return messages that send a binding to the body's other owner."""
        if not upstream:
            return ()
        message = _messages.BodyBinding(body, upstream)
        others = (h for h in self._owners(body) if h != self._host)
        return tuple(_actions.Send(host, message) for host in others)

    def _owners(self, body: int) -> list[ids.HostId]:
        """Return the two owners of a body, in rendezvous order."""
        seed = body.to_bytes(8, "big")
        return sorted(
            self._live_hosts,
            key=lambda host: xxhash.xxh3_64_intdigest(seed + host.encode()),
        )[:2]
