"""Checks of imports: modules only (OpenStack's rule), and no cycles."""

import ast
import functools
import importlib
import importlib.util
import pathlib
import types

import pytest

ROOT = pathlib.Path(__file__).parents[2]
FOLDERS = ("foxtailworks", "examples", "features")
# An ``__init__.py`` may import objects, to re-export them.
FILES = sorted(
    path
    for folder in FOLDERS
    for path in (ROOT / folder).rglob("*.py")
    if path.name != "__init__.py"
)
# Packages whose objects are customarily imported.
OBJECT_IMPORTS = {"behave"}


def imports_of(tree):
    """Yield (package, name, line) of each ``from package import name``."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module != "__future__":
            for alias in node.names:
                yield node.module or "", alias.name, node.lineno


@functools.cache
def is_module(package, name):
    """Return whether ``name`` in ``package`` is a module."""
    parent = importlib.import_module(package)
    if isinstance(getattr(parent, name, None), types.ModuleType):
        return True
    if not hasattr(parent, "__path__"):
        return False
    return importlib.util.find_spec(f"{package}.{name}") is not None


def objects_imported(text):
    """Return the imports of objects in the source ``text``."""
    return [
        f"line {line}: from {package} import {name}"
        for package, name, line in imports_of(ast.parse(text))
        if package not in OBJECT_IMPORTS and not is_module(package, name)
    ]


@pytest.mark.parametrize("path", FILES, ids=lambda p: str(p.relative_to(ROOT)))
def test_modules_import_modules(path):
    assert objects_imported(path.read_text()) == []


@pytest.mark.parametrize(
    ("text", "count"),
    [
        ("from collections import abc", 0),
        ("from foxtailworks import errors", 0),
        ("from foxtailworks.errors import _codes", 0),
        ("import dataclasses", 0),
        ("from foxtailworks.errors import Code", 1),
        ("from typing import Any, Protocol", 2),
        ("if True:\n    from dataclasses import field", 1),
    ],
)
def test_the_check_tells_modules_from_objects(text, count):
    assert len(objects_imported(text)) == count


def module_name(path):
    """Return the dotted name of a file under the root."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def import_graph(texts):
    """Return the imports of each module, also those for type checkers.

    :param texts: module name -> source
    """
    graph = {}
    for name, text in texts.items():
        found = set()
        for package, item, _ in imports_of(ast.parse(text)):
            inner = f"{package}.{item}"
            found.add(inner if inner in texts else package)
        graph[name] = found & texts.keys() - {name}
    return graph


def cycles_in(graph):
    """Return the modules that import themselves through others."""

    def reached_from(start):
        reached, pending = set(), [start]
        while pending:
            for item in graph[pending.pop()] - reached:
                reached.add(item)
                pending.append(item)
        return reached

    return sorted(name for name in graph if name in reached_from(name))


def test_no_module_imports_itself_through_others():
    texts = {
        module_name(path): path.read_text()
        for path in (ROOT / "foxtailworks").rglob("*.py")
        if "tests" not in path.parts
    }
    assert cycles_in(import_graph(texts)) == []


def test_the_check_finds_a_cycle():
    texts = {
        "a._one": "from a import _two",
        "a._two": "if True:\n    from a import _three",
        "a._three": "from a._one import name",
        "a._four": "from a import _one",
    }
    found = cycles_in(import_graph(texts))
    assert found == ["a._one", "a._three", "a._two"]
