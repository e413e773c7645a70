"""A route is given to another service, then the balancers are restarted in turn."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BOUNDS, World, build_manifest, run_case  # noqa: E402

ROUTE = ("127.7.0.1", 8443)
FLOWS = 12
BALANCERS = {"edge-1": "esclusa-uno", "edge-2": "esclusa-uno"}
AGENTS = {f"side-{number}": ("esclusa-uno", "bitacora" if number <= 3 else "acopio")
          for number in range(1, 6)}
DISRUPTIONS = os.environ.get("TROUBLE", "1")
"""1: both; config or roll: only one of the two; 0: none."""


async def main():
    world = World(FOLDER, BALANCERS, AGENTS)
    try:
        return await run(world)
    finally:
        world.close()


async def run(world):
    await world.start(build_manifest(4, [(*ROUTE, "bitacora")], ["bitacora", "acopio"]))
    for name in AGENTS:
        await world.start_endpoint(name, f"i-{name}")
    await world.wait_until_ready()
    consumer = await world.start_consumer("esclusa-uno")
    await asyncio.sleep(BOUNDS["ContactMs"] / 1000 + 1)

    flows = [consumer.create_flow(ROUTE) for _ in range(FLOWS)]
    for flow in flows:
        if not await flow.start():
            return 2
        await flow.request(f"first-{flow.port}", 3.0)
    if DISRUPTIONS in ("1", "config"):
        manifest = build_manifest(7, [(*ROUTE, "acopio")], ["bitacora", "acopio"])
        world.store.put("config", "main", manifest)
        world.record.write("operator: version 7 sends new flows of the route to acopio (acknowledged)")
    await asyncio.sleep(1.0)
    if DISRUPTIONS in ("1", "roll"):
        for name in BALANCERS:
            await world.restart(name)
            await world.wait_until_ready([name])
            await asyncio.sleep(1.3)
    else:
        await asyncio.sleep(8.0)

    # The flows have been idle for less than IdleTimeoutMs, and their endpoints are undisturbed.
    answered, resets = 0, []
    for flow in flows:
        endpoint = next(item for item in world.endpoints.values() if flow.key in item.flows)
        try:
            await flow.request(f"second-{flow.port}", 3.0)
            answered += 1
        except Exception as exc:
            if flow.reset_by and flow.own_reset and endpoint.alive and endpoint.flows[flow.key].open:
                resets.append(flow)
                sender = next((name for name, address in world.addresses.items()
                               if address == flow.reset_by), flow.reset_by)
                world.record.write(f"BROKEN flow {flow.port}, open at {endpoint.name}, is reset by {sender}")
            else:
                world.record.write(f"flow {flow.port} is not served: {exc!r}")
    probe = consumer.create_flow(ROUTE)
    if await probe.start():
        world.record.write(f"new flow: {await probe.request(f'new-{probe.port}', 3.0)}")
    world.record.write(f"{answered} of {FLOWS} second requests answered, {len(resets)} open flows reset")
    print(f"{answered} of {FLOWS} second requests answered, {len(resets)} open flows reset")
    return 1 if resets else 0


run_case(FOLDER, main)
