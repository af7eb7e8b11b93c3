"""Test cases of hosts that are cut off from endpoints while callers, the store and the other hosts reach them:
python3 regress/soak/cases_reach.py NAME."""
import http.client
import itertools
import json
import signal
import threading
import time

from cases import expect, run
from gate import Gate, cut_at_once
from stack import HOST_NAME, Failure, check_stream, eventually

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


def up(stack, hosts=5, plain=4, behind=lambda i, port: port):
    """Starts hosts and endpoints with a gate before each endpoint; returns the gates. behind: returns the port that the
    gate before endpoint i leads to."""
    stack.hosts = ["host-%d" % i for i in range(hosts)]
    stack.store_via = {h: stack.store_port for h in stack.hosts}
    stack.sources = {h: "127.0.0.%d" % (11 + i) for i, h in enumerate(stack.hosts)}
    for i in range(2, plain):
        stack.points.append(("p%d" % i, stack.base + 20 + i, "plain", "z%d" % (i % 2), "-"))
    gates = []
    for i, point in enumerate(stack.points):
        stack.known_as[point[0]] = stack.base + 60 + i
        gates.append(Gate(stack.base + 60 + i, behind(i, point[1])))
    stack.up()
    return gates


def cut(stack, gates, hosts, how):
    cut_at_once(gates, [stack.sources[h] for h in hosts], how)
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
        check_after(callers, stack, gates)
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


def check_after(callers, stack, gates):
    """Ends the cut and checks that all are served again from STABLE_S on."""
    ended = mend(gates)
    time.sleep(STABLE_S + MEASURE_S / 2 + PATIENCE_S)
    after = callers.between(stack.hosts, ended + STABLE_S, ended + STABLE_S + MEASURE_S / 2)
    print_served("all, after the cut", after)
    if sum(not t.served for t in after) > FAILED_PART * len(after) + 1:
        raise Failure("after the cut not all are served")


def events(stack, host, *names):
    """Returns the log lines of the host with these events."""
    lines = [json.loads(line) for line in stack.log(host).splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] in names]


def check_all_cut(stack, how):
    gates = up(stack)
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        began = cut(stack, gates, stack.hosts, how)
        time.sleep(STABLE_S + MEASURE_S / 2 + PATIENCE_S)
        tries = callers.between(stack.hosts, began + STABLE_S, began + STABLE_S + MEASURE_S / 2)
        refused = sum(t.status == 503 and float(t.headers.get("Retry-After", 0)) > 0 for t in tries)
        print("all hosts cut: %d of %d refused as not run with a time to return" % (refused, len(tries)))
        if len(tries) - refused > FAILED_PART * len(tries) + 1:
            raise Failure("%d of %d not refused with a time to return" % (len(tries) - refused, len(tries)))
        check_after(callers, stack, gates)
    check_runs(stack, callers)
    for host in stack.hosts:
        expect("endpoints taken for dead by " + host, events(stack, host, "endpoint_dead"), [])


def case_all_hang(stack):
    """Guards against callers who wait for their deadlines while no host reaches an endpoint, packets being lost."""
    check_all_cut(stack, "hang")


def case_all_reset(stack):
    """Guards against refusals without a time to return while all hosts' connections to endpoints are reset."""
    check_all_cut(stack, "reset")


def case_half(stack):
    """Guards against hosts that serve fewer while they do not reach half of the endpoints."""
    gates = up(stack)
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        began = cut(stack, gates[::2], stack.hosts[:2], "hang")
        time.sleep(STABLE_S + MEASURE_S + PATIENCE_S)
        check_served(callers, stack.hosts[:2], began + STABLE_S, began + STABLE_S + MEASURE_S)
        check_after(callers, stack, gates)
    check_runs(stack, callers)


def case_standstill(stack):
    """Guards against requests that fail because all endpoints fall silent for a second and go on."""
    up(stack)
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        began = time.monotonic()
        stack.signal("engine", signal.SIGSTOP)
        time.sleep(1)
        stack.signal("engine", signal.SIGCONT)
        time.sleep(MEASURE_S + PATIENCE_S)
        tries = callers.between(stack.hosts, began, began + MEASURE_S)
        print_served("around a standstill of a second", tries)
        if sum(not t.served for t in tries) > FAILED_MIN + FAILED_PART * len(tries):
            raise Failure("requests failed around a standstill")
    check_runs(stack, callers)


def case_flapping(stack):
    """Guards against hosts that serve fewer while cuts of 1.5 s come and go each 2.5 s."""
    gates = up(stack)
    cut_hosts = stack.hosts[:3]
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        began = time.monotonic()
        while time.monotonic() - began < STABLE_S + MEASURE_S:
            cut(stack, gates, cut_hosts, "hang")
            time.sleep(1.5)
            mend(gates)
            time.sleep(1)
        time.sleep(PATIENCE_S)
        check_served(callers, cut_hosts, began + STABLE_S, began + STABLE_S + MEASURE_S)
        check_after(callers, stack, gates)
    check_runs(stack, callers)


