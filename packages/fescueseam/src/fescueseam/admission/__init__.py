"""Bound what a backend server is given."""

from fescueseam.admission.gate import Gate, LoadReport, Verdict

__all__ = ["Gate", "LoadReport", "Verdict"]
