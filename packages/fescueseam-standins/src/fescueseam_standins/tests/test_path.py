import socket

import dpkt
import httpx
import pytest
import trio

from fescueseam.conf.models import Transport
from fescueseam.exceptions import PacketError
from fescueseam.packets.ip import build_udp, decapsulate, encapsulate, parse_packet
from fescueseam.packets.refusals import build_refusal
from fescueseam_standins import backend as backend_module
from fescueseam_standins import fabric as fabric_module
from fescueseam_standins.backend import BackendServer
from fescueseam_standins.backend_state import BackendSettings, BackendState
from fescueseam_standins.caller import (
    Outcome,
    open_stream,
    send_request,
    send_udp_request,
)
from fescueseam_standins.caller_socket import CallerSettings, CallerSocket
from fescueseam_standins.datagrams import DatagramSocket
from fescueseam_standins.fabric import Fabric, FabricSettings
from fescueseam_standins.http3_client import FlowRefusedError, Target
from fescueseam_standins.running import serve_http

FABRIC_ADDRESS = "127.0.0.12"
RELAY_ADDRESS = "127.0.0.13"
BACKEND_ADDRESS = "127.0.0.14"
CALLER_ADDRESS = "127.0.0.15"
REQUEST_TARGET = Target(("10.1.0.1", 443), "bitacora")
STREAM_TARGET = Target(("10.1.0.1", 444), "bitacora")
UDP_TARGET = Target(("10.1.0.1", 445), "bitacora")
SCENARIO_TIMEOUT_S = 30


class Relay:
    """Packet relay between the fabric and one backend server, without balancing."""

    def __init__(self, fabric: Fabric, ports: dict[int, int]) -> None:
        self.fabric = fabric
        self.ports = ports
        self.refused_transport: Transport | None = None
        self.dropping = False
        self.sock = DatagramSocket(RELAY_ADDRESS, 0)
        self.flows: dict = {}

    async def run(self, nursery: trio.Nursery) -> None:
        """Forward callers' packets."""
        while True:
            datagram, _ = await self.sock.receive()
            packet = parse_packet(decapsulate(datagram))
            if self.refused_transport is not None:
                self.send_to_fabric(build_refusal(packet, self.refused_transport))
                continue
            if self.dropping:
                continue
            if packet.flow not in self.flows:
                self.flows[packet.flow] = DatagramSocket(RELAY_ADDRESS, 0)
                nursery.start_soon(self.forward_replies, packet.flow)
            port = self.ports[packet.flow.destination_port]
            self.flows[packet.flow].send(packet.payload, (BACKEND_ADDRESS, port))

    async def forward_replies(self, flow) -> None:
        """Forward the replies of one flow."""
        while True:
            payload, _ = await self.flows[flow].receive()
            self.send_to_fabric(
                build_udp(
                    flow.destination, flow.destination_port, flow.source, flow.source_port, payload
                )
            )

    def send_to_fabric(self, raw: bytes) -> None:
        """Send a packet to the fabric."""
        if raw:
            self.sock.send(encapsulate(raw), self.fabric.return_sock.endpoint)


class PathSetup:
    """Parts of the path from one caller to one backend server."""

    fabric: Fabric
    relay: Relay
    backend: BackendServer
    caller: CallerSocket
    nursery: trio.Nursery


def run_scenario(scenario, slots: int = 8, cold_slots: int = 8, **fabric_options) -> None:
    async def run() -> None:
        setup = PathSetup()
        cfg = BackendSettings("bitacora", "b1", slots=slots, cold_slots=cold_slots, fall_over_s=0.5)
        async with trio.open_nursery() as nursery:
            setup.nursery = nursery
            setup.fabric = Fabric(FabricSettings(FABRIC_ADDRESS, 0, 0, **fabric_options), [])
            await setup.fabric.start(nursery)
            setup.backend = BackendServer(BackendState(cfg, 1, trio.current_time()))
            await setup.backend.start(nursery, BACKEND_ADDRESS, [0], [0], [0])
            ports = [sock.endpoint[1] for sock in setup.backend.list_sockets()]
            setup.relay = Relay(setup.fabric, dict(zip((443, 444, 445), ports, strict=True)))
            setup.fabric.balancers = [setup.relay.sock.endpoint]
            nursery.start_soon(setup.relay.run, nursery)
            setup.caller = CallerSocket(
                CallerSettings(setup.fabric.caller_sock.endpoint, CALLER_ADDRESS, first_port=20_000)
            )
            await setup.caller.start(nursery)
            with trio.fail_after(SCENARIO_TIMEOUT_S):
                await scenario(setup)
            nursery.cancel_scope.cancel()
        setup.backend.close()
        setup.fabric.close()
        setup.caller.close()

    trio.run(run)


