"""Define and encode the messages between processes."""
