"""Checks that the embedding examples are deterministic and documented."""

import importlib.util
import itertools
import os
import pathlib
import random
import socket
import subprocess
import sys
import time

import pytest

FOLDER = pathlib.Path(__file__).parents[1] / "embedding"
PAGE = FOLDER.parents[1] / "docs" / "EMBEDDING.md"
NAMES = sorted(path.name for path in FOLDER.glob("*.py"))
CORES = (
    "membership.Membership",
    "upstreams.Directory",
    "agreement.Replica",
    "journal.Journal",
    "journal.MemoryFiles",
    "contracts.Catalogue",
    "contracts.Distribution",
    "placement.Placer",
    "requests.KeyGroups",
    "requests.ClaimStore",
    "requests.Coordinator",
    "requests.IdempotentRequests",
    "limits.Shares",
    "limits.Admission",
    "discovery.Registry",
    "discovery.Roster",
    "steering.Steering",
)


def load(name):
    """Import an example as a module."""
    spec = importlib.util.spec_from_file_location(name[:-3], FOLDER / name)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def fail(*args, **kwargs):
    """Replace a function that a core must not call."""
    raise AssertionError("a socket or a clock was used")


@pytest.mark.parametrize("name", NAMES)
def test_seed_alone_decides(name, monkeypatch):
    run = load(name).run
    state = random.getstate()
    with monkeypatch.context() as patch:
        for clock in ("time", "monotonic", "perf_counter", "sleep"):
            patch.setattr(time, clock, fail)
        patch.setattr(socket, "socket", fail)
        alone = [list(run(seed)) for seed in (1, 2)]
        # Two interleaved runs share no state.
        turns = list(itertools.zip_longest(run(1), run(2)))
    assert alone[0]
    assert [list(lines) for lines in zip(*turns, strict=True)] == alone
    assert random.getstate() == state


@pytest.mark.parametrize("name", NAMES)
def test_runs_as_a_program_under_other_hashes(name):
    done = subprocess.run(
        [sys.executable, FOLDER / name],
        env=os.environ
        | {"PYTHONHASHSEED": "7", "PYTHONPATH": str(FOLDER.parents[1])},
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.splitlines() == list(load(name).run(1))


def test_uses_public_faces_only():
    for name in NAMES:
        text = (FOLDER / name).read_text()
        assert "from foxtailworks." not in text
        assert "import foxtailworks" not in text


def test_page_names_each_example_and_core():
    page = PAGE.read_text()
    missing = [
        name for name in NAMES if f"examples/embedding/{name}" not in page
    ]
    missing += [core for core in CORES if f"`{core}`" not in page]
    assert not missing
    used = "".join((FOLDER / name).read_text() for name in NAMES)
    assert not [core for core in CORES if f"{core}(" not in used]
