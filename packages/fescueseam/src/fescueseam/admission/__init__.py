"""Limit the flows that are admitted to a backend server."""

from fescueseam.admission.gate import Gate, LoadReport, Verdict

__all__ = ["Gate", "LoadReport", "Verdict"]
