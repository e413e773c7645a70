"""Decide what a balancer does with the packets of callers."""

import heapq
from collections import OrderedDict

from attrs import define, field

from fescueseam.handshake.choice import choose_agent
from fescueseam.handshake.effects import Effects, Hand, Note, Reset, Tell
from fescueseam.handshake.finder import Finder
from fescueseam.handshake.members import Availability, Fleet, Member, compute_tag
from fescueseam.handshake.notices import Holding, Locate, Located
from fescueseam.handshake.openings import (
    BUSY_REST_S,
    CLOSED_REST_S,
    OFFER_KEPT_S,
    OFFER_TIMEOUT_S,
    PARK_RETRY_S,
    PARK_S,
    PARKED_LIMIT,
    PARKED_PER_TICK,
    TRIES_LIMIT,
    Offer,
)
from fescueseam.handshake.rules import RuleBook
from fescueseam.handshake.searches import Search
from fescueseam.handshake.segments import FlowId, Mark, Purpose, Segment, format_flow

HOMES_LIMIT = 65_536
"""Bound the homes that are remembered; one that gave way is found again by asking."""
SETTLE_S = 2.0
"""Refuse nothing for want of agents this soon after the start, in seconds; they announce
themselves within a few report intervals."""


@define
class Home:
    """Hold the agent that a flow's packets are handed to."""

    agent: str
    service: str
    used_at: float


