"""Measurements of the system and of baselines on the same seeded workload."""
