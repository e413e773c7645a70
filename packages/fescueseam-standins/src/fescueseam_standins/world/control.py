"""Spread the configuration by the gossip core and watch each process' lease."""

import random
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field

from fescueseam.conf.models import Configuration
from fescueseam.messages.types import Body, GossipDigest, GossipKeys, GossipValues, Message
from fescueseam.versions.gossip import Gossip
from fescueseam.versions.values import VersionedMap

from .network import OPERATORS, Network
from .process_state import ProcessState
from .store import Store

if TYPE_CHECKING:
    from .hosts import Host

LEASE_DURATION_S = 2.0
"""Deliver nothing once no other process was heard for this time."""
LEASE_PROBE_INTERVAL_S = 0.4
"""Ask a random peer this often, to keep the lease."""
PEER_SYNC_INTERVAL_S = 0.4
"""Send what a lagging peer lacks at most once in this time."""
CONFIGURATION_WRITER = "operators"
OPERATOR_PUSH_COUNT = 2


@define(eq=False)
class ControlPlane:
    """Keep the configuration of one process current through its peers."""

    host: "Host"
    gossip: Gossip
    lease_renewed_at: float = 0.0
    """Tell when the latest question that was answered had been sent."""
    _synced_at: dict[str, float] = field(factory=dict)
    _probes_sent_at: dict[str, float] = field(factory=dict)
    _next_probe_at: float = 0.0

    def has_valid_lease(self, now: float) -> bool:
        """Tell whether a question of the last seconds was answered; old datagrams do not count."""
        return now - self.lease_renewed_at <= LEASE_DURATION_S

    def handle_message(self, message: Message, now: float) -> bool:
        """Take a message; return whether it was for the control plane alone."""
        if isinstance(message.body, GossipDigest) and message.body.reply:
            self.lease_renewed_at = max(
                self.lease_renewed_at, self._probes_sent_at.pop(message.sender, 0.0)
            )
        replies = self._dispatch(message.body)
        for body in replies or ():
            self._send(message.sender, body)
        self._sync_peer(message, now)
        self._apply_changes()
        return replies is not None

    def put_configuration(self, cfg: Configuration) -> None:
        """Take a configuration from the store or from an operator."""
        self.gossip.record_store_read()
        self.gossip.put_configuration(cfg, CONFIGURATION_WRITER)
        self._apply_changes()

    def tick(self, now: float) -> None:
        """Compare versions with a peer now and then, and keep the lease."""
        if now < self._next_probe_at:
            return
        self._next_probe_at = now + LEASE_PROBE_INTERVAL_S
        peers = self.host.world.list_peers(self.host)
        for outgoing in self.gossip.tick(now, peers):
            self._send(outgoing.peer, outgoing.body)
        if peers:
            peer = self.host.world.rng.choice(peers)
            self._probes_sent_at[peer] = now
            self._send(peer, self.gossip.build_digest())

    def _dispatch(self, body: Body) -> list[Body] | None:
        if isinstance(body, GossipDigest):
            return self.gossip.on_digest(body)
        if isinstance(body, GossipKeys):
            return self.gossip.on_keys(body)
        if isinstance(body, GossipValues):
            return self.gossip.on_values(body)
        return None

    def _sync_peer(self, message: Message, now: float) -> None:
        own_version = self.gossip.configuration.version
        if message.config_version == own_version or now < self._synced_at.get(message.sender, -1.0):
            return
        self._synced_at[message.sender] = now + PEER_SYNC_INTERVAL_S
        if message.config_version > own_version:
            self._send(message.sender, self.gossip.build_digest())
            return
        newer: list[Body] = [*self.gossip.select_changes_since(message.config_version)]
        for body in newer or [self.gossip.build_digest()]:
            self._send(message.sender, body)

    def _apply_changes(self) -> None:
        self.gossip.changed = []
        if self.host.view.set_configuration(self.gossip.configuration):
            self.host.handle_configuration_change()
        hot = self.gossip.take_hot()
        if not hot:
            return
        peers = self.host.world.list_peers(self.host)
        for outgoing in self.gossip.push(hot, peers):
            self._send(outgoing.peer, outgoing.body)

    def _send(self, peer: str, body: Body) -> None:
        self.host.world.send_control_message(
            self.host, peer, body, self.gossip.configuration.version
        )


def make_control_plane(host: "Host", cfg: Configuration, seed: int, now: float) -> ControlPlane:
    """Make the control part of a process that starts with a configuration."""
    gossip = Gossip(VersionedMap(), random.Random(f"{seed}/{host.name}/{now}"), now)
    gossip.put_configuration(cfg, CONFIGURATION_WRITER)
    gossip.take_hot()
    gossip.changed = []
    return ControlPlane(host, gossip, lease_renewed_at=now)


def accept_configuration(
    store: Store, network: Network, balancers: Sequence["Host"], cfg: Configuration
) -> None:
    """Accept a configuration as the operators' command does."""
    if not store.write(cfg):
        return
    # The command hands what the store took to a few balancers itself.
    running_or_frozen = [host for host in balancers if host.state is not ProcessState.DEAD]
    for host in running_or_frozen[:OPERATOR_PUSH_COUNT]:
        network.send(OPERATORS, host.location, partial(deliver_configuration, host, cfg))


def deliver_configuration(host: "Host", cfg: Configuration) -> None:
    """Hand a configuration to a process from outside."""

    def put() -> None:
        if host.control_plane is not None:
            host.control_plane.put_configuration(cfg)

    host.receive(put)


def poll_store(store: Store, host: "Host") -> bool:
    """Let a balancer read the store; return whether it still lives."""
    if host.control_plane is not None and host.state is ProcessState.RUNNING:
        store.read(host.location, lambda cfg: deliver_configuration(host, cfg))
    return host.state is not ProcessState.DEAD
