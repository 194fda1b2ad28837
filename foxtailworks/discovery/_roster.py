"""What an edge host knows of instances, from all coordinators."""

from collections import abc
import dataclasses

from foxtailworks.discovery import _instance
from foxtailworks.discovery import _registry
from foxtailworks.discovery import _table
from foxtailworks import ids

ANSWER_VALID_S = 1.5
"""A coordinator that hasn't answered for so long isn't believed: six
polls, and below the second after which upstreams call another one."""
LISTING_VALID_S = 4.0
"""An instance that no coordinator lists as live is kept so long: after a
restart of all coordinators each one has announced itself again by then."""
FORGET_S = 60.0
"""An instance that has gone is remembered so long."""


@dataclasses.dataclass(slots=True)
class KnownInstance:
    """An instance with what speaks for it."""

    instance: _instance.Instance
    """Last news of it."""
    live_at: float
    """When a coordinator last listed it as live."""
    changed_at: float
    """When the state was last changed."""


@dataclasses.dataclass(slots=True)
class _Source:
    """What one coordinator said."""

    session: int = 0
    """Its session."""
    version: int = 0
    """How much of its registry is here."""
    answered_at: float = float("-inf")
    """When it last answered."""
    live: set[_table.Key] = dataclasses.field(default_factory=set)
    """Instances that it lists as live."""


class Roster:
    """Merges the registries of all coordinators."""

    def __init__(self) -> None:
        self._sources: dict[ids.Address, _Source] = {}
        self._known: dict[_table.Key, KnownInstance] = {}
        self._by_service: dict[ids.ServiceId, list[KnownInstance]] = {}
        self._sorted_version = -1
        self.version = 0
        """Grows with each change of what may be chosen."""

    def position(self, peer: ids.Address) -> tuple[int, int]:
        """Return session and mark to ask a coordinator from."""
        source = self._sources.get(peer, _Source())
        return source.session, source.version

    def answering_count(self, now: float) -> int:
        """Return how many coordinators answered lately."""
        return sum(
            now - item.answered_at <= ANSWER_VALID_S
            for item in self._sources.values()
        )

    def merge(
        self, peer: ids.Address, changes: _registry.Changes, now: float
    ) -> bool:
        """Take what a coordinator answered; false when it leaves a gap."""
        source = self._sources.setdefault(peer, _Source())
        if changes.session != source.session:
            source.session, source.version = changes.session, 0
            source.live.clear()
        if changes.since > source.version:
            return False
        source.answered_at = now
        source.version = max(source.version, changes.version)
        for item in changes.listed:
            self._note(source, item, now)
        self._renew(source, now)
        return True

    def on_tick(self, now: float) -> None:
        """Drop what nobody lists, unless no coordinator answers at all."""
        if not self.answering_count(now):
            return
        for key, known in list(self._known.items()):
            if now - known.live_at > FORGET_S:
                del self._known[key]
                self.version += 1

    def is_listed(self, known: KnownInstance, now: float) -> bool:
        """Tell whether an instance may be there.

        While no coordinator answers nothing is dropped: what was there
        last is the best that is known.
        """
        if known.instance.state is _instance.InstanceState.GONE:
            return False
        return (
            now - known.live_at <= LISTING_VALID_S
            or not self.answering_count(now)
        )

    def of_service(
        self, service: ids.ServiceId, now: float
    ) -> tuple[KnownInstance, ...]:
        """Return the instances of a service that take new work."""
        if self._sorted_version != self.version:
            self._sort()
        return tuple(
            item
            for item in self._by_service.get(service, ())
            if self.is_listed(item, now)
        )

    def _sort(self) -> None:
        """Sort the instances that take new work by their service."""
        self._sorted_version = self.version
        self._by_service = {}
        for item in self._known.values():
            if item.instance.state is _instance.InstanceState.READY:
                found = self._by_service.setdefault(item.instance.service, [])
                found.append(item)

    def all(self) -> abc.Iterable[KnownInstance]:
        """Return every instance, those that have gone included."""
        return self._known.values()

    def _note(
        self, source: _Source, item: _registry.ListedInstance, now: float
    ) -> None:
        """Take one instance as a coordinator lists it."""
        key = item.instance.key
        if item.is_live:
            source.live.add(key)
        else:
            source.live.discard(key)
        known = self._known.get(key)
        if known is None:
            live_at = now if item.is_live else now - LISTING_VALID_S
            self._known[key] = KnownInstance(item.instance, live_at, now)
            self.version += 1
        elif item.instance.supersedes(known.instance):
            known.instance = item.instance
            known.changed_at = now
            self.version += 1

    def _renew(self, source: _Source, now: float) -> None:
        """Extend what this coordinator lists as live."""
        for key in source.live:
            known = self._known.get(key)
            if known is not None:
                known.live_at = now
