"""Define the operators' configuration and the settings of one process."""

from enum import StrEnum

from attrs import field, frozen


class Transport(StrEnum):
    """Transport protocol that the callers of a class use."""

    TCP = "tcp"
    UDP = "udp"
    QUIC = "quic"


class FlowKind(StrEnum):
    """Kind of flow, which decides what it takes from its backend server."""

    STREAM = "stream"
    """The flow takes one connection from open to close."""
    REQUEST = "request"
    """The flow takes one slot from open to close."""


class DataCentreState(StrEnum):
    """Whether a data centre is in or out of service."""

    IN = "in"
    OUT = "out"


@frozen
class ServiceClass:
    """One class of flows of a service, identified by its port."""

    name: str
    port: int
    transport: Transport = Transport.QUIC
    kind: FlowKind = FlowKind.REQUEST
    repeatable: bool = True
    """Whether running the same request twice does no harm."""
    opening_deadline_s: float = 5.0
    """Longest time from the opening packet to its delivery, in seconds."""
    wait_s: float = 0.3
    """Longest wait for a free slot before a refusal, in seconds."""
    idle_timeout_s: float = 30.0
    """Time without packets after which a flow counts as ended, in seconds."""


@frozen
class AdmissionRules:
    """Limits on the flows that one backend server of a service is given."""

    slots: int = 2
    connections: int = 2000
    cold_slots: int = 1
    """Largest number of requests at a backend server in a cold start."""
    cold_connections: int = 100
    """Largest number of streams at a backend server in a cold start."""
    warm_up_successes: int = 8
    """Number of completed requests that raise the limit by one slot during warm-up."""
    warm_up_s: float = 30.0
    """Time in which the limit on streams rises to its full value, in seconds."""


@frozen
class Service:
    """One service behind one address."""

    name: str
    address: str
    classes: tuple[ServiceClass, ...] = ()
    admission: AdmissionRules = AdmissionRules()


@frozen
class DataCentre:
    """One data centre."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


@frozen
class EndpointRule:
    """Operators' instructions for one backend server."""

    name: str
    drain: bool = False


@frozen
class SiteAdmission:
    """Admission rules that replace those of one service in one data centre."""

    data_centre: str
    service: str
    admission: AdmissionRules


@frozen
class Configuration:
    """The whole configuration that operators have accepted, at one version."""

    version: int = 0
    services: tuple[Service, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    endpoints: tuple[EndpointRule, ...] = ()
    sites: tuple[SiteAdmission, ...] = ()
    """Admission rules that differ by data centre, taken from the overlays of the sites."""


class Role(StrEnum):
    """Role of a daemon process."""

    BALANCER = "balancer"
    AGENT = "agent"


@frozen
class KeySettings:
    """One shared key that authenticates messages between processes."""

    key_id: int
    secret: str = field(repr=False)


@frozen
class BackendSettings:
    """Address and ports of the backend server beside an agent."""

    address: str
    load_url: str
    port_offset: int = 0
    """Number added to the port of a class to get the backend server's own port."""
    decapsulation_port: int = 6080
    """UDP port of the instance that receives encapsulated TCP packets."""


@frozen
class ProcessSettings:
    """Settings that one process needs before it can reach the store or a peer."""

    name: str
    data_centre: str
    region: str
    address: str
    """IP address to which all sockets of the process are bound."""
    control_port: int
    """UDP port that receives messages of other processes."""
    store_url: str
    keys: tuple[KeySettings, ...]
    """Accepted keys; the first one signs."""
    metrics_port: int
    role: Role = Role.AGENT
    packet_port: int = 6080
    """UDP port that receives packets of the fabric; balancers only."""
    fabric_address: str = ""
    """IP address of the fabric that receives answers to callers; agents only."""
    fabric_port: int = 6080
    service: str = ""
    """Name of the backend server's service; agents only."""
    backend: BackendSettings | None = None
    seeds: tuple[str, ...] = ()
    """Peers ("address:port") to contact first while the store does not answer."""
    log_format: str = "json"
    drain_timeout_s: float = 30.0
    """Longest wait for open flows at a graceful shutdown, in seconds."""
