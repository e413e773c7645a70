"""Messages between processes: their types, encoding and authentication."""
