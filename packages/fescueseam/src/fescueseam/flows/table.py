"""Hold the flows of the backend server beside an agent."""

from collections.abc import Iterator

from attrs import define, field

from fescueseam.conf.models import ServiceClass
from fescueseam.flows.expiring_set import ExpiringFlowSet
from fescueseam.flows.keys import FlowKey, compute_digest

CLOSED_FLOWS_LIMIT = 16384
FINISHING_TIMEOUT_S = 2.0
"""Assume that a flow whose caller has finished ends after this time, in seconds."""


@define(eq=False)
class FlowRecord:
    """Hold one flow."""

    key: FlowKey
    service_class: ServiceClass
    opened: float
    last_seen: float
    finishing: bool = False
    counted: bool = True
    """Tell whether the flow still takes its slot or connection."""
    opening_digest: int | None = None
    """Recognise copies of the opening of a datagram flow that may not run twice."""
    last_from_backend: bool = False
    """Tell whether the last packet seen was the backend server's."""
    replied_after_pause: bool = False
    """Tell whether the backend server has answered after a pause."""

    def is_opening_copy(self, payload: bytes) -> bool:
        """Tell whether a payload is the opening's; QUIC and TCP recognise copies by themselves."""
        return self.opening_digest is not None and compute_digest(payload) == self.opening_digest

    def is_idle(self, now: float) -> bool:
        """Tell whether the flow has been silent for so long that it is taken for ended."""
        limit = FINISHING_TIMEOUT_S if self.finishing else self.service_class.idle_timeout_s
        return now >= self.last_seen + limit


@define
class FlowTable:
    """Hold open flows, and the closed ones that must not run again."""

    _open: dict[FlowKey, FlowRecord] = field(factory=dict)
    _closed: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(CLOSED_FLOWS_LIMIT))

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[FlowRecord]:
        return iter(list(self._open.values()))

    def find(self, key: FlowKey) -> FlowRecord | None:
        """Return an open flow."""
        return self._open.get(key)

    def add(self, record: FlowRecord) -> None:
        """Add an open flow."""
        self._open[record.key] = record

    def remove(self, key: FlowKey) -> FlowRecord | None:
        """Remove an open flow and return it."""
        return self._open.pop(key, None)

    def quarantine(self, key: FlowKey, until: float) -> None:
        """Remember a closed flow so that a late duplicate of it does not run."""
        self._closed.add(key, until)

    def has_run(self, key: FlowKey, now: float) -> bool:
        """Tell whether a flow has been closed here lately."""
        self._closed.expire(now)
        return self._closed.contains(key, now)

    def has_room(self) -> bool:
        """Tell whether one more closed flow could be remembered."""
        return len(self._closed) + len(self._open) < CLOSED_FLOWS_LIMIT
