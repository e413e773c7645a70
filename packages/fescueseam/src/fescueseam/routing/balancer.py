"""Decide what a balancer does with a caller's packet."""

import xxhash
from attrs import define, evolve, field, frozen

from fescueseam.conf.models import Service, ServiceClass
from fescueseam.effects import Drop, Effects, Refuse, Send
from fescueseam.exceptions import ErrorKind, PacketError
from fescueseam.messages.types import Carry, Message, Path
from fescueseam.packets.adapter import (
    Phase,
    find_phase,
    parse_packet,
    read_endpoint,
    read_flow_key,
    split_endpoint,
)
from fescueseam.routing.table import Table
from fescueseam.routing.view import View

ENDPOINTS_LIMIT = 1024
"""Bound the destinations whose class is kept between packets."""


@frozen
class Route:
    """Hold what a destination's packets share until the view changes."""

    service: Service
    service_class: ServiceClass
    table: Table
    paths: dict[int, Path] = field(factory=dict)
    """Hold the path to the recorder of each bucket that was seen."""


@define
class Balancer:
    """Send each packet to the recorder of its flow and keep nothing of it."""

    name: str
    incarnation: int
    view: View = field(factory=View)
    _routes: dict[bytes, Route] = field(factory=dict)
    _revision: int = -1

    def handle_packet(self, raw: bytes) -> Effects:
        """Return what to do with an IP packet from the fabric."""
        path = self.find_path(raw)
        if not isinstance(path, Path):
            return [path]
        message = evolve(path.message, body=Carry(raw))
        return [Send(path.address, path.port, message)]

    def find_path(self, raw: bytes) -> Path | Drop | Refuse:
        """Return the path of an IP packet from the fabric, or why it has none."""
        try:
            key = read_flow_key(raw)
        except PacketError as exc:
            return Drop(exc.kind)
        if self._revision != self.view.revision:
            self._routes.clear()
            self._revision = self.view.revision
        route = self._routes.get(read_endpoint(key))
        if route is None:
            found = self._find_route(read_endpoint(key), raw)
            if not isinstance(found, Route):
                return found
            route = found
        table = route.table
        bucket = xxhash.xxh3_64_intdigest(key, table.seed) & (table.buckets - 1)
        return route.paths.get(bucket) or self._add_path(route, bucket, raw)

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
        if len(self._routes) >= ENDPOINTS_LIMIT:
            self._routes.clear()
        route = self._routes[endpoint] = Route(service, service_class, table)
        return route

    def _add_path(self, route: Route, bucket: int, raw: bytes) -> Path | Drop | Refuse:
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
        path = Path(recorder.address, recorder.control_port, message)
        route.paths[bucket] = path
        return path

    @staticmethod
    def _refuse_or_drop(raw: bytes, service_class: ServiceClass) -> Drop | Refuse:
        packet = parse_packet(raw)
        if find_phase(packet, service_class.transport) is Phase.OPENING:
            return Refuse(ErrorKind.NO_MEMBERS, service_class, packet)
        return Drop(ErrorKind.NO_MEMBERS, service_class.name)
