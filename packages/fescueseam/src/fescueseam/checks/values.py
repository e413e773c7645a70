"""Check single values, for the checks of all types of settings."""

import ipaddress
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from urllib.parse import urlsplit

from fescueseam.checks.faults import Fault, FaultId

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
"""Pattern of a name, which is also a valid label of a host name."""

MAX_PORT = 65535


def check_name(path: str, name: str) -> Iterator[Fault]:
    """Report a name that cannot be used in paths, metrics and host names."""
    if not NAME_PATTERN.fullmatch(name):
        hint = "use up to 63 characters of a-z, 0-9 and '-'"
        yield Fault(FaultId.BAD_NAME, path, f"{name!r} is not a valid name", hint)


def check_unique(
    paths_and_values: Iterable[tuple[str, object]], value_kind: str
) -> Iterator[Fault]:
    """Report each value that is used at more than one path."""
    pairs = list(paths_and_values)
    value_counts = Counter(value for _, value in pairs)
    first_paths = {value: path for path, value in reversed(pairs)}
    fault_id = {
        "name": FaultId.DUPLICATE_NAME,
        "address": FaultId.DUPLICATE_ADDRESS,
        "port": FaultId.DUPLICATE_PORT,
    }[value_kind]
    for path, value in pairs:
        if value_counts[value] > 1 and first_paths[value] != path:
            yield Fault(
                fault_id, path, f"the {value_kind} {value} is already used by {first_paths[value]}"
            )


def check_address(path: str, address: str) -> Iterator[Fault]:
    """Report a string that is not an IP address of one instance."""
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        hint = "write an IPv4 or IPv6 address without a port"
        yield Fault(FaultId.BAD_ADDRESS, path, f"{address!r} is not an IP address", hint)
        return
    if parsed.is_multicast or parsed.is_unspecified:
        yield Fault(FaultId.BAD_ADDRESS, path, f"{address} is not the address of one instance")


def check_port(path: str, port: int) -> Iterator[Fault]:
    """Report a number that is not a valid port."""
    if not 1 <= port <= MAX_PORT:
        yield Fault(FaultId.BAD_PORT, path, f"{port} is not a valid port", f"use 1 to {MAX_PORT}")


def check_range(path: str, value: float, low: float, high: float) -> Iterator[Fault]:
    """Report a number outside a closed range."""
    if not low <= value <= high:
        yield Fault(
            FaultId.OUT_OF_RANGE, path, f"{value:g} is out of range", f"use {low:g} to {high:g}"
        )


def check_url(path: str, url: str) -> Iterator[Fault]:
    """Report a string that is not an HTTP URL with a host."""
    try:
        parts = urlsplit(url)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        valid = False
    if not valid:
        yield Fault(FaultId.BAD_URL, path, f"{url!r} is not an HTTP URL", "http://ADDRESS:PORT")
