"""Output format of the figures that benchmarks measure."""

import dataclasses
import json
import typing


def render(value: typing.Any) -> str:
    """Return a dataclass instance as one line of JSON."""
    return json.dumps(dataclasses.asdict(value))


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured value with its baseline and its target."""

    figure: str
    """Name of the figure."""
    value: float
    """The measured value."""
    unit: str
    """Unit of the value, the baseline and the target."""
    baseline: float | None = None
    """Value of the simplest alternative, measured alike."""
    target: float | None = None
    """Required value, if there is a requirement."""

    def to_json(self) -> str:
        """Return the figure as one line of JSON."""
        return render(self)
