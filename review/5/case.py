"""One of two runners spoils two in a hundred of its answers: the value of the proof is missing from the head."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness  # noqa: E402

REQUESTS = 1200
CLIENTS = 6
SPOILT_EVERY = 50           # the garble trouble's x is 0.02
BODY = b'{"policy":"4711"}'


class Runner:
    """A runner of the plain service; a faulty one spoils each SPOILT_EVERY-th answer."""

    def __init__(self, name, faulty, sent, record):
        self.name, self.faulty, self.sent, self.record = name, faulty, sent, record
        self.count, self.lock = 0, threading.Lock()
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

    def is_spoilt(self):
        with self.lock:
            self.count += 1
            return self.faulty and self.count % SPOILT_EVERY == 0

    def serve(self, conn):
        try:
            conn.settimeout(30)
            data = b""
            while b"\r\n\r\n" not in data:
                more = conn.recv(4096)
                if not more:
                    return
                data += more
            fields = dict((line.split(b":", 1) + [b""])[:2] for line in data.split(b"\r\n")[1:])
            fields = {name.lower(): value.strip() for name, value in fields.items()}
            request = fields.get(b"bronzegauge-request-id")
            if request is None:     # a health probe
                conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" %
                             self.name.encode())
                return
            seal = b"" if self.is_spoilt() else b"3e1b.07.5a2.600.0.%s" % request
            self.sent.setdefault(request.decode(), []).append(seal.decode())
            if not seal:
                self.record.line("%s spoils its answer to %s" % (self.name, request.decode()))
            conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Response-Seal: %s\r\n"
                         b"Content-Length: %d\r\n\r\n%s" % (request, seal, len(BODY), BODY))
        except OSError:
            pass
        finally:
            conn.close()


def case(make):
    deployment = make(hosts=3, zones=("seattle-hall", "portland-hall", "tacoma-hall"))
    record = deployment.record
    deployment.up(harness.plain_config([harness.route("policy-fetch", "/once/", "non_idempotent", timeout_ms=800),
                                        harness.route("certificate-fetch", "/many/", "idempotent", attempts=2,
                                                      timeout_ms=800)]))
    sent, ends, lock = {}, {}, threading.Lock()
    for i, zone in enumerate(deployment.zones[:2]):
        runner = Runner("r%d" % i, harness.TROUBLE and i == 0, sent, record)
        deployment.list_runner(runner.name, service="records", address="127.0.0.1:%d" % runner.port, zone=zone,
                               version="v1", slots=6, state="ready", coldRemainingMs=0)
    time.sleep(2)
    fronts = [ports["front"] for ports in deployment.hosts.values()]

    def client(number):
        for n in range(REQUESTS // CLIENTS):
            request = "q%d-%d" % (number, n)
            path = "/once/x" if n % 2 else "/many/x"
            headers = {"Host": harness.HOST, "Bronzegauge-Request-Id": request, "Bronzegauge-Key": harness.KEY,
                       "Bronzegauge-Deadline-Ms": "1500"}
            status, fields, body = harness.http(fronts[n % len(fronts)], "POST", path, b"{}", headers)
            with lock:
                ends[request] = (path, status, fields.get("bronzegauge-response-seal"), body)

    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = {}
    for _, status, _, _ in ends.values():
        codes[status] = codes.get(status, 0) + 1
    bad = [r for r, (_, status, seal, _) in ends.items() if status // 100 == 2 and not seal]
    for request in bad:
        record.line("%s: %s got %d without a proof; its runners sent %r" % (
            request, ends[request][0], ends[request][1], sent[request]))
    print("%d answers, by status %s; %d spoilt by the runner; %d successes without a proof" %
          (len(ends), codes, sum(seal == "" for seals in sent.values() for seal in seals), len(bad)))
    if len(ends) < REQUESTS:
        raise harness.CannotRun("%d requests without an answer" % (REQUESTS - len(ends)))
    return "MIXED: %d successes without the runner's proof" % len(bad) if bad else None


harness.run(case, FOLDER)
