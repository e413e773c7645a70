"""Decisions of a balancer on the packets of callers."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from fescueseam.handshake.choice import (
    DEFAULT_REMOTE_PENALTY_S,
    choose_agent,
    is_agent_expected_soon,
)
from fescueseam.handshake.containment import contain
from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendNotice, SendReset
from fescueseam.handshake.finder import HomeFinder
from fescueseam.handshake.free_slots import FreeSlotSearches
from fescueseam.handshake.handover import HandedOverHomes, build_handover
from fescueseam.handshake.homes import HomeTable
from fescueseam.handshake.member import Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, HomeHandover, Locate, Located
from fescueseam.handshake.openings import (
    BUSY_BACKOFF_S,
    DEFERRED_TIMEOUT_S,
    OFFER_TIMEOUT_S,
    OFFERED_LIMIT,
    REJECTED_BACKOFF_S,
    DeferredOpenings,
    OfferedOpenings,
    PendingOpening,
)
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.searches import HomeSearch
from fescueseam.handshake.segments import (
    FlowId,
    Mark,
    Purpose,
    Segment,
    compute_service_tag,
    format_flow,
)

STARTUP_GRACE_S = 2.0
"""Time after the start during which no flow is refused, in seconds; agents announce themselves
within a few report intervals."""


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
    offered: OfferedOpenings = field(factory=OfferedOpenings)
    deferred: DeferredOpenings = field(factory=DeferredOpenings)
    free_slot_searches: FreeSlotSearches = field(factory=FreeSlotSearches)
    finder: HomeFinder = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.finder = HomeFinder(self.fleet, self._handle_found, self._handle_not_found)

    @property
    def searches(self) -> dict[FlowId, HomeSearch]:
        """Return the searches in progress."""
        return self.finder.searches

    def has_pending_work(self) -> bool:
        """Return whether an unanswered offer, a search or a deferred opening is pending."""
        return bool(self.offered.unanswered or self.searches or self.deferred)

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
        return [self._forward(segment, member, home.service, Purpose.DELIVER)]

    def handle_returned_packet(self, segment: Segment, sender_address: int, now: float) -> Effects:
        """Handle a packet that an agent has returned."""
        flow = segment.get_flow_from_caller()
        member = self.fleet.find_by_address(sender_address)
        agent_name = member.identity.name if member is not None else ""
        if flow in self.searches:
            return self.finder.handle_returned_packet(flow, agent_name, now)
        if segment.opens:
            rejected = segment.mark.purpose is not Purpose.NO_FREE_SLOT
            return self._offer_elsewhere(flow, agent_name, rejected, now)
        home = self.homes.get(flow)
        if home is not None and home.agent != agent_name:
            # The home was found after this packet had been forwarded to another agent.
            home_member = self.fleet.find(home.agent)
            if home_member is not None:
                return [self._forward(segment, home_member, home.service, Purpose.DELIVER)]
        self.homes.pop(flow, None)
        return self._start_search(segment, flow, now, excluded_agent=agent_name)

    def handle_located(self, sender_name: str, body: Located, now: float) -> Effects:
        """Handle the answer to a Locate, or the notice that an opening was delivered."""
        flow = body.flow
        opening = self.offered.find(flow)
        if opening is not None and body.holding in (Holding.YES, Holding.HALF_OPEN):
            if opening.agent == sender_name and flow in self.offered.unanswered:
                self.offered.record_delivery(flow, now)
                if not opening.even_if_busy:
                    self._record_free_slot_search(opening, True)
            return []
        return self.finder.handle_located(sender_name, body, now)

    def handle_locate(self, origin: int, body: Locate, now: float) -> Effects:
        """Answer another balancer with the agent to which a flow was last forwarded."""
        home = self.homes.get(body.flow) or self.handed_over.get(body.flow)
        member = None if home is None else self.fleet.find(home.agent)
        if member is None or self.fleet.is_unreachable(member, now):
            return [SendNotice(origin, Located(body.flow, Holding.NO))]
        return [SendNotice(origin, Located(body.flow, Holding.UNSURE, member.identity.name))]

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

    def tick(self, now: float, heard_until: float | None = None) -> Effects:
        """Handle overdue offers and searches, and retry deferred openings.

        Answers that arrived after `heard_until`, by default now, may not have been read yet.
        """
        effects: Effects = []
        heard_until = now if heard_until is None else heard_until
        self.offered.expire(now)
        for flow, opening in list(self.offered.unanswered.items()):
            if heard_until - opening.sent_at >= OFFER_TIMEOUT_S:
                effects += contain(
                    "offer-timeout",
                    partial(self._handle_offer_timeout, flow, opening, now),
                    partial(self.discard_flow, flow),
                )
        effects += self.finder.tick(now, heard_until)
        for flow, opening in self.deferred.take_due(now):
            effects += contain(
                "deferred-retry",
                partial(self._place_pending, opening, flow, now),
                partial(self.discard_flow, flow),
            )
        return effects

    def discard_flow(self, flow: FlowId) -> None:
        """Drop everything that is remembered of a flow; its next packet finds the home again."""
        self.offered.discard(flow)
        self.deferred.pop(flow, None)
        self.homes.pop(flow, None)
        self.finder.discard(flow)

    def _handle_offer_timeout(self, flow: FlowId, opening: PendingOpening, now: float) -> Effects:
        effects: Effects = []
        opening.was_unanswered = True
        if self.fleet.record_unanswered(opening.agent, now):
            effects.append(LogEvent("agent-unanswered", {"agent": opening.agent}))
        return effects + self._offer_elsewhere(flow, opening.agent, True, now)

    def _handle_opening(self, segment: Segment, flow: FlowId, now: float) -> Effects:
        if self.configuration.rules.version == 0:
            # It is placed as soon as the configuration is there.
            return self._defer_or_refuse(PendingOpening(segment, "", "", now), flow, now)
        service = self.configuration.choose_service(flow)
        if service is None:
            return self._refuse(segment, flow, "no-route", now)
        if len(self.offered) >= OFFERED_LIMIT:
            return self._refuse(segment, flow, "too-many", now, service)
        if segment.attempt == 0:
            return self._start_placement(segment, flow, service, set(), now)
        home = self.homes.get(flow)
        if flow in self.offered.unanswered:
            # The earlier copy is still being offered to agents.
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
        opening.free_slot_offers_limit = self.free_slot_searches.choose_limit(service)
        return self._place_pending(opening, flow, now)

    def _place_pending(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        if not self.configuration.is_complete():
            return self._defer_or_refuse(opening, flow, now)
        opening.service = opening.service or self.configuration.choose_service(flow) or ""
        if not opening.service:
            return self._refuse(opening.segment, flow, "no-route", now)
        if opening.offers_left <= 0:
            return self._stop_offering(opening, flow, now)
        member = None
        is_within_limit = len(opening.tried_agents) < opening.free_slot_offers_limit
        if not opening.even_if_busy and is_within_limit:
            member = self._choose_agent(opening.service, opening.tried_agents, now)
        if member is None:
            if not opening.even_if_busy:
                self._record_free_slot_search(opening, False)
            opening.even_if_busy = True
            member = self._choose_agent(opening.service, opening.rejecting_agents, now)
        if member is None:
            self.homes.pop(flow, None)
            return self._defer_or_refuse(opening, flow, now)
        return self._offer_to(member, opening, flow, now)

    def _stop_offering(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        self.homes.pop(flow, None)
        if opening.deferred_at is not None or not opening.was_unanswered:
            return self._defer_or_refuse(opening, flow, now)
        # The agents may be overloaded; the caller retransmits the opening.
        fields = {"flow": format_flow(flow), "service": opening.service, "reason": "unanswered"}
        return [LogEvent("opening-dropped", fields)]

    def _record_free_slot_search(self, opening: PendingOpening, found: bool) -> None:
        if opening.deferred_at is None:
            self.free_slot_searches.record(opening.service, opening.free_slot_offers_limit, found)

    def _choose_agent(self, service: str, excluded: set[str], now: float) -> Member | None:
        return choose_agent(
            self.fleet, self.configuration, service, excluded, now, self.get_remote_penalty_s()
        )

    def _offer_to(
        self, member: Member, opening: PendingOpening, flow: FlowId, now: float
    ) -> Effects:
        fields = {
            "flow": format_flow(flow),
            "service": opening.service,
            "agent": member.identity.name,
            "tried": len(opening.tried_agents),
            "insists": opening.even_if_busy,
            "busy": member.load.busy,
            "age_ms": member.compute_age_ms(now),
            "config": self.configuration.rules.version,
        }
        opening.agent = member.identity.name
        opening.tried_agents.add(opening.agent)
        opening.offers_left -= 1
        opening.sent_at = now
        member.flows_sent_since_report += 1
        self.offered.add(flow, opening)
        self.homes.remember(flow, opening.agent, opening.service, now)
        purpose = Purpose.DELIVER_EVEN_IF_BUSY if opening.even_if_busy else Purpose.DELIVER
        forward = self._forward(opening.segment, member, opening.service, purpose)
        return [LogEvent("flow-offered", fields), forward]

    def _defer_or_refuse(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        reason = "no-room" if opening.tried_agents else "no-agent"
        is_agent_expected = (
            now - self.started_at < STARTUP_GRACE_S
            or not self.configuration.is_complete()
            or is_agent_expected_soon(self.fleet, opening.service, now)
        )
        is_first_deferral = opening.deferred_at is None
        if opening.deferred_at is None:
            opening.deferred_at = now
        if not is_agent_expected or not self.deferred.has_room():
            return self._refuse(opening.segment, flow, reason, now, opening.service)
        if now - opening.deferred_at >= DEFERRED_TIMEOUT_S:
            fields = {"flow": format_flow(flow), "service": opening.service, "reason": "waited"}
            return [LogEvent("opening-dropped", fields)]
        opening.sent_at = now
        self.deferred[flow] = opening
        if not is_first_deferral:
            return []
        fields = {"flow": format_flow(flow), "service": opening.service, "reason": reason}
        return [LogEvent("opening-parked", fields)]

    def _offer_elsewhere(
        self, flow: FlowId, agent_name: str, rejected: bool, now: float
    ) -> Effects:
        opening = self.offered.find(flow)
        if opening is None or opening.agent != agent_name:
            return []
        self.offered.discard(flow)
        member = self.fleet.find(agent_name)
        rejected = rejected or opening.even_if_busy
        if member is not None:
            member.busy_until = now + BUSY_BACKOFF_S
        if member is not None and rejected:
            member.excluded_until = now + REJECTED_BACKOFF_S
        if rejected:
            opening.rejecting_agents.add(agent_name)
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
        can_refuse = (
            self.configuration.rules.version > 0 and now - self.started_at >= STARTUP_GRACE_S
        )
        if segment.attempt > 0 or not can_refuse:
            return [LogEvent("opening-dropped", fields)]
        return [LogEvent("flow-refused", fields), SendReset(segment)]

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
            return effects + self._offer_to(member, opening, search.flow, now)
        # The probed agent already has the first packet.
        segments = search.segments[1:] if name == search.probe_target else search.segments
        effects += [self._forward(item, member, service, Purpose.DELIVER) for item in segments]
        return effects

    def _handle_not_found(self, search: HomeSearch, now: float) -> Effects:
        segment = search.segments[-1]
        pending_agents = search.list_missing_agents()
        if search.has_only_openings():
            service = self.configuration.choose_service(search.flow)
            if service is not None:
                return self._start_placement(
                    segment, search.flow, service, set(pending_agents), now
                )
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

    def _forward(self, segment: Segment, member: Member, service: str, purpose: Purpose) -> Forward:
        mark = Mark(purpose, compute_service_tag(service), self.fleet.own.address)
        return Forward(member.identity.address, segment, mark)
