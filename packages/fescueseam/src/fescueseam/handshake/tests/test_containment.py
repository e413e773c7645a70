"""Members that were listed but never heard, and exceptions in the handling of one flow."""

import json

import pytest

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor
from fescueseam.handshake.balancer import Balancer
from fescueseam.handshake.finder import HomeFinder
from fescueseam.handshake.member import Identity, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, Located
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    Cluster,
    build_flow,
    build_opening,
    build_segment,
)

LISTED_ADDRESS = 99


def list_unheard_agent(balancer: Balancer, now: float) -> str:
    identity = Identity("agent-unheard", Role.AGENT, LISTED_ADDRESS, "a", ALERTS)
    assert balancer.fleet.add_listed(identity, now)
    return identity.name


def test_copy_of_an_opening_goes_to_an_agent_that_was_only_listed(cluster: Cluster) -> None:
    balancer = cluster.nodes[1]
    assert isinstance(balancer, Balancer)
    name = list_unheard_agent(balancer, cluster.now)
    flow = build_flow(1)
    balancer.handle_packet(build_opening(flow, attempt=1), cluster.now)
    effects = balancer.handle_located(
        "balancer-2", Located(flow, Holding.UNSURE, name), cluster.now
    )
    cluster.execute(1, effects)
    (offered,) = [item for item in cluster.events if item.event == "flow-offered"]
    assert offered.fields["agent"] == name
    assert offered.fields["age_ms"] is None


def test_log_fields_are_valid_json_when_nothing_was_heard(cluster: Cluster) -> None:
    agent = cluster.add_agent(14)
    agent.backend.last_heartbeat = None
    agent.backend.last_heard_at = float("-inf")
    cluster.execute(14, agent.start_shutdown(cluster.now))
    cluster.send(build_opening(build_flow(2)), 1)
    cluster.run(1.0)
    for item in cluster.events:
        json.dumps(item.fields, allow_nan=False)


def test_agent_logs_no_heartbeat_age_before_the_first(cluster: Cluster) -> None:
    agent = cluster.nodes[11]
    assert isinstance(agent, Agent)
    agent.admission.leaving = True
    agent.backend.last_heard_at = float("-inf")
    returned = agent.admission.admit(build_opening(build_flow(3)), build_flow(3), None, cluster.now)
    assert returned[0].fields["heartbeat_age_ms"] is None


def fail(*args: object) -> None:
    raise ZeroDivisionError("a fault in the handling of one flow")


def test_failing_offer_timeout_ends_only_its_own_flow(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    balancer = cluster.nodes[1]
    assert isinstance(balancer, Balancer)
    cluster.disconnected |= {11, 12, 13}
    cluster.send(build_opening(build_flow(1)), 1)
    cluster.run(0.005)
    monkeypatch.setattr(Fleet, "record_unanswered", fail)
    cluster.run(0.2)
    assert build_flow(1) not in balancer.offered
    assert cluster.count_events("handler-failed") == 1
    monkeypatch.undo()
    cluster.disconnected.clear()
    cluster.run(2.0)
    cluster.open(build_flow(2), 1)
    assert cluster.find_home(build_flow(2)) is not None


def test_failing_search_timeout_ends_only_its_own_search(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    balancer = cluster.nodes[1]
    assert isinstance(balancer, Balancer)
    cluster.open(build_flow(1), 2)
    cluster.disconnected |= {2, 11, 12, 13}
    cluster.send(build_segment(build_flow(1)), 1)
    cluster.run(0.005)
    assert build_flow(1) in balancer.searches
    monkeypatch.setattr(HomeFinder, "_handle_timeout", fail)
    cluster.run(0.1)
    assert balancer.searches == {}
    (event,) = [item for item in cluster.events if item.event == "handler-failed"]
    assert event.fields["reason"] == "search-timeout"
    assert "a fault in the handling of one flow" in event.fields["traceback"]
    monkeypatch.undo()
    cluster.disconnected.clear()
    home = cluster.find_home(build_flow(1))
    cluster.run(1.0)
    cluster.request(build_flow(1), 1)
    cluster.run(0.2)
    assert cluster.find_home(build_flow(1)) == home
    assert cluster.resets == []


def test_failing_opening_timeout_keeps_the_flow_table(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster.open(build_flow(1), 1)
    home = cluster.find_home(build_flow(1))
    assert home is not None
    agent = cluster.nodes[home]
    assert isinstance(agent, Agent)
    cluster.backends[home].alive = False
    segment = build_opening(build_flow(2))
    agent.admission.admit(segment, build_flow(2), None, cluster.now)
    monkeypatch.setattr(BackendMonitor, "record_unanswered_opening", fail)
    cluster.run(0.1)
    assert cluster.count_events("handler-failed") == 1
    assert not agent.has_pending_work()
    assert agent.flows.find(build_flow(1)) is not None


def test_discarded_flow_is_found_again(cluster: Cluster) -> None:
    balancer = cluster.nodes[1]
    assert isinstance(balancer, Balancer)
    cluster.open(build_flow(1), 1)
    balancer.discard_flow(build_flow(1))
    cluster.request(build_flow(1), 1)
    cluster.run(0.2)
    assert cluster.resets == []
    assert cluster.answers[build_flow(1)] >= 2
