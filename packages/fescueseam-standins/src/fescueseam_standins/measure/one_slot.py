"""Place short requests on many backend servers with one slot each, in several ways.

Load patterns: even demand; long work in the tail; demand that swings between data centres; both.

The way in force uses the balancer's own choice; the others are the published ones that were weighed
against it.
"""

import random
from collections.abc import Callable
from functools import partial

from attrs import frozen

from fescueseam.handshake.choice import choose_agent
from fescueseam.handshake.free_slots import FREE_SLOT_OFFERS_LIMIT
from fescueseam.handshake.member import Availability, Identity, Load, Member, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.openings import BUSY_BACKOFF_S, REJECTED_BACKOFF_S
from fescueseam.handshake.rules import Route, RouteShare, Rules
from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.remote import RemotePreference

from .one_slot_demand import DATA_CENTRES, DEMANDS, EVEN, MEAN_SERVICE_TIME_S, Demand
from .one_slot_model import (
    FAR_REPORT_INTERVAL_S,
    NEAR_REPORT_INTERVAL_S,
    AnnounceIdle,
    Model,
    ModelBalancer,
    ModelServer,
    PlaceRequest,
    Request,
)

SERVICE = "desk"
SPEEDS = (0.7, 0.7, 1.7)
LOAD_SHARE = 0.75
"""Offered load as a share of what all servers together can serve."""
REMOTE_PENALTY_S = 0.02
TARGET_S = 0.25
"""Time within which callers need the answer, in seconds."""
SETTLING_SHARE = 0.2
"""Share of the simulated time that is not measured."""


@frozen
class OneSlotResult:
    """How requests were placed and how long they waited."""

    queued_share: float
    """Share of the requests that were queued behind another one."""
    rejected_share: float
    placement_p99_s: float
    """Time from the opening until a server accepted it."""
    wait_p99_s: float
    """Time from the opening until a server began to work on the request."""
    messages_per_flow: float
    remote_share: float
    """Share of the requests that were served in another data centre."""
    late_share: float
    """Share of the requests without an answer within the target."""


def announce_nothing(model: Model, server: ModelServer) -> None:
    """Send nothing: balancers learn of idle servers by reports."""


def announce_to_balancer(model: Model, server: ModelServer) -> None:
    """Announce an idle server to one balancer of its data centre (join-idle-queue)."""
    near = [
        item
        for item in model.balancers
        if item.fleet.own.data_centre == server.identity.data_centre
    ]
    chosen = model.rng.choice(near)
    model.send(server.identity, chosen.fleet.own, lambda: chosen.announced_idle.append(server))


def announce_to_agent(model: Model, server: ModelServer) -> None:
    """Announce an idle server to one other agent of its data centre."""
    near = [
        item
        for item in model.servers.values()
        if item.identity.data_centre == server.identity.data_centre and item is not server
    ]
    chosen = model.rng.choice(near)
    model.send(server.identity, chosen.identity, lambda: chosen.announced_idle.append(server))


def place_by_expected_delay(model: Model, request: Request) -> None:
    """Offer the request as a balancer does: to eight agents for a free slot, then to queue it."""
    if len(request.tried) >= FREE_SLOT_OFFERS_LIMIT:
        _queue_by_expected_delay(model, request)
    else:
        _ask_for_free_slot(model, request, partial(place_by_expected_delay, model, request))


def place_avoiding_recently_full(model: Model, request: Request) -> None:
    """Do the same, but queue the request at an agent that was not full lately."""
    if len(request.tried) >= FREE_SLOT_OFFERS_LIMIT:
        _queue_by_expected_delay(model, request, avoids_recently_full=True)
    else:
        again = partial(place_avoiding_recently_full, model, request)
        _ask_for_free_slot(model, request, again)


def place_by_rejection_that_names_a_better_one(model: Model, request: Request) -> None:
    """Do the same, but follow the names of idle servers that rejecting agents know."""
    if len(request.tried) >= FREE_SLOT_OFFERS_LIMIT:
        _queue_by_expected_delay(model, request)
        return
    again = partial(place_by_rejection_that_names_a_better_one, model, request)

    def follow_name(rejecting: ModelServer) -> None:
        better = rejecting.announced_idle.pop() if rejecting.announced_idle else None
        if better is None or better.identity.name in request.tried:
            again()
        else:
            request.tried.add(better.identity.name)
            model.offer(request, better, False, again)

    _ask_for_free_slot(model, request, again, follow_name)


def place_in_shortest_rejecting_queue(model: Model, request: Request) -> None:
    """Do as a balancer does, but queue the request where the rejections showed the least delay."""
    if len(request.tried) < FREE_SLOT_OFFERS_LIMIT:
        again = partial(place_in_shortest_rejecting_queue, model, request)
        _ask_for_free_slot(model, request, again)
        return
    delays = {name: delay_s for name, delay_s in request.delays.items() if delay_s >= 0}
    if not delays:
        _queue_by_expected_delay(model, request)
        return
    name = min(delays, key=lambda item: (delays[item], item))
    request.delays[name] = -1.0
    again = partial(place_in_shortest_rejecting_queue, model, request)
    model.offer(request, model.servers[name], True, again)


