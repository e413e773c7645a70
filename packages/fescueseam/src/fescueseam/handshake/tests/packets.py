"""Packets that tests send, with the values that do not matter to them."""

from attrs import evolve

from fescueseam.handshake.segments import NO_MARK, FlowId, Segment


def build_segment(flow: FlowId, **changes: object) -> Segment:
    """Return a packet from the caller without data, an acknowledgement by default."""
    blank = Segment(*flow, False, True, False, False, False, 0, 1000, 0, 0, NO_MARK, b"")
    return evolve(blank, **changes)


def build_opening(flow: FlowId, attempt: int = 0) -> Segment:
    """Return the opening packet of a flow."""
    return build_segment(flow, opens=True, acknowledges=False, attempt=attempt)


def build_backend_segment(flow: FlowId, **changes: object) -> Segment:
    """Return a packet from the backend server to the caller."""
    caller, caller_port, service, service_port = flow
    return build_segment((service, service_port, caller, caller_port), **changes)
