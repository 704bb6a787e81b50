"""What the cases share: a store, plain engines, clients, and the processes of the relay.

All of it listens on loopback addresses, uses the real clock and speaks what PROTOCOL.md says.
"""

import asyncio
import base64
import copy
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "ringbend-edge")
CASE_FOLDER = os.path.dirname(os.path.abspath(sys.argv[0]))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self):
        self.started = time.monotonic()
        self.file = open(os.path.join(CASE_FOLDER, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {values}\n")

    def say(self, text):
        print(text, flush=True)
        self.file.write(f"{self.now():8.3f} {text}\n")


record = Record()


class CannotRun(Exception):
    """The case could not be brought about."""


def free_ports(ip, count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def own_network():
    """A loopback network that other runs are unlikely to use."""
    return f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += chunk


class Store:
    """The platform's store: rows, their changes, and transactions."""

    def __init__(self):
        self.rows = {}
        self.ver = 0
        self.era = 1
        self.away = False
        self.epoch = 0
        self.changed = asyncio.Event()
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        """Writes a row, or drops it if there is no value. Returns its version."""
        self.ver += 1
        self.rows[(table, key)] = (value, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def write(self, table, key, value):
        version = self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        record.add("store-write", row=f"{table}/{key}", ver=version, era=self.era)
        return version

    def take_copy(self):
        record.add("store-copy", ver=self.ver)
        return copy.deepcopy(self.rows), self.ver

    def go_away(self):
        """Answers nobody from now on. Connections that are open now stay silent for good."""
        record.add("store-away", ver=self.ver)
        self.away = True

    def come_back(self, rows, ver):
        self.rows, self.ver = copy.deepcopy(rows), ver
        self.era += 1
        self.epoch += 1
        self.away = False
        record.add("store-back", ver=self.ver, era=self.era)

    def found(self, table, after, with_removed):
        rows = [
            {"Table": t, "part": "", "Key": key, "Ver": ver}
            | ({"Value": value} if value is not None else {"Removed": True})
            for (t, key), (value, ver) in self.rows.items()
            if t == table and ver > after and (value is not None or with_removed)
        ]
        return sorted(rows, key=lambda row: row["Ver"] if with_removed else row["Key"])

    def answer(self, rows):
        now_ms = round(record.now() * 1000, 3)
        return 200, {"Rows": rows, "HasMore": False, "Ver": self.ver, "NowMs": now_ms}

    async def feed(self, query):
        table, after = query["Table"], int(query["AfterRev"])
        if after > self.ver:
            return 410, {}
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changed = self.changed
            rows = self.found(table, after, True)
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.answer(rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        tx = json.loads(body)
        for row in tx.get("ExpectedRev", []):
            value, ver = self.rows.get((row["Table"], row["Key"]), (None, 0))
            if row["Ver"] != (0 if value is None else ver):
                return 412, {"Rows": []}
        for row in tx.get("Writes", []):
            self.put(row["Table"], row["Key"], row["Value"])
            record.add("system-write", row=f"{row['Table']}/{row['Key']}", ver=self.ver)
        for row in tx.get("Remove", []):
            self.put(row["Table"], row["Key"], None)
            record.add("system-remove", row=f"{row['Table']}/{row['Key']}", ver=self.ver)
        return 200, {"Ver": self.ver, "NowMs": round(record.now() * 1000, 3)}

    async def serve(self, reader, writer):
        epoch = self.epoch
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
                silent = self.away or epoch != self.epoch
                if not silent:
                    if path == "/rows-feed":
                        status, content = await self.feed(query)
                    elif path == "/rows-get":
                        rows = self.found(query["Table"], 0, False)
                        start = query.get("From", "")
                        status, content = self.answer([r for r in rows if r["Key"] >= start])
                    elif path == "/rows-tx" and method == "POST":
                        status, content = self.transact(body)
                    else:
                        status, content = 404, {}
                if silent or self.away or epoch != self.epoch:
                    await reader.read()
                    return
                if path != "/rows-feed" or status != 200 or content["Rows"]:
                    record.add("store-call", path=path, table=query.get("Table"),
                               after=query.get("AfterRev"), status=status, ver=self.ver)
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Engine:
    """An engine of a plain service. It registers itself and answers after `work_s`."""

    def __init__(self, store, name, service, zone, work_s=0.02, body_bytes=800):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.work_s, self.body_bytes = work_s, body_bytes
        self.runs = []
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.register()

    def register(self, cold_left_ms=0):
        self.sequence += 1
        self.store.write("servers", self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "1", "Slots": 16, "State": "ready",
            "ColdLeftMs": cold_left_ms, "Sequence": self.sequence,
            "born": self.born,
        })

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                await read_body(reader, headers)
                if not await self.answer(line, headers, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, writer):
        attempt = headers.get("x-ringbend-attempt-id", "")
        echo = f"X-Ringbend-Attempt-Id: {attempt}\r\n"
        if headers.get("x-ringbend-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 X\r\n{echo}X-Ringbend-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        path = line.split(" ")[1]
        if path == "/healthz" or not attempt:
            status = 200 if path == "/healthz" else 400
            writer.write(f"HTTP/1.1 {status} X\r\nX-Ringbend-Instance-Id: {self.name}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.running += 1
        self.runs.append((record.now(), attempt, headers.get("x-ringbend-tenant")))
        record.add("run", engine=self.name, attempt=attempt,
                   tenant=headers.get("x-ringbend-tenant"))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        record.add("engine-answer", engine=self.name, attempt=attempt)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}X-Ringbend-Server-Stamp: {self.name}.{attempt}\r\n"
            f"X-Ringbend-Engine-Load: {self.running},0,16\r\n"
            f"Content-Length: {self.body_bytes}\r\n\r\n".encode()
        )
        writer.write(bytes(self.body_bytes))
        await writer.drain()
        return True


class Edge:
    """A machine with the program of the deploy file, with settings as its template gives them."""

    def __init__(self, folder, name, ip, zone, zones, ports, store, bounds=""):
        self.name, self.ip, self.ports = name, ip, ports
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        regions = "\n".join(f'"{zone}" = "region"' for zone in zones)
        text = f"""
instance = "{name}"
data_centre = "{zone}"
memory_mb = 260
cpu_share = 0.25

[listen]
callers = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
metrics = "{ip}:{ports[2]}"
peers = "{ip}:{ports[3]}"
seeds = []

[store]
address = "{store.address}"

[bounds]
key_revoked_ms = 5000
config_apply_ms = 2000
grace_s = 8
repeat_ratio = 0.2
repeat_window_s = 10
repeat_allowance = 106

[regions]
{regions}

[overload]
terms = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
enabling_term = "pressure"

[log]
format = "json"
level = "info"
output = "stdout"
"""
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C", "RINGBEND_NODE_FILE": self.settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        record.add("start", machine=self.name)

    def signal(self, number):
        record.add("signal", machine=self.name, number=int(number))
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                exchange(self.ip, self.ports[1], "GET", "/readyz", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False


async def exchange(ip, port, method, path, headers, body=b""):
    """One request on a new connection. Raises EOFError if there is no complete answer."""
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
    try:
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{lines}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise EOFError("no answer")
        try:
            content = await read_body(reader, head[1])
        except asyncio.IncompleteReadError as e:
            raise EOFError("answer ended early") from e
        return int(head[0].split(" ")[1]), head[1], content
    finally:
        writer.close()


def next_attempt(counter=[0]):
    counter[0] += 1
    return f"{random.getrandbits(32):08x}{counter[0]:08x}"


class Rig:
    """A store, engines and machines, all ended by `end`."""

    def __init__(self, machines=3):
        self.folder = tempfile.mkdtemp(prefix="ringbend-case-")
        self.network = own_network()
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.store = Store()
        self.engines, self.edges = [], []
        self.machines = machines

    async def start(self, config, services, **engine_options):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing")
        await self.store.start(f"{self.network}.1")
        self.store.write("op", "config", config)
        for number, (name, service) in enumerate(services):
            engine = Engine(self.store, name, service, self.zones[number % 3], **engine_options)
            await engine.start(f"{self.network}.{100 + number}")
            self.engines.append(engine)
        ip = lambda number: f"{self.network}.{10 + number}"
        ports = free_ports(ip(0), 4)
        for number in range(self.machines):
            zone = self.zones[number % 3]
            edge = Edge(self.folder, f"edge-{number}", ip(number), zone, self.zones, ports, self.store)
            self.edges.append(edge)
            edge.start()
        until = time.monotonic() + 10
        for edge in self.edges:
            while not await edge.is_ready():
                if time.monotonic() > until or edge.process.poll() is not None:
                    raise CannotRun(f"{edge.name} does not become ready; see {edge.log}")
                await asyncio.sleep(0.1)

    async def send(self, edge, path, key=None, method="POST", deadline_ms=4000, tag="", body=b"x"):
        attempt = next_attempt()
        headers = {"X-Ringbend-Attempt-Id": attempt, "X-Ringbend-Request-Deadline": deadline_ms}
        if key:
            headers["X-Ringbend-Key"] = key
        sent = record.now()
        record.add("sent", machine=edge.name, attempt=attempt, path=path, key=key, tag=tag)
        try:
            status, _, _ = await exchange(edge.ip, edge.ports[0], method, path, headers, body)
        except (OSError, EOFError) as e:
            status = f"closed:{type(e).__name__}"
        record.add("answered", machine=edge.name, attempt=attempt, status=status, tag=tag)
        return sent, attempt, status

    def end(self):
        for edge in self.edges:
            edge.end()
        if os.environ.get("KEEP"):
            record.say(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, timeout_ms=4000, **more):
    return {"Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 300, "Priority": 2, "Service": service, "MaxAttempts": 2,
            "Public": False, "Sticky": False, "Resumable": False} | more


def config(version, routes, services, tenants):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConns": 110,
                          "Protocol": "h1", "Tls": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": name, "ApiKeys": keys, "Priority": 1}
                        for name, keys in tenants.items()]}


def run(case, machines=3, limit_s=115):
    """Runs a case and exits with its result."""
    async def guarded():
        rig = Rig(machines)
        try:
            return await asyncio.wait_for(case(rig), limit_s)
        finally:
            rig.end()

    try:
        result = asyncio.run(guarded())
    except Exception as e:  # An uncaught one would end with 1, which says that the rule was broken.
        record.say(f"the case could not run: {e!r}")
        result = NOT_RUN
    record.file.close()
    sys.exit(result)
