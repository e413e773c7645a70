"""Define the object of the store that holds the accepted configuration."""

from attrs import evolve, frozen

from fescueseam.conf.documents import JsonObject, JsonValue
from fescueseam.conf.loading import decode_configuration, encode_configuration
from fescueseam.conf.models import Configuration, DataCentreState, EndpointRule
from fescueseam.conf.structuring import suggest_name
from fescueseam.exceptions import SettingsError

CONFIGURATION_KEY = "config"
"""Key of the one object that holds the accepted configuration."""

MAX_EARLIER_WRITERS = 16
"""Largest number of earlier writers that are kept.

If the reply to a write was lost, they show that it took effect, even after later changes.
"""


@frozen
class AcceptedConfiguration:
    """An accepted configuration, with the identifiers of the writes that led to it."""

    writer: str
    """Identifier of the write that made this version, needed if its reply is lost."""
    configuration: Configuration
    earlier_writers: tuple[str, ...] = ()
    """Writers of earlier versions, the latest first."""

    @property
    def version(self) -> int:
        """Return the version, which increases by one with each accepted change."""
        return self.configuration.version


def build_next_version(
    accepted: AcceptedConfiguration | None, cfg: Configuration, writer: str
) -> AcceptedConfiguration:
    """Return the next version, with a changed configuration."""
    if accepted is None:
        return AcceptedConfiguration(writer, evolve(cfg, version=1))
    writers = (accepted.writer, *accepted.earlier_writers)[:MAX_EARLIER_WRITERS]
    return AcceptedConfiguration(writer, evolve(cfg, version=accepted.version + 1), writers)


def encode_accepted(accepted: AcceptedConfiguration) -> JsonObject:
    """Return the JSON value of the store's object."""
    return {
        "version": accepted.version,
        "writer": accepted.writer,
        "earlier_writers": list(accepted.earlier_writers),
        "configuration": encode_configuration(accepted.configuration),
    }


def decode_accepted(value: JsonValue) -> AcceptedConfiguration:
    """Return the accepted configuration from the JSON value of the store's object."""
    if not isinstance(value, dict):
        raise SettingsError("the accepted configuration is not a JSON object")
    version = value.get("version")
    writer = value.get("writer")
    earlier_writers = value.get("earlier_writers", [])
    if (
        not isinstance(version, int)
        or not isinstance(writer, str)
        or not isinstance(earlier_writers, list)
    ):
        raise SettingsError(
            "the accepted configuration has no valid version, writer or earlier writers"
        )
    cfg = evolve(decode_configuration(value.get("configuration")), version=version)
    return AcceptedConfiguration(writer, cfg, tuple(str(item) for item in earlier_writers))


def preserve_operational_state(
    current: Configuration, cfg: Configuration, paths_in_files: frozenset[str]
) -> Configuration:
    """Return a configuration from files, completed with the state that commands have set.

    States of data centres and rules of endpoints that the files leave out are copied from the
    current configuration.
    """
    states = {data_centre.name: data_centre.state for data_centre in current.data_centres}
    data_centres = tuple(
        (
            data_centre
            if f"data_centres[{data_centre.name}].state" in paths_in_files
            else evolve(data_centre, state=states.get(data_centre.name, data_centre.state))
        )
        for data_centre in cfg.data_centres
    )
    names_in_files = {rule.name for rule in cfg.endpoints}
    other_rules = tuple(rule for rule in current.endpoints if rule.name not in names_in_files)
    return evolve(cfg, data_centres=data_centres, endpoints=cfg.endpoints + other_rules)


def set_data_centre_state(cfg: Configuration, name: str, state: DataCentreState) -> Configuration:
    """Return a configuration with a data centre put in or out of service."""
    names = [data_centre.name for data_centre in cfg.data_centres]
    if name not in names:
        raise SettingsError(f"there is no data centre {name!r} ({suggest_name(name, names)})")
    data_centres = tuple(
        evolve(data_centre, state=state) if data_centre.name == name else data_centre
        for data_centre in cfg.data_centres
    )
    return evolve(cfg, data_centres=data_centres)


def set_drain(cfg: Configuration, name: str, drain: bool) -> Configuration:
    """Return a configuration in which a backend server is drained or no longer drained."""
    other_rules = tuple(rule for rule in cfg.endpoints if rule.name != name)
    own_rule = (EndpointRule(name, drain=True),) if drain else ()
    return evolve(cfg, endpoints=other_rules + own_rule)
