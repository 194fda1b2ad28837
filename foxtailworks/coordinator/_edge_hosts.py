"""What a coordinator tells edge hosts: answers, notices, the saved reply."""

from collections import abc
import random
import typing

from foxtailworks.coordinator import _peers
from foxtailworks.coordinator import _start_reply
from foxtailworks.coordinator import _suspicions
from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import revisions
from foxtailworks import steering
from foxtailworks import warmstart

MAX_CACHED_ANSWERS = 256
"""Maximum number of encoded answers kept; further ones replace all."""

ReadTable: typing.TypeAlias = abc.Callable[[bytes], steering.RouteTable]
"""Function that returns the routes in an operator's document."""


class _State(typing.NamedTuple):
    """What answers tell, beside changes since a host's own version."""

    registry_version: int
    """Version of the registry."""
    revision: int
    """Revision of the committed routes."""
    table: bytes
    """Encoded routes."""
    coordinators: tuple[ids.Address, ...]
    """Coordinators with recent contact."""
    suspected: tuple[_suspicions.InstanceKey, ...]
    """Instances that several hosts suspect."""
    is_current: bool
    """Whether the coordinator knows a leader."""


class EdgeHosts:
    """Answers edge hosts' polls and notifies those that follow.

    :param registry: instances that hosts are told of
    :param peers: coordinators that hosts are told of
    :param read_table: returns the routes in a document
    :param encode: returns the datagrams of a message
    """

    def __init__(
        self,
        registry: discovery.Registry,
        peers: _peers.Peers,
        read_table: ReadTable,
        encode: abc.Callable[[object], tuple[bytes, ...]],
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._read_table = read_table
        self._rng = rng
        self._suspicions = _suspicions.SuspicionTracker()
        self._followers = polling.Followers()
        self._tables = steering.TableCodec()
        self._compiled_routes = (0, b"")
        self._encode = encode
        self._encoded: dict[tuple[int, bool], tuple[bytes, ...]] = {}
        self._encoded_state: _State | None = None

    def answer(
        self,
        msg: polling.Poll,
        src: ids.Address,
        document: revisions.StoredDocument,
        is_current: bool,
        now: float,
    ) -> polling.PollAnswer:
        """Record a host's suspicions and return the answer to its poll.

        :param document: newest document known to be committed
        :param is_current: whether this coordinator knows a leader
        """
        state = self._record(msg, src, document, is_current, now)
        return self._make_answer(msg, state)

    def encoded_answer(
        self,
        msg: polling.Poll,
        src: ids.Address,
        document: revisions.StoredDocument,
        is_current: bool,
        now: float,
    ) -> tuple[bytes, ...]:
        """Do as :meth:`answer` and return the answer's datagrams.

        Hosts that have the same get the same, so that a change or the return
        of many hosts costs one encoding and compression, not one for each.
        """
        state = self._record(msg, src, document, is_current, now)
        if state != self._encoded_state or (
            len(self._encoded) >= MAX_CACHED_ANSWERS
        ):
            self._encoded_state = state
            self._encoded.clear()
        is_same_session = msg.session == self._registry.session
        since = msg.registry_version if is_same_session else 0
        key = since, msg.revision < state.revision
        if key not in self._encoded:
            self._encoded[key] = self._encode(self._make_answer(msg, state))
        return self._encoded[key]

    def _record(
        self,
        msg: polling.Poll,
        src: ids.Address,
        document: revisions.StoredDocument,
        is_current: bool,
        now: float,
    ) -> _State:
        """Record what a poll says; return the state that its answer tells."""
        self._suspicions.update(msg.host, msg.suspected, now)
        self._followers.on_poll(src, msg.is_follower, now)
        revision, table = self._routes_of(document)
        return _State(
            self._registry.version,
            revision,
            table,
            self._peers.recent_addresses(now),
            self._suspicions.suspected(now),
            is_current,
        )

    def _make_answer(
        self, msg: polling.Poll, state: _State
    ) -> polling.PollAnswer:
        """Return the answer to a poll."""
        return polling.PollAnswer(
            self._registry.changes(msg.session, msg.registry_version),
            state.revision,
            state.table if msg.revision < state.revision else b"",
            state.coordinators,
            state.suspected,
            state.is_current,
        )

    def notice(
        self, revision: int, now: float
    ) -> tuple[polling.Notice, tuple[ids.Address, ...]]:
        """Return the notice that is due now and the hosts to send it to."""
        version = self._registry.version
        addresses = self._followers.to_notify((version, revision), now)
        msg = polling.Notice(self._registry.session, version, revision)
        return msg, addresses

    def start_reply(
        self,
        live: tuple[discovery.Instance, ...],
        document: revisions.StoredDocument,
        now: float,
    ) -> warmstart.Reply:
        """Return the answer to polls that the next start begins with."""
        revision, table = self._routes_of(document)
        addresses = self._peers.recent_addresses(now)
        return _start_reply.make_reply(
            live, revision, table, addresses, self._rng
        )

    def _routes_of(
        self, document: revisions.StoredDocument
    ) -> tuple[int, bytes]:
        """Return revision and encoded routes of a committed document."""
        if document.revision > self._compiled_routes[0]:
            table = self._read_table(document.text())
            self._compiled_routes = (
                document.revision,
                self._tables.encode(table),
            )
        return self._compiled_routes
