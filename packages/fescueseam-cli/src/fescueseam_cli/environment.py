"""External dependencies of the commands, which tests replace."""

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
    """Return a unique id for one write, prefixed with the operator's user name."""
    try:
        operator = getpass.getuser()
    except (KeyError, OSError):
        operator = "operator"
    return f"{operator}-{uuid.uuid4()}"


@frozen
class Environment:
    """The HTTP transport, random numbers, clock and writer ids that commands use."""

    transport: httpx.AsyncBaseTransport | None = None
    rng: random.Random = field(factory=random.Random)
    sleep: Callable[[float], Awaitable[None]] = trio.sleep
    make_writer_id: Callable[[], str] = make_writer_id

    @asynccontextmanager
    async def open_client(
        self, timeout_s: float, url: str = ""
    ) -> AsyncIterator[httpx.AsyncClient]:
        """Open an HTTP client that ignores the proxy settings of the environment."""
        async with httpx.AsyncClient(
            base_url=url, timeout=timeout_s, transport=self.transport, trust_env=False
        ) as client:
            yield client

    def make_updater(self, store: Store) -> ConfigurationUpdater:
        """Return an updater for the configuration in a store."""
        return ConfigurationUpdater(store, self.rng, self.sleep, self.make_writer_id)
