"""Test cases for heads of any shape: python3 regress/soak/cases_heads.py NAME. Each docstring names the failure that the
case guards against. BG_HEADS: number of requests of the grid; BG_HEADS_SEED: which ones."""
import itertools
import os
import random
import resource
import socket
import struct

from cases import expect, run
from cases_lost import WHOLE, Connection, request_bytes
from stack import Failure

HEAD_MAX = 16384 # bytes of headers, and of a request line, by the configuration
PARTS = (100, 200, 300, 700, 1000, 1300)
FILLERS = (0, 4000, 12000, 24000, 50000) # bytes of an answer's head
BEHIND = (0, 3000, 60000) # bytes that a caller sends behind its request


def parameters(n):
    return "?" + "&".join("p%d=v" % i for i in range(n)), {}


def lines(n):
    return "", {"X%d" % i: "v" for i in range(n)}


def cookies(n):
    return "", {"Cookie": "; ".join("c%d=v" % i for i in range(n))}


def all_three(n):
    query, headers = parameters(n // 3)
    return query, dict(lines(n // 3)[1], **cookies(n // 3)[1])


def long_target(n):
    return "/" + "x" * (10 * n), {}


SHAPES = {"parameters": parameters, "lines": lines, "cookies": cookies, "all": all_three, "target": long_target}


def chunked(head, body):
    """The same request with a chunked body."""
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(body[i:i + 900]), body[i:i + 900]) for i in range(0, len(body), 900))
    return head[:-len(body)].replace(b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked") + chunks + \
        b"0\r\n\r\n"


class Callers:
    """A kept connection to each host, which is made anew once the host has closed it."""

    def __init__(self, stack):
        self.stack, self.conns = stack, {}
        self.ids = ("first-%d" % i for i in itertools.count())

    def send(self, host, data):
        if host not in self.conns:
            expect("first answer on a connection", self.ask(host, request_bytes("/once/x", next(self.ids))), (WHOLE, 200))
        return self.ask(host, data)

    def ask(self, host, data):
        if host not in self.conns:
            self.conns[host] = Connection(self.stack.port(host, "front"))
        self.conns[host].send(data)
        got, status, headers, _ = self.conns[host].read_answer()
        if got != WHOLE or headers.get("connection", "").lower() == "close":
            self.drop(host)
        return got, status

    def drop(self, host):
        if host in self.conns:
            self.conns.pop(host).close()


def case_grid(stack):
    """Guards against heads within all limits that are refused, and against requests that run and whose good answers are
    replaced, since libraries have one size of memory for the head of a request, that of its answer and what is sent
    behind."""
    stack.up()
    rng = random.Random(int(os.environ.get("BG_HEADS_SEED", "1")))
    callers, wrong, total = Callers(stack), [], int(os.environ.get("BG_HEADS", "300"))
    for i in range(total):
        if i % 20 == 0:
            filler = rng.choice(FILLERS)
            for name in ("p0", "p1"):
                stack.fault_engine(name, "ok", more="X-Policy: " + "v" * filler if filler else None)
        shape, parts = rng.choice(sorted(SHAPES)), rng.choice(PARTS)
        query, headers = SHAPES[shape](parts)
        body, behind = rng.choice((b"{}", b"b" * 5000)), rng.choice(BEHIND)
        kind, host = rng.choice(("once", "many")), "host-%d" % rng.randrange(3)
        request_id = "grid-%d" % i
        data = request_bytes("/%s/x%s" % (kind, query), request_id, body=body, **headers)
        if rng.random() < 0.3:
            data = chunked(data, body)
        if behind:
            data += request_bytes("/many/y", "behind-%d" % i, body=b"z" * behind)
        got = callers.send(host, data)
        runs = stack.ledger()["runs"].get(request_id, 0)
        if got != (WHOLE, 200) or (kind == "once" and runs != 1):
            wrong.append((request_id, shape, parts, filler, len(body), behind, kind, got, runs))
        if behind:
            callers.drop(host)
    print("%d of %d requests served" % (total - len(wrong), total))
    expect("not served", wrong, [])


def case_idle_memory(stack):
    """Guards against memory that kept connections hold though nobody asks anything on them: 1,000 of them, each with a
    request of a large head behind it, cost a host no more than the blocks of usual ones."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4096)), hard))
    stack.up()
    before = stack.memory_kb("host-0")
    conns = []
    for i in range(1000):
        conn = Connection(stack.port("host-0", "front"))
        conn.send(request_bytes("/many/x", "idle-%d" % i))
        expect("answer", conn.read_answer()[:2], (WHOLE, 200))
        conns.append(conn)
    kept = stack.memory_kb("host-0") - before
    large, headers = 0, lines(1300)[1]
    for i, conn in enumerate(conns[:300]):
        conn.send(request_bytes("/many/x", "large-%d" % i, **headers))
        got, status, answer, _ = conn.read_answer()
        expect("answer to a large head", (got, status), (WHOLE, 200))
        large += answer.get("connection", "").lower() == "close"
    after = stack.memory_kb("host-0") - before
    print("1,000 kept connections: %d KiB; after 300 large heads, %d of them closed: %d KiB" % (kept, large, after))
    if kept > 40 * 1024 or after > kept + 8 * 1024:
        raise Failure("kept connections hold %d KiB, %d KiB after large heads" % (kept, after))
    for conn in conns:
        conn.close()


def spoilt(rng, data):
    """Changes some bytes of a request, most of them where its framing is."""
    data = bytearray(data)
    for _ in range(rng.choice((0, 1, 1, 2, 8))):
        at = rng.randrange(min(len(data), rng.choice((40, 400, 1 << 20))))
        change = rng.choice((b"\r\n", b"\n", b"\r", b":", b" ", b"\0", b";", b"\xff", b"\r\n\r\n", b"chunked", b"-1", b""))
        data[at:at + rng.randrange(3)] = change
    return bytes(data)


def in_pieces(rng, data):
    """Yields what to send at a time."""
    while data:
        n = rng.choice((1, 3, 50, 1460, 1 << 20))
        yield data[:n]
        data = data[n:]


def fuzz_connection(rng, stack, host, names):
    """Sends some requests, sound and spoilt ones, in pieces, one behind the other or in turn; leaves in some way."""
    conn = Connection(stack.port(host, "front"), timeout=0.2)
    try:
        for _ in range(rng.randrange(1, 5)):
            query, headers = SHAPES[rng.choice(sorted(SHAPES))](rng.choice((1, 30, 300, 1300)))
            body = b"b" * rng.choice((1, 2000, 30000))
            data = request_bytes("/%s/x%s" % (rng.choice(("once", "many")), query), next(names), body=body, **headers)
            if rng.random() < 0.3:
                data = chunked(data, body)
            for piece in in_pieces(rng, spoilt(rng, data)):
                conn.send(piece)
            if rng.random() < 0.6:
                conn.read_answer()
        if rng.random() < 0.3:
            conn.sock.shutdown(socket.SHUT_WR)
            conn.fill()
        if rng.random() < 0.3:
            conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, ValueError, IndexError):
        pass
    conn.close()


def case_fuzz(stack):
    """Guards against bytes by which a host ends, hangs, loses sound requests or keeps memory: connections with spoilt
    heads and framing, in pieces, beside sound ones. BG_HEADS: number of connections; BG_HEADS_MIB: the most memory of a
    host, which a sanitizer multiplies."""
    stack.up()
    rng = random.Random(int(os.environ.get("BG_HEADS_SEED", "1")))
    names, total = ("fuzz-%d" % i for i in itertools.count()), int(os.environ.get("BG_HEADS", "400"))
    for name in ("p0", "p1"):
        stack.fault_engine(name, "ok", more="X-Policy: " + "v" * 30000)
    for i in range(total):
        fuzz_connection(rng, stack, "host-%d" % (i % 3), names)
        if i % 20 == 0:
            for host in stack.hosts:
                expect("sound request at " + host, stack.ask(host, "/once/a", "sound-%d-%s" % (i, host))[0], 200)
    for host in stack.hosts:
        if stack.memory_kb(host, "VmHWM") > int(os.environ.get("BG_HEADS_MIB", "200")) * 1024:
            raise Failure("%s has had %d KiB" % (host, stack.memory_kb(host, "VmHWM")))
    print("%d connections, largest host %d KiB" % (total, max(stack.memory_kb(h, "VmHWM") for h in stack.hosts)))


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
