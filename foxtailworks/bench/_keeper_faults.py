"""Keepers as real processes under SIGKILL, SIGSTOP and lost disks.

Depends on real time, so it is part of the soak and not of the tests.
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
IN_FORCE_S = 10.0


class Ledger:
    """Edits of an operator and the answers that were given."""

    def __init__(self, fleet: _keeper_fleet.KeeperFleet) -> None:
        self.fleet = fleet
        self.answers: dict[str, contracts.EditAnswer] = {}
        self._documents: dict[str, str] = {}

    async def edit(self, count: int = 1) -> None:
        """Put new contracts, each of another customer."""
        for _ in range(count):
            serial = len(self.answers)
            customer = f"customer-{serial}"
            text = document(customer, serial)
            self._documents[customer] = text
            self.answers[customer] = await self.fleet.put(
                f"edit-{customer}", customer, 0, text
            )

    async def check(self) -> None:
        """Resend every edit and read every contract back."""
        for customer, first in self.answers.items():
            again = await self.fleet.put(
                f"edit-{customer}", customer, 0, self._documents[customer]
            )
            check((again.code, again.version) == (first.code, first.version))
            check(first.code == errors.Code.OK)
            found = await self.fleet.ask(contracts.GetContract, customer)
            check(found.version == first.version)


def document(customer: str, serial: int) -> str:
    """Return a contract whose address no other one has."""
    return (
        f'{{customer: "{customer}", services: [{{name: "s", kind: "flow",'
        f' address: "10.1.{serial // 200}.{serial % 200 + 1}:5683"}}]}}'
    )


def check(holds: bool) -> None:
    """Raise when a promise is broken.

    :raises FoxtailError: ``INTERNAL``
    """
    if not holds:
        raise errors.FoxtailError(errors.Code.INTERNAL, "a promise is broken")


def check_not_taken(answer: object) -> None:
    """Raise unless a keeper without a majority refused an edit."""
    codes = (errors.Code.NOT_LEADER, errors.Code.NO_QUORUM)
    check(isinstance(answer, contracts.Refused) and answer.code in codes)


async def leader_killed(ledger: Ledger) -> None:
    """The leader is killed between edits, three times."""
    for _ in range(3):
        await ledger.edit(5)
        lead = await ledger.fleet.leader()
        await ledger.fleet.kill(lead)
        await ledger.edit(5)
        await ledger.fleet.start_keeper(lead)


async def leader_frozen(ledger: Ledger) -> None:
    """A leader frozen past its lease answers nothing as leader later."""
    await ledger.edit(3)
    lead = await ledger.fleet.leader()
    ledger.fleet.signal(lead, signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_S)
    await ledger.edit(3)
    ledger.fleet.signal(lead, signal.SIGCONT)
    late = await ledger.fleet.ask_at(
        lead,
        contracts.PutContract,
        "late",
        "late",
        0,
        document("late", 40_000),
    )
    check_not_taken(late)
    await ledger.edit(3)


async def minority_alone(ledger: Ledger) -> None:
    """One keeper of three accepts nothing; with two, edits go on."""
    await ledger.edit(2)
    lead = await ledger.fleet.leader()
    others = [p for p in range(3) if p != lead]
    for place in others:
        ledger.fleet.signal(place, signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_S)
    alone = await ledger.fleet.ask_at(
        lead,
        contracts.PutContract,
        "alone",
        "alone",
        0,
        document("alone", 39_000),
    )
    check_not_taken(alone)
    for place in others:
        ledger.fleet.signal(place, signal.SIGCONT)
    await ledger.edit(2)


async def disk_replaced(ledger: Ledger) -> None:
    """A disk is lost and replaced; right after, another keeper is lost."""
    await ledger.edit(5)
    lead = await ledger.fleet.leader()
    lost = (lead + 1) % 3
    lines = (await ledger.fleet.ask(contracts.ListKeepers)).lines
    at = ledger.fleet.address(lost)
    old = next(item.keeper for item in lines if item.address == at)
    await ledger.fleet.kill(lost)
    ledger.fleet.wipe(lost)
    await ledger.edit(5)
    await ledger.fleet.start_keeper(lost)
    changed = await ledger.fleet.ask(contracts.ReplaceKeeper, old, at)
    check(changed.keeper != old)
    lead = await ledger.fleet.leader()
    await ledger.fleet.kill(lead)
    await ledger.edit(5)
    await ledger.fleet.start_keeper(lead)


async def keeper_added_and_removed(ledger: Ledger) -> None:
    """A fourth keeper learns and votes; then one is removed."""
    await ledger.edit(3)
    await ledger.fleet.start_keeper(3)
    added = await ledger.fleet.ask(
        contracts.AddKeeper, ledger.fleet.address(3)
    )
    lines = (await ledger.fleet.ask(contracts.ListKeepers)).lines
    check(len(lines) == 4 and all(item.voter for item in lines))
    await ledger.edit(3)
    await ledger.fleet.ask(contracts.RemoveKeeper, added.keeper)
    lines = (await ledger.fleet.ask(contracts.ListKeepers)).lines
    check(len(lines) == 3)
    await ledger.fleet.kill(3)
    await ledger.edit(3)


async def races(ledger: Ledger) -> None:
    """Two operators race with equal base versions, time and again."""
    base = ids.ZERO_VERSION
    for turn in range(10):
        answers = [
            await ledger.fleet.put(
                f"race-{turn}-{who}",
                "raced",
                base,
                _distribution.document("raced", turn * 2 + who),
            )
            for who in range(2)
        ]
        codes = sorted(item.code for item in answers)
        check(codes == [errors.Code.OK, errors.Code.VERSION_CONFLICT])
        check(answers[0].version == answers[1].version)
        base = answers[0].version


async def keepers_all_lost(ledger: Ledger) -> None:
    """A host restarts while no keeper runs; neighbours bring it up."""
    fleet = ledger.fleet
    for place in range(3):
        await fleet.start_entry(place)
    await fleet.await_hosts(3)
    await ledger.edit(5)
    version = max(item.version for item in ledger.answers.values())
    await fleet.ask(contracts.AwaitInForce, version, IN_FORCE_S)
    check(await fleet.in_force(2) >= version)
    for place in range(3):
        await fleet.kill(place)
    await fleet.kill_entry(2)
    await fleet.start_entry(2)
    until = time.monotonic() + IN_FORCE_S
    seen = set()
    while version not in seen and time.monotonic() < until:
        seen.add(await fleet.in_force(2))
        await asyncio.sleep(_keeper_fleet.PAUSE_S)
    check(version in seen and seen <= {ids.ZERO_VERSION, *range(version, 99)})
    for place in range(3):
        await fleet.start_keeper(place)


SCENARIOS: tuple[abc.Callable[[Ledger], abc.Awaitable[None]], ...] = (
    leader_killed,
    leader_frozen,
    minority_alone,
    disk_replaced,
    keeper_added_and_removed,
    races,
    keepers_all_lost,
)


async def run(net: int = 41) -> abc.AsyncIterator[str]:
    """Run each scenario on keepers of its own; yield what was seen.

    :raises FoxtailError: ``INTERNAL`` for the first broken promise
    """
    for scenario in SCENARIOS:
        start = time.monotonic()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            async with _keeper_fleet.running(path, net=net) as fleet:
                ledger = Ledger(fleet)
                await scenario(ledger)
                await ledger.check()
        spent = time.monotonic() - start
        edits = len(ledger.answers)
        yield f"{scenario.__name__}: {edits} edits kept, {spent:.1f} s"
