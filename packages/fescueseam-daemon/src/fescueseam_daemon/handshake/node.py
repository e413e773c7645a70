"""Sockets, clients and effects that balancer and agent processes share."""

import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import trio
from attrs import define, field

from fescueseam.exceptions import (
    ErrorKind,
    MessageError,
    PacketError,
    StoreEraChangedError,
    StoreError,
)
from fescueseam.handshake.containment import build_failure_event
from fescueseam.handshake.effects import (
    Deliver,
    Effect,
    Forward,
    LogEvent,
    Observe,
    SendNotice,
    SendReset,
    SendToCaller,
)
from fescueseam.handshake.member import Identity
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Notice, NoticeBody, Report
from fescueseam.handshake.segments import Segment, format_address, parse_address
from fescueseam.retries.backoff import compute_backoff
from fescueseam_daemon.failure_barrier import FailureBarrier
from fescueseam_daemon.handshake.dependency_status import DependencyStatus
from fescueseam_daemon.handshake.events import EventLog
from fescueseam_daemon.handshake.notice_codec import NoticeCodec
from fescueseam_daemon.handshake.platform_interface import (
    WATCH_MARGIN_S,
    ControlStore,
    Platform,
)
from fescueseam_daemon.handshake.settings import HandshakeSettings, SocketAddress
from fescueseam_daemon.handshake.udp import UdpSocket
from fescueseam_daemon.handshake.web import (
    INTERNAL_ERROR,
    NOT_FOUND,
    Handler,
    Request,
    Response,
    serve_http,
)

NOTICE_PORT_OFFSET, PACKET_PORT_OFFSET, HTTP_PORT_OFFSET = 0, 1, 2
"""Offsets from `peer_port` of the ports that processes use among themselves."""
MAINTENANCE_INTERVAL_S = 0.25
"""Interval of periodic maintenance, in seconds."""
RECENTLY_HEARD_S = 2.2
"""Shortest time without a message after which a member is asked for a report, in seconds: two of
the longest intervals of near members and a margin."""
MAX_STORE_WATCH_S = 5.0
"""Longest time for which the store is asked to hold a watch, in seconds."""
CHANGE_SPREAD_S = 0.7
"""Time for reading a change from the store and passing it on to the other balancers, in seconds."""
MIN_STORE_BACKOFF_S = 0.25
"""Shortest delay before a failed call of the store is retried, in seconds."""
MAX_STORE_BACKOFF_S = 2.0
"""Longest delay before a failed call of the store is retried, in seconds. Entries have to be back
about two seconds after the store's recovery."""
REGISTRATION_CHECK_INTERVAL_S = 1.0
"""Interval at which a process without a need for its entry checks whether it has one again, in
seconds."""


