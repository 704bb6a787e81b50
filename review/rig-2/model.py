"""A model engine, and a client that reads its streams."""

import asyncio
import json

from rig import HOST, Engine, next_attempt, read_head, record

KEY = "key-0001"
EVENTS, GAP_S = 30, 0.12

PROFILE = {"Slots": 16, "KvCacheTokens": 450000, "Stride": 46, "step_ms": 0.925,
           "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0,
           "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0, "HopMs": 0.1,
           "Models": [{"Name": "m"}], "usual": {"prompt": 1460, "answer": 1540}}


class ModelEngine(Engine):
    """A model engine: streams events, and reports its load. It may fall silent and go on."""

    events, gap_s = EVENTS, GAP_S

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.awake = asyncio.Event()
        self.awake.set()

    async def fall_silent(self, seconds):
        record.add("engine-silent", engine=self.name, seconds=seconds)
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()
        record.add("engine-goes-on", engine=self.name)

    async def answer(self, line, headers, writer):
        await self.awake.wait()
        attempt = headers.get("x-ringbend-attempt-id", "")
        is_own = headers.get("x-ringbend-expect-instance", self.name) == self.name
        if is_own and line.startswith("GET /report"):
            report = {"Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                      "Busy": False, "Sequence": 1, "Waiting": 0, "Running": self.running,
                      "KvUsed": 1500 * self.running, "KvTotal": 450000, "Handles": 0,
                      "Tickets": [], "pace": 1.0, "born": self.born}
            body = json.dumps(report).encode()
            writer.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return True
        if not (attempt and is_own):
            return await super().answer(line, headers, writer)
        self.runs.append((record.now(), attempt, headers.get("x-ringbend-tenant")))
        record.add("run", engine=self.name, attempt=attempt)
        self.running += 1
        try:
            await self.stream(attempt, writer)
        finally:
            self.running -= 1
        return True

    async def stream(self, attempt, writer):
        writer.write(f"HTTP/1.1 200 OK\r\nX-Ringbend-Attempt-Id: {attempt}\r\n"
                     f"X-Ringbend-Server-Stamp: {self.name}.{attempt}\r\n"
                     f"X-Ringbend-Engine-Load: {self.running},0,16\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, self.events + 1):
            await self.awake.wait()
            event = f"id: {number}\ndata: piece {number} of {self.events}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            try:
                await writer.drain()
            except ConnectionError:
                record.add("engine-cut-off", engine=self.name, attempt=attempt, after=number)
                raise
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        record.add("engine-finished", engine=self.name, attempt=attempt)


async def read_stream(edge, usage="1460,80"):
    """Sends a request and reads its stream. Returns the events that came, and whether it ended whole."""
    attempt = next_attempt()
    reader, writer = await asyncio.open_connection(edge.ip, edge.ports[0])
    writer.write(f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Ringbend-Attempt-Id: {attempt}\r\n"
                 f"X-Ringbend-Request-Deadline: 9500\r\nX-Ringbend-Key: {KEY}\r\n"
                 f"X-Ringbend-Model: m\r\nX-Ringbend-Token-Usage: {usage}\r\n"
                 f"X-Ringbend-Prompt-Prefix: 5c1e07a2:40,{attempt[:8]}:1420\r\n"
                 "Content-Length: 1\r\n\r\nx".encode())
    record.add("sent", machine=edge.name, attempt=attempt)
    head = await read_head(reader)
    status = head[0].split(" ")[1] if head else "closed"
    events, whole = 0, False
    try:
        while head and status == "200":
            size = int((await reader.readline()).strip() or b"x", 16)
            data = await reader.readexactly(size + 2)
            events += data.count(b"\n\n")
            if size == 0:
                whole = True
                break
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    writer.close()
    record.add("stream-end", attempt=attempt, status=status, events=events, whole=whole)
    return attempt, status, events, whole
