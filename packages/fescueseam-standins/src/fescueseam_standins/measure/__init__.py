"""Measure the system and its baselines on the same seeded work."""
