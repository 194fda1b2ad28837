"""Attribution of lost credit to causes."""

import collections
from collections import abc
import dataclasses
import enum

from foxtailworks.losses import _logs
from foxtailworks.losses import _report

AFTERMATH_S = 2.0
"""Time after a disruption in which losses are attributed to it: callers
repeat what failed."""
MIN_SHARE = 0.995
"""Credit above which a window counts as whole."""


class Cause(enum.Enum):
    """Why credit was lost; an earlier one outweighs a later one."""

    OUTAGE = "no host running"
    """All hosts, or all of a kind, lost power or were killed."""
    PARTITION = "partition"
    """Hosts or zones couldn't reach each other."""
    HOSTS = "hosts failed"
    """Some hosts were killed, frozen, slowed or restarted."""
    UPSTREAMS = "upstreams failed"
    """Upstreams crashed, were slow, refused or gave wrong answers."""
    LOAD = "load"
    """More callers than usual, or elsewhere than usual."""
    CHANGE = "planned change"
    """Upstreams were replaced, added or removed; routes changed."""
    NONE = "no disruption"
    """Nothing was disturbed: queues and chance."""
    UNRECORDED = "not on record"
    """The report of a recorded day has no disruptions; logs tell more."""


_CAUSE_OF_PREFIX = {
    "closing": Cause.OUTAGE,
    "herd_kill": Cause.OUTAGE,
    "zone_cut": Cause.PARTITION,
    "core_cut": Cause.PARTITION,
    "node_cut": Cause.PARTITION,
    "srv_cut": Cause.PARTITION,
    "lossy": Cause.PARTITION,
    "reset_conns": Cause.PARTITION,
    "node_": Cause.HOSTS,
    "roll_term": Cause.HOSTS,
    "after_ack": Cause.HOSTS,
    "replace_core": Cause.HOSTS,
    "disk_": Cause.HOSTS,
    "clock_step": Cause.HOSTS,
    "srv_": Cause.UPSTREAMS,
    "replace_with_reuse": Cause.UPSTREAMS,
    "burst": Cause.LOAD,
    "shift": Cause.LOAD,
}
# The first prefix that fits decides.


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A window of a day with what was lost in it."""

    start_s: float
    """Begin in seconds since the start of traffic."""
    tally: _report.Tally
    """Outcomes of the requests of the window."""
    cause: Cause
    """Heaviest disruption at that time."""
    disruptions: tuple[str, ...]
    """Kinds of all disruptions at that time."""
    starts: int
    """Starts of programs in the window, from logs."""
    unanswered: int
    """SYNs that an upstream didn't answer in time, from logs."""
    rejected: int
    """Packets that hosts didn't forward, from logs."""

    @property
    def lost(self) -> float:
        """Credit lost, in requests of average credit."""
        return self.tally.lost


def explain(
    day: _report.Day, seen: _logs.Sightings = _logs.NO_LOGS
) -> abc.Iterator[Row]:
    """Yield a row for each window of a day."""
    otherwise = Cause.NONE if day.disruptions else Cause.UNRECORDED
    for index, tally in enumerate(day.windows):
        start_s = float(tally.name)
        active = [
            item
            for item in day.disruptions
            if item.start_s < start_s + day.window_s
            and start_s < item.end_s + AFTERMATH_S
        ]
        causes = {cause_of(item) for item in active} | {otherwise}
        yield Row(
            start_s,
            tally,
            next(item for item in Cause if item in causes),
            tuple(dict.fromkeys(item.name for item in active)),
            seen.count(index, "started"),
            seen.count(index, "opening_unanswered"),
            _rejected(seen, index),
        )


def cause_of(disruption: _report.Disruption) -> Cause:
    """Return the cause that a disruption belongs to."""
    for prefix, cause in _CAUSE_OF_PREFIX.items():
        if disruption.name.startswith(prefix):
            return cause
    return Cause.CHANGE


def totals(rows: abc.Iterable[Row]) -> dict[Cause, float]:
    """Return the credit lost by cause, the largest first."""
    found: collections.Counter[Cause] = collections.Counter()
    for row in rows:
        found[row.cause] += row.lost  # type: ignore[assignment]
    return dict(found.most_common())


def _rejected(seen: _logs.Sightings, index: int) -> int:
    """Return the number of packets that hosts didn't forward."""
    if not seen.windows:
        return 0
    return sum(
        count
        for event, count in seen.windows[index].items()
        if event.startswith(("flow_refused", "packet_dropped"))
    )
