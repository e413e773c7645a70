"""Read scenarios, run them on virtual time and check every promise."""
