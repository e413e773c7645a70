"""Hold the flows of one backend server."""

from collections import OrderedDict

from attrs import define, field, frozen

from fescueseam.handshake.segments import SEQUENCE_MODULUS, FlowId, Segment, is_sequence_after

FLOWS_LIMIT = 8192
"""Bound the flows that are remembered, above what a backend server takes."""
ENDED_FLOW_RETENTION_S = 10.0
"""Keep an ended flow this long, in seconds: its last packets may be sent again until then."""
HALF_OPEN_FLOW_RETENTION_S = 5.0
"""Keep a flow without a caller's answer this long, in seconds: callers give up before."""
HANDSHAKE_BUSY_TIME_S = 0.1
"""Count a flow whose handshake is under way as busy for this long, in seconds."""


@define(eq=False)
class Flow:
    """Hold one flow as its packets show it."""

    opened_at: float
    last_packet_at: float
    is_open: bool = False
    """Tell that the backend server has taken a packet after the handshake."""
    answered: bool = False
    """Tell that the backend server has sent something on it."""
    pending_request_at: float | None = None
    """Hold when the newest part of a request without an answer arrived."""
    next_caller_sequence: int | None = None
    """Hold the sequence number after the newest data from the caller."""
    caller_finished: bool = False
    server_finished: bool = False
    probe_origin: int = 0
    """Hold the balancer that is told if the backend server does not hold the flow."""

    @property
    def ended(self) -> bool:
        """Tell whether both ends have finished."""
        return self.caller_finished and self.server_finished


@frozen
class RequestEnd:
    """Tell how long a request was at work and whether an answer began."""

    duration_s: float
    answered: bool


@define
class FlowTable:
    """Hold the flows of one backend server, the one used least lately first."""

    flows: OrderedDict[FlowId, Flow] = field(factory=OrderedDict)
    busy: int = 0
    """Count the flows with a request at work."""

    def find(self, flow: FlowId) -> Flow | None:
        """Return a flow."""
        return self.flows.get(flow)

    def add(self, flow: FlowId, now: float) -> Flow:
        """Add a flow; the one used least lately gives way beyond the bound."""
        if len(self.flows) >= FLOWS_LIMIT:
            self.remove(next(iter(self.flows)))
        entry = self.flows[flow] = Flow(now, now)
        return entry

    def remove(self, flow: FlowId) -> Flow | None:
        """Forget a flow."""
        entry = self.flows.pop(flow, None)
        if entry is not None and entry.pending_request_at is not None:
            self.busy -= 1
        return entry

    def clear_pending_requests(self) -> None:
        """Take every request for ended, because the backend server has started anew."""
        for entry in self.flows.values():
            entry.pending_request_at = None
        self.busy = 0

    def record_caller_packet(self, flow: FlowId, entry: Flow, segment: Segment, now: float) -> None:
        """Account for a packet on its way to the backend server."""
        entry.last_packet_at = now
        self.flows.move_to_end(flow)
        if segment.finishes:
            entry.caller_finished = True
        if segment.data_bytes == 0 or entry.probe_origin:
            # Whether the backend server works on a probe is not known until it answers.
            return
        end = (segment.sequence + segment.data_bytes) % SEQUENCE_MODULUS
        if entry.next_caller_sequence is not None and not is_sequence_after(
            end, entry.next_caller_sequence
        ):
            return
        entry.next_caller_sequence = end
        if entry.pending_request_at is None:
            self.busy += 1
        entry.pending_request_at = now

    def record_backend_packet(
        self, flow: FlowId, entry: Flow, segment: Segment, now: float
    ) -> RequestEnd | None:
        """Account for the backend server's packet; return how a request ended, if one did."""
        entry.last_packet_at = now
        entry.answered = True
        self.flows.move_to_end(flow)
        if segment.finishes:
            entry.server_finished = True
        ends = segment.data_bytes > 0 or segment.resets or segment.finishes
        if entry.pending_request_at is None or not ends:
            return None
        end = RequestEnd(now - entry.pending_request_at, answered=segment.data_bytes > 0)
        entry.pending_request_at = None
        self.busy -= 1
        return end

    def count_stuck(self, stuck_after_s: float, now: float) -> int:
        """Return the requests that have been at work for longer than a time."""
        return sum(
            1
            for entry in self.flows.values()
            if entry.pending_request_at is not None
            and now - entry.pending_request_at > stuck_after_s
        )

    def count_open(self) -> int:
        """Return the number of flows that have not ended."""
        return sum(1 for entry in self.flows.values() if not entry.ended)

    def count_handshakes(self, now: float) -> int:
        """Return the flows whose first request is about to come."""
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
        """Forget flows that ended, never opened, or were idle for long."""
        for flow, entry in list(self.flows.items()):
            idle = now - entry.last_packet_at
            if idle < HALF_OPEN_FLOW_RETENTION_S:
                break
            kept = idle_timeout_s
            if entry.ended:
                kept = ENDED_FLOW_RETENTION_S
            elif not entry.is_open:
                kept = HALF_OPEN_FLOW_RETENTION_S
            if idle >= kept:
                self.remove(flow)
