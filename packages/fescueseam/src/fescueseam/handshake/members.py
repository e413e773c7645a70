"""Members of the system as one process knows them, from their reports and from lists."""

import heapq
import math
from collections import Counter
from collections.abc import Collection, Iterable

from attrs import define, evolve, field

from fescueseam.handshake.holders import HolderIndex
from fescueseam.handshake.member import (
    LEAVING_STATES,
    UNKNOWN_FLOWS,
    Availability,
    Identity,
    Load,
    Member,
    Role,
    RouteWork,
)
from fescueseam.handshake.report_intervals import (
    MAX_FAR_INTERVAL_S,
    MAX_NEAR_INTERVAL_S,
    MISSED_REPORTS,
    compute_far_agent_interval,
    compute_far_balancer_interval,
    compute_keepalive_interval,
    compute_near_agent_interval,
    compute_near_balancer_interval,
)
from fescueseam.handshake.segments import ServiceAddress
from fescueseam.overload.placement import compute_pinned_busy

NEIGHBOUR_TIMEOUT_S = 2.2
"""Time without a message after which a balancer is not asked for the homes of flows, in seconds:
two of the longest intervals and a margin."""
MEMBER_TIMEOUT_S = 4.0
"""Time without a message after which a near member counts as unreachable, in seconds. A restart
takes less."""
SHORT_MEMBER_TIMEOUT_S = 2.0
"""Timeout for a member that was only listed and for an agent without a backend server, in seconds.
A process restarts within about a second, and the store may still list lost members."""
PROBE_INTERVAL_S = 0.5
"""Interval of the report requests to a member that left a packet unanswered, in seconds."""
IGNORED_PROBES_TIMEOUT_S = 1.2
"""Time after an unanswered packet at which a member has also ignored two report requests, in
seconds. Then one without a backend server counts as silent, however seldom it reports."""
MEMBERS_LIMIT = 16_384
"""Largest number of members; further ones are not added. It exceeds the largest planned fleet."""
MEMBER_RETENTION_S = 60.0
"""Time without a message after which a member is removed, in seconds: the longest life of an idle
flow."""


