"""Test cases for requests that end without an answer: python3 regress/soak/cases_lost.py NAME. Each docstring names
the failure that the case guards against."""
import itertools
import os
import signal
import socket
import sys
import threading

from cases import endpoint_state, events, expect, run
from stack import HOST_NAME, Failure, check_stream, eventually
from proxy import Proxy, before_plain_endpoints

# What a caller gets for a request that it has sent whole.
WHOLE, BROKEN, LOST = "whole answer", "half an answer", "no answer"
UNSENT = "not sent"     # the connection was refused, or closed before all was sent


def request_bytes(path, request_id, body=b"{}", close=False, **headers):
    """The bytes of a request as callers send it."""
    head = {"Host": HOST_NAME, "Bronzegauge-Request-Id": request_id, "Bronzegauge-Deadline-Ms": "8000",
            "Bronzegauge-Key": "key-farm", "Bronzegauge-Token-Counts": "50,12", "Content-Length": len(body)}
    if close:
        head["Connection"] = "close"
    head.update({k.replace("_", "-"): v for k, v in headers.items()})
    lines = "".join("%s: %s\r\n" % field for field in head.items())
    return ("POST %s HTTP/1.1\r\n%s\r\n" % (path, lines)).encode() + body


class Connection:
    """A caller's connection. It reads only when it is told to, so that callers which read slowly can be played."""

    def __init__(self, port, timeout=15, receive_buffer=None):
        self.sock = socket.socket()
        self.sock.settimeout(timeout)
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.connect(("127.0.0.1", port))
        self.data = bytearray() # what was received and is not part of an answer that was returned

    def close(self):
        self.sock.close()

    def send(self, data):
        self.sock.sendall(data)

    def fill(self, n_max=1 << 16):
        """Receives some more bytes; false once the connection has ended."""
        try:
            more = self.sock.recv(n_max)
        except OSError:
            return False
        self.data += more
        return bool(more)

    def take(self, n):
        """Takes n bytes; None if the connection ends before."""
        while len(self.data) < n:
            if not self.fill():
                return None
        taken = bytes(self.data[:n])
        del self.data[:n]
        return taken

    def take_line(self):
        while b"\r\n" not in self.data:
            if not self.fill():
                return None
        return self.take(self.data.index(b"\r\n") + 2)[:-2]

    def read_answer(self):
        """Reads an answer; returns (what the caller got, status, headers, body). Body: as far as it came."""
        began = self.data or self.fill()
        first = self.take_line() if began else None
        if first is None:
            return (BROKEN if self.data else LOST), 0, {}, b""
        status, headers = int(first.split()[1]), {}
        while True:
            line = self.take_line()
            if line is None:
                return BROKEN, status, headers, b""
            if not line:
                break
            name, value = line.decode().split(":", 1)
            headers[name.lower()] = value.strip()
        whole, body = self.read_body(headers)
        return (WHOLE if whole else BROKEN), status, headers, body

    def read_body(self, headers):
        if "content-length" in headers:
            n = int(headers["content-length"])
            body = self.take(n)
            return (True, body) if body is not None else (False, bytes(self.data))
        parts = []
        while True:
            line = self.take_line()
            n = int(line, 16) if line else -1
            part = self.take(n + 2) if n >= 0 else None
            if part is None:
                return False, b"".join(parts) + bytes(self.data if n >= 0 else b"")
            if n == 0:
                return True, b"".join(parts)
            parts.append(part[:-2])


def ask_once(port, data):
    """Sends a request on a connection of its own; returns what the caller got, and the status."""
    try:
        conn = Connection(port)
    except OSError:
        return UNSENT, 0
    try:
        conn.send(data)
        return conn.read_answer()[:2]
    except OSError:
        return UNSENT, 0
    finally:
        conn.close()


