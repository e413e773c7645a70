"""Replicate versioned values: push changes at once and compare digests periodically."""

import random
from collections.abc import Callable, Iterable, Sequence

import xxhash
from attrs import frozen

from fescueseam.conf.models import Configuration
from fescueseam.messages.types import Body, GossipDigest, GossipKeys, GossipValues, KeyVersion
from fescueseam.versions.configuration import ConfigurationView, apply_configuration
from fescueseam.versions.pages import PageAssembler, pack_values
from fescueseam.versions.values import (
    CONFIG_GROUP_COUNT,
    CONFIG_PREFIX,
    GROUP_COUNT,
    VersionedMap,
    VersionedValue,
)

PUSH_FANOUT = 4
"""Number of random peers to which a process pushes each change that is new to it, once."""
DIGEST_INTERVAL_S = 1.0
"""Mean interval between two digests that a process sends, in seconds."""
GROUPS_PER_EXCHANGE = 4
"""Largest number of differing groups whose keys are sent in one answer to a digest."""
DATAGRAMS_PER_ANSWER = 16
"""Largest number of datagrams with values in one answer."""
PEER_CONFIRMATION_TIMEOUT_S = 2.0
"""Time to wait for a peer to confirm the configuration, in seconds.

After it, a successful read of the store suffices.
"""


@frozen
class Outgoing:
    """A message body and the peer that it is for."""

    peer: str
    body: Body


