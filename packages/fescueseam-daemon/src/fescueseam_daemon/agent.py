"""The agent: the process beside a backend server."""

import logging
import time
from collections.abc import Callable

import trio
from attrs import define, field

from fescueseam.admission.gate import LoadReport
from fescueseam.agent.agent import Agent
from fescueseam.conf.loading import find_admission_rules
from fescueseam.conf.models import AdmissionRules, BackendSettings, ProcessSettings
from fescueseam.exceptions import SettingsError
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.codec import build_keyring
from fescueseam.messages.types import Message
from fescueseam.routing.table import MemberState
from fescueseam.routing.view import View
from fescueseam_daemon.backend import BackendProbe
from fescueseam_daemon.channel import Channel
from fescueseam_daemon.control.loops import AgentControl
from fescueseam_daemon.delivery import Delivery
from fescueseam_daemon.effects import Executor
from fescueseam_daemon.failure_barrier import FailureBarrier
from fescueseam_daemon.http import StatusServer
from fescueseam_daemon.metrics import Metrics

TICK_INTERVAL_S = 0.02
LEAVE_TIMEOUT_S = 3.0
"""Longest wait for the table to list this agent as leaving, in seconds."""

log = logging.getLogger(__name__)


@define
class AgentDaemon:
    """The agent process, which connects the agent's decisions with its sockets."""

    settings: ProcessSettings
    incarnation: int = field(factory=time.time_ns)
    metrics: Metrics = field(factory=Metrics)
    view: View = field(factory=View)
    core: Agent = field(init=False)
    channel: Channel = field(init=False)
    delivery: Delivery = field(init=False)
    probe: BackendProbe = field(init=False)
    executor: Executor = field(init=False)
    control: AgentControl = field(init=False)
    http: StatusServer = field(init=False)
    _last_report: LoadReport | None = None
    _barrier: FailureBarrier = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._barrier = FailureBarrier(self.metrics.record_failure)
        settings = self.settings
        backend = require_backend(settings)
        self.core = Agent(
            settings.name,
            self.incarnation,
            settings.service,
            settings.data_centre,
            time.monotonic(),
            AdmissionRules(),
            self.view,
        )
        self.channel = Channel(
            settings.address, settings.control_port, build_keyring(settings.keys), self.metrics
        )
        self.delivery = Delivery(
            settings.address,
            backend,
            settings.fabric_address,
            settings.fabric_port,
            self._handle_answer,
            self._barrier,
        )
        self.probe = BackendProbe(
            backend.load_url, self._handle_report, self._handle_backend_lost, self._barrier
        )
        self.executor = Executor(
            settings.service,
            self.channel,
            self.metrics,
            self.delivery.send_to_caller,
            self.delivery.deliver,
            self.delivery.close_flow,
            self.probe.request_report,
        )
        self.control = AgentControl(settings, self.incarnation, self.view, self.channel)
        self.http = StatusServer(
            settings.address,
            settings.metrics_port,
            self.metrics.registry,
            self.describe_status,
            self.is_ready,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Open all sockets and start the loops."""
        self.channel.start()
        self.delivery.start(nursery)
        self.probe.start(nursery)
        self.http.start()
        await self.control.start(nursery)
        nursery.start_soon(self._barrier.keep_running, "messages", self._receive)
        nursery.start_soon(self._barrier.keep_running, "ticks", self._tick)
        log.info("agent started")

    async def drain(self) -> None:
        """Reject new flows and wait for the open ones to end, up to the drain timeout."""
        self.core.stopping = True
        self._refresh_state()
        log.info("agent is draining", extra={"open_flows": len(self.core.home.flows)})
        with trio.move_on_after(self.settings.drain_timeout_s):
            with trio.move_on_after(LEAVE_TIMEOUT_S):
                await self._wait_while(self._is_active_member)
            await self._wait_while(self._has_flows_or_searches)

    async def _wait_while(self, condition: Callable[[], bool]) -> None:
        while condition():
            await trio.sleep(TICK_INTERVAL_S)

    def _is_active_member(self) -> bool:
        table = self.view.find_table(self.settings.service)
        members = table.members if table is not None else ()
        return any(
            member.name == self.settings.name and member.state is MemberState.ACTIVE
            for member in members
        )

    def _has_flows_or_searches(self) -> bool:
        return bool(len(self.core.home.flows) or self.core.recorder.searches)

    async def close(self) -> None:
        """Stop the loops and close all sockets."""
        await self.control.close()
        await self.probe.close()
        self.http.close()
        self.delivery.close()
        self.channel.close()
        log.info("agent stopped")

    def is_ready(self) -> bool:
        """Return whether configuration and table are known and claims can be granted."""
        has_table = self.view.find_table(self.settings.service) is not None
        can_grant_claims = self.core.claims.is_ready(time.monotonic())
        return self.view.cfg.version > 0 and has_table and can_grant_claims

    def describe_status(self) -> dict[str, object]:
        """Return the content of the status page."""
        gate = self.core.home.gate
        return self.control.describe_status() | {
            "service": self.settings.service,
            "open_flows": len(self.core.home.flows),
            "busy": gate.busy,
            "slot_bound": gate.slot_bound,
            "connections": gate.connections,
            "draining": gate.draining,
            "recorded_flows": len(self.core.recorder.homes),
        }

    async def _receive(self) -> None:
        while True:
            for message in await self.channel.receive():
                # After a pause of this process, queued messages are read before the next tick, so
                # the lease is checked here too.
                self.view.has_lease = self.control.hears_peers(time.monotonic())
                self._barrier.run("message", self._handle_message, message)

    def _handle_message(self, message: Message) -> None:
        if not self.control.handle_message(message):
            self.executor.run(self.core.handle_message(message, time.monotonic()))

    async def _tick(self) -> None:
        while True:
            self._barrier.run("state", self._refresh_state)
            self._barrier.run("tick", self._run_core_tick)
            await trio.sleep(TICK_INTERVAL_S)

    def _run_core_tick(self) -> None:
        self.executor.run(self.core.tick(time.monotonic()))

    def _refresh_state(self) -> None:
        now = time.monotonic()
        self.view.has_lease = self.control.hears_peers(now)
        try:
            rules = find_admission_rules(
                self.view.cfg, self.settings.service, self.settings.data_centre
            )
            self.core.home.gate.change_rules(rules, now)
        except SettingsError:
            # The configuration does not contain the service, so no packet can be for it.
            pass
        is_backend_draining = self._last_report is not None and self._last_report.draining
        self.core.update_draining(is_backend_draining)
        load = self.core.home.gate.describe_load(now)
        gate = self.core.home.gate
        self.control.update_own_state(load, gate.draining, len(self.core.home.flows))
        self.metrics.open_flows.set(len(self.core.home.flows))
        self.metrics.slot_bound.set(gate.slot_bound)
        self.metrics.config_version.set(self.view.cfg.version)

    def _handle_answer(self, flow: FlowKey) -> None:
        self.core.handle_backend_packet(flow, time.monotonic())

    def _handle_report(self, report: LoadReport) -> None:
        self._last_report = report
        self.executor.run(self.core.handle_report(report, time.monotonic()))

    def _handle_backend_lost(self) -> None:
        self.executor.run(self.core.handle_backend_lost(time.monotonic()))


def require_backend(settings: ProcessSettings) -> BackendSettings:
    """Return the settings of the backend server; raise SettingsError if they are missing."""
    if settings.backend is None or not settings.service:
        raise SettingsError("the settings of an agent need a service and a backend server")
    return settings.backend
