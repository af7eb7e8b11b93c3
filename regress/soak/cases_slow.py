"""Test cases for callers that read their answers slowly: python3 regress/soak/cases_slow.py NAME. Each docstring names
the failure that the case guards against."""
import array
import fcntl
import signal
import termios
import threading
import time

import cases_reach
from cases import events, expect, run
from cases_lost import WHOLE, Connection, request_bytes
from stack import Failure, check_stream, check_words, eventually

ANSWER_BYTES = 12000000     # size of a large plain answer
EVENTS, EVENT_BYTES = 36, 400000    # events of a large stream and size of the data of each
# Time for which no bytes may arrive at a socket before the buffers on the way to it are taken for full, in seconds.
SETTLED_S = 0.5
RECEIVE_BUFFER_BYTES = 65536    # receive buffer of a caller's connection
TIMEOUT_MS = 60000          # timeout of routes and deadline of requests, in milliseconds
CROWD = 8                   # number of callers that read slowly at the same time
CROWD_ANSWER_BYTES = 16000000       # size of a plain answer to each of them
CROWD_MEMORY_MAX_BYTES = 64 << 20   # by which the memory of a host may grow for that many
# Sizes of a plain answer and of each event of a stream that don't fit into the kernel's buffers from an endpoint to a
# caller.
HUGE_BYTES, HUGE_EVENT_BYTES = 40000000, 1000000
READY_BYTES = 393216        # answer that a host has whole while its caller has read a part of it
LARGE_EVENT_BYTES = 8000000     # larger than what a host keeps of an event until it is complete
IDLE_MS = 2000              # short idle timeout, in milliseconds
# A caller that reads a little: bytes a time, time between two reads and for how long, in seconds.
SIP_BYTES, SIP_EVERY_S, SIPS_S = 65536, 0.25, 3 * IDLE_MS / 1000.0
BODY_BYTES, BODY_PART_BYTES = 96000, 4000   # size of a request's body that is sent in parts, and of a part


