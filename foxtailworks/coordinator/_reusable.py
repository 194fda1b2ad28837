"""Large answers that are sent again although a little has changed.

Answers the load of a start: 300 hosts poll for all of 3,000 upstreams, which
announce themselves within a second.  An encoding of all takes 16 ms, so one
for each version of the registry takes more time than there is.
"""

import typing

REUSE_S = 0.5
"""Time for which a large answer is reused."""
MAX_ANSWERS = 64
"""Maximum number of answers kept; further ones replace all."""

_Key = typing.TypeVar("_Key")
_State = typing.TypeVar("_State")


class ReusableAnswers(typing.Generic[_Key, _State]):
    """Keeps the datagrams of large answers by what the host has.

    Each is valid for ``REUSE_S`` and for one state, which holds what must
    not be late.
    """

    def __init__(self) -> None:
        self._answers: dict[_Key, tuple[float, _State, tuple[bytes, ...]]] = {}

    def find(
        self, key: _Key, state: _State, now: float
    ) -> tuple[bytes, ...] | None:
        """Return the datagrams of a valid answer; None without one."""
        found = self._answers.get(key)
        if found is None:
            return None
        made_at, its_state, datagrams = found
        if now - made_at >= REUSE_S or its_state != state:
            return None
        return datagrams

    def has(self, key: _Key) -> bool:
        """Return whether an answer is kept, valid or not."""
        return key in self._answers

    def put(
        self,
        key: _Key,
        state: _State,
        datagrams: tuple[bytes, ...],
        now: float,
    ) -> None:
        """Keep an answer."""
        if len(self._answers) >= MAX_ANSWERS:
            self._answers.clear()
        self._answers[key] = now, state, datagrams
