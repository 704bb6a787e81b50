"""Requests with two runs that break together end without an answer."""

import asyncio
import os
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
import rig as shared
from model import KEY, PROFILE, ModelEngine
from rig import (BROKEN, HELD, HOST, TROUBLE, CannotRun, config, next_attempt, read_body, read_head,
                 record, route, run)

SERVICE = "assist-llm"
CLIENTS = 32
SILENCE_S, SENT_AFTER_S, CUT_AFTER_S, CUT_S = 1.0, 0.05, 0.65, 4.0


def sockets_of(process):
    """The sockets that a process has open."""
    folder = f"/proc/{process.pid}/fd"
    found = set()
    for name in os.listdir(folder):
        try:
            found.add(os.readlink(f"{folder}/{name}"))
        except OSError:
            pass
    return found


def belongs_to(process, peer):
    """Whether a connection that comes from this address is one of the process."""
    octets = [int(part) for part in peer[0].split(".")]
    wanted = "%02X%02X%02X%02X:%04X" % (*reversed(octets), peer[1])
    with open("/proc/net/tcp", encoding="ascii") as table:
        inodes = [line.split()[9] for line in table if line.split()[1] == wanted]
    return any(f"socket:[{inode}]" in sockets_of(process) for inode in inodes)


def reset(writer):
    """Ends a connection with a reset."""
    at_once = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
    writer.transport.abort()


class ReachableEngine(ModelEngine):
    """A model engine with quick, short answers, which one machine may be cut off from."""

    events, gap_s = 3, 0.02
    cut_process = None

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.reached = []
        self.open = {}

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")
        if self.cut_process and belongs_to(self.cut_process, peer):
            reset(writer)
            return
        self.open[writer] = ""
        try:
            await super().serve(reader, writer)
        finally:
            self.open.pop(writer, None)

    async def answer(self, line, headers, writer):
        attempt = headers.get("x-ringbend-attempt-id")
        if attempt:
            self.reached.append(attempt)
            self.open[writer] = attempt
            record.add("reached", engine=self.name, attempt=attempt)
        return await super().answer(line, headers, writer)


def partition(engines, process):
    """Resets the process's connections to all engines, and each new one from now on.

    They break at the same time, as those of a machine that has lost its links do. One after the
    other is as near as this comes to it, so those of one request follow each other.
    """
    connections = []
    for engine in engines:
        engine.cut_process = process
        connections += [(attempt, writer) for writer, attempt in engine.open.items()
                        if belongs_to(process, writer.get_extra_info("peername"))]
    for _, writer in sorted(connections, key=lambda connection: connection[0]):
        reset(writer)


shared.Engine = ReachableEngine


class Client:
    """Sends one request after the other on a kept connection."""

    def __init__(self, edge):
        self.edge, self.reader, self.writer = edge, None, None

    async def send(self):
        """Returns the attempt's id and its end: a status, or that the connection was closed."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.edge.ip, self.edge.ports[0])
        attempt = next_attempt()
        self.writer.write(
            f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Ringbend-Attempt-Id: {attempt}\r\n"
            f"X-Ringbend-Request-Deadline: 9500\r\nX-Ringbend-Key: {KEY}\r\n"
            "X-Ringbend-Model: m\r\nX-Ringbend-Token-Usage: 1460,80\r\n"
            f"X-Ringbend-Prompt-Prefix: 5c1e07a2:40,{attempt[:8]}:1420\r\n"
            "Content-Length: 1\r\n\r\nx".encode())
        record.add("sent", machine=self.edge.name, attempt=attempt)
        end = "closed without an answer"
        try:
            head = await asyncio.wait_for(read_head(self.reader), 10)
            if head:
                end = head[0].split(" ")[1]
                await asyncio.wait_for(read_body(self.reader, head[1]), 10)
        except asyncio.TimeoutError:
            end = "no answer in 10 s"
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            end += ", cut off"
        record.add("answered", attempt=attempt, end=end.replace(" ", "-"))
        if end != "200":
            self.writer.close()
            self.writer = None
        return attempt, end


async def case(rig):
    routes = [route("r-ask", "/ask/", SERVICE, "streaming", 10000, GapAimMs=500, Sticky=True,
                    Resumable=True, TargetLatencyMs=1500)]
    content = config(1, routes, [SERVICE], {"tenant-a": [KEY]})
    content["Services"][0]["Engine"] = PROFILE
    await rig.start(content, [(f"i-engine{n}", SERVICE) for n in range(6)])
    await asyncio.sleep(4)
    edge = rig.edges[0]
    clients = [Client(edge) for _ in range(CLIENTS)]
    # Usual traffic for ten seconds, on connections that are kept.
    for _ in range(20):
        ends = await asyncio.gather(*(client.send() for client in clients))
        await asyncio.sleep(0.4)
    if any(end != "200" for _, end in ends):
        raise CannotRun(f"the usual traffic isn't served: {ends}")
    # All engines are silent for a second, which is no disruption.
    silences = [asyncio.create_task(engine.fall_silent(SILENCE_S)) for engine in rig.engines]
    await asyncio.sleep(SENT_AFTER_S)
    requests = [asyncio.create_task(client.send()) for client in clients]
    await asyncio.sleep(CUT_AFTER_S - SENT_AFTER_S)
    if TROUBLE:
        record.add("partitioned-from-engines", machine=edge.name, seconds=CUT_S)
        partition(rig.engines, edge.process)
    results = await asyncio.gather(*requests)
    await asyncio.gather(*silences)
    await asyncio.sleep(0.5)
    reached = [attempt for engine in rig.engines for attempt in engine.reached]
    counts = {}
    for _, end in results:
        counts[end] = counts.get(end, 0) + 1
    twice = sum(reached.count(attempt) > 1 for attempt, _ in results)
    lost = [a for a, end in results if end == "closed without an answer" and a in reached]
    record.say(f"{len(results)} requests on kept connections, {twice} had reached two engines or more: {counts}")
    record.say(f"passed on to a sound engine, and the connection closed without an answer: {len(lost)}")
    if len(lost) > 3:
        record.say(f"BROKEN: LOST; first: {lost[0]}")
        return BROKEN
    return HELD


run(case, machines=3)
