"""Intervals of the reports between members, by role, distance and size of the fleet.

Near members are those of the same data centre; an agent whose data centre has no reachable balancer
is near to all. A balancer chooses among near backend servers first, so it needs far loads less
often. An agent hears the outage and the bounds of cold starts from the balancers nearby.
"""

MIN_AGENT_INTERVAL_S = 0.25
"""Interval of an agent's reports to each near balancer while there are few, in seconds."""
MIN_BALANCER_INTERVAL_S = 0.5
"""Interval of a balancer's reports to each near member while there are few, in seconds."""
MAX_NEAR_INTERVAL_S = 1.0
"""Longest interval of reports to a near member, in seconds. At this interval, a member counts as
unreachable after four missed reports."""
NEAR_AGENT_REPORTS_PER_S = 20.0
"""Largest number of reports that an agent sends to near balancers per second until the longest
interval is reached: those to five balancers at the shortest interval."""
NEAR_BALANCER_REPORTS_PER_S = 30.0
"""Largest number of reports that a balancer sends to near members per second until the longest
interval is reached: those to fifteen members at the shortest interval."""
MIN_FAR_INTERVAL_S = 1.0
"""Shortest interval of reports to a far member, in seconds."""
MAX_FAR_INTERVAL_S = 15.0
"""Longest interval of reports to a far member, in seconds: four of them fit into the time for which
a silent member is remembered."""
FAR_AGENT_REPORTS_PER_S = 10.0
"""Number of reports that an agent sends to far balancers per second in a large fleet."""
FAR_BALANCER_REPORTS_PER_S = 10.0
"""Number of reports that a balancer sends to far balancers per second in a large fleet."""
MIN_KEEPALIVE_INTERVAL_S = 10.0
"""Shortest interval of a balancer's reports to a far agent, in seconds. They only show that it
exists: changes of the outage are reported at once."""
KEEPALIVES_PER_S = 10.0
"""Number of reports that a balancer sends to far agents per second in a large fleet."""
MISSED_REPORTS = 3.2
"""Number of intervals without a report after which a report counts as overdue: three missed reports
and a margin for a late timer."""


def compute_near_agent_interval(near_balancers: int) -> float:
    """Return the interval of an agent's reports to each near balancer, in seconds."""
    spread_s = near_balancers / NEAR_AGENT_REPORTS_PER_S
    return min(MAX_NEAR_INTERVAL_S, max(MIN_AGENT_INTERVAL_S, spread_s))


def compute_near_balancer_interval(near_members: int) -> float:
    """Return the interval of a balancer's reports to each near member, in seconds."""
    spread_s = near_members / NEAR_BALANCER_REPORTS_PER_S
    return min(MAX_NEAR_INTERVAL_S, max(MIN_BALANCER_INTERVAL_S, spread_s))


def compute_far_agent_interval(far_balancers: int) -> float:
    """Return the interval of an agent's reports to each far balancer, in seconds."""
    return _clamp_far(far_balancers / FAR_AGENT_REPORTS_PER_S)


def compute_far_balancer_interval(far_balancers: int) -> float:
    """Return the interval of a balancer's reports to each far balancer, in seconds."""
    return _clamp_far(far_balancers / FAR_BALANCER_REPORTS_PER_S)


def compute_keepalive_interval(far_agents: int) -> float:
    """Return the interval of a balancer's reports to each far agent, in seconds."""
    return min(MAX_FAR_INTERVAL_S, max(MIN_KEEPALIVE_INTERVAL_S, far_agents / KEEPALIVES_PER_S))


def _clamp_far(spread_s: float) -> float:
    return min(MAX_FAR_INTERVAL_S, max(MIN_FAR_INTERVAL_S, spread_s))
