"""Tables of members, and the routing of packets to the recorders of their flows."""
