"""Tell whether a process runs."""

from enum import Enum


class Life(Enum):
    """Tell whether a process runs."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"
