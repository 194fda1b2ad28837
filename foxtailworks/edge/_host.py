"""Edge host that follows coordinators and routes packets."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import functools
import math
import random

from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks.edge import _audit
from foxtailworks.edge import _copying
from foxtailworks.edge import _gauges
from foxtailworks.edge import _link
from foxtailworks.edge import _load
from foxtailworks.edge import _scrape
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import polling
from foxtailworks import service
from foxtailworks import steering

TICK_S = 0.02
"""Half the minimum timeout after which an unanswered SYN is placed again."""
ROUTES_WAIT_S = 0.15
"""Time for which a host waits for routes from one coordinator before it asks
the next that has them: tables are large."""
STARTING_S = 1.0
"""Time after its start for which a host is ready without routes: routers
check twice a second, routes arrive within a tenth of a second, and SYNs
received before them are held."""
BUSY_TARGETS = 2.0
"""Time for which a request is reported as in progress, in targets of its
route; a longer one is rare, and one that was reset must not count as load."""
_EVENTS = logs.Events("edge")


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one edge host."""

    host: ids.HostId
    """Name of the host."""
    zone: ids.ZoneId
    """Availability zone of the host."""
    peer_address: ids.Address
    """UDP address that receives the coordinators' answers."""
    seeds: tuple[ids.Address, ...]
    """Listen addresses of the coordinators that are polled first."""
    spares_cold: bool = False
    """Whether cold upstreams get no new flows."""
    heartbeat_s: float = 1.2
    """Interval of upstreams' heartbeats in seconds."""
    shares_load: bool = False
    """Whether the host reports its load and uses the view of all hosts."""

    def __post_init__(self) -> None:
        """Reject settings without a seed coordinator."""
        if not self.seeds:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "seeds: at least one is needed"
            )


