"""Offer the commands that show what is in force."""

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

from .changes import read_current
from .explain import Endpoint, Explanation, explain_flow, find_service_name, parse_endpoint
from .options import (
    DEFAULT_TIMEOUT_S,
    OutputOption,
    Session,
    StoreOption,
    TimeoutOption,
    run_async,
    start_session,
)
from .output import OutputFormat, describe_differences
from .peers import Answer, ask_processes, gather_peers

WATCH_S = 30.0
"""Let one watch wait this long before it is renewed, in seconds."""


def status(
    ctx: typer.Context,
    peer: Annotated[
        list[str] | None,
        typer.Option("--peer", metavar="ADDRESS:PORT", help="Ask this process and its peers too."),
    ] = None,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show which version each process has in force and who lags."""
    run_async(start_session(ctx, output, store, timeout_s), _show_status, peer or [])


def explain(
    ctx: typer.Context,
    source: Annotated[str, typer.Argument(help="Caller's address:port.")],
    destination: Annotated[str, typer.Argument(help="Service's address:port.")],
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show where a flow would go, and why."""
    session = start_session(ctx, output, store, timeout_s)

    async def show(session: Session) -> None:
        await _explain(session, parse_endpoint(source), parse_endpoint(destination))

    run_async(session, show)


def watch(
    ctx: typer.Context,
    count: Annotated[
        int, typer.Option("--count", min=0, help="End after this many versions; 0 never ends.")
    ] = 0,
    store: StoreOption = "",
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Print each accepted version as it comes, and what it changes."""
    run_async(start_session(ctx, output, store, timeout_s), _watch, count)


@frozen
class SiteSummary:
    """Tell how far one data centre is."""

    data_centre: str
    processes: int
    current: int
    lagging: tuple[str, ...]
    unanswered: tuple[str, ...]


async def _show_status(session: Session, places: list[str]) -> None:
    accepted, store_problem = await _read_accepted_version(session)
    peers: tuple[Any, ...]
    if store_problem:
        peers, _ = await gather_peers(None, places)
    else:
        async with session.open_store() as store:
            peers, store_problem = await gather_peers(store, places)
    async with session.open_client() as client:
        answers = await ask_processes(client, peers)
    if store_problem and not any(answer.status for answer in answers):
        raise StoreError(f"{store_problem}; no process answered either")
    seen = [answer.status.config_version for answer in answers if answer.status]
    # Without the store the newest version that any process has is the best that is known.
    newest = max([accepted, *seen])
    _print_status(session, newest, store_problem, answers)


async def _read_accepted_version(session: Session) -> tuple[int, str]:
    if not session.store_url:
        return 0, "no store is named"
    try:
        async with session.open_store() as store:
            return (await read_current(store)).configuration.version, ""
    except StoreError as exc:
        return 0, str(exc)


def _print_status(
    session: Session, newest: int, store_problem: str, answers: tuple[Answer, ...]
) -> None:
    sites = summarise_sites(newest, answers)
    printer = session.printer
    if printer.is_json:
        printer.print_json(
            {
                "version": newest,
                "store": store_problem or "answers",
                "sites": sites,
                "processes": [_describe_answer(newest, answer) for answer in answers],
            }
        )
        return
    if store_problem:
        printer.print_lines([f"store: {store_problem}"])
    printer.print_lines([f"newest known version: {newest}", ""])
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
    for answer in answers:
        row = _describe_answer(newest, answer)
        tables = " ".join(f"{name}={epoch}" for name, epoch in sorted(row["tables"].items()))
        keys = ("name", "role", "data_centre", "place", "config_version", "state")
        cells = ("-" if row[key] is None else row[key] for key in keys)
        rows.append((*cells, tables))
    printer.print_table(headings, rows)


def summarise_sites(newest: int, answers: tuple[Answer, ...]) -> tuple[SiteSummary, ...]:
    """Return how far each data centre is behind the newest version."""
    by_site: dict[str, list[Answer]] = defaultdict(list)
    for answer in answers:
        by_site[(answer.status or answer.peer).data_centre or "?"].append(answer)
    return tuple(
        SiteSummary(
            data_centre,
            len(asked),
            sum(answer.status is not None and _lag(newest, answer) == 0 for answer in asked),
            tuple(_name(answer) for answer in asked if answer.status and _lag(newest, answer)),
            tuple(_name(answer) for answer in asked if answer.status is None),
        )
        for data_centre, asked in sorted(by_site.items())
    )


def _lag(newest: int, answer: Answer) -> int:
    return newest - answer.status.config_version if answer.status else 0


def _name(answer: Answer) -> str:
    return answer.status.name if answer.status else answer.peer.name or answer.peer.place


def _describe_answer(newest: int, answer: Answer) -> dict[str, Any]:
    known = answer.status or answer.peer
    lag = _lag(newest, answer)
    state = answer.problem or (f"behind by {lag}" if lag else "current")
    return {
        "name": _name(answer),
        "role": known.role,
        "data_centre": known.data_centre,
        "place": answer.peer.place,
        "config_version": answer.status.config_version if answer.status else None,
        "state": state,
        "tables": answer.status.tables if answer.status else {},
    }


async def _explain(session: Session, source: Endpoint, destination: Endpoint) -> None:
    async with session.open_store() as store:
        cfg = (await read_current(store)).configuration
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
    known = Configuration()
    after = 0
    failures = 0
    shown = 0
    async with session.open_store() as store:
        while not count or shown < count:
            try:
                changes = await store.watch(CONFIGURATION_KEY, after, WATCH_S)
            except StoreError as exc:
                if not failures:
                    _print_event(session, "away", str(exc))
                await session.environment.sleep(compute_backoff(failures, session.environment.rng))
                failures += 1
                continue
            if failures:
                _print_event(session, "back", "the store answers again")
            failures = 0
            after = changes.revision
            for stored in changes.objects:
                if stored.key != CONFIGURATION_KEY:
                    continue
                accepted = decode_accepted(stored.value)
                # A stale answer must not look like a change back.
                if accepted.version <= known.version:
                    continue
                differences = find_differences(known, accepted.configuration)
                _print_version(session, accepted.version, accepted.writer, differences)
                known = accepted.configuration
                shown += 1


def _print_event(session: Session, state: str, detail: str) -> None:
    if session.printer.is_json:
        session.printer.print_json({"store": state, "detail": detail})
        return
    session.printer.print_lines([f"store {state}: {detail}"])


def _print_version(
    session: Session, version: int, writer: str, differences: tuple[Difference, ...]
) -> None:
    if session.printer.is_json:
        plain = {"version": version, "writer": writer}
        session.printer.print_json({**plain, "differences": describe_differences(differences)})
        return
    lines = [f"  {difference}" for difference in differences]
    session.printer.print_lines([f"version {version} by {writer}", *lines])
