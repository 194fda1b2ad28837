"""Bytes of each message and stored record, to compare releases.

``write`` prints a sample of each type as this release encodes it; ``check``
reads the samples of another one.  Both run with the sources of any release::

    PYTHONPATH=. python scripts/corpus.py write > samples.json
    PYTHONPATH=var/3a465f9 python scripts/corpus.py check samples.json
"""

import dataclasses
import enum
import importlib
import json
import pathlib
import sys
import types
import typing

import typer

CODECS = {
    "network": ("coordinator._messages.CODEC",),
    "agreement": ("coordinator._messages.CONSENSUS_CODEC",),
    "hints": ("coordinator._hints._CODEC",),
    "journal": ("journal._frames._CODEC",),
    "commands": ("revisions._commands._CODEC", "revisions._register._CODEC"),
    "tables": ("steering._tables._TABLES",),
    "routes": ("steering._tables._ROUTES",),
}
"""Codecs whose messages another release reads, by network or disk, with the
places that they have had."""
VALUES = {int: 7, float: 1.5, str: "name", bytes: b"data", bool: True}

app = typer.Typer(add_completion=False, no_args_is_help=True)


def sample(kind: typing.Any) -> typing.Any:
    """Return a value of a type, with two items in each tuple."""
    kind = getattr(kind, "__supertype__", kind)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        names = [item.name for item in dataclasses.fields(kind)]
        values = {name: sample(hints[name]) for name in names}
        if kind.__name__ == "Address":
            values["ip"] = "10.0.0.1"
        return kind(**values)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[-1]
    args = typing.get_args(kind)
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        return sample(args[0])
    if args:
        items = (args[0],) * 2 if args[-1] is Ellipsis else args
        return tuple(sample(item) for item in items)
    return VALUES[kind]


def codecs() -> typing.Iterator[tuple[str, typing.Any]]:
    """Yield the name and the codec of each that this release has."""
    for name, places in CODECS.items():
        found = [item for item in map(find, places) if item is not None]
        if found:
            yield name, found[0]


def find(place: str) -> typing.Any:
    """Return what is at a place in this release; None if nothing is."""
    module, _, name = place.rpartition(".")
    try:
        found = importlib.import_module(f"foxtailworks.{module}")
    except ModuleNotFoundError:
        return None
    return getattr(found, name, None)


@app.command()
def write() -> None:
    """Print the samples of this release as JSON."""
    samples = {
        name: {
            kind.__name__: codec.encode(sample(kind)).hex()
            for kind in codec._types.values()
        }
        for name, codec in codecs()
    }
    json.dump(samples, sys.stdout, indent=1, sort_keys=True)
    print()


@app.command()
def check(path: pathlib.Path) -> None:
    """Decode another release's samples; fail if one can't be read.

    Types that this release doesn't have are counted: it drops them.
    """
    samples = json.loads(path.read_text())
    unreadable, unknown = [], 0
    for name, codec in codecs():
        known = {kind.__name__ for kind in codec._types.values()}
        for kind, data in samples.get(name, {}).items():
            try:
                found = type(codec.decode(bytes.fromhex(data))).__name__
            except Exception as exc:
                found = f"{type(exc).__name__}: {exc}"
            if kind not in known:
                unknown += 1
            elif found != kind:
                unreadable.append(f"{name} {kind}: {found}")
    print(
        *unreadable,
        f"{len(unreadable)} unreadable, {unknown} unknown",
        sep="\n",
    )
    raise typer.Exit(bool(unreadable))


if __name__ == "__main__":
    app()
