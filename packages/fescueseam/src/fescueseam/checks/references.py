"""Check the settings of one process against the operators' configuration."""

from collections.abc import Iterator

from fescueseam.checks.faults import Fault, FaultId
from fescueseam.conf.models import Configuration, ProcessSettings, Role


def check_references(settings: ProcessSettings, cfg: Configuration) -> Iterator[Fault]:
    """Report a data centre, region or service that the configuration does not have."""
    regions = {data_centre.name: data_centre.region for data_centre in cfg.data_centres}
    region = regions.get(settings.data_centre)
    if region is None:
        message = f"there is no data centre {settings.data_centre!r}"
        hint = "one of " + ", ".join(sorted(regions))
        yield Fault(FaultId.UNKNOWN_DATA_CENTRE, "data_centre", message, hint)
    elif region != settings.region:
        message = f"{settings.data_centre!r} is not in region {settings.region!r}"
        yield Fault(FaultId.UNKNOWN_DATA_CENTRE, "region", message, f"use {region!r}")
    services = [service.name for service in cfg.services]
    if settings.role is Role.AGENT and settings.service not in services:
        message = f"there is no service {settings.service!r}"
        hint = "one of " + ", ".join(sorted(services))
        yield Fault(FaultId.UNKNOWN_SERVICE, "service", message, hint)
