"""Edge host that polls all coordinators and routes packets."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random

from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks.edge import _audit
from foxtailworks.edge import _scrape
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import logs
from foxtailworks import polling
from foxtailworks import service
from foxtailworks import steering

TICK_S = 0.02
"""Half the minimum timeout after which an unanswered SYN is placed again."""
POLL_S = 0.25
"""Interval between two polls of a coordinator: a change arrives within the
sum of this and the agreement's heartbeat, far below the seconds allowed."""
FIRST_POLL_S = 0.06
"""The same while this host has no routes and can't serve callers."""
STARTING_S = 1.0
"""Time after its start for which a host is ready without routes: routers
check twice a second, routes arrive within a tenth of a second, and SYNs
received before them are held."""
REGAINED_S = 1.0
"""Time without an answer, four polls, after which a coordinator was lost."""
DROP_AFTER_S = 60.0
"""Time without an answer after which a coordinator that isn't a seed is no
longer polled."""
MAX_COORDINATORS = 64
"""Maximum number of coordinators polled."""

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

    def __post_init__(self) -> None:
        """Reject settings without a seed coordinator."""
        if not self.seeds:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "seeds: at least one is needed"
            )


class Host:
    """Edge host without sockets, driven by datagrams and ticks.

    :param clock: seconds that also pass while the process is stopped
    :param carry_out: carries out the decisions on SYNs that had to wait
    :param describe: returns a readable name of a flow
    """

    def __init__(
        self,
        cfg: Settings,
        clock: abc.Callable[[], float],
        rng: random.Random,
        carry_out: abc.Callable[[steering.DueSyn], None],
        describe: _audit.Describe = bytes.hex,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self.roster = discovery.Roster()
        self.steering = steering.Steering(self.roster, cfg.zone, rng)
        self._tables = steering.TableCodec()
        self._started_at = clock()
        self._seeds = frozenset(cfg.seeds)
        self._last_answer_at = dict.fromkeys(cfg.seeds, self._started_at)
        self._poll_slots: dict[ids.Address, int] = {}
        self._endpoint: datagram.Endpoint | None = None
        self._carry_out = carry_out
        self._audit = _audit.Audit(describe)
        self._is_leaving = False

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
        gauges = {
            "revision": ("Routes in force.", float(self.steering.revision)),
            "flows": ("Flows remembered.", float(self.steering.flow_count)),
            "coordinators": (
                "Coordinators that answer.",
                float(self.roster.answering_count(now)),
            ),
        }
        return _scrape.render(self._audit.metrics, gauges)

    def withdraw(self) -> None:
        """Stop being ready; packets that still arrive are served."""
        self._is_leaving = True

    def put_seeds(self, seeds: tuple[ids.Address, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = frozenset(seeds)
        for address in seeds:
            self._last_answer_at.setdefault(address, self._clock())

    def receive(self, msg: object, src: ids.Address) -> None:
        """Process a coordinator's answer to a poll."""
        if not isinstance(msg, polling.PollAnswer):
            _EVENTS.warning("message_unexpected", kind=type(msg).__name__)
            return
        now = self._clock()
        self._record_answer(src, now)
        if not self.roster.merge(src, msg.changes, now):
            _EVENTS.debug("changes_missed", coordinator=src)
        self.steering.suspicions.put_suspected(msg.suspected, now)
        self._add_coordinators(msg.coordinators, now)
        if msg.table and msg.revision > self.steering.revision:
            self._put_routes(msg, src)

    def on_tick(self, now: float) -> None:
        """Run the periodic work of the host."""
        for due in self.steering.on_tick(now):
            self._carry_out(due)
        self._audit.record(self.steering.events.take(), now)
        self.roster.on_tick(now)
        self._drop_unresponsive(now)
        self._poll_if_due(now)

    def _poll_if_due(self, now: float) -> None:
        """Poll the coordinators that are due, or all after a new suspicion.

        The polls of different coordinators are spread over the interval, so
        that what another host reports arrives from one of them well before
        all were polled.
        """
        lacks_routes = not self.steering.revision
        interval_s = FIRST_POLL_S if lacks_routes else POLL_S
        has_updates = self.steering.suspicions.has_updates
        self.steering.suspicions.has_updates = False
        count = max(1, len(self._last_answer_at))
        for index, address in enumerate(self._last_answer_at):
            slot = int(now / interval_s + index / count)
            if has_updates or slot != self._poll_slots.get(address):
                self._poll_slots[address] = slot
                self._poll(address, now)

    def _poll(self, address: ids.Address, now: float) -> None:
        """Poll one coordinator for changes since the last answer."""
        assert self._endpoint is not None
        session, version = self.roster.position(address)
        msg = polling.Poll(
            self._cfg.host,
            session,
            version,
            self.steering.revision,
            self.steering.reportable_suspects(now),
        )
        self._endpoint.send(msg, address)

    def _put_routes(self, msg: polling.PollAnswer, src: ids.Address) -> None:
        """Decode routes and put them in force."""
        try:
            table = self._tables.decode(msg.table)
        except errors.FoxtailError as exc:
            _EVENTS.failed("routes_unreadable", exc)
            return
        if self.steering.put_routes(table):
            _EVENTS.info(
                "routes_in_force",
                revision=table.revision,
                routes=len(table.routes),
                coordinator=src,
            )

    def _record_answer(self, src: ids.Address, now: float) -> None:
        """Record an answer; clear all suspicions after a healed partition.

        An answer of a coordinator that was lost shows that one has healed.
        """
        if now - self._last_answer_at.get(src, now) > REGAINED_S:
            self.steering.suspicions.clear()
            _EVENTS.info("coordinator_regained", coordinator=src)
        self._last_answer_at[src] = now

    def _add_coordinators(
        self, addresses: abc.Iterable[ids.Address], now: float
    ) -> None:
        """Add coordinators that another one lists to those polled."""
        for address in addresses:
            if len(self._last_answer_at) < MAX_COORDINATORS:
                self._last_answer_at.setdefault(address, now)

    def _drop_unresponsive(self, now: float) -> None:
        """Stop polling coordinators that are unresponsive, except seeds."""
        for address, answered_at in list(self._last_answer_at.items()):
            if address not in self._seeds and now - answered_at > DROP_AFTER_S:
                del self._last_answer_at[address]
                self._poll_slots.pop(address, None)


@contextlib.asynccontextmanager
async def opened(
    cfg: Settings,
    clock: abc.Callable[[], float],
    rng: random.Random,
    carry_out: abc.Callable[[steering.DueSyn], None],
    describe: _audit.Describe,
    stop: asyncio.Event,
) -> abc.AsyncIterator[Host]:
    """Run an edge host for the duration of the block.

    :param stop: event that is set when a fault has ended the host
    """
    host = Host(cfg, clock, rng, carry_out, describe)
    async with datagram.open_endpoint(
        cfg.peer_address, polling.CODEC, host.receive, clock
    ) as endpoint:
        host.attach(endpoint)
        async with service.run_periodically(host.on_tick, TICK_S, clock, stop):
            yield host
