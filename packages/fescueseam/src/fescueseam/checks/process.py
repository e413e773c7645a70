"""Check the settings of one process."""

from collections.abc import Iterator

from fescueseam.checks.faults import Fault, FaultId
from fescueseam.checks.keys import check_key_values
from fescueseam.checks.registry import register_check
from fescueseam.checks.values import (
    MAX_PORT,
    check_address,
    check_name,
    check_port,
    check_range,
    check_unique,
    check_url,
)
from fescueseam.conf.models import ProcessSettings, Role

MAX_DRAIN_TIMEOUT_S = 86_400.0
LOG_FORMATS = ("json", "text")


@register_check(ProcessSettings)
def check_identity(settings: ProcessSettings) -> Iterator[Fault]:
    """Report an invalid name, data centre, region, address or store URL."""
    for key in ("name", "data_centre", "region"):
        yield from check_name(key, getattr(settings, key))
    yield from check_address("address", settings.address)
    yield from check_url("store_url", settings.store_url)


@register_check(ProcessSettings)
def check_ports(settings: ProcessSettings) -> Iterator[Fault]:
    """Report ports that are invalid or that the process would bind twice."""
    yield from check_port("control_port", settings.control_port)
    yield from check_port("metrics_port", settings.metrics_port)
    yield from check_port("packet_port", settings.packet_port)
    yield from check_port("fabric_port", settings.fabric_port)
    if settings.role is Role.BALANCER:
        bound_ports = [
            ("control_port", settings.control_port),
            ("packet_port", settings.packet_port),
        ]
        yield from check_unique(bound_ports, "port")


@register_check(ProcessSettings)
def check_keys(settings: ProcessSettings) -> Iterator[Fault]:
    """Report missing keys, invalid or repeated key ids and short secrets; show no secret."""
    if not settings.keys:
        hint = "add one; the first key signs"
        yield Fault(FaultId.BAD_KEY, "keys", "no key is set", hint)
    yield from check_key_values((key.key_id, key.secret) for key in settings.keys)


@register_check(ProcessSettings)
def check_role(settings: ProcessSettings) -> Iterator[Fault]:
    """Report settings that the role needs and lacks, or does not use."""
    if settings.role is Role.BALANCER:
        if settings.backend is not None:
            yield Fault(FaultId.UNUSED_FOR_ROLE, "backend", "a balancer has no backend server")
        if settings.service:
            yield Fault(FaultId.UNUSED_FOR_ROLE, "service", "a balancer serves every service")
        return
    if not settings.service:
        yield Fault(FaultId.MISSING_FOR_ROLE, "service", "an agent needs its service")
    else:
        yield from check_name("service", settings.service)
    if not settings.fabric_address:
        message = "an agent needs the fabric address that receives answers"
        yield Fault(FaultId.MISSING_FOR_ROLE, "fabric_address", message)
    else:
        yield from check_address("fabric_address", settings.fabric_address)
    if settings.backend is None:
        yield Fault(FaultId.MISSING_FOR_ROLE, "backend", "an agent needs its backend server")
        return
    yield from check_address("backend.address", settings.backend.address)
    yield from check_url("backend.load_url", settings.backend.load_url)
    offset = settings.backend.port_offset
    yield from check_range("backend.port_offset", offset, 0, MAX_PORT - 1)
    yield from check_port("backend.decapsulation_port", settings.backend.decapsulation_port)


@register_check(ProcessSettings)
def check_seeds(settings: ProcessSettings) -> Iterator[Fault]:
    """Report seeds that are not addresses with a port, or are the process itself."""
    for index, seed in enumerate(settings.seeds):
        path = f"seeds[{index}]"
        address, _, port = seed.rpartition(":")
        if not port.isascii() or not port.isdigit():
            message = f"{seed!r} has no port"
            yield Fault(FaultId.BAD_SEED, path, message, "write address:port")
            continue
        yield from check_address(path, address.strip("[]"))
        yield from check_port(path, int(port))
        if seed == f"{settings.address}:{settings.control_port}":
            yield Fault(FaultId.BAD_SEED, path, f"{seed} is the process itself")


@register_check(ProcessSettings)
def check_drain_timeout_and_log_format(settings: ProcessSettings) -> Iterator[Fault]:
    """Report a drain timeout out of range or an unknown log format."""
    drain_s = settings.drain_timeout_s
    yield from check_range("drain_timeout_s", drain_s, 0, MAX_DRAIN_TIMEOUT_S)
    if settings.log_format not in LOG_FORMATS:
        hint = "one of " + ", ".join(LOG_FORMATS)
        message = f"{settings.log_format!r} is not a choice"
        yield Fault(FaultId.UNKNOWN_CHOICE, "log_format", message, hint)
