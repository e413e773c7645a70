"""Grant the right to place a flow to one recorder at a time."""

from fescueseam.claims.registry import ClaimRegistry, count_majority

__all__ = ["ClaimRegistry", "count_majority"]
