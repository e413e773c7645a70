"""Show the whole path as separate processes on one machine."""
