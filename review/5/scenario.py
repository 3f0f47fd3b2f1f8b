"""BUDGET: a part of long conversations crashes each engine that begins to write an answer on it."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import lab as stand  # noqa: E402

ENGINES = 10
PARTS = 70  # a conversation of 69 turns before the question
TENANT = stand.tenant("sese880", "wu3fexd9dnn2ctnfzs98", 1700000, 1700000)
BAD = "bad0bad0"


class Engine(stand.Worker):
    """An engine that ends when it begins to write an answer on the part BAD, and is back 2 s later, as a new one."""

    deadly = False

    async def start(self):
        await super().start()
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def run_stream(self, writer, model, header):
        parts = [p.split(":")[0] for p in header.get("x-prefix-hash", "").split(",")]
        if BAD in parts[:-1]:
            self.lab.arrivals.append(self.lab.record.now())
            self.lab.record("request with the part reaches %s" % self.id)
            if Engine.deadly:
                await asyncio.sleep(0.05)
                await self.crash()
                raise ConnectionError("crashed")
        await super().run_stream(writer, model, header)

    async def crash(self):
        if not self.server:
            return
        self.lab.crashes.append(self.lab.record.now())
        self.lab.record("%s crashes" % self.id)
        self.server.close()
        self.server = None
        for w in list(self.writers):
            w.transport.abort()
        self.lab.spawn(self.come_back())

    async def come_back(self):
        await asyncio.sleep(2.0)
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.ip, 8080)


async def consume(lab, results, bad, interval, stop):
    while not stop.is_set():
        c = stand.Consumer(lab, "jepu9.example", TENANT["apiKeys"][0])
        chain = ["%08x:120" % (0x10000 + i) for i in range(PARTS - 2)]
        if bad:
            chain.append(BAD + ":120")
        chain.append("%08x:60" % random.getrandbits(32))
        header = {"X-Model": "m0", "X-Token-Usage": "%d,9" % (120 * PARTS), "X-Prefix-Hash": ",".join(chain)}
        r = await c.send("POST", "/lepu270/%x" % random.getrandbits(20), header, os.urandom(200))
        r["bad"] = bad
        results.append(r)
        c.close()
        await asyncio.sleep(interval * (0.7 + 0.6 * random.random()))


async def scenario(lab, trouble):
    lab.arrivals, lab.crashes = [], []
    for _ in range(ENGINES):
        w = Engine(lab, "llm-desk", lab.addresses.next(), lab.zone(len(lab.workers)), 64, models={"m0": 1})
        lab.workers.append(w)
    lab.add_worker("order-app", 6)
    await lab.start(3, 4)
    await lab.order("PUT", "/v1/config", stand.document(1, [TENANT]))
    await lab.wait_ready()
    await asyncio.sleep(2)
    results, stop = [], asyncio.Event()
    tasks = [lab.spawn(consume(lab, results, False, 0.2, stop)) for _ in range(4)]
    await asyncio.sleep(4)
    Engine.deadly = trouble
    tasks += [lab.spawn(consume(lab, results, True, 0.5, stop)) for _ in range(2)]
    await asyncio.sleep(25)
    stop.set()
    await asyncio.wait(tasks, timeout=10)
    return judge(lab, results)


def judge(lab, results):
    """Counts the requests with the part that reach a worker later than contactMs after the fifth crash. All machines are in
    touch: nothing disturbs them or the core."""
    late = []
    if len(lab.crashes) >= 5:
        late = [t for t in lab.arrivals if t > lab.crashes[4] + lab.bounds["contactMs"] / 1000]
    bad = [r for r in results if r["bad"]]
    sound = [r for r in results if not r["bad"]]
    return len(late) > 3, "parts: %d, crashes: %d, requests with the part sent: %d, reached workers: %d, later than contactMs after the fifth crash: %d; sound sent: %d, served: %d" % (
        PARTS, len(lab.crashes), len(bad), len(lab.arrivals), len(late), len(sound), sum(r["status"] == 200 and r["complete"] for r in sound))


stand.main(os.path.dirname(os.path.abspath(__file__)), scenario)
