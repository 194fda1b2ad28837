"""Messages between operators and keepers."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class PutContract:
    """Replace a customer's contract."""

    ask: int
    """Number of the question; the answer repeats it."""
    edit_id: ids.EditId
    """Chosen once for the edit; resends keep it."""
    customer: ids.CustomerId
    """Whose contract it is."""
    base_version: ids.Version
    """Version that is replaced; 0 when there is none."""
    document: str
    """The contract as JSON with comments."""


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackContract:
    """Put an older version in force as a new one."""

    ask: int
    """Number of the question; the answer repeats it."""
    edit_id: ids.EditId
    """Chosen once for the edit; resends keep it."""
    customer: ids.CustomerId
    """Whose contract it is."""
    base_version: ids.Version
    """Version that is replaced."""
    to_version: ids.Version
    """Version whose text is taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class EditAnswer:
    """What became of an edit or a rollback."""

    ask: int
    """Repeats the question's."""
    edit_id: ids.EditId
    """Which edit."""
    code: int
    """``OK``, ``VERSION_CONFLICT``, ``CONTRACT_INVALID``, ..."""
    version: ids.Version
    """New version when accepted, else the current one."""
    detail: str
    """For the operator."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetContract:
    """Ask for the text of a contract."""

    ask: int
    """Number of the question; the answer repeats it."""
    customer: ids.CustomerId
    """Whose contract it is."""
    version: ids.Version = ids.ZERO_VERSION
    """An older version; 0 for the current one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractAnswer:
    """The text of a contract."""

    ask: int
    """Repeats the question's."""
    customer: ids.CustomerId
    """Whose contract it is."""
    version: ids.Version
    """Version of the text."""
    document: str
    """JSON with comments, as the operator wrote it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListContracts:
    """Ask which contracts there are."""

    ask: int
    """Number of the question; the answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractLine:
    """One contract in a list, or one version in a history."""

    customer: ids.CustomerId
    """Whose contract it is."""
    version: ids.Version
    """Version of the text."""
    edit_id: ids.EditId
    """Edit that brought it; empty when no longer kept."""
    at_unix_s: int
    """When it was accepted; 0 when no longer kept."""
    size_bytes: int
    """Size of the text."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractList:
    """All contracts, as of one version."""

    ask: int
    """Repeats the question's."""
    version: ids.Version
    """Last accepted change of all."""
    lines: tuple[ContractLine, ...]
    """Ordered by customer."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Ask for the kept versions of a contract."""

    ask: int
    """Number of the question; the answer repeats it."""
    customer: ids.CustomerId
    """Whose contract it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryAnswer:
    """The kept versions of a contract."""

    ask: int
    """Repeats the question's."""
    lines: tuple[ContractLine, ...]
    """Oldest first; the last one is in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListKeepers:
    """Ask who the keepers are."""

    ask: int
    """Number of the question; the answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperLine:
    """One keeper, as the leader sees it."""

    keeper: ids.KeeperId
    """Identity on its disk."""
    name: str
    """Name from its settings."""
    address: ids.Address
    """Where it listens."""
    voter: bool
    """A learner (false) doesn't count for majorities."""
    leader: bool
    """Whether it leads."""
    reachable: bool
    """Whether the leader has a link to it."""
    stored_index: int
    """Last log entry known to be on its disk."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperList:
    """All keepers."""

    ask: int
    """Repeats the question's."""
    lines: tuple[KeeperLine, ...]
    """In no particular order."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddKeeper:
    """Let a new keeper learn, then vote."""

    ask: int
    """Number of the question; the answer repeats it."""
    address: ids.Address
    """Where the new keeper listens."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveKeeper:
    """Take a keeper out of the group."""

    ask: int
    """Number of the question; the answer repeats it."""
    keeper: ids.KeeperId
    """Identity or, when it is unique, name."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceKeeper:
    """Add one keeper; when it votes, remove another."""

    ask: int
    """Number of the question; the answer repeats it."""
    keeper: ids.KeeperId
    """Identity or name of the one that leaves."""
    address: ids.Address
    """Where the new keeper listens; may be the old one's address."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperChanged:
    """A change of keepers is done; sent when it is."""

    ask: int
    """Repeats the question's."""
    keeper: ids.KeeperId
    """Identity of the keeper that was added, or else removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveHost:
    """Take an entry host that won't return out of the roster."""

    ask: int
    """Number of the question; the answer repeats it."""
    host: ids.HostId
    """Which host."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostRemoved:
    """The roster no longer has the host."""

    ask: int
    """Repeats the question's."""
    epoch: ids.Version
    """Epoch of the roster."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus:
    """Ask what is in force where."""

    ask: int
    """Number of the question; the answer repeats it."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostLine:
    """One entry host of the roster, as the leader knows it."""

    host: ids.HostId
    """Which host."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Where the other entry hosts reach it."""
    in_force: ids.Version
    """Version that it last reported."""
    lags_s: float
    """For how long it has lagged; 0 when it doesn't."""
    silent_s: float
    """Since its last report."""
    reachable: bool
    """Whether it reported lately."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusAnswer:
    """What is in force where."""

    ask: int
    """Repeats the question's."""
    version: ids.Version
    """Last accepted change."""
    epoch: ids.Version
    """Epoch of the roster."""
    keepers: tuple[KeeperLine, ...]
    """All keepers."""
    hosts: tuple[HostLine, ...]
    """All hosts of the roster."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitInForce:
    """Wait until a version is in force on all reachable hosts."""

    ask: int
    """Number of the question; the answer repeats it."""
    version: ids.Version
    """Which version."""
    timeout_s: float
    """Answer at the latest after so long."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Where a version isn't in force."""

    ask: int
    """Repeats the question's."""
    version: ids.Version
    """Which version."""
    lagging: tuple[ids.HostId, ...]
    """Reachable hosts without it; empty unless time ran out."""
    unreachable: tuple[ids.HostId, ...]
    """Hosts of the roster that don't report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A question that can't be answered here or now."""

    ask: int
    """Repeats the question's."""
    code: int
    """Numbered reason; ``EDIT_UNKNOWN`` when an edit's fate isn't known."""
    detail: str
    """For the operator."""
    leader: ids.Address | None
    """Whom to ask instead, with ``NOT_LEADER``; None when not known."""


OPERATOR_MESSAGES: dict[int, type] = {
    40: PutContract,
    41: RollbackContract,
    42: EditAnswer,
    43: GetContract,
    44: ContractAnswer,
    45: ListContracts,
    46: ContractList,
    47: GetHistory,
    48: HistoryAnswer,
    49: ListKeepers,
    50: KeeperList,
    51: AddKeeper,
    52: RemoveKeeper,
    53: ReplaceKeeper,
    54: KeeperChanged,
    55: RemoveHost,
    56: HostRemoved,
    57: GetStatus,
    58: StatusAnswer,
    59: AwaitInForce,
    60: InForceAnswer,
    61: Refused,
}
