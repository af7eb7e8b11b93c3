"""Test cases for answers that go on without end: python3 regress/soak/cases_endless.py NAME. Each docstring names the
failure that the case guards against."""
import socket
import threading
import time

from cases import expect, run
from cases_lost import WHOLE, Connection, request_bytes
from cases_slow import read_together
from proxy import Proxy, before_plain_endpoints, request_id_of
from stack import Failure, eventually

GROWTH_MAX_KB = 4 << 10     # memory by which a host may grow, in KiB
SENT_MAX = 48 << 20         # bytes after which an endpoint ends an answer itself; a host must end it before
DRIP_S = 0.02               # time between two lines of a slow answer, in seconds
DRIPS_MAX = 350             # lines after which an endpoint ends a slow answer itself
REQUESTS = 30               # requests for each form, route and host
SEALED = b"HTTP/1.1 200 OK\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Response-Seal: stand.%s\r\n"
UNSEALED = b"HTTP/1.1 200 OK\r\nBronzegauge-Request-Id: %s\r\n"
REJECTED = b"HTTP/1.1 503 No\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Not-Executed: 1\r\n"
FAILED = b"HTTP/1.1 500 No\r\nBronzegauge-Request-Id: %s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-More: 0123456789\r\n"

# Name -> begin of the answer, what is repeated after it, what a request gets if all endpoints answer so.
FORMS = {
    "trailers": (SEALED + CHUNKED + b"4\r\nbody\r\n0\r\n", LINE, 200),
    "head lines": (SEALED, LINE, 502),
    "one line": (SEALED + b"X-More: ", b"0123456789", 502),
    "interim answers": (b"", b"HTTP/1.1 103 Early\r\n" + LINE + b"\r\n", 502),
    "extension of a chunk": (SEALED + CHUNKED + b"4;", b"0123456789", 502),
    "body to its close, no seal": (UNSEALED + b"\r\n", b"0123456789", 502),
    "chunked body, no seal": (UNSEALED + CHUNKED, b"a\r\n0123456789\r\n", 502),
    "rejection": (REJECTED + CHUNKED, b"a\r\n0123456789\r\n", 503),
    "failure": (FAILED + b"\r\n", b"0123456789", 502),
    "bytes behind the end": (SEALED + b"Content-Length: 4\r\n\r\nbody", b"0123456789", 200),
}
# The same, slowly: those in which each line alone says nothing new.
SLOW_FORMS = ("trailers", "body to its close, no seal", "chunked body, no seal", "rejection", "failure")


