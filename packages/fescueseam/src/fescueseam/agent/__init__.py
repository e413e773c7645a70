"""The decisions of the agent, the process beside a backend server."""
