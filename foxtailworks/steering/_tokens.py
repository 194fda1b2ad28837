"""Four-byte tokens of instances."""

import typing

import xxhash

from foxtailworks import discovery
from foxtailworks import ids

Token = typing.NewType("Token", int)

NO_TOKEN = Token(0)
"""Value in a caller's SYN, which has no token yet."""


def token_of(
    instance: discovery.InstanceId, incarnation: ids.Incarnation
) -> Token:
    """Return the token of an instance, which is equal on all hosts."""
    text = f"{instance}/{incarnation}"
    return Token(xxhash.xxh32_intdigest(text.encode()) or 1)


class TokenIndex:
    """Finds instances by token.

    Two instances may share a token (1 in 4e9 for a pair).  Then neither is
    chosen for new flows, and packets that carry the token are dropped.
    """

    def __init__(self, roster: discovery.Roster) -> None:
        self._roster = roster
        self._version = -1
        self._by_token: dict[Token, list[discovery.KnownInstance]] = {}
        self._unique: set[tuple[discovery.InstanceId, ids.Incarnation]] = set()
        self._latest: dict[discovery.InstanceId, discovery.KnownInstance] = {}
        # The latest start of each id.

    def find(self, token: Token) -> discovery.KnownInstance | None:
        """Return the only instance with a token; it may have gone."""
        found = self._current_index().get(token, ())
        return found[0] if len(found) == 1 else None

    def resolve(
        self, token: Token
    ) -> tuple[discovery.KnownInstance, Token] | None:
        """Return the instance that holds the flows with a token.

        A SYN is forwarded to an id at an address.  Until the first heartbeat
        of an upstream's next start, hosts place SYNs on the one before, and
        the next one accepts them.  It resets flows that it doesn't hold.

        :returns: the instance, which may have gone, and the token that its
            flows carry from now on; None as for :meth:`find`
        """
        known = self.find(token)
        if known is None:
            return None
        if known.instance.state is not discovery.InstanceState.GONE:
            return known, token
        latest = self._latest[known.instance.instance]
        if not known.instance.is_at_same_place(latest.instance):
            return known, token
        if self.is_unique(latest):
            token = token_of(*latest.instance.key)
        return latest, token

    def is_unique(self, known: discovery.KnownInstance) -> bool:
        """Return whether no other instance has the same token."""
        self._current_index()
        return known.instance.key in self._unique

    def _current_index(self) -> dict[Token, list[discovery.KnownInstance]]:
        """Return the index, rebuilt when the roster has other instances."""
        if self._version != self._roster.keys_version:
            self._version = self._roster.keys_version
            self._by_token = {}
            self._latest = {}
            for known in self._roster.all():
                token = token_of(*known.instance.key)
                self._by_token.setdefault(token, []).append(known)
                self._note_start(known)
            self._unique = {
                found[0].instance.key
                for found in self._by_token.values()
                if len(found) == 1
            }
        return self._by_token

    def _note_start(self, known: discovery.KnownInstance) -> None:
        """Keep an instance if it is the latest start of its id so far."""
        name, incarnation = known.instance.key
        latest = self._latest.setdefault(name, known)
        if incarnation > latest.instance.incarnation:
            self._latest[name] = known
