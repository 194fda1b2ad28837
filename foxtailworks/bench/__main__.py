"""Command line of the benchmarks, ``python -m foxtailworks.bench``.

Prints each figure as a line of JSON.
"""

from collections import abc
import typing

import typer

from foxtailworks.bench import _agreement
from foxtailworks.bench import _choosing
from foxtailworks.bench import _distribution
from foxtailworks.bench import _figure
from foxtailworks.bench import _limits
from foxtailworks.bench import _link_queue
from foxtailworks.bench import _packets
from foxtailworks.bench import _placement
from foxtailworks.bench import _requests

PARTS: dict[str, abc.Callable[[], abc.Iterator[_figure.Figure]]] = {
    "packets": _packets.figures,
    "agreement": _agreement.figures,
    "distribution": _distribution.figures,
    "requests": _requests.figures,
    "limits": _limits.figures,
    "choosing": _choosing.figures,
    "link": _link_queue.figures,
    "placement": _placement.run,
}


def main(
    part: typing.Annotated[
        list[str] | None, typer.Option(help="only these parts")
    ] = None,
) -> None:
    """Run the benchmarks and print their figures without judging them."""
    for name in part or PARTS:
        for item in PARTS[name]():
            print(item.to_json(), flush=True)


if __name__ == "__main__":
    typer.run(main)
