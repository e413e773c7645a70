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
    request,
    request_by_udp,
)
from fescueseam_standins.caller_socket import CallerSettings, CallerSocket
from fescueseam_standins.datagrams import DatagramSocket
from fescueseam_standins.fabric import Fabric, FabricSettings
from fescueseam_standins.http3_client import FlowRefusedError, Target
from fescueseam_standins.running import serve_http

FABRIC = "127.0.0.12"
RELAY = "127.0.0.13"
BACKEND = "127.0.0.14"
CALLER = "127.0.0.15"
SERVICE = Target(("10.1.0.1", 443), "bitacora")
STREAMS = Target(("10.1.0.1", 444), "bitacora")
DATAGRAMS = Target(("10.1.0.1", 445), "bitacora")
LIMIT_S = 30


class Relay:
    """Stand between fabric and backend server without any balancing."""

    def __init__(self, fabric: Fabric, ports: dict[int, int]) -> None:
        self.fabric = fabric
        self.ports = ports
        self.refusing: Transport | None = None
        self.deaf = False
        self.sock = DatagramSocket(RELAY, 0)
        self.flows: dict = {}

    async def run(self, nursery: trio.Nursery) -> None:
        """Forward callers' packets."""
        while True:
            datagram, _ = await self.sock.receive()
            packet = parse_packet(decapsulate(datagram))
            if self.refusing is not None:
                self.reply(build_refusal(packet, self.refusing))
                continue
            if self.deaf:
                continue
            if packet.flow not in self.flows:
                self.flows[packet.flow] = DatagramSocket(RELAY, 0)
                nursery.start_soon(self.answer, packet.flow)
            port = self.ports[packet.flow.destination_port]
            self.flows[packet.flow].send(packet.payload, (BACKEND, port))

    async def answer(self, flow) -> None:
        """Forward the answers of one flow."""
        while True:
            payload, _ = await self.flows[flow].receive()
            self.reply(
                build_udp(
                    flow.destination, flow.destination_port, flow.source, flow.source_port, payload
                )
            )

    def reply(self, raw: bytes) -> None:
        """Send a packet to the fabric."""
        if raw:
            self.sock.send(encapsulate(raw), self.fabric.returns.endpoint)


class Bench:
    """Hold the parts of one caller's path."""

    fabric: Fabric
    relay: Relay
    backend: BackendServer
    caller: CallerSocket
    nursery: trio.Nursery


def run_bench(scenario, slots: int = 8, cold_slots: int = 8, **fabric_options) -> None:
    async def run() -> None:
        bench = Bench()
        cfg = BackendSettings("bitacora", "b1", slots=slots, cold_slots=cold_slots, fall_over_s=0.5)
        async with trio.open_nursery() as nursery:
            bench.nursery = nursery
            bench.fabric = Fabric(FabricSettings(FABRIC, 0, 0, **fabric_options), [])
            await bench.fabric.start(nursery)
            bench.backend = BackendServer(BackendState(cfg, 1, trio.current_time()))
            await bench.backend.start(nursery, BACKEND, [0], [0], [0])
            ports = [sock.endpoint[1] for sock in bench.backend.list_sockets()]
            bench.relay = Relay(bench.fabric, dict(zip((443, 444, 445), ports, strict=True)))
            bench.fabric.balancers = [bench.relay.sock.endpoint]
            nursery.start_soon(bench.relay.run, nursery)
            bench.caller = CallerSocket(
                CallerSettings(bench.fabric.calls.endpoint, CALLER, first_port=20_000)
            )
            await bench.caller.start(nursery)
            with trio.fail_after(LIMIT_S):
                await scenario(bench)
            nursery.cancel_scope.cancel()
        bench.backend.close()
        bench.fabric.close()
        bench.caller.close()

    trio.run(run)


