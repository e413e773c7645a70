"""Limit retries by budget, backoff and circuit breaker."""

from fescueseam.retries.backoff import Breaker, compute_backoff
from fescueseam.retries.budget import RetryBudget

__all__ = ["Breaker", "RetryBudget", "compute_backoff"]
