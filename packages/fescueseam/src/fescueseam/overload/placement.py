"""Expected cost of a new flow at an agent, by what the flows of its route carry.

Answers uneven speeds under long flows, beside short ones. A long flow pins its caller: what counts
is the share of the server that the long flows use there on average. A short flow ends with its
request: what counts is the wait now.
"""

from collections.abc import Iterable, Sequence
from statistics import median

from fescueseam.handshake.member import Availability, Member, RouteWork
from fescueseam.handshake.segments import ServiceAddress
from fescueseam.overload.waits import COLD_SERVICE_TIME_FACTOR, DEFAULT_SERVICE_TIME_S

LONG_FLOW_REQUESTS = 2.0
"""Mean number of requests on a flow from which the flows of a route are long."""
OPEN_FLOW_WEIGHT = 0.02
"""Load of an open flow of unknown use, relative to a busy one: callers have a request in flight for
about this share of the time."""
TRIAL_INTERVAL_OPENINGS = 200
"""Number of openings of a service after which one server that is set aside is tried."""


def is_long(work: RouteWork) -> bool:
    """Return whether the flows of a route carry many requests."""
    return work.requests_per_flow >= LONG_FLOW_REQUESTS


def compute_pinned_busy(work: Iterable[RouteWork]) -> float:
    """Return the number of requests that the long flows of a server have at work on average."""
    return sum(item.flows * item.busy_share for item in work if is_long(item))


def compute_typical_work(members: Sequence[Member]) -> dict[ServiceAddress, RouteWork]:
    """Return the median learned work of each route over some agents."""
    by_address: dict[ServiceAddress, list[RouteWork]] = {}
    for member in members:
        for address, item in member.work.items():
            by_address.setdefault(address, []).append(item)
    return {
        address: RouteWork(
            address,
            mean_s=median(item.mean_s for item in items),
            deviation_s=median(item.deviation_s for item in items),
            requests_per_flow=median(item.requests_per_flow for item in items),
            busy_share=median(item.busy_share for item in items),
        )
        for address, items in by_address.items()
    }


def estimate_server_delay(
    member: Member, typical: RouteWork | None, sent_flows: float | None = None
) -> float:
    """Return the expected time of a new flow's requests at a server, in seconds.

    `typical` is the learned work of the flow's route over the servers of its service, if any.
    `sent_flows` are those at work there since its report, by default all that this balancer sent.
    """
    load = member.load
    sent = member.flows_sent_since_report if sent_flows is None else sent_flows
    learned = None if typical is None else member.work.get(typical.address)
    usual_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
    if learned is not None:
        usual_s = learned.mean_s
    service_time_s = usual_s * member.slow_factor
    if load.cold:
        service_time_s *= COLD_SERVICE_TIME_FACTOR
    slots = max(1, load.slots)
    if typical is not None and is_long(typical):
        # Equal at all servers when each holds long flows in proportion to its speed.
        flow_busy = (learned or typical).busy_share
        expected_busy = member.pinned_busy + flow_busy * (1 + sent)
        return service_time_s - usual_s + expected_busy / slots * DEFAULT_SERVICE_TIME_S
    expected_busy = (load.busy + load.utilisation * slots) / 2
    if member.pinned_busy:
        # The long flows may all be between two requests now.
        expected_busy = max(expected_busy, member.pinned_busy)
    else:
        expected_busy += OPEN_FLOW_WEIGHT * load.flows
    return service_time_s * (1 + (expected_busy + sent) / slots)


def take_trial(aside: Sequence[Member], now: float) -> Member | None:
    """Return the agent that is due for a trial of its speed among those that are set aside, if any.

    They share the trials, so that these are few however many are slow.
    """
    for member in aside:
        member.passed_over += 1
    interval = TRIAL_INTERVAL_OPENINGS * len(aside)
    due = [
        item
        for item in aside
        if item.passed_over >= interval
        and item.busy_until <= now
        and item.load.availability is Availability.READY
    ]
    if not due:
        return None
    due[0].passed_over = 0
    return due[0]
