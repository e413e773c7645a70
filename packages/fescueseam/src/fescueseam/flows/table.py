"""The flows of an agent's backend server."""

from collections.abc import Iterator

from attrs import define, field

from fescueseam.conf.models import ServiceClass
from fescueseam.flows.expiring_set import ExpiringFlowSet
from fescueseam.flows.keys import FlowKey, compute_digest

CLOSED_FLOWS_LIMIT = 16384
FINISHING_TIMEOUT_S = 2.0
"""Idle timeout of a flow whose caller has sent a FIN, in seconds."""


@define(eq=False)
class FlowRecord:
    """State of one open flow."""

    key: FlowKey
    service_class: ServiceClass
    opened: float
    last_seen: float
    finishing: bool = False
    """Whether the caller has sent a FIN."""
    holds_capacity: bool = True
    """Whether the flow takes up a slot or a connection at the gate."""
    opening_digest: int | None = None
    """Digest of the opening of a datagram flow that must not run twice, to detect copies."""
    last_from_backend: bool = False
    """Whether the last packet seen came from the backend server."""
    replied_after_silence: bool = False
    """Whether the backend server has sent a packet after a silence, which counts as its reply."""

    def is_opening_copy(self, payload: bytes) -> bool:
        """Return whether a payload copies the opening; QUIC and TCP detect copies themselves."""
        return self.opening_digest is not None and compute_digest(payload) == self.opening_digest

    def is_idle(self, now: float) -> bool:
        """Return whether the idle timeout of the flow has passed."""
        limit = FINISHING_TIMEOUT_S if self.finishing else self.service_class.idle_timeout_s
        return now >= self.last_seen + limit


@define
class FlowTable:
    """Open flows, and recently closed flows that must not run again."""

    _open: dict[FlowKey, FlowRecord] = field(factory=dict)
    _closed: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(CLOSED_FLOWS_LIMIT))

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[FlowRecord]:
        return iter(list(self._open.values()))

    def find(self, key: FlowKey) -> FlowRecord | None:
        """Return an open flow, or None."""
        return self._open.get(key)

    def add(self, record: FlowRecord) -> None:
        """Add an open flow."""
        self._open[record.key] = record

    def remove(self, key: FlowKey) -> FlowRecord | None:
        """Remove an open flow and return it, or None."""
        return self._open.pop(key, None)

    def quarantine(self, key: FlowKey, until: float) -> None:
        """Keep a closed flow until a time, so that a delayed copy of its opening does not run."""
        self._closed.add(key, until)

    def has_run(self, key: FlowKey, now: float) -> bool:
        """Return whether a flow was closed recently and is still quarantined."""
        self._closed.expire(now)
        return self._closed.contains(key, now)

    def has_room(self) -> bool:
        """Return whether one more flow fits, counting a quarantine entry for every open flow."""
        return len(self._closed) + len(self._open) < CLOSED_FLOWS_LIMIT
