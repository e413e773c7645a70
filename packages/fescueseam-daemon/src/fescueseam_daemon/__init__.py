"""Run the balancer and the agent."""
