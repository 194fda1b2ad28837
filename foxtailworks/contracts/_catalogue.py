"""The replicated state machine of the contract log."""

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
"""Outcomes kept; an older accepted edit conflicts by its base version."""
MAX_CUSTOMERS = 4096
"""Customers with a contract."""
MAX_HOSTS = 4096
"""Entry hosts in the roster."""
MAX_DOCUMENT_BYTES = 64 << 10
"""Size of one contract's text."""
MAX_DETAIL = 500
"""Characters of an outcome's explanation."""

SNAPSHOT_FORMAT = 1
"""Raised when the encoding of a snapshot changes."""


@dataclasses.dataclass(frozen=True)
class _State:
    """All of a catalogue, as a snapshot holds it."""

    snapshot_format: int
    """Version of this encoding."""
    version: ids.Version
    """Last accepted change."""
    contracts: tuple[_view.VersionedContract, ...]
    """In force."""
    roster: _edits.Roster
    """Entry hosts."""
    outcomes: tuple[_edits.Outcome, ...]
    """Oldest first."""
    history: tuple[_history.Record, ...]
    """Oldest first."""


_CODEC = wire.Codec({1: _State}, limit=64 << 20)


def check_document(
    customer: ids.CustomerId, document: str
) -> _contract.Contract:
    """Return the contract in a document that may be accepted.

    :raises FoxtailError: ``CONTRACT_INVALID``
    """
    if len(document.encode()) > MAX_DOCUMENT_BYTES:
        raise _invalid("the contract is larger than 64 KiB")
    contract = _parse.parse_contract(document)
    if contract.customer != customer:
        raise _invalid(f"customer: the edit is for {customer!r}")
    return contract


class Catalogue:
    """Contracts, roster, history and outcomes after some log entry."""

    def __init__(self) -> None:
        self.view = _view.View()
        self._history = _history.History()
        self._outcomes: dict[ids.EditId, _edits.Outcome] = {}
        self._claimed: dict[ids.CustomerId, frozenset[tuple[str, int]]] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Last log entry that was applied."""
        return self._index

    def outcome(self, edit_id: ids.EditId) -> _edits.Outcome | None:
        """Return what became of an edit, if it is still known."""
        return self._outcomes.get(edit_id)

    def history(self, customer: ids.CustomerId) -> tuple[_history.Record, ...]:
        """Return the kept versions of a contract, oldest first."""
        return self._history.of(customer)

    def apply(self, index: int, data: bytes) -> _edits.Outcome | None:
        """Apply the command at ``index``; the same on every keeper."""
        self.skip(index)
        return _apply(_edits.decode_command(data), self, ids.Version(index))

    def skip(self, index: int) -> None:
        """Pass over an entry that isn't a command."""
        if index <= self._index:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "entry applied twice", index=index
            )
        self._index = index

    def snapshot(self) -> bytes:
        """Return the whole state."""
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
        """Return the catalogue in a snapshot taken after ``index``."""
        state: _State = _CODEC.decode(data)
        if state.snapshot_format != SNAPSHOT_FORMAT:
            raise errors.FoxtailError(
                errors.Code.JOURNAL_DAMAGED, "snapshot of another version"
            )
        made = cls()
        made._index = index
        made._history = _history.History(state.history)
        made._outcomes = {item.edit_id: item for item in state.outcomes}
        for item in state.contracts:
            contract = _parse.parse_contract(item.document)
            made._claimed[item.customer] = _addresses(contract)
            made.view.put(item)
        made.view.put_roster(state.roster)
        made.view.version = state.version
        return made

    def edit(self, edit: _edits.Edit, version: ids.Version) -> _edits.Outcome:
        """Decide an edit."""
        mark = _fingerprint(edit.customer, edit.base_version, edit.document)
        return self._decide(edit, version, mark, lambda: edit.document)

    def roll_back(
        self, edit: _edits.Rollback, version: ids.Version
    ) -> _edits.Outcome:
        """Decide a rollback."""
        mark = _fingerprint(edit.customer, edit.base_version, edit.to_version)
        return self._decide(
            edit, version, mark, lambda: self._older(edit).document
        )

    def edit_roster(
        self, edit: _edits.RosterEdit, version: ids.Version
    ) -> None:
        """Take joined and left hosts; no new epoch when nothing changes."""
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
        """Give the first outcome again, or decide and remember."""
        known = self._outcomes.get(edit.edit_id)
        if known is not None:
            return _again(known, fingerprint)
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
        self._remember(outcome)
        return outcome

    def _check_base(self, customer: ids.CustomerId, base: ids.Version) -> None:
        """Refuse an edit of another version than the current one."""
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
        """Check a contract against all others and put it in force."""
        contract = check_document(edit.customer, document)
        addresses = _addresses(contract)
        self._check_addresses(edit.customer, addresses)
        known = edit.customer in self._claimed
        if not known and len(self._claimed) >= MAX_CUSTOMERS:
            raise _invalid(f"more than {MAX_CUSTOMERS} customers")
        self._claimed[edit.customer] = addresses
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
        """Refuse an address that another customer claims."""
        for other, claimed in self._claimed.items():
            if other == customer or claimed.isdisjoint(addresses):
                continue
            ip, port = min(claimed & addresses)
            raise _invalid(f"services: {ip}:{port} belongs to {other!r}")

    def _older(self, edit: _edits.Rollback) -> _history.Record:
        """Return the version that a rollback names."""
        found = self._history.find(edit.customer, edit.to_version)
        if found is None:
            raise errors.FoxtailError(
                errors.Code.VERSION_MISSING,
                f"version {edit.to_version} isn't kept",
            )
        return found

    def _current(self, customer: ids.CustomerId) -> ids.Version:
        """Return the current version of a customer; 0 for none."""
        found = self.view.find(customer)
        return found.version if found else ids.ZERO_VERSION

    def _remember(self, outcome: _edits.Outcome) -> None:
        """Keep an outcome; the oldest goes when there are too many."""
        self._outcomes[outcome.edit_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]


@functools.singledispatch
def _apply(
    command: object, catalogue: Catalogue, version: ids.Version
) -> _edits.Outcome | None:
    """Pass a command to the rule for its type."""
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


def _again(known: _edits.Outcome, fingerprint: int) -> _edits.Outcome:
    """Return the first outcome, unless the id names another edit."""
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
    """Return the service addresses, each in one spelling."""
    found = (item.parsed_address() for item in contract.services)
    return frozenset(
        (ipaddress.ip_address(item.ip).compressed, item.port) for item in found
    )


def _fingerprint(*parts: object) -> int:
    """Return a number that differs for different edits."""
    return xxhash.xxh3_64_intdigest(repr(parts).encode()) >> 1


def _invalid(detail: str) -> errors.FoxtailError:
    """Return the refusal of a contract."""
    return errors.FoxtailError(errors.Code.CONTRACT_INVALID, detail)
