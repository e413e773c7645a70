"""Encoding of notices as packed Cap'n Proto datagrams."""

import struct
from pathlib import Path
from typing import Any

import capnp

from fescueseam.exceptions import MessageError
from fescueseam.handshake.member import (
    Availability,
    HeldFlows,
    Identity,
    Load,
    Role,
    RouteWork,
)
from fescueseam.handshake.notices import (
    Holding,
    HomeHandover,
    Locate,
    LocateBatch,
    Located,
    LocatedBatch,
    Notice,
    NoticeBody,
    Report,
)
from fescueseam.handshake.outages import Outage
from fescueseam.handshake.segments import FlowId, ServiceAddress
from fescueseam.overload.duties import round_capacity

TRAVERSAL_LIMIT_WORDS = 1 << 16
"""Largest amount of data that the decoder reads in one notice, in words of 8 bytes."""
_FLOAT, _FLOAT_BITS = struct.Struct("<f"), struct.Struct("<I")
PORT_BITS = 16
"""Number of bits of the port in a number that holds an address and a port."""
REPORTED_MEMBERS_LIMIT = 64
"""Largest number of known members in one report, so that it fits into one datagram."""

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name("schema.capnp")))


def encode_notice(notice: Notice) -> bytes:
    """Encode a notice as a datagram."""
    message = _schema.Notice.new_message(
        sender=notice.sender, incarnation=notice.incarnation, sequence=notice.sequence
    )
    body = notice.body
    if isinstance(body, Report):
        _write_report(message.body.init("report"), body)
    elif isinstance(body, Locate):
        target = message.body.init("locate")
        _write_flow(target.flow, body.flow)
        target.service = body.service
    elif isinstance(body, Located):
        _write_located(message.body.init("located"), body)
    elif isinstance(body, LocateBatch):
        batch = message.body.init("locateBatch")
        batch.service = body.service
        for item, flow in zip(batch.init("flows", len(body.flows)), body.flows, strict=True):
            _write_flow(item, flow)
    elif isinstance(body, HomeHandover):
        _write_all_located(message.body.init("homeHandover", len(body.homes)), body.homes)
    else:
        _write_all_located(message.body.init("locatedBatch", len(body.answers)), body.answers)
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_notice(datagram: bytes) -> Notice:
    """Decode a datagram; raise MessageError if it holds no valid notice."""
    try:
        message = _schema.Notice.from_bytes_packed(
            datagram, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        return Notice(message.sender, message.incarnation, message.sequence, _read_body(message))
    except Exception as exc:  # pycapnp raises several unrelated classes on invalid data
        raise MessageError(str(exc).partition("\n")[0]) from exc


def _read_body(message: Any) -> NoticeBody:
    kind = message.body.which()
    if kind == "report":
        return _read_report(message.body.report)
    if kind == "locate":
        return Locate(_read_flow(message.body.locate.flow), message.body.locate.service)
    if kind == "locateBatch":
        batch = message.body.locateBatch
        return LocateBatch(tuple(_read_flow(item) for item in batch.flows), batch.service)
    if kind == "locatedBatch":
        return LocatedBatch(tuple(_read_located(item) for item in message.body.locatedBatch))
    if kind == "homeHandover":
        return HomeHandover(tuple(_read_located(item) for item in message.body.homeHandover))
    return _read_located(message.body.located)


def _write_all_located(targets: Any, items: tuple[Located, ...]) -> None:
    for target, item in zip(targets, items, strict=True):
        _write_located(target, item)


def _write_located(target: Any, body: Located) -> None:
    _write_flow(target.flow, body.flow)
    target.holding = int(body.holding)
    target.agent = body.agent


def _read_located(source: Any) -> Located:
    return Located(_read_flow(source.flow), Holding(source.holding), source.agent)


def _write_flow(target: Any, flow: FlowId) -> None:
    target.caller, target.callerPort, target.service, target.servicePort = flow


def _read_flow(source: Any) -> FlowId:
    return (source.caller, source.callerPort, source.service, source.servicePort)


def _write_identity(target: Any, identity: Identity) -> None:
    target.name = identity.name
    target.role = identity.role.value
    target.address = identity.address
    target.dataCentre = identity.data_centre
    target.service = identity.service
    target.incarnation = identity.incarnation


def _read_identity(source: Any) -> Identity:
    return Identity(
        source.name,
        Role(source.role),
        source.address,
        source.dataCentre,
        source.service,
        source.incarnation,
    )


def _encode_service_address(item: ServiceAddress) -> int:
    address, port = item
    return address << PORT_BITS | port


def _round_average(value: float) -> float:
    """Return a number rounded to 8 bits, half of whose bytes are zero and packed away."""
    bits: int = _FLOAT_BITS.unpack(_FLOAT.pack(value))[0]
    rounded: float = _FLOAT.unpack(_FLOAT_BITS.pack((bits + 0x8000) & 0xFFFF0000))[0]
    return rounded


def _write_work(targets: Any, items: tuple[RouteWork, ...]) -> None:
    for target, item in zip(targets, items, strict=True):
        target.address = _encode_service_address(item.address)
        target.meanS = _round_average(item.mean_s)
        target.deviationS = _round_average(item.deviation_s)
        target.requestsPerFlow = _round_average(item.requests_per_flow)
        target.flows = item.flows
        target.busyShare = _round_average(item.busy_share)


def _read_work(source: Any) -> tuple[RouteWork, ...]:
    return tuple(
        RouteWork(
            _read_service_address(item.address),
            item.meanS,
            item.deviationS,
            item.requestsPerFlow,
            item.flows,
            item.busyShare,
        )
        for item in source
    )


def _read_service_address(value: int) -> ServiceAddress:
    return value >> PORT_BITS, value & ((1 << PORT_BITS) - 1)


def _write_report(target: Any, body: Report) -> None:
    _write_identity(target.identity, body.identity)
    load = target.load
    load.availability = body.load.availability.value
    load.busy = body.load.busy
    load.flows = body.load.flows
    load.slots = body.load.slots
    load.utilisation = _round_average(body.load.utilisation)
    load.serviceTimeS = _round_average(body.load.service_time_s)
    load.failing = _round_average(body.load.failing)
    load.cold = body.load.cold
    load.leaving = body.load.leaving
    load.slowness = _round_average(body.load.slowness)
    load.hasUnknownFlows = body.load.held.has_unknown_flows
    addresses = sorted(body.load.held.service_addresses)
    load.heldAddresses = [_encode_service_address(item) for item in addresses]
    if body.load.work:
        _write_work(load.init("work", len(body.load.work)), body.load.work)
    target.flowBytes = body.load.flow_bytes
    target.capacity = body.load.capacity
    target.lagging = body.load.lagging
    target.resting = body.load.resting
    target.rulesVersion = body.rules_version
    target.outageRevision = body.outage.revision
    target.dataCentresOut = sorted(body.outage.data_centres)
    target.storeEra = body.outage.era
    if body.outage.held:
        target.heldDataCentres = sorted(body.outage.held)
        target.heldForMs = round(body.outage_held_s * 1000)
    target.memberCount = body.member_count
    bounds = target.init("coldBounds", len(body.cold_bounds))
    for item, (service, openings_per_s) in zip(bounds, body.cold_bounds, strict=True):
        item.service = service
        item.openingsPerS = openings_per_s
    known_members = body.known_members[:REPORTED_MEMBERS_LIMIT]
    for item, identity in zip(
        target.init("others", len(known_members)), known_members, strict=True
    ):
        _write_identity(item, identity)
    target.asksBack = body.requests_report
    target.asksMembers = body.requests_members


def _read_report(source: Any) -> Report:
    load = source.load
    return Report(
        identity=_read_identity(source.identity),
        load=Load(
            Availability(load.availability),
            load.busy,
            load.flows,
            load.slots,
            load.utilisation,
            load.serviceTimeS,
            load.cold,
            load.leaving,
            load.failing,
            HeldFlows(
                frozenset(_read_service_address(item) for item in load.heldAddresses),
                load.hasUnknownFlows,
            ),
            _read_work(load.work),
            load.slowness,
            source.flowBytes,
            round_capacity(source.capacity),
            source.lagging,
            source.resting,
        ),
        rules_version=source.rulesVersion,
        outage=Outage(
            source.outageRevision,
            frozenset(source.dataCentresOut),
            source.storeEra,
            frozenset(source.heldDataCentres),
        ),
        cold_bounds=tuple((item.service, item.openingsPerS) for item in source.coldBounds),
        known_members=tuple(_read_identity(item) for item in source.others),
        requests_report=source.asksBack,
        requests_members=source.asksMembers,
        outage_held_s=source.heldForMs / 1000,
        member_count=source.memberCount,
    )
