"""Define the error kinds and the exceptions that carry them."""

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from fescueseam.checks.faults import Fault


class ErrorKind(StrEnum):
    """Kind of an error, which decides the response, the exit code and the label in metrics."""

    MALFORMED_PACKET = "malformed-packet"
    UNSUPPORTED_PACKET = "unsupported-packet"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CLASS = "unknown-class"
    WRONG_SERVICE = "wrong-service"
    MALFORMED_MESSAGE = "malformed-message"
    OVERSIZE_DATAGRAM = "oversize-datagram"
    WRONG_PROTOCOL_VERSION = "wrong-protocol-version"
    BAD_AUTHENTICATION = "bad-authentication"
    REPLAYED_MESSAGE = "replayed-message"
    STALE_TARGET = "stale-target"
    NO_CAPACITY = "no-capacity"
    NO_MEMBERS = "no-members"
    UNKNOWN_FLOW = "unknown-flow"
    UNRESOLVED_CLAIM = "unresolved-claim"
    DATA_CENTRE_OUT = "data-centre-out"
    LEASE_LAPSED = "lease-lapsed"
    TABLE_FULL = "table-full"
    DUPLICATE_OPENING = "duplicate-opening"
    INVALID_SETTINGS = "invalid-settings"
    CONFIGURATION_CONFLICT = "configuration-conflict"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_CONFLICT = "store-conflict"
    RETRY_BUDGET_SPENT = "retry-budget-spent"


class ErrorResponse(StrEnum):
    """Who is told about an error, and what."""

    REFUSE = "refuse"
    """The caller gets a refusal in its protocol, which means that nothing has run."""
    SILENCE = "silence"
    """The caller gets no reply, because it is not certain that nothing has run."""
    REPORT = "report"
    """The operator gets a report; no caller is affected."""


@frozen
class ErrorKindInfo:
    """The response, exit code and summary of one error kind."""

    response: ErrorResponse
    exit_code: int
    summary: str


KINDS: dict[ErrorKind, ErrorKindInfo] = {
    ErrorKind.MALFORMED_PACKET: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The packet cannot be parsed."
    ),
    ErrorKind.UNSUPPORTED_PACKET: ErrorKindInfo(
        ErrorResponse.SILENCE,
        1,
        "The packet is an IP fragment or its transport protocol is not supported.",
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "No service has this address."
    ),
    ErrorKind.UNKNOWN_CLASS: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The service has no class on this port."
    ),
    ErrorKind.WRONG_SERVICE: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The message names another service."
    ),
    ErrorKind.MALFORMED_MESSAGE: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The message cannot be decoded."
    ),
    ErrorKind.OVERSIZE_DATAGRAM: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The datagram exceeds the size limit."
    ),
    ErrorKind.WRONG_PROTOCOL_VERSION: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The peer uses another version of the protocol."
    ),
    ErrorKind.BAD_AUTHENTICATION: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The authentication tag of the message is invalid."
    ),
    ErrorKind.REPLAYED_MESSAGE: ErrorKindInfo(
        ErrorResponse.SILENCE,
        1,
        "The message was received before, or its incarnation or sequence number is too old.",
    ),
    ErrorKind.STALE_TARGET: ErrorKindInfo(
        ErrorResponse.SILENCE,
        1,
        "The message has an unknown sender or is meant for an earlier incarnation.",
    ),
    ErrorKind.NO_CAPACITY: ErrorKindInfo(
        ErrorResponse.REFUSE, 1, "No backend server has room for the flow."
    ),
    ErrorKind.NO_MEMBERS: ErrorKindInfo(
        ErrorResponse.REFUSE, 1, "The service has no backend server."
    ),
    ErrorKind.UNKNOWN_FLOW: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "No backend server holds the flow."
    ),
    ErrorKind.UNRESOLVED_CLAIM: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "It is unknown whether the flow was delivered."
    ),
    ErrorKind.DATA_CENTRE_OUT: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The data centre is out of service."
    ),
    ErrorKind.LEASE_LAPSED: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "No peer was heard from before the lease expired."
    ),
    ErrorKind.TABLE_FULL: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "A table of limited size is full."
    ),
    ErrorKind.DUPLICATE_OPENING: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The opening packet is a duplicate."
    ),
    ErrorKind.INVALID_SETTINGS: ErrorKindInfo(ErrorResponse.REPORT, 2, "The settings have faults."),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorKindInfo(
        ErrorResponse.REPORT, 3, "Another operator changed the configuration first."
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorKindInfo(
        ErrorResponse.REPORT, 4, "A call to the store failed."
    ),
    ErrorKind.STORE_CONFLICT: ErrorKindInfo(
        ErrorResponse.REPORT, 5, "The object in the store changed after it was read."
    ),
    ErrorKind.RETRY_BUDGET_SPENT: ErrorKindInfo(
        ErrorResponse.REPORT, 6, "The retry budget is exhausted."
    ),
}


class FescueseamError(Exception):
    """Base class of all errors; each has one error kind."""

    kind: ErrorKind = ErrorKind.MALFORMED_MESSAGE

    def __init__(self, detail: str, kind: ErrorKind | None = None) -> None:
        """Store the detail and, if given, a kind more specific than that of the class."""
        super().__init__(detail)
        if kind is not None:
            self.kind = kind


class PacketError(FescueseamError):
    """A caller's packet cannot be used."""

    kind = ErrorKind.MALFORMED_PACKET


class MessageError(FescueseamError):
    """A message between processes cannot be used."""

    kind = ErrorKind.MALFORMED_MESSAGE


class SettingsError(FescueseamError):
    """The settings have faults."""

    kind = ErrorKind.INVALID_SETTINGS

    def __init__(self, detail: str, faults: "tuple[Fault, ...]" = ()) -> None:
        """Store the detail and all faults."""
        super().__init__(detail)
        self.faults = faults


class StoreError(FescueseamError):
    """A call to the store, the platform's object API, failed."""

    kind = ErrorKind.STORE_UNAVAILABLE


class StoreEraChangedError(StoreError):
    """The store came back from an older copy, so earlier revisions have lost their meaning."""


class StoreConflictError(StoreError):
    """A conditional update found another version of the object than expected."""

    kind = ErrorKind.STORE_CONFLICT


class ConfigurationConflictError(FescueseamError):
    """Another operator changed the configuration first."""

    kind = ErrorKind.CONFIGURATION_CONFLICT
