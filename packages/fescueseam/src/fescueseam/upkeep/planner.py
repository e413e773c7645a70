"""Plan the next table of a service from the reports of keepers and the configuration."""

from collections.abc import Callable, Mapping

from attrs import evolve, frozen

from fescueseam.membership.facts import Status
from fescueseam.membership.reports import MergedReport
from fescueseam.routing.table import (
    ROW_CANDIDATES,
    ExtraOwner,
    Member,
    MemberState,
    Table,
)
from fescueseam.upkeep.history import list_rows

MEMBERS_LIMIT = 512
"""Largest number of members of a table; further members are deferred."""
EXTRAS_LIMIT = 256
"""Largest number of displaced owners in a table; further joins wait until owners are idle."""


@frozen
class PlannerInput:
    """The input for planning the table of one service."""

    merged_reports: Mapping[str, MergedReport]
    drained: frozenset[str] = frozenset()
    """Members that operators drain."""
    out_data_centres: frozenset[str] = frozenset()
    """Data centres that operators have taken out."""
    absent: frozenset[str] = frozenset()
    """Members without a report for a long time, though others of their data centre are alive."""
    address_owners: Mapping[tuple[str, int], str] = {}
    """For each address and port, the name of the live process there, whatever its service."""


@frozen
class TablePlan:
    """The next table and the number of deferred changes."""

    table: Table
    deferred_count: int = 0
    """Number of changes deferred because majorities would not intersect or a limit is reached."""


CanFollow = Callable[[Table], bool]


def plan_table(
    table: Table,
    inputs: PlannerInput,
    is_expired: Callable[[Member], bool],
    can_follow: CanFollow,
) -> TablePlan:
    """Apply all changes that are allowed now; the epoch is not changed.

    ``is_expired`` returns whether a retired member can be removed, ``can_follow`` whether
    majorities of a table's rows intersect those of recent tables.
    """
    planned = evolve(
        table,
        members=tuple(_update_member(member, table.service, inputs) for member in table.members),
    )
    deferred_count = 0
    planned, newly_deferred = _apply_states(table, planned, can_follow)
    deferred_count += newly_deferred
    for member in planned.members:
        if member.state is MemberState.RETIRED and is_expired(member):
            planned, newly_deferred = _apply_if_allowed(
                planned, _remove_member(planned, member.name), can_follow
            )
            deferred_count += newly_deferred
    for name in _list_finished_extras(planned, inputs):
        planned, newly_deferred = _apply_if_allowed(
            planned, _remove_extras(planned, name), can_follow
        )
        deferred_count += newly_deferred
    for member in _list_joiners(planned, inputs):
        planned, newly_deferred = _apply_if_allowed(
            planned, _add_member(planned, member), can_follow
        )
        deferred_count += newly_deferred
    return TablePlan(planned, deferred_count)


def _apply_states(table: Table, planned: Table, can_follow: CanFollow) -> tuple[Table, int]:
    # An updated member changes rows only if it enters or leaves the candidates.
    if can_follow(planned):
        return planned, 0
    current = {member.name: member for member in table.members}
    result = evolve(
        planned,
        members=tuple(
            evolve(member, state=current[member.name].state) for member in planned.members
        ),
    )
    deferred_count = 0
    for member in planned.members:
        if member.state is not current[member.name].state:
            result, newly_deferred = _apply_if_allowed(
                result, _replace_member(result, member), can_follow
            )
            deferred_count += newly_deferred
    return result, deferred_count


def _apply_if_allowed(
    table: Table, candidate: Table | None, can_follow: CanFollow
) -> tuple[Table, int]:
    if candidate is None or not can_follow(candidate):
        return table, 1
    return candidate, 0


def _update_member(member: Member, service: str, inputs: PlannerInput) -> Member:
    report = inputs.merged_reports.get(member.name)
    if member.data_centre in inputs.out_data_centres and (
        report is None or report.status != Status.ALIVE
    ):
        return member
    if report is None:
        return _retire(member) if member.name in inputs.absent else member
    facts = report.facts
    if facts.incarnation < member.incarnation:
        return member
    if facts.service != service:
        return _retire(member)
    if report.status is Status.DEAD or _is_address_reused(member, inputs):
        return _retire(member)
    if report.status is Status.SUSPECTED:
        return member
    return Member(
        member.name,
        facts.data_centre,
        facts.address,
        facts.control_port,
        facts.incarnation,
        _compute_state(member, report, inputs),
    )


def _compute_state(member: Member, report: MergedReport, inputs: PlannerInput) -> MemberState:
    facts = report.facts
    if not facts.draining and member.name not in inputs.drained:
        return MemberState.ACTIVE
    # An agent that is not draining can be idle now and still accept a flow later.
    if member.state is MemberState.ACTIVE or not facts.draining or not facts.idle:
        return MemberState.LEAVING
    return MemberState.RETIRED


def _is_address_reused(member: Member, inputs: PlannerInput) -> bool:
    owner = inputs.address_owners.get((member.address, member.control_port), member.name)
    return owner != member.name


def _retire(member: Member) -> Member:
    return evolve(member, state=MemberState.RETIRED)


def _list_joiners(table: Table, inputs: PlannerInput) -> list[Member]:
    listed = {member.name for member in table.members}
    return [
        Member(name, facts.data_centre, facts.address, facts.control_port, facts.incarnation)
        for name, report in sorted(inputs.merged_reports.items())
        if name not in listed and report.status is Status.ALIVE
        for facts in (report.facts,)
        if facts.service == table.service
        and not facts.draining
        and name not in inputs.drained
        and facts.data_centre not in inputs.out_data_centres
    ]


def _add_member(table: Table, member: Member) -> Table | None:
    if len(table.members) >= MEMBERS_LIMIT:
        return None
    joined = evolve(table, members=(*table.members, member))
    extras = {*table.extras, *_find_displaced_owners(table, joined)}
    if len(extras) > EXTRAS_LIMIT:
        return None
    ordered = sorted(extras, key=lambda extra: (extra.bucket, extra.member))
    return evolve(joined, extras=tuple(ordered))


def _find_displaced_owners(table: Table, joined: Table) -> list[ExtraOwner]:
    active_count = sum(member.state is MemberState.ACTIVE for member in joined.members)
    if active_count <= ROW_CANDIDATES:
        return []
    before, after = list_rows(table), list_rows(joined)
    return [
        ExtraOwner(bucket, name)
        for bucket, row in enumerate(after)
        for name in sorted(before[bucket % len(before)] - row)
    ]


def _list_finished_extras(table: Table, inputs: PlannerInput) -> list[str]:
    states = {member.name: member.state for member in table.members}
    merged_reports = inputs.merged_reports
    return [
        name
        for name in sorted({extra.member for extra in table.extras})
        if states[name] is MemberState.RETIRED
        or (
            name in merged_reports
            and merged_reports[name].status is Status.ALIVE
            and merged_reports[name].facts.idle
        )
    ]


def _remove_extras(table: Table, name: str) -> Table:
    return evolve(table, extras=tuple(extra for extra in table.extras if extra.member != name))


def _remove_member(table: Table, name: str) -> Table:
    members = tuple(member for member in table.members if member.name != name)
    return evolve(_remove_extras(table, name), members=members)


def _replace_member(table: Table, new: Member) -> Table:
    members = tuple(new if member.name == new.name else member for member in table.members)
    return evolve(table, members=members)
