"""Load settings from a base file and overlays, and collect all faults."""

from collections.abc import Mapping, Sequence
from typing import TypeVar

from attrs import evolve, frozen

import fescueseam.checks.configuration
import fescueseam.checks.process  # noqa: F401  (registers its checks)
from fescueseam.checks.faults import Fault, FaultId, has_errors
from fescueseam.checks.registry import run_checks
from fescueseam.conf.documents import (
    NAME_KEY,
    Document,
    JsonObject,
    JsonValue,
    SettingsFile,
    is_named_list,
    join_key,
    load_document,
    parse_file,
)
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    EndpointRule,
    ProcessSettings,
    SiteAdmission,
)
from fescueseam.conf.structuring import make_converter, structure_document, suggest_name
from fescueseam.exceptions import SettingsError

__all__ = [
    "LoadedConfiguration",
    "SettingsFile",
    "decode_configuration",
    "encode_configuration",
    "find_admission_rules",
    "inspect_configuration",
    "load_configuration",
    "load_process_settings",
    "make_settings_error",
]

Settings = TypeVar("Settings")

COMPUTED_KEYS = ("version", "sites")
"""Keys of a configuration that are computed and may not be set in files."""

SITE_OVERLAY_KEYS = ("services", "endpoints")
"""Keys that the overlay of a site may set."""

SITE_OVERLAY_SERVICE_KEYS = (NAME_KEY, "admission")
"""Keys that the overlay of a site may set for a service."""

_CONVERTER = make_converter(strict=False)


@frozen
class LoadedConfiguration:
    """A configuration, the merged document of each site, and all faults."""

    configuration: Configuration | None
    base: Document
    sites: Mapping[str, Document]
    faults: tuple[Fault, ...]

    def get_or_raise(self) -> Configuration:
        """Return the configuration; raise SettingsError with all faults if any is an error."""
        if self.configuration is None or has_errors(self.faults):
            raise make_settings_error(self.faults)
        return self.configuration


def make_settings_error(faults: tuple[Fault, ...]) -> SettingsError:
    """Return one error that lists all faults."""
    lines = [str(fault) for fault in faults]
    return SettingsError("\n".join(lines), faults)


def load_configuration(
    base: SettingsFile | str | bytes, sites: Mapping[str, SettingsFile] | None = None
) -> Configuration:
    """Load and check a base file with the overlay of each site; raise all faults in one error."""
    return inspect_configuration(base, sites).get_or_raise()


def inspect_configuration(
    base: SettingsFile | str | bytes, sites: Mapping[str, SettingsFile] | None = None
) -> LoadedConfiguration:
    """Load and check a base file with the overlay of each site; return all faults."""
    base_file = _as_file(base, "base.json")
    document = load_document([base_file])
    base_cfg, faults = _structure_and_check(document, Configuration)
    faults += _check_base_keys(document, base_file)
    cfg = base_cfg
    documents: dict[str, Document] = {}
    for data_centre, file in sorted((sites or {}).items()):
        faults += _check_site_overlay_keys(file)
        documents[data_centre] = load_document([base_file, file])
        site_cfg, site_faults = _structure_and_check(documents[data_centre], Configuration)
        faults += tuple(fault for fault in site_faults if fault not in faults)
        if base_cfg is None or cfg is None or site_cfg is None:
            continue
        faults += _check_site_name(cfg, data_centre, file)
        cfg, conflicts = _merge_site(base_cfg, cfg, site_cfg, data_centre, file.name)
        faults += conflicts
    return LoadedConfiguration(cfg, document, documents, faults)


def load_process_settings(
    base: SettingsFile | str | bytes, overlays: Sequence[SettingsFile | str | bytes] = ()
) -> ProcessSettings:
    """Load and check the settings of one process; raise all faults in one error."""
    names = ["settings.json", *(f"overlay-{index}.json" for index in range(1, len(overlays) + 1))]
    files = [_as_file(text, name) for text, name in zip([base, *overlays], names, strict=True)]
    settings, faults = _structure_and_check(load_document(files), ProcessSettings)
    if settings is None or has_errors(faults):
        raise make_settings_error(faults)
    return settings


def encode_configuration(cfg: Configuration) -> JsonObject:
    """Return a configuration as a JSON object."""
    encoded: JsonObject = _CONVERTER.unstructure(cfg)
    return encoded