class Endless(Proxy):
    """Stands before a plain endpoint. Requests of the form's name get an answer without end."""

    form = None
    drips = False
    under_way = 0
    lock = threading.Lock()

    def forward(self, near):
        head = near.recv(65536)
        if not self.form or b"Request-Id: endless-" not in head:
            self.pass_on(near, head)
            return
        with Endless.lock:
            Endless.under_way += 1
        request_id = request_id_of(head)
        begin, repeated, _ = FORMS[self.form]
        try:
            near.sendall(begin.replace(b"%s", request_id))
            self.repeat(near, repeated)
        except OSError:
            pass
        near.close()
        with Endless.lock:
            Endless.under_way -= 1

    def pass_on(self, near, head):
        """Passes on a connection of which the first bytes have been read."""
        try:
            far = socket.create_connection(("127.0.0.1", self.target), timeout=5)
            far.sendall(head)
            self.pump(near, far)
            far.close()
        except OSError:
            pass
        near.close()

    def repeat(self, near, repeated):
        if self.drips:
            for _ in range(DRIPS_MAX):
                near.sendall(repeated)
                time.sleep(DRIP_S)
            return
        many = repeated * (65536 // len(repeated))
        for _ in range(SENT_MAX // len(many)):
            near.sendall(many)


class Streams(threading.Thread):
    """A caller of another service, whose times are told: streams at one host, one after the other."""

    def __init__(self, stack, host):
        super().__init__(daemon=True)
        self.stack, self.host = stack, host
        self.done = threading.Event()
        self.times, self.failed = [], []

    def run(self):
        conn = Connection(self.stack.port(self.host, "front"))
        while not self.done.is_set():
            name = "beside-%s-%d" % (self.host, len(self.times))
            began = time.monotonic()
            conn.send(request_bytes("/stream/a", name, Bronzegauge_Token_Counts="50,2"))
            got, status, _, _ = conn.read_answer()
            self.times.append(time.monotonic() - began)
            if (got, status) != (WHOLE, 200):
                self.failed.append((name, got, status))
                conn = Connection(self.stack.port(self.host, "front"))
        conn.close()

    def p99_ms(self):
        return 1000 * sorted(self.times)[int(len(self.times) * 0.99)] if self.times else -1


def peak_kb(stack, host):
    return stack.memory_kb(host, "VmHWM")


def forget_peak(stack, host):
    with open("/proc/%d/clear_refs" % stack.procs[host].pid, "w") as refs:
        refs.write("5")


def ask_all(stack, prefix, kinds=("once", "many")):
    """Sends requests to all hosts at once; returns (name, what the caller got, status, seal) of each."""
    answers = []

    def ask_host(host):
        for i in range(REQUESTS):
            for kind in kinds:
                name = "%s-%s-%s-%d" % (prefix, host, kind, i)
                conn = Connection(stack.port(host, "front"))
                conn.send(request_bytes("/%s/a" % kind, name, close=True))
                got, status, headers, _ = conn.read_answer()
                conn.close()
                answers.append((name, kind, got, status, headers.get("bronzegauge-response-seal")))

    read_together(stack.hosts, ask_host)
    return answers


def check_answers(answers, what, status):
    wrong = [a for a in answers if a[2:4] != (WHOLE, status) or a[4] != ("stand." + a[0] if status == 200 else None)]
    if wrong:
        raise Failure("%s: %d of %d are not %d: %r" % (what, len(wrong), len(answers), status, wrong[:4]))


def play(stack, proxies, form, drips):
    """Requests that may run once only, while all endpoints answer so; then others, while one endpoint does."""
    name = ("slow " if drips else "") + form
    prefix = "endless-" + name.replace(" ", "_").replace(",", "")
    streams = [Streams(stack, host) for host in stack.hosts]
    for host in stack.hosts:
        forget_peak(stack, host)
    before = {host: peak_kb(stack, host) for host in stack.hosts}
    for stream in streams:
        stream.start()
    began = time.monotonic()
    for proxy in proxies:
        proxy.form, proxy.drips = form, drips
    once = ask_all(stack, prefix, ("once",))
    proxies[1].form = None
    many = ask_all(stack, prefix, ("many",))
    took = time.monotonic() - began
    for stream in streams:
        stream.done.set()
        stream.join(timeout=20)
    grown = max(peak_kb(stack, host) - before[host] for host in stack.hosts)
    print("%-32s %4.1f s, host grown by %d KiB, others' p99 %.0f ms of %d" % (
        name, took, grown, max(s.p99_ms() for s in streams), sum(len(s.times) for s in streams)), flush=True)
    check_answers(once, name + ", all endpoints", FORMS[form][2])
    check_answers(many, name + ", one endpoint", 200)
    expect("failed requests of the other service", [f for s in streams for f in s.failed], [])
    if grown > GROWTH_MAX_KB:
        raise Failure("%s: a host has grown by %d KiB" % (name, grown))
    eventually("no answer without end is under way", lambda: Endless.under_way == 0)
    proxies[0].form = None


def start(stack):
    proxies = before_plain_endpoints(stack, Endless)
    stack.up()
    streams = [Streams(stack, host) for host in stack.hosts]
    for stream in streams:
        stream.start()
    for i in range(3):      # memory that any requests take
        ask_all(stack, "sound-%d" % i)
    for stream in streams:
        stream.done.set()
        stream.join(timeout=20)
    return proxies


def case_fast(stack):
    """Guards against a host that runs out of memory, or out of time for other requests, since an endpoint's answer goes
    on without end, as fast as it is taken; and against requests that wait for its end."""
    proxies = start(stack)
    for form in FORMS:
        play(stack, proxies, form, drips=False)


def case_slow(stack):
    """Guards against requests that wait for the end of an answer which goes on line by line, though all that counts has
    come."""
    proxies = start(stack)
    for form in SLOW_FORMS:
        play(stack, proxies, form, drips=True)


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
