"""Check settings and list every fault at once."""