def _ask_for_free_slot(
    model: Model,
    request: Request,
    again: Callable[[], None],
    on_rejection: Callable[[ModelServer], None] | None = None,
) -> None:
    """Offer a request to the agent expected to serve it soonest; a rejection tells the delay."""
    member = _choose_member(model, request, request.tried)
    if member is None:
        model.rejected += 1
        return
    server = model.servers[member.identity.name]
    request.tried.add(server.identity.name)

    def handle_rejection() -> None:
        member.busy_until = model.now + BUSY_BACKOFF_S
        service_time_s = server.service_time_s or MEAN_SERVICE_TIME_S
        # The queue is as long as at the rejection but for what changed on its way.
        request.delays[server.identity.name] = (len(server.queue) + 1) * service_time_s
        if on_rejection is None:
            again()
        else:
            on_rejection(server)

    model.offer(request, server, False, handle_rejection)


def _queue_by_expected_delay(
    model: Model, request: Request, avoids_recently_full: bool = False
) -> None:
    even_if_busy = not avoids_recently_full
    member = _choose_member(model, request, request.rejecting, even_if_busy)
    if member is None:
        model.rejected += 1
        return

    def handle_rejection() -> None:
        member.busy_until = model.now + BUSY_BACKOFF_S
        member.excluded_until = model.now + REJECTED_BACKOFF_S
        request.rejecting.add(member.identity.name)
        _queue_by_expected_delay(model, request, avoids_recently_full)

    model.offer(request, model.servers[member.identity.name], True, handle_rejection)


def _choose_member(
    model: Model,
    request: Request,
    excluded: set[str],
    even_if_busy: bool = False,
) -> Member | None:
    member = choose_agent(
        request.balancer.fleet,
        model.configuration,
        SERVICE,
        excluded,
        model.now,
        REMOTE_PENALTY_S,
        request.balancer.remote,
        even_if_busy=even_if_busy,
    )
    if member is not None:
        member.flows_sent_since_report += 1
    return member


def place_by_probes(probes: int) -> PlaceRequest:
    """Return a way that asks some random servers at the opening and takes the soonest."""

    def place(model: Model, request: Request) -> None:
        own = request.balancer.fleet.own
        chosen = model.rng.sample(sorted(model.servers), probes)
        answers: list[tuple[float, str]] = []

        def handle_answer(server: ModelServer, queue_length: int) -> None:
            delay_s = (queue_length + 1) * (server.service_time_s or MEAN_SERVICE_TIME_S)
            if server.identity.data_centre != own.data_centre:
                delay_s += REMOTE_PENALTY_S
            answers.append((delay_s, server.identity.name))
            if len(answers) == probes:
                best = model.servers[min(answers)[1]]
                model.offer(request, best, True, lambda: place(model, request))

        def probe(server: ModelServer) -> None:
            def arrive() -> None:
                length = len(server.queue)
                model.send(server.identity, own, lambda: handle_answer(server, length))

            model.send(own, server.identity, arrive)

        for name in chosen:
            probe(model.servers[name])

    return place


def place_on_announced_server(model: Model, request: Request) -> None:
    """Take a server that has announced itself as idle, or a random one nearby."""
    balancer = request.balancer
    if balancer.announced_idle:
        server = balancer.announced_idle.popleft()
    else:
        own = balancer.fleet.own.data_centre
        near = [item for item in model.servers.values() if item.identity.data_centre == own]
        server = model.rng.choice(near)
    model.offer(request, server, True, lambda: place_on_announced_server(model, request))


def place_on_announced_server_first(model: Model, request: Request) -> None:
    """Offer the request to a server that has announced itself as idle; then as a balancer does."""
    balancer = request.balancer
    while balancer.announced_idle:
        server = balancer.announced_idle.pop()
        if server.identity.name in request.tried:
            continue
        request.tried.add(server.identity.name)
        retry = partial(place_on_announced_server_first, model, request)
        model.offer(request, server, False, retry)
        return
    place_by_expected_delay(model, request)


EXPECTED_DELAY = "least-expected-delay"
CONSTANT_PENALTY = "constant-penalty"
WAYS: dict[str, tuple[PlaceRequest, AnnounceIdle]] = {
    CONSTANT_PENALTY: (place_by_expected_delay, announce_nothing),
    EXPECTED_DELAY: (place_by_expected_delay, announce_nothing),
    "recently-full-last": (place_avoiding_recently_full, announce_nothing),
    "two-probes": (place_by_probes(2), announce_nothing),
    "three-probes": (place_by_probes(3), announce_nothing),
    "join-idle-queue": (place_on_announced_server, announce_to_balancer),
    "announced-idle-first": (place_on_announced_server_first, announce_to_balancer),
    "shortest-rejecting-queue": (place_in_shortest_rejecting_queue, announce_nothing),
    "rejection-names-idle": (place_by_rejection_that_names_a_better_one, announce_to_agent),
}


