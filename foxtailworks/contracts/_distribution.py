"""How entry hosts pass contracts on, without any input or output.

A host that gets a new version pushes it to its children in a tree over the
hosts of its availability zone.  What the tree misses (lost messages, dead
hosts, views that differ) is found by comparing versions with a random host
from time to time.
"""

from collections import abc
import dataclasses
import enum
import functools
import random

import xxhash

from foxtailworks.contracts import _assembly
from foxtailworks.contracts import _distribution_messages
from foxtailworks.contracts import _view
from foxtailworks import errors
from foxtailworks import ids


class DistributionMode(enum.Enum):
    """By which ways a new version is passed on."""

    TREE = "tree"
    GOSSIP = "gossip"
    BOTH = "both"


@dataclasses.dataclass(frozen=True)
class DistributionConfig:
    """How fast and how much a host passes on."""

    mode: DistributionMode = DistributionMode.BOTH
    """By which ways."""
    children: int = 8
    """Hosts that one host pushes to in the tree."""
    pushes: int = 3
    """Random hosts that gossip pushes to."""
    compare_s: float = 0.5
    """Between two comparisons with a random host."""
    near_share: float = 0.75
    """Share of comparisons within the own availability zone."""
    start_s: float = 1.0
    """A started host counts its neighbours' versions for so long."""
    start_asks: int = 8
    """How many neighbours it asks."""
    serve_bytes_per_s: int = 32 << 10
    """Pieces sent to hosts that lag, by their data."""
    serve_burst_bytes: int = 256 << 10
    """The same at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToHost:
    """Send a message to another entry host; it may be lost."""

    to: ids.HostId
    """Receiver."""
    msg: (
        _distribution_messages.VersionDigest
        | _distribution_messages.UpdateChunk
    )
    """What to send."""


@dataclasses.dataclass(frozen=True, slots=True)
class PutInForce:
    """The view has a new version."""

    update: _view.Update
    """What changed."""


Action = SendToHost | PutInForce


class Distribution:
    """The contracts in force on one entry host.

    :param view: starts empty after a restart; only grows
    :param rng: chooses hosts to compare with
    """

    def __init__(
        self,
        host: ids.HostId,
        zone: ids.ZoneId,
        view: _view.View,
        rng: random.Random,
        now: float,
        pace: DistributionConfig | None = None,
    ) -> None:
        self._host = host
        self._zone = zone
        self._view = view
        self._rng = rng
        self._pace = pace or DistributionConfig()
        self._peers: dict[ids.HostId, ids.ZoneId] = {}
        self._near: list[ids.HostId] = []
        self._all: list[ids.HostId] = []
        self._assembly = _assembly.Assembly()
        self._compare_at = now + rng.uniform(0, self._pace.compare_s)
        self._counting = view.version == ids.ZERO_VERSION
        self._start_until = now + self._pace.start_s
        self._counts: dict[ids.HostId, ids.Version] = {}
        self._held_back: list[_view.Update] = []
        self._served_at = now
        self._budget = float(self._pace.serve_burst_bytes)
        self._packed: dict[
            ids.Version, tuple[_distribution_messages.UpdateChunk, ...]
        ] = {}
        self._cursors: dict[tuple[ids.HostId, ids.Version], int] = {}

    @property
    def version(self) -> ids.Version:
        """Version in force."""
        return self._view.version

    def set_peers(self, peers: abc.Mapping[ids.HostId, ids.ZoneId]) -> None:
        """Say which other entry hosts are alive, with their zones."""
        self._peers = {k: v for k, v in peers.items() if k != self._host}
        self._all = sorted(self._peers)
        self._near = [k for k in self._all if self._peers[k] == self._zone]

    def on_update(
        self, update: _view.Update, now: float
    ) -> tuple[Action, ...]:
        """Take an update of a keeper."""
        if self._counting:
            self._hold_back(update)
            return tuple(self._end_count_if_due(now))
        return tuple(self._take(update))

    def on_message(
        self, src: ids.HostId, msg: object, now: float
    ) -> tuple[Action, ...]:
        """Take a message of another entry host.

        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        return tuple(_handle(msg, self, src, now))

    def on_tick(self, now: float) -> tuple[Action, ...]:
        """Let time pass; call several times a second."""
        self._assembly.expire(now)
        if self._counting:
            return (*self._ask_counts(now), *self._end_count_if_due(now))
        return tuple(self._compare(now))

    # A started host counts versions before it puts one in force.

    def _ask_counts(self, now: float) -> abc.Iterator[Action]:
        """Ask neighbours that haven't said what they have."""
        if now < self._compare_at and self._counts:
            return
        self._compare_at = now + self._pace.compare_s / 4
        missing = [k for k in self._all if k not in self._counts]
        room = max(0, self._pace.start_asks - len(self._counts))
        for host in self._rng.sample(missing, min(room, len(missing))):
            yield SendToHost(
                host,
                _distribution_messages.VersionDigest(
                    self.version, counting=True
                ),
            )

    def _end_count_if_due(self, now: float) -> abc.Iterator[Action]:
        """Put the newest known version in force, or ask for it."""
        wanted = min(self._pace.start_asks, len(self._all))
        if now < self._start_until and (
            not wanted or len(self._counts) < wanted
        ):
            return
        self._counting = False
        best = max(self._counts.values(), default=ids.ZERO_VERSION)
        held, self._held_back = self._held_back, []
        if held and held[-1].version >= best:
            for update in held:
                yield from self._take(update)
        elif best > self.version:
            yield from self._ask_best(best)

    def _ask_best(self, best: ids.Version) -> abc.Iterator[Action]:
        """Ask one host that has the newest known version."""
        hosts = [k for k, v in self._counts.items() if v == best]
        yield SendToHost(
            self._rng.choice(hosts),
            _distribution_messages.VersionDigest(self.version),
        )

    def _hold_back(self, update: _view.Update) -> None:
        """Keep the newest state, which may come in parts, until then."""
        held = self._held_back
        if held and update.version <= held[-1].version:
            return
        if update.since <= self.version:
            self._held_back = [update]
        elif held and update.since <= held[-1].version:
            if len(held) < MAX_HELD_BACK:
                held.append(update)

    # Versions in force.

    def take_piece(
        self, piece: _distribution_messages.UpdateChunk, now: float
    ) -> abc.Iterator[Action]:
        """Take a piece of an update."""
        if piece.version <= self.version or piece.since > self.version:
            return
        update = self._assembly.add(piece, now)
        if update is None:
            return
        if self._counting:
            self._hold_back(update)
        elif update.version >= self._floor():
            yield from self._take(update)

    def _floor(self) -> ids.Version:
        """Return the oldest version that a started host may begin with."""
        if self.version != ids.ZERO_VERSION:
            return ids.ZERO_VERSION
        return max(self._counts.values(), default=ids.ZERO_VERSION)

    def _take(self, update: _view.Update) -> abc.Iterator[Action]:
        """Put an update in force and pass it on."""
        before = self.version
        if not self._view.apply(update):
            return
        if self.version <= before:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "version in force went back"
            )
        self._forget_packed()
        yield PutInForce(update)
        pieces = self._pieces(before)
        for host in self._receivers():
            for piece in pieces:
                yield SendToHost(host, piece)

    def _receivers(self) -> list[ids.HostId]:
        """Return the hosts that a new version is pushed to."""
        if self._pace.mode is DistributionMode.GOSSIP:
            count = min(self._pace.pushes, len(self._all))
            return self._rng.sample(self._all, count)
        return children(self._host, self._near, self._pace.children)

    # Comparing with others.

    def _compare(self, now: float) -> abc.Iterator[Action]:
        """Say from time to time to a random host what is in force."""
        if now < self._compare_at or self._pace.mode is DistributionMode.TREE:
            return
        self._compare_at = now + self._pace.compare_s
        near = self._rng.random() < self._pace.near_share
        hosts = self._near if near and self._near else self._all
        if hosts:
            yield SendToHost(
                self._rng.choice(hosts),
                _distribution_messages.VersionDigest(self.version),
            )

    def compare_with(
        self,
        src: ids.HostId,
        msg: _distribution_messages.VersionDigest,
        now: float,
    ) -> abc.Iterator[Action]:
        """Answer what another host has."""
        if self._counting:
            self._counts[src] = msg.version
            if msg.counting:
                yield SendToHost(
                    src, _distribution_messages.VersionDigest(self.version)
                )
            yield from self._end_count_if_due(now)
        elif msg.counting:
            yield SendToHost(
                src, _distribution_messages.VersionDigest(self.version)
            )
        elif msg.version < self.version:
            yield from self._serve(src, msg.version, now)
        elif msg.version > self.version:
            yield SendToHost(
                src, _distribution_messages.VersionDigest(self.version)
            )

    def _serve(
        self, to: ids.HostId, since: ids.Version, now: float
    ) -> abc.Iterator[Action]:
        """Send what a host lacks, within the budget."""
        self._budget = min(
            self._pace.serve_burst_bytes,
            self._budget
            + (now - self._served_at) * self._pace.serve_bytes_per_s,
        )
        self._served_at = now
        pieces = self._pieces(since)
        if len(self._cursors) >= MAX_CURSORS:
            self._cursors.clear()
        for _ in pieces:
            # Go on where the budget ended: the receiver keeps pieces.
            place = self._cursors.get((to, since), 0)
            if self._budget < len(pieces[place].data):
                return
            self._budget -= len(pieces[place].data)
            self._cursors[to, since] = (place + 1) % len(pieces)
            yield SendToHost(to, pieces[place])

    def _pieces(
        self, since: ids.Version
    ) -> tuple[_distribution_messages.UpdateChunk, ...]:
        """Return the packed difference to a version, packed once."""
        if since not in self._packed:
            if len(self._packed) >= MAX_PACKED:
                self._forget_packed()
            self._packed[since] = _distribution_messages.pack(
                self._view.since(since)
            )
        return self._packed[since]

    def _forget_packed(self) -> None:
        """Drop packed differences."""
        self._packed.clear()
        self._cursors.clear()


