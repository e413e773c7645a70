"""Model the platform's object that holds the accepted configuration, with its outages."""

import random
from collections.abc import Callable

from attrs import define, field

from fescueseam.conf.models import Configuration

from .network import Location, Network
from .timeline import Timeline

STORE = Location("store")


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

    def read(self, reader: Location, on_reply: Callable[[Configuration], None]) -> None:
        """Answer a read over the network; nothing comes back from a store that is down."""

        def reply() -> None:
            if not self.up:
                return
            cfg = self.rng.choice(self.versions) if self.stale else self.versions[-1]
            self.timeline.call_later(
                self.slow_s, lambda: self.network.send(STORE, reader, lambda: on_reply(cfg))
            )

        self.network.send(reader, STORE, reply)
