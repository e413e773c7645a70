"""Identify flows."""
