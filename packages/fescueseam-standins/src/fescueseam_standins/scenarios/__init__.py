"""Parse scenarios, run them on virtual time and check all promises."""
