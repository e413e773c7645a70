"""Replicate versioned values between processes by gossip."""

from fescueseam.versions.gossip import Gossip, Outgoing
from fescueseam.versions.values import VersionedMap, VersionedValue

__all__ = ["Gossip", "Outgoing", "VersionedMap", "VersionedValue"]
