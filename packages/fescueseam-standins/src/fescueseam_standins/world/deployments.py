"""Describe the deployments that scenarios run on."""

from attrs import evolve, frozen

from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentre,
    FlowKind,
    Service,
    ServiceClass,
    Transport,
)

from .network import Delays


@frozen
class ServerPlan:
    """Describe one backend server and where it lives."""

    name: str
    service: str
    data_centre: str
    speed: float = 1.0


@frozen
class BalancerPlan:
    """Describe one balancer and where it lives."""

    name: str
    data_centre: str


@frozen
class Deployment:
    """Hold a configuration, the processes and the delays of one site."""

    name: str
    configuration: Configuration
    balancers: tuple[BalancerPlan, ...]
    servers: tuple[ServerPlan, ...]
    delays: Delays
    buckets: int = 64
    table_seed: int = 7
    """Seed the buckets of every table."""


STREAM = FlowKind.STREAM
SERVER_SPEEDS = (1.0, 4.0, 2.0, 1.0, 3.0, 1.5, 2.5)


def make_ribera_norte() -> Deployment:
    """Return the canal firm's deployment."""
    centres = ("esclusa-uno", "esclusa-dos", "almacen-sur")
    rules = AdmissionRules(slots=2)
    services = (
        Service(
            "bitacora",
            "10.40.0.10",
            (
                ServiceClass("alerts", 443, Transport.QUIC, STREAM, True, 3.0, 0.2, 120.0),
                ServiceClass("repairs", 8443, Transport.QUIC, repeatable=False),
                ServiceClass("soundings", 5683, Transport.UDP, opening_deadline_s=2.0, wait_s=0.1),
            ),
            rules,
        ),
        Service(
            "acopio",
            "10.40.0.20",
            (
                ServiceClass("photos", 443, Transport.QUIC, opening_deadline_s=8.0, wait_s=0.5),
                ServiceClass("uploads", 8443, Transport.TCP, opening_deadline_s=8.0, wait_s=0.5),
            ),
            rules,
        ),
    )
    return _make_deployment("ribera-norte", centres, "valle-central", services, Delays(0.0015))


def make_lintang() -> Deployment:
    """Return the handle works' deployment."""
    centres = ("semarang", "solo", "magelang")
    rules = AdmissionRules(slots=5)
    services = (
        Service(
            "katalog",
            "10.50.0.10",
            (
                ServiceClass("listings", 443, Transport.QUIC, STREAM, True, 3.0, 0.2, 120.0),
                ServiceClass("reservations", 8443, Transport.QUIC, repeatable=False),
                ServiceClass("lookups", 5683, Transport.UDP, opening_deadline_s=2.0, wait_s=0.1),
            ),
            rules,
        ),
        Service(
            "foto-cocok",
            "10.50.0.20",
            (
                ServiceClass("photos", 443, Transport.QUIC, opening_deadline_s=8.0, wait_s=0.5),
                ServiceClass("uploads", 8443, Transport.TCP, opening_deadline_s=8.0, wait_s=0.5),
            ),
            rules,
        ),
    )
    return _make_deployment("lintang", centres, "jawa-tengah", services, Delays(0.001))


DEPLOYMENTS = {"ribera-norte": make_ribera_norte, "lintang": make_lintang}


def set_speeds(deployment: Deployment, speeds: tuple[float, ...]) -> Deployment:
    """Give the backend servers of each service the speeds in turn."""
    numbers: dict[str, int] = {}
    servers = []
    for plan in deployment.servers:
        number = numbers.get(plan.service, 0)
        numbers[plan.service] = number + 1
        servers.append(evolve(plan, speed=speeds[number % len(speeds)]))
    return evolve(deployment, servers=tuple(servers))


def _make_deployment(
    name: str,
    centres: tuple[str, ...],
    region: str,
    services: tuple[Service, ...],
    delays: Delays,
) -> Deployment:
    cfg = Configuration(
        version=1,
        services=services,
        data_centres=tuple(DataCentre(centre, region) for centre in centres),
    )
    servers = [
        ServerPlan(f"{service.name}-{number + 1}", service.name, centres[number % len(centres)])
        for service, size in zip(services, (7, 3), strict=True)
        for number in range(size)
    ]
    balancers = [BalancerPlan(f"entry-{number + 1}", centres[number]) for number in range(3)]
    return Deployment(name, cfg, tuple(balancers), tuple(servers), delays)