@define(eq=False)
class Node:
    """Sockets and clients of one process."""

    settings: HandshakeSettings
    platform: Platform
    events: EventLog
    rng: random.Random
    own: Identity
    started_ms: int | None = None
    """Wall clock at the start of the process, in milliseconds; None if it is not known."""
    store_era: int | None = None
    """Latest era of the store that this process knows of; None before the first."""
    registered_era: int | None = None
    """Store era in which this process's entry was last written or found; None before the first."""
    reported_member_count: int = 0
    """Number of members in the last report of a balancer that named it."""
    _era_changed: trio.Event = field(factory=trio.Event)
    fleet: Fleet = field(init=False)
    store: ControlStore = field(init=False)
    store_status: DependencyStatus = field(init=False)
    notice_socket: UdpSocket = field(init=False)
    """Socket for notices between processes."""
    peer_socket: UdpSocket = field(init=False)
    """Socket for packets between processes."""
    edge_socket: UdpSocket = field(init=False)
    """Socket for packets of callers (balancers) or of the backend server (agents)."""
    barrier: FailureBarrier = field(init=False)
    notice_codec: NoticeCodec = field(init=False)
    own_gauges: dict[str, float] = field(factory=dict)
    """Gauges of the role of this process."""

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.fleet = Fleet(self.own)
        self.barrier = FailureBarrier(self._record_failure)
        self.notice_codec = NoticeCodec(self.own)
        self.notice_codec.set_keys(settings.keys)
        self.store = self.platform.open_store(settings.store.address, settings.store.port)
        self.store.on_unreadable = self._log_unreadable_entries
        self.store.on_era = partial(self.record_store_era, source="store")
        self.store_status = DependencyStatus("store", self.events)
        self.notice_socket = UdpSocket(settings.address, settings.peer_port + NOTICE_PORT_OFFSET)
        self.peer_socket = UdpSocket(settings.address, settings.peer_port + PACKET_PORT_OFFSET)
        edge = settings.answers or settings.packets
        self.edge_socket = UdpSocket(edge.address, edge.port)

    @property
    def store_watch_s(self) -> float:
        """Return the time for which the store is asked to hold a watch, in seconds.

        A watch on a silent connection is noticed, and its change read and passed on, within the
        limit of the settings.
        """
        limit_s = self.settings.store_silence_limit_s
        return min(MAX_STORE_WATCH_S, limit_s - WATCH_MARGIN_S - CHANGE_SPREAD_S)

    @property
    def sockets(self) -> tuple[UdpSocket, ...]:
        """Return the UDP sockets."""
        return (self.notice_socket, self.peer_socket, self.edge_socket)

    def start(self) -> None:
        """Bind the UDP sockets."""
        for sock in self.sockets:
            sock.start()

    async def close(self) -> None:
        """Close all sockets and connections."""
        for sock in self.sockets:
            sock.close()
        with trio.move_on_after(0.1) as scope:
            scope.shield = True
            await self.store.close()

    def log_event(self, event: str, fields: dict[str, Any] | None = None) -> None:
        """Count and log an event."""
        self.events.log_event(event, fields or {}, trio.current_time())

    def execute(self, effects: Iterable[Effect]) -> None:
        """Execute effects in order; one that fails does not keep back the others."""
        for effect in effects:
            self.barrier.run("effect", self._execute, effect)

    async def receive(
        self, sock: UdpSocket, place: str, handle: Callable[[bytes, str], None]
    ) -> None:
        """Call `handle` with each datagram of a socket, until cancelled."""
        await sock.receive(partial(self.barrier.run, place, handle))

    async def serve(self, listener: SocketAddress, place: str, handler: Handler) -> None:
        """Serve HTTP requests until cancelled; reply 500 to one whose handling fails."""

        async def handle(request: Request) -> Response:
            try:
                return await handler(request)
            except MemoryError:
                raise
            except Exception as exc:
                self._record_failure(place, exc)
                return INTERNAL_ERROR

        await serve_http(listener.address, listener.port, handle)

    def decode_packet(self, data: bytes, sender: str) -> Segment | None:
        """Decode a packet; log a malformed one and return None."""
        try:
            return self.platform.packets.decode(data)
        except PacketError as exc:
            fields = {"reason": exc.kind.value, "sender": sender, "cause": str(exc)}
            self.log_event("packet-malformed", fields)
            return None

    def decode_notice(self, data: bytes, sender: str) -> Notice | None:
        """Decode and count a notice; log one that is rejected and return None."""
        try:
            notice = self.notice_codec.decode(data)
            self.events.count_message("received", type(notice.body).__name__.lower(), len(data))
            return notice
        except MessageError as exc:
            fields = {"reason": exc.kind.value, "sender": sender, "cause": str(exc)}
            is_malformed = exc.kind is ErrorKind.MALFORMED_MESSAGE
            self.log_event("notice-malformed" if is_malformed else "notice-rejected", fields)
            return None

    def send_notice(self, address: int, body: NoticeBody) -> None:
        """Send a notice to the process at an address."""
        port = self.settings.peer_port + NOTICE_PORT_OFFSET
        data = self.notice_codec.encode(body)
        self.events.count_message("sent", type(body).__name__.lower(), len(data))
        self.notice_socket.send(data, format_address(address), port)

    def record_report(self, body: Report, sequence: int, now: float) -> bool:
        """Record a report and the members that it names; return whether anything changed."""
        if body.outage.revision:
            self.record_store_era(body.outage.era, body.identity.name)
        self.reported_member_count = body.member_count or self.reported_member_count
        changed = self.fleet.record_report(body.identity, body.load, sequence, now)
        if changed:
            fields = {
                "member": body.identity.name,
                "role": body.identity.role.value,
                "address": format_address(body.identity.address),
                "availability": body.load.availability.value,
                "leaving": body.load.leaving,
                "sequence": sequence,
            }
            self.log_event("member-state", fields)
        for identity in body.known_members:
            if self.fleet.add_listed(identity, now):
                self.log_event("member-named", {"member": identity.name, "by": body.identity.name})
                changed = True
        return changed

    def log_reachability_changes(self, now: float) -> None:
        """Log each member that became unreachable or reachable again, or that was removed."""
        for member in self.fleet.collect_reachability_changes(now):
            silence_s = now - max(member.last_heard_at, member.listed_at)
            fields = {"member": member.identity.name, "unheard_ms": round(silence_s * 1000)}
            self.log_event("member-gone" if member.reported_unreachable else "member-back", fields)
        for identity in self.fleet.remove_expired(now):
            self.log_event("member-forgotten", {"member": identity.name})

    def request_reports(self, report: Report, listed_members: Iterable[Identity] = ()) -> None:
        """Send a report request to seeds and listed members that were not heard recently."""
        now = trio.current_time()
        addresses = {parse_address(seed.address) for seed in self.settings.seeds}
        addresses |= {identity.address for identity in listed_members}
        addresses.discard(self.own.address)
        recently_heard = {
            member.identity.address
            for member in self.fleet.members.values()
            if now - member.last_heard_at
            < max(RECENTLY_HEARD_S, self.fleet.compute_report_timeout(member))
        }
        for address in sorted(addresses - recently_heard):
            self.send_notice(address, report)

    def record_store_era(self, era: int, source: str) -> None:
        """Record the store era of an answer or of a report."""
        previous = self.store_era
        if previous is not None and era <= previous:
            return
        self.store_era = era
        if era:
            self.store.observe_era(era)
        if previous is not None:
            self.log_event("store-era-changed", {"from": previous, "to": era, "source": source})
        self._era_changed.set()
        self._era_changed = trio.Event()

    async def register(self) -> bool:
        """Write this process's entry to the store, and retry until it succeeds.

        Return whether the stored entry changed.
        """
        while True:
            try:
                has_changed = await self.store.register(self.own)
            except StoreError as exc:
                await self.handle_store_failure(exc)
                continue
            self.store_status.record_success(trio.current_time())
            self.log_event("member-registered", {"address": self.settings.advertised})
            # An answer of an earlier era would have been rejected.
            self.registered_era = self.store_era or 0
            return has_changed

    async def keep_registered(self, is_needed: Callable[[], bool] = lambda: True) -> None:
        """Write this process's entry again in each later era of the store, until cancelled.

        The processes spread their calls over a time in proportion to their number. While the
        entry is not needed, it is not written.
        """
        while True:
            while self.registered_era is None or (self.store_era or 0) <= self.registered_era:
                await self._era_changed.wait()
            member_count = max(self.reported_member_count, len(self.fleet.members) + 1)
            spread_s = member_count / self.settings.store_rewrites_per_s
            await trio.sleep(self.rng.uniform(0.0, spread_s))
            while not is_needed():
                await trio.sleep(REGISTRATION_CHECK_INTERVAL_S)
            if await self.register():
                fields = {"store_era": self.registered_era}
                self.log_event("member-rewritten", fields)

    async def list_members(self, allow_stale: bool) -> list[Identity]:
        """Return the registered members; retry until the store replies."""
        while True:
            try:
                members = await self.store.list_members(allow_stale)
            except StoreError as exc:
                await self.handle_store_failure(exc)
                continue
            self.store_status.record_success(trio.current_time())
            return members

    async def handle_store_failure(
        self, exc: StoreError, watched_since: float | None = None
    ) -> None:
        """Record a failed call of the store and wait for the backoff.

        The backoff after a watch counts from its start: one that ran into its timeout is followed
        by a read at once, as a change may have been missed. A change of the store's era is no
        failure.
        """
        if isinstance(exc, StoreEraChangedError):
            return
        self.store_status.record_failure(exc, trio.current_time())
        wait_s = compute_backoff(
            self.store_status.consecutive_failures,
            self.rng,
            MIN_STORE_BACKOFF_S,
            MAX_STORE_BACKOFF_S,
        )
        since = trio.current_time() if watched_since is None else watched_since
        await trio.sleep_until(since + max(wait_s, MIN_STORE_BACKOFF_S))

    async def serve_metrics(self) -> None:
        """Serve the metrics over HTTP until cancelled."""

        async def handle(request: Request) -> Response:
            if request.path.partition("?")[0] != "/metrics":
                return NOT_FOUND
            body = self.events.render(self.collect_gauges())
            return Response(200, body, "text/plain; version=0.0.4; charset=utf-8")

        listener = SocketAddress(self.settings.address, self.settings.metrics_port)
        await self.serve(listener, "metrics-request", handle)

    def collect_gauges(self) -> dict[str, float]:
        """Return the values of the gauges."""
        return {
            "members": float(len(self.fleet.members)),
            "datagrams_not_sent": float(sum(sock.unsent_datagrams for sock in self.sockets)),
            **self.own_gauges,
        }

    def describe_messages(self) -> dict[str, int]:
        """Return the number of messages by direction and body, for the log."""
        return {"-".join(labels): count for labels, count in sorted(self.events.messages.items())}

    def _log_unreadable_entries(self, kind: str, count: int) -> None:
        self.log_event("store-entries-skipped", {"kind": kind, "count": count})

    def _record_failure(self, place: str, exc: Exception) -> None:
        event = build_failure_event(place, exc)
        self.log_event(event.event, event.fields)

    def _execute(self, effect: Effect) -> None:
        packets = self.platform.packets
        if isinstance(effect, Forward):
            data = packets.set_mark(effect.segment, effect.mark, effect.returned)
            port = self.settings.peer_port + PACKET_PORT_OFFSET
            self.events.count_message("sent", "packet", len(data))
            self.peer_socket.send(data, format_address(effect.address), port)
        elif isinstance(effect, Deliver):
            backend = self.settings.backend
            assert backend is not None, "checked by check_values() for agents"
            data = packets.set_mark(effect.segment, effect.segment.mark)
            self.edge_socket.send(data, backend.address, backend.port)
        elif isinstance(effect, SendToCaller):
            caller = format_address(effect.segment.destination)
            data = packets.clear_mark(effect.segment)
            self.edge_socket.send(data, caller, self.settings.packets.port)
        elif isinstance(effect, SendReset):
            caller = format_address(effect.segment.source)
            data = packets.build_reset(effect.segment)
            self.edge_socket.send(data, caller, self.settings.packets.port)
        elif isinstance(effect, SendNotice):
            self.send_notice(effect.address, effect.body)
        elif isinstance(effect, LogEvent):
            self.log_event(effect.event, effect.fields)
        elif isinstance(effect, Observe):
            self.events.observe(effect.metric, effect.service, effect.value)
