"""Servers that are slower than before or than their peers, and how many are set aside at once.

Answers servers that turn slow, slow by turns or failing while others are well. An agent reports how
much slower its server is than usual; each balancer compares the servers of a service.
"""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from statistics import median_low

from attrs import define, field

from fescueseam.handshake.effects import Effects, LogEvent
from fescueseam.handshake.member import Availability, Member, RouteWork
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.segments import ServiceAddress
from fescueseam.overload.placement import compute_typical_work

RECENT_SAMPLES = 6
"""Number of service times that tell whether a server is slow."""
RECOVERY_SAMPLES = 2
"""Number of usual service times in a row that show a recovery."""
RECENT_TIME_S = 30.0
"""Age from which a service time no longer tells whether a server is slow, in seconds."""
MAX_RATIO = 16.0
"""Largest ratio of a service time to the usual one that counts."""
FAILED_RATIO = 6.0
"""Ratio as which a request without an answer counts: three of the latest show a slow server."""
STUCK_RATIO, STUCK_SAMPLES = 8.0, 3
"""Ratio from which a request at work looks stuck, and number of samples as which it counts."""
SLOW_RATIO = 2.0
"""Recent service times relative to the usual ones from which a server is slow."""
RECOVERED_RATIO = 1.4
"""The same ratio below which a slow server has recovered."""
PEER_RATIO = 3.0
"""Service time relative to the peers' median from which a server is slow. Machines of a service may
differ in speed by less."""
MIN_PEERS = 3
"""Smallest number of servers of a service that are compared with each other."""
FAILING_SHARE = 0.25
"""Share of failing requests from which a server is set aside, beyond twice that of its peers."""
FAILING_FACTOR = 4.0
"""Factor on the service time of a server whose requests all fail, less one."""
MAX_ASIDE_SHARE = 1 / 3
"""Largest share of a service's servers that is set aside at once."""
REFRESH_INTERVAL_S = 0.25
"""Shortest time between two comparisons of the servers of a service, in seconds."""
TYPICAL_WORK_INTERVAL_S = 1.0
"""Interval at which the median work of the servers of a service is computed, in seconds."""
MIN_HOLD_S, MAX_HOLD_S = 1.0, 16.0
"""Shortest and longest time for which a recovered server stays set aside, in seconds."""
RELAPSE_TIME_S = 30.0
"""Time after a recovery within which the next slowness doubles the hold, in seconds."""


@define
class RecentSlowness:
    """Latest service times of a backend server relative to the usual ones."""

    _ratios: deque[tuple[float, float]] = field(
        factory=lambda: deque(maxlen=RECENT_SAMPLES), init=False
    )
    """Logarithm and time of each."""
    is_slow: bool = False
    """Whether the server was slower than usual at the last request."""
    _has_turned_slow: bool = False

    def record(self, ratio: float, now: float) -> None:
        """Record a service time relative to the usual one."""
        self._ratios.append((_compute_log(ratio), now))
        latest = [log for log, _ in self._ratios][-RECOVERY_SAMPLES:]
        if len(latest) == RECOVERY_SAMPLES and max(latest) < _compute_log(RECOVERED_RATIO):
            self._ratios.clear()
        is_slow = self.compute(0.0, now) >= SLOW_RATIO
        self._has_turned_slow = self._has_turned_slow or (is_slow and not self.is_slow)
        self.is_slow = is_slow

    def record_failure(self, now: float) -> None:
        """Record a request without an answer."""
        self.record(FAILED_RATIO, now)

    def reset(self) -> None:
        """Forget the service times, because the backend server has restarted."""
        self._ratios.clear()
        self.is_slow = self._has_turned_slow = False

    def poll_turned_slow(self) -> bool:
        """Return whether the server has turned slow since the last call."""
        turned, self._has_turned_slow = self._has_turned_slow, False
        return turned

    def compute(self, longest_at_work: float, now: float) -> float:
        """Return the geometric mean of the ratios; a request at work counts if it is long."""
        logs = [log for log, at in self._ratios if now - at < RECENT_TIME_S]
        logs = [0.0] * (RECENT_SAMPLES - len(logs)) + logs
        if longest_at_work > RECOVERED_RATIO:
            count = STUCK_SAMPLES if longest_at_work >= STUCK_RATIO else 1
            logs = logs[count:] + [_compute_log(longest_at_work)] * count
        return math.exp(sum(logs) / RECENT_SAMPLES)


def _compute_log(ratio: float) -> float:
    return math.log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio)))


@define
class _Hold:
    """How long a server stays set aside."""

    hold_s: float = MIN_HOLD_S
    recovered_at: float | None = None
    """Time since which it looks well; None while it looks slow."""
    released_at: float | None = None
    """Time at which it was last used as before; None while it is set aside."""


