"""Run the steering decisions: sockets, time, the store and logs."""
