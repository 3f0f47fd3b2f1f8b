"""A small deployment on loopback addresses: the project's programs as separate processes, and stand-ins of the platform,
the workers, the consumers and the operator, as the users' pages describe them."""

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

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "masticladder")
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 3000,
    "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxSkewMs": 5000,
    "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 54,
    "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 190000, "recoveryS": 12, "maxTransitMs": 120, "reuseWindowS": 10,
    "requireFencing": True, "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 6000, "versionAllMs": 8400, "ttl_max_s": 5,
}
ZONES = ["zone-a", "zone-b", "zone-c"]
# Ports of the machines, the same on all of them.
PORT_FRONT, PORT_READY, PORT_CONTROL, PORT_DIRECTORY, PORT_METRICS, PORT_PEER = 8606, 8605, 8608, 8607, 9460, 7600
PORT_WORKER, PORT_CLOUD = 8747, 8601


class CouldNotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def free_block():
    """Returns the first three bytes of a block of loopback addresses on which no port of the lab is taken."""
    for _ in range(200):
        block = "127.%d.%d" % (random.randint(16, 250), random.randint(1, 250))
        try:
            for port in (PORT_FRONT, PORT_PEER, PORT_WORKER, PORT_CLOUD, PORT_CONTROL):
                with socket.socket() as s:
                    s.bind((block + ".1", port))
            return block
        except OSError:
            continue
    raise CouldNotRun("no free block of loopback addresses")


async def read_head(reader):
    """Returns the first line and the header fields, with names in lower case, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, to_end=False):
    """Returns the body; raises IncompleteReadError if it is cut."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if to_end else b""


async def call(address, method, path, body=b"", fields=None, timeout=2.0, host=None):
    """Sends one request on a new channel. Returns (status, fields, body, cut); the status is 0 without an answer."""
    try:
        return await asyncio.wait_for(exchange(address, method, path, body, fields or {}, host or address), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError, ValueError, IndexError):
        return 0, {}, b"", True


async def exchange(address, method, path, body, fields, host):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)
        for name, value in fields.items():
            head += "%s: %s\r\n" % (name, value)
        if body or method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        first = await read_head(reader)
        if first is None:
            return 0, {}, b"", True
        status = int(first[0].split(" ")[1])
        try:
            return status, first[1], await read_body(reader, first[1], True), False
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return status, first[1], b"", True
    finally:
        writer.close()


class Worker:
    """A sound worker. A subclass decides what a request does."""

    def __init__(self, lab, number, service, zone):
        self.lab, self.service, self.zone = lab, service, zone
        self.id = "i-%08x" % random.getrandbits(32)
        self.ip = "%s.%d" % (lab.block, 100 + number)
        self.address = "%s:%d" % (self.ip, PORT_WORKER)
        self.state, self.server, self.channels = "ready", None, set()
        self.born = int(time.time() * 1000)
        self.version = 1

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
            "state": self.state, "coldRemainingMs": 0, "id": self.id, "born": self.born,
        }

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, PORT_WORKER)

    async def stop(self):
        """Ends the worker with its channels."""
        self.server.close()
        for writer in list(self.channels):
            writer.close()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                first = await read_head(reader)
                if first is None:
                    return
                method, path = first[0].split(" ")[:2]
                body = await read_body(reader, first[1])
                if not await self.answer(writer, method, path, first[1], body):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The channel or the run has ended.
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def send(self, writer, status, fields, body):
        head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
        for name, value in fields.items():
            head += "%s: %s\r\n" % (name, value)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        return True

    async def answer(self, writer, method, path, fields, body):
        if fields.get("x-expect-instance", self.id) != self.id:
            return await self.send(writer, 421, {"X-Request-Id": fields.get("x-request-id", "")}, b"")
        if path == "/healthz":
            return await self.send(writer, 200 if self.state == "ready" else 503, {"X-Instance-Id": self.id}, b"")
        if path.startswith("/v1/"):
            return await self.control(writer, method, path, fields, body)
        return await self.run(writer, method, path, fields, body)

    async def control(self, writer, method, path, fields, body):
        return await self.send(writer, 404, {}, b"")

    async def run(self, writer, method, path, fields, body):
        now = self.lab.now()
        self.lab.runs.append((now, self, fields.get("x-request-id", ""), fields))
        await asyncio.sleep(0.01)
        return await self.send(writer, 200, {"X-Request-Id": fields.get("x-request-id", ""), "X-Response-Seal": "seal-" + self.id}, b"x" * 800)


