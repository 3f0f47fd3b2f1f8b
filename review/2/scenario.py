"""LOST: machines are stopped and started in turn while long streams run."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as stand  # noqa: E402

PIECES, PAUSE = 96, 0.05  # a stream of 4.8 s, with pauses far below targetGapMs
CONSUMERS = 100
TENANT = stand.tenant("sese880", "wu3fexd9dnn2ctnfzs98", 1700000, 1700000)


async def consume(lab, results, factor, stop):
    c = stand.Consumer(lab, "jepu9.example", TENANT["apiKeys"][0], factor)
    header = {"X-Model": "m0", "X-Token-Usage": "3720,96", "X-Prefix-Hash": "5c1e07a2:800,%08x:410" % random.getrandbits(32)}
    await asyncio.sleep(random.random() * 2)
    while not stop.is_set():
        results.append(await c.send("POST", "/lepu270/%x" % random.getrandbits(20), header, b"x" * 3720))
        await asyncio.sleep(0.05 + random.random() * 0.1)
    c.close()


async def roll(lab, stops):
    """Stops and starts the front machines in turn: the next one when the one before has ended."""
    for h in lab.fronts:
        stops.setdefault(h.frontend, []).append(lab.record.now())
        h.signal(signal.SIGTERM)
        process = h.process
        try:
            await asyncio.wait_for(process.wait(), lab.bounds["gracePeriodS"])
        except asyncio.TimeoutError:
            h.signal(signal.SIGKILL)
            await process.wait()
        h.bootstrap = False
        await h.start()


async def scenario(lab, trouble):
    for _ in range(9):
        lab.add_worker("llm-desk", 64, models={"m0": 1}, pieces=PIECES, pause=PAUSE)
    lab.add_worker("order-app", 6)
    await lab.start(3, 4)
    await lab.order("PUT", "/v1/config", stand.document(1, [TENANT]))
    await lab.wait_ready()
    await asyncio.sleep(2)
    results, stop, stops = [], asyncio.Event(), {}
    tasks = [lab.spawn(consume(lab, results, 3 if i % 2 else 1, stop)) for i in range(CONSUMERS)]
    await asyncio.sleep(5)
    if trouble:
        await roll(lab, stops)
    else:
        await asyncio.sleep(30)
    stop.set()
    await asyncio.wait(tasks, timeout=10)
    return judge(lab, results, stops)


def judge(lab, results, stops):
    """Counts the requests that the rule names: read whole and passed on to a worker, the channel ended without a complete
    answer, within the time of the SIGTERM of the machine that took the request. Not counted are those that ended at their
    budget or the route's timeout, and those sent no later than 3 s after the SIGTERM whose worker was still at work in the
    last sixth of gracePeriodS."""
    grace = lab.bounds["gracePeriodS"]
    lost = []
    for r in results:
        runs = lab.runs.get(r["id"])
        if r["complete"] or not runs or r["ended"] - r["sent"] >= 7.9:
            continue
        for at in stops.get(r["address"], []):
            if not at - 8 <= r["sent"] or not at <= r["ended"] <= at + grace + 1:
                continue
            in_last_sixth = r["ended"] >= at + grace * 5 / 6
            if r["sent"] <= at + 3 and in_last_sixth:
                continue
            lost.append("%s at %s: sent %.2f s and cut %.2f s after the SIGTERM" % (r["id"], r["address"], r["sent"] - at, r["ended"] - at))
    text = "requests: %d, complete: %d, lost: %d" % (len(results), sum(r["complete"] for r in results), len(lost))
    return bool(lost), "\n".join(lost + [text])


stand.main(os.path.dirname(os.path.abspath(__file__)), scenario)
