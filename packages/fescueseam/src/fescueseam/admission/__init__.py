"""Bound what a backend server is given."""
