"""One measured figure, as the benchmarks print it."""

import dataclasses
import json
import typing


def render(value: typing.Any) -> str:
    """Return a dataclass as one line of JSON."""
    return json.dumps(dataclasses.asdict(value))


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A value with what it is compared to."""

    figure: str
    """What was measured."""
    value: float
    """The measured value."""
    unit: str
    """Unit of all three values."""
    baseline: float | None = None
    """The same of the simplest alternative."""
    target: float | None = None
    """What is asked for."""

    def to_json(self) -> str:
        """Return the figure as one line of JSON."""
        return render(self)
