"""Stand in for the outside systems in demos and tests."""
