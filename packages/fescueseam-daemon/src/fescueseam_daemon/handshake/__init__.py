"""Processes that run the decisions of `fescueseam.handshake`: sockets, timers, store, logs."""
