"""Randomized fault injection soak test of bgrouterd, run with real processes.

python3 regress/soak/soak.py [--seeds A-B] [--seconds S] [--hosts N] [--copies] [--crashing] [--limits]
                               [--rests] [--classes] [--cuts] [--slow] [--spoilt] [--keep]

Each seed gives one run. Callers send streams and plain requests over persistent connections. Meanwhile
hosts are killed, stopped, paused and started; engines stop answering, slow down, restart without layers or
leave; the store and the links to it fail; and the configuration changes repeatedly. An undisturbed host is
one that no recent fault has affected. The responses and the engines' ledger are checked:

- a successful response is complete and in order, contains each event once, belongs to its request, and
  has the endpoint's response seal
- a request reported as not run has not run; a non-idempotent request ran at most once
- no host returns to an older configuration; new ones take effect in time on undisturbed hosts
- a request that was sent whole to a host that is neither killed nor paused gets an answer, whole or
  visibly broken off; one that comes short never looks whole
- at the end, after all faults are repaired, every host serves every route
- with --copies, the store is also restored from a copy some seconds old, sometimes twice in a row
- with --crashing, requests that crash the endpoints that run them are repeated at all hosts, and others
  share a part of their prompts that does; once hosts have had time to learn of the third crash of such a
  request, or of the fifth of such a part, it reaches endpoints at most three times from undisturbed hosts
- with --limits, endpoints announce the rate of requests that they accept from all hosts together;
  undisturbed hosts that have forwarded such an answer send no more in 4 s than the requirement allows
- with --rests, endpoints also reject requests with a Retry-After time (a rest) and announce that they are
  leaving; an undisturbed host sends such an endpoint no more requests than the requirement allows
- with --cuts, some or all hosts are also cut off from all or half of the endpoints, in each way that
  gate.py knows
- with --slow, some answers are large, and some callers read them slowly or late
- with --spoilt, the seal's line of some answers is spoilt, in each form that spoil.py knows
"""
import argparse
import collections
import http.client
import math
import random
import signal
import sys
import threading
import time

from gate import CUTS, Gate, cut_at_once
from limit import Period, max_in_window
from rest import REST_REQUESTS_MAX, max_during_rest, rests, sent_after_drain
from proxy import MODES, Proxy
from spoil import FORMS, spoil
from stack import HOST_NAME, Failure, Stack, check_stream, check_words, eventually

# Status codes that state that the request has not run.
NOT_RUN = (408, 421, 429, 503)
IN_FORCE_S = 3.0        # time within which an undisturbed host must apply a new configuration, in seconds
CALLERS = 10            # number of concurrent caller threads
# Requests that crash endpoints -> the number of crashes after which undisturbed hosts must learn of them. They are known
# by their body, or by a part of their prompts.
CRASHING = {"crash-begin 0": 3, "crash-begin 1": 3, "dead1": 5}
# Required maximum number of arrivals at endpoints, from undisturbed hosts, after that crash.
CRASH_REPEATS_MAX = 3
LEARN_S = 3.0           # time within which undisturbed hosts must learn of it, in seconds
FAULT_GAP_S = 0.5       # mean time between two faults, in seconds
# Time in seconds, after a host forwards the announcement that an endpoint is leaving, in which the host may
# still send requests there.
DRAIN_S = 2.0
# Time in seconds for which a host or endpoint stays exempt from the checks after a fault of it ends.
EXEMPT_S = 1.0
# Retry-After texts of rests, in seconds; "soon" is not a number.
RESTS = ("0", "0.7", "2", "4", "soon")
# Large answers: part of all, and sizes of a plain answer and of each event of a stream, in bytes.
LARGE_PART = 0.3
LARGE_BYTES = {"plain": (400000, 2000000, 6000000), "stream": (8000, 40000, 200000)}
# Callers that read slowly: bytes a time, longest time between two reads and number of reads.
SIP_BYTES, SIP_EVERY_S, SIPS = 65536, 0.2, 20
# Part of the answers whose seal's line is spoilt.
SPOILT_PART = 0.08
# Announced limits, in requests per second.
LIMITS = ("0", "0.3", "1", "3", "8")


