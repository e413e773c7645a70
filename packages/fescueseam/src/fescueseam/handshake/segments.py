"""Describe the packets of flows that open with a handshake."""

from enum import IntEnum
from typing import Protocol

from attrs import frozen

FlowId = tuple[int, int, int, int]
"""Identify a flow by caller address, caller port, service address and service port."""

SEQUENCE_MODULUS = 1 << 32
"""Sequence numbers are 32 bits wide and wrap."""


class Purpose(IntEnum):
    """Tell why one process hands a packet to another."""

    DELIVER = 0
    """Deliver if the flow is known here or, for an opening packet, if there is room."""
    DELIVER_EVEN_IF_BUSY = 1
    """Deliver an opening packet even if every slot is busy."""
    PROBE = 2
    """Deliver to learn whether the backend server holds the flow."""
    NO_FREE_SLOT = 3
    """Return an opening packet because every slot is busy."""
    NOT_HERE = 4
    """Return a packet whose flow is not held here."""
    WRONG_SERVICE = 5
    """Return a packet of another service's flow."""
    NOT_ADMITTING = 6
    """Return an opening packet that the agent would not admit with free slots either."""


@frozen(slots=True)
class Mark:
    """Hold what processes tell each other beside a packet."""

    purpose: Purpose = Purpose.DELIVER
    service_tag: int = 0
    """Tell services apart by 16 bits of a hash of the name."""
    origin: int = 0
    """Hold the address of the balancer that took the packet from the caller."""


NO_MARK = Mark()


@frozen(slots=True, eq=False)
class Segment:
    """Hold one packet with the fields that decisions need."""

    source: int
    source_port: int
    destination: int
    destination_port: int
    opens: bool
    acknowledges: bool
    finishes: bool
    resets: bool
    returned: bool
    """Tell that the packet came back from a backend server or an agent."""
    attempt: int
    """Count the copies of an opening packet that the caller sent before this one."""
    sequence: int
    acknowledgement: int
    data_bytes: int
    mark: Mark
    raw: bytes

    def get_flow_from_caller(self) -> FlowId:
        """Return the flow of a packet that a caller sent."""
        return (self.source, self.source_port, self.destination, self.destination_port)

    def describe_kind(self) -> str:
        """Return the kind of the packet as logs name it."""
        kinds = (
            (self.opens, "opening"),
            (self.resets, "reset"),
            (self.finishes, "finish"),
            (self.data_bytes > 0, "data"),
        )
        return next((name for holds, name in kinds if holds), "acknowledgement")

    def get_flow_to_caller(self) -> FlowId:
        """Return the flow of a packet that a backend server sent to a caller."""
        return (self.destination, self.destination_port, self.source, self.source_port)


class PacketFormat(Protocol):
    """Read and write packets in the format of one fabric."""

    def decode(self, raw: bytes) -> Segment:
        """Return the segment of a packet; raise PacketError on anything else."""

    def set_mark(self, segment: Segment, mark: Mark, returned: bool = False) -> bytes:
        """Return the packet with a mark that only processes of the system read."""

    def clear_mark(self, segment: Segment) -> bytes:
        """Return the packet without any mark, as its sender wrote it."""

    def build_reset(self, segment: Segment) -> bytes:
        """Return the reset that answers a caller's packet."""


def format_address(address: int) -> str:
    """Return an IPv4 address as text."""
    return ".".join(str(address >> shift & 0xFF) for shift in (24, 16, 8, 0))


def parse_address(text: str) -> int:
    """Return an IPv4 address as a number; raise ValueError on anything else."""
    parts = text.split(".")
    if len(parts) != 4:
        raise ValueError(f"not an IPv4 address: {text!r}")
    address = 0
    for part in parts:
        if not part.isascii() or not part.isdigit() or int(part) > 255:
            raise ValueError(f"not an IPv4 address: {text!r}")
        address = address << 8 | int(part)
    return address


def format_flow(flow: FlowId) -> str:
    """Return a flow as logs name it."""
    caller, caller_port, service, service_port = flow
    return f"{format_address(caller)}:{caller_port}>{format_address(service)}:{service_port}"


def is_sequence_after(sequence: int, reference: int) -> bool:
    """Tell whether a sequence number lies after another one, across the wrap."""
    return 0 < (sequence - reference) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2
