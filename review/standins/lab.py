"""Stand-ins for a small deployment on loopback addresses: the platform's list, workers, consumers and an operator,
and the project's own program as separate processes with the commands of the deploy file."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = [os.path.join(ROOT, "target", "masticladder"), "--metrics", "9460"]

# The bounds of the small sites (wire SITE).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 3000,
    "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxSkewMs": 5000,
    "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 54,
    "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 190000, "recoveryS": 12, "maxTransitMs": 120, "reuseWindowS": 10,
    "requireFencing": True, "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 6000, "versionAllMs": 8400, "ttl_max_s": 5,
}


class Record:
    """Writes record.txt, each line with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class Addresses:
    """Hands out loopback addresses of a network that nothing else uses."""

    def __init__(self):
        for _ in range(200):
            self.prefix = "127.%d.%d" % (random.randint(16, 250), random.randint(0, 255))
            try:
                with socket.socket() as s:
                    s.bind((self.prefix + ".1", 8606))
                break
            except OSError:
                continue
        self.last = 0

    def next(self):
        self.last += 1
        return "%s.%d" % (self.prefix, self.last)


async def read_message(reader):
    """Reads one HTTP message without a body of unknown length: the first line, the header and the body."""
    first = (await reader.readline()).decode("latin-1").rstrip("\r\n")
    if not first:
        raise ConnectionError("closed")
    header = {}
    while True:
        line = (await reader.readline()).decode("latin-1")
        if not line:
            raise ConnectionError("closed in the header")
        line = line.rstrip("\r\n")
        if not line:
            break
        name, _, value = line.partition(":")
        header[name.strip().lower()] = value.strip()
    return first, header


async def read_chunks(reader, sink):
    """Reads a chunked body to its end and passes the pieces to sink."""
    while True:
        size = int((await read_line(reader)).split(b";")[0], 16)
        if size == 0:
            await read_line(reader)
            return
        sink(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise ConnectionError("closed in a body")
    return line.strip()


async def read_body(reader, header, sink):
    """Reads the body of a message. It raises an error if the body isn't complete."""
    if header.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, sink)
    elif "content-length" in header:
        sink(await reader.readexactly(int(header["content-length"])))


async def call(address, method, path, body=None, header=None, timeout=1.0):
    """Makes one call on a new connection and returns the status and the body."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + address, "Connection: close"]
            if body is not None:
                lines += ["Content-Type: application/json", "Content-Length: %d" % len(data)]
            for name, value in (header or {}).items():
                lines.append("%s: %s" % (name, value))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, answered = await read_message(reader)
            parts = []
            if method != "HEAD":
                await read_body(reader, answered, parts.append)
            return int(first.split()[1]), b"".join(parts)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class PlatformList:
    """The platform's list of workers."""

    def __init__(self, workers):
        self.workers = workers

    async def start(self, ip):
        self.address = ip + ":8601"
        self.server = await asyncio.start_server(self.serve, ip, 8601)

    async def serve(self, reader, writer):
        try:
            while True:
                await read_message(reader)
                entries = [w.entry() for w in self.workers]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Run:
    """One request at a worker."""

    def __init__(self, request, worker, header, at):
        self.request, self.worker, self.header, self.at = request, worker, header, at
        self.ended = None


