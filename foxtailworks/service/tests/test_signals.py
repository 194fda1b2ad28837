"""A program ends when it is asked to, and at no other signal."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[3]
PROGRAM = """
import os, pathlib, signal, sys

from foxtailworks import service

PATH = pathlib.Path(sys.argv[1])

def hang_up():
    os.kill(os.getpid(), signal.SIGHUP)

async def main(stop):
    hang_up()
    PATH.write_text("changed while the program starts")
    reloads = []
    async with service.reload_on_change(PATH, lambda: reloads.append(1)):
        print("reloads", len(reloads))
        hang_up()
        import asyncio
        while len(reloads) < 2:
            await asyncio.sleep(0)
    hang_up()
    print("whole")

sys.exit(service.run(main))
"""


def test_settings_may_change_at_any_moment_of_a_program(tmp_path):
    found = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(tmp_path / "settings")],
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert found.returncode == 0, found.stderr
    lines = found.stdout.splitlines()
    assert "reloads 1" in lines, "what changed before the watch is read"
    assert "whole" in lines
