"""The contracts and the roster as of one version."""

from collections import abc
import dataclasses

from foxtailworks.contracts import _edits
from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedContract:
    """A contract's text with the version that brought it."""

    customer: ids.CustomerId
    """Whose contract it is."""
    version: ids.Version
    """Log index of the edit."""
    document: str
    """JSON with comments, as the operator wrote it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """All that changed after one version up to another."""

    since: ids.Version
    """The receiver needs this version or a later one; 0 is a snapshot."""
    version: ids.Version
    """What the receiver has afterwards."""
    contracts: tuple[VersionedContract, ...]
    """The newest text of each customer that changed."""
    roster: _edits.Roster | None
    """Present when the roster changed."""


class View:
    """Newest text of each contract; versions only grow.

    Each item carries the version that brought it, so that the difference to
    any older version is a selection and no list of changes is kept.
    """

    def __init__(self) -> None:
        self.version = ids.ZERO_VERSION
        self.roster = _edits.Roster()
        self._contracts: dict[ids.CustomerId, VersionedContract] = {}

    @property
    def contracts(self) -> tuple[VersionedContract, ...]:
        """All contracts, ordered by customer."""
        return tuple(self._contracts[name] for name in sorted(self._contracts))

    def find(self, customer: ids.CustomerId) -> VersionedContract | None:
        """Return the contract of one customer."""
        return self._contracts.get(customer)

    def since(self, version: ids.Version) -> Update:
        """Return what a receiver that has ``version`` lacks."""
        changed = tuple(
            item for item in self.contracts if item.version > version
        )
        newer = self.roster.epoch > version
        return Update(
            version, self.version, changed, self.roster if newer else None
        )

    def parts(
        self, version: ids.Version, limit_bytes: int
    ) -> abc.Iterator[Update]:
        """Yield what a receiver lacks, in updates of bounded size.

        Items go in the order of their versions, so that after each part the
        receiver lacks exactly the items of later versions.
        """
        lacking = self.since(version)
        roster = lacking.roster
        part: list[VersionedContract] = []
        size = 0
        since = version
        for item in sorted(lacking.contracts, key=lambda i: i.version):
            if part and size + len(item.document) > limit_bytes:
                end = part[-1].version
                due = roster if roster and roster.epoch <= end else None
                yield Update(since, end, tuple(part), due)
                roster = None if due else roster
                since, part, size = end, [], 0
            part.append(item)
            size += len(item.document)
        if lacking.version > since:
            yield Update(since, lacking.version, tuple(part), roster)

    def put(self, item: VersionedContract) -> None:
        """Take a newer text of one contract."""
        known = self._contracts.get(item.customer)
        if known is None or known.version < item.version:
            self._contracts[item.customer] = item
            self.version = max(self.version, item.version)

    def put_roster(self, roster: _edits.Roster) -> None:
        """Take a newer roster."""
        if roster.epoch > self.roster.epoch:
            self.roster = roster
            self.version = max(self.version, roster.epoch)

    def apply(self, update: Update) -> bool:
        """Take an update; ``False`` when it is old or leaves a gap."""
        if update.version <= self.version or update.since > self.version:
            return False
        for item in update.contracts:
            self.put(item)
        if update.roster is not None:
            self.put_roster(update.roster)
        self.version = max(self.version, update.version)
        return True
