"""Track which processes are alive."""

from fescueseam.membership.detector import DetectorSettings, Membership
from fescueseam.membership.facts import (
    Announcement,
    EventKind,
    MembershipEvent,
    ProcessFacts,
    Status,
)
from fescueseam.membership.rendezvous import choose_keepers

__all__ = [
    "Announcement",
    "DetectorSettings",
    "EventKind",
    "Membership",
    "MembershipEvent",
    "ProcessFacts",
    "Status",
    "choose_keepers",
]
