"""Random histories of notices, packets, lists and pauses: no decision may raise.

Load pattern: members that are listed but never heard, heard and lost, or restarted, whose notices
arrive in any order.
"""

import json

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor, Heartbeat
from fescueseam.handshake.balancer import Balancer
from fescueseam.handshake.effects import Effects, LogEvent, SendNotice
from fescueseam.handshake.homes import HOMES_LIMIT
from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, HomeHandover, Locate, Located, Report
from fescueseam.handshake.openings import DEFERRED_LIMIT
from fescueseam.handshake.rules import ActiveConfiguration, Outage
from fescueseam.handshake.searches import BUFFERED_SEGMENTS_LIMIT, SEARCHES_LIMIT
from fescueseam.handshake.segments import Mark, Purpose
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    INTAKE,
    RULES,
    build_backend_segment,
    build_flow,
    build_opening,
    build_segment,
)

BALANCERS, AGENTS = (1, 2, 3), (11, 12, 13, 14)
OWN_BALANCER, OWN_AGENT = 1, 11
numbers = st.integers(0, 3)
addresses = st.sampled_from((*BALANCERS, *AGENTS))


def build_identity(number: int, incarnation: int = 0) -> Identity:
    if number in BALANCERS:
        return Identity(f"balancer-{number}", Role.BALANCER, number, "a", "", incarnation)
    service = INTAKE if number == AGENTS[-1] else ALERTS
    data_centre = "b" if number % 2 else "a"
    return Identity(f"agent-{number}", Role.AGENT, number, data_centre, service, incarnation)


