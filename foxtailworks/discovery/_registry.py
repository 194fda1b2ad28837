"""What one coordinator knows of instances."""

from collections import abc
import dataclasses

from foxtailworks.discovery import _instance
from foxtailworks.discovery import _table

TOMBSTONE_S = 60.0
"""An instance that has gone is remembered so long, against late news."""
MAX_UNLOGGED = 1000
"""Changes kept for logs until they are taken; more are left out."""
RESTORED_LEASE_S = 2.0
"""What was known before a restart is believed so long: each instance has
announced itself again by then."""
MAX_INSTANCES = 16_384
"""Cap of the table; more are refused and announce themselves again."""
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A heartbeat that one coordinator passes on to the others."""

    instance: _instance.Instance
    """What it said."""
    age_ms: int
    """How long ago; the receivers' clocks may differ."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance as a coordinator lists it."""

    instance: _instance.Instance
    """Last news of it."""
    is_live: bool
    """Whether its lease runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a registry after one of its marks."""

    session: int
    """Registry that counted; a restart begins another."""
    since: int
    """The receiver needs this mark or a later one; 0 is everything."""
    version: int
    """What the receiver has afterwards."""
    listed: tuple[ListedInstance, ...]
    """Instances that changed."""


class Registry:
    """Takes heartbeats of instances and lets leases run out.

    :param session: differs at each start of the process
    :param lease_s: an instance unheard for so long is no longer live
    """

    def __init__(self, session: int, lease_s: float) -> None:
        self._session = session
        self._lease_s = lease_s
        self._table = _table.Table()
        self._version = 0
        self._news: list[ListedInstance] = []
        self._unshared: dict[_table.Key, tuple[_instance.Instance, float]] = {}

    @property
    def session(self) -> int:
        """Which run of a coordinator this is."""
        return self._session

    @property
    def version(self) -> int:
        """Count of changes."""
        return self._version

    def restore(
        self, instances: abc.Iterable[_instance.Instance], now: float
    ) -> None:
        """Take what was known before a restart, for a short while."""
        heard_at = now - max(0.0, self._lease_s - RESTORED_LEASE_S)
        for item in instances:
            self._take(item, heard_at, now)

    def listed(self) -> abc.Iterator[ListedInstance]:
        """Yield every instance, those that have gone included."""
        return (
            ListedInstance(r.instance, r.is_live) for r in self._table.rows()
        )

    def announce(self, instance: _instance.Instance, now: float) -> bool:
        """Take a heartbeat from the instance itself.

        :returns: false when the table is full
        """
        known = self._table.get(instance.key) is not None
        if not known and len(self._table) >= MAX_INSTANCES:
            return False
        self._take(instance, now, now)
        row = self._table.get(instance.key)
        if row is not None:
            self._unshared[instance.key] = (row.instance, now)
        return True

    def withdraw(self, name: _instance.InstanceId, now: float) -> None:
        """Take the leave of the newest start under an id."""
        row = self._table.newest(name)
        if row is not None:
            gone = row.instance.with_state(_instance.InstanceState.GONE)
            self.announce(gone, now)

    def merge(self, heard: abc.Iterable[RelayedHeartbeat], now: float) -> None:
        """Take heartbeats that another coordinator passed on."""
        for item in heard:
            if len(self._table) < MAX_INSTANCES:
                self._take(item.instance, now - item.age_ms / _MS_PER_S, now)

    def take_unlogged(self) -> list[ListedInstance]:
        """Return what changed since the last call, for logs."""
        news, self._news = self._news, []
        return news

    def take_unshared(self, now: float) -> tuple[RelayedHeartbeat, ...]:
        """Return the heartbeats that the others haven't been told."""
        unshared, self._unshared = self._unshared, {}
        return tuple(
            RelayedHeartbeat(instance, max(0, round((now - at) * _MS_PER_S)))
            for instance, at in unshared.values()
        )

    def all_heartbeats(self, now: float) -> tuple[RelayedHeartbeat, ...]:
        """Return all rows, for a coordinator that has just started."""
        return tuple(
            RelayedHeartbeat(
                row.instance, max(0, round((now - row.heard_at) * _MS_PER_S))
            )
            for row in self._table.rows()
        )

    def on_tick(self, now: float) -> None:
        """Let leases run out and forget what is long gone."""
        for row in tuple(self._table.rows()):
            silence = now - row.heard_at
            if row.is_live and silence > self._lease_s:
                row.is_live = False
                self._touch(row)
            elif silence > TOMBSTONE_S:
                self._table.remove(row)

    def extend_leases(self, gap_s: float) -> None:
        """Count no time for which this process was stopped."""
        for row in self._table.rows():
            row.heard_at += gap_s

    def changes(self, session: int, since: int) -> Changes:
        """Return what changed after a mark of a session."""
        if session != self._session or since > self._version:
            since = 0
        listed = tuple(
            ListedInstance(row.instance, row.is_live)
            for row in self._table.rows()
            if row.version > since
        )
        return Changes(self._session, since, self._version, listed)

    def _take(
        self, instance: _instance.Instance, heard_at: float, now: float
    ) -> None:
        """Take news of an instance, first-hand or passed on."""
        if now - heard_at > TOMBSTONE_S or self._is_late(instance, now):
            return
        row = self._table.get(instance.key)
        if row is None:
            is_live = self._is_live(heard_at, now)
            row = _table.Row(instance, heard_at, is_live, 0)
            self._table.add(row)
            self._touch(row)
            self._end_predecessors(instance)
            return
        before = (_visible(row.instance), row.is_live)
        row.heard_at = max(row.heard_at, heard_at)
        row.is_live = self._is_live(row.heard_at, now)
        if instance.supersedes(row.instance):
            self._table.replace(row, instance)
        if (_visible(row.instance), row.is_live) != before:
            self._touch(row)

    def _is_live(self, heard_at: float, now: float) -> bool:
        """Tell whether a lease that began then still runs."""
        return now - heard_at <= self._lease_s

    def _is_late(self, instance: _instance.Instance, now: float) -> bool:
        """Tell whether a later start holds the id or the address."""
        for row in self._table.relatives(instance):
            other = row.instance
            if other.incarnation <= instance.incarnation:
                continue
            serves = row.is_live and (
                other.state is not _instance.InstanceState.GONE
            )
            if other.instance == instance.instance or serves:
                return True
        return False

    def _end_predecessors(self, instance: _instance.Instance) -> None:
        """End earlier starts under the same id or address."""
        for row in self._table.relatives(instance):
            other = row.instance
            ended = other.state is _instance.InstanceState.GONE
            if not ended and other.incarnation < instance.incarnation:
                row.instance = other.with_state(_instance.InstanceState.GONE)
                self._touch(row)

    def _touch(self, row: _table.Row) -> None:
        """Count a change and keep it as news."""
        self._version += 1
        row.version = self._version
        if len(self._news) < MAX_UNLOGGED:
            self._news.append(ListedInstance(row.instance, row.is_live))


def _visible(instance: _instance.Instance) -> _instance.Instance:
    """Return what edge hosts must be told of: all but the counters."""
    return dataclasses.replace(
        instance, sequence=0, cold_ms=1 if instance.cold_ms else 0
    )
