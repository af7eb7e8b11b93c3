"""Test cases of sound endpoints that fall silent for a moment and go on: python3 regress/soak/cases_silence.py NAME.
Each docstring names the failure that the case guards against."""
import collections
import itertools
import random
import signal
import threading
import time

from cases import events, run
from cases_lost import LOST, UNSENT, WHOLE, Connection, request_bytes
from cases_reach import up
from stack import HOST_NAME, Failure, check_stream, eventually

# Kinds of requests: path prefix -> (type, resumable, attempts).
KINDS = {"stream": ("streaming", True, 2), "stream1": ("streaming", True, 1), "plainstream": ("streaming", False, 1),
         "many": ("idempotent", False, 2), "many1": ("idempotent", False, 1), "once": ("non_idempotent", False, 1)}
EVENTS = 40             # events of a stream
PAUSE_S = 0.6           # time between two silences, in seconds
VERSION_S = 0.06        # time between two versions of the configuration, in seconds
SHORT_MS, LONG_MS = 6000, 8000  # timeouts of routes, between which versions change, in milliseconds
SILENT_S = 1.2          # a silence of a sound endpoint, in seconds
SILENCES = 8            # silences of a case
LAST_MOMENT_S = 0.3     # time before the deadline in which a request may be ended, in seconds
RETRY_S = 0.05          # pause of a caller after a refusal, in seconds
REFUSALS = (429, 503)


class Changes:
    """Versions of the configuration with a route of each kind. Once turned on, each one differs in routes, timeouts,
    weights, priorities, keys, tenants, services and the idle timeout."""

    def __init__(self, stack):
        self.base, self.draw, self.on = stack.config, random.Random(1), False

    def route(self, name, kind, resumable, attempts):
        route = {"name": name, "hostname": HOST_NAME, "pathPrefix": "/%s/" % name, "routeType": kind,
                 "timeoutMs": LONG_MS, "targetLatencyMs": 500, "maxAttempts": attempts, "priority": 1,
                 "service": "llm" if kind == "streaming" else "plain"}
        if kind == "streaming":
            route.update(resumable=resumable, gapAimMs=200)
        if self.on:
            route.update(timeoutMs=self.draw.choice([SHORT_MS, LONG_MS]), priority=self.draw.choice([1, 2]),
                         targetLatencyMs=self.draw.choice([300, 500, 800]))
        if self.on and kind != "streaming":
            route["trafficSplit"] = [{"service": "plain", "weight": self.draw.choice([1, 50])},
                                     {"service": "spare", "weight": self.draw.choice([1, 2])}]
            del route["service"]
        return route

    def config(self):
        whole = self.base()
        whole["routes"] = [self.route(name, *kind) for name, kind in KINDS.items()]
        whole["services"].append({"name": "spare", "healthPath": "/health"})
        if self.on:
            whole["routes"] += [dict(self.route("more%d" % i, "idempotent", False, 2), pathPrefix="/more%d/" % i)
                                for i in range(self.draw.randrange(4))]
            whole["services"] += [{"name": "new%d" % i} for i in range(self.draw.randrange(3))]
            whole["limits"]["idleTimeoutMs"] = self.draw.choice([4000, 15000])
            whole["tenants"][0]["priority"] = self.draw.choice([1, 2])
            whole["tenants"].append({"name": "guest", "apiKeys": ["key-%d" % self.draw.randrange(9)]})
        return whole


def with_routes(stack):
    """Gives the stack a route of each kind, and a service of its own to two of the plain endpoints."""
    stack.points += [("s%d" % i, stack.base + 26 + i, "spare", "z%d" % i, "-") for i in range(2)]
    stack.changes = Changes(stack)
    stack.config = stack.changes.config


class Asked:
    """What a caller got for one request."""

    def __init__(self, kind, request_id, at):
        self.kind, self.id, self.at = kind, request_id, at
        self.got, self.status, self.body, self.took_s = None, 0, b"", 0.0
        self.closes = False     # the host said that it closes the connection

    def outcome(self):
        if self.got != WHOLE:
            return self.got
        if self.status == 200:
            return "whole"
        return "refused" if self.status in REFUSALS else "status %d" % self.status


