"""Keep the view of a process current, without input or output."""

import random
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from fescueseam.conf.models import Configuration, ProcessSettings
from fescueseam.effects import Send
from fescueseam.exceptions import StoreError
from fescueseam.membership.facts import ProcessFacts
from fescueseam.membership.peers import PeerRegistry
from fescueseam.messages.types import (
    Announce,
    AnnounceAnswer,
    Body,
    GossipDigest,
    GossipKeys,
    GossipValues,
    Load,
    Message,
    Peer,
)
from fescueseam.routing.view import View
from fescueseam.upkeep.codec import TABLES_PREFIX, unpack_table
from fescueseam.versions.gossip import Gossip
from fescueseam.versions.pages import pack_values
from fescueseam.versions.values import VersionedMap, VersionedValue

LEASE_S = 2.0
"""Duration of the lease, in seconds.

A process that no other process has answered for this long delivers nothing.
"""
ANNOUNCE_INTERVAL_S = 1.0
"""Interval between two announcements to a keeper that answers, in seconds."""
ANNOUNCE_RETRY_INTERVAL_S = 0.35
"""Time to wait for an answer before the announcement is repeated, in seconds.

The repetition goes to the backup keepers too.
"""
KEEPERS_PER_PROCESS = 2
"""Number of keepers that a process chooses: one primary, the others backups."""
KEEPER_REFRESH_INTERVAL_S = 0.1
"""Interval between two choices of the keepers, in seconds."""
SYNC_INTERVAL_S = 0.4
"""Shortest interval between two synchronisations with the same peer, in seconds."""
SYNCED_PEERS_LIMIT = 4096
"""Largest number of remembered synchronisation times; when it is reached, all are dropped."""
PENDING_HEARTBEATS_LIMIT = 16
"""Largest number of heartbeats that wait for an answer."""


@define
class OwnState:
    """The state of this process, as set by its packet path and sent in its announcements."""

    load: Load = field(factory=Load)
    draining: bool = False
    open_flows: int = 0


@define
class Timestamps:
    """Times of the latest events of a node, on its clock."""

    lease_started_at: float = float("-inf")
    """When the latest answered heartbeat was sent."""
    keepers_refreshed_at: float = float("-inf")
    announced_at: dict[Peer, float] = field(factory=dict)
    """When the latest announcement to each current keeper was sent."""
    synced_at: dict[str, float] = field(factory=dict)
    """When the latest synchronisation with each peer, by name, was sent."""
    heartbeats_sent_at: OrderedDict[int, float] = field(factory=OrderedDict)
    """When each heartbeat that waits for an answer was sent."""


@frozen
class Keepers:
    """The keepers of a process: primary ones, and backups used while an answer is overdue."""

    primary: tuple[Peer, ...]
    backups: tuple[Peer, ...]


