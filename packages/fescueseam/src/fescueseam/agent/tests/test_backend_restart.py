"""Which flows a restart of the backend server ends."""

from fescueseam.admission.gate import Gate, LoadReport
from fescueseam.agent.home import Home
from fescueseam.agent.tests.conftest import STREAM_PORT, build_packet
from fescueseam.conf.models import AdmissionRules, FlowKind, ServiceClass
from fescueseam.packets.ip import parse_packet


def test_flow_opened_after_an_unannounced_restart_stays_open():
    home = Home(Gate(AdmissionRules(), 0.0), 0.0)
    stream = ServiceClass("stream", STREAM_PORT, kind=FlowKind.STREAM)
    older, newer = (parse_packet(build_packet(STREAM_PORT, number)) for number in (1, 2))
    home.handle_report(LoadReport(1, 0, 0, 1.0, uptime_s=100.0), 1.0)
    home.open_flow(older, stream, 2.0)
    home.open_flow(newer, stream, 4.0)
    home.handle_report(LoadReport(2, 0, 1, 5.0, uptime_s=2.0), 5.0)
    assert home.flows.find(older.flow) is None
    assert home.flows.find(newer.flow) is not None
