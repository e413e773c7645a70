"""Start, signal handling and shutdown of a process."""

import random
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from attrs import evolve
from attrs import fields as attrs_fields

from fescueseam.exceptions import SettingsError
from fescueseam.handshake.member import Identity, Role
from fescueseam.handshake.notice_guard import RANDOM_INCARNATION_BITS, build_incarnation
from fescueseam.handshake.segments import parse_address
from fescueseam_daemon.handshake.events import EventLog, configure_log
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.platform_interface import Platform
from fescueseam_daemon.handshake.settings import HandshakeSettings, load_settings

if TYPE_CHECKING:
    from fescueseam_daemon.handshake.agent import AgentProcess
    from fescueseam_daemon.handshake.balancer import BalancerProcess

RELOADABLE_SETTINGS = ("seeds", "log_lines_per_s", "remote_penalty_s", "keys")
"""Settings that SIGHUP changes in a running process."""
BUNDLE_PROBLEMS_LIMIT = 4
"""Largest number of faults of the module bundle that the log names."""
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def run_process(
    path: Path,
    platform: Platform,
    started_ms: int | None = None,
    bundle_problems: Sequence[str] = (),
) -> None:
    """Run until a termination signal arrives; raise SettingsError if the settings have faults.

    `started_ms` is the wall clock at the start of the process, in milliseconds. `bundle_problems`
    grows during imports; it says which modules were imported without the bundle, and why.
    """
    settings = load_settings(path)
    handler = configure_log(settings.instance)
    events = EventLog(settings.log_lines_per_s, handler)
    trio.run(_run, path, settings, platform, events, started_ms, bundle_problems)


async def _run(
    path: Path,
    settings: HandshakeSettings,
    platform: Platform,
    events: EventLog,
    started_ms: int | None,
    bundle_problems: Sequence[str],
) -> None:
    rng = random.Random()
    own = Identity(
        settings.instance,
        settings.role,
        parse_address(settings.advertised),
        settings.data_centre,
        settings.service,
        build_incarnation(round(time.time() * 1000), rng.getrandbits(RANDOM_INCARNATION_BITS)),
    )
    node = Node(settings, platform, events, rng, own, started_ms)
    process = _build_process(node)
    fields = {"role": settings.role.value, "incarnation": own.incarnation}
    node.log_event("started", {**fields, "address": settings.address, "service": settings.service})
    if bundle_problems:
        causes = list(bundle_problems[:BUNDLE_PROBLEMS_LIMIT])
        node.log_event("bundle-unusable", {"count": len(bundle_problems), "causes": causes})
    with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        # The entry point may have blocked these signals during the start.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.run)
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    reload_settings(path, node)
                node.log_event("stopping", fields)
                await process.shut_down()
                nursery.cancel_scope.cancel()
        finally:
            await node.close()
            node.log_event("stopped", {**fields, "messages": node.describe_messages()})


def _build_process(node: Node) -> "AgentProcess | BalancerProcess":
    # Only the decisions of the own role are imported, to keep the start short.
    if node.settings.role is Role.AGENT:
        from fescueseam_daemon.handshake.agent import AgentProcess

        return AgentProcess(node)
    from fescueseam_daemon.handshake.balancer import BalancerProcess

    return BalancerProcess(node)


def reload_settings(path: Path, node: Node) -> None:
    """Reload the settings that may change at run time; keep the old ones if the file has faults.

    The others, such as addresses and ports, stay as they are until the next start, because sockets
    are bound to them and other processes use them.
    """
    try:
        settings = load_settings(path)
    except SettingsError as exc:
        node.log_event("settings-kept", {"cause": str(exc)})
        return
    changes = {name: getattr(settings, name) for name in RELOADABLE_SETTINGS}
    node.settings = evolve(node.settings, **changes)
    node.events.max_lines_per_s = settings.log_lines_per_s
    node.notice_codec.set_keys(settings.keys)
    fields = {
        "seeds": [str(seed) for seed in settings.seeds],
        "kept_until_start": [
            item.name
            for item in attrs_fields(HandshakeSettings)
            if getattr(settings, item.name) != getattr(node.settings, item.name)
        ],
    }
    node.log_event("settings-reloaded", fields)
