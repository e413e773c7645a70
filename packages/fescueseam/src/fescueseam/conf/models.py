"""Define the operators' configuration and the settings of one process."""

from enum import StrEnum

from attrs import field, frozen


class Transport(StrEnum):
    """Name the transport protocol that callers of a class speak."""

    TCP = "tcp"
    UDP = "udp"
    QUIC = "quic"


class FlowKind(StrEnum):
    """Tell what a flow of a class takes from its backend server."""

    STREAM = "stream"
    """Hold one connection from open to close."""
    REQUEST = "request"
    """Hold one slot from open to close."""


class DataCentreState(StrEnum):
    """Tell whether a data centre takes part in the service."""

    IN = "in"
    OUT = "out"


@frozen
class ServiceClass:
    """Describe one class of flows of a service, known by its port."""

    name: str
    port: int
    transport: Transport = Transport.QUIC
    kind: FlowKind = FlowKind.REQUEST
    repeatable: bool = True
    """Tell whether running the same request twice does no harm."""
    opening_deadline_s: float = 5.0
    """Bound the time from the opening packet to its delivery, in seconds."""
    wait_s: float = 0.3
    """Bound the wait for a free slot before a refusal, in seconds."""
    idle_timeout_s: float = 30.0
    """Assume that a silent flow has ended after this time, in seconds."""


@frozen
class AdmissionRules:
    """Bound what one backend server of a service is given."""

    slots: int = 2
    connections: int = 2000
    cold_slots: int = 1
    """Bound requests at a backend server in a cold start."""
    cold_connections: int = 100
    """Bound streams at a backend server in a cold start."""
    warm_up_successes: int = 8
    """Count the completed requests that earn one further slot."""
    warm_up_s: float = 30.0
    """Grow the bound on streams to its full value over this time, in seconds."""


@frozen
class Service:
    """Describe one service behind one address."""

    name: str
    address: str
    classes: tuple[ServiceClass, ...] = ()
    admission: AdmissionRules = AdmissionRules()


@frozen
class DataCentre:
    """Describe one data centre."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


@frozen
class EndpointRule:
    """State what operators want of one backend server."""

    name: str
    drain: bool = False


@frozen
class SiteAdmission:
    """Replace the admission rules of one service in one data centre."""

    data_centre: str
    service: str
    admission: AdmissionRules


@frozen
class Configuration:
    """Hold everything that operators have accepted, at one version."""

    version: int = 0
    services: tuple[Service, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    endpoints: tuple[EndpointRule, ...] = ()
    sites: tuple[SiteAdmission, ...] = ()
    """List what differs by data centre; the overlays of the sites fill it."""


class Role(StrEnum):
    """Name the two roles of the daemon."""

    BALANCER = "balancer"
    AGENT = "agent"


@frozen
class KeySettings:
    """Hold one shared key of the messages between processes."""

    key_id: int
    secret: str = field(repr=False)


@frozen
class BackendSettings:
    """Locate the backend server beside an agent."""

    address: str
    load_url: str
    port_offset: int = 0
    """Add this to the port of a class to get the backend server's own port."""
    decapsulation_port: int = 6080
    """Receive encapsulated TCP packets on this UDP port of the instance."""


@frozen
class ProcessSettings:
    """Hold what one process must know before it can ask anybody."""

    name: str
    data_centre: str
    region: str
    address: str
    """Bind every socket of the process to this IP address."""
    control_port: int
    """Receive messages of other processes on this UDP port."""
    store_url: str
    keys: tuple[KeySettings, ...]
    """List accepted keys; the first one signs."""
    metrics_port: int
    role: Role = Role.AGENT
    packet_port: int = 6080
    """Receive packets of the fabric on this UDP port; balancers only."""
    fabric_address: str = ""
    """Return answers to this IP address; agents only."""
    fabric_port: int = 6080
    service: str = ""
    """Name the service of the backend server; agents only."""
    backend: BackendSettings | None = None
    seeds: tuple[str, ...] = ()
    """Ask these peers ("address:port") first while the store does not answer."""
    log_format: str = "json"
    drain_timeout_s: float = 30.0
    """Bound the wait for open flows at a graceful shutdown, in seconds."""
