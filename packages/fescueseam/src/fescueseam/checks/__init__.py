"""Checks of settings, which list all faults at once."""
