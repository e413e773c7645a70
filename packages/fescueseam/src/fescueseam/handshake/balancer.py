"""Decide what a balancer does with the packets of callers."""

import heapq
from collections import OrderedDict

from attrs import define, field

from fescueseam.handshake.choice import choose_agent
from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendNotice, SendReset
from fescueseam.handshake.finder import HomeFinder
from fescueseam.handshake.members import Availability, Fleet, Member, compute_service_tag
from fescueseam.handshake.notices import Holding, Locate, Located
from fescueseam.handshake.openings import (
    BUSY_BACKOFF_S,
    DELIVERED_RETENTION_S,
    OFFER_ATTEMPTS_LIMIT,
    OFFER_TIMEOUT_S,
    PARK_RETRY_INTERVAL_S,
    PARK_TIMEOUT_S,
    PARKED_LIMIT,
    PARKED_RETRIES_PER_TICK,
    REJECTED_BACKOFF_S,
    PendingOpening,
)
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.searches import HomeSearch
from fescueseam.handshake.segments import FlowId, Mark, Purpose, Segment, format_flow

HOMES_LIMIT = 65_536
"""Bound the homes that are remembered; one that gave way is found again by asking."""
STARTUP_GRACE_S = 2.0
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
    configuration: ActiveConfiguration
    started_at: float
    has_member_list: bool = False
    """Tell that the list of members was read once, so that an unheard agent is missed."""
    homes: OrderedDict[FlowId, Home] = field(factory=OrderedDict)
    offered: dict[FlowId, PendingOpening] = field(factory=dict)
    parked: dict[FlowId, PendingOpening] = field(factory=dict)
    finder: HomeFinder = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.finder = HomeFinder(self.fleet, self._handle_found, self._handle_not_found)

    @property
    def searches(self) -> dict[FlowId, HomeSearch]:
        """Return the searches under way."""
        return self.finder.searches

    def is_waiting(self) -> bool:
        """Tell whether anything is due soon."""
        return bool(self.offered or self.searches or self.parked)

    def handle_packet(self, segment: Segment, now: float) -> Effects:
        """Return what to do with a packet from a caller."""
        flow = segment.get_flow_from_caller()
        search = self.searches.get(flow)
        if search is not None:
            search.buffer_segment(segment)
            return []
        if segment.opens:
            # Parked packets go on by themselves; copies say nothing new.
            return [] if flow in self.parked else self._handle_opening(segment, flow, now)
        self.offered.pop(flow, None)
        home = self.homes.get(flow)
        if home is None and segment.resets:
            # The caller has given the flow up, and backend servers answer no reset.
            return []
        if home is None:
            return self._start_search(segment, flow, now)
        member = self.fleet.find(home.agent)
        if member is None or self.fleet.is_unreachable(member, now):
            del self.homes[flow]
            return self._start_search(segment, flow, now)
        home.used_at = now
        self.homes.move_to_end(flow)
        return [self._forward(segment, member, home.service, Purpose.DELIVER)]

    def handle_returned_packet(self, segment: Segment, sender: int, now: float) -> Effects:
        """Return what to do with a packet that an agent did not take."""
        flow = segment.get_flow_from_caller()
        member = self.fleet.find_by_address(sender)
        name = member.identity.name if member is not None else ""
        if flow in self.searches:
            return self.finder.handle_returned_packet(flow, name, now)
        if segment.opens:
            rejected = segment.mark.purpose is not Purpose.NO_FREE_SLOT
            return self._offer_elsewhere(flow, name, rejected, now)
        home = self.homes.get(flow)
        if home is not None and home.agent != name:
            # The home became known after this packet was handed to another agent.
            current = self.fleet.find(home.agent)
            if current is not None:
                return [self._forward(segment, current, home.service, Purpose.DELIVER)]
        self.homes.pop(flow, None)
        return self._start_search(segment, flow, now, excluded_agent=name)

    def handle_located(self, name: str, body: Located, now: float) -> Effects:
        """Take an agent's word on a flow."""
        flow = body.flow
        opening = self.offered.get(flow)
        if opening is not None and body.holding in (Holding.YES, Holding.HALF_OPEN):
            if opening.agent == name:
                opening.delivered = True
            return []
        return self.finder.handle_located(name, body, now)

    def handle_locate(self, origin: int, body: Locate, now: float) -> Effects:
        """Tell another balancer where a flow was last handed to."""
        home = self.homes.get(body.flow)
        member = None if home is None else self.fleet.find(home.agent)
        if home is None or member is None or self.fleet.is_unreachable(member, now):
            return [SendNotice(origin, Located(body.flow, Holding.NO))]
        return [SendNotice(origin, Located(body.flow, Holding.UNSURE, home.agent))]

    def tick(self, now: float) -> Effects:
        """Return what is due: offers and searches that were not answered."""
        effects: Effects = []
        for flow, opening in list(self.offered.items()):
            age_s = now - opening.sent_at
            if opening.delivered:
                if age_s >= DELIVERED_RETENTION_S:
                    del self.offered[flow]
            elif age_s >= OFFER_TIMEOUT_S:
                if self.fleet.record_unanswered(opening.agent, now):
                    effects.append(LogEvent("agent-unanswered", {"agent": opening.agent}))
                effects += self._offer_elsewhere(flow, opening.agent, True, now)
        effects += self.finder.tick(now)
        # A few at a time, the oldest first: what becomes of them tells whether there is room.
        oldest = heapq.nsmallest(
            PARKED_RETRIES_PER_TICK, self.parked.items(), key=lambda item: item[1].parked_at or now
        )
        for flow, opening in oldest:
            if now - opening.sent_at >= PARK_RETRY_INTERVAL_S:
                del self.parked[flow]
                opening.tried_agents.clear()
                opening.rejecting_agents.clear()
                opening.insists = False
                effects += self._place_pending(opening, flow, now)
        return effects

    def expire_idle_homes(self, now: float, idle_s: float) -> None:
        """Forget the homes of flows that were idle for long."""
        for flow, home in list(self.homes.items()):
            if now - home.used_at < idle_s:
                break
            del self.homes[flow]

    def _handle_opening(self, segment: Segment, flow: FlowId, now: float) -> Effects:
        service = self.configuration.choose_service(flow)
        if service is None:
            return self._refuse(segment, flow, "no-route", now)
        if segment.attempt == 0:
            return self._start_placement(segment, flow, service, set(), now)
        opening, home = self.offered.get(flow), self.homes.get(flow)
        if opening is not None and not opening.delivered:
            # The earlier copy is still on its way from agent to agent.
            return []
        member = None if home is None else self.fleet.find(home.agent)
        if member is not None and not self.fleet.is_unreachable(member, now):
            return self._offer_to(member, PendingOpening(segment, service, "", now), flow, now)
        # An earlier copy may have opened the flow through another balancer.
        return self._start_search(segment, flow, now)

    def _start_placement(
        self, segment: Segment, flow: FlowId, service: str, excluded: set[str], now: float
    ) -> Effects:
        opening = PendingOpening(segment, service, "", now, set(excluded), set(excluded))
        return self._place_pending(opening, flow, now)

    def _place_pending(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        if not self.configuration.is_complete():
            return self._park_or_refuse(opening, flow, now)
        member = None
        if not opening.insists and len(opening.tried_agents) < OFFER_ATTEMPTS_LIMIT:
            member = choose_agent(
                self.fleet, self.configuration, opening.service, opening.tried_agents, now
            )
        if member is None:
            opening.insists = True
            member = choose_agent(
                self.fleet, self.configuration, opening.service, opening.rejecting_agents, now
            )
        if member is None:
            self.homes.pop(flow, None)
            return self._park_or_refuse(opening, flow, now)
        return self._offer_to(member, opening, flow, now)

    def _offer_to(
        self, member: Member, opening: PendingOpening, flow: FlowId, now: float
    ) -> Effects:
        fields = {
            "flow": format_flow(flow),
            "service": opening.service,
            "agent": member.identity.name,
            "tried": len(opening.tried_agents),
            "insists": opening.insists,
            "busy": member.load.busy,
            "age_ms": round((now - member.last_heard_at) * 1000),
            "config": self.configuration.rules.version,
        }
        opening.agent = member.identity.name
        opening.tried_agents.add(opening.agent)
        opening.sent_at = now
        opening.delivered = False
        member.flows_sent_since_report += 1
        self.offered[flow] = opening
        self._remember_home(flow, opening.agent, opening.service, now)
        purpose = Purpose.DELIVER_EVEN_IF_BUSY if opening.insists else Purpose.DELIVER
        hand = self._forward(opening.segment, member, opening.service, purpose)
        return [LogEvent("flow-offered", fields), hand]

    def _park_or_refuse(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        reason = "no-room" if opening.tried_agents else "no-agent"
        states = {
            member.load.availability
            for member in self.fleet.list_agents((opening.service,))
            if not self.fleet.is_unreachable(member, now)
        }
        awaited = (
            now - self.started_at < STARTUP_GRACE_S
            or not self.configuration.is_complete()
            or Availability.UNKNOWN in states
            or (Availability.ABSENT in states and Availability.READY not in states)
        )
        first = opening.parked_at is None
        if opening.parked_at is None:
            opening.parked_at = now
        if not awaited or len(self.parked) >= PARKED_LIMIT:
            return self._refuse(opening.segment, flow, reason, now, opening.service)
        if now - opening.parked_at >= PARK_TIMEOUT_S:
            fields = {"flow": format_flow(flow), "service": opening.service, "reason": "waited"}
            return [LogEvent("opening-dropped", fields)]
        opening.sent_at = now
        self.parked[flow] = opening
        if not first:
            return []
        fields = {"flow": format_flow(flow), "service": opening.service, "reason": reason}
        return [LogEvent("opening-parked", fields)]

    def _offer_elsewhere(self, flow: FlowId, name: str, rejected: bool, now: float) -> Effects:
        opening = self.offered.get(flow)
        if opening is None or opening.agent != name:
            return []
        del self.offered[flow]
        member = self.fleet.find(name)
        rejected = rejected or opening.insists
        if member is not None:
            member.busy_until = now + BUSY_BACKOFF_S
        if member is not None and rejected:
            member.excluded_until = now + REJECTED_BACKOFF_S
        if rejected:
            opening.rejecting_agents.add(name)
        return self._place_pending(opening, flow, now)

    def _refuse(
        self, segment: Segment, flow: FlowId, reason: str, now: float, service: str = ""
    ) -> Effects:
        fields = {
            "flow": format_flow(flow),
            "service": service,
            "reason": reason,
            "config": self.configuration.rules.version,
        }
        settled = self.configuration.rules.version > 0 and now - self.started_at >= STARTUP_GRACE_S
        if segment.attempt > 0 or not settled:
            return [LogEvent("opening-dropped", fields)]
        return [LogEvent("flow-refused", fields), SendReset(segment)]

    def _start_search(
        self, segment: Segment, flow: FlowId, now: float, excluded_agent: str = ""
    ) -> Effects:
        services = self.configuration.list_services(flow)
        if services:
            return self.finder.start(flow, services, segment, excluded_agent, now)
        if self.configuration.rules.version == 0:
            return [LogEvent("packet-dropped", {"flow": format_flow(flow), "reason": "no-rules"})]
        fields = {"flow": format_flow(flow), "reason": "no-route"}
        return [LogEvent("flow-reset", fields), SendReset(segment)]

    def _handle_found(
        self, search: HomeSearch, member: Member, holding: Holding, now: float
    ) -> Effects:
        name, service = member.identity.name, member.identity.service
        self._remember_home(search.flow, name, service, now)
        fields = {
            "flow": format_flow(search.flow),
            "agent": name,
            "holding": holding.name.lower(),
            "took_ms": round((now - search.started_at) * 1000),
        }
        effects: Effects = [LogEvent("flow-found", fields)]
        if search.has_only_openings():
            opening = PendingOpening(search.segments[-1], service, "", now)
            return effects + self._offer_to(member, opening, search.flow, now)
        # The agent that is being tried has the first packet already.
        segments = search.segments[1:] if name == search.probed_agent else search.segments
        effects += [self._forward(item, member, service, Purpose.DELIVER) for item in segments]
        return effects

    def _handle_not_found(self, search: HomeSearch, now: float) -> Effects:
        segment = search.segments[-1]
        silent = [name for name in search.list_pending_agents() if name not in search.gone_agents]
        if search.has_only_openings():
            service = self.configuration.choose_service(search.flow)
            if service is not None:
                return self._start_placement(segment, search.flow, service, set(silent), now)
        fields = {
            "flow": format_flow(search.flow),
            "silent": silent,
            "gone": sorted(search.gone_agents),
            "asked": len(search.answers),
            "packet": segment.describe_kind(),
            "took_ms": round((now - search.started_at) * 1000),
        }
        if (
            silent
            or not self.has_member_list
            or not search.answers
            or self._is_partitioned(search, now)
        ):
            return [LogEvent("packet-dropped", {**fields, "reason": "home-unknown"})]
        return [LogEvent("flow-reset", {**fields, "reason": "not-held"}), SendReset(segment)]

    def _is_partitioned(self, search: HomeSearch, now: float) -> bool:
        # Where half of the agents are unheard, this process is more likely to be the lost one.
        agents = self.fleet.list_agents(search.services)
        gone = sum(1 for member in agents if self.fleet.is_unreachable(member, now))
        return 2 * gone >= len(agents)

    def _remember_home(self, flow: FlowId, agent: str, service: str, now: float) -> None:
        self.homes[flow] = Home(agent, service, now)
        self.homes.move_to_end(flow)
        if len(self.homes) > HOMES_LIMIT:
            self.homes.popitem(last=False)

    def _forward(self, segment: Segment, member: Member, service: str, purpose: Purpose) -> Forward:
        mark = Mark(purpose, compute_service_tag(service), self.fleet.own.address)
        return Forward(member.identity.address, segment, mark)
