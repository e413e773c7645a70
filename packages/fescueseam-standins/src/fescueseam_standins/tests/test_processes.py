"""Test real processes that are killed, suspended or cut off from the store."""

import json
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import httpx
import pytest
import trio
from attrs import define, evolve

from fescueseam_standins.caller import (
    Outcome,
    RequestResult,
    open_stream,
    send_request,
    send_udp_request,
)
from fescueseam_standins.caller_socket import CallerSettings, CallerSocket
from fescueseam_standins.demo.operator import Operator
from fescueseam_standins.demo.plan import (
    CONTROL_PORT,
    FABRIC_PORT,
    METRICS_PORT,
    PACKET_PORT,
    DeploymentPlan,
    EndpointPlan,
    plan_agent,
    plan_backend,
    plan_balancer,
    plan_deployment,
    plan_fabric,
    plan_platform,
)
from fescueseam_standins.demo.processes import Launcher
from fescueseam_standins.http3_client import Target

EXAMPLES = Path(__file__).resolve().parents[5] / "examples"
FIRST_NETWORK = 64
NETWORK_COUNT = 128
SUBNET = f"127.{FIRST_NETWORK + os.getpid() % NETWORK_COUNT}.{os.getpid() // NETWORK_COUNT % 256}"
"""Loopback network of this run, so that concurrent runs do not collide."""
SERVICE_ADDRESS = "10.50.0.10"
PRICES_TARGET = Target((SERVICE_ADDRESS, 5683), "katalog")
RESERVATIONS_TARGET = Target((SERVICE_ADDRESS, 8443), "katalog")
LISTINGS_TARGET = Target((SERVICE_ADDRESS, 443), "katalog")
UNREACHABLE_STORE_URL = f"http://{SUBNET}.99:9"

CONFIGURATION_TIMEOUT_S = 6.0
"""Longest time until an accepted configuration is in force everywhere, in seconds."""
LAST_PACKET_TIMEOUT_S = 3.0
"""Time after which a data centre that was taken out receives no packets, in seconds."""


@define
class Deployment:
    """Running deployment of one service in three data centres."""

    plan: DeploymentPlan
    launcher: Launcher
    scratch_folder: Path

    def start_balancer(self, index: int, without_store: bool = False) -> str:
        plan = self.plan
        if without_store:
            path = self.scratch_folder / "cut.json"
            path.write_text(json.dumps({"store_url": UNREACHABLE_STORE_URL}))
        process = plan_balancer(plan, plan.balancers[index], self.scratch_folder)
        if without_store:
            process = evolve(process, command=(*process.command, "--overlay", str(path)))
        self.launcher.start(process)
        return process.name

    def start_agent(self, index: int) -> str:
        process = plan_agent(self.plan, self.plan.endpoints[index], self.scratch_folder)
        self.launcher.start(process)
        return process.name

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.launcher.processes[name].popen.pid, number)


@define
class Session:
    """Clients of the deployment that one test uses."""

    deployment: Deployment
    sock: CallerSocket
    client: httpx.AsyncClient
    operator: Operator

    @property
    def plan(self) -> DeploymentPlan:
        return self.deployment.plan

    async def set_faults(self, **faults: object) -> None:
        url = f"{self.plan.store_url}/faults"
        # Shielded, so that a test that timed out still clears its faults for the next one.
        with trio.CancelScope(shield=True):
            (await self.client.post(url, json=faults)).raise_for_status()

    async def read_status(self, address: str) -> dict[str, object]:
        reply = await self.client.get(f"http://{address}:{METRICS_PORT}/status")
        status: dict[str, object] = reply.json()
        return status

    async def count_received(self, endpoints: list[EndpointPlan]) -> int:
        total = 0
        for endpoint in endpoints:
            total += (await self.client.get(f"{endpoint.backend_url}/runs")).json()["counts"][
                "received"
            ]
        return total

    async def request_prices(self, count: int, prefix: str) -> list[RequestResult]:
        results = []
        for number in range(count):
            run_id = f"{prefix}-{number}"
            results.append(await send_udp_request(self.sock, PRICES_TARGET, run_id, 4.0, 0.5))
        return results

    def list_addresses(self) -> list[str]:
        members = (*self.plan.balancers, *self.plan.endpoints)
        return [member.address for member in members]

    async def wait_for_version(self, version: int, addresses: list[str]) -> None:
        pending = set(addresses)
        while pending:
            for address in list(pending):
                status = await self.read_status(address)
                if status["config_version"] == version:
                    pending.discard(address)
            await trio.sleep(0.05)


