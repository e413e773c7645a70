"""Stand-ins for the store, endpoints, consumers and routers, and the real programs among them.

Written from PROTOCOL.md, DEPLOY.md and SYSTEM.md with the standard library only.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[1]
DATA_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, STORE_PORT = (
    8172, 8167, 8166, 8162, 8165, 8169,
)
PORT_RANGE = (7720, 7735)
HEARTBEAT_S = 1.2
BOUNDS = {"ContactMs": 4000, "DrainMs": 3000, "ApplyMs": 3000, "EvacuateMs": 5000, "GracePeriodS": 6,
          "ColdOver": 1.5, "ColdSlack": 5, "FlowTtlS": 60, "MisrouteWindowMs": 2000}
"""Bounds of the site ribera-norte."""
IDLE_TIMEOUT_MS = 15_000
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 128, 8, 32
HEADER = struct.Struct(">IHIHHB3sIIII")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def to_number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def to_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, raw):
        (dst, self.sport, src, self.dport, self.length, self.flags, self.pad, self.sum, self.echo,
         self.seq, self.ack) = HEADER.unpack_from(raw)
        self.src, self.dst, self.raw, self.data = to_text(src), to_text(dst), raw, raw[HEADER.size:]


def build_packet(src, dst, flags, seq, ack, data=b""):
    head = HEADER.pack(to_number(dst[0]), src[1], to_number(src[0]), dst[1], len(data), flags,
                       bytes(3), 0, 0, seq % 2**32, ack % 2**32)
    digest = hashlib.blake2b(head + data, key=b"ends of the flow", digest_size=4).digest()
    return head[:18] + digest + head[22:] + data


def verify_sum(packet):
    """Return whether the fields other than echo, pad and BOUNCED are as the sender wrote them."""
    raw = packet.raw
    plain = raw[:14] + bytes((raw[14] & ~BOUNCED,)) + bytes(3) + bytes(8) + raw[26:34]
    digest = hashlib.blake2b(plain + packet.data, key=b"ends of the flow", digest_size=4).digest()
    return digest == raw[18:22]


class Record:
    """The file record.txt of a case, with the seconds since the start."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.file = self.path.open("w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP


async def read_http(reader):
    """Return the first line and the body of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return lines[0], await reader.readexactly(length)


def build_response(status, value):
    body = json.dumps(value).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def call(address, port, method, path, value=None, timeout_s=1.0):
    """Make one HTTP call; return its status, or 0 without an answer in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                body = b"" if value is None else json.dumps(value).encode()
                writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode()
                             + body)
                answer = await read_http(reader)
                return int(answer[0].split()[1]) if answer else 0
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


# Store


class Store:
    """The platform's metadata store."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision = 100
        self.objects, self.history = {}, []
        self.changed = asyncio.Event()
        self.watches = []
        """Time and kind of each watch that was received."""
        self.before_write = None
        """Coroutine called with the method, the kind and the name before a write is done; if it
        returns False, the connection gets no answer."""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, STORE_PORT)

    def put(self, kind, name, spec):
        """Write an object as the operator does."""
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        meta = {"Name": name, "Rev": self.revision, "Finalizers": [], "Deleting": False,
                "Created": old["meta"]["Created"] if old else self.revision}
        item = {"meta": meta, "spec": spec, "status": old["status"] if old else None}
        if old and old["spec"] == spec:
            return
        self.objects[kind][name] = item
        self._notify(kind, {"Object": item, "Deleted": False})

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            self._notify(kind, {"Object": item, "Deleted": True})
        return item

    def _notify(self, kind, event):
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_http(reader)) is not None:
                line, body = request
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                answer = await self._answer(method, target, body)
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(build_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        names = [unquote(item) for item in parts.path.strip("/").split("/")]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if names[0] != "objects" or len(names) < 2:
            return 404, {}
        kind, name = names[1], names[2] if len(names) > 2 else ""
        if method == "GET" and "Watch" in query:
            self.watches.append((time.monotonic(), kind))
            return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        items = self.objects.get(kind, {})
        if method == "GET" and name:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET":
            listed = [items[key] for key in sorted(items) if key > query.get("after", "")]
            return 200, {"items": listed, "HasMore": False, "CurrentRev": self.revision}
        value = json.loads(body) if body else {}
        name = name or value.get("meta", {}).get("Name", "")
        if self.before_write and not await self.before_write(method, kind, name):
            return None
        return self._write(method, kind, name, value, query)

    def _write(self, method, kind, name, value, query):
        old = self.objects.get(kind, {}).get(name)
        if method == "POST":
            if old:
                return 409, old
        elif old is None:
            return 404, {}
        rev = value.get("meta", {}).get("Rev", query.get("Rev"))
        if old and rev is not None and int(rev) != old["meta"]["Rev"]:
            return 409, old
        if method == "DELETE":
            return 200, self.delete(kind, name)
        self.put(kind, name, value.get("spec"))
        return 200, self.objects[kind][name]

    async def _watch(self, kind, revision, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, item, event in self.history if at > revision and item == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass


class StreamProxy:
    """A TCP proxy before the store; `silence()` makes the open connections silent for good."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.silent = set()
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, STORE_PORT)

    def silence(self):
        count = len(self.open - self.silent)
        self.silent |= self.open
        return count

    async def _serve(self, reader, writer):
        key = object()
        self.open.add(key)
        try:
            upstream, upstream_writer = await asyncio.open_connection(self.target, STORE_PORT)
            await asyncio.gather(self._copy(key, reader, upstream_writer),
                                 self._copy(key, upstream, writer))
        except OSError:
            pass
        finally:
            self.open.discard(key)
            writer.close()

    async def _copy(self, key, reader, writer):
        try:
            while data := await reader.read(65_536):
                if key not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if key not in self.silent:
            writer.close()