@define
class ServerSpeeds:
    """Which servers a balancer sets aside, by the name of their agents."""

    _holds: dict[str, _Hold] = field(factory=dict)
    _slow: set[str] = field(factory=set)
    """Members whose last report says that their server is slow."""
    _refreshed_at: dict[str, float] = field(factory=dict)
    _compared_at: dict[str, float] = field(factory=dict)

    def handle_report(self, fleet: Fleet, member: Member, now: float) -> Effects:
        """Compare the servers of a member's service if it is due or the member's turned slow."""
        service = member.identity.service
        name = member.identity.name
        is_slow = member.load.slowness >= SLOW_RATIO
        has_turned_slow = is_slow and name not in self._slow
        if is_slow:
            self._slow.add(name)
        else:
            self._slow.discard(name)
        refreshed_at = self._refreshed_at.get(service, -math.inf)
        if not has_turned_slow and now - refreshed_at < REFRESH_INTERVAL_S:
            return []
        return self._compare(fleet, service, now)

    def _compare(self, fleet: Fleet, service: str, now: float) -> Effects:
        """Set servers aside or use them as before, by the newest reports; log each change."""
        self._refreshed_at[service] = now
        self._slow &= fleet.members.keys()
        heard = [
            item
            for item in fleet.list_agents((service,))
            if item.load.availability is Availability.READY and not fleet.is_unreachable(item, now)
        ]
        if now - self._compared_at.get(service, -math.inf) >= TYPICAL_WORK_INTERVAL_S:
            self._compared_at[service] = now
            fleet.typical_work[service] = compute_typical_work(heard)
        ratios = _compute_ratios(heard, fleet.typical_work[service])
        limit = max(1, int(len(heard) * MAX_ASIDE_SHARE)) if len(heard) > 1 else 0
        # Those set aside already come first, so that servers do not take turns at the bound.
        heard.sort(key=lambda item: (item.slow_factor <= 1.0, -ratios[item.identity.name]))
        effects: Effects = []
        aside = 0
        for member in heard:
            factor = self._update_hold(member.identity.name, ratios[member.identity.name], now)
            aside += factor > 1.0
            if aside > limit:
                factor = 1.0
            if (factor > 1.0) is not (member.slow_factor > 1.0):
                effects.append(_build_event(service, member, factor))
                member.passed_over = 0
            member.slow_factor = factor
        self._forget_released(fleet, now)
        return effects

    def _update_hold(self, name: str, factor: float, now: float) -> float:
        """Return the factor on the service time of a server; it stays until the hold is over."""
        hold = self._holds.get(name)
        is_aside = hold is not None and hold.released_at is None
        if factor >= (RECOVERED_RATIO if is_aside else SLOW_RATIO):
            if hold is None:
                hold = self._holds[name] = _Hold()
            elif not is_aside:
                hold.hold_s = min(MAX_HOLD_S, 2 * hold.hold_s)
            hold.recovered_at = hold.released_at = None
            return factor
        if hold is None or not is_aside:
            return 1.0
        if hold.recovered_at is None:
            hold.recovered_at = now
        if now - hold.recovered_at >= hold.hold_s:
            hold.released_at = now
            return 1.0
        return max(SLOW_RATIO, factor)

    def _forget_released(self, fleet: Fleet, now: float) -> None:
        for name, hold in list(self._holds.items()):
            is_over = hold.released_at is not None and now - hold.released_at >= RELAPSE_TIME_S
            if is_over or fleet.find(name) is None:
                del self._holds[name]
        for service in [item for item in self._refreshed_at if not fleet.list_agents((item,))]:
            del self._refreshed_at[service], self._compared_at[service]
            del fleet.typical_work[service]


def _compute_ratios(
    members: Sequence[Member], typical_work: Mapping[ServiceAddress, RouteWork]
) -> dict[str, float]:
    """Return how slow each server is relative to its past and to its peers; 1 is usual."""
    if not members:
        return {}
    usual_slowness = max(1.0, median_low(item.load.slowness for item in members))
    usual_failing = median_low(item.load.failing for item in members)
    ratios = {}
    for member in members:
        ratio = max(1.0, member.load.slowness / usual_slowness)
        if len(members) >= MIN_PEERS and any(
            address in typical_work and item.mean_s >= PEER_RATIO * typical_work[address].mean_s
            for address, item in member.work.items()
        ):
            ratio = max(ratio, SLOW_RATIO)
        if member.load.failing >= max(FAILING_SHARE, 2 * usual_failing):
            ratio = max(ratio, 1 + FAILING_FACTOR * min(1.0, member.load.failing))
        ratios[member.identity.name] = ratio
    return ratios


def _build_event(service: str, member: Member, factor: float) -> LogEvent:
    fields = {
        "service": service,
        "agent": member.identity.name,
        "factor": round(factor, 2),
        "slowness": round(member.load.slowness, 2),
        "failing": round(member.load.failing, 2),
    }
    return LogEvent("server-set-aside" if factor > 1.0 else "server-restored", fields)
