"""Distribute the configuration through the gossip core and track the lease of each process."""

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
"""Duration of a lease from the sending of the last answered probe, in seconds.

An agent without a valid lease delivers no packets.
"""
LEASE_PROBE_INTERVAL_S = 0.4
"""Interval between probes to random peers that renew the lease, in seconds."""
PEER_SYNC_INTERVAL_S = 0.4
"""Shortest interval between synchronisations with the same peer, in seconds."""
CONFIGURATION_WRITER = "operators"
OPERATOR_PUSH_COUNT = 2
"""Number of balancers to which the operators' command sends an accepted configuration."""


@define(eq=False)
class ControlPlane:
    """Control plane of one process: its configuration, gossip and lease."""

    host: "Host"
    gossip: Gossip
    lease_renewed_at: float = 0.0
    """Send time of the latest probe that a peer answered."""
    _synced_at: dict[str, float] = field(factory=dict)
    _probes_sent_at: dict[str, float] = field(factory=dict)
    _next_probe_at: float = 0.0

    def has_valid_lease(self, now: float) -> bool:
        """Return whether a recent probe was answered.

        The send time of the probe counts, so that delayed datagrams do not extend the lease.
        """
        return now - self.lease_renewed_at <= LEASE_DURATION_S

    def handle_message(self, message: Message, now: float) -> bool:
        """Handle a message and return whether it was a control message."""
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
        """Handle a configuration from the store or from an operator."""
        self.gossip.record_store_read()
        self.gossip.put_configuration(cfg, CONFIGURATION_WRITER)
        self._apply_changes()

    def tick(self, now: float) -> None:
        """Run gossip and probe a random peer when the probe interval has passed."""
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
        newer_values: list[Body] = [*self.gossip.select_changes_since(message.config_version)]
        for body in newer_values or [self.gossip.build_digest()]:
            self._send(message.sender, body)

    def _apply_changes(self) -> None:
        self.gossip.changed = []
        if self.host.view.set_configuration(self.gossip.configuration):
            self.host.handle_configuration_change()
        hot_values = self.gossip.take_hot()
        if not hot_values:
            return
        peers = self.host.world.list_peers(self.host)
        for outgoing in self.gossip.push(hot_values, peers):
            self._send(outgoing.peer, outgoing.body)

    def _send(self, peer: str, body: Body) -> None:
        self.host.world.send_control_message(
            self.host, peer, body, self.gossip.configuration.version
        )


def make_control_plane(host: "Host", cfg: Configuration, seed: int, now: float) -> ControlPlane:
    """Create the control plane of a process that starts with a configuration."""
    gossip = Gossip(VersionedMap(), random.Random(f"{seed}/{host.name}/{now}"), now)
    gossip.put_configuration(cfg, CONFIGURATION_WRITER)
    gossip.take_hot()
    gossip.changed = []
    return ControlPlane(host, gossip, lease_renewed_at=now)


def accept_configuration(
    store: Store, network: Network, balancers: Sequence["Host"], cfg: Configuration
) -> None:
    """Write a configuration to the store and push it, as the operators' command does."""
    if not store.write(cfg):
        return
    # The command sends the accepted configuration to a few balancers directly.
    live_hosts = [host for host in balancers if host.state is not ProcessState.DEAD]
    for host in live_hosts[:OPERATOR_PUSH_COUNT]:
        network.send(OPERATORS, host.location, partial(deliver_configuration, host, cfg))


def deliver_configuration(host: "Host", cfg: Configuration) -> None:
    """Deliver a configuration to a process from the store or an operator."""

    def apply() -> None:
        if host.control_plane is not None:
            host.control_plane.put_configuration(cfg)

    host.receive(apply)


def poll_store(store: Store, host: "Host") -> bool:
    """Read the store for a running balancer; return whether the process is not dead."""
    if host.control_plane is not None and host.state is ProcessState.RUNNING:
        store.read(host.location, lambda cfg: deliver_configuration(host, cfg))
    return host.state is not ProcessState.DEAD
