"""The core of a balancer: routes packets to the recorders of their flows."""

import xxhash
from attrs import define, evolve, field, frozen

from fescueseam.conf.models import Service, ServiceClass
from fescueseam.effects import Drop, Effects, Refuse, Send
from fescueseam.exceptions import ErrorKind, PacketError
from fescueseam.messages.types import Carry, Message, NextHop
from fescueseam.packets.ip import (
    FlowPhase,
    find_flow_phase,
    parse_packet,
    read_destination_endpoint,
    read_flow_key,
    split_endpoint,
)
from fescueseam.routing.table import Table
from fescueseam.routing.view import View

CACHED_ROUTES_LIMIT = 1024
"""Most routes in the cache, which is cleared when it is full."""


@frozen
class Route:
    """The cached route of a destination, valid until the view changes."""

    service: Service
    service_class: ServiceClass
    table: Table
    next_hops: dict[int, NextHop] = field(factory=dict)
    """The next hop to the recorder of each bucket seen so far."""


@define
class Balancer:
    """Routes each packet to the recorder of its flow; keeps no state per flow."""

    name: str
    incarnation: int
    view: View = field(factory=View)
    _routes: dict[bytes, Route] = field(factory=dict)
    _revision: int = -1

    def handle_packet(self, raw: bytes) -> Effects:
        """Handle an IP packet from the fabric."""
        next_hop = self.find_next_hop(raw)
        if not isinstance(next_hop, NextHop):
            return [next_hop]
        message = evolve(next_hop.message, body=Carry(raw))
        return [Send(next_hop.address, next_hop.port, message)]

    def find_next_hop(self, raw: bytes) -> NextHop | Drop | Refuse:
        """Return the next hop of an IP packet from the fabric, or how to drop or refuse it."""
        try:
            key = read_flow_key(raw)
        except PacketError as exc:
            return Drop(exc.kind)
        if self._revision != self.view.revision:
            self._routes.clear()
            self._revision = self.view.revision
        route = self._routes.get(read_destination_endpoint(key))
        if route is None:
            found = self._find_route(read_destination_endpoint(key), raw)
            if not isinstance(found, Route):
                return found
            route = found
        table = route.table
        bucket = xxhash.xxh3_64_intdigest(key, table.seed) & (table.buckets - 1)
        return route.next_hops.get(bucket) or self._add_next_hop(route, bucket, raw)

    def _find_route(self, endpoint: bytes, raw: bytes) -> Route | Drop | Refuse:
        address, port = split_endpoint(endpoint)
        service = self.view.find_service(address)
        if service is None:
            return Drop(ErrorKind.UNKNOWN_SERVICE)
        service_class = self.view.find_service_class(service.name, port)
        if service_class is None:
            return Drop(ErrorKind.UNKNOWN_CLASS)
        table = self.view.find_table(service.name)
        if table is None:
            return self._refuse_or_drop(raw, service_class)
        if len(self._routes) >= CACHED_ROUTES_LIMIT:
            self._routes.clear()
        route = self._routes[endpoint] = Route(service, service_class, table)
        return route

    def _add_next_hop(self, route: Route, bucket: int, raw: bytes) -> NextHop | Drop | Refuse:
        service, service_class = route.service, route.service_class
        recorder = self.view.find_recorder(service.name, bucket)
        if recorder is None:
            return self._refuse_or_drop(raw, service_class)
        message = Message(
            self.name,
            self.incarnation,
            Carry(b""),
            target=recorder.name,
            service=service.name,
            class_name=service_class.name,
            epoch=route.table.epoch,
            config_version=self.view.cfg.version,
        )
        next_hop = NextHop(recorder.address, recorder.control_port, message)
        route.next_hops[bucket] = next_hop
        return next_hop

    @staticmethod
    def _refuse_or_drop(raw: bytes, service_class: ServiceClass) -> Drop | Refuse:
        packet = parse_packet(raw)
        if find_flow_phase(packet, service_class.transport) is FlowPhase.OPENING:
            return Refuse(ErrorKind.NO_MEMBERS, service_class, packet)
        return Drop(ErrorKind.NO_MEMBERS, service_class.name)
