"""Stand-ins of the users' platform for the scripts of the second review, and the programs under test.

Standard library only. Everything runs in one process but the project's programs, which are started
as `deploy/system.toml` says. Written from the users' pages (PROTOCOL, DEPLOY).
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 128, 8, 32
HEADER = struct.Struct(">IHIHHB3sIIII")
DATA_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT = 8172, 8167, 8166, 8162, 8165
PEER_PORT, STORE_PORT = 7720, 8169
HEARTBEAT_S = 1.2
KEY = b"review"


def to_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def to_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def compute_sum(dst, sport, src, dport, flags, seq, ack, data):
    head = struct.pack(">IHIHBII", dst, sport, src, dport, flags & ~BOUNCED, seq, ack)
    return zlib.crc32(KEY + head + data) or 1


def build_packet(src, sport, dst, dport, flags, seq, ack, data=b""):
    seq, ack = seq % 2**32, ack % 2**32
    checksum = compute_sum(dst, sport, src, dport, flags, seq, ack, data)
    head = HEADER.pack(dst, sport, src, dport, len(data), flags, bytes(3), checksum, 0, seq, ack)
    return head + data


class Packet:
    def __init__(self, raw):
        (self.dst, self.sport, self.src, self.dport, _, self.flags, self.pad, self.sum, self.echo,
         self.seq, self.ack) = HEADER.unpack_from(raw)
        self.data = raw[HEADER.size:]
        self.raw = raw
        self.is_authentic = self.sum == compute_sum(
            self.dst, self.sport, self.src, self.dport, self.flags, self.seq, self.ack, self.data)


class Record:
    """Lines of record.txt, with the time since the start of the run."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def serve_http(address, port, handle):
    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                size = 0
                for line in lines[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":")[1])
                body = await reader.readexactly(size) if size else b""
                status, value = await handle(method, target, body)
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, address, port)


async def call_http(address, port, method, target, value=None, timeout_s=1.0):
    """Return the status of a call, or 0 without an answer."""
    async def call():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            body = b"" if value is None else json.dumps(value).encode()
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                         .encode() + body)
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout_s)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0


