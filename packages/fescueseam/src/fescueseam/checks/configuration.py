"""Check the operators' configuration."""

import ipaddress
from collections.abc import Iterator

from fescueseam.checks.faults import Fault, FaultId
from fescueseam.checks.registry import register_check
from fescueseam.checks.values import (
    check_address,
    check_name,
    check_port,
    check_range,
    check_unique,
)
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentreState,
    FlowKind,
    Service,
    ServiceClass,
    Transport,
)

MAX_SLOTS = 4096
MAX_CONNECTIONS = 1_000_000
MAX_WARM_UP_SUCCESSES = 10_000
MAX_WARM_UP_S = 3600.0
MIN_OPENING_DEADLINE_S = 0.05
MAX_OPENING_DEADLINE_S = 60.0
MIN_IDLE_TIMEOUT_S = 1.0
MAX_IDLE_TIMEOUT_S = 86_400.0


@register_check(Configuration)
def check_names(cfg: Configuration) -> Iterator[Fault]:
    """Report names that are invalid or used twice."""
    named = {
        "services": [service.name for service in cfg.services],
        "data_centres": [data_centre.name for data_centre in cfg.data_centres],
        "endpoints": [rule.name for rule in cfg.endpoints],
    }
    for service in cfg.services:
        key = f"services[{service.name}].classes"
        named[key] = [service_class.name for service_class in service.classes]
    for key, names in named.items():
        for name in names:
            yield from check_name(f"{key}[{name}].name", name)
        yield from check_unique(
            [(f"{key}[{index}].name", name) for index, name in enumerate(names)], "name"
        )
    for data_centre in cfg.data_centres:
        path = f"data_centres[{data_centre.name}].region"
        yield from check_name(path, data_centre.region)


@register_check(Configuration)
def check_addresses(cfg: Configuration) -> Iterator[Fault]:
    """Report addresses of services that are invalid or used twice."""
    addresses = []
    for service in cfg.services:
        path = f"services[{service.name}].address"
        faults = list(check_address(path, service.address))
        yield from faults
        if not faults:
            addresses.append((path, ipaddress.ip_address(service.address)))
    yield from check_unique(addresses, "address")


@register_check(Configuration)
def check_classes(cfg: Configuration) -> Iterator[Fault]:
    """Report services without classes, invalid classes and classes that share a port."""
    for service in cfg.services:
        path = f"services[{service.name}].classes"
        if not service.classes:
            message = f"{service.name!r} has no class, so it accepts no flow"
            yield Fault(FaultId.NO_CLASSES, path, message, "add a class with a port")
        ports = []
        for service_class in service.classes:
            class_path = f"{path}[{service_class.name}]"
            yield from check_port(f"{class_path}.port", service_class.port)
            yield from _check_timeouts(class_path, service_class)
            yield from _check_repeatable(class_path, service_class)
            # Only the port identifies a packet's class; its transport does not.
            ports.append((f"{class_path}.port", service_class.port))
        yield from check_unique(ports, "port")


@register_check(Configuration)
def check_admission(cfg: Configuration) -> Iterator[Fault]:
    """Report admission limits that are out of range or contradict each other."""
    for service in cfg.services:
        yield from _check_admission_rules(f"services[{service.name}].admission", service.admission)


@register_check(Configuration)
def check_limits_admit_classes(cfg: Configuration) -> Iterator[Fault]:
    """Report limits of 0 on a kind of flow for which the service has a class."""
    for service in cfg.services:
        yield from _check_limits_admit_classes(service)


@register_check(Configuration)
def check_data_centres(cfg: Configuration) -> Iterator[Fault]:
    """Report a configuration without any data centre in service."""
    states = [data_centre.state for data_centre in cfg.data_centres]
    if not states:
        message = "there is no data centre"
        yield Fault(FaultId.MISSING_KEY, "data_centres", message, "add at least one")
    elif DataCentreState.IN not in states:
        yield Fault(
            FaultId.ALL_DATA_CENTRES_OUT, "data_centres", "every data centre is out of service"
        )


@register_check(Configuration)
def check_sites(cfg: Configuration) -> Iterator[Fault]:
    """Report admission rules of sites for unknown data centres or services, or with bad limits."""
    data_centres = {data_centre.name for data_centre in cfg.data_centres}
    services = {service.name for service in cfg.services}
    for site in cfg.sites:
        path = f"sites[{site.data_centre}/{site.service}]"
        if site.data_centre not in data_centres:
            message = f"there is no data centre {site.data_centre!r}"
            yield Fault(FaultId.UNKNOWN_DATA_CENTRE, path, message)
        if site.service not in services:
            yield Fault(FaultId.UNKNOWN_SERVICE, path, f"there is no service {site.service!r}")
        yield from _check_admission_rules(f"{path}.admission", site.admission)


