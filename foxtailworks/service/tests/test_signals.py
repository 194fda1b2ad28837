"""SIGHUP reloads the settings and never ends a process."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[3]
PROGRAM = """
import os, pathlib, signal, sys

from foxtailworks import service

PATH = pathlib.Path(sys.argv[1])

def send_sighup():
    os.kill(os.getpid(), signal.SIGHUP)

async def main(stop):
    send_sighup()
    PATH.write_text("changed during startup")
    reloads = []
    async with service.reload_on_change(PATH, lambda: reloads.append(1)):
        print("reloads", len(reloads))
        send_sighup()
        import asyncio
        while len(reloads) < 2:
            await asyncio.sleep(0)
    send_sighup()
    print("finished")

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
    assert "reloads 1" in lines, "a change before the block must be reloaded"
    assert "finished" in lines