def test_requests_are_answered_despite_duplicates_and_reordering() -> None:
    async def scenario(setup: PathSetup) -> None:
        results = []

        async def send(number: int) -> None:
            results.append(await send_request(setup.caller, REQUEST_TARGET, f"/echo?n={number}"))

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(send, number)
        assert [result.outcome for result in results] == [Outcome.ANSWERED] * 8
        assert {result.body for result in results} == {f"bitacora b1 n={n}" for n in range(8)}
        assert setup.fabric.counts.duplicated > 0
        assert setup.fabric.counts.reordered > 0
        assert setup.backend.state.completed == 8
        assert setup.backend.state.busy == 0

    run_scenario(scenario, duplicate_rate=0.2, reorder_rate=0.2)


def test_run_is_recorded_while_a_stream_keeps_its_connection() -> None:
    async def scenario(setup: PathSetup) -> None:
        async with open_stream(
            setup.caller, STREAM_TARGET, "/stream?interval_s=0.02&count=20"
        ) as stream:
            assert (stream.service, stream.backend) == ("bitacora", "b1")
            assert setup.backend.state.open_connections == 1
            result = await send_request(setup.caller, REQUEST_TARGET, "/record?id=r1", "POST")
            assert result.body == "bitacora b1 r1 1"
            chunks = b"".join([chunk async for chunk in stream.reader.read_chunks()])
        assert chunks.split() == [str(number).encode() for number in range(20)]
        assert setup.backend.state.runs == {"r1": 1}
        while setup.backend.state.open_connections:
            await trio.sleep(0.02)

    run_scenario(scenario)


def test_udp_request_is_answered() -> None:
    async def scenario(setup: PathSetup) -> None:
        result = await send_udp_request(setup.caller, UDP_TARGET, "u1")
        assert (result.outcome, result.body) == (Outcome.ANSWERED, "bitacora b1 u1 1")

    run_scenario(scenario)


def test_repeated_datagram_is_answered_without_a_second_run() -> None:
    async def scenario(setup: PathSetup) -> None:
        sock = DatagramSocket(CALLER_ADDRESS, 0)
        endpoint = setup.backend.list_sockets()[2].endpoint
        for _ in range(3):
            sock.send(b"u1", endpoint)
        assert (await sock.receive())[0] == b"bitacora b1 u1 1"
        sock.send(b"u1", endpoint)
        assert (await sock.receive())[0] == b"bitacora b1 u1 1"
        assert setup.backend.state.runs == {"u1": 1}
        assert setup.backend.state.counts.overloads == 0
        assert (setup.backend.state.busy, setup.backend.state.completed) == (0, 1)
        sock.close()

    run_scenario(scenario, slots=2, cold_slots=1)


def test_lost_udp_request_is_retried() -> None:
    async def scenario(setup: PathSetup) -> None:
        setup.relay.dropping = True

        async def stop_dropping() -> None:
            await trio.sleep(0.1)
            setup.relay.dropping = False

        setup.nursery.start_soon(stop_dropping)
        result = await send_udp_request(setup.caller, UDP_TARGET, "u1", retry_interval_s=0.2)
        assert result.outcome is Outcome.ANSWERED
        load = setup.backend.state.describe_load(trio.current_time())
        assert (load["busy"], load["completed"]) == (0, 1)

    run_scenario(scenario)


@pytest.mark.parametrize("transport", [Transport.QUIC, Transport.UDP])
def test_refusals_reach_the_caller(transport: Transport) -> None:
    async def scenario(setup: PathSetup) -> None:
        setup.relay.refused_transport = transport
        result = await send_request(setup.caller, REQUEST_TARGET, "/echo")
        assert result.outcome is Outcome.REFUSED
        if transport is Transport.UDP:
            result = await send_udp_request(setup.caller, UDP_TARGET, "u1")
            assert result.outcome is Outcome.REFUSED
        else:
            with pytest.raises(FlowRefusedError):
                async with open_stream(setup.caller, STREAM_TARGET, "/stream"):
                    pass
        assert not setup.backend.state.counts.opened

    run_scenario(scenario)


def test_timeout_is_reported_as_broken() -> None:
    async def scenario(setup: PathSetup) -> None:
        setup.relay.dropping = True
        result = await send_request(setup.caller, REQUEST_TARGET, "/echo", timeout_s=0.3)
        assert result.outcome is Outcome.BROKEN
        result = await send_udp_request(setup.caller, UDP_TARGET, "u1", timeout_s=0.1)
        assert result.outcome is Outcome.BROKEN

    run_scenario(scenario)


