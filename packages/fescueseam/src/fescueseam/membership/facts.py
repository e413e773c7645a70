"""Define the data that describes a process, and the events of membership."""

from enum import StrEnum

from attrs import frozen

from fescueseam.conf.models import Role


class Status(StrEnum):
    """The status of a process as judged by its heartbeats."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


@frozen
class ProcessFacts:
    """The data that a process announces about itself."""

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
    """Whether no flow is open at the process."""
    healthy: bool = True
    metrics_port: int = 0


@frozen
class Announcement:
    """A heartbeat and the data that was sent with it."""

    facts: ProcessFacts
    heartbeat: int
    """Sequence number of the heartbeat within the incarnation."""
    config_version: int = 0
    epoch: int = 0


class EventKind(StrEnum):
    """The changes of a process that its keeper can detect."""

    JOINED = "joined"
    RESTARTED = "restarted"
    CHANGED = "changed"
    SUSPECTED = "suspected"
    RECOVERED = "recovered"
    DIED = "died"
    FORGOTTEN = "forgotten"


@frozen
class MembershipEvent:
    """A detected change of one process."""

    kind: EventKind
    facts: ProcessFacts
