"""The process of an agent, which runs beside a backend server."""

import trio
from attrs import define, field

from fescueseam.exceptions import MessageError, StoreError
from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor, HeartbeatOutcome
from fescueseam.handshake.member import Availability, Role
from fescueseam.handshake.notices import Locate, LocateBatch, Report
from fescueseam.handshake.outages import OutageHolds
from fescueseam.handshake.report_intervals import MIN_AGENT_INTERVAL_S
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.platform_interface import Deregistration
from fescueseam_daemon.handshake.ticker import TICK_INTERVAL_S, Ticker
from fescueseam_daemon.handshake.web import Request, Response, build_readiness_response

SHUTDOWN_GRACE_S = 1.0
"""Longest time that a shutdown waits for accepted requests, in seconds: a full queue of short ones.
The backend server sends the remaining answers again to the next agent."""
STORE_WITHDRAW_TIMEOUT_S = 0.5
"""Longest time that a shutdown waits for the store to remove the agent's entry, in seconds."""
BACKEND_CHECK_DELAY_S = 0.25
"""Time without a heartbeat after the start after which it is checked once whether a backend server
runs, in seconds. Most servers are heard by then, and the others wait for the next heartbeat."""
BACKEND_CHECK_TIMEOUT_S = 0.2
"""Longest time that this check takes, in seconds."""
BALANCER_TIMEOUT_S = 2.0
"""Time without a message from any balancer after which the member list is read again, in
seconds."""


