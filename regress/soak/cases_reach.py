"""Test cases of hosts that are cut off from endpoints while callers, the store and the other hosts reach them:
python3 regress/soak/cases_reach.py NAME."""
import http.client
import itertools
import threading
import time

from cases import expect, run
from gate import Gate
from stack import Failure, check_stream, eventually

STABLE_S = 3.0      # time from the beginning of a cut after which callers must be served again, in seconds
MEASURE_S = 6.0     # time for which answers are counted after that, in seconds
# Callers of cut hosts must be served this part as often as those of other hosts, in the first try.
SERVED_PART_MIN = 2.0 / 3.0
# First tries that may fail at cut hosts: a number, and a part of all.
FAILED_MIN, FAILED_PART = 10, 1.0 / 50.0
RATES_PER_S = {"many": 6, "once": 2, "stream": 3}   # requests a second at each host
PATIENCE_S = 3.0    # longest wait of a caller for an answer, in seconds


class Try:
    """A caller's first try."""

    def __init__(self, at, host, kind, request_id):
        self.at, self.host, self.kind, self.id = at, host, kind, request_id
        self.status, self.headers, self.served = None, {}, False


class MixedCallers:
    """Context manager that sends requests of all kinds to each host at fixed rates."""

    def __init__(self, stack):
        self.stack, self.tries = stack, []
        self.number, self.lock, self.ending = itertools.count(), threading.Lock(), threading.Event()
        self.threads = []

    def ask(self, host, kind):
        one = Try(time.monotonic(), host, kind, "%s-%s-%d" % (host, kind, next(self.number)))
        with self.lock:
            self.tries.append(one)
        try:
            one.status, one.headers, body = self.stack.ask(host, "/%s/a" % kind, one.id, timeout=PATIENCE_S)
            if one.status == 200 and kind == "stream":
                check_stream(one.id, body)
            one.served = one.status == 200
        except (OSError, http.client.HTTPException):
            one.status = 0

    def send_at_rate(self, host, kind):
        asking = []
        while not self.ending.wait(1.0 / RATES_PER_S[kind]):
            asking.append(threading.Thread(target=self.ask, args=(host, kind)))
            asking[-1].start()
        for thread in asking:
            thread.join()

    def __enter__(self):
        for host in self.stack.hosts:
            for kind in RATES_PER_S:
                self.threads.append(threading.Thread(target=self.send_at_rate, args=(host, kind)))
                self.threads[-1].start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def between(self, hosts, begin, end):
        with self.lock:
            return [t for t in self.tries if t.host in hosts and begin <= t.at < end]


def up(stack, hosts=5, plain=4):
    """Starts hosts and endpoints with a gate before each endpoint; returns the gates."""
    stack.hosts = ["host-%d" % i for i in range(hosts)]
    stack.store_via = {h: stack.store_port for h in stack.hosts}
    stack.sources = {h: "127.0.0.%d" % (11 + i) for i, h in enumerate(stack.hosts)}
    for i in range(2, plain):
        stack.points.append(("p%d" % i, stack.base + 20 + i, "plain", "z%d" % (i % 2), "-"))
    gates = []
    for i, point in enumerate(stack.points):
        stack.known_as[point[0]] = stack.base + 60 + i
        gates.append(Gate(stack.base + 60 + i, point[1]))
    stack.up()
    return gates


def cut(stack, gates, hosts, how):
    sources = [stack.sources[h] for h in hosts]
    for gate in gates:
        gate.cut(sources, how)
    return time.monotonic()


def mend(gates):
    for gate in gates:
        gate.mend()
    return time.monotonic()


def part(tries):
    return sum(t.served for t in tries) / max(len(tries), 1)


def print_served(what, tries):
    kinds = ", ".join("%s %d of %d" % (k, sum(t.served for t in tries if t.kind == k),
                                       sum(1 for t in tries if t.kind == k)) for k in RATES_PER_S)
    print("%s: served %d of %d (%s)" % (what, sum(t.served for t in tries), len(tries), kinds))


def check_served(callers, cut_hosts, begin, end):
    """Checks that first tries at the cut hosts are served as the users' rule RECOVER asks."""
    others = [h for h in callers.stack.hosts if h not in cut_hosts]
    here, there = callers.between(cut_hosts, begin, end), callers.between(others, begin, end)
    print_served("cut hosts", here)
    print_served("the others", there)
    failed = sum(not t.served for t in here)
    if part(here) < SERVED_PART_MIN * part(there) or failed > FAILED_MIN + FAILED_PART * len(here):
        raise Failure("first tries at hosts without endpoints: %d of %d failed" % (failed, len(here)))
    return here, there


def check_runs(stack, callers):
    """Checks that no request that may run once ran twice, and that none ran that was refused as not run."""
    ledger = stack.ledger()
    expect("violations", ledger["violations"], "")
    for one in callers.tries:
        runs = ledger["runs"].get(one.id, 0)
        if one.kind == "once" and runs > 1:
            raise Failure("%s ran %d times" % (one.id, runs))
        if one.status in (429, 503) and runs > 0 and one.kind == "once":
            raise Failure("%s was refused as not run, and ran" % one.id)


def check_cut(stack, how, n_cut=3, hosts=5):
    gates = up(stack, hosts)
    cut_hosts = stack.hosts[:n_cut]
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        began = cut(stack, gates, cut_hosts, how)
        time.sleep(STABLE_S + MEASURE_S + PATIENCE_S)
        check_served(callers, cut_hosts, began + STABLE_S, began + STABLE_S + MEASURE_S)
        ended = mend(gates)
        time.sleep(STABLE_S + MEASURE_S / 2 + PATIENCE_S)
        after = callers.between(stack.hosts, ended + STABLE_S, ended + STABLE_S + MEASURE_S / 2)
        print_served("all, after the cut", after)
        if sum(not t.served for t in after) > FAILED_PART * len(after) + 1:
            raise Failure("after the cut not all are served")
    check_runs(stack, callers)


def case_hang(stack):
    """Guards against hosts that serve nobody while packets between them and all endpoints are lost."""
    check_cut(stack, "hang")


def case_accept(stack):
    """Guards against hosts that serve nobody while their connections to all endpoints are made but pass nothing."""
    check_cut(stack, "accept")


def case_reset(stack):
    """Guards against hosts that serve nobody while their connections to all endpoints are reset."""
    check_cut(stack, "reset")


def case_refuse(stack):
    """Guards against hosts that serve nobody while no new connection to an endpoint is made but open ones go on."""
    check_cut(stack, "refuse")


CASES = {k[len("case_"):]: v for k, v in globals().items() if k.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
