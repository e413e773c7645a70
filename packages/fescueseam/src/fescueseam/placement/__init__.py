"""Placement of new flows on backend servers."""
