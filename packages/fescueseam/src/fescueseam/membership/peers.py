"""Track the known balancers and choose the keepers of a process among them."""

from collections.abc import Iterable

from attrs import define

from fescueseam.conf.models import Role
from fescueseam.membership.facts import ProcessFacts
from fescueseam.membership.rendezvous import choose_keepers
from fescueseam.messages.types import Peer

PEER_ANSWER_TIMEOUT_S = 1.5
"""Time without an answer after which a peer is unresponsive, in seconds."""
UNRESPONSIVE_RETRY_INTERVAL_S = 5.0
"""Time after which an unresponsive peer is tried again, in seconds."""
PEERS_LIMIT = 2048
"""Largest number of known peers."""


@define
class _PeerState:
    peer: Peer
    last_heard_at: float = float("-inf")
    unanswered_since: float | None = None
    """When the current wait for an answer began; None while no answer is awaited."""


class PeerRegistry:
    """The balancers that can be keepers, with the time each was last heard from."""

    def __init__(self, own_name: str, limit: int = PEERS_LIMIT) -> None:
        """Initialise an empty registry."""
        self._own_name = own_name
        self._limit = limit
        self._states: dict[str, _PeerState] = {}

    def learn(self, peer: Peer) -> None:
        """Add a balancer, or replace it by a newer incarnation; ignore this process and agents."""
        if peer.name in ("", self._own_name) or peer.role != Role.BALANCER:
            return
        state = self._states.get(peer.name)
        if state is None:
            self._states[peer.name] = _PeerState(peer)
            self._evict_oldest()
        elif peer.incarnation > state.peer.incarnation:
            state.peer = peer
            state.unanswered_since = None

    def find(self, name: str) -> Peer | None:
        """Return the peer with the name, or None."""
        state = self._states.get(name)
        return state.peer if state else None

    def record_heard(self, name: str, now: float) -> None:
        """Record that a message from a peer has arrived."""
        state = self._states.get(name)
        if state is not None:
            state.last_heard_at = now
            state.unanswered_since = None

    def record_announcement(self, name: str, now: float) -> None:
        """Record that an announcement was sent to a peer."""
        state = self._states.get(name)
        if state is None:
            return
        if (
            state.unanswered_since is None
            or now - state.unanswered_since > UNRESPONSIVE_RETRY_INTERVAL_S
        ):
            state.unanswered_since = now

    def is_answer_overdue(self, name: str, now: float, timeout_s: float) -> bool:
        """Return whether a peer has left an announcement unanswered for longer than the timeout."""
        state = self._states.get(name)
        return (
            state is not None
            and state.unanswered_since is not None
            and now - state.unanswered_since > timeout_s
        )

    def list_responsive(self, now: float) -> list[Peer]:
        """Return the responsive peers, or all peers if none is responsive."""
        responsive = [
            state.peer for state in self._states.values() if not _is_unresponsive(state, now)
        ]
        return responsive or self.list_peers()

    def list_recently_heard(self, now: float, within_s: float) -> list[Peer]:
        """Return the peers heard from within the given time."""
        return [
            state.peer for state in self._states.values() if now - state.last_heard_at <= within_s
        ]

    def list_peers(self) -> list[Peer]:
        """Return all peers."""
        return [state.peer for state in self._states.values()]

    def choose_nearest_keepers(
        self, key: str, now: float, data_centre: str, region: str, count: int
    ) -> list[Peer]:
        """Return keepers for a key: from the data centre first, then the region, then elsewhere."""
        chosen: list[Peer] = []
        for group in _group_by_proximity(self.list_responsive(now), data_centre, region):
            names = choose_keepers(key, group, count - len(chosen))
            chosen += [group[name] for name in names]
        return chosen

    def _evict_oldest(self) -> None:
        while len(self._states) > self._limit:
            oldest = min(self._states.values(), key=lambda state: state.last_heard_at)
            del self._states[oldest.peer.name]


def build_peer(facts: ProcessFacts) -> Peer:
    """Return the peer that the facts of a process describe."""
    return Peer(
        facts.name,
        facts.role.value,
        facts.data_centre,
        facts.region,
        facts.address,
        facts.control_port,
        facts.incarnation,
    )


def build_facts(peer: Peer) -> ProcessFacts:
    """Return the facts that a peer carries; all other facts get their default values."""
    return ProcessFacts(
        peer.name,
        Role(peer.role),
        peer.data_centre,
        peer.region,
        peer.address,
        peer.control_port,
        peer.incarnation,
    )


def _is_unresponsive(state: _PeerState, now: float) -> bool:
    if state.unanswered_since is None:
        return False
    return PEER_ANSWER_TIMEOUT_S < now - state.unanswered_since <= UNRESPONSIVE_RETRY_INTERVAL_S


def _group_by_proximity(
    peers: Iterable[Peer], data_centre: str, region: str
) -> tuple[dict[str, Peer], ...]:
    local: dict[str, Peer] = {}
    regional: dict[str, Peer] = {}
    remote: dict[str, Peer] = {}
    for peer in peers:
        if peer.data_centre == data_centre:
            local[peer.name] = peer
        elif peer.region == region:
            regional[peer.name] = peer
        else:
            remote[peer.name] = peer
    return local, regional, remote
