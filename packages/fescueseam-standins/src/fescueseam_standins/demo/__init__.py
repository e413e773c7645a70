"""Demonstration of the whole path with separate processes on one host."""