@define(eq=False)
class Balancer:
    """Hand each packet to the agent of its flow; what it remembers may be lost at any time."""

    fleet: Fleet
    book: RuleBook
    started: float
    knows_all: bool = False
    """Tell that the list of members was read once, so that an unheard agent is missed."""
    homes: OrderedDict[FlowId, Home] = field(factory=OrderedDict)
    offers: dict[FlowId, Offer] = field(factory=dict)
    parked: dict[FlowId, Offer] = field(factory=dict)
    finder: Finder = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.finder = Finder(self.fleet, self._settle, self._give_up)

    @property
    def searches(self) -> dict[FlowId, Search]:
        """Return the searches under way."""
        return self.finder.searches

    def is_waiting(self) -> bool:
        """Tell whether anything is due soon."""
        return bool(self.offers or self.searches or self.parked)

    def handle_packet(self, segment: Segment, now: float) -> Effects:
        """Return what to do with a packet from a caller."""
        flow = segment.flow_from_caller()
        search = self.searches.get(flow)
        if search is not None:
            search.keep(segment)
            return []
        if segment.opens:
            # Parked packets go on by themselves; copies say nothing new.
            return [] if flow in self.parked else self._open(segment, flow, now)
        self.offers.pop(flow, None)
        home = self.homes.get(flow)
        if home is None and segment.resets:
            # The caller has given the flow up, and backend servers answer no reset.
            return []
        if home is None:
            return self._search(segment, flow, now)
        member = self.fleet.find(home.agent)
        if member is None or self.fleet.is_gone(member, now):
            del self.homes[flow]
            return self._search(segment, flow, now)
        home.used_at = now
        self.homes.move_to_end(flow)
        return [self._hand(segment, member, home.service, Purpose.DELIVER)]

    def handle_return(self, segment: Segment, sender: int, now: float) -> Effects:
        """Return what to do with a packet that an agent did not take."""
        flow = segment.flow_from_caller()
        member = self.fleet.find_at(sender)
        name = member.identity.name if member is not None else ""
        if flow in self.searches:
            return self.finder.handle_return(flow, name, now)
        if segment.opens:
            closed = segment.mark.purpose is not Purpose.NO_ROOM
            return self._offer_elsewhere(flow, name, closed, now)
        home = self.homes.get(flow)
        if home is not None and home.agent != name:
            # The home became known after this packet was handed to another agent.
            current = self.fleet.find(home.agent)
            if current is not None:
                return [self._hand(segment, current, home.service, Purpose.DELIVER)]
        self.homes.pop(flow, None)
        return self._search(segment, flow, now, exclude=name)

    def handle_located(self, name: str, body: Located, now: float) -> Effects:
        """Take an agent's word on a flow."""
        flow = body.flow
        offer = self.offers.get(flow)
        if offer is not None and body.holding in (Holding.YES, Holding.HALF_OPEN):
            if offer.agent == name:
                offer.delivered = True
            return []
        return self.finder.handle_located(name, body, now)

    def handle_locate(self, origin: int, body: Locate, now: float) -> Effects:
        """Tell another balancer where a flow was last handed to."""
        home = self.homes.get(body.flow)
        member = None if home is None else self.fleet.find(home.agent)
        if home is None or member is None or self.fleet.is_gone(member, now):
            return [Tell(origin, Located(body.flow, Holding.NO))]
        return [Tell(origin, Located(body.flow, Holding.UNSURE, home.agent))]

    def tick(self, now: float) -> Effects:
        """Return what is due: offers and searches that were not answered."""
        effects: Effects = []
        for flow, offer in list(self.offers.items()):
            age_s = now - offer.sent_at
            if offer.delivered:
                if age_s >= OFFER_KEPT_S:
                    del self.offers[flow]
            elif age_s >= OFFER_TIMEOUT_S:
                if self.fleet.note_unanswered(offer.agent, now):
                    effects.append(Note("agent-unanswered", {"agent": offer.agent}))
                effects += self._offer_elsewhere(flow, offer.agent, True, now)
        effects += self.finder.tick(now)
        # A few at a time, the oldest first: what becomes of them tells whether there is room.
        oldest = heapq.nsmallest(
            PARKED_PER_TICK, self.parked.items(), key=lambda item: item[1].parked_at or now
        )
        for flow, offer in oldest:
            if now - offer.sent_at >= PARK_RETRY_S:
                del self.parked[flow]
                offer.tried.clear()
                offer.closed.clear()
                offer.insists = False
                effects += self._make_offer(offer, flow, now)
        return effects

    def forget_idle(self, now: float, idle_s: float) -> None:
        """Forget the homes of flows that were idle for long."""
        for flow, home in list(self.homes.items()):
            if now - home.used_at < idle_s:
                break
            del self.homes[flow]

    def _open(self, segment: Segment, flow: FlowId, now: float) -> Effects:
        service = self.book.find_service(flow)
        if service is None:
            return self._refuse(segment, flow, "no-route", now)
        if segment.attempt == 0:
            return self._place(segment, flow, service, set(), now)
        offer, home = self.offers.get(flow), self.homes.get(flow)
        if offer is not None and not offer.delivered:
            # The earlier copy is still on its way from agent to agent.
            return []
        member = None if home is None else self.fleet.find(home.agent)
        if member is not None and not self.fleet.is_gone(member, now):
            return self._offer_to(member, Offer(segment, service, "", now), flow, now)
        # An earlier copy may have opened the flow through another balancer.
        return self._search(segment, flow, now)

    def _place(
        self, segment: Segment, flow: FlowId, service: str, avoided: set[str], now: float
    ) -> Effects:
        offer = Offer(segment, service, "", now, set(avoided), set(avoided))
        return self._make_offer(offer, flow, now)

    def _make_offer(self, offer: Offer, flow: FlowId, now: float) -> Effects:
        if not self.book.is_complete():
            return self._park(offer, flow, now)
        member = None
        if not offer.insists and len(offer.tried) < TRIES_LIMIT:
            member = choose_agent(self.fleet, self.book, offer.service, offer.tried, now)
        if member is None:
            offer.insists = True
            member = choose_agent(self.fleet, self.book, offer.service, offer.closed, now)
        if member is None:
            self.homes.pop(flow, None)
            return self._park(offer, flow, now)
        return self._offer_to(member, offer, flow, now)

    def _offer_to(self, member: Member, offer: Offer, flow: FlowId, now: float) -> Effects:
        fields = {
            "flow": format_flow(flow),
            "service": offer.service,
            "agent": member.identity.name,
            "tried": len(offer.tried),
            "insists": offer.insists,
            "busy": member.load.busy,
            "age_ms": round((now - member.heard_at) * 1000),
            "config": self.book.rules.version,
        }
        offer.agent = member.identity.name
        offer.tried.add(offer.agent)
        offer.sent_at = now
        offer.delivered = False
        member.sent_since += 1
        self.offers[flow] = offer
        self._remember(flow, offer.agent, offer.service, now)
        purpose = Purpose.INSIST if offer.insists else Purpose.DELIVER
        hand = self._hand(offer.segment, member, offer.service, purpose)
        return [Note("flow-offered", fields), hand]

    def _park(self, offer: Offer, flow: FlowId, now: float) -> Effects:
        reason = "no-room" if offer.tried else "no-agent"
        states = {
            member.load.availability
            for member in self.fleet.list_agents((offer.service,))
            if not self.fleet.is_gone(member, now)
        }
        awaited = (
            now - self.started < SETTLE_S
            or not self.book.is_complete()
            or Availability.UNKNOWN in states
            or (Availability.ABSENT in states and Availability.READY not in states)
        )
        first = offer.parked_at is None
        if offer.parked_at is None:
            offer.parked_at = now
        if not awaited or len(self.parked) >= PARKED_LIMIT:
            return self._refuse(offer.segment, flow, reason, now, offer.service)
        if now - offer.parked_at >= PARK_S:
            fields = {"flow": format_flow(flow), "service": offer.service, "reason": "waited"}
            return [Note("opening-dropped", fields)]
        offer.sent_at = now
        self.parked[flow] = offer
        if not first:
            return []
        fields = {"flow": format_flow(flow), "service": offer.service, "reason": reason}
        return [Note("opening-parked", fields)]

    def _offer_elsewhere(self, flow: FlowId, name: str, closed: bool, now: float) -> Effects:
        offer = self.offers.get(flow)
        if offer is None or offer.agent != name:
            return []
        del self.offers[flow]
        member = self.fleet.find(name)
        closed = closed or offer.insists
        if member is not None:
            member.busy_until = now + BUSY_REST_S
        if member is not None and closed:
            member.closed_until = now + CLOSED_REST_S
        if closed:
            offer.closed.add(name)
        return self._make_offer(offer, flow, now)

    def _refuse(
        self, segment: Segment, flow: FlowId, reason: str, now: float, service: str = ""
    ) -> Effects:
        fields = {
            "flow": format_flow(flow),
            "service": service,
            "reason": reason,
            "config": self.book.rules.version,
        }
        settled = self.book.rules.version > 0 and now - self.started >= SETTLE_S
        if segment.attempt > 0 or not settled:
            return [Note("opening-dropped", fields)]
        return [Note("flow-refused", fields), Reset(segment)]

    def _search(self, segment: Segment, flow: FlowId, now: float, exclude: str = "") -> Effects:
        services = self.book.list_services(flow)
        if services:
            return self.finder.start(flow, services, segment, exclude, now)
        if self.book.rules.version == 0:
            return [Note("packet-dropped", {"flow": format_flow(flow), "reason": "no-rules"})]
        fields = {"flow": format_flow(flow), "reason": "no-route"}
        return [Note("flow-reset", fields), Reset(segment)]

    def _settle(self, search: Search, member: Member, holding: Holding, now: float) -> Effects:
        name, service = member.identity.name, member.identity.service
        self._remember(search.flow, name, service, now)
        fields = {
            "flow": format_flow(search.flow),
            "agent": name,
            "holding": holding.name.lower(),
            "took_ms": round((now - search.started) * 1000),
        }
        effects: Effects = [Note("flow-found", fields)]
        if search.opens_only():
            offer = Offer(search.segments[-1], service, "", now)
            return effects + self._offer_to(member, offer, search.flow, now)
        # The agent that is being tried has the first packet already.
        segments = search.segments[1:] if name == search.probing else search.segments
        effects += [self._hand(item, member, service, Purpose.DELIVER) for item in segments]
        return effects

    def _give_up(self, search: Search, now: float) -> Effects:
        segment = search.segments[-1]
        silent = [name for name in search.list_silent() if name not in search.gone]
        if search.opens_only():
            service = self.book.find_service(search.flow)
            if service is not None:
                return self._place(segment, search.flow, service, set(silent), now)
        fields = {
            "flow": format_flow(search.flow),
            "silent": silent,
            "gone": sorted(search.gone),
            "asked": len(search.asked),
            "packet": segment.describe(),
            "took_ms": round((now - search.started) * 1000),
        }
        if silent or not self.knows_all or not search.asked or self._is_cut_off(search, now):
            return [Note("packet-dropped", {**fields, "reason": "home-unknown"})]
        return [Note("flow-reset", {**fields, "reason": "not-held"}), Reset(segment)]

    def _is_cut_off(self, search: Search, now: float) -> bool:
        # Where half of the agents are unheard, this process is more likely to be the lost one.
        agents = self.fleet.list_agents(search.services)
        gone = sum(1 for member in agents if self.fleet.is_gone(member, now))
        return 2 * gone >= len(agents)

    def _remember(self, flow: FlowId, agent: str, service: str, now: float) -> None:
        self.homes[flow] = Home(agent, service, now)
        self.homes.move_to_end(flow)
        if len(self.homes) > HOMES_LIMIT:
            self.homes.popitem(last=False)

    def _hand(self, segment: Segment, member: Member, service: str, purpose: Purpose) -> Hand:
        mark = Mark(purpose, compute_tag(service), self.fleet.own.address)
        return Hand(member.identity.address, segment, mark)
