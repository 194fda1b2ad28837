"""Four bytes that name one start of an upstream."""

import typing

import xxhash

from foxtailworks import discovery
from foxtailworks import ids

Token = typing.NewType("Token", int)

NO_TOKEN = Token(0)
"""An opening packet of a caller carries it."""


def token_of(
    instance: discovery.InstanceId, incarnation: ids.Incarnation
) -> Token:
    """Return the token of one start; the same on every host."""
    text = f"{instance}/{incarnation}"
    return Token(xxhash.xxh32_intdigest(text.encode()) or 1)


class Tokens:
    """Finds upstreams by token.

    Two starts may share a token (1 in 4e9 for a pair).  Then neither is
    chosen for new flows, and a packet that carries it is never guessed at.
    """

    def __init__(self, roster: discovery.Roster) -> None:
        self._roster = roster
        self._version = -1
        self._by_token: dict[Token, list[discovery.KnownInstance]] = {}

    def find(self, token: Token) -> discovery.KnownInstance | None:
        """Return the one start that a token names, gone ones included."""
        found = self._table().get(token, ())
        return found[0] if len(found) == 1 else None

    def is_exact(self, known: discovery.KnownInstance) -> bool:
        """Tell whether an upstream's token names it alone."""
        return self.find(token_of(*known.instance.key)) is known

    def _table(self) -> dict[Token, list[discovery.KnownInstance]]:
        """Return the table as of the roster's version."""
        if self._version != self._roster.version:
            self._version = self._roster.version
            self._by_token = {}
            for known in self._roster.all():
                token = token_of(*known.instance.key)
                self._by_token.setdefault(token, []).append(known)
        return self._by_token
