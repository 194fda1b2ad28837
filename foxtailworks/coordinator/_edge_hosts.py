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

ReadTable: typing.TypeAlias = abc.Callable[[bytes], steering.RouteTable]
"""Function that returns the routes in an operator's document."""


class EdgeHosts:
    """Answers edge hosts' polls and notifies those that follow.

    :param registry: instances that hosts are told of
    :param peers: coordinators that hosts are told of
    :param read_table: returns the routes in a document
    """

    def __init__(
        self,
        registry: discovery.Registry,
        peers: _peers.Peers,
        read_table: ReadTable,
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
        self._suspicions.update(msg.host, msg.suspected, now)
        self._followers.on_poll(src, msg.is_follower, now)
        revision, table = self._routes_of(document)
        return polling.PollAnswer(
            self._registry.changes(msg.session, msg.registry_version),
            revision,
            table if msg.revision < revision else b"",
            self._peers.recent_addresses(now),
            self._suspicions.suspected(now),
            is_current,
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
