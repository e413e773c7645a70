"""Define the closed list of error kinds and the exception tree built on it."""

from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from fescueseam.checks.faults import Fault


class ErrorKind(StrEnum):
    """List every kind of error that the system can meet."""

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
    """List what a caller may be told about a packet that is not delivered."""

    REFUSE = "refuse"
    """Refuse in the caller's protocol; states that nothing has run."""
    SILENCE = "silence"
    """Say nothing, because nothing certain can be said."""
    REPORT = "report"
    """Report to the operator; no caller is concerned."""


@frozen
class ErrorKindInfo:
    """Describe what follows from one error kind."""

    response: ErrorResponse
    exit_code: int
    summary: str


KINDS: dict[ErrorKind, ErrorKindInfo] = {
    ErrorKind.MALFORMED_PACKET: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The packet cannot be parsed."
    ),
    ErrorKind.UNSUPPORTED_PACKET: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The transport is not supported."
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
        ErrorResponse.SILENCE, 1, "The datagram exceeds the limit."
    ),
    ErrorKind.WRONG_PROTOCOL_VERSION: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The peer speaks another version of the protocol."
    ),
    ErrorKind.BAD_AUTHENTICATION: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The message tag does not verify."
    ),
    ErrorKind.REPLAYED_MESSAGE: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The message was seen before."
    ),
    ErrorKind.STALE_TARGET: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The message was meant for an earlier incarnation."
    ),
    ErrorKind.NO_CAPACITY: ErrorKindInfo(
        ErrorResponse.REFUSE, 1, "No backend server can bear the flow."
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
        ErrorResponse.SILENCE, 1, "No peer was heard within the lease."
    ),
    ErrorKind.TABLE_FULL: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "A bounded table has no room left."
    ),
    ErrorKind.DUPLICATE_OPENING: ErrorKindInfo(
        ErrorResponse.SILENCE, 1, "The opening packet was handled before."
    ),
    ErrorKind.INVALID_SETTINGS: ErrorKindInfo(ErrorResponse.REPORT, 2, "The settings have faults."),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorKindInfo(
        ErrorResponse.REPORT, 3, "Another operator changed the configuration first."
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorKindInfo(
        ErrorResponse.REPORT, 4, "The object API does not answer."
    ),
    ErrorKind.STORE_CONFLICT: ErrorKindInfo(
        ErrorResponse.REPORT, 5, "The object changed since it was read."
    ),
    ErrorKind.RETRY_BUDGET_SPENT: ErrorKindInfo(
        ErrorResponse.REPORT, 6, "The retry budget is spent."
    ),
}


class FescueseamError(Exception):
    """Base every error of the project on one kind."""

    kind: ErrorKind = ErrorKind.MALFORMED_MESSAGE

    def __init__(self, detail: str, kind: ErrorKind | None = None) -> None:
        """Keep the detail and, where given, a kind narrower than the class's own."""
        super().__init__(detail)
        if kind is not None:
            self.kind = kind


class PacketError(FescueseamError):
    """Report a caller's packet that cannot be used."""

    kind = ErrorKind.MALFORMED_PACKET


class MessageError(FescueseamError):
    """Report a message between processes that cannot be used."""

    kind = ErrorKind.MALFORMED_MESSAGE


class SettingsError(FescueseamError):
    """Report settings that have faults."""

    kind = ErrorKind.INVALID_SETTINGS

    def __init__(self, detail: str, faults: "tuple[Fault, ...]" = ()) -> None:
        """Keep every fault beside the detail."""
        super().__init__(detail)
        self.faults = faults


class StoreError(FescueseamError):
    """Report a failed call of the platform's object API."""

    kind = ErrorKind.STORE_UNAVAILABLE


class StoreConflictError(StoreError):
    """Report a conditional update that met another version."""

    kind = ErrorKind.STORE_CONFLICT


class ConfigurationConflictError(FescueseamError):
    """Report a configuration change that lost a race between operators."""

    kind = ErrorKind.CONFIGURATION_CONFLICT
