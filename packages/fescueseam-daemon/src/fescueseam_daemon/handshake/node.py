"""Carry out steering decisions; balancers and agents share this."""

import random
from collections.abc import Iterable
from typing import Any

import trio
from attrs import define, field

from fescueseam.exceptions import MessageError, PacketError, StoreError
from fescueseam.handshake.codec import decode_notice, encode_notice
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
from fescueseam.handshake.members import Fleet, Identity
from fescueseam.handshake.notices import Notice, NoticeBody, Report
from fescueseam.handshake.segments import Segment, format_address, parse_address
from fescueseam.retries.backoff import compute_backoff
from fescueseam_daemon.handshake.events import Events
from fescueseam_daemon.handshake.platform_interface import ControlStore, Surroundings
from fescueseam_daemon.handshake.settings import SteeringSettings
from fescueseam_daemon.handshake.udp import UdpLink
from fescueseam_daemon.handshake.web import NO_SUCH_PAGE, Request, Response, serve_http

NOTICE_PORT, PACKET_PORT, HTTP_PORT = 0, 1, 2
"""Number the ports for processes among themselves, from the first one."""
IDLE_TICK_S = 0.25
"""Look after everything else this often, in seconds."""
HEARD_S = 2.2
"""Greet nobody who was heard within this time, in seconds: two of the longest intervals."""
STORE_BACKOFF_S = 0.25
STORE_BACKOFF_CAP_S = 2.0
"""Wait at most this long before the store is called again: entries have to be back about two
seconds after its return."""


@define
class Link:
    """Note whether a dependency answers, and write a line when that changes."""

    name: str
    events: Events
    reached: bool | None = None
    failures: int = 0

    def note_reached(self, now: float) -> None:
        """Note a call that was answered."""
        self.failures = 0
        if self.reached is False:
            self.events.note("dependency-regained", {"dependency": self.name}, now)
        self.reached = True

    def note_failed(self, exc: Exception, now: float) -> None:
        """Note a call that failed."""
        self.failures += 1
        fields = {"dependency": self.name, "cause": str(exc), "failures": self.failures}
        event = "dependency-lost" if self.reached is not False else "dependency-still-lost"
        self.events.note(event, fields, now)
        self.reached = False


