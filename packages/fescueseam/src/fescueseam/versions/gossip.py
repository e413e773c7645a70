"""Spread versioned values: push changes at once, compare digests now and then."""

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
"""Push a change to this many peers, once in each process that learns it."""
DIGEST_INTERVAL_S = 1.0
GROUPS_PER_EXCHANGE = 4
"""Compare at most this many differing groups in one exchange."""
DATAGRAMS_PER_ANSWER = 16
"""Send at most this many datagrams of values in one answer."""
PEER_CONFIRMATION_TIMEOUT_S = 2.0
"""Wait this long for a peer's answer before the store's word alone is taken."""


@frozen
class Outgoing:
    """Hold a message body for one peer."""

    peer: str
    body: Body


class Gossip:
    """Decide what to send to whom and take what comes; a scope may be configuration only."""

    def __init__(
        self,
        values: VersionedMap,
        rng: random.Random,
        now: float,
        wants: Callable[[str], bool] | None = None,
        config_only: bool = False,
    ) -> None:
        """Start at the given time with what the map holds.

        ``wants`` limits the keys that are taken; digests of a ``config_only`` process cover
        configuration alone.
        """
        self.values = values
        self.view = ConfigurationView(values)
        self.changed: list[VersionedValue] = []
        """Collect values whose content changed, until the caller takes them."""
        self._rng = rng
        self._wants = wants or (lambda key: True)
        self._group_count = CONFIG_GROUP_COUNT if config_only else GROUP_COUNT
        self._page_assembler = PageAssembler()
        self._hot: list[VersionedValue] = []
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
        """Tell whether peers, or the store while no peer answers, confirmed what is held."""
        if self._confirmation_count > 0:
            return True
        return self._store_answered and now - self._started_at >= PEER_CONFIRMATION_TIMEOUT_S

    def record_store_read(self) -> None:
        """Record that the store answered a read of the configuration."""
        self._store_answered = True

    def record_peer_version(self, config_version: int) -> None:
        """Record which configuration a keeper has in force; the same one confirms what is held."""
        if config_version > 0 and config_version == self.configuration.version:
            self._confirmation_count += 1

    def put(self, value: VersionedValue) -> bool:
        """Take a value of this process or of the store and push it on."""
        if not self._accept(value):
            return False
        self.view.refresh()
        return True

    def put_configuration(self, cfg: Configuration, writer: str) -> bool:
        """Take a whole configuration of the store; tell whether another one is in force."""
        changed = apply_configuration(self.values, cfg, writer)
        self._hot.extend(changed)
        self.changed.extend(changed)
        return self.view.refresh()

    def take_hot(self) -> list[VersionedValue]:
        """Return the changes that were not pushed yet; the caller pushes them."""
        hot, self._hot = self._hot, []
        return hot

    def push(self, hot: Sequence[VersionedValue], peers: Sequence[str]) -> list[Outgoing]:
        """Return the pushes of the changes to a few random peers."""
        messages = pack_values(hot)
        chosen = self._rng.sample(list(peers), min(PUSH_FANOUT, len(peers)))
        return [Outgoing(peer, message) for peer in chosen for message in messages]

    def tick(self, now: float, peers: Sequence[str]) -> list[Outgoing]:
        """Return the periodic digest for one random peer."""
        if now < self._next_digest_at or not peers:
            return []
        self._next_digest_at = now + DIGEST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        return [Outgoing(self._rng.choice(list(peers)), self.build_digest())]

    def build_digest(self, reply: bool = False) -> GossipDigest:
        """Return the shortest digest: one hash for configuration, one for the rest."""
        hashes = self.values.get_group_hashes()
        roots = [_hash_groups(hashes[:CONFIG_GROUP_COUNT])]
        if self._group_count > CONFIG_GROUP_COUNT:
            roots.append(_hash_groups(hashes[CONFIG_GROUP_COUNT:]))
        return GossipDigest(tuple(roots), reply)

    def on_digest(self, body: GossipDigest) -> list[Body]:
        """Answer a digest with a finer one, or with the keys of groups that differ."""
        if len(body.groups) < CONFIG_GROUP_COUNT:
            return self._answer_root_digest(body)
        mine = self.values.get_group_hashes()
        theirs = body.groups[: self._group_count]
        differing = [group for group, seen in enumerate(theirs) if mine[group] != seen]
        chosen = self._rng.sample(differing, min(GROUPS_PER_EXCHANGE, len(differing)))
        return [self._build_keys(group) for group in chosen]

    def on_keys(self, body: GossipKeys) -> list[Body]:
        """Send what is newer here, and ask once for what is newer there."""
        if body.group >= self._group_count:
            return []
        theirs = {entry.key_hash: entry.version for entry in body.entries}
        mine = [self._with_effective_version(value) for value in self.values.list_group(body.group)]
        newer = [value for value in mine if value.version > theirs.get(_hash_key(value.key), 0)]
        answers: list[Body] = list(pack_values(newer)[:DATAGRAMS_PER_ANSWER])
        known = {_hash_key(value.key): value.version for value in mine}
        is_behind = any(version > known.get(key, 0) for key, version in theirs.items())
        if is_behind and not body.reply:
            answers.append(self._build_keys(body.group, reply=True))
        return answers

    def on_values(self, body: GossipValues) -> list[Body]:
        """Take values; answer those that a later configuration has replaced."""
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
        """Return the configuration's changes since a version that a peer has in force."""
        if config_version >= self.configuration.version:
            return []
        newer = self.values.select_newer(CONFIG_PREFIX, config_version)
        messages = pack_values(newer)
        # More than this and the digests find the difference with fewer bytes.
        return messages if len(messages) <= DATAGRAMS_PER_ANSWER else []

    def _answer_root_digest(self, body: GossipDigest) -> list[Body]:
        mine = self.build_digest(reply=True)
        shared = min(len(mine.groups), len(body.groups))
        if mine.groups[:1] == body.groups[:1]:
            self._confirmation_count += 1
        if mine.groups[:shared] == body.groups[:shared]:
            return [] if body.reply else [mine]
        scope = CONFIG_GROUP_COUNT if shared == 1 else GROUP_COUNT
        return [GossipDigest(self.values.get_group_hashes()[:scope], reply=True)]

    def _build_keys(self, group: int, reply: bool = False) -> GossipKeys:
        entries = (self._with_effective_version(value) for value in self.values.list_group(group))
        return GossipKeys(
            group,
            tuple(KeyVersion(_hash_key(entry.key), entry.version) for entry in entries),
            reply,
        )

    def _with_effective_version(self, value: VersionedValue) -> VersionedValue:
        # What is in force is complete, so it speaks for every entry at its own version.
        version = self.configuration.version
        if not value.key.startswith(CONFIG_PREFIX) or value.version >= version:
            return value
        return VersionedValue(value.key, version, value.value, value.writer, value.deleted)

    def _is_obsolete(self, value: VersionedValue) -> bool:
        if not value.key.startswith(CONFIG_PREFIX):
            return False
        return value.version <= self.configuration.version

    def _find_replacement(self, value: VersionedValue) -> VersionedValue:
        version = self.configuration.version
        known = self.values.get(value.key)
        if known is None and value.deleted:
            # Both agree that the key is gone; an answer would be answered without end.
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
        same = known is not None and known.value == value.value and not value.deleted
        if not same:
            self._hot.append(value)
            self.changed.append(value)
        return True


def _hash_groups(hashes: Iterable[int]) -> int:
    packed = b"".join(value.to_bytes(8, "big") for value in hashes)
    return xxhash.xxh3_64_intdigest(packed)


def _hash_key(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
