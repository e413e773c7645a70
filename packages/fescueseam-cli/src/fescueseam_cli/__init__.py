"""Offer the operators' command."""
