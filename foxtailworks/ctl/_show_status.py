"""Shows the status of keepers, entry hosts and upstreams."""

import collections
from collections import abc

from foxtailworks import contracts
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _tables
from foxtailworks import observe


def parts(value: _reports.StatusReport) -> abc.Iterator[_tables.Shown]:
    """Yield tables of keepers, hosts and upstreams."""
    if value.keepers is None:
        yield f"no keeper answered: {value.keepers_error}"
    else:
        yield from _keepers(value.keepers)
    if value.hosts:
        yield _hosts(value.hosts)
        yield _upstreams(value.hosts)
    yield from _tables.unreached(value.unreached)


def _keepers(value: contracts.StatusAnswer) -> abc.Iterator[_tables.Shown]:
    """Yield what the leader knows."""
    yield f"last accepted change: version {value.version}"
    yield f"roster epoch {value.epoch}, {len(value.hosts)} hosts"
    yield _tables.keeper_table(value.keepers)
    yield _tables.table(
        ("host", "zone", "address", "in force", "lags", "silent", "reached"),
        (
            (
                item.host,
                item.zone,
                item.address,
                item.in_force,
                _seconds(item.lags_s),
                _seconds(item.silent_s),
                _tables.yes(item.reachable),
            )
            for item in value.hosts
        ),
    )


def _hosts(hosts: tuple[observe.HostStatus, ...]) -> _tables.Shown:
    """Return a row for each host that answered."""
    return _tables.table(
        (
            "host",
            "zone",
            "in force",
            "since",
            "up",
            "hosts",
            "flows",
            "in flight",
            "state",
        ),
        (
            (
                item.host,
                item.zone,
                item.in_force,
                _seconds(item.in_force_s),
                _seconds(item.uptime_s),
                _peers(item),
                item.open_flows,
                item.in_flight,
                "draining" if item.draining else "serving",
            )
            for item in sorted(hosts, key=lambda host: host.host)
        ),
    )


def _peers(host: observe.HostStatus) -> str:
    """Return how many hosts are live, and who isn't."""
    states = collections.Counter(item.state for item in host.peers)
    live = f"{states[observe.PeerState.LIVE] + 1} live"
    others = (
        f"{item.state.value} {item.host}"
        for item in host.peers
        if item.state is not observe.PeerState.LIVE
    )
    return ", ".join((live, *others))


def _upstreams(hosts: tuple[observe.HostStatus, ...]) -> _tables.Shown:
    """Return a row for each upstream, over the hosts that know it."""
    known: dict[str, list[observe.UpstreamLine]] = {}
    for host in hosts:
        for line in host.upstreams:
            known.setdefault(line.upstream, []).append(line)
    ordered = sorted(known.values(), key=lambda lines: _place(lines[0]))
    return _tables.table(
        (
            "upstream",
            "customer",
            "service",
            "zone",
            "state",
            "load",
            "flows",
            "in flight",
        ),
        (_upstream(lines) for lines in ordered),
    )


def _place(line: observe.UpstreamLine) -> tuple[str, ...]:
    """Return what upstreams are ordered by."""
    return (line.customer, line.service, line.zone, line.upstream)


def _upstream(lines: list[observe.UpstreamLine]) -> tuple[object, ...]:
    """Return the row of one upstream."""
    first = lines[0]
    states = collections.Counter(item.state.value for item in lines)
    shown = (
        name if count == len(lines) else f"{name} on {count} hosts"
        for name, count in sorted(states.items())
    )
    return (
        first.upstream,
        first.customer,
        first.service,
        first.zone,
        ", ".join(shown),
        f"{max(item.load for item in lines):.2f}",
        sum(item.flows for item in lines),
        sum(item.in_flight for item in lines),
    )


def _seconds(value: float) -> str:
    """Return a duration."""
    if value < 0.05:
        return "-"
    return f"{value:.1f} s" if value < 100 else f"{value:.0f} s"
