"""Keep the view of an agent current, without input or output."""

import json
import random
from collections.abc import Sequence

from fescueseam.upkeep.codec import TABLES_PREFIX
from fescueseam.versions.gossip import Gossip
from fescueseam.versions.values import CONFIG_PREFIX, VersionedMap, VersionedValue
from fescueseam_daemon.control.node import LEASE_S, ControlNode

SUSPECTS_PREFIX = "suspects/"
"""Prefix of the gossip keys under which keepers list the members that they suspect."""


class AgentNode(ControlNode):
    """The control decisions of an agent.

    It announces itself to its keepers. They send it the configuration, the table of its service and
    the suspected members of that service.
    """

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
        """Adopt the suspects that one keeper lists.

        Only keepers heard within the lease count, and the primary keeper comes first.
        """
        prefix = f"{SUSPECTS_PREFIX}{self.settings.service}/"
        keepers = [peer.name for peer in self.peers.list_recently_heard(now, LEASE_S)]
        primary = [peer.name for peer in self._choose_keepers(now).primary]
        ordered = sorted(keepers, key=lambda name: (name not in primary, name))
        values = (self.gossip.values.get(prefix + name) for name in ordered)
        value = next((value for value in values if value is not None), None)
        suspects = decode_suspects(value) if value is not None else frozenset()
        self.view.set_suspects(suspects - {self.settings.name})


def decode_suspects(value: VersionedValue) -> frozenset[str]:
    """Return the names in a value, or no names if it is malformed."""
    try:
        names = json.loads(value.value)
    except (ValueError, RecursionError):
        return frozenset()
    return frozenset(str(name) for name in names) if isinstance(names, list) else frozenset()


def build_suspects_value(
    keeper: str, service: str, names: frozenset[str], version: int
) -> VersionedValue:
    """Return the gossip value that lists the members of a service that a keeper suspects."""
    data = json.dumps(sorted(names), separators=(",", ":")).encode()
    return VersionedValue(f"{SUSPECTS_PREFIX}{service}/{keeper}", version, data, keeper)
