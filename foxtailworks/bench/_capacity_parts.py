"""Cores of one entry host, filled to a size, for measuring."""

from collections import abc
import random

import aiocoap

from foxtailworks import coap
from foxtailworks import contracts
from foxtailworks.entry import _admission
from foxtailworks.entry import _replies
from foxtailworks.entry import _services
from foxtailworks import ids
from foxtailworks import limits
from foxtailworks import observe
from foxtailworks import placement
from foxtailworks import proxyv2
from foxtailworks import requests
from foxtailworks import upstreams

ME = ids.HostId("host-0")
ZONE = ids.ZoneId("zone-0")
SERVICE = ids.ServiceId("customer/service")
CUSTOMER = ids.CustomerId("customer")
ANSWER = b"x" * 100
START_S = 100.0
TICKS_PER_S = 20


def _caller(number: int) -> ids.Address:
    """Return one of many callers."""
    return ids.Address(
        f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 4000
    )


def make_placer() -> placement.Placer:
    """Return a placer that stands alone, with seven upstreams."""
    placer = placement.Placer(ME, ZONE, 0.0, ids.Incarnation(1))
    views = tuple(
        placement.UpstreamView(
            ids.UpstreamId(f"10.9.0.{n}:9000#1"), SERVICE, ZONE
        )
        for n in range(1, 8)
    )
    placer.set_upstreams(views, 0.0)
    return placer


def build_flows(count: int) -> placement.Placer:
    """Return a placer with open flows."""
    placer = make_placer()
    for number in range(count):
        placer.on_packet(SERVICE, _caller(number), START_S)
    return placer


def new_flows(count: int) -> abc.Callable[[], object]:
    """Return a run that opens flows."""
    callers = [_caller(number) for number in range(count)]

    def run() -> None:
        placer = make_placer()
        for caller in callers:
            placer.on_packet(SERVICE, caller, START_S)

    return run


def _make_store() -> requests.ClaimStore:
    """Return a member's memory in a roster of three."""
    hosts = tuple((ids.HostId(f"host-{n}"), ZONE) for n in range(3))
    groups = requests.KeyGroups(requests.Roster(1, hosts), 300.0)
    recovery = requests.Recovery(0.0, 300.0, True)
    return requests.ClaimStore(ME, groups, recovery)


def _claim(number: int) -> requests.Claim:
    """Return a claim of its own key."""
    return requests.Claim(
        key=ids.RequestKey(number.to_bytes(16, "big")),
        claim=requests.ClaimId(number + 1),
        attempt=requests.AttemptId(number + 1),
        claimant=ids.HostId("host-1"),
        incarnation=ids.Incarnation(1),
        epoch=1,
        upstream=ids.UpstreamId("10.9.0.1:9000#1"),
        resolvable_after_ms=5_000,
        keep_ms=300_000,
    )


def _outcome(number: int) -> requests.RecordOutcome:
    """Return the outcome of that key."""
    key = ids.RequestKey(number.to_bytes(16, "big"))
    outcome = requests.Outcome(
        requests.ClaimId(number + 1), ANSWER, ids.HostId("host-1")
    )
    return requests.RecordOutcome(key, outcome, 300_000)


def build_keys(count: int) -> requests.ClaimStore:
    """Return a member's memory of claims with their outcomes."""
    store = _make_store()
    for number in range(count):
        host = ids.HostId("host-1")
        store.receive(_claim(number), START_S, host)
        store.receive(_outcome(number), START_S, host)
    return store


def claims(count: int) -> abc.Callable[[], object]:
    """Return a run that takes claims and outcomes off the wire."""
    codec = requests.make_codec()
    data = [
        codec.encode(make(number))
        for number in range(count)
        for make in (_claim, _outcome)
    ]

    def run() -> None:
        store = _make_store()
        for item in data:
            msg = codec.decode(item)
            reply = store.receive(msg, START_S, ids.HostId("host-1"))
            if reply is not None:
                codec.encode(reply)

    return run


def _contract(number: int) -> contracts.Contract:
    """Return the contract of one customer with one service."""
    port = 5000 + number
    service = contracts.Service(
        name=ids.ServiceId("service"),
        kind=contracts.ServiceKind.REQUEST,
        address=f"127.0.0.1:{port}",
    )
    return contracts.Contract(ids.CustomerId(f"customer-{number}"), (service,))


def build_contracts(count: int) -> object:
    """Return a view and an index with services."""
    view = contracts.View()
    index = _services.ServiceIndex()
    items = [_contract(number) for number in range(count)]
    for number, item in enumerate(items, 1):
        text = contracts.render_contract(item)
        view.put(
            contracts.VersionedContract(
                item.customer, ids.Version(number), text
            )
        )
    index.set_contracts(items)
    return view, index


def build_directory(count: int) -> upstreams.Directory:
    """Return a directory with upstreams."""
    directory = upstreams.Directory(ME, ZONE, random.Random(1), 0.0)
    for number in range(count):
        announcement = upstreams.Announcement(
            address=ids.Address(f"10.9.{number >> 8}.{number & 255}", 9000),
            customer=ids.CustomerId(f"customer-{number % 360}"),
            service=ids.ServiceId("service"),
            zone=ids.ZoneId(f"zone-{number % 9}"),
            incarnation=ids.Incarnation(1),
            lifetime_s=3600.0,
        )
        list(directory.announce(announcement, 1.0))
    return directory


def gauges_pass(count: int) -> abc.Callable[[], object]:
    """Return the part of the once-a-second pass that grows."""
    directory = build_directory(count)
    return lambda: len([i for i in directory.all() if i.is_open])


def views_refresh(count: int) -> abc.Callable[[], object]:
    """Return a recomputation of all upstreams, as after a change."""
    directory = build_directory(count)
    placer = placement.Placer(ME, ZONE, 0.0, ids.Incarnation(1))

    def run() -> None:
        views = tuple(
            placement.UpstreamView(
                item.id,
                _services.service_key(item.customer, item.service),
                item.zone,
                item.slots * item.weight,
                item.takes_work,
            )
            for item in directory.all()
            if item.is_open
        )
        placer.set_upstreams(views, START_S)

    return run


class _NoViews:
    """Knows no host."""

    def host_at(self, address: ids.Address) -> None:
        """Know nobody."""

    def address_of(self, host: ids.HostId) -> None:
        """Know nobody."""


def gate_tick(count: int, rng: random.Random) -> abc.Callable[[], object]:
    """Return a second of ticks; each service has a request in flight."""
    index = _services.ServiceIndex()
    index.set_contracts([_contract(number) for number in range(count)])
    now = [START_S]
    admission = _admission.RequestAdmission(
        limits.Shares(ME, 0.0, True, rng),
        _NoViews(),  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        observe.Metrics(),
        rng,
        lambda: now[0],
        lambda call: None,
        lambda call, seconds: None,
    )
    admission.set_limits(index.all(), 690)
    for number, route in enumerate(index.all()):
        admission.offer(_call(route, number))

    def run() -> None:
        for _ in range(TICKS_PER_S):
            now[0] += 1 / TICKS_PER_S
            admission.on_tick(now[0])

    return run


def _call(route: _services.Route, number: int) -> _replies.Call:
    """Return a request that is never answered."""
    msg = coap.compose(aiocoap.CON, number, aiocoap.GET, b"t")
    req = coap.read_request(msg.encode())
    return _replies.Call(
        route=route,
        packet=proxyv2.Packet(_caller(number), route.address, b""),
        req=req,
        request_class=route.class_of(req),
        received_at=START_S,
        deadline_at=START_S + 3600.0,
        attempt=requests.AttemptId(number),
    )
