"""Options that commands share, and the functions that run a command."""

import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import httpx
import trio
import typer
from attrs import frozen

from fescueseam.checks.values import check_url
from fescueseam.conf.loading import make_settings_error
from fescueseam.exceptions import KINDS, FescueseamError, SettingsError, StoreError
from fescueseam_daemon.store import StoreClient

from .changes import ConfigurationUpdater
from .environment import Environment
from .output import OutputFormat, Printer

DEFAULT_CALL_TIMEOUT_S = 5.0
WATCH_TIMEOUT_MARGIN_S = 5.0
"""Time to wait for the answer to a watch after the watch itself has ended, in seconds."""

StoreOption = Annotated[
    str,
    typer.Option(
        "--store", metavar="URL", envvar="FESCUESEAM_STORE", help="URL of the platform's store."
    ),
]
OutputOption = Annotated[OutputFormat, typer.Option("--output", help="Output format.")]
TimeoutOption = Annotated[
    float, typer.Option("--timeout-s", min=0.1, help="Timeout of each call, in seconds.")
]
FolderArgument = Annotated[
    Path, typer.Argument(help="Folder with base.json and sites/<data centre>.json.")
]


@frozen
class Session:
    """Environment, output and store settings of one command."""

    environment: Environment
    printer: Printer
    store_url: str = ""
    timeout_s: float = DEFAULT_CALL_TIMEOUT_S

    @asynccontextmanager
    async def open_store(self) -> AsyncIterator[StoreClient]:
        """Open the store; raise SettingsError if its URL is missing or invalid."""
        if not self.store_url:
            raise SettingsError("no store URL is given: use --store URL or FESCUESEAM_STORE")
        faults = tuple(check_url("--store", self.store_url))
        if faults:
            raise make_settings_error(faults)
        async with self.open_client(self.store_url) as client:
            yield StoreClient(client, WATCH_TIMEOUT_MARGIN_S)

    @asynccontextmanager
    async def open_updater(self) -> AsyncIterator[ConfigurationUpdater]:
        """Open the store and return an updater for its configuration."""
        async with self.open_store() as store:
            yield self.environment.make_updater(store)

    @asynccontextmanager
    async def open_client(self, url: str = "") -> AsyncIterator[httpx.AsyncClient]:
        """Open an HTTP client with the timeout of the session."""
        async with self.environment.open_client(self.timeout_s, url) as client:
            yield client


def start_session(
    ctx: typer.Context,
    output: OutputFormat,
    store_url: str = "",
    timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
) -> Session:
    """Return the session of a command; tests pass their environment in the context."""
    environment = ctx.obj if isinstance(ctx.obj, Environment) else Environment()
    return Session(environment, Printer(output), store_url, timeout_s)


def run_async_command(
    session: Session, command: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run an asynchronous command; on an error, print it and exit with its code."""
    run_command(session, partial(trio.run, command, session, *arguments))


def run_command(session: Session, command: Callable[[], None]) -> None:
    """Run a command; on an error, print it and exit with its code."""
    try:
        command()
    except FescueseamError as exc:
        session.printer.print_error(exc)
        if isinstance(exc, StoreError) and not session.printer.is_json:
            hint = "'fescueseam status --peer ADDRESS:PORT' works without the store"
            print(f"hint: {hint}", file=sys.stderr)
        raise typer.Exit(KINDS[exc.kind].exit_code) from exc
