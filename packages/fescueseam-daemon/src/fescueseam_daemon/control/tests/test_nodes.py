import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueseam.conf.models import KeySettings, ProcessSettings, Role
from fescueseam.exceptions import FescueseamError
from fescueseam.messages import types
from fescueseam.routing.view import View
from fescueseam.versions.values import VersionedValue
from fescueseam_daemon.control.agent_node import AgentNode, decode_suspects
from fescueseam_daemon.control.balancer_node import BalancerNode

KEYS = (KeySettings(1, "one"),)
GOSSIP_KEYS = [
    "config/head",
    "config/service/katalog",
    "config/unknown/x",
    "tables/katalog",
    "members/solo/b9/katalog/a1",
    "members/short",
    "suspects/katalog/b9",
]


def make_settings(role):
    service = "katalog" if role is Role.AGENT else ""
    return ProcessSettings(
        "own", "solo", "jawa-tengah", "10.0.0.1", 7000, "", KEYS, 7001, role, service=service
    )


def make_node(role):
    node_class = BalancerNode if role is Role.BALANCER else AgentNode
    rng = random.Random(int(os.environ.get("SEED", "1")))
    return node_class(make_settings(role), 1, View(), rng, 0.0)


values = st.builds(
    types.Value,
    key=st.sampled_from(GOSSIP_KEYS),
    version=st.integers(0, 2**63),
    writer=st.just("w"),
    data=st.one_of(st.binary(max_size=40), st.sampled_from([b"{}", b"[]", b"[1]", b"null"])),
    page=st.integers(0, 3),
    pages=st.integers(0, 3),
    deleted=st.booleans(),
)
bodies = st.one_of(
    st.builds(types.GossipValues, st.lists(values, max_size=4).map(tuple)),
    st.builds(types.GossipDigest, st.lists(st.integers(0, 9), max_size=130).map(tuple)),
    st.builds(
        types.GossipKeys,
        st.integers(0, 65535),
        st.lists(st.builds(types.KeyVersion, st.integers(0, 9), st.integers(0, 9))).map(tuple),
        st.booleans(),
    ),
    st.builds(
        types.Announce,
        st.sampled_from(["agent", "balancer", "other"]),
        *[st.sampled_from(["", "solo"])] * 2,
        st.just("10.0.0.2"),
        *[st.integers(0, 65535)] * 2,
        st.integers(0, 2**63),
    ),
    st.builds(
        types.AnnounceAnswer,
        st.lists(
            st.builds(
                types.Peer,
                st.sampled_from(["", "own", "b9", "b8"]),
                st.sampled_from(["agent", "balancer", "other"]),
                *[st.sampled_from(["", "solo"])] * 2,
                st.just("10.0.0.2"),
                *[st.integers(0, 65535)] * 2,
            ),
            max_size=3,
        ).map(tuple),
        st.integers(0, 2**63),
    ),
)


@pytest.mark.parametrize("role", list(Role))
@settings(max_examples=150, deadline=None)
@given(received=st.lists(bodies, max_size=6))
def test_arbitrary_message_content_raises_only_expected_errors(role, received):
    node = make_node(role)
    for index, body in enumerate(received):
        now = index * 0.3
        message = types.Message("b9", 1, body, target="own", service="katalog")
        try:
            node.handle(message, now)
        except FescueseamError:
            continue
        node.tick(now)
    assert node.gossip.configuration.version == 0


def test_answer_to_unknown_heartbeat_does_not_renew_lease():
    node = make_node(Role.AGENT)
    for heartbeat in range(100):
        answer = types.Message("b0", 1, types.AnnounceAnswer((), heartbeat), target="own")
        node.handle(answer, 1.0)
    assert not node.hears_peers(1.0)


def test_process_without_peers_announces_to_its_seeds():
    node = make_node(Role.AGENT)
    node.seeds.append(types.Peer("", "balancer", "", "", "10.0.0.9", 7000, 0))
    sends = node.tick(0.0)
    assert [(send.address, send.port) for send in sends] == [("10.0.0.9", 7000)]
    assert isinstance(sends[0].message.body, types.Announce)


def test_agent_adopts_suspects_of_its_primary_keeper():
    node = make_node(Role.AGENT)
    peers = tuple(
        types.Peer(name, "balancer", "solo", "jawa-tengah", f"10.0.0.{index}", 7000, 1)
        for index, name in enumerate(("b0", "b1"), 2)
    )
    node.handle(types.Message("b0", 1, types.AnnounceAnswer(peers, 0), target="own"), 0.0)
    primary = node._choose_keepers(0.0).primary[0].name
    backup = next(peer.name for peer in peers if peer.name != primary)
    for keeper, names in ((primary, b'["a1"]'), (backup, b"[]")):
        value = types.Value(f"suspects/katalog/{keeper}", 5, keeper, names)
        message = types.Message(keeper, 1, types.GossipValues((value,)), target="own")
        node.handle(message, 1.0)
    assert node.view.suspects == {"a1"}
    node.update_suspects(100.0)
    assert node.view.suspects == frozenset(), "no keeper was heard within the lease"


def announce_to(node, name, now, heartbeat):
    body = types.Announce("agent", "solo", "jawa-tengah", "10.0.0.8", 7000, 7001, heartbeat)
    node.handle(types.Message(name, 1, body, target="own", service="katalog"), now)
    return node.tick(now)


def list_report_keys(node, keeper):
    return [value.key for value in node.gossip.values.select(f"members/solo/{keeper}/")]


def test_reports_of_lost_processes_and_keepers_are_deleted():
    node = make_node(Role.BALANCER)
    announce_to(node, "a0", 1.0, 1)
    report = node.gossip.values.get("members/solo/own/katalog/a0")
    unreachable_report = types.Value("members/solo/b9/katalog/a0", 7, "b9", report.value)
    node.handle(
        types.Message("b0", 1, types.GossipValues((unreachable_report,)), target="own"), 1.0
    )
    for second in range(2, 7300):
        announce_to(node, "a1", float(second) - 0.5, second)
        node.tick(float(second))
    assert list_report_keys(node, "own") == ["members/solo/own/katalog/a1"]
    assert list_report_keys(node, "b9") == []


def test_keeper_rewrites_reports_that_another_process_deleted():
    node = make_node(Role.BALANCER)
    announce_to(node, "a0", 1.0, 1)
    (key,) = list_report_keys(node, "own")
    version = node.gossip.values.get_version(key) + 1
    deletion = types.Value(key, version, "b0", b"", deleted=True)
    node.handle(types.Message("b0", 1, types.GossipValues((deletion,)), target="own"), 1.5)
    node.tick(1.6)
    assert list_report_keys(node, "own") == [key]


@pytest.mark.parametrize("data", [b"[" * 30_000, b"9" * 5000, b"\xff", b"{}", b"7"])
def test_unreadable_list_of_suspects_names_nobody(data: bytes) -> None:
    assert decode_suspects(VersionedValue("suspects/katalog/b", 3, data, "b")) == frozenset()
