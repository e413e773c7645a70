import pytest
from attrs import evolve

from fescueseam.conf.models import Role
from fescueseam.membership.facts import ProcessFacts, Status
from fescueseam.membership.peers import (
    PEER_ANSWER_TIMEOUT_S,
    UNRESPONSIVE_RETRY_INTERVAL_S,
    PeerRegistry,
    build_peer,
)
from fescueseam.membership.rendezvous import choose_keepers
from fescueseam.membership.reports import (
    KeeperReport,
    Report,
    ReportVersionCounter,
    build_report_key,
    decode_report,
    encode_report,
    merge_reports,
)
from fescueseam.versions.values import VersionedValue


@pytest.fixture
def agent():
    return ProcessFacts("a0", Role.AGENT, "solo", "jawa-tengah", "10.0.0.1", 7000, 5, "katalog")


@pytest.fixture
def balancer():
    return ProcessFacts("b0", Role.BALANCER, "solo", "jawa-tengah", "10.0.0.2", 7000, 5)


def make_report(keeper, facts, status=Status.ALIVE):
    return KeeperReport(keeper, Report(facts, status))


def test_report_round_trip_and_size(agent):
    key = build_report_key("solo", "b0", agent)
    data = encode_report(Report(agent, Status.SUSPECTED))
    assert decode_report(VersionedValue(key, 1, data)) == make_report("b0", agent, Status.SUSPECTED)
    assert len(data) < 150


def test_alive_report_outweighs_dead_report(agent):
    reports = [make_report("b0", agent, Status.DEAD), make_report("b1", agent)]
    assert merge_reports(reports, ["b0", "b1"])["a0"].status is Status.ALIVE


def test_newer_incarnation_replaces_older_one(agent):
    newer = evolve(agent, incarnation=6)
    reports = [make_report("b0", agent), make_report("b1", newer, Status.SUSPECTED)]
    merged = merge_reports(reports, ["b0", "b1"])
    assert merged["a0"].facts.incarnation == 6
    assert merged["a0"].status is Status.SUSPECTED


def test_reports_of_a_dead_keeper_are_ignored(agent, balancer):
    lost = evolve(balancer, name="b1")
    reports = [make_report("b0", lost, Status.DEAD), make_report("b1", agent)]
    assert "a0" not in merge_reports(reports, ["b0"])
    assert "a0" in merge_reports([make_report("b0", lost), make_report("b1", agent)], ["b0"])


def test_unreachable_keepers_do_not_make_each_other_reachable(agent, balancer):
    first, second = evolve(balancer, name="b1"), evolve(balancer, name="b2")
    reports = [make_report("b1", second), make_report("b2", first), make_report("b2", agent)]
    assert merge_reports(reports, ["b0"]) == {}


def test_member_is_idle_only_if_all_keepers_report_it_idle(agent):
    idle = evolve(agent, draining=True, idle=True)
    busy = evolve(agent, draining=True)
    merged = merge_reports([make_report("b0", idle), make_report("b1", busy)], ["b0", "b1"])
    assert not merged["a0"].facts.idle
    merged = merge_reports([make_report("b0", idle), make_report("b1", idle)], ["b0", "b1"])
    assert merged["a0"].facts.idle


def test_versions_of_a_later_incarnation_are_higher():
    counter = ReportVersionCounter(1_000_000_000)
    last = [counter.take_next() for _ in range(100)][-1]
    assert ReportVersionCounter(2_000_000_000).take_next() > last


def test_removed_balancer_changes_only_its_own_keys():
    balancers = [f"b{index}" for index in range(30)]
    before = {key: choose_keepers(key, balancers, 2) for key in map(str, range(1000))}
    after = {key: choose_keepers(key, balancers[1:], 2) for key in before}
    moved = [key for key in before if before[key] != after[key]]
    assert all("b0" in before[key] for key in moved)
    assert len(moved) == pytest.approx(1000 * 2 / 30, rel=0.5)


def test_unresponsive_keeper_is_replaced_and_retried_later(balancer):
    registry = PeerRegistry("a0")
    for index in range(4):
        data_centre = "solo" if index < 3 else "semarang"
        registry.learn(build_peer(evolve(balancer, name=f"b{index}", data_centre=data_centre)))
    first, second = registry.choose_nearest_keepers("a0", 0.0, "solo", "jawa-tengah", 2)
    assert {first.data_centre, second.data_centre} == {"solo"}
    registry.record_announcement(first.name, 0.0)
    assert first not in registry.choose_nearest_keepers(
        "a0", PEER_ANSWER_TIMEOUT_S + 0.1, "solo", "jawa-tengah", 2
    )
    assert first in registry.choose_nearest_keepers(
        "a0", UNRESPONSIVE_RETRY_INTERVAL_S + 0.1, "solo", "jawa-tengah", 2
    )
    registry.record_heard(first.name, 2.0)
    assert first in registry.choose_nearest_keepers("a0", 2.0, "solo", "jawa-tengah", 2)


def test_keepers_come_from_elsewhere_if_the_data_centre_has_too_few(balancer):
    registry = PeerRegistry("a0")
    registry.learn(build_peer(evolve(balancer, name="near")))
    registry.learn(build_peer(evolve(balancer, name="region", data_centre="semarang")))
    registry.learn(build_peer(evolve(balancer, name="far", data_centre="x", region="y")))
    chosen = registry.choose_nearest_keepers("a0", 0.0, "solo", "jawa-tengah", 2)
    assert [peer.name for peer in chosen] == ["near", "region"]
