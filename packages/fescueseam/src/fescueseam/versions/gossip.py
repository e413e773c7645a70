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
    CONFIG_GROUPS,
    CONFIG_PREFIX,
    GROUPS,
    VersionedMap,
    VersionedValue,
)

PUSH_FANOUT = 4
"""Push a change to this many peers, once in each process that learns it."""
DIGEST_INTERVAL_S = 1.0
GROUPS_PER_ROUND = 4
"""Compare at most this many differing groups in one exchange."""
DATAGRAMS_PER_ROUND = 16
"""Send at most this many datagrams of values in one answer."""
PEERS_GRACE_S = 2.0
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
        self._groups = CONFIG_GROUPS if config_only else GROUPS
        self._pages = PageAssembler()
        self._hot: list[VersionedValue] = []
        self._next_digest_at = now
        self._started_at = now
        self._store_answered = False
        self._agreed_peers = 0
        self.view.refresh()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.view.in_force

    def is_current(self, now: float) -> bool:
        """Tell whether peers, or the store while no peer answers, confirmed what is held."""
        if self._agreed_peers > 0:
            return True
        return self._store_answered and now - self._started_at >= PEERS_GRACE_S

    def note_store_read(self) -> None:
        """Record that the store answered a read of the configuration."""
        self._store_answered = True

    def note_peer_version(self, config_version: int) -> None:
        """Record which configuration a keeper has in force; the same one confirms what is held."""
        if config_version > 0 and config_version == self.configuration.version:
            self._agreed_peers += 1

    def put(self, value: VersionedValue) -> bool:
        """Take a value of this process or of the store and push it on."""
        if not self._take(value):
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
        return [Outgoing(self._rng.choice(list(peers)), self.digest())]

    def digest(self, reply: bool = False) -> GossipDigest:
        """Return the shortest digest: one hash for configuration, one for the rest."""
        hashes = self.values.hashes()
        roots = [_hash_groups(hashes[:CONFIG_GROUPS])]
        if self._groups > CONFIG_GROUPS:
            roots.append(_hash_groups(hashes[CONFIG_GROUPS:]))
        return GossipDigest(tuple(roots), reply)

    def on_digest(self, body: GossipDigest) -> list[Body]:
        """Answer a digest with a finer one, or with the keys of groups that differ."""
        if len(body.groups) < CONFIG_GROUPS:
            return self._answer_roots(body)
        mine = self.values.hashes()
        theirs = body.groups[: self._groups]
        differing = [group for group, seen in enumerate(theirs) if mine[group] != seen]
        chosen = self._rng.sample(differing, min(GROUPS_PER_ROUND, len(differing)))
        return [self._keys(group) for group in chosen]

    def on_keys(self, body: GossipKeys) -> list[Body]:
        """Send what is newer here, and ask once for what is newer there."""
        if body.group >= self._groups:
            return []
        theirs = {entry.key_hash: entry.version for entry in body.entries}
        mine = [self._effective(value) for value in self.values.group(body.group)]
        newer = [value for value in mine if value.version > theirs.get(_hash_key(value.key), 0)]
        answers: list[Body] = list(pack_values(newer)[:DATAGRAMS_PER_ROUND])
        known = {_hash_key(value.key): value.version for value in mine}
        behind = any(version > known.get(key, 0) for key, version in theirs.items())
        if behind and not body.reply:
            answers.append(self._keys(body.group, reply=True))
        return answers

    def on_values(self, body: GossipValues) -> list[Body]:
        """Take values; answer those that a later configuration has replaced."""
        obsolete: list[VersionedValue] = []
        for page in body.values:
            value = self._pages.add(page)
            if value is None or not self._wants(value.key):
                continue
            if self._is_obsolete(value):
                obsolete.append(self._replacement(value))
            else:
                self._take(value)
        self.view.refresh()
        wanted = [value for value in obsolete if value.version > 0]
        return list(pack_values(wanted)[:DATAGRAMS_PER_ROUND])

    def select_for(self, config_version: int) -> list[GossipValues]:
        """Return the configuration's changes since a version that a peer has in force."""
        if config_version >= self.configuration.version:
            return []
        newer = self.values.select_newer(CONFIG_PREFIX, config_version)
        messages = pack_values(newer)
        # More than this and the digests find the difference with fewer bytes.
        return messages if len(messages) <= DATAGRAMS_PER_ROUND else []

    def _answer_roots(self, body: GossipDigest) -> list[Body]:
        mine = self.digest(reply=True)
        shared = min(len(mine.groups), len(body.groups))
        if mine.groups[:1] == body.groups[:1]:
            self._agreed_peers += 1
        if mine.groups[:shared] == body.groups[:shared]:
            return [] if body.reply else [mine]
        scope = CONFIG_GROUPS if shared == 1 else GROUPS
        return [GossipDigest(self.values.hashes()[:scope], reply=True)]

    def _keys(self, group: int, reply: bool = False) -> GossipKeys:
        entries = (self._effective(value) for value in self.values.group(group))
        return GossipKeys(
            group,
            tuple(KeyVersion(_hash_key(entry.key), entry.version) for entry in entries),
            reply,
        )

    def _effective(self, value: VersionedValue) -> VersionedValue:
        # What is in force is complete, so it speaks for every entry at its own version.
        version = self.configuration.version
        if not value.key.startswith(CONFIG_PREFIX) or value.version >= version:
            return value
        return VersionedValue(value.key, version, value.value, value.writer, value.deleted)

    def _is_obsolete(self, value: VersionedValue) -> bool:
        if not value.key.startswith(CONFIG_PREFIX):
            return False
        return value.version <= self.configuration.version

    def _replacement(self, value: VersionedValue) -> VersionedValue:
        version = self.configuration.version
        known = self.values.get(value.key)
        if known is None and value.deleted:
            # Both agree that the key is gone; an answer would be answered without end.
            return VersionedValue(value.key, 0, b"")
        if known is None:
            return VersionedValue(value.key, version, b"", value.writer, deleted=True)
        if known.value == value.value or value.version >= version:
            return VersionedValue(value.key, 0, b"")
        return self._effective(known)

    def _take(self, value: VersionedValue) -> bool:
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
