"""Choice of the balancers that watch the store.

Load pattern: a data centre of many balancers, of which some are lost, stop or are cut off.
"""

import pytest

from fescueseam.handshake.codec import decode_notice, encode_notice
from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.members import NEIGHBOUR_TIMEOUT_S, Fleet
from fescueseam.handshake.notices import Notice, Report
from fescueseam.handshake.watchers import WATCHERS_PER_DATA_CENTRE, is_watcher
from fescueseam.overload.duties import compute_capacity


def build_fleets(count: int, data_centre: str = "a") -> list[Fleet]:
    """Return the views of the balancers of a data centre, each of which has heard the others."""
    identities = [
        Identity(f"balancer-{data_centre}{number}", Role.BALANCER, 1 + number, data_centre)
        for number in range(count)
    ]
    fleets = [Fleet(identity) for identity in identities]
    for fleet in fleets:
        for identity in identities:
            fleet.record_report(identity, Load(), 1, 0.0)
    return fleets


def list_watchers(fleets: list[Fleet], now: float) -> set[str]:
    return {fleet.own.name for fleet in fleets if is_watcher(fleet, now)}


@pytest.mark.parametrize("count", [1, 2, 3, 12, 60])
def test_a_few_balancers_of_a_data_centre_watch(count: int) -> None:
    watchers = list_watchers(build_fleets(count), 0.1)
    assert len(watchers) == min(count, WATCHERS_PER_DATA_CENTRE)


def test_lost_watchers_are_replaced_once_they_are_silent() -> None:
    fleets = build_fleets(12)
    lost = list_watchers(fleets, 0.1)
    alive = [fleet for fleet in fleets if fleet.own.name not in lost]
    for fleet in alive:
        for other in alive:
            fleet.record_report(other.own, Load(), 2, 2.0)
    assert list_watchers(alive, NEIGHBOUR_TIMEOUT_S - 0.1) == set()
    assert len(list_watchers(alive, NEIGHBOUR_TIMEOUT_S)) == WATCHERS_PER_DATA_CENTRE


def test_leaving_watcher_is_replaced_at_once() -> None:
    fleets = build_fleets(12)
    leaving = min(list_watchers(fleets, 0.1))
    for fleet in fleets:
        identity = Identity(leaving, Role.BALANCER, int(leaving[10:]) + 1, "a")
        fleet.record_report(identity, Load(leaving=True), 2, 0.2)
    staying = [fleet for fleet in fleets if fleet.own.name != leaving]
    assert len(list_watchers(staying, 0.3)) == WATCHERS_PER_DATA_CENTRE


def test_balancer_that_hears_nobody_nearby_watches() -> None:
    fleet = build_fleets(12)[0]
    far = Identity("balancer-b", Role.BALANCER, 99, "b")
    agent = Identity("agent-1", Role.AGENT, 98, "a", "alerts")
    fleet.record_report(far, Load(), 1, 10.0)
    fleet.record_report(agent, Load(Availability.READY), 1, 10.0)
    assert is_watcher(fleet, 10.0)


def test_large_balancers_that_are_not_behind_watch() -> None:
    fleets = build_fleets(12)
    loads = [Load(capacity=1.0 if number < 5 else 0.25) for number in range(12)]
    loads[0] = Load(capacity=1.0, lagging=True)
    for fleet, load in zip(fleets, loads, strict=True):
        fleet.own_load = load
        for other in fleets:
            other.record_report(fleet.own, load, 2, 0.2)
    watchers = list_watchers(fleets, 0.3)
    assert len(watchers) == WATCHERS_PER_DATA_CENTRE
    assert watchers <= {f"balancer-a{number}" for number in range(1, 5)}


@pytest.mark.parametrize("processor_share", [0.1, 0.25, 0.3, 0.35, 0.387, 0.7, 1.074])
def test_equal_balancers_agree_on_watchers_by_what_reports_carry(processor_share: float) -> None:
    load = Load(capacity=compute_capacity(processor_share, 1, None))
    fleets = build_fleets(10)
    for fleet in fleets:
        fleet.own_load = load
        notice = Notice(fleet.own.name, 1, 2, Report(fleet.own, load))
        received = decode_notice(encode_notice(notice)).body
        assert isinstance(received, Report)
        for other in fleets:
            other.record_report(received.identity, received.load, 2, 0.2)
    assert len(list_watchers(fleets, 0.3)) == WATCHERS_PER_DATA_CENTRE