def check_gateway_fault(stack, fault):
    """Cuts three of five hosts off; fault() is called with one of the two others 4 s later."""
    gates = up(stack)
    cut_hosts = stack.hosts[:3]
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        cut(stack, gates, cut_hosts, "hang")
        eventually("a request goes through host-3", lambda: events(stack, "host-3", "tunnel_opened"))
        time.sleep(STABLE_S)
        began = time.monotonic()
        fault("host-3")
        time.sleep(STABLE_S + MEASURE_S + PATIENCE_S)
        here = callers.between(cut_hosts, began, began + STABLE_S + MEASURE_S)
        print_served("cut hosts, one gateway lost", here)
        if sum(not t.served for t in here) > FAILED_MIN + 2 * FAILED_PART * len(here):
            raise Failure("the loss of a gateway is not borne")
        mend(gates)
    check_runs(stack, callers)


def case_gateway_killed(stack):
    """Guards against requests that are lost for longer than a moment when the host that they lead through ends."""
    check_gateway_fault(stack, lambda host: stack.signal(host, signal.SIGKILL))


def case_gateway_frozen(stack):
    """Guards against requests that wait for a frozen host that they lead through."""
    check_gateway_fault(stack, lambda host: stack.signal(host, signal.SIGSTOP))


def case_gateway_stops(stack):
    """Guards against answers that are cut because the host that they lead through is stopped."""
    check_gateway_fault(stack, lambda host: stack.signal(host, signal.SIGTERM))


def case_news(stack):
    """Guards against news of a cut host, the leader too, that take sound endpoints from the others; and checks that
    an operator sees the way that a request took, on both hosts."""
    gates = up(stack)
    eventually("a host leads", lambda: any(stack.state(h)["places_layers"] for h in stack.hosts))
    leader = next(h for h in stack.hosts if stack.state(h)["places_layers"])
    cut_hosts = [leader, next(h for h in stack.hosts if h != leader)]
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        orders = sum(len(events(stack, h, "place")) for h in stack.hosts)
        began = cut(stack, gates, cut_hosts, "reset")
        time.sleep(STABLE_S + MEASURE_S + PATIENCE_S)
        check_served(callers, cut_hosts, began + STABLE_S, began + STABLE_S + MEASURE_S)
        if (not stack.state(leader)["endpoints_not_reached"] or
                "not_here" not in stack.bgctl(leader, "state", "faults")):
            raise Failure("bgctl state does not show which endpoints are not reached")
        check_after(callers, stack, gates)
    for host in stack.hosts:
        expect("endpoints taken for dead by " + host, events(stack, host, "endpoint_dead"), [])
    expect("orders to engines", sum(len(events(stack, h, "place")) for h in stack.hosts), orders)
    through = events(stack, leader, "answer_through")[-1]
    carried = [line["id"] for line in events(stack, through["gateway"], "tunnel_opened") if "id" in line]
    if through["id"] not in carried:
        raise Failure("the gateway's log does not name the request %s" % through["id"])
    expect("events of a cut host", [len(events(stack, leader, e)) > 0 for e in ("reach_lost", "reach_regained")],
           [True, True])
    check_runs(stack, callers)


def case_caller_leaves(stack):
    """Guards against engines that work on for a caller who has left, when the request came through another host."""
    gates = up(stack)
    cut(stack, gates, ["host-0"], "hang")
    eventually("a stream goes through another host", lambda: stack.serves_stream("host-0") and
               events(stack, "host-0", "answer_through"))
    conn = http.client.HTTPConnection("127.0.0.1", stack.port("host-0", "front"), timeout=10)
    conn.request("POST", "/stream/a", body=b"{}", headers={
        "Host": HOST_NAME, "Bronzegauge-Request-Id": "leaves", "Bronzegauge-Key": "key-farm",
        "Bronzegauge-Deadline-Ms": "8000", "Bronzegauge-Token-Counts": "50,2000"})
    answer = conn.getresponse()
    answer.read(10)
    expect("streams at engines", stack.ledger()["streams"], 1)
    answer.close()
    conn.close()
    eventually("no engine works on", lambda: stack.ledger()["streams"] == 0)
    eventually("no tunnel is left", lambda: all(stack.state(h)["tunnels_carried"] == 0 for h in stack.hosts))
    mend(gates)


def case_start_within(stack):
    """Guards against a host that starts while it is cut off and serves nobody."""
    gates = up(stack)
    cut_hosts = stack.hosts[:2]
    with MixedCallers(stack) as callers:
        eventually("all are served", lambda: sum(t.served for t in callers.tries) >= 100)
        cut(stack, gates, cut_hosts, "hang")
        stack.kill("host-0")
        stack.begin_host("host-0")
        eventually("host-0 is ready", lambda: stack.is_ready("host-0"))
        began = time.monotonic()
        time.sleep(STABLE_S + MEASURE_S + PATIENCE_S)
        check_served(callers, cut_hosts, began + STABLE_S, began + STABLE_S + MEASURE_S)
        mend(gates)
    check_runs(stack, callers)


CASES = {k[len("case_"):]: v for k, v in globals().items() if k.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