class SlowCaller:
    """A caller that has sent a request for a large answer and reads of it when it is told to. The size is that of a
    plain answer, or that of each event of a stream."""

    def __init__(self, stack, path, request_id, host="host-0", answer_bytes=None, **headers):
        self.id = request_id
        self.is_stream = path.startswith("/stream/")
        self.answer_bytes = answer_bytes or (EVENT_BYTES if self.is_stream else ANSWER_BYTES)
        self.conn = Connection(stack.port(host, "front"), timeout=30, receive_buffer=RECEIVE_BUFFER_BYTES)
        self.conn.send(request_bytes(path, request_id, Stand_Answer_Bytes=self.answer_bytes,
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

    def read_broken(self):
        """Reads the rest of the answer, which must be visibly broken off; returns what came of its body."""
        got, status, _, body = self.conn.read_answer()
        if got == WHOLE:
            raise Failure("%s got a whole answer: status %d, %d bytes" % (self.id, status, len(body)))
        return body

    def sip(self, seconds):
        """Reads a little every now and then."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not self.conn.fill(SIP_BYTES):
                raise Failure("%s was broken off after %d bytes though it reads" % (self.id, len(self.conn.data)))
            time.sleep(SIP_EVERY_S)

    def close(self):
        self.conn.close()


def check_answer(caller, body):
    """Checks that the body is what the endpoint sent to the caller."""
    if caller.is_stream:
        check_stream(caller.id, body, last=EVENTS, event_bytes=caller.answer_bytes)
    else:
        check_words(caller.id, body, caller.answer_bytes)


def up(stack):
    stack.timeout_ms = TIMEOUT_MS
    stack.up()


def memory_bytes(stack, host):
    """Returns the resident memory of the host's process."""
    return 1024 * stack.memory_kb(host)


def fill_crowd(stack, path, host="host-0", **more):
    """Returns callers that read nothing, once all buffers on the way to them are full."""
    crowd = [SlowCaller(stack, path, "crowd-%d" % i, host, **more) for i in range(CROWD)]
    for caller in crowd:
        caller.wait_until_full()
    return crowd


def read_together(callers, read):
    """Calls read(caller) for all callers at the same time; raises the first failure."""
    failures = []

    def read_one(caller):
        try:
            read(caller)
        except Exception as failure:
            failures.append(failure)
    threads = [threading.Thread(target=read_one, args=(caller,)) for caller in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise failures[0]


def expect_broken_off(stack, caller, host="host-0"):
    """Checks that the host broke the answer off, says so, and that the endpoint saw its connection end."""
    def is_logged():
        ends = [e for e in events(stack, host, "connection_ended") if e["id"] == caller.id]
        return ends and expect("end of " + caller.id, ends[0]["caller_got"], "broken_off") is None
    eventually("%s says that it broke off %s" % (host, caller.id), is_logged)
    eventually("the endpoint of %s sees its connection end" % caller.id,
               lambda: caller.id in [cut["request"] for cut in stack.ledger()["cut"]])
    caller.read_broken()


def read_resumed(stack, caller):
    """Reads the rest of a stream, which must be whole though it was sent to endpoints more than once."""
    check_answer(caller, caller.read_whole())
    if sum(e["id"] == caller.id for e in events(stack, "host-0", "sent")) < 2:
        raise Failure("%s was not resumed" % caller.id)


def cut_off(stack):
    """Starts hosts of which host-0 reaches the endpoints through the others only; returns the gates."""
    stack.timeout_ms = TIMEOUT_MS
    gates = cases_reach.up(stack, hosts=3, plain=2)
    cases_reach.cut(stack, gates, ["host-0"], "reset")
    eventually("plain requests and streams go through another host",
               lambda: stack.ask("host-0", "/many/a", "through-%f" % time.monotonic())[0] == 200 and
               stack.serves_stream("host-0") and events(stack, "host-0", "answer_through"))
    return gates


def gateways(stack, request_id):
    """Returns the hosts that carried the request's attempts, in the order of the attempts."""
    opened = [(e["t"], h) for h in stack.hosts for e in events(stack, h, "tunnel_opened") if e.get("id") == request_id]
    return [h for _, h in sorted(opened)]


def case_short_answer(stack):
    """Guards against an answer that comes short to a caller that reads it late, and looks whole."""
    up(stack)
    for framing in ("length", "chunked"):
        caller = SlowCaller(stack, "/many/a", "short-" + framing, Stand_Answer_Framing=framing)
        caller.wait_until_full()
        check_answer(caller, caller.read_whole())


def case_short_stream(stack):
    """Guards against a stream that comes short to a caller that reads it late, and looks whole."""
    up(stack)
    caller = SlowCaller(stack, "/stream/a", "short-1")
    caller.wait_until_full()
    check_answer(caller, caller.read_whole())


def case_large_events(stack):
    """Guards against a stream that is broken off since its events are larger than what is kept of one, and against a
    host that keeps them whole."""
    up(stack)
    before = memory_bytes(stack, "host-0")
    caller = SlowCaller(stack, "/stream/a", "large-events", answer_bytes=LARGE_EVENT_BYTES)
    caller.wait_until_full()
    grown = memory_bytes(stack, "host-0") - before
    print("memory of host-0 grew by %d bytes" % grown)
    if grown > LARGE_EVENT_BYTES:
        raise Failure("an event of %d bytes made host-0 grow by %d bytes" % (LARGE_EVENT_BYTES, grown))
    check_answer(caller, caller.read_whole())


def case_crowd(stack):
    """Guards against a host whose memory grows with what its callers don't read."""
    up(stack)
    before = memory_bytes(stack, "host-0")
    crowd = fill_crowd(stack, "/many/a", answer_bytes=CROWD_ANSWER_BYTES)
    grown = memory_bytes(stack, "host-0") - before
    print("memory of host-0 grew by %d bytes" % grown)
    if grown > CROWD_MEMORY_MAX_BYTES:
        raise Failure("%d slow callers made host-0 grow by %d bytes" % (CROWD, grown))
    read_together(crowd, lambda caller: check_answer(caller, caller.read_whole()))


def case_beside(stack):
    """Guards against callers that read at once and wait for those that don't, at the same host and endpoint."""
    stack.points = [p for p in stack.points if p[0] != "p1"]
    up(stack)
    crowd = fill_crowd(stack, "/many/a")
    for i in range(20):
        expect("status beside slow callers", stack.ask("host-0", "/many/a", "small-%d" % i)[0], 200)
    for i in range(3):
        fast = SlowCaller(stack, "/many/a", "fast-%d" % i)
        check_answer(fast, fast.read_whole())
    for caller in crowd:
        if not caller.bytes_unread():
            raise Failure("%s has nothing to read" % caller.id)
    read_together(crowd, lambda caller: check_answer(caller, caller.read_whole()))


def case_tunnel(stack):
    """Guards against answers through another host that come short, and against memory of that host that grows with
    what the callers don't read."""
    gates = cut_off(stack)
    before = {h: memory_bytes(stack, h) for h in stack.hosts}
    crowd = fill_crowd(stack, "/many/a", answer_bytes=CROWD_ANSWER_BYTES)
    streamed = SlowCaller(stack, "/stream/a", "streamed")
    streamed.wait_until_full()
    for host in stack.hosts:
        grown = memory_bytes(stack, host) - before[host]
        print("memory of %s grew by %d bytes" % (host, grown))
        if grown > CROWD_MEMORY_MAX_BYTES:
            raise Failure("%d slow callers made %s grow by %d bytes" % (CROWD + 1, host, grown))
    read_together(crowd + [streamed], lambda caller: check_answer(caller, caller.read_whole()))
    for caller in crowd + [streamed]:
        if not gateways(stack, caller.id):
            raise Failure("%s went through no other host" % caller.id)
    cases_reach.mend(gates)


def case_tunnel_host_killed(stack):
    """Guards against answers that come short and look whole when the host that they lead through is killed."""
    gates = cut_off(stack)
    plain = SlowCaller(stack, "/many/a", "plain")
    streamed = SlowCaller(stack, "/stream/a", "streamed")
    for caller in (plain, streamed):
        caller.wait_until_full()
    stack.kill(gateways(stack, streamed.id)[-1])
    read_resumed(stack, streamed)
    got, _, _, body = plain.conn.read_answer()
    if got == WHOLE:
        check_answer(plain, body)
    cases_reach.mend(gates)


def case_reads_nothing(stack):
    """Guards against a caller that reads nothing and keeps an endpoint busy for ever, and against the end of such an
    answer that nobody sees."""
    stack.idle_ms = IDLE_MS
    up(stack)
    plain = SlowCaller(stack, "/many/a", "nothing-plain", answer_bytes=HUGE_BYTES)
    chunked = SlowCaller(stack, "/many/a", "nothing-chunked", answer_bytes=HUGE_BYTES, Stand_Answer_Framing="chunked")
    streamed = SlowCaller(stack, "/stream/a", "nothing-stream", answer_bytes=HUGE_EVENT_BYTES)
    for caller in (plain, chunked, streamed):
        expect_broken_off(stack, caller)


def case_reads_a_little(stack):
    """Guards against a caller that reads all the time, but slowly, and is taken for one that reads nothing."""
    stack.idle_ms = IDLE_MS
    up(stack)
    caller = SlowCaller(stack, "/many/a", "little")
    caller.sip(SIPS_S)
    check_answer(caller, caller.read_whole())


def case_resumed(stack):
    """Guards against events that are lost or come twice when the connection of a stream is reset while its caller is
    behind."""
    stack.timeout_ms = TIMEOUT_MS
    gates = cases_reach.up(stack, hosts=3, plain=2)
    crowd = [SlowCaller(stack, "/stream/a", "resumed-%d" % i) for i in range(2)]
    for caller in crowd:
        caller.wait_until_full()
    for gate in gates:
        gate.set("reset")
    for caller in crowd:
        read_resumed(stack, caller)


def case_engine_restarts(stack):
    """Guards against events that are lost or come twice when the engine of a stream restarts while its caller is
    behind."""
    up(stack)
    caller = SlowCaller(stack, "/stream/a", "restarts")
    eventually("the engine runs the stream", lambda: stack.ledger()["streams"] == 1)
    addr = events(stack, "host-0", "sent")[-1]["addr"]
    stack.fault_engine(next(p[0] for p in stack.points if addr == "127.0.0.1:%d" % p[1]), "reborn")
    caller.wait_until_full()
    read_resumed(stack, caller)


def case_ready_at_stop(stack):
    """Guards against answers that a host has whole when it is stopped and that it throws away, since their callers read
    them slowly, though the kernel would deliver them after the process has ended."""
    up(stack)
    for path in ("/once/x", "/many/x"):
        host = "host-0" if path.startswith("/once/") else "host-1"
        crowd = [SlowCaller(stack, path, "ready-%s-%d" % (host, i), host, READY_BYTES) for i in range(CROWD)]
        for caller in crowd:
            caller.wait_until_full()
        stack.signal(host, signal.SIGTERM)
        eventually(host + " has ended", lambda h=host: stack.procs[h].poll() is not None)
        read_together(crowd, lambda caller: check_answer(caller, caller.read_whole()))
        expect("cuts of " + host, events(stack, host, "stop_cuts"), [])


def case_host_stops(stack):
    """Guards against answers that come short and look whole when their host is stopped before slow callers have read
    them, and against those that read on and don't get a whole one."""
    up(stack)
    crowd = fill_crowd(stack, "/many/a")
    readers, sleepers = crowd[::2], crowd[1::2]
    stack.signal("host-0", signal.SIGTERM)
    eventually("host-0 stops", lambda: events(stack, "host-0", "stopping"))
    read_together(readers, lambda caller: check_answer(caller, caller.read_whole()))
    stack.procs["host-0"].wait()
    for caller in sleepers:
        caller.read_broken()


def send_slowly(stack, request_id):
    """Sends a request whose body comes in parts; returns what the caller got, and the status."""
    data = request_bytes("/many/a", request_id, b"x" * BODY_BYTES)
    conn = Connection(stack.port("host-0", "front"))
    for at in range(0, len(data), BODY_PART_BYTES):
        conn.send(data[at:at + BODY_PART_BYTES])
        time.sleep(SIP_EVERY_S / 2)
    try:
        return conn.read_answer()[:2]
    finally:
        conn.close()


def case_slow_bodies(stack):
    """Guards against requests that are lost, or run while a part of them is missing, when many bodies come slowly."""
    up(stack)
    before = memory_bytes(stack, "host-0")
    ids = ["body-%d" % i for i in range(8 * CROWD)]
    read_together(ids, lambda i: expect("answer to " + i, send_slowly(stack, i), (WHOLE, 200)))
    print("memory of host-0 grew by %d bytes" % (memory_bytes(stack, "host-0") - before))
    runs = stack.ledger()["runs"]
    expect("requests that ran", [i for i in ids if runs.get(i, 0) == 0], [])


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


if __name__ == "__main__":
    run(CASES)
