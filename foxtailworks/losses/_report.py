"""The report of a played day."""

import pathlib

import msgspec

from foxtailworks import errors


class Tally(msgspec.Struct, frozen=True):
    """Outcomes of the requests in a window, a zone or of a kind."""

    name: str
    """Start of the window in seconds, or name of the zone or kind."""
    owed: int = msgspec.field(name="n")
    """Requests that were to be served."""
    in_time: int = msgspec.field(name="in_aim")
    """Requests answered within their latency objective."""
    late: int
    """Requests answered later, for a smaller credit."""
    refused: int
    """Requests that were refused."""
    failed: int
    """Requests without a successful answer."""
    share: float = msgspec.field(name="worth")
    """Credit earned as a share of the credit owed."""

    @property
    def lost(self) -> float:
        """Credit lost, in requests of average credit."""
        return self.owed * (1 - self.share)


class Disruption(msgspec.Struct, frozen=True):
    """A disruption or planned work."""

    start_s: float = msgspec.field(name="at_s")
    """Begin, in seconds since the start of traffic."""
    end_s: float = msgspec.field(name="to_s")
    """End, in seconds since the start of traffic."""
    kind: str
    """Kind, with its variant in parentheses."""
    target: str = msgspec.field(name="what", default="")
    """Hosts, zones or number of upstreams that it concerns."""

    @property
    def name(self) -> str:
        """Kind without the variant."""
        return self.kind.partition(" ")[0]


class Connectivity(msgspec.Struct, frozen=True):
    """Which hosts the day had, as far as they were ever disconnected."""

    core: tuple[str, ...] = ()
    """Names of the hosts with a disk."""
    out: dict[str, str] = {}
    """Times of disconnection of each host."""


class Day(msgspec.Struct, frozen=True):
    """A played day; further fields of its report are ignored."""

    whole: Tally = msgspec.field(name="all")
    """All requests of the day."""
    windows: tuple[Tally, ...]
    """Requests by the time at which they were first sent."""
    zones: tuple[Tally, ...]
    """Requests by the callers' availability zone."""
    kinds: tuple[Tally, ...] = msgspec.field(name="classes")
    """Requests by kind."""
    disruptions: tuple[Disruption, ...] = msgspec.field(name="events")
    """Disruptions and planned work in order of time."""
    worth: float = msgspec.field(name="G", default=0.0)
    """Worth of the day: weighted parts less prices."""
    prices: tuple[tuple[str, float, float], ...] = ()
    """Prices: name, amount, and what is taken off for it."""
    connectivity: Connectivity | None = msgspec.field(
        name="touch", default=None
    )
    """Hosts of the day; None on a recorded day."""

    @property
    def price(self) -> float:
        """Sum of all prices."""
        return sum(taken for _, _, taken in self.prices)

    @property
    def hosts(self) -> frozenset[str]:
        """Names of the hosts that the report mentions."""
        known = self.connectivity or Connectivity()
        return frozenset({*known.core, *known.out})

    @property
    def window_s(self) -> float:
        """Length of a window in seconds."""
        first, second = self.windows[:2]
        return float(second.name) - float(first.name)


def read_report(path: pathlib.Path) -> Day:
    """Read the report of a day.

    :raises FoxtailError: ``REPORT_INVALID``
    """
    try:
        day = msgspec.json.decode(path.read_bytes(), type=Day)
        starts = [float(item.name) for item in day.windows]
    except (OSError, ValueError, msgspec.MsgspecError) as exc:
        raise errors.FoxtailError(
            errors.Code.REPORT_INVALID, str(exc), file=path
        ) from exc
    if len(starts) < 2 or starts != sorted(set(starts)):
        raise errors.FoxtailError(
            errors.Code.REPORT_INVALID,
            "the report needs two windows or more, in order of time",
            file=path,
        )
    return day
