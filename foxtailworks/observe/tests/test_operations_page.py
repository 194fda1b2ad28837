"""Checks that docs/OPERATIONS.md lists every log event and metric."""

import ast
import pathlib

from foxtailworks import observe

ROOT = pathlib.Path(__file__).parents[3]
ROWS = [
    line
    for line in (ROOT / "docs/OPERATIONS.md").read_text().splitlines()
    if line.startswith("| ")
]
LEVELS = {"debug", "info", "warning", "error", "failed"}


def events_of(tree):
    """Yield the names of the log events in a module's syntax tree."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        named = ast.unparse(node.func).rpartition(".")
        first = node.args[0]
        if "EVENTS" in named[0] and named[2] in LEVELS:
            assert isinstance(first, ast.Constant), ast.unparse(node)
            yield first.value


def test_each_log_event_has_a_row():
    logged = {
        event
        for path in (ROOT / "foxtailworks").rglob("*.py")
        if "tests" not in path.parts
        for event in events_of(ast.parse(path.read_text()))
    }
    assert "link_refused" in logged
    documented = {row.split(" | ")[0].strip("| ") for row in ROWS}
    assert logged - documented == set()


def test_each_counter_and_gauge_has_its_meaning():
    for kind in (observe.Counter, observe.Gauge):
        for item in kind:
            assert f"| {item.value} | {observe.describe(item)} |" in ROWS