def test_requests_are_answered_through_duplicates_and_reordering() -> None:
    async def scenario(bench: Bench) -> None:
        results = []

        async def send(number: int) -> None:
            results.append(await request(bench.caller, SERVICE, f"/echo?n={number}"))

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(send, number)
        assert [result.outcome for result in results] == [Outcome.ANSWERED] * 8
        assert {result.body for result in results} == {f"bitacora b1 n={n}" for n in range(8)}
        assert bench.fabric.counts.duplicated > 0
        assert bench.fabric.counts.reordered > 0
        assert bench.backend.state.completed == 8
        assert bench.backend.state.busy == 0

    run_bench(scenario, duplicate_rate=0.2, reorder_rate=0.2)


def test_a_record_is_counted_and_a_stream_holds_a_connection() -> None:
    async def scenario(bench: Bench) -> None:
        async with open_stream(bench.caller, STREAMS, "/stream?interval_s=0.02&count=20") as stream:
            assert (stream.service, stream.backend) == ("bitacora", "b1")
            assert bench.backend.state.open_connections == 1
            result = await request(bench.caller, SERVICE, "/record?id=r1", "POST")
            assert result.body == "bitacora b1 r1 1"
            chunks = b"".join([chunk async for chunk in stream.reader.read_chunks()])
        assert chunks.split() == [str(number).encode() for number in range(20)]
        assert bench.backend.state.runs == {"r1": 1}
        while bench.backend.state.open_connections:
            await trio.sleep(0.02)

    run_bench(scenario)


def test_plain_udp_is_answered() -> None:
    async def scenario(bench: Bench) -> None:
        result = await request_by_udp(bench.caller, DATAGRAMS, "u1")
        assert (result.outcome, result.body) == (Outcome.ANSWERED, "bitacora b1 u1 1")

    run_bench(scenario)


def test_a_repeated_datagram_is_answered_without_a_second_run() -> None:
    async def scenario(bench: Bench) -> None:
        sock = DatagramSocket(CALLER, 0)
        port = bench.backend.list_sockets()[2].endpoint
        for _ in range(3):
            sock.send(b"u1", port)
        assert (await sock.receive())[0] == b"bitacora b1 u1 1"
        sock.send(b"u1", port)
        assert (await sock.receive())[0] == b"bitacora b1 u1 1"
        assert bench.backend.state.runs == {"u1": 1}
        assert bench.backend.state.counts.overloads == 0
        assert (bench.backend.state.busy, bench.backend.state.completed) == (0, 1)
        sock.close()

    run_bench(scenario, slots=2, cold_slots=1)


def test_a_lost_datagram_is_sent_again_where_a_retry_does_no_harm() -> None:
    async def scenario(bench: Bench) -> None:
        bench.relay.deaf = True

        async def mend() -> None:
            await trio.sleep(0.1)
            bench.relay.deaf = False

        bench.nursery.start_soon(mend)
        result = await request_by_udp(bench.caller, DATAGRAMS, "u1", retry_s=0.2)
        assert result.outcome is Outcome.ANSWERED
        load = bench.backend.state.describe_load(trio.current_time())
        assert (load["busy"], load["completed"]) == (0, 1)

    run_bench(scenario)


@pytest.mark.parametrize("transport", [Transport.QUIC, Transport.UDP])
def test_refusals_reach_the_caller(transport: Transport) -> None:
    async def scenario(bench: Bench) -> None:
        bench.relay.refusing = transport
        result = await request(bench.caller, SERVICE, "/echo")
        assert result.outcome is Outcome.REFUSED
        if transport is Transport.UDP:
            result = await request_by_udp(bench.caller, DATAGRAMS, "u1")
            assert result.outcome is Outcome.REFUSED
        else:
            with pytest.raises(FlowRefusedError):
                async with open_stream(bench.caller, STREAMS, "/stream"):
                    pass
        assert not bench.backend.state.counts.opened

    run_bench(scenario)


