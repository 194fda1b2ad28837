"""Messages between operators and keepers."""

import dataclasses

from foxtailworks import ids


@dataclasses.dataclass(frozen=True, slots=True)
class PutContract:
    """Request to replace a customer's contract."""

    ask: int
    """Number of the request, repeated in the response."""
    edit_id: ids.EditId
    """Chosen by the operator, and repeated when the edit is resent."""
    customer: ids.CustomerId
    """Customer that the contract is with."""
    base_version: ids.Version
    """Version that is replaced; 0 when there is none."""
    document: str
    """The contract as JSON with comments."""


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackContract:
    """Request to put an older version in force as a new one."""

    ask: int
    """Number of the request, repeated in the response."""
    edit_id: ids.EditId
    """Chosen by the operator, and repeated when the edit is resent."""
    customer: ids.CustomerId
    """Customer that the contract is with."""
    base_version: ids.Version
    """Version that is replaced."""
    to_version: ids.Version
    """Version whose text is put in force again."""


@dataclasses.dataclass(frozen=True, slots=True)
class EditAnswer:
    """Response with the outcome of an edit or a rollback."""

    ask: int
    """Number of the request."""
    edit_id: ids.EditId
    """Edit that this is the outcome of."""
    code: int
    """Result code: ``OK``, ``VERSION_CONFLICT``, ``CONTRACT_INVALID``, ..."""
    version: ids.Version
    """New version when accepted, else the current one."""
    detail: str
    """Explanation for the operator."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetContract:
    """Request for the text of a contract."""

    ask: int
    """Number of the request, repeated in the response."""
    customer: ids.CustomerId
    """Customer that the contract is with."""
    version: ids.Version = ids.ZERO_VERSION
    """Version of the text; 0 for the current one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractAnswer:
    """Response with the text of a contract."""

    ask: int
    """Number of the request."""
    customer: ids.CustomerId
    """Customer that the contract is with."""
    version: ids.Version
    """Version of the text."""
    document: str
    """JSON with comments, as the operator wrote it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListContracts:
    """Request for a list of all contracts."""

    ask: int
    """Number of the request, repeated in the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractLine:
    """One contract in a list, or one version in a history."""

    customer: ids.CustomerId
    """Customer that the contract is with."""
    version: ids.Version
    """Version of the text."""
    edit_id: ids.EditId
    """Edit that introduced it; empty when it isn't kept any more."""
    at_unix_s: int
    """Unix time of its acceptance, in seconds; 0 when not kept any more."""
    size_bytes: int
    """Size of the text in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContractList:
    """Response with all contracts as of one version."""

    ask: int
    """Number of the request."""
    version: ids.Version
    """Version of the last accepted change of all."""
    lines: tuple[ContractLine, ...]
    """One line for each contract, ordered by customer."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Request for the kept versions of a contract."""

    ask: int
    """Number of the request, repeated in the response."""
    customer: ids.CustomerId
    """Customer that the contract is with."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryAnswer:
    """Response with the kept versions of a contract."""

    ask: int
    """Number of the request."""
    lines: tuple[ContractLine, ...]
    """One line for each version, oldest first; the last one is in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListKeepers:
    """Request for a list of all keepers."""

    ask: int
    """Number of the request, repeated in the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperLine:
    """State of one keeper as seen by the leader."""

    keeper: ids.KeeperId
    """Identity of the keeper, stored on its disk."""
    name: str
    """Name from its settings."""
    address: ids.Address
    """Address at which it listens."""
    voter: bool
    """False for a learner, which doesn't count for majorities."""
    leader: bool
    """Whether it is the leader."""
    reachable: bool
    """Whether the leader has a link to it."""
    stored_index: int
    """Index of the last log entry known to be on its disk."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperList:
    """Response with the state of all keepers."""

    ask: int
    """Number of the request."""
    lines: tuple[KeeperLine, ...]
    """One line for each keeper, in no particular order."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddKeeper:
    """Request to add a keeper as a learner and then as a voter."""

    ask: int
    """Number of the request, repeated in the response."""
    address: ids.Address
    """Address at which the new keeper listens."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveKeeper:
    """Request to remove a keeper from the group."""

    ask: int
    """Number of the request, repeated in the response."""
    keeper: ids.KeeperId
    """Identity of the keeper, or its name if that is unique."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceKeeper:
    """Request to add a keeper and to remove another once it votes."""

    ask: int
    """Number of the request, repeated in the response."""
    keeper: ids.KeeperId
    """Identity or name of the keeper to remove."""
    address: ids.Address
    """Address of the new keeper; may be the old one's."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperChanged:
    """Response sent once a change of keepers is complete."""

    ask: int
    """Number of the request."""
    keeper: ids.KeeperId
    """Identity of the keeper that was added, or removed if none was."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveHost:
    """Request to remove an entry host that won't return from the roster."""

    ask: int
    """Number of the request, repeated in the response."""
    host: ids.HostId
    """Identifier of the entry host."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostRemoved:
    """Response sent once the roster no longer contains the host."""

    ask: int
    """Number of the request."""
    epoch: ids.Version
    """Epoch of the roster."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus:
    """Request for the versions in force on all hosts."""

    ask: int
    """Number of the request, repeated in the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostLine:
    """State of one entry host as seen by the leader."""

    host: ids.HostId
    """Identifier of the entry host."""
    zone: ids.ZoneId
    """Its availability zone."""
    address: ids.Address
    """Address at which the other entry hosts reach it."""
    in_force: ids.Version
    """Version in force in its last report."""
    lags_s: float
    """Seconds for which it has lagged; 0 when it doesn't."""
    silent_s: float
    """Seconds since its last report."""
    reachable: bool
    """Whether it has reported recently."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusAnswer:
    """Response with the versions in force on all hosts."""

    ask: int
    """Number of the request."""
    version: ids.Version
    """Version of the last accepted change."""
    epoch: ids.Version
    """Epoch of the roster."""
    keepers: tuple[KeeperLine, ...]
    """State of all keepers."""
    hosts: tuple[HostLine, ...]
    """State of all hosts of the roster."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitInForce:
    """Request to wait until a version is in force on all reachable hosts."""

    ask: int
    """Number of the request, repeated in the response."""
    version: ids.Version
    """Version to be in force."""
    timeout_s: float
    """Seconds after which the response is sent at the latest."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Response with the hosts on which a version isn't in force."""

    ask: int
    """Number of the request."""
    version: ids.Version
    """Version to be in force."""
    lagging: tuple[ids.HostId, ...]
    """Reachable hosts without it; empty unless the wait timed out."""
    unreachable: tuple[ids.HostId, ...]
    """Hosts of the roster that haven't reported recently."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Response to a request that can't be fulfilled here or now."""

    ask: int
    """Number of the request."""
    code: int
    """Error code; ``EDIT_UNKNOWN`` when the outcome of an edit isn't known."""
    detail: str
    """Explanation for the operator."""
    leader: ids.Address | None
    """Address of the leader, with ``NOT_LEADER``; None when not known."""


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