def crowd_beside_a_stop(port, make_request, stop):
    """Eight callers send requests on new connections while stop() ends the server at the port. Fails if one that was
    sent whole gets no whole answer."""
    lost, answered, ids = [], [], itertools.count()
    refused = threading.Event()

    def keep_asking():
        while not refused.is_set():
            name = "stop-%d" % next(ids)
            got, status = ask_once(port, make_request(name))
            if got == UNSENT:
                refused.set()
            else:
                (answered if got == WHOLE else lost).append((name, got, status))
    threads = [threading.Thread(target=keep_asking) for _ in range(8)]
    for thread in threads:
        thread.start()
    stop()
    for thread in threads:
        thread.join()
    if lost:
        raise Failure("%d of %d requests to a host that stopped: %r" % (len(lost), len(lost) + len(answered), lost[:4]))


def case_stopping_crowd(stack):
    """Guards against requests that a host which is stopping takes, or leaves in its queue of connections, and that
    end with its process."""
    stack.up()

    def stop():
        stack.signal("host-0", signal.SIGTERM)
        stack.procs["host-0"].wait()
    crowd_beside_a_stop(stack.port("host-0", "front"),
                        lambda name: request_bytes("/many/a", name, close=True), stop)


def case_id_not_utf8(stack):
    """Guards against a host that ends, with all of its requests, when a stage dies under a request whose id is no
    UTF-8 text."""
    stack.up()
    results = {}
    names = {i: "caf\xe9-%d" % i for i in range(12)}

    def stream(i):
        results[i] = stack.ask("host-%d" % (i % 3), "/stream/a", names[i], Bronzegauge_Token_Counts="50,40")

    threads = [threading.Thread(target=stream, args=(i,)) for i in names]
    for thread in threads:
        thread.start()
    eventually("streams run", lambda: stack.ledger()["streams"] >= len(names))
    second = events(stack, "host-0", "sent")[-1]["pipeline"].split(",")[1].split("=")[0]
    stack.fault_engine(endpoint_state(stack, "host-0", second)["id"].split("-")[1], "dark")
    for thread in threads:
        thread.join()
    for host in stack.hosts:
        expect("exit status of " + host, stack.procs[host].poll(), None)
    for i, name in names.items():
        status, _, body = results.get(i, (None, {}, b""))
        expect("status of %r" % name, status, 200)
        check_stream(name, body.decode("latin-1").encode(), last=40)


def is_open_for(conn, seconds):
    """Whether the connection, on which nothing is awaited, stays open for that time."""
    conn.sock.settimeout(seconds)
    try:
        return bool(conn.sock.recv(1))
    except socket.timeout:
        return True


def case_idle_limit_grows(stack):
    """Guards against connections that are closed by the idle timeout of their last request, though a longer one is in
    force by which their callers still use them."""
    stack.idle_ms = 2000
    stack.up()
    conn = Connection(stack.port("host-0", "front"))
    conn.send(request_bytes("/many/a", "before"))
    got = conn.read_answer()[:2]
    stack.idle_ms = 60000
    version = stack.put_config()
    eventually("host-0 has the version", lambda: stack.state("host-0")["configuration"] == version)
    if got != (WHOLE, 200) or not is_open_for(conn, 10):
        raise Failure("%r, and then the connection was closed by the older timeout" % (got,))
    conn.sock.settimeout(15)
    conn.send(request_bytes("/many/a", "after"))
    got = conn.read_answer()[:2]
    if got != (WHOLE, 200):
        raise Failure("a request on a connection that was kept got %r" % (got,))


def case_idle_limit_ends(stack):
    """Guards against connections that stay open for ever, since their idle timeout is not the HTTP library's."""
    stack.idle_ms = 1000
    stack.up()
    conn = Connection(stack.port("host-0", "front"), timeout=60)
    conn.send(request_bytes("/many/a", "idle"))
    if conn.read_answer()[:2] != (WHOLE, 200) or conn.fill():
        raise Failure("the connection did not end, or with bytes that nobody asked for")


