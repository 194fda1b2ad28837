"""Load of upstreams: reports of edge hosts, and the view of all hosts.

Designed for 72 hosts and 75 upstreams with 780 new flows a second, where an
entry of five bytes for each upstream in use, sent five times a second, takes
2 KB/s for each host.
"""

from collections import abc
import dataclasses
import struct

from foxtailworks import errors

LOAD_INTERVAL_S = 0.2
"""Interval between the reports of a host and between the views that it gets:
a slow upstream of 2 slots with a queue of 8 fills within 0.3 s."""
REPORT_AFTER_S = 0.12
"""Time from a view to the next report, which then arrives just before the
coordinators' next sums; reports at any time made a view 0.1 s older."""
MAX_LISTED = 200
"""Maximum number of upstreams in a report or a view: they fit into one
datagram."""
_MAX_COUNT = 255
_ENTRY = struct.Struct(">IB")
# Token of the upstream and number of its requests.


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests in progress that an edge host has placed.

    It replaces the host's earlier report; an empty one withdraws it. It is
    also a request for views until it expires.
    """

    loads: bytes
    """Packed counts by token of the upstream, see :func:`pack_loads`."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """Requests in progress at the most loaded upstreams, of all hosts."""

    loads: bytes
    """Packed counts by token of the upstream, see :func:`pack_loads`."""


def pack_loads(
    loads: abc.Mapping[int, int], max_listed: int = MAX_LISTED
) -> bytes:
    """Return counts by token as bytes, those of the most loaded upstreams.

    Counts above 255 are sent as 255, which is far above a full upstream.
    """
    listed = sorted(loads.items(), key=_by_load)[:max_listed]
    return b"".join(
        _ENTRY.pack(token, min(count, _MAX_COUNT))
        for token, count in listed
        if count > 0
    )


def unpack_loads(data: bytes, max_listed: int = MAX_LISTED) -> dict[int, int]:
    """Return the counts by token that :func:`pack_loads` packed.

    :raises FoxtailError: ``MESSAGE_MALFORMED`` on a partial entry, too many
        entries, a repeated token, or a token or count of 0
    """
    count, rest = divmod(len(data), _ENTRY.size)
    if rest or count > max_listed:
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "loads: wrong size", size=len(data)
        )
    loads = dict(_ENTRY.iter_unpack(data))
    if len(loads) != count or 0 in loads or 0 in loads.values():
        raise errors.FoxtailError(
            errors.Code.MESSAGE_MALFORMED, "loads: wrong token or count"
        )
    return loads


def _by_load(item: tuple[int, int]) -> tuple[int, int]:
    """Return the order of an entry: the most loaded upstream first."""
    token, count = item
    return -count, token
