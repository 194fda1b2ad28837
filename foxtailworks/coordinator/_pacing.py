"""Limits of the processor time that answers to polls take.

Answers the load of a start of thousands of upstreams before hundreds of edge
hosts: each announcement makes a new version of the registry, and each poll
from another version is a new encoding.  Without a limit these take all of a
coordinator's time, its leader loses the term, and hosts without routes poll
on.
"""

import typing

ENCODING_SHARE = 0.25
"""Share of a core that encodings of answers may take; heartbeats, polls that
need none and messages of the agreement need the rest."""
BURST_S = 0.05
"""Processor time of encodings that may follow one another at once."""
MAX_STEP_S = 0.25
"""Longest time by which a change of an instance is told later."""

_Value = typing.TypeVar("_Value")


class Pacing(typing.Generic[_Value]):
    """Spaces encodings by what they cost, and with them the changes told.

    While there is time for encodings, each change is told at once.  Otherwise
    hosts move from step to step together, so that more share an encoding.

    Example::

        told = pacing.step(registry.version, now)
        if pacing.may_encode(now):
            datagrams = encode(answer)
            pacing.on_encoded(cost_s, now)

    :param value: what is told at first
    """

    def __init__(self, value: _Value) -> None:
        self._value = value
        self._began_at = float("-inf")
        self._free_at = float("-inf")

    def step(self, value: _Value, now: float) -> _Value:
        """Return what is told now: ``value``, or that of the current step.

        :param now: monotonic seconds, as in all methods
        """
        is_due = self.may_encode(now) or now >= self._began_at + MAX_STEP_S
        if value != self._value and is_due:
            self._value = value
            self._began_at = now
        return self._value

    def may_encode(self, now: float) -> bool:
        """Return whether there is processor time for another encoding."""
        return now >= self._free_at

    def on_encoded(self, cost_s: float, now: float) -> None:
        """Record an encoding.

        :param cost_s: seconds that it took
        """
        # A share that wasn't used stays available, up to BURST_S.
        unused_since = now - BURST_S / ENCODING_SHARE
        begun_at = max(self._free_at, unused_since)
        self._free_at = begun_at + cost_s / ENCODING_SHARE
