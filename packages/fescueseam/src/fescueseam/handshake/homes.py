"""Homes of flows as one balancer remembers them."""

from collections import OrderedDict

from attrs import define

from fescueseam.handshake.segments import FlowId

HOMES_LIMIT = 65_536
"""Largest number of remembered homes; a search finds an evicted one again."""


@define
class Home:
    """The agent to which a flow's packets are forwarded."""

    agent: str
    service: str
    used_at: float
    """Time of the last packet or offer that was forwarded to the agent."""
    finished: bool = False
    """Whether the caller has closed the flow."""


class HomeTable(OrderedDict[FlowId, Home]):
    """Known homes, the least recently used first."""

    def remember(self, flow: FlowId, agent: str, service: str, now: float) -> None:
        """Store the home of a flow; evict the least recently used one beyond the limit."""
        self[flow] = Home(agent, service, now)
        self.move_to_end(flow)
        if len(self) > HOMES_LIMIT:
            self.popitem(last=False)

    def record_use(self, flow: FlowId, finishes: bool, now: float) -> None:
        """Record that a packet, which may close the flow, was forwarded to its home."""
        home = self[flow]
        home.used_at = now
        home.finished = home.finished or finishes
        self.move_to_end(flow)

    def expire(self, now: float, idle_s: float) -> None:
        """Forget the homes of flows that have been idle for `idle_s` seconds."""
        for flow, home in list(self.items()):
            if now - home.used_at < idle_s:
                break
            del self[flow]
