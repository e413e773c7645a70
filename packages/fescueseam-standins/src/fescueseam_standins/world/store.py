"""Model the platform's object that holds the accepted configuration, with its outages."""

import random
from collections.abc import Callable

from attrs import define, field

from fescueseam.conf.models import Configuration

from .network import Network, Place
from .timeline import Timeline

STORE = Place("store")


@define(eq=False)
class Store:
    """Hold every accepted version and answer reads as the faults allow."""

    timeline: Timeline
    network: Network
    rng: random.Random
    versions: list[Configuration] = field(factory=list)
    up: bool = True
    stale: bool = False
    """Answer reads with any version that was ever accepted."""
    slow_s: float = 0.0

    def write(self, cfg: Configuration) -> bool:
        """Accept the next version; return whether the store took it."""
        if self.up:
            self.versions.append(cfg)
        return self.up

    def read(self, reader: Place, take: Callable[[Configuration], None]) -> None:
        """Answer a read over the network; nothing comes back from a store that is down."""

        def answer() -> None:
            if not self.up:
                return
            found = self.rng.choice(self.versions) if self.stale else self.versions[-1]
            self.timeline.after(
                self.slow_s, lambda: self.network.send(STORE, reader, lambda: take(found))
            )

        self.network.send(reader, STORE, answer)
