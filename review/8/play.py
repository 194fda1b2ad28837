"""Routes are added while front machines are stopped and started in turn."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
standins2 = __import__("standins2")

IP = "198.18.0.1"
FIRST_PORT = 9000
STORM_GAP_S = 0.08
STORM_S = 2.0
"""Pause and length of a ``config_storm`` in mbqc-south-grown.toml."""
DOWN_S = 1.0
"""Time from the end of a machine's process to its next start."""
ROUNDS = 14
NETS = (53, 77, 136)
"""Addresses at which the front machines of each zone follow different pairs of
coordinators, as those of a larger zone do: each orders them by a hash."""
IDLE_ROUTES = 110
"""Routes without traffic, as on the sheet of mbqc-south."""
FRONTS = (4, 3, 3)
"""Front machines of balans-lb.toml, with those that may be added."""
FLOWS = 48
"""Flows that clients open to a route as soon as it is acknowledged."""
SPREAD_S = 0.0075
"""Time between the starts of two of them."""
REQUESTS = 6
PAUSE_S = 0.04


async def use(flow, name, record, servers, delay_s) -> None:
    """Open a flow to a new route; send requests with short pauses."""
    await asyncio.sleep(delay_s)
    if not await flow.open():
        return
    opened_through = flow.node
    for number in range(REQUESTS):
        outcome = await flow.ask(f"{name}-{number}", 3.0)
        holder = [i for i in servers if flow.key in i.flows]
        if outcome == "reset by the system" and holder:
            is_open = holder[0].flows[flow.key].is_open
            if is_open and holder[0].is_running:
                record.break_rule(
                    f"FLOW: {flow} is open at {holder[0].name}, which runs; "
                    f"opened through {opened_through}, then {flow.node}"
                )
            return
        if outcome != "answered":
            return
        await asyncio.sleep(PAUSE_S)
    flow.close()


async def storm(operator, clients, record, servers, tasks) -> None:
    """Add routes one by one; clients use each as soon as they may."""
    loop = asyncio.get_running_loop()
    until = loop.time() + STORM_S
    while loop.time() < until:
        begun = loop.time()
        port = FIRST_PORT + len(operator.routes)
        operator.routes[(IP, port)] = "desk"
        await operator.put()
        for number in range(FLOWS):
            flow = clients[number % len(clients)].flow(IP, port)
            name = f"r-{port}-{number}"
            tasks.append(
                asyncio.ensure_future(
                    use(flow, name, record, servers, number * SPREAD_S)
                )
            )
        await asyncio.sleep(max(0.0, begun + STORM_GAP_S - loop.time()))


async def play(record, has_trouble) -> None:
    """Play the case."""
    fleet = standins2.Fleet(record, FRONTS, nets=NETS)
    tasks = []
    servers = []
    try:
        fleet.start_all()
        routers = standins2.Routers(fleet)
        tasks.append(asyncio.ensure_future(routers.run()))
        operator = standins2.Operator(fleet)
        operator.services = ["desk"]
        operator.routes = {
            (IP, FIRST_PORT + i): "desk" for i in range(IDLE_ROUTES)
        }
        await asyncio.sleep(1.0)
        await operator.put()
        for index in range(6):
            server = standins2.Server(
                fleet,
                f"i-{index + 1:08x}",
                "desk",
                fleet.address(index % 3, 40 + index),
                standins2.ZONES[index % 3],
            )
            servers.append(server)
            await server.start()
        clients = [
            standins2.Client(fleet, routers, fleet.address(index, 200), zone)
            for index, zone in enumerate(standins2.ZONES)
        ]
        for client in clients:
            await client.start()
        await asyncio.sleep(5.0)
        fronts = fleet.names("front")
        used = []
        for number in range(ROUNDS):
            name = fronts[number % len(fronts)]
            changes = storm(operator, clients, record, servers, used)
            if has_trouble:
                await asyncio.gather(fleet.stop(name), changes)
            else:
                await changes
            await asyncio.sleep(DOWN_S)
            if has_trouble:
                fleet.start(name)
            await storm(operator, clients, record, servers, used)
            await asyncio.sleep(DOWN_S)
        await asyncio.gather(*used)
        record.note(f"{len(used)} flows")
        if fleet.ended():
            raise standins2.CantRunError(f"ended: {fleet.ended()}")
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            if server.is_running:
                server.crash()
        fleet.close()


if __name__ == "__main__":
    sys.exit(standins2.main(HERE, play))
