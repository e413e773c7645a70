"""Decide what a balancer does with a caller's packet."""

from attrs import define, field

from fescueseam.conf.models import Service
from fescueseam.effects import Drop, Effects, Refuse, Send
from fescueseam.exceptions import ErrorKind, PacketError
from fescueseam.flows.keys import compute_bucket
from fescueseam.messages.types import Carry, Message
from fescueseam.packets.adapter import Packet, Phase, find_phase, parse_packet
from fescueseam.routing.view import View


@define
class Balancer:
    """Send each packet to the recorder of its flow and keep nothing of it."""

    name: str
    incarnation: int
    view: View = field(factory=View)

    def handle_packet(self, raw: bytes) -> Effects:
        """Return what to do with an IP packet from the fabric."""
        try:
            packet = parse_packet(raw)
        except PacketError as exc:
            return [Drop(exc.kind)]
        service = self.view.find_service(packet.flow.destination)
        if service is None:
            return [Drop(ErrorKind.UNKNOWN_SERVICE)]
        return self._route(packet, service)

    def _route(self, packet: Packet, service: Service) -> Effects:
        service_class = self.view.find_class(service.name, packet.flow.destination_port)
        if service_class is None:
            return [Drop(ErrorKind.UNKNOWN_CLASS)]
        table = self.view.find_table(service.name)
        recorder = None
        if table is not None:
            bucket = compute_bucket(packet.flow, table.seed, table.buckets)
            recorder = self.view.find_recorder(service.name, bucket)
        if table is None or recorder is None:
            if find_phase(packet, service_class.transport) is Phase.OPENING:
                return [Refuse(ErrorKind.NO_MEMBERS, service_class, packet)]
            return [Drop(ErrorKind.NO_MEMBERS, service_class.name)]
        message = Message(
            self.name,
            self.incarnation,
            Carry(packet.raw),
            target=recorder.name,
            service=service.name,
            class_name=service_class.name,
            epoch=table.epoch,
            config_version=self.view.cfg.version,
        )
        return [Send(recorder.address, recorder.control_port, message)]
