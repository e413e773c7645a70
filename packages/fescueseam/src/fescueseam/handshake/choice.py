"""Choose the agent that is offered a new flow."""

from collections.abc import Collection

from fescueseam.handshake.members import Availability, Fleet, Member
from fescueseam.handshake.rules import ActiveConfiguration

DEFAULT_SERVICE_TIME_S = 0.05
"""Assume this time for a request of a backend server that has served none yet, in seconds."""
REMOTE_PENALTY_S = 0.004
"""Prefer a backend server of the own data centre by the round trip to another one, in seconds."""
COLD_SERVICE_TIME_FACTOR = 3.0
"""Weigh the service time of a cold backend server by this; it is slow and bears few openings."""
FAILURE_PENALTY_S = 1.0
"""Weigh a request without an answer as this delay, in seconds: its caller tries again after about
as long, if at all."""
IDLE_FLOW_WEIGHT = 0.02
"""Count an open idle flow as this part of a busy one; callers ask about this share of the time."""
UNANSWERED_BACKOFF_S = 1.0
"""Offer no flow to an agent for this long after it left one unanswered, in seconds."""


def is_eligible_for_flows(
    member: Member, configuration: ActiveConfiguration, quiet_after_s: float, now: float
) -> bool:
    """Tell whether a member may be offered new flows."""
    return (
        member.load.availability in (Availability.READY, Availability.UNKNOWN)
        and not member.load.leaving
        and member.excluded_until <= now
        and now - member.last_heard_at < quiet_after_s
        and (member.unanswered_at is None or now - member.unanswered_at > UNANSWERED_BACKOFF_S)
        and not configuration.is_data_centre_out(member.identity.data_centre)
    )


def estimate_delay(member: Member, data_centre: str) -> float:
    """Return about how long a new request would take at a member, in seconds."""
    load = member.load
    service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
    if load.cold:
        service_time_s *= COLD_SERVICE_TIME_FACTOR
    slots = max(1, load.slots)
    mean_busy = load.utilisation * slots
    expected = (
        (load.busy + mean_busy) / 2 + member.flows_sent_since_report + IDLE_FLOW_WEIGHT * load.flows
    )
    delay_s = service_time_s * (1 + expected / slots)
    delay_s += load.failing * FAILURE_PENALTY_S
    if member.identity.data_centre != data_centre:
        delay_s += REMOTE_PENALTY_S
    return delay_s


def choose_agent(
    fleet: Fleet,
    configuration: ActiveConfiguration,
    service: str,
    excluded: Collection[str],
    now: float,
) -> Member | None:
    """Return the agent where a new flow is likely to be served soonest."""
    quiet_after_s = fleet.compute_report_timeout()
    candidates = [
        member
        for member in fleet.list_agents((service,))
        if member.identity.name not in excluded
        and is_eligible_for_flows(member, configuration, quiet_after_s, now)
    ]
    if not candidates:
        return None
    ready = [item for item in candidates if item.load.availability is Availability.READY]
    rested = [item for item in ready if item.busy_until <= now]
    return min(
        rested or ready or candidates,
        key=lambda member: (estimate_delay(member, fleet.own.data_centre), member.identity.name),
    )
