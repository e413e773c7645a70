"""Measurements of what the daemons' control plane and packet path cost.

The control plane makes its decisions on virtual time.
"""
