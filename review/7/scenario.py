"""Another writer leaves an entry of bytes that cannot be read in the platform's list for 3 s. Later the workers of the
service are replaced: the new ones are listed, then the old ones as draining, and 9 s later the old ones leave."""

import asyncio
import os
import random
import signal
import sys
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import lab2  # noqa: E402

HOST, PREFIX = "shop.example", "/orders/"
BAD_AT, BAD_FOR, NEW_AT, DRAIN_AT, GONE_AT, END_AT = 4.0, 3.0, 9.0, 11.0, 20.0, 26.0
# Margin for a request that is on its way when the time has passed.
ON_THE_WAY = 0.5


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


async def consume(lab, sent, until):
    """Sends 20 requests a second on new channels to addresses that the directory names."""
    addresses, tasks, resolve_at = [], [], 0.0
    while lab.now() < until:
        if lab.now() >= resolve_at:
            addresses = await lab.resolve("zone-a") or addresses
            resolve_at = lab.now() + 2.0
        if addresses:
            tasks.append(asyncio.create_task(consume_one(lab, sent, random.choice(addresses))))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def consume_one(lab, sent, address):
    name, at = uuid.uuid4().hex[:16], lab.now()
    status, fields, _, cut = await lab2.call(
        address, "POST", PREFIX + "1", b"{}", {"X-Request-Id": name, "X-Deadline-Ms": "3000", "X-Api-Key": "key-1"}, 3.5, HOST)
    ok = status == 200 and not cut and "x-response-seal" in fields
    sent[name] = (at, ok, status)
    lab.note("consumer: request %s sent at %.3f to %s: %s" % (name, at, address, status if not cut else "cut"))


async def case(lab, trouble):
    lab.workers = [lab2.Worker(lab, n, "orders", lab2.ZONES[n % 3]) for n in range(3)]
    old = list(lab.workers)
    await lab.start()
    await lab.put_config(config())
    await lab.ready()
    await asyncio.sleep(2.0)
    start = lab.now()
    lab.note("traffic begins")
    sent = {}
    traffic = asyncio.create_task(consume(lab, sent, start + END_AT))

    async def at(t):
        await asyncio.sleep(max(0.0, start + t - lab.now()))

    await at(BAD_AT)
    if trouble:
        # The entry was cut off when it was written.
        lab.extra_entry = b'{"service":"orders","address":"%s.130:8747","zone":"zone-a","id":"i-0badc0de","slots":' % lab.block.encode()
        lab.note("platform: another writer's entry that cannot be read is in the list")
    await at(BAD_AT + BAD_FOR)
    lab.extra_entry = None
    lab.note("platform: the list has only whole entries")
    await at(NEW_AT)
    new = [lab2.Worker(lab, n, "orders", lab2.ZONES[n % 3]) for n in range(10, 13)]
    for w in new:
        await w.start()
    lab.workers = old + new
    lab.note("platform: new workers %s are listed" % " ".join(w.id for w in new))
    await at(DRAIN_AT)
    for w in old:
        w.state = "draining"
    drained = lab.now()
    lab.note("platform: old workers %s are listed as draining" % " ".join(w.id for w in old))
    await at(GONE_AT)
    for w in old:
        w.state = "gone"
        await w.stop()
    gone = lab.now()
    lab.note("platform: the old workers have left the list and their addresses")
    await traffic

    for at_, w, name, _ in sorted(lab.runs, key=lambda r: r[0]):
        lab.note("worker: %s ran request %s at %.3f" % (w.id, name, at_))
    bound = drained + lab2.BOUNDS["drainTimeoutMs"] / 1000 + ON_THE_WAY
    late = [name for at_, w, name, _ in lab.runs if w in old and at_ > bound]
    after = [x for x in sent.values() if x[0] > gone + 2.0]
    lab.note("%d requests sent, %d answered with success" % (len(sent), sum(x[1] for x in sent.values())))
    lab.note("DRAIN: %d requests reached a draining worker later than drainTimeoutMs after the list showed it" % len(late))
    lab.note("%d requests were sent from 2 s after the old workers had left, %d of them answered with success" % (len(after), sum(x[1] for x in after)))
    if sum(x[1] for x in sent.values() if x[0] < start + BAD_AT) < 20:
        raise lab2.CouldNotRun("the requests before the disruption were not served")

    # For the record only: does each control process end within the grace period?
    for ip in lab.cores:
        lab.processes[ip].send_signal(signal.SIGTERM)
    for ip in lab.cores:
        try:
            await asyncio.wait_for(lab.processes[ip].wait(), lab2.BOUNDS["gracePeriodS"])
            lab.note("control process %s ended after SIGTERM" % ip)
        except asyncio.TimeoutError:
            lab.note("control process %s still runs gracePeriodS after SIGTERM" % ip)
    return not late and (not after or sum(x[1] for x in after) * 4 >= len(after))


lab2.main(FOLDER, case)
