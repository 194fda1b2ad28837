"""Answers to operators' requests over the host's own link."""

from collections import abc
import functools
import typing

from foxtailworks.entry import _cores
from foxtailworks.entry import _requests
from foxtailworks import errors
from foxtailworks import links
from foxtailworks import membership
from foxtailworks import observe
from foxtailworks import upstreams
from foxtailworks import wire

CODEC = wire.Codec(observe.HOST_MESSAGES)

_PEER_STATES = {
    membership.HostState.ALIVE: observe.PeerState.LIVE,
    membership.HostState.SUSPECT: observe.PeerState.SUSPECTED,
    membership.HostState.DEAD: observe.PeerState.DEAD,
    membership.HostState.LEFT: observe.PeerState.DEAD,
}
_READINESS = {
    upstreams.HealthState.RAMPING: observe.Readiness.RAMPING,
    upstreams.HealthState.HEALTHY: observe.Readiness.READY,
    upstreams.HealthState.SUSPECT: observe.Readiness.SUSPECT,
    upstreams.HealthState.BACKED_OFF: observe.Readiness.BACKED_OFF,
    upstreams.HealthState.HALF_OPEN: observe.Readiness.SUSPECT,
}


class OperatorHandler:
    """Answers from the state of the cores; only a drain changes it.

    :param perform: executes the actions of the directory
    """

    def __init__(
        self,
        cores: _cores.Cores,
        path: _requests.RequestPath,
        metrics: observe.Metrics,
        perform: abc.Callable[[abc.Iterable[object]], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._cores = cores
        self._path = path
        self._metrics = metrics
        self._perform = perform
        self._clock = clock
        self._started_at = clock()
        self._in_force_at = clock()
        self.is_leaving = False

    def on_version(self, now: float) -> None:
        """Record the time at which another version came in force."""
        self._in_force_at = now

    async def serve(self, link: links.Link) -> None:
        """Answer the requests of one link until it ends."""
        async for msg in link:
            await link.send(self._answer(msg))

    @functools.singledispatchmethod
    def _answer(self, msg: typing.Any) -> object:
        """Raise an error for a message that isn't a request."""
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "not an operator's request"
        )

    @_answer.register
    def _status(self, msg: observe.StatusRequest) -> observe.HostStatus:
        """Return the status of this host."""
        now = self._clock()
        me = self._cores.members.me
        totals = self._metrics.totals()
        return observe.HostStatus(
            ask=msg.ask,
            host=me.id,
            zone=me.zone,
            region=me.region,
            incarnation=me.incarnation,
            uptime_s=now - self._started_at,
            in_force=self._cores.contracts.version,
            in_force_s=now - self._in_force_at,
            draining=self.is_leaving,
            open_flows=self._cores.placer.flow_count,
            in_flight=len(self._path.exchanges),
            peers=tuple(self._peers(now)),
            upstreams=tuple(self._upstreams()),
            counters=(*self._counters(totals), *self._jobs()),
        )

    def _peers(self, now: float) -> abc.Iterator[observe.PeerLine]:
        """Yield a line for each other entry host known here."""
        members = self._cores.members
        for host in members.hosts()[: observe.MAX_LINES]:
            if host.id != members.me.id:
                yield observe.PeerLine(
                    host.id, host.zone, _PEER_STATES[host.state], 0.0
                )

    def _counters(
        self, totals: dict[str, int]
    ) -> abc.Iterator[observe.CounterLine]:
        """Yield the counters that aren't zero."""
        for name, value in sorted(totals.items()):
            if value:
                yield observe.CounterLine(name, value)

    def _jobs(self) -> abc.Iterator[observe.CounterLine]:
        """Yield a line with the jobs counted for each customer."""
        for customer, value in self._path.jobs().items():
            yield observe.CounterLine(f"jobs.placed.{customer}", value)

    def _upstreams(self) -> abc.Iterator[observe.UpstreamLine]:
        """Yield a line for each open upstream known here."""
        flows = self._cores.placer.flows_by_upstream()
        directory = self._cores.directory
        open_ones = (item for item in directory.all() if item.is_open)
        for item, _ in zip(open_ones, range(observe.MAX_LINES)):
            yield observe.UpstreamLine(
                upstream=item.id,
                customer=item.customer,
                service=item.service,
                zone=item.zone,
                state=self._readiness(item),
                load=self._path.load(item),
                flows=flows[item.id],
                in_flight=self._path.in_flight(item.id),
            )

    def _readiness(self, item: upstreams.Upstream) -> observe.Readiness:
        """Return whether an upstream gets new work from this host."""
        if not item.takes_work:
            return observe.Readiness.DRAINING
        health = self._cores.directory.health_of(item.id)
        if health is None:
            return observe.Readiness.READY
        return _READINESS[health]

    @_answer.register
    def _histograms(
        self, msg: observe.HistogramRequest
    ) -> observe.HistogramPage:
        """Return one page of histograms."""
        me = self._cores.members.me.id
        return observe.page_of(msg, me, self._path.histograms.snapshots())

    @_answer.register
    def _drain(self, msg: observe.DrainRequest) -> observe.DrainAnswer:
        """Drain an upstream: no host gives it new work."""
        directory = self._cores.directory
        if directory.get(msg.upstream) is None:
            code = errors.Code.NO_UPSTREAM
            return observe.DrainAnswer(
                msg.ask, int(code), "upstream is unknown to this host", 0
            )
        self._perform(directory.drain(msg.upstream, self._clock()))
        flows = self._cores.placer.flows_by_upstream()[msg.upstream]
        return observe.DrainAnswer(msg.ask, int(errors.Code.OK), "", flows)