class Worker:
    """A worker of a service. With models it is an engine, whose streams have pieces with a pause between them."""

    def __init__(self, lab, service, ip, zone, slots, models=None, pieces=9, pause=0.01, work=0.03):
        self.lab, self.service, self.ip, self.zone, self.slots = lab, service, ip, zone, slots
        self.models = dict(models) if models else None
        self.pieces, self.pause, self.work = pieces, pause, work
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence, self.highest_fence, self.busy, self.running = 0, 0, False, 0
        self.orders = []

    async def start(self):
        self.address = self.ip + ":8080"
        self.server = await asyncio.start_server(self.serve, self.ip, 8080)

    def entry(self):
        e = {
            "id": self.id, "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "born": self.born,
        }
        if self.models is not None:
            e["stage"], e["models"] = "prefill_decode", self.listed_models()
        return e

    def listed_models(self):
        return [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]

    async def serve(self, reader, writer):
        try:
            while True:
                first, header = await read_message(reader)
                body = []
                await read_body(reader, header, body.append)
                method, path, _ = first.split(" ", 2)
                await self.answer(writer, method, path, header, b"".join(body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, path, header, body):
        expected = header.get("x-expect-instance")
        if expected and expected != self.id:
            return self.simple(writer, 421, header, {"X-Instance-Id": self.id, "X-Not-Executed": "1"})
        if path == "/healthz":
            return self.simple(writer, 200, header, {"X-Instance-Id": self.id})
        if path == "/v1/report":
            return self.simple(writer, 200, header, {}, json.dumps(self.report()).encode())
        if path == "/v1/order":
            return self.simple(writer, self.order(json.loads(body)), header, {})
        if path.startswith("/v1/"):
            return self.simple(writer, 404, header, {})
        if self.models is None:
            return await self.run_call(writer, path, header)
        model = header.get("x-model")
        wanted = header.get("x-expect-version")
        if wanted and wanted != str(self.models.get(model)):
            return self.simple(writer, 421, header, {"X-Instance-Id": self.id, "X-Not-Executed": "1"})
        if self.busy:
            return self.simple(writer, 503, header, {"X-Not-Executed": "1"})
        return await self.run_stream(writer, model, header)

    def simple(self, writer, status, header, extra, body=b""):
        lines = ["HTTP/1.1 %d Answer" % status, "Content-Length: %d" % len(body), "Content-Type: application/json"]
        if "x-request-id" in header:
            lines.append("X-Request-Id: " + header["x-request-id"])
        lines += ["%s: %s" % item for item in extra.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def report(self):
        return {
            "stage": "prefill_decode", "models": self.listed_models() if self.models else [], "busy": self.busy, "sequence": self.sequence,
            "queued": 0, "active": self.running, "kvUsed": 0, "kvTotal": 157608, "handles": 0, "born": self.born,
        }

    def order(self, o):
        """Takes an order for new weights, as the page on orders tells."""
        self.lab.record("order at %s: %s" % (self.id, json.dumps(o)))
        self.orders.append((self.lab.record.now(), o))
        if "holder" not in o or "fencingToken" not in o or o.get("operation") != "version" or o.get("model") not in self.models:
            return 400
        if o["fencingToken"] < self.highest_fence:
            return 412
        self.highest_fence = o["fencingToken"]
        if self.busy or ("expected" in o and o["expected"] != self.sequence):
            return 409
        if self.models[o["model"]] == o["version"]:
            return 200
        self.sequence += 1
        self.busy = True
        self.lab.spawn(self.load(o))
        return 202

    async def load(self, o):
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.29)
        self.models[o["model"]] = o["version"]
        self.busy = False
        self.lab.record("weights at %s: %s" % (self.id, json.dumps(self.models)))

    async def run_call(self, writer, path, header):
        run = self.begin(header)
        try:
            await asyncio.sleep(self.work)
            self.simple(writer, 200, header, {"X-Response-Seal": "seal-" + self.id}, b"done")
            await writer.drain()
        finally:
            self.end(run)

    async def run_stream(self, writer, model, header):
        run = self.begin(header)
        run.version = self.models[model]
        try:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: %s\r\nX-Response-Seal: seal-%s\r\nX-Weight-Versions: %d\r\n\r\n"
            writer.write((head % (header["x-request-id"], self.id, run.version)).encode())
            first = int(header.get("last-event-id", "0")) + 1
            for n in range(first, self.pieces + 1):
                await asyncio.sleep(self.pause)
                event = b"id: %d\ndata: piece %d of %d\n\n" % (n, n, self.pieces)
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    raise ConnectionError("closed")
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.end(run)

    def begin(self, header):
        run = Run(header.get("x-request-id"), self, header, self.lab.record.now())
        self.running += 1
        self.lab.runs.setdefault(run.request, []).append(run)
        self.lab.record("run %s at %s tenant=%s model=%s" % (run.request, self.id, header.get("x-tenant-id"), header.get("x-model")))
        return run

    def end(self, run):
        self.running -= 1
        run.ended = self.lab.record.now()


class Host:
    """One machine of the system with its process."""

    def __init__(self, lab, name, role, ip, zone):
        self.lab, self.name, self.role, self.ip, self.zone = lab, name, role, ip, zone
        self.folder = os.path.join(lab.folder, name)
        os.makedirs(self.folder)
        self.process = None
        self.bootstrap = True
        self.ended_at = None

    @property
    def frontend(self):
        return self.ip + ":8606"

    @property
    def control(self):
        return self.ip + ":8608"

    def settings(self):
        core = self.role == "core"
        s = {
            "nodeName": self.name, "role": "control" if core else "entry", "instanceClass": self.role,
            "serves": ["control_plane", "directory"] if core else ["frontend"], "ip": self.ip, "zone": self.zone, "region": "scot-central",
            "zones": {z: "scot-central" for z in self.lab.zones},
            "listen": {"controlPlane": self.control, "directory": self.ip + ":8603"} if core else {"frontend": self.frontend, "readiness": self.ip + ":8605"},
            "internalPortRange": [7600, 7615], "seedNodes": [h.control for h in self.lab.cores[:3]], "bootstrap": self.bootstrap, "lossCounts": core,
            "limits": {"cpuShare": 0.24 if core else 0.4, "cores": 1, "memoryMb": 280 if core else 134, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128 if core else 0},
            "dataDir": os.path.join(self.folder, "data") if core else None, "discovery": "cloud_api", "entryPoint": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": self.lab.bounds, "configMode": "highest",
            "cloudApi": {"address": self.lab.list.address, "ratePerS": 42.0, "duties": [], "maxLagMs": 800},
        }
        return s

    async def start(self):
        path = os.path.join(self.folder, "settings.yaml")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(self.settings(), f)  # JSON is YAML.
        log = open(os.path.join(self.folder, "log"), "a", encoding="utf-8")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["MASTICLADDER_BOOT"] = path
        self.process = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.started_at, self.ended_at = self.lab.record.now(), None
        self.lab.record("start %s, process %d" % (self.name, self.process.pid))
        self.lab.spawn(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if process is self.process:
            self.ended_at = self.lab.record.now()
        self.lab.record("end %s, code %s" % (self.name, code))

    def signal(self, number):
        self.lab.record("signal %s to %s" % (signal.Signals(number).name, self.name))
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        try:
            status, _ = await call(self.ip + ":8605", "GET", "/v1/readiness", timeout=0.5)
            return status == 200
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Lab:
    """A small deployment."""

    def __init__(self, folder, bounds=None):
        self.record = Record(folder)
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.zones = ["zone-forth", "zone-clyde", "zone-tay"]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.addresses = Addresses()
        self.workers, self.cores, self.fronts = [], [], []
        self.runs = {}
        self.tasks = set()
        self.request_number = 0

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def new_request_id(self):
        self.request_number += 1
        return "r%08d" % self.request_number

    def zone(self, n):
        return self.zones[n % len(self.zones)]

    def add_worker(self, service, slots, **properties):
        w = Worker(self, service, self.addresses.next(), self.zone(len(self.workers)), slots, **properties)
        self.workers.append(w)
        return w

    async def start(self, cores, fronts):
        self.list = PlatformList(self.workers)
        await self.list.start(self.addresses.next())
        for w in self.workers:
            await w.start()
        self.cores = [Host(self, "core-%d" % (i + 1), "core", self.addresses.next(), self.zone(i)) for i in range(cores)]
        self.fronts = [Host(self, "frontend-%d" % (i + 1), "frontend", self.addresses.next(), self.zone(i)) for i in range(fronts)]
        for h in self.cores + self.fronts:
            await h.start()

    async def order(self, method, path, body=None, timeout=20.0):
        """Makes an operator's call until it gets a clear answer, at one daemon after the other."""
        end = self.record.now() + timeout
        n = 0
        while self.record.now() < end:
            h = self.cores[n % len(self.cores)]
            n += 1
            try:
                status, answer = await call(h.control, method, path, body)
            except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
                status, answer = 0, str(e).encode()
            summary = "" if body is None else " version=%s" % body.get("version")
            self.record("operator: %s %s%s at %s: %d" % (method, path, summary, h.name, status))
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status, answer
            await asyncio.sleep(0.2)
        raise RuntimeError("no answer to %s %s" % (method, path))

    async def wait_ready(self, timeout=20.0):
        end = self.record.now() + timeout
        while self.record.now() < end:
            if all([await h.ready() for h in self.fronts]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the machines aren't ready")

    async def resolve(self, hostname, zone):
        """Asks the directory for addresses: up to three daemons, one second each."""
        for h in random.sample(self.cores, min(3, len(self.cores))):
            try:
                status, body = await call(h.ip + ":8603", "GET", "/v1/resolve?name=%s&region=scot-central&zone=%s" % (hostname, zone))
                if status == 200:
                    a = json.loads(body)
                    return a["addresses"], a["ttlS"]
            except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
        return [], 0

    async def stop(self):
        for h in self.cores + self.fronts:
            if h.process is not None and h.process.returncode is None:
                h.process.send_signal(signal.SIGCONT)
                h.process.kill()
        for h in self.cores + self.fronts:
            if h.process is not None:
                await h.process.wait()
        for task in list(self.tasks):
            task.cancel()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)


def document(version, tenants, engine_models=("m0",), stream_timeout_ms=8000):
    """A desired state like those of the small sites."""
    models = [{"name": m} for m in engine_models]
    return {
        "version": version,
        "routes": [
            {"name": "review", "hostname": "jepu9.example", "pathPrefix": "/lepu270/", "type": "streaming", "timeoutMs": stream_timeout_ms, "targetLatencyMs": 800,
             "priority": 1, "service": "llm-desk", "maxAttempts": 1, "public": False, "sessionAffinity": True, "resumable": False, "targetGapMs": 500},
            {"name": "commit", "hostname": "jepu9.example", "pathPrefix": "/fiti832/", "type": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150,
             "priority": 2, "service": "order-app", "maxAttempts": 1, "public": False, "sessionAffinity": False, "resumable": False},
        ],
        "services": [
            {"name": "llm-desk", "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCapacityTokens": 157608, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": True, "backups": True, "stride": 5,
                        "maxInFlight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": models}},
            {"name": "order-app", "healthCheckPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants,
    }


def tenant(name, key, rate, burst):
    return {"name": name, "apiKeys": [key], "priority": 1, "unit": "token_count", "plainTokens": 200, "isolated": False, "ratePerS": rate, "burst": burst}


class Consumer:
    """Keeps one channel and sends one request after the other on it, as the page on ingress tells. It keeps an answer of the
    directory for ttl_factor times its ttlS."""

    def __init__(self, lab, hostname, key, ttl_factor=1):
        self.lab, self.hostname, self.key, self.ttl_factor = lab, hostname, key, ttl_factor
        self.known_until, self.known, self.failed = 0.0, [], set()
        self.channel = None
        self.address = None

    async def addresses(self):
        if self.lab.record.now() >= self.known_until:
            found, ttl = await self.lab.resolve(self.hostname, random.choice(self.lab.zones))
            if found:
                self.known, self.failed = found, set()
                self.known_until = self.lab.record.now() + min(ttl, self.lab.bounds["ttl_max_s"]) * self.ttl_factor
        return [a for a in self.known if a not in self.failed]

    def close(self):
        if self.channel:
            self.channel[1].close()
        self.channel = None

    async def send(self, method, path, header, body=b"", budget=8.0):
        """Sends one request. The result tells the address, when it was sent and ended, the status, whether the answer is
        complete, and its body."""
        known = await self.addresses()
        if self.channel and self.address not in known:
            self.close()
        result = {"id": self.lab.new_request_id(), "status": 0, "complete": False, "body": b"", "reused": self.channel is not None}
        if not self.channel:
            if not known:
                result.update(address=None, sent=self.lab.record.now(), ended=self.lab.record.now())
                return result
            self.address = random.choice(known)
            host, port = self.address.rsplit(":", 1)
            try:
                self.channel = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
            except (OSError, asyncio.TimeoutError):
                self.failed.add(self.address)
                result.update(address=None, sent=self.lab.record.now(), ended=self.lab.record.now())
                return result
        result["address"] = self.address
        result["sent"] = self.lab.record.now()
        try:
            await asyncio.wait_for(self.exchange(result, method, path, header, body, budget), budget)
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as e:
            result["error"] = "%s %s" % (type(e).__name__, e)
            self.close()
        result["ended"] = self.lab.record.now()
        self.lab.record("request %s to %s sent=%.3f %s status=%d complete=%s %s" % (
            result["id"], self.address, result["sent"], path, result["status"], result["complete"], result.get("error", "")))
        return result

    async def exchange(self, result, method, path, header, body, budget):
        reader, writer = self.channel
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + self.hostname, "X-Request-Id: " + result["id"], "X-Api-Key: " + self.key,
                 "X-Deadline-Ms: %d" % (budget * 1000), "Content-Length: %d" % len(body)]
        lines += ["%s: %s" % item for item in header.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        first, answered = await read_message(reader)
        result["status"] = int(first.split()[1])
        result["retry_after"] = float(answered.get("retry-after", "0") or 0)
        result["sealed"] = "x-response-seal" in answered
        parts = []

        def sink(p):
            parts.append(p)
            result["body"] = b"".join(parts)

        await read_body(reader, answered, sink)
        result["complete"] = True
        if answered.get("connection", "").lower() == "close":
            self.close()


def main(folder, scenario, bounds=None):
    """Runs a scenario and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        lab = Lab(folder, bounds)
        try:
            return await asyncio.wait_for(scenario(lab, trouble), 110)
        finally:
            await lab.stop()

    try:
        broken, text = asyncio.run(play())
    except Exception as e:  # pylint: disable=broad-except
        print("the case couldn't run: %s %s" % (type(e).__name__, e))
        sys.exit(2)
    print(text)
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as f:
        f.write(text + "\n")
    sys.exit(1 if broken else 0)
