"""The sum of the load of all hosts, and what remains of it after faults."""

import pytest

from foxtailworks.coordinator import _load
from foxtailworks.coordinator import _messages
from foxtailworks.coordinator.tests import world
from foxtailworks import discovery
from foxtailworks.discovery.tests import making
from foxtailworks import ids
from foxtailworks import polling
from foxtailworks import steering

ONE, TWO = world.address(1), world.address(2)
HOST, OTHER = world.edge_address(1), world.edge_address(2)
STRANGER = ids.Address("10.9.9.9", 1)
DESTINATION = ids.Address("198.18.0.1", 443)


class Pair:
    """Two coordinators; ``HOST`` reports to the first, ``OTHER`` not."""

    def __init__(self, is_enabled=True):
        hosts = {HOST, OTHER}
        self.members = {
            address: _load.LoadExchange(
                address, is_enabled, hosts.__contains__, lambda: (ONE, TWO)
            )
            for address in (ONE, TWO)
        }
        self.is_cut = False
        self.sums_at = {ONE: [], TWO: []}
        self.views = {}

    def report(self, address, source, loads, now):
        msg = polling.LoadReport(polling.pack_loads(loads))
        self.members[address].on_message(msg, source, now)

    def run(self, start, end, offset=0.0, reports=()):
        """Tick both every 50 ms, the second by ``offset`` later."""
        for step in range(round(start * 20), round(end * 20)):
            for report in reports:
                self.report(*report, step / 20)
            self.tick(ONE, step / 20)
            self.tick(TWO, step / 20 + offset)

    def tick(self, address, now):
        for due in self.members[address].due(now):
            if isinstance(due.msg, polling.LoadView):
                loads = polling.unpack_loads(due.msg.loads)
                self.views |= dict.fromkeys(due.targets, loads)
                continue
            self.sums_at[address].append(now)
            other = TWO if address == ONE else ONE
            if not self.is_cut:
                self.members[other].on_message(due.msg, address, now)


REPORTS = ((ONE, HOST, {7: 1, 8: 2}), (TWO, OTHER, {7: 3}))


def test_hosts_get_the_sum_over_all_coordinators():
    pair = Pair()
    pair.run(0.0, 1.0, reports=REPORTS)
    assert pair.views == {HOST: {7: 4, 8: 2}, OTHER: {7: 4, 8: 2}}


def test_coordinators_send_their_sums_at_the_same_time():
    """Guards against a view that is 0.1 s older on average."""
    pair = Pair()
    pair.members[TWO]._next_sum_at = 0.1
    pair.run(0.0, 3.0, offset=0.01, reports=REPORTS)
    pairs = zip(pair.sums_at[ONE][-5:], pair.sums_at[TWO][-5:], strict=True)
    assert all(second - first <= 0.06 for first, second in pairs)
    assert len(pair.sums_at[TWO]) <= 3.0 / polling.LOAD_INTERVAL_S + 2


def test_a_coordinator_that_sends_no_sums_gets_few():
    """Guards against a flood of log lines at those of the last release."""
    pair = Pair()
    sums = []
    for step in range(200):
        due = pair.members[ONE].due(step / 20)
        sums += [item for item in due if TWO in item.targets]
    assert len(sums) == 10.0 / _load.PROBE_S


def test_a_killed_hosts_report_expires():
    pair = Pair()
    pair.run(0.0, 1.0, reports=REPORTS)
    pair.run(1.0, 1.0 + _load.VALID_S + 0.5, reports=REPORTS[1:])
    assert pair.views[OTHER] == {7: 3}


def test_a_coordinator_that_was_frozen_forgets_what_it_knew():
    """Guards against a view of seconds ago that looks like a new one."""
    pair = Pair()
    pair.run(0.0, 1.0, reports=REPORTS)
    pair.run(9.0, 9.3, reports=REPORTS[:1])
    assert pair.views[HOST] == {7: 1, 8: 2}


def test_each_side_of_a_partition_sees_its_own_hosts_until_it_heals():
    pair = Pair()
    pair.run(0.0, 1.0, reports=REPORTS)
    pair.is_cut = True
    pair.run(1.0, 1.0 + _load.VALID_S + 0.5, reports=REPORTS)
    assert pair.views == {HOST: {7: 1, 8: 2}, OTHER: {7: 3}}
    pair.is_cut = False
    pair.run(3.0, 3.5 + _load.PROBE_S, reports=REPORTS)
    assert pair.views[HOST] == pair.views[OTHER] == {7: 4, 8: 2}


