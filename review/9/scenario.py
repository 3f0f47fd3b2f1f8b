"""The system starts for the first time, with five machines of the core. One of the three that the seeds name is lost for good
0.1 s after its start; an empty machine at another address takes its place 1 s later."""

import asyncio
import json
import os
import sys
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import lab2  # noqa: E402

HOST, PREFIX = "shop.example", "/orders/"
LOST_AFTER, SUCCESSOR_AFTER, END_AT = 0.1, 1.0, 25.0


def config():
    return {
        "version": 1,
        "routes": [{"name": "r1", "hostname": HOST, "pathPrefix": PREFIX, "type": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 300,
                    "priority": 0, "service": "orders", "maxAttempts": 1, "public": False, "sessionAffinity": False, "resumable": False}],
        "services": [{"name": "orders", "healthCheckPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "t1", "apiKeys": ["key-1"], "priority": 1, "unit": "token_count", "plainTokens": 200, "isolated": False,
                     "ratePerS": 170525, "burst": 170525}],
    }


async def case(lab, trouble):
    lab.workers = [lab2.Worker(lab, n, "orders", lab2.ZONES[n % 3]) for n in range(3)]
    lab.cores = ["%s.%d" % (lab.block, 1 + i) for i in range(5)]
    await lab.start()
    lost = lab.cores[1]
    if trouble:
        await asyncio.sleep(LOST_AFTER)
        lab.processes[lost].kill()
        await lab.processes[lost].wait()
        lab.note("machine %s of the core is lost for good" % lost)
        await asyncio.sleep(SUCCESSOR_AFTER)
        successor = "%s.%d" % (lab.block, 9)
        lab.bootstrap = False
        await lab.start_machine(successor, "control", lab2.ZONES[1])
        lab.cores[1] = successor
        lab.note("machine %s takes its place" % successor)
    began = lab.now()
    body, acked, served, sent, i = json.dumps(config()).encode(), None, 0, 0, 0
    while lab.now() < began + END_AT:
        # The operator sends the first desired state until it is acknowledged, to each machine of the core in turn.
        if acked is None:
            address = "%s:%d" % (lab.cores[i % 5], lab2.PORT_CONTROL)
            status, _, answer, _ = await lab2.call(address, "PUT", "/v1/config", body, {"Content-Type": "application/json"}, 1.0)
            lab.note("operator: PUT /v1/config to %s: %s %s" % (address, status or "no answer", answer[:100]))
            if status == 200:
                acked = lab.now()
        fields = {"X-Request-Id": uuid.uuid4().hex[:16], "X-Deadline-Ms": "3000", "X-Api-Key": "key-1"}
        status, _, _, cut = await lab2.call("%s:%d" % (lab.fronts[i % 2], lab2.PORT_FRONT), "POST", PREFIX + "1", b"{}", fields, 3.5, HOST)
        lab.note("consumer: request %s: %s" % (fields["X-Request-Id"], status if not cut else "cut"))
        sent, served = sent + 1, served + (status == 200 and not cut)
        i += 1
        await asyncio.sleep(0.3)
    reads = []
    for ip in lab.cores * 3:
        status, _, answer, _ = await lab2.call("%s:%d" % (ip, lab2.PORT_CONTROL), "GET", "/v1/config", timeout=2.0)
        lab.note("operator: GET /v1/config from %s: %s" % (ip, status or "no answer"))
        reads.append(status == 200 and answer == body)
        await asyncio.sleep(0.3)
    lab.note("the desired state was %s, %d of %d requests were served" % ("acknowledged" if acked else "never acknowledged", served, sent))
    return acked is not None and any(reads)


lab2.main(FOLDER, case)
