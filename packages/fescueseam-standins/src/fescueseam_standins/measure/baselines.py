"""Baseline balancers and agents for the same world: hashing, two choices, connection tables."""

from collections import OrderedDict
from collections.abc import Callable

import xxhash
from attrs import define, field

from fescueseam.admission.gate import LoadReport
from fescueseam.conf.models import AdmissionRules, FlowKind, ServiceClass
from fescueseam.effects import CloseFlow, Deliver, Drop, Effects, Refuse, Send
from fescueseam.exceptions import ErrorKind, PacketError
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Carry, Message
from fescueseam.packets.ip import FlowPhase, Packet, find_flow_phase, parse_packet
from fescueseam.routing.table import Member, MemberState
from fescueseam.routing.view import View

from ..world.cores import MakeAgent, MakeBalancer

TWO_CHOICES_CANDIDATES = 2
MAX_TABLE_FLOWS = 200_000
"""Largest number of flows in a connection table; the oldest entry is evicted first."""


@define
class ReportedLoads:
    """Last load report of each member, with the delay that polling a load endpoint has."""

    load_by_member: dict[str, int] = field(factory=dict)
    """Busy slots plus open connections of each member."""
    received_at: dict[str, float] = field(factory=dict)

    def record_report(self, name: str, load: int, now: float) -> None:
        """Store a member's load report."""
        self.load_by_member[name] = load
        self.received_at[name] = now


def rank_members(members: list[Member], flow: FlowKey) -> list[Member]:
    """Return members in rendezvous hashing order for a flow."""
    packed = flow.pack()
    return sorted(
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(packed + member.name.encode()),
        reverse=True,
    )


ChooseMember = Callable[[Packet, FlowPhase, list[Member], list[Member]], Member | None]
"""Chooses among the members that accept new flows and all usable members."""


@define
class BaselineBalancer:
    """Balancer that forwards each packet to the member that a rule chooses."""

    name: str
    incarnation: int
    view: View
    choose: ChooseMember

    def handle_packet(self, raw: bytes, now: float) -> Effects:
        """Forward a caller's packet to the chosen member."""
        try:
            packet = parse_packet(raw)
        except PacketError as exc:
            return [Drop(exc.kind)]
        service = self.view.find_service(packet.flow.destination)
        if service is None:
            return [Drop(ErrorKind.UNKNOWN_SERVICE)]
        service_class = self.view.find_service_class(service.name, packet.flow.destination_port)
        table = self.view.find_table(service.name)
        if service_class is None or table is None:
            return [Drop(ErrorKind.UNKNOWN_CLASS)]
        usable = [member for member in table.members if self.view.is_usable(member)]
        accepting = [member for member in usable if self._accepts_new_flows(member)]
        phase = find_flow_phase(packet, service_class.transport)
        member = self.choose(packet, phase, accepting, usable)
        if member is None:
            return [Drop(ErrorKind.NO_MEMBERS, service_class.name)]
        version = self.view.cfg.version
        message = Message(
            self.name,
            self.incarnation,
            Carry(raw),
            0,
            member.name,
            service.name,
            "",
            table.epoch,
            version,
        )
        return [Send(member.address, member.control_port, message)]

    def handle_message(self, message: Message, now: float) -> Effects:
        """Ignore a message; baseline agents send none."""
        return []

    def tick(self, now: float) -> Effects:
        """Do nothing; there are no timers."""
        return []

    def _accepts_new_flows(self, member: Member) -> bool:
        return member.state is MemberState.ACTIVE and not self.view.is_draining(member.name)


def choose_by_hash(
    packet: Packet, phase: FlowPhase, accepting: list[Member], _: list[Member]
) -> Member | None:
    """Choose the first accepting member in rendezvous order."""
    return next(iter(rank_members(accepting, packet.flow)), None)


@define
class LeastLoadedChooser:
    """Connection table of one balancer, which assigns new flows to the least loaded member."""

    reported_loads: ReportedLoads
    max_candidates: int | None = None
    """Number of members to consider, in rendezvous order; None considers all."""
    member_by_flow: OrderedDict[FlowKey, str] = field(factory=OrderedDict)
    """Names of the recorded members, in the order in which the flows were recorded."""

    def choose(
        self, packet: Packet, phase: FlowPhase, accepting: list[Member], usable: list[Member]
    ) -> Member | None:
        """Return the recorded member, else choose the least loaded one and record it.

        An established flow without a record goes to the first member in rendezvous order.
        """
        flow = packet.flow
        recorded_name = self.member_by_flow.get(flow)
        recorded_member = next((member for member in usable if member.name == recorded_name), None)
        if recorded_member is not None:
            return recorded_member
        ranked = rank_members(accepting, flow)
        if phase not in (FlowPhase.OPENING, FlowPhase.UNKNOWN):
            return next(iter(ranked), None)
        load = self.reported_loads.load_by_member
        member = min(
            ranked[: self.max_candidates], key=lambda item: load.get(item.name, 0), default=None
        )
        if member is not None:
            self.member_by_flow[flow] = member.name
            if len(self.member_by_flow) > MAX_TABLE_FLOWS:
                self.member_by_flow.popitem(last=False)
        return member


