"""QUOTA: a tenant's limit is lowered to less than one a second."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as stand  # noqa: E402

CONSUMERS = 10
RATE, BURST = 1000000, 170525
LOW_RATE, LOW_BURST = 0.5, 20000
TOKENS = 17020


async def consume(lab, results, key, stop):
    c = stand.Consumer(lab, "jepu9.example", key)
    header = {"X-Model": "m0", "X-Token-Usage": "%d,24" % (TOKENS - 24), "X-Prefix-Hash": "5c1e07a2:13300,%08x:3696" % random.getrandbits(32)}
    while not stop.is_set():
        r = await c.send("POST", "/lepu270/%x" % random.getrandbits(20), header, b"x" * 3720)
        results.append(r)
        await asyncio.sleep(max(0.3, min(r.get("retry_after", 0), 2.0)))
    c.close()


async def scenario(lab, trouble):
    for _ in range(9):
        lab.add_worker("llm-desk", 64, models={"m0": 1})
    lab.add_worker("order-app", 6)
    key = "wu3fexd9dnn2ctnfzs98"
    await lab.start(3, 4)
    await lab.order("PUT", "/v1/config", stand.document(1, [stand.tenant("sese880", key, RATE, BURST)]))
    await lab.wait_ready()
    await asyncio.sleep(2)
    results, stop = [], asyncio.Event()
    tasks = [lab.spawn(consume(lab, results, key, stop)) for _ in range(CONSUMERS)]
    await asyncio.sleep(5)
    rate, burst = RATE, BURST
    if trouble:
        rate, burst = LOW_RATE, LOW_BURST
        await lab.order("PUT", "/v1/config", stand.document(2, [stand.tenant("sese880", key, rate, burst)]))
    acknowledged = lab.record.now()
    await asyncio.sleep(lab.bounds["configApplyMs"] / 1000 + 3 * lab.bounds["quotaWindowS"])
    stop.set()
    await asyncio.wait(tasks, timeout=10)
    return judge(lab, results, acknowledged, rate, burst)


def judge(lab, results, acknowledged, rate, burst):
    """Counts the tokens of requests that were sent and arrived in each window, from one window after configApplyMs past the
    ack of the lower limit."""
    b = lab.bounds
    window = b["quotaWindowS"]
    allowed = (rate * window + burst) * (1 + b["quotaOverage"]) + b["quotaSlack"]
    begin = acknowledged + b["configApplyMs"] / 1000 + window
    ran = sorted((r["sent"], lab.runs[r["id"]][0].at) for r in results if r["id"] in lab.runs and r["sent"] >= begin)
    most = 0
    for sent, _ in ran:
        most = max(most, TOKENS * sum(1 for s, at in ran if s >= sent and at <= sent + window))
    return most > allowed, "tokens in the fullest window of %d s: %d, allowed: %d (rate %s, burst %s)" % (window, most, allowed, rate, burst)


stand.main(os.path.dirname(os.path.abspath(__file__)), scenario)
