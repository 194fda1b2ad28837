"""Distribution of contracts among entry hosts, without I/O.

A host that receives a new version pushes it to its children in a tree over
the hosts of its availability zone.  Versions that the tree fails to deliver
(lost messages, dead hosts, differing views of the hosts) are found by
comparing versions with a random host at intervals.
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
    """Ways to forward a new version to other hosts."""

    TREE = "tree"
    GOSSIP = "gossip"
    BOTH = "both"


@dataclasses.dataclass(frozen=True)
class DistributionConfig:
    """Rates and limits of the distribution."""

    mode: DistributionMode = DistributionMode.BOTH
    """Ways to forward a new version."""
    tree_children: int = 8
    """Number of children of a host in the tree."""
    gossip_pushes: int = 3
    """Number of random hosts that gossip pushes to."""
    compare_interval_s: float = 0.5
    """Seconds between two comparisons with a random host."""
    same_zone_share: float = 0.75
    """Share of comparisons within the own availability zone."""
    startup_s: float = 1.0
    """Seconds for which a started host collects its peers' versions."""
    startup_polls: int = 8
    """Number of peers that a started host polls."""
    serve_bytes_per_s: int = 32 << 10
    """Rate of chunk data sent to lagging hosts, in bytes a second."""
    serve_burst_bytes: int = 256 << 10
    """Largest burst of chunk data sent to lagging hosts, in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToHost:
    """Send a message to another entry host; it may be lost."""

    to: ids.HostId
    """Host that receives the message."""
    msg: (
        _distribution_messages.VersionDigest
        | _distribution_messages.UpdateChunk
    )
    """Message to send."""


@dataclasses.dataclass(frozen=True, slots=True)
class PutInForce:
    """Put a new version in force on this host."""

    update: _view.Update
    """Difference to the version before."""


Action = SendToHost | PutInForce


class Distribution:
    """Keeps the contracts in force on one entry host up to date.

    :param view: contracts in force; empty after a restart
    :param rng: selects hosts to compare versions with
    """

    def __init__(
        self,
        host: ids.HostId,
        zone: ids.ZoneId,
        view: _view.View,
        rng: random.Random,
        now: float,
        config: DistributionConfig | None = None,
    ) -> None:
        self._host = host
        self._zone = zone
        self._view = view
        self._rng = rng
        self._config = config or DistributionConfig()
        self._peers: dict[ids.HostId, ids.ZoneId] = {}
        self._same_zone: list[ids.HostId] = []
        self._all_hosts: list[ids.HostId] = []
        self._assembler = _assembly.ChunkAssembler()
        self._compare_at = now + rng.uniform(
            0, self._config.compare_interval_s
        )
        self._is_starting = view.version == ids.ZERO_VERSION
        self._startup_until = now + self._config.startup_s
        self._peer_versions: dict[ids.HostId, ids.Version] = {}
        self._deferred: list[_view.Update] = []
        self._budget_updated_at = now
        self._budget = float(self._config.serve_burst_bytes)
        self._packed: dict[
            ids.Version, tuple[_distribution_messages.UpdateChunk, ...]
        ] = {}
        self._cursors: dict[tuple[ids.HostId, ids.Version], int] = {}

    @property
    def version(self) -> ids.Version:
        """Version in force."""
        return self._view.version

    def set_peers(self, peers: abc.Mapping[ids.HostId, ids.ZoneId]) -> None:
        """Set the other live entry hosts and their availability zones."""
        self._peers = {k: v for k, v in peers.items() if k != self._host}
        self._all_hosts = sorted(self._peers)
        self._same_zone = [
            k for k in self._all_hosts if self._peers[k] == self._zone
        ]

    def on_update(
        self, update: _view.Update, now: float
    ) -> tuple[Action, ...]:
        """Process an update from a keeper."""
        if self._is_starting:
            self._defer(update)
            return tuple(self._end_startup_if_due(now))
        return tuple(self._apply(update))

    def on_message(
        self, src: ids.HostId, msg: object, now: float
    ) -> tuple[Action, ...]:
        """Process a message from another entry host.

        :raises FoxtailError: ``MESSAGE_MALFORMED``
        """
        return tuple(_handle(msg, self, src, now))

    def on_tick(self, now: float) -> tuple[Action, ...]:
        """Process timers; call it several times a second."""
        self._assembler.expire(now)
        if self._is_starting:
            return (*self._poll_versions(now), *self._end_startup_if_due(now))
        return tuple(self._compare(now))

    # A started host collects peers' versions, then puts one in force.

    def _poll_versions(self, now: float) -> abc.Iterator[Action]:
        """Query peers that haven't reported their version."""
        if now < self._compare_at and self._peer_versions:
            return
        self._compare_at = now + self._config.compare_interval_s / 4
        missing = [k for k in self._all_hosts if k not in self._peer_versions]
        free = max(0, self._config.startup_polls - len(self._peer_versions))
        for host in self._rng.sample(missing, min(free, len(missing))):
            yield SendToHost(
                host,
                _distribution_messages.VersionDigest(
                    self.version, version_only=True
                ),
            )

    def _end_startup_if_due(self, now: float) -> abc.Iterator[Action]:
        """Put the newest reported version in force, or request it."""
        needed = min(self._config.startup_polls, len(self._all_hosts))
        if now < self._startup_until and (
            not needed or len(self._peer_versions) < needed
        ):
            return
        self._is_starting = False
        newest = max(self._peer_versions.values(), default=ids.ZERO_VERSION)
        deferred, self._deferred = self._deferred, []
        if deferred and deferred[-1].version >= newest:
            for update in deferred:
                yield from self._apply(update)
        elif newest > self.version:
            yield from self._request_newest(newest)

    def _request_newest(self, newest: ids.Version) -> abc.Iterator[Action]:
        """Request the newest reported version from one host that has it."""
        hosts = [k for k, v in self._peer_versions.items() if v == newest]
        yield SendToHost(
            self._rng.choice(hosts),
            _distribution_messages.VersionDigest(self.version),
        )

    def _defer(self, update: _view.Update) -> None:
        """Keep the newest state, of one or more updates, during startup."""
        deferred = self._deferred
        if deferred and update.version <= deferred[-1].version:
            return
        if update.since <= self.version:
            self._deferred = [update]
        elif deferred and update.since <= deferred[-1].version:
            if len(deferred) < MAX_DEFERRED:
                deferred.append(update)

    # Versions in force.

    def on_chunk(
        self, chunk: _distribution_messages.UpdateChunk, now: float
    ) -> abc.Iterator[Action]:
        """Process a chunk of an update."""
        if chunk.version <= self.version or chunk.since > self.version:
            return
        update = self._assembler.add(chunk, now)
        if update is None:
            return
        if self._is_starting:
            self._defer(update)
        elif update.version >= self._minimum_version():
            yield from self._apply(update)

    def _minimum_version(self) -> ids.Version:
        """Return the oldest version that a started host may put in force."""
        if self.version != ids.ZERO_VERSION:
            return ids.ZERO_VERSION
        return max(self._peer_versions.values(), default=ids.ZERO_VERSION)

    def _apply(self, update: _view.Update) -> abc.Iterator[Action]:
        """Put an update in force and push it to other hosts."""
        before = self.version
        if not self._view.apply(update):
            return
        if self.version <= before:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "version in force went back"
            )
        self._clear_packed()
        yield PutInForce(update)
        chunks = self._chunks_since(before)
        for host in self._receivers():
            for chunk in chunks:
                yield SendToHost(host, chunk)

    def _receivers(self) -> list[ids.HostId]:
        """Return the hosts to push a new version to."""
        if self._config.mode is DistributionMode.GOSSIP:
            count = min(self._config.gossip_pushes, len(self._all_hosts))
            return self._rng.sample(self._all_hosts, count)
        return tree_children(
            self._host, self._same_zone, self._config.tree_children
        )

    # Comparison of versions with other hosts.

    def _compare(self, now: float) -> abc.Iterator[Action]:
        """Send the version in force to a random host at intervals."""
        if (
            now < self._compare_at
            or self._config.mode is DistributionMode.TREE
        ):
            return
        self._compare_at = now + self._config.compare_interval_s
        is_same_zone = self._rng.random() < self._config.same_zone_share
        hosts = (
            self._same_zone
            if is_same_zone and self._same_zone
            else self._all_hosts
        )
        if hosts:
            yield SendToHost(
                self._rng.choice(hosts),
                _distribution_messages.VersionDigest(self.version),
            )

    def on_digest(
        self,
        src: ids.HostId,
        msg: _distribution_messages.VersionDigest,
        now: float,
    ) -> abc.Iterator[Action]:
        """Process the version in force on another host."""
        if self._is_starting:
            self._peer_versions[src] = msg.version
            if msg.version_only:
                yield SendToHost(
                    src, _distribution_messages.VersionDigest(self.version)
                )
            yield from self._end_startup_if_due(now)
        elif msg.version_only:
            yield SendToHost(
                src, _distribution_messages.VersionDigest(self.version)
            )
        elif msg.version < self.version:
            yield from self._send_missing(src, msg.version, now)
        elif msg.version > self.version:
            yield SendToHost(
                src, _distribution_messages.VersionDigest(self.version)
            )

    def _send_missing(
        self, to: ids.HostId, since: ids.Version, now: float
    ) -> abc.Iterator[Action]:
        """Send chunks that a host lacks, within the budget."""
        self._budget = min(
            self._config.serve_burst_bytes,
            self._budget
            + (now - self._budget_updated_at) * self._config.serve_bytes_per_s,
        )
        self._budget_updated_at = now
        chunks = self._chunks_since(since)
        if len(self._cursors) >= MAX_CURSORS:
            self._cursors.clear()
        for _ in chunks:
            # Continue where the budget ended: the receiver keeps chunks.
            index = self._cursors.get((to, since), 0)
            if self._budget < len(chunks[index].data):
                return
            self._budget -= len(chunks[index].data)
            self._cursors[to, since] = (index + 1) % len(chunks)
            yield SendToHost(to, chunks[index])

    def _chunks_since(
        self, since: ids.Version
    ) -> tuple[_distribution_messages.UpdateChunk, ...]:
        """Return the chunks of the difference to a version, from the cache."""
        if since not in self._packed:
            if len(self._packed) >= MAX_PACKED:
                self._clear_packed()
            self._packed[since] = _distribution_messages.pack(
                self._view.since(since)
            )
        return self._packed[since]

    def _clear_packed(self) -> None:
        """Clear the cache of packed differences."""
        self._packed.clear()
        self._cursors.clear()


