"""Keep a daemon's view current: membership, gossip, the store and the tables."""