class Caller(threading.Thread):
    """Sends requests one after the other over a persistent connection."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.number = number
        self.random = random.Random(soak.seed * 1000 + number)
        self.conn = None
        self.host = None
        self.connected_at = 0.0
        self.is_waiting = False     # a request was sent whole and no part of its answer has come

    def run(self):
        n = 0
        while not self.soak.done.is_set():
            n += 1
            kind = self.random.choice(("stream", "stream", "once", "many"))
            request_id = "%s-%d-%d" % (kind, self.number, n)
            try:
                self.send_request(kind, request_id)
            except Failure as failure:
                self.soak.record_failure(str(failure))
            except (OSError, http.client.HTTPException) as error:
                self.drop()
                self.soak.count["cut " + kind] += 1
                if self.is_waiting:
                    self.soak.check_may_lose(request_id, self.host, self.connected_at, error)

    def drop(self):
        if self.conn:
            self.conn.close()
        self.conn = None

    def route(self, kind):
        """Returns the route of the request; streams are spread over the classes, if there are some."""
        classes = self.soak.stack.classes
        return self.random.choice([kind] + sorted(classes)) if kind == "stream" and classes else kind

    def send_request(self, kind, request_id):
        if not self.conn or self.random.random() < 0.1:
            self.drop()
            self.host = self.random.choice(self.soak.stack.hosts)
            self.connected_at = time.monotonic()
            self.conn = http.client.HTTPConnection(
                "127.0.0.1", self.soak.stack.port(self.host, "front"), timeout=10)
        self.is_waiting = False
        last = self.random.randint(1, 30)
        self.soak.record_sent(request_id, self.host)
        headers = {"Host": HOST_NAME, "Bronzegauge-Request-Id": request_id,
                   "Bronzegauge-Key": "key-farm", "Bronzegauge-Deadline-Ms": "6000",
                   "Bronzegauge-Token-Counts": "50,%d" % last}
        large = 0
        if self.soak.slow and self.random.random() < LARGE_PART:
            large = self.random.choice(LARGE_BYTES["stream" if kind == "stream" else "plain"])
            headers["Stand-Answer-Bytes"] = str(large)
        self.conn.request("POST", "/%s/x" % self.route(kind), body=b"{}", headers=headers)
        self.is_waiting = True
        answer = self.conn.getresponse()
        self.is_waiting = False
        if answer.getheader("Server-Limit") is not None:
            self.soak.limit_seen_at[request_id] = time.monotonic()
        if answer.getheader("Server-Leaving") is not None:
            self.soak.leaving_seen_at[request_id] = time.monotonic()
        body = self.read(answer, sips=self.random.randint(0, SIPS) if large and answer.status == 200 else 0)
        self.check(kind, request_id, last, answer, body, large)
        if answer.getheader("Connection", "").lower() == "close":
            self.drop()

    def read(self, answer, sips):
        """Reads the body of an answer, the first parts of it slowly."""
        parts = []
        for _ in range(sips):
            time.sleep(self.random.uniform(0.0, SIP_EVERY_S))
            parts.append(answer.read(SIP_BYTES))
        body = b"".join(parts) + answer.read()
        length = answer.getheader("Content-Length")
        # HTTPResponse.read(n) takes a closed connection for the end of the answer.
        if length is not None and len(body) < int(length):
            raise http.client.IncompleteRead(body, int(length) - len(body))
        return body

    def check(self, kind, request_id, last, answer, body, large):
        self.soak.count["%s %d" % (kind, answer.status)] += 1
        if answer.status in NOT_RUN:
            self.soak.not_run.append(request_id)
            if self.random.random() < 0.8:
                time.sleep(min(float(answer.getheader("Retry-After") or 0), 1.0))
        elif answer.status in (401, 404):
            raise Failure("%s denied with %d at %s" % (request_id, answer.status, self.host))
        elif answer.status == 200:
            if answer.getheader("Bronzegauge-Response-Seal") != "stand." + request_id:
                raise Failure("%s: success without its response seal: %r %r" % (
                    request_id, answer.getheaders(), body[:80]))
            if kind == "stream":
                check_stream(request_id, body, last=last, event_bytes=large)
            elif large:
                check_words(request_id, body, large)
            elif not body.startswith(request_id.encode() + b" at "):
                raise Failure("%s: body of another request: %r" % (request_id, body[:60]))


class Crasher(threading.Thread):
    """Sends requests that crash endpoints, one after the other, and records those sent to undisturbed hosts. Some are
    the same each time; others, never alike, share a part of their prompts that crashes engines."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(soak.seed + 1000000)
        self.from_undisturbed = set()   # ids of the requests sent to undisturbed hosts

    def ask(self, host, mark, request_id, n):
        """Sends one request; mark is its body, or the id of a part that it shares with others."""
        more = {"body": mark.encode()}
        if mark.startswith("dead"):
            more = {"body": request_id.encode(),
                    "Bronzegauge_Prompt_Prefix": "a%x:5,%s:5,f%x:5" % (n % 3, mark, 0x10000 + n)}
        try:
            self.soak.stack.ask(host, "/stream/x", request_id, timeout=5, **more)
        except (OSError, http.client.HTTPException):
            pass

    def run(self):
        n = 0
        while not self.soak.done.wait(self.random.uniform(0.05, 0.3)):
            n += 1
            mark = self.random.choice(sorted(CRASHING))
            host = self.random.choice(self.soak.stack.hosts)
            request_id = "%s-%d" % (mark, n)
            if self.soak.disturbed_until[host] < time.monotonic():
                self.from_undisturbed.add(request_id)
            self.ask(host, mark, request_id, n)

    def check(self, ledger):
        for mark, learned_by in CRASHING.items():
            crashes = [e["at_ms"] for e in ledger["crashes"] if e["mark"].split(":")[0] == mark]
            self.soak.count["crashes"] += len(crashes)
            if len(crashes) < learned_by:
                continue
            learned_ms = sorted(crashes)[learned_by - 1] + LEARN_S * 1000
            late = [e for e in ledger["marked"] if e["mark"].split(":")[0] == mark and e["at_ms"] > learned_ms and
                    e["id"] in self.from_undisturbed]
            if len(late) > CRASH_REPEATS_MAX:
                self.soak.record_failure("%s reached endpoints %d times, %d crashed" % (
                    mark, len(late), len(crashes)))


