"""What a day would have been worth without any time to start.

Assumes that at the closing fault all hosts are gone for exactly the stated
time, serve everything from then on, and lose nothing else: a request sent in
that time is answered when it ends, late or, after its deadline, not at all.
"""

from collections import abc
import pathlib
import tomllib

import msgspec

from foxtailworks import errors
from foxtailworks.losses import _report

_MS_PER_S = 1000


class Kind(msgspec.Struct, frozen=True):
    """A kind of request."""

    name: str
    """Name, as in the report."""
    target_ms: float = msgspec.field(name="aim_ms")
    """Latency up to which an answer earns the whole credit."""
    deadline_ms: float
    """Time after which the caller no longer waits."""
    credit: float = msgspec.field(name="worth")
    """Credit of an answer in time."""
    late_credit: float = msgspec.field(name="late_worth")
    """Credit of a later answer."""


class Goal(msgspec.Struct, frozen=True):
    """Weights of the parts of a day's worth; they sum to 1."""

    whole: float = msgspec.field(name="mean")
    """Weight of the whole day."""
    windows: float = msgspec.field(name="window")
    """Weight of the two worst windows."""
    kind: float = msgspec.field(name="class")
    """Weight of the worst kind of request."""
    zone: float
    """Weight of the worst zone."""


class Closing(msgspec.Struct, frozen=True):
    """The fault at the end of a day."""

    down_s: float
    """Time for which the hosts are gone, in seconds."""


class PlannedDay(msgspec.Struct, frozen=True):
    """A standard day of a deployment."""

    name: str
    """Name of the day."""
    closing: Closing | None = None
    """Its closing fault, if it has one."""


class Site(msgspec.Struct, frozen=True):
    """A deployment; further fields of its file are ignored."""

    kinds: tuple[Kind, ...] = msgspec.field(name="classes")
    """Kinds of requests."""
    goal: Goal
    """What counts."""
    days: tuple[PlannedDay, ...] = msgspec.field(name="day", default=())
    """Standard days."""

    def down_s(self, day: str) -> float:
        """Return for how long the closing fault of a day takes all hosts.

        :raises FoxtailError: ``REPORT_INVALID`` if there is no such day
        """
        for item in self.days:
            if item.name == day:
                return item.closing.down_s if item.closing else 0.0
        raise errors.FoxtailError(
            errors.Code.REPORT_INVALID, f"the site has no day {day}"
        )


class Ceiling(msgspec.Struct, frozen=True):
    """Parts of a day's worth that no balancer can exceed."""

    whole: float
    """Share of the credit of the whole day."""
    windows: float
    """Mean share of the two worst windows."""
    kind: float
    """Share of the worst kind of request."""
    worth: float
    """Weighted parts less the prices that the day had."""


def read_site(path: pathlib.Path) -> Site:
    """Read the file of a deployment.

    :raises FoxtailError: ``REPORT_INVALID``
    """
    try:
        fields = tomllib.loads(path.read_text())
        return msgspec.convert(fields, Site, strict=False)
    except (OSError, ValueError, msgspec.MsgspecError) as exc:
        raise errors.FoxtailError(
            errors.Code.REPORT_INVALID, str(exc), file=path
        ) from exc


def ceiling(day: _report.Day, site: Site, down_s: float) -> Ceiling:
    """Return the ceiling of a day.

    :param down_s: time for which its closing fault takes all hosts
    """
    begin_s = next(
        (item.start_s for item in day.disruptions if item.name == "closing"),
        float("inf"),
    )
    known = {item.name: item for item in site.kinds}
    owed = {item.name: item.owed for item in day.kinds if item.name in known}
    shares = {
        name: [
            _share(known[name], _times(day, index), begin_s, begin_s + down_s)
            for index in range(len(day.windows))
        ]
        for name in owed
    }
    credit = {name: owed[name] * known[name].credit for name in owed}
    total = sum(credit.values()) or 1.0
    windows = [
        sum(credit[name] * shares[name][index] for name in owed) / total
        for index in range(len(day.windows))
    ]
    counts = [item.owed for item in day.windows]
    whole = _mean(windows, counts)
    worst = sum(sorted(windows)[:2]) / 2
    kind = min((_mean(shares[name], counts) for name in owed), default=1.0)
    goal = site.goal
    parts = goal.whole * whole + goal.windows * worst
    worth = parts + goal.kind * kind + goal.zone * whole - day.price
    return Ceiling(whole, worst, kind, worth)


def _times(day: _report.Day, index: int) -> tuple[float, float]:
    """Return begin and end of a window in seconds."""
    start_s = float(day.windows[index].name)
    return start_s, start_s + day.window_s


def _share(
    kind: Kind, window: tuple[float, float], down_at: float, up_at: float
) -> float:
    """Return the credit share of a kind in a window with an outage.

    Requests are sent evenly.  Those within the target before ``up_at`` are
    answered in time, those within the deadline late.
    """
    in_time_from = max(down_at, up_at - kind.target_ms / _MS_PER_S)
    late_from = max(down_at, up_at - kind.deadline_ms / _MS_PER_S)
    length_s = window[1] - window[0]
    unserved = _overlap_s(window, (down_at, late_from)) / length_s
    late = _overlap_s(window, (late_from, in_time_from)) / length_s
    return 1 - unserved - late * (1 - kind.late_credit / kind.credit)


def _overlap_s(one: tuple[float, float], two: tuple[float, float]) -> float:
    """Return how long two spans of time overlap."""
    return max(0.0, min(one[1], two[1]) - max(one[0], two[0]))


def _mean(values: abc.Sequence[float], weights: abc.Sequence[int]) -> float:
    """Return the weighted mean."""
    total = sum(weights) or 1
    return sum(v * w for v, w in zip(values, weights, strict=True)) / total
