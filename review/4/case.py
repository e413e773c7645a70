"""The open connections to the store go silent, and the manifest gains a route a second later."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness import BOUNDS, TROUBLE, StreamProxy, World, build_manifest, run_case  # noqa: E402

ROUTE, NEW_ROUTE = ("127.7.0.1", 8443), ("127.7.0.2", 8080)
BALANCERS = {"edge-1": "esclusa-uno", "edge-2": "esclusa-uno", "edge-3": "esclusa-dos"}
AGENTS = {"side-1": ("esclusa-uno", "bitacora"), "side-2": ("esclusa-uno", "bitacora"),
          "side-3": ("esclusa-dos", "bitacora")}


async def main():
    world = World(FOLDER, BALANCERS, AGENTS)
    try:
        return await run(world)
    finally:
        world.close()


async def run(world):
    proxy = StreamProxy(f"{world.network}.9.8", world.store.address)
    await proxy.start()
    world.store_address = proxy.address
    await world.start(build_manifest(4, [(*ROUTE, "bitacora")], ["bitacora"]))
    for name in AGENTS:
        await world.start_endpoint(name, f"i-{name}")
    await world.wait_until_ready()
    consumers = [await world.start_consumer(zone) for zone in ("esclusa-uno", "esclusa-dos")]
    await asyncio.sleep(BOUNDS["ContactMs"] / 1000 + 1)

    # A change makes all balancers renew their watches of the manifest.
    world.store.put("config", "main", build_manifest(5, [(*ROUTE, "bitacora")], ["bitacora"]))
    world.record.write("operator: version 5 changes nothing but its number (acknowledged)")
    await asyncio.sleep(0.4)
    silent_at = time.monotonic()
    if TROUBLE:
        count = proxy.silence()
        world.record.write(f"{count} open connections to the store go silent; new ones work")
    await asyncio.sleep(0.9)
    manifest = build_manifest(7, [(*ROUTE, "bitacora"), (*NEW_ROUTE, "bitacora")], ["bitacora"])
    world.store.put("config", "main", manifest)
    acknowledged_at = time.monotonic()
    world.record.write("operator: version 7 adds a route (acknowledged)")

    due = max(acknowledged_at + BOUNDS["ApplyMs"] / 1000, silent_at + BOUNDS["ContactMs"] / 1000)
    broken, served = [], 0
    while time.monotonic() < due + 4.0:
        for consumer in consumers:
            flow = consumer.create_flow(NEW_ROUTE)
            sent_at = time.monotonic()
            opened = await flow.start()
            since_s = sent_at - acknowledged_at
            if opened:
                served += 1
                flow.finish()
            elif flow.reset_by and sent_at > due + 0.05:
                broken.append(since_s)
                sender = next((name for name, address in world.addresses.items()
                               if address == flow.reset_by), flow.reset_by)
                world.record.write(f"BROKEN flow {flow.port}, sent {since_s:.2f} s after the "
                                   f"acknowledgement, is refused by {sender}")
            else:
                world.record.write(f"flow {flow.port}, sent {since_s:.2f} s after the "
                                   "acknowledgement, is not opened")
        await asyncio.sleep(0.05)
    text = (f"{len(broken)} flows of the new route refused later than ApplyMs and in touch, the last "
            f"sent {max(broken, default=0):.2f} s after the acknowledgement; {served} opened")
    world.record.write(text)
    print(text)
    return 1 if broken else 0


run_case(FOLDER, main)
