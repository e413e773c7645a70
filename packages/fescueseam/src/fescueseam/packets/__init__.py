"""Callers' packets: IP packets in UDP datagrams, and refusals in the callers' protocols."""
