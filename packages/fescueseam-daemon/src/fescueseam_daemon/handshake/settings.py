"""Reading and checking of the settings of one process."""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from attrs import frozen

from fescueseam.checks.faults import Fault, FaultId, has_errors
from fescueseam.checks.keys import check_key_values
from fescueseam.exceptions import SettingsError
from fescueseam.handshake.choice import DEFAULT_REMOTE_PENALTY_S
from fescueseam.handshake.member import Role
from fescueseam.handshake.segments import parse_address

if TYPE_CHECKING:
    from fescueseam.conf.models import KeySettings

MAX_PORT = 65_535
MAX_REMOTE_PENALTY_MS = 10_000
"""Largest preference for servers of the own data centre, in milliseconds."""
PEER_PORT_COUNT = 3
"""Number of consecutive ports that processes use among themselves: notices, packets, HTTP."""
DEFAULT_STORE_SILENCE_LIMIT_MS = 4000
"""Default of `store_silence_limit_ms`."""
MIN_STORE_SILENCE_LIMIT_MS, MAX_STORE_SILENCE_LIMIT_MS = 2000, 60_000
"""Bounds of `store_silence_limit_ms`. Below the first one, watches would be renewed twice a second
or more."""
DEFAULT_STORE_REWRITES_PER_S = 100.0
"""Default of `store_rewrites_per_s`."""
MIN_STORE_REWRITES_PER_S, MAX_STORE_REWRITES_PER_S = 1, 10_000
"""Bounds of `store_rewrites_per_s`."""
OUTAGE_HOLD_FACTOR = 2
"""Number of store silence limits for which a data centre whose entry was lost stays out: one in
which the entry is written again, and one until the change is in force."""
DEFAULT_LOG_LINES_PER_S = 20.0
"""Default limit of log lines per second for each event."""


@frozen
class SocketAddress:
    """An IPv4 address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


@frozen
class HandshakeSettings:
    """Settings of one balancer or agent."""

    instance: str
    role: Role
    data_centre: str
    address: str
    advertised: str
    """Address that other processes use to reach `address`, to which this process binds."""
    peer_port: int
    """First port that processes use among themselves; it is the same for all processes."""
    packets: SocketAddress
    """Address that receives callers' packets. Callers receive answers at the same port number."""
    readiness: SocketAddress
    heartbeats: SocketAddress | None
    answers: SocketAddress | None
    """Address that receives the backend server's packets (agents only)."""
    backend: SocketAddress | None
    """Address at which the backend server receives packets (agents only)."""
    service: str
    store: SocketAddress
    seeds: tuple[SocketAddress, ...]
    heartbeat_interval_s: float
    metrics_port: int
    log_lines_per_s: float = DEFAULT_LOG_LINES_PER_S
    remote_penalty_s: float = DEFAULT_REMOTE_PENALTY_S
    """Wait for a slot in the own data centre that a balancer prefers to a server in another one."""
    store_silence_limit_s: float = DEFAULT_STORE_SILENCE_LIMIT_MS / 1000
    """Time within which a change is in force although connections to the store went silent before
    it, in seconds."""
    store_rewrites_per_s: float = DEFAULT_STORE_REWRITES_PER_S
    """Largest number of calls per second with which all processes together write their entries
    again after the store has come back from an older copy."""
    processor_share: float | None = None
    """Share of each processor that this process may use; 0 or None if it is not known."""
    processors: float | None = None
    """Factor on that share; 0 or None counts as 1."""
    link_mbps: float | None = None
    keys: "tuple[KeySettings, ...]" = ()
    """Keys of the notices between processes; the first signs. Without any, they are not signed."""

    @property
    def outage_hold_s(self) -> float:
        """Return the time for which a data centre whose entry was lost stays out, in seconds."""
        return OUTAGE_HOLD_FACTOR * self.store_silence_limit_s


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
    "remote_penalty_ms": (int, float),
    "store_silence_limit_ms": (int, float),
    "store_rewrites_per_s": (int, float),
    "processor_share": (int, float, type(None)),
    "processors": (int, float, type(None)),
    "link_mbps": (int, float, type(None)),
    "keys": (list,),
}
"""Accepted types of the value of each key."""
OPTIONAL_KEYS = {
    "advertised",
    "heartbeats",
    "answers",
    "backend",
    "service",
    "seeds",
    "log_lines_per_s",
    "remote_penalty_ms",
    "store_silence_limit_ms",
    "store_rewrites_per_s",
    "processor_share",
    "processors",
    "link_mbps",
    "keys",
}
KEY_RANGES = {
    "remote_penalty_ms": (0, MAX_REMOTE_PENALTY_MS),
    "store_silence_limit_ms": (MIN_STORE_SILENCE_LIMIT_MS, MAX_STORE_SILENCE_LIMIT_MS),
    "store_rewrites_per_s": (MIN_STORE_REWRITES_PER_S, MAX_STORE_REWRITES_PER_S),
}
"""Least and largest value of each key that has both."""
MACHINE_KEYS = ("processor_share", "processors", "link_mbps")
"""Keys of what the machine has."""
MAX_MACHINE_SIZE = 10_000_000
"""Bound of the values of these keys; also excludes infinity, which JSON readers accept."""
SOCKET_ADDRESS_KEYS = ("packets", "readiness", "heartbeats", "answers", "backend", "store")
AGENT_KEYS = ("heartbeats", "answers", "backend", "service")


