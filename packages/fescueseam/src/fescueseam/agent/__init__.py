"""Decide for the process beside a backend server."""
