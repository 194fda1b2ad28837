"""A keeper without links: the catalogue as a replicated state machine."""

import random
import typing

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import journal
from foxtailworks import replicated


def _restore(index: int, data: bytes | None) -> replicated.Machine:
    """Restore the catalogue from a snapshot, or create an empty one."""
    if data is None:
        return contracts.Catalogue()
    return contracts.Catalogue.restore(index, data)


class Node(replicated.Node):
    """One keeper; its disk is its only input and output besides events.

    :param disk: journal, owned by the node from now on
    """

    def __init__(
        self,
        disk: journal.Journal,
        rng: random.Random,
        now: float,
        timing: agreement.Timing | None = None,
        compact_entries: int = replicated.COMPACT_ENTRIES,
    ) -> None:
        super().__init__(disk, _restore, rng, now, timing, compact_entries)

    @property
    def catalogue(self) -> contracts.Catalogue:
        """Contracts and roster as of the last applied entry."""
        return typing.cast(contracts.Catalogue, self.machine)

    def propose(self, command: contracts.Command, now: float) -> int:
        """Propose a command; ``Decided`` or ``Displaced`` may follow.

        :raises FoxtailError: as ``replicated.Node.propose_data``
        """
        return self.propose_data(contracts.encode_command(command), now)
