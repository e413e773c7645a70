"""A rejected offer must stay rejected, whatever offers of the same flow follow."""

from attrs import evolve

from fescueseam.admission.gate import Gate
from fescueseam.agent.home import Home, Offer
from fescueseam.agent.tests.conftest import NON_REPEATABLE_PORT, build_packet
from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.conf.models import AdmissionRules, ServiceClass
from fescueseam.packets.ip import parse_packet


def build_offer(recorder: str, attempt: int, now: float) -> Offer:
    packet = parse_packet(build_packet(NON_REPEATABLE_PORT, 1))
    return Offer(recorder, 1, attempt, packet, ServiceClass("once", NON_REPEATABLE_PORT), now)


def test_delayed_copy_of_an_earlier_offer_keeps_the_later_rejection():
    home = Home(Gate(AdmissionRules(), 0.0), 0.0)
    later = build_offer("a", 2, 1.0)
    home.record_rejection(later, 1.0)
    home.record_rejection(build_offer("a", 1, 1.1), 1.1)
    assert home.has_rejected(evolve(later, arrived=1.2), 1.2)


def test_offer_of_another_recorder_keeps_the_earlier_rejection():
    home = Home(Gate(AdmissionRules(), 0.0), 0.0)
    home.record_rejection(build_offer("a", 1, 1.0), 1.0)
    home.record_rejection(build_offer("b", 1, 2.0), 2.0)
    assert home.has_rejected(build_offer("b", 2, 3.0), 3.0)
    late = 2.0 + PACKET_LIFETIME_S - 0.1
    assert home.has_rejected(build_offer("b", 1, late), late)
