"""Know the balancers and choose those that keep a process."""

from collections.abc import Iterable

from attrs import define

from fescueseam.conf.models import Role
from fescueseam.membership.facts import ProcessFacts
from fescueseam.membership.rendezvous import choose_keepers
from fescueseam.messages.types import Peer

SILENT_AFTER_S = 1.5
"""Take a peer for silent when an announcement stays unanswered for this time."""
RETRY_SILENT_S = 5.0
"""Announce to a silent peer again after this time."""
PEERS_LIMIT = 2048


@define
class _Known:
    peer: Peer
    heard_at: float = float("-inf")
    asked_at: float | None = None
    """Hold the time of the first announcement that is not answered yet."""


class PeerBook:
    """Keep balancers that announcements may go to, and who of them answers."""

    def __init__(self, own_name: str, limit: int = PEERS_LIMIT) -> None:
        """Start empty."""
        self._own_name = own_name
        self._limit = limit
        self._known: dict[str, _Known] = {}

    def learn(self, peer: Peer) -> None:
        """Take a balancer, or a newer incarnation of it; nobody else keeps processes."""
        if peer.name in ("", self._own_name) or peer.role != Role.BALANCER:
            return
        known = self._known.get(peer.name)
        if known is None:
            self._known[peer.name] = _Known(peer)
            self._trim()
        elif peer.incarnation > known.peer.incarnation:
            known.peer = peer
            known.asked_at = None

    def find(self, name: str) -> Peer | None:
        """Return a peer by name."""
        known = self._known.get(name)
        return known.peer if known else None

    def note_heard(self, name: str, now: float) -> None:
        """Record that a peer was heard."""
        known = self._known.get(name)
        if known is not None:
            known.heard_at = now
            known.asked_at = None

    def note_asked(self, name: str, now: float) -> None:
        """Record that a peer owes an answer."""
        known = self._known.get(name)
        if known is None:
            return
        if known.asked_at is None or now - known.asked_at > RETRY_SILENT_S:
            known.asked_at = now

    def is_late(self, name: str, now: float, after_s: float) -> bool:
        """Tell whether a peer has owed an answer for longer than a time."""
        known = self._known.get(name)
        return known is not None and known.asked_at is not None and now - known.asked_at > after_s

    def list_usable(self, now: float) -> list[Peer]:
        """Return the peers that are not silent, or all if every one is."""
        usable = [known.peer for known in self._known.values() if not _is_silent(known, now)]
        return usable or self.list_peers()

    def list_heard(self, now: float, within_s: float) -> list[Peer]:
        """Return the peers that were heard lately."""
        return [known.peer for known in self._known.values() if now - known.heard_at <= within_s]

    def list_peers(self) -> list[Peer]:
        """Return every peer."""
        return [known.peer for known in self._known.values()]

    def choose(self, key: str, now: float, data_centre: str, region: str, count: int) -> list[Peer]:
        """Return keepers of a key: of the data centre first, then of the region, then any."""
        chosen: list[Peer] = []
        for group in _group(self.list_usable(now), data_centre, region):
            names = choose_keepers(key, group, count - len(chosen))
            chosen += [group[name] for name in names]
        return chosen

    def _trim(self) -> None:
        while len(self._known) > self._limit:
            oldest = min(self._known.values(), key=lambda known: known.heard_at)
            del self._known[oldest.peer.name]


def to_peer(facts: ProcessFacts) -> Peer:
    """Return how another process reaches the process that the facts describe."""
    return Peer(
        facts.name,
        facts.role.value,
        facts.data_centre,
        facts.region,
        facts.address,
        facts.control_port,
        facts.incarnation,
    )


def to_facts(peer: Peer) -> ProcessFacts:
    """Return the facts that a peer's address tells."""
    return ProcessFacts(
        peer.name,
        Role(peer.role),
        peer.data_centre,
        peer.region,
        peer.address,
        peer.control_port,
        peer.incarnation,
    )


def _is_silent(known: _Known, now: float) -> bool:
    if known.asked_at is None:
        return False
    return SILENT_AFTER_S < now - known.asked_at <= RETRY_SILENT_S


def _group(peers: Iterable[Peer], data_centre: str, region: str) -> tuple[dict[str, Peer], ...]:
    near: dict[str, Peer] = {}
    regional: dict[str, Peer] = {}
    far: dict[str, Peer] = {}
    for peer in peers:
        if peer.data_centre == data_centre:
            near[peer.name] = peer
        elif peer.region == region:
            regional[peer.name] = peer
        else:
            far[peer.name] = peer
    return near, regional, far
