"""The newest state that a coordinator knows to be committed."""

from collections import abc

from foxtailworks import ids
from foxtailworks import revisions

RETURNED_S = 10.0
"""Time for which the end of a zone's evacuation counts as recent; above the
pause of hosts, which is two intervals of heartbeats and half a second."""
AGE_STEP_MS = 500
"""Ages are rounded down to whole steps, so that answers can be reused."""


class Committed:
    """Remembers the newest committed state of the operators.

    After a restart that is the one from the hints on disk, until a leader
    has sent its commit index.
    """

    def __init__(self) -> None:
        self._state = revisions.State()
        self._returned_at: dict[ids.ZoneId, float] = {}

    @property
    def state(self) -> revisions.State:
        """Newest state so far."""
        return self._state

    def restore(
        self,
        state: revisions.State,
        returned: abc.Iterable[tuple[ids.ZoneId, int]],
        now: float,
    ) -> None:
        """Begin with the state of the hints.

        :param returned: zones whose evacuation had ended when the hints were
            written, with the milliseconds since then; the time from then on
            isn't known and left out, so that they return late, not early
        """
        self._state = state
        self._returned_at = {zone: now - ms / 1000 for zone, ms in returned}

    def returned(self, now: float) -> tuple[tuple[ids.ZoneId, int], ...]:
        """Return the zones whose evacuation has just ended, with their ages.

        :returns: zone and least number of milliseconds since then
        """
        self._returned_at = {
            zone: at
            for zone, at in self._returned_at.items()
            if now - at < RETURNED_S
        }
        return tuple(
            (zone, int((now - at) * 1000) // AGE_STEP_MS * AGE_STEP_MS)
            for zone, at in sorted(self._returned_at.items())
        )

    def update(self, state: revisions.State, now: float) -> revisions.State:
        """Take over what is newer in ``state``; return the newest state.

        The node's state may be older than the hints, in either part, while
        it applies its log after a restart.
        """
        if state is not self._state:
            newest = self._state
            ended = set(newest.evacuation.zones) - set(state.evacuation.zones)
            if _number(state.evacuation) > _number(newest.evacuation):
                self._returned_at |= dict.fromkeys(ended, now)
            self._state = revisions.State(
                max(state.document, newest.document, key=_revision),
                max(state.evacuation, newest.evacuation, key=_number),
            )
        return self._state


def _revision(document: revisions.StoredDocument) -> int:
    """Return the revision of a document."""
    return document.revision


def _number(evacuation: revisions.Evacuation) -> int:
    """Return the number of an evacuation."""
    return evacuation.number