def load_settings(path: Path) -> HandshakeSettings:
    """Read a settings file; raise SettingsError with all faults."""
    try:
        text = path.read_text()
    except OSError as exc:
        raise SettingsError(f"cannot read {path}: {exc.strerror}") from exc
    return parse_settings(text, str(path))


def parse_settings(text: str, file_name: str) -> HandshakeSettings:
    """Parse the text of a settings file; raise SettingsError with all faults."""
    try:
        values = json.loads(text)
    except ValueError as exc:
        fault = Fault(FaultId.BAD_JSON, "", str(exc), "write one JSON object", file_name)
        raise SettingsError(str(fault), (fault,)) from exc
    if not isinstance(values, dict):
        fault = Fault(
            FaultId.WRONG_TYPE, "", "the file is not a JSON object", "write one object", file_name
        )
        raise SettingsError(str(fault), (fault,))
    faults = tuple(check_values(values, file_name))
    if has_errors(faults):
        raise SettingsError("\n".join(str(fault) for fault in faults), faults)
    return _build_settings(values)


def check_values(values: dict[str, Any], file_name: str) -> Iterator[Fault]:
    """Yield all faults of the values."""
    yield from _check_peer_ports(values, file_name)
    for key in values.keys() - KEY_TYPES.keys():
        yield Fault(FaultId.UNKNOWN_KEY, key, "no setting has this key", "remove it", file_name)
    for key, types in KEY_TYPES.items():
        if key not in values:
            if key not in OPTIONAL_KEYS:
                yield Fault(FaultId.MISSING_KEY, key, "the setting is missing", "set it", file_name)
        elif not isinstance(values[key], types) or isinstance(values[key], bool):
            expected = " or ".join(item.__name__ for item in types)
            yield Fault(FaultId.WRONG_TYPE, key, f"the value is not {expected}", "", file_name)
        else:
            yield from _check_value(key, values[key], file_name)
    role = values.get("role")
    if role == Role.AGENT.value:
        for key in AGENT_KEYS:
            if not values.get(key):
                hint = "set it for an agent"
                yield Fault(
                    FaultId.MISSING_FOR_ROLE, key, "an agent needs this setting", hint, file_name
                )


def _check_value(key: str, value: Any, file_name: str) -> Iterator[Fault]:
    if key == "role" and value not in {item.value for item in Role}:
        yield Fault(
            FaultId.UNKNOWN_CHOICE,
            key,
            f"{value!r} is not a role",
            "use balancer or agent",
            file_name,
        )
    if key in ("address", "advertised"):
        yield from _check_parses(parse_address, key, value, FaultId.BAD_ADDRESS, file_name)
    if key in SOCKET_ADDRESS_KEYS and value:
        yield from _check_parses(parse_socket_address, key, value, FaultId.BAD_ADDRESS, file_name)
    if key == "seeds":
        for index, seed in enumerate(value or ()):
            yield from _check_parses(
                parse_socket_address, f"seeds[{index}]", seed, FaultId.BAD_ADDRESS, file_name
            )
    if key == "keys":
        yield from _check_keys(value, file_name)
    last_port = MAX_PORT - PEER_PORT_COUNT + 1 if key == "peer_port" else MAX_PORT
    if key in ("peer_port", "peer_port_last", "metrics_port") and not 1 <= value <= last_port:
        hint = f"use 1 to {last_port}"
        yield Fault(FaultId.BAD_PORT, key, f"{value} is not a valid port", hint, file_name)
    if key in ("heartbeat_interval_ms", "log_lines_per_s") and value <= 0:
        yield Fault(FaultId.OUT_OF_RANGE, key, f"{value} is not positive", "", file_name)
    if key in MACHINE_KEYS and value is not None and not 0 <= value < MAX_MACHINE_SIZE:
        hint = f"use a number below {MAX_MACHINE_SIZE}, or 0 or nothing if it is not known"
        yield Fault(FaultId.OUT_OF_RANGE, key, f"{value} is out of range", hint, file_name)
    if key in KEY_RANGES:
        least, most = KEY_RANGES[key]
        if not least <= value <= most:
            hint = f"use {least} to {most}"
            yield Fault(FaultId.OUT_OF_RANGE, key, f"{value} is out of range", hint, file_name)