class ControlNode:
    """The control decisions of every process.

    It announces itself to keepers, compares versions with peers and keeps the view current.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: int,
        view: View,
        rng: random.Random,
        now: float,
    ) -> None:
        """Initialise a node that knows no peers but the seeds of the settings."""
        self.settings = settings
        self.incarnation = incarnation
        self.view = view
        self.peers = PeerRegistry(settings.name)
        self.own_state = OwnState()
        self.decode_failures = 0
        """Number of values that were ignored because they could not be decoded."""
        self.seeds = [_parse_seed(seed) for seed in settings.seeds]
        self.gossip = self._make_gossip(rng, now)
        self.rng = rng
        self._started_at = now
        self._timestamps = Timestamps()
        # The heartbeat starts at a random number, so that an answer to an earlier incarnation is
        # not accepted as an answer to this one.
        self._heartbeat = rng.getrandbits(32)
        self._deferred_sends: list[Send] = []

    # Interface for the packet loops

    def hears_peers(self, now: float) -> bool:
        """Return whether a heartbeat sent within the lease was answered.

        Answers that a process finds in its queue after a pause belong to old heartbeats and do not
        renew the lease.
        """
        return now - self._timestamps.lease_started_at <= LEASE_S

    def is_current(self, now: float) -> bool:
        """Return whether a peer confirmed the configuration, or the store if no peer answers."""
        return self.gossip.is_current(now)

    def handle(self, message: Message, now: float) -> list[Send] | None:
        """Process a message; return the answers, or None for a message of the packet path."""
        self.peers.record_heard(message.sender, now)
        sends = self._dispatch(message, now)
        handled = sends is not None
        answers = [*(sends or ()), *self._sync_with_peer(message, now), *self._apply_changes(now)]
        if handled:
            return answers
        # The packet path handles the message itself; the next tick sends these answers.
        self._deferred_sends += answers
        return None

    def tick(self, now: float) -> list[Send]:
        """Return the messages that are due."""
        deferred, self._deferred_sends = self._deferred_sends, []
        return [*deferred, *self._announce(now), *self._apply_changes(now)]

    # Methods that the roles override

    def _make_gossip(self, rng: random.Random, now: float) -> Gossip:
        return Gossip(VersionedMap(), rng, now)

    def _choose_keepers(self, now: float) -> Keepers:
        settings = self.settings
        chosen = self.peers.choose_nearest_keepers(
            settings.name, now, settings.data_centre, settings.region, KEEPERS_PER_PROCESS
        )
        return Keepers(tuple(chosen[:1]), tuple(chosen[1:]))

    def _on_announce(self, message: Message, body: Announce, now: float) -> list[Send]:
        return []

    def _on_values_changed(self, values: Sequence[VersionedValue], now: float) -> None:
        """Process values that changed."""

    def _push(self, hot: Sequence[VersionedValue], now: float) -> list[Send]:
        return []

    # Messages

    def _dispatch(self, message: Message, now: float) -> list[Send] | None:
        body = message.body
        match body:
            case Announce():
                return self._on_announce(message, body, now)
            case AnnounceAnswer():
                self._renew_lease(body.heartbeat)
                # An agent exchanges no digests, so it compares its version with its keepers'.
                self.gossip.record_peer_version(message.config_version)
                for peer in body.peers:
                    self.peers.learn(peer)
                return []
            case GossipDigest():
                return self._reply(message, self.gossip.on_digest(body))
            case GossipKeys():
                return self._reply(message, self.gossip.on_keys(body))
            case GossipValues():
                return self._reply(message, self.gossip.on_values(body))
        return None

    def _reply(self, message: Message, bodies: Iterable[Body]) -> list[Send]:
        peer = self.find_peer(message.sender)
        if peer is None:
            return []
        return [self._make_send(peer, body, message.service) for body in bodies]

    def find_peer(self, name: str) -> Peer | None:
        """Return the peer with the name, or None."""
        return self.peers.find(name)

    def _make_send(self, peer: Peer, body: Body, service: str = "") -> Send:
        table = self.view.find_table(service) if service else None
        message = Message(
            self.settings.name,
            self.incarnation,
            body,
            target=peer.name,
            service=service,
            epoch=table.epoch if table is not None else 0,
            config_version=self.gossip.configuration.version,
        )
        return Send(peer.address, peer.control_port, message)

    def build_own_facts(self) -> ProcessFacts:
        """Return the facts of this process as others see them."""
        settings = self.settings
        return ProcessFacts(
            settings.name,
            settings.role,
            settings.data_centre,
            settings.region,
            settings.address,
            settings.control_port,
            self.incarnation,
            metrics_port=settings.metrics_port,
        )

    # Announcements

    def _announce(self, now: float) -> list[Send]:
        if now - self._timestamps.keepers_refreshed_at >= KEEPER_REFRESH_INTERVAL_S:
            self._timestamps.keepers_refreshed_at = now
            self._refresh_keepers(now)
        due = [
            peer for peer in self._timestamps.announced_at if self._is_announcement_due(peer, now)
        ]
        return [self._announce_to(peer, now) for peer in due]

    def _refresh_keepers(self, now: float) -> None:
        keepers = self._choose_keepers(now)
        primary, backups = list(keepers.primary), []
        if any(
            self.peers.is_answer_overdue(peer.name, now, ANNOUNCE_RETRY_INTERVAL_S)
            for peer in primary
        ):
            backups = list(keepers.backups)
        if not primary or (self.seeds and not self.peers.list_recently_heard(now, LEASE_S)):
            # No known peer answers, so the seeds are tried.
            backups += self.seeds
        known = self._timestamps.announced_at
        # Announcement times are kept for each keeper, so that a change of one keeper does not delay
        # the announcements to the others.
        self._timestamps.announced_at = {
            peer: known.get(peer, float("-inf")) for peer in (*primary, *backups)
        }

    def _is_announcement_due(self, keeper: Peer, now: float) -> bool:
        elapsed_s = now - self._timestamps.announced_at[keeper]
        is_overdue = self.peers.is_answer_overdue(keeper.name, now, ANNOUNCE_RETRY_INTERVAL_S)
        return elapsed_s >= (ANNOUNCE_RETRY_INTERVAL_S if is_overdue else ANNOUNCE_INTERVAL_S)

    def _announce_to(self, keeper: Peer, now: float) -> Send:
        self._timestamps.announced_at[keeper] = now
        self.peers.record_announcement(keeper.name, now)
        return self._make_send(keeper, self._build_announcement(now), self.settings.service)

    def _build_announcement(self, now: float) -> Announce:
        settings = self.settings
        self._heartbeat += 1
        self._timestamps.heartbeats_sent_at[self._heartbeat] = now
        while len(self._timestamps.heartbeats_sent_at) > PENDING_HEARTBEATS_LIMIT:
            self._timestamps.heartbeats_sent_at.popitem(last=False)
        return Announce(
            role=settings.role.value,
            data_centre=settings.data_centre,
            region=settings.region,
            address=settings.address,
            control_port=settings.control_port,
            metrics_port=settings.metrics_port,
            heartbeat=self._heartbeat,
            draining=self.own_state.draining,
            open_flows=self.own_state.open_flows,
            load=self.own_state.load,
        )

    def _renew_lease(self, heartbeat: int) -> None:
        sent_at = self._timestamps.heartbeats_sent_at.pop(heartbeat, None)
        if sent_at is not None:
            self._timestamps.lease_started_at = max(self._timestamps.lease_started_at, sent_at)

    # Versions

    def _sync_with_peer(self, message: Message, now: float) -> list[Send]:
        """Send newer values to a peer, or a digest, if its message states another version."""
        peer = self.find_peer(message.sender)
        bodies = self._build_sync_bodies(message)
        if peer is None or not bodies:
            return []
        last = self._timestamps.synced_at.get(peer.name, float("-inf"))
        if now - last < SYNC_INTERVAL_S:
            return []
        if len(self._timestamps.synced_at) >= SYNCED_PEERS_LIMIT:
            self._timestamps.synced_at.clear()
        self._timestamps.synced_at[peer.name] = now
        return [self._make_send(peer, body, message.service) for body in bodies]

    def _build_sync_bodies(self, message: Message) -> list[Body]:
        bodies: list[Body] = []
        own_version = self.gossip.configuration.version
        if message.config_version < own_version:
            bodies += self.gossip.select_changes_since(message.config_version) or [
                self.gossip.build_digest()
            ]
        elif message.config_version > own_version:
            bodies.append(self.gossip.build_digest())
        table = self.view.find_table(message.service) if message.service else None
        if table is not None and message.epoch < table.epoch:
            value = self.gossip.values.get(TABLES_PREFIX + message.service)
            bodies += pack_values([value] if value is not None else [])
        return bodies

    def _apply_changes(self, now: float) -> list[Send]:
        """Apply changed values to the view and return the messages that push them to peers."""
        changed, self.gossip.changed = self.gossip.changed, []
        for value in changed:
            if value.key.startswith(TABLES_PREFIX) and not value.deleted:
                self._apply_table(value)
        if self.gossip.is_current(now):
            self.view.set_configuration(self.gossip.configuration)
        if changed:
            self._on_values_changed(changed, now)
        hot = self.gossip.take_hot()
        return self._push(hot, now) if hot else []

    def _apply_table(self, value: VersionedValue) -> None:
        try:
            self.view.set_table(unpack_table(value))
        except StoreError:
            self.decode_failures += 1

    # Interface for the store loops

    def accept_configuration(self, cfg: Configuration, writer: str) -> None:
        """Accept the configuration read from the store."""
        self.gossip.record_store_read()
        self.gossip.put_configuration(cfg, writer)


def _parse_seed(text: str) -> Peer:
    address, _, port = text.rpartition(":")
    return Peer("", "balancer", "", "", address.strip("[]"), int(port), 0)
