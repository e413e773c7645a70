"""Load patterns: a storm of all callers after an outage, and of retries after refusals."""

import random

from attrs import evolve

from fescueseam.handshake.openings import DEFERRED_RETRIES_PER_TICK, PendingOpening
from fescueseam.handshake.tests.conftest import CALLER_ADDRESS, SERVICE_ADDRESS, build_opening
from fescueseam.handshake.tests.load import (
    CHEAP,
    CHEAP_PORT,
    DEAR,
    DEAR_PORT,
    LoadedCluster,
    Request,
    build_cluster,
)
from fescueseam.overload.refusals import (
    REFUSALS_PER_CALLER_LIMIT,
    REFUSALS_RETENTION_S,
    REFUSED_CALLERS_LIMIT,
    RefusalMemory,
    RetryLimits,
)
from fescueseam.overload.return_order import compute_return_order

AGENTS = (11, 12, 13, 14)
OUTAGE_S = 0.5
STORM = 80
"""Requests of each route that arrive during the outage."""
PATIENT = evolve(DEAR, target_s=0.8, limit_s=1.3)
PATIENT_CHEAP = evolve(CHEAP, target_s=0.8, limit_s=1.3)


def return_from_outage() -> LoadedCluster:
    """Return a cluster whose callers have all come back while it started again."""
    cluster = build_cluster({DEAR_PORT: PATIENT, CHEAP_PORT: PATIENT_CHEAP})
    for address in AGENTS:
        del cluster.nodes[address]
    cluster.resets.clear()
    for address in (1, 2):
        cluster.add_balancer(address)
    rng = random.Random(1)
    for number in range(STORM):
        for port in (DEAR_PORT, CHEAP_PORT):
            caller = CALLER_ADDRESS + number
            start = rng.uniform(0.0, 0.1)
            cluster.schedule(
                start, lambda c=caller, p=port: cluster._start(Request(c, p, cluster.now))
            )
    cluster.run(OUTAGE_S)
    for address in AGENTS:
        cluster.add_agent(address)
    cluster.run(4.0)
    return cluster


def test_those_who_can_still_be_served_in_time_go_first_after_an_outage() -> None:
    cluster = return_from_outage()
    in_time = {
        port: cluster.compute_share(lambda item, p=port: item.port == p, PATIENT.limit_s)
        for port in (DEAR_PORT, CHEAP_PORT)
    }
    # 80 slots a second are free for 0.8 s.
    assert in_time[DEAR_PORT] >= 0.6
    assert in_time[DEAR_PORT] >= 3 * in_time[CHEAP_PORT]


def test_a_storm_after_an_outage_is_not_followed_by_a_second_one() -> None:
    cluster = return_from_outage()
    assert not any(item.has_pending_work() for item in cluster.nodes.values())
    offers = cluster.count_events("flow-offered")
    assert offers <= 6 * 2 * STORM
    for address in AGENTS:
        assert cluster.backends[address].peak_busy <= 4


def test_deferred_openings_are_placed_in_the_order_of_what_they_can_still_meet() -> None:
    cluster = build_cluster({DEAR_PORT: DEAR, CHEAP_PORT: CHEAP})
    balancer = cluster.nodes[1]
    now = cluster.now
    for number, (port, age_s) in enumerate(
        [(CHEAP_PORT, 0.1), (DEAR_PORT, 0.5), (DEAR_PORT, 0.1), (CHEAP_PORT, 2.0)]
    ):
        flow = (CALLER_ADDRESS, number, SERVICE_ADDRESS, port)
        segment = build_opening(flow)
        opening = PendingOpening(segment, "alerts", "", now - age_s, deferred_at=now - age_s)
        balancer.deferred[flow] = opening
    effects = balancer.placement.retry_deferred(now, balancer.discard_flow)
    events = [item for item in effects if hasattr(item, "event")]
    assert events[0].event == "flow-refused"
    assert events[0].fields["reason"] == "limit"
    offered = [int(item.fields["flow"].split(":")[1].split(">")[0]) for item in events[1:]]
    assert [item.event for item in events[1:]] == ["flow-offered"] * 3
    assert offered == [2, 0, 1]
    assert DEFERRED_RETRIES_PER_TICK >= 3


def test_openings_without_needs_return_oldest_first() -> None:
    assert compute_return_order(None, 0.05, 9.0, 1.0) == (False, 0, 1.0)


def test_a_try_after_a_refusal_is_known_by_its_caller_and_only_once() -> None:
    memory = RefusalMemory()
    flow = (CALLER_ADDRESS, 1, SERVICE_ADDRESS, DEAR_PORT)
    other = (CALLER_ADDRESS + 1, 1, SERVICE_ADDRESS, DEAR_PORT)
    retry = (CALLER_ADDRESS, 2, SERVICE_ADDRESS, DEAR_PORT)
    memory.record(flow, 9.9, 10.0)
    assert memory.take_first_try(other, 10.1) is None
    assert memory.take_first_try(retry, 10.1) == 9.9
    assert memory.take_first_try(retry, 10.1) is None
    memory.record(flow, 9.9, 10.0)
    assert memory.take_first_try(retry, 10.1 + REFUSALS_RETENTION_S) is None
    memory.record(flow, 9.9, 10.0)
    assert memory.take_first_try(retry, 1.0) is None, "the clock was set back"


def test_a_caller_with_many_refusals_is_not_told_apart_and_the_memory_is_bounded() -> None:
    memory = RefusalMemory()
    for number in range(REFUSALS_PER_CALLER_LIMIT + 1):
        memory.record((CALLER_ADDRESS, number, SERVICE_ADDRESS, DEAR_PORT), 10.0, 10.0)
    assert memory.take_first_try((CALLER_ADDRESS, 99, SERVICE_ADDRESS, DEAR_PORT), 10.1) is None
    limits = RetryLimits()
    for number in range(REFUSED_CALLERS_LIMIT + 10):
        memory.record((number, 1, SERVICE_ADDRESS, DEAR_PORT), 10.0, 10.0)
        limits.allows(number, is_retry=False, is_shortage=True)
    assert len(memory) == len(limits) == REFUSED_CALLERS_LIMIT


def test_retries_beyond_a_callers_budget_are_placed_only_without_shortage() -> None:
    limits = RetryLimits()
    allowed = sum(limits.allows(1, is_retry=True, is_shortage=True) for _ in range(20))
    assert 0 < allowed < 10
    assert limits.allows(1, is_retry=True, is_shortage=False)
    assert limits.allows(2, is_retry=True, is_shortage=True)
