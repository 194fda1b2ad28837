"""The newest state that a coordinator knows to be committed."""

from foxtailworks import revisions


class Committed:
    """Remembers the newest committed state of the operators.

    After a restart that is the one from the hints on disk, until a leader
    has sent its commit index.
    """

    def __init__(self) -> None:
        self._state = revisions.State()

    @property
    def state(self) -> revisions.State:
        """Newest state so far."""
        return self._state

    def update(self, state: revisions.State) -> revisions.State:
        """Take over what is newer in ``state``; return the newest state.

        The node's state may be older than the hints, in either part, while
        it applies its log after a restart.
        """
        if state is not self._state:
            newest = self._state
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
