"""Run a demonstration from start to end."""

import tempfile
from pathlib import Path
from typing import Annotated

import httpx
import trio
import typer

from fescueseam.exceptions import KINDS, FescueseamError

from ..caller_socket import CallerSettings, CallerSocket
from ..running import run_until_stopped
from .operator import CommandError, Operator
from .plan import (
    FABRIC_PORT,
    DeploymentPlan,
    plan_agent,
    plan_backend,
    plan_balancer,
    plan_deployment,
    plan_fabric,
    plan_platform,
)
from .processes import Launcher, StartError
from .steps import HTTP_TIMEOUT_S, Demonstration, print_line

DEMONSTRATION_TIMEOUT_S = 240.0
"""Longest time for the whole demonstration, in seconds."""


async def start_processes(plan: DeploymentPlan, launcher: Launcher, scratch_folder: Path) -> None:
    """Start every process, apply the configuration and wait until all are ready."""
    standins = [plan_platform(plan), plan_fabric(plan)]
    standins += [plan_backend(plan, endpoint) for endpoint in plan.endpoints]
    print_line(f"starting {len(standins)} stand-ins")
    for process in standins:
        launcher.start(process)
    await launcher.wait_ready([process.name for process in standins])
    daemons = [plan_balancer(plan, balancer, scratch_folder) for balancer in plan.balancers]
    daemons += [plan_agent(plan, endpoint, scratch_folder) for endpoint in plan.endpoints]
    print_line(f"starting {len(daemons)} balancers and agents")
    for process in daemons:
        launcher.start(process)
    print_line(await Operator(plan).apply(plan.folder))
    await launcher.wait_ready([process.name for process in daemons])
    print_line("every process is ready")
    # An agent grants no claims until packets sent before its start have expired. Until then, no
    # request of a class that is not repeatable is placed.


async def demonstrate(plan: DeploymentPlan, launcher: Launcher, scratch_folder: Path) -> bool:
    """Run a demonstration; return whether every step passed."""
    sock = CallerSocket(
        CallerSettings((plan.fabric_address, FABRIC_PORT), bind_address=plan.caller_address)
    )
    passed = False
    async with (
        httpx.AsyncClient(timeout=HTTP_TIMEOUT_S, trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        try:
            await start_processes(plan, launcher, scratch_folder)
            await sock.start(nursery)
            passed = await Demonstration(plan, launcher, sock, client).run(nursery)
        except (StartError, CommandError, httpx.HTTPError) as exc:
            print_line(f"FAULT {exc}")
        finally:
            nursery.cancel_scope.cancel()
    return passed


def main(
    deployment: Annotated[
        str, typer.Option(help="example deployment: ribera-norte or lintang")
    ] = "ribera-norte",
    examples: Annotated[Path, typer.Option(help="folder of the example deployments")] = Path(
        "examples"
    ),
) -> None:
    """Start a deployment, run the steps of the demonstration and stop it."""
    try:
        plan = plan_deployment(deployment, examples.resolve())
    except FescueseamError as exc:
        print_line(f"FAULT {exc}")
        raise typer.Exit(KINDS[exc.kind].exit_code) from exc
    scratch_folder = Path(tempfile.mkdtemp(prefix=f"{deployment}-"))
    launcher = Launcher(scratch_folder)
    passed: list[bool] = []

    async def run_demonstration() -> None:
        try:
            with trio.move_on_after(DEMONSTRATION_TIMEOUT_S) as scope:
                passed.append(await demonstrate(plan, launcher, scratch_folder))
            if scope.cancelled_caught:
                print_line(f"FAULT not finished within {DEMONSTRATION_TIMEOUT_S} s")
        finally:
            with trio.CancelScope(shield=True):
                await launcher.close()

    run_until_stopped(run_demonstration)
    print_line(
        "every step passed"
        if any(passed)
        else f"not every step passed; logs are in {scratch_folder}"
    )
    raise typer.Exit(0 if any(passed) else 1)


if __name__ == "__main__":
    typer.run(main)
