"""The balancer: the stateless packet path of an entry instance."""

import logging
import socket
import time

import trio
from attrs import define, field

from fescueseam.conf.models import ProcessSettings
from fescueseam.messages.codec import build_keyring
from fescueseam.messages.types import NextHop
from fescueseam.packets.ip import encapsulate
from fescueseam.routing.balancer import Balancer
from fescueseam.routing.view import View
from fescueseam_daemon.channel import Channel
from fescueseam_daemon.control.loops import BalancerControl
from fescueseam_daemon.effects import Executor
from fescueseam_daemon.failure_barrier import FailureBarrier
from fescueseam_daemon.http import StatusServer
from fescueseam_daemon.metrics import Metrics
from fescueseam_daemon.sockets import open_udp, receive_batch, send_datagram

METRICS_INTERVAL_S = 0.1

log = logging.getLogger(__name__)


@define
class BalancerDaemon:
    """The balancer process, which connects the balancer's decisions with its sockets."""

    settings: ProcessSettings
    incarnation: int = field(factory=time.time_ns)
    metrics: Metrics = field(factory=Metrics)
    view: View = field(factory=View)
    core: Balancer = field(init=False)
    channel: Channel = field(init=False)
    executor: Executor = field(init=False)
    control: BalancerControl = field(init=False)
    http: StatusServer = field(init=False)
    _packet_sock: socket.socket | None = None
    _barrier: FailureBarrier = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._barrier = FailureBarrier(self.metrics.record_failure)
        settings = self.settings
        self.core = Balancer(settings.name, self.incarnation, self.view)
        self.channel = Channel(
            settings.address, settings.control_port, build_keyring(settings.keys), self.metrics
        )
        self.executor = Executor("", self.channel, self.metrics, self._send_to_caller)
        self.control = BalancerControl(settings, self.incarnation, self.view, self.channel)
        self.http = StatusServer(
            settings.address,
            settings.metrics_port,
            self.metrics.registry,
            self.control.describe_status,
            self.is_ready,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Open all sockets and start the loops."""
        self._packet_sock = open_udp(self.settings.address, self.settings.packet_port)
        self.channel.start()
        self.http.start()
        await self.control.start(nursery)
        for place, loop in (
            ("packets", self._receive_packets),
            ("messages", self._receive_messages),
            ("metrics", self._update_metrics),
        ):
            nursery.start_soon(self._barrier.keep_running, place, loop)
        log.info("balancer started")

    async def drain(self) -> None:
        """Continue to serve until the fabric has had time to remove this instance."""
        log.info("balancer is draining")
        await trio.sleep(min(1.0, self.settings.drain_timeout_s))

    async def close(self) -> None:
        """Stop the loops and close all sockets."""
        await self.control.close()
        self.http.close()
        self.channel.close()
        if self._packet_sock is not None:
            self._packet_sock.close()
            self._packet_sock = None
        log.info("balancer stopped")

    def is_ready(self) -> bool:
        """Return whether the configuration is known and confirmed as current."""
        return self.view.cfg.version > 0 and self.control.is_current()

    async def _receive_packets(self) -> None:
        assert self._packet_sock is not None, "the packet socket of the balancer is not open"
        while True:
            for datagram in await receive_batch(self._packet_sock):
                self._barrier.run("packet", self._forward, datagram)

    def _forward(self, datagram: bytes) -> None:
        next_hop = self.core.find_next_hop(datagram)
        if isinstance(next_hop, NextHop):
            self.channel.send_packet(next_hop, datagram)
        else:
            self.executor.run([next_hop])

    async def _receive_messages(self) -> None:
        while True:
            for message in await self.channel.receive():
                self._barrier.run("message", self.control.handle_message, message)

    async def _update_metrics(self) -> None:
        while True:
            self.metrics.config_version.set(self.view.cfg.version)
            await trio.sleep(METRICS_INTERVAL_S)

    def _send_to_caller(self, raw: bytes) -> None:
        if raw and self._packet_sock is not None:
            settings = self.settings
            send_datagram(
                self._packet_sock, encapsulate(raw), settings.fabric_address, settings.fabric_port
            )
