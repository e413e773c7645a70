"""Plan the processes of one deployment and their addresses."""

import json
import sys
from pathlib import Path

from attrs import frozen

from fescueseam.conf.documents import SettingsFile
from fescueseam.conf.loading import load_configuration
from fescueseam.conf.models import Configuration, FlowKind, Role, Service, Transport

BALANCER_COUNT = 3
ENDPOINT_COUNTS = {
    "ribera-norte": {"bitacora": 7, "acopio": 3},
    "lintang": {"katalog": 7, "foto-cocok": 3},
}
"""Number of endpoints of each service, by deployment."""
SUBNETS = {"ribera-norte": "127.40.0", "lintang": "127.50.0"}
"""Loopback network of each deployment; they differ so that both can run at one time."""
STORE_PORT = 7400
CONTROL_PORT = 7411
METRICS_PORT = 7412
LOAD_PORT = 7480
FABRIC_CONTROL_PORT = 7001
FABRIC_PORT = 6081
FABRIC_RETURN_PORT = 6080
PACKET_PORT = 6080
DECAPSULATION_PORT = 6081
BACKEND_PORT_OFFSET = 10_000
"""Offset from the port of a class to the port of its backend servers.

It avoids the ports that only a privileged user may bind.
"""
FIRST_BALANCER_HOST = 11
FIRST_ENDPOINT_HOST = 21
DRAIN_TIMEOUT_S = 3.0


@frozen
class ProcessPlan:
    """Command line of one process and the URL that answers once it is ready."""

    name: str
    command: tuple[str, ...]
    ready_url: str


@frozen
class EndpointPlan:
    """One backend server and the agent beside it."""

    name: str
    service: str
    data_centre: str
    address: str

    @property
    def backend_url(self) -> str:
        """Return the URL of the backend server's load and control endpoints."""
        return f"http://{self.address}:{LOAD_PORT}"


@frozen
class BalancerPlan:
    """One balancer."""

    name: str
    data_centre: str
    address: str


@frozen
class DeploymentPlan:
    """Everything that one demonstration starts."""

    name: str
    cfg: Configuration
    folder: Path
    subnet: str
    balancers: tuple[BalancerPlan, ...]
    endpoints: tuple[EndpointPlan, ...]

    @property
    def store_url(self) -> str:
        """Return the URL of the platform stand-in, which serves the store."""
        return f"http://{self.subnet}.1:{STORE_PORT}"

    @property
    def fabric_address(self) -> str:
        """Return the address of the fabric stand-in."""
        return f"{self.subnet}.2"

    @property
    def caller_address(self) -> str:
        """Return the address of the socket that all callers share."""
        return f"{self.subnet}.3"

    @property
    def fabric_url(self) -> str:
        """Return the URL of the fabric's control endpoint."""
        return f"http://{self.fabric_address}:{FABRIC_CONTROL_PORT}"


def plan_deployment(name: str, examples: Path) -> DeploymentPlan:
    """Plan the processes of an example deployment."""
    folder = examples / name
    sites = {path.stem: read_settings_file(path) for path in sorted(folder.glob("sites/*.json"))}
    cfg = load_configuration(read_settings_file(folder / "base.json"), sites)
    subnet = SUBNETS[name]
    centres = [centre.name for centre in cfg.data_centres]
    balancers = tuple(
        BalancerPlan(
            f"balancer-{index + 1}",
            centres[index % len(centres)],
            f"{subnet}.{FIRST_BALANCER_HOST + index}",
        )
        for index in range(BALANCER_COUNT)
    )
    placements = [
        (service, f"{service}-{index + 1}", centres[index % len(centres)])
        for service, count in ENDPOINT_COUNTS[name].items()
        for index in range(count)
    ]
    endpoints = tuple(
        EndpointPlan(endpoint, service, centre, f"{subnet}.{FIRST_ENDPOINT_HOST + host}")
        for host, (service, endpoint, centre) in enumerate(placements)
    )
    return DeploymentPlan(name, cfg, folder, subnet, balancers, endpoints)


def read_settings_file(path: Path) -> SettingsFile:
    """Read one settings file."""
    return SettingsFile(str(path), path.read_bytes())


def find_service(cfg: Configuration, name: str) -> Service:
    """Return a service by name."""
    return next(service for service in cfg.services if service.name == name)


def plan_platform(plan: DeploymentPlan) -> ProcessPlan:
    """Plan the platform stand-in."""
    command = _build_standin_command(
        "platform", "--address", f"{plan.subnet}.1", "--port", str(STORE_PORT)
    )
    return ProcessPlan("platform", command, f"{plan.store_url}/calls")


