"""Fake keeper and entry host, which answer over real links."""

import asyncio
import contextlib
import functools
import threading

import uvloop

from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import links
from foxtailworks import observe
from foxtailworks import wire

HIGH = contracts.Priority.HIGH
BALANS = ids.CustomerId("balans")
DESK = ids.ServiceId("slot-desk")
ZONE = ids.ZoneId("sofia-a")
UPSTREAM = ids.UpstreamId("127.2.0.5:9000/1")
KEEPER_CODEC = wire.Codec(contracts.OPERATOR_MESSAGES)
HOST_CODEC = wire.Codec(observe.HOST_MESSAGES)


class Group:
    """Replicated state of a group of keepers, with the real catalogue."""

    def __init__(self):
        self.catalogue = contracts.Catalogue()
        self.lagging = ()
        address = ids.Address("127.2.9.1", 7400)
        self.keepers = (
            contracts.KeeperLine(
                ids.KeeperId("id-1"), "k1", address, True, True, True, 3
            ),
        )

    def edit(self, ask, command):
        index = self.catalogue.index + 1
        data = contracts.encode_command(command)
        outcome = self.catalogue.apply(index, data)
        return contracts.EditAnswer(
            ask, outcome.edit_id, outcome.code, outcome.version, outcome.detail
        )

    def answer(self, msg):
        return answer(msg, self)


@functools.singledispatch
def answer(msg, group):
    """Return the answer of the leading keeper."""
    return contracts.KeeperChanged(msg.ask, ids.KeeperId("id-4"))


@answer.register
def _put(msg: contracts.PutContract, group):
    edit = contracts.Edit(
        msg.edit_id, msg.customer, msg.base_version, msg.document, 1
    )
    return group.edit(msg.ask, edit)


@answer.register
def _rollback(msg: contracts.RollbackContract, group):
    edit = contracts.Rollback(
        msg.edit_id, msg.customer, msg.base_version, msg.to_version, 1
    )
    return group.edit(msg.ask, edit)


@answer.register
def _get(msg: contracts.GetContract, group):
    kept = {r.version: r for r in group.catalogue.history(msg.customer)}
    found = kept.get(msg.version or max(kept, default=0))
    if found is None:
        code = errors.Code.CONTRACT_MISSING.value
        return contracts.Refused(msg.ask, code, "no contract", None)
    return contracts.ContractAnswer(
        msg.ask, msg.customer, found.version, found.document
    )


def lines(records):
    """Convert records to lines of an answer."""
    return tuple(
        contracts.ContractLine(
            r.customer, r.version, r.edit_id, r.at_unix_s, len(r.document)
        )
        for r in records
    )


@answer.register
def _list(msg: contracts.ListContracts, group):
    records = group.catalogue.history(BALANS)[-1:]
    version = group.catalogue.view.version
    return contracts.ContractList(msg.ask, version, lines(records))


@answer.register
def _history(msg: contracts.GetHistory, group):
    records = group.catalogue.history(msg.customer)
    return contracts.HistoryAnswer(msg.ask, lines(records))


@answer.register
def _keepers(msg: contracts.ListKeepers, group):
    return contracts.KeeperList(msg.ask, group.keepers)


@answer.register
def _remove_host(msg: contracts.RemoveHost, group):
    return contracts.HostRemoved(msg.ask, ids.Version(9))


@answer.register
def _status(msg: contracts.GetStatus, group):
    address = ids.Address("127.2.0.1", 7100)
    host = contracts.HostLine(
        ids.HostId("sofia-1"), ZONE, address, ids.Version(2), 3.5, 0.2, True
    )
    return contracts.StatusAnswer(
        msg.ask, ids.Version(3), ids.Version(1), group.keepers, (host,)
    )


@answer.register
def _await(msg: contracts.AwaitInForce, group):
    unreachable = (ids.HostId("sofia-9"),)
    return contracts.InForceAnswer(
        msg.ask, msg.version, group.lagging, unreachable
    )


class Host:
    """An entry host with one upstream and one histogram."""

    def __init__(self, name):
        self.name = ids.HostId(name)
        self.drained = []
        self._histograms = observe.Histograms()
        for value in (1_000, 2_000, 50_000):
            self._histograms.record(BALANS, DESK, HIGH, value)

    def answer(self, msg):
        if isinstance(msg, observe.StatusRequest):
            return self._status(msg.ask)
        if isinstance(msg, observe.HistogramRequest):
            snapshots = self._histograms.snapshots()
            return observe.page_of(msg, self.name, snapshots)
        self.drained.append(msg.upstream)
        known = msg.upstream == UPSTREAM
        code = errors.Code.OK if known else errors.Code.NO_UPSTREAM
        return observe.DrainAnswer(msg.ask, code.value, "", 4)

    def _status(self, ask):
        draining = observe.Readiness.DRAINING
        upstream = observe.UpstreamLine(
            UPSTREAM, BALANS, DESK, ZONE, draining, 0.5, 4, 1
        )
        suspected = observe.PeerState.SUSPECTED
        peer = observe.PeerLine(ids.HostId("sofia-2"), ZONE, suspected, 1.0)
        return observe.HostStatus(
            ask=ask,
            host=self.name,
            zone=ZONE,
            region=ids.RegionId("sofia"),
            incarnation=ids.Incarnation(1),
            uptime_s=60.0,
            in_force=ids.Version(3),
            in_force_s=5.0,
            draining=False,
            open_flows=10,
            in_flight=2,
            peers=(peer,),
            upstreams=(upstream,),
            counters=(observe.CounterLine("packets.sent", 7),),
        )


def replying(make_answer):
    """Return a link handler that answers each message."""

    async def handle(link):
        async for msg in link:
            await link.send(make_answer(msg))

    return handle


@contextlib.contextmanager
def in_thread(*served):
    """Serve (address, codec, handler) triples in a thread with its loop."""
    started, stop = threading.Event(), []

    async def serve():
        loop = asyncio.get_running_loop()
        end = loop.create_future()
        stop.append(lambda: loop.call_soon_threadsafe(end.set_result, 0))
        async with contextlib.AsyncExitStack() as stack:
            for item in served:
                await stack.enter_async_context(links.serve(*item))
            started.set()
            await end

    thread = threading.Thread(target=lambda: uvloop.run(serve()))
    thread.start()
    assert started.wait(10)
    try:
        yield
    finally:
        stop[0]()
        thread.join(10)
