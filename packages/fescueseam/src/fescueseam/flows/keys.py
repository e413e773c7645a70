"""Identify flows and map them to buckets."""

import ipaddress

import xxhash
from attrs import frozen

PROTOCOL_TCP = 6
PROTOCOL_UDP = 17


@frozen(cache_hash=True, slots=True)
class FlowKey:
    """Identify a flow by protocol, addresses (packed bytes) and ports."""

    protocol: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int

    def pack(self) -> bytes:
        """Return the key as bytes that differ for different flows."""
        return b"".join(
            (
                bytes((self.protocol,)),
                self.source_port.to_bytes(2, "big"),
                self.destination_port.to_bytes(2, "big"),
                self.source,
                self.destination,
            )
        )

    def __str__(self) -> str:
        source = ipaddress.ip_address(self.source)
        destination = ipaddress.ip_address(self.destination)
        return f"{source}:{self.source_port}>{destination}:{self.destination_port}"


def compute_digest(payload: bytes) -> int:
    """Return a digest that tells a payload from others of the same flow."""
    return xxhash.xxh3_64_intdigest(payload)


def compute_bucket(key: FlowKey, seed: int, buckets: int) -> int:
    """Return the bucket of a flow; the seed is secret, the bucket count a power of two."""
    return xxhash.xxh3_64_intdigest(key.pack(), seed) & (buckets - 1)
