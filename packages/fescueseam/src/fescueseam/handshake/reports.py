"""What a balancer reports of itself and of the configuration that it has in force."""

from attrs import evolve

from fescueseam.handshake.member import Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Report
from fescueseam.handshake.rules import ActiveConfiguration


def build_balancer_report(
    fleet: Fleet,
    configuration: ActiveConfiguration,
    leaving: bool,
    requester_role: Role | None,
    now: float,
) -> Report:
    """Return a report that names the reachable members of use to a role, none for no role."""
    rules, outage = configuration.rules, configuration.outage
    return Report(
        fleet.own,
        evolve(fleet.own_load, leaving=leaving),
        rules.version,
        outage,
        tuple((item.name, item.cold_openings_per_s) for item in rules.services),
        fleet.list_members_for(requester_role, now),
        outage_held_s=configuration.holds.compute_remaining(now),
        member_count=len(fleet.members) + 1 if outage.era else 0,
    )
