"""Provide the decisions of a layer-4 load balancer without any input or output."""

__version__ = "0.1.0"
