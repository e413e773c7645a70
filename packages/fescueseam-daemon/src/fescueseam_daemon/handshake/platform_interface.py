"""Define what a surrounding platform provides to the daemons."""

from typing import Protocol

from attrs import frozen

from fescueseam.handshake.backend import Heartbeat
from fescueseam.handshake.members import Identity
from fescueseam.handshake.rules import Outage, Rules
from fescueseam.handshake.segments import PacketFormat


@frozen
class Deregistration:
    """Name a backend server that ends on purpose."""

    name: str


@frozen
class RulesSnapshot:
    """Hold the newest configuration that a read or a watch returned, and its revision."""

    rules: Rules | None
    revision: int


@frozen
class OutageChanges:
    """Hold the changes to the data centres taken out since a revision."""

    revision: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class ControlStore(Protocol):
    """Read, watch and write what must last; failures raise StoreError."""

    async def read_rules(self) -> RulesSnapshot:
        """Return the configuration."""

    async def watch_rules(self, revision: int, wait_s: float) -> RulesSnapshot:
        """Wait for a newer configuration, for a bounded time."""

    async def read_outage(self) -> Outage:
        """Return the data centres that are taken out."""

    async def watch_outage(self, revision: int, wait_s: float) -> OutageChanges:
        """Wait for changes to the data centres taken out, for a bounded time."""

    async def list_members(self, allow_stale: bool) -> list[Identity]:
        """Return the members that registered; a stale list is cheap and may be seconds old."""

    async def register(self, identity: Identity) -> bool:
        """Write the own entry; return whether the store has changed."""

    async def withdraw(self, name: str) -> None:
        """Remove the entry of a member that is gone for good."""

    async def close(self) -> None:
        """Close every connection."""


class Platform(Protocol):
    """Provide the formats and calls of one platform."""

    @property
    def packets(self) -> PacketFormat:
        """Return the format of callers' packets."""

    def open_store(self, address: str, port: int) -> ControlStore:
        """Return a client of the store; nothing is sent yet."""

    def decode_backend_request(
        self, method: str, path: str, body: bytes
    ) -> Heartbeat | Deregistration:
        """Return what a backend server says; raise MessageError on anything else."""
