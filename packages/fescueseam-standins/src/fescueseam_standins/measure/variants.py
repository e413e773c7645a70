"""Name the variants that are measured and make a world of each."""

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
WIDE_MIX_SPEEDS = (1.0, 4.0, 1.2, 3.4, 1.5, 2.8, 1.9, 2.3, 1.1, 3.7, 1.0, 4.0)
WIDE_MIX_SLOTS = 4
WIDE_MIX_SERVICE = "katalog"
REPORT_LAG_S = 2.0
FREE_SLOT_SHARE_THRESHOLD = 0.1


@define(eq=False)
class MeasuredWorld(World):
    """Run a deployment and note how much was free at each refusal."""

    has_flow_affinity: bool = False
    """Let the fabric hand a flow's packets to one balancer while the balancers stand."""
    refusals_while_free: Counter[str] = field(factory=Counter)
    """Count the refusals of each service that came while a tenth of its slots was free."""
    refusals: Counter[str] = field(factory=Counter)
    measurement_start_s: float = 0.0

    def send_refusal(self, source: Location, effect: Refuse) -> None:
        """Count the refusal and pass it on."""
        service = self._find_service_name(effect)
        if self.timeline.now >= self.measurement_start_s:
            self.refusals[service] += 1
            self.refusals_while_free[service] += (
                self.compute_free_slot_share(service) >= FREE_SLOT_SHARE_THRESHOLD
            )
        super().send_refusal(source, effect)

    def compute_free_slot_share(self, service: str) -> float:
        """Return the share of a service's slots that is free now."""
        servers = [item for item in self.backends.values() if item.service == service]
        slots = sum(server.rules.slots for server in servers)
        return 1 - sum(server.busy for server in servers) / slots

    def send_through_fabric(self, raw: bytes) -> None:
        """Hand a caller's packet to a balancer."""
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
    """Return a deployment with speeds that differ fourfold."""
    if name != WIDE_MIX:
        return set_speeds(DEPLOYMENTS[name](), SERVER_SPEEDS)
    base = DEPLOYMENTS["lintang"]()
    service = next(item for item in base.configuration.services if item.name == WIDE_MIX_SERVICE)
    centres = base.configuration.data_centres
    servers = tuple(
        ServerPlan(f"{service.name}-{number + 1}", service.name, centres[number % 3].name, speed)
        for number, speed in enumerate(WIDE_MIX_SPEEDS)
    )
    service = evolve(service, admission=AdmissionRules(slots=WIDE_MIX_SLOTS))
    cfg = evolve(base.configuration, services=(service,))
    return evolve(base, name=WIDE_MIX, configuration=cfg, servers=servers)


DEPLOYMENT_NAMES = (*DEPLOYMENTS, WIDE_MIX)


def make_world(variant: str, deployment: Deployment, seed: int, warm: bool = True) -> MeasuredWorld:
    """Make a world that runs a variant; start is the caller's."""
    if variant == FESCUESEAM:
        return MeasuredWorld(deployment, seed, make_balancer, make_agent, starts_warm=warm)
    baseline = _BASELINE_FACTORIES[variant]()
    return MeasuredWorld(
        deployment,
        seed,
        baseline.make_balancer,
        baseline.make_agent,
        starts_warm=warm,
        # A table in each balancer is of use only if the fabric keeps flows at their balancer.
        has_flow_affinity=variant in (CONNECTION_TABLE, TWO_CHOICES),
    )
