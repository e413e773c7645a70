"""Commands that change the accepted configuration, or show what a change would do."""

from pathlib import Path
from typing import Annotated

import typer

from fescueseam.conf.accepted import preserve_operational_state, set_data_centre_state, set_drain
from fescueseam.conf.differences import find_differences
from fescueseam.conf.loading import LoadedConfiguration
from fescueseam.conf.models import Configuration, DataCentreState
from fescueseam.conf.structuring import suggest_name
from fescueseam.exceptions import SettingsError
from fescueseam.upkeep.codec import TABLES_PREFIX, decode_table
from fescueseam.upkeep.store import Store

from .changes import ChangeFunction, ChangeResult, read_snapshot
from .files import read_deployment
from .options import (
    DEFAULT_CALL_TIMEOUT_S,
    FolderArgument,
    OutputOption,
    Session,
    StoreOption,
    TimeoutOption,
    run_async_command,
    start_session,
)
from .output import OutputFormat, encode_differences, encode_fault

ExpectOption = Annotated[
    int | None,
    typer.Option("--expect-version", help="Fail unless this version is in force."),
]


def diff(
    ctx: typer.Context,
    folder: FolderArgument,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show what applying the files of a deployment would change."""
    run_async_command(start_session(ctx, output, store, timeout_s), _diff, folder)


def apply(
    ctx: typer.Context,
    folder: FolderArgument,
    expect_version: ExpectOption = None,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Check the files of a deployment and put them in force."""
    run_async_command(start_session(ctx, output, store, timeout_s), _apply, folder, expect_version)


def drain(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of the backend server.")],
    undo: Annotated[
        bool, typer.Option("--undo", help="Stop draining; accept new flows again.")
    ] = False,
    force: Annotated[
        bool, typer.Option("--force", help="Accept the name of an unknown backend server.")
    ] = False,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Drain a backend server: it gets no new flows, and its open flows continue."""
    run_async_command(start_session(ctx, output, store, timeout_s), _drain, name, undo, force)


def take_out(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of the data centre.")],
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Take a data centre out of service; flows to its backend servers are dropped."""
    session = start_session(ctx, output, store, timeout_s)
    run_async_command(session, _set_data_centre_state, name, DataCentreState.OUT)


def bring_in(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of the data centre.")],
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Bring a data centre back into service."""
    session = start_session(ctx, output, store, timeout_s)
    run_async_command(session, _set_data_centre_state, name, DataCentreState.IN)


async def _diff(session: Session, folder: Path) -> None:
    loaded = read_deployment(folder)
    loaded.get_or_raise()
    async with session.open_store() as store:
        current = (await read_snapshot(store)).configuration
    differences = find_differences(current, _make_change_function(loaded)(current))
    printer = session.printer
    if printer.is_json:
        encoded = encode_differences(differences)
        printer.print_json({"version": current.version, "differences": encoded})
        return
    printer.print_lines([f"version in force: {current.version}", *differences])
    if not differences:
        printer.print_lines(["no differences"])
    printer.print_lines(f"kept: {line}" for line in _list_preserved_state(loaded, current))


async def _apply(session: Session, folder: Path, expect_version: int | None) -> None:
    loaded = read_deployment(folder)
    loaded.get_or_raise()
    preserved: list[str] = []
    change = _make_change_function(loaded)

    def change_and_list_preserved(current: Configuration) -> Configuration:
        preserved[:] = _list_preserved_state(loaded, current)
        return change(current)

    async with session.open_updater() as updater:
        result = await updater.update(change_and_list_preserved, expect_version)
    print_change_result(session, result, preserved)


async def _drain(session: Session, name: str, undo: bool, force: bool) -> None:
    async with session.open_store() as store:
        if not undo and not force:
            await _require_known_backend(store, name)
        updater = session.environment.make_updater(store)
        result = await updater.update(lambda cfg: set_drain(cfg, name, not undo))
    print_change_result(session, result)


async def _set_data_centre_state(session: Session, name: str, state: DataCentreState) -> None:
    async with session.open_updater() as updater:
        result = await updater.update(lambda cfg: set_data_centre_state(cfg, name, state))
    print_change_result(session, result)


def print_change_result(
    session: Session, result: ChangeResult, preserved: list[str] | None = None
) -> None:
    """Print the new version, the differences and the warnings of a change."""
    printer = session.printer
    if printer.is_json:
        printer.print_json(
            {
                "version": result.version,
                "changed": bool(result.differences),
                "differences": encode_differences(result.differences),
                "kept": preserved or [],
                "warnings": [encode_fault(fault) for fault in result.faults],
            }
        )
        return
    outcome = "accepted" if result.differences else "nothing to change; in force:"
    printer.print_lines([f"{outcome} version {result.version}", *result.differences])
    printer.print_lines(f"kept: {line}" for line in preserved or [])
    printer.print_lines(f"warning: {fault}" for fault in result.faults)


async def _require_known_backend(store: Store, name: str) -> None:
    objects = await store.list_objects(TABLES_PREFIX)
    names = [member.name for stored in objects for member in decode_table(stored.value).members]
    if name not in names:
        hint = suggest_name(name, names) if names else "no backend server has announced itself"
        raise SettingsError(
            f"no backend server is named {name!r} ({hint}); use --force to accept it"
        )


def _make_change_function(loaded: LoadedConfiguration) -> ChangeFunction:
    cfg = loaded.get_or_raise()
    paths_in_files = _list_paths_in_base_file(loaded)
    return lambda current: preserve_operational_state(current, cfg, paths_in_files)


def _list_paths_in_base_file(loaded: LoadedConfiguration) -> frozenset[str]:
    return frozenset(loaded.base.origins)


def _list_preserved_state(loaded: LoadedConfiguration, current: Configuration) -> list[str]:
    from_files = loaded.get_or_raise()
    preserved = preserve_operational_state(current, from_files, _list_paths_in_base_file(loaded))
    return [str(difference) for difference in find_differences(from_files, preserved)]
