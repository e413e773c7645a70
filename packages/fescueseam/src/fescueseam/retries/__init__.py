"""Bound retries."""