class Lab:
    def __init__(self, folder, fronts=2, cores=3):
        self.folder = folder
        self.block = free_block()
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.processes, self.workers, self.runs = {}, [], []
        # extra_entry is bytes that another writer has put into the list, None for none.
        self.extra_entry = None
        # bootstrap is set while the whole system starts for the first time.
        self.bootstrap = True
        self.cores = ["%s.%d" % (self.block, 1 + i) for i in range(cores)]
        self.fronts = ["%s.%d" % (self.block, 21 + i) for i in range(fronts)]
        self.cloud_ip = self.block + ".90"

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write("%8.3f  %s\n" % (self.now(), text))
        self.record.flush()

    def settings(self, ip, role, zone):
        control = role == "control"
        listen = {"controlPlane": "%s:%d" % (ip, PORT_CONTROL), "directory": "%s:%d" % (ip, PORT_DIRECTORY)} if control else {
            "frontend": "%s:%d" % (ip, PORT_FRONT), "readiness": "%s:%d" % (ip, PORT_READY)}
        data = os.path.join(self.temporary, "disk-" + ip)
        if control:
            os.makedirs(data, exist_ok=True)
        return {
            "nodeName": "%s-%s" % (role, ip), "role": role, "instanceClass": "core" if control else "frontend",
            "serves": ["control_plane", "directory"] if control else ["frontend"], "ip": ip, "zone": zone, "region": "r",
            "zones": {z: "r" for z in ZONES}, "listen": listen, "internalPortRange": [PORT_PEER, PORT_PEER + 15],
            "seedNodes": ["%s:%d" % (c, PORT_CONTROL) for c in self.cores[:3]], "bootstrap": self.bootstrap, "lossCounts": control,
            "limits": {"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 128 if control else 0},
            "dataDir": data if control else None, "discovery": "cloud_api", "entryPoint": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS, "configMode": "highest",
            "cloudApi": {"address": "%s:%d" % (self.cloud_ip, PORT_CLOUD), "ratePerS": 44.0, "duties": [], "maxLagMs": 800},
        }

    async def start_machine(self, ip, role, zone):
        # JSON is YAML, the format of the settings file.
        path = os.path.join(self.temporary, "settings-%s.yaml" % ip)
        with open(path, "w", encoding="utf-8") as f:
            json.dump(self.settings(ip, role, zone), f)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["MASTICLADDER_BOOT"] = path
        log = open(os.path.join(self.temporary, "log-%s" % ip), "ab")
        self.processes[ip] = await asyncio.create_subprocess_exec(
            PROGRAM, "--metrics", str(PORT_METRICS), cwd=REPOSITORY, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CouldNotRun("target/masticladder is not built")
        self.cloud = await asyncio.start_server(self.serve_cloud, self.cloud_ip, PORT_CLOUD)
        for w in self.workers:
            await w.start()
        for i, ip in enumerate(self.cores):
            await self.start_machine(ip, "control", ZONES[i % len(ZONES)])
        for i, ip in enumerate(self.fronts):
            await self.start_machine(ip, "entry", ZONES[i % len(ZONES)])

    async def serve_cloud(self, reader, writer):
        """Serves the platform's list, in one page."""
        try:
            while True:
                first = await read_head(reader)
                if first is None:
                    return
                entries = [json.dumps(w.entry()).encode() for w in self.workers if w.state != "gone"]
                if self.extra_entry is not None:
                    entries.append(self.extra_entry)
                body = b'{"instances":[' + b",".join(entries) + b'],"next":null}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def put_config(self, config, timeout=20.0):
        """Sends a desired state until it is acknowledged. Returns the time of the ack."""
        body, until, i = json.dumps(config).encode(), self.now() + timeout, 0
        while self.now() < until:
            address = "%s:%d" % (self.cores[i % len(self.cores)], PORT_CONTROL)
            status, _, answer, _ = await call(address, "PUT", "/v1/config", body, {"Content-Type": "application/json"}, 1.0)
            if status == 200:
                self.note("operator: desired state %d acknowledged" % config["version"])
                return self.now()
            if status in (400, 409, 412, 413, 422):
                raise CouldNotRun("the desired state was refused: %d %s" % (status, answer[:200]))
            i += 1
            await asyncio.sleep(0.2)
        raise CouldNotRun("no ack of desired state %d" % config["version"])

    async def ready(self, timeout=20.0):
        until = self.now() + timeout
        for ip in self.fronts:
            while (await call("%s:%d" % (ip, PORT_READY), "GET", "/v1/readiness", timeout=1.0))[0] != 200:
                if self.now() > until:
                    raise CouldNotRun("%s is not ready" % ip)
                await asyncio.sleep(0.1)

    async def resolve(self, zone):
        """Returns the addresses of frontends, as a consumer gets them."""
        for ip in random.sample(self.cores, len(self.cores)):
            status, _, body, _ = await call("%s:%d" % (ip, PORT_DIRECTORY), "GET", "/v1/resolve?name=h&region=r&zone=" + zone, timeout=1.0)
            if status == 200:
                return json.loads(body).get("addresses", [])
        return []

    async def stop(self):
        for p in self.processes.values():
            if p.returncode is None:
                try:
                    p.send_signal(signal.SIGCONT)
                    p.kill()
                except ProcessLookupError:
                    pass
        for p in self.processes.values():
            await p.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def main(folder, case):
    """Runs the coroutine function case(lab, trouble), which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab = Lab(folder)
        # A run that is ended from outside ends its processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            held = await asyncio.wait_for(case(lab, trouble), 108)
            lab.note("the rule %s (TROUBLE=%d)" % ("held" if held else "was broken", trouble))
            return 0 if held else 1
        except (CouldNotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as e:
            lab.note("the case could not run: %r" % e)
            print("could not run: %r" % e, file=sys.stderr)
            return 2
        finally:
            await lab.stop()

    sys.exit(asyncio.run(run()))
