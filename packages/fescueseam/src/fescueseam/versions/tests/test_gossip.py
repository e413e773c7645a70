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
CONVERGENCE_LIMIT_S = 6.0
TICK_S = 0.25


class Mesh:
    """Processes that exchange gossip; a datagram takes one tick and may be lost."""

    def __init__(self, count, rng, loss=0.0):
        self.rng = rng
        self.loss = loss
        self.now = 0.0
        self.datagrams = 0
        self.in_flight = deque()
        self.nodes = {
            f"p{index}": Gossip(VersionedMap(), random.Random(rng.random()), 0.0)
            for index in range(count)
        }

    def send(self, sender, receiver, body):
        self.datagrams += 1
        if self.rng.random() >= self.loss:
            version = self.nodes[sender].configuration.version
            self.in_flight.append((sender, receiver, body, version))

    def step(self):
        self.now += TICK_S
        arriving, self.in_flight = self.in_flight, deque()
        for sender, receiver, body, version in arriving:
            if receiver not in self.nodes or sender not in self.nodes:
                continue
            node = self.nodes[receiver]
            answers = getattr(node, HANDLERS[type(body)])(body)
            # Every message carries its sender's version; an outdated sender gets the changes.
            for answer in [*answers, *node.select_changes_since(version)]:
                self.send(receiver, sender, answer)
        for name, node in self.nodes.items():
            peers = [peer for peer in self.nodes if peer != name]
            hot = node.take_hot()
            pushed = node.push(hot, peers) if hot else []
            for outgoing in [*pushed, *node.tick(self.now, peers)]:
                self.send(name, outgoing.peer, outgoing.body)

    def run(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            self.step()

    def get_versions(self):
        return {node.configuration.version for node in self.nodes.values()}


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_change_reaches_all_processes_within_the_limit(cfg, rng, loss):
    mesh = Mesh(60, rng, loss)
    mesh.nodes["p0"].put_configuration(cfg, "op")
    mesh.run(4 * CONVERGENCE_LIMIT_S)
    assert mesh.get_versions() == {1}
    # Only one process has read the change before the store fails.
    mesh.nodes["p7"].put_configuration(evolve(cfg, version=2, services=cfg.services[1:]), "op")
    mesh.run(CONVERGENCE_LIMIT_S)
    assert mesh.get_versions() == {2}


def test_isolated_process_catches_up_and_no_version_goes_back(cfg, rng):
    mesh = Mesh(10, rng)
    mesh.nodes["p0"].put_configuration(cfg, "op")
    mesh.run(CONVERGENCE_LIMIT_S)
    isolated = mesh.nodes.pop("p9")
    for version in range(2, 12):
        changed = evolve(cfg.services[0], address=f"10.1.0.{version}")
        newer = evolve(cfg, version=version, services=(changed, *cfg.services[2:]))
        mesh.nodes["p0"].put_configuration(newer, "op")
        mesh.run(1.0)
    mesh.nodes["p9"] = isolated
    seen = []
    for _ in range(int(2 * CONVERGENCE_LIMIT_S / TICK_S)):
        mesh.step()
        seen.append(isolated.configuration.version)
        assert {node.configuration.version for node in mesh.nodes.values()} <= {1, 11}
    assert seen == sorted(seen)
    assert mesh.get_versions() == {11}


def test_outdated_entry_is_answered_with_its_replacement(cfg, rng):
    ahead = Gossip(VersionedMap(), rng, 0.0)
    behind = Gossip(VersionedMap(), rng, 0.0)
    for version in (1, 2):
        behind.put_configuration(evolve(cfg, version=version), "op")
    extra = Service("mistaken", "10.7.7.7")
    behind.put_configuration(evolve(cfg, version=3, services=(*cfg.services, extra)), "op")
    # This process read version 4 as a whole and never received the service of version 3.
    ahead.put_configuration(evolve(cfg, version=4), "op")
    mesh = Mesh(0, rng)
    mesh.nodes = {"ahead": ahead, "behind": behind}
    mesh.run(3 * CONVERGENCE_LIMIT_S)
    assert mesh.get_versions() == {4}
    assert behind.configuration == ahead.configuration


def test_processes_with_equal_values_exchange_only_digests(cfg, rng):
    mesh = Mesh(2, rng)
    for node in mesh.nodes.values():
        node.put_configuration(cfg, "op")
        node.take_hot()
    mesh.run(10.0)
    assert mesh.datagrams <= 2 * 2 * 10 / 0.8


def test_process_is_current_after_peer_confirmation_or_store_read(cfg, rng):
    fresh = Gossip(VersionedMap(), rng, 0.0)
    fresh.record_store_read()
    fresh.put_configuration(cfg, "op")
    assert not fresh.is_current(PEER_CONFIRMATION_TIMEOUT_S / 2)
    assert fresh.is_current(PEER_CONFIRMATION_TIMEOUT_S)
    without_store = Gossip(VersionedMap(), rng, 0.0)
    assert not without_store.is_current(1000.0), "neither the store nor a peer has answered"
    peer = Gossip(VersionedMap(), rng, 0.0)
    peer.put_configuration(cfg, "op")
    mesh = Mesh(0, rng)
    mesh.nodes = {"without_store": without_store, "peer": peer}
    mesh.run(CONVERGENCE_LIMIT_S)
    assert without_store.is_current(mesh.now)
    assert without_store.configuration.version == 1


def test_agent_is_current_once_a_keeper_has_the_same_version(cfg, rng):
    node = Gossip(VersionedMap(), rng, 0.0, config_only=True)
    node.record_peer_version(0)
    assert not node.is_current(100.0)
    node.put_configuration(cfg, "op")
    node.record_peer_version(cfg.version + 1)
    assert not node.is_current(100.0)
    node.record_peer_version(cfg.version)
    assert node.is_current(100.0)


def test_large_value_is_reassembled_from_pages_in_any_order(rng):
    value = VersionedValue("tables/large", 4, rng.randbytes(20_000), "w")
    pages = [page for message in pack_values([value]) for page in message.values]
    assert all(
        sum(len(page.data) + len(page.key) for page in message.values) <= PAYLOAD_LIMIT_BYTES
        for message in pack_values([value])
    )
    rng.shuffle(pages)
    assembler = PageAssembler()
    reassembled = [done for page in pages + pages[:3] if (done := assembler.add(page)) is not None]
    assert reassembled == [value]


def test_pages_of_an_older_version_are_discarded(rng):
    old = VersionedValue("tables/large", 4, rng.randbytes(2_000), "w")
    new = VersionedValue("tables/large", 5, rng.randbytes(2_000), "w")
    assembler = PageAssembler(limit=1)
    first, *rest = [page for message in pack_values([old]) for page in message.values]
    assembler.add(first)
    done = [
        assembler.add(page) for page in [*(p for m in pack_values([new]) for p in m.values), *rest]
    ]
    assert [value for value in done if value is not None] == [new]
