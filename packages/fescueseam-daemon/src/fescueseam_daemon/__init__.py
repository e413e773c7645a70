"""The daemons of fescueseam: the balancer and the agent."""
