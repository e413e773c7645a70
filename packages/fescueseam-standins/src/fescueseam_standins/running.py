"""Run a stand-in until it is stopped, and serve its HTTP endpoints."""

import logging
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

GRACEFUL_TIMEOUT_S = 0.2
KEEP_ALIVE_TIMEOUT_S = 60.0


def run_until_stopped(async_fn: Callable[[], Awaitable[None]]) -> None:
    """Run a stand-in until it returns or SIGTERM or SIGINT arrives."""
    logging.basicConfig(level=logging.WARNING)
    trio.run(_run_until_stopped, async_fn)


async def _run_until_stopped(async_fn: Callable[[], Awaitable[None]]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop_on_signal)
            await async_fn()
            nursery.cancel_scope.cancel()


async def serve_http(
    app: Any, address: str, port: int, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve an ASGI application over plain HTTP until cancelled; report its URL once it listens."""
    cfg = Config()
    cfg.bind = [f"{address}:{port}"]
    cfg.graceful_timeout = GRACEFUL_TIMEOUT_S
    cfg.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    cfg.accesslog = None
    cfg.loglevel = "WARNING"
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(serve, app, cfg)
        task_status.started(urls[0])
