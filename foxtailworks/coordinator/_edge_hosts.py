"""What a coordinator tells edge hosts: answers, notices, the saved reply."""

from collections import abc
import random
import typing

from foxtailworks.coordinator import _host_count
from foxtailworks.coordinator import _pacing
from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _reusable
from foxtailworks.coordinator import _start_reply
from foxtailworks.coordinator import _suspicions
from foxtailworks.coordinator import _told
from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import revisions
from foxtailworks import steering
from foxtailworks import warmstart

MAX_CACHED_ANSWERS = 256
"""Maximum number of encoded answers kept; further ones replace all."""
LARGE_INSTANCES = 500
"""Instances from which on an answer certainly needs several datagrams: the
random digits of their ids alone fill two."""

Returned: typing.TypeAlias = abc.Callable[
    [float], tuple[tuple[ids.ZoneId, int], ...]
]
"""Function that returns zones, with the milliseconds since their return."""

ReadTable: typing.TypeAlias = abc.Callable[[bytes], steering.RouteTable]
"""Function that returns the routes in an operator's document."""


_AnswerKey: typing.TypeAlias = tuple[int, int | None]
# Version of the registry that a host has, and revision to which it gets
# changes: 0 for a whole table, None for no table.

_SUMMARY: _AnswerKey = (-1, None)


