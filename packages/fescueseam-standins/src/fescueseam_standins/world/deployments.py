"""Define the deployments on which scenarios run."""

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
    """Backend server of a deployment and its data centre."""

    name: str
    service: str
    data_centre: str
    speed: float = 1.0


@frozen
class BalancerPlan:
    """Balancer of a deployment and its data centre."""

    name: str
    data_centre: str


@frozen
class Deployment:
    """Configuration, processes and network delays of one site."""

    name: str
    configuration: Configuration
    balancers: tuple[BalancerPlan, ...]
    servers: tuple[ServerPlan, ...]
    delays: Delays
    buckets: int = 64
    table_seed: int = 7
    """Seed of the bucket assignment in all tables."""


STREAM = FlowKind.STREAM
SERVER_SPEEDS = (1.0, 4.0, 2.0, 1.0, 3.0, 1.5, 2.5)


def make_ribera_norte() -> Deployment:
    """Return the deployment of a canal operator: ten backend servers in three data centres."""
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
    """Return the deployment of a handle maker: ten backend servers in three data centres."""
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
    """Return a deployment whose servers have the given speeds, in rotation for each service."""
    next_indexes: dict[str, int] = {}
    servers = []
    for plan in deployment.servers:
        index = next_indexes.get(plan.service, 0)
        next_indexes[plan.service] = index + 1
        servers.append(evolve(plan, speed=speeds[index % len(speeds)]))
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
        for service, server_count in zip(services, (7, 3), strict=True)
        for number in range(server_count)
    ]
    balancers = [BalancerPlan(f"entry-{number + 1}", centres[number]) for number in range(3)]
    return Deployment(name, cfg, tuple(balancers), tuple(servers), delays)
