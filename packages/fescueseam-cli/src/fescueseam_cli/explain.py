"""Compute where a flow would be routed, and why."""

import ipaddress
from enum import StrEnum

from attrs import frozen

from fescueseam.checks.values import MAX_PORT
from fescueseam.conf.models import Configuration, Transport
from fescueseam.exceptions import ErrorKind, PacketError, SettingsError
from fescueseam.flows.keys import PROTOCOL_TCP, PROTOCOL_UDP, FlowKey, compute_bucket
from fescueseam.routing.table import Member, Table
from fescueseam.routing.view import View


class MemberRole(StrEnum):
    """What a member of the row does for the flow."""

    RECORDER = "recorder"
    CANDIDATE = "candidate"
    EARLIER_OWNER = "earlier owner"


@frozen
class RowEntry:
    """One member of the flow's row, with what it does for the flow."""

    name: str
    data_centre: str
    part: MemberRole
    reason: str


@frozen
class Explanation:
    """The routing of a flow, with the versions and the row that it is computed from."""

    flow: str
    service: str
    service_class: str
    config_version: int
    epoch: int
    bucket: int
    buckets: int
    steps: tuple[RowEntry, ...]
    conclusion: str


@frozen
class Endpoint:
    """Packed IP address and port of one end of a flow."""

    address: bytes
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that "address:port" names."""
    address, _, port = text.rpartition(":")
    try:
        endpoint = Endpoint(ipaddress.ip_address(address.strip("[]")).packed, int(port))
    except ValueError as exc:
        raise SettingsError(f"{text!r} is not of the form address:port") from exc
    if not 0 < endpoint.port <= MAX_PORT:
        raise SettingsError(f"{port} is not a valid port")
    return endpoint


def find_service_name(cfg: Configuration, destination: Endpoint) -> str:
    """Return the name of the service at an address; raise PacketError if there is none."""
    view = View()
    view.set_configuration(cfg)
    service = view.find_service(destination.address)
    if service is None:
        address = ipaddress.ip_address(destination.address)
        raise PacketError(f"no service has the address {address}", ErrorKind.UNKNOWN_SERVICE)
    return service.name


def explain_flow(
    cfg: Configuration, table: Table, source: Endpoint, destination: Endpoint
) -> Explanation:
    """Explain a flow's routing as every process with this configuration and table computes it."""
    view = View()
    view.set_configuration(cfg)
    view.set_table(table)
    service_class = view.find_service_class(table.service, destination.port)
    if service_class is None:
        raise PacketError(
            f"{table.service!r} has no class on port {destination.port}", ErrorKind.UNKNOWN_CLASS
        )
    protocol = PROTOCOL_TCP if service_class.transport is Transport.TCP else PROTOCOL_UDP
    key = FlowKey(protocol, source.address, source.port, destination.address, destination.port)
    bucket = compute_bucket(key, table.seed, table.buckets)
    row = view.find_row(table.service, bucket)
    recorder = view.find_recorder(table.service, bucket)
    steps = tuple(
        _describe_entry(view, member, recorder, is_owner=member in row.owners)
        for member in row.members
    )
    return Explanation(
        str(key),
        table.service,
        service_class.name,
        cfg.version,
        table.epoch,
        bucket,
        table.buckets,
        steps,
        _describe_conclusion(recorder),
    )


def _describe_entry(
    view: View, member: Member, recorder: Member | None, is_owner: bool
) -> RowEntry:
    part = MemberRole.EARLIER_OWNER if is_owner else MemberRole.CANDIDATE
    part = MemberRole.RECORDER if member == recorder else part
    return RowEntry(member.name, member.data_centre, part, _describe_reason(view, member, part))


def _describe_reason(view: View, member: Member, part: MemberRole) -> str:
    if view.is_data_centre_out(member.data_centre):
        return f"skipped: data centre {member.data_centre} is out of service"
    if part is MemberRole.EARLIER_OWNER:
        return f"{member.state}: keeps its flows, takes no new ones"
    if view.is_draining(member.name):
        return "draining: keeps its flows, takes no new ones"
    if part is MemberRole.RECORDER:
        return "first usable member of the row: gets every packet and chooses the backend server"
    return "may be offered a new flow by the recorder"


def _describe_conclusion(recorder: Member | None) -> str:
    if recorder is None:
        return "no member of the row is usable; new flows are refused"
    return (
        f"balancers send the flow's packets to {recorder.name}, which offers a new flow to the "
        "candidates; which of them has capacity is known only to the running processes"
    )
