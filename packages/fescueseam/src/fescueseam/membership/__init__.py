"""Detect failed processes by their heartbeats.

Every process sends heartbeats to its keepers: the balancers that watch it and report on it.
"""

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
