"""Define the store's object that holds the accepted configuration."""

from attrs import evolve, frozen

from fescueseam.conf.documents import JsonObject, JsonValue
from fescueseam.conf.loading import decode_configuration, encode_configuration
from fescueseam.conf.models import Configuration, DataCentreState, EndpointRule
from fescueseam.conf.structuring import suggest_name
from fescueseam.exceptions import SettingsError

CONFIGURATION_KEY = "config"
"""Name the one object that holds the accepted configuration."""

MAX_EARLIER_WRITERS = 16
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


def build_next_version(
    accepted: AcceptedConfiguration | None, cfg: Configuration, writer: str
) -> AcceptedConfiguration:
    """Return the next version, holding a changed configuration."""
    if accepted is None:
        return AcceptedConfiguration(writer, evolve(cfg, version=1))
    writers = (accepted.writer, *accepted.earlier_writers)[:MAX_EARLIER_WRITERS]
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


def preserve_operational_state(
    current: Configuration, cfg: Configuration, paths_in_files: frozenset[str]
) -> Configuration:
    """Return a configuration from files with the states set by command that no file states."""
    states = {data_centre.name: data_centre.state for data_centre in current.data_centres}
    data_centres = tuple(
        (
            data_centre
            if f"data_centres[{data_centre.name}].state" in paths_in_files
            else evolve(data_centre, state=states.get(data_centre.name, data_centre.state))
        )
        for data_centre in cfg.data_centres
    )
    known = {rule.name for rule in cfg.endpoints}
    kept = tuple(rule for rule in current.endpoints if rule.name not in known)
    return evolve(cfg, data_centres=data_centres, endpoints=cfg.endpoints + kept)


def set_data_centre_state(cfg: Configuration, name: str, state: DataCentreState) -> Configuration:
    """Return a configuration with a data centre in or out of service."""
    names = [data_centre.name for data_centre in cfg.data_centres]
    if name not in names:
        raise SettingsError(f"there is no data centre {name!r} ({suggest_name(name, names)})")
    data_centres = tuple(
        evolve(data_centre, state=state) if data_centre.name == name else data_centre
        for data_centre in cfg.data_centres
    )
    return evolve(cfg, data_centres=data_centres)


def set_drain(cfg: Configuration, name: str, drain: bool) -> Configuration:
    """Return a configuration that drains a backend server or no longer does."""
    others = tuple(rule for rule in cfg.endpoints if rule.name != name)
    added = (EndpointRule(name, drain=True),) if drain else ()
    return evolve(cfg, endpoints=others + added)
