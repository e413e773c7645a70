"""Track which processes are alive."""
