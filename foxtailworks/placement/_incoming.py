"""What other hosts told this host of their flows."""

from collections import abc
import dataclasses

from foxtailworks import ids
from foxtailworks.placement import _digest
from foxtailworks.placement import _messages
from foxtailworks.placement import _standing


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """Where a flow stands, as another host said."""

    standing: _standing.Standing
    """Where."""
    origin: ids.HostId
    """Who said so."""
    epoch: int
    """Incarnation of who said so."""


@dataclasses.dataclass(slots=True, eq=False)
class _Generation:
    """Shared by all exceptions that came in one generation."""

    origin: ids.HostId
    epoch: int
    valid: bool = True
    superseded_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Held:
    """Where a flow stands, by one host; shared by all of one message."""

    standing: _standing.Standing
    generation: _Generation
    seq: int
    older: "_Held | None" = None

    def first_valid(self) -> "_Held | None":
        """Return the latest that hasn't ended."""
        item: _Held | None = self
        while item is not None and not item.generation.valid:
            item = item.older
        return item

    def after(self, older: "_Held | None") -> "_Held":
        """Return this one, with the one of another host behind it.

        Of one host's the later sent counts, not the later received.  No
        more than two are kept, hearsay behind what a host knows itself.
        """
        if older is None:
            return self
        if older.generation.origin == self.generation.origin:
            return self if self.seq > older.seq else older
        first, second = self, older
        if self.standing.is_indirect and not older.standing.is_indirect:
            first, second = older, self
        second = dataclasses.replace(second, older=None)
        return dataclasses.replace(first, older=second)


@dataclasses.dataclass(slots=True)
class _Origin:
    """What came from one host."""

    epoch: int
    generations: dict[tuple[int, int], _Generation]
    whole: tuple[int, int] = (0, 0)
    synced_seq: int = 0
    goal: _standing.Goal | None = None
    whole_hosts: int | None = None
    gone_at: float | None = None


class Incoming:
    """Flows that other hosts told this host of.

    :param cap: most flows kept; more are dropped and counted
    """

    def __init__(self, cap: int) -> None:
        self._cap = cap
        self._held: dict[int, _Held] = {}
        self._origins: dict[ids.HostId, _Origin] = {}
        self.dropped = 0
        """Flows that found no room."""

    def __len__(self) -> int:
        """Return how many flows are kept, ended ones included."""
        return len(self._held)

    def lookup(self, mark: int) -> abc.Iterator[Told]:
        """Yield where a flow may stand, the likeliest first."""
        item = self._held.get(mark)
        while item is not None:
            made = item.generation
            if made.valid:
                yield Told(item.standing, made.origin, made.epoch)
            item = item.older

    def goal_of(self, origin: ids.HostId) -> _standing.Goal | None:
        """Return what the last whole generation of a host refers to."""
        known = self._origins.get(origin)
        return known.goal if known else None

    def is_whole(self, origin: ids.HostId, hosts: int) -> bool:
        """Return whether a host told all under a view of hosts."""
        known = self._origins.get(origin)
        return known is not None and known.whole_hosts == hosts

    def forget_goals(self) -> None:
        """Take no host for synced any more."""
        for known in self._origins.values():
            known.goal = None
            known.whole_hosts = None

    def take_digest(self, origin: ids.HostId, msg: _messages.Digest) -> bool:
        """Keep the flows in ``msg``.

        :returns: whether to acknowledge it
        """
        known = self._origin(origin, msg.epoch)
        if known is None:
            return False
        key = (msg.epoch, msg.generation)
        if key < known.whole:
            return True
        if key not in known.generations:
            known.generations[key] = _Generation(origin, msg.epoch)
        standing = _standing.Standing(msg.upstream, msg.view, msg.is_indirect)
        item = _Held(standing, known.generations[key], msg.seq)
        for mark in _digest.unpack(msg.flows):
            if len(self._held) >= self._cap and mark not in self._held:
                self.dropped += 1
                continue
            older = self._held.get(mark)
            if older is not None:
                older = older.first_valid()
            self._held[mark] = item.after(older)
        return True

    def take_synced(
        self, origin: ids.HostId, msg: _messages.Synced, now: float
    ) -> bool:
        """End the generations before the one that is whole.

        Those of an earlier incarnation stay for a while: it may be the only
        one who knew of flows that were handed over here.

        :returns: whether to acknowledge it
        """
        known = self._origin(origin, msg.epoch)
        if known is None:
            return False
        whole = (msg.epoch, msg.generation)
        if whole < known.whole or msg.seq < known.synced_seq:
            return True
        known.synced_seq = msg.seq
        known.goal = _standing.Goal(msg.hosts, msg.upstreams)
        if msg.is_whole:
            known.whole = whole
            known.whole_hosts = msg.hosts
            self._supersede(known, now)
        return True

    def _supersede(self, known: _Origin, now: float) -> None:
        """End the generations before the last that is whole."""
        for key in [k for k in known.generations if k < known.whole]:
            generation = known.generations[key]
            if generation.epoch == known.epoch:
                generation.valid = False
                del known.generations[key]
            elif generation.superseded_at is None:
                generation.superseded_at = now

    def _origin(self, origin: ids.HostId, epoch: int) -> _Origin | None:
        """Return the state of a host, or None for a late message."""
        known = self._origins.get(origin)
        if known is None:
            known = _Origin(epoch, {})
            self._origins[origin] = known
        if epoch < known.epoch:
            return None
        if epoch > known.epoch:
            known.epoch = epoch
            known.goal = None
            known.whole_hosts = None
            known.synced_seq = 0
        return known

    def items(
        self,
    ) -> abc.Iterator[tuple[int, _standing.Standing, ids.HostId, int]]:
        """Yield fingerprint, standing, origin and its epoch of each."""
        for mark, held in list(self._held.items()):
            item = held.first_valid()
            if item is not None:
                origin = item.generation
                yield mark, item.standing, origin.origin, origin.epoch

    def sweep(
        self, present: abc.Container[ids.HostId], keep_s: float, now: float
    ) -> None:
        """Drop what ended, and what came from hosts dead for long."""
        for host, known in list(self._origins.items()):
            self._end_superseded(known, now - keep_s)
            if host in present:
                known.gone_at = None
                continue
            if known.gone_at is None:
                known.gone_at = now
            if now - known.gone_at > keep_s:
                del self._origins[host]
                for generation in known.generations.values():
                    generation.valid = False
        ended = [m for m, i in self._held.items() if not i.first_valid()]
        for mark in ended:
            del self._held[mark]

    def _end_superseded(self, known: _Origin, before: float) -> None:
        """End generations of incarnations that ended long ago."""
        for key, generation in list(known.generations.items()):
            at = generation.superseded_at
            if at is not None and at < before:
                generation.valid = False
                del known.generations[key]