def test_silence_is_broken_and_not_called_refused() -> None:
    async def scenario(bench: Bench) -> None:
        bench.relay.deaf = True
        result = await request(bench.caller, SERVICE, "/echo", timeout_s=0.3)
        assert result.outcome is Outcome.BROKEN
        result = await request_by_udp(bench.caller, DATAGRAMS, "u1", timeout_s=0.1)
        assert result.outcome is Outcome.BROKEN

    run_bench(scenario)


def test_a_restart_breaks_a_stream() -> None:
    async def scenario(bench: Bench) -> None:
        async with open_stream(bench.caller, STREAMS, "/stream?interval_s=0.05&count=9") as stream:
            bench.backend.restart()
            assert bench.backend.state.open_connections == 0
            with trio.move_on_after(1) as scope:
                async for _ in stream.reader.read_chunks():
                    pass
            assert scope.cancelled_caught

    run_bench(scenario)


def test_an_overload_in_a_cold_start_silences_the_server() -> None:
    async def scenario(bench: Bench) -> None:
        results = []

        async def send() -> None:
            results.append(await request(bench.caller, SERVICE, "/echo", timeout_s=0.3))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send)
        assert bench.backend.state.counts.overloads > 0
        assert Outcome.BROKEN in {result.outcome for result in results}

    run_bench(scenario, slots=8, cold_slots=1)


def test_a_warm_server_sheds_what_exceeds_its_slots() -> None:
    async def scenario(bench: Bench) -> None:
        results = []

        async def send() -> None:
            results.append(await request(bench.caller, SERVICE, "/echo"))

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(send)
        assert bench.backend.state.counts.shed > 0
        assert {result.outcome for result in results} <= {Outcome.ANSWERED, Outcome.REFUSED}

    run_bench(scenario, slots=1, cold_slots=1)


def test_http_switches_of_backend_server_and_fabric() -> None:
    async def scenario(bench: Bench) -> None:
        app = backend_module.build_app(bench.backend)
        url = await bench.nursery.start(serve_http, app, BACKEND, 0)
        control = await bench.nursery.start(
            serve_http, fabric_module.build_app(bench.fabric), FABRIC, 0
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
            shown = (await client.post(f"{control}/balancers", json=body)).json()
            assert shown["balancers"] == ["127.0.0.9:6080"]
            bad = await client.post(f"{control}/balancers", json={"balancers": ["x"]})
            assert bad.status_code == 400

    run_bench(scenario)


def test_a_load_report_lags_and_lies() -> None:
    cfg = BackendSettings("bitacora", "b1", slots=9, load_lag_s=2.0, load_busy_factor=0.5)
    state = BackendState(cfg, 1, 0.0)
    state.cfg = cfg
    for now in (1.0, 1.5, 2.0, 2.5):
        state.open_request(now)
    assert state.describe_load(2.9)["busy"] == 0
    assert state.describe_load(4.1)["busy"] == 2
    assert state.describe_load(9.0)["busy"] == 2


def test_garbage_does_not_stop_the_fabric() -> None:
    async def scenario(bench: Bench) -> None:
        sock = DatagramSocket(CALLER, 0)
        for garbage in (b"", b"\x45", b"\x60" * 60, b"\x00" * 9):
            sock.send(garbage, bench.fabric.calls.endpoint)
            sock.send(garbage, bench.fabric.returns.endpoint)
        result = await request(bench.caller, SERVICE, "/echo")
        assert result.outcome is Outcome.ANSWERED
        assert bench.fabric.counts.malformed >= 6
        sock.close()

    run_bench(scenario)


def test_addresses_without_ports_are_found() -> None:
    source = socket.inet_aton("10.9.0.1")
    raw = build_udp(source, 7, socket.inet_aton("10.1.0.1"), 8, b"x")
    refusal = build_refusal(parse_packet(raw), Transport.UDP)
    assert fabric_module.find_destination(refusal) == (source, 0)
    with pytest.raises(PacketError):
        fabric_module.find_destination(b"\x45\x00")
    assert dpkt.ip.IP(refusal).p == 1
