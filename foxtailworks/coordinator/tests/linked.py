"""Coordinators and edge hosts on links with a rate, in virtual time.

The real programs, codecs and fragments; each machine's link has a rate and
a bounded queue in each direction, which drops at random as it fills (RED).
The links of coordinators are policed: what is dropped there is charged as
well, so that nothing passes until the senders pause.
"""

import asyncio
import collections
import heapq
import itertools
import pathlib
import random

from foxtailworks import coordinator
from foxtailworks.coordinator.tests import rated_links
from foxtailworks.coordinator.tests import world
from foxtailworks import datagram
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import edge
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import polling
from foxtailworks import steering
from foxtailworks import upkeep
from foxtailworks import warmstart

HEADER_BYTES = 28
HOST_RATE = 250_000
"""Bytes a second of an edge host's link: 2 Mbit/s."""
CORE_RATE = 21_250_000
"""Bytes a second of a coordinator's link: 170 Mbit/s."""
DELAY_S = 0.001
HEARTBEAT_S = 1.2
EDGE_TICK_S = 0.02
CORE_TICK_S = 0.05
IMPORT_S = 0.04
"""Interval at which a starting coordinator answers with its saved reply."""
IMPORTS = 10
CALLERS_BYTES = 400
CALLERS_INTERVAL_S = 0.05
LEASE_S = 4.6


class Socket:
    """The socket of one process."""

    def __init__(self, net, address):
        self.net = net
        self.address = address
        self.waiting = collections.deque()

    def send(self, data, target):
        self.net.transmit(self.address, target, data)

    # Interface of the early socket.

    def sendto(self, data, peer):
        self.send(data, ids.Address(*peer))

    def recvfrom(self, _size):
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.popleft()


class Process:
    """A running process: its program, its endpoint, and when it ticks."""

    def __init__(self, socket):
        self.socket = socket
        self.program = None
        self.endpoint = None


