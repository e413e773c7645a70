"""Route by the usual ways, in the same world: hashing, two choices, connection tables."""

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

CHOICES = 2
TABLE_LIMIT = 200_000


@define
class LoadBoard:
    """Hold the late load report of each member, as a load endpoint poll would give it."""

    busy: dict[str, int] = field(factory=dict)
    """Hold busy slots and open connections by member."""
    heard: dict[str, float] = field(factory=dict)

    def note(self, name: str, load: int, now: float) -> None:
        """Take a report."""
        self.busy[name] = load
        self.heard[name] = now


def rank_members(members: list[Member], flow: FlowKey) -> list[Member]:
    """Return members in the order of their rendezvous rank for a flow."""
    packed = flow.pack()
    return sorted(
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(packed + member.name.encode()),
        reverse=True,
    )


ChooseMember = Callable[[Packet, FlowPhase, list[Member], list[Member]], Member | None]
"""Choose among the members that take new flows and all that still stand."""


@define
class BaselineEntry:
    """Forward each packet to the member that a rule chooses."""

    name: str
    incarnation: int
    view: View
    choose: ChooseMember

    def handle_packet(self, raw: bytes, now: float) -> Effects:
        """Take a caller's packet."""
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
        standing = [member for member in table.members if self.view.is_usable(member)]
        fresh = [member for member in standing if self._takes_new(member)]
        phase = find_flow_phase(packet, service_class.transport)
        member = self.choose(packet, phase, fresh, standing)
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
        """Drop a message; nobody sends one."""
        return []

    def tick(self, now: float) -> Effects:
        """Do nothing."""
        return []

    def _takes_new(self, member: Member) -> bool:
        return member.state is MemberState.ACTIVE and not self.view.is_draining(member.name)


def hash_to_one(
    packet: Packet, phase: FlowPhase, fresh: list[Member], _: list[Member]
) -> Member | None:
    """Choose by the flow alone."""
    return next(iter(rank_members(fresh, packet.flow)), None)


@define
class TableChoice:
    """Choose the least loaded member for a new flow and remember it."""

    board: LoadBoard
    choices: int | None = None
    """Look at this many members by hash only; none means all of them."""
    homes: OrderedDict[FlowKey, str] = field(factory=OrderedDict)

    def choose(
        self, packet: Packet, phase: FlowPhase, fresh: list[Member], standing: list[Member]
    ) -> Member | None:
        """Choose by the table, else by reported load; a lost flow goes by its hash."""
        flow = packet.flow
        known = self.homes.get(flow)
        found = next((member for member in standing if member.name == known), None)
        if found is not None:
            return found
        ranked = rank_members(fresh, flow)
        if phase not in (FlowPhase.OPENING, FlowPhase.UNKNOWN):
            return next(iter(ranked), None)
        load = self.board.busy
        member = min(ranked[: self.choices], key=lambda item: load.get(item.name, 0), default=None)
        if member is not None:
            self.homes[flow] = member.name
            if len(self.homes) > TABLE_LIMIT:
                self.homes.popitem(last=False)
        return member


@define
class Waiting:
    """Hold an opening that waits at a server without a free slot."""

    packet: Packet
    service_class: ServiceClass
    until: float


@define
class BaselineHome:
    """Deliver what comes, keep to the slots, and let openings wait for a bounded time."""

    name: str
    service: str
    rules: AdmissionRules
    view: View
    board: LoadBoard
    flows: dict[FlowKey, ServiceClass] = field(factory=dict)
    busy: int = 0
    waiting: OrderedDict[FlowKey, Waiting] = field(factory=OrderedDict)
    draining: bool = False

    def handle_message(self, message: Message, now: float) -> Effects:
        """Take a carried packet."""
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
        if packet.flow in self.waiting:
            return [Drop(ErrorKind.DUPLICATE_OPENING)]
        if service_class.kind is FlowKind.REQUEST and self.busy >= self.rules.slots:
            until = now + service_class.wait_s
            self.waiting[packet.flow] = Waiting(packet, service_class, until)
            return []
        return self._open(packet, service_class)

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Publish the report to the balancers' board."""
        self.board.note(self.name, report.busy + report.connections, now)
        return []

    def handle_backend_lost(self, now: float) -> Effects:
        """Take it that every flow is gone."""
        effects: Effects = [CloseFlow(flow) for flow in self.flows]
        self.flows.clear()
        self.busy = 0
        return effects

    def handle_answer(self, flow: FlowKey, now: float) -> None:
        """Do nothing; answers tell this core nothing."""

    def handle_closed(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Free what a flow took and open what waits."""
        service_class = self.flows.pop(flow, None)
        if service_class is None:
            return []
        if service_class.kind is FlowKind.REQUEST:
            self.busy -= 1
        return [CloseFlow(flow), *self._serve_waiting(now)]

    def update_draining(self, reported: bool) -> None:
        """Note the drain rules."""
        self.draining = reported

    def tick(self, now: float) -> Effects:
        """Refuse what has waited for too long."""
        effects: Effects = []
        for flow, item in list(self.waiting.items()):
            if item.until <= now:
                del self.waiting[flow]
                effects.append(Refuse(ErrorKind.NO_CAPACITY, item.service_class, item.packet))
        return effects

    def _serve_waiting(self, now: float) -> Effects:
        effects: Effects = []
        while self.waiting and self.busy < self.rules.slots:
            _, item = self.waiting.popitem(last=False)
            effects += self._open(item.packet, item.service_class)
        return effects

    def _open(self, packet: Packet, service_class: ServiceClass) -> Effects:
        self.flows[packet.flow] = service_class
        if service_class.kind is FlowKind.REQUEST:
            self.busy += 1
        return [Deliver(packet.flow, service_class, packet, opening=True)]


@define
class Baseline:
    """Hold how to make both cores of a baseline."""

    make_balancer: MakeBalancer
    make_agent: MakeAgent


def make_baseline(rule: Callable[[LoadBoard], ChooseMember]) -> Baseline:
    """Return a baseline whose balancers choose by a rule."""
    board = LoadBoard()

    def make_balancer(name: str, incarnation: int, view: View) -> BaselineEntry:
        return BaselineEntry(name, incarnation, view, rule(board))

    def make_agent(
        member: Member, service: str, rules: AdmissionRules, view: View, started: float
    ) -> BaselineHome:
        return BaselineHome(member.name, service, rules, view, board)

    return Baseline(make_balancer, make_agent)


def make_hashing() -> Baseline:
    """Return plain consistent hashing."""
    return make_baseline(lambda _: hash_to_one)


def make_two_choices() -> Baseline:
    """Return hashing to two members, the less loaded by late reports taken and remembered."""
    return make_baseline(lambda board: TableChoice(board, CHOICES).choose)


def make_connection_table() -> Baseline:
    """Return the least loaded by late reports, remembered in each balancer."""
    return make_baseline(lambda board: TableChoice(board).choose)
