"""One entry host: its cores, connected to sockets and links."""

import asyncio
from collections import abc
import contextlib
import functools
import random

from foxtailworks import contracts
from foxtailworks.entry import _actions
from foxtailworks.entry import _core_metrics
from foxtailworks.entry import _cores
from foxtailworks.entry import _fabric
from foxtailworks.entry import _flows
from foxtailworks.entry import _keepers
from foxtailworks.entry import _operators
from foxtailworks.entry import _peers
from foxtailworks.entry import _registrations
from foxtailworks.entry import _requests
from foxtailworks.entry import _rosters
from foxtailworks.entry import _saved_state
from foxtailworks.entry import _services
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import links
from foxtailworks import membership
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import proxyv2
from foxtailworks import requests
from foxtailworks import settings
from foxtailworks import udp
from foxtailworks import upstreams

TICK_S = 0.05
DRAIN_STEP_S = 0.05
LEAVE_MIN_S = 2.0
LEAVE_MAX_S = 10.0
HAND_OVER_MAX_S = 4.0

_EVENTS = observe.Events("entry")


class EntryHost:
    """Connects the cores to sockets; makes no decisions itself.

    :param cfg: settings of this host
    :param incarnation: larger than that of any earlier start
    :param rng: source of all random choices
    """

    def __init__(
        self,
        cfg: settings.EntrySettings,
        incarnation: ids.Incarnation,
        rng: random.Random,
        metrics: observe.Metrics,
        clock: abc.Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self.failure: BaseException | None = None
        self.services = _services.ServiceIndex()
        self.cores = _cores.Cores(cfg, incarnation, rng, clock())
        self._peers = _peers.PeerTransport(
            _cores.MESSAGES, cfg.cluster_key, metrics, self._on_relayed
        )
        self._fabric = _fabric.FabricEndpoint(
            cfg.fabric_address, cfg.fabrics, metrics, self._on_packet
        )
        self._flows = _flows.FlowPath(
            self.cores.placer,
            self.cores.cluster_view,
            self.services,
            self._peers,
            self._fabric,
            metrics,
        )
        self._saved_state = _saved_state.open_folder(
            cfg.memory_folder, cfg.host
        )
        self.requests = _requests.RequestPath(
            self.cores,
            self.services,
            self._peers,
            self._fabric,
            metrics,
            incarnation,
            rng,
            clock,
            self._saved_state.take()
            if self._saved_state is not None
            else None,
        )
        self._actions = _actions.ActionDispatcher(
            self.cores.cluster_view,
            self._peers,
            self._put_in_force,
            self.requests.on_upstream_lost,
        )
        self.perform = self._actions.perform
        self._core_metrics = _core_metrics.CoreMetrics(
            self.cores, self.requests, metrics
        )
        self._operators = _operators.OperatorHandler(
            self.cores, self.requests, metrics, self.perform, clock
        )
        self._registrations = _registrations.RegistrationHandler(
            self.cores.directory, metrics, self.perform, clock
        )
        self.subscription = _keepers.Subscription(
            cfg,
            self.cores.members.me,
            self.cores.contracts,
            rng,
            self.on_update,
        )
        self._route_messages()

    def _route_messages(self) -> None:
        """Register the handler of each type of message."""
        self._peers.register(
            membership.MESSAGES.values(),
            functools.partial(self._feed, self.cores.members.on_message),
        )
        self._peers.register(
            upstreams.MESSAGES.values(),
            functools.partial(self._feed, self.cores.directory.on_message),
        )
        self._peers.register(
            contracts.DISTRIBUTION_MESSAGES.values(),
            self._on_distribution_message,
        )
        self._peers.register(
            _rosters.MESSAGES.values(), self.requests.keyed.on_roster_epoch
        )
        self._peers.register(
            placement.MESSAGES.values(), self._on_placement_message
        )
        self._peers.register(
            requests.MESSAGES.values(), self.requests.on_message
        )
        self._peers.register(
            limits.MESSAGES.values(), self.requests.admission.on_message
        )

    def _feed(
        self,
        on_message: abc.Callable[
            [ids.Address, object, float], abc.Iterable[object]
        ],
        src: ids.Address,
        msg: object,
    ) -> None:
        """Pass a message to a core and execute the actions it returns."""
        self.perform(on_message(src, msg, self._clock()))

    def _on_distribution_message(self, src: ids.Address, msg: object) -> None:
        """Pass a message about versions to the distribution core."""
        host = self.cores.cluster_view.host_at(src)
        if host is not None:
            now = self._clock()
            self.perform(self.cores.distribution.on_message(host, msg, now))

    def on_update(self, update: contracts.Update) -> None:
        """Pass a keeper's update to the distribution core."""
        now = self._clock()
        self.perform(self.cores.distribution.on_update(update, now))

    def _on_placement_message(self, src: ids.Address, msg: object) -> None:
        """Pass a message to the placer with the id of its sender."""
        host = self.cores.cluster_view.host_at(src)
        if host is None:
            return
        placer = self.cores.placer
        self.perform(placer.on_message(host, msg, self._clock()))

    # Packets.

    def _on_packet(self, packet: proxyv2.Packet) -> None:
        """Process a caller's packet from the fabric."""
        self._dispatch(packet, None)

    def _on_relayed(self, packet: proxyv2.Packet, src: ids.Address) -> None:
        """Process a caller's packet relayed by another host."""
        host = self.cores.cluster_view.host_at(src)
        if host is None:
            self._metrics.count(observe.Counter.PEERS_DROPPED)
            return
        self._dispatch(packet, host)

    def _dispatch(
        self, packet: proxyv2.Packet, relayed_from: ids.HostId | None
    ) -> None:
        """Pass a packet to the data path of its service's kind."""
        route = self.services.find_by_address(packet.target)
        if route is None:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
        elif route.service.kind is contracts.ServiceKind.FLOW:
            self._flows.on_packet(route, packet, relayed_from, self._clock())
        else:
            self.requests.on_packet(route, packet)

    def _on_flow_answer(self, data: bytes, src: ids.Address) -> None:
        """Decode a packet from a flow's upstream and forward it."""
        try:
            packet = proxyv2.decode(data)
        except errors.FoxtailError:
            self._metrics.count(observe.Counter.PACKETS_DROPPED)
            return
        self._flows.on_answer_packet(packet, src, self._clock())

    def _on_announcement(self, data: bytes, src: ids.Address) -> None:
        """Process an upstream's registration and answer it."""
        answer = self._registrations.handle(data)
        if answer is not None and self._announce_port is not None:
            self._announce_port.send(answer, src)

    _announce_port: udp.Socket | None = None

    # Contracts.

    def _put_in_force(self, update: contracts.Update) -> None:
        """Put a new version in force."""
        now = self._clock()
        self._metrics.count(observe.Counter.CONTRACTS_APPLIED)
        view = self.cores.contracts
        for fault in self.services.set_documents(view.contracts):
            _EVENTS.failed("contract_unreadable", fault)
        self.cores.placer.set_idle_times(
            {
                item.key: float(item.service.flow_idle_s)
                for item in self.services.all()
            }
        )
        retentions = (
            item.service.key_retention_s for item in self.services.all()
        )
        self.requests.keyed.set_retention(float(max(retentions, default=0)))
        if update.roster is not None:
            self.requests.keyed.set_roster(update.roster, now)
            self.cores.placer.set_roster(
                tuple(
                    placement.HostView(item.host, item.zone)
                    for item in update.roster.hosts
                )
            )
        self.requests.update_limits()
        self._operators.on_version(now)
        _EVENTS.info(
            "version_in_force",
            version=view.version,
            epoch=view.roster.epoch,
            customers=len(view.contracts),
        )

    # Lifecycle.

    @contextlib.asynccontextmanager
    async def opened(self, stop: asyncio.Event) -> abc.AsyncIterator[None]:
        """Open the sockets and run the tasks; a failed one sets ``stop``."""
        cfg = self._cfg
        own_ip = cfg.peer_address.ip
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            if self._saved_state is not None:
                stack.callback(self._saved_state.close)
            at = cfg.peer_address
            self._peers.port = await enter(
                udp.open_socket(at.ip, at.port, self._peers.on_datagram)
            )
            at = cfg.fabric_address
            self._fabric.port = await enter(
                udp.open_socket(at.ip, at.port, self._fabric.on_datagram)
            )
            at = cfg.announce_address
            self._announce_port = await enter(
                udp.open_socket(at.ip, at.port, self._on_announcement)
            )
            self._flows.port = await enter(
                udp.open_socket(own_ip, 0, self._on_flow_answer)
            )
            self.requests.exchanges.port = await enter(
                udp.open_socket(own_ip, 0, self.requests.exchanges.on_datagram)
            )
            await enter(
                links.serve(
                    cfg.operator_address,
                    _operators.CODEC,
                    self._operators.serve,
                    cfg.tls,
                    self._metrics,
                )
            )
            tasks = [
                asyncio.ensure_future(self._tick()),
                asyncio.ensure_future(self.subscription.run()),
            ]
            for task in tasks:
                task.add_done_callback(
                    functools.partial(self._on_task_done, stop)
                )
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()

    def _on_task_done(
        self, stop: asyncio.Event, task: asyncio.Future[None]
    ) -> None:
        """Set ``stop`` when a task has failed."""
        if not task.cancelled() and task.exception() is not None:
            self.failure = task.exception()
            stop.set()

    async def _tick(self) -> None:
        """Tick all cores until cancelled."""
        while True:
            self._tick_once(self._clock())
            await asyncio.sleep(TICK_S)

    def _tick_once(self, now: float) -> None:
        """Tick all cores and execute their actions."""
        cores = self.cores
        self.perform(cores.members.on_tick(now))
        if cores.cluster_view.refresh(now):
            self.requests.update_live_hosts()
            cores.distribution.set_peers(
                {item.id: item.zone for item in cores.members.live()}
            )
        self.perform(cores.placer.on_tick(now))
        self.perform(cores.distribution.on_tick(now))
        self.requests.on_tick(now)
        self._core_metrics.on_tick(now)
        if self.is_ready(now):
            self._fabric.on_tick(now)

    def is_ready(self, now: float) -> bool:
        """Return whether contracts, roster and hosts are known."""
        are_hosts_known = self.cores.placer.is_ready(now)
        return self.requests.keyed.is_ready and are_hosts_known

    def _is_handed_over(self) -> bool:
        """Return whether requests are done and flows are handed over."""
        return self.requests.is_idle() and self.cores.placer.has_handed_over

    async def leave(self) -> None:
        """Reject new work, finish requests under way, and hand over."""
        start = self._clock()
        self._operators.is_leaving = True
        self._fabric.withdraw()
        self.requests.keyed.leave()
        self.cores.placer.leave(start)
        self.perform(self.cores.members.leave(start))
        while self._clock() - start < LEAVE_MAX_S:
            await asyncio.sleep(DRAIN_STEP_S)
            elapsed_s = self._clock() - start
            if elapsed_s >= LEAVE_MIN_S and self._is_handed_over():
                break
        self.requests.keyed.hand_over(self._clock())
        deadline = self._clock() + HAND_OVER_MAX_S
        while self._clock() < deadline:
            await asyncio.sleep(DRAIN_STEP_S)
            if self.requests.keyed.is_handed_over(self._clock()):
                break
        if self._saved_state is not None:
            self._saved_state.save(
                self.requests.keyed.saved_state(self._clock())
            )
