"""What a worker has stated is forgotten when the list shows that it had restarted: orders go on to one that wants none."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import lab as L  # noqa: E402

PAUSE_S = 5          # what the worker states in Retry-After
GRACE_S = 0.5        # requests may reach it for so long
ALLOWED = 2          # the requests that may reach it after that, from one machine
DOWN_S = 0.3         # the time for which it is down
FEW_CHANNELS = 2     # the channels that it accepts in its pause; it resets those beyond
WORK_S = 0.06        # the work of an order
CLIENTS = 8


class Desk(L.Worker):
    """A worker. Once asked to, it turns one request away with 503 and Retry-After, and serves few channels for that time."""

    def __init__(self, lab, number):
        self.asked, self.until = False, 0.0
        self.reached = []
        super().__init__(lab, number, "desk")

    def serve(self, c):
        if time.monotonic() < self.until and len(self.connections) > FEW_CHANNELS:
            with self.guard:
                self.connections.discard(c)
            L.reset(c)
            self.lab.record.line("channel-reset", worker=self.instance)
            return
        super().serve(c)

    def run_request(self, c, q, base):
        now = time.monotonic()
        if self.asked:
            self.asked, self.until = False, now + PAUSE_S
            self.lab.record.line("pause", worker=self.instance, request=q.get("X-Request-Id"), seconds=PAUSE_S)
            return L.respond(c, 503, base + [("X-Not-Executed", "1"), ("Retry-After", str(PAUSE_S))])
        if self.until - PAUSE_S + GRACE_S < now < self.until:
            self.reached.append(now)
        self.ran(q)
        time.sleep(WORK_S)
        return L.respond(c, 200, base + [("X-Response-Seal", "seal")], b"done")


class Client(threading.Thread):
    """Sends orders, one after the other, each on a new channel and only once."""

    def __init__(self, lab):
        super().__init__(daemon=True)
        self.lab, self.answers, self.stopped = lab, {}, False

    def run(self):
        while not self.stopped:
            status, _, _ = self.lab.send(self.lab.front[0], "POST", "/order/x", (), b"an order")
            self.answers[status] = self.answers.get(status, 0) + 1
            time.sleep(0.02)


def case(folder):
    lab = L.Lab(folder, cores=3, fronts=1)
    try:
        lab.workers = [Desk(lab, i + 1) for i in range(3)]
        lab.publish()
        lab.start()
        lab.put(L.document(1, [L.route("order", "/order/", "unsafe", "desk")], [L.service("desk")]))
        lab.until("the entry host is not ready", lab.front[0].ready)
        time.sleep(3)
        clients = [Client(lab) for _ in range(CLIENTS)]
        for c in clients:
            c.start()
        time.sleep(2)
        busy = lab.workers[0]
        # No order is under way at the worker when it restarts.
        for c in clients:
            c.stopped = True
        for c in clients:
            c.join(6)
        if L.trouble():
            busy.restart(DOWN_S)
        else:
            time.sleep(DOWN_S)
        clients = [Client(lab) for _ in range(CLIENTS)]
        busy.asked = True
        for c in clients:
            c.start()
        time.sleep(PAUSE_S + 2)
        for c in clients:
            c.stopped = True
        for c in clients:
            c.join(6)
        if not busy.until:
            raise L.CannotRun("the worker got no request that it could turn away")
        lost = sum(n for c in clients for s, n in c.answers.items() if s not in (200, 503))
        text = "%d requests reached the worker in its pause (%d are allowed); %d orders ended with 502 or without an answer" % (len(busy.reached), ALLOWED, lost)
        lab.record.line("result", text=text.replace(" ", "-"))
        return len(busy.reached) <= ALLOWED, text
    finally:
        lab.end()


L.main(case)
