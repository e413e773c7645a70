"""Define calls and their outcomes as their callers see them."""

from enum import Enum

from attrs import define, field

from fescueseam.conf.models import FlowKind, ServiceClass
from fescueseam.flows.keys import FlowKey


class Outcome(Enum):
    """Outcome of a call as its caller sees it."""

    OPEN = "open"
    ANSWERED = "answered"
    """The complete answer to a request arrived, or the caller ended the stream."""
    REFUSED = "refused"
    BROKEN = "broken"
    """The flow was open and then failed."""
    SILENT = "silent"
    """No answer arrived before the opening deadline."""


@define(eq=False)
class Call:
    """Call with the state that its caller keeps."""

    call_id: int
    service: str
    service_class: ServiceClass
    flow: FlowKey
    size_s: float
    """Duration of a request at a backend server of speed 1, or of a stream, in seconds."""
    started_at: float
    outcome: Outcome = Outcome.OPEN
    ended_at: float = -1.0
    accepted_at: float = -1.0
    last_answer_at: float = -1.0
    """Time of the last answer from the backend server."""
    server: str = ""
    """Name of the backend server that answered first, or empty."""
    packets_sent: int = 0
    misdirected_answers: int = 0
    """Number of received answers that belong to another caller's call."""
    refusals: int = 0
    answering_servers: list[str] = field(factory=list)
    """Names of the backend servers that answered, without duplicates."""

    @property
    def is_stream(self) -> bool:
        """Return whether the call is a stream, which takes a connection instead of a slot."""
        return self.service_class.kind is FlowKind.STREAM

    def end(self, outcome: Outcome, now: float) -> None:
        """Record the outcome; only the first one counts."""
        if self.outcome is Outcome.OPEN:
            self.outcome = outcome
            self.ended_at = now
