"""Tell whether a process runs."""

from enum import Enum


class ProcessState(Enum):
    """Tell whether a process runs."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"
