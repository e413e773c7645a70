"""Choice of the agent that is offered a new flow."""

import math
from collections.abc import Callable, Collection, Sequence

from fescueseam.handshake.member import Availability, Member, RouteWork
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.segments import ServiceAddress
from fescueseam.overload.placement import estimate_server_delay, is_long, take_trial
from fescueseam.overload.remote import RemotePreference
from fescueseam.overload.waits import DEFAULT_SERVICE_TIME_S

DEFAULT_REMOTE_PENALTY_S = 0.02
"""Default delay added for a backend server in another data centre, in seconds."""
FAILURE_PENALTY_S = 1.0
"""Delay assumed for a request that gets no answer, in seconds: its caller retries after about as
long, if at all."""
EstimateDelay = Callable[[Member, float, float | None], float]
"""Expected delay at a member with a penalty and, if known better, the flows sent there."""


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


def list_eligible(
    fleet: Fleet,
    configuration: ActiveConfiguration,
    service: str,
    excluded: Collection[str],
    now: float,
) -> list[Member]:
    """Return the agents of a service that may be offered new flows, sorted by name."""
    near_timeout_s, far_timeout_s = fleet.compute_agent_report_timeouts()
    return [
        member
        for member in fleet.list_agents((service,))
        if member.identity.name not in excluded
        and is_eligible_for_flows(
            member, configuration, near_timeout_s if fleet.is_near(member) else far_timeout_s, now
        )
    ]


def estimate_delay(
    member: Member,
    data_centre: str,
    remote_penalty_s: float,
    typical: RouteWork | None = None,
    sent_flows: float | None = None,
) -> float:
    """Return the estimated time until a request sent to an agent is answered, in seconds.

    `sent_flows` are those at work there since its report, by default all that this balancer sent.
    `remote_penalty_s` is added for another data centre: the wait for a slot nearby that is accepted
    to save the round trips and the bytes of the whole flow between data centres.
    """
    delay_s = estimate_server_delay(member, typical, sent_flows)
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
    remote: RemotePreference | None = None,
    address: ServiceAddress | None = None,
    even_if_busy: bool = False,
) -> Member | None:
    """Return the agent expected to serve a new flow soonest, or None if no agent is eligible.

    `remote` decides on other data centres for services whose routes state a latency target.
    `address` is the service address of the flow, whose learned work counts. An agent that is set
    aside for its speed is not asked for a free slot, as a wait elsewhere may be shorter, but now
    and then for a trial.
    """
    candidates = list_eligible(fleet, configuration, service, excluded, now)
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
    ready = [item for item in candidates if item.load.availability is Availability.READY]
    preferred: Sequence[Member] = ready
    if not even_if_busy:
        # Agents without a free slot lately may have the shortest queue.
        preferred = [item for item in ready if item.busy_until <= now] or ready
    preferred = preferred or candidates
    typical = fleet.typical_work.get(service, {}).get(address) if address else None
    own_data_centre = fleet.own.data_centre

    def estimate(member: Member, penalty_s: float, sent_flows: float | None = None) -> float:
        return estimate_delay(member, own_data_centre, penalty_s, typical, sent_flows)

    target_s = None
    # A long flow stays where it is placed, so a wait nearby is no price that is paid once.
    if remote is not None and (typical is None or not is_long(typical)):
        target_s = configuration.find_target(service)
    if remote is None or target_s is None:
        # Agents are listed by name, and the first of equals is chosen.
        return min(preferred, key=lambda member: estimate(member, remote_penalty_s))
    near, near_s = _find_near(preferred, own_data_centre, estimate)
    if near is None:
        # Each had a request at work a moment ago, and a further one waits for it.
        near, near_s = _find_near(ready, own_data_centre, estimate, waits_for_request=True)
    if near is not None and remote.is_good_enough(service, near_s, target_s):
        remote.record_near(service, near_s, near.load.flow_bytes, now)
        return near
    far = _find_remote(preferred, remote, estimate, remote_penalty_s, now)
    far_s = min(far, default=(math.inf, ""))[0]
    if near is not None and near_s <= far_s:
        remote.record_near(service, near_s, near.load.flow_bytes, now)
        return near
    return _send_far(fleet, service, far, near_s, remote, now)


def _find_near(
    members: Sequence[Member],
    own_data_centre: str,
    estimate: EstimateDelay,
    waits_for_request: bool = False,
) -> tuple[Member | None, float]:
    """Return the soonest agent of the own data centre and its expected delay."""
    best: Member | None = None
    best_s = math.inf
    for member in members:
        if member.identity.data_centre == own_data_centre:
            delay_s = estimate(member, 0.0, None)
            if waits_for_request:
                delay_s += member.load.service_time_s or DEFAULT_SERVICE_TIME_S
            if delay_s < best_s:
                best, best_s = member, delay_s
    return best, best_s


def _find_remote(
    members: Sequence[Member],
    remote: RemotePreference,
    estimate: EstimateDelay,
    penalty_s: float,
    now: float,
) -> list[tuple[float, str]]:
    """Return the expected delays at the agents of other data centres, with the cost of the way."""
    delays: list[tuple[float, str]] = []
    costs: dict[str, float] = {}
    for member in members:
        identity, load = member.identity, member.load
        data_centre = identity.data_centre
        if data_centre == remote.own_data_centre:
            continue
        cost_s = costs.get(data_centre)
        if cost_s is None:
            cost_s = remote.compute_cost(data_centre, penalty_s, load.flow_bytes)
            costs[data_centre] = cost_s
        service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
        sent = remote.estimate_sent(identity.name, data_centre, service_time_s, now)
        sent = max(sent, member.flows_sent_since_report)
        delays.append((estimate(member, cost_s, sent), identity.name))
    return delays


def _send_far(
    fleet: Fleet,
    service: str,
    delays: list[tuple[float, str]],
    near_s: float,
    remote: RemotePreference,
    now: float,
) -> Member:
    """Return the agent of another data centre that a flow goes to, and record the flow."""
    best_s, best = min(delays)
    service_time_s = fleet.members[best].load.service_time_s or DEFAULT_SERVICE_TIME_S
    chosen = fleet.members[remote.choose_remote(delays, service_time_s)]
    chosen_time_s = chosen.load.service_time_s or DEFAULT_SERVICE_TIME_S
    remote.record_remote(service, near_s, best_s, chosen.load.flow_bytes, now)
    remote.record_sent(chosen.identity.name, chosen_time_s, now)
    return chosen


def is_agent_expected_soon(fleet: Fleet, service: str, now: float) -> bool:
    """Return whether an agent of a service is starting, or all its backend servers are absent."""
    states = {
        member.load.availability
        for member in fleet.list_agents((service,))
        if not fleet.is_unreachable(member, now)
    }
    is_absent = Availability.ABSENT in states and Availability.READY not in states
    return is_absent or Availability.UNKNOWN in states
