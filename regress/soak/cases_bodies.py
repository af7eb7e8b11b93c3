"""Test cases for requests whose bodies fill a host's memory: python3 regress/soak/cases_bodies.py NAME. Each docstring
names the failure that the case guards against."""
import select
import socket
import threading
import time

from cases import events, expect, run
from cases_lost import WHOLE, Connection, request_bytes
from cases_endless import forget_peak, peak_kb
from cases_slow import TIMEOUT_MS, memory_bytes, read_together, up
from proxy import Proxy, before_plain_endpoints, request_id_of
from stack import Failure, eventually

BODY_TOTAL_BYTES = 64 << 20     # bodies that a host holds at most: the default of [requests] body_total_mb
BODY_BYTES = 1000000            # size of a large body
PARTS, PART_EVERY_S = 20, 0.1   # parts that a large body is sent in, and time between two, in seconds
CROWD = 88                      # number of large bodies at the same time
SOUND_BODY_BYTES = 2000         # size of the body of a sound request
IDLE_MS = 2000                  # short idle timeout, in milliseconds
ENDED_S = 3 * IDLE_MS / 1000.0  # time within which a caller that sends a byte a second must be ended, in seconds
BYTES, BYTE_EVERY_S = 100, 1.0  # a body that is sent byte by byte: its size, and time between two bytes, in seconds
# Bodies of requests to endpoints that don't read them for so long, in seconds; memory by which their host may grow.
UNREAD_BYTES, UNREAD, UNREAD_S, UNREAD_MEMORY_MAX_KB = 4 << 20, 12, 1.0, 56 << 10
SLOW_CALLERS = 16               # number of callers that send a byte a second


class LargeBody:
    """A caller that sends a large body slowly, up to its last byte, which it sends when it is told to. It stops once
    the host has answered."""

    def __init__(self, stack, request_id):
        self.id = request_id
        self.data = request_bytes("/many/a", request_id, b"x" * BODY_BYTES, Bronzegauge_Deadline_Ms=TIMEOUT_MS)
        self.conn = Connection(stack.port("host-0", "front"))
        self.sent_all = False

    def is_answered(self):
        return bool(select.select([self.conn.sock], [], [], 0)[0])

    def send_most(self):
        part = len(self.data) // PARTS + 1
        for at in range(0, len(self.data) - 1, part):
            if self.is_answered():
                return
            self.conn.send(self.data[at:min(at + part, len(self.data) - 1)])
            time.sleep(PART_EVERY_S)

    def send_last(self):
        if not self.is_answered():
            self.conn.send(self.data[-1:])
            self.sent_all = True

    def read_end(self):
        """Reads the answer, which must be a success or a refusal with a time to return, and the end of a connection
        of which the host has not read the body."""
        got, status, headers, _ = self.conn.read_answer()
        if got != WHOLE or status not in (200, 503) or (status == 200) != self.sent_all:
            raise Failure("%s got %s with status %d, body sent: %s" % (self.id, got, status, self.sent_all))
        if status == 503:
            self.check_refusal(headers)
        self.conn.close()
        return status

    def check_refusal(self, headers):
        retry_s = float(headers.get("retry-after", 0))
        if not 0 < retry_s <= TIMEOUT_MS / 3000.0:
            raise Failure("%s is told to return after %r s" % (self.id, headers.get("retry-after")))
        if self.conn.fill():
            raise Failure("%s got more than one answer: %r" % (self.id, bytes(self.conn.data)))


class SoundCallers:
    """Sends requests with short bodies one after the other, until it is left; then all must have been served."""

    def __init__(self, stack):
        self.stack, self.ending, self.statuses = stack, threading.Event(), []
        self.thread = threading.Thread(target=self.send_all)

    def send_all(self):
        while not self.ending.is_set():
            conn = Connection(self.stack.port("host-0", "front"))
            conn.send(request_bytes("/many/a", "sound-%d" % len(self.statuses), b"y" * SOUND_BODY_BYTES))
            self.statuses.append(conn.read_answer()[1])
            conn.close()

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.thread.join()
        print("%d sound requests" % len(self.statuses))
        expect("sound requests that were not served", [s for s in self.statuses if s != 200], [])


