import random
from collections import deque

import pytest
from attrs import evolve

from fescueseam.conf.models import Service
from fescueseam.messages.types import GossipDigest, GossipKeys, GossipValues
from fescueseam.versions.gossip import PEER_CONFIRMATION_TIMEOUT_S, Gossip
from fescueseam.versions.pages import PAYLOAD_LIMIT_BYTES, PageAssembler, pack_values
from fescueseam.versions.values import VersionedMap, VersionedValue

HANDLERS = {GossipDigest: "on_digest", GossipKeys: "on_keys", GossipValues: "on_values"}
BOUND_S = 6.0
TICK_S = 0.25


class Mesh:
    """Carry gossip between processes, one tick a hop, losing some datagrams."""

    def __init__(self, count, rng, loss=0.0):
        self.rng = rng
        self.loss = loss
        self.now = 0.0
        self.datagrams = 0
        self.flying = deque()
        self.nodes = {
            f"p{index}": Gossip(VersionedMap(), random.Random(rng.random()), 0.0)
            for index in range(count)
        }

    def send(self, sender, receiver, body):
        self.datagrams += 1
        if self.rng.random() >= self.loss:
            version = self.nodes[sender].configuration.version
            self.flying.append((sender, receiver, body, version))

    def step(self):
        self.now += TICK_S
        arriving, self.flying = self.flying, deque()
        for sender, receiver, body, version in arriving:
            if receiver not in self.nodes or sender not in self.nodes:
                continue
            node = self.nodes[receiver]
            answers = getattr(node, HANDLERS[type(body)])(body)
            # Every message names the sender's version; whoever is behind is told what changed.
            for answer in [*answers, *node.select_changes_since(version)]:
                self.send(receiver, sender, answer)
        for name, node in self.nodes.items():
            peers = [peer for peer in self.nodes if peer != name]
            hot = node.take_hot()
            pushes = node.push(hot, peers) if hot else []
            for outgoing in [*pushes, *node.tick(self.now, peers)]:
                self.send(name, outgoing.peer, outgoing.body)

    def run(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            self.step()

    def versions(self):
        return {node.configuration.version for node in self.nodes.values()}


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_change_is_in_force_everywhere_within_the_bound(cfg, rng, loss):
    mesh = Mesh(60, rng, loss)
    mesh.nodes["p0"].put_configuration(cfg, "op")
    mesh.run(4 * BOUND_S)
    assert mesh.versions() == {1}
    # The store fails right after one process has read the change.
    mesh.nodes["p7"].put_configuration(evolve(cfg, version=2, services=cfg.services[1:]), "op")
    mesh.run(BOUND_S)
    assert mesh.versions() == {2}


def test_a_process_that_was_apart_catches_up_and_nobody_goes_back(cfg, rng):
    mesh = Mesh(10, rng)
    mesh.nodes["p0"].put_configuration(cfg, "op")
    mesh.run(BOUND_S)
    apart = mesh.nodes.pop("p9")
    for version in range(2, 12):
        changed = evolve(cfg.services[0], address=f"10.1.0.{version}")
        newer = evolve(cfg, version=version, services=(changed, *cfg.services[2:]))
        mesh.nodes["p0"].put_configuration(newer, "op")
        mesh.run(1.0)
    mesh.nodes["p9"] = apart
    seen = []
    for _ in range(int(2 * BOUND_S / TICK_S)):
        mesh.step()
        seen.append(apart.configuration.version)
        assert {node.configuration.version for node in mesh.nodes.values()} <= {1, 11}
    assert seen == sorted(seen)
    assert mesh.versions() == {11}


def test_an_entry_that_a_later_configuration_replaced_is_answered_by_the_later_one(cfg, rng):
    ahead = Gossip(VersionedMap(), rng, 0.0)
    behind = Gossip(VersionedMap(), rng, 0.0)
    for version in (1, 2):
        behind.put_configuration(evolve(cfg, version=version), "op")
    extra = Service("mistaken", "10.7.7.7")
    behind.put_configuration(evolve(cfg, version=3, services=(*cfg.services, extra)), "op")
    # It read the whole of version 4 and never saw version 3 with its further service.
    ahead.put_configuration(evolve(cfg, version=4), "op")
    mesh = Mesh(0, rng)
    mesh.nodes = {"ahead": ahead, "behind": behind}
    mesh.run(3 * BOUND_S)
    assert mesh.versions() == {4}
    assert behind.configuration == ahead.configuration


def test_equal_processes_exchange_two_small_digests(cfg, rng):
    mesh = Mesh(2, rng)
    for node in mesh.nodes.values():
        node.put_configuration(cfg, "op")
        node.take_hot()
    mesh.run(10.0)
    assert mesh.datagrams <= 2 * 2 * 10 / 0.8


def test_a_process_is_current_once_a_peer_agrees_or_the_store_alone_answered(cfg, rng):
    fresh = Gossip(VersionedMap(), rng, 0.0)
    fresh.record_store_read()
    fresh.put_configuration(cfg, "op")
    assert not fresh.is_current(PEER_CONFIRMATION_TIMEOUT_S / 2)
    assert fresh.is_current(PEER_CONFIRMATION_TIMEOUT_S)
    cut = Gossip(VersionedMap(), rng, 0.0)
    assert not cut.is_current(1000.0), "neither the store nor a peer has answered"
    peer = Gossip(VersionedMap(), rng, 0.0)
    peer.put_configuration(cfg, "op")
    mesh = Mesh(0, rng)
    mesh.nodes = {"cut": cut, "peer": peer}
    mesh.run(BOUND_S)
    assert cut.is_current(mesh.now)
    assert cut.configuration.version == 1


def test_an_agent_is_current_once_a_keeper_has_the_same_version_in_force(cfg, rng):
    node = Gossip(VersionedMap(), rng, 0.0, config_only=True)
    node.record_peer_version(0)
    assert not node.is_current(100.0)
    node.put_configuration(cfg, "op")
    node.record_peer_version(cfg.version + 1)
    assert not node.is_current(100.0)
    node.record_peer_version(cfg.version)
    assert node.is_current(100.0)


def test_large_values_travel_in_pages_that_come_in_any_order(rng):
    value = VersionedValue("tables/large", 4, rng.randbytes(20_000), "w")
    pages = [page for message in pack_values([value]) for page in message.values]
    assert all(
        sum(len(page.data) + len(page.key) for page in message.values) <= PAYLOAD_LIMIT_BYTES
        for message in pack_values([value])
    )
    rng.shuffle(pages)
    assembler = PageAssembler()
    whole = [done for page in pages + pages[:3] if (done := assembler.add(page)) is not None]
    assert whole == [value]


def test_pages_of_an_older_version_are_given_up(rng):
    old = VersionedValue("tables/large", 4, rng.randbytes(2_000), "w")
    new = VersionedValue("tables/large", 5, rng.randbytes(2_000), "w")
    assembler = PageAssembler(limit=1)
    first, *rest = [page for message in pack_values([old]) for page in message.values]
    assembler.add(first)
    done = [
        assembler.add(page) for page in [*(p for m in pack_values([new]) for p in m.values), *rest]
    ]
    assert [value for value in done if value is not None] == [new]