class KeptCallers:
    """Context manager: callers that send requests of all kinds over connections that they keep."""

    def __init__(self, stack, kinds=tuple(KINDS), each=1):
        self.stack, self.asked, self.ids = stack, [], itertools.count()
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(host, kind))
                        for host in stack.hosts for kind in kinds for _ in range(each)]

    def ask(self, conn, kind):
        one = Asked(kind, "%s-%d" % (kind, next(self.ids)), time.monotonic())
        try:
            conn.send(request_bytes("/%s/a" % kind, one.id, Bronzegauge_Token_Counts="50,%d" % EVENTS))
            one.got, one.status, headers, one.body = conn.read_answer()
            one.closes = headers.get("connection", "").lower() == "close"
        except OSError:
            one.got = UNSENT
        one.took_s = time.monotonic() - one.at
        if one.got == LOST and one.took_s < 0.1:
            one.got = UNSENT    # it crossed the close of an idle connection
        self.asked.append(one)
        return one

    def run(self, host, kind):
        conn = None
        while not self.ending.is_set():
            try:
                conn = conn or Connection(self.stack.port(host, "front"))
            except OSError:
                self.ending.wait(RETRY_S)
                continue
            one = self.ask(conn, kind)
            if one.got != WHOLE or one.closes:
                conn.close()
                conn = None
            self.ending.wait(RETRY_S if one.outcome() != "whole" else 0.01)
        if conn:
            conn.close()

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def table(self):
        counts = collections.defaultdict(collections.Counter)
        for one in self.asked:
            counts[one.kind][one.outcome()] += 1
        return counts


def hold(stack, gates, chosen):
    """Makes the endpoints stand still, to requests, checks and other stages alike."""
    for i in chosen:
        gates[i].begin_cut(list(stack.sources.values()), "accept")
    for i in chosen:
        if stack.points[i][4] != "-":
            stack.fault_engine(stack.points[i][0], "still")


def go_on(stack, gates, chosen):
    for i in chosen:
        if stack.points[i][4] != "-":
            stack.fault_engine(stack.points[i][0], "ok")
    for i in chosen:
        gates[i].mend()


def stand_still(stack, gates, chosen, seconds):
    """Makes the endpoints stand still for that time."""
    hold(stack, gates, chosen)
    time.sleep(seconds)
    go_on(stack, gates, chosen)


class Versions:
    """Context manager: writes versions of the configuration, one after another."""

    def __init__(self, stack, wanted=True):
        self.stack, self.ending = stack, threading.Event()
        self.thread = threading.Thread(target=self.run) if wanted else None
        stack.changes.on = wanted

    def run(self):
        while not self.ending.wait(VERSION_S):
            self.stack.put_config()

    def __enter__(self):
        if self.thread:
            self.thread.start()

    def __exit__(self, *_):
        self.ending.set()
        if self.thread:
            self.thread.join()


class Stops:
    """Context manager: stops one host after another, and starts it again."""

    def __init__(self, stack, wanted=True):
        self.stack, self.ending = stack, threading.Event()
        self.thread = threading.Thread(target=self.run) if wanted else None

    def run(self):
        for host in itertools.cycle(self.stack.hosts):
            if self.ending.wait(PAUSE_S):
                return
            self.stack.signal(host, signal.SIGTERM)
            self.stack.procs[host].wait()
            self.stack.begin_host(host)
            eventually(host + " is ready", lambda h=host: self.stack.is_ready(h))

    def __enter__(self):
        if self.thread:
            self.thread.start()

    def __exit__(self, *_):
        self.ending.set()
        if self.thread:
            self.thread.join()


