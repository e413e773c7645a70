"""Hold settings and the operators' configuration."""
