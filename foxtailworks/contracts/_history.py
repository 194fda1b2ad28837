"""Older versions of contracts, bounded in number and size."""

from collections import abc
import dataclasses

from foxtailworks import ids

MAX_VERSIONS = 32
"""Versions kept for each customer."""
MAX_BYTES = 4 << 20
"""Bytes kept over all customers; the oldest versions are removed first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One accepted version of a contract."""

    customer: ids.CustomerId
    """Customer that the contract is with."""
    version: ids.Version
    """Log index of the edit."""
    edit_id: ids.EditId
    """Edit that introduced the version."""
    at_unix_s: int
    """Unix time at which the leader received the edit, in seconds."""
    document: str
    """Text of the contract."""


class History:
    """Accepted versions of all contracts, in order."""

    def __init__(self, records: abc.Iterable[Record] = ()) -> None:
        self._records: dict[ids.Version, Record] = {}
        self._bytes = 0
        for item in records:
            self.add(item)

    @property
    def records(self) -> tuple[Record, ...]:
        """All records, oldest first."""
        return tuple(self._records.values())

    def of(self, customer: ids.CustomerId) -> tuple[Record, ...]:
        """Return the kept versions of one customer, oldest first."""
        return tuple(r for r in self.records if r.customer == customer)

    def find(
        self, customer: ids.CustomerId, version: ids.Version
    ) -> Record | None:
        """Return one version of a customer's contract, if it is kept."""
        found = self._records.get(version)
        return found if found and found.customer == customer else None

    def add(self, record: Record) -> None:
        """Add a record and remove the oldest ones beyond the limits."""
        self._records[record.version] = record
        self._bytes += len(record.document)
        own = self.of(record.customer)
        if len(own) > MAX_VERSIONS:
            self._drop(own[0])
        while self._bytes > MAX_BYTES and len(self._records) > 1:
            self._drop(next(iter(self._records.values())))

    def _drop(self, record: Record) -> None:
        """Remove one record and its size."""
        del self._records[record.version]
        self._bytes -= len(record.document)