@define
class PendingOpening:
    """Opening that waits at a backend server without a free slot."""

    packet: Packet
    service_class: ServiceClass
    expires_at: float


@define
class BaselineAgent:
    """Agent that delivers packets, bounds the busy slots and queues openings for a limited time."""

    name: str
    service: str
    rules: AdmissionRules
    view: View
    reported_loads: ReportedLoads
    flows: dict[FlowKey, ServiceClass] = field(factory=dict)
    busy: int = 0
    pending: OrderedDict[FlowKey, PendingOpening] = field(factory=OrderedDict)
    draining: bool = False

    def handle_message(self, message: Message, now: float) -> Effects:
        """Deliver a packet; an opening without a free slot waits."""
        body = message.body
        if not isinstance(body, Carry):
            return []
        packet = parse_packet(body.packet)
        service_class = self.view.find_service_class(self.service, packet.flow.destination_port)
        if service_class is None:
            return [Drop(ErrorKind.UNKNOWN_CLASS)]
        if packet.flow in self.flows:
            return [Deliver(packet.flow, service_class, packet)]
        phase = find_flow_phase(packet, service_class.transport)
        if phase not in (FlowPhase.OPENING, FlowPhase.UNKNOWN):
            return [Deliver(packet.flow, service_class, packet)]
        if packet.flow in self.pending:
            return [Drop(ErrorKind.DUPLICATE_OPENING)]
        if service_class.kind is FlowKind.REQUEST and self.busy >= self.rules.slots:
            expires_at = now + service_class.wait_s
            self.pending[packet.flow] = PendingOpening(packet, service_class, expires_at)
            return []
        return self._open_flow(packet, service_class)

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Publish a load report to the balancers."""
        self.reported_loads.record_report(self.name, report.busy + report.connections, now)
        return []

    def handle_backend_lost(self, now: float) -> Effects:
        """Close every flow, since the backend server has lost them."""
        effects: Effects = [CloseFlow(flow) for flow in self.flows]
        self.flows.clear()
        self.busy = 0
        return effects

    def handle_backend_packet(self, flow: FlowKey, now: float) -> None:
        """Do nothing; this agent does not track answers."""

    def handle_flow_closed(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Release the slot of a closed flow and open pending flows."""
        service_class = self.flows.pop(flow, None)
        if service_class is None:
            return []
        if service_class.kind is FlowKind.REQUEST:
            self.busy -= 1
        return [CloseFlow(flow), *self._open_pending(now)]

    def update_draining(self, reported: bool) -> None:
        """Store whether the backend server is draining."""
        self.draining = reported

    def tick(self, now: float) -> Effects:
        """Refuse openings whose wait has expired."""
        effects: Effects = []
        for flow, item in list(self.pending.items()):
            if item.expires_at <= now:
                del self.pending[flow]
                effects.append(Refuse(ErrorKind.NO_CAPACITY, item.service_class, item.packet))
        return effects

    def _open_pending(self, now: float) -> Effects:
        effects: Effects = []
        while self.pending and self.busy < self.rules.slots:
            _, item = self.pending.popitem(last=False)
            effects += self._open_flow(item.packet, item.service_class)
        return effects

    def _open_flow(self, packet: Packet, service_class: ServiceClass) -> Effects:
        self.flows[packet.flow] = service_class
        if service_class.kind is FlowKind.REQUEST:
            self.busy += 1
        return [Deliver(packet.flow, service_class, packet, opening=True)]


@define
class Baseline:
    """Functions that make the balancers and agents of a baseline."""

    make_balancer: MakeBalancer
    make_agent: MakeAgent


def make_baseline(make_chooser: Callable[[ReportedLoads], ChooseMember]) -> Baseline:
    """Return a baseline whose balancers share the reported loads and choose by a given rule."""
    reported_loads = ReportedLoads()

    def make_balancer(name: str, incarnation: int, view: View) -> BaselineBalancer:
        return BaselineBalancer(name, incarnation, view, make_chooser(reported_loads))

    def make_agent(
        member: Member, service: str, rules: AdmissionRules, view: View, started: float
    ) -> BaselineAgent:
        return BaselineAgent(member.name, service, rules, view, reported_loads)

    return Baseline(make_balancer, make_agent)


def make_consistent_hashing() -> Baseline:
    """Return a baseline that chooses members by consistent hashing alone."""
    return make_baseline(lambda _: choose_by_hash)


def make_two_choices() -> Baseline:
    """Return a baseline that picks the less loaded of two hashed members and records it.

    It compares the members by their delayed load reports. Each balancer has its own table.
    """
    return make_baseline(
        lambda reported_loads: LeastLoadedChooser(reported_loads, TWO_CHOICES_CANDIDATES).choose
    )


def make_connection_table() -> Baseline:
    """Return a baseline that picks the least loaded of all members and records it.

    It compares the members by their delayed load reports. Each balancer has its own table.
    """
    return make_baseline(lambda reported_loads: LeastLoadedChooser(reported_loads).choose)
