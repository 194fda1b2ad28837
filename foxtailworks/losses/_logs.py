"""What the hosts of a day logged, by window of time."""

import collections
from collections import abc
import dataclasses
import pathlib
import re

from foxtailworks import errors
from foxtailworks.losses import _report

MAX_GAP_S = 10.0
"""Longest time before the end of the day at which complete logs may end."""
_LINE = re.compile(
    r"\s*(?P<second>-?\d+\.\d+) (?P<host>\S+) time=\S+ .*?"
    r"\bevent=(?P<event>\w+)"
    r"(?:.*? reason=(?P<reason>\w+))?"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Sightings:
    """Numbers of logged events by window."""

    windows: tuple[collections.Counter[str], ...]
    """For each window of the day the events, refusals with their reason."""

    def count(self, index: int, event: str) -> int:
        """Return how often an event was logged in a window."""
        return self.windows[index][event] if self.windows else 0


NO_LOGS = Sightings(())
"""Used when no logs were given."""


def read_logs(
    paths: abc.Iterable[pathlib.Path], day: _report.Day
) -> Sightings:
    """Count the events in the logs of a day.

    A line is the time in seconds, the host's name and the logged line;
    others are skipped.

    :raises FoxtailError: ``REPORT_INVALID`` for logs that can't be read, end
        before the day or belong to another one
    """
    counts = [collections.Counter[str]() for _ in day.windows]
    first_s = float(day.windows[0].name)
    for path in paths:
        hosts, last_s = set(), float("-inf")
        for second, host, event in _events(path):
            hosts.add(host)
            last_s = max(last_s, second)
            index = int((second - first_s) // day.window_s)
            if 0 <= index < len(counts):
                counts[index][event] += 1
        _check(path, day, hosts, last_s)
    return Sightings(tuple(counts))


def _events(path: pathlib.Path) -> abc.Iterator[tuple[float, str, str]]:
    """Yield second, host and event of each logged line of a file."""
    try:
        with path.open(errors="replace") as file:
            for line in file:
                found = _LINE.match(line)
                if found is not None:
                    reason = found["reason"]
                    event = found["event"] + (f":{reason}" if reason else "")
                    yield float(found["second"]), found["host"], event
    except OSError as exc:
        raise _invalid(str(exc), path) from exc


def _check(
    path: pathlib.Path, day: _report.Day, hosts: set[str], last_s: float
) -> None:
    """Reject a log that isn't a complete one of this day."""
    if not hosts:
        raise _invalid("no line has a time, a host and an event", path)
    if day.hosts and not hosts <= day.hosts:
        unknown = min(hosts - day.hosts)
        raise _invalid(f"host {unknown} isn't one of the report's", path)
    end_s = float(day.windows[-1].name)
    if last_s < end_s - MAX_GAP_S:
        raise _invalid(
            f"the log ends at {last_s:g} s, the day at {end_s:g} s", path
        )


def _invalid(detail: str, path: pathlib.Path) -> errors.FoxtailError:
    """Return the error for a log that can't be used."""
    return errors.FoxtailError(errors.Code.REPORT_INVALID, detail, file=path)
