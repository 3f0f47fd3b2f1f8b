"""QUOTA. A tenant has a burst of 100 times its rate and uses it up; then the machine of the core that leads is frozen for 3 s. TROUBLE=0
leaves the freeze out."""

import asyncio, json, os, random, sys, uuid, signal
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins-2"))
import lab2  # noqa: E402
HOST, PREFIX = "desk.example", "/orders/"
RATE, BURST, TOKENS = 10000, 1000000, 4000

def config(version):
    return {"version": version,
        "routes": [{"name": "r1", "hostname": HOST, "pathPrefix": PREFIX, "type": "safe", "timeoutMs": 2000, "targetLatencyMs": 300,
                    "priority": 0, "service": "app", "maxAttempts": 1, "public": False, "sessionAffinity": False}],
        "services": [{"name": "app", "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"priority": 1, "unit": "token_count", "plainTokens": 200, "isolated": False, "ratePerS": RATE, "burst": BURST, "name": "first", "apiKeys": ["key-1"]}]}

class W(lab2.Worker):
    async def run(self, writer, method, path, fields, body):
        self.lab.runs.append((self.lab.now(), fields.get("x-request-id", "")))
        await asyncio.sleep(0.01)
        return await self.send(writer, 200, {"X-Request-Id": fields.get("x-request-id", ""), "X-Response-Seal": "s"}, b"x" * 100)
    def entry(self): return dict(super().entry(), slots=32)

async def send(lab, out):
    name = uuid.uuid4().hex[:16]
    at = lab.now()
    status, _, b, cut = await lab2.call("%s:%d" % (random.choice(lab.fronts), lab2.PORT_FRONT), "POST", PREFIX + "1", b"{}",
        {"X-Request-Id": name, "X-Deadline-Ms": "2000", "X-Api-Key": "key-1", "X-Token-Usage": "%d,0" % TOKENS}, 2.5, HOST)
    out.append((at, name, status))

async def case(lab, trouble):
    lab.workers = [W(lab, n, "app", lab2.ZONES[n % 3]) for n in range(6)]
    await lab.start(); await lab.put_config(config(1)); await lab.ready(); await asyncio.sleep(2.0)
    out, tasks, start = [], [], lab.now()
    async def trouble_later():
        await asyncio.sleep(3.0)
        if trouble:
            # the leader: log says "leadership taken"
            for ip in lab.cores:
                log = open(os.path.join(lab.temporary, "log-" + ip)).read()
                if "leadership taken" in log and "leadership ended" not in log:
                    lab.note("freeze of the leader %s" % ip); lab.processes[ip].send_signal(signal.SIGSTOP)
                    await asyncio.sleep(3.0); lab.processes[ip].send_signal(signal.SIGCONT)
    t = asyncio.create_task(trouble_later())
    n = 0
    while lab.now() < start + 8:
        tasks.append(asyncio.create_task(send(lab, out))); n += 1
        await asyncio.sleep(max(0, start + n / 150 - lab.now()))
    await asyncio.gather(*tasks); await t
    sent = {name: at for at, name, _ in out}
    runs = sorted((sent[name], at) for at, name in lab.runs if name in sent)
    best = 0
    for i, (s, _) in enumerate(runs):
        best = max(best, sum(1 for x in runs if s <= x[0] < s + 8 and x[1] < s + 8))
    allowed = (RATE * 8 + BURST) * 1.1 + 190000
    from collections import Counter
    lab.note("QUOTA %d tokens in 8 s, allowed %d; %s" % (best * TOKENS, allowed, Counter(x[2] for x in out)))
    per = Counter(int(s - start) for s, _ in runs); lab.note(str(sorted(per.items())))
    print("QUOTA %d allowed %d" % (best * TOKENS, allowed), Counter(x[2] for x in out), sorted(per.items()))
    return best * TOKENS <= allowed
lab2.main(FOLDER, case)
