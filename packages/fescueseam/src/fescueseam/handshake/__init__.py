"""Steer flows that open with a handshake: to a backend server, and back to it later."""
