"""Table of the flows of one backend server."""

from collections import Counter, OrderedDict

from attrs import define, field, frozen

from fescueseam.handshake.segments import (
    SEQUENCE_MODULUS,
    FlowId,
    Segment,
    ServiceAddress,
    is_sequence_after,
)

FLOWS_LIMIT = 8192
"""Largest number of flows in the table. A backend server takes fewer."""
ENDED_FLOW_RETENTION_S = 10.0
"""Time for which an ended flow is kept for retransmissions of its last packets, in seconds."""
IDLE_FLOW_TIMEOUT_S = 60.0
"""Idle time after which a flow is removed, in seconds. No caller keeps a flow idle for longer."""
HALF_OPEN_FLOW_RETENTION_S = 5.0
"""Time for which a flow that did not complete its handshake is kept, in seconds. Callers give up
sooner."""
HANDSHAKE_BUSY_TIME_S = 0.1
"""Time for which a flow in its handshake counts as busy, in seconds."""


@define(eq=False)
class Flow:
    """State of one flow, as seen from its packets."""

    opened_at: float
    last_packet_at: float
    is_open: bool = False
    """Whether the caller has ended the handshake, or the backend server has sent a packet after its
    part of it. Set by the table."""
    answered: bool = False
    """Whether the backend server has sent a packet."""
    pending_request_at: float | None = None
    """Arrival time of the newest data of the pending request; None if no request is pending."""
    requests: int = 0
    """Number of requests that were seen."""
    next_caller_sequence: int | None = None
    """Sequence number after the newest data from the caller."""
    next_server_sequence: int | None = None
    """Sequence number after the newest data from the backend server; None before its first
    packet."""
    caller_finished: bool = False
    server_finished: bool = False
    probe_origin: int = 0
    """Address of the balancer that is told when the backend server answers a probe; 0 if there is
    none."""

    def advance_server_sequence(self, segment: Segment) -> bool:
        """Return whether a packet of the backend server carries or follows data not seen before."""
        end = (segment.sequence + segment.data_bytes + int(segment.opens)) % SEQUENCE_MODULUS
        known = self.next_server_sequence
        if known is not None and not is_sequence_after(end, known):
            return False
        self.next_server_sequence = end
        if known is None:
            # This agent started after the flow was opened, and may have missed the data.
            return segment.data_bytes > 0 or (segment.finishes and not segment.opens)
        return not segment.opens

    def is_handshake_end(self, segment: Segment) -> bool:
        """Return whether a caller's packet acknowledges the handshake answer of this server.

        Several servers may have answered; the flow opens at the one whose answer is acknowledged.
        """
        return (
            not self.is_open
            and segment.acknowledges
            and not segment.resets
            and segment.acknowledgement == self.next_server_sequence
        )

    @property
    def ended(self) -> bool:
        """Whether both ends have finished."""
        return self.caller_finished and self.server_finished


@frozen
class RequestEnd:
    """Duration of a request and whether its answer began."""

    duration_s: float
    answered: bool


