"""Clients send queries of 320 to 400 short parameters; the heads of requests stay below half of maxHeaderBytes."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

LIMIT = 16384               # maxHeaderBytes
PARAMETERS = range(320, 400, 2)
VALUE = 12                  # bytes of the value of a parameter
ANSWER_LINES = 20           # lines in the head of an answer besides those that the pages name, 200 bytes each
LOST_MAX = 3                # "more than three times" in the rule


class Runner:
    """A sound runner of the plain service, whose answers have a head of some 4,100 bytes."""

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
            data = b""
            while b"\r\n\r\n" not in data:
                more = conn.recv(4096)
                if not more:
                    return
                data += more
            request = next((line.split(b":", 1)[1].strip() for line in data.split(b"\r\n")
                            if line.lower().startswith(b"bronzegauge-request-id:")), None)
            if request is None:     # a health probe
                conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Instance-Id: r0\r\nContent-Length: 0\r\n\r\n")
                return
            name = request.decode()
            self.runs[name] = self.runs.get(name, 0) + 1
            more = b"".join(b"X-Policy-%02d: %s\r\n" % (i, b"v" * 185) for i in range(ANSWER_LINES))
            conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Response-Seal: 3e1b.07\r\n%s"
                         b"Content-Length: 2\r\n\r\nok" % (request, more))
        except OSError:
            pass
        finally:
            conn.close()


def head(request, parameters):
    """A request without a body and with that many parameters; with TROUBLE=0, one parameter as long as all of them."""
    query = "&".join("p%d=%s" % (i, "v" * VALUE) for i in range(parameters))
    if not harness.TROUBLE:
        query = "p0=" + "v" * (len(query) - 3)
    return ("POST /once/x?%s HTTP/1.1\r\nHost: %s\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Key: %s\r\n"
            "Bronzegauge-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n" %
            (query, harness.HOST, request, harness.KEY)).encode()


def ask(conn, data):
    """Returns the status of the answer, or None if the channel ends without a byte of one."""
    conn.sendall(data)
    got = b""
    while b"\r\n\r\n" not in got:
        more = conn.recv(4096)
        if not more:
            return int(got.split()[1]) if got else None
        got += more
    lines, _, body = got.partition(b"\r\n\r\n")
    length = next((int(line.split(b":")[1]) for line in lines.split(b"\r\n")
                   if line.lower().startswith(b"content-length:")), 0)
    while len(body) < length:
        more = conn.recv(4096)
        if not more:
            break
        body += more
    return int(lines.split()[1])


def case(make):
    deployment = make(hosts=3, zones=("seattle-hall", "portland-hall", "tacoma-hall"))
    record = deployment.record
    deployment.up(harness.plain_config([harness.route("policy-fetch", "/once/", "non_idempotent", timeout_ms=800)]))
    runs = {}
    runner = Runner(runs)
    deployment.list_runner("r0", service="records", address="127.0.0.1:%d" % runner.port, zone="seattle-hall",
                           version="v1", slots=6, state="ready", coldRemainingMs=0)
    time.sleep(2)
    ends = {}
    for parameters in PARAMETERS:
        conn = socket.create_connection(("127.0.0.1", deployment.hosts["front-0"]["front"]), timeout=5)
        if ask(conn, head("first-%d" % parameters, 2)) != 200:
            raise harness.CannotRun("the first request of a channel was not served")
        request = "long-%d" % parameters
        data = head(request, parameters)
        try:
            status = ask(conn, data)
        except ConnectionResetError:
            status = None
        conn.close()
        ends[request] = status
        record.line("%s: head of %d bytes (limit %d), %d parameters; ran %d times; %s" % (
            request, len(data), LIMIT, data.count(b"="), runs.get(request, 0),
            "channel closed without a byte" if status is None else "answered %d" % status))
    lost = [r for r, status in ends.items() if status is None and runs.get(r)]
    codes = {}
    for status in ends.values():
        codes[str(status)] = codes.get(str(status), 0) + 1
    print("%d requests, by status %s; %d ran and got no byte" % (len(ends), codes, len(lost)))
    if len(lost) > LOST_MAX:
        return "LOST: %d requests on kept channels ran, and their channels were closed without an answer" % len(lost)
    return None


harness.run(case, FOLDER)
