"""Define the model of a parsed scenario."""

from enum import StrEnum

from attrs import frozen


class Verb(StrEnum):
    """Verb of an action in the scenario language."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_BOTH = "cut_both"
    REPLACE = "replace"
    """Replace a balancer with a new one of the same name."""
    RESTART_AGENT = "restart_agent"
    COOL = "cool"
    """Restart a backend server cold, without notifying any process."""
    DRAIN = "drain"
    """Add the endpoint rule that drains a backend server."""
    UNDRAIN = "undrain"
    SHUT_DOWN = "shut_down"
    TAKE_OUT = "take_out"
    BRING_BACK = "bring_back"
    ADD = "add"
    ADD_AT = "add_at"
    """Add a backend server at the address of another one."""
    LEAVE = "leave"
    """Mark a backend server as leaving in the table of its service."""
    REJOIN = "rejoin"
    REMOVE = "remove"
    SUSPECT = "suspect"
    """Make all processes suspect an agent, whether it runs or not."""
    MISREPORT = "misreport"
    """Make the load reports of one or all backend servers late and wrong."""
    ACCEPT = "accept"
    """Accept the unchanged configuration under a new version."""
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_STALE = "store_stale"
    """Make the store return random accepted versions instead of the newest."""
    NETWORK = "network"
    """Set the shares of datagrams that are lost, duplicated and reordered."""
    CROSS = "cross"
    """Open a call and send its opening to all balancers at the same time."""
    REUSE_PORT = "reuse_port"
    """Open a call from the port of the newest ended call of a class."""


@frozen
class Action:
    """Action of a scenario: its verb, names and numbers; durations are in seconds."""

    verb: Verb
    names: tuple[str, ...] = ()
    numbers: tuple[float, ...] = ()


@frozen
class ScheduledAction:
    """Action and its time."""

    time: float
    action: Action


@frozen
class Traffic:
    """Traffic of one service class."""

    class_name: str
    service: str
    rate_per_s: float
    mean_duration_s: float
    start: float
    end: float


class RequirementKind(StrEnum):
    """Kind of a requirement that a scenario has in addition to the promises."""

    ANSWER = "answer"
    REFUSE = "refuse"


@frozen
class Requirement:
    """Requirement on the calls of one service class."""

    kind: RequirementKind
    class_name: str
    min_share: float = 0.0
    """Smallest share of calls that must be answered, from 0 to 1."""


@frozen
class Scenario:
    """Parsed scenario."""

    name: str
    deployment: str
    duration_s: float
    speeds: tuple[float, ...] = ()
    max_view_delay_s: float = 0.0
    """Longest delay until a process learns of a change, in seconds."""
    traffic: tuple[Traffic, ...] = ()
    scheduled_actions: tuple[ScheduledAction, ...] = ()
    requirements: tuple[Requirement, ...] = ()
