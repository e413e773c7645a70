"""Hold a parsed scenario."""

from enum import StrEnum

from attrs import frozen


class Verb(StrEnum):
    """List everything that can happen in a scenario."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_BOTH = "cut_both"
    REPLACE = "replace"
    RESTART_AGENT = "restart_agent"
    COOL = "cool"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    SHUT_DOWN = "shut_down"
    TAKE_OUT = "take_out"
    BRING_BACK = "bring_back"
    ADD = "add"
    ADD_AT = "add_at"
    LEAVE = "leave"
    REJOIN = "rejoin"
    REMOVE = "remove"
    SUSPECT = "suspect"
    MISREPORT = "misreport"
    ACCEPT = "accept"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_STALE = "store_stale"
    NETWORK = "network"
    CROSS = "cross"
    REUSE_PORT = "reuse_port"


@frozen
class Action:
    """Hold one thing that happens: its verb, names and numbers, durations in seconds."""

    verb: Verb
    names: tuple[str, ...] = ()
    numbers: tuple[float, ...] = ()


@frozen
class ScheduledAction:
    """Hold an action and when it happens."""

    time: float
    action: Action


@frozen
class Traffic:
    """Describe the calls of one class."""

    class_name: str
    service: str
    rate: float
    mean_duration_s: float
    start: float
    end: float


class RequirementKind(StrEnum):
    """List what a scenario may demand beside the promises."""

    ANSWER = "answer"
    REFUSE = "refuse"


@frozen
class Requirement:
    """Hold one demand on the calls of a class."""

    kind: RequirementKind
    class_name: str
    min_share: float = 0.0


@frozen
class Scenario:
    """Hold a whole scenario."""

    name: str
    deployment: str
    duration_s: float
    speeds: tuple[float, ...] = ()
    max_view_delay_s: float = 0.0
    traffics: tuple[Traffic, ...] = ()
    scheduled_actions: tuple[ScheduledAction, ...] = ()
    requirements: tuple[Requirement, ...] = ()
