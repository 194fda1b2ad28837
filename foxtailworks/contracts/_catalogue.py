"""Replicated state machine of the contract log."""

import dataclasses
import functools
import ipaddress
import typing

import xxhash

from foxtailworks.contracts import _contract
from foxtailworks.contracts import _edits
from foxtailworks.contracts import _history
from foxtailworks.contracts import _parse
from foxtailworks.contracts import _view
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import wire

MAX_OUTCOMES = 4096
"""Outcomes kept; an older edit, resent, conflicts by its base version."""
MAX_CUSTOMERS = 4096
"""Maximum number of customers with a contract."""
MAX_HOSTS = 4096
"""Maximum number of entry hosts in the roster."""
MAX_DOCUMENT_BYTES = 64 << 10
"""Maximum size of one contract's text, in bytes."""
MAX_DETAIL = 500
"""Maximum length of an outcome's explanation, in characters."""

SNAPSHOT_FORMAT = 1
"""Version of a snapshot's encoding, incremented with every change."""


@dataclasses.dataclass(frozen=True)
class _State:
    """Complete state of a catalogue, as encoded in a snapshot."""

    snapshot_format: int
    """Version of the encoding, ``SNAPSHOT_FORMAT``."""
    version: ids.Version
    """Version of the last accepted change."""
    contracts: tuple[_view.VersionedContract, ...]
    """Contracts in force."""
    roster: _edits.Roster
    """Roster of the entry hosts."""
    outcomes: tuple[_edits.Outcome, ...]
    """Kept ones, oldest first."""
    history: tuple[_history.Record, ...]
    """Kept ones, oldest first."""


_CODEC = wire.Codec({1: _State}, limit=64 << 20)


def check_document(
    customer: ids.CustomerId, document: str
) -> _contract.Contract:
    """Parse a document and check it against its size and customer.

    :raises FoxtailError: ``CONTRACT_INVALID``
    """
    if len(document.encode()) > MAX_DOCUMENT_BYTES:
        raise _invalid_contract("the contract is larger than 64 KiB")
    contract = _parse.parse_contract(document)
    if contract.customer != customer:
        raise _invalid_contract(f"customer: the edit is for {customer!r}")
    return contract


