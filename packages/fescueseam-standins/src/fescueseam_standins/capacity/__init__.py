"""Measure what control costs, from the decisions of the daemons on virtual time."""