# Endpoints


class ServerFlow:
    def __init__(self, caller_seq):
        self.seq = random.getrandbits(32)
        self.caller_next = (caller_seq + 1) % 2**32
        self.open = False
        self.next = (self.seq + 1) % 2**32
        self.unacknowledged = []
        self.finished = False


class Endpoint:
    """One start of an endpoint beside an agent."""

    def __init__(self, world, agent, service, name, capacity=4, work_s=0.02):
        self.world, self.agent, self.service, self.name = world, agent, service, name
        self.address = world.addresses[agent]
        self.capacity, self.work_s = capacity, work_s
        self.state, self.cold_until = "ready", 0.0
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.openings = []
        """Time and flow of each opening packet of a flow that was taken."""
        self.alive = False
        self.acknowledged_draining = None
        self.heartbeats_held = False
        self.held_heartbeats = []
        self.last_heartbeat_at = None
        self.acknowledged_at = None
        self.tasks = []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.alive = True
        self.started_at = time.monotonic()
        endpoint = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, data, sender):
                endpoint.handle(Packet(data))

        self.health = await asyncio.start_server(self._serve_health, self.address, APP_PORT)
        self.transport, _ = await loop.create_datagram_endpoint(
            Protocol, local_addr=(self.address, APP_PORT))
        self.tasks = [asyncio.create_task(self._send_heartbeats())]
        self.world.record.write(f"endpoint {self.name} of {self.service} starts beside {self.agent}")

    def crash(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.health.close()
        self.world.record.write(f"endpoint {self.name} beside {self.agent} crashes")

    async def _serve_health(self, reader, writer):
        if await read_http(reader):
            writer.write(build_response(200 if self.state == "ready" else 503, {}))
        writer.close()

    def build_heartbeat(self):
        self.sequence += 1
        left = max(0.0, self.cold_until - time.monotonic())
        return {"Service": self.service, "Addr": f"{self.address}:{APP_PORT}",
                "Zone": self.world.zones[self.agent], "Version": "v1", "Capacity": self.capacity,
                "State": self.state, "ColdLeftMs": round(left * 1000), "Sequence": self.sequence,
                "born": self.born}

    async def send_heartbeat(self):
        body = self.build_heartbeat()
        if self.heartbeats_held:
            self.held_heartbeats.append(body)
            return 0
        status = await call(self.address, CONTROL_PORT, "PUT", f"/instances/{self.name}", body)
        if status == 200 and body["State"] == "draining" and self.acknowledged_draining is None:
            self.acknowledged_draining = time.monotonic()
            self.world.record.write(f"{self.agent} acknowledges that {self.name} is draining")
        self.last_heartbeat_at = time.monotonic()
        if status == 200:
            self.acknowledged_at = self.last_heartbeat_at
        return status

    async def _send_heartbeats(self):
        while True:
            started = time.monotonic()
            await self.send_heartbeat()
            await asyncio.sleep(max(0.0, started + HEARTBEAT_S - time.monotonic()))

    def send(self, raw):
        if self.alive:
            self.transport.sendto(raw, (self.address, OUTBOUND_PORT))

    def handle(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        service, caller = (packet.dst, packet.dport), (packet.src, packet.sport)
        if not verify_sum(packet):
            self.world.record.write(f"UNASKED packet changed on its way to {self.name}")
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = ServerFlow(packet.seq)
                self.openings.append((time.monotonic(), key))
            self.send(build_packet(service, caller, SYN | ACK, flow.seq, flow.caller_next))
            return
        if flow is None or not flow.open and packet.ack != (flow.seq + 1) % 2**32:
            raw = bytearray(packet.raw)
            raw[14] |= BOUNCED
            raw[15:18] = bytes(3)
            self.send(bytes(raw))
            return
        if not flow.open:
            flow.open = True
        flow.unacknowledged = [item for item in flow.unacknowledged
                               if (packet.ack - item[0]) % 2**32 >= 2**31]
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.length:
            if packet.seq == flow.caller_next:
                flow.caller_next = (packet.seq + packet.length) % 2**32
                self.tasks.append(asyncio.create_task(self._run(key, flow, packet.data)))
            else:
                self.send(build_packet(service, caller, ACK, flow.next, flow.caller_next))
        if packet.flags & FIN and not flow.finished:
            flow.finished = True
            flow.caller_next = (flow.caller_next + 1) % 2**32
            self.send(build_packet(service, caller, FIN | ACK, flow.next, flow.caller_next))

    async def _run(self, key, flow, data):
        request = data.split(b" ")[0].decode()
        self.world.runs.append((time.monotonic(), request, self.name, key))
        self.world.record.write(f"{self.name} runs {request}")
        await asyncio.sleep(self.work_s)
        answer = f"{request} answered by {self.name}".encode().ljust(400, b".")
        end = (flow.next + len(answer)) % 2**32
        raw = build_packet(key[2:], key[:2], ACK, flow.next, flow.caller_next, answer)
        flow.next = end
        item = (end, raw)
        flow.unacknowledged.append(item)
        wait_s = 0.2
        for _ in range(9):
            self.send(raw)
            await asyncio.sleep(wait_s)
            wait_s = min(1.6, 2 * wait_s)
            if item not in flow.unacknowledged:
                return


# Consumers and routers


class FlowReset(Exception):
    """The consumer got a reset."""


class Flow:
    """A flow of a consumer."""

    def __init__(self, consumer, port, service):
        self.consumer, self.port, self.service = consumer, port, service
        self.key = (consumer.address, port, *service)
        self.seq = random.getrandbits(32)
        self.next, self.expected = (self.seq + 1) % 2**32, 0
        self.open = False
        self.reset_by = None
        self.reset_at = None
        self.packets = asyncio.Queue()

    def send(self, flags, seq, ack, data=b""):
        self.consumer.send(self, build_packet(self.key[:2], self.service, flags, seq, ack, data))

    def receive(self, packet, sender):
        if packet.flags & RST:
            distance = (packet.seq - self.expected) % 2**32
            if self.open and min(distance, 2**32 - distance) > 76_800:
                return
            self.reset_by, self.reset_at = sender, time.monotonic()
            self.own_reset = packet.sum == 0
        elif not verify_sum(packet):
            self.consumer.world.record.write(f"MIXED packet changed on its way to {self.port}")
        self.packets.put_nowait(packet)

    async def start(self):
        """Open the flow; return whether it is open."""
        for attempt, wait_s in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, attempt)
            try:
                async with asyncio.timeout(wait_s):
                    while True:
                        packet = await self.packets.get()
                        if packet.flags & RST:
                            return False
                        if packet.flags & SYN:
                            self.expected = (packet.seq + 1) % 2**32
                            self.open = True
                            self.send(ACK, self.next, self.expected)
                            return True
            except TimeoutError:
                pass
        return False

    async def request(self, name, timeout_s):
        """Send a request; return its answer, or raise FlowReset or TimeoutError."""
        data = f"{name} ".encode().ljust(300, b"x")
        first, self.next = self.next, (self.next + len(data)) % 2**32
        self.consumer.world.record.write(f"flow {self.port} sends {name}")
        wait_s = 0.2
        async with asyncio.timeout(timeout_s):
            while True:
                self.send(ACK, first, self.expected, data)
                try:
                    async with asyncio.timeout(wait_s):
                        while True:
                            if self.reset_by:
                                raise FlowReset
                            packet = await self.packets.get()
                            if packet.flags & RST:
                                raise FlowReset
                            if packet.length and packet.seq == self.expected:
                                self.expected = (packet.seq + packet.length) % 2**32
                                self.send(ACK, self.next, self.expected)
                                answer = packet.data.split(b"..")[0].decode()
                                self.consumer.world.record.write(f"flow {self.port} gets: {answer}")
                                return answer
                except TimeoutError:
                    wait_s = min(1.6, 2 * wait_s)

    def finish(self):
        self.send(FIN | ACK, self.next, self.expected)


class Consumer:
    """A consumer in a zone; the router sends its packets to the balancers of that zone."""

    def __init__(self, world, address, zone):
        self.world, self.address, self.zone = world, address, zone
        self.flows = {}
        self.next_port = 20_000

    async def start(self):
        consumer = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, data, sender):
                packet = Packet(data)
                flow = consumer.flows.get(packet.dport)
                if flow is not None and (packet.src, packet.sport) == flow.service:
                    flow.receive(packet, sender[0])

        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Protocol, local_addr=(self.address, DATA_PORT))

    def create_flow(self, service):
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port, service)
        return flow

    def send(self, flow, raw):
        target = self.world.route(self.zone, flow.key)
        if target is not None:
            self.transport.sendto(raw, (self.world.addresses[target], DATA_PORT))


