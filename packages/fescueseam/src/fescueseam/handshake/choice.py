"""Choice of the agent that is offered a new flow."""

from collections.abc import Collection, Sequence

from fescueseam.handshake.member import Availability, Member, RouteWork
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.segments import ServiceAddress
from fescueseam.overload.placement import estimate_server_delay, take_trial

DEFAULT_REMOTE_PENALTY_S = 0.02
"""Default delay added for a backend server in another data centre, in seconds."""
FAILURE_PENALTY_S = 1.0
"""Delay assumed for a request that gets no answer, in seconds: its caller retries after about as
long, if at all."""


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


def estimate_delay(
    member: Member, data_centre: str, remote_penalty_s: float, typical: RouteWork | None = None
) -> float:
    """Return the estimated time until a request sent to an agent is answered, in seconds.

    `remote_penalty_s` is added for another data centre: the wait for a slot nearby that is accepted
    to save the round trips and the bytes of the whole flow between data centres.
    """
    delay_s = estimate_server_delay(member, typical)
    delay_s += member.load.failing * FAILURE_PENALTY_S
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
    address: ServiceAddress | None = None,
    even_if_busy: bool = False,
) -> Member | None:
    """Return the agent expected to serve a new flow soonest, or None if no agent is eligible.

    `address` is the service address of the flow, whose learned work counts. An agent that is set
    aside for its speed is not asked for a free slot, as a wait elsewhere may be shorter, but now
    and then for a trial.
    """
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
    if not even_if_busy:
        aside = [item for item in candidates if item.slow_factor > 1.0]
        trial = take_trial(aside, now) if aside and not excluded else None
        if trial is not None:
            return trial
        if aside and len(aside) < len(candidates) + len(excluded):
            candidates = [item for item in candidates if item.slow_factor <= 1.0]
            if not candidates:
                return None
    preferred: Sequence[Member] = [
        item for item in candidates if item.load.availability is Availability.READY
    ]
    if not even_if_busy:
        # Agents without a free slot lately may have the shortest queue.
        preferred = [item for item in preferred if item.busy_until <= now] or preferred
    preferred = preferred or candidates
    typical = fleet.typical_work.get(service, {}).get(address) if address else None
    # Agents are listed by name, and the first of equals is chosen.
    return min(
        preferred,
        key=lambda member: estimate_delay(member, fleet.own.data_centre, remote_penalty_s, typical),
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
