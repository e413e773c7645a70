"""Interface between the processes and the platform that they run on."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from fescueseam.handshake.backend import Heartbeat
from fescueseam.handshake.member import Identity
from fescueseam.handshake.outages import Outage
from fescueseam.handshake.rules import Rules
from fescueseam.handshake.segments import PacketFormat

WATCH_MARGIN_S = 0.8
"""Time that the reply to a watch may take beyond the time for which the store holds it, in
seconds. Later the connection counts as silent."""


@frozen
class Deregistration:
    """Request of a backend server to be removed because it shuts down."""

    name: str


@frozen
class RulesSnapshot:
    """Result of a read or a watch: the newest configuration, if any, and the store's revision."""

    rules: Rules | None
    revision: int


@frozen
class OutageChanges:
    """Changes to the set of data centres that are taken out, up to a revision."""

    revision: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def apply_to(self, outage: Outage) -> Outage:
        """Return an outage after these changes."""
        remaining = (outage.data_centres | set(self.added)) - set(self.removed)
        return Outage(max(outage.revision, self.revision), frozenset(remaining), outage.era)


class ControlStore(Protocol):
    """Client of the store; its methods raise StoreError on failure."""

    on_unreadable: Callable[[str, int], None]
    """Called with a kind of entries and the number of those that cannot be used, if it changed."""
    on_era: Callable[[int], None]
    """Called with the store era of the first answer, and of each answer of a later era."""

    def observe_era(self, era: int) -> None:
        """Reject answers of an era before this one, which another process has seen."""

    async def read_rules(self) -> RulesSnapshot:
        """Return the configuration."""

    async def watch_rules(self, revision: int, wait_s: float) -> RulesSnapshot:
        """Wait up to `wait_s` seconds for a configuration newer than a revision.

        Raise StoreError if there is no reply within WATCH_MARGIN_S after that time, and
        StoreEraChangedError if the revision is of an earlier era than the store's.
        """

    async def read_outage(self) -> Outage:
        """Return the data centres that are taken out."""

    async def watch_outage(self, revision: int, wait_s: float) -> OutageChanges:
        """Wait up to `wait_s` seconds for changes to the data centres taken out.

        It raises the same errors as `watch_rules`.
        """

    async def list_members(self, allow_stale: bool) -> list[Identity]:
        """Return the registered members; a stale list is cheap and may be seconds old."""

    async def register(self, identity: Identity) -> bool:
        """Write a member's entry; return whether the stored entry changed."""

    async def withdraw(self, name: str) -> None:
        """Remove the entry of a member that has left for good."""

    async def close(self) -> None:
        """Close all connections."""


class Platform(Protocol):
    """Formats and calls of one platform."""

    @property
    def packets(self) -> PacketFormat:
        """Return the packet format."""

    def open_store(self, address: str, port: int) -> ControlStore:
        """Return a client of the store without connecting."""

    def decode_backend_request(
        self, method: str, path: str, body: bytes
    ) -> Heartbeat | Deregistration:
        """Decode a backend server's request; raise MessageError if it is not valid."""