@define
class FlowTable:
    """Flows of one backend server, the least recently used first."""

    flows: OrderedDict[FlowId, Flow] = field(factory=OrderedDict)
    busy: int = 0
    """Number of flows with a pending request."""
    _half_open: OrderedDict[FlowId, None] = field(factory=OrderedDict)
    """Flows that are not open, the oldest first."""
    _ended: OrderedDict[FlowId, None] = field(factory=OrderedDict)
    """Flows that have ended, in the order of their ends."""
    _flows_by_address: Counter[ServiceAddress] = field(factory=Counter)

    def find(self, flow: FlowId) -> Flow | None:
        """Return a flow, or None if it is not in the table."""
        return self.flows.get(flow)

    def add(self, flow: FlowId, now: float) -> Flow:
        """Add a flow; if the table is full, evict an ended, a half-open or the least used one."""
        if len(self.flows) >= FLOWS_LIMIT:
            self.remove(next(iter(self._ended or self._half_open or self.flows)))
        if flow not in self.flows:
            self._flows_by_address[flow[2:]] += 1
        entry = self.flows[flow] = Flow(now, now)
        self._half_open[flow] = None
        self._ended.pop(flow, None)
        return entry

    def mark_open(self, flow: FlowId, entry: Flow) -> None:
        """Keep a flow until it ends or was idle for the idle timeout."""
        entry.is_open = True
        self._half_open.pop(flow, None)

    def mark_ended(self, flow: FlowId, entry: Flow) -> None:
        """Record that both ends of a flow have finished."""
        entry.caller_finished = entry.server_finished = True
        self._ended[flow] = None

    def remove(self, flow: FlowId) -> Flow | None:
        """Remove a flow and return it, or None if it is not in the table."""
        entry = self.flows.pop(flow, None)
        if entry is None:
            return None
        self._half_open.pop(flow, None)
        self._ended.pop(flow, None)
        if entry.pending_request_at is not None:
            self.busy -= 1
        self._flows_by_address[flow[2:]] -= 1
        if not self._flows_by_address[flow[2:]]:
            del self._flows_by_address[flow[2:]]
        return entry

    def is_pending(self, flow: FlowId) -> bool:
        """Return whether a flow has a pending request."""
        entry = self.flows.get(flow)
        return entry is not None and entry.pending_request_at is not None

    def list_service_addresses(self) -> frozenset[ServiceAddress]:
        """Return the service addresses of the flows in the table."""
        return frozenset(self._flows_by_address)

    def clear_pending_requests(self) -> None:
        """Drop every pending request, because the backend server has restarted."""
        for entry in self.flows.values():
            entry.pending_request_at = None
        self.busy = 0

    def record_caller_packet(self, flow: FlowId, entry: Flow, segment: Segment, now: float) -> None:
        """Record a packet from the caller to the backend server."""
        entry.last_packet_at = now
        self.flows.move_to_end(flow)
        if entry.is_handshake_end(segment):
            self.mark_open(flow, entry)
        if segment.finishes:
            entry.caller_finished = True
            if entry.ended:
                self.mark_ended(flow, entry)
        if segment.data_bytes == 0:
            return
        end = (segment.sequence + segment.data_bytes) % SEQUENCE_MODULUS
        if entry.probe_origin:
            # Until the backend server answers a probe, it is not known whether it holds the flow.
            # Later copies of the probe are no further request.
            entry.next_caller_sequence = end
            return
        if entry.next_caller_sequence is not None and not is_sequence_after(
            end, entry.next_caller_sequence
        ):
            return
        entry.next_caller_sequence = end
        if entry.pending_request_at is None:
            self.busy += 1
            entry.requests += 1
        entry.pending_request_at = now

    def record_backend_packet(
        self, flow: FlowId, entry: Flow, segment: Segment, now: float
    ) -> RequestEnd | None:
        """Record a packet from the backend server; return the request that it ends, if any.

        The packet that closes a flow may overtake the answer; its sequence number then shows that
        data precede it. A retransmission of earlier data ends no request.
        """
        entry.last_packet_at = now
        entry.answered = True
        self.flows.move_to_end(flow)
        if segment.finishes:
            entry.server_finished = True
            if entry.ended:
                self.mark_ended(flow, entry)
        follows_new_data = entry.advance_server_sequence(segment)
        ends_request = follows_new_data or segment.resets or segment.finishes
        if entry.pending_request_at is None or not ends_request:
            return None
        end = RequestEnd(now - entry.pending_request_at, answered=follows_new_data)
        entry.pending_request_at = None
        self.busy -= 1
        return end

    def count_stuck(self, stuck_after_s: float, now: float) -> int:
        """Return the number of requests that have been pending for longer than a time."""
        return sum(
            1
            for entry in self.flows.values()
            if entry.pending_request_at is not None
            and now - entry.pending_request_at > stuck_after_s
        )

    def count_open(self) -> int:
        """Return the number of flows that have not ended."""
        return sum(1 for entry in self.flows.values() if not entry.ended)

    def count_at_work(self, now: float) -> int:
        """Return the number of flows with a pending request or in their handshake."""
        return self.busy + self.count_handshakes(now)

    def count_handshakes(self, now: float) -> int:
        """Return the number of new flows whose first request is still expected."""
        count = 0
        for entry in reversed(self.flows.values()):
            if now - entry.last_packet_at > HANDSHAKE_BUSY_TIME_S:
                break
            if (
                entry.next_caller_sequence is None
                and now - entry.opened_at <= HANDSHAKE_BUSY_TIME_S
            ):
                count += 1
        return count

    def expire(self, now: float, idle_timeout_s: float) -> None:
        """Remove flows that ended, never opened or were idle, each after its retention time."""
        for flow, entry in list(self.flows.items()):
            idle_s = now - entry.last_packet_at
            if idle_s < HALF_OPEN_FLOW_RETENTION_S:
                break
            retention_s = idle_timeout_s
            if entry.ended:
                retention_s = ENDED_FLOW_RETENTION_S
            elif not entry.is_open:
                retention_s = HALF_OPEN_FLOW_RETENTION_S
            if idle_s >= retention_s:
                self.remove(flow)
