"""Find the row of backend servers for a flow."""
