"""Hold what callers asked for and what became of it."""

from enum import Enum

from attrs import define, field

from fescueseam.conf.models import FlowKind, ServiceClass
from fescueseam.flows.keys import FlowKey


class Outcome(Enum):
    """Tell what a caller has seen of a call."""

    OPEN = "open"
    ANSWERED = "answered"
    """The whole answer to a request has come, or a stream has ended as its caller wished."""
    REFUSED = "refused"
    BROKEN = "broken"
    """The flow was open and then failed."""
    SILENT = "silent"
    """Nothing was heard within the deadline for opening."""


@define(eq=False)
class Call:
    """Hold one call and what its caller has seen."""

    call_id: int
    service: str
    service_class: ServiceClass
    flow: FlowKey
    size_s: float
    """Take this long at a backend server of speed one; how long a stream lasts."""
    started_at: float
    outcome: Outcome = Outcome.OPEN
    ended_at: float = -1.0
    accepted_at: float = -1.0
    last_answer_at: float = -1.0
    """Tell when the caller last heard of the backend server."""
    server: str = ""
    packets_sent: int = 0
    misdirected_answers: int = 0
    """Count answers that belong to another call."""
    refusals: int = 0
    answering_servers: list[str] = field(factory=list)
    """List the backend servers that answered, each once."""

    @property
    def is_stream(self) -> bool:
        """Tell whether the call holds a connection rather than a slot."""
        return self.service_class.kind is FlowKind.STREAM

    def end(self, outcome: Outcome, now: float) -> None:
        """Note the first outcome; later ones change nothing."""
        if self.outcome is Outcome.OPEN:
            self.outcome = outcome
            self.ended_at = now
