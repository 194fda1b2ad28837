"""A disk lost after a planned replacement ends the control plane."""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SUCCESSOR_S = 6.0
"""Time from the start of the successor to the SIGTERM of the old machine."""
AFTER_REMOVAL_S = 4.5
"""Time from the exit of the removed machine to the loss of a disk."""
DOWN_S = 1.0
"""Time from the loss of the disk to the machine's return."""
WATCHED_S = 30.0
"""Time for which the operator tries afterwards."""
IS_ROLLED = os.environ.get("VARIANT") == "rolled"
"""Whether the leader is restarted between the two."""
ROLLED_AFTER_S = 4.7
"""Time from the exit of the removed machine to that restart."""
REMOVED_S = 10.0
"""Time from the exit to the loss of the disk in that variant: ``graceS`` and
``catchUpS``."""


async def restart_leader(world: standins.World) -> None:
    """Restart the leader as planned: SIGTERM, then a new start."""
    fleet = world.fleet
    names = [n for n in fleet.addresses if n.startswith("coordinator")]
    for name in names:
        lines = fleet.log(name).splitlines()
        roles = [line for line in lines if "event=role_changed" in line]
        if roles and "role=leader" in roles[-1]:
            await fleet.stop(name)
            fleet.start(name, int(name.rpartition("-")[2]))
            return
    raise standins.NotRunError("there is no leader")


async def case(world: standins.World) -> int:
    """Replace a machine as planned, then lose the disk of another one."""
    record, fleet, operator = world.record, world.fleet, world.operator
    await standins.configure(world, 5)
    fleet.start("coordinator-4", 4)
    await asyncio.sleep(SUCCESSOR_S)
    status = await operator.put(standins.configuration(7), 9)
    if status != 200:
        raise standins.NotRunError("version 7 wasn't acknowledged")
    await fleet.stop("coordinator-3")
    fleet.remove("coordinator-3")
    removed_at = time.monotonic()
    if IS_ROLLED:
        await asyncio.sleep(ROLLED_AFTER_S)
        await restart_leader(world)
    after_s = REMOVED_S if IS_ROLLED else AFTER_REMOVAL_S
    await asyncio.sleep(removed_at + after_s - time.monotonic())
    if world.trouble:
        fleet.kill("coordinator-1")
        fleet.wipe("coordinator-1")
        await asyncio.sleep(DOWN_S)
        fleet.start("coordinator-1", 1)
    else:
        await asyncio.sleep(DOWN_S)
    # The machine is back for as long as it counts as lost.
    await asyncio.sleep(standins.BOUNDS["catchUpS"])
    began_at = time.monotonic()
    body = await operator.read(WATCHED_S)
    version = json.loads(body)["version"] if body else None
    record.add(
        f"case: version {version} after {time.monotonic() - began_at:.1f} s"
    )
    status = await operator.put(standins.configuration(9), 9)
    record.add(f"case: a new version: {status}")
    if version == 7 and status == 200:
        return standins.HELD
    for name in sorted(fleet.running):
        exit_code = fleet.running[name].poll()
        record.add(f"case: {name} runs: {exit_code is None}")
    return standins.BROKEN


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, case))