def _check_peer_ports(values: dict[str, Any], file_name: str) -> Iterator[Fault]:
    first, last = values.get("peer_port"), values.get("peer_port_last")
    if not isinstance(first, int) or not isinstance(last, int):
        return
    if last < first + PEER_PORT_COUNT - 1:
        message = f"{first} to {last} are fewer than {PEER_PORT_COUNT} ports"
        hint = f"leave {PEER_PORT_COUNT} ports for notices, packets and HTTP"
        yield Fault(FaultId.BAD_PORT, "peer_port_last", message, hint, file_name)


def _check_keys(values: list[Any], file_name: str) -> Iterator[Fault]:
    for index, item in enumerate(values):
        is_key = isinstance(item, dict) and item.keys() == {"key_id", "secret"}
        if not is_key or type(item["key_id"]) is not int or not isinstance(item["secret"], str):
            hint = "write an object with key_id, a number, and secret, a string"
            yield Fault(FaultId.WRONG_TYPE, f"keys[{index}]", "not a key", hint, file_name)
            return
    yield from check_key_values(((item["key_id"], item["secret"]) for item in values), file_name)


def _check_parses(
    parse: Callable[[str], object], path: str, value: Any, fault_id: FaultId, file_name: str
) -> Iterator[Fault]:
    try:
        parse(value)
    except (ValueError, AttributeError) as exc:
        yield Fault(
            fault_id,
            path,
            str(exc),
            "write an IPv4 address, followed by :PORT where a port is needed",
            file_name,
        )


def parse_socket_address(text: str) -> SocketAddress:
    """Parse `ADDRESS:PORT`; raise ValueError if it is not valid."""
    address, _, port = text.rpartition(":")
    parse_address(address)
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"not a valid port: {port!r}")
    return SocketAddress(address, int(port))


def _build_settings(values: dict[str, Any]) -> HandshakeSettings:
    def parse_if_set(key: str) -> SocketAddress | None:
        return parse_socket_address(values[key]) if values.get(key) else None

    packets, readiness, store = (
        parse_if_set("packets"),
        parse_if_set("readiness"),
        parse_if_set("store"),
    )
    assert packets is not None, "checked by check_values()"
    assert readiness is not None, "checked by check_values()"
    assert store is not None, "checked by check_values()"
    return HandshakeSettings(
        instance=values["instance"],
        role=Role(values["role"]),
        data_centre=values["data_centre"],
        address=values["address"],
        advertised=values.get("advertised") or values["address"],
        peer_port=values["peer_port"],
        packets=packets,
        readiness=readiness,
        heartbeats=parse_if_set("heartbeats"),
        answers=parse_if_set("answers"),
        backend=parse_if_set("backend"),
        service=values.get("service") or "",
        store=store,
        seeds=tuple(parse_socket_address(seed) for seed in values.get("seeds") or ()),
        heartbeat_interval_s=values["heartbeat_interval_ms"] / 1000,
        metrics_port=values["metrics_port"],
        log_lines_per_s=float(values.get("log_lines_per_s") or DEFAULT_LOG_LINES_PER_S),
        remote_penalty_s=(values.get("remote_penalty_ms", DEFAULT_REMOTE_PENALTY_S * 1000) / 1000),
        store_silence_limit_s=(
            values.get("store_silence_limit_ms", DEFAULT_STORE_SILENCE_LIMIT_MS) / 1000
        ),
        store_rewrites_per_s=float(
            values.get("store_rewrites_per_s", DEFAULT_STORE_REWRITES_PER_S)
        ),
        processor_share=values.get("processor_share"),
        processors=values.get("processors"),
        link_mbps=values.get("link_mbps"),
        keys=_build_keys(values.get("keys", [])),
    )


def _build_keys(values: list[dict[str, Any]]) -> "tuple[KeySettings, ...]":
    if not values:
        return ()
    # Imported on first use to keep the start of a process without keys short.
    from fescueseam.conf.models import KeySettings

    return tuple(KeySettings(item["key_id"], item["secret"]) for item in values)