def case_bound(stack):
    """Guards against a host whose memory grows with bodies that come slowly, and that loses other requests for them."""
    stack.body_max_bytes = 2 * BODY_BYTES
    stack.timeout_ms = TIMEOUT_MS
    stack.up()
    before = memory_bytes(stack, "host-0")
    crowd = [LargeBody(stack, "large-%d" % i) for i in range(CROWD)]
    with SoundCallers(stack):
        read_together(crowd, LargeBody.send_most)
        grown = memory_bytes(stack, "host-0") - before
        statuses = []
        read_together(crowd, LargeBody.send_last)
        read_together(crowd, lambda caller: statuses.append(caller.read_end()))
    print("memory of host-0 grew by %d bytes, statuses: %r" % (grown, {s: statuses.count(s) for s in set(statuses)}))
    if grown > BODY_TOTAL_BYTES:
        raise Failure("%d bodies of %d bytes made host-0 grow by %d bytes" % (CROWD, BODY_BYTES, grown))
    if 200 not in statuses:
        raise Failure("no large body was served")
    runs = stack.ledger()["runs"]
    expect("requests that ran without an answer", [c.id for c in crowd if not c.sent_all and runs.get(c.id, 0)], [])
    eventually("host-0 holds no body", lambda: stack.metric("host-0", "bg_request_bodies_bytes{}") == 0)


def send_byte_by_byte(stack, request_id):
    """Sends a body a byte a second; returns the time after which the host ended it, in seconds."""
    data = request_bytes("/many/a", request_id, b"x" * BYTES)
    conn = Connection(stack.port("host-0", "front"))
    began = time.monotonic()
    conn.send(data[:-BYTES])
    while time.monotonic() - began < ENDED_S:
        conn.send(b"x")
        if select.select([conn.sock], [], [], BYTE_EVERY_S)[0]:
            got, status, _, _ = conn.read_answer()
            expect("answer to " + request_id, (got, status), (WHOLE, 408))
            return time.monotonic() - began
    raise Failure("%s still sends a byte a second after %.1f s" % (request_id, ENDED_S))


def case_byte_a_second(stack):
    """Guards against callers that send a byte now and then and keep a connection for ever."""
    stack.idle_ms = IDLE_MS
    up(stack)
    ids = ["byte-%d" % i for i in range(SLOW_CALLERS)]
    took = []
    with SoundCallers(stack):
        read_together(ids, lambda i: took.append(send_byte_by_byte(stack, i)))
    print("ended after %.1f to %.1f s" % (min(took), max(took)))
    runs = stack.ledger()["runs"]
    expect("requests that ran without a whole body", [i for i in ids if runs.get(i, 0)], [])
    eventually("host-0 holds no body", lambda: stack.metric("host-0", "bg_request_bodies_bytes{}") == 0)
    expect("counted refusals", stack.metric("host-0", 'bg_bodies_refused_total{why="slow"}'), SLOW_CALLERS)
    eventually("host-0 logs all refusals",
               lambda: sum(e["slow"] for e in events(stack, "host-0", "bodies_refused")) == SLOW_CALLERS)


class LateReader(Proxy):
    """Stands for a plain endpoint that reads nothing of large bodies for a while, so that their requests are tried at a
    second one beside it, and then answers."""

    attempts = 0

    def forward(self, near):
        head = near.recv(1 << 16, socket.MSG_PEEK)
        if b"Request-Id: unread-" not in head:
            super().forward(near)
            return
        LateReader.attempts += 1
        time.sleep(UNREAD_S)
        request_id = request_id_of(head)
        left = head.index(b"\r\n\r\n") + 4 + UNREAD_BYTES
        try:
            while left > 0:
                part = near.recv(min(left, 1 << 16))
                if not part:
                    break
                left -= len(part)
            if left == 0:
                near.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Response-Seal: s\r\n"
                             b"Content-Length: 2\r\n\r\nok" % request_id)
        except OSError:
            pass
        near.close()


def case_held_once(stack):
    """Guards against a host that runs out of memory since it holds each body once for each attempt and once more for
    the HTTP client, while endpoints don't read."""
    before_plain_endpoints(stack, LateReader)
    stack.body_max_bytes = UNREAD_BYTES
    up(stack)
    forget_peak(stack, "host-0")
    before = peak_kb(stack, "host-0")
    answers = []

    def send(number):
        conn = Connection(stack.port("host-0", "front"))
        conn.send(request_bytes("/many/a", "unread-%d" % number, b"x" * UNREAD_BYTES,
                                Bronzegauge_Deadline_Ms=TIMEOUT_MS))
        answers.append(conn.read_answer()[:2])
        conn.close()

    read_together(range(UNREAD), send)
    grown = peak_kb(stack, "host-0") - before
    print("%d bodies of %d KiB, %d attempts: grown by %d KiB" % (UNREAD, UNREAD_BYTES >> 10, LateReader.attempts, grown))
    expect("answers", answers, [(WHOLE, 200)] * UNREAD)
    expect("more than one attempt each", LateReader.attempts > UNREAD, True)
    if grown > UNREAD_MEMORY_MAX_KB:
        raise Failure("the host has grown by %d KiB" % grown)


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


if __name__ == "__main__":
    run(CASES)
