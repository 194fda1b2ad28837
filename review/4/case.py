"""A heartbeat that names no server to use ends a live server."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

OTHER = "i-55aa0011"


async def send_foreign(world: standins.World, address: str) -> None:
    """Send another writer's heartbeat: its service isn't configured."""
    body = {
        "service": "not-in-any-configuration",
        "address": address,
        "zone": standins.ZONES[0],
        "version": "v1",
        "concurrencyLimit": 2,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    host = world.fleet.control("coordinator-2")
    path = f"/v1/instances/{OTHER}"
    data = json.dumps(body)
    status, _ = await standins.call(host, "PUT", path, data.encode())
    world.record.add(f"other writer: PUT {path} {data}: {status}")


async def case(world: standins.World) -> int:
    """Send another writer's heartbeat beside a server with a flow."""
    record, client = world.record, world.client
    await standins.configure(world)
    server = (await standins.start_servers(world))[1]
    flow = await standins.open_at(world, server, 2.0)
    if await flow.request("one") != "answered":
        raise standins.NotRunError("the server doesn't answer")
    if world.trouble:
        await send_foreign(world, server.address)
    await asyncio.sleep(standins.BOUNDS["stabilityWindowMs"] / 1000 + 1.0)
    outcome = await flow.request("two")
    record.add(
        f"case: {outcome}; the server runs and had {server.acknowledged}"
        " heartbeats acknowledged"
    )
    await asyncio.sleep(10.0)
    opened = 0
    for _ in range(10 * standins.SERVERS):
        other = await client.open()
        await asyncio.sleep(0.01)
        if other is not None:
            opened += server.holds(other)
            other.close()
    record.add(
        f"case: 10 s later {opened} of {10 * standins.SERVERS} new flows"
        " open there"
    )
    if flow.reset_by == "system":
        return standins.BROKEN
    return standins.HELD if outcome == "answered" else standins.NOT_RUN


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, case))
