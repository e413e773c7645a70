"""Run the decision cores in a simulation with virtual time and an in-memory network."""
