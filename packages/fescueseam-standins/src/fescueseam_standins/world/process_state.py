"""Define the states of a simulated process."""

from enum import Enum


class ProcessState(Enum):
    """State of a simulated process."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"
