"""Choice of the agent that is offered a new flow."""

from collections.abc import Collection

from fescueseam.handshake.member import Availability, Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.rules import ActiveConfiguration

DEFAULT_SERVICE_TIME_S = 0.05
"""Service time assumed for a backend server that has served no request yet, in seconds."""
DEFAULT_REMOTE_PENALTY_S = 0.02
"""Default delay added for a backend server in another data centre, in seconds."""
COLD_SERVICE_TIME_FACTOR = 3.0
"""Factor on the service time of a cold backend server, which is slow and can take few openings."""
FAILURE_PENALTY_S = 1.0
"""Delay assumed for a request that gets no answer, in seconds: its caller retries after about as
long, if at all."""
OPEN_FLOW_WEIGHT = 0.02
"""Load that each open flow adds, relative to a busy one: callers have a request in flight for about
this share of the time."""


def is_eligible_for_flows(
    member: Member, configuration: ActiveConfiguration, report_timeout_s: float, now: float
) -> bool:
    """Return whether an agent may be offered new flows."""
    load = member.load
    return (
        (load.availability is Availability.READY or load.availability is Availability.UNKNOWN)
        and not load.leaving
        and member.unanswered_at is None
        and member.excluded_until <= now
        and now - member.last_heard_at < report_timeout_s
        and not configuration.is_data_centre_out(member.identity.data_centre)
    )


def estimate_delay(member: Member, data_centre: str, remote_penalty_s: float) -> float:
    """Return the estimated time until a request sent to an agent is answered, in seconds.

    `remote_penalty_s` is added for another data centre: the wait for a slot nearby that is accepted
    to save the round trips and the bytes of the whole flow between data centres.
    """
    load = member.load
    service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
    if load.cold:
        service_time_s *= COLD_SERVICE_TIME_FACTOR
    slots = max(1, load.slots)
    mean_busy = load.utilisation * slots
    expected_busy = (
        (load.busy + mean_busy) / 2 + member.flows_sent_since_report + OPEN_FLOW_WEIGHT * load.flows
    )
    delay_s = service_time_s * (1 + expected_busy / slots)
    delay_s += load.failing * FAILURE_PENALTY_S
    if member.identity.data_centre != data_centre:
        delay_s += remote_penalty_s
    return delay_s


def choose_agent(
    fleet: Fleet,
    configuration: ActiveConfiguration,
    service: str,
    excluded: Collection[str],
    now: float,
    remote_penalty_s: float = DEFAULT_REMOTE_PENALTY_S,
) -> Member | None:
    """Return the agent expected to serve a new flow soonest, or None if no agent is eligible."""
    near_timeout_s, far_timeout_s = fleet.compute_agent_report_timeouts()
    candidates = [
        member
        for member in fleet.list_agents((service,))
        if member.identity.name not in excluded
        and is_eligible_for_flows(
            member, configuration, near_timeout_s if fleet.is_near(member) else far_timeout_s, now
        )
    ]
    if not candidates:
        return None
    ready = [item for item in candidates if item.load.availability is Availability.READY]
    not_recently_full = [item for item in ready if item.busy_until <= now]
    # Agents are listed by name, and the first of equals is chosen.
    return min(
        not_recently_full or ready or candidates,
        key=lambda member: estimate_delay(member, fleet.own.data_centre, remote_penalty_s),
    )


def is_agent_expected_soon(fleet: Fleet, service: str, now: float) -> bool:
    """Return whether an agent of a service is starting, or all its backend servers are absent."""
    states = {
        member.load.availability
        for member in fleet.list_agents((service,))
        if not fleet.is_unreachable(member, now)
    }
    is_absent = Availability.ABSENT in states and Availability.READY not in states
    return is_absent or Availability.UNKNOWN in states
