"""Stand-ins for a review case: the platform's store, servers, clients, and processes of the relay.

Everything listens on loopback addresses. Only the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

ZONES = {"kgn-newport": "kingston", "kgn-spanish": "kingston", "kgn-portmore": "kingston"}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")

    def say(self, text):
        self.file.write(f"{self.now():9.3f} # {text}\n")
        print(text, flush=True)


# ---------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    """Returns the first line and the headers (lower-case names), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, body=b"", headers=None, close=False):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}.get(status, "X")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's store, form `table`, as PROTOCOL.md describes it."""

    TX_S = 0.005
    HISTORY_S = 20.0

    def __init__(self, record):
        self.record = record
        self.log = []  # (time, ver, (table, key), value or None)
        self.rows = {}  # (table, key) -> (ver, value or None)
        self.ver = 0
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.ip_port = self.server.sockets[0].getsockname()[:2]

    # What the operator and the servers write. They call the same transaction function as the HTTP API;
    # raises ConnectionError while the store is away.
    async def write(self, table, key, value):
        if self.is_away:
            raise ConnectionError("the store is away")
        await asyncio.sleep(self.TX_S)
        if self.is_away:
            raise ConnectionError("the store is away")
        return self.commit([((table, key), None if value is None else base64.b64encode(value).decode())])

    def commit(self, writes):
        self.ver += 1
        for row, value in writes:
            self.rows[row] = (self.ver, value)
            self.log.append((time.monotonic(), self.ver, row, value))
            self.record.add("store", era=self.era, ver=self.ver, row="/".join(row), removed=value is None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.ver

    async def leave(self):
        """The store goes away: connections are reset, and new ones are refused."""
        self.is_away = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.add("store-away", ver=self.ver)

    async def come_back(self, copied_at=None):
        """The store comes back, from a copy of this time if one is given."""
        if copied_at is not None:
            self.log = [entry for entry in self.log if entry[0] <= copied_at]
            self.rows, self.ver = {}, 0
            for _, ver, row, value in self.log:
                self.rows[row] = (ver, value)
                self.ver = ver
            self.era += 1
        self.server = await asyncio.start_server(self.serve, *self.ip_port)
        self.is_away = False
        self.record.add("store-back", ver=self.ver, era=self.era)

    def answer(self, status, body=None):
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return response(status, json.dumps(body or {}).encode(), headers)

    def encode(self, row, with_removed):
        ver, value = self.rows[row]
        out = {"Table": row[0], "part": "", "Key": row[1], "Ver": ver}
        if value is None:
            out["Removed"] = True
        else:
            out["Value"] = value
        return out

    def batch(self, rows):
        return {"Rows": rows, "HasMore": False, "Ver": self.ver, "NowMs": int(time.monotonic() * 1000)}

    def changes(self, table, after):
        found = [r for r, (ver, _) in self.rows.items() if r[0] == table and ver > after]
        return [self.encode(r, True) for r in sorted(found, key=lambda r: self.rows[r][0])]

    def forgotten(self):
        """The newest version of which the history no longer tells what came before it."""
        limit = time.monotonic() - self.HISTORY_S
        return max((ver for at, ver, _, _ in self.log if at < limit), default=0)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                out = await self.call(method, target, body)
                if self.is_away:
                    break
                writer.write(out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if url.path == "/rows-get":
            wanted = [
                r for r, (_, value) in self.rows.items()
                if r[0] == query["Table"] and r[1] >= query.get("From", "") and value is not None
            ]
            return self.answer(200, self.batch([self.encode(r, False) for r in sorted(wanted)]))
        if url.path == "/rows-feed":
            return await self.feed(query["Table"], int(query["AfterRev"]), int(query.get("WaitMs", 0)))
        if url.path == "/rows-tx":
            return await self.transact(json.loads(body))
        return self.answer(404)

    async def feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if after > self.ver or after < self.forgotten():
                self.record.add("store-410", table=table, after=after, ver=self.ver)
                return self.answer(410)
            rows = self.changes(table, after)
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.answer(200, self.batch(rows))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, tx):
        await asyncio.sleep(self.TX_S)
        for expected in tx.get("ExpectedRev", []):
            row = (expected["Table"], expected["Key"])
            ver, value = self.rows.get(row, (0, None))
            if expected["Ver"] != (0 if value is None else ver):
                return self.answer(412, self.batch([self.encode(row, False)] if value is not None else []))
        writes = [((w["Table"], w["Key"]), w["Value"]) for w in tx.get("Writes", [])]
        writes += [((r["Table"], r["Key"]), None) for r in tx.get("Remove", [])]
        if any(row[0] in ("op", "servers") for row, _ in writes):
            return self.answer(403)
        self.commit(writes)
        return self.answer(200, {"Ver": self.ver, "NowMs": int(time.monotonic() * 1000)})


# ---------------------------------------------------------------- servers


class Server:
    """A server of a plain service. It registers in the store and answers requests."""

    HEARTBEAT_S = 1.2
    COUNT = 0

    def __init__(self, record, store, service, zone, work_s=0.06, body=b"x" * 800):
        Server.COUNT += 1
        self.id = "i-%08x" % random.getrandbits(32)
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.work_s, self.body = work_s, body
        self.runs = []  # (time, attempt id)
        self.beats = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self.beat())

    def row(self):
        return json.dumps({"Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Sequence": 0}).encode()

    async def beat(self):
        """Writes the entry again at a heartbeat if the store does not have it."""
        while True:
            known = self.store.rows.get(("servers", self.id), (0, None))[1]
            if known != base64.b64encode(self.row()).decode():
                try:
                    await self.store.write("servers", self.id, self.row())
                except ConnectionError:
                    pass
            await asyncio.sleep(self.HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                await self.answer(method, target, headers, body, writer)
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get("x-ringbend-attempt-id")
        expected = headers.get("x-ringbend-expect-instance")
        out = {"X-Ringbend-Instance-Id": self.id, "X-Ringbend-Engine-Load": "0,0,6"}
        if expected is not None and expected != self.id:
            writer.write(response(421, b"", {**out, "X-Ringbend-Not-Executed": "1"}))
            return await writer.drain()
        if attempt is None:
            writer.write(response(200 if target == "/healthz" else 404, b"", out))
            return await writer.drain()
        self.runs.append((time.monotonic(), attempt))
        self.record.add("run", server=self.id, id=attempt, tenant=headers.get("x-ringbend-tenant"))
        await asyncio.sleep(self.work_s)
        out |= {"X-Ringbend-Attempt-Id": attempt, "X-Ringbend-Server-Stamp": f"s.{self.id}.{attempt}"}
        writer.write(response(200, self.body, out))
        await writer.drain()


class Engine(Server):
    """A model engine. It rejects a request that is larger than its memory, and streams events otherwise."""

    EVENT_S = 0.05
    KV_TOKENS = 450_000

    def row(self):
        row = json.loads(super().row())
        return json.dumps({**row, "Slots": 16, "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}]}).encode()

    async def answer(self, method, target, headers, body, writer):
        if target == "/report":
            report = {"Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False, "Sequence": 0, "Waiting": 0, "Running": 0, "KvUsed": 0,
                "KvTotal": self.KV_TOKENS, "Handles": 0, "Tickets": [], "pace": 1.0}
            writer.write(response(200, json.dumps(report).encode(), {"Content-Type": "application/json"}))
            return await writer.drain()
        if "x-ringbend-token-usage" not in headers:
            return await super().answer(method, target, headers, body, writer)
        attempt = headers["x-ringbend-attempt-id"]
        prompt, answer = (int(n) for n in headers["x-ringbend-token-usage"].split(","))
        if headers.get("x-ringbend-expect-instance", self.id) != self.id:
            writer.write(response(421, b"", {"X-Ringbend-Not-Executed": "1"}))
            return await writer.drain()
        if prompt + answer > self.KV_TOKENS:
            self.record.add("rejected", server=self.id, id=attempt)
            writer.write(response(503, b"", {"X-Ringbend-Not-Executed": "1", "X-Ringbend-Attempt-Id": attempt}))
            return await writer.drain()
        self.runs.append((time.monotonic(), attempt))
        self.record.add("run", server=self.id, id=attempt, tenant=headers.get("x-ringbend-tenant"))
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Ringbend-Attempt-Id: {attempt}\r\nX-Ringbend-Server-Stamp: s.{self.id}.{attempt}\r\n\r\n").encode())
        for number in range(1, 11):
            await asyncio.sleep(self.EVENT_S)
            event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# ---------------------------------------------------------------- relay processes


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes it."""

    def look(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(part, scopes, key, last):
        out, at = "", 0
        tag = re.compile(r"\{\{([#^]?)([^{}]+)\}\}")
        while match := tag.search(part, at):
            out += part[at:match.start()]
            kind, name = match.groups()
            at = match.end()
            if kind:
                end = part.index("{{/" + name + "}}", at)
                inner, at = part[at:end], end + len(name) + 5
                value = look(name, scopes)
                if kind == "^":
                    out += fill(inner, scopes, key, last) if value in (None, False) else ""
                elif isinstance(value, (list, dict)):
                    items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                    for number, (k, v) in enumerate(items):
                        out += fill(inner, scopes + [v], k, number + 1 == len(items))
                elif value not in (None, False):
                    out += fill(inner, scopes + [value], key, last)
            elif name == "@":
                out += str(key)
            elif name == ",":
                out += "" if last else ","
            elif name.endswith("|json"):
                out += json.dumps(look(name[:-5], scopes))
            else:
                out += text(look(name, scopes))
        return out + part[at:]

    return fill(template, [fields], None, True)


BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
    "MaxStretchMs": 5000, "StrictRevoke": True, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10, "BudgetSlack": 104, "RecoverS": 12, "PassMs": 120, "AgainS": 0}

CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "platform", "spans"]


class Edge:
    """A machine of the class `edge`: the process that the deploy file names."""

    def __init__(self, record, folder, name, zone, ip, ports, seeds, store):
        self.record, self.name, self.zone, self.ip, self.ports = record, name, zone, ip, ports
        self.front = (ip, ports[0])
        self.ready = (ip, ports[1])
        fields = {"NodeName": name, "Role": "edge", "MachineClass": "edge", "Serves": ["edge"],
            "Ip": ip, "Zone": zone, "Region": ZONES[zone], "Zones": ZONES,
            "Listen": {"Front": f"{ip}:{ports[0]}", "Ready": f"{ip}:{ports[1]}"},
            "PortRange": [ports[2], ports[2] + 15], "Seeds": seeds, "Bootstrap": True,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100,
                "LinkMbps": 1000.0, "DiskMb": 0},
            "HeartbeatMs": 1200, "Contracts": CONTRACTS, "Bounds": BOUNDS,
            "Platform": {"Address": store, "form": "table"}}
        with open(os.path.join(ROOT, "deploy", "settings.toml.template")) as file:
            template = file.read()
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as file:
            file.write(render(template, fields))
        self.log = open(os.path.join(folder, name + ".log"), "wb")
        self.process = None

    def start(self):
        program = os.path.join(ROOT, "target", "release", "ringbend-edge")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "RINGBEND_NODE_FILE": self.settings}
        self.process = subprocess.Popen([program], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record.add("start", process=self.name)

    def signal(self, number):
        self.record.add("signal", process=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_ports(ips, count):
    """Ports that are free on all of these addresses, none of which is the metrics port."""
    while True:
        base = random.randint(20000, 30000)
        try:
            for ip in ips:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
                with socket.socket() as probe:
                    probe.bind((ip, 9464))
            return base
        except OSError:
            continue


class Fleet:
    """The store, the relays and a temporary folder; all processes end with it."""

    def __init__(self, record, zones=("kgn-newport", "kgn-spanish", "kgn-portmore")):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.net = net
        self.ips = [f"{net}.{20 + number}" for number in range(len(zones))]
        base = free_ports(self.ips, 20)
        self.ports = (base, base + 1, base + 2)
        self.zones = zones
        self.store = Store(record)
        self.edges = []

    async def start_store(self):
        await self.store.start(f"{self.net}.2")

    def start_edges(self):
        for number, (zone, ip) in enumerate(zip(self.zones, self.ips)):
            edge = Edge(self.record, self.folder.name, f"edge-{zone}-{number + 1}", zone, ip, self.ports,
                [], self.store.address)
            edge.start()
            self.edges.append(edge)

    async def wait_ready(self, timeout=10.0):
        until = time.monotonic() + timeout
        waiting = list(self.edges)
        while waiting and time.monotonic() < until:
            waiting = [edge for edge in waiting if not await is_ready(edge)]
            await asyncio.sleep(0.2)
        return not waiting

    def end(self):
        for edge in self.edges:
            edge.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder.name)
            self.folder._finalizer.detach()
        else:
            self.folder.cleanup()


async def is_ready(edge):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*edge.ready), 1)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return head is not None and " 200 " in head[0] + " "
    except (OSError, asyncio.TimeoutError):
        return False


# ---------------------------------------------------------------- clients


class Attempt:
    """One client attempt and how it ended."""

    def __init__(self, key, edge):
        self.id = "%016x" % random.getrandbits(64)
        self.key, self.edge = key, edge
        self.sent_at = self.status = self.end = None
        self.received = 0


async def connect(address, window=None):
    """Connects. `window` is the size of the receive buffer, for a client on a slow line."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if window is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    sock.setblocking(False)
    try:
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, address), 1)
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


async def request(record, edge, host, path, key, method="GET", body=b"", deadline_ms=4000, read=None,
        window=None):
    """Sends one request on a new connection. `read` may read the body at its own pace."""
    attempt = Attempt(key, edge)
    writer = None
    try:
        reader, writer = await connect(edge.front, window)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Ringbend-Attempt-Id: {attempt.id}",
            f"X-Ringbend-Request-Deadline: {deadline_ms}", f"X-Ringbend-Key: {key}",
            f"Content-Length: {len(body)}"]
        attempt.sent_at = time.monotonic()
        record.add("sent", id=attempt.id, to=edge.name, key=key, method=method, path=path)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        if head is None:
            attempt.end = "closed without an answer"
        else:
            attempt.status = int(head[0].split(" ")[1])
            length = int(head[1].get("content-length", "0"))
            got = await (read or read_all)(reader, length)
            attempt.received = got
            attempt.end = "complete" if got == length else f"closed after {got} of {length} bytes"
    except asyncio.TimeoutError:
        attempt.end = "deadline"
    except OSError as e:
        attempt.end = f"{type(e).__name__}"
    finally:
        if writer:
            writer.transport.abort() if attempt.end == "deadline" else writer.close()
    record.add("answered", id=attempt.id, status=attempt.status, end=f"'{attempt.end}'")
    return attempt


async def read_all(reader, length):
    return len(await reader.read(length)) if length == 0 else await read_count(reader, length)


async def read_count(reader, length):
    got = 0
    while got < length:
        chunk = await reader.read(min(65536, length - got))
        if not chunk:
            return got
        got += len(chunk)
    return got


def run_case(case, folder):
    """Runs a case and exits with its result. All processes are ended, however it ends."""
    record = Record(folder)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    if not os.path.exists(os.path.join(ROOT, "target", "release", "ringbend-edge")):
        record.say("target/release/ringbend-edge is missing; build the deploy file first")
        sys.exit(COULD_NOT_RUN)
    fleet = Fleet(record)
    try:
        code = asyncio.run(asyncio.wait_for(case(record, fleet), 115))
    except (asyncio.TimeoutError, OSError) as e:
        record.say(f"could not run: {type(e).__name__} {e}")
        code = COULD_NOT_RUN
    finally:
        fleet.end()
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[code])
    sys.exit(code)
