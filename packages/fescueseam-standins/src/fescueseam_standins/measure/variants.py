"""Define the measured variants and make a world for each."""

from collections import Counter
from collections.abc import Callable

import xxhash
from attrs import define, evolve, field

from fescueseam.conf.models import AdmissionRules
from fescueseam.effects import Refuse
from fescueseam.packets.ip import parse_packet

from ..world.cores import make_agent, make_balancer
from ..world.deployments import DEPLOYMENTS, SERVER_SPEEDS, Deployment, ServerPlan, set_speeds
from ..world.hosts import BalancerHost
from ..world.network import CALLERS, Location
from ..world.process_state import ProcessState
from ..world.world import World
from .baselines import Baseline, make_connection_table, make_consistent_hashing, make_two_choices

FESCUESEAM = "fescueseam"
CONSISTENT_HASHING = "consistent-hashing"
CONNECTION_TABLE = "connection-table"
TWO_CHOICES = "two-choices"

_BASELINE_FACTORIES: dict[str, Callable[[], Baseline]] = {
    CONSISTENT_HASHING: make_consistent_hashing,
    CONNECTION_TABLE: make_connection_table,
    TWO_CHOICES: make_two_choices,
}
VARIANTS = (FESCUESEAM, *_BASELINE_FACTORIES)

WIDE_MIX = "wide-mix"
"""Deployment of one service with many servers of few slots and mixed speeds."""
WIDE_MIX_SPEEDS = (1.0, 4.0, 1.2, 3.4, 1.5, 2.8, 1.9, 2.3, 1.1, 3.7, 1.0, 4.0)
WIDE_MIX_SLOTS = 4
WIDE_MIX_SERVICE = "katalog"
REPORT_LAG_S = 2.0
"""Age of load reports when agents receive them, in seconds."""
FREE_SLOT_SHARE_THRESHOLD = 0.1
"""Smallest share of free slots at which a refusal counts as made while slots were free."""


@define(eq=False)
class MeasuredWorld(World):
    """World that counts refusals, and those made while slots were free."""

    has_flow_affinity: bool = False
    """Whether the fabric keeps a flow at one balancer while the set of balancers is unchanged."""
    refusals_while_free: Counter[str] = field(factory=Counter)
    """Refusals of each service while at least a tenth of its slots was free."""
    refusals: Counter[str] = field(factory=Counter)
    """Refusals of each service."""
    measurement_start_s: float = 0.0
    """Virtual time from which refusals are counted, in seconds."""

    def send_refusal(self, source: Location, effect: Refuse) -> None:
        """Count a refusal and send it to the caller."""
        service = self._find_service_name(effect)
        if self.timeline.now >= self.measurement_start_s:
            self.refusals[service] += 1
            self.refusals_while_free[service] += (
                self.compute_free_slot_share(service) >= FREE_SLOT_SHARE_THRESHOLD
            )
        super().send_refusal(source, effect)

    def compute_free_slot_share(self, service: str) -> float:
        """Return the share of a service's slots that is free."""
        servers = [item for item in self.backends.values() if item.service == service]
        slots = sum(server.rules.slots for server in servers)
        return 1 - sum(server.busy for server in servers) / slots

    def send_through_fabric(self, raw: bytes) -> None:
        """Send a caller's packet to a balancer."""
        if not self.has_flow_affinity:
            super().send_through_fabric(raw)
            return
        packed = parse_packet(raw).flow.pack()

        def rank(host: BalancerHost) -> int:
            return xxhash.xxh3_64_intdigest(packed + host.name.encode())

        hosts = [host for host in self.balancers.values() if host.state is not ProcessState.DEAD]
        if hosts:
            host = max(hosts, key=rank)
            self.network.send(
                CALLERS, host.location, lambda: host.receive(lambda: host.receive_packet(raw))
            )

    def _find_service_name(self, effect: Refuse) -> str:
        address = effect.packet.flow.destination
        view = next(iter(self.agents.values())).view
        service = view.find_service(address)
        return service.name if service is not None else ""


def make_deployment(name: str) -> Deployment:
    """Return a deployment whose server speeds differ up to fourfold."""
    if name != WIDE_MIX:
        return set_speeds(DEPLOYMENTS[name](), SERVER_SPEEDS)
    base = DEPLOYMENTS["lintang"]()
    service = next(item for item in base.configuration.services if item.name == WIDE_MIX_SERVICE)
    data_centres = base.configuration.data_centres
    servers = tuple(
        ServerPlan(
            f"{service.name}-{number + 1}", service.name, data_centres[number % 3].name, speed
        )
        for number, speed in enumerate(WIDE_MIX_SPEEDS)
    )
    service = evolve(service, admission=AdmissionRules(slots=WIDE_MIX_SLOTS))
    cfg = evolve(base.configuration, services=(service,))
    return evolve(base, name=WIDE_MIX, configuration=cfg, servers=servers)


DEPLOYMENT_NAMES = (*DEPLOYMENTS, WIDE_MIX)


def make_world(
    variant: str, deployment: Deployment, seed: int, starts_warm: bool = True
) -> MeasuredWorld:
    """Return a world that runs a variant; the caller starts it."""
    if variant == FESCUESEAM:
        return MeasuredWorld(deployment, seed, make_balancer, make_agent, starts_warm=starts_warm)
    baseline = _BASELINE_FACTORIES[variant]()
    return MeasuredWorld(
        deployment,
        seed,
        baseline.make_balancer,
        baseline.make_agent,
        starts_warm=starts_warm,
        # A connection table in a balancer only helps if the fabric keeps a flow at one balancer.
        has_flow_affinity=variant in (CONNECTION_TABLE, TWO_CHOICES),
    )
