"""View of the contracts and the roster as of one version."""

from collections import abc
import dataclasses

from foxtailworks.contracts import _edits
from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedContract:
    """A contract's text with the version that introduced it."""

    customer: ids.CustomerId
    """Customer that the contract is with."""
    version: ids.Version
    """Log index of the edit."""
    document: str
    """JSON with comments, as the operator wrote it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Changes between two versions."""

    since: ids.Version
    """The receiver must have this version or a later one; 0 for a snapshot."""
    version: ids.Version
    """Version that the receiver has afterwards."""
    contracts: tuple[VersionedContract, ...]
    """The newest text of each changed contract."""
    roster: _edits.Roster | None
    """Present when the roster changed."""


class View:
    """Newest text of each contract; the version only increases.

    Each item carries the version that introduced it, so that the difference to
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
        """Return the changes that a receiver with ``version`` lacks."""
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
        """Yield the changes that a receiver lacks, in updates of bounded size.

        Items are in the order of their versions, so that after each update the
        receiver lacks exactly the items of later versions.
        """
        missing = self.since(version)
        roster = missing.roster
        part: list[VersionedContract] = []
        size = 0
        since = version
        for item in sorted(missing.contracts, key=lambda i: i.version):
            if part and size + len(item.document) > limit_bytes:
                end = part[-1].version
                included = roster if roster and roster.epoch <= end else None
                yield Update(since, end, tuple(part), included)
                roster = None if included else roster
                since, part, size = end, [], 0
            part.append(item)
            size += len(item.document)
        if missing.version > since:
            yield Update(since, missing.version, tuple(part), roster)

    def put(self, item: VersionedContract) -> None:
        """Store the text of one contract if it is newer."""
        known = self._contracts.get(item.customer)
        if known is None or known.version < item.version:
            self._contracts[item.customer] = item
            self.version = max(self.version, item.version)

    def put_roster(self, roster: _edits.Roster) -> None:
        """Store a roster if it is newer."""
        if roster.epoch > self.roster.epoch:
            self.roster = roster
            self.version = max(self.version, roster.epoch)

    def apply(self, update: Update) -> bool:
        """Apply an update; return ``False`` if it is old or leaves a gap."""
        if update.version <= self.version or update.since > self.version:
            return False
        for item in update.contracts:
            self.put(item)
        if update.roster is not None:
            self.put_roster(update.roster)
        self.version = max(self.version, update.version)
        return True
