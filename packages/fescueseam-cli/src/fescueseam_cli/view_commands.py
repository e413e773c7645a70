"""Commands that show the state of the processes, of a flow and of the configuration."""

from collections import defaultdict
from typing import Annotated, Any

import typer
from attrs import frozen

from fescueseam.conf.accepted import CONFIGURATION_KEY, decode_accepted
from fescueseam.conf.differences import Difference, find_differences
from fescueseam.conf.models import Configuration
from fescueseam.exceptions import ErrorKind, PacketError, StoreError
from fescueseam.retries.backoff import compute_backoff
from fescueseam.upkeep.codec import TABLES_PREFIX, decode_table

from .changes import read_snapshot
from .explain import Endpoint, Explanation, explain_flow, find_service_name, parse_endpoint
from .options import (
    DEFAULT_CALL_TIMEOUT_S,
    OutputOption,
    Session,
    StoreOption,
    TimeoutOption,
    run_async_command,
    start_session,
)
from .output import OutputFormat, encode_differences
from .peers import QueryResult, collect_peers, query_processes

WATCH_TIMEOUT_S = 30.0
"""Longest duration of one watch call before it is renewed, in seconds."""


def status(
    ctx: typer.Context,
    peer: Annotated[
        list[str] | None,
        typer.Option(
            "--peer", metavar="ADDRESS:PORT", help="Also query this process and its peers."
        ),
    ] = None,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show the configuration version of each process, and which processes lag behind."""
    run_async_command(start_session(ctx, output, store, timeout_s), _show_status, peer or [])


def explain(
    ctx: typer.Context,
    source: Annotated[str, typer.Argument(help="Caller's address:port.")],
    destination: Annotated[str, typer.Argument(help="Service's address:port.")],
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show where a flow would be routed, and why."""
    session = start_session(ctx, output, store, timeout_s)

    async def parse_and_explain(session: Session) -> None:
        await _explain(session, parse_endpoint(source), parse_endpoint(destination))

    run_async_command(session, parse_and_explain)


def watch(
    ctx: typer.Context,
    count: Annotated[
        int, typer.Option("--count", min=0, help="Exit after this many versions; 0 means never.")
    ] = 0,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_CALL_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Print each new configuration version and its differences as it is accepted."""
    run_async_command(start_session(ctx, output, store, timeout_s), _watch, count)


@frozen
class SiteSummary:
    """Status of a data centre's processes, compared with the newest version."""

    data_centre: str
    processes: int
    current: int
    lagging: tuple[str, ...]
    unanswered: tuple[str, ...]


async def _show_status(session: Session, http_addresses: list[str]) -> None:
    accepted_version, store_error = await _read_accepted_version(session)
    peers: tuple[Any, ...]
    if store_error:
        peers, _ = await collect_peers(None, http_addresses)
    else:
        async with session.open_store() as store:
            peers, store_error = await collect_peers(store, http_addresses)
    async with session.open_client() as client:
        results = await query_processes(client, peers)
    if store_error and not any(result.status for result in results):
        raise StoreError(f"{store_error}; no process answered either")
    reported_versions = [result.status.config_version for result in results if result.status]
    # Without the store, use the newest version that a process reports.
    newest_version = max([accepted_version, *reported_versions])
    _print_status(session, newest_version, store_error, results)


async def _read_accepted_version(session: Session) -> tuple[int, str]:
    if not session.store_url:
        return 0, "no store URL is given"
    try:
        async with session.open_store() as store:
            return (await read_snapshot(store)).configuration.version, ""
    except StoreError as exc:
        return 0, str(exc)


def _print_status(
    session: Session, newest_version: int, store_error: str, results: tuple[QueryResult, ...]
) -> None:
    sites = summarise_sites(newest_version, results)
    printer = session.printer
    if printer.is_json:
        printer.print_json(
            {
                "version": newest_version,
                "store": store_error or "answers",
                "sites": sites,
                "processes": [_describe_result(newest_version, result) for result in results],
            }
        )
        return
    if store_error:
        printer.print_lines([f"store: {store_error}"])
    printer.print_lines([f"newest known version: {newest_version}", ""])
    site_rows = [
        (
            site.data_centre,
            f"{site.current} of {site.processes}",
            ", ".join(site.lagging) or "-",
            ", ".join(site.unanswered) or "-",
        )
        for site in sites
    ]
    printer.print_table(("DATA CENTRE", "CURRENT", "LAGGING", "NO ANSWER"), site_rows)
    printer.print_lines([""])
    headings = ("PROCESS", "ROLE", "DATA CENTRE", "PLACE", "VERSION", "STATE", "TABLES")
    rows = []
    for result in results:
        row = _describe_result(newest_version, result)
        tables = " ".join(f"{name}={epoch}" for name, epoch in sorted(row["tables"].items()))
        keys = ("name", "role", "data_centre", "place", "config_version", "state")
        cells = ("-" if row[key] is None else row[key] for key in keys)
        rows.append((*cells, tables))
    printer.print_table(headings, rows)


def summarise_sites(
    newest_version: int, results: tuple[QueryResult, ...]
) -> tuple[SiteSummary, ...]:
    """Return the summary of each data centre, sorted by name."""
    by_site: dict[str, list[QueryResult]] = defaultdict(list)
    for result in results:
        by_site[(result.status or result.peer).data_centre or "?"].append(result)
    return tuple(
        SiteSummary(
            data_centre,
            len(site_results),
            sum(
                result.status is not None and _compute_lag(newest_version, result) == 0
                for result in site_results
            ),
            tuple(
                _get_process_name(result)
                for result in site_results
                if result.status and _compute_lag(newest_version, result)
            ),
            tuple(_get_process_name(result) for result in site_results if result.status is None),
        )
        for data_centre, site_results in sorted(by_site.items())
    )


def _compute_lag(newest_version: int, result: QueryResult) -> int:
    return newest_version - result.status.config_version if result.status else 0


def _get_process_name(result: QueryResult) -> str:
    return result.status.name if result.status else result.peer.name or result.peer.http_address


def _describe_result(newest_version: int, result: QueryResult) -> dict[str, Any]:
    source = result.status or result.peer
    lag = _compute_lag(newest_version, result)
    state = result.problem or (f"behind by {lag}" if lag else "current")
    return {
        "name": _get_process_name(result),
        "role": source.role,
        "data_centre": source.data_centre,
        "place": result.peer.http_address,
        "config_version": result.status.config_version if result.status else None,
        "state": state,
        "tables": result.status.tables if result.status else {},
    }


async def _explain(session: Session, source: Endpoint, destination: Endpoint) -> None:
    async with session.open_store() as store:
        cfg = (await read_snapshot(store)).configuration
        service = find_service_name(cfg, destination)
        stored = await store.get(TABLES_PREFIX + service)
    if stored is None:
        detail = f"{service!r} has no table: no backend server has announced itself"
        raise PacketError(detail, ErrorKind.NO_MEMBERS)
    explanation = explain_flow(cfg, decode_table(stored.value), source, destination)
    _print_explanation(session, explanation)


def _print_explanation(session: Session, explanation: Explanation) -> None:
    printer = session.printer
    if printer.is_json:
        printer.print_json(explanation)
        return
    printer.print_lines(
        [
            f"flow {explanation.flow}",
            f"service {explanation.service}, class {explanation.service_class}",
            f"configuration {explanation.config_version}, table epoch {explanation.epoch}, "
            f"bucket {explanation.bucket} of {explanation.buckets}",
            "",
        ]
    )
    rows = [
        (index, step.name, step.data_centre, step.part, step.reason)
        for index, step in enumerate(explanation.steps, 1)
    ]
    printer.print_table(("#", "MEMBER", "DATA CENTRE", "PART", "REASON"), rows)
    printer.print_lines(["", explanation.conclusion])


async def _watch(session: Session, count: int) -> None:
    last_configuration = Configuration()
    after_revision = 0
    failures = 0
    printed_count = 0
    async with session.open_store() as store:
        while not count or printed_count < count:
            try:
                changes = await store.watch(CONFIGURATION_KEY, after_revision, WATCH_TIMEOUT_S)
            except StoreError as exc:
                if not failures:
                    _print_store_state(session, "away", str(exc))
                await session.environment.sleep(compute_backoff(failures, session.environment.rng))
                failures += 1
                continue
            if failures:
                _print_store_state(session, "back", "the store is available again")
            failures = 0
            after_revision = changes.revision
            for stored in changes.objects:
                if stored.key != CONFIGURATION_KEY:
                    continue
                accepted = decode_accepted(stored.value)
                # A stale reply must not be printed as a change back to an older version.
                if accepted.version <= last_configuration.version:
                    continue
                differences = find_differences(last_configuration, accepted.configuration)
                _print_version(session, accepted.version, accepted.writer, differences)
                last_configuration = accepted.configuration
                printed_count += 1


def _print_store_state(session: Session, state: str, detail: str) -> None:
    if session.printer.is_json:
        session.printer.print_json({"store": state, "detail": detail})
        return
    session.printer.print_lines([f"store {state}: {detail}"])


def _print_version(
    session: Session, version: int, writer: str, differences: tuple[Difference, ...]
) -> None:
    if session.printer.is_json:
        event = {"version": version, "writer": writer}
        session.printer.print_json({**event, "differences": encode_differences(differences)})
        return
    lines = [f"  {difference}" for difference in differences]
    session.printer.print_lines([f"version {version} by {writer}", *lines])
