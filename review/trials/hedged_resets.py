"""A trial, not a case: its result varies. Engines fall silent for a second, and meanwhile one machine loses its links to
all of them; its connections are reset. Hedged requests whose two runs break together end without an answer."""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
CLIENTS = 40
ROUNDS, PAUSE_S = 3, 6.0
SILENCE_S, CUT_AFTER_S, CUT_S = 1.0, 0.45, 3.0
ENGINE = {"Slots": 16, "KvCacheTokens": 450000, "KvTokenBytes": 327680, "LinkMbps": 400000.0, "Stride": 46,
    "Models": [{"Name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
    "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
    "usual": {"prompt": 13239, "answer": 1540}, "HopMs": 0.1}


def config():
    route = {"Name": "r-1", "Host": HOST, "Prefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 10000,
        "TargetLatencyMs": 300, "Priority": 1, "Service": "lease-llm", "MaxAttempts": 2, "Public": False,
        "Sticky": True, "Resumable": True, "GapAimMs": 200}
    return json.dumps({"Version": 3, "Routes": [route],
        "Services": [{"Name": "lease-llm", "HealthPath": "/healthz", "MaxConns": 284, "Protocol": "h1", "Engine": ENGINE}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}]}).encode()


def sockets_of(pid):
    found = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            found.add(os.readlink(f"/proc/{pid}/fd/{name}"))
        except OSError:
            pass
    return found


def belongs_to(pid, peer):
    """Whether the connection that comes from this address is one of the process's."""
    ip, port = peer
    wanted = "%02X%02X%02X%02X:%04X" % (*reversed([int(part) for part in ip.split(".")]), port)
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1] == wanted:
                return f"socket:[{fields[9]}]" in sockets_of(pid)
    return False


class Link:
    """The way to one engine: it may fall silent, and be cut for one machine."""

    silent_until = 0.0
    cut_pid = None

    def __init__(self, record, engine, port):
        self.record, self.engine, self.port = record, engine, port
        self.open = {}

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")
        owner = next((pid for pid in Link.pids if belongs_to(pid, peer)), None)
        if owner is not None and owner == Link.cut_pid:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self.port)
        except OSError:
            writer.transport.abort()
            return
        self.open[writer] = (owner, upstream[1])
        try:
            await asyncio.gather(self.copy(reader, upstream[1], False), self.copy(upstream[0], writer, True))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()
            upstream[1].close()

    async def copy(self, reader, writer, is_answer):
        while data := await reader.read(65536):
            while is_answer and (left := Link.silent_until - time.monotonic()) > 0:
                await asyncio.sleep(left)
            writer.write(data)
            await writer.drain()
        if not is_answer:
            raise ConnectionError("closed")
        writer.close()

    def cut(self, pid):
        for writer, (owner, upstream) in list(self.open.items()):
            if owner == pid:
                writer.transport.abort()
                upstream.transport.abort()


async def client(record, edge, until, unanswered, ends):
    """Sends one request after the other on a kept connection, and opens a new one after it was closed."""
    while time.monotonic() < until():
        writer, answered = None, 0
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*edge.front), 1)
            while time.monotonic() < until():
                attempt = "%016x" % random.getrandbits(64)
                lines = ["POST /lohu930/2f HTTP/1.1", f"Host: {HOST}", f"X-Ringbend-Attempt-Id: {attempt}", "X-Ringbend-Model: m",
                    f"X-Ringbend-Token-Usage: {random.randint(1000, 9000)},80",
                    f"X-Ringbend-Prompt-Prefix: 5c1e07a2:40,{random.getrandbits(32):08x}:900",
                    "X-Ringbend-Request-Deadline: 10000", f"X-Ringbend-Key: {KEY}", "Content-Length: 600"]
                record.add("sent", id=attempt, to=edge.name, kept=answered > 0)
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"y" * 600)
                got = await asyncio.wait_for(read_head(reader), 10)
                if got is None:
                    record.add("answered", id=attempt, end="'closed without an answer'")
                    unanswered.append((time.monotonic(), attempt, answered > 0))
                    break
                status = got[0].split(" ")[1]
                body = await read_body(reader, got[1])
                record.add("answered", id=attempt, status=status, bytes=len(body))
                ends[status] = ends.get(status, 0) + 1
                answered += 1
                await asyncio.sleep(random.uniform(0, 0.1))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            ends[type(e).__name__] = ends.get(type(e).__name__, 0) + 1
            await asyncio.sleep(0.2)
        finally:
            if writer:
                writer.close()


async def case(record, fleet):
    await fleet.start_store()
    await fleet.store.write("op", "config", config())
    engines, links = [], []
    for number, zone in enumerate(list(ZONES) * 2):
        engine = Engine(record, fleet.store, "lease-llm", zone)
        engine.EVENT_S = 0.045
        server = await asyncio.start_server(engine.serve, f"{fleet.net}.{100 + number}", 0)
        link = Link(record, engine, server.sockets[0].getsockname()[:2])
        await link.start(f"{fleet.net}.{120 + number}")
        engine.server, engine.address = server, link.address
        engine.beats = asyncio.create_task(engine.beat())
        engines.append(engine)
        links.append(link)
    fleet.start_edges()
    Link.pids = [edge.process.pid for edge in fleet.edges]
    if not await fleet.wait_ready():
        record.say("the relays did not become ready")
        return COULD_NOT_RUN
    await asyncio.sleep(10)
    until, unanswered, ends = [time.monotonic() + 60], [], {}
    edge = fleet.edges[0]
    clients = [asyncio.create_task(client(record, edge, lambda: until[0], unanswered, ends)) for _ in range(CLIENTS)]
    await asyncio.sleep(8)
    for _ in range(ROUNDS):
        record.add("engines-silent", for_s=SILENCE_S)
        Link.silent_until = time.monotonic() + SILENCE_S
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            record.add("links-reset", machine=edge.name, refused_for_s=CUT_S)
            Link.cut_pid = edge.process.pid
            for link in links:
                link.cut(edge.process.pid)
        await asyncio.sleep(CUT_S)
        Link.cut_pid = None
        await asyncio.sleep(PAUSE_S)
    until[0] = time.monotonic()
    await asyncio.gather(*clients)
    runs = {attempt for engine in engines for _, attempt in engine.runs}
    lost = [attempt for _, attempt, was_kept in unanswered if was_kept and attempt in runs]
    record.say(f"answers: {ends}")
    record.say(f"requests on kept connections that an engine began and whose connection was closed without an answer: {len(lost)}")
    return BROKEN if len(lost) > 3 else HELD


run_case(case, os.path.dirname(os.path.abspath(__file__)))
