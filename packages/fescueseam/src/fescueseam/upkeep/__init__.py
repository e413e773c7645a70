"""Keep the tables in the platform's object API."""
