"""Tables and lines that are safe to print."""

from collections import abc
import typing

from rich import table as rich_table
from rich import text as rich_text

from foxtailworks import contracts
from foxtailworks.ctl import _entries

Shown = str | rich_table.Table


def clean(text: str) -> str:
    """Return ``text`` without what could steer a terminal."""
    kept = (c if c.isprintable() or c == "\n" else "?" for c in text)
    return "".join(kept)


def table(
    names: tuple[str, ...], rows: abc.Iterable[tuple[typing.Any, ...]]
) -> rich_table.Table:
    """Return a plain table."""
    result = rich_table.Table(*names, box=None, pad_edge=False)
    for row in rows:
        cells = (rich_text.Text(clean(str(cell))) for cell in row)
        result.add_row(*cells)
    return result


def keeper_table(lines: tuple[contracts.KeeperLine, ...]) -> Shown:
    """Return the keepers as the leader sees them."""
    return table(
        ("keeper", "name", "address", "votes", "leads", "reached", "stored"),
        (
            (
                item.keeper,
                item.name,
                item.address,
                yes(item.voter),
                yes(item.leader),
                yes(item.reachable),
                item.stored_index,
            )
            for item in sorted(lines, key=lambda line: line.name)
        ),
    )


def unreached(
    lost: tuple[_entries.Unreached, ...],
) -> abc.Iterator[Shown]:
    """Yield who gave no answer."""
    for item in lost:
        yield f"no answer from {item.address}: {item.detail}"


def yes(value: bool) -> str:
    """Return a truth value for a table."""
    return "yes" if value else "no"
