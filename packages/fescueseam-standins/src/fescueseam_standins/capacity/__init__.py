"""Measurements of what the daemons' control plane and packet path cost."""
