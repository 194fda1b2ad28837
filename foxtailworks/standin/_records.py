"""Records that the simulated programs write, one JSON object a line."""

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
    """Name of the simulated upstream."""
    service: str
    """Service that it belongs to."""
    request: str
    """Id that the caller gave the request."""
    method: str
    """GET or POST."""
    at: float
    """Start of the execution, Unix time in seconds."""


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """Outcome of one request for its caller."""

    request: str
    """Id of the request, unique in the run."""
    service: str
    """Service that was called."""
    method: str
    """GET or POST."""
    outcome: str
    """One of whole, not_run, unknown, refused, lost and crossed."""
    latency_ms: float
    """Time from the first send to the final answer, in milliseconds."""
    attempts: int
    """Messages sent for the request, without retransmissions."""
    at: float
    """Time of the first send, Unix time in seconds."""
    upstream: str = ""
    """Upstream that answered, if the outcome is ``whole``."""


@dataclasses.dataclass(frozen=True)
class FlowRecord:
    """Outcome of one flow for its caller."""

    flow: str
    """Id of the flow."""
    service: str
    """Service that was called."""
    sent: int
    """Number of datagrams sent, without retransmissions."""
    answered: int
    """Number of datagrams that were answered."""
    upstreams: tuple[str, ...]
    """Upstreams that answered, in the order of their first answer."""
    crossed: int
    """Number of received answers that belong to another flow."""


@contextlib.contextmanager
def writing(
    path: pathlib.Path,
) -> abc.Iterator[abc.Callable[[typing.Any], None]]:
    """Open a file of records; yield a function that writes and flushes one."""
    with path.open("a", buffering=1) as file:

        def write(record: typing.Any) -> None:
            file.write(json.dumps(dataclasses.asdict(record)) + "\n")

        yield write


def read_records(
    paths: abc.Iterable[pathlib.Path], kind: type[_Record]
) -> abc.Iterator[_Record]:
    """Yield the records in files that hold records of type ``kind``."""
    for path in paths:
        for line in path.read_text().splitlines():
            yield kind(**json.loads(line))
