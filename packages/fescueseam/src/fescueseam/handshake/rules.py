"""Configuration in force: routes, services and data centres that are taken out."""

import math

from attrs import define, field, frozen

from fescueseam.exceptions import MessageError
from fescueseam.handshake.outages import Outage, OutageHolds
from fescueseam.handshake.segments import FlowId, ServiceAddress
from fescueseam.overload.needs import RouteNeeds

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle timeout of flows until a configuration states one, in seconds."""
MAX_PORT = 65_535
MAX_VERSION = 2**63 - 1
"""Largest version that can be sent on in notices."""
FORMER_SERVICE_RETENTION_S = 60.0
"""Time for which a service that a route no longer has is remembered, in seconds: the longest life
of an idle flow."""


@frozen
class RouteShare:
    """Weight of a service among the services of one route."""

    service: str
    weight: float = 1.0


@frozen
class Route:
    """Services that get the new flows of one service address and port."""

    name: str
    address: int
    port: int
    shares: tuple[RouteShare, ...]
    needs: RouteNeeds | None = None
    """What its callers need; None if the configuration does not state it."""


@frozen
class ServiceRules:
    """Configuration of one service."""

    name: str
    cold_openings_per_s: float = 0.0
    """Largest number of openings per second for a cold backend server; 0 sets no bound."""


@frozen
class Rules:
    """One version of the configuration."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceRules, ...] = ()
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


def validate_rules(rules: Rules) -> Rules:
    """Return the rules; raise MessageError if a number in them is out of range."""
    numbers = [rules.idle_timeout_s]
    numbers += [item.cold_openings_per_s for item in rules.services]
    numbers += [share.weight for route in rules.routes for share in route.shares]
    if not 0 <= rules.version <= MAX_VERSION or not all(
        math.isfinite(item) and item >= 0 for item in numbers
    ):
        raise MessageError("a number in the configuration is negative, too large or not finite")
    if not all(1 <= route.port <= MAX_PORT for route in rules.routes):
        raise MessageError("the port of a route is out of range")
    if not all(route.needs is None or route.needs.is_valid() for route in rules.routes):
        raise MessageError("a latency target, time limit or priority of a route is out of range")
    return rules


def _collect_targets(rules: Rules) -> dict[str, float]:
    targets: dict[str, float] = {}
    for route in rules.routes:
        if route.needs is not None:
            for share in route.shares:
                known = targets.get(share.service, math.inf)
                targets[share.service] = min(known, route.needs.target_s)
    return targets


@define
class ActiveConfiguration:
    """Newest rules and outage; older ones are ignored."""

    rules: Rules = field(factory=Rules)
    outage: Outage = field(factory=Outage)
    holds: OutageHolds = field(factory=OutageHolds)
    _routes: dict[ServiceAddress, Route] = field(factory=dict)
    _targets: dict[str, float] = field(factory=dict)
    """Least latency target of each service's routes, in seconds."""
    _former_services: dict[ServiceAddress, dict[str, float]] = field(factory=dict)
    """Services that routes had in earlier rules, and when each was last replaced."""

    def update_rules(self, rules: Rules, now: float) -> bool:
        """Replace the rules if the version is newer; return whether it was."""
        if rules.version <= self.rules.version:
            return False
        previous = self._routes
        self.rules = rules
        self._routes = {(route.address, route.port): route for route in rules.routes}
        self._targets = _collect_targets(rules)
        self._record_former_services(previous, now)
        return True

    def is_complete(self) -> bool:
        """Return whether both the rules and the outage have been loaded."""
        return self.rules.version > 0 and self.outage.revision > 0

    def update_outage(self, outage: Outage, now: float = 0.0, hold_s: float = 0.0) -> bool:
        """Take an outage over if it is newer; return whether the one in force has changed.

        A data centre that it names as held stays out for `hold_s` seconds.
        """
        previous = self.outage
        self.outage = self.holds.apply(previous, outage, now, hold_s)
        return self.outage != previous

    def is_data_centre_out(self, data_centre: str) -> bool:
        """Return whether operators have taken a data centre out."""
        return data_centre in self.outage.data_centres

    def find_route(self, flow: FlowId) -> Route | None:
        """Return the route for a flow's service address and port."""
        return self._routes.get((flow[2], flow[3]))

    def find_needs(self, flow: FlowId) -> RouteNeeds | None:
        """Return what the callers of a flow's route need; None if that is not configured."""
        route = self.find_route(flow)
        return None if route is None else route.needs

    def find_target(self, service: str) -> float | None:
        """Return the least latency target of a service's routes, in seconds; None without one."""
        return self._targets.get(service)

    def choose_service(self, flow: FlowId) -> str | None:
        """Return the service of a new flow, chosen by the flow's hash if the route has several."""
        route = self.find_route(flow)
        if route is None or not route.shares:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        total_weight = sum(share.weight for share in route.shares)
        position = (hash(flow) % 10_007) / 10_007 * total_weight
        for share in route.shares:
            position -= share.weight
            if position < 0:
                return share.service
        return route.shares[-1].service

    def list_services(self, flow: FlowId, now: float) -> tuple[str, ...]:
        """Return the services that may hold a flow: those of its route, and then former ones.

        New rules leave open flows where they are, unless they remove the route.
        """
        route = self.find_route(flow)
        if route is None:
            return ()
        recent = _keep_recent(self._former_services.get(flow[2:], {}), now)
        return tuple(dict.fromkeys([*(share.service for share in route.shares), *recent]))

    def _record_former_services(self, previous: dict[ServiceAddress, Route], now: float) -> None:
        for address, route in previous.items():
            current = self._routes.get(address)
            if current is not None and current.shares == route.shares:
                continue
            former = self._former_services.setdefault(address, {})
            former.update((share.service, now) for share in route.shares)
        for address, former in list(self._former_services.items()):
            recent = _keep_recent(former, now)
            if recent:
                self._former_services[address] = recent
            else:
                del self._former_services[address]


def _keep_recent(former: dict[str, float], now: float) -> dict[str, float]:
    return {name: at for name, at in former.items() if now - at < FORMER_SERVICE_RETENTION_S}