class Host:
    """Edge host without sockets, driven by datagrams and ticks.

    :param clock: seconds that also pass while the process is stopped
    :param carry_out: carries out the decisions on packets that had to wait
    :param describe: returns a readable name of a flow
    :param link: queue of the host's own link, for its metrics
    """

    def __init__(
        self,
        cfg: Settings,
        clock: abc.Callable[[], float],
        rng: random.Random,
        carry_out: abc.Callable[[steering.DuePacket], None],
        describe: _audit.Describe = bytes.hex,
        link: _link.Link | None = None,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self.roster = discovery.Roster()
        self.steering = steering.Steering(
            self.roster,
            cfg.zone,
            rng,
            steering.Config(
                spares_cold=cfg.spares_cold,
                heartbeat_s=cfg.heartbeat_s,
                busy_targets=BUSY_TARGETS if cfg.shares_load else math.inf,
            ),
        )
        self._load = _load.LoadReporter(
            cfg.shares_load, self.steering.load_view
        )
        self._tables = steering.TableDecoder()
        self._needs_whole_table = False
        self._started_at = clock()
        self._schedule = polling.Schedule(
            cfg.host, cfg.seeds, rng, self._started_at
        )
        self._transfers = polling.Transfers()
        self._copying = _copying.Copying(self.roster, self._transfers)
        self._endpoint: datagram.Endpoint | None = None
        self._carry_out = carry_out
        self._audit = _audit.Audit(describe)
        self._is_leaving = False
        self._stranger_messages = 0
        self._asked_for_routes_at = float("-inf")

    def attach(self, endpoint: datagram.Endpoint) -> None:
        """Set the endpoint that messages are sent through."""
        self._endpoint = endpoint

    @property
    def is_ready(self) -> bool:
        """Whether routers should send callers' packets to this host."""
        if self._is_leaving:
            return False
        is_starting = self._clock() - self._started_at < STARTING_S
        return is_starting or bool(self.steering.revision)

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        now = self._clock()
        gauges = _gauges.of_steering(self.steering)
        gauges |= _gauges.of_transfers(self._transfers)
        gauges |= {
            "strangers": (
                "Messages from addresses that aren't coordinators.",
                float(self._stranger_messages),
            ),
            "coordinators": (
                "Coordinators that answer.",
                float(self.roster.answering_count(now)),
            ),
        }
        gauges |= self._load.gauges(now)
        return _scrape.render(self._audit.metrics, gauges, self._link)

    def withdraw(self) -> None:
        """Stop being ready; packets that still arrive are served."""
        self._is_leaving = True

    def put_seeds(self, seeds: tuple[ids.Address, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self._schedule.put_seeds(seeds, self._clock())

    def receive(self, msg: object, src: ids.Address) -> None:
        """Process a coordinator's answer to a poll, or its notice.

        Messages of others are dropped and counted: only coordinators are
        polled, so that no one else has anything to answer.
        """
        if not self._schedule.knows(src):
            self._stranger_messages += 1
            return
        _dispatch(msg, self, src)
        self._request_parts(self._clock())

    def on_part(
        self, src: ids.Address, number: int, missing: abc.Set[int]
    ) -> None:
        """Record a part of a large answer and request further ones."""
        if not self._schedule.knows(src):
            return
        now = self._clock()
        self._schedule.on_part(src, now)
        self._transfers.on_part(src, number, missing, now)
        self._request_parts(now)

    def _request_parts(self, now: float) -> None:
        """Request the parts of a large answer that are due."""
        assert self._endpoint is not None
        for due in self._transfers.due(now):
            msg = polling.PartRequest.of(due.number, due.indexes)
            self._endpoint.send(msg, due.source)

    def on_answer(self, msg: polling.PollAnswer, src: ids.Address) -> None:
        """Apply the answer to a poll."""
        now = self._clock()
        self._record_answer(msg, src, now)
        if not self._copying.merge(msg.changes, src, now):
            _EVENTS.debug("changes_missed", coordinator=src)
            self._schedule.request_poll(src)
        if msg.host_count:
            self.steering.share.host_count = msg.host_count
        if msg.table and msg.revision > self.steering.revision:
            self._put_routes(msg, src)

    def on_summary(self, msg: polling.Summary, src: ids.Address) -> None:
        """Record that a coordinator has a large answer for this host."""
        now = self._clock()
        self._record_answer(msg, src, now)
        self._copying.on_summary(msg, src, self.steering.revision, now)

    def on_parts_gone(self, msg: polling.PartsGone, src: ids.Address) -> None:
        """Ask anew for an answer that a coordinator no longer has."""
        self._transfers.on_parts_gone(src, msg.number)

    def on_notice(self, msg: polling.Notice, src: ids.Address) -> None:
        """Apply an evacuation; poll a coordinator that has something new."""
        self._put_evacuation(msg.evacuation, src)
        has_changes = self.roster.position(src) != (
            msg.session,
            msg.registry_version,
        )
        has_routes = msg.revision > self.steering.revision
        now = self._clock()
        if has_routes and now - self._asked_for_routes_at < ROUTES_WAIT_S:
            # Another coordinator is about to answer with them.
            has_routes = False
        if has_routes:
            self._asked_for_routes_at = now
        if has_changes or has_routes:
            self._schedule.request_poll(src)

    def on_tick(self, now: float) -> None:
        """Run the periodic work of the host."""
        for due in self.steering.on_tick(now):
            self._carry_out(due)
        self._audit.record(self.steering.events.take(), now)
        self.roster.on_tick(now)
        self._request_parts(now)
        self._poll_if_due(now)
        self._report_load(now)

    def _poll_if_due(self, now: float) -> None:
        """Poll the coordinators that are due, or all after a new suspicion."""
        suspicions = self.steering.suspicions
        if suspicions.has_updates:
            suspicions.has_updates = False
            self._schedule.request_polls_of_all()
        if self.steering.has_unknown_tokens:
            self.steering.has_unknown_tokens = False
            self._schedule.request_polls_of_followed(now)
        deferred = self._transfers.take_deferred()
        if deferred is not None:
            self._schedule.request_poll(deferred)
        for due in self._schedule.due(now, self._need(now)):
            self._poll(due, now)

    def on_load_view(self, msg: polling.LoadView, src: ids.Address) -> None:
        """Use the load of all hosts for the placement of new flows."""
        self._load.on_view(msg, src, self._clock())

    def _report_load(self, now: float) -> None:
        """Send a report of this host's load if one is due."""
        assert self._endpoint is not None
        due = self._load.due(lambda: self._schedule.followed(now), now)
        if due is not None:
            self._endpoint.send(due.msg, due.target)

    def _need(self, now: float) -> polling.Need:
        """Return what this host needs from coordinators now."""
        if not self.steering.revision and not self._transfers.is_downloading:
            return polling.Need.ROUTES
        if self.steering.suspicions.local_suspects(now):
            return polling.Need.OPINION
        return polling.Need.CHANGES

    def _poll(self, due: polling.DuePoll, now: float) -> None:
        """Poll one coordinator for changes since the last answer."""
        assert self._endpoint is not None
        session, version = self.roster.position(due.address)
        msg = polling.Poll(
            self._cfg.host,
            session,
            version,
            0 if self._needs_whole_table else self.steering.revision,
            self.steering.reportable_suspects(now),
            due.is_follower,
            self._copying.max_parts(due, now),
        )
        self._endpoint.send(msg, due.address)

    def _put_routes(self, msg: polling.PollAnswer, src: ids.Address) -> None:
        """Decode routes and put them in force."""
        try:
            table = self._tables.decode(msg.table)
        except errors.FoxtailError as exc:
            _EVENTS.failed("routes_unreadable", exc)
            self._needs_whole_table = True
            return
        if table is None:
            # Changes to an earlier table: another answer has overtaken them.
            self._schedule.request_poll(src)
            return
        self._needs_whole_table = False
        if self.steering.put_routes(table):
            _EVENTS.info(
                "routes_in_force",
                revision=table.revision,
                routes=len(table.routes),
                coordinator=src,
            )

    def _record_answer(
        self,
        msg: polling.PollAnswer | polling.Summary,
        src: ids.Address,
        now: float,
    ) -> None:
        """Record what each answer tells; clear suspicions after a partition.

        The first answer of a coordinator that was lost shows that a partition
        has healed, so suspected upstreams may answer again.
        """
        if self._schedule.on_answer(src, msg.is_current, now):
            self.steering.suspicions.clear()
            _EVENTS.info("coordinator_regained", coordinator=src)
        self.steering.suspicions.put_suspected(msg.suspected, now)
        self._schedule.add(msg.coordinators, now)
        self._put_evacuation(msg.evacuation, src)

    def _put_evacuation(
        self, evacuation: polling.Evacuation, src: ids.Address
    ) -> None:
        """Put an evacuation in force unless a later one already is."""
        number, zones = evacuation.number, evacuation.zones
        returned = [(zone, ms / 1000) for zone, ms in evacuation.returned]
        if self.steering.put_evacuation(
            number, zones, self._clock(), returned
        ):
            _EVENTS.info(
                "evacuation_in_force",
                number=number,
                zones=",".join(zones),
                coordinator=src,
            )


@functools.singledispatch
def _dispatch(msg: object, host: Host, _src: ids.Address) -> None:
    """Pass a message to the handler of its type."""
    _EVENTS.warning("message_unexpected", kind=type(msg).__name__)


@_dispatch.register
def _(msg: polling.PollAnswer, host: Host, src: ids.Address) -> None:
    host.on_answer(msg, src)


@_dispatch.register
def _(msg: polling.Summary, host: Host, src: ids.Address) -> None:
    host.on_summary(msg, src)


@_dispatch.register
def _(msg: polling.PartsGone, host: Host, src: ids.Address) -> None:
    host.on_parts_gone(msg, src)


@_dispatch.register
def _(msg: polling.Notice, host: Host, src: ids.Address) -> None:
    host.on_notice(msg, src)


@_dispatch.register
def _(msg: polling.LoadView, host: Host, src: ids.Address) -> None:
    host.on_load_view(msg, src)


@contextlib.asynccontextmanager
async def opened(
    cfg: Settings,
    clock: abc.Callable[[], float],
    rng: random.Random,
    carry_out: abc.Callable[[steering.DuePacket], None],
    describe: _audit.Describe,
    stop: asyncio.Event,
    link: _link.Link | None = None,
) -> abc.AsyncIterator[Host]:
    """Run an edge host for the duration of the block.

    :param stop: event that is set when a fault has ended the host
    :param link: queue of the host's own link, which messages are charged to
    """
    host = Host(cfg, clock, rng, carry_out, describe, link)
    async with datagram.open_endpoint(
        cfg.peer_address,
        polling.CODEC,
        host.receive,
        clock,
        on_part=host.on_part,
        on_sent=None if link is None else link.charge,
    ) as endpoint:
        host.attach(endpoint)
        async with service.run_periodically(host.on_tick, TICK_S, clock, stop):
            yield host
