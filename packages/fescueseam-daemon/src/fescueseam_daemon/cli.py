"""Start the daemons."""


def main() -> None:
    """Start the daemon named on the command line."""
