"""Clients send requests of 5,000 bytes with a query of 420 short parameters; heads have a fifth of maxHeaderBytes."""
import os
import select
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

LIMIT = 16384               # maxHeaderBytes
TIMEOUT_MS = 800            # timeoutMs of the route
DEADLINE_MS = 1500          # of the clients
PARAMETERS = 420
BODY = 5000
REQUESTS = 12               # at each of three hosts
SOUND = 12                  # other requests at each host, before and after


class Runner:
    """A sound runner of the plain service."""

    def __init__(self, runs):
        self.runs = runs
        self.port = harness.free_port()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", self.port))
        self.sock.listen(100)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.sock.accept()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        try:
            conn.settimeout(30)
            with conn.makefile("rb") as stream:
                fields = {}
                stream.readline()
                for line in iter(stream.readline, b"\r\n"):
                    if not line:
                        return
                    name, _, value = line.partition(b":")
                    fields[name.lower()] = value.strip()
                stream.read(int(fields.get(b"content-length", b"0")))
            request = fields.get(b"bronzegauge-request-id")
            if request is None:     # a health probe
                conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Instance-Id: r0\r\nContent-Length: 0\r\n\r\n")
                return
            self.runs[request.decode()] = self.runs.get(request.decode(), 0) + 1
            conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Response-Seal: 3e1b.07\r\n"
                         b"Content-Length: 2\r\n\r\nok" % request)
        except OSError:
            pass
        finally:
            conn.close()


def message(request, parameters):
    """A request with a body and that many parameters; with TROUBLE=0, one parameter as long as all of them."""
    query = "&".join("p%d=v" % i for i in range(parameters))
    if not harness.TROUBLE:
        query = "p0=" + "v" * (len(query) - 3)
    return ("POST /once/x?%s HTTP/1.1\r\nHost: %s\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Key: %s\r\n"
            "Bronzegauge-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" %
            (query, harness.HOST, request, harness.KEY, DEADLINE_MS, BODY)).encode() + b"b" * BODY


class Request:
    """One request on a channel of its own."""

    def __init__(self, port, name, parameters):
        self.name, self.status, self.answered_s, self.closed_s = name, None, None, None
        data = message(name, parameters)
        self.head_bytes = len(data) - BODY
        self.conn = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.sent_s = time.monotonic()
        self.conn.sendall(data)

    def poll(self, now_s):
        try:
            got = self.conn.recv(4096)
        except OSError:
            got = b""
        if got and self.status is None:
            self.status, self.answered_s = int(got.split()[1]), now_s
        elif not got:
            self.closed_s = now_s

    def is_open(self):
        return self.status is None and self.closed_s is None

    def answered_by(self, seconds):
        return self.answered_s is not None and self.answered_s - self.sent_s <= seconds


def watch(requests, until_s):
    """Reads what comes for the requests until then."""
    while time.monotonic() < until_s:
        waiting = [r for r in requests if r.is_open()]
        if not waiting:
            return
        for conn in select.select([r.conn for r in waiting], [], [], 0.05)[0]:
            next(r for r in waiting if r.conn is conn).poll(time.monotonic())


def case(make):
    deployment = make(hosts=3, zones=("seattle-hall", "portland-hall", "tacoma-hall"))
    record = deployment.record
    deployment.up(harness.plain_config([harness.route("policy-fetch", "/once/", "non_idempotent",
                                                      timeout_ms=TIMEOUT_MS)]))
    runs = {}
    runner = Runner(runs)
    deployment.list_runner("r0", service="records", address="127.0.0.1:%d" % runner.port, zone="seattle-hall",
                           version="v1", slots=6, state="ready", coldRemainingMs=0)
    time.sleep(2)
    fronts = [ports["front"] for ports in deployment.hosts.values()]
    rounds = [("before", SOUND, 3), ("long", REQUESTS, PARAMETERS), ("after", SOUND, 3)]
    requests = []
    for name, count, parameters in rounds:
        batch = [Request(port, "%s-%d-%d" % (name, h, i), parameters)
                 for h, port in enumerate(fronts) for i in range(count)]
        watch(batch, time.monotonic() + 2 * DEADLINE_MS / 1000)
        requests += batch
    for r in requests:
        end = "answered %d after %.3f s" % (r.status, r.answered_s - r.sent_s) if r.status else (
            "channel closed without an answer after %.3f s" % (r.closed_s - r.sent_s) if r.closed_s else
            "no answer, channel open after %.1f s" % (time.monotonic() - r.sent_s))
        record.line("%s: head of %d bytes (limit %d), ran %d times; %s" %
                    (r.name, r.head_bytes, LIMIT, runs.get(r.name, 0), end))
    unanswered = [r for r in requests if not r.answered_by(TIMEOUT_MS / 1000)]
    still = [r for r in unanswered if not r.answered_by(TIMEOUT_MS / 1000 + 0.5)]
    sound = [r for r in requests if not r.name.startswith("long") and r.status == 200]
    print("%d of %d ordinary requests answered 200; of %d others %d have no answer at timeoutMs, %d none 0.5 s later, "
          "%d channels still open" % (len(sound), 2 * SOUND * len(fronts), REQUESTS * len(fronts), len(unanswered),
                                      len(still), sum(r.is_open() for r in requests)))
    if len(sound) < 2 * SOUND * len(fronts):
        raise harness.CannotRun("ordinary requests were not served")
    if len(still) * 2 > len(unanswered):
        return "CONFIG: %d of %d requests without an answer at timeoutMs have none 0.5 s later" % (
            len(still), len(unanswered))
    return None


harness.run(case, FOLDER)
