"""Test cases of sound endpoints that fall silent for a moment and go on: python3 regress/soak/cases_silence.py NAME.
Each docstring names the failure that the case guards against."""
import collections
import itertools
import random
import threading
import time

from cases import run
from cases_lost import LOST, UNSENT, WHOLE, Connection, request_bytes
from cases_reach import up
from stack import Failure, check_stream, eventually

# Kinds of requests: path prefix -> (type, resumable, attempts).
KINDS = {"stream": ("streaming", True, 2), "stream1": ("streaming", True, 1), "plainstream": ("streaming", False, 1),
         "many": ("idempotent", False, 2), "many1": ("idempotent", False, 1), "once": ("non_idempotent", False, 1)}
EVENTS = 40             # events of a stream
PAUSE_S = 0.6           # time between two silences, in seconds
VERSION_S = 0.06        # time between two versions of the configuration, in seconds
STALE_MS = 4000         # shorter of the timeouts of routes between which versions change
SILENT_S = 1.2          # a silence of a sound endpoint, in seconds
RETRY_S = 0.05          # pause of a caller after a refusal, in seconds
REFUSALS = (429, 503)


def with_routes(stack):
    """Gives the stack a route of each kind, and versions that change in every respect."""
    make = stack.config
    draw = random.Random(1)
    stack.changes = False

    def config():
        all_of = make()
        routes = [r for r in all_of["routes"] if r["name"] not in KINDS]
        for name, (kind, resumable, attempts) in KINDS.items():
            route = {"name": name, "hostname": "local.test", "pathPrefix": "/%s/" % name, "routeType": kind,
                     "service": "llm" if kind == "streaming" else "plain", "timeoutMs": 8000,
                     "targetLatencyMs": 500, "maxAttempts": attempts, "priority": 1}
            if kind == "streaming":
                route.update(resumable=resumable, gapAimMs=200)
            if stack.changes:
                route.update(timeoutMs=draw.choice([STALE_MS, 8000]), targetLatencyMs=draw.choice([300, 500, 800]),
                             priority=draw.choice([1, 2]))
            routes.append(route)
        if stack.changes:
            routes += [dict(routes[-1], name="more%d" % i, pathPrefix="/more%d/" % i)
                       for i in range(draw.randrange(4))]
            all_of["limits"]["idleTimeoutMs"] = draw.choice([4000, 15000])
            all_of["tenants"].append({"name": "guest", "apiKeys": ["key-%d" % draw.randrange(9)]})
        all_of["routes"] = routes
        return all_of
    stack.config = config


class Asked:
    """What a caller got for one request."""

    def __init__(self, kind, request_id, at):
        self.kind, self.id, self.at = kind, request_id, at
        self.got, self.status, self.body, self.took_s = None, 0, b"", 0.0

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
            one.got, one.status, _, one.body = conn.read_answer()
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
            if one.got != WHOLE:
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
    stack.ledger()      # requests that had passed the gates have begun: a stage that is dark would drop them
    for i in chosen:
        if stack.points[i][4] != "-":
            stack.fault_engine(stack.points[i][0], "dark")


def go_on(stack, gates, chosen):
    for i in chosen:
        if stack.points[i][4] != "-":
            stack.fault_engine(stack.points[i][0], "ok")
    for i in chosen:
        gates[i].mend()


class Versions:
    """Context manager: writes versions of the configuration, one after another."""

    def __init__(self, stack, wanted=True):
        self.stack, self.ending = stack, threading.Event()
        self.thread = threading.Thread(target=self.run) if wanted else None
        stack.changes = wanted

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


def play(stack, for_s, silent_s=(0.2, 0.5, 1.2, 2.0), parts=("one", "third", "all"), versions=False, seed=1):
    """Lets endpoints fall silent again and again while callers ask; returns the callers."""
    with_routes(stack)
    gates = up(stack, hosts=3)
    draw = random.Random(seed)
    indices = range(len(stack.points))
    with KeptCallers(stack) as callers:
        time.sleep(1)
        with Versions(stack, versions):
            end = time.monotonic() + for_s
            while time.monotonic() < end:
                n = {"one": 1, "third": len(indices) // 3, "all": len(indices)}[draw.choice(parts)]
                chosen = draw.sample(indices, n)
                hold(stack, gates, chosen)
                time.sleep(draw.choice(silent_s))
                go_on(stack, gates, chosen)
                time.sleep(PAUSE_S)
    return callers


def check_all_whole(callers, allowed=("whole", "refused", UNSENT)):
    """Checks that each request that was sent whole was answered whole or refused, and prints what callers got."""
    for kind, outcomes in sorted(callers.table().items()):
        print("%-12s %s" % (kind, ", ".join("%s %d" % o for o in sorted(outcomes.items()))))
    for one in callers.asked:
        if one.outcome() == "whole" and KINDS[one.kind][0] == "streaming":
            check_stream(one.id, one.body, last=EVENTS)
    bad = [(one.id, one.outcome(), "%.1f s" % one.took_s) for one in callers.asked if one.outcome() not in allowed]
    if bad:
        raise Failure("%d of %d requests lost: %r" % (len(bad), len(callers.asked), bad[:6]))


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
            hold(stack, gates, still)
            time.sleep(SILENT_S)
            go_on(stack, gates, still)
    check_all_whole(callers)


def case_silence_beside_versions(stack):
    """Guards against answers that are lost when endpoints fall silent beside versions of the configuration."""
    check_all_whole(play(stack, 15, versions=True))


CASES = {k[len("case_"):]: v for k, v in globals().items() if k.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