def decode_configuration(value: JsonValue) -> Configuration:
    """Return the configuration in a JSON object; ignore keys added by later releases."""
    try:
        return _CONVERTER.structure(value, Configuration)
    except Exception as exc:
        raise SettingsError(f"the configuration cannot be decoded: {exc!r}") from exc


def find_admission_rules(cfg: Configuration, service: str, data_centre: str) -> AdmissionRules:
    """Return the admission rules of a service in a data centre."""
    for site in cfg.sites:
        if site.service == service and site.data_centre == data_centre:
            return site.admission
    for candidate in cfg.services:
        if candidate.name == service:
            return candidate.admission
    raise SettingsError(f"there is no service {service!r}")


def _as_file(source: SettingsFile | str | bytes, name: str) -> SettingsFile:
    return source if isinstance(source, SettingsFile) else SettingsFile(name, source)


def _structure_and_check(
    document: Document, settings_type: type[Settings]
) -> tuple[Settings | None, tuple[Fault, ...]]:
    settings = structure_document(document, settings_type)
    faults = list(document.faults)
    faulty_paths = {fault.path for fault in faults if fault.path}
    for fault in run_checks(settings):
        # A faulty value was replaced by a placeholder, whose own faults mean nothing.
        if fault.path not in faulty_paths:
            faults.append(evolve(fault, file=document.find_source_file(fault.path)))
    return settings, tuple(faults)


def _check_base_keys(document: Document, file: SettingsFile) -> tuple[Fault, ...]:
    return tuple(
        Fault(FaultId.UNKNOWN_KEY, key, f"{key!r} cannot be set in files", "remove it", file.name)
        for key in COMPUTED_KEYS
        if key in document.value
    )


def _check_site_overlay_keys(file: SettingsFile) -> tuple[Fault, ...]:
    overlay = parse_file(file, [])
    paths = [key for key in overlay if key not in SITE_OVERLAY_KEYS]
    services = overlay.get("services")
    if isinstance(services, list) and is_named_list(services):
        for service in services:
            assert isinstance(service, dict)
            path = f"services[{service[NAME_KEY]}]"
            paths += [
                join_key(path, key) for key in service if key not in SITE_OVERLAY_SERVICE_KEYS
            ]
    hint = "set it in the base file; a site may change only admission and endpoints"
    message = "the setting must be the same at every site"
    return tuple(Fault(FaultId.NOT_SITE_SPECIFIC, path, message, hint, file.name) for path in paths)


def _check_site_name(cfg: Configuration, data_centre: str, file: SettingsFile) -> tuple[Fault, ...]:
    names = [dc.name for dc in cfg.data_centres]
    if data_centre in names:
        return ()
    message = f"the overlay is named for an unknown data centre {data_centre!r}"
    hint = suggest_name(data_centre, names)
    return (Fault(FaultId.UNKNOWN_DATA_CENTRE, "", message, hint, file.name),)


def _merge_site(
    base: Configuration, cfg: Configuration, site: Configuration, data_centre: str, file: str
) -> tuple[Configuration, tuple[Fault, ...]]:
    base_rules = {service.name: service.admission for service in cfg.services}
    site_admission = tuple(
        SiteAdmission(data_centre, service.name, service.admission)
        for service in site.services
        if base_rules.get(service.name, service.admission) != service.admission
    )
    endpoints, faults = _merge_endpoint_rules(base, cfg.endpoints, site.endpoints, file)
    return evolve(cfg, sites=cfg.sites + site_admission, endpoints=endpoints), faults


def _merge_endpoint_rules(
    base: Configuration,
    merged_rules: tuple[EndpointRule, ...],
    site: tuple[EndpointRule, ...],
    file: str,
) -> tuple[tuple[EndpointRule, ...], tuple[Fault, ...]]:
    rules = {rule.name: rule for rule in merged_rules}
    faults = []
    for rule in site:
        if rule in base.endpoints:
            continue
        current_rule = rules.get(rule.name, rule)
        if current_rule != rule and current_rule not in base.endpoints:
            message = f"another site sets a different rule for {rule.name!r}"
            path = f"endpoints[{rule.name}]"
            faults.append(Fault(FaultId.SITE_CONFLICT, path, message, "keep one of them", file))
            continue
        rules[rule.name] = rule
    return tuple(rules.values()), tuple(faults)
