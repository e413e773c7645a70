"""Hold what commands need from the outside, so that tests can replace it."""

import getpass
import random
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import httpx
import trio
from attrs import field, frozen

from fescueseam.upkeep.store import Store

from .changes import ConfigurationUpdater


def make_writer_id() -> str:
    """Return an id for one write that begins with the operator's name."""
    try:
        operator = getpass.getuser()
    except (KeyError, OSError):
        operator = "operator"
    return f"{operator}-{uuid.uuid4()}"


@frozen
class Environment:
    """Give commands their transport, randomness, time and ids."""

    transport: httpx.AsyncBaseTransport | None = None
    rng: random.Random = field(factory=random.Random)
    sleep: Callable[[float], Awaitable[None]] = trio.sleep
    make_writer_id: Callable[[], str] = make_writer_id

    @asynccontextmanager
    async def open_client(
        self, timeout_s: float, url: str = ""
    ) -> AsyncIterator[httpx.AsyncClient]:
        """Open an HTTP client; proxies of the surroundings are not used."""
        async with httpx.AsyncClient(
            base_url=url, timeout=timeout_s, transport=self.transport, trust_env=False
        ) as client:
            yield client

    def make_updater(self, store: Store) -> ConfigurationUpdater:
        """Make the writer of configuration changes."""
        return ConfigurationUpdater(store, self.rng, self.sleep, self.make_writer_id)
