"""Adapt callers' packets."""
