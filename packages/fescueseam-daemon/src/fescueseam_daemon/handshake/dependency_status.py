"""Whether a dependency of a process answers."""

from attrs import define

from fescueseam_daemon.handshake.events import EventLog


@define
class DependencyStatus:
    """Reachability of a dependency; failures and recoveries are logged."""

    name: str
    events: EventLog
    is_reachable: bool | None = None
    """Result of the last call; None before the first."""
    consecutive_failures: int = 0

    def record_success(self, now: float) -> None:
        """Record a successful call."""
        self.consecutive_failures = 0
        if self.is_reachable is False:
            self.events.log_event("dependency-regained", {"dependency": self.name}, now)
        self.is_reachable = True

    def record_failure(self, exc: Exception, now: float) -> None:
        """Record a failed call."""
        self.consecutive_failures += 1
        fields = {"dependency": self.name, "cause": str(exc), "failures": self.consecutive_failures}
        event = "dependency-lost" if self.is_reachable is not False else "dependency-still-lost"
        self.events.log_event(event, fields, now)
        self.is_reachable = False