# Deployment


def render_template(text, fields):
    """Fill in a template as DEPLOY.md says, as far as the settings of this project need it."""

    def look_up(path, scope):
        value = scope if path == "." else scope.get(path.split(".")[0]) if isinstance(
            scope, dict) else None
        if path != ".":
            for part in path.split(".")[1:]:
                value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def fill(part, scope):
        def section(match):
            items = look_up(match[1], scope) or []
            rendered = []
            for number, item in enumerate(items):
                body = match[2].replace("{{,}}", "," if number + 1 < len(items) else "")
                rendered.append(fill(body, item))
            return "".join(rendered)

        part = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, part, flags=re.S)

        def place(match):
            value = look_up(match[1], scope)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, part)

    return fill(text, fields)


class World:
    """The real programs of one deployment and the stand-ins around them."""

    def __init__(self, folder, balancers, agents):
        """Take the zone of each balancer, and the zone and the service of each agent, by name."""
        self.record = Record(folder)
        self.lock, self.network = claim_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.balancers, self.agents = balancers, agents
        self.zones = {**balancers, **{name: zone for name, (zone, _) in agents.items()}}
        self.addresses = {name: f"{self.network}.{1 + (name in agents)}.{number}"
                          for names in (balancers, agents)
                          for number, name in enumerate(names, 1)}
        self.store = Store(f"{self.network}.9.9", self.record)
        self.store_address = self.store.address
        self.control = dict(self.addresses)
        self.processes, self.endpoints, self.runs = {}, {}, []
        self.consumers = []
        self.in_rotation = {name: False for name in balancers}
        self.started_at, self.disturbed_at = {}, {}
        self.tasks = []

    async def start(self, manifest, names=None):
        await self.store.start()
        self.store.put("config", "main", manifest)
        for name in names or (*self.balancers, *self.agents):
            self.start_process(name)
        self.tasks.append(asyncio.create_task(self._probe()))

    def start_process(self, name):
        role = self.roles["agent" if name in self.agents else "balancer"]
        address, bounds = self.addresses[name], BOUNDS
        fields = {"Node": name, "Role": "agent" if name in self.agents else "balancer",
                  "BindIp": address, "Zone": self.zones[name], "PortRange": list(PORT_RANGE),
                  "Listen": {"DataAddr": f"{address}:{DATA_PORT}", "Ready": f"{address}:{READY_PORT}",
                             "Control": f"{address}:{CONTROL_PORT}"},
                  "SeedAddrs": [f"{self.addresses[item]}:{CONTROL_PORT}"
                                for item in list(self.balancers)[:3]],
                  "HeartbeatMs": round(HEARTBEAT_S * 1000), "Bounds": bounds,
                  "platform": {"Addr": f"{self.store_address}:{STORE_PORT}"}}
        if name in self.agents:
            fields["Listen"]["outbound"] = f"{address}:{OUTBOUND_PORT}"
            fields["app"], fields["Service"] = f"{address}:{APP_PORT}", self.agents[name][1]
        path = self.folder / f"{name}.json"
        path.write_text(render_template((REPOSITORY / role["template"]).read_text(), fields))
        words = role["run"].split()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"FESCUESEAM_SETTINGS": str(path), "PYTHONPATH": "target/deps"}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable if words[0] == "python3" else words[0], *words[1:]],
                cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.started_at[name] = time.monotonic()
        self.record.write(f"{name} is started")

    async def stop_process(self, name, number=signal.SIGTERM):
        """Send a signal, kill after the grace period, and wait for the end."""
        process = self.processes.pop(name)
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        process.send_signal(number)
        until = time.monotonic() + BOUNDS["GracePeriodS"]
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            process.kill()
        process.wait()
        self.disturbed_at[name] = time.monotonic()
        self.record.write(f"{name} has ended")

    async def restart(self, name, number=signal.SIGTERM, pause_s=0.3):
        await self.stop_process(name, number)
        await asyncio.sleep(pause_s)
        self.start_process(name)

    async def start_endpoint(self, agent, name, **options):
        endpoint = Endpoint(self, agent, self.agents[agent][1], name, **options)
        self.endpoints[agent] = endpoint
        await endpoint.start()
        return endpoint

    async def start_consumer(self, zone):
        consumer = Consumer(self, f"{self.network}.8.{1 + len(self.consumers)}", zone)
        self.consumers.append(consumer)
        await consumer.start()
        return consumer

    async def is_ready(self, name, timeout_s=0.5):
        return await call(self.addresses[name], READY_PORT, "GET", "/readyz", None, timeout_s) == 200

    async def wait_until_ready(self, names=None, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while not all([self.in_rotation[name] for name in names or self.balancers]):
                await asyncio.sleep(0.05)

    def route(self, zone, key):
        """Return the balancer that the router chooses for a flow, by a steady hash."""
        in_zone = [name for name in self.balancers if self.balancers[name] == zone]
        ready = [name for name in in_zone if self.in_rotation[name]]
        chosen = ready if 2 * len(ready) >= len(in_zone) else in_zone
        if not ready:
            chosen = [name for name in self.balancers if self.in_rotation[name]] or in_zone
        return max(chosen, default=None,
                   key=lambda name: hashlib.blake2b(repr((name, key)).encode()).digest())

    async def _probe(self):
        misses = dict.fromkeys(self.balancers, 2)

        async def probe(name):
            if await self.is_ready(name):
                misses[name] = 0
            else:
                misses[name] += 1
            rotation = misses[name] < 2
            if rotation is not self.in_rotation[name]:
                self.record.write(f"router: {name} is {'in' if rotation else 'out of'} rotation")
            self.in_rotation[name] = rotation

        while True:
            await asyncio.gather(asyncio.sleep(0.5), *(probe(name) for name in self.balancers))

    def read_log(self, name):
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        return [json.loads(line) if line.startswith("{") else {"event": line} for line in lines]

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def claim_network():
    """Return a lock and a free loopback network, such as 127.99."""
    for octet in random.sample(range(64, 240), 176):
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{octet}.255.254", 64_998))
            return lock, f"127.{octet}"
        except OSError:
            lock.close()
    raise OSError("no free loopback network")


def build_manifest(version, routes, services, cold_per_s=0.0):
    """Return a manifest; `routes` holds address, port and service or a list of (service, weight)."""
    entries = []
    for number, (host, port, service) in enumerate(routes):
        entry = {"Name": f"r-{host}-{port}", "Host": host, "PathPrefix": f"/{port}/",
                 "Kind": "idempotent", "DeadlineMs": 8000, "GoalMs": 500, "Prio": 1,
                 "MaxAttempts": 2}
        if isinstance(service, str):
            entry["Service"] = service
        else:
            entry["Split"] = [{"Service": item, "Weight": weight} for item, weight in service]
        entries.append(entry)
    return {"Version": version, "Routes": entries,
            "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConns": 2000,
                          "Protocol": "h1", "Tls": False, "WarmupS": 2.0, "ColdPerS": cold_per_s}
                         for name in services],
            "Limits": {"IdleTimeoutMs": IDLE_TIMEOUT_MS}}


def run_case(folder, main):
    """Run a case for 115 s at most and exit with its result: 1 broken, 0 held, 2 did not run."""
    result = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    async def run():
        async with asyncio.timeout(115):
            return await main()

    try:
        result = asyncio.run(run())
    except BaseException as exc:
        print(f"the case could not run: {exc!r}")
        if os.environ.get("KEEP_LOGS"):
            raise
    sys.exit(result)
