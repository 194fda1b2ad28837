"""Registry of instances and their leases in one coordinator."""

from collections import abc
import itertools

from foxtailworks.discovery import _admission
from foxtailworks.discovery import _instance
from foxtailworks.discovery import _messages
from foxtailworks.discovery import _table

TOMBSTONE_S = 60.0
"""Time without a heartbeat after which an instance is removed; until then
its row makes the registry ignore late heartbeats."""
MAX_UNLOGGED = 1000
"""Maximum number of changes kept for logs; further ones aren't logged."""
RESTORED_LEASE_S = 2.0
"""Lease of an instance restored after a restart: each live one has announced
itself again by then."""
MAX_INSTANCES = 16_384
"""Maximum number of instances; further ones are rejected and announce
themselves again."""
REPEATED_RELAYS = 2
"""Further relays of a change, since a relay is a datagram that may be lost
and edge hosts follow only some of the coordinators."""
LIST_INTERVAL_S = 1.0
"""Interval between two lists of the instances that a coordinator heard."""
LISTED_S = 2.5
"""Time for which a heartbeat is listed: in two lists, since one may be
lost."""
LIST_GRACE_S = LIST_INTERVAL_S + 0.2
"""Time by which a lease is longer after a list: until a peer has the next
one, which may tell of a later heartbeat."""
_MS_PER_S = 1000
_DIGESTS = 1 << 64
# A sum of tokens doesn't depend on their order and is updated with each row.


