"""Keep a daemon's view of the configuration, the tables and the other processes current."""