MAX_PACKED = 8
"""Packed differences that are kept until the next version."""
MAX_HELD_BACK = 64
"""Parts of a state that are kept while a started host counts."""
MAX_CURSORS = 1024
"""Hosts whose place in a packed difference is remembered."""


@functools.singledispatch
def _handle(
    msg: object, core: Distribution, src: ids.HostId, now: float
) -> abc.Iterator[Action]:
    """Pass a message to the rule for its type."""
    raise errors.FoxtailError(
        errors.Code.MESSAGE_MALFORMED, "not a message of the distribution"
    )


@_handle.register
def _(
    msg: _distribution_messages.VersionDigest,
    core: Distribution,
    src: ids.HostId,
    now: float,
) -> abc.Iterator[Action]:
    return core.compare_with(src, msg, now)


@_handle.register
def _(
    msg: _distribution_messages.UpdateChunk,
    core: Distribution,
    src: ids.HostId,
    now: float,
) -> abc.Iterator[Action]:
    return core.take_piece(msg, now)


def children(
    host: ids.HostId, near: abc.Sequence[ids.HostId], count: int
) -> list[ids.HostId]:
    """Return a host's children in the tree of its availability zone."""
    ordered = tree_order((host, *near))
    place = ordered.index(host)
    return ordered[place * count + 1 : place * count + count + 1]


def tree_order(hosts: abc.Iterable[ids.HostId]) -> list[ids.HostId]:
    """Return hosts in the order of the tree; the first ones feed it."""
    return sorted(
        hosts, key=lambda h: (xxhash.xxh3_64_intdigest(h.encode()), h)
    )
