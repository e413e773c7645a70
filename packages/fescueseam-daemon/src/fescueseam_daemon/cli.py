"""The command line that starts the daemons."""

import signal
from pathlib import Path
from typing import Annotated

import trio
import typer

from fescueseam.conf.loading import SettingsFile, load_process_settings
from fescueseam.conf.models import ProcessSettings, Role
from fescueseam.exceptions import KINDS, FescueseamError
from fescueseam_daemon.agent import AgentDaemon
from fescueseam_daemon.balancer import BalancerDaemon
from fescueseam_daemon.logs import configure_logs

app = typer.Typer(
    help="Run the processes of fescueseam.", no_args_is_help=True, pretty_exceptions_enable=False
)

BaseOption = Annotated[Path, typer.Option(help="Settings shared by all sites.", exists=True)]
OverlayOption = Annotated[
    list[Path] | None, typer.Option(help="Settings of this site or process; may be repeated.")
]
CheckOption = Annotated[bool, typer.Option("--check-only", help="Check the settings and exit.")]


@app.command()
def balancer(
    base: BaseOption, overlay: OverlayOption = None, check_only: CheckOption = False
) -> None:
    """Run the stateless packet path on an entry instance."""
    start_process(base, overlay or [], Role.BALANCER, check_only)


@app.command()
def agent(base: BaseOption, overlay: OverlayOption = None, check_only: CheckOption = False) -> None:
    """Run the process beside a backend server."""
    start_process(base, overlay or [], Role.AGENT, check_only)


def start_process(base: Path, overlays: list[Path], role: Role, check_only: bool) -> None:
    """Check the settings, then run the process until a signal stops it."""
    try:
        settings = load_settings(base, overlays, role)
        if check_only:
            typer.echo(f"{settings.name}: the settings are valid")
            return
        configure_logs(settings.log_format, settings.name)
        daemon = AgentDaemon(settings) if role is Role.AGENT else BalancerDaemon(settings)
        trio.run(run_daemon, daemon)
    except FescueseamError as exc:
        raise report_error(exc) from exc
    except BaseExceptionGroup as group:
        matched = group.subgroup(FescueseamError)
        if matched is None:
            raise
        raise report_error(find_first_error(matched)) from group


def report_error(exc: FescueseamError) -> typer.Exit:
    """Print an error and return an exit with the code of its kind."""
    typer.echo(str(exc), err=True)
    return typer.Exit(KINDS[exc.kind].exit_code)


def find_first_error(group: BaseExceptionGroup[FescueseamError]) -> FescueseamError:
    """Return the first error of a group, which may contain other groups."""
    first = group.exceptions[0]
    return find_first_error(first) if isinstance(first, BaseExceptionGroup) else first


def load_settings(base: Path, overlays: list[Path], role: Role) -> ProcessSettings:
    """Load the settings of a process; raise SettingsError that lists all faults."""
    files = [SettingsFile(str(path), path.read_text()) for path in (base, *overlays)]
    role_file = SettingsFile("(command line)", f'{{"role": "{role.value}"}}')
    return load_process_settings(files[0], [*files[1:], role_file])


async def run_daemon(daemon: AgentDaemon | BalancerDaemon) -> None:
    """Run a daemon; the first signal drains it, a second one ends the drain at once."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await daemon.start(nursery)
            await anext(signals)
            async with trio.open_nursery() as drain_nursery:
                drain_nursery.start_soon(_cancel_on_signal, signals, drain_nursery.cancel_scope)
                await daemon.drain()
                drain_nursery.cancel_scope.cancel()
            await daemon.close()
            nursery.cancel_scope.cancel()


async def _cancel_on_signal(signals: object, scope: trio.CancelScope) -> None:
    await anext(signals)  # type: ignore[call-overload]
    scope.cancel()


def main() -> None:
    """Run the command line."""
    app()
