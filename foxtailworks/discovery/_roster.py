"""Instances known to an edge host, merged from all coordinators."""

from collections import abc
import dataclasses

from foxtailworks.discovery import _instance
from foxtailworks.discovery import _messages
from foxtailworks.discovery import _table
from foxtailworks import ids

ANSWER_VALID_S = 2.5
"""Time for which a coordinator counts as responsive after an answer, longer
than the interval between two polls of any coordinator."""
LISTING_VALID_S = 4.0
"""Time for which an instance stays usable after a coordinator last listed it
as live: after a restart of all coordinators each instance has announced
itself again by then."""
TOMBSTONE_S = 60.0
"""Time after which an instance that isn't live any more is removed."""
COPY_VALID_S = 30.0
"""Time since a coordinator's last answer for which the copy of its instances
may stand for another one's; below the time after which rows are removed."""
REMOVAL_INTERVAL_S = 1.0
"""Interval between two searches for such instances."""


@dataclasses.dataclass(slots=True)
class KnownInstance:
    """An instance and when coordinators last listed and changed it."""

    instance: _instance.Instance
    """Latest state of the instance."""
    live_at: float
    """Time when a coordinator last listed it as live, monotonic seconds."""
    changed_at: float
    """Time of its last change, monotonic seconds."""


@dataclasses.dataclass(slots=True)
class _Source:
    """State received from one coordinator."""

    session: int = 0
    """Session of its registry."""
    version: int = 0
    """Version of its registry up to which changes were received."""
    answered_at: float = float("-inf")
    """Time of its last answer, monotonic seconds."""
    live: set[_table.Key] = dataclasses.field(default_factory=set)
    """Instances that it lists as live."""
    digest: int = 0
    """Digest of them; 0 if it isn't known."""


class Roster:
    """Merges the registries of all coordinators."""

    def __init__(self) -> None:
        self._sources: dict[ids.Address, _Source] = {}
        self._known: dict[_table.Key, KnownInstance] = {}
        self._by_service: dict[ids.ServiceId, list[KnownInstance]] = {}
        self._members_version = 0
        # Grows with each change of an instance's service or state.
        self._indexed_version = -1
        self._next_removal_at = 0.0
        self.version = 0
        """Number that grows with each change of an instance."""
        self.keys_version = 0
        """Number that grows when an instance is added or removed."""

    def position(self, peer: ids.Address) -> tuple[int, int]:
        """Return the session and version to poll a coordinator from."""
        source = self._sources.get(peer, _Source())
        return source.session, source.version

    def answering_count(self, now: float) -> int:
        """Return the number of coordinators that answered recently."""
        return sum(
            now - item.answered_at <= ANSWER_VALID_S
            for item in self._sources.values()
        )

    def merge(
        self, peer: ids.Address, changes: _messages.Changes, now: float
    ) -> bool:
        """Apply the changes that a coordinator answered with.

        :return: false when changes before them are missing
        """
        source = self._sources.setdefault(peer, _Source())
        if changes.session != source.session:
            source.session, source.version = changes.session, 0
            source.live.clear()
        if changes.since > source.version:
            return False
        source.answered_at = now
        if changes.version < source.version:
            # A later answer has overtaken this one.
            return True
        source.version = changes.version
        source.digest = changes.digest
        for item in changes.listed:
            self._apply(source, item, now)
        self._refresh_live(source, now)
        return True

    def has_copy(self, now: float) -> bool:
        """Return whether there is a copy that may stand for others."""
        return any(self._copies(now))

    def is_known(self, peer: ids.Address) -> bool:
        """Return whether there is a copy of a running coordinator's registry.

        A saved reply has no digest, nor has a release that sends none.
        """
        source = self._sources.get(peer)
        return source is not None and source.digest != 0

    def adopt(
        self,
        peer: ids.Address,
        position: tuple[int, int],
        digest: int,
        now: float,
    ) -> bool:
        """Use a copy for a coordinator whose instances are the same.

        :param position: session and version of its registry
        :param digest: digest of its live instances
        :return: false when no copy has this digest
        """
        copy = next((i for i in self._copies(now) if i.digest == digest), None)
        if copy is None:
            return False
        live = set(copy.live)
        self._sources[peer] = source = _Source(*position, now, live, digest)
        self._refresh_live(source, now)
        return True

    def _copies(self, now: float) -> abc.Iterator[_Source]:
        """Yield the coordinators' copies that may stand for others."""
        return (
            item
            for item in self._sources.values()
            if item.digest and now - item.answered_at < COPY_VALID_S
        )

    def on_tick(self, now: float) -> None:
        """Remove instances that no coordinator has listed as live for long.

        Nothing is removed while no coordinator answers.
        """
        if now < self._next_removal_at or not self.answering_count(now):
            return
        self._next_removal_at = now + REMOVAL_INTERVAL_S
        for key, known in list(self._known.items()):
            if now - known.live_at > TOMBSTONE_S:
                del self._known[key]
                self._count_change(is_key=True, is_member=True)

    def is_presumed_live(self, known: KnownInstance, now: float) -> bool:
        """Return whether an instance is likely to be live.

        While no coordinator answers, all instances that haven't gone count
        as live, since their last state is the best available.
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
        """Return the instances of a service that accept new flows."""
        if self._indexed_version != self._members_version:
            self._index_by_service()
        return tuple(
            item
            for item in self._by_service.get(service, ())
            if self.is_presumed_live(item, now)
        )

    def _index_by_service(self) -> None:
        """Index the instances that accept new flows by service."""
        self._indexed_version = self._members_version
        self._by_service = {}
        for item in self._known.values():
            if item.instance.state is _instance.InstanceState.READY:
                instances = self._by_service.setdefault(
                    item.instance.service, []
                )
                instances.append(item)

    def all(self) -> abc.Iterable[KnownInstance]:
        """Return every instance, including those that have gone."""
        return self._known.values()

    def _apply(
        self, source: _Source, item: _messages.ListedInstance, now: float
    ) -> None:
        """Apply one instance that a coordinator listed."""
        key = item.instance.key
        if item.is_live:
            source.live.add(key)
        else:
            source.live.discard(key)
        known = self._known.get(key)
        if known is None:
            live_at = now if item.is_live else now - LISTING_VALID_S
            self._known[key] = KnownInstance(item.instance, live_at, now)
            self._count_change(is_key=True, is_member=True)
        elif item.instance.supersedes(known.instance):
            before, known.instance = known.instance, item.instance
            known.changed_at = now
            is_same = (before.service, before.state) == (
                item.instance.service,
                item.instance.state,
            )
            self._count_change(is_key=False, is_member=not is_same)

    def _count_change(self, is_key: bool, is_member: bool) -> None:
        """Let what is derived from the instances be derived anew.

        With thousands of instances, of which some change each second, an
        index of all takes longer than all else that a host does.

        :param is_key: whether an instance was added or removed
        :param is_member: whether a service has other ready instances
        """
        self.version += 1
        self.keys_version += is_key
        self._members_version += is_member

    def _refresh_live(self, source: _Source, now: float) -> None:
        """Refresh the instances that a coordinator lists as live."""
        for key in source.live:
            known = self._known.get(key)
            if known is not None:
                known.live_at = now
