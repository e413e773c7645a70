"""Carry datagrams between places, late, twice, out of order or not at all."""

import random
from collections import Counter

from attrs import define, field, frozen

from .timeline import Callback, Timeline

ANYWHERE = "*"
LOCAL_DELAY_S = 0.0002


@frozen
class Location:
    """Name an instance and its data centre; callers live in no data centre."""

    name: str
    data_centre: str = ""


CALLERS = Location("callers")
OPERATORS = Location("operators")


@frozen
class Delays:
    """Hold one-way delays in seconds."""

    between_data_centres_s: float = 0.0015
    to_callers_s: float = 0.003
    jitter_s: float = 0.0001


@frozen
class LinkFaults:
    """Hold the share of datagrams that each fault befalls."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    max_reorder_delay_s: float = 0.05
    """Delay a reordered or duplicated datagram by up to this much more."""


@define(eq=False)
class Network:
    """Deliver datagrams on the timeline under the faults that are switched on."""

    timeline: Timeline
    rng: random.Random
    delays: Delays = Delays()
    faults: LinkFaults = LinkFaults()
    counts: Counter[str] = field(factory=Counter)
    _cuts: dict[tuple[str, str], int] = field(factory=dict)

    def send(self, source: Location, target: Location, deliver: Callback) -> None:
        """Send a datagram; it arrives once, twice or never."""
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
        """Return the delay of one datagram, jitter included."""
        jitter_s = self.rng.random() * self.delays.jitter_s
        if not source.data_centre or not target.data_centre:
            return self.delays.to_callers_s + jitter_s
        if source.data_centre == target.data_centre:
            return LOCAL_DELAY_S + jitter_s
        return self.delays.between_data_centres_s + jitter_s

    def cut(self, source: str, target: str) -> None:
        """Cut one direction; each side is an instance, a data centre or anywhere."""
        self._cuts[source, target] = self._cuts.get((source, target), 0) + 1

    def restore(self, source: str, target: str) -> None:
        """Take back one cut."""
        left = self._cuts.pop((source, target), 0) - 1
        if left > 0:
            self._cuts[source, target] = left

    def is_cut(self, source: Location, target: Location) -> bool:
        """Tell whether nothing passes in this direction."""
        return any(
            first in (source.name, source.data_centre, ANYWHERE)
            and second in (target.name, target.data_centre, ANYWHERE)
            for first, second in self._cuts
        )

    def has_active_cut(self, location: Location) -> bool:
        """Tell whether a cut on an instance or its data centre stands at the moment."""
        names = (location.name, location.data_centre, ANYWHERE)
        return any(first in names or second in names for first, second in self._cuts)
