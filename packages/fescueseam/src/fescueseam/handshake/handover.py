"""Hand-over of the homes of open flows from a balancer that stops to its neighbours.

A balancer starts again without homes. Its neighbours know those of flows that were used in the
meantime; without a hand-over all agents would be asked about each idle flow.
"""

from itertools import chain, islice

from fescueseam.handshake.effects import Effects, SendNotice
from fescueseam.handshake.homes import HomeTable
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, HomeHandover, Located
from fescueseam.handshake.questions import BATCH_FLOWS_LIMIT
from fescueseam.handshake.segments import FlowId

HANDED_OVER_FLOWS_LIMIT = 2048
"""Largest number of homes that a balancer hands over, the most recently used ones. All agents are
asked about the others."""


class HandedOverHomes(HomeTable):
    """Homes that stopping neighbours have handed over.

    They may be stale, so that the agent is asked before a packet is forwarded to it.
    """

    def record(self, body: HomeHandover, fleet: Fleet, now: float) -> None:
        """Remember the homes whose agents are known."""
        for item in body.homes:
            member = fleet.find(item.agent)
            if member is not None:
                self.remember(item.flow, item.agent, member.identity.service, now)

    def take_agent(self, flow: FlowId) -> str:
        """Remove the home of a flow and return its agent; empty if there is none."""
        home = self.pop(flow, None)
        return "" if home is None else home.agent


def build_handover(homes: HomeTable, handed_over: HomeTable, fleet: Fleet, now: float) -> Effects:
    """Return the notices that spread the homes of open flows over the neighbours that stay.

    Homes that were handed over to this balancer follow its own ones. Each goes to one neighbour
    only, as a search asks all of them.
    """
    neighbours = [item for item in fleet.list_neighbours(now) if not item.load.leaving]
    if not neighbours:
        return []
    not_used = (item for item in reversed(handed_over.items()) if item[0] not in homes)
    open_flows = (
        Located(flow, Holding.UNSURE, home.agent)
        for flow, home in chain(reversed(homes.items()), not_used)
        if not home.finished
    )
    selected = tuple(islice(open_flows, HANDED_OVER_FLOWS_LIMIT))
    batches = [
        selected[first : first + BATCH_FLOWS_LIMIT]
        for first in range(0, len(selected), BATCH_FLOWS_LIMIT)
    ]
    return [
        SendNotice(neighbours[number % len(neighbours)].identity.address, HomeHandover(batch))
        for number, batch in enumerate(batches)
    ]