MAX_PACKED = 8
"""Packed differences that are cached until the next version."""
MAX_DEFERRED = 64
"""Updates of one state that are kept during startup."""
MAX_CURSORS = 1024
"""Hosts whose position in a packed difference is stored."""


@functools.singledispatch
def _handle(
    msg: object, distribution: Distribution, src: ids.HostId, now: float
) -> abc.Iterator[Action]:
    """Dispatch a message to the handler of its type."""
    raise errors.FoxtailError(
        errors.Code.MESSAGE_MALFORMED, "not a message of the distribution"
    )


@_handle.register
def _(
    msg: _distribution_messages.VersionDigest,
    distribution: Distribution,
    src: ids.HostId,
    now: float,
) -> abc.Iterator[Action]:
    return distribution.on_digest(src, msg, now)


@_handle.register
def _(
    msg: _distribution_messages.UpdateChunk,
    distribution: Distribution,
    src: ids.HostId,
    now: float,
) -> abc.Iterator[Action]:
    return distribution.on_chunk(msg, now)


def tree_children(
    host: ids.HostId, peers: abc.Sequence[ids.HostId], count: int
) -> list[ids.HostId]:
    """Return a host's children in the tree of its availability zone."""
    ordered = tree_order((host, *peers))
    index = ordered.index(host)
    return ordered[index * count + 1 : index * count + count + 1]


def tree_order(hosts: abc.Iterable[ids.HostId]) -> list[ids.HostId]:
    """Return hosts in the order of the tree; updates enter at the first."""
    return sorted(
        hosts, key=lambda h: (xxhash.xxh3_64_intdigest(h.encode()), h)
    )
