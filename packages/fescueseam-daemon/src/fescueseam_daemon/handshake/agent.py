"""Run an agent beside a backend server."""

import trio
from attrs import define, field

from fescueseam.exceptions import MessageError, StoreError
from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor, HeartbeatOutcome
from fescueseam.handshake.members import MIN_AGENT_REPORT_INTERVAL_S, Availability
from fescueseam.handshake.notices import Locate, Report
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.platform_interface import Deregistration
from fescueseam_daemon.handshake.ticker import TICK_S, Ticker
from fescueseam_daemon.handshake.web import Request, Response, answer_readiness, serve_http

LEAVE_S = 0.15
"""Let requests at work be answered for this long before the end, in seconds; the backend server
sends the rest again to the next agent."""
WITHDRAW_S = 0.5
"""Wait this long for the store to remove the entry at the end, in seconds."""
REJOIN_S = 2.0
"""Read the list of members again if no balancer was heard for this long, in seconds."""


@define(eq=False)
class AgentProcess:
    """Own an agent's decisions and its node."""

    node: Node
    core: Agent = field(init=False)
    ticker: Ticker = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.node.settings
        now = trio.current_time()
        backend = BackendMonitor(settings.service, settings.heartbeat_interval_s, now)
        self.core = Agent(self.node.fleet, backend, now)
        self.ticker = Ticker(self.node, self.core)

    async def run(self) -> None:
        """Run until cancelled."""
        node, settings = self.node, self.node.settings
        assert settings.heartbeats is not None, "checked for agents"
        node.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.edge_packets.receive, self._take_answer)
            nursery.start_soon(node.peer_packets.receive, self._take_packet)
            nursery.start_soon(node.notices.receive, self._take_notice)
            for listener, answer in (
                (settings.heartbeats, self._answer_heartbeat),
                (settings.readiness, self._answer_readiness),
            ):
                nursery.start_soon(serve_http, listener.address, listener.port, answer)
            nursery.start_soon(self._join)
            nursery.start_soon(node.serve_metrics)
            nursery.start_soon(self.ticker.run)
            nursery.start_soon(self._report_often)

    async def leave(self) -> None:
        """Admit nothing more and wait a little for requests at work."""
        self.node.carry_out(self.core.leave(trio.current_time()))
        with trio.move_on_after(LEAVE_S):
            while self.core.flows.busy:
                await trio.sleep(TICK_S)
        if self.core.backend.availability is Availability.LEFT:
            await self._withdraw()

    async def _withdraw(self) -> None:
        # Its backend server has ended, so nobody should look for flows here any more.
        with trio.move_on_after(WITHDRAW_S):
            try:
                await self.node.store.withdraw(self.node.own.name)
                self.node.note("member-withdrawn")
            except StoreError as exc:
                self.node.store_link.note_failed(exc, trio.current_time())

    def _take_packet(self, data: bytes, sender: str) -> None:
        segment = self.node.decode(data, sender)
        if segment is not None:
            self.ticker.carry_out(self.core.handle_packet(segment, trio.current_time()))

    def _take_answer(self, data: bytes, sender: str) -> None:
        segment = self.node.decode(data, sender)
        if segment is not None:
            self.ticker.carry_out(self.core.handle_backend_packet(segment, trio.current_time()))

    def _take_notice(self, data: bytes, sender: str) -> None:
        notice = self.node.decode_notice(data, sender)
        if notice is None:
            return
        now = trio.current_time()
        if isinstance(notice.body, Locate):
            member = self.node.fleet.find(notice.sender)
            if member is not None:
                address = member.identity.address
                self.ticker.carry_out(self.core.handle_locate(address, notice.body, now))
        elif isinstance(notice.body, Report):
            news = self.node.take_report(notice.body, notice.sequence, now)
            self.ticker.carry_out(self.core.handle_report(notice.body, now))
            if news or notice.body.requests_report:
                report = self.core.build_report(now)
                self.node.tell(notice.body.identity.address, report)

    async def _answer_heartbeat(self, request: Request) -> Response:
        now = trio.current_time()
        try:
            said = self.node.surroundings.read_heartbeat(request.method, request.path, request.body)
        except MessageError as exc:
            self.node.note("heartbeat-malformed", {"reason": exc.kind.value, "cause": str(exc)})
            return Response(400, b'{"error": "not a heartbeat"}')
        if isinstance(said, Deregistration):
            self.ticker.carry_out(self.core.handle_deregistration(said.name, now))
            return Response(200, b"{}")
        outcome, effects = self.core.handle_heartbeat(said, now)
        self.ticker.carry_out(effects)
        if outcome is HeartbeatOutcome.WRONG_SERVICE:
            fields = {"reason": outcome.value, "backend": said.name, "service": said.service}
            self.node.note("heartbeat-refused", fields)
            return Response(409, b'{"error": "another service"}')
        return Response(200, b"{}")

    async def _answer_readiness(self, request: Request) -> Response:
        return answer_readiness(request, not self.core.leaving)

    async def _join(self) -> None:
        node = self.node
        node.greet(self._build_greeting())
        await node.register()
        stale = False
        while True:
            now = trio.current_time()
            heard = [
                member
                for member in node.fleet.list_balancers()
                if now - member.last_heard_at < REJOIN_S
            ]
            if not heard:
                members = await node.list_members(stale)
                stale = not stale
                now = trio.current_time()
                for identity in members:
                    node.fleet.add_listed(identity, now)
                node.greet(self._build_greeting(), members)
                node.note("members-listed", {"count": len(members)})
            await trio.sleep(REJOIN_S / 2)

    def _build_greeting(self) -> Report:
        return self.core.build_report(trio.current_time(), requests_report=True)

    async def _report_often(self) -> None:
        while True:
            await trio.sleep(MIN_AGENT_REPORT_INTERVAL_S)
            now = trio.current_time()
            self.node.carry_out(self.core.tick(now))
            self.node.carry_out(self.core.report_to_due_balancers(MIN_AGENT_REPORT_INTERVAL_S, now))
            self.node.note_presence(now)