def _check_admission_rules(path: str, rules: AdmissionRules) -> Iterator[Fault]:
    yield from check_range(f"{path}.slots", rules.slots, 0, MAX_SLOTS)
    yield from check_range(f"{path}.connections", rules.connections, 0, MAX_CONNECTIONS)
    yield from check_range(f"{path}.cold_slots", rules.cold_slots, 1, MAX_SLOTS)
    yield from check_range(f"{path}.cold_connections", rules.cold_connections, 0, MAX_CONNECTIONS)
    successes = rules.warm_up_successes
    yield from check_range(f"{path}.warm_up_successes", successes, 1, MAX_WARM_UP_SUCCESSES)
    yield from check_range(f"{path}.warm_up_s", rules.warm_up_s, 0, MAX_WARM_UP_S)
    # A service without slots does not use cold_slots, whose smallest value is 1.
    limits = (
        ("cold_slots", rules.cold_slots, max(rules.slots, 1)),
        ("cold_connections", rules.cold_connections, rules.connections),
    )
    for name, cold_limit, full_limit in limits:
        if cold_limit > full_limit:
            message = f"the cold start limit of {cold_limit} exceeds the full limit of {full_limit}"
            yield Fault(
                FaultId.COLD_LIMIT_TOO_HIGH, f"{path}.{name}", message, f"at most {full_limit}"
            )


def _check_limits_admit_classes(service: Service) -> Iterator[Fault]:
    kinds = {service_class.kind for service_class in service.classes}
    rules = service.admission
    limits = (
        (FlowKind.REQUEST, "slots", rules.slots),
        (FlowKind.STREAM, "connections", rules.connections),
    )
    for kind, name, limit in limits:
        if kind in kinds and limit == 0:
            path = f"services[{service.name}].admission.{name}"
            message = f"a limit of 0 admits no {kind}, but the service has a class of that kind"
            yield Fault(FaultId.OUT_OF_RANGE, path, message, "at least 1")


def _check_timeouts(path: str, service_class: ServiceClass) -> Iterator[Fault]:
    deadline_s = service_class.opening_deadline_s
    wait_s = service_class.wait_s
    idle_s = service_class.idle_timeout_s
    yield from check_range(
        f"{path}.opening_deadline_s", deadline_s, MIN_OPENING_DEADLINE_S, MAX_OPENING_DEADLINE_S
    )
    yield from check_range(f"{path}.idle_timeout_s", idle_s, MIN_IDLE_TIMEOUT_S, MAX_IDLE_TIMEOUT_S)
    yield from check_range(f"{path}.wait_s", wait_s, 0, MAX_OPENING_DEADLINE_S)
    if wait_s >= deadline_s:
        message = f"a wait of {wait_s:g} s leaves no time before the deadline of {deadline_s:g} s"
        hint = "make it shorter than opening_deadline_s"
        yield Fault(FaultId.WAIT_NOT_BELOW_DEADLINE, f"{path}.wait_s", message, hint)
    if idle_s < deadline_s:
        message = f"{idle_s:g} s is shorter than the opening deadline of {deadline_s:g} s"
        hint = "a flow could expire while its opening still waits"
        yield Fault(FaultId.SHORT_IDLE_TIMEOUT, f"{path}.idle_timeout_s", message, hint)


def _check_repeatable(path: str, service_class: ServiceClass) -> Iterator[Fault]:
    if service_class.repeatable:
        return
    if service_class.kind is FlowKind.STREAM:
        message = "each stream must be claimed before delivery, so that it runs at most once"
        hint = "streams are usually repeatable, and each claim costs a round trip"
        yield Fault(FaultId.NOT_REPEATABLE_STREAM, f"{path}.repeatable", message, hint)
    if service_class.transport is Transport.UDP:
        message = (
            "plain UDP does not mark openings, so a packet after the idle timeout opens a new flow"
        )
        hint = "use QUIC or TCP, or an idle timeout longer than any packet can be delayed"
        yield Fault(FaultId.NOT_REPEATABLE_UDP, f"{path}.repeatable", message, hint)
