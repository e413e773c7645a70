"""Packets of flows that open with a handshake, and the marks that processes add to them."""

import functools
import hashlib
from enum import IntEnum
from typing import Protocol

from attrs import frozen

FlowId = tuple[int, int, int, int]
"""Caller address, caller port, service address and service port of a flow."""
ServiceAddress = tuple[int, int]
"""Address and port to which callers send the packets of a service."""

SEQUENCE_MODULUS = 1 << 32
"""Sequence numbers wrap at 32 bits."""


class Purpose(IntEnum):
    """Why one process forwards a packet to another."""

    DELIVER = 0
    """Deliver if the agent knows the flow or, for an opening packet, if a slot is free."""
    DELIVER_EVEN_IF_BUSY = 1
    """Deliver an opening packet even if all slots are busy."""
    PROBE = 2
    """Deliver to find out whether the backend server holds the flow."""
    NO_FREE_SLOT = 3
    """Return an opening packet because all slots are busy."""
    NOT_HERE = 4
    """Return a packet whose flow the backend server does not hold."""
    WRONG_SERVICE = 5
    """Return a packet of a flow of another service."""
    NOT_ADMITTING = 6
    """Return an opening packet that would not be admitted with free slots either."""


@frozen(slots=True)
class Mark:
    """Data that balancers and agents add to a forwarded packet."""

    purpose: Purpose = Purpose.DELIVER
    service_tag: int = 0
    """16 bits of a hash of the service name."""
    origin: int = 0
    """Address of the balancer that received the packet from the caller."""
    wait_step: int = 0
    """Number of the wait that an offer of an opening allows (`overload.admission.WAIT_STEPS`)."""
    priority: int = 0
    """Priority by which an opening waits."""


NO_MARK = Mark()


@frozen(slots=True, eq=False)
class Segment:
    """One packet with the fields that decisions need."""

    source: int
    source_port: int
    destination: int
    destination_port: int
    opens: bool
    acknowledges: bool
    finishes: bool
    resets: bool
    returned: bool
    """Whether a backend server or an agent returned the packet."""
    attempt: int
    """Number of earlier transmissions of this opening packet."""
    sequence: int
    acknowledgement: int
    data_bytes: int
    mark: Mark
    raw: bytes

    def get_flow_from_caller(self) -> FlowId:
        """Return the flow of a packet from a caller."""
        return (self.source, self.source_port, self.destination, self.destination_port)

    def describe_kind(self) -> str:
        """Return the kind of the packet for logs."""
        kinds = (
            (self.opens, "opening"),
            (self.resets, "reset"),
            (self.finishes, "finish"),
            (self.data_bytes > 0, "data"),
        )
        return next((name for applies, name in kinds if applies), "acknowledgement")

    def get_flow_to_caller(self) -> FlowId:
        """Return the flow of a packet from a backend server to a caller."""
        return (self.destination, self.destination_port, self.source, self.source_port)


class PacketFormat(Protocol):
    """Packet format of one fabric."""

    def decode(self, raw: bytes) -> Segment:
        """Decode a packet; raise PacketError if it is malformed."""

    def set_mark(self, segment: Segment, mark: Mark, returned: bool = False) -> bytes:
        """Return the packet with a mark, which only balancers and agents read."""

    def clear_mark(self, segment: Segment) -> bytes:
        """Return the packet without a mark, as its sender wrote it."""

    def build_reset(self, segment: Segment) -> bytes:
        """Return a reset in answer to a caller's packet."""


@functools.lru_cache(maxsize=4096)
def format_address(address: int) -> str:
    """Return an IPv4 address in dotted decimal notation."""
    return ".".join(str(address >> shift & 0xFF) for shift in (24, 16, 8, 0))


def parse_address(text: str) -> int:
    """Return the number of a dotted IPv4 address; raise ValueError if it is malformed."""
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
    """Return a flow as text for logs."""
    caller, caller_port, service, service_port = flow
    return f"{format_address(caller)}:{caller_port}>{format_address(service)}:{service_port}"


def is_sequence_after(sequence: int, reference: int) -> bool:
    """Return whether a sequence number follows another one, taking wrapping into account."""
    return 0 < (sequence - reference) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


@functools.lru_cache(maxsize=4096)
def compute_service_tag(service: str) -> int:
    """Return the 16-bit hash of a service name for packet marks."""
    return int.from_bytes(hashlib.blake2b(service.encode(), digest_size=2).digest())
