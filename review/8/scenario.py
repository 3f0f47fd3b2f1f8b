"""A desired state makes a tenant isolated, after its requests have left shared parts of prompts in the memory of workers.
From configApplyMs after the ack on, another tenant sends requests with the same parts."""

import asyncio
import json
import os
import random
import sys
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import lab2  # noqa: E402

HOST, PREFIX, MODEL = "desk.example", "/review/", "m0"


def config(version, isolated):
    tenant = {"priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 170525, "burst": 170525}
    return {
        "version": version,
        "routes": [{"name": "r1", "hostname": HOST, "pathPrefix": PREFIX, "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 500,
                    "priority": 0, "service": "llm", "maxAttempts": 2, "public": False, "sessionAffinity": True, "resumable": True,
                    "targetGapMs": 500}],
        "services": [{"name": "llm", "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacityTokens": 157608, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": True,
                                 "backups": True, "stride": 5, "maxInFlight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                                 "models": [{"name": MODEL}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [dict(tenant, name="first", apiKeys=["key-1"], isolated=isolated),
                    dict(tenant, name="second", apiKeys=["key-2"], isolated=False)],
    }


class ModelWorker(lab2.Worker):
    """A worker that keeps the parts of prompts by salt, with the tenant whose request made each."""

    def __init__(self, *a):
        super().__init__(*a)
        self.parts, self.events = {}, []

    def entry(self):
        return dict(super().entry(), slots=64, stage="prefill_decode", models=[{"name": MODEL, "version": 1, "adapters": []}])

    async def control(self, writer, method, path, fields, body):
        if path.startswith("/v1/report"):
            answer = {"stage": "prefill_decode", "models": [{"name": MODEL, "version": 1, "adapters": []}], "busy": False, "sequence": 0,
                      "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 157608, "handles": 0, "born": self.born}
        elif path.startswith("/v1/kv-events"):
            since = int(path.partition("since=")[2] or 0)
            await asyncio.sleep(0.3)
            answer = {"bootEpoch": self.born, "next": len(self.events), "lost": False, "events": self.events[since:]}
        else:
            return await self.send(writer, 404, {}, b"")
        return await self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(answer).encode())

    async def run(self, writer, method, path, fields, body):
        name, salt, tenant = fields.get("x-request-id", ""), fields.get("x-cache-salt", ""), fields.get("x-tenant-id", "")
        prompt = [part.split(":")[0] for part in fields.get("x-prefix-hash", "").split(",")]
        used = []
        for source in [w for w in self.lab.workers if w.address == fields.get("x-kv-fetch")]:
            for part in prompt:
                if (salt, part) in source.parts:
                    self.parts.setdefault((salt, part), source.parts[(salt, part)])
        for part in prompt:
            if (salt, part) not in self.parts:
                break
            used.append((part, self.parts[(salt, part)]))
        for part in prompt[len(used):]:
            self.parts[(salt, part)] = tenant
            self.events.append([len(self.events), "+", salt, part, 800, MODEL])
        self.lab.runs.append((self.lab.now(), self, name, tenant, salt, used))
        fields = {"X-Request-Id": name, "X-Response-Seal": "seal-" + self.id, "Content-Type": "text/event-stream", "X-Weight-Versions": "1"}
        return await self.send(writer, 200, fields, b"".join(b"id: %d\ndata: x\n\n" % i for i in range(1, 6)))


async def send(lab, key, shared):
    name = uuid.uuid4().hex[:16]
    fields = {"X-Request-Id": name, "X-Deadline-Ms": "4000", "X-Api-Key": key, "X-Model": MODEL, "X-Token-Usage": "850,5",
              "X-Prefix-Hash": "%s:800,%s:50" % (shared, name)}
    status, _, _, cut = await lab2.call("%s:%d" % (random.choice(lab.fronts), lab2.PORT_FRONT), "POST", PREFIX + "1", b"{}", fields, 4.5, HOST)
    lab.note("consumer: request %s with %s, shared part %s: %s" % (name, key, shared, status if not cut else "cut"))
    return status == 200 and not cut


async def case(lab, trouble):
    lab.workers = [ModelWorker(lab, n, "llm", lab2.ZONES[n % 3]) for n in range(3)]
    await lab.start()
    await lab.put_config(config(1, False))
    await lab.ready()
    await asyncio.sleep(2.0)
    shared = ["%08x" % random.getrandbits(32) for _ in range(4)]
    served = 0
    for i in range(24):
        served += await send(lab, "key-1", shared[i % len(shared)])
        await asyncio.sleep(0.05)
    acked = await lab.put_config(config(2, trouble))
    bound = acked + lab2.BOUNDS["configApplyMs"] / 1000
    await asyncio.sleep(bound + 1.0 - lab.now())
    for i in range(24):
        served += await send(lab, "key-2", shared[i % len(shared)])
        await asyncio.sleep(0.05)

    isolated = {"first"} if trouble else set()
    broken = 0
    for at, worker, name, tenant, salt, used in lab.runs:
        foreign = [(part, maker) for part, maker in used if maker != tenant]
        wall = at > bound and any(maker in isolated or tenant in isolated for _, maker in foreign)
        broken += wall
        lab.note("worker: %s ran %s of tenant %s at %.3f, salt %s, kept parts %s%s" % (
            worker.id, name, tenant, at, salt, " ".join("%s (made by %s)" % x for x in used) or "none", ": WALL" if wall else ""))
    lab.note("WALL: %d requests used parts that a request of the isolated tenant had made" % broken)
    if served < 40:
        raise lab2.CouldNotRun("only %d of 48 requests were served" % served)
    return broken == 0


lab2.main(FOLDER, case)
