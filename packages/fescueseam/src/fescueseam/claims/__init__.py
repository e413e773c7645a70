"""Grant the right to place a flow to one process at a time."""