class Store:
    """The metadata store."""

    def __init__(self):
        self.revision, self.objects, self.history = 10, {}, []
        self.changed = asyncio.Event()
        self.turns_away = False
        """Whether some machines get 503 for each call."""

    def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        meta = {"Name": name, "Rev": self.revision, "Finalizers": [], "Deleting": False,
                "Created": known["meta"]["Created"] if known else self.revision}
        self.objects[kind][name] = item = {"meta": meta, "spec": spec, "status": None}
        self._record(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)
        return item

    def _record(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"Object": item, "Deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_turned_away(self, method, target, body):
        if self.turns_away:
            return 503, {}
        return await self.handle(method, target, body)

    async def handle(self, method, target, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(item) for item in parts.path.strip("/").split("/")]
        kind, name = path[1], path[2] if len(path) > 2 else ""
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query["WaitMs"]) / 1000)
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET":
            names = sorted(item for item in objects if item > query.get("after", ""))
            return 200, {"items": [objects[item] for item in names[:500]],
                         "HasMore": len(names) > 500, "CurrentRev": self.revision}
        if method == "DELETE":
            item = self.delete(kind, name)
            return (200, item) if item else (404, {})
        value = json.loads(body)
        meta = value.get("meta", {})
        name = name or meta["Name"]
        known = objects.get(name)
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {}
        if method == "PUT" and meta.get("Rev", known["meta"]["Rev"]) != known["meta"]["Rev"]:
            return 409, known
        if method == "PUT" and known["spec"] == value["spec"]:
            return 200, known
        return 200, self.put(kind, name, value["spec"])

    async def _watch(self, kind, revision, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [item for at, of, item in self.history if at > revision and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(Packet(data), addr[0])

    def error_received(self, exc):
        pass


async def open_udp(address, port, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(handle), (address, port))
    return transport


class EndpointFlow:
    def __init__(self, first):
        self.seq = random.getrandbits(32)
        self.sent_to = (self.seq + 1) % 2**32
        self.acked_to = self.sent_to
        self.received_to = (first.seq + 1) % 2**32
        self.is_open = False
        self.opened_at = None
        self.is_ended = False
        self.heard = []
        """Times at which packets of the flow arrived."""


class Endpoint:
    """One start of an endpoint beside an agent."""

    def __init__(self, fleet, side, name, born_ms):
        self.fleet, self.side, self.name, self.born_ms = fleet, side, name, born_ms
        self.address = fleet.get_address(side)
        self.flows, self.slots, self.sequence = {}, asyncio.Semaphore(4), 0
        self.state, self.is_alive, self.acks = "ready", True, 0
        self.runs, self.openings, self.forged = [], [], 0
        self.strays = {}
        """Times at which packets of flows arrived that are not held here, by flow."""
        self.tasks = set()

    async def start(self):
        self.udp = await open_udp(self.address, APP_PORT, self._receive)
        self.tcp = await serve_http(self.address, APP_PORT, self._handle_health)
        self._spawn(self._send_heartbeats())
        self.fleet.record.write(f"endpoint {self.name} at {self.side} starts, born {self.born_ms}")

    def stop(self):
        self.is_alive = False
        self.udp.close()
        self.tcp.close()
        for task in self.tasks:
            task.cancel()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle_health(self, method, target, body):
        return (200 if self.state == "ready" else 503), {}

    def _send(self, raw):
        if self.is_alive:
            self.udp.sendto(raw, (self.address, OUTBOUND_PORT))

    def _answer(self, packet, flags, seq, ack, data=b""):
        self._send(build_packet(
            packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data))

    def _bounce(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.strays.setdefault(key, []).append(self.fleet.record.now())
        raw = bytearray(packet.raw)
        raw[14] |= BOUNCED
        raw[15:18] = bytes(3)
        self._send(bytes(raw))

    def _receive(self, packet, _):
        if not packet.is_authentic:
            self.forged += 1
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = EndpointFlow(packet)
                self.openings.append((self.fleet.record.now(), key))
            self._answer(packet, SYN | ACK, flow.seq, packet.seq + 1)
            return
        if flow is None:
            self._bounce(packet)
            return
        if flow.is_open:
            flow.heard.append(self.fleet.record.now())
        else:
            if packet.ack != (flow.seq + 1) % 2**32:
                self._bounce(packet)
                return
            flow.is_open, flow.opened_at = True, self.fleet.record.now()
            flow.heard.append(flow.opened_at)
        if packet.flags & RST:
            del self.flows[key]
            return
        if (packet.ack - flow.acked_to) % 2**32 < 2**31:
            flow.acked_to = packet.ack
        if flow.is_ended:
            flags = ACK if packet.flags & FIN else RST if packet.data else 0
            if flags:
                self._answer(packet, flags, flow.sent_to, packet.seq + 1)
            return
        if packet.data and packet.seq == flow.received_to:
            flow.received_to = (flow.received_to + len(packet.data)) % 2**32
            self._spawn(self._run(packet, flow, packet.data.decode()))
        elif packet.data:
            self._answer(packet, ACK, flow.sent_to, flow.received_to)
        if packet.flags & FIN:
            flow.is_ended = True
            self._answer(packet, FIN | ACK, flow.sent_to, packet.seq + 1)

    async def _run(self, packet, flow, request):
        async with self.slots:
            self.runs.append((self.fleet.record.now(), request))
            await asyncio.sleep(0.015)
        data = f"200 {request} by {self.name}".encode()
        seq = flow.sent_to
        flow.sent_to = (seq + len(data)) % 2**32
        wait_s = 0.2
        for _ in range(9):
            if flow.is_ended:
                return
            self._answer(packet, ACK, seq, flow.received_to, data)
            await asyncio.sleep(wait_s)
            if (flow.acked_to - flow.sent_to) % 2**32 < 2**31:
                return
            wait_s = min(1.6, 2 * wait_s)

    async def _send_heartbeats(self):
        while True:
            self.sequence += 1
            state = self.state
            body = {"Service": self.fleet.get_service(self.side), "Version": "v1", "Capacity": 4,
                    "Addr": f"{self.address}:{APP_PORT}", "Zone": self.fleet.get_zone(self.side),
                    "State": state, "ColdLeftMs": 0, "Sequence": self.sequence,
                    "born": self.born_ms}
            status = await call_http(
                self.address, CONTROL_PORT, "PUT", f"/instances/{self.name}", body)
            if 200 <= status < 300:
                self.acks += 1
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))


class ResetByRule(Exception):
    """An open flow was reset."""


class ConsumerFlow:
    """One flow of a consumer, with one request at a time."""

    def __init__(self, consumer, port, route):
        self.consumer, self.port, self.route = consumer, port, route
        self.src, self.dst, self.dport = to_int(consumer.address), to_int(route[0]), route[1]
        self.seq = random.getrandbits(32)
        self.next_seq = (self.seq + 1) % 2**32
        self.ack = 0
        self.is_open, self.reset_by, self.answer = False, None, None
        self.woken = asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        self.consumer.send(build_packet(
            self.src, self.port, self.dst, self.dport, flags, seq, ack, data), self)

    def receive(self, packet, sender):
        if packet.flags & RST:
            distance = (packet.seq - self.ack) % 2**32
            if not self.is_open or min(distance, 2**32 - distance) <= 76_800:
                self.reset_by = sender if packet.sum == 0 else "endpoint"
                self.woken.set()
            return
        if not packet.is_authentic:
            self.consumer.forged += 1
            return
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.ack = (packet.seq + 1) % 2**32
            if packet.seq + 1 == self.ack:
                self.send(ACK, self.next_seq, self.ack)
            self.woken.set()
            return
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) % 2**32
            self.answer = packet.data.decode()
            self.woken.set()
        if packet.data:
            self.send(ACK, self.next_seq, self.ack)

    def close(self):
        """Give the flow up, as after a request without an answer in time."""
        self.send(FIN | ACK, self.next_seq, self.ack)

    async def _wait(self, seconds):
        self.woken.clear()
        try:
            await asyncio.wait_for(self.woken.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    async def open(self):
        """Return whether the flow opened."""
        for attempt, wait_s in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, attempt)
            end = time.monotonic() + wait_s
            while time.monotonic() < end:
                await self._wait(end - time.monotonic())
                if self.is_open:
                    return True
                if self.reset_by:
                    return False
        return False

    async def request(self, text, limit_s):
        """Return the answer, or None after the time limit; raise ResetByRule."""
        data, seq = text.encode(), self.next_seq
        self.next_seq = (seq + len(data)) % 2**32
        self.answer = None
        end, wait_s = time.monotonic() + limit_s, 0.2
        while time.monotonic() < end:
            self.send(ACK, seq, self.ack, data)
            again = time.monotonic() + wait_s
            while time.monotonic() < again:
                await self._wait(again - time.monotonic())
                if self.reset_by:
                    raise ResetByRule(self.reset_by)
                if self.answer is not None:
                    return self.answer
            wait_s = min(1.6, 2 * wait_s)
        return None


