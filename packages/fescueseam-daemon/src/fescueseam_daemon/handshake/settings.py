"""Read and check the settings of one process."""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

from fescueseam.checks.faults import Fault, FaultId, has_errors
from fescueseam.exceptions import SettingsError
from fescueseam.handshake.members import Role
from fescueseam.handshake.segments import parse_address

MAX_PORT = 65_535
PEER_PORT_COUNT = 3
"""Bind this many ports for the processes among themselves: notices, packets and HTTP."""
DEFAULT_LOG_LINES_PER_S = 20.0
"""Write at most this many lines a second of one kind, unless the settings say otherwise."""


@frozen
class Listener:
    """Hold an IPv4 address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


@frozen
class HandshakeSettings:
    """Hold the settings of one balancer or agent."""

    instance: str
    role: Role
    data_centre: str
    address: str
    advertised: str
    """Name this address to the other processes; it leads to the bound one."""
    peer_port: int
    """Begin the ports for processes among themselves here; they are the same everywhere."""
    packets: Listener
    """Take callers' packets here; callers take answers at the same port number."""
    readiness: Listener
    heartbeats: Listener | None
    answers: Listener | None
    """Take the backend server's packets here (agents)."""
    backend: Listener | None
    """Deliver packets to the backend server here (agents)."""
    service: str
    store: Listener
    seeds: tuple[Listener, ...]
    heartbeat_interval_s: float
    metrics_port: int
    log_lines_per_s: float = DEFAULT_LOG_LINES_PER_S


KEY_TYPES: dict[str, tuple[type, ...]] = {
    "instance": (str,),
    "role": (str,),
    "data_centre": (str,),
    "address": (str,),
    "advertised": (str,),
    "peer_port": (int,),
    "peer_port_last": (int,),
    "packets": (str,),
    "readiness": (str,),
    "heartbeats": (str, type(None)),
    "answers": (str, type(None)),
    "backend": (str, type(None)),
    "service": (str, type(None)),
    "store": (str,),
    "seeds": (list, type(None)),
    "heartbeat_interval_ms": (int, float),
    "metrics_port": (int,),
    "log_lines_per_s": (int, float),
}
"""List every key with its types."""
OPTIONAL_KEYS = {
    "advertised",
    "heartbeats",
    "answers",
    "backend",
    "service",
    "seeds",
    "log_lines_per_s",
}
LISTENER_KEYS = ("packets", "readiness", "heartbeats", "answers", "backend", "store")
AGENT_KEYS = ("heartbeats", "answers", "backend", "service")


def load_settings(path: Path) -> HandshakeSettings:
    """Return the settings of a file; raise SettingsError with every fault."""
    try:
        text = path.read_text()
    except OSError as exc:
        raise SettingsError(f"cannot read {path}: {exc.strerror}") from exc
    return parse_settings(text, str(path))


def parse_settings(text: str, file_name: str) -> HandshakeSettings:
    """Return the settings of a text; raise SettingsError with every fault."""
    try:
        values = json.loads(text)
    except ValueError as exc:
        fault = Fault(FaultId.BAD_JSON, "", str(exc), "write one JSON object", file_name)
        raise SettingsError(str(fault), (fault,)) from exc
    if not isinstance(values, dict):
        fault = Fault(FaultId.WRONG_TYPE, "", "not a JSON object", "write one object", file_name)
        raise SettingsError(str(fault), (fault,))
    faults = tuple(check_values(values, file_name))
    if has_errors(faults):
        raise SettingsError("\n".join(str(fault) for fault in faults), faults)
    return _build_settings(values)


def check_values(values: dict[str, Any], file_name: str) -> Iterator[Fault]:
    """Report every fault of the values."""
    for key in values.keys() - KEY_TYPES.keys():
        yield Fault(FaultId.UNKNOWN_KEY, key, "no setting has this key", "remove it", file_name)
    for key, types in KEY_TYPES.items():
        if key not in values:
            if key not in OPTIONAL_KEYS:
                yield Fault(FaultId.MISSING_KEY, key, "is missing", "state it", file_name)
        elif not isinstance(values[key], types) or isinstance(values[key], bool):
            expected = " or ".join(item.__name__ for item in types)
            yield Fault(FaultId.WRONG_TYPE, key, f"is not {expected}", "", file_name)
        else:
            yield from _check_value(key, values[key], file_name)
    role = values.get("role")
    if role == Role.AGENT.value:
        for key in AGENT_KEYS:
            if not values.get(key):
                hint = "state it for an agent"
                yield Fault(FaultId.MISSING_FOR_ROLE, key, "an agent needs it", hint, file_name)


def _check_value(key: str, value: Any, file_name: str) -> Iterator[Fault]:
    if key == "role" and value not in {item.value for item in Role}:
        yield Fault(FaultId.UNKNOWN_CHOICE, key, f"{value!r}", "balancer or agent", file_name)
    if key in ("address", "advertised"):
        yield from _check_parses(parse_address, key, value, FaultId.BAD_ADDRESS, file_name)
    if key in LISTENER_KEYS and value:
        yield from _check_parses(parse_listener, key, value, FaultId.BAD_ADDRESS, file_name)
    if key == "seeds":
        for index, seed in enumerate(value or ()):
            yield from _check_parses(
                parse_listener, f"seeds[{index}]", seed, FaultId.BAD_ADDRESS, file_name
            )
    if key == "peer_port" and not 1 <= value <= MAX_PORT - PEER_PORT_COUNT:
        yield Fault(FaultId.BAD_PORT, key, f"{value} is no port", f"use 1 to {MAX_PORT}", file_name)
    if key in ("heartbeat_interval_ms", "log_lines_per_s") and value <= 0:
        yield Fault(FaultId.OUT_OF_RANGE, key, f"{value} is not positive", "", file_name)


def _check_parses(
    parse: Callable[[str], object], path: str, value: Any, fault_id: FaultId, file_name: str
) -> Iterator[Fault]:
    try:
        parse(value)
    except (ValueError, AttributeError) as exc:
        yield Fault(
            fault_id, path, str(exc), "write an IPv4 address, with :PORT if asked", file_name
        )


def parse_listener(text: str) -> Listener:
    """Return the address and port of `ADDRESS:PORT`; raise ValueError on anything else."""
    address, _, port = text.rpartition(":")
    parse_address(address)
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"not a port: {port!r}")
    return Listener(address, int(port))


def _build_settings(values: dict[str, Any]) -> HandshakeSettings:
    def parse_optional(key: str) -> Listener | None:
        return parse_listener(values[key]) if values.get(key) else None

    packets, readiness, store = (
        parse_optional("packets"),
        parse_optional("readiness"),
        parse_optional("store"),
    )
    assert packets is not None, "checked before"
    assert readiness is not None, "checked before"
    assert store is not None, "checked before"
    return HandshakeSettings(
        instance=values["instance"],
        role=Role(values["role"]),
        data_centre=values["data_centre"],
        address=values["address"],
        advertised=values.get("advertised") or values["address"],
        peer_port=values["peer_port"],
        packets=packets,
        readiness=readiness,
        heartbeats=parse_optional("heartbeats"),
        answers=parse_optional("answers"),
        backend=parse_optional("backend"),
        service=values.get("service") or "",
        store=store,
        seeds=tuple(parse_listener(seed) for seed in values.get("seeds") or ()),
        heartbeat_interval_s=values["heartbeat_interval_ms"] / 1000,
        metrics_port=values["metrics_port"],
        log_lines_per_s=float(values.get("log_lines_per_s") or DEFAULT_LOG_LINES_PER_S),
    )
