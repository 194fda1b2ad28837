"""What edits cost: real keepers and entry hosts, one log of many edits."""

import asyncio
from collections import abc
import os
import pathlib
import random
import tempfile
import time

from foxtailworks import agreement
from foxtailworks.bench import _distribution
from foxtailworks.bench import _figure
from foxtailworks.bench import _keeper_fleet
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import keeper

EDITS = 1000
ENTRY_HOSTS = 7
ENTRY_EDITS = 20
FAILOVERS = 5
LOG_EDITS = 10_000
CUSTOMERS = 20
MS_PER_S = 1000.0
IN_FORCE_TARGET_MS = 4000.0
AWAIT_S = 10.0
_NET = 42


def figures(seed: int = 1) -> abc.Iterator[_figure.Figure]:
    """Yield all figures of contracts and their agreement."""
    with tempfile.TemporaryDirectory() as folder:
        yield from asyncio.run(_measure_processes(pathlib.Path(folder)))
    yield from _distribution.figures(seed)
    with tempfile.TemporaryDirectory() as folder:
        yield from _log_bytes(pathlib.Path(folder))


class _Operator:
    """Edits customers in turn and knows their versions."""

    def __init__(self, fleet: _keeper_fleet.KeeperFleet) -> None:
        self._fleet = fleet
        self._serial = 0
        self._versions: dict[str, int] = {}

    async def edit(self) -> ids.Version:
        """Accept one edit and return its version."""
        self._serial += 1
        customer = f"customer-{self._serial % CUSTOMERS}"
        answer = await self._fleet.put(
            f"edit-{self._serial}",
            customer,
            self._versions.get(customer, 0),
            _document(customer, self._serial),
        )
        if answer.code != errors.Code.OK:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "an edit was refused", why=answer.detail
            )
        self._versions[customer] = answer.version
        return answer.version


async def _measure_processes(
    folder: pathlib.Path,
) -> list[_figure.Figure]:
    """Return the figures that need processes."""
    async with _keeper_fleet.running(folder, net=_NET) as fleet:
        operator = _Operator(fleet)
        found = [*await _accept(folder, operator)]
        found.append(await _restart(fleet, operator))
        found.append(await _failover(fleet, operator))
        found.append(await _in_force(fleet, operator))
        return found


async def _accept(
    folder: pathlib.Path, operator: _Operator
) -> tuple[_figure.Figure, _figure.Figure]:
    """Measure edits one after another; one sync is the baseline."""
    times = []
    for _ in range(EDITS):
        start = time.perf_counter()
        await operator.edit()
        times.append((time.perf_counter() - start) * MS_PER_S)
    syncs = _sync_times(folder)
    return (
        _share("edit_accept_ms_p50", times, syncs, 0.5),
        _share("edit_accept_ms_p99", times, syncs, 0.99),
    )


async def _restart(
    fleet: _keeper_fleet.KeeperFleet, operator: _Operator
) -> _figure.Figure:
    """Measure from the start of a killed follower until it is caught up."""
    place = (await fleet.leader() + 1) % 3
    await fleet.kill(place)
    version = await operator.edit()
    start = time.perf_counter()
    await fleet.start_keeper(place)
    at = fleet.address(place)
    while True:
        lines = (await fleet.ask(contracts.ListKeepers)).lines
        line = next(item for item in lines if item.address == at)
        if line.stored_index >= version:
            break
        await asyncio.sleep(_keeper_fleet.PAUSE_S)
    spent = (time.perf_counter() - start) * MS_PER_S
    return _figure.Figure("keeper_restart_ms_after_1000_edits", spent, "ms")


async def _failover(
    fleet: _keeper_fleet.KeeperFleet, operator: _Operator
) -> _figure.Figure:
    """Measure from the leader's death to the next accepted edit; worst."""
    times = []
    for _ in range(FAILOVERS):
        lead = await fleet.leader()
        start = time.perf_counter()
        await fleet.kill(lead)
        await operator.edit()
        times.append((time.perf_counter() - start) * MS_PER_S)
        await fleet.start_keeper(lead)
    return _figure.Figure("keeper_failover_ms", max(times), "ms")


async def _in_force(
    fleet: _keeper_fleet.KeeperFleet, operator: _Operator
) -> _figure.Figure:
    """Measure from an edit to all hosts' reports that it is in force."""
    for place in range(ENTRY_HOSTS):
        await fleet.start_entry(place)
    await fleet.await_hosts(ENTRY_HOSTS)
    times = []
    for _ in range(ENTRY_EDITS):
        start = time.perf_counter()
        version = await operator.edit()
        answer = await fleet.ask(contracts.AwaitInForce, version, AWAIT_S)
        if answer.lagging or answer.unreachable:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "a host lags", hosts=answer
            )
        times.append((time.perf_counter() - start) * MS_PER_S)
    return _figure.Figure(
        "edit_in_force_ms_max", max(times), "ms", target=IN_FORCE_TARGET_MS
    )


def _log_bytes(folder: pathlib.Path) -> abc.Iterator[_figure.Figure]:
    """Measure the disk after many edits; all edits kept is the baseline."""
    name = ids.KeeperId("keeper")
    disk = journal.Journal(journal.DiskFiles(folder, False), lambda: name)
    node = keeper.Node(disk, random.Random(1), 0.0)
    at = ids.Address("127.0.0.1", 1)
    member = agreement.Member(name, "keeper", at, voter=True)
    node.bootstrap("group", agreement.Membership((member,)), 0.0)
    node.flush(0.0)
    node.on_tick(1.0)
    node.flush(1.0)
    plain = 0
    versions: dict[str, int] = {}
    for serial in range(LOG_EDITS):
        customer = f"customer-{serial % CUSTOMERS}"
        edit = contracts.Edit(
            ids.EditId(f"edit-{serial}"),
            ids.CustomerId(customer),
            ids.Version(versions.get(customer, 0)),
            _document(customer, serial),
        )
        plain += len(contracts.encode_command(edit))
        versions[customer] = node.propose(edit, 1.0)
        node.flush(1.0)
    _require_all(node, versions)
    yield _figure.Figure(
        "log_bytes_after_10000_edits",
        float(disk.size_bytes),
        "bytes",
        float(plain),
    )
    disk.close()


def _require_all(node: keeper.Node, versions: dict[str, int]) -> None:
    """Check that the last edit of each customer is in force."""
    for customer, version in versions.items():
        found = node.catalogue.view.find(ids.CustomerId(customer))
        if found is None or found.version != version:
            raise errors.FoxtailError(errors.Code.INTERNAL, "an edit is lost")


def _document(customer: str, serial: int) -> str:
    """Return a contract; each customer has addresses of its own."""
    number = int(customer.rpartition("-")[2])
    text = _distribution.document(customer, number)
    return text.replace("in_flight: 2000", f"in_flight: {serial + 1}")


def _sync_times(folder: pathlib.Path) -> list[float]:
    """Return what appends of one edit's size with a sync take."""
    times = []
    data = _document("customer-1", 1).encode()
    with open(folder / "sync", "ab", buffering=0) as file:
        for _ in range(EDITS):
            start = time.perf_counter()
            file.write(data)
            os.fsync(file.fileno())
            times.append((time.perf_counter() - start) * MS_PER_S)
    return times


def _share(
    name: str, times: list[float], baseline: list[float], share: float
) -> _figure.Figure:
    """Return the value that a share of the times doesn't exceed."""
    values = [
        sorted(item)[min(len(item) - 1, int(share * len(item)))]
        for item in (times, baseline)
    ]
    return _figure.Figure(name, values[0], "ms", values[1])
