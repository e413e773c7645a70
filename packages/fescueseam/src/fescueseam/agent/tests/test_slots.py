"""When the slot of a request is freed although its end is not visible to the agent."""

import pytest

from fescueseam.admission.gate import Gate, LoadReport
from fescueseam.agent.home import (
    MAX_REPORT_LAG_S,
    MIN_SILENCE_BEFORE_REPLY_S,
    REPLIED_REQUEST_IDLE_S,
    Home,
)
from fescueseam.conf.models import AdmissionRules, ServiceClass, Transport
from fescueseam.flows.keys import FlowKey
from fescueseam.packets.ip import build_udp, parse_packet

SERVICE_CLASS = ServiceClass("request", 443, Transport.QUIC)
RULES = AdmissionRules(slots=4, cold_slots=4)


@pytest.fixture
def home() -> Home:
    gate = Gate(RULES, 0.0)
    gate.note_report(LoadReport(1, 0, 0, 0.0, 100.0), 0.0)
    return Home(gate, 0.0)


def open_flow(home: Home, port: int, now: float) -> FlowKey:
    packet = parse_packet(build_udp(b"\x0a\x00\x00\x01", port, b"\x0a\x00\x00\x02", 443, b""))
    home.open_flow(packet, SERVICE_CLASS, now)
    return packet.flow


def report_idle(home: Home, now: float) -> None:
    home.handle_report(LoadReport(1, 0, 0, now, 100.0 + now), now)


def test_wrong_reports_raise_the_assumed_report_lag(home: Home) -> None:
    now = 1.0
    while home._report_lag_s < MAX_REPORT_LAG_S:
        flow = open_flow(home, int(now) + 1000, now)
        report_idle(home, now + home._report_lag_s + 0.01)
        assert home.gate.busy == 0
        home.record_backend_packet(flow, now + 1.0)
        home.close_flow(flow, True, now + 1.0)
        now += 5.0
    open_flow(home, 4000, now)
    report_idle(home, now + MAX_REPORT_LAG_S / 2)
    assert home.gate.busy == 1
    report_idle(home, now + MAX_REPORT_LAG_S + 0.1)
    assert home.gate.busy == 0


def test_silence_after_a_reply_frees_the_slot(home: Home) -> None:
    flow = open_flow(home, 4000, 1.0)
    home.record_backend_packet(flow, 1.001)
    home.tick(2.0)
    assert home.gate.busy == 1, "an immediate packet may be part of the handshake"
    home.record_backend_packet(flow, 2.0 + MIN_SILENCE_BEFORE_REPLY_S)
    home.tick(2.0 + MIN_SILENCE_BEFORE_REPLY_S + REPLIED_REQUEST_IDLE_S + 0.01)
    assert home.gate.busy == 0
    home.record_backend_packet(flow, 3.0)
    assert home.gate.busy == 1, "a reply that continues takes the slot again"


def test_reply_does_not_free_the_slot_at_a_cold_server(home: Home) -> None:
    home.gate.slot_bound = 1
    flow = open_flow(home, 4000, 1.0)
    home.record_backend_packet(flow, 2.0)
    home.tick(3.0)
    assert home.gate.busy == 1
