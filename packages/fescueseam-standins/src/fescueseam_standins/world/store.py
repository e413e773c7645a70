"""Simulate the store of the accepted configuration, with outages and stale reads."""

import random
from collections.abc import Callable

from attrs import define, field

from fescueseam.conf.models import Configuration

from .network import Location, Network
from .timeline import Timeline

STORE = Location("store")


@define(eq=False)
class Store:
    """Simulated store that keeps every accepted version."""

    timeline: Timeline
    network: Network
    rng: random.Random
    versions: list[Configuration] = field(factory=list)
    up: bool = True
    stale: bool = False
    """Whether reads return a random accepted version instead of the newest."""
    slow_s: float = 0.0
    """Extra delay before a reply, in seconds."""

    def write(self, cfg: Configuration) -> bool:
        """Store the next version unless the store is down; return whether it was stored."""
        if self.up:
            self.versions.append(cfg)
        return self.up

    def read(self, reader: Location, on_reply: Callable[[Configuration], None]) -> None:
        """Read a version over the network; a store that is down does not reply."""

        def reply() -> None:
            if not self.up:
                return
            cfg = self.rng.choice(self.versions) if self.stale else self.versions[-1]
            self.timeline.call_later(
                self.slow_s, lambda: self.network.send(STORE, reader, lambda: on_reply(cfg))
            )

        self.network.send(reader, STORE, reply)