FORGED = polling.pack_loads({9: 200})


@pytest.mark.parametrize(
    ("msg", "source"),
    [
        (polling.LoadReport(FORGED), STRANGER),
        (polling.LoadReport(FORGED), TWO),
        (polling.LoadReport(FORGED[:-1]), HOST),
        (_messages.LoadSum(FORGED), STRANGER),
        (_messages.LoadSum(FORGED), HOST),
        (_messages.LoadSum(FORGED * 2), TWO),
    ],
)
def test_forged_and_malformed_messages_are_counted_and_dropped(msg, source):
    pair = Pair()
    pair.run(0.0, 1.0, reports=REPORTS)
    pair.members[ONE].on_message(msg, source, 1.0)
    pair.run(1.0, 1.5, reports=REPORTS)
    assert pair.members[ONE].dropped_count == 1
    assert pair.views[HOST] == {7: 4, 8: 2}


def test_the_number_of_sources_is_bounded():
    counts = _load.LoadCounts()
    for number in range(1, _load.MAX_SOURCES + 1):
        assert counts.put(ids.Address("10.0.0.1", number), {}, 0.0)
    assert not counts.put(HOST, {}, 0.0)
    assert counts.put(ids.Address("10.0.0.1", 1), {}, 0.0)
    counts.expire(_load.VALID_S)
    assert counts.put(HOST, {}, _load.VALID_S)


def test_nothing_is_collected_or_sent_when_disabled():
    pair = Pair(is_enabled=False)
    pair.run(0.0, 1.0, reports=REPORTS)
    assert pair.views == {} and pair.sums_at == {ONE: [], TWO: []}
    assert pair.members[ONE].dropped_count == 0


# The whole path, from the flows of one host to the view of another.


def make_world(shares_load=True):
    """Return a world whose third edge host has a flow at ``i-1``."""
    made = world.World(3, shares_load=shares_load)
    for number in range(4):
        made.add_edge(number)
    made.run(4.0)
    made.running()[0].program.registry.announce(making.instance(), made.now)
    made.run(1.0)
    share = steering.Share(ids.ServiceId("desk"), 1)
    kind = steering.RequestKind.IDEMPOTENT
    route = steering.Route(DESTINATION, (share,), kind, 60_000, 30_000, 1)
    for host in made.edges.values():
        host.steering.put_routes(steering.RouteTable(9, (route,), 60_000))
    return made


def open_flows(made):
    """Open a flow at each host; return the view of the last one."""
    for number, host in enumerate(made.edges.values()):
        flow = steering.FlowKey(number.to_bytes(12, "big"))
        syn = steering.Syn(flow, DESTINATION, 0, b"syn")
        found = host.steering.open(syn, made.now)
        host.steering.forward(
            steering.Packet(flow, DESTINATION, found.token, False), made.now
        )
    return host.steering.load_view


def key_of(name):
    return discovery.InstanceId(name), ids.Incarnation(100)


def test_the_flows_of_all_hosts_reach_each_host():
    made = make_world()
    view = open_flows(made)
    made.run(1.0)
    assert view.is_valid(made.now)
    assert view.load(key_of("i-1")) == 4


def test_after_the_loss_of_a_coordinator_views_come_from_the_next():
    made = make_world()
    view = open_flows(made)
    made.run(1.0)
    lost = next(iter(made.edges.values()))._load._target
    made.stop([world.address(n) for n in (1, 2, 3)].index(lost) + 1)
    for _ in range(40):
        made.step()
        assert view.is_valid(made.now)
    made.run(1.0)
    assert view.load(key_of("i-1")) == 4


def test_a_coordinator_without_the_setting_is_passed_over():
    """Guards a rolling change, in which some don't send views yet."""
    made = make_world()
    view = open_flows(made)
    made.run(1.0)
    target = made.hosts[next(iter(made.edges.values()))._load._target]
    target.program._load._is_enabled = False
    made.run(2.0)
    assert view.is_valid(made.now)
    assert view.load(key_of("i-1")) == 4


def test_without_the_setting_no_view_is_sent():
    made = make_world(shares_load=False)
    view = open_flows(made)
    made.run(1.0)
    assert not view.is_valid(made.now)