class Registry:
    """Records heartbeats of instances and expires their leases.

    :param session: number that differs at each start of the process
    :param lease_s: time without a heartbeat after which an instance is no
        longer live
    :param names_service: returns whether a service is in use; instances of
        others don't count until it is
    """

    def __init__(
        self,
        session: int,
        lease_s: float,
        names_service: _admission.NamesService = lambda service: True,
    ) -> None:
        self.admission = _admission.Admission(names_service, lease_s)
        """Decides which heartbeats count."""
        self._session = session
        self._lease_s = lease_s
        self._table = _table.Table()
        self._version = 0
        self._digest = 0
        self._unlogged: list[_messages.ListedInstance] = []
        self._unshared: dict[_table.Key, tuple[_instance.Instance, float]] = {}
        self._relays_left: dict[_table.Key, int] = {}
        self._next_due_at = float("inf")
        # No lease expires and no row is removed before this time.

    @property
    def session(self) -> int:
        """Number that identifies this run of the coordinator."""
        return self._session

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    @property
    def digest(self) -> int:
        """Digest of all live instances."""
        return self._digest

    def restore(
        self, instances: abc.Iterable[_instance.Instance], now: float
    ) -> None:
        """Add instances saved before a restart, with a short lease."""
        last_heartbeat_at = now - max(0.0, self._lease_s - RESTORED_LEASE_S)
        for item in instances:
            self._apply(item, last_heartbeat_at, now)

    def listed(self) -> abc.Iterator[_messages.ListedInstance]:
        """Yield every instance, including those that have gone."""
        return (
            _messages.ListedInstance(r.instance, r.is_live)
            for r in self._table.rows()
        )

    def announce(self, instance: _instance.Instance, now: float) -> bool:
        """Record a heartbeat received from the instance itself.

        :returns: false when the table is full
        """
        return self._receive(instance, now, now)

    def _receive(
        self, instance: _instance.Instance, at: float, now: float
    ) -> bool:
        """Record a heartbeat that was received at ``at``; have it relayed."""
        row = self._table.get(instance.key)
        if row is None and len(self._table) >= MAX_INSTANCES:
            return False
        if not self.admission.admits(instance, row, at):
            return True
        renewed_at = row.last_heartbeat_at if row else float("-inf")
        before = self._version
        self._apply(instance, at, now)
        row = self._table.get(instance.key)
        if row is not None:
            row.heard_at = at
            self._unshared[instance.key] = (row.instance, at)
            if self._version != before:
                self._relays_left[instance.key] = 1 + REPEATED_RELAYS
            elif self._needs_relay(row, at - renewed_at):
                self._relays_left.setdefault(instance.key, 1)
        return True

    def _needs_relay(self, row: _table.Row, gap_s: float) -> bool:
        """Return whether an unchanged heartbeat is relayed whole at once.

        After a longer gap, a peer's lease could end before the second list
        that contains the heartbeat arrives.  Hosts read the remaining time of
        cold instances, and the row of one that has gone must be kept for as
        long as it sends heartbeats.
        """
        return (
            gap_s + LIST_INTERVAL_S + LIST_GRACE_S > self._lease_s
            or row.instance.cold_ms > 0
            or row.instance.state is _instance.InstanceState.GONE
        )

    def withdraw(self, name: _instance.InstanceId, now: float) -> bool:
        """Mark the latest incarnation of an id as gone if it is withdrawn.

        A withdrawal doesn't say which start it is of, and one that was held
        up may arrive after the next start.  If earlier starts are known, the
        latest one is gone only once its heartbeats have ended, too.

        :returns: false if it is one of an earlier incarnation, since the
            latest one hasn't announced that it leaves
        """
        self.admission.forget(name)
        row = self._table.newest(name)
        if row is None:
            return True
        if not row.has_earlier:
            self._end(row, now)
            return True
        if row.instance.state is _instance.InstanceState.READY:
            return False
        row.withdrawn_at = now
        return True

    def _end(self, row: _table.Row, now: float) -> None:
        """Mark an instance as gone."""
        gone = row.instance.with_state(_instance.InstanceState.GONE)
        self.announce(gone, now)

    def merge(
        self, heartbeats: abc.Iterable[_messages.RelayedHeartbeat], now: float
    ) -> None:
        """Record heartbeats relayed by another coordinator."""
        for item in heartbeats:
            at = now - item.age_ms / _MS_PER_S
            row = self._table.get(item.instance.key)
            if len(self._table) >= MAX_INSTANCES:
                continue
            if self.admission.admits(item.instance, row, at):
                self._apply(item.instance, at, now)

    def take_unlogged(self) -> list[_messages.ListedInstance]:
        """Return the changes since the last call, for logs."""
        unlogged, self._unlogged = self._unlogged, []
        return unlogged

    def take_unshared(self, now: float) -> _messages.Unshared:
        """Return the heartbeats to relay to the other coordinators."""
        changes: list[_messages.RelayedHeartbeat] = []
        others: list[_messages.RelayedHeartbeat] = []
        again = {}
        for key, (instance, at) in self._unshared.items():
            heartbeat = _messages.RelayedHeartbeat(instance, _age_ms(at, now))
            left = self._relays_left.pop(key, 0)
            (changes if left else others).append(heartbeat)
            if left > 1:
                self._relays_left[key] = left - 1
                again[key] = (instance, at)
        self._unshared = again
        return _messages.Unshared(tuple(changes), tuple(others))

    def heard(self, now: float) -> tuple[_messages.HeardInstance, ...]:
        """Return the instances that sent heartbeats here a short time ago."""
        return tuple(
            _messages.HeardInstance(
                row.instance.content_token(), _age_ms(row.heard_at, now)
            )
            for row in self._table.rows()
            if now - row.heard_at <= LISTED_S
            and row.instance.state is not _instance.InstanceState.GONE
        )

    def renew(
        self, heard: abc.Iterable[_messages.HeardInstance], now: float
    ) -> tuple[_instance.ContentToken, ...]:
        """Extend the leases of instances that another coordinator heard.

        :returns: tokens that this registry doesn't know
        """
        unknown = []
        for item in heard:
            row = self._table.with_token(item.token)
            if row is None:
                unknown.append(item.token)
            else:
                at = now - item.age_ms / _MS_PER_S
                self._apply(row.instance, at, now, LIST_GRACE_S)
        return tuple(unknown)

    def with_tokens(
        self, tokens: abc.Iterable[_instance.ContentToken], now: float
    ) -> tuple[_messages.RelayedHeartbeat, ...]:
        """Return the instances that have the given tokens."""
        rows = (self._table.with_token(token) for token in tokens)
        return tuple(_as_relayed(row, now) for row in rows if row is not None)

    def all_heartbeats(
        self, now: float
    ) -> tuple[_messages.RelayedHeartbeat, ...]:
        """Return all instances, for a coordinator that has just started."""
        return tuple(_as_relayed(row, now) for row in self._table.rows())

    def on_tick(self, now: float) -> None:
        """Expire leases and remove instances that expired long ago.

        Instances count from here on whose service has come into use.
        """
        for instance, at in self.admission.take_admitted(now):
            self._receive(instance, at, now)
        if now <= self._next_due_at:
            return
        self._next_due_at = float("inf")
        for row in tuple(self._table.rows()):
            if now > self._due_at(row):
                if not row.is_live:
                    self._table.remove(row)
                    continue
                row.is_live = False
                self._record_change(row)
                if row.withdrawn_at >= row.last_heartbeat_at:
                    self._end(row, now)
            self._expect(row)

    def _due_at(self, row: _table.Row) -> float:
        """Return when the row's lease expires or the row is removed."""
        return row.last_heartbeat_at + (
            self._lease_of(row) if row.is_live else TOMBSTONE_S
        )

    def _expect(self, row: _table.Row) -> None:
        """Have ``on_tick`` look at the rows when this row is due."""
        self._next_due_at = min(self._next_due_at, self._due_at(row))

    def extend_leases(self, gap_s: float) -> None:
        """Extend all leases by a time for which this process was stopped."""
        for row in self._table.rows():
            row.last_heartbeat_at += gap_s

    def has_changes(self, session: int, since: int, count: int) -> bool:
        """Return whether :meth:`changes` would list so many instances."""
        if session != self._session or since > self._version:
            since = 0
        changed = self._table.changed_since(since)
        return sum(1 for _ in itertools.islice(changed, count)) == count

    def changes(
        self, session: int, since: int, told: int | None = None
    ) -> _messages.Changes:
        """Return the changes since a version of a session.

        :param told: version that the receiver has afterwards; later changes
            may be listed already and are listed again for that version
        """
        told = self._version if told is None else told
        if session != self._session or since > self._version:
            since = 0
        changed = [*self._table.changed_since(since)] if since < told else []
        listed = tuple(
            _messages.ListedInstance(row.instance, row.is_live)
            for row in reversed(changed)
        )
        return _messages.Changes(
            self._session, since, max(since, told), listed, self._digest
        )

    def _apply(
        self,
        instance: _instance.Instance,
        last_heartbeat_at: float,
        now: float,
        grace_s: float = 0.0,
    ) -> None:
        """Apply a direct, relayed, listed or restored heartbeat."""
        if now - last_heartbeat_at > TOMBSTONE_S or self._is_superseded(
            instance, now
        ):
            return
        row = self._table.get(instance.key)
        if row is None:
            is_live = now <= last_heartbeat_at + self._lease_s
            row = _table.Row(instance, last_heartbeat_at, is_live, 0)
            self._table.add(row)
            self._expect(row)
            self._record_change(row)
            self._end_predecessors(row)
            return
        before, was_live = row.instance, row.is_live
        if last_heartbeat_at >= row.last_heartbeat_at:
            row.last_heartbeat_at = last_heartbeat_at
            row.grace_s = grace_s
            if self._table.is_related_to_others(instance):
                self._end_predecessors(row)
        row.is_live = now <= row.last_heartbeat_at + self._lease_of(row)
        if instance.supersedes(before):
            self._table.replace(row, instance)
        if row.is_live is not was_live:
            self._expect(row)
            self._record_change(row)
        elif not row.instance.is_same_but_counters(before):
            self._record_change(row)

    def _lease_of(self, row: _table.Row) -> float:
        """Return the time for which a row's last heartbeat is valid."""
        return self._lease_s + row.grace_s

    def _is_superseded(self, instance: _instance.Instance, now: float) -> bool:
        """Return whether a later start has the same id or address.

        Later starts of the id are marked as such.
        """
        if not self._table.is_related_to_others(instance):
            return False
        for row in self._table.related(instance):
            other = row.instance
            if other.incarnation <= instance.incarnation:
                continue
            row.has_earlier |= other.instance == instance.instance
            serves = row.is_live and (
                other.state is not _instance.InstanceState.GONE
            )
            if other.instance == instance.instance or serves:
                return True
        return False

    def _end_predecessors(self, row: _table.Row) -> None:
        """Mark earlier starts with the same id or address as gone."""
        instance = row.instance
        for earlier in self._table.related(instance):
            other = earlier.instance
            if other.incarnation >= instance.incarnation:
                continue
            is_same_id = other.instance == instance.instance
            row.has_earlier |= is_same_id
            is_ended = is_same_id or row.took_address_of(earlier)
            if is_ended and other.state is not _instance.InstanceState.GONE:
                gone = other.with_state(_instance.InstanceState.GONE)
                self._table.replace(earlier, gone)
                self._record_change(earlier)

    def _record_change(self, row: _table.Row) -> None:
        """Assign a new version to a changed row and keep it for the log."""
        self._version += 1
        self._table.put_version(row, self._version)
        part = row.instance.content_token() if row.is_live else 0
        self._digest = (self._digest + part - row.digest_part) % _DIGESTS
        row.digest_part = part
        if len(self._unlogged) < MAX_UNLOGGED:
            self._unlogged.append(
                _messages.ListedInstance(row.instance, row.is_live)
            )


def _age_ms(at: float, now: float) -> int:
    """Return the age of a heartbeat in milliseconds."""
    return max(0, round((now - at) * _MS_PER_S))


def _as_relayed(row: _table.Row, now: float) -> _messages.RelayedHeartbeat:
    """Return the last heartbeat of a row's instance, as it is relayed."""
    return _messages.RelayedHeartbeat(
        row.instance, _age_ms(row.last_heartbeat_at, now)
    )
