"""Simulate a network that delays, duplicates, reorders and loses datagrams."""

import random
from collections import Counter

from attrs import define, field, frozen

from .timeline import Callback, Timeline

ANYWHERE = "*"
"""Side of a cut that matches every instance and data centre."""
LOCAL_DELAY_S = 0.0002
"""One-way delay inside a data centre, in seconds."""


@frozen
class Location:
    """Instance and its data centre; callers, operators and the store are in no data centre."""

    name: str
    data_centre: str = ""


CALLERS = Location("callers")
OPERATORS = Location("operators")


@frozen
class Delays:
    """One-way delays of the network, in seconds."""

    between_data_centres_s: float = 0.0015
    to_callers_s: float = 0.003
    jitter_s: float = 0.0001


@frozen
class LinkFaults:
    """Share of datagrams that each fault affects, from 0 to 1."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    max_reorder_delay_s: float = 0.05
    """Longest extra delay of a reordered or duplicated datagram, in seconds."""


@define(eq=False)
class Network:
    """Simulated network with delays, link faults and cuts."""

    timeline: Timeline
    rng: random.Random
    delays: Delays = Delays()
    faults: LinkFaults = LinkFaults()
    counts: Counter[str] = field(factory=Counter)
    _cuts: dict[tuple[str, str], int] = field(factory=dict)

    def send(self, source: Location, target: Location, deliver: Callback) -> None:
        """Send a datagram, which arrives once, twice or never."""
        if self._cuts and self.is_cut(source, target):
            self.counts["cut"] += 1
            return
        delay_s = self.draw_delay(source, target)
        faults = self.faults
        if faults.loss and self.rng.random() < faults.loss:
            self.counts["lost"] += 1
            return
        if faults.duplicate and self.rng.random() < faults.duplicate:
            self.counts["duplicated"] += 1
            self.timeline.call_later(
                delay_s + self.rng.random() * faults.max_reorder_delay_s, deliver
            )
        if faults.reorder and self.rng.random() < faults.reorder:
            self.counts["reordered"] += 1
            delay_s += self.rng.random() * faults.max_reorder_delay_s
        self.timeline.call_later(delay_s, deliver)

    def draw_delay(self, source: Location, target: Location) -> float:
        """Draw the delay of a datagram, including jitter."""
        jitter_s = self.rng.random() * self.delays.jitter_s
        if not source.data_centre or not target.data_centre:
            return self.delays.to_callers_s + jitter_s
        if source.data_centre == target.data_centre:
            return LOCAL_DELAY_S + jitter_s
        return self.delays.between_data_centres_s + jitter_s

    def cut(self, source: str, target: str) -> None:
        """Cut one direction; each side is an instance, a data centre or ANYWHERE."""
        self._cuts[source, target] = self._cuts.get((source, target), 0) + 1

    def restore(self, source: str, target: str) -> None:
        """Remove one cut."""
        remaining_cuts = self._cuts.pop((source, target), 0) - 1
        if remaining_cuts > 0:
            self._cuts[source, target] = remaining_cuts

    def is_cut(self, source: Location, target: Location) -> bool:
        """Return whether this direction is cut."""
        return any(
            cut_source in (source.name, source.data_centre, ANYWHERE)
            and cut_target in (target.name, target.data_centre, ANYWHERE)
            for cut_source, cut_target in self._cuts
        )

    def has_active_cut(self, location: Location) -> bool:
        """Return whether a cut affects an instance or its data centre now."""
        names = (location.name, location.data_centre, ANYWHERE)
        return any(source in names or target in names for source, target in self._cuts)
