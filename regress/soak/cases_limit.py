"""Cases of endpoints that name a limit: python3 regress/soak/cases_limit.py NAME."""
import http.client
import itertools
import threading
import time

from cases import expect, run
from stack import Failure, eventually

STABLE_S = 3.0      # after an endpoint first names its limit, until it holds
WINDOW_S = 4.0      # of which none may have more
SLACK = 5           # requests in a window, beside
OVER = 1.5          # times what the limit allows
TOLD_S = 0.5        # after a host has passed on an answer that names the limit, until it is bound


class Callers:
    """So many requests a second at each host, whatever becomes of the ones before, until it is left."""

    def __init__(self, stack, per_s, path="/many/a"):
        self.stack, self.per_s, self.path = stack, per_s, path
        self.answers = []       # (seconds, host, status, headers)
        self.asked = itertools.count()
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.threads = []

    def ask(self, host):
        request_id = "%s-%d" % (host, next(self.asked))
        try:
            status, headers, _ = self.stack.ask(host, self.path, request_id)
        except (OSError, http.client.HTTPException):
            status, headers = 0, {}
        with self.lock:
            self.answers.append((time.monotonic(), host, status, headers))

    def go(self, host, per_s):
        asking = []
        while not self.ending.wait(1.0 / per_s):
            asking.append(threading.Thread(target=self.ask, args=(host,)))
            asking[-1].start()
        for thread in asking:
            thread.join()

    def __enter__(self):
        for host in self.stack.hosts:
            per_s = self.per_s if not isinstance(self.per_s, dict) else self.per_s.get(host, 0)
            if per_s:
                self.threads.append(threading.Thread(target=self.go, args=(host, per_s)))
                self.threads[-1].start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def told(self):
        """host -> when it first passed on an answer that names a limit."""
        first = {}
        with self.lock:
            for at, host, _, headers in self.answers:
                if "Server-Limit" in headers:
                    first.setdefault(host, at)
        return first

    def statuses(self):
        with self.lock:
            return sorted({status for _, _, status, _ in self.answers})


def arrivals(stack, endpoint):
    """(seconds, host) of all that came to the endpoint while it named a limit."""
    return [(a["ms"] / 1000.0, a["request"].rsplit("-", 1)[0]) for a in stack.ledger()["limited"]
            if a["endpoint"] == endpoint]


def most_in_window(times):
    return max((sum(1 for other in times if at <= other < at + WINDOW_S) for at in times), default=0)


def check_limit(stack, callers, endpoint, rate):
    """What the users count: of hosts that had been told half a second before, from 3 s on."""
    told = callers.told()
    came = arrivals(stack, endpoint)
    counted = [at for at, host in came if host in told and at >= told[host] + TOLD_S]
    first = min(at for at, _ in came)
    ends = [at for at in counted if at >= first + STABLE_S]
    most = max((sum(1 for at in counted if end - WINDOW_S < at <= end) for end in ends), default=0)
    allowed = OVER * rate * WINDOW_S + SLACK
    print("most in 4 s: %d of %d allowed" % (most, allowed))
    if most > allowed:
        raise Failure("%d requests in 4 s where %d are allowed" % (most, allowed))


def plain_only(stack, hosts=4, endpoints=4):
    """Hosts and plain endpoints; no engines."""
    stack.hosts = ["host-%d" % i for i in range(hosts)]
    stack.store_via = {h: stack.store_port for h in stack.hosts}
    stack.points = [("p%d" % i, stack.base + 20 + i, "plain", "z%d" % (i % 2), "-")
                    for i in range(endpoints)]
    stack.up(wait=False)
    for host in stack.hosts:
        eventually(host + " serves",
                   lambda h=host: stack.ask(h, "/many/a", "probe-%f" % time.monotonic())[0] == 200)


def case_limit_named(stack):
    """An endpoint that named a limit got several times that from hosts that knew it.

    Seen: 46 requests in 4 s where 25 are allowed, the same number as before it named its limit, none
    rejected, no line in any log. How it came about: the endpoint names the limit in the head of its
    answers, which the hosts handed on to their callers. The cause: nobody read it, and nothing was there
    to divide a number that holds for all hosts together. The proof: arrivals were the same before and
    after at all hosts, 44 and 41 in 4 s; with permits from one host they are what the limit allows."""
    plain_only(stack)
    with Callers(stack, per_s=10) as callers:
        eventually("all are served", lambda: len(callers.answers) >= 80)
        stack.fault_engine("p0", "ok", limit="2.9")
        eventually("it is named", lambda: callers.told())
        began = min(callers.told().values())
        eventually("the limit has held for a while",
                   lambda: time.monotonic() - began > 2 * STABLE_S + WINDOW_S)
    expect("all are served", callers.statuses(), [200])
    check_limit(stack, callers, "p0", 2.9)


if __name__ == "__main__":
    run({name[5:]: fn for name, fn in globals().items() if name.startswith("case_")})
