"""Define the store's object that holds the accepted configuration."""

from attrs import evolve, frozen

from fescueseam.conf.documents import JsonObject, JsonValue
from fescueseam.conf.loading import decode_configuration, encode_configuration
from fescueseam.conf.models import Configuration
from fescueseam.exceptions import SettingsError

CONFIGURATION_KEY = "config"
"""Name the one object that holds the accepted configuration."""

EARLIER_WRITERS = 16
"""Keep this many earlier writers, to resolve a reply lost before later changes."""


@frozen
class AcceptedConfiguration:
    """Hold an accepted configuration with the write that made it."""

    writer: str
    """Identify the write that made this version, to resolve a lost reply."""
    configuration: Configuration
    earlier_writers: tuple[str, ...] = ()
    """List the writers of earlier versions, the latest first."""

    @property
    def version(self) -> int:
        """Return the version, which grows by one with each accepted change."""
        return self.configuration.version


def make_successor(
    accepted: AcceptedConfiguration | None, cfg: Configuration, writer: str
) -> AcceptedConfiguration:
    """Return the next version, holding a changed configuration."""
    if accepted is None:
        return AcceptedConfiguration(writer, evolve(cfg, version=1))
    writers = (accepted.writer, *accepted.earlier_writers)[:EARLIER_WRITERS]
    return AcceptedConfiguration(writer, evolve(cfg, version=accepted.version + 1), writers)


def encode_accepted(accepted: AcceptedConfiguration) -> JsonObject:
    """Return the value of the store's object."""
    return {
        "version": accepted.version,
        "writer": accepted.writer,
        "earlier_writers": list(accepted.earlier_writers),
        "configuration": encode_configuration(accepted.configuration),
    }


def decode_accepted(value: JsonValue) -> AcceptedConfiguration:
    """Return the accepted configuration held in the store's object."""
    if not isinstance(value, dict):
        raise SettingsError("the accepted configuration is not a JSON object")
    version = value.get("version")
    writer = value.get("writer")
    earlier = value.get("earlier_writers", [])
    if not isinstance(version, int) or not isinstance(writer, str) or not isinstance(earlier, list):
        raise SettingsError("the accepted configuration has no version or writer")
    cfg = evolve(decode_configuration(value.get("configuration")), version=version)
    return AcceptedConfiguration(writer, cfg, tuple(str(item) for item in earlier))
