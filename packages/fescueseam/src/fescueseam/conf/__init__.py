"""Settings of processes and the operators' configuration."""
