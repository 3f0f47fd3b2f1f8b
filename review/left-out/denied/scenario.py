"""DENIED. A desired state moves an API key from one tenant to another while requests with it wait for a place at a worker. TROUBLE=0 leaves
the key where it is."""

import asyncio, json, os, random, sys, uuid
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins-2"))
import lab2  # noqa: E402
HOST, PREFIX, MODEL = "desk.example", "/review/", "m0"
SLOTS, WORK, RATE = 16, 1.0, 90

def config(version, owner):
    tenant = {"priority": 1, "unit": "token_count", "plainTokens": 200, "isolated": False, "ratePerS": 0, "burst": 0}
    keys = {"first": ["key-a"], "second": ["key-b"]}
    keys[owner].append("key-1")
    return {
        "version": version,
        "routes": [{"name": "r1", "hostname": HOST, "pathPrefix": PREFIX, "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 2000,
                    "priority": 0, "service": "llm", "maxAttempts": 2, "public": False, "sessionAffinity": True, "resumable": True,
                    "targetGapMs": 500}],
        "services": [{"name": "llm", "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False,
                      "engine": {"slots": SLOTS, "kvCapacityTokens": 157608, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": True,
                                 "backups": True, "stride": 5, "maxInFlight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                                 "models": [{"name": MODEL}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [dict(tenant, name=n, apiKeys=keys[n]) for n in ("first", "second")],
    }

class W(lab2.Worker):
    running = 0
    def entry(self):
        return dict(super().entry(), slots=SLOTS, stage="prefill_decode", models=[{"name": MODEL, "version": 1, "adapters": []}])
    async def control(self, writer, method, path, fields, body):
        if path.startswith("/v1/report"):
            answer = {"stage": "prefill_decode", "models": [{"name": MODEL, "version": 1, "adapters": []}], "busy": False, "sequence": 0,
                      "queued": 0, "active": self.running, "kvUsed": 0, "kvTotal": 157608, "handles": 0, "born": self.born}
        elif path.startswith("/v1/kv-events"):
            await asyncio.sleep(0.3)
            answer = {"bootEpoch": self.born, "next": 0, "lost": False, "events": []}
        else:
            return await self.send(writer, 404, {}, b"")
        return await self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(answer).encode())
    async def run(self, writer, method, path, fields, body):
        name = fields.get("x-request-id", "")
        self.lab.runs.append((self.lab.now(), self, name, fields.get("x-tenant-id", "")))
        if self.running >= SLOTS:
            return await self.send(writer, 503, {"X-Request-Id": name, "X-Not-Executed": "1"}, b"")
        self.running += 1
        try:
            await asyncio.sleep(WORK)
        finally:
            self.running -= 1
        h = {"X-Request-Id": name, "X-Response-Seal": "seal-" + self.id, "Content-Type": "text/event-stream", "X-Weight-Versions": "1"}
        return await self.send(writer, 200, h, b"".join(b"id: %d\ndata: x\n\n" % i for i in range(1, 6)))

async def send(lab, out):
    name = uuid.uuid4().hex[:16]
    fields = {"X-Request-Id": name, "X-Deadline-Ms": "4000", "X-Api-Key": "key-1", "X-Model": MODEL, "X-Token-Usage": "850,5",
              "X-Prefix-Hash": "%08x:800,%s:50" % (random.getrandbits(5), name)}
    at = lab.now()
    status, _, b, cut = await lab2.call("%s:%d" % (random.choice(lab.fronts), lab2.PORT_FRONT), "POST", PREFIX + "1", b"{}", fields, 4.5, HOST)
    out.append((at, lab.now(), status, b[:150] if status != 200 else b""))
    lab.note("consumer: request %s sent %.3f: %s %s" % (name, at, status, b[:150] if status != 200 else ""))

async def case(lab, trouble):
    lab.workers = [W(lab, n, "llm", lab2.ZONES[n % 3]) for n in range(3)]
    await lab.start()
    await lab.put_config(config(1, "first"))
    await lab.ready()
    await asyncio.sleep(2.0)
    out, tasks = [], []
    start, n, acked = lab.now(), 0, None
    async def change():
        await asyncio.sleep(5.0)
        return await lab.put_config(config(2, "second" if trouble else "first"))
    c = asyncio.create_task(change())
    while lab.now() < start + 10:
        tasks.append(asyncio.create_task(send(lab, out)))
        n += 1
        await asyncio.sleep(max(0, start + n / RATE - lab.now()))
    await asyncio.gather(*tasks)
    acked = await c
    from collections import Counter
    lab.note("%s" % Counter(x[2] for x in out))
    w = [x[1]-x[0] for x in out if x[2] == 200]
    lab.note("mean wait of 200: %.2f" % (sum(w)/max(1,len(w))))
    bad = [x for x in out if x[2] == 401]
    lab.note("401: %d of %d, allowed %d; sent %s" % (len(bad), len(out), 5+len(out)//500, [(round(x[0]-acked,2), round(x[1]-acked,2)) for x in bad]))
    print(len(bad), len(out), Counter(x[2] for x in out), "%.2f" % (sum(w)/max(1,len(w))))
    return len(bad) <= 5 + len(out) / 500
lab2.main(FOLDER, case)