class Soak:
    """One run of a seed: the deployment, the faults in progress, and the records for the checks."""

    def __init__(self, seed, seconds, hosts, crashing=False, copies=False, limits=False, rests=False,
                 cuts=False, slow=False, spoilt=False):
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.stack = Stack(hosts)
        self.done = threading.Event()
        self.count = collections.Counter()
        self.not_run = []
        self.failures = []
        self.disturbed_until = {h: 0.0 for h in self.stack.hosts}   # host -> time until which it is disturbed
        self.paused = {}                                  # process name -> time at which it is resumed
        self.dead = {}                                    # host -> time at which it is restarted
        self.faulty = {}                                  # endpoint -> time at which its fault is cleared
        self.store_until = 0.0                            # time at which the store fault is cleared; 0 if none
        self.limits = limits
        self.periods = []                                 # Periods in which an endpoint announces a limit
        self.sent = {}                                    # request -> (host, whether the host was undisturbed)
        # request -> time at which its answer, which announces a limit, arrived
        self.limit_seen_at = {}
        self.rests = rests
        self.rest_periods = []                            # (endpoint, length of the rest in seconds, start time)
        self.leaving = set()                              # endpoints that announce now that they are leaving
        # request -> time at which its answer, which announces that the endpoint is leaving, arrived
        self.leaving_seen_at = {}
        self.sent_at = {}                                 # request -> time at which its caller sent it
        self.exemptions = []                              # (exempt host or endpoint, start time, end time)
        self.copies = copies
        # time until which the store is unavailable because it is restored from a copy
        self.away_until = 0.0
        # host -> time until which its process was last killed or paused
        self.down_until = {h: 0.0 for h in self.stack.hosts}
        self.slow = slow
        self.cuts = cuts
        self.cut_until = 0.0                              # time at which the cut of hosts ends; 0 if none
        self.links = {}                                   # link name -> Proxy
        self.link_until = {}                              # link name -> time at which its fault is cleared
        self.seen = {}                                    # host -> routes that it has served
        self.crasher = Crasher(self) if crashing else None
        base = self.stack.base
        if cuts:
            self.stack.sources = {h: "127.0.0.%d" % (11 + i) for i, h in enumerate(self.stack.hosts)}
        for i, host in enumerate(self.stack.hosts):
            self.links[host] = Proxy(base + 80 + i, self.stack.store_port)
            self.stack.store_via[host] = base + 80 + i
            self.add_link(host, base + 85 + i, self.stack.port(host, "control"))
        for i, point in enumerate(self.stack.points):
            self.add_link(point[0], base + 60 + i, point[1], Gate if cuts else Proxy)
            if spoilt:
                self.links["to " + point[0]].alter = self.spoil

    def add_link(self, name, port, target, proxy=Proxy):
        """Routes connections to a host's control port, or to an endpoint, through a proxy."""
        self.links["to " + name] = proxy(port, target)
        self.stack.known_as[name] = port

    def spoil(self, data):
        if self.random.random() >= SPOILT_PART:
            return data
        self.count["spoilt"] += 1
        return spoil(data, self.random.choice(sorted(FORMS)))

    def record_failure(self, what):
        self.failures.append("%.1f s: %s" % (time.monotonic() - self.began, what))

    def check_may_lose(self, request_id, host, connected_at, error):
        """Records a failure if no process fault explains that a request on a connection to the host got no answer."""
        if self.down_until[host] < connected_at:
            self.record_failure("%s got no answer from %s: %r" % (request_id, host, error))

    # Faults. Each records the hosts that it disturbs.

    def mark_disturbed(self, hosts, seconds):
        until = time.monotonic() + seconds
        for host in hosts:
            self.disturbed_until[host] = max(self.disturbed_until[host], until)

    def exempt(self, names, seconds):
        """Exempts hosts or endpoints from the checks of rests and leaving endpoints. An unavailable store or a
        lost feed is no reason for an exemption."""
        now = time.monotonic()
        self.exemptions += [(name, now, now + seconds + EXEMPT_S) for name in names]

    def others_alive(self, host):
        return any(h not in self.dead and h not in self.paused for h in self.stack.hosts
                   if h != host)

    def fault_kill(self):
        host = self.random.choice(self.stack.hosts)
        if host in self.dead or host in self.paused:
            return
        term = self.random.random() < 0.4
        self.stack.signal(host, signal.SIGTERM if term else signal.SIGKILL)
        self.down_until[host] = math.inf
        self.dead[host] = time.monotonic() + self.random.uniform(0.1, 2.0)
        self.seen.pop(host, None)
        self.mark_disturbed([host], 10.0)
        self.exempt([host], self.dead[host] - time.monotonic())

    def fault_pause(self):
        name = self.random.choice(self.stack.hosts + ["store", "engine"])
        if name in self.dead or name in self.paused:
            return
        seconds = self.random.uniform(0.2, 3.0)
        if name in self.down_until:
            self.down_until[name] = math.inf
        self.stack.signal(name, signal.SIGSTOP)
        self.paused[name] = time.monotonic() + seconds
        self.exempt([name] if name in self.disturbed_until else self.stack.hosts * (name == "engine"), seconds)
        self.mark_disturbed([name] if name in self.disturbed_until else self.stack.hosts, seconds + 4.0)

    def fault_engine(self):
        name = self.random.choice(self.stack.points)[0]
        if name in self.faulty:
            return
        kinds = ["dark", "slow", "reborn", "drain"] if name[0] == "e" else ["dark", "errors"]
        kind = self.random.choice(kinds)
        self.stack.fault_engine(name, kind)
        self.faulty[name] = time.monotonic() + self.random.uniform(0.5, 4.0)

    def fault_limit(self):
        name = self.random.choice(self.stack.points)[0]
        if name in self.faulty:
            return
        limit = self.random.choice(LIMITS)
        seconds = self.random.uniform(4.0, 9.0)
        self.stack.fault_engine(name, "ok", limit=limit)
        self.faulty[name] = time.monotonic() + seconds
        self.periods.append(Period(name, float(limit), time.monotonic()))

    def fault_rest(self):
        name = self.random.choice(self.stack.points)[0]
        if name in self.faulty:
            return
        rest = self.random.choice(RESTS)
        self.rest_periods.append((name, float(rest) if rest[0].isdigit() else 0, time.monotonic()))
        self.stack.fault_engine(name, "ok", rest=rest)
        self.faulty[name] = time.monotonic() + self.random.uniform(0.5, 4.0)

    def fault_leaving(self):
        """An endpoint announces that it is leaving, until it restarts some seconds later."""
        name = self.random.choice(self.stack.points)[0]
        if name in self.faulty:
            return
        self.stack.fault_engine(name, "ok", leaving="1")
        self.faulty[name] = time.monotonic() + self.random.uniform(3.0, 6.0)
        self.leaving.add(name)

    def was_undisturbed(self, host, endpoint, since, until):
        return not any(name in (host, endpoint) and began < until and ended > since
                       for name, began, ended in self.exemptions)

    def check_rests(self, ledger):
        def seconds(endpoint, at):
            asked = [s for e, s, began in self.rest_periods if e == endpoint and began <= at]
            return asked[-1] if asked else 0

        def host_of(request):
            return self.sent[request][0] if request in self.sent else None

        got, host, endpoint = max_during_rest(ledger["heard"], seconds, host_of, self.was_undisturbed)
        self.count["rests"] += sum(self.was_undisturbed(host_of(r), e, at, at + seconds(e, at))
                                   for e, r, at in rests(ledger["heard"]))
        if got > REST_REQUESTS_MAX:
            self.record_failure("%d requests of %s reached %s during its rest" % (got, host, endpoint))
        for endpoint in {a["endpoint"] for a in ledger["heard"]}:
            told_at = {}
            for arrival in ledger["heard"]:
                request = arrival["request"]
                if arrival["endpoint"] == endpoint and request in self.leaving_seen_at and request in self.sent:
                    told_at.setdefault(self.sent[request][0], self.leaving_seen_at[request])
            late = sent_after_drain(ledger["heard"], endpoint, self.sent_at, told_at, DRAIN_S, host_of,
                                   self.was_undisturbed)
            if late:
                self.record_failure("%s reached %s, which had announced that it is leaving" % (late[:3], endpoint))

    def record_sent(self, request_id, host):
        self.sent_at[request_id] = time.monotonic()
        self.sent[request_id] = (host, self.disturbed_until[host] < time.monotonic())

    def fault_store(self):
        seconds = self.random.uniform(0.3, 3.0)
        self.stack.fault_store(self.random.choice(("busy", "many", "silent")))
        self.store_until = time.monotonic() + seconds
        self.mark_disturbed(self.stack.hosts, seconds + 5.0)

    def fault_copy(self):
        """Restores the store from a copy: writes that it acknowledged in the last seconds are lost."""
        lost_s = self.random.uniform(0.2, 6.0)
        away_s = self.random.uniform(0.05, 1.5)
        self.stack.rewind_store(lost_s, away_s, self.random.randrange(1 << 30))
        self.away_until = time.monotonic() + away_s + 0.2
        self.mark_disturbed(self.stack.hosts, away_s + 5.0)

    def fault_link(self):
        host = self.random.choice(self.stack.hosts)
        seconds = self.random.uniform(0.3, 4.0)
        self.links[host].set(self.random.choice(MODES))
        self.link_until[host] = time.monotonic() + seconds
        self.mark_disturbed([host], seconds + 5.0)

    def fault_way(self):
        """Faults the link to one host's control port, or to one endpoint, for all its peers."""
        name = self.random.choice([n for n in self.links if n.startswith("to ")])
        seconds = self.random.uniform(0.3, 3.0)
        self.links[name].set(self.random.choice(MODES))
        self.link_until[name] = time.monotonic() + seconds
        self.exempt([name[3:]], seconds)
        if name[3:] in self.disturbed_until:
            self.mark_disturbed(self.stack.hosts, seconds + 5.0)

    def gates(self):
        return [self.links["to " + point[0]] for point in self.stack.points]

    def fault_cut(self):
        """Cuts some or all hosts off from all endpoints, or from half of them."""
        if self.cut_until:
            return
        hosts = self.random.sample(self.stack.hosts, self.random.randint(1, len(self.stack.hosts)))
        gates = self.gates()[::self.random.choice((1, 1, 2))]
        how = self.random.choice(CUTS)
        seconds = self.random.uniform(0.3, 6.0)
        cut_at_once(gates, [self.stack.sources[h] for h in hosts], how)
        self.cut_until = time.monotonic() + seconds
        self.exempt(hosts, seconds)
        self.mark_disturbed(hosts, seconds + 1.0)

    def fault_config(self):
        route = "r%d" % len(self.stack.extra_routes)
        self.stack.extra_routes.append(route)
        if self.random.random() < 0.3:
            self.stack.keys["mill"] = ["key-mill-%d" % len(self.stack.extra_routes)]
        self.stack.put_config()
        threading.Thread(target=self.check_in_force, args=(route,), daemon=True).start()

    def check_in_force(self, route):
        """Checks that hosts that stayed undisturbed serve the new route within IN_FORCE_S."""
        put = time.monotonic()
        time.sleep(IN_FORCE_S)
        for host in self.stack.hosts:
            if self.disturbed_until[host] >= put - 1.0 or self.done.is_set():
                continue
            try:
                status = self.stack.ask(host, "/%s/x" % route, "force-%s-%s" % (route, host))[0]
            except (OSError, http.client.HTTPException):
                continue
            if self.disturbed_until[host] < put - 1.0 and status == 404:
                self.record_failure("%s is not in force at %s after %.1f s" % (route, host, IN_FORCE_S))

    def check_no_rollback(self):
        """Checks that a host still serves a route that it has served before."""
        host = self.random.choice(self.stack.hosts)
        routes = self.stack.extra_routes
        if not routes or host in self.dead or host in self.paused:
            return
        proc = self.stack.procs[host]
        route = self.random.choice(routes)
        try:
            status = self.stack.ask(host, "/%s/x" % route, "back-%s-%f" % (host, time.monotonic()),
                                    timeout=3)[0]
        except (OSError, http.client.HTTPException):
            return
        if proc is not self.stack.procs[host] or host in self.dead:
            return
        seen = self.seen.setdefault(host, set())
        if status == 200:
            seen.add(route)
        elif status == 404 and route in seen:
            self.record_failure("%s returned to an older configuration: route %s is missing" % (host, route))

    # Repair of the faults that are due.

    def repair_due(self, now):
        for name in [n for n, until in self.paused.items() if now >= until]:
            self.stack.signal(name, signal.SIGCONT)
            if name in self.down_until:
                self.down_until[name] = now
            del self.paused[name]
        for host in [h for h, until in self.dead.items() if now >= until]:
            if self.stack.procs[host].poll() is not None:
                self.stack.begin_host(host)
                self.down_until[host] = now
                del self.dead[host]
        if "engine" not in self.paused:
            for name in [n for n, until in self.faulty.items() if now >= until]:
                self.stack.fault_engine(name, "reborn" if name in self.leaving else "ok")
                self.leaving.discard(name)
                del self.faulty[name]
                for period in self.periods:
                    period.end(name, now)
        if self.store_until and now >= self.store_until and "store" not in self.paused:
            self.stack.fault_store("ok")
            self.store_until = 0.0
        if self.cut_until and now >= self.cut_until:
            for gate in self.gates():
                gate.mend()
            self.cut_until = 0.0
        for host in [h for h, until in self.link_until.items() if now >= until]:
            self.links[host].set("pass")
            del self.link_until[host]

    def step(self):
        weights = {"kill": 3, "pause": 3, "engine": 6, "store": 1, "link": 3, "way": 4,
                   "config": 4}
        weights["copy"] = 3 * self.copies
        weights["limit"] = 6 * self.limits
        weights["rest"] = 6 * self.rests
        weights["leaving"] = 3 * self.rests
        weights["cut"] = 6 * self.cuts
        away = time.monotonic() < self.away_until
        names = [n for n in weights
                 if not ("engine" in self.paused and n in ("engine", "limit", "rest", "leaving")) and
                 not ("store" in self.paused and n in ("store", "config")) and
                 not (self.store_until and n == "store") and
                 not ((away or "store" in self.paused) and n in ("store", "config", "copy"))]
        name = self.random.choices(names, [weights[n] for n in names])[0]
        getattr(self, "fault_" + name)()
        self.count["fault " + name] += 1

    def play(self):
        self.began = time.monotonic()
        self.stack.up()
        callers = [Caller(self, i) for i in range(CALLERS)]
        for caller in callers + [self.crasher] * bool(self.crasher):
            caller.start()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            self.repair_due(time.monotonic())
            self.step()
            self.check_no_rollback()
            time.sleep(self.random.uniform(0.2, 1.8) * FAULT_GAP_S)
        self.recover()
        self.done.set()
        for caller in callers:
            caller.join(timeout=30)
        self.check_ledger()

    def recover(self):
        """Repairs all faults and checks that every host serves every route."""
        for until in (self.paused, self.dead, self.faulty, self.link_until):
            for name in until:
                until[name] = 0.0
        self.store_until = self.store_until and 0.001
        self.cut_until = self.cut_until and 0.001

        def all_repaired():
            self.repair_due(time.monotonic())
            return not (self.paused or self.dead or self.faulty or self.link_until or
                        self.store_until or self.cut_until)

        eventually("all faults are repaired", all_repaired)
        for host in self.stack.hosts:
            for path in ("stream", "once", "many"):
                eventually("%s serves %s again" % (host, path),
                           lambda h=host, p=path: self.stack.ask(
                               h, "/%s/x" % p, "end-%s-%f" % (h, time.monotonic()))[0] == 200)

    def check_ledger(self):
        ledger = self.stack.ledger()
        if self.crasher:
            self.crasher.check(ledger)
        if self.rests:
            self.check_rests(ledger)
        for period in self.periods:
            got, allowed = max_in_window(period, ledger["limited"], self.sent, self.limit_seen_at)
            self.count["windows with a limit"] += got > 0
            if got > allowed:
                self.record_failure("%s received %d requests in 4 s at a limit of %s per second, %d allowed" % (
                    period.endpoint, got, period.rate, allowed))
        if ledger["violations"]:
            self.record_failure(ledger["violations"])
        for request_id, runs in ledger["runs"].items():
            if request_id.startswith("once-") and runs > 1:
                self.record_failure("%s ran %d times" % (request_id, runs))
        for request_id in self.not_run:
            if ledger["runs"].get(request_id, 0) > 0:
                self.record_failure("%s ran although its answer stated that it had not" % request_id)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--crashing", action="store_true",
                        help="also send requests that crash the endpoints that run them")
    parser.add_argument("--copies", action="store_true",
                        help="also restore the store from copies some seconds old")
    parser.add_argument("--limits", action="store_true", help="endpoints also announce rate limits")
    parser.add_argument("--rests", action="store_true",
                        help="endpoints also ask for rests and announce that they leave")
    parser.add_argument("--classes", action="store_true",
                        help="also send streams of more and of less urgent classes")
    parser.add_argument("--cuts", action="store_true", help="also cut hosts off from endpoints")
    parser.add_argument("--slow", action="store_true",
                        help="some answers are large, and some callers read them slowly or late")
    parser.add_argument("--spoilt", action="store_true", help="the seal's line of some answers is spoilt")
    parser.add_argument("--keep", action="store_true", help="keep the logs of runs that failed")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = Soak(seed, args.seconds, args.hosts, args.crashing, args.copies, args.limits,
                    args.rests, args.cuts, args.slow, args.spoilt)
        if args.classes:
            soak.stack.classes = {"urgent": 0, "later": 2}
        try:
            soak.play()
            soak.stack.check_answered()
        except Failure as failure:
            soak.broken(str(failure))
        soak.done.set()     # stop its callers: the next seed reuses the same ports
        failed = bool(soak.failures)
        bad += failed
        served = sum(n for k, n in soak.count.items() if k.endswith(" 200"))
        faults = sum(n for k, n in soak.count.items() if k.startswith("fault "))
        print("seed %d: %s, %d served, %d faults%s" % (
            seed, "FAILED" if failed else "ok", served, faults,
            ", logs in " + soak.stack.dir if failed and args.keep else ""))
        for failure in soak.failures[:10]:
            print("    " + failure)
        if failed:
            print("    " + ", ".join("%s: %d" % kv for kv in sorted(soak.count.items())))
        soak.stack.down(keep=failed and args.keep)
        for proxy in soak.links.values():
            proxy.close()
        sys.stdout.flush()
    print("%d seeds failed" % bad)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
