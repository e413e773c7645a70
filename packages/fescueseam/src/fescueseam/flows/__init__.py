"""Keys and tables of flows."""