class Catalogue:
    """Contracts, roster, history and outcomes as of one log entry."""

    def __init__(self) -> None:
        self.view = _view.View()
        self._history = _history.History()
        self._outcomes: dict[ids.EditId, _edits.Outcome] = {}
        self._addresses_of: dict[
            ids.CustomerId, frozenset[tuple[str, int]]
        ] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Index of the last applied log entry."""
        return self._index

    def outcome(self, edit_id: ids.EditId) -> _edits.Outcome | None:
        """Return the outcome of an edit, if it is still kept."""
        return self._outcomes.get(edit_id)

    def history(self, customer: ids.CustomerId) -> tuple[_history.Record, ...]:
        """Return the kept versions of a contract, oldest first."""
        return self._history.of(customer)

    def apply(self, index: int, data: bytes) -> _edits.Outcome | None:
        """Apply the command at ``index``, the same way on every keeper."""
        self.skip(index)
        return _apply(_edits.decode_command(data), self, ids.Version(index))

    def skip(self, index: int) -> None:
        """Advance past a log entry that isn't a command."""
        if index <= self._index:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "log entry applied twice", index=index
            )
        self._index = index

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        return _CODEC.encode(
            _State(
                SNAPSHOT_FORMAT,
                self.view.version,
                self.view.contracts,
                self.view.roster,
                tuple(self._outcomes.values()),
                self._history.records,
            )
        )

    @classmethod
    def restore(cls, index: int, data: bytes) -> "Catalogue":
        """Return the catalogue of a snapshot taken after entry ``index``."""
        state: _State = _CODEC.decode(data)
        if state.snapshot_format != SNAPSHOT_FORMAT:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED, "snapshot in another format"
            )
        catalogue = cls()
        catalogue._index = index
        catalogue._history = _history.History(state.history)
        catalogue._outcomes = {item.edit_id: item for item in state.outcomes}
        for item in state.contracts:
            contract = _parse.parse_contract(item.document)
            catalogue._addresses_of[item.customer] = _addresses(contract)
            catalogue.view.put(item)
        catalogue.view.put_roster(state.roster)
        catalogue.view.version = state.version
        return catalogue

    def edit(self, edit: _edits.Edit, version: ids.Version) -> _edits.Outcome:
        """Accept or reject an edit."""
        fingerprint = _fingerprint(
            edit.customer, edit.base_version, edit.document
        )
        return self._decide(edit, version, fingerprint, lambda: edit.document)

    def roll_back(
        self, edit: _edits.Rollback, version: ids.Version
    ) -> _edits.Outcome:
        """Accept or reject a rollback."""
        fingerprint = _fingerprint(
            edit.customer, edit.base_version, edit.to_version
        )
        return self._decide(
            edit,
            version,
            fingerprint,
            lambda: self._find_version(edit).document,
        )

    def edit_roster(
        self, edit: _edits.RosterEdit, version: ids.Version
    ) -> None:
        """Apply joined and left hosts; keep the epoch if nothing changes."""
        hosts = {item.host: item for item in self.view.roster.hosts}
        for item in edit.joined:
            known = hosts.get(item.host)
            if known is None and len(hosts) >= MAX_HOSTS:
                continue
            if known is None or not known.equals_except_incarnation(item):
                hosts[item.host] = item
        for name in edit.left:
            hosts.pop(name, None)
        ordered = tuple(hosts[name] for name in sorted(hosts))
        if ordered != self.view.roster.hosts:
            self.view.put_roster(_edits.Roster(version, ordered))

    def _decide(
        self,
        edit: _edits.Edit | _edits.Rollback,
        version: ids.Version,
        fingerprint: int,
        document: typing.Callable[[], str],
    ) -> _edits.Outcome:
        """Return the outcome of a resent edit, or decide and store it."""
        known = self._outcomes.get(edit.edit_id)
        if known is not None:
            return _repeat_outcome(known, fingerprint)
        try:
            self._check_base(edit.customer, edit.base_version)
            self._accept(edit, version, document())
            code, at, detail = errors.Code.OK, version, ""
        except errors.FoxtailError as exc:
            code, detail = exc.code, exc.detail[:MAX_DETAIL]
            at = self._current(edit.customer)
        outcome = _edits.Outcome(
            edit.edit_id, int(code), at, detail, fingerprint
        )
        self._store_outcome(outcome)
        return outcome

    def _check_base(self, customer: ids.CustomerId, base: ids.Version) -> None:
        """Reject an edit based on another version than the current one."""
        current = self._current(customer)
        if base != current:
            raise errors.FoxtailError(
                errors.Code.VERSION_CONFLICT,
                f"the edit replaces version {base}, current is {current}",
            )

    def _accept(
        self,
        edit: _edits.Edit | _edits.Rollback,
        version: ids.Version,
        document: str,
    ) -> None:
        """Check a contract against all others, then put it in force."""
        contract = check_document(edit.customer, document)
        addresses = _addresses(contract)
        self._check_addresses(edit.customer, addresses)
        known = edit.customer in self._addresses_of
        if not known and len(self._addresses_of) >= MAX_CUSTOMERS:
            raise _invalid_contract(f"more than {MAX_CUSTOMERS} customers")
        self._addresses_of[edit.customer] = addresses
        self.view.put(
            _view.VersionedContract(edit.customer, version, document)
        )
        self._history.add(
            _history.Record(
                edit.customer,
                version,
                edit.edit_id,
                edit.at_unix_s,
                document,
            )
        )

    def _check_addresses(
        self,
        customer: ids.CustomerId,
        addresses: frozenset[tuple[str, int]],
    ) -> None:
        """Reject an address that another customer uses."""
        for other, used in self._addresses_of.items():
            if other == customer or used.isdisjoint(addresses):
                continue
            ip, port = min(used & addresses)
            raise _invalid_contract(
                f"services: {ip}:{port} belongs to {other!r}"
            )

    def _find_version(self, edit: _edits.Rollback) -> _history.Record:
        """Return the kept version that a rollback refers to."""
        found = self._history.find(edit.customer, edit.to_version)
        if found is None:
            raise errors.FoxtailError(
                errors.Code.VERSION_MISSING,
                f"version {edit.to_version} isn't kept",
            )
        return found

    def _current(self, customer: ids.CustomerId) -> ids.Version:
        """Return the current version of a customer's contract; 0 for none."""
        found = self.view.find(customer)
        return found.version if found else ids.ZERO_VERSION

    def _store_outcome(self, outcome: _edits.Outcome) -> None:
        """Store an outcome; remove the oldest one beyond the limit."""
        self._outcomes[outcome.edit_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]


@functools.singledispatch
def _apply(
    command: object, catalogue: Catalogue, version: ids.Version
) -> _edits.Outcome | None:
    """Dispatch a command to the handler of its type."""
    raise errors.FoxtailError(errors.Code.INTERNAL, "unknown command")


@_apply.register
def _(
    command: _edits.Edit, catalogue: Catalogue, version: ids.Version
) -> _edits.Outcome | None:
    return catalogue.edit(command, version)


@_apply.register
def _(
    command: _edits.Rollback, catalogue: Catalogue, version: ids.Version
) -> _edits.Outcome | None:
    return catalogue.roll_back(command, version)


@_apply.register
def _(
    command: _edits.RosterEdit, catalogue: Catalogue, version: ids.Version
) -> _edits.Outcome | None:
    catalogue.edit_roster(command, version)
    return None


def _repeat_outcome(known: _edits.Outcome, fingerprint: int) -> _edits.Outcome:
    """Return the first outcome, or an error if the edits differ."""
    if known.fingerprint == fingerprint:
        return known
    return dataclasses.replace(
        known,
        code=int(errors.Code.EDIT_ID_REUSED),
        detail="this edit id was used for a different edit",
    )


def _addresses(
    contract: _contract.Contract,
) -> frozenset[tuple[str, int]]:
    """Return the service addresses in a canonical form."""
    found = (item.parsed_address() for item in contract.services)
    return frozenset(
        (ipaddress.ip_address(item.ip).compressed, item.port) for item in found
    )


def _fingerprint(*parts: object) -> int:
    """Return a digest that differs for different edits."""
    return xxhash.xxh3_64_intdigest(repr(parts).encode()) >> 1


def _invalid_contract(detail: str) -> errors.FoxtailError:
    """Return the error for an invalid contract."""
    return errors.FoxtailError(errors.Code.CONTRACT_INVALID, detail)
