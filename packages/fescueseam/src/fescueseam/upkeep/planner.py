"""Plan the next table of a service from what keepers see and operators want."""

from collections.abc import Callable, Mapping

from attrs import evolve, frozen

from fescueseam.membership.facts import Status
from fescueseam.membership.reports import Sighting
from fescueseam.routing.table import (
    ROW_CANDIDATES,
    ExtraOwner,
    Member,
    MemberState,
    Table,
)
from fescueseam.upkeep.history import list_rows

MEMBERS_LIMIT = 512
"""Bound the members of one table; at the bound new ones wait."""
EXTRAS_LIMIT = 256
"""Bound displaced owners of one table; at the bound joins wait until flows have ended."""


@frozen
class Wanted:
    """Hold everything that bears on the table of one service."""

    sightings: Mapping[str, Sighting]
    drained: frozenset[str] = frozenset()
    out: frozenset[str] = frozenset()
    """List data centres that operators have taken out."""
    absent: frozenset[str] = frozenset()
    """Name members that no keeper has reported on for long, though their data centre is seen."""
    address_owners: Mapping[tuple[str, int], str] = {}
    """Name the process seen alive at each address, whatever its service."""


@frozen
class Plan:
    """Hold the next table and what had to wait."""

    table: Table
    held: int = 0
    """Count changes put off so that majorities keep meeting, or at a bound."""


Allows = Callable[[Table], bool]


def plan_table(
    table: Table,
    wanted: Wanted,
    is_expired: Callable[[Member], bool],
    allows: Allows,
) -> Plan:
    """Return the table with every change that may be made now; the epoch stays.

    ``is_expired`` tells whether a retired member has been listed for long enough, ``allows``
    whether the rows of a table may follow the recent ones.
    """
    planned = evolve(
        table, members=tuple(_renew(member, table.service, wanted) for member in table.members)
    )
    held = 0
    planned, waits = _apply_states(table, planned, allows)
    held += waits
    for member in planned.members:
        if member.state is MemberState.RETIRED and is_expired(member):
            planned, waits = _try(planned, _drop(planned, member.name), allows)
            held += waits
    for name in _list_idle_extras(planned, wanted):
        planned, waits = _try(planned, _drop_extras(planned, name), allows)
        held += waits
    for member in _list_joiners(planned, wanted):
        planned, waits = _try(planned, _join(planned, member), allows)
        held += waits
    return Plan(planned, held)


def _apply_states(table: Table, planned: Table, allows: Allows) -> tuple[Table, int]:
    # Entries of the same name never change a row, unless they enter or leave the candidates.
    if allows(planned):
        return planned, 0
    current = {member.name: member for member in table.members}
    result = evolve(
        planned,
        members=tuple(
            evolve(member, state=current[member.name].state) for member in planned.members
        ),
    )
    held = 0
    for member in planned.members:
        if member.state is not current[member.name].state:
            result, waits = _try(result, _replace(result, member), allows)
            held += waits
    return result, held


def _try(table: Table, candidate: Table | None, allows: Allows) -> tuple[Table, int]:
    if candidate is None or not allows(candidate):
        return table, 1
    return candidate, 0


def _renew(member: Member, service: str, wanted: Wanted) -> Member:
    sighting = wanted.sightings.get(member.name)
    if member.data_centre in wanted.out and (sighting is None or sighting.status != Status.ALIVE):
        return member
    if sighting is None:
        return _retire(member) if member.name in wanted.absent else member
    facts = sighting.facts
    if facts.incarnation < member.incarnation:
        return member
    if facts.service != service:
        return _retire(member)
    if sighting.status is Status.DEAD or _is_displaced(member, wanted):
        return _retire(member)
    if sighting.status is Status.SUSPECTED:
        return member
    return Member(
        member.name,
        facts.data_centre,
        facts.address,
        facts.control_port,
        facts.incarnation,
        _judge_state(member, sighting, wanted),
    )


def _judge_state(member: Member, sighting: Sighting, wanted: Wanted) -> MemberState:
    facts = sighting.facts
    if not facts.draining and member.name not in wanted.drained:
        return MemberState.ACTIVE
    # Only an agent that turns down new flows itself stays idle once it says so.
    if member.state is MemberState.ACTIVE or not facts.draining or not facts.idle:
        return MemberState.LEAVING
    return MemberState.RETIRED


def _is_displaced(member: Member, wanted: Wanted) -> bool:
    owner = wanted.address_owners.get((member.address, member.control_port), member.name)
    return owner != member.name


def _retire(member: Member) -> Member:
    return evolve(member, state=MemberState.RETIRED)


def _list_joiners(table: Table, wanted: Wanted) -> list[Member]:
    listed = {member.name for member in table.members}
    return [
        Member(name, facts.data_centre, facts.address, facts.control_port, facts.incarnation)
        for name, sighting in sorted(wanted.sightings.items())
        if name not in listed and sighting.status is Status.ALIVE
        for facts in (sighting.facts,)
        if facts.service == table.service
        and not facts.draining
        and name not in wanted.drained
        and facts.data_centre not in wanted.out
    ]


def _join(table: Table, member: Member) -> Table | None:
    if len(table.members) >= MEMBERS_LIMIT:
        return None
    joined = evolve(table, members=(*table.members, member))
    extras = {*table.extras, *_find_displaced(table, joined)}
    if len(extras) > EXTRAS_LIMIT:
        return None
    ordered = sorted(extras, key=lambda extra: (extra.bucket, extra.member))
    return evolve(joined, extras=tuple(ordered))


def _find_displaced(table: Table, joined: Table) -> list[ExtraOwner]:
    active = sum(member.state is MemberState.ACTIVE for member in joined.members)
    if active <= ROW_CANDIDATES:
        return []
    before, after = list_rows(table), list_rows(joined)
    return [
        ExtraOwner(bucket, name)
        for bucket, row in enumerate(after)
        for name in sorted(before[bucket % len(before)] - row)
    ]


def _list_idle_extras(table: Table, wanted: Wanted) -> list[str]:
    states = {member.name: member.state for member in table.members}
    sightings = wanted.sightings
    return [
        name
        for name in sorted({extra.member for extra in table.extras})
        if states[name] is MemberState.RETIRED
        or (
            name in sightings
            and sightings[name].status is Status.ALIVE
            and sightings[name].facts.idle
        )
    ]


def _drop_extras(table: Table, name: str) -> Table:
    return evolve(table, extras=tuple(extra for extra in table.extras if extra.member != name))


def _drop(table: Table, name: str) -> Table:
    members = tuple(member for member in table.members if member.name != name)
    return evolve(_drop_extras(table, name), members=members)


def _replace(table: Table, new: Member) -> Table:
    members = tuple(new if member.name == new.name else member for member in table.members)
    return evolve(table, members=members)