class Net:
    """All machines, the links between them, and the clock.

    :param folder: existing folder for the coordinators' hints
    """

    def __init__(self, folder, hosts, coordinators, routes, instances, seed=1):
        self.folder = pathlib.Path(folder)
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        self.loss_rate = 0.0
        self.blocked = set()
        self.processes = {}
        self.links = {}
        self.files = {}
        self.received = collections.defaultdict(collections.Counter)
        self.callers = collections.Counter()
        self.core = [world.address(n + 1) for n in range(coordinators)]
        self.edge = [world.edge_address(n) for n in range(hosts)]
        self.routes = routes
        self.tables = {}
        for address in self.core:
            self.links[address] = self._links(CORE_RATE, True)
            self.files[address] = journal.MemoryFiles()
            self._data_folder(address).mkdir()
            self.start_coordinator(address, is_first_start=True)
        for address in self.edge:
            self.links[address] = self._links(HOST_RATE, False)
            self.start_edge(address)
            self.at(self.rng.random(), self._call_host, address)
        self.alive = [self._instance(n) for n in range(instances)]
        for number in range(instances):
            self.at(HEARTBEAT_S * self.rng.random(), self._beat, number)

    def _links(self, rate, is_policed):
        return tuple(
            rated_links.Link(rate, self.rng, is_policed) for _ in range(2)
        )

    # Virtual time.

    def at(self, time, call, *args):
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = end

    # Network.

    def transmit(self, src, dst, data):
        if (src, dst) in self.blocked or self.rng.random() < self.loss_rate:
            return
        if src not in self.links or dst not in self.links:
            return
        size = len(data) + HEADER_BYTES
        sent_at = self.links[src][0].take(size, self.now)
        if sent_at is not None:
            self.at(sent_at + DELAY_S, self._arrive, src, dst, data)

    def _arrive(self, src, dst, data):
        size = len(data) + HEADER_BYTES
        received_at = self.links[dst][1].take(size, self.now)
        if received_at is not None:
            self.received[dst][int(self.now)] += size
            self.at(received_at, self._deliver, src, dst, data)

    def _deliver(self, src, dst, data):
        process = self.processes.get(dst)
        if process is None:
            return
        if process.program is None:
            process.socket.waiting.append((data, (src.ip, src.port)))
        else:
            process.endpoint.receive(data, src)

    def _call_host(self, address):
        """Send a caller's packet to an edge host."""
        passed = self.links[address][1].take(CALLERS_BYTES, self.now)
        self.callers[int(self.now), passed is not None] += 1
        self.at(self.now + CALLERS_INTERVAL_S, self._call_host, address)

    def callers_lost(self, since):
        """Return the share of callers' packets lost from a second on."""
        lost = total = 0
        for (second, passed), count in self.callers.items():
            if second >= since:
                total += count
                lost += count * (not passed)
        return lost / total

    def busiest_bytes(self, since):
        """Return the most bytes that a host received in one second."""
        return max(
            count
            for address in self.edge
            for second, count in self.received[address].items()
            if second >= since
        )

    # Processes.

    def _data_folder(self, address):
        return self.folder / address.ip

    def kill(self, addresses):
        for address in addresses:
            process = self.processes.pop(address, None)
            documents = getattr(process and process.program, "documents", None)
            if documents is not None:
                documents.abort_waiting()

    def start_edge(self, address):
        cfg = edge.Settings(
            ids.HostId(f"e{address}"),
            ids.ZoneId("z1"),
            address,
            tuple(self.core[:3]),
        )
        process = Process(Socket(self, address))
        process.program = host = edge.Host(
            cfg, self._clock, random.Random(self.rng.random()), lambda due: 0
        )
        on_part = getattr(host, "on_part", None)
        process.endpoint = datagram.Endpoint(
            polling.CODEC,
            host.receive,
            self._clock,
            *([on_part] if on_part else []),
        )
        self._run(address, process, EDGE_TICK_S)

    def _run(self, address, process, interval_s):
        process.endpoint.attach(process.socket)
        process.program.attach(process.endpoint)
        self.processes[address] = process
        self.at(
            self.now + interval_s * self.rng.random(),
            self._tick,
            address,
            process,
            interval_s,
        )

    def _clock(self):
        return self.now

    def _tick(self, address, process, interval_s):
        if self.processes.get(address) is process:
            process.program.on_tick(self.now)
            self.at(
                self.now + interval_s, self._tick, address, process, interval_s
            )

    def restart_coordinator(self, address):
        """Begin a start: the saved reply is sent between imports."""
        socket = Socket(self, address)
        process = self.processes[address] = Process(socket)
        reply = warmstart.load(str(self._data_folder(address)))
        early = warmstart.Responder(socket, reply)
        for number in range(1, IMPORTS + 1):
            self.at(self.now + number * IMPORT_S, early.answer_waiting)
        self.at(
            self.now + (IMPORTS + 0.5) * IMPORT_S,
            self._finish_start,
            address,
            process,
            early,
        )

    def _finish_start(self, address, process, early):
        if self.processes.get(address) is process:
            self.start_coordinator(address, False, early)

    def start_coordinator(self, address, is_first_start, early=None):
        cfg = coordinator.Settings(
            f"k{address}",
            ids.ZoneId(f"z{address.ip}"),
            address,
            self._data_folder(address),
            tuple(self.core[:3]),
            is_first_start,
            LEASE_S,
            upkeep.Policy(min_voters=5),
        )
        process = Process(Socket(self, address))
        process.program = program = coordinator.Coordinator(
            cfg,
            self.read_table,
            self._clock,
            random.Random(self.rng.random()),
            lambda: self.files[address],
        )
        process.endpoint = datagram.Endpoint(
            coordinator.CODEC, program.receive, self._clock
        )
        self._run(address, process, CORE_TICK_S)
        keep = getattr(program, "keep_reply", None)
        if early is not None and keep is not None:
            keep(early.reply_datagrams)
        for data, peer in early.take_unanswered() if early else ():
            process.endpoint.receive(data, ids.Address(*peer))

    # Routes and instances.

    def read_table(self, text):
        revision = int(text)
        if revision not in self.tables:
            self.tables[revision] = self._make_table(revision)
        return self.tables[revision]

    def _make_table(self, revision):
        """Return a table in which few routes differ from other revisions."""
        kinds = list(steering.RequestKind)
        return steering.RouteTable(
            revision,
            tuple(
                steering.Route(
                    ids.Address(
                        f"198.18.{number // 200}.{number % 200 + 1}",
                        1024 + number * 7919 % 60_000,
                    ),
                    (steering.Share(ids.ServiceId(f"s{number % 7}"), 1),),
                    kinds[number * 31 % 3],
                    500 + (revision if number < 3 else 0),
                    100,
                    1,
                )
                for number in range(self.routes)
            ),
            15_000,
            frozenset({making.instance().service}),
        )

    def put(self, revision):
        """Put a revision through the leader; return whether it succeeded."""
        return asyncio.run(self._put(revision))

    async def _put(self, revision):
        for _ in range(60):
            leader = self.leader()
            if leader is not None:
                put = leader.documents.put(revision, b"%d" % revision)
                task = asyncio.ensure_future(put)
                for _ in range(40):
                    await asyncio.sleep(0)
                    if task.done():
                        return task.exception() is None
                    self.run(CORE_TICK_S)
                task.cancel()
            self.run(0.1)
        return False

    def leader(self):
        leaders = [
            process.program
            for address, process in self.processes.items()
            if address in self.core
            and process.program is not None
            and process.program.node is not None
            and process.program.node.replica.role.value == "leader"
        ]
        return max(
            leaders, key=lambda item: item.node.replica.term, default=None
        )

    def _instance(self, number):
        return making.instance(
            f"i-{random.Random(number).getrandbits(40):010x}",
            1_774_274_000_000 + number * 7919,
            address=ids.Address(
                f"10.128.{number // 200}.{number % 200 + 1}", 8080
            ),
        )

    def _beat(self, number):
        """Send an instance's heartbeat to any running coordinator."""
        self.at(self.now + HEARTBEAT_S, self._beat, number)
        running = [
            self.processes[address].program
            for address in self.core
            if address in self.processes
            and self.processes[address].program is not None
        ]
        if running:
            registry = self.rng.choice(running).registry
            registry.announce(self.alive[number], self.now)

    def revisions(self):
        """Return how many edge hosts have each revision."""
        return collections.Counter(
            self.processes[address].program.steering.revision
            for address in self.edge
            if address in self.processes
        )

    def seconds_until(self, revision, limit_s=20.0):
        """Run until all edge hosts have a revision; return the seconds."""
        start_at = self.now
        while set(self.revisions()) != {revision}:
            if self.now - start_at > limit_s:
                return limit_s
            self.run(0.05)
        return self.now - start_at

    def live_counts(self):
        """Return the numbers of instances that hosts take for live."""
        return {
            sum(
                host.roster.is_presumed_live(known, self.now)
                and known.instance.state is discovery.InstanceState.READY
                for known in host.roster.all()
            )
            for host in (self.processes[a].program for a in self.edge)
        }
