"""Define what is known of a process and the events that follow from it."""

from enum import StrEnum

from attrs import frozen

from fescueseam.conf.models import Role


class Status(StrEnum):
    """Tell what the heartbeats of a process say."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@frozen
class ProcessFacts:
    """Hold what a process says of itself."""

    name: str
    role: Role
    data_centre: str
    region: str
    address: str
    control_port: int
    incarnation: int
    service: str = ""
    draining: bool = False
    idle: bool = False
    """Tell that no flow is open."""
    healthy: bool = True
    metrics_port: int = 0


@frozen
class Announcement:
    """Hold one heartbeat with the facts that came with it."""

    facts: ProcessFacts
    heartbeat: int
    config_version: int = 0
    epoch: int = 0


class EventKind(StrEnum):
    """List what can happen to a process in the eyes of its keeper."""

    JOINED = "joined"
    RESTARTED = "restarted"
    CHANGED = "changed"
    SUSPECTED = "suspected"
    RECOVERED = "recovered"
    DIED = "died"
    FORGOTTEN = "forgotten"


@frozen
class MembershipEvent:
    """Report one change of one process."""

    kind: EventKind
    facts: ProcessFacts
