"""The process of a balancer, which runs on an entry instance."""

from collections.abc import Iterable
from functools import partial

import trio
from attrs import define, evolve, field

from fescueseam.exceptions import MessageError, StoreError
from fescueseam.handshake.balancer import Balancer
from fescueseam.handshake.containment import contain
from fescueseam.handshake.member import Identity, Member, Role
from fescueseam.handshake.notices import HomeHandover, Locate, Located, LocatedBatch, Report
from fescueseam.handshake.opening_placement import STARTUP_GRACE_S
from fescueseam.handshake.outages import Outage, OutageHolds
from fescueseam.handshake.reports import build_balancer_report
from fescueseam.handshake.rules import ActiveConfiguration, Rules
from fescueseam.handshake.segments import format_address, parse_address
from fescueseam.handshake.watchers import is_watcher
from fescueseam_daemon.handshake.duties import DutyMonitor
from fescueseam_daemon.handshake.node import HTTP_PORT_OFFSET, MAINTENANCE_INTERVAL_S, Node
from fescueseam_daemon.handshake.rules_codec import decode_rules, encode_rules
from fescueseam_daemon.handshake.settings import SocketAddress
from fescueseam_daemon.handshake.ticker import Ticker
from fescueseam_daemon.handshake.web import (
    NOT_FOUND,
    HttpClient,
    Request,
    Response,
    build_readiness_response,
)

REPORT_BATCH_INTERVAL_S = 0.05
"""Interval between batches of due reports, in seconds. Small batches do not fill a narrow link."""
WATCHER_CHECK_INTERVAL_S = 0.25
"""Interval at which a balancer that does not watch the store checks whether it has to, in
seconds."""
PEER_FETCH_TIMEOUT_S = 1.0
"""Timeout for fetching a configuration from another balancer, in seconds."""
PEER_FETCH_DELAY_S = 0.15
"""Delay before a newer configuration is fetched from another balancer, in seconds. It gives the
store time to deliver it."""
HANDOVER_INTERVAL_S = 0.05
"""Interval between the notices with which a stopping balancer hands over the homes of flows, in
seconds. A narrow link drops the end of a burst."""
SHUTDOWN_FORWARDING_S = 1.6
"""Time for which a stopping balancer goes on forwarding, in seconds. The fabric probes readiness
twice a second and stops sending flows after two failed probes."""
MIN_MEMBERS_REFRESH_INTERVAL_S = 0.4
"""Delay before the member list is read again for the first time, in seconds; it doubles with each
read. All instances start within 0.3 s."""
MAX_MEMBERS_REFRESH_INTERVAL_S = 3.2
"""Longest interval between reads of the member list, in seconds. Stale reads are cheap."""
HOME_RETENTION_S = 60.0
"""Time for which the home of an idle flow is remembered, in seconds: the longest life of an idle
flow."""


