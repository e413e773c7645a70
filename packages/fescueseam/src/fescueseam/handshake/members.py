"""Hold what one process believes of the others."""

import functools
import hashlib
import heapq
import math
from collections.abc import Iterable
from enum import StrEnum

from attrs import define, field, frozen

MIN_AGENT_REPORT_INTERVAL_S = 0.25
"""An agent reports to each of a few balancers this often, in seconds."""
MIN_BALANCER_REPORT_INTERVAL_S = 0.5
"""A balancer reports to each of a few members this often, in seconds."""
MAX_REPORT_INTERVAL_S = 1.0
"""Nobody reports less often, in seconds; a member counts as gone after four missed reports."""
MAX_AGENT_REPORTS_PER_S = 28.0
"""An agent sends no more reports a second, as to seven balancers at the short interval, until the
longest interval is reached."""
MAX_BALANCER_REPORTS_PER_S = 60.0
"""A balancer sends no more reports a second, as to thirty members at the short interval, until the
longest interval is reached."""
STALE_REPORT_INTERVALS = 3.2
"""Give no new flow to an agent after this many intervals without a report: three and a late
timer."""
NEIGHBOUR_TIMEOUT_S = 2.2
"""Ask no balancer unheard for two of its longest intervals for a flow, in seconds."""
MEMBER_TIMEOUT_S = 4.0
"""Take a member unheard for this long for gone, in seconds: a restart takes less."""
SHORT_MEMBER_TIMEOUT_S = 2.0
"""Take a member that was only listed, or an agent without a server, for gone after this long, in
seconds: a process is back within about a second, and entries outlive members that were lost."""
MEMBER_RETENTION_S = 60.0
"""Forget a member unheard for a flow's longest life, in seconds."""


class Role(StrEnum):
    """Name what a process does."""

    BALANCER = "balancer"
    AGENT = "agent"


class Availability(StrEnum):
    """Tell whether a backend server may get new flows."""

    ABSENT = "absent"
    """The backend server stopped answering."""
    UNKNOWN = "unknown"
    """The agent has started and not heard of its backend server yet."""
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    """No backend server is there: it has ended on purpose or never came."""


@frozen
class Identity:
    """Say who a process is and where it is reached."""

    name: str
    role: Role
    address: int
    data_centre: str
    service: str = ""
    incarnation: int = 0


@frozen
class Load:
    """Hold what an agent says of its backend server."""

    availability: Availability = Availability.ABSENT
    busy: int = 0
    """Count the flows whose request is at work."""
    flows: int = 0
    slots: int = 0
    utilisation: float = 0.0
    """Hold the busy requests per slot, averaged over some seconds."""
    service_time_s: float = 0.0
    cold: bool = False
    leaving: bool = False
    """Tell that the agent itself is about to end."""
    failing: float = 0.0
    """Hold the share of the latest requests that got no answer."""


@define
class Member:
    """Hold the newest that was heard of one process."""

    identity: Identity
    listed_at: float
    """Hold when it was first named here, by this process's steady clock."""
    last_heard_at: float = -math.inf
    """Hold when it was last heard, by this process's steady clock."""
    load: Load = field(factory=Load)
    sequence: int = 0
    flows_sent_since_report: int = 0
    """Count the flows sent there since its last report."""
    unanswered_at: float | None = None
    """Hold when it left a packet unanswered, until it is heard again."""
    busy_until: float = 0.0
    """Prefer others before this time, because every slot was busy a moment ago."""
    excluded_until: float = 0.0
    """Offer it no new flow before this time, because it has just turned one down for good."""
    last_report_sent_at: float = -math.inf
    """Hold when this process last sent it a report."""
    reported_unreachable: bool = False
    """Tell that it was said to be gone, so that each change is said once."""

    def is_without_backend(self) -> bool:
        """Tell whether no backend server was beside it when it was last heard."""
        return self.load.availability in (Availability.UNKNOWN, Availability.LEFT)

    def has_reported_backend(self) -> bool:
        """Tell whether a backend server was beside it when it was last heard."""
        return self.last_heard_at != -math.inf and not self.is_without_backend()


