"""The `fescueseam` command for operators."""
