"""Decide what an agent does to keep its view current; no input or output."""

import json
import random
from collections.abc import Sequence

from fescueseam.upkeep.codec import TABLES_PREFIX
from fescueseam.versions.gossip import Gossip
from fescueseam.versions.values import CONFIG_PREFIX, VersionedMap, VersionedValue
from fescueseam_daemon.control.node import LEASE_S, ControlNode

SUSPECTS_PREFIX = "suspects/"


class AgentNode(ControlNode):
    """Announce to keepers and take configuration, the own table and suspects from them."""

    def _make_gossip(self, rng: random.Random, now: float) -> Gossip:
        return Gossip(VersionedMap(), rng, now, self._is_wanted, config_only=True)

    def _is_wanted(self, key: str) -> bool:
        service = self.settings.service
        if key.startswith(CONFIG_PREFIX) or key == TABLES_PREFIX + service:
            return True
        return key.startswith(f"{SUSPECTS_PREFIX}{service}/")

    def _on_values_changed(self, values: Sequence[VersionedValue], now: float) -> None:
        if any(value.key.startswith(SUSPECTS_PREFIX) for value in values):
            self.update_suspects(now)

    def update_suspects(self, now: float) -> None:
        """Take the suspects of the first keeper that was heard and has named any."""
        prefix = f"{SUSPECTS_PREFIX}{self.settings.service}/"
        heard = [peer.name for peer in self.peers.list_recently_heard(now, LEASE_S)]
        primary = [peer.name for peer in self._choose_keepers(now).primary]
        ordered = sorted(heard, key=lambda name: (name not in primary, name))
        found = (self.gossip.values.get(prefix + name) for name in ordered)
        value = next((value for value in found if value is not None), None)
        suspects = decode_suspects(value) if value is not None else frozenset()
        self.view.set_suspects(suspects - {self.settings.name})


def decode_suspects(value: VersionedValue) -> frozenset[str]:
    """Return the names that a value holds; garbage names nobody."""
    try:
        names = json.loads(value.value)
    except ValueError:
        return frozenset()
    return frozenset(str(name) for name in names) if isinstance(names, list) else frozenset()


def build_suspects_value(
    keeper: str, service: str, names: frozenset[str], version: int
) -> VersionedValue:
    """Return the value that tells agents of a service whom a keeper suspects."""
    data = json.dumps(sorted(names), separators=(",", ":")).encode()
    return VersionedValue(f"{SUSPECTS_PREFIX}{service}/{keeper}", version, data, keeper)
