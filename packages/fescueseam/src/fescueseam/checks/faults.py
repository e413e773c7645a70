"""Define the faults that checks report."""

from enum import StrEnum

from attrs import frozen


class FaultLevel(StrEnum):
    """Severity of a fault; settings with an error are rejected."""

    WARNING = "warning"
    ERROR = "error"


class FaultId(StrEnum):
    """Identifiers of the faults that loading and checking settings can report."""

    BAD_JSON = "fescueseam.E001"
    UNKNOWN_KEY = "fescueseam.E002"
    MISSING_KEY = "fescueseam.E003"
    WRONG_TYPE = "fescueseam.E004"
    UNKNOWN_CHOICE = "fescueseam.E005"
    DUPLICATE_NAME = "fescueseam.E006"
    NOTHING_TO_REMOVE = "fescueseam.E007"
    NOT_SITE_SPECIFIC = "fescueseam.E008"
    SITE_CONFLICT = "fescueseam.E009"
    BAD_NAME = "fescueseam.E010"
    BAD_ADDRESS = "fescueseam.E011"
    BAD_PORT = "fescueseam.E012"
    DUPLICATE_ADDRESS = "fescueseam.E013"
    DUPLICATE_PORT = "fescueseam.E014"
    UNKNOWN_DATA_CENTRE = "fescueseam.E015"
    UNKNOWN_SERVICE = "fescueseam.E016"
    OUT_OF_RANGE = "fescueseam.E017"
    COLD_LIMIT_TOO_HIGH = "fescueseam.E018"
    WAIT_NOT_BELOW_DEADLINE = "fescueseam.E019"
    NO_CLASSES = "fescueseam.E020"
    BAD_URL = "fescueseam.E021"
    BAD_KEY = "fescueseam.E022"
    MISSING_FOR_ROLE = "fescueseam.E023"
    BAD_SEED = "fescueseam.E024"
    ALL_DATA_CENTRES_OUT = "fescueseam.W001"
    SHORT_IDLE_TIMEOUT = "fescueseam.W002"
    NOT_REPEATABLE_STREAM = "fescueseam.W003"
    NOT_REPEATABLE_UDP = "fescueseam.W004"
    UNUSED_FOR_ROLE = "fescueseam.W005"

    @property
    def level(self) -> FaultLevel:
        """Return the level, which the letter in the id stands for."""
        return FaultLevel.WARNING if ".W" in self.value else FaultLevel.ERROR


SUMMARIES: dict[FaultId, str] = {
    FaultId.BAD_JSON: "The file is not valid JSON.",
    FaultId.UNKNOWN_KEY: "No setting has this key.",
    FaultId.MISSING_KEY: "A required setting is missing.",
    FaultId.WRONG_TYPE: "The value has the wrong type.",
    FaultId.UNKNOWN_CHOICE: "The value is not one of the choices.",
    FaultId.DUPLICATE_NAME: "A name is used twice in one list.",
    FaultId.NOTHING_TO_REMOVE: "An overlay removes an item that its base does not have.",
    FaultId.NOT_SITE_SPECIFIC: "The setting must be the same at every site.",
    FaultId.SITE_CONFLICT: "Two sites set different rules for one backend server.",
    FaultId.BAD_NAME: "A name does not consist of 1 to 63 characters of a-z, 0-9 and inner '-'.",
    FaultId.BAD_ADDRESS: "The value is not the IP address of one instance.",
    FaultId.BAD_PORT: "The value is not a port number.",
    FaultId.DUPLICATE_ADDRESS: "Two services have the same address.",
    FaultId.DUPLICATE_PORT: "A port is used twice.",
    FaultId.UNKNOWN_DATA_CENTRE: "No data centre has this name, or it is in another region.",
    FaultId.UNKNOWN_SERVICE: "No service has this name.",
    FaultId.OUT_OF_RANGE: "The value is outside its range.",
    FaultId.COLD_LIMIT_TOO_HIGH: "The limit in a cold start exceeds the full limit.",
    FaultId.WAIT_NOT_BELOW_DEADLINE: "The wait is not shorter than the opening deadline.",
    FaultId.NO_CLASSES: "The service has no class, so it accepts no flow.",
    FaultId.BAD_URL: "The value is not an HTTP URL.",
    FaultId.BAD_KEY: "No key is set, a secret is too short or a key id is used twice.",
    FaultId.MISSING_FOR_ROLE: "The role needs a setting that is missing.",
    FaultId.BAD_SEED: "A seed is not 'address:port' or is the process itself.",
    FaultId.ALL_DATA_CENTRES_OUT: "Every data centre is out of service.",
    FaultId.SHORT_IDLE_TIMEOUT: "The idle timeout is shorter than the opening deadline.",
    FaultId.NOT_REPEATABLE_STREAM: "A class of streams is marked as not repeatable.",
    FaultId.NOT_REPEATABLE_UDP: (
        "A class over plain UDP, which does not mark openings, is marked as not repeatable."
    ),
    FaultId.UNUSED_FOR_ROLE: "The role does not use the setting.",
}


@frozen
class Fault:
    """One fault in the settings, with its place."""

    id: FaultId
    path: str
    """Path of the value, such as services[bitacora].classes[alerts].port."""
    message: str
    hint: str = ""
    file: str = ""

    @property
    def level(self) -> FaultLevel:
        """Return the level of the fault."""
        return self.id.level

    def __str__(self) -> str:
        place = ": ".join(part for part in (self.file, self.path) if part)
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.id} {place}: {self.message}{hint}"


def has_errors(faults: tuple[Fault, ...]) -> bool:
    """Return whether any fault is an error."""
    return any(fault.level is FaultLevel.ERROR for fault in faults)
