"""Test cases of a host that the platform hands most new connections, and of answers that end with their connection:
python3 regress/soak/cases_crowd.py NAME."""
import http.client
import itertools
import signal
import socket
import threading
import time

from cases import expect, run
from cases_reach import cut, up
from proxy import Proxy
from stack import Failure, check_stream, eventually

FIRST_TRIES_MIN = 0.75  # required share of first tries that are served, of those read, against the seconds before
PATIENCE_S = 1.5        # longest wait of a caller for an answer, in seconds
IDLE_S = 0.3            # time without requests before each burst, in seconds
SEND_S = 0.02           # time between two streams, in seconds
WHOLE_MIN = 0.9         # required share of streams that are whole while a host that carries some is killed
CROWD = 9               # new connections of ten that go to one host


class Crowd:
    """Sends requests on new connections at a steady rate, at all hosts in turn or most of them at one. A try whose
    connection is closed unread is repeated at the next host, as the platform does."""

    def __init__(self, stack, per_s):
        self.stack, self.per_s = stack, per_s
        self.crowded = None     # host that most connections go to; None: all in turn
        self.count = itertools.count()
        self.lock = threading.Lock()
        self.tries = []         # (host, whether its first connection was closed unread, whether it was served)
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.send_all)

    def host(self, number):
        hosts = self.stack.hosts
        if self.crowded and number % 10 < CROWD:
            return self.crowded
        return hosts[number % len(hosts)]

    def ask(self, host, request_id, path):
        """Returns the status; None if the connection was refused or closed without an answer."""
        try:
            status, _, body = self.stack.ask(host, path, request_id, timeout=PATIENCE_S)
            if status == 200 and path.startswith("/stream"):
                check_stream(request_id, body)
            return status
        except (ConnectionError, http.client.RemoteDisconnected):
            return None
        except (OSError, http.client.HTTPException):
            return 0

    def send(self, number):
        path = "/stream/a" if number % 3 == 0 else "/many/a"
        host, unread = self.host(number), False
        status = self.ask(host, "crowd-%d" % number, path)
        if status is None:
            unread = True
            others = [h for h in self.stack.hosts if h != host]
            status = self.ask(others[number % len(others)], "again-%d" % number, path)
        with self.lock:
            self.tries.append((host, unread, status == 200))

    def send_all(self):
        threads = []
        while not self.ending.wait(1.0 / self.per_s):
            threads.append(threading.Thread(target=self.send, args=(next(self.count),)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.thread.join()

    def part(self, n, what):
        """Waits for n tries and returns the share served of those that were read at once, and of all."""
        with self.lock:
            begin = len(self.tries)
        eventually("tries are made", lambda: len(self.tries) >= begin + n)
        with self.lock:
            tries = self.tries[begin:begin + n]
        read = [t for t in tries if not t[1]]
        print("%s: %d of %d first tries that were read are served, %d of %d of all" % (
            what, sum(t[2] for t in read), len(read), sum(t[2] for t in tries), len(tries)))
        return sum(t[2] for t in read) / max(len(read), 1), sum(t[2] for t in tries) / len(tries)


def case_one_host(stack):
    """Guards against failures while nine in ten new connections go to one host, and to the next once that one stops."""
    up(stack)
    with Crowd(stack, per_s=100) as crowd:
        before, _ = crowd.part(200, "all hosts")
        for host in ("host-0", "host-1"):
            crowd.crowded = host
            first, everyone = crowd.part(300, "most at " + host)
            if first < FIRST_TRIES_MIN * before or everyone < FIRST_TRIES_MIN:
                raise Failure("%.2f of the first tries served (%.2f before)" % (first, before))
            stack.signal(host, signal.SIGTERM)
    expect("violations", stack.ledger()["violations"], "")


def case_bursts(stack):
    """Guards against connections that a host closes unread though nothing waits there: many are made at once after it
    has been idle."""
    up(stack, hosts=3)
    closed = []

    def ask(request_id):
        try:
            expect("status", stack.ask("host-1", "/many/a", request_id)[0], 200)
        except (ConnectionError, http.client.RemoteDisconnected):
            closed.append(request_id)

    for burst in range(12):
        time.sleep(IDLE_S)
        threads = [threading.Thread(target=ask, args=("burst-%d-%d" % (burst, i),)) for i in range(40)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    expect("closed unread", closed, [])


class Unframed(Proxy):
    """Passes answers on without a length or chunks, so that they end with their connection. cut_inside: number of
    streams yet to be ended inside an event."""

    def __init__(self, port, target):
        self.cut_inside = 0
        super().__init__(port, target)

    def pump(self, near, far):
        answer = b""
        near.settimeout(0.2)
        request = self.read_request(near)
        if not request:
            return
        far.sendall(request)
        far_file = far.makefile("rb")
        head = []
        while True:
            line = far_file.readline()
            if not line:
                return
            if line == b"\r\n":
                break
            head.append(line)
        names = {h.split(b":")[0].lower(): h.split(b":", 1)[1].strip() for h in head[1:]}
        chunked = names.get(b"transfer-encoding") == b"chunked"
        kept = [h for h in head if h.split(b":")[0].lower() not in (
            b"transfer-encoding", b"content-length", b"connection", b"keep-alive")]
        near.sendall(b"".join(kept) + b"Connection: close\r\n\r\n")
        if not chunked:
            near.sendall(far_file.read(int(names.get(b"content-length", b"0"))))
            return
        sent = 0
        while True:
            size = int(far_file.readline() or b"0", 16)
            if size == 0:
                return
            answer = far_file.read(size)
            far_file.readline()
            sent += 1
            if sent == 5 and self.cut_inside > 0 and names.get(b"content-type") == b"text/event-stream":
                self.cut_inside -= 1
                near.sendall(answer[:len(answer) // 2])
                return
            near.sendall(answer)

    @staticmethod
    def read_request(near):
        """Reads one request with its body; returns b"" if the connection ends before."""
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                more = near.recv(65536)
            except socket.timeout:
                continue
            if not more:
                return b""
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n")[1:]:
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += near.recv(65536)
        return head + b"\r\n\r\n" + body


def case_unframed(stack):
    """Guards against streams that look complete, or fail, because their answers have neither a length nor chunks: some
    end inside an event."""
    proxies = []
    for i, point in enumerate(stack.points):
        stack.known_as[point[0]] = stack.base + 60 + i
        proxies.append(Unframed(stack.base + 60 + i, point[1]))
    stack.up()
    for i in range(60):
        host = stack.hosts[i % len(stack.hosts)]
        if i % 3 == 0:
            for proxy in proxies:
                proxy.cut_inside = 1
        status, _, body = stack.ask(host, "/stream/a", "u-%d" % i)
        expect("status", status, 200)
        check_stream("u-%d" % i, body)
        expect("plain", stack.ask(host, "/many/a", "v-%d" % i)[0], 200)
    if not any('"error":"connection closed by peer"' in stack.log(h) or '"resume_after":"' in stack.log(h)
               for h in stack.hosts):
        raise Failure("no stream was broken off")
    expect("violations", stack.ledger()["violations"], "")
    for proxy in proxies:
        proxy.close()


def case_unframed_killed(stack):
    """Guards against streams that look complete and are not: their answers have neither a length nor chunks, and the
    host through which they come is killed."""
    proxies = []

    def behind(i, port):
        proxies.append(Unframed(stack.base + 80 + i, port))
        return stack.base + 80 + i

    gates = up(stack, behind=behind)
    cut_hosts = stack.hosts[:3]
    cut(stack, gates, cut_hosts, "hang")
    for host in cut_hosts:
        eventually(host + " serves a stream", lambda h=host: stack.serves_stream(h))
    results = []

    def ask(number):
        request_id = "k-%d" % number
        try:
            status, _, body = stack.ask(cut_hosts[number % 3], "/stream/a", request_id)
            if status == 200:
                check_stream(request_id, body)
            results.append(status)
        except (OSError, http.client.HTTPException):
            results.append(0)

    threads = [threading.Thread(target=ask, args=(i,)) for i in range(120)]
    for i, thread in enumerate(threads):
        thread.start()
        if i == 60:
            eventually("a stream leads through host-3", lambda: stack.state("host-3")["tunnels_carried"] > 0)
            stack.signal("host-3", signal.SIGKILL)
        time.sleep(SEND_S)
    for thread in threads:
        thread.join()
    whole = sum(status == 200 for status in results)
    print("%d of %d streams are whole, %d broke off visibly" % (whole, len(results), results.count(0)))
    expect("answers", len(results), len(threads))
    if whole < WHOLE_MIN * len(threads):
        raise Failure("only %d of %d streams are whole" % (whole, len(threads)))
    for proxy in gates + proxies:
        proxy.close()


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


if __name__ == "__main__":
    run(CASES)
