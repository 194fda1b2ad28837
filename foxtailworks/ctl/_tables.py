"""Tables and lines that are safe to print on a terminal."""

from collections import abc
import typing

from rich import table as rich_table
from rich import text as rich_text

from foxtailworks import contracts
from foxtailworks.ctl import _entries

Renderable = str | rich_table.Table


def sanitize(text: str) -> str:
    """Replace characters that a terminal could take for control codes."""
    characters = (c if c.isprintable() or c == "\n" else "?" for c in text)
    return "".join(characters)


def table(
    names: tuple[str, ...], rows: abc.Iterable[tuple[typing.Any, ...]]
) -> rich_table.Table:
    """Return a table without borders.

    :param names: heads of the columns
    """
    result = rich_table.Table(*names, box=None, pad_edge=False)
    for row in rows:
        cells = (rich_text.Text(sanitize(str(cell))) for cell in row)
        result.add_row(*cells)
    return result


def keeper_table(lines: tuple[contracts.KeeperLine, ...]) -> Renderable:
    """Return a table of the keepers as the leader reports them."""
    return table(
        ("keeper", "name", "address", "votes", "leads", "reached", "stored"),
        (
            (
                item.keeper,
                item.name,
                item.address,
                yes_or_no(item.voter),
                yes_or_no(item.leader),
                yes_or_no(item.reachable),
                item.stored_index,
            )
            for item in sorted(lines, key=lambda line: line.name)
        ),
    )


def unreached_lines(
    hosts: tuple[_entries.UnreachedHost, ...],
) -> abc.Iterator[Renderable]:
    """Yield a line for each host that didn't answer."""
    for item in hosts:
        yield f"no answer from {item.address}: {item.detail}"


def yes_or_no(value: bool) -> str:
    """Format a truth value for a table."""
    return "yes" if value else "no"