def plan_fabric(plan: DeploymentPlan) -> ProcessPlan:
    """Plan the fabric stand-in."""
    balancers = [
        argument
        for balancer in plan.balancers
        for argument in ("--balancer", f"{balancer.address}:{PACKET_PORT}")
    ]
    command = _build_standin_command(
        "fabric",
        *("--address", plan.fabric_address),
        *("--port", str(FABRIC_PORT)),
        *("--return-port", str(FABRIC_RETURN_PORT)),
        *("--control-port", str(FABRIC_CONTROL_PORT)),
        *("--duplicate-rate", "0.02", "--reorder-rate", "0.02"),
        *balancers,
    )
    return ProcessPlan("fabric", command, f"{plan.fabric_url}/balancers")


def plan_backend(plan: DeploymentPlan, endpoint: EndpointPlan) -> ProcessPlan:
    """Plan the backend server stand-in of an endpoint."""
    service = find_service(plan.cfg, endpoint.service)
    admission = service.admission
    arguments: list[str] = []
    for service_class in service.classes:
        option = "--request-port"
        if service_class.transport is Transport.TCP:
            continue
        if service_class.transport is Transport.UDP:
            option = "--udp-port"
        elif service_class.kind is FlowKind.STREAM:
            option = "--stream-port"
        arguments += [option, str(service_class.port + BACKEND_PORT_OFFSET)]
    command = _build_standin_command(
        "backend",
        *("--service", endpoint.service),
        *("--name", endpoint.name),
        *("--address", endpoint.address),
        *("--load-port", str(LOAD_PORT)),
        *("--decapsulation-port", str(DECAPSULATION_PORT)),
        *("--slots", str(admission.slots)),
        *("--connections", str(admission.connections)),
        *("--cold-slots", str(admission.cold_slots)),
        *("--cold-connections", str(admission.cold_connections)),
        *("--warm-up-successes", str(admission.warm_up_successes)),
        *("--warm-up-s", str(admission.warm_up_s)),
        *arguments,
    )
    return ProcessPlan(f"{endpoint.name}-backend", command, f"{endpoint.backend_url}/load")


def plan_balancer(
    plan: DeploymentPlan, balancer: BalancerPlan, scratch_folder: Path
) -> ProcessPlan:
    """Plan one balancer and write its overlay to the scratch folder."""
    overlay = _build_overlay(plan, balancer.name, balancer.data_centre, balancer.address)
    overlay |= {"role": Role.BALANCER.value, "packet_port": PACKET_PORT}
    return _plan_daemon(plan, "balancer", balancer.name, balancer.address, overlay, scratch_folder)


def plan_agent(plan: DeploymentPlan, endpoint: EndpointPlan, scratch_folder: Path) -> ProcessPlan:
    """Plan the agent of one endpoint and write its overlay to the scratch folder."""
    overlay = _build_overlay(plan, endpoint.name, endpoint.data_centre, endpoint.address)
    overlay |= {
        "role": Role.AGENT.value,
        "service": endpoint.service,
        "backend": {
            "address": endpoint.address,
            "load_url": f"{endpoint.backend_url}/load",
            "port_offset": BACKEND_PORT_OFFSET,
            "decapsulation_port": DECAPSULATION_PORT,
        },
    }
    return _plan_daemon(plan, "agent", endpoint.name, endpoint.address, overlay, scratch_folder)


def find_program(name: str) -> str:
    """Return the path of a program that is installed beside the Python interpreter."""
    return str(Path(sys.executable).with_name(name))


def _build_overlay(
    plan: DeploymentPlan, name: str, data_centre: str, address: str
) -> dict[str, object]:
    return {
        "name": name,
        "data_centre": data_centre,
        "address": address,
        "control_port": CONTROL_PORT,
        "metrics_port": METRICS_PORT,
        "store_url": plan.store_url,
        "seeds": [f"{item.address}:{CONTROL_PORT}" for item in plan.balancers if item.name != name],
        "fabric_address": plan.fabric_address,
        "fabric_port": FABRIC_RETURN_PORT,
        "drain_timeout_s": DRAIN_TIMEOUT_S,
    }


def _plan_daemon(
    plan: DeploymentPlan,
    role: str,
    name: str,
    address: str,
    overlay: dict[str, object],
    scratch_folder: Path,
) -> ProcessPlan:
    path = scratch_folder / f"{name}.json"
    path.write_text(json.dumps(overlay, indent=2))
    base = plan.folder / "processes" / "base.json"
    command = (find_program("fescueseamd"), role, "--base", str(base), "--overlay", str(path))
    return ProcessPlan(name, command, f"http://{address}:{METRICS_PORT}/readyz")


def _build_standin_command(name: str, *arguments: str) -> tuple[str, ...]:
    return (sys.executable, "-m", f"fescueseam_standins.{name}", *arguments)
