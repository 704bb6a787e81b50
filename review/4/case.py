"""A key that was taken away after a drill of the store is still accepted, without end."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig import BROKEN, HELD, TROUBLE, CannotRun, config, record, route, run

REVOKE_S = 5.0
KEPT, REVOKED = "kept-key-0001", "revoked-key-0002"
SERVICE = "dispatch"


def version(number, timeout_ms, keys):
    routes = [route("r-count", "/count/", SERVICE, "non_idempotent", timeout_ms, MaxAttempts=1)]
    return config(number, routes, [SERVICE], {"tenant-a": keys})


async def traffic(rig, answers):
    """A request with each key at each machine, five times a second."""
    async def one(edge, key):
        answers.append((key, *await rig.send(edge, "/count/1", key)))

    tasks = []
    while True:
        for edge in rig.edges:
            tasks += [asyncio.create_task(one(edge, key)) for key in (KEPT, REVOKED)]
        await asyncio.sleep(0.2)


async def case(rig):
    both = [KEPT, REVOKED]
    await rig.start(version(1, 4000, both), [(f"i-engine{n}", SERVICE) for n in range(3)])
    await asyncio.sleep(4)
    answers = []
    load = asyncio.create_task(traffic(rig, answers))
    await asyncio.sleep(3 + random.random())
    kept_copy = rig.store.take_copy()
    # The operator makes two changes, and an engine that has just started writes how long it stays
    # cold. All of it is acknowledged, and all machines have it.
    cold = rig.engines[2]
    rig.store.write("op", "config", version(2, 3500, both))
    for cold_left_ms in (2400, 1200):
        await asyncio.sleep(1.2)
        cold.register(cold_left_ms)
    await asyncio.sleep(0.2)
    rig.store.write("op", "config", version(3, 3000, both))
    await asyncio.sleep(1.4)
    if TROUBLE:
        # The drill: away for half a second, and back from a copy that is four seconds old.
        rig.store.go_away()
        await asyncio.sleep(0.5)
        rig.store.come_back(*kept_copy)
        await asyncio.sleep(0.05)
        # The operator writes its two changes again, and the engine its entry.
        rig.store.write("op", "config", version(2, 3500, both))
        rig.store.write("op", "config", version(3, 3000, both))
        cold.register(cold_left_ms=0)
    await asyncio.sleep(0.15)
    rig.store.write("op", "config", version(4, 3000, [KEPT]))
    acknowledged = record.now()
    record.add("revocation-acknowledged", key=REVOKED)
    await asyncio.sleep(REVOKE_S + 7)
    load.cancel()
    await asyncio.sleep(1)

    ran = {attempt for engine in rig.engines for (_, attempt, _) in engine.runs}
    late = [a for a in answers if a[1] > acknowledged + REVOKE_S]
    of = lambda key: [a for a in late if a[0] == key]
    late_runs = [a for a in of(REVOKED) if a[2] in ran]
    before = [a for a in answers if a[0] == REVOKED and a[1] < acknowledged - 4 and a[3] == 200]
    record.say(f"before: {len(before)} requests with the later revoked key were served")
    record.say(f"sent over {REVOKE_S} s after the acknowledgement: {len(of(REVOKED))} with the "
               f"revoked key, {len(late_runs)} of them ran; {len(of(KEPT))} with the kept key, "
               f"{sum(a[3] == 200 for a in of(KEPT))} of them served")
    if not before or not of(REVOKED):
        raise CannotRun("no request with the key was served before, or none was sent after")
    if late_runs:
        record.say(f"BROKEN: CONFIG, StrictRevoke; first such request: {late_runs[0][2]}, sent "
                   f"{late_runs[0][1] - acknowledged:.2f} s after the acknowledgement")
        return BROKEN
    return HELD


run(case)
