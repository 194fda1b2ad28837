"""A DELETE that a partition held up ends the server's next start."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

CUT_S = 5.0
"""Length of the cut, as in ``fleetbench kinds``."""
EXIT_S = 2.0
"""Time from an unacknowledged DELETE to the exit."""


async def send_delete(host: str, name: str) -> None:
    """Send the DELETE of a server that ends: nobody reads the response."""
    ip, _, port = host.partition(":")
    _, writer = await asyncio.open_connection(ip, int(port))
    path = f"/v1/instances/{name}"
    writer.write(standins.encode_request(host, "DELETE", path, b""))
    await writer.drain()
    await asyncio.sleep(0.2)
    # The kernel goes on delivering what was written.
    writer.close()


async def case(world: standins.World) -> int:
    """Restart a server under its id; its DELETE may be held up."""
    record, fleet, client = world.record, world.fleet, world.client
    await standins.configure(world)
    first = (await standins.start_servers(world))[1]
    flow = await standins.open_at(world, first, 2.0)
    if await flow.request("before") != "answered":
        raise standins.NotRunError("the first start serves nothing")
    flow.close()
    link = standins.Link(record, fleet.control("coordinator-1"))
    await link.start(fleet.address(61))
    await first.drain()
    await asyncio.sleep(standins.BOUNDS["drainMs"] / 1000 + 0.5)
    if world.trouble:
        record.add(f"platform: {first.name} is cut off for {CUT_S} s")
        link.cut(CUT_S)
    cut_at = time.monotonic()
    record.add(f"server: {first.name} sends DELETE")
    await send_delete(link.address, first.name)
    # Without an acknowledgement a server exits some seconds later.
    await asyncio.sleep(EXIT_S if world.trouble else 0.0)
    first.end()
    await asyncio.sleep(cut_at + CUT_S + 0.1 - time.monotonic())
    second = standins.Server(fleet, record, first.name, 51)
    await second.start()
    flow = await standins.open_at(world, second, 0.9)
    if await flow.request("one") != "answered":
        raise standins.NotRunError("the second start serves nothing")
    # Twice the window: once for the end of the cut, once for the delivery.
    await asyncio.sleep(2 * standins.BOUNDS["stabilityWindowMs"] / 1000)
    outcome = await flow.request("two")
    idle_s = time.monotonic() - flow.opened_at
    record.add(
        f"case: {outcome}; the flow is {idle_s:.1f} s old, the server runs"
        f" and had {second.acknowledged} heartbeats acknowledged"
    )
    opened = 0
    for _ in range(10 * standins.SERVERS):
        other = await client.open()
        await asyncio.sleep(0.01)
        if other is not None:
            opened += second.holds(other)
            other.close()
    record.add(
        f"case: {opened} of {10 * standins.SERVERS} new flows open there"
    )
    if flow.reset_by == "system":
        return standins.BROKEN
    return standins.HELD if outcome == "answered" else standins.NOT_RUN


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, case))
