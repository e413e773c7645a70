"""Commands that work on settings files, without the store."""

from pathlib import Path
from typing import Annotated

import typer
from attrs import evolve

from fescueseam.checks.faults import Fault, has_errors
from fescueseam.checks.references import check_references
from fescueseam.conf.differences import render_value
from fescueseam.conf.documents import iterate_leaves, load_document
from fescueseam.conf.loading import (
    encode_configuration,
    load_process_settings,
)
from fescueseam.conf.models import Configuration
from fescueseam.conf.structuring import structure_document, suggest_name
from fescueseam.exceptions import KINDS, ErrorKind, SettingsError

from .files import read_deployment, read_settings_file, write_example_files
from .options import FolderArgument, OutputOption, Session, run_command, start_session
from .output import OutputFormat, encode_fault

DEFAULT_ORIGIN = "(default)"

ProcessOption = Annotated[
    list[Path] | None,
    typer.Option(
        "--process", help="Settings file of one process; repeat for overlays, base first."
    ),
]


def init(
    ctx: typer.Context, folder: FolderArgument, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Write an example configuration to a folder."""
    session = start_session(ctx, output)

    def write_and_print() -> None:
        paths = [str(path) for path in write_example_files(folder)]
        if session.printer.is_json:
            session.printer.print_json({"written": paths})
            return
        session.printer.print_lines(f"wrote {path}" for path in paths)
        session.printer.print_lines(["docs/reference/settings.md describes every key"])

    run_command(session, write_and_print)


def check(
    ctx: typer.Context,
    folder: Annotated[
        Path | None, typer.Argument(help="Folder with the deployment's files.")
    ] = None,
    process: ProcessOption = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Check the files of a deployment, the settings of one process, or both; list every fault."""
    if folder is None and not process:
        raise typer.BadParameter("give a folder, files with --process, or both")
    session = start_session(ctx, output)

    def check_and_print() -> None:
        faults = _find_faults(folder, process or [])
        print_faults(session, faults)
        if has_errors(faults):
            raise typer.Exit(KINDS[ErrorKind.INVALID_SETTINGS].exit_code)

    run_command(session, check_and_print)


def show_settings(
    ctx: typer.Context,
    folder: FolderArgument,
    site: Annotated[str, typer.Option("--site", help="Data centre whose overlay is applied.")],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show each value that applies at a site, and the file that sets it."""
    session = start_session(ctx, output)
    run_command(session, lambda: _show_site_settings(session, folder, site))


def print_faults(session: Session, faults: tuple[Fault, ...]) -> None:
    """Print all faults, both errors and warnings."""
    printer = session.printer
    if printer.is_json:
        printer.print_json({"faults": [encode_fault(fault) for fault in faults]})
    elif not faults:
        printer.print_lines(["no faults"])
    else:
        headings = ("ID", "FILE", "PATH", "FAULT", "HINT")
        rows = [(fault.id, fault.file, fault.path, fault.message, fault.hint) for fault in faults]
        printer.print_table(headings, rows)


def _find_faults(folder: Path | None, process_paths: list[Path]) -> tuple[Fault, ...]:
    loaded = read_deployment(folder) if folder else None
    faults = loaded.faults if loaded else ()
    if not process_paths:
        return faults
    files = [read_settings_file(path) for path in process_paths]
    try:
        settings = load_process_settings(files[0], files[1:])
    except SettingsError as exc:
        return faults + exc.faults
    if loaded is None or loaded.configuration is None:
        return faults
    document = load_document(files)
    return faults + tuple(
        evolve(fault, file=document.find_source_file(fault.path))
        for fault in check_references(settings, loaded.configuration)
    )


def _show_site_settings(session: Session, folder: Path, site: str) -> None:
    loaded = read_deployment(folder)
    cfg = loaded.get_or_raise()
    names = [data_centre.name for data_centre in cfg.data_centres]
    if site not in names:
        raise SettingsError(f"there is no data centre {site!r} ({suggest_name(site, names)})")
    document = loaded.sites.get(site, loaded.base)
    merged = structure_document(document, Configuration)
    assert merged is not None
    encoded = encode_configuration(merged)
    rows = [
        (path, value, document.origins.get(path, DEFAULT_ORIGIN))
        for path, value in iterate_leaves(encoded)
        if not path.startswith(("version", "sites"))
    ]
    if session.printer.is_json:
        values = [{"path": path, "value": value, "file": file} for path, value, file in rows]
        session.printer.print_json({"site": site, "values": values})
        return
    rendered_rows = [(path, render_value(value), file) for path, value, file in rows]
    session.printer.print_table(("PATH", "VALUE", "FILE"), rendered_rows)
