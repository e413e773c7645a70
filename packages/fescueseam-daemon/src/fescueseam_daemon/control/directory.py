"""Maintain the store's list of the processes of one data centre, without input or output.

A new process reads the list to find its first peers. Nothing else depends on it.
"""

from typing import Any

import cattrs
from attrs import evolve
from cattrs.errors import BaseValidationError

from fescueseam.conf.models import Role
from fescueseam.exceptions import ErrorKind, StoreError
from fescueseam.membership.facts import ProcessFacts, Status
from fescueseam.membership.peers import build_peer
from fescueseam.membership.reports import MEMBERS_PREFIX
from fescueseam.messages.types import Peer
from fescueseam.retries.backoff import compute_backoff
from fescueseam.upkeep.store import StoredObject
from fescueseam_daemon.control.balancer_node import BalancerNode

WRITE_INTERVAL_S = 2.0
"""Shortest interval between two writes, in seconds; it batches changes."""
STARTUP_DELAY_S = 1.0
"""Time after the first check before the list is read, in seconds."""
_converter = cattrs.Converter()


class Directory:
    """The list of the processes of one data centre, with the decision when to write it."""

    def __init__(self, node: BalancerNode) -> None:
        """Initialise a directory whose object has not been read."""
        self.key = MEMBERS_PREFIX + node.settings.data_centre
        self._node = node
        self._stored: dict[str, ProcessFacts] | None = None
        self._next_read_at = float("-inf")
        self._failures = 0
        self._started_at: float | None = None

    def is_due(self, now: float) -> bool:
        """Return whether this balancer should read the object, to write it if it differs."""
        if self._started_at is None:
            self._started_at = now
        if now < self._next_read_at or now - self._started_at < STARTUP_DELAY_S:
            return False
        if not self._node.is_directory_writer():
            self._stored = None
            return False
        return self._stored is None or self._merge_members(self._stored) != self._stored

    def on_read(self, stored: StoredObject | None, now: float) -> None:
        """Process the result of a read and add the listed balancers to the known peers."""
        self._failures = 0
        self._next_read_at = now + WRITE_INTERVAL_S
        facts = _read_facts(stored) if stored is not None else ()
        self._stored = {item.name: item for item in facts}
        for item in facts:
            if item.role is Role.BALANCER:
                self._node.peers.learn(build_peer(item))

    def build_value(self, now: float) -> Any:
        """Return the value to write, or None if the stored one is up to date."""
        assert self._stored is not None, "the directory has not been read from the store"
        merged = self._merge_members(self._stored)
        if merged == self._stored:
            return None
        return [_converter.unstructure(merged[name]) for name in sorted(merged)]

    def on_written(self, now: float) -> None:
        """Process a successful write."""
        if self._stored is not None:
            self._stored = self._merge_members(self._stored)

    def check_again(self) -> None:
        """Read the object again, as the store may have lost a write."""
        self._stored = None

    def on_failed(self, now: float) -> None:
        """Process a failed call; the delay before the next read grows with each failure."""
        self._failures += 1
        self._stored = None
        wait_s = compute_backoff(self._failures, self._node.rng)
        self._next_read_at = now + max(WRITE_INTERVAL_S, wait_s)

    def _merge_members(self, stored: dict[str, ProcessFacts]) -> dict[str, ProcessFacts]:
        own = self._node.build_own_facts()
        merged = dict(stored)
        merged[own.name] = own
        for name, report in self._node.merged_reports.items():
            facts = report.facts
            if facts.data_centre != own.data_centre or name == own.name:
                continue
            if report.status is Status.DEAD:
                merged.pop(name, None)
            elif report.status is Status.ALIVE:
                merged[name] = evolve(facts, draining=False, idle=False, healthy=True)
        return merged


def read_directory(stored: StoredObject) -> list[Peer]:
    """Return the balancers that the stored object lists."""
    return [build_peer(item) for item in _read_facts(stored) if item.role is Role.BALANCER]


def _read_facts(stored: StoredObject) -> tuple[ProcessFacts, ...]:
    try:
        return tuple(_converter.structure(item, ProcessFacts) for item in stored.value)
    except (BaseValidationError, TypeError, KeyError) as exc:
        raise StoreError(
            f"malformed list of processes in the store: {stored.key}", ErrorKind.MALFORMED_MESSAGE
        ) from exc