def plan_test_deployment() -> DeploymentPlan:
    plan = plan_deployment("lintang", EXAMPLES)
    endpoints = [item for item in plan.endpoints if item.service == "katalog"][:6]
    readdressed = tuple(
        evolve(item, address=f"{SUBNET}.{21 + index}") for index, item in enumerate(endpoints)
    )
    balancers = tuple(
        evolve(item, address=f"{SUBNET}.{11 + index}") for index, item in enumerate(plan.balancers)
    )
    return evolve(plan, subnet=SUBNET, balancers=balancers, endpoints=readdressed)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    scratch_folder = tmp_path_factory.mktemp("processes")
    new_deployment = Deployment(plan_test_deployment(), Launcher(scratch_folder), scratch_folder)
    try:
        trio.run(start_deployment, new_deployment)
        yield new_deployment
    finally:
        trio.run(new_deployment.launcher.close)


async def start_deployment(deployment: Deployment) -> None:
    plan, launcher = deployment.plan, deployment.launcher
    standins = [plan_platform(plan), plan_fabric(plan)]
    standins += [plan_backend(plan, endpoint) for endpoint in plan.endpoints]
    for process in standins:
        launcher.start(process)
    await launcher.wait_ready([process.name for process in standins])
    names = [
        deployment.start_balancer(0),
        deployment.start_balancer(1),
        deployment.start_balancer(2, True),
    ]
    names += [deployment.start_agent(index) for index in range(len(plan.endpoints))]
    await Operator(plan).apply(plan.folder)
    await launcher.wait_ready(names)


def run_session(
    deployment: Deployment, scenario: Callable[[Session], Awaitable[None]], timeout_s: float = 60.0
) -> None:
    async def main() -> None:
        plan = deployment.plan
        sock = CallerSocket(
            CallerSettings((plan.fabric_address, FABRIC_PORT), bind_address=plan.caller_address)
        )
        with trio.fail_after(timeout_s):
            async with (
                httpx.AsyncClient(timeout=5.0, trust_env=False) as client,
                trio.open_nursery() as nursery,
            ):
                await sock.start(nursery)
                await scenario(Session(deployment, sock, client, Operator(plan)))
                nursery.cancel_scope.cancel()

    trio.run(main)


def count_outcomes(results: list[RequestResult], outcome: Outcome) -> int:
    return sum(result.outcome is outcome for result in results)


def test_stream_survives_a_killed_balancer(deployment: Deployment) -> None:
    async def scenario(session: Session) -> None:
        plan = session.plan
        path = "/stream?interval_s=0.05&count=100"
        async with open_stream(session.sock, LISTINGS_TARGET, path) as stream:
            chunks = stream.reader.read_chunks()
            body = await anext(chunks)
            deployment.launcher.kill(plan.balancers[0].name)
            remaining = [f"{item.address}:{PACKET_PORT}" for item in plan.balancers[1:]]
            url = f"{plan.fabric_url}/balancers"
            (await session.client.post(url, json={"balancers": remaining})).raise_for_status()
            body += b"".join([chunk async for chunk in chunks])
        assert body.decode().split() == [str(number) for number in range(100)]
        name = deployment.start_balancer(0)
        await deployment.launcher.wait_ready([name])
        all_balancers = [f"{item.address}:{PACKET_PORT}" for item in plan.balancers]
        (await session.client.post(url, json={"balancers": all_balancers})).raise_for_status()

    run_session(deployment, scenario)