class NoticeHistory(RuleBasedStateMachine):
    """One balancer and one agent among members that are only notices."""

    @initialize()
    def start(self) -> None:
        self.now = 1000.0
        self.sequence = 0
        configuration = ActiveConfiguration()
        configuration.update_rules(RULES, 0.0)
        configuration.update_outage(Outage(1))
        own = build_identity(OWN_BALANCER)
        self.balancer = Balancer(Fleet(own), configuration, self.now)
        backend = BackendMonitor(ALERTS, 1.0, self.now)
        self.agent = Agent(Fleet(build_identity(OWN_AGENT)), backend, self.now)
        for number in (*BALANCERS, *AGENTS):
            self.list_member(number)
        for number in BALANCERS:
            self.report(number, 0, Availability.ABSENT, 0, False, False, 0)

    def check(self, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, LogEvent):
                json.dumps(effect.fields, allow_nan=False)
                assert effect.event != "handler-failed", effect.fields

    @rule(seconds=st.sampled_from((0.001, 0.02, 0.09, 0.3, 1.1, 2.5, 5.0, 61.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for core in (self.balancer, self.agent):
            self.check(core.tick(self.now))
            core.fleet.collect_reachability_changes(self.now)
            core.fleet.remove_expired(self.now)
            core.fleet.select_due_members(0.25, self.now)
            core.fleet.select_probed_members(self.now)
        self.balancer.expire(self.now, 60.0)

    @rule(number=addresses)
    def list_member(self, number: int) -> None:
        for core in (self.balancer, self.agent):
            core.fleet.add_listed(build_identity(number), self.now)
        self.balancer.has_member_list = True

    @rule(
        number=addresses,
        incarnation=numbers,
        availability=st.sampled_from(Availability),
        busy=numbers,
        cold=st.booleans(),
        leaving=st.booleans(),
        delay=st.integers(0, 5),
    )
    def report(
        self,
        number: int,
        incarnation: int,
        availability: Availability,
        busy: int,
        cold: bool,
        leaving: bool,
        delay: int,
    ) -> None:
        self.sequence += 1
        load = Load(availability, busy, busy, 1, 0.5, 0.02, cold, leaving)
        body = Report(build_identity(number, incarnation), load, 1, Outage(1))
        for core in (self.balancer, self.agent):
            core.fleet.record_report(body.identity, load, max(0, self.sequence - delay), self.now)
        self.check(self.agent.handle_report(body, self.now))

    @rule(number=numbers, attempt=numbers)
    def open_flow(self, number: int, attempt: int) -> None:
        self.check(
            self.balancer.handle_packet(build_opening(build_flow(number), attempt), self.now)
        )

    @rule(number=numbers, data_bytes=st.sampled_from((0, 100)), resets=st.booleans())
    def send_packet(self, number: int, data_bytes: int, resets: bool) -> None:
        segment = build_segment(build_flow(number), data_bytes=data_bytes, resets=resets)
        self.check(self.balancer.handle_packet(segment, self.now))

    @rule(number=numbers, sender=addresses, opens=st.booleans(), purpose=st.sampled_from(Purpose))
    def return_packet(self, number: int, sender: int, opens: bool, purpose: Purpose) -> None:
        mark = Mark(purpose, 0, OWN_BALANCER)
        segment = build_segment(build_flow(number), opens=opens, returned=True, mark=mark)
        self.check(self.balancer.handle_returned_packet(segment, sender, self.now))

    @rule(
        number=numbers,
        sender=addresses,
        holding=st.sampled_from(Holding),
        named=st.sampled_from((0, *BALANCERS, *AGENTS)),
    )
    def locate_answer(self, number: int, sender: int, holding: Holding, named: int) -> None:
        agent = build_identity(named).name if named else ""
        name = build_identity(sender).name
        self.balancer.fleet.record_message(name, self.now)
        body = Located(build_flow(number), holding, agent)
        self.check(self.balancer.handle_located(name, body, self.now))

    @rule(number=numbers, agent=st.sampled_from(AGENTS), opens=st.booleans())
    def hint(self, number: int, agent: int, opens: bool) -> None:
        """Let another balancer name an agent for the first packet of an unknown flow."""
        if opens:
            self.open_flow(number, 1)
        else:
            self.send_packet(number, 100, False)
        self.locate_answer(number, BALANCERS[1], Holding.UNSURE, agent)

    @rule(numbers=st.lists(numbers, max_size=4), agent=st.sampled_from(AGENTS))
    def receive_handover(self, numbers: list[int], agent: int) -> None:
        name = build_identity(agent).name
        homes = tuple(Located(build_flow(item), Holding.UNSURE, name) for item in numbers)
        self.balancer.handle_handover(HomeHandover(homes), self.now)

    @rule()
    def hand_over(self) -> None:
        effects = self.balancer.hand_over_homes(self.now)
        self.check(effects)
        receivers = {effect.address for effect in effects if isinstance(effect, SendNotice)}
        assert receivers <= set(BALANCERS) - {OWN_BALANCER}

    @rule(number=numbers, origin=addresses, service=st.sampled_from((ALERTS, INTAKE, "")))
    def locate(self, number: int, origin: int, service: str) -> None:
        body = Locate(build_flow(number), service)
        self.check(self.balancer.handle_locate(origin, body, self.now))
        self.check(self.agent.handle_locate(origin, body, self.now))

    @rule(number=numbers, opens=st.booleans(), purpose=st.sampled_from(Purpose), tag=st.booleans())
    def deliver(self, number: int, opens: bool, purpose: Purpose, tag: bool) -> None:
        mark = Mark(purpose, self.agent._service_tag if tag else 0, OWN_BALANCER)
        segment = build_segment(build_flow(number), opens=opens, data_bytes=100, mark=mark)
        self.check(self.agent.handle_packet(segment, self.now))

    @rule(
        number=numbers,
        opens=st.booleans(),
        finishes=st.booleans(),
        resets=st.booleans(),
        returned=st.booleans(),
    )
    def answer(
        self, number: int, opens: bool, finishes: bool, resets: bool, returned: bool
    ) -> None:
        flow = build_flow(number)
        changes = {"opens": opens, "finishes": finishes, "resets": resets, "returned": returned}
        build = build_segment if returned else build_backend_segment
        self.check(self.agent.handle_backend_packet(build(flow, **changes), self.now))

    @rule(
        start=numbers,
        sequence=numbers,
        availability=st.sampled_from((Availability.READY, Availability.DRAINING)),
        cold_left_s=st.sampled_from((0.0, 3.0)),
    )
    def heartbeat(
        self, start: int, sequence: int, availability: Availability, cold_left_s: float
    ) -> None:
        name = f"i-{start % 2}"
        beat = Heartbeat(name, start, sequence, ALERTS, availability, 1, cold_left_s)
        self.check(self.agent.handle_heartbeat(beat, self.now)[1])

    @rule(start=numbers)
    def deregister(self, start: int) -> None:
        self.check(self.agent.handle_deregistration(f"i-{start % 2}", self.now))

    @rule()
    def refuse_connection(self) -> None:
        self.agent.backend.record_refused_connection()

    @rule()
    def stop(self) -> None:
        self.check(self.agent.start_shutdown(self.now))

    @invariant()
    def bounds_hold(self) -> None:
        if not hasattr(self, "balancer"):
            return
        assert len(self.balancer.homes) <= HOMES_LIMIT
        assert len(self.balancer.handed_over) <= HOMES_LIMIT
        assert not set(self.balancer.offered.unanswered) & set(self.balancer.offered.delivered)
        assert not (self.agent.backend.is_missing(self.now) and self.agent.backend.last_heartbeat)
        assert len(self.balancer.deferred) <= DEFERRED_LIMIT
        assert len(self.balancer.searches) <= SEARCHES_LIMIT
        for search in self.balancer.searches.values():
            assert len(search.segments) <= BUFFERED_SEGMENTS_LIMIT
        busy = sum(
            entry.pending_request_at is not None for entry in self.agent.flows.flows.values()
        )
        assert self.agent.flows.busy == busy
        load = self.agent.describe_load(self.now)
        assert 0.0 <= load.utilisation <= 1.0


NoticeHistory.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
TestNoticeHistory = NoticeHistory.TestCase
