"""Hold the configuration in force: routes, services and data centres taken out."""

from attrs import define, field, frozen

from fescueseam.handshake.segments import FlowId

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Keep an idle flow this long until a configuration states a time-out, in seconds."""


@frozen
class RouteShare:
    """Give a service a weight among those of one route."""

    service: str
    weight: float = 1.0


@frozen
class Route:
    """Send the new flows of one service address and port to services."""

    name: str
    address: int
    port: int
    shares: tuple[RouteShare, ...]


@frozen
class ServiceRules:
    """Hold what the configuration says of one service."""

    name: str
    cold_openings_per_s: float = 0.0
    """Bound the openings that a cold backend server bears a second; zero states no bound."""


@frozen
class Rules:
    """Hold one version of the configuration."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceRules, ...] = ()
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@frozen
class Outage:
    """Name the data centres that operators have taken out, at one revision of the store."""

    revision: int = 0
    data_centres: frozenset[str] = frozenset()


NO_OUTAGE = Outage()


@define
class ActiveConfiguration:
    """Hold the newest configuration and outage; older ones are ignored."""

    rules: Rules = field(factory=Rules)
    outage: Outage = field(factory=Outage)
    _routes: dict[tuple[int, int], Route] = field(factory=dict)

    def update_rules(self, rules: Rules) -> bool:
        """Take a configuration if it is newer; return whether it was."""
        if rules.version <= self.rules.version:
            return False
        self.rules = rules
        self._routes = {(route.address, route.port): route for route in rules.routes}
        return True

    def is_complete(self) -> bool:
        """Tell whether both the configuration and the data centres taken out are known."""
        return self.rules.version > 0 and self.outage.revision > 0

    def update_outage(self, outage: Outage) -> bool:
        """Take the data centres that are out if the revision is newer; tell whether it was."""
        if outage.revision <= self.outage.revision:
            return False
        self.outage = outage
        return True

    def is_data_centre_out(self, data_centre: str) -> bool:
        """Tell whether operators have taken a data centre out."""
        return data_centre in self.outage.data_centres

    def find_route(self, flow: FlowId) -> Route | None:
        """Return the route of a flow."""
        return self._routes.get((flow[2], flow[3]))

    def choose_service(self, flow: FlowId) -> str | None:
        """Return the service of a new flow; flows of a split route are dealt by their hash."""
        route = self.find_route(flow)
        if route is None or not route.shares:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        point = (hash(flow) % 10_007) / 10_007 * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service

    def list_services(self, flow: FlowId) -> tuple[str, ...]:
        """Return every service that may hold a flow."""
        route = self.find_route(flow)
        return () if route is None else tuple(share.service for share in route.shares)
