"""One edge host: polls all coordinators and steers packets."""

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
"""Half the time after which an unanswered opening is placed again."""
POLL_S = 0.25
"""Each coordinator is asked so often: a change is known within the sum of
this and the agreement's heartbeat, far below the seconds allowed."""
FIRST_POLL_S = 0.06
"""The same while this host has no routes and can do nothing else."""
STARTING_S = 1.0
"""A host that has just started calls itself ready so long without routes:
routers ask twice a second, routes come within a tenth of one, and openings
that come before are held."""
REGAINED_S = 1.0
"""A coordinator that was silent for so long, four polls, was lost."""
FORGET_S = 60.0
"""A coordinator silent for so long is polled no more, unless a seed."""
MAX_COORDINATORS = 64
"""Cap of the addresses polled."""

_EVENTS = logs.Events("edge")


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one edge host."""

    host: ids.HostId
    """Its name."""
    zone: ids.ZoneId
    """Its availability zone."""
    peer_address: ids.Address
    """UDP, where coordinators' answers come."""
    seeds: tuple[ids.Address, ...]
    """Listen addresses of coordinators to begin with."""

    def __post_init__(self) -> None:
        """Refuse settings without a way to the coordinators."""
        if not self.seeds:
            raise errors.FoxtailError(
                errors.Code.SETTINGS_INVALID, "seeds: at least one is needed"
            )


class Host:
    """Driven by packets, datagrams and time.

    :param clock: seconds that also pass while the process is stopped
    :param pass_on: carries out what became of openings that had to wait
    :param describe: names a flow for people
    """

    def __init__(
        self,
        cfg: Settings,
        clock: abc.Callable[[], float],
        rng: random.Random,
        pass_on: abc.Callable[[steering.DueSyn], None],
        describe: _audit.Describe = bytes.hex,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self.roster = discovery.Roster()
        self.steering = steering.Steering(self.roster, cfg.zone, rng)
        self._tables = steering.TableCodec()
        self._started_at = clock()
        self._seeds = frozenset(cfg.seeds)
        self._heard = dict.fromkeys(cfg.seeds, self._started_at)
        self._turns: dict[ids.Address, int] = {}
        self._endpoint: datagram.Endpoint | None = None
        self._pass_on = pass_on
        self._audit = _audit.Audit(describe)
        self._leaving = False

    def attach(self, endpoint: datagram.Endpoint) -> None:
        """Send through ``endpoint`` from now on."""
        self._endpoint = endpoint

    @property
    def is_ready(self) -> bool:
        """Whether callers' packets should come here."""
        if self._leaving:
            return False
        is_starting = self._clock() - self._started_at < STARTING_S
        return is_starting or bool(self.steering.revision)

    def metrics(self) -> bytes:
        """Return the figures in the text format that scrapers read."""
        now = self._clock()
        gauges = {
            "revision": ("Routes in force.", float(self.steering.revision)),
            "flows": ("Flows remembered.", float(self.steering.flows)),
            "coordinators": (
                "Coordinators that answer.",
                float(self.roster.answering_count(now)),
            ),
        }
        return _scrape.render(self._audit.figures, gauges)

    def withdraw(self) -> None:
        """Take no new callers; packets that still come are served."""
        self._leaving = True

    def put_seeds(self, seeds: tuple[ids.Address, ...]) -> None:
        """Take other seeds after a change of the settings."""
        self._seeds = frozenset(seeds)
        for address in seeds:
            self._heard.setdefault(address, self._clock())

    def take(self, msg: object, src: ids.Address) -> None:
        """Take a coordinator's answer."""
        if not isinstance(msg, polling.PollAnswer):
            _EVENTS.warning("message_unexpected", kind=type(msg).__name__)
            return
        now = self._clock()
        self._note_heard(src, now)
        if not self.roster.merge(src, msg.changes, now):
            _EVENTS.debug("changes_missed", coordinator=src)
        self.steering.suspicions.put_suspected(msg.suspected, now)
        self._learn(msg.coordinators, now)
        if msg.table and msg.revision > self.steering.revision:
            self._put_routes(msg, src)

    def on_tick(self, now: float) -> None:
        """Let time pass."""
        for due in self.steering.on_tick(now):
            self._pass_on(due)
        self._audit.take(self.steering.events.take(), now)
        self.roster.on_tick(now)
        self._forget(now)
        self._poll_due(now)

    def _poll_due(self, now: float) -> None:
        """Ask those whose turn it is, all of them when there is news.

        Turns are spread, so that what one host reports is heard from some
        coordinator long before each has been asked.
        """
        is_new = not self.steering.revision
        interval_s = FIRST_POLL_S if is_new else POLL_S
        has_news = self.steering.suspicions.has_updates
        self.steering.suspicions.has_updates = False
        count = max(1, len(self._heard))
        for place, address in enumerate(self._heard):
            turn = int(now / interval_s + place / count)
            if has_news or turn != self._turns.get(address):
                self._turns[address] = turn
                self._poll(address, now)

    def _poll(self, address: ids.Address, now: float) -> None:
        """Ask one coordinator what is new."""
        assert self._endpoint is not None
        session, mark = self.roster.position(address)
        msg = polling.Poll(
            self._cfg.host,
            session,
            mark,
            self.steering.revision,
            self.steering.reportable_suspects(now),
        )
        self._endpoint.send(msg, address)

    def _put_routes(self, msg: polling.PollAnswer, src: ids.Address) -> None:
        """Put new routes in force."""
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

    def _note_heard(self, src: ids.Address, now: float) -> None:
        """Note an answer; one after a long silence shows a healed cut."""
        if now - self._heard.get(src, now) > REGAINED_S:
            self.steering.suspicions.clear()
            _EVENTS.info("coordinator_regained", coordinator=src)
        self._heard[src] = now

    def _learn(self, addresses: abc.Iterable[ids.Address], now: float) -> None:
        """Poll the coordinators that another one names, too."""
        for address in addresses:
            if len(self._heard) < MAX_COORDINATORS:
                self._heard.setdefault(address, now)

    def _forget(self, now: float) -> None:
        """Poll no more who is long silent."""
        for address, heard_at in list(self._heard.items()):
            if address not in self._seeds and now - heard_at > FORGET_S:
                del self._heard[address]
                self._turns.pop(address, None)


@contextlib.asynccontextmanager
async def opened(
    cfg: Settings,
    clock: abc.Callable[[], float],
    rng: random.Random,
    pass_on: abc.Callable[[steering.DueSyn], None],
    describe: _audit.Describe,
    stop: asyncio.Event,
) -> abc.AsyncIterator[Host]:
    """Run an edge host until the end of the block.

    :param stop: set when a fault has ended the host
    """
    host = Host(cfg, clock, rng, pass_on, describe)
    async with datagram.open_endpoint(
        cfg.peer_address, polling.CODEC, host.take, clock
    ) as endpoint:
        host.attach(endpoint)
        async with service.run_periodically(host.on_tick, TICK_S, clock, stop):
            yield host
