"""Openings whose agents answer late, and what is known of them then.

Load pattern: agents that deliver at once while their answers take longer than the offer's timeout.
"""

import pytest
from attrs import evolve

from fescueseam.handshake.notices import Located, NoticeBody
from fescueseam.handshake.openings import OFFER_TIMEOUT_S, PendingOpening
from fescueseam.handshake.rules import Rules
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    RULES,
    Cluster,
    build_flow,
    build_opening,
)
from fescueseam.overload.needs import RouteNeeds


@pytest.fixture
def late_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the answers of agents arrive 20 ms after the timeout of an offer."""
    send = Cluster._send_notice

    def send_late(cluster: Cluster, sender: int, address: int, body: NoticeBody) -> None:
        delay_s = OFFER_TIMEOUT_S + 0.02 if isinstance(body, Located) else 0.0
        cluster.schedule(delay_s, lambda: send(cluster, sender, address, body))

    monkeypatch.setattr(Cluster, "_send_notice", send_late)


def test_delivered_opening_is_not_refused(cluster: Cluster, late_answers: None) -> None:
    flow = build_flow(0)
    cluster.send(build_opening(flow), 1)
    cluster.run(1.0)
    assert any(flow in backend.flows for backend in cluster.backends.values())
    assert cluster.resets == []
    assert cluster.count_events("opening-dropped") > 0


def test_server_that_is_set_aside_takes_an_opening_if_it_is_the_last() -> None:
    route = evolve(RULES.routes[0], needs=RouteNeeds(0.25, 1.0, 1))
    cluster = Cluster(rules=Rules(1, (route,), RULES.services))
    balancer = cluster.add_balancer(1)
    cluster.add_agent(11)
    cluster.add_agent(12)
    cluster.run(3.0)
    balancer.fleet.members["agent-11"].slow_factor = 3.0
    flow = build_flow(0)
    opening = PendingOpening(build_opening(flow), ALERTS, "", cluster.now, even_if_busy=True)
    chosen = balancer.placement.selector.choose(opening, flow, {"agent-12"}, cluster.now)
    assert chosen is balancer.fleet.members["agent-11"]