def case_half_closed(stack):
    """Guards against callers that shut down their sending direction behind a request, which HTTP allows, and get
    neither an answer nor a refusal; and against endpoints that go on working for callers that left."""
    stack.up()
    for point in stack.points:
        stack.fault_engine(point[0], "hang")
    conns = []
    for i, path in enumerate(["/many/a", "/once/a", "/stream/a"]):
        conn = Connection(stack.port("host-0", "front"))
        conn.send(request_bytes(path, "half-%d" % i))
        conn.sock.shutdown(socket.SHUT_WR)
        conns.append(conn)
    for conn in conns:
        got, status, _, body = conn.read_answer()
        if got != WHOLE or status != 502:
            raise Failure("a caller that sends no more got %s, status %d %r" % (got, status, body))


def case_stop_beside_silence(stack):
    """Guards against requests that just end with the process of a host that stops, as their endpoints answer only
    after its grace time."""
    stack.up()
    front = stack.port("host-0", "front")
    asked = {}

    def ask(path, n):
        for i in range(n):
            name = "%s-%d" % (path.split("/")[1], i)
            asked[name] = Connection(front)
            asked[name].send(request_bytes(path, name, Bronzegauge_Deadline_Ms="30000"))
    for point in stack.points:
        stack.fault_engine(point[0], "slow")
    ask("/stream/a", 4)
    for conn in asked.values():
        if not conn.fill():     # an answer has begun
            raise Failure("a stream ended before its host was stopped")
    for point in stack.points:
        stack.fault_engine(point[0], "hang" if point[2] == "plain" else "dark")
    ask("/many/a", 4)
    ask("/once/a", 4)
    eventually("all requests were passed on", lambda: stack.log("host-0").count('"event":"sent"') >= len(asked))
    stack.signal("host-0", signal.SIGTERM)
    got = {name: conn.read_answer() for name, conn in asked.items()}
    stack.procs["host-0"].wait()
    for name, (what, status, _, body) in got.items():
        if what == LOST or (what == BROKEN and not name.startswith("stream")):
            raise Failure("%s got %s, status %d, %r" % (name, what, status, body[-100:]))
    if '"caller_got":"unanswered"' in stack.log("host-0"):
        raise Failure("the host itself says that it left a request unanswered")


def case_reload_under_load(stack):
    """Guards against requests that are lost when hosts read their settings files again."""
    stack.up()
    rounds, callers = 40, 6
    lost = []

    def keep_asking(caller):
        host = stack.hosts[caller % len(stack.hosts)]
        conn = Connection(stack.port(host, "front"))
        for i in range(rounds):
            path = ("/many/a", "/stream/a", "/once/a")[i % 3]
            conn.send(request_bytes(path, "hup-%d-%d" % (caller, i)))
            got = conn.read_answer()[:2]
            if got != (WHOLE, 200):
                lost.append((caller, i, got))
                return
    threads = [threading.Thread(target=keep_asking, args=(i,)) for i in range(callers)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        for host in stack.hosts:
            stack.signal(host, signal.SIGHUP)
        threads[0].join(0.1)
    for thread in threads:
        thread.join()
    if lost:
        raise Failure("lost beside SIGHUP: %r" % lost[:4])


class Misnamer(Proxy):
    """A proxy that passes on answers with the id of another request once it is told to."""

    misnames = False

    def alter(self, data):
        return data.replace(b"Request-Id: foreign-", b"Request-Id: another-") if self.misnames else data


def case_foreign_answer(stack):
    """Guards against a host that ends, with all that it has under way, since an endpoint answers with the id of another
    request."""
    proxies = before_plain_endpoints(stack, Misnamer)
    stack.up()
    for proxy in proxies:
        proxy.misnames = True
    for i in range(20):
        for kind in ("once", "many"):
            data = request_bytes("/%s/a" % kind, "foreign-%s-%d" % (kind, i), close=True)
            expect("what the caller got", ask_once(stack.port("host-0", "front"), data), (WHOLE, 502))
    expect("exit status of host-0", stack.procs["host-0"].poll(), None)


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


def crowd_at_process(port, pid):
    """The crowd at a process that another script has started."""
    request = b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    crowd_beside_a_stop(port, lambda name: request, lambda: os.kill(pid, signal.SIGTERM))


if __name__ == "__main__":
    if sys.argv[1] == "crowd_at":
        crowd_at_process(int(sys.argv[2]), int(sys.argv[3]))
    else:
        run(CASES)
