"""Cost of edits on real keepers and entry hosts, and size of the log."""

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
IN_FORCE_TIMEOUT_S = 10.0
_SECOND_OCTET = 42


def figures(seed: int = 1) -> abc.Iterator[_figure.Figure]:
    """Yield all figures of contract edits, agreement and distribution."""
    with tempfile.TemporaryDirectory() as folder:
        yield from asyncio.run(_measure_processes(pathlib.Path(folder)))
    yield from _distribution.figures(seed)
    with tempfile.TemporaryDirectory() as folder:
        yield from _measure_log_size(pathlib.Path(folder))


class _Operator:
    """Operator that edits customers in turn, each on its last version."""

    def __init__(self, fleet: _keeper_fleet.KeeperFleet) -> None:
        self._fleet = fleet
        self._serial = 0
        self._versions: dict[str, int] = {}

    async def edit(self) -> ids.Version:
        """Put one edit and return its version.

        :raises FoxtailError: ``INTERNAL`` when the edit is refused
        """
        self._serial += 1
        customer = f"customer-{self._serial % CUSTOMERS}"
        answer = await self._fleet.put(
            f"edit-{self._serial}",
            customer,
            self._versions.get(customer, 0),
            _contract_text(customer, self._serial),
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
    """Return the figures measured on real processes."""
    async with _keeper_fleet.running(
        folder, second_octet=_SECOND_OCTET
    ) as fleet:
        operator = _Operator(fleet)
        results = [*await _measure_accept(folder, operator)]
        results.append(await _measure_restart(fleet, operator))
        results.append(await _measure_failover(fleet, operator))
        results.append(await _measure_in_force(fleet, operator))
        return results


async def _measure_accept(
    folder: pathlib.Path, operator: _Operator
) -> tuple[_figure.Figure, _figure.Figure]:
    """Measure successive edits; the baseline is one synced append."""
    times = []
    for _ in range(EDITS):
        start = time.perf_counter()
        await operator.edit()
        times.append((time.perf_counter() - start) * MS_PER_S)
    syncs = _sync_times(folder)
    return (
        _quantile_figure("edit_accept_ms_p50", times, syncs, 0.5),
        _quantile_figure("edit_accept_ms_p99", times, syncs, 0.99),
    )


async def _measure_restart(
    fleet: _keeper_fleet.KeeperFleet, operator: _Operator
) -> _figure.Figure:
    """Measure from a killed follower's start until its log is complete."""
    index = (await fleet.leader() + 1) % 3
    await fleet.kill(index)
    version = await operator.edit()
    start = time.perf_counter()
    await fleet.start_keeper(index)
    listen_address = fleet.address(index)
    while True:
        lines = (await fleet.send_request(contracts.ListKeepers)).lines
        line = next(item for item in lines if item.address == listen_address)
        if line.stored_index >= version:
            break
        await asyncio.sleep(_keeper_fleet.POLL_INTERVAL_S)
    elapsed_ms = (time.perf_counter() - start) * MS_PER_S
    return _figure.Figure(
        "keeper_restart_ms_after_1000_edits", elapsed_ms, "ms"
    )


async def _measure_failover(
    fleet: _keeper_fleet.KeeperFleet, operator: _Operator
) -> _figure.Figure:
    """Measure the longest time from a leader's death to an accepted edit."""
    times = []
    for _ in range(FAILOVERS):
        leader_index = await fleet.leader()
        start = time.perf_counter()
        await fleet.kill(leader_index)
        await operator.edit()
        times.append((time.perf_counter() - start) * MS_PER_S)
        await fleet.start_keeper(leader_index)
    return _figure.Figure("keeper_failover_ms", max(times), "ms")


async def _measure_in_force(
    fleet: _keeper_fleet.KeeperFleet, operator: _Operator
) -> _figure.Figure:
    """Measure the longest time until an edit is in force on all hosts."""
    for index in range(ENTRY_HOSTS):
        await fleet.start_entry(index)
    await fleet.await_hosts(ENTRY_HOSTS)
    times = []
    for _ in range(ENTRY_EDITS):
        start = time.perf_counter()
        version = await operator.edit()
        answer = await fleet.send_request(
            contracts.AwaitInForce, version, IN_FORCE_TIMEOUT_S
        )
        if answer.lagging or answer.unreachable:
            raise errors.FoxtailError(
                errors.Code.INTERNAL,
                "an edit isn't in force on all hosts",
                hosts=answer,
            )
        times.append((time.perf_counter() - start) * MS_PER_S)
    return _figure.Figure(
        "edit_in_force_ms_max", max(times), "ms", target=IN_FORCE_TARGET_MS
    )


def _measure_log_size(folder: pathlib.Path) -> abc.Iterator[_figure.Figure]:
    """Measure the log's size after many edits; the baseline is all edits."""
    name = ids.KeeperId("keeper")
    disk = journal.Journal(journal.DiskFiles(folder, False), lambda: name)
    node = keeper.Node(disk, random.Random(1), 0.0)
    listen_address = ids.Address("127.0.0.1", 1)
    member = agreement.Member(name, "keeper", listen_address, voter=True)
    node.bootstrap("group", agreement.Membership((member,)), 0.0)
    node.flush(0.0)
    node.on_tick(1.0)
    node.flush(1.0)
    command_bytes = 0
    versions: dict[str, int] = {}
    for serial in range(LOG_EDITS):
        customer = f"customer-{serial % CUSTOMERS}"
        edit = contracts.Edit(
            ids.EditId(f"edit-{serial}"),
            ids.CustomerId(customer),
            ids.Version(versions.get(customer, 0)),
            _contract_text(customer, serial),
        )
        command_bytes += len(contracts.encode_command(edit))
        versions[customer] = node.propose(edit, 1.0)
        node.flush(1.0)
    _require_all_in_force(node, versions)
    yield _figure.Figure(
        "log_bytes_after_10000_edits",
        float(disk.size_bytes),
        "bytes",
        float(command_bytes),
    )
    disk.close()


def _require_all_in_force(node: keeper.Node, versions: dict[str, int]) -> None:
    """Check that the last edit of each customer is in force.

    :raises FoxtailError: ``INTERNAL`` when it isn't
    """
    for customer, version in versions.items():
        found = node.catalogue.view.find(ids.CustomerId(customer))
        if found is None or found.version != version:
            raise errors.FoxtailError(
                errors.Code.INTERNAL, "the last edit of a customer is lost"
            )


def _contract_text(customer: str, serial: int) -> str:
    """Return a contract; each customer has its own addresses."""
    number = int(customer.rpartition("-")[2])
    text = _distribution.contract_text(customer, number)
    return text.replace("in_flight: 2000", f"in_flight: {serial + 1}")


def _sync_times(folder: pathlib.Path) -> list[float]:
    """Return durations in ms of synced appends of one edit's size."""
    times = []
    data = _contract_text("customer-1", 1).encode()
    with open(folder / "sync", "ab", buffering=0) as file:
        for _ in range(EDITS):
            start = time.perf_counter()
            file.write(data)
            os.fsync(file.fileno())
            times.append((time.perf_counter() - start) * MS_PER_S)
    return times


def _quantile_figure(
    name: str, times: list[float], baseline: list[float], quantile: float
) -> _figure.Figure:
    """Return a figure of one quantile of the times and of the baseline."""
    values = [
        sorted(item)[min(len(item) - 1, int(quantile * len(item)))]
        for item in (times, baseline)
    ]
    return _figure.Figure(name, values[0], "ms", values[1])
