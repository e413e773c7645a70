"""The configuration, tables and suspected peers as one process knows them."""

import ipaddress

from attrs import define, field

from fescueseam.conf.models import (
    Configuration,
    DataCentreState,
    EndpointRule,
    Service,
    ServiceClass,
)
from fescueseam.routing.table import Member, Row, Table, compute_row


@define
class View:
    """The newest configuration and tables known to one process; older ones are ignored."""

    cfg: Configuration = field(factory=Configuration)
    suspects: frozenset[str] = frozenset()
    has_lease: bool = True
    """Whether the process has heard from peers within the lease."""
    revision: int = 0
    """Number of changes of this view."""
    _tables: dict[str, Table] = field(factory=dict)
    _rows: dict[str, dict[int, Row]] = field(factory=dict)
    _services: dict[bytes, Service] = field(factory=dict)
    _service_classes: dict[str, dict[int, ServiceClass]] = field(factory=dict)
    _data_centres_out: frozenset[str] = frozenset()
    _endpoint_rules: dict[str, EndpointRule] = field(factory=dict)

    def set_configuration(self, cfg: Configuration) -> bool:
        """Replace the configuration if the given one is newer; return whether it was."""
        if cfg.version <= self.cfg.version:
            return False
        self.cfg = cfg
        self.revision += 1
        self._services = {
            ipaddress.ip_address(service.address).packed: service for service in cfg.services
        }
        self._service_classes = {
            service.name: {item.port: item for item in service.classes} for service in cfg.services
        }
        self._data_centres_out = frozenset(
            item.name for item in cfg.data_centres if item.state is DataCentreState.OUT
        )
        self._endpoint_rules = {rule.name: rule for rule in cfg.endpoints}
        return True

    def set_table(self, table: Table) -> bool:
        """Replace the table of a service if the given one is newer; return whether it was."""
        current = self._tables.get(table.service)
        if current is not None and table.epoch <= current.epoch:
            return False
        self._tables[table.service] = table
        self._rows[table.service] = {}
        self.revision += 1
        return True

    def set_suspects(self, suspects: frozenset[str]) -> None:
        """Replace the names of the members that are suspected."""
        if suspects != self.suspects:
            self.suspects = suspects
            self.revision += 1

    def find_table(self, service: str) -> Table | None:
        """Return the newest table of a service, or None."""
        return self._tables.get(service)

    def list_tables(self) -> tuple[Table, ...]:
        """Return the newest table of each service."""
        return tuple(self._tables.values())

    def find_service(self, address: bytes) -> Service | None:
        """Return the service at a packed address, or None."""
        return self._services.get(address)

    def find_service_class(self, service: str, port: int) -> ServiceClass | None:
        """Return the class of a service on a port, or None."""
        return self._service_classes.get(service, {}).get(port)

    def is_data_centre_out(self, data_centre: str) -> bool:
        """Return whether operators have taken a data centre out of service."""
        return data_centre in self._data_centres_out

    def is_draining(self, name: str) -> bool:
        """Return whether operators drain a backend server."""
        rule = self._endpoint_rules.get(name)
        return rule is not None and rule.drain

    def is_usable(self, member: Member) -> bool:
        """Return whether packets may be sent to a member."""
        return member.data_centre not in self._data_centres_out and member.name not in self.suspects

    def find_row(self, service: str, bucket: int) -> Row:
        """Return the row of a bucket; it is empty for an unknown service."""
        table = self._tables.get(service)
        if table is None:
            return Row((), ())
        rows = self._rows[service]
        row = rows.get(bucket)
        if row is None:
            row = rows[bucket] = compute_row(table, bucket)
        return row

    def find_recorder(self, service: str, bucket: int) -> Member | None:
        """Return the first usable member of a row, candidates before owners, or None."""
        row = self.find_row(service, bucket)
        for member in row.members:
            if self.is_usable(member):
                return member
        return None