@define(eq=False)
class Node:
    """Own the sockets and the clients of one process."""

    settings: SteeringSettings
    surroundings: Surroundings
    events: Events
    rng: random.Random
    own: Identity
    fleet: Fleet = field(init=False)
    store: ControlStore = field(init=False)
    store_link: Link = field(init=False)
    notices: UdpLink = field(init=False)
    peer_packets: UdpLink = field(init=False)
    edge_packets: UdpLink = field(init=False)
    _sequence: int = 0
    _encoded: tuple[NoticeBody | None, bytes] = (None, b"")

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.fleet = Fleet(self.own)
        self.store = self.surroundings.open_store(settings.store.address, settings.store.port)
        self.store_link = Link("store", self.events)
        self.notices = UdpLink(settings.address, settings.peer_port + NOTICE_PORT)
        self.peer_packets = UdpLink(settings.address, settings.peer_port + PACKET_PORT)
        edge = settings.answers or settings.packets
        self.edge_packets = UdpLink(edge.address, edge.port)

    def start(self) -> None:
        """Bind every UDP socket."""
        for link in (self.notices, self.peer_packets, self.edge_packets):
            link.start()

    async def close(self) -> None:
        """Close every socket and connection."""
        for link in (self.notices, self.peer_packets, self.edge_packets):
            link.close()
        with trio.move_on_after(0.1) as scope:
            scope.shield = True
            await self.store.close()

    def note(self, event: str, fields: dict[str, Any] | None = None) -> None:
        """Count an event and write its line."""
        self.events.note(event, fields or {}, trio.current_time())

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Do what a decision asks for, in order."""
        for effect in effects:
            self._carry_out(effect)

    def decode(self, data: bytes, sender: str) -> Segment | None:
        """Return a packet; one that cannot be used is counted and noted."""
        try:
            return self.surroundings.packets.decode(data)
        except PacketError as exc:
            fields = {"reason": exc.kind.value, "sender": sender, "cause": str(exc)}
            self.note("packet-malformed", fields)
            return None

    def decode_notice(self, data: bytes, sender: str) -> Notice | None:
        """Return a notice; one that cannot be used is counted and noted."""
        try:
            return decode_notice(data)
        except MessageError as exc:
            fields = {"reason": exc.kind.value, "sender": sender, "cause": str(exc)}
            self.note("notice-malformed", fields)
            return None

    def tell(self, address: int, body: NoticeBody) -> None:
        """Send a notice; one body for many receivers is encoded once."""
        if self._encoded[0] is not body:
            self._sequence += 1
            notice = Notice(self.own.name, self.own.incarnation, self._sequence, body)
            self._encoded = (body, encode_notice(notice))
        port = self.settings.peer_port + NOTICE_PORT
        self.notices.send(self._encoded[1], format_address(address), port)

    def take_report(self, body: Report, sequence: int, now: float) -> bool:
        """Take who the sender is and whom it knows; return whether that is news."""
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
            self.note("member-state", fields)
        for identity in body.known_members:
            if self.fleet.add_listed(identity, now):
                self.note("member-named", {"member": identity.name, "by": body.identity.name})
                changed = True
        return changed

    def note_presence(self, now: float) -> None:
        """Write a line for each member that is gone, back or forgotten."""
        for member in self.fleet.collect_reachability_changes(now):
            unheard_s = now - max(member.last_heard_at, member.listed_at)
            fields = {"member": member.identity.name, "unheard_ms": round(unheard_s * 1000)}
            self.note("member-gone" if member.reported_unreachable else "member-back", fields)
        for identity in self.fleet.remove_expired(now):
            self.note("member-forgotten", {"member": identity.name})

    def greet(self, report: Report, listed: Iterable[Identity] = ()) -> None:
        """Report to seeds and listed members that were not heard lately, to get their reports."""
        now = trio.current_time()
        addresses = {parse_address(seed.address) for seed in self.settings.seeds}
        addresses |= {identity.address for identity in listed}
        addresses.discard(self.own.address)
        heard = {
            member.identity.address
            for member in self.fleet.members.values()
            if now - member.last_heard_at < HEARD_S
        }
        for address in sorted(addresses - heard):
            self.tell(address, report)

    async def register(self) -> None:
        """Write the own entry into the store; try again until it is there."""
        while True:
            try:
                await self.store.register(self.own)
            except StoreError as exc:
                await self.wait_for_store(exc)
                continue
            self.store_link.note_reached(trio.current_time())
            self.note("member-registered", {"address": self.settings.advertised})
            return

    async def list_members(self, stale: bool) -> list[Identity]:
        """Return the registered members; try again until the store answers."""
        while True:
            try:
                members = await self.store.list_members(stale)
            except StoreError as exc:
                await self.wait_for_store(exc)
                continue
            self.store_link.note_reached(trio.current_time())
            return members

    async def wait_for_store(self, exc: StoreError) -> None:
        """Note a failed call and wait before the next one."""
        self.store_link.note_failed(exc, trio.current_time())
        wait_s = compute_backoff(
            self.store_link.failures, self.rng, STORE_BACKOFF_S, STORE_BACKOFF_CAP_S
        )
        await trio.sleep(max(wait_s, STORE_BACKOFF_S))

    async def serve_metrics(self) -> None:
        """Serve the metrics address."""

        async def handle(request: Request) -> Response:
            if request.path.partition("?")[0] != "/metrics":
                return NO_SUCH_PAGE
            body = self.events.render(self.describe_gauges())
            return Response(200, body, "text/plain; version=0.0.4; charset=utf-8")

        await serve_http(self.settings.address, self.settings.metrics_port, handle)

    def describe_gauges(self) -> dict[str, float]:
        """Return the gauges that every process has."""
        links = (self.notices, self.peer_packets, self.edge_packets)
        return {
            "members": float(len(self.fleet.members)),
            "datagrams_not_sent": float(sum(link.failures for link in links)),
        }

    def _carry_out(self, effect: Effect) -> None:
        packets = self.surroundings.packets
        if isinstance(effect, Forward):
            data = packets.set_mark(effect.segment, effect.mark, effect.returned)
            port = self.settings.peer_port + PACKET_PORT
            self.peer_packets.send(data, format_address(effect.address), port)
        elif isinstance(effect, Deliver):
            backend = self.settings.backend
            assert backend is not None, "only agents deliver"
            data = packets.set_mark(effect.segment, effect.segment.mark)
            self.edge_packets.send(data, backend.address, backend.port)
        elif isinstance(effect, SendToCaller):
            caller = format_address(effect.segment.destination)
            data = packets.clear_mark(effect.segment)
            self.edge_packets.send(data, caller, self.settings.packets.port)
        elif isinstance(effect, SendReset):
            caller = format_address(effect.segment.source)
            data = packets.build_reset(effect.segment)
            self.edge_packets.send(data, caller, self.settings.packets.port)
        elif isinstance(effect, SendNotice):
            self.tell(effect.address, effect.body)
        elif isinstance(effect, LogEvent):
            self.note(effect.event, effect.fields)
        elif isinstance(effect, Observe):
            self.events.observe(effect.measure, effect.service, effect.value)