class Consumer:
    """A consumer's address, whose flows the routers of its zone spread over the daemons."""

    def __init__(self, fleet, address, zone):
        self.fleet, self.address, self.zone, self.forged = fleet, address, zone, 0
        self.flows, self.next_port = {}, 20_000

    async def start(self):
        self.udp = await open_udp(self.address, DATA_PORT, self._receive)

    def _receive(self, packet, sender):
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet, sender)

    def create_flow(self, route):
        self.next_port += 1
        flow = self.flows[self.next_port] = ConsumerFlow(self, self.next_port, route)
        return flow

    def send(self, raw, flow):
        key = f"{self.address}:{flow.port}:{flow.dst}:{flow.dport}"
        name = self.fleet.route(self.zone, key)
        self.udp.sendto(raw, (self.fleet.get_address(name), DATA_PORT))


class Fleet:
    """The programs under test and the platform around them."""

    def __init__(self, folder, edges, sides, routes, restart_delay_s):
        """`edges` and `sides` give the zone, and `sides` also the service, of each machine."""
        self.record = Record(folder)
        self.edges, self.sides, self.routes = edges, sides, routes
        self.restart_delay_s = restart_delay_s
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.net = self._claim_network()
        self.processes, self.misses = {}, {name: 2 for name in edges}
        self.store, self.endpoints, self.consumers = Store(), {}, []
        self.tasks, self.is_over = [], False
        self.late = set()
        """Machines that are added later; their processes are not started with the others."""
        self.turned_away = set()
        """Machines that the store turns away. They reach it at an address of their own."""

    @staticmethod
    def _claim_network():
        for _ in range(50):
            net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{net}.250", STORE_PORT))
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback network")

    def get_address(self, name):
        if name in ("store", "store-turning-away"):
            return f"{self.net}.{250 if name == 'store' else 251}"
        names = [*self.edges, *self.sides]
        return f"{self.net}.{1 + names.index(name)}"

    def get_zone(self, name):
        return self.edges[name] if name in self.edges else self.sides[name][0]

    def get_service(self, name):
        return self.sides[name][1]

    def build_settings(self, name):
        """Return what the settings template yields for a machine."""
        address, is_side = self.get_address(name), name in self.sides
        seeds = list(self.edges)[:3]
        store = "store-turning-away" if name in self.turned_away else "store"
        return {
            "instance": name, "role": "agent" if is_side else "balancer",
            "data_centre": self.get_zone(name), "address": address,
            "peer_port": PEER_PORT, "peer_port_last": PEER_PORT + 15,
            "packets": f"{address}:{DATA_PORT}", "readiness": f"{address}:{READY_PORT}",
            "heartbeats": f"{address}:{CONTROL_PORT}",
            "answers": f"{address}:{OUTBOUND_PORT}" if is_side else "",
            "backend": f"{address}:{APP_PORT}" if is_side else "",
            "service": self.get_service(name) if is_side else "",
            "store": f"{self.get_address(store)}:{STORE_PORT}",
            "seeds": [f"{self.get_address(item)}:{CONTROL_PORT}" for item in seeds],
            "heartbeat_interval_ms": round(HEARTBEAT_S * 1000), "store_silence_limit_ms": 4000,
            "processor_share": 0.645 if is_side else 0.537, "processors": 1 if is_side else 2,
            "link_mbps": 1000.0, "metrics_port": 9464,
        }

    def build_manifest(self, version):
        services = sorted({service for _, service in self.sides.values()})
        return {
            "Version": version,
            "Routes": [
                {"Name": f"r-{number}", "Host": host, "PathPrefix": f"/{port}/", "Service": service,
                 "Kind": "idempotent", "DeadlineMs": 2000, "GoalMs": 120, "Prio": 2}
                for number, (host, port, service) in enumerate(self.routes)],
            "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConns": 2000,
                          "WarmupS": 2.0, "ColdPerS": 0.0} for name in services],
            "Limits": {"IdleTimeoutMs": 15000},
        }

    def route(self, zone, key):
        """Return the daemon that a router of a zone picks for a flow, by a steady hash."""
        members = [name for name in self.edges if self.edges[name] == zone]
        ready = [name for name in members if self.misses[name] < 2]
        if not ready:
            ready = [name for name in self.edges if self.misses[name] < 2] or members
        elif 2 * len(ready) < len(members):
            ready = members
        return max(ready, key=lambda name: hashlib.md5(f"{name}/{key}".encode()).digest())

    def start_process(self, name):
        path = Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(self.build_settings(name)))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"FESCUESEAM_SETTINGS": str(path), "PYTHONPATH": "target/deps"}
        with (Path(self.temporary.name) / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "fescueseam_platform"], cwd=ROOT, env=env, stdout=log,
                stderr=log)
        self.record.write(f"process {name} starts")

    async def stop_process(self, name, number=signal.SIGTERM):
        """Stop a process; SIGKILL follows after the grace period."""
        process = self.processes[name]
        self.record.write(f"process {name} gets {signal.Signals(number).name}")
        process.send_signal(number)
        end = time.monotonic() + 6.0
        while process.poll() is None:
            await asyncio.sleep(0.01)
            if time.monotonic() > end:
                process.kill()
        self.record.write(f"process {name} has ended with {process.returncode}")

    async def restart_process(self, name, number=signal.SIGTERM):
        await self.stop_process(name, number)
        await asyncio.sleep(self.restart_delay_s)
        self.start_process(name)

    async def start_endpoint(self, side, name, born_ms=None):
        born_ms = round(time.time() * 1000) if born_ms is None else born_ms
        self.endpoints[side] = endpoint = Endpoint(self, side, name, born_ms)
        await endpoint.start()

    async def add_consumer(self, zone):
        consumer = Consumer(self, f"{self.net}.{200 + len(self.consumers)}", zone)
        await consumer.start()
        self.consumers.append(consumer)
        return consumer

    async def start(self):
        self.store.put("config", "main", self.build_manifest(7))
        await serve_http(self.get_address("store"), STORE_PORT, self.store.handle)
        address = self.get_address("store-turning-away")
        await serve_http(address, STORE_PORT, self.store.handle_turned_away)
        for name in (*self.edges, *self.sides):
            if name not in self.late:
                self.start_process(name)
        for name in self.edges:
            self.tasks.append(asyncio.ensure_future(self._probe(name)))

    async def wait_until_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while any(self.misses[name] for name in self.edges if name not in self.late):
            if time.monotonic() > end:
                raise RuntimeError("the daemons did not become ready")
            await asyncio.sleep(0.1)

    async def _probe(self, name):
        while True:
            address = self.get_address(name)
            status = await call_http(address, READY_PORT, "GET", "/readyz", timeout_s=0.4)
            self.misses[name] = 0 if status == 200 else self.misses[name] + 1
            await asyncio.sleep(0.5)

    def find_endpoint(self, flow):
        """Return the endpoint at which a flow is open, if it lives."""
        key = (flow.src, flow.port, flow.dst, flow.dport)
        for endpoint in self.endpoints.values():
            entry = endpoint.flows.get(key)
            if endpoint.is_alive and entry is not None and entry.is_open:
                return endpoint
        return None

    def find_misrouted(self, window_s, packets):
        """Return the flows of which so many packets reached others in a window, and none their own.

        Each is given with its own endpoint, the begin of the window and the endpoints that got them.
        """
        found = []
        for own in self.endpoints.values():
            for key, flow in own.flows.items():
                if own.is_alive and flow.is_open:
                    item = self._find_window(own, key, flow, window_s, packets)
                    if item is not None:
                        found.append((key, own.name, *item))
        return found

    def _find_window(self, own, key, flow, window_s, packets):
        strays = sorted((at, endpoint.name) for endpoint in self.endpoints.values()
                        if endpoint is not own for at in endpoint.strays.get(key, ())
                        if at >= flow.opened_at)
        for begin, _ in strays:
            window = [item for item in strays if begin <= item[0] < begin + window_s]
            if len(window) >= packets and not any(
                    begin <= at < begin + window_s for at in flow.heard):
                return begin, [name for _, name in window]
        return None

    def search_log(self, name, text):
        """Return the log lines of a process that contain a text."""
        path = Path(self.temporary.name) / f"{name}.log"
        return [line for line in path.read_text(errors="replace").splitlines() if text in line]

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for endpoint in self.endpoints.values():
            if endpoint.is_alive:
                endpoint.stop()
        self.temporary.cleanup()


def run_case(main):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    import sys
    import traceback

    try:
        code = 1 if asyncio.run(main()) else 0
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