def test_restart_stops_a_stream() -> None:
    async def scenario(setup: PathSetup) -> None:
        async with open_stream(
            setup.caller, STREAM_TARGET, "/stream?interval_s=0.05&count=9"
        ) as stream:
            setup.backend.restart()
            assert setup.backend.state.open_connections == 0
            with trio.move_on_after(1) as scope:
                async for _ in stream.reader.read_chunks():
                    pass
            assert scope.cancelled_caught

    run_scenario(scenario)


def test_overload_in_a_cold_start_makes_the_server_unresponsive() -> None:
    async def scenario(setup: PathSetup) -> None:
        results = []

        async def send() -> None:
            results.append(await send_request(setup.caller, REQUEST_TARGET, "/echo", timeout_s=0.3))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send)
        assert setup.backend.state.counts.overloads > 0
        assert Outcome.BROKEN in {result.outcome for result in results}

    run_scenario(scenario, slots=8, cold_slots=1)


def test_warm_server_sheds_requests_above_its_slots() -> None:
    async def scenario(setup: PathSetup) -> None:
        results = []

        async def send() -> None:
            results.append(await send_request(setup.caller, REQUEST_TARGET, "/echo"))

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(send)
        assert setup.backend.state.counts.shed > 0
        assert {result.outcome for result in results} <= {Outcome.ANSWERED, Outcome.REFUSED}

    run_scenario(scenario, slots=1, cold_slots=1)


def test_control_endpoints_of_backend_server_and_fabric() -> None:
    async def scenario(setup: PathSetup) -> None:
        app = backend_module.build_app(setup.backend)
        url = await setup.nursery.start(serve_http, app, BACKEND_ADDRESS, 0)
        control_url = await setup.nursery.start(
            serve_http, fabric_module.build_app(setup.fabric), FABRIC_ADDRESS, 0
        )
        async with httpx.AsyncClient(trust_env=False) as client:
            load = (await client.get(f"{url}/load")).json()
            assert (load["incarnation"], load["busy"], load["draining"]) == (1, 0, False)
            assert (await client.post(f"{url}/drain")).json()["draining"] is True
            restarted = (await client.post(f"{url}/restart")).json()
            assert restarted["incarnation"] > 1
            assert restarted["uptime_s"] < 1
            assert (await client.get(f"{url}/runs")).json()["counts"]["restarts"] == 1
            body = {"balancers": ["127.0.0.9:6080"]}
            shown = (await client.post(f"{control_url}/balancers", json=body)).json()
            assert shown["balancers"] == ["127.0.0.9:6080"]
            rejected = await client.post(f"{control_url}/balancers", json={"balancers": ["x"]})
            assert rejected.status_code == 400

    run_scenario(scenario)


def test_load_report_applies_lag_and_busy_factor() -> None:
    cfg = BackendSettings("bitacora", "b1", slots=9, load_lag_s=2.0, load_busy_factor=0.5)
    state = BackendState(cfg, 1, 0.0)
    state.cfg = cfg
    for now in (1.0, 1.5, 2.0, 2.5):
        state.open_request(now)
    assert state.describe_load(2.9)["busy"] == 0
    assert state.describe_load(4.1)["busy"] == 2
    assert state.describe_load(9.0)["busy"] == 2


def test_fabric_survives_malformed_datagrams() -> None:
    async def scenario(setup: PathSetup) -> None:
        sock = DatagramSocket(CALLER_ADDRESS, 0)
        for malformed in (b"", b"\x45", b"\x60" * 60, b"\x00" * 9):
            sock.send(malformed, setup.fabric.caller_sock.endpoint)
            sock.send(malformed, setup.fabric.return_sock.endpoint)
        result = await send_request(setup.caller, REQUEST_TARGET, "/echo")
        assert result.outcome is Outcome.ANSWERED
        assert setup.fabric.counts.malformed >= 6
        sock.close()

    run_scenario(scenario)


def test_destination_of_a_packet_without_ports() -> None:
    source = socket.inet_aton("10.9.0.1")
    raw = build_udp(source, 7, socket.inet_aton("10.1.0.1"), 8, b"x")
    refusal = build_refusal(parse_packet(raw), Transport.UDP)
    assert fabric_module.parse_destination(refusal) == (source, 0)
    with pytest.raises(PacketError):
        fabric_module.parse_destination(b"\x45\x00")
    assert dpkt.ip.IP(refusal).p == 1
