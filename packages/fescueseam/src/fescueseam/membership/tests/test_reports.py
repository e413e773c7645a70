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


def report(keeper, facts, status=Status.ALIVE):
    return KeeperReport(keeper, Report(facts, status))


def test_a_report_survives_the_round_trip_and_is_small(agent):
    key = build_report_key("solo", "b0", agent)
    data = encode_report(Report(agent, Status.SUSPECTED))
    assert decode_report(VersionedValue(key, 1, data)) == report("b0", agent, Status.SUSPECTED)
    assert len(data) < 150


def test_one_keeper_that_hears_outweighs_one_that_does_not(agent):
    reports = [report("b0", agent, Status.DEAD), report("b1", agent)]
    assert merge_reports(reports, ["b0", "b1"])["a0"].status is Status.ALIVE


def test_a_newer_incarnation_outweighs_everything_on_the_older_one(agent):
    newer = evolve(agent, incarnation=6)
    reports = [report("b0", agent), report("b1", newer, Status.SUSPECTED)]
    merged = merge_reports(reports, ["b0", "b1"])
    assert merged["a0"].facts.incarnation == 6
    assert merged["a0"].status is Status.SUSPECTED


def test_what_a_dead_keeper_said_last_no_longer_counts(agent, balancer):
    lost = evolve(balancer, name="b1")
    reports = [report("b0", lost, Status.DEAD), report("b1", agent)]
    assert "a0" not in merge_reports(reports, ["b0"])
    assert "a0" in merge_reports([report("b0", lost), report("b1", agent)], ["b0"])


def test_two_dead_keepers_cannot_vouch_for_one_another(agent, balancer):
    one, two = evolve(balancer, name="b1"), evolve(balancer, name="b2")
    reports = [report("b1", two), report("b2", one), report("b2", agent)]
    assert merge_reports(reports, ["b0"]) == {}


def test_a_member_counts_as_idle_only_when_every_keeper_says_so(agent):
    idle = evolve(agent, draining=True, idle=True)
    busy = evolve(agent, draining=True)
    merged = merge_reports([report("b0", idle), report("b1", busy)], ["b0", "b1"])
    assert not merged["a0"].facts.idle
    merged = merge_reports([report("b0", idle), report("b1", idle)], ["b0", "b1"])
    assert merged["a0"].facts.idle


def test_versions_of_a_later_incarnation_are_always_higher():
    early = ReportVersionCounter(1_000_000_000)
    last = [early.take_next() for _ in range(100)][-1]
    assert ReportVersionCounter(2_000_000_000).take_next() > last


def test_keepers_change_little_when_one_balancer_dies():
    balancers = [f"b{index}" for index in range(30)]
    before = {key: choose_keepers(key, balancers, 2) for key in map(str, range(1000))}
    after = {key: choose_keepers(key, balancers[1:], 2) for key in before}
    moved = [key for key in before if before[key] != after[key]]
    assert all("b0" in before[key] for key in moved)
    assert len(moved) == pytest.approx(1000 * 2 / 30, rel=0.5)


def test_a_silent_keeper_is_replaced_and_tried_again_later(balancer):
    book = PeerRegistry("a0")
    for index in range(4):
        place = "solo" if index < 3 else "semarang"
        book.learn(build_peer(evolve(balancer, name=f"b{index}", data_centre=place)))
    first, second = book.choose_nearest_keepers("a0", 0.0, "solo", "jawa-tengah", 2)
    assert {first.data_centre, second.data_centre} == {"solo"}
    book.record_announcement(first.name, 0.0)
    assert first not in book.choose_nearest_keepers(
        "a0", PEER_ANSWER_TIMEOUT_S + 0.1, "solo", "jawa-tengah", 2
    )
    assert first in book.choose_nearest_keepers(
        "a0", UNRESPONSIVE_RETRY_INTERVAL_S + 0.1, "solo", "jawa-tengah", 2
    )
    book.record_heard(first.name, 2.0)
    assert first in book.choose_nearest_keepers("a0", 2.0, "solo", "jawa-tengah", 2)


def test_keepers_come_from_elsewhere_when_the_data_centre_has_too_few(balancer):
    book = PeerRegistry("a0")
    book.learn(build_peer(evolve(balancer, name="near")))
    book.learn(build_peer(evolve(balancer, name="region", data_centre="semarang")))
    book.learn(build_peer(evolve(balancer, name="far", data_centre="x", region="y")))
    chosen = book.choose_nearest_keepers("a0", 0.0, "solo", "jawa-tengah", 2)
    assert [peer.name for peer in chosen] == ["near", "region"]
