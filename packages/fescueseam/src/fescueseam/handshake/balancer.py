"""Decisions of a balancer on the packets of callers."""

import math
from collections.abc import Callable

from attrs import define, field

from fescueseam.handshake.agent_selection import AgentSelector
from fescueseam.handshake.choice import DEFAULT_REMOTE_PENALTY_S
from fescueseam.handshake.effects import Effects, LogEvent, SendNotice, SendReset
from fescueseam.handshake.finder import HomeFinder
from fescueseam.handshake.handover import HandedOverHomes, build_handover
from fescueseam.handshake.homes import HomeTable
from fescueseam.handshake.member import Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, HomeHandover, Locate, Located
from fescueseam.handshake.opening_placement import OpeningPlacement, build_forward
from fescueseam.handshake.openings import (
    OFFERED_LIMIT,
    DeferredOpenings,
    OfferedOpenings,
    PendingOpening,
)
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.searches import HomeSearch
from fescueseam.handshake.segments import FlowId, Purpose, Segment, format_flow
from fescueseam.overload.remote import RemoteChange
from fescueseam.overload.speeds import ServerSpeeds


@define(eq=False)
class Balancer:
    """Forwards each packet to the agent of its flow; all state is a cache that may be lost."""

    fleet: Fleet
    configuration: ActiveConfiguration
    started_at: float
    get_remote_penalty_s: Callable[[], float] = lambda: DEFAULT_REMOTE_PENALTY_S
    """Returns the delay added for a backend server in another data centre."""
    has_member_list: bool = False
    """Whether the member list has been read; until then flows are not reset for want of a home."""
    homes: HomeTable = field(factory=HomeTable)
    handed_over: HandedOverHomes = field(factory=HandedOverHomes)
    speeds: ServerSpeeds = field(factory=ServerSpeeds)
    finder: HomeFinder = field(init=False)
    placement: OpeningPlacement = field(init=False)

    def __attrs_post_init__(self) -> None:
        selector = AgentSelector(self.fleet, self.configuration, self.get_remote_penalty_s)
        self.placement = OpeningPlacement(
            self.fleet, self.configuration, self.homes, self.started_at, selector
        )
        self.finder = HomeFinder(self.fleet, self._handle_found, self._handle_not_found)

    @property
    def offered(self) -> OfferedOpenings:
        """Return the openings that were offered to agents."""
        return self.placement.offered

    @property
    def deferred(self) -> DeferredOpenings:
        """Return the openings that wait for an agent to become ready."""
        return self.placement.deferred

    @property
    def searches(self) -> dict[FlowId, HomeSearch]:
        """Return the searches in progress."""
        return self.finder.searches

    def has_pending_work(self) -> bool:
        """Return whether an unanswered offer, a search or a deferred opening is pending."""
        return self.placement.has_pending_work() or bool(self.searches)

    def handle_packet(self, segment: Segment, now: float) -> Effects:
        """Handle a packet from a caller."""
        flow = segment.get_flow_from_caller()
        search = self.searches.get(flow)
        if search is not None:
            self.finder.buffer_segment(search, segment)
            return []
        if segment.opens:
            self.finder.denials.discard(flow)
            # A deferred opening is retried by tick(); a retransmission of it needs no action.
            return [] if flow in self.deferred else self._handle_opening(segment, flow, now)
        self.offered.discard(flow)
        home = self.homes.get(flow)
        if home is None and segment.resets:
            # The caller has closed the flow, and backend servers do not answer a reset.
            return []
        if home is None:
            return self._start_search(segment, flow, now)
        member = self.fleet.find(home.agent)
        if member is None or self.fleet.is_unreachable(member, now):
            del self.homes[flow]
            return self._start_search(segment, flow, now)
        self.homes.record_use(flow, segment.finishes, now)
        return [build_forward(self.fleet, segment, member, home.service, Purpose.DELIVER)]

    def handle_returned_packet(self, segment: Segment, sender_address: int, now: float) -> Effects:
        """Handle a packet that an agent has returned."""
        flow = segment.get_flow_from_caller()
        member = self.fleet.find_by_address(sender_address)
        agent_name = member.identity.name if member is not None else ""
        if flow in self.searches:
            return self.finder.handle_returned_packet(flow, agent_name, now)
        if segment.opens:
            rejected = segment.mark.purpose is not Purpose.NO_FREE_SLOT
            return self.placement.offer_elsewhere(flow, agent_name, rejected, now)
        home = self.homes.get(flow)
        if home is not None and home.agent != agent_name:
            # The home was found after this packet had been forwarded to another agent.
            home_member = self.fleet.find(home.agent)
            if home_member is not None:
                return [
                    build_forward(self.fleet, segment, home_member, home.service, Purpose.DELIVER)
                ]
        self.homes.pop(flow, None)
        return self._start_search(segment, flow, now, excluded_agent=agent_name)

    def handle_located(self, sender_name: str, body: Located, now: float) -> Effects:
        """Handle the answer to a Locate, or the notice that an opening was delivered."""
        flow = body.flow
        opening = self.offered.find(flow)
        if opening is not None and body.holding is Holding.WAITING:
            if opening.agent == sender_name:
                opening.record_waiting(now)
                self.placement.waits.record_search(opening, True)
            return []
        if opening is not None and body.holding in (Holding.YES, Holding.HALF_OPEN):
            if opening.agent == sender_name and flow in self.offered.unanswered:
                self.offered.record_delivery(flow, now)
                self.placement.record_delivery(opening, flow, now)
                self._record_round_trip(sender_name, now - opening.sent_at)
                if not opening.even_if_busy:
                    self.placement.record_free_slot_search(opening, True)
            return []
        return self.finder.handle_located(sender_name, body, now)

    def handle_locate(self, origin: int, body: Locate, now: float) -> Effects:
        """Answer another balancer with the agent to which a flow was last forwarded."""
        home = self.homes.get(body.flow) or self.handed_over.get(body.flow)
        member = None if home is None else self.fleet.find(home.agent)
        if member is None or self.fleet.is_unreachable(member, now):
            return [SendNotice(origin, Located(body.flow, Holding.NO))]
        return [SendNotice(origin, Located(body.flow, Holding.UNSURE, member.identity.name))]

    def handle_agent_report(self, name: str, now: float) -> Effects:
        """Compare the speed of an agent's backend server with others after a report."""
        member = self.fleet.find(name)
        return [] if member is None else self.speeds.handle_report(self.fleet, member, now)

    def hand_over_homes(self, now: float) -> Effects:
        """Hand the homes of open flows over to the neighbours that stay."""
        return build_handover(self.homes, self.handed_over, self.fleet, now)

    def handle_handover(self, body: HomeHandover, now: float) -> None:
        """Remember the homes of a neighbour that stops."""
        self.handed_over.record(body, self.fleet, now)

    def expire(self, now: float, home_retention_s: float) -> None:
        """Forget homes that have not been used for a time, and delivered openings."""
        self.homes.expire(now, home_retention_s)
        self.handed_over.expire(now, home_retention_s)
        self.offered.expire(now)
        self.placement.selector.remote.expire(now)
        self.placement.selector.remote.senders = self.fleet.count_balancers_elsewhere(now)

    def tick(self, now: float, heard_until: float | None = None) -> Effects:
        """Handle overdue offers and searches, and retry deferred openings.

        Answers that arrived after `heard_until`, by default now, may not have been read yet.
        """
        heard_until = now if heard_until is None else heard_until
        return [
            *self.placement.handle_overdue_offers(now, heard_until, self.discard_flow),
            *self.finder.tick(now, heard_until),
            *self.placement.retry_deferred(now, self.discard_flow),
            *(_describe_change(item) for item in self.placement.selector.remote.take_changes()),
        ]

    def discard_flow(self, flow: FlowId) -> None:
        """Drop everything that is remembered of a flow; its next packet finds the home again."""
        self.placement.discard(flow)
        self.homes.pop(flow, None)
        self.finder.discard(flow)

    def _handle_opening(self, segment: Segment, flow: FlowId, now: float) -> Effects:
        if self.configuration.rules.version == 0:
            # It is placed as soon as the configuration is there.
            return self.placement.defer_or_refuse(PendingOpening(segment, "", "", now), flow, now)
        service = self.configuration.choose_service(flow)
        if service is None:
            return self.placement.refuse(segment, flow, "no-route", now)
        if len(self.offered) >= OFFERED_LIMIT:
            return self.placement.refuse(segment, flow, "too-many", now, service)
        if segment.attempt == 0:
            return self.placement.start(segment, flow, service, set(), now)
        home = self.homes.get(flow)
        if flow in self.offered.unanswered:
            # The earlier copy is still being offered to agents.
            return []
        member = None if home is None else self.fleet.find(home.agent)
        if member is not None and not self.fleet.is_unreachable(member, now):
            return self.placement.offer_to(
                member, PendingOpening(segment, service, "", now), flow, now
            )
        # An earlier copy may have opened the flow through another balancer.
        return self._start_search(segment, flow, now)

    def _record_round_trip(self, agent_name: str, duration_s: float) -> None:
        member = self.fleet.find(agent_name)
        if member is not None:
            self.placement.selector.remote.record_round_trip(
                member.identity.data_centre, duration_s
            )

    def _start_search(
        self, segment: Segment, flow: FlowId, now: float, excluded_agent: str = ""
    ) -> Effects:
        services = self.configuration.list_services(flow, now)
        if services:
            likely = self.handed_over.take_agent(flow)
            return self.finder.start(flow, services, segment, excluded_agent, now, likely)
        if self.configuration.rules.version == 0:
            return [LogEvent("packet-dropped", {"flow": format_flow(flow), "reason": "no-rules"})]
        fields = {"flow": format_flow(flow), "reason": "no-route"}
        return [LogEvent("flow-reset", fields), SendReset(segment)]

    def _handle_found(
        self, search: HomeSearch, member: Member, holding: Holding, now: float
    ) -> Effects:
        name, service = member.identity.name, member.identity.service
        self.homes.remember(search.flow, name, service, now)
        fields = {
            "flow": format_flow(search.flow),
            "agent": name,
            "holding": holding.name.lower(),
            "took_ms": round((now - search.started_at) * 1000),
        }
        effects: Effects = [LogEvent("flow-found", fields)]
        if search.has_only_openings():
            opening = PendingOpening(search.segments[-1], service, "", now)
            return effects + self.placement.offer_to(member, opening, search.flow, now)
        # The probed agent already has the first packet.
        segments = search.segments[1:] if name == search.probe_target else search.segments
        effects += [
            build_forward(self.fleet, item, member, service, Purpose.DELIVER) for item in segments
        ]
        return effects

    def _handle_not_found(self, search: HomeSearch, now: float) -> Effects:
        segment = search.segments[-1]
        pending_agents = search.list_missing_agents()
        if search.has_only_openings():
            service = self.configuration.choose_service(search.flow)
            if service is not None:
                return self.placement.start(segment, search.flow, service, set(pending_agents), now)
        fields = {
            "flow": format_flow(search.flow),
            "silent": pending_agents,
            "gone": sorted(search.unreachable_agents),
            "asked": len(search.answers),
            "packet": segment.describe_kind(),
            "took_ms": round((now - search.started_at) * 1000),
        }
        if (
            pending_agents
            or not self.has_member_list
            or not search.answers
            or self.finder.is_partitioned(search, now)
        ):
            return [LogEvent("packet-dropped", {**fields, "reason": "home-unknown"})]
        return [LogEvent("flow-reset", {**fields, "reason": "not-held"}), SendReset(segment)]


def _describe_change(change: RemoteChange) -> LogEvent:
    """Return the log line of flows that begin or cease to leave the data centre."""
    fields: dict[str, object] = {"service": change.service}
    for key, delay_s in (("near_ms", change.near_s), ("remote_ms", change.remote_s)):
        has_delay = delay_s is not None and math.isfinite(delay_s)
        fields[key] = round(delay_s * 1000) if has_delay and delay_s is not None else None
    if change.is_remote:
        return LogEvent("remote-begun", fields)
    return LogEvent("remote-ended", fields)