def play(stack, for_s, silent_s=(0.2, 0.5, 1.2), parts=("one", "third", "all"), versions=False, stops=False, seed=1):
    """Lets endpoints fall silent again and again while callers ask, and another one drain; returns the callers."""
    with_routes(stack)
    gates = up(stack, hosts=3)
    draw = random.Random(seed)
    indices = range(len(stack.points))
    with KeptCallers(stack) as callers:
        eventually("all kinds are served", lambda: len(callers.table()) == len(KINDS))
        with Versions(stack, versions), Stops(stack, stops):
            end = time.monotonic() + for_s
            while time.monotonic() < end:
                n = {"one": 1, "third": len(indices) // 3, "all": len(indices)}[draw.choice(parts)]
                chosen = draw.sample(indices, n)
                leaving = [stack.points[i][0] for i in indices if i not in chosen][:1]
                for name in leaving:
                    stack.fault_engine(name, "drain")
                stand_still(stack, gates, chosen, draw.choice(silent_s))
                for name in leaving:
                    stack.fault_engine(name, "ok")
                time.sleep(PAUSE_S)
    return callers


def check_all_whole(stack, callers):
    """Checks that each request that was sent whole was answered whole or refused, or had reached its deadline; prints
    what callers got."""
    runs = stack.ledger()["runs"]
    lost = []
    for kind, outcomes in sorted(callers.table().items()):
        print("%-12s %s" % (kind, ", ".join("%s %d" % o for o in sorted(outcomes.items()))))
    for one in callers.asked:
        outcome = one.outcome()
        if outcome == "whole" and KINDS[one.kind][0] == "streaming":
            check_stream(one.id, one.body, last=EVENTS)
        # What ran did not just cross the close of its connection.
        if outcome in ("whole", "refused") or (outcome == UNSENT and one.id not in runs):
            continue
        if one.took_s < SHORT_MS / 1000 - LAST_MOMENT_S:
            lost.append((one.id, outcome, "%.1f s" % one.took_s))
    if lost:
        raise Failure("%d of %d requests lost: %r" % (len(lost), len(callers.asked), lost[:6]))


def case_silent_beside_errors(stack):
    """Guards against requests that are lost since their silent endpoint was given up for one that fails."""
    with_routes(stack)
    gates = up(stack, hosts=3)
    still = [i for i, point in enumerate(stack.points) if point[4] == "-" and point[0] != "p3"]
    stack.fault_engine("p3", "errors")
    with KeptCallers(stack, ["many"], each=4) as callers:
        for _ in range(6):
            asked = len(callers.asked)
            eventually("requests are served", lambda n=asked: len(callers.asked) > n + 100)
            stand_still(stack, gates, still, SILENT_S)
    check_all_whole(stack, callers)


def case_silence_is_no_crash(stack):
    """Guards against streams that are broken off, and requests that are refused, since sound endpoints that stand still
    while requests of the same content run there are taken for ended by them."""
    with_routes(stack)
    gates = up(stack, hosts=3)
    engines = [i for i, point in enumerate(stack.points) if point[4] != "-"]
    draw = random.Random(1)
    with KeptCallers(stack, ["stream", "stream1", "plainstream"], each=4) as callers:
        eventually("all kinds are served", lambda: len(callers.table()) == 3)
        for _ in range(SILENCES):
            still = draw.sample(engines, len(engines) // 2)
            stand_still(stack, gates, still, SILENT_S)
            time.sleep(PAUSE_S)
    for host in stack.hosts:
        for event in ("quarantined", "cut_when_begun"):
            if '"event":"%s"' % event in stack.log(host):
                raise Failure("%s: %s for a silence: %r" % (host, event, events(stack, host, event)[0]))
    check_all_whole(stack, callers)


def case_silence_beside_versions(stack):
    """Guards against answers that are lost when endpoints fall silent beside versions of the configuration."""
    check_all_whole(stack, play(stack, 15, versions=True))


def case_silence_beside_stops(stack):
    """Guards against answers that are lost when endpoints fall silent beside stops of hosts and versions."""
    check_all_whole(stack, play(stack, 25, versions=True, stops=True))


CASES = {k[len("case_"):]: v for k, v in globals().items() if k.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