def measure_one_slot(
    way: str,
    seed: int,
    time_s: float,
    server_count: int = 51,
    balancer_count: int = 24,
    load_share: float = LOAD_SHARE,
    demand: Demand = DEMANDS[EVEN],
    far_report_interval_s: float = FAR_REPORT_INTERVAL_S,
    has_target: bool = False,
) -> OneSlotResult:
    """Run Poisson arrivals at random balancers; three data centres share servers and balancers."""
    place, announce_idle = WAYS[way]
    model = Model(random.Random(f"model/{seed}"), place, announce_idle)
    model.far_report_interval_s = far_report_interval_s
    needs = RouteNeeds(TARGET_S, 4 * TARGET_S) if has_target else None
    route = Route(SERVICE, 1, 1, (RouteShare(SERVICE),), needs)
    model.configuration.update_rules(Rules(1, (route,)), 0.0)
    for number in range(server_count):
        data_centre = f"dc-{number // len(SPEEDS) % DATA_CENTRES}"
        name = f"agent-{number:03}"
        identity = Identity(name, Role.AGENT, 1000 + number, data_centre, SERVICE)
        model.servers[name] = ModelServer(identity, SPEEDS[number % len(SPEEDS)])
    for number in range(balancer_count):
        data_centre = f"dc-{number % DATA_CENTRES}"
        own = Identity(f"balancer-{number:03}", Role.BALANCER, 1 + number, data_centre)
        model.balancers.append(_build_balancer(own, way, balancer_count))
    for balancer in model.balancers:
        # A data centre with a balancer reports to the others less often.
        for other in model.balancers:
            balancer.fleet.record_report(other.fleet.own, Load(), 1, 0.0)
        balancer.fleet.collect_reachability_changes(0.0)
    for server in model.servers.values():
        for balancer in model.balancers:
            # Reports are spread evenly, and the first ones make every server known.
            balancer.fleet.record_report(server.identity, Load(Availability.READY), 1, 0.0)
            delay_s = model.rng.uniform(0.0, NEAR_REPORT_INTERVAL_S)
            model.schedule(delay_s, partial(model.report, server, balancer, 2))
    requests = _schedule_arrivals(model, seed, time_s, load_share, demand)
    model.run(time_s)
    return _summarise(model, requests, time_s)


def _build_balancer(own: Identity, way: str, balancer_count: int) -> ModelBalancer:
    if way == CONSTANT_PENALTY:
        return ModelBalancer(Fleet(own))
    senders = balancer_count - balancer_count // DATA_CENTRES
    names = (f"dc-{number}" for number in range(DATA_CENTRES))
    remote = RemotePreference(own.name, own.data_centre, dict.fromkeys(names, senders))
    return ModelBalancer(Fleet(own), remote=remote)


def _schedule_arrivals(
    model: Model, seed: int, time_s: float, load_share: float, demand: Demand
) -> list[Request]:
    rng = random.Random(f"arrivals/{seed}")
    rate = load_share * sum(item.speed for item in model.servers.values()) / MEAN_SERVICE_TIME_S
    requests: list[Request] = []
    opened_at = rng.expovariate(rate)
    while opened_at < time_s:
        weights = [demand.compute_weight(number, opened_at) for number in range(DATA_CENTRES)]
        (data_centre,) = rng.choices(range(DATA_CENTRES), weights)
        balancer = rng.choice(model.balancers[data_centre::DATA_CENTRES])
        request = Request(balancer, opened_at, demand.draw_work(rng))
        requests.append(request)
        model.schedule(opened_at, partial(model.place, model, request))
        opened_at += rng.expovariate(rate)
    return requests


def _summarise(model: Model, requests: list[Request], time_s: float) -> OneSlotResult:
    measured = [item for item in requests if item.opened_at >= SETTLING_SHARE * time_s]
    placed = [item for item in measured if item.placed_at is not None]
    placement_times = sorted(item.placed_at - item.opened_at for item in placed if item.placed_at)
    due = [item for item in measured if item.opened_at < time_s - TARGET_S]
    in_time = sum(
        item.ended_at is not None and item.ended_at - item.opened_at <= TARGET_S for item in due
    )
    waits = sorted(item.started_at - item.opened_at for item in placed if item.started_at)
    return OneSlotResult(
        queued_share=sum(item.was_queued for item in placed) / len(placed),
        rejected_share=model.rejected / len(requests),
        placement_p99_s=placement_times[int(0.99 * len(placement_times))],
        wait_p99_s=waits[int(0.99 * len(waits))],
        messages_per_flow=model.messages / len(requests),
        remote_share=sum(item.is_remote for item in placed) / len(placed),
        late_share=1 - in_time / len(due),
    )
