"""Choice of the agent that is offered a new flow."""

import math
from collections.abc import Collection

from fescueseam.handshake.member import Availability, Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.overload.remote import RemotePreference

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


def estimate_delay(
    member: Member, data_centre: str, remote_penalty_s: float, sent_flows: float | None = None
) -> float:
    """Return the estimated time until a request sent to an agent is answered, in seconds.

    `sent_flows` are those at work there since its report, by default all that this balancer sent.
    `remote_penalty_s` is added for another data centre: the wait for a slot nearby that is accepted
    to save the round trips and the bytes of the whole flow between data centres.
    """
    load = member.load
    service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
    if load.cold:
        service_time_s *= COLD_SERVICE_TIME_FACTOR
    slots = max(1, load.slots)
    mean_busy = load.utilisation * slots
    sent = member.flows_sent_since_report if sent_flows is None else sent_flows
    expected_busy = (load.busy + mean_busy) / 2 + sent + OPEN_FLOW_WEIGHT * load.flows
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
    remote: RemotePreference | None = None,
) -> Member | None:
    """Return the agent expected to serve a new flow soonest, or None if no agent is eligible.

    `remote` decides on other data centres for services whose routes state a latency target.
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
    ready = [item for item in candidates if item.load.availability is Availability.READY]
    not_recently_full = [item for item in ready if item.busy_until <= now]
    pool = not_recently_full or ready or candidates
    own_data_centre = fleet.own.data_centre
    target_s = None
    if remote is not None:
        target_s = remote.find_target(service, configuration.rules.version, configuration.rules)
    if remote is None or target_s is None:
        # Agents are listed by name, and the first of equals is chosen.
        return min(
            pool, key=lambda member: estimate_delay(member, own_data_centre, remote_penalty_s)
        )
    near, near_s = _find_near(pool, own_data_centre)
    if near is None:
        # Each had a request at work a moment ago, and a further one waits for it.
        near, near_s = _find_near(ready, own_data_centre, waits_for_request=True)
    if near is not None and remote.is_good_enough(service, near_s, target_s):
        remote.record_near(service, near_s, near.load.flow_bytes, now)
        return near
    return _choose_by_way(
        pool, near, near_s, own_data_centre, service, remote_penalty_s, remote, now
    )


def _find_near(
    members: list[Member], own_data_centre: str, waits_for_request: bool = False
) -> tuple[Member | None, float]:
    """Return the soonest agent of the own data centre and its expected delay."""
    best: Member | None = None
    best_s = math.inf
    for member in members:
        if member.identity.data_centre == own_data_centre:
            delay_s = estimate_delay(member, own_data_centre, 0.0)
            if waits_for_request:
                delay_s += member.load.service_time_s or DEFAULT_SERVICE_TIME_S
            if delay_s < best_s:
                best, best_s = member, delay_s
    return best, best_s


def _choose_by_way(
    pool: list[Member],
    near: Member | None,
    near_s: float,
    own_data_centre: str,
    service: str,
    penalty_s: float,
    remote: RemotePreference,
    now: float,
) -> Member:
    """Return the soonest agent nearby, or a remote one that is sooner by the cost of the way."""
    far: dict[str, Member] = {}
    delays: list[tuple[float, str]] = []
    costs: dict[str, float] = {}
    for member in pool:
        identity, load = member.identity, member.load
        data_centre = identity.data_centre
        if data_centre == own_data_centre:
            continue
        cost_s = costs.get(data_centre)
        if cost_s is None:
            cost_s = remote.compute_cost(data_centre, penalty_s, load.flow_bytes)
            costs[data_centre] = cost_s
        service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
        sent = remote.estimate_sent(identity.name, data_centre, service_time_s, now)
        sent = max(sent, member.flows_sent_since_report)
        far[identity.name] = member
        delays.append((estimate_delay(member, own_data_centre, cost_s, sent), identity.name))
    best_s, best = min(delays, default=(math.inf, ""))
    if near is not None and near_s <= best_s:
        remote.record_near(service, near_s, near.load.flow_bytes, now)
        return near
    service_time_s = far[best].load.service_time_s or DEFAULT_SERVICE_TIME_S
    chosen = far[remote.choose_remote(delays, service_time_s)]
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
