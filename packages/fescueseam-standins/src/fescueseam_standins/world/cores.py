"""Define what a router core must offer to run in the world."""

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
    """Decide at an entry instance."""

    def handle_packet(self, raw: bytes, now: float) -> Effects:
        """Take a caller's packet."""
        ...

    def handle_message(self, message: Message, now: float) -> Effects:
        """Take a message of another process."""
        ...

    def tick(self, now: float) -> Effects:
        """Advance every timer."""
        ...


class AgentCore(Protocol):
    """Decide beside a backend server."""

    def handle_message(self, message: Message, now: float) -> Effects:
        """Take a message of another process."""
        ...

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Take a load report of the backend server."""
        ...

    def handle_backend_lost(self, now: float) -> Effects:
        """Take it that the backend server has gone."""
        ...

    def handle_answer(self, flow: FlowKey, now: float) -> None:
        """Note that the backend server has answered."""
        ...

    def handle_closed(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Take it that a flow has ended."""
        ...

    def update_draining(self, reported: bool) -> None:
        """Take a change of the drain rules."""
        ...

    def tick(self, now: float) -> Effects:
        """Advance every timer."""
        ...


class StatelessBalancerCore:
    """Run the balancer's core, which keeps nothing and has no timers."""

    def __init__(self, core: Balancer) -> None:
        """Keep the core."""
        self.core = core

    def handle_packet(self, raw: bytes, now: float) -> Effects:
        """Take a caller's packet."""
        return self.core.handle_packet(raw)

    def handle_message(self, message: Message, now: float) -> Effects:
        """Drop a message; nobody sends one."""
        return []

    def tick(self, now: float) -> Effects:
        """Do nothing."""
        return []


MakeBalancer = Callable[[str, int, View], BalancerCore]
"""Make an entry core from its name, incarnation and view."""
MakeAgent = Callable[[Member, str, AdmissionRules, View, float], AgentCore]
"""Make a home core from its member, service, rules, view and start."""


def make_balancer(name: str, incarnation: int, view: View) -> BalancerCore:
    """Make the project's balancer."""
    return StatelessBalancerCore(Balancer(name, incarnation, view))


def make_agent(
    member: Member, service: str, rules: AdmissionRules, view: View, started: float
) -> AgentCore:
    """Make the project's agent."""
    return Agent(member.name, member.incarnation, service, member.data_centre, started, rules, view)
