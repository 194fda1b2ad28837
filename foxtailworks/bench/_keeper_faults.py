"""Scenarios of SIGKILL, SIGSTOP and disk loss for real keepers.

They depend on real time, so they are part of the soak, not of the tests.
"""

import asyncio
from collections import abc
import pathlib
import signal
import tempfile
import time

from foxtailworks.bench import _distribution
from foxtailworks.bench import _keeper_fleet
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids

PAST_LEASE_S = 3.0
IN_FORCE_TIMEOUT_S = 10.0


class Ledger:
    """Edits of an operator with the answers to them."""

    def __init__(self, fleet: _keeper_fleet.KeeperFleet) -> None:
        self.fleet = fleet
        self.answers: dict[str, contracts.EditAnswer] = {}
        self._texts: dict[str, str] = {}

    async def edit(self, count: int = 1) -> None:
        """Put new contracts, each for another customer."""
        for _ in range(count):
            serial = len(self.answers)
            customer = f"customer-{serial}"
            text = contract_text(customer, serial)
            self._texts[customer] = text
            self.answers[customer] = await self.fleet.put(
                f"edit-{customer}", customer, 0, text
            )

    async def verify(self) -> None:
        """Check that resent edits get the same answer and that all are stored.

        :raises FoxtailError: ``INTERNAL`` for the first difference
        """
        for customer, first in self.answers.items():
            repeated_answer = await self.fleet.put(
                f"edit-{customer}", customer, 0, self._texts[customer]
            )
            require(
                (repeated_answer.code, repeated_answer.version)
                == (first.code, first.version)
            )
            require(first.code == errors.Code.OK)
            stored = await self.fleet.send_request(
                contracts.GetContract, customer
            )
            require(stored.version == first.version)


def contract_text(customer: str, serial: int) -> str:
    """Return a contract with an address unique to the serial number."""
    return (
        f'{{customer: "{customer}", services: [{{name: "s", kind: "flow",'
        f' address: "10.1.{serial // 200}.{serial % 200 + 1}:5683"}}]}}'
    )


def require(condition: bool) -> None:
    """Raise an error unless a guaranteed condition holds.

    :raises FoxtailError: ``INTERNAL``
    """
    if not condition:
        raise errors.FoxtailError(
            errors.Code.INTERNAL, "a guarantee of the keepers is violated"
        )


def require_rejection(answer: object) -> None:
    """Raise an error unless an edit was refused for lack of a majority.

    :raises FoxtailError: ``INTERNAL``
    """
    codes = (errors.Code.NOT_LEADER, errors.Code.NO_QUORUM)
    require(isinstance(answer, contracts.Refused) and answer.code in codes)


async def _restart_leader(ledger: Ledger) -> None:
    """Kill the leader, make edits and start it again."""
    leader_index = await ledger.fleet.leader()
    await ledger.fleet.kill(leader_index)
    await ledger.edit(5)
    await ledger.fleet.start_keeper(leader_index)


async def leader_killed(ledger: Ledger) -> None:
    """Kill and restart the leader between edits, three times."""
    for _ in range(3):
        await ledger.edit(5)
        await _restart_leader(ledger)


async def leader_frozen(ledger: Ledger) -> None:
    """Suspend the leader past its lease; it must then refuse edits."""
    await ledger.edit(3)
    leader_index = await ledger.fleet.leader()
    ledger.fleet.signal(leader_index, signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_S)
    await ledger.edit(3)
    ledger.fleet.signal(leader_index, signal.SIGCONT)
    late_answer = await ledger.fleet.send_request_to(
        leader_index,
        contracts.PutContract,
        "late",
        "late",
        0,
        contract_text("late", 40_000),
    )
    require_rejection(late_answer)
    await ledger.edit(3)


async def minority_alone(ledger: Ledger) -> None:
    """Suspend two of three keepers; the third must refuse edits.

    Edits are accepted again once the two continue.
    """
    await ledger.edit(2)
    leader_index = await ledger.fleet.leader()
    others = [p for p in range(3) if p != leader_index]
    for index in others:
        ledger.fleet.signal(index, signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_S)
    minority_answer = await ledger.fleet.send_request_to(
        leader_index,
        contracts.PutContract,
        "alone",
        "alone",
        0,
        contract_text("alone", 39_000),
    )
    require_rejection(minority_answer)
    for index in others:
        ledger.fleet.signal(index, signal.SIGCONT)
    await ledger.edit(2)


