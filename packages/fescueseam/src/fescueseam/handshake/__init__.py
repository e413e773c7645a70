"""Decisions of balancers and agents for flows that open with a handshake."""
