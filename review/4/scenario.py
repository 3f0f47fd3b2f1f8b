"""VERSION: new weights are named for one of two models that the engines hold."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as stand  # noqa: E402

ENGINES, CONSUMERS = 9, 16
TENANT = stand.tenant("sese880", "wu3fexd9dnn2ctnfzs98", 1700000, 1700000)


async def consume(lab, results, model, stop):
    c = stand.Consumer(lab, "jepu9.example", TENANT["apiKeys"][0])
    header = {"X-Model": model, "X-Token-Usage": "291,9", "X-Prefix-Hash": "5c1e07a2:55,%08x:36" % random.getrandbits(32)}
    while not stop.is_set():
        r = await c.send("POST", "/lepu270/%x" % random.getrandbits(20), header, b"x" * 380, budget=4.0)
        results.append((model, r))
        await asyncio.sleep(max(0.1, min(r.get("retry_after", 0), 1.0)) * (0.5 + random.random()))
    c.close()


async def scenario(lab, trouble):
    for _ in range(ENGINES):
        lab.add_worker("llm-desk", 64, models={"m0": 1, "m1": 1})
    lab.add_worker("order-app", 6)
    await lab.start(3, 4)
    await lab.order("PUT", "/v1/config", stand.document(1, [TENANT], engine_models=("m0", "m1")))
    await lab.wait_ready()
    await asyncio.sleep(2)
    results, stop = [], asyncio.Event()
    tasks = [lab.spawn(consume(lab, results, "m%d" % (i % 2), stop)) for i in range(CONSUMERS)]
    await asyncio.sleep(5)
    named = 1
    if trouble:
        await lab.order("POST", "/v1/version-put", {"model": "m0", "version": 2})
        named = 2
    acknowledged = lab.record.now()
    await asyncio.sleep(25)
    stop.set()
    await asyncio.wait(tasks, timeout=10)
    return judge(lab, results, acknowledged, named)


def judge(lab, results, acknowledged, named):
    """When the traffic ends, 25 s after the ack in a calm deployment, at most one worker or a tenth of them may have an
    older version; no request begins on an older version later than versionMs after the ack."""
    old = [w.id for w in lab.workers if w.models and w.models["m0"] < named]
    late = [r for runs in lab.runs.values() for r in runs if r.header.get("x-model") == "m0" and r.version < named and r.at > acknowledged + lab.bounds["versionMs"] / 1000]
    orders = sum(len(w.orders) for w in lab.workers)
    served = {}
    for model, r in results:
        if r["sent"] > acknowledged + lab.bounds["versionMs"] / 1000:
            n = served.setdefault(model, [0, 0])
            n[0] += 1
            n[1] += r["status"] == 200 and r["complete"]
    broken = len(old) > 1 and len(old) > ENGINES / 10 or bool(late)
    return broken, "workers with an older version of m0: %d of %d, orders sent: %d, requests that began on it later than versionMs: %d, requests after versionMs by model [sent, served]: %s" % (
        len(old), ENGINES, orders, len(late), served)


stand.main(os.path.dirname(os.path.abspath(__file__)), scenario)