def test_suspended_agent_causes_no_double_run(deployment: Deployment) -> None:
    async def scenario(session: Session) -> None:
        suspended = session.plan.endpoints[0].name
        results: list[RequestResult] = []

        async def send_record_request(number: int) -> None:
            path = f"/record?id=frozen-{number}"
            results.append(await send_request(session.sock, RESERVATIONS_TARGET, path, "POST", 8.0))

        deployment.signal(suspended, signal.SIGSTOP)
        try:
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(send_record_request, number)
                    await trio.sleep(0.25)
                deployment.signal(suspended, signal.SIGCONT)
        finally:
            deployment.signal(suspended, signal.SIGCONT)
        runs: dict[str, int] = {}
        for endpoint in session.plan.endpoints:
            reply = (await session.client.get(f"{endpoint.backend_url}/runs")).json()
            for run_id, number in reply["runs"].items():
                runs[run_id] = runs.get(run_id, 0) + number
        assert all(number == 1 for number in runs.values())
        assert count_outcomes(results, Outcome.ANSWERED) > 0
        await trio.sleep(3.0)
        later = await session.request_prices(5, "after-freeze")
        assert count_outcomes(later, Outcome.BROKEN) == 0

    run_session(deployment, scenario)


def test_requests_are_answered_while_the_store_is_down(deployment: Deployment) -> None:
    async def scenario(session: Session) -> None:
        await session.set_faults(outage=True)
        try:
            before = await session.request_prices(5, "outage")
            deployment.launcher.kill(session.plan.endpoints[1].name)
            name = deployment.start_agent(1)
            await deployment.launcher.wait_ready([name])
            after = await session.request_prices(5, "outage-later")
        finally:
            await session.set_faults(outage=False)
        addresses = session.list_addresses()
        version_before = int(str((await session.read_status(addresses[0]))["config_version"]))
        await session.operator.drain(session.plan.endpoints[3].name)
        with trio.fail_after(CONFIGURATION_TIMEOUT_S):
            await session.wait_for_version(version_before + 1, addresses)
        assert count_outcomes(before + after, Outcome.BROKEN) == 0
        assert count_outcomes(before + after, Outcome.ANSWERED) > 0

    run_session(deployment, scenario)


def test_change_spreads_although_the_store_fails_right_after_it(
    deployment: Deployment,
) -> None:
    async def scenario(session: Session) -> None:
        addresses = session.list_addresses()
        version_before = int(str((await session.read_status(addresses[0]))["config_version"]))
        await session.operator.drain(session.plan.endpoints[2].name)
        await session.set_faults(outage=True)
        try:
            with trio.fail_after(CONFIGURATION_TIMEOUT_S):
                await session.wait_for_version(version_before + 1, addresses)
        finally:
            await session.set_faults(outage=False)

    run_session(deployment, scenario)


def test_packets_stop_after_a_data_centre_is_taken_out(deployment: Deployment) -> None:
    async def scenario(session: Session) -> None:
        centre = session.plan.endpoints[0].data_centre
        endpoints = [item for item in session.plan.endpoints if item.data_centre == centre]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.request_prices, 1000, "load")
            await session.operator.set_data_centre_state(centre, "out")
            await trio.sleep(LAST_PACKET_TIMEOUT_S)
            before = await session.count_received(endpoints)
            await trio.sleep(2.0)
            after = await session.count_received(endpoints)
            nursery.cancel_scope.cancel()
        assert after == before
        await session.operator.set_data_centre_state(centre, "in")
        await trio.sleep(3.0)
        assert count_outcomes(await session.request_prices(10, "back"), Outcome.BROKEN) == 0

    run_session(deployment, scenario)


def test_malformed_datagrams_stop_no_process(deployment: Deployment) -> None:
    async def scenario(session: Session) -> None:
        balancer = session.plan.balancers[0].address
        agent = session.plan.endpoints[0].address
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for size in (0, 1, 19, 20, 28, 200, 9001, 60000):
                for target in ((balancer, PACKET_PORT), (balancer, CONTROL_PORT)):
                    sock.sendto(b"\x45" * size, target)
                sock.sendto(b"\x00" * size, (agent, CONTROL_PORT))
        await trio.sleep(0.5)
        for address in (balancer, agent):
            page = (await session.client.get(f"http://{address}:{METRICS_PORT}/metrics")).text
            assert "fescueseam_dropped_total{" in page
        assert count_outcomes(await session.request_prices(5, "garbage"), Outcome.BROKEN) == 0

    run_session(deployment, scenario)
