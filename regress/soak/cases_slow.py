"""Test cases for callers that read their answers slowly: python3 regress/soak/cases_slow.py NAME. Each docstring names
the failure that the case guards against."""
import array
import fcntl
import functools
import termios
import time

from cases import expect, run
from cases_lost import WHOLE, Connection, request_bytes
from stack import Failure, eventually

ANSWER_BYTES = 12000000     # size of a large plain answer
EVENTS, EVENT_BYTES = 36, 400000    # events of a large stream and size of the data of each
WORD_BYTES = 8              # length of a word of an answer, see platform/stand_engine_size.c
# Time for which no bytes may arrive at a socket before the buffers on the way to it are taken for full, in seconds.
SETTLED_S = 0.5
RECEIVE_BUFFER_BYTES = 65536    # receive buffer of a caller's connection
TIMEOUT_MS = 60000          # timeout of routes and deadline of requests, in milliseconds


@functools.lru_cache(maxsize=2)
def words(n):
    """The first n bytes that the stand-in for endpoints sends as an answer: each word tells its offset."""
    return b"".join(b"%08x" % offset for offset in range(0, n, WORD_BYTES))[:n]


def check_words(request_id, body, n=ANSWER_BYTES):
    """Checks that the body has the n bytes that the endpoint sent."""
    want = words(n)
    if body != want:
        same = next((i for i, pair in enumerate(zip(body, want)) if pair[0] != pair[1]), min(len(body), n))
        raise Failure("%s: %d of %d bytes; those from %d on are wrong or missing" % (request_id, len(body), n, same))


def check_events(request_id, body, first=1, last=EVENTS, n=EVENT_BYTES):
    """Checks that the body has exactly the events first..last, complete and in order."""
    events = body.split(b"\n\n")
    expect("end of the last event of " + request_id, events.pop(), b"")
    for i, event in enumerate(events):
        want = b"id: %d\ndata: %s %d %s" % (first + i, request_id.encode(), first + i, words(n))
        if event != want:
            raise Failure("%s: event %d is wrong: %d bytes %r" % (request_id, first + i, len(event), event[:60]))
    expect("events of " + request_id, len(events), last - first + 1)


class SlowCaller:
    """A caller that has sent a request for a large answer and reads of it when it is told to."""

    def __init__(self, stack, path, request_id, host="host-0", answer_bytes=ANSWER_BYTES, **headers):
        self.id, self.answer_bytes = request_id, answer_bytes
        self.conn = Connection(stack.port(host, "front"), timeout=30, receive_buffer=RECEIVE_BUFFER_BYTES)
        self.conn.send(request_bytes(path, request_id, Stand_Answer_Bytes=answer_bytes,
                                     Bronzegauge_Deadline_Ms=TIMEOUT_MS,
                                     Bronzegauge_Token_Counts="50,%d" % EVENTS, **headers))

    def bytes_unread(self):
        """Returns the number of bytes that have arrived at the socket and were not read."""
        n = array.array("i", [0])
        fcntl.ioctl(self.conn.sock, termios.FIONREAD, n)
        return n[0]

    def wait_until_full(self):
        """Waits until the buffers on the way to this caller are full: no more bytes arrive."""
        seen, since = 0, time.monotonic()

        def has_settled():
            nonlocal seen, since
            n = self.bytes_unread()
            if n != seen:
                seen, since = n, time.monotonic()
            return n > 0 and time.monotonic() - since > SETTLED_S
        eventually("the buffers on the way to %s are full" % self.id, has_settled)

    def read_whole(self):
        """Reads the rest of the answer, which must be a whole one; returns its body."""
        got, status, _, body = self.conn.read_answer()
        if (got, status) != (WHOLE, 200):
            raise Failure("%s got %s with status %d and %d bytes" % (self.id, got, status, len(body)))
        return body

    def close(self):
        self.conn.close()


def up(stack):
    stack.timeout_ms = TIMEOUT_MS
    stack.up()


def case_short_answer(stack):
    """Guards against an answer that comes short to a caller that reads it late, and looks whole."""
    up(stack)
    for framing in ("length", "chunked"):
        caller = SlowCaller(stack, "/many/a", "short-" + framing, Stand_Answer_Framing=framing)
        caller.wait_until_full()
        check_words(caller.id, caller.read_whole())


def case_short_stream(stack):
    """Guards against a stream that comes short to a caller that reads it late, and looks whole."""
    up(stack)
    caller = SlowCaller(stack, "/stream/a", "short-1", answer_bytes=EVENT_BYTES)
    caller.wait_until_full()
    check_events(caller.id, caller.read_whole())


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


if __name__ == "__main__":
    run(CASES)
