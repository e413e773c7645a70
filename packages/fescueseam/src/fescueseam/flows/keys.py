"""Identify flows and map them to buckets."""

import ipaddress

import xxhash
from attrs import frozen

PROTOCOL_TCP = 6
PROTOCOL_UDP = 17


@frozen(cache_hash=True, slots=True)
class FlowKey:
    """The protocol, addresses (as packed bytes) and ports that identify a flow."""

    protocol: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int

    def pack(self) -> bytes:
        """Return the key as bytes that are unique for each flow."""
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
    """Return a digest that distinguishes the payloads of one flow."""
    return xxhash.xxh3_64_intdigest(payload)


def compute_bucket(key: FlowKey, seed: int, buckets: int) -> int:
    """Return the bucket of a flow; the seed is secret and the bucket count a power of two."""
    return xxhash.xxh3_64_intdigest(key.pack(), seed) & (buckets - 1)
