"""Run the decision cores on virtual time over an in-memory network."""
