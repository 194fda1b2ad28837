"""What stand-ins write down, one JSON object a line."""

from collections import abc
import contextlib
import dataclasses
import json
import pathlib
import typing

_Record = typing.TypeVar("_Record")


@dataclasses.dataclass(frozen=True)
class RunRecord:
    """One execution of a request on an upstream."""

    upstream: str
    """Name of the stand-in."""
    service: str
    """Service that it belongs to."""
    request: str
    """Id that the caller gave the request."""
    method: str
    """GET or POST."""
    at: float
    """Wall clock, seconds."""


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """What a caller saw of one request."""

    request: str
    """Id of the request, unique in the run."""
    service: str
    """Service that was called."""
    method: str
    """GET or POST."""
    outcome: str
    """whole, not_run, unknown, refused, lost or crossed."""
    latency_ms: float
    """From the first send to the final answer."""
    attempts: int
    """Messages sent for it, retransmissions not counted."""
    at: float
    """Wall clock of the first send, seconds."""
    upstream: str = ""
    """Who answered, when the answer was whole."""


@dataclasses.dataclass(frozen=True)
class FlowRecord:
    """What a caller saw of one flow."""

    flow: str
    """Id of the flow."""
    service: str
    """Service that was called."""
    sent: int
    """Datagrams sent."""
    answered: int
    """Datagrams answered."""
    upstreams: tuple[str, ...]
    """Every upstream that answered, in order of appearance."""
    crossed: int
    """Answers that belong to another flow."""


@contextlib.contextmanager
def writing(
    path: pathlib.Path,
) -> abc.Iterator[abc.Callable[[typing.Any], None]]:
    """Open a file of records; each is flushed as it is written."""
    with path.open("a", buffering=1) as file:

        def write(record: typing.Any) -> None:
            file.write(json.dumps(dataclasses.asdict(record)) + "\n")

        yield write


def read_records(
    paths: abc.Iterable[pathlib.Path], kind: type[_Record]
) -> abc.Iterator[_Record]:
    """Yield the records of one kind in ``paths``."""
    for path in paths:
        for line in path.read_text().splitlines():
            yield kind(**json.loads(line))
