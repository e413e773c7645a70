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


class Answer(StrEnum):
    """List what a caller may be told about a packet that is not delivered."""

    REFUSE = "refuse"
    """Refuse in the caller's protocol; states that nothing has run."""
    SILENCE = "silence"
    """Say nothing, because nothing certain can be said."""
    REPORT = "report"
    """Report to the operator; no caller is concerned."""


@frozen
class KindRow:
    """Describe what follows from one error kind."""

    answer: Answer
    exit_code: int
    summary: str


KINDS: dict[ErrorKind, KindRow] = {
    ErrorKind.MALFORMED_PACKET: KindRow(Answer.SILENCE, 1, "The packet cannot be parsed."),
    ErrorKind.UNSUPPORTED_PACKET: KindRow(Answer.SILENCE, 1, "The transport is not supported."),
    ErrorKind.UNKNOWN_SERVICE: KindRow(Answer.SILENCE, 1, "No service has this address."),
    ErrorKind.UNKNOWN_CLASS: KindRow(Answer.SILENCE, 1, "The service has no class on this port."),
    ErrorKind.WRONG_SERVICE: KindRow(Answer.SILENCE, 1, "The message names another service."),
    ErrorKind.MALFORMED_MESSAGE: KindRow(Answer.SILENCE, 1, "The message cannot be decoded."),
    ErrorKind.OVERSIZE_DATAGRAM: KindRow(Answer.SILENCE, 1, "The datagram exceeds the limit."),
    ErrorKind.WRONG_PROTOCOL_VERSION: KindRow(
        Answer.SILENCE, 1, "The peer speaks another version of the protocol."
    ),
    ErrorKind.BAD_AUTHENTICATION: KindRow(Answer.SILENCE, 1, "The message tag does not verify."),
    ErrorKind.REPLAYED_MESSAGE: KindRow(Answer.SILENCE, 1, "The message was seen before."),
    ErrorKind.STALE_TARGET: KindRow(
        Answer.SILENCE, 1, "The message was meant for an earlier incarnation."
    ),
    ErrorKind.NO_CAPACITY: KindRow(Answer.REFUSE, 1, "No backend server can bear the flow."),
    ErrorKind.NO_MEMBERS: KindRow(Answer.REFUSE, 1, "The service has no backend server."),
    ErrorKind.UNKNOWN_FLOW: KindRow(Answer.SILENCE, 1, "No backend server holds the flow."),
    ErrorKind.UNRESOLVED_CLAIM: KindRow(
        Answer.SILENCE, 1, "It is unknown whether the flow was delivered."
    ),
    ErrorKind.DATA_CENTRE_OUT: KindRow(Answer.SILENCE, 1, "The data centre is out of service."),
    ErrorKind.LEASE_LAPSED: KindRow(Answer.SILENCE, 1, "No peer was heard within the lease."),
    ErrorKind.TABLE_FULL: KindRow(Answer.SILENCE, 1, "A bounded table has no room left."),
    ErrorKind.DUPLICATE_OPENING: KindRow(
        Answer.SILENCE, 1, "The opening packet was handled before."
    ),
    ErrorKind.INVALID_SETTINGS: KindRow(Answer.REPORT, 2, "The settings have faults."),
    ErrorKind.CONFIGURATION_CONFLICT: KindRow(
        Answer.REPORT, 3, "Another operator changed the configuration first."
    ),
    ErrorKind.STORE_UNAVAILABLE: KindRow(Answer.REPORT, 4, "The object API does not answer."),
    ErrorKind.STORE_CONFLICT: KindRow(Answer.REPORT, 5, "The object changed since it was read."),
    ErrorKind.RETRY_BUDGET_SPENT: KindRow(Answer.REPORT, 6, "The retry budget is spent."),
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
