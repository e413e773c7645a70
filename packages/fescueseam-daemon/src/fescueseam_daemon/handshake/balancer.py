"""Run a balancer on an entry instance."""

from collections.abc import Iterable

import trio
from attrs import define, field

from fescueseam.exceptions import MessageError, StoreError
from fescueseam.handshake.balancer import STARTUP_GRACE_S, Balancer
from fescueseam.handshake.members import Identity, Load, Member, Role
from fescueseam.handshake.notices import Locate, Located, Report
from fescueseam.handshake.rules import ActiveConfiguration, Outage, Rules
from fescueseam.handshake.segments import format_address, parse_address
from fescueseam_daemon.handshake.node import HTTP_PORT, IDLE_TICK_S, Node
from fescueseam_daemon.handshake.platform_interface import OutageEvents
from fescueseam_daemon.handshake.rules_codec import decode_rules, encode_rules
from fescueseam_daemon.handshake.settings import Listener
from fescueseam_daemon.handshake.ticker import Ticker
from fescueseam_daemon.handshake.web import (
    NO_SUCH_PAGE,
    HttpClient,
    Request,
    Response,
    answer_readiness,
    serve_http,
)

REPORT_STEP_S = 0.05
"""Send a part of the reports this often, in seconds, so that they never fill a narrow link."""
WATCH_S = 5.0
"""Let the store hold a watch this long, in seconds; a connection that went silent is noticed
after it."""
FETCH_TIMEOUT_S = 1.0
"""Fetch a configuration from a peer within this time, in seconds."""
FETCH_DELAY_S = 0.15
"""Wait this long for the store before a newer configuration is fetched from a peer."""
HANDOVER_S = 1.6
"""Go on forwarding this long after the last ready answer, in seconds: the fabric asks twice a
second and takes two misses."""
FIRST_LOOK_S = 0.4
"""Read the list of members again after this time, in seconds: all machines start within 0.3 s."""
LOOK_EVERY_S = 3.2
"""Read the list of members at least this often, in seconds; the read may be stale and is cheap."""
HOMES_KEPT_S = 60.0
"""Remember the home of an idle flow this long, in seconds, its longest life."""


