"""Simulated keepers in virtual time, with faulty network and disks."""

import collections
import errno
import random

from foxtailworks import agreement
from foxtailworks import contracts
from foxtailworks import errors
from foxtailworks import ids
from foxtailworks import journal
from foxtailworks import keeper
from foxtailworks import wire

CODEC = wire.Codec(agreement.MESSAGES)
TICK_S = 0.05
LEADER = agreement.Role.LEADER
HOSTS = [ids.HostId(f"h{n}") for n in range(3)]
ZONE = ids.ZoneId("z")


def address(place):
    return ids.Address("127.0.0.1", 9000 + place)


def document(customer, port):
    return (
        f'{{customer: "{customer}", services: [{{name: "s", kind: "flow",'
        f' address: "127.0.0.1:{port}"}}]}}'
    )


class Cluster:
    """Keepers by place number; a place keeps its disk, not its identity."""

    def __init__(self, size, seed=0, spare=0, compact_entries=6):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.compact_entries = compact_entries
        self.files, self.nodes, self.frozen = {}, {}, set()
        self.names, self.start_count = {}, 0
        self.cuts, self.queue = set(), collections.deque()
        self.documents = {}
        # Observed state that must never change.
        self.committed, self.leaders, self.outcomes = {}, {}, {}
        self.proposed, self.reads, self.edits, self.read_floor = {}, {}, {}, {}
        self.lost_disk = None
        self.hosts, self.in_force = {}, {}
        for host in HOSTS:
            self.start_host(host)
        for place in range(size + spare):
            self.new_disk(place)
            self.start(place)
        members = tuple(
            agreement.Member(self.names[p], f"k{p}", address(p), voter=True)
            for p in range(size)
        )
        self.nodes[0].bootstrap("g", agreement.Membership(members), self.now)
        self.settle(0)

    # Processes and disks

    def new_disk(self, place):
        self.files[place] = journal.MemoryFiles()

    def start(self, place):
        self.start_count += 1
        try:
            disk = journal.Journal(
                self.files[place],
                lambda: ids.KeeperId(f"k{place}-{self.start_count}"),
            )
        except errors.FoxtailError as exc:
            # A torn tail can't be truncated on a disk that rejects writes.
            assert exc.code == errors.Code.JOURNAL_UNWRITABLE, exc
            return
        self.names[place] = disk.keeper
        self.nodes[place] = keeper.Node(
            disk, self.rng, self.now, compact_entries=self.compact_entries
        )

    def kill(self, place):
        self.nodes.pop(place, None)
        self.frozen.discard(place)
        self.files[place].fail_with = None
        self.files[place].crash(self.rng)
        for key in [k for k in self.proposed if k[0] == place]:
            del self.proposed[key]

    def fail_disk(self, place, fault=errno.EIO):
        self.files[place].fail_with = fault

    # Time and messages

    def tick(self, seconds=TICK_S):
        self.now += seconds
        for place in sorted(self.nodes):
            if place not in self.frozen:
                self.step(place, lambda n: n.on_tick(self.now))
        for host, core in self.hosts.items():
            self.deliver_between_hosts(host, core.on_tick(self.now))

    def step(self, place, action):
        """Run one call of a node and process its events."""
        node = self.nodes[place]
        try:
            result = action(node)
        finally:
            if place in self.nodes:
                self.settle(place)
        return result

    def settle(self, place):
        node = self.nodes[place]
        try:
            self.collect(place, node)
            node.flush(self.now)
        except errors.FoxtailError as exc:
            assert exc.code == errors.Code.JOURNAL_UNWRITABLE, exc
            node.take_events()
            self.kill(place)
            return
        self.collect(place, node)

    def collect(self, place, node):
        for event in node.take_events():
            if isinstance(event, agreement.Send):
                self.queue.append(
                    (node.replica.keeper, event.to, CODEC.encode(event.msg))
                )
            elif isinstance(event, keeper.Decided):
                self.record_decided(place, event)
            elif isinstance(event, keeper.Displaced):
                self.proposed.pop((place, event.index), None)
            elif isinstance(event, agreement.RoleChanged):
                self.record_role(node, event)
            elif isinstance(event, agreement.ReadReady):
                floor = self.read_floor.pop((place, event.number), 0)
                assert node.catalogue.view.version >= floor, "stale read"
        self.check_committed(node)

    def deliver(self, position=0, duplicate=False):
        if not self.queue:
            return
        self.queue.rotate(-position)
        src, dst, data = self.queue.popleft()
        self.queue.rotate(position)
        if duplicate:
            self.queue.append((src, dst, data))
        place = next((p for p, n in self.names.items() if n == dst), None)
        if (src, dst) in self.cuts or place not in self.nodes:
            return
        if place in self.frozen:
            # Connections stay open: the message stays in a buffer.
            self.queue.append((src, dst, data))
            return
        msg = CODEC.decode(data)
        self.step(place, lambda n: n.on_message(src, msg, self.now))

    def deliver_all(self, rounds=6):
        for _ in range(rounds):
            for _ in range(len(self.queue)):
                self.deliver()

    def calm(self, seconds=3.0):
        """Run for some seconds without further faults."""
        for _ in range(int(seconds / TICK_S)):
            self.tick()
            self.deliver_all()

    def storm(self, seed, steps, loss=0.2):
        """Lose, delay, duplicate and reorder messages while time passes."""
        rng = random.Random(seed)
        for _ in range(steps):
            if rng.random() < 0.15 or not self.queue:
                self.tick()
            elif rng.random() < loss:
                self.queue.popleft()
            else:
                reach = min(len(self.queue), 8)
                self.deliver(rng.randrange(reach), rng.random() < 0.1)
        while len(self.queue) > 2000:
            self.queue.popleft()

    def cut(self, a, b, both=True):
        """Drop messages from one place to another, or both ways."""
        self.cuts.add((self.names[a], self.names[b]))
        if both:
            self.cuts.add((self.names[b], self.names[a]))

    # Repair

    def lose_disk(self, place):
        """Restart a place with an empty disk, one place at a time."""
        if self.lost_disk is not None:
            return
        self.lost_disk = (place, self.names[place])
        self.kill(place)
        self.new_disk(place)
        self.start(place)

    def repair(self):
        """Add the new identity as learner, then voter; remove the old one."""
        if self.lost_disk is None or self.lost_disk[0] not in self.nodes:
            return
        place, old = self.lost_disk
        name = self.names[place]
        member = [
            agreement.Member(name, f"k{place}", address(place), voter)
            for voter in (False, True)
        ]
        for change in (
            lambda m: m if m.find(name) else m.put(member[0]),
            lambda m: m.put(member[1]),
            lambda m: m.without(old),
        ):
            if not self.change_members(change):
                return
        self.lost_disk = None

    def change_members(self, change):
        """Propose a change at the leader; return whether it was committed."""
        leader = self.leader()
        if leader is None:
            return False
        before = self.nodes[leader].replica.membership
        wanted = change(before)
        if wanted == before:
            return True
        try:
            index = self.step(
                leader, lambda n: n.propose_membership(wanted, self.now)
            )
        except errors.FoxtailError as exc:
            assert exc.code != errors.Code.INTERNAL, exc
            return False
        self.calm(1.0)
        node = self.nodes.get(leader)
        return (
            node is not None
            and node.replica.commit_index >= index
            and set(node.replica.membership.members) == set(wanted.members)
        )

    # Entry hosts

    def start_host(self, host):
        self.in_force.pop(host, None)
        self.hosts[host] = contracts.Distribution(
            host, ZONE, contracts.View(), self.rng, self.now
        )
        self.hosts[host].set_peers({h: ZONE for h in HOSTS})

    def feed_host(self, host, place):
        """Send a host the update that it lacks, from any keeper."""
        if place in self.nodes and place not in self.frozen:
            core = self.hosts[host]
            update = self.nodes[place].catalogue.view.since(core.version)
            self.deliver_between_hosts(host, core.on_update(update, self.now))

    def deliver_between_hosts(self, host, actions):
        """Deliver messages between hosts at once; lose a fifth of them."""
        for action in actions:
            if isinstance(action, contracts.PutInForce):
                version = self.hosts[host].version
                assert version > self.in_force.get(host, 0), (
                    "version in force decreased"
                )
                self.in_force[host] = version
                for item in action.update.contracts:
                    document_key = (item.customer, item.version)
                    text = self.documents.setdefault(
                        document_key, item.document
                    )
                    assert text == item.document, (
                        "two documents for one version"
                    )
            elif self.rng.random() < 0.8:
                core = self.hosts[action.to]
                self.deliver_between_hosts(
                    action.to, core.on_message(host, action.msg, self.now)
                )

    # Operators

    def put(self, place, edit):
        """Submit an edit; return the error code if it is refused."""
        if place not in self.nodes or place in self.frozen:
            return errors.Code.LINK_LOST
        try:
            index = self.step(place, lambda n: n.propose(edit, self.now))
        except errors.FoxtailError as exc:
            assert exc.code != errors.Code.INTERNAL, exc
            return exc.code
        self.edits[edit.edit_id] = edit
        if place in self.nodes and index is not None:
            self.proposed[place, index] = edit.edit_id
        return None

    def read(self, place):
        if place not in self.nodes or place in self.frozen:
            return
        floor = max(
            (a.version for a in self.outcomes.values() if a.accepted),
            default=0,
        )
        try:
            node = self.nodes[place]
            number = node.read(self.now)
            self.read_floor[place, number] = floor
            self.settle(place)
        except errors.FoxtailError as exc:
            assert exc.code != errors.Code.INTERNAL, exc

    # Invariants

    def record_decided(self, place, event):
        wanted = self.proposed.pop((place, event.index), None)
        if event.outcome is None:
            assert wanted is None, "edit decided without an outcome"
            return
        assert wanted in (None, event.outcome.edit_id), (
            "outcome of another edit"
        )
        first = self.outcomes.setdefault(event.outcome.edit_id, event.outcome)
        assert event.outcome == first, "two outcomes for one edit"

    def record_role(self, node, event):
        if event.role is not LEADER:
            return
        first = self.leaders.setdefault(event.term, node.replica.keeper)
        assert first == node.replica.keeper, "two leaders in one term"
        for index, (term, _) in self.committed.items():
            if index > node.replica.base_index:
                assert node.replica.term_at(index) == term, (
                    "leader lacks a committed entry"
                )

    def check_committed(self, node):
        """Check that keepers agree on the newest committed entry."""
        index = node.replica.commit_index
        if not index or node.replica.term_at(index) is None:
            return
        log_state = (node.replica.term_at(index), node.catalogue.snapshot())
        assert self.committed.setdefault(index, log_state) == log_state, (
            "committed logs differ"
        )

    def leader(self):
        """Return the place of the leader with the highest term."""
        found = [
            (n.replica.term, p)
            for p, n in self.nodes.items()
            if n.replica.role is LEADER and p not in self.frozen
        ]
        return max(found, default=(0, None))[1]

    def heal(self):
        """End all faults and check that every outcome still holds."""
        self.cuts.clear()
        self.frozen.clear()
        for place, files in self.files.items():
            files.fail_with = None
            if place not in self.nodes:
                files.crash(self.rng)
                self.start(place)
        self.calm(6.0)
        self.repair()
        assert self.lost_disk is None, (
            "disk not repaired after all faults ended"
        )
        leader = self.leader()
        assert leader is not None, "no leader after all faults ended"
        edit = contracts.Edit(
            ids.EditId(f"last-{self.now}"), ids.CustomerId("z"), 0, ""
        )
        assert self.put(leader, edit) is None
        self.calm(3.0)
        assert edit.edit_id in self.outcomes, (
            "edit not decided after all faults ended"
        )
        members = {
            m.keeper for m in self.nodes[leader].replica.membership.members
        }
        complete = [
            n for p, n in self.nodes.items() if self.names[p] in members
        ]
        states = {n.catalogue.snapshot() for n in complete}
        assert len(states) == 1, "catalogues differ"
        self.feed_host(HOSTS[0], leader)
        self.calm(3.0)
        view = self.nodes[leader].catalogue.view
        assert {h.version for h in self.hosts.values()} == {view.version}
        for edit_id, outcome in self.outcomes.items():
            assert complete[0].catalogue.outcome(edit_id) == outcome