class EdgeHosts:
    """Answers edge hosts' polls and notifies those that follow.

    :param registry: instances that hosts are told of
    :param peers: coordinators that hosts are told of
    :param read_table: returns the routes in a document
    :param encode: returns the datagrams of a message
    :param clock: returns monotonic seconds, to measure encodings
    :param returned: returns the zones whose evacuation has just ended
    """

    def __init__(
        self,
        registry: discovery.Registry,
        peers: _peers.Peers,
        read_table: ReadTable,
        encode: abc.Callable[[object], tuple[bytes, ...]],
        rng: random.Random,
        clock: abc.Callable[[], float],
        returned: Returned = lambda now: (),
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._read_table = read_table
        self._rng = rng
        self._suspicions = _suspicions.SuspicionTracker()
        self._followers = polling.Followers()
        self._hosts = _host_count.HostCount()
        self._tables = steering.TableEncoder()
        self._services: frozenset[ids.ServiceId] = frozenset()
        self._large = polling.LargeAnswers()
        self._encode = encode
        self._clock = clock
        self._returned = returned
        self._pacing = _pacing.Pacing(_told.Paced())
        self._encoded: dict[_AnswerKey, tuple[bytes, ...]] = {}
        self._encoded_state: _told.State | None = None
        self._reusable = _reusable.ReusableAnswers[_AnswerKey, _told.State]()

    def answer(
        self,
        msg: polling.Poll,
        src: ids.Address,
        committed: revisions.State,
        is_current: bool,
        now: float,
    ) -> polling.PollAnswer:
        """Record a host's suspicions and return the answer to its poll.

        :param committed: newest state known to be committed
        :param is_current: whether this coordinator knows a leader
        """
        state = self._record(msg, src, committed, is_current, now)
        return self._make_answer(msg, state)

    def encoded_answer(
        self,
        msg: polling.Poll,
        src: ids.Address,
        committed: revisions.State,
        is_current: bool,
        now: float,
    ) -> tuple[bytes, ...] | None:
        """Do as :meth:`answer` and return the datagrams to send.

        Hosts that have the same get the same, so that a change or the return
        of many hosts costs one encoding and compression, not one for each.
        Of a large answer a host gets as many parts as it grants, the others
        by request; without a grant it gets a summary.

        :returns: None while there is no processor time for an encoding
        """
        state = self._record(msg, src, committed, is_current, now)
        if msg.max_parts == 0 and self._is_certainly_large(msg):
            return self._cached_summary(state)
        datagrams = self._cached_answer(msg, state, now)
        if datagrams is None:
            return None
        if len(datagrams) > 1:
            self._large.keep(datagrams)
        if len(datagrams) <= max(1, msg.max_parts):
            return datagrams
        if msg.max_parts == 0:
            return self._cached_summary(state)
        return datagrams[: msg.max_parts]

    def has_time_for(self, msg: polling.Poll, now: float) -> bool:
        """Return whether a poll may be answered now.

        Without time for an encoding, whether one has been made that contains
        it; the state may have changed, so that :meth:`encoded_answer` still
        refuses.
        """
        if self._pacing.may_encode(now) or msg.max_parts == 0:
            return True
        key = self._key_of(msg)
        covering = self._covering(key, self._encoded_state)
        return covering is not None or self._reusable.has(key)

    def names_service(
        self, service: ids.ServiceId, committed: revisions.State
    ) -> bool:
        """Return whether the committed document names a service."""
        self._update_routes(committed.document)
        return service in self._services

    def is_follower(self, address: ids.Address) -> bool:
        """Return whether a host follows this coordinator."""
        return address in self._followers

    def _is_certainly_large(self, msg: polling.Poll) -> bool:
        """Return whether an answer is large, without encoding it.

        While thousands of upstreams start, each version of the registry would
        cost an encoding of all of them for hosts that get a summary anyway.
        """
        return self._registry.has_changes(
            msg.session, msg.registry_version, LARGE_INSTANCES
        )

    def encoded_parts(
        self, msg: polling.PartRequest
    ) -> tuple[bytes, ...] | None:
        """Return the parts of a large answer that a host requests.

        :returns: None when the answer isn't kept any more
        """
        positions = msg.positions()[: polling.MAX_OUTSTANDING]
        return self._large.parts(msg.number, positions)

    def keep(self, datagrams: tuple[bytes, ...]) -> None:
        """Keep a large answer whose first parts were sent already."""
        self._large.keep(datagrams)

    def _cached_answer(
        self, msg: polling.Poll, state: _told.State, now: float
    ) -> tuple[bytes, ...] | None:
        """Return the datagrams of the answer to a poll.

        A large one is reused for a while although the registry has changed:
        while thousands of upstreams start, its version grows with each poll.
        The host gets the later changes with its next poll.

        :returns: None while there is no processor time for an encoding
        """
        key = self._key_of(msg)
        reusable = self._reusable.find(key, state.without_registry(), now)
        if reusable is not None:
            return reusable
        if not self._pacing.may_encode(now):
            covering = self._covering(key, state)
            return None if covering is None else self._encoded[covering]
        datagrams = self._cached(
            key, state, lambda: self._make_answer(msg, state)
        )
        if len(datagrams) > polling.MAX_OUTSTANDING:
            self._reusable.put(key, state.without_registry(), datagrams, now)
        return datagrams

    def _key_of(self, msg: polling.Poll) -> _AnswerKey:
        """Return what the answer to a poll depends on, beside the state."""
        is_same_session = msg.session == self._registry.session
        since = msg.registry_version if is_same_session else 0
        return since, self._base_for(msg)

    def _cached_summary(self, state: _told.State) -> tuple[bytes, ...]:
        """Return the datagrams of a summary."""
        return self._cached(_SUMMARY, state, lambda: self._summary(state))

    def _covering(
        self, key: _AnswerKey, state: _told.State | None
    ) -> _AnswerKey | None:
        """Return the key of an encoded answer that contains another one.

        The changes since an earlier version contain those since a later one.
        A whole copy is left out, since it is large.

        :returns: None when there is no such answer
        """
        if state != self._encoded_state:
            return None
        if key in self._encoded:
            return key
        since, base = key
        return max(
            (
                other
                for other in self._encoded
                if other[1] == base and 0 < other[0] <= since
            ),
            default=None,
            key=lambda other: other[0],
        )

    def _cached(
        self,
        key: _AnswerKey,
        state: _told.State,
        make: abc.Callable[[], polling.PollAnswer | polling.Summary],
    ) -> tuple[bytes, ...]:
        """Return the datagrams of a message, from the cache if possible."""
        if state != self._encoded_state or (
            len(self._encoded) >= MAX_CACHED_ANSWERS
        ):
            self._encoded_state = state
            self._encoded.clear()
        if key not in self._encoded:
            begun_at = self._clock()
            self._encoded[key] = self._encode(make())
            ended_at = self._clock()
            self._pacing.on_encoded(ended_at - begun_at, ended_at)
        return self._encoded[key]

    def _record(
        self,
        msg: polling.Poll,
        src: ids.Address,
        committed: revisions.State,
        is_current: bool,
        now: float,
    ) -> _told.State:
        """Record what a poll says; return the state that its answer tells."""
        self._suspicions.update(msg.host, msg.suspected, now)
        self._followers.on_poll(src, msg.is_follower, now)
        self._hosts.on_poll(msg.host, now)
        self._update_routes(committed.document)
        paced = self._paced(now)
        return _told.State(
            paced.registry_version,
            self._tables.revision,
            paced.coordinators,
            self._suspicions.suspected(now),
            is_current,
            paced.host_count,
            self._evacuation(committed, now),
        )

    def _paced(self, now: float) -> _told.Paced:
        """Return what is told now of that which changes often."""
        newest = _told.Paced(
            self._registry.version,
            self._peers.recent_addresses(now),
            self._hosts.count(now),
        )
        return self._pacing.step(newest, now)

    def _make_answer(
        self, msg: polling.Poll, state: _told.State
    ) -> polling.PollAnswer:
        """Return the answer to a poll."""
        return polling.PollAnswer(
            self._registry.changes(
                msg.session, msg.registry_version, state.registry_version
            ),
            state.revision,
            self._table_for(msg),
            state.coordinators,
            state.suspected,
            state.is_current,
            state.host_count,
            state.evacuation,
        )

    def _summary(self, state: _told.State) -> polling.Summary:
        """Return a summary of what answers tell."""
        return polling.Summary(
            self._registry.session,
            state.registry_version,
            state.revision,
            state.coordinators,
            state.suspected,
            state.is_current,
            state.evacuation,
            self._registry.digest,
        )

    def _base_for(self, msg: polling.Poll) -> int | None:
        """Return the revision to which a host gets changes.

        :returns: 0 for a whole table, None when the host needs no table
        """
        if msg.revision >= self._tables.revision:
            return None
        understands_changes = msg.max_parts != polling.ALL_PARTS
        is_known = self._tables.knows(msg.revision)
        return msg.revision if understands_changes and is_known else 0

    def _table_for(self, msg: polling.Poll) -> bytes:
        """Return the encoded table, or the changes, that a host needs."""
        base = self._base_for(msg)
        return b"" if base is None else self._tables.encode(base)

    def notice(
        self, committed: revisions.State, now: float
    ) -> tuple[polling.Notice, tuple[ids.Address, ...]]:
        """Return the notice that is due now and the hosts to send it to."""
        version = self._paced(now).registry_version
        revision = committed.document.revision
        evacuation = self._evacuation(committed, now)
        addresses = self._followers.to_notify(
            (version, revision, evacuation.number), now
        )
        msg = polling.Notice(
            self._registry.session, version, revision, evacuation
        )
        return msg, addresses

    def start_reply(
        self,
        live: tuple[discovery.Instance, ...],
        committed: revisions.State,
        now: float,
    ) -> warmstart.Reply:
        """Return the answer to polls that the next start begins with."""
        self._update_routes(committed.document)
        return _start_reply.make_reply(
            live,
            self._tables.revision,
            self._tables.encode(),
            self._peers.recent_addresses(now),
            self._hosts.count(now),
            self._evacuation(committed, now),
            self._rng,
        )

    def _update_routes(self, document: revisions.StoredDocument) -> None:
        """Read the routes of a committed document if it is a newer one."""
        if document.revision > self._tables.revision:
            table = self._read_table(document.text())
            self._tables.put(table)
            self._services = table.named_services()

    def _evacuation(
        self, committed: revisions.State, now: float
    ) -> polling.Evacuation:
        """Return the evacuation in the form that edge hosts receive."""
        stored = committed.evacuation
        return polling.Evacuation(
            stored.number, stored.zones, self._returned(now)
        )