@define(eq=False)
class BalancerProcess:
    """Own a balancer's decisions and its node."""

    node: Node
    core: Balancer = field(init=False)
    configuration: ActiveConfiguration = field(factory=ActiveConfiguration)
    leaving: bool = False
    ticker: Ticker = field(init=False)
    _fetching: int = 0
    _nursery: trio.Nursery | None = None
    _has_list: bool = False
    """Tell that the store has listed agents."""
    _was_answered: bool = False
    """Tell that another balancer has said whom it knows."""

    def __attrs_post_init__(self) -> None:
        self.core = Balancer(self.node.fleet, self.configuration, trio.current_time())
        self.ticker = Ticker(self.node, self.core)

    async def run(self) -> None:
        """Run until cancelled."""
        node, settings = self.node, self.node.settings
        node.start()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(node.edge_packets.receive, self._take_packet)
            nursery.start_soon(node.peer_packets.receive, self._take_return)
            nursery.start_soon(node.notices.receive, self._take_notice)
            nursery.start_soon(self._follow_rules)
            nursery.start_soon(self._follow_outage)
            nursery.start_soon(self._join)
            for listener, answer in (
                (settings.readiness, self._answer_readiness),
                (Listener(settings.address, settings.peer_port + HTTP_PORT), self._answer_peer),
            ):
                nursery.start_soon(serve_http, listener.address, listener.port, answer)
            nursery.start_soon(node.serve_metrics)
            nursery.start_soon(self.ticker.run)
            nursery.start_soon(self._look_after)
            nursery.start_soon(self._report_in_turn)

    async def leave(self) -> None:
        """Say that this process is not ready, and go on until the fabric has noticed."""
        self.leaving = True
        self._report()
        await trio.sleep(HANDOVER_S)

    def is_ready(self) -> bool:
        """Tell whether the fabric may send flows here."""
        return (
            not self.leaving and self.configuration.is_complete() and bool(self.node.fleet.members)
        )

    def _take_packet(self, data: bytes, sender: str) -> None:
        segment = self.node.decode(data, sender)
        if segment is not None:
            now = trio.current_time()
            self.core.has_member_list = self.core.has_member_list or self._has_member_list(now)
            self.ticker.carry_out(self.core.handle_packet(segment, now))

    def _take_return(self, data: bytes, sender: str) -> None:
        segment = self.node.decode(data, sender)
        if segment is None:
            return
        if not segment.returned:
            self.node.note("packet-malformed", {"reason": "not-returned", "sender": sender})
            return
        address = parse_address(sender)
        self.ticker.carry_out(
            self.core.handle_returned_packet(segment, address, trio.current_time())
        )

    def _take_notice(self, data: bytes, sender: str) -> None:
        notice = self.node.decode_notice(data, sender)
        if notice is None:
            return
        now = trio.current_time()
        if isinstance(notice.body, Located):
            self.node.fleet.record_message(notice.sender, now)
            self.ticker.carry_out(self.core.handle_located(notice.sender, notice.body, now))
        elif isinstance(notice.body, Locate):
            member = self.node.fleet.find(notice.sender)
            if member is not None:
                address = member.identity.address
                self.ticker.carry_out(self.core.handle_locate(address, notice.body, now))
        elif isinstance(notice.body, Report):
            self._take_report(notice.body, notice.sequence, now)

    def _take_report(self, body: Report, sequence: int, now: float) -> None:
        node = self.node
        news = node.take_report(body, sequence, now)
        if body.identity.role is Role.BALANCER:
            self._was_answered = True
            self._take_outage(body.outage, body.identity.name)
            if body.rules_version > max(self.configuration.rules.version, self._fetching):
                self._fetching = body.rules_version
                assert self._nursery is not None, "notices are taken while the process runs"
                self._nursery.start_soon(self._fetch_rules, body)
        behind = body.rules_version < self.configuration.rules.version
        behind = behind or body.outage.revision < self.configuration.outage.revision
        if body.requests_report or (news and behind):
            answers = body.identity.role if body.requests_report else None
            node.tell(body.identity.address, self._build_report(answers=answers))

    def _has_member_list(self, now: float) -> bool:
        settled = now - self.core.started_at >= STARTUP_GRACE_S
        return self._has_list and (self._was_answered or settled)

    async def _join(self) -> None:
        """Find the other members, and go on looking: they may start later or be missed."""
        node = self.node
        node.greet(self._build_report(requests_report=True))
        members = await node.list_members(stale=False)
        self._take_listed(members)
        await node.register()
        pause_s = FIRST_LOOK_S
        while True:
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, LOOK_EVERY_S)
            self._take_listed(await node.list_members(stale=True))

    def _take_listed(self, members: list[Identity]) -> None:
        node, now = self.node, trio.current_time()
        for identity in members:
            if node.fleet.add_listed(identity, now):
                node.note("member-listed", {"member": identity.name})
        # The entries of a first start come while it goes on; later ones tell of every agent.
        self._has_list = self._has_list or any(item.role is Role.AGENT for item in members)
        node.greet(self._build_report(requests_report=True), members)

    async def _follow_rules(self) -> None:
        node = self.node
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    seen = await node.store.read_rules()
                else:
                    seen = await node.store.watch_rules(revision, WATCH_S)
            except StoreError as exc:
                revision = None
                await node.wait_for_store(exc)
                continue
            revision = seen.revision
            node.store_link.note_reached(trio.current_time())
            if seen.rules is not None:
                self._take_rules(seen.rules, "store")

    async def _follow_outage(self) -> None:
        node = self.node
        outage: Outage | None = None
        while True:
            try:
                if outage is None:
                    outage = await node.store.read_outage()
                else:
                    events = await node.store.watch_outage(outage.revision, WATCH_S)
                    outage = _apply_events(outage, events)
            except StoreError as exc:
                outage = None
                await node.wait_for_store(exc)
                continue
            node.store_link.note_reached(trio.current_time())
            self._take_outage(outage, "store")

    def _take_rules(self, rules: Rules, source: str) -> None:
        if self.configuration.update_rules(rules):
            fields = {"config": rules.version, "routes": len(rules.routes), "source": source}
            self.node.note("rules-taken", fields)
            self._report()

    def _take_outage(self, outage: Outage, source: str) -> None:
        was = self.configuration.outage.data_centres
        if self.configuration.update_outage(outage) and was != outage.data_centres:
            fields = {
                "out": sorted(outage.data_centres),
                "revision": outage.revision,
                "source": source,
            }
            self.node.note("outage-taken", fields)
            self._report()

    async def _fetch_rules(self, body: Report) -> None:
        await trio.sleep(FETCH_DELAY_S)
        if self.configuration.rules.version >= body.rules_version:
            return
        peer = body.identity
        port = self.node.settings.peer_port + HTTP_PORT
        client = HttpClient(format_address(peer.address), port)
        try:
            response = await client.request("GET", "/rules", None, FETCH_TIMEOUT_S)
            self._take_rules(decode_rules(response.body), peer.name)
        except (StoreError, MessageError) as exc:
            self.node.note("rules-not-fetched", {"peer": peer.name, "cause": str(exc)})
        finally:
            self._fetching = 0
            await client.close()

    async def _answer_readiness(self, request: Request) -> Response:
        return answer_readiness(request, self.is_ready())

    async def _answer_peer(self, request: Request) -> Response:
        if request.path == "/rules":
            return Response(200, encode_rules(self.configuration.rules))
        return NO_SUCH_PAGE

    async def _look_after(self) -> None:
        while True:
            await trio.sleep(IDLE_TICK_S)
            now = trio.current_time()
            self.core.expire_idle_homes(now, HOMES_KEPT_S)
            self.node.note_presence(now)

    async def _report_in_turn(self) -> None:
        while True:
            await trio.sleep(REPORT_STEP_S)
            due = self.node.fleet.select_due_members(REPORT_STEP_S, trio.current_time())
            if due:
                self._report(due)

    def _report(self, members: Iterable[Member] | None = None) -> None:
        """Report to some members, or at once to all."""
        body, now = self._build_report(), trio.current_time()
        for member in list(self.node.fleet.members.values()) if members is None else members:
            member.last_report_sent_at = now
            self.node.tell(member.identity.address, body)

    def _build_report(self, requests_report: bool = False, answers: Role | None = None) -> Report:
        """Return a report; one that answers names the members that the asking role talks to."""
        now = trio.current_time()
        fleet = self.node.fleet
        known_members = tuple(
            member.identity
            for member in fleet.members.values()
            if answers is not None
            and (answers is Role.BALANCER or member.identity.role is Role.BALANCER)
            and not fleet.is_unreachable(member, now)
        )
        return Report(
            self.node.own,
            Load(leaving=self.leaving),
            self.configuration.rules.version,
            self.configuration.outage,
            tuple(
                (service.name, service.cold_openings_per_s)
                for service in self.configuration.rules.services
            ),
            known_members,
            requests_report,
        )


def _apply_events(outage: Outage, events: OutageEvents) -> Outage:
    remaining = (outage.data_centres | set(events.added)) - set(events.removed)
    return Outage(max(outage.revision, events.revision), frozenset(remaining))
