"""Renders the status of keepers, entry hosts and upstreams."""

import collections
from collections import abc

from foxtailworks import contracts
from foxtailworks.ctl import _reports
from foxtailworks.ctl import _tables
from foxtailworks import observe


def render(value: _reports.StatusReport) -> abc.Iterator[_tables.Renderable]:
    """Yield tables of keepers, hosts and upstreams."""
    if value.keepers is None:
        yield f"no keeper answered: {value.keepers_error}"
    else:
        yield from _render_keepers(value.keepers)
    if value.hosts:
        yield _host_table(value.hosts)
        yield _upstream_table(value.hosts)
    yield from _tables.unreached_lines(value.unreached)


def _render_keepers(
    value: contracts.StatusAnswer,
) -> abc.Iterator[_tables.Renderable]:
    """Yield the leader's view of keepers and entry hosts."""
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
                _format_duration(item.lags_s),
                _format_duration(item.silent_s),
                _tables.yes_or_no(item.reachable),
            )
            for item in value.hosts
        ),
    )


def _host_table(hosts: tuple[observe.HostStatus, ...]) -> _tables.Renderable:
    """Return a table of the entry hosts that answered."""
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
                _format_duration(item.in_force_s),
                _format_duration(item.uptime_s),
                _format_peers(item),
                item.open_flows,
                item.in_flight,
                "draining" if item.draining else "serving",
            )
            for item in sorted(hosts, key=lambda host: host.host)
        ),
    )


def _format_peers(host: observe.HostStatus) -> str:
    """Format the number of live hosts, then those in another state."""
    states = collections.Counter(item.state for item in host.peers)
    live = f"{states[observe.PeerState.LIVE] + 1} live"
    others = (
        f"{item.state.value} {item.host}"
        for item in host.peers
        if item.state is not observe.PeerState.LIVE
    )
    return ", ".join((live, *others))


def _upstream_table(
    hosts: tuple[observe.HostStatus, ...],
) -> _tables.Renderable:
    """Return a table of upstreams, summed up over the hosts that list one."""
    lines_by_upstream: dict[str, list[observe.UpstreamLine]] = {}
    for host in hosts:
        for line in host.upstreams:
            lines_by_upstream.setdefault(line.upstream, []).append(line)
    ordered = sorted(
        lines_by_upstream.values(), key=lambda lines: _sort_key(lines[0])
    )
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
        (_upstream_row(lines) for lines in ordered),
    )


def _sort_key(line: observe.UpstreamLine) -> tuple[str, ...]:
    """Return the key by which upstreams are sorted."""
    return (line.customer, line.service, line.zone, line.upstream)


def _upstream_row(lines: list[observe.UpstreamLine]) -> tuple[object, ...]:
    """Return the cells of one upstream.

    :param lines: what each host reports about it
    """
    first = lines[0]
    states = collections.Counter(item.state.value for item in lines)
    state_texts = (
        name if count == len(lines) else f"{name} on {count} hosts"
        for name, count in sorted(states.items())
    )
    return (
        first.upstream,
        first.customer,
        first.service,
        first.zone,
        ", ".join(state_texts),
        f"{max(item.load for item in lines):.2f}",
        sum(item.flows for item in lines),
        sum(item.in_flight for item in lines),
    )


def _format_duration(value: float) -> str:
    """Format a duration in seconds."""
    if value < 0.05:
        return "-"
    return f"{value:.1f} s" if value < 100 else f"{value:.0f} s"