@define
class Fleet:
    """Hold every known member by name."""

    own: Identity
    members: dict[str, Member] = field(factory=dict)
    _by_address: dict[int, Member] = field(factory=dict)
    _agents_by_service: dict[str, tuple[Member, ...]] = field(factory=dict)
    """Hold the agents of each service by name; empty until it is asked for."""

    def add_listed(self, identity: Identity, now: float) -> bool:
        """Take a member from a list; return whether it is new here."""
        if identity.name == self.own.name or identity.address == self.own.address:
            return False
        known = self.members.get(identity.name)
        if known is not None and known.identity.address == identity.address:
            return False
        if known is not None and known.last_heard_at > now - MEMBER_TIMEOUT_S:
            return False
        holder = self.find_by_address(identity.address)
        if holder is not None and holder.last_heard_at > now - MEMBER_TIMEOUT_S:
            return False
        self._add(identity, now)
        return True

    def record_report(self, identity: Identity, load: Load, sequence: int, now: float) -> bool:
        """Take a member's own report; return whether it is news of its identity or state."""
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
                self._agents_by_service.clear()
        else:
            known = self._add(identity, now)
            changed = True
        known.load = load
        known.sequence = sequence
        known.last_heard_at = now
        known.flows_sent_since_report = 0
        known.unanswered_at = None
        return changed

    def record_message(self, name: str, now: float) -> None:
        """Note any message from a member."""
        member = self.members.get(name)
        if member is not None:
            member.last_heard_at = now
            member.unanswered_at = None

    def record_unanswered(self, name: str, now: float) -> bool:
        """Note a packet that a member did not answer; return whether that is news."""
        member = self.members.get(name)
        if member is None or member.unanswered_at is not None:
            return False
        member.unanswered_at = now
        return True

    def find(self, name: str) -> Member | None:
        """Return a member by name."""
        return self.members.get(name)

    def find_by_address(self, address: int) -> Member | None:
        """Return the member at an address."""
        return self._by_address.get(address)

    def list_agents(self, services: Iterable[str]) -> list[Member]:
        """Return the agents of services, by name within each."""
        if not self._agents_by_service:
            self._agents_by_service = self._group_agents()
        return [
            member
            for name in dict.fromkeys(services)
            for member in self._agents_by_service.get(name, ())
        ]

    def list_balancers(self) -> list[Member]:
        """Return the balancers."""
        return [item for item in self.members.values() if item.identity.role is Role.BALANCER]

    def list_neighbours(self, now: float) -> list[Member]:
        """Return the other balancers of the own data centre that were heard lately."""
        return [
            member
            for member in self.list_balancers()
            if member.identity.data_centre == self.own.data_centre
            and now - member.last_heard_at < NEIGHBOUR_TIMEOUT_S
        ]

    def is_unreachable(self, member: Member, now: float) -> bool:
        """Tell whether a member has been unheard for too long to hold flows."""
        if member.last_heard_at == -math.inf:
            return now - member.listed_at >= SHORT_MEMBER_TIMEOUT_S
        return now - member.last_heard_at >= (
            SHORT_MEMBER_TIMEOUT_S if member.is_without_backend() else MEMBER_TIMEOUT_S
        )

    def collect_reachability_changes(self, now: float) -> list[Member]:
        """Return the members that are gone or back since the last call."""
        changed = []
        for member in self.members.values():
            gone = self.is_unreachable(member, now)
            if gone is not member.reported_unreachable:
                member.reported_unreachable = gone
                changed.append(member)
        return changed

    def select_due_members(self, elapsed_s: float, now: float) -> list[Member]:
        """Return the members whose turn it is to get a report, and take it that they do.

        Sent all at once, the last reports are lost on a narrow link, always to the same members.
        """
        if self.own.role is Role.AGENT:
            members = [item for item in self.list_balancers() if not self.is_unreachable(item, now)]
            interval_s = compute_agent_report_interval(len(members))
        else:
            members = list(self.members.values())
            interval_s = compute_balancer_report_interval(len(members))
        share = math.ceil(len(members) * min(1.0, elapsed_s / interval_s))
        due = heapq.nsmallest(share, members, key=lambda item: item.last_report_sent_at)
        # Half an elapsed span of slack keeps a member from missing its turn by a late timer.
        latest = now - interval_s + elapsed_s / 2
        due = [member for member in due if member.last_report_sent_at <= latest]
        for member in due:
            member.last_report_sent_at = now
        return due

    def compute_report_timeout(self) -> float:
        """Return after which silence an agent gets no new flow, in seconds."""
        return STALE_REPORT_INTERVALS * compute_agent_report_interval(
            len(self.list_balancers()) + 1
        )

    def remove_expired(self, now: float) -> list[Identity]:
        """Forget the members unheard for very long; return them."""
        lost = [
            item
            for item in self.members.values()
            if now - max(item.last_heard_at, item.listed_at) >= MEMBER_RETENTION_S
        ]
        for member in lost:
            self._remove(member)
        return [member.identity for member in lost]

    def _add(self, identity: Identity, now: float) -> Member:
        # An address belongs to one process at a time; the newest holder replaces earlier ones.
        for earlier in (self.find_by_address(identity.address), self.members.get(identity.name)):
            if earlier is not None:
                self._remove(earlier)
        member = Member(identity, now)
        self.members[identity.name] = self._by_address[identity.address] = member
        self._agents_by_service.clear()
        return member

    def _remove(self, member: Member) -> None:
        self.members.pop(member.identity.name, None)
        self._by_address.pop(member.identity.address, None)
        self._agents_by_service.clear()

    def _group_agents(self) -> dict[str, tuple[Member, ...]]:
        groups: dict[str, list[Member]] = {}
        for member in sorted(self.members.values(), key=lambda item: item.identity.name):
            if member.identity.role is Role.AGENT:
                groups.setdefault(member.identity.service, []).append(member)
        return {service: tuple(group) for service, group in groups.items()}


def compute_agent_report_interval(balancers: int) -> float:
    """Return how often an agent reports to each of several balancers, in seconds."""
    spread_s = balancers / MAX_AGENT_REPORTS_PER_S
    return min(MAX_REPORT_INTERVAL_S, max(MIN_AGENT_REPORT_INTERVAL_S, spread_s))


def compute_balancer_report_interval(members: int) -> float:
    """Return how often a balancer reports to each of several members, in seconds."""
    spread_s = members / MAX_BALANCER_REPORTS_PER_S
    return min(MAX_REPORT_INTERVAL_S, max(MIN_BALANCER_REPORT_INTERVAL_S, spread_s))


@functools.lru_cache(maxsize=4096)
def compute_service_tag(service: str) -> int:
    """Return the 16 bits that stand for a service beside a packet."""
    return int.from_bytes(hashlib.blake2b(service.encode(), digest_size=2).digest())