@define(eq=False)
class BalancerProcess:
    """A balancer's decisions and the node that runs them."""

    node: Node
    core: Balancer = field(init=False)
    configuration: ActiveConfiguration = field(factory=ActiveConfiguration)
    leaving: bool = False
    ticker: Ticker = field(init=False)
    duties: DutyMonitor = field(init=False)
    _fetching_version: int = 0
    """Version that is being fetched from another balancer; it is not fetched twice."""
    _nursery: trio.Nursery | None = None
    _has_listed_agents: bool = False
    """Whether a member list from the store has named an agent."""
    _has_balancer_report: bool = False
    """Whether another balancer has reported to this process."""

    def __attrs_post_init__(self) -> None:
        self.configuration.holds = OutageHolds(self.node.settings.outage_hold_s)
        self.core = Balancer(
            self.node.fleet,
            self.configuration,
            trio.current_time(),
            lambda: self.node.settings.remote_penalty_s,
        )
        sockets = (self.node.peer_socket, self.node.notice_socket)
        self.ticker = Ticker(self.node, self.core, sockets)
        self.duties = DutyMonitor(self.node, self.core, self._send_report)

    async def run(self) -> None:
        """Run until cancelled."""
        node, settings = self.node, self.node.settings
        node.start()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for sock, place, receiver in (
                (node.edge_socket, "caller-packet", self._receive_caller_packet),
                (node.peer_socket, "returned-packet", self._receive_returned_packet),
                (node.notice_socket, "notice", self._receive_notice),
            ):
                nursery.start_soon(node.receive, sock, place, receiver)
            peer_listener = SocketAddress(settings.address, settings.peer_port + HTTP_PORT_OFFSET)
            for listener, place, handler in (
                (settings.readiness, "readiness-request", self._handle_readiness_request),
                (peer_listener, "peer-request", self._handle_peer_request),
            ):
                nursery.start_soon(node.serve, listener, place, handler)
            nursery.start_soon(node.serve_metrics)
            for place, loop in (
                ("rules-watch", self._watch_rules),
                ("outage-watch", self._watch_outage),
                ("membership", self._maintain_membership),
                ("registration", node.keep_registered),
                ("ticker", self.ticker.run),
                ("maintenance", self._run_periodic_tasks),
                ("reports", self._send_due_reports),
                ("duties", self.duties.run),
            ):
                nursery.start_soon(node.barrier.keep_running, place, loop)

    async def shut_down(self) -> None:
        """Report not ready, and go on forwarding until the fabric sends no more flows here."""
        self.leaving = True
        self._send_report()
        forwards_until = trio.current_time() + SHUTDOWN_FORWARDING_S
        for effect in self.core.hand_over_homes(trio.current_time()):
            self.node.execute([effect])
            await trio.sleep(HANDOVER_INTERVAL_S)
        await trio.sleep_until(max(forwards_until, trio.current_time()))

    def is_ready(self) -> bool:
        """Return whether the fabric may send flows here."""
        return (
            not (self.leaving or self.duties.is_resting())
            and self.configuration.is_complete()
            and bool(self.node.fleet.members)
        )

    def _receive_caller_packet(self, data: bytes, sender: str) -> None:
        segment = self.node.decode_packet(data, sender)
        if segment is not None:
            now = trio.current_time()
            self.core.has_member_list = self.core.has_member_list or self._has_member_list(now)
            self.ticker.execute(
                contain(
                    "caller-packet",
                    partial(self.core.handle_packet, segment, now),
                    partial(self.core.discard_flow, segment.get_flow_from_caller()),
                )
            )

    def _receive_returned_packet(self, data: bytes, sender: str) -> None:
        segment = self.node.decode_packet(data, sender)
        if segment is None:
            return
        if not segment.returned:
            self.node.log_event("packet-malformed", {"reason": "not-returned", "sender": sender})
            return
        address = parse_address(sender)
        self.ticker.execute(
            contain(
                "returned-packet",
                partial(self.core.handle_returned_packet, segment, address, trio.current_time()),
                partial(self.core.discard_flow, segment.get_flow_from_caller()),
            )
        )

    def _receive_notice(self, data: bytes, sender: str) -> None:
        notice = self.node.decode_notice(data, sender)
        if notice is None:
            return
        now = trio.current_time()
        if isinstance(notice.body, Located | LocatedBatch):
            self.node.fleet.record_message(notice.sender, now)
            body = notice.body
            for answer in body.answers if isinstance(body, LocatedBatch) else (body,):
                self.ticker.execute(
                    contain(
                        "located",
                        partial(self.core.handle_located, notice.sender, answer, now),
                        partial(self.core.discard_flow, answer.flow),
                    )
                )
        elif isinstance(notice.body, Locate):
            member = self.node.fleet.find(notice.sender)
            if member is not None:
                address = member.identity.address
                self.ticker.execute(self.core.handle_locate(address, notice.body, now))
        elif isinstance(notice.body, HomeHandover):
            self.core.handle_handover(notice.body, now)
        elif isinstance(notice.body, Report):
            self._receive_report(notice.body, notice.sequence, now)

    def _receive_report(self, body: Report, sequence: int, now: float) -> None:
        node = self.node
        changed = node.record_report(body, sequence, now)
        if body.identity.role is Role.AGENT:
            node.execute(self.core.handle_agent_report(body.identity.name, now))
        if body.identity.role is Role.BALANCER:
            self._has_balancer_report = True
            self._apply_outage(body.outage, body.identity.name, body.outage_held_s)
            if body.rules_version > max(self.configuration.rules.version, self._fetching_version):
                self._fetching_version = body.rules_version
                assert self._nursery is not None, "run() has opened the nursery"
                fetch = partial(self._fetch_rules, body)
                self._nursery.start_soon(node.barrier.run_task, "rules-fetch", fetch)
        is_behind = body.rules_version < self.configuration.rules.version
        is_behind = is_behind or body.outage.order < self.configuration.outage.order
        if body.requests_report or (changed and is_behind):
            role = body.identity.role if body.requests_members else None
            node.send_notice(body.identity.address, self._build_report(requester_role=role))

    def _has_member_list(self, now: float) -> bool:
        grace_elapsed = now - self.core.started_at >= STARTUP_GRACE_S
        return self._has_listed_agents and (self._has_balancer_report or grace_elapsed)

    async def _maintain_membership(self) -> None:
        """Register this process and keep reading the member list, as members may start later."""
        node = self.node
        node.request_reports(self._build_report(requests_report=True, requests_members=True))
        members = await node.list_members(allow_stale=False)
        self._add_listed_members(members)
        await node.register()
        interval_s = MIN_MEMBERS_REFRESH_INTERVAL_S
        while True:
            await trio.sleep(interval_s)
            interval_s = min(2 * interval_s, MAX_MEMBERS_REFRESH_INTERVAL_S)
            self._add_listed_members(await node.list_members(allow_stale=True))

    def _add_listed_members(self, members: list[Identity]) -> None:
        node, now = self.node, trio.current_time()
        for identity in members:
            if node.fleet.add_listed(identity, now):
                node.log_event("member-listed", {"member": identity.name})
        # In a first start the agents register one after another. In later starts the store already
        # lists all of them.
        self._has_listed_agents = self._has_listed_agents or any(
            item.role is Role.AGENT for item in members
        )
        node.request_reports(self._build_report(requests_report=True), members)

    async def _watch_rules(self) -> None:
        node = self.node
        revision: int | None = None
        while True:
            watched_since = None if revision is None else trio.current_time()
            try:
                if revision is None:
                    snapshot = await node.store.read_rules()
                else:
                    await self._wait_until_watcher()
                    snapshot = await node.store.watch_rules(revision, node.store_watch_s)
            except StoreError as exc:
                revision = None
                await node.handle_store_failure(exc, watched_since)
                continue
            revision = snapshot.revision
            node.store_status.record_success(trio.current_time())
            if snapshot.rules is not None:
                self._apply_rules(snapshot.rules, "store")

    async def _watch_outage(self) -> None:
        node = self.node
        outage: Outage | None = None
        while True:
            watched_since = None if outage is None else trio.current_time()
            try:
                if outage is None:
                    outage = await node.store.read_outage()
                else:
                    await self._wait_until_watcher()
                    changes = await node.store.watch_outage(outage.revision, node.store_watch_s)
                    outage = changes.apply_to(outage)
            except StoreError as exc:
                outage = None
                await node.handle_store_failure(exc, watched_since)
                continue
            node.store_status.record_success(trio.current_time())
            self._apply_outage(outage, "store")

    async def _wait_until_watcher(self) -> None:
        while not is_watcher(self.node.fleet, trio.current_time()):
            await trio.sleep(WATCHER_CHECK_INTERVAL_S)

    def _apply_rules(self, rules: Rules, source: str) -> None:
        if self.configuration.update_rules(rules, trio.current_time()):
            fields = {"config": rules.version, "routes": len(rules.routes), "source": source}
            self.node.log_event("rules-taken", fields)
            fleet = self.node.fleet
            self._send_report(
                member
                for member in list(fleet.members.values())
                if member.identity.role is Role.BALANCER or fleet.is_near(member)
            )

    def _apply_outage(self, outage: Outage, source: str, hold_s: float = 0.0) -> None:
        previous, now = self.configuration.outage, trio.current_time()
        if not self.configuration.update_outage(outage, now, hold_s):
            return
        current = self.configuration.outage
        if current.held - previous.held:
            remaining_ms = round(self.configuration.holds.compute_remaining(now) * 1000)
            fields = {"held": sorted(current.held), "store_era": current.era}
            self.node.log_event("outage-held", {**fields, "for_ms": remaining_ms})
        if previous.data_centres != current.data_centres:
            fields = {
                "out": sorted(current.data_centres),
                "revision": current.revision,
                "store_era": current.era,
                "source": source,
            }
            self.node.log_event("outage-taken", fields)
            self._send_report()

    async def _fetch_rules(self, body: Report) -> None:
        """Fetch the configuration that another balancer has reported.

        A balancer that watches the store would have it by now if it reached the store.
        """
        await trio.sleep(PEER_FETCH_DELAY_S)
        try:
            is_behind = self.configuration.rules.version < body.rules_version
            if is_behind and not is_watcher(self.node.fleet, trio.current_time()):
                await self._read_rules_again()
            if self.configuration.rules.version < body.rules_version:
                await self._fetch_rules_from(body.identity)
        finally:
            if self._fetching_version == body.rules_version:
                self._fetching_version = 0

    async def _read_rules_again(self) -> None:
        node = self.node
        try:
            snapshot = await node.store.read_rules()
        except StoreError as exc:
            node.store_status.record_failure(exc, trio.current_time())
            return
        node.store_status.record_success(trio.current_time())
        if snapshot.rules is not None:
            self._apply_rules(snapshot.rules, "store")

    async def _fetch_rules_from(self, peer: Identity) -> None:
        port = self.node.settings.peer_port + HTTP_PORT_OFFSET
        client = HttpClient(format_address(peer.address), port)
        try:
            response = await client.request("GET", "/rules", None, PEER_FETCH_TIMEOUT_S)
            self._apply_rules(decode_rules(response.body), peer.name)
        except (StoreError, MessageError) as exc:
            self.node.log_event("rules-not-fetched", {"peer": peer.name, "cause": str(exc)})
        finally:
            await client.close()

    async def _handle_readiness_request(self, request: Request) -> Response:
        return build_readiness_response(request, self.is_ready())

    async def _handle_peer_request(self, request: Request) -> Response:
        if request.path == "/rules":
            return Response(200, encode_rules(self.configuration.rules))
        return NOT_FOUND

    async def _run_periodic_tasks(self) -> None:
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            now = trio.current_time()
            self.core.expire(now, HOME_RETENTION_S)
            if self.configuration.outage.held:
                self._apply_outage(self.configuration.outage, "hold")
            self.node.log_reachability_changes(now)

    async def _send_due_reports(self) -> None:
        while True:
            await trio.sleep(REPORT_BATCH_INTERVAL_S)
            fleet, now = self.node.fleet, trio.current_time()
            probed = fleet.select_probed_members(now)
            if probed:
                self._send_report(probed, requests_report=True)
            due = fleet.select_due_members(REPORT_BATCH_INTERVAL_S, now)
            if due:
                self._send_report(due)

    def _send_report(
        self, members: Iterable[Member] | None = None, requests_report: bool = False
    ) -> None:
        """Send a report to the given members, by default to all."""
        body, now = self._build_report(requests_report), trio.current_time()
        for member in list(self.node.fleet.members.values()) if members is None else members:
            member.last_report_sent_at = now
            self.node.send_notice(member.identity.address, body)

    def _build_report(
        self,
        requests_report: bool = False,
        requests_members: bool = False,
        requester_role: Role | None = None,
    ) -> Report:
        """Return a report; a reply to a request for members lists those of use to the requester."""
        report = build_balancer_report(
            self.node.fleet, self.configuration, self.leaving, requester_role, trio.current_time()
        )
        return evolve(report, requests_report=requests_report, requests_members=requests_members)