async def disk_replaced(ledger: Ledger) -> None:
    """Replace a keeper that lost its disk, then kill the leader at once."""
    await ledger.edit(5)
    leader_index = await ledger.fleet.leader()
    lost_index = (leader_index + 1) % 3
    lines = (await ledger.fleet.send_request(contracts.ListKeepers)).lines
    listen_address = ledger.fleet.address(lost_index)
    old = next(item.keeper for item in lines if item.address == listen_address)
    await ledger.fleet.kill(lost_index)
    ledger.fleet.delete_data(lost_index)
    await ledger.edit(5)
    await ledger.fleet.start_keeper(lost_index)
    replacement = await ledger.fleet.send_request(
        contracts.ReplaceKeeper, old, listen_address
    )
    require(replacement.keeper != old)
    await _restart_leader(ledger)


async def keeper_added_and_removed(ledger: Ledger) -> None:
    """Add a fourth keeper until it is a voter, then remove it."""
    await ledger.edit(3)
    await ledger.fleet.start_keeper(3)
    added = await ledger.fleet.send_request(
        contracts.AddKeeper, ledger.fleet.address(3)
    )
    lines = (await ledger.fleet.send_request(contracts.ListKeepers)).lines
    require(len(lines) == 4 and all(item.voter for item in lines))
    await ledger.edit(3)
    await ledger.fleet.send_request(contracts.RemoveKeeper, added.keeper)
    lines = (await ledger.fleet.send_request(contracts.ListKeepers)).lines
    require(len(lines) == 3)
    await ledger.fleet.kill(3)
    await ledger.edit(3)


async def races(ledger: Ledger) -> None:
    """Put two edits on the same base version; one must conflict each time."""
    base_version = ids.ZERO_VERSION
    for race in range(10):
        answers = [
            await ledger.fleet.put(
                f"race-{race}-{operator}",
                "raced",
                base_version,
                _distribution.contract_text("raced", race * 2 + operator),
            )
            for operator in range(2)
        ]
        codes = sorted(item.code for item in answers)
        require(codes == [errors.Code.OK, errors.Code.VERSION_CONFLICT])
        require(answers[0].version == answers[1].version)
        base_version = answers[0].version


async def keepers_all_lost(ledger: Ledger) -> None:
    """Restart an entry host while no keeper runs.

    It must obtain the version in force from other entry hosts.
    """
    fleet = ledger.fleet
    for index in range(3):
        await fleet.start_entry(index)
    await fleet.await_hosts(3)
    await ledger.edit(5)
    version = max(item.version for item in ledger.answers.values())
    await fleet.send_request(
        contracts.AwaitInForce, version, IN_FORCE_TIMEOUT_S
    )
    require(await fleet.version_in_force(2) >= version)
    for index in range(3):
        await fleet.kill(index)
    await fleet.kill_entry(2)
    await fleet.start_entry(2)
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    versions_seen = set()
    while version not in versions_seen and time.monotonic() < deadline:
        versions_seen.add(await fleet.version_in_force(2))
        await asyncio.sleep(_keeper_fleet.POLL_INTERVAL_S)
    require(
        version in versions_seen
        and versions_seen <= {ids.ZERO_VERSION, *range(version, 99)}
    )
    for index in range(3):
        await fleet.start_keeper(index)


SCENARIOS: tuple[abc.Callable[[Ledger], abc.Awaitable[None]], ...] = (
    leader_killed,
    leader_frozen,
    minority_alone,
    disk_replaced,
    keeper_added_and_removed,
    races,
    keepers_all_lost,
)


async def run(second_octet: int = 41) -> abc.AsyncIterator[str]:
    """Run each scenario on new keepers and yield a summary line of it.

    :raises FoxtailError: ``INTERNAL`` for the first violated guarantee
    """
    for scenario in SCENARIOS:
        start = time.monotonic()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            async with _keeper_fleet.running(
                path, second_octet=second_octet
            ) as fleet:
                ledger = Ledger(fleet)
                await scenario(ledger)
                await ledger.verify()
        elapsed_s = time.monotonic() - start
        edits = len(ledger.answers)
        yield f"{scenario.__name__}: {edits} edits kept, {elapsed_s:.1f} s"