@define
class Fleet:
    """All known members by name, without this process itself."""

    own: Identity
    members: dict[str, Member] = field(factory=dict)
    holders: HolderIndex = field(factory=HolderIndex)
    """Which flows the agents hold, as they have reported."""
    typical_work: dict[str, dict[ServiceAddress, RouteWork]] = field(factory=dict)
    """Median learned work of each route over the agents of each service."""
    own_load: Load = field(factory=Load)
    """What this process reports of itself, if it is a balancer."""
    far_report_stretch: float = 1.0
    """Factor on the intervals of the reports to far members."""
    _by_address: dict[int, Member] = field(factory=dict)
    _agents_by_service: dict[str, tuple[Member, ...]] = field(factory=dict)
    """Agents of each service, sorted by name; built on first use and cleared on changes."""
    _balancers: tuple[Member, ...] | None = None
    """All balancers; built on first use and cleared on changes."""
    _served_data_centres: frozenset[str] = frozenset()
    """Data centres in which a balancer was reachable at the last update of reachability."""

    def add_listed(self, identity: Identity, now: float) -> bool:
        """Add a member that a list names; return whether it is new."""
        if identity.name == self.own.name or identity.address == self.own.address:
            return False
        known = self.members.get(identity.name)
        if known is not None and known.identity.address == identity.address:
            return False
        holder = self.find_by_address(identity.address)
        if any(
            item is not None and not self._is_silent(item, MEMBER_TIMEOUT_S, now)
            for item in (known, holder)
        ):
            return False
        return self._add(identity, now) is not None

    def record_report(self, identity: Identity, load: Load, sequence: int, now: float) -> bool:
        """Record a member's report; return whether its identity or state changed."""
        if identity.name == self.own.name:
            return False
        known = self.members.get(identity.name)
        if known is not None and known.identity.address == identity.address:
            if identity.incarnation == known.identity.incarnation and sequence <= known.sequence:
                return False
            changed = known.identity != identity or (
                known.load.availability,
                known.load.leaving,
            ) != (load.availability, load.leaving)
            if known.identity != identity:
                known.identity = identity
                self._clear_caches()
        else:
            known = self._add(identity, now)
            changed = True
        if known is None:
            return False
        if load.availability is Availability.UNKNOWN and known.load.availability in LEAVING_STATES:
            # The agent has restarted and does not know yet that its server drains or has left.
            load = evolve(load, availability=known.load.availability)
        known.load = load
        if load.work:
            known.work = {item.address: item for item in load.work}
            known.pinned_busy = compute_pinned_busy(load.work)
        if known.identity.role is Role.AGENT:
            self.holders.record(identity.name, load.held)
        known.had_backend = known.had_backend or not known.is_without_backend()
        known.sequence = sequence
        known.last_heard_at = now
        known.flows_sent_since_report = 0
        known.unanswered_at = None
        return changed

    def record_message(self, name: str, now: float) -> None:
        """Record the arrival of a message from a member."""
        member = self.members.get(name)
        if member is not None:
            member.last_heard_at = now
            member.unanswered_at = None

    def record_unanswered(self, name: str, now: float) -> bool:
        """Record an unanswered packet to a member; return whether it is the first in a row."""
        member = self.members.get(name)
        if member is None or member.unanswered_at is not None:
            return False
        member.unanswered_at = now
        return True

    def find(self, name: str) -> Member | None:
        """Return a member by name, or None if it is not known."""
        return self.members.get(name)

    def find_by_address(self, address: int) -> Member | None:
        """Return the member at an address, or None if there is none."""
        return self._by_address.get(address)

    def list_agents(self, services: Iterable[str]) -> list[Member]:
        """Return the agents of some services, sorted by name within each."""
        if not self._agents_by_service:
            self._agents_by_service = self._group_agents()
        return [
            member
            for name in dict.fromkeys(services)
            for member in self._agents_by_service.get(name, ())
        ]

    def list_holders(self, services: Collection[str], address: ServiceAddress) -> list[Member]:
        """Return the agents of some services, and the others that hold flows of an address."""
        holders = (self.members[name] for name in self.holders.list_holders(address))
        others = [member for member in holders if member.identity.service not in services]
        return self.list_agents(services) + _sort_by_name(others)

    def list_agents_with_unknown_flows(self) -> list[Member]:
        """Return the agents whose backend servers may hold flows of any service address."""
        names = self.holders.list_with_unknown_flows()
        return _sort_by_name(self.members[name] for name in names)

    def list_balancers(self) -> tuple[Member, ...]:
        """Return all known balancers."""
        if self._balancers is None:
            self._balancers = tuple(
                item for item in self.members.values() if item.identity.role is Role.BALANCER
            )
        return self._balancers

    def count_balancers_elsewhere(self, now: float) -> dict[str, int]:
        """Return for each data centre how many reachable balancers stand in another one."""
        counts = Counter(
            item.identity.data_centre
            for item in self.list_balancers()
            if not self.is_unreachable(item, now)
        )
        counts[self.own.data_centre] += 1
        data_centres = {item.identity.data_centre for item in self.members.values()}
        return {name: counts.total() - counts[name] for name in data_centres}

    def is_near(self, member: Member) -> bool:
        """Return whether this process and a member exchange reports often.

        They do within a data centre. An agent without a reachable balancer in its data centre is
        near to all balancers.
        """
        if member.identity.data_centre == self.own.data_centre:
            return True
        if self.own.role is Role.AGENT:
            return self.own.data_centre not in self._served_data_centres
        return (
            member.identity.role is Role.AGENT
            and member.identity.data_centre not in self._served_data_centres
        )

    def compute_report_timeout(self, member: Member) -> float:
        """Return the time without a report of a member after which one is overdue, in seconds."""
        return MISSED_REPORTS * self._compute_interval_from(member)

    def compute_agent_report_timeouts(self) -> tuple[float, float]:
        """Return the times without a report of a near and of a far agent until one is overdue."""
        balancers = len(self.list_balancers()) + 1
        return (
            MISSED_REPORTS * compute_near_agent_interval(balancers),
            MISSED_REPORTS * compute_far_agent_interval(balancers),
        )

    def list_neighbours(self, now: float) -> list[Member]:
        """Return the other balancers of this data centre that have sent a message lately."""
        return [
            member
            for member in self.list_balancers()
            if member.identity.data_centre == self.own.data_centre
            and now - member.last_heard_at < NEIGHBOUR_TIMEOUT_S
        ]

    def list_members_for(self, requester: Role | None, now: float) -> tuple[Identity, ...]:
        """Return the reachable members that a process of some role uses; none for no role."""
        return tuple(
            member.identity
            for member in self.members.values()
            if requester is not None
            and (requester is Role.BALANCER or member.identity.role is Role.BALANCER)
            and not self.is_unreachable(member, now)
        )

    def is_unreachable(self, member: Member, now: float) -> bool:
        """Return whether a member is silent past its timeout and so presumed to hold no flows."""
        if member.last_heard_at == -math.inf:
            return now - member.listed_at >= SHORT_MEMBER_TIMEOUT_S
        shortest_s = SHORT_MEMBER_TIMEOUT_S if member.is_without_backend() else MEMBER_TIMEOUT_S
        return self._is_silent(member, shortest_s, now)

    def collect_reachability_changes(self, now: float) -> list[Member]:
        """Return the members that became unreachable or reachable since the last call."""
        changed = []
        for member in self.members.values():
            unreachable = self.is_unreachable(member, now)
            if unreachable is not member.reported_unreachable:
                member.reported_unreachable = unreachable
                changed.append(member)
        self._update_served_data_centres()
        return changed

    def select_due_members(self, elapsed_s: float, now: float) -> list[Member]:
        """Return the members whose report is due, and mark it as sent.

        Reports are spread over the interval, because a narrow link drops the last ones of a burst,
        which would always be those to the same members.
        """
        due: list[Member] = []
        for interval_s, members in self._group_receivers(now):
            limit = math.ceil(len(members) * min(1.0, elapsed_s / interval_s))
            oldest = heapq.nsmallest(limit, members, key=lambda item: item.last_report_sent_at)
            # A tolerance of half a step keeps a late timer from skipping a member.
            due_before = now - interval_s + elapsed_s / 2
            due += [member for member in oldest if member.last_report_sent_at <= due_before]
        for member in due:
            member.last_report_sent_at = now
        return due

    def select_probed_members(self, now: float) -> list[Member]:
        """Return the members that are to be asked for a report now, and mark them as asked.

        These left a packet unanswered and are not unreachable yet. Their answer shows that only
        the packet was lost; the load of a lost member would attract flows until it is unreachable.
        """
        probed = [
            member
            for member in self.members.values()
            if member.unanswered_at is not None
            and now - member.probed_at >= PROBE_INTERVAL_S
            and not self.is_unreachable(member, now)
        ]
        for member in probed:
            member.probed_at = now
        return probed

    def remove_expired(self, now: float) -> list[Identity]:
        """Remove and return the members that were silent for longer than the retention time."""
        expired = [
            item
            for item in self.members.values()
            if now - max(item.last_heard_at, item.listed_at) >= MEMBER_RETENTION_S
        ]
        for member in expired:
            self._remove(member)
        return [member.identity for member in expired]

    def _add(self, identity: Identity, now: float) -> Member | None:
        # An address belongs to one process at a time, so a new member replaces the earlier one.
        for earlier in (self.find_by_address(identity.address), self.members.get(identity.name)):
            if earlier is not None:
                self._remove(earlier)
        if len(self.members) >= MEMBERS_LIMIT:
            return None
        member = Member(identity, now)
        self.members[identity.name] = self._by_address[identity.address] = member
        if identity.role is Role.AGENT:
            # It may hold flows until its first report tells.
            self.holders.record(identity.name, UNKNOWN_FLOWS)
        self._clear_caches()
        return member

    def _remove(self, member: Member) -> None:
        self.members.pop(member.identity.name, None)
        self._by_address.pop(member.identity.address, None)
        self.holders.discard(member.identity.name)
        self._clear_caches()

    def _clear_caches(self) -> None:
        self._agents_by_service.clear()
        self._balancers = None

    def _is_silent(self, member: Member, shortest_s: float, now: float) -> bool:
        silence_s = now - member.last_heard_at
        if silence_s < shortest_s:
            return False
        # A member that may hold flows can be frozen for a moment, so it is probed for longer.
        probing_s = IGNORED_PROBES_TIMEOUT_S if member.is_without_backend() else MEMBER_TIMEOUT_S
        has_ignored_probes = (
            member.unanswered_at is not None and now - member.unanswered_at >= probing_s
        )
        return has_ignored_probes or silence_s >= self.compute_report_timeout(member)

    def _update_served_data_centres(self) -> None:
        served = {
            item.identity.data_centre
            for item in self.list_balancers()
            if not item.reported_unreachable
        }
        if self.own.role is Role.BALANCER:
            served.add(self.own.data_centre)
        self._served_data_centres = frozenset(served)

    def _group_receivers(self, now: float) -> list[tuple[float, list[Member]]]:
        """Return the members that get reports, grouped by the interval of the reports."""
        if self.own.role is Role.AGENT:
            balancers = [
                item for item in self.list_balancers() if not self.is_unreachable(item, now)
            ]
            near, far = self._split(balancers)
            return [
                (compute_near_agent_interval(len(near)), near),
                (compute_far_agent_interval(len(far)), far),
            ]
        near, far = self._split(self.members.values())
        far_balancers = [item for item in self.list_balancers() if not self.is_near(item)]
        far_agents = [item for item in far if item.identity.role is Role.AGENT]
        stretch = self.far_report_stretch
        return [
            (compute_near_balancer_interval(len(near)), near),
            (compute_far_balancer_interval(len(far_balancers)) * stretch, far_balancers),
            (compute_keepalive_interval(len(far_agents)) * stretch, far_agents),
        ]

    def _split(self, members: Iterable[Member]) -> tuple[list[Member], list[Member]]:
        near: list[Member] = []
        far: list[Member] = []
        for member in members:
            (near if self.is_near(member) else far).append(member)
        return near, far

    def _compute_interval_from(self, member: Member) -> float:
        """Return the longest interval at which a member reports to this process, in seconds."""
        balancers = len(self.list_balancers()) + 1
        if self.is_near(member):
            if member.identity.role is Role.BALANCER:
                return MAX_NEAR_INTERVAL_S
            return compute_near_agent_interval(balancers)
        if member.identity.role is Role.AGENT:
            return compute_far_agent_interval(balancers)
        if self.own.role is Role.AGENT:
            return MAX_FAR_INTERVAL_S
        return compute_far_balancer_interval(balancers)

    def _group_agents(self) -> dict[str, tuple[Member, ...]]:
        groups: dict[str, list[Member]] = {}
        for member in _sort_by_name(self.members.values()):
            if member.identity.role is Role.AGENT:
                groups.setdefault(member.identity.service, []).append(member)
        return {service: tuple(group) for service, group in groups.items()}


def _sort_by_name(members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=lambda item: item.identity.name)
