"""Define the interfaces of the simulated cores, and create the cores of the product."""

from collections.abc import Callable
from typing import Protocol

from fescueseam.admission.gate import LoadReport
from fescueseam.agent.agent import Agent
from fescueseam.conf.models import AdmissionRules
from fescueseam.effects import Effects
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Message
from fescueseam.routing.balancer import Balancer
from fescueseam.routing.table import Member
from fescueseam.routing.view import View


class BalancerCore(Protocol):
    """Interface of a balancer's core."""

    def handle_packet(self, raw: bytes, now: float) -> Effects:
        """Handle a caller's packet."""
        ...

    def handle_message(self, message: Message, now: float) -> Effects:
        """Handle a message from another process."""
        ...

    def tick(self, now: float) -> Effects:
        """Run the timers that are due."""
        ...


class AgentCore(Protocol):
    """Interface of an agent's core."""

    def handle_message(self, message: Message, now: float) -> Effects:
        """Handle a message from another process."""
        ...

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Handle a load report of the backend server."""
        ...

    def handle_backend_lost(self, now: float) -> Effects:
        """Handle the loss of the backend server."""
        ...

    def handle_backend_packet(self, flow: FlowKey, now: float) -> None:
        """Record an answer of the backend server."""
        ...

    def handle_flow_closed(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Handle the end of a flow."""
        ...

    def update_draining(self, reported: bool) -> None:
        """Update the drain state from the backend server's report and the drain rules."""
        ...

    def tick(self, now: float) -> Effects:
        """Run the timers that are due."""
        ...


class StatelessBalancerCore:
    """Adapter of the product's balancer core, which keeps no state and has no timers."""

    def __init__(self, core: Balancer) -> None:
        """Wrap a balancer core."""
        self.core = core

    def handle_packet(self, raw: bytes, now: float) -> Effects:
        """Handle a caller's packet."""
        return self.core.handle_packet(raw)

    def handle_message(self, message: Message, now: float) -> Effects:
        """Ignore the message; no process sends one to a balancer core."""
        return []

    def tick(self, now: float) -> Effects:
        """Do nothing; the core has no timers."""
        return []


MakeBalancer = Callable[[str, int, View], BalancerCore]
"""Factory of a balancer core; takes name, incarnation and view."""
MakeAgent = Callable[[Member, str, AdmissionRules, View, float], AgentCore]
"""Factory of an agent core; takes member, service, admission rules, view and start time."""


def make_balancer(name: str, incarnation: int, view: View) -> BalancerCore:
    """Create the product's balancer core."""
    return StatelessBalancerCore(Balancer(name, incarnation, view))


def make_agent(
    member: Member, service: str, rules: AdmissionRules, view: View, started_at: float
) -> AgentCore:
    """Create the product's agent core."""
    return Agent(
        member.name, member.incarnation, service, member.data_centre, started_at, rules, view
    )