@define(eq=False)
class AgentProcess:
    """An agent's decisions and the node that runs them."""

    node: Node
    core: Agent = field(init=False)
    ticker: Ticker = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.node.settings
        now = trio.current_time()
        backend = BackendMonitor(
            settings.service, settings.heartbeat_interval_s, now, self.node.started_ms
        )
        self.core = Agent(
            self.node.fleet, backend, now, outage_holds=OutageHolds(settings.outage_hold_s)
        )
        self.ticker = Ticker(self.node, self.core, (self.node.edge_socket,))

    async def run(self) -> None:
        """Run until cancelled."""
        node, settings = self.node, self.node.settings
        assert settings.heartbeats is not None, "checked by check_values() for agents"
        node.start()
        async with trio.open_nursery() as nursery:
            for sock, place, receiver in (
                (node.edge_socket, "backend-packet", self._receive_backend_packet),
                (node.peer_socket, "caller-packet", self._receive_peer_packet),
                (node.notice_socket, "notice", self._receive_notice),
            ):
                nursery.start_soon(node.receive, sock, place, receiver)
            for listener, place, handler in (
                (settings.heartbeats, "heartbeat", self._handle_heartbeat_request),
                (settings.readiness, "readiness-request", self._handle_readiness_request),
            ):
                nursery.start_soon(node.serve, listener, place, handler)
            nursery.start_soon(node.serve_metrics)
            for place, loop in (
                ("membership", self._maintain_membership),
                ("registration", self._keep_registered),
                ("ticker", self.ticker.run),
                ("maintenance", self._run_periodic_tasks),
                ("backend-check", self._check_backend_after_start),
            ):
                nursery.start_soon(node.barrier.keep_running, place, loop)

    async def shut_down(self) -> None:
        """Stop admitting flows and wait for accepted ones to be answered."""
        await self._check_backend()
        self.node.execute(self.core.start_shutdown(trio.current_time()))
        with trio.move_on_after(SHUTDOWN_GRACE_S):
            while self.core.has_accepted_work(trio.current_time()):
                await trio.sleep(TICK_INTERVAL_S)
        if self.core.backend.compute_availability(trio.current_time()) is Availability.LEFT:
            await self._withdraw_from_store()

    async def _check_backend_after_start(self) -> None:
        await trio.sleep(BACKEND_CHECK_DELAY_S)
        await self._check_backend()
        self.node.execute(self.core.tick(trio.current_time()))

    async def _check_backend(self) -> None:
        """Find out whether a backend server runs, if none has been heard.

        A process that does not run holds no flows. Balancers reset no flow that an agent may hold,
        so they need to know this soon after a loss of power.
        """
        backend = self.node.settings.backend
        if backend is None or self.core.backend.last_heartbeat is not None:
            return
        with trio.move_on_after(BACKEND_CHECK_TIMEOUT_S), trio.socket.socket() as sock:
            try:
                await sock.connect((backend.address, backend.port))
            except ConnectionRefusedError:
                self.core.backend.record_refused_connection()
                self.node.log_event("backend-missing", {"address": str(backend)})
            except OSError as exc:
                self.node.log_event("backend-unchecked", {"cause": str(exc)})

    async def _withdraw_from_store(self) -> None:
        # The backend server has left, so balancers no longer need to find this agent.
        with trio.move_on_after(STORE_WITHDRAW_TIMEOUT_S):
            try:
                await self.node.store.withdraw(self.node.own.name)
                self.node.log_event("member-withdrawn")
            except StoreError as exc:
                self.node.store_status.record_failure(exc, trio.current_time())

    def _receive_peer_packet(self, data: bytes, sender: str) -> None:
        segment = self.node.decode_packet(data, sender)
        if segment is not None:
            self.ticker.execute(self.core.handle_packet(segment, trio.current_time()))

    def _receive_backend_packet(self, data: bytes, sender: str) -> None:
        segment = self.node.decode_packet(data, sender)
        if segment is not None:
            self.ticker.execute(self.core.handle_backend_packet(segment, trio.current_time()))

    def _receive_notice(self, data: bytes, sender: str) -> None:
        notice = self.node.decode_notice(data, sender)
        if notice is None:
            return
        now = trio.current_time()
        if isinstance(notice.body, Locate | LocateBatch):
            member = self.node.fleet.find(notice.sender)
            if member is not None:
                self._reply_to_question(member.identity.address, notice.body, now)
        elif isinstance(notice.body, Report):
            changed = self.node.record_report(notice.body, notice.sequence, now)
            self.ticker.execute(self.core.handle_report(notice.body, now))
            if changed or notice.body.requests_report:
                report = self.core.build_report(now)
                self.node.send_notice(notice.body.identity.address, report)

    def _reply_to_question(self, origin: int, body: Locate | LocateBatch, now: float) -> None:
        if isinstance(body, Locate):
            self.ticker.execute(self.core.handle_locate(origin, body, now))
        else:
            self.ticker.execute(self.core.handle_locate_batch(origin, body, now))

    async def _handle_heartbeat_request(self, request: Request) -> Response:
        now = trio.current_time()
        try:
            message = self.node.platform.decode_backend_request(
                request.method, request.path, request.body
            )
        except MessageError as exc:
            self.node.log_event(
                "heartbeat-malformed", {"reason": exc.kind.value, "cause": str(exc)}
            )
            return Response(400, b'{"error": "not a heartbeat"}')
        if isinstance(message, Deregistration):
            self.ticker.execute(self.core.handle_deregistration(message.name, now))
            return Response(200, b"{}")
        outcome, effects = self.core.handle_heartbeat(message, now)
        self.ticker.execute(effects)
        if outcome is HeartbeatOutcome.WRONG_SERVICE:
            fields = {"reason": outcome.value, "backend": message.name, "service": message.service}
            self.node.log_event("heartbeat-refused", fields)
            return Response(409, b'{"error": "another service"}')
        return Response(200, b"{}")

    async def _handle_readiness_request(self, request: Request) -> Response:
        return build_readiness_response(request, not self.core.admission.leaving)

    async def _maintain_membership(self) -> None:
        node = self.node
        node.request_reports(self._build_report_request(requests_members=True))
        await node.register()
        allow_stale = False
        while True:
            now = trio.current_time()
            recent_balancers = [
                member
                for member in node.fleet.list_balancers()
                if now - member.last_heard_at < BALANCER_TIMEOUT_S
            ]
            if not recent_balancers:
                members = await node.list_members(allow_stale)
                allow_stale = not allow_stale
                now = trio.current_time()
                balancers = [item for item in members if item.role is Role.BALANCER]
                for identity in balancers:
                    node.fleet.add_listed(identity, now)
                node.request_reports(self._build_report_request(), balancers)
                node.log_event("members-listed", {"count": len(balancers)})
            await trio.sleep(BALANCER_TIMEOUT_S / 2)

    async def _keep_registered(self) -> None:
        await self.node.keep_registered(self._has_backend)

    def _has_backend(self) -> bool:
        return self.core.backend.compute_availability(trio.current_time()) is not Availability.LEFT

    def _build_report_request(self, requests_members: bool = False) -> Report:
        return self.core.build_report(
            trio.current_time(), requests_report=True, requests_members=requests_members
        )

    async def _run_periodic_tasks(self) -> None:
        while True:
            await trio.sleep(MIN_AGENT_INTERVAL_S)
            now = trio.current_time()
            self.node.execute(self.core.tick(now))
            self.node.execute(self.core.report_to_due_balancers(MIN_AGENT_INTERVAL_S, now))
            self.node.log_reachability_changes(now)