class Gossip:
    """The gossip protocol of one process, without input or output."""

    def __init__(
        self,
        values: VersionedMap,
        rng: random.Random,
        now: float,
        wants: Callable[[str], bool] | None = None,
        config_only: bool = False,
    ) -> None:
        """Initialise the protocol at the given time with the content of the map.

        ``wants`` selects the keys that are accepted from peers. Digests of a ``config_only``
        process cover only configuration.
        """
        self.values = values
        self.view = ConfigurationView(values)
        self.changed: list[VersionedValue] = []
        """Values whose content changed since the caller last emptied the list."""
        self._rng = rng
        self._wants = wants or (lambda key: True)
        self._group_count = CONFIG_GROUP_COUNT if config_only else GROUP_COUNT
        self._page_assembler = PageAssembler()
        self._hot: list[VersionedValue] = []
        """Changes that still have to be pushed."""
        self._next_digest_at = now
        self._started_at = now
        self._store_answered = False
        self._confirmation_count = 0
        self.view.refresh()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.view.in_force

    def is_current(self, now: float) -> bool:
        """Return whether a peer confirmed the configuration, or the store if no peer answers."""
        if self._confirmation_count > 0:
            return True
        return self._store_answered and now - self._started_at >= PEER_CONFIRMATION_TIMEOUT_S

    def record_store_read(self) -> None:
        """Record that a read of the configuration from the store has succeeded."""
        self._store_answered = True

    def record_peer_version(self, config_version: int) -> None:
        """Record the version a keeper has in force; an equal version confirms the configuration."""
        if config_version > 0 and config_version == self.configuration.version:
            self._confirmation_count += 1

    def put(self, value: VersionedValue) -> bool:
        """Accept a value from this process or the store; return whether it was newer."""
        if not self._accept(value):
            return False
        self.view.refresh()
        return True

    def put_configuration(self, cfg: Configuration, writer: str) -> bool:
        """Accept a whole configuration; return whether a new version has come into force."""
        changed = apply_configuration(self.values, cfg, writer)
        self._hot.extend(changed)
        self.changed.extend(changed)
        return self.view.refresh()

    def take_hot(self) -> list[VersionedValue]:
        """Remove and return the changes that still have to be pushed."""
        hot, self._hot = self._hot, []
        return hot

    def push(self, hot: Sequence[VersionedValue], peers: Sequence[str]) -> list[Outgoing]:
        """Return the messages that push the changes to a few random peers."""
        messages = pack_values(hot)
        chosen = self._rng.sample(list(peers), min(PUSH_FANOUT, len(peers)))
        return [Outgoing(peer, message) for peer in chosen for message in messages]

    def tick(self, now: float, peers: Sequence[str]) -> list[Outgoing]:
        """Return the digest for one random peer if the interval has passed."""
        if now < self._next_digest_at or not peers:
            return []
        self._next_digest_at = now + DIGEST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        return [Outgoing(self._rng.choice(list(peers)), self.build_digest())]

    def build_digest(self, reply: bool = False) -> GossipDigest:
        """Return the root digest: one hash of the configuration and one of all other values."""
        hashes = self.values.get_group_hashes()
        roots = [_hash_groups(hashes[:CONFIG_GROUP_COUNT])]
        if self._group_count > CONFIG_GROUP_COUNT:
            roots.append(_hash_groups(hashes[CONFIG_GROUP_COUNT:]))
        return GossipDigest(tuple(roots), reply)

    def on_digest(self, body: GossipDigest) -> list[Body]:
        """Answer a root digest with group hashes, and group hashes with the keys that differ."""
        if len(body.groups) < CONFIG_GROUP_COUNT:
            return self._answer_root_digest(body)
        own_hashes = self.values.get_group_hashes()
        peer_hashes = body.groups[: self._group_count]
        differing = [group for group, seen in enumerate(peer_hashes) if own_hashes[group] != seen]
        chosen = self._rng.sample(differing, min(GROUPS_PER_EXCHANGE, len(differing)))
        return [self._build_keys(group) for group in chosen]

    def on_keys(self, body: GossipKeys) -> list[Body]:
        """Return the values that are newer here, and request those that are newer at the peer."""
        if body.group >= self._group_count:
            return []
        peer_versions = {entry.key_hash: entry.version for entry in body.entries}
        own_values = [
            self._with_effective_version(value) for value in self.values.list_group(body.group)
        ]
        newer = [
            value
            for value in own_values
            if value.version > peer_versions.get(_hash_key(value.key), 0)
        ]
        answers: list[Body] = list(pack_values(newer)[:DATAGRAMS_PER_ANSWER])
        own_versions = {_hash_key(value.key): value.version for value in own_values}
        is_behind = any(
            version > own_versions.get(key, 0) for key, version in peer_versions.items()
        )
        if is_behind and not body.reply:
            answers.append(self._build_keys(body.group, reply=True))
        return answers

    def on_values(self, body: GossipValues) -> list[Body]:
        """Accept values; answer outdated configuration entries with their replacements."""
        replacements: list[VersionedValue] = []
        for page in body.values:
            value = self._page_assembler.add(page)
            if value is None or not self._wants(value.key):
                continue
            if self._is_obsolete(value):
                replacements.append(self._find_replacement(value))
            else:
                self._accept(value)
        self.view.refresh()
        to_send = [value for value in replacements if value.version > 0]
        return list(pack_values(to_send)[:DATAGRAMS_PER_ANSWER])

    def select_changes_since(self, config_version: int) -> list[GossipValues]:
        """Return the changes of the configuration since a peer's version.

        Return none if they exceed the datagrams of one answer: comparing digests then finds the
        difference with fewer bytes.
        """
        if config_version >= self.configuration.version:
            return []
        newer = self.values.select_newer(CONFIG_PREFIX, config_version)
        messages = pack_values(newer)
        return messages if len(messages) <= DATAGRAMS_PER_ANSWER else []

    def _answer_root_digest(self, body: GossipDigest) -> list[Body]:
        own = self.build_digest(reply=True)
        shared_count = min(len(own.groups), len(body.groups))
        if own.groups[:1] == body.groups[:1]:
            self._confirmation_count += 1
        if own.groups[:shared_count] == body.groups[:shared_count]:
            return [] if body.reply else [own]
        # If either digest has a single hash, only the configuration is compared.
        group_count = CONFIG_GROUP_COUNT if shared_count == 1 else GROUP_COUNT
        return [GossipDigest(self.values.get_group_hashes()[:group_count], reply=True)]

    def _build_keys(self, group: int, reply: bool = False) -> GossipKeys:
        entries = (self._with_effective_version(value) for value in self.values.list_group(group))
        return GossipKeys(
            group,
            tuple(KeyVersion(_hash_key(entry.key), entry.version) for entry in entries),
            reply,
        )

    def _with_effective_version(self, value: VersionedValue) -> VersionedValue:
        # The configuration in force is complete, so its version applies to all its entries.
        version = self.configuration.version
        if not value.key.startswith(CONFIG_PREFIX) or value.version >= version:
            return value
        return VersionedValue(value.key, version, value.value, value.writer, value.deleted)

    def _is_obsolete(self, value: VersionedValue) -> bool:
        if not value.key.startswith(CONFIG_PREFIX):
            return False
        return value.version <= self.configuration.version

    def _find_replacement(self, value: VersionedValue) -> VersionedValue:
        # Version 0 means that no answer is needed.
        version = self.configuration.version
        known = self.values.get(value.key)
        if known is None and value.deleted:
            # Both sides have deleted the key; answering would make them exchange it for ever.
            return VersionedValue(value.key, 0, b"")
        if known is None:
            return VersionedValue(value.key, version, b"", value.writer, deleted=True)
        if known.value == value.value or value.version >= version:
            return VersionedValue(value.key, 0, b"")
        return self._with_effective_version(known)

    def _accept(self, value: VersionedValue) -> bool:
        known = self.values.get(value.key)
        if not self.values.put(value):
            return False
        is_unchanged = known is not None and known.value == value.value and not value.deleted
        if not is_unchanged:
            self._hot.append(value)
            self.changed.append(value)
        return True


def _hash_groups(hashes: Iterable[int]) -> int:
    packed = b"".join(value.to_bytes(8, "big") for value in hashes)
    return xxhash.xxh3_64_intdigest(packed)


def _hash_key(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
