"""What an edge host fetches of a coordinator's instances."""

from foxtailworks import discovery
from foxtailworks import ids
from foxtailworks import polling


class Copying:
    """Connects the host's roster with the transfers of large answers.

    A coordinator whose instances are those of a copy that the host has is
    followed from that copy on.

    :param roster: instances, merged from all coordinators
    :param transfers: large answers that are under way
    """

    def __init__(
        self, roster: discovery.Roster, transfers: polling.Transfers
    ) -> None:
        self._roster = roster
        self._transfers = transfers
        self._copies = polling.Copies()

    def max_parts(self, due: polling.DuePoll, now: float) -> int:
        """Return how many parts a polled coordinator may send at once."""
        if not self._copies.may_ask(
            due.address,
            self._roster.is_known(due.address),
            due.is_responsive,
            self._roster.has_copy(now),
        ):
            return 0
        return self._transfers.grant(due.address, due.is_responsive, now)

    def merge(
        self, changes: discovery.Changes, src: ids.Address, now: float
    ) -> bool:
        """Apply changes; return false if some before them are missing."""
        self._transfers.on_answer(src, is_whole=True)
        is_complete = self._roster.merge(src, changes, now)
        if is_complete:
            self._copies.on_answer(src)
        return is_complete

    def on_summary(
        self, msg: polling.Summary, src: ids.Address, revision: int, now: float
    ) -> None:
        """Adopt a copy in place of a large answer, or ask for it later.

        :param revision: revision of the routes in force on this host
        """
        has_copy = self._roster.has_copy(now)
        is_known = self._roster.is_known(src)
        position = msg.session, msg.registry_version
        is_wanted = False
        if self._roster.adopt(src, position, msg.digest, now):
            self._copies.on_answer(src)
        else:
            is_wanted = self._copies.on_difference(
                src, is_known, has_copy, now
            )
        if msg.revision > revision:
            self._copies.want(src)
            is_wanted = True
        self._transfers.on_answer(src, is_whole=not is_wanted)
