"""Local test deployment of bgrouterd: a fake store, fake engines and some hosts as separate processes.

All processes listen on 127.0.0.1, in a block of ports that is locked while the deployment exists. Only
processes that the deployment started are killed, by their process ids.
"""
import fcntl
import functools
import glob
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.environ.get("BUILD", os.path.join(HERE, "build"))
# First port number, ports per block, number of blocks.
PORTS_FIRST, PORTS_BLOCK, PORTS_BLOCKS = 10000, 100, 90
LAYERS = 8          # number of layers of the model
HOST_NAME = "local.test"
WORD_BYTES = 8      # length of a word of an answer, see platform/stand_engine_size.c
PATIENCE_S = 60     # default timeout of a wait for a condition, in seconds; a timeout fails the test


class Failure(Exception):
    """A check failed, or a condition did not become true in time."""


def is_free(first):
    """Whether no process listens in the block of ports. A process of a killed test run may still be alive."""
    for port in range(first, first + PORTS_BLOCK):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def lock_ports():
    """Returns (first port, lock file); the lock is released when the process exits."""
    folder = os.path.join(tempfile.gettempdir(), "bronzegauge-soak-ports")
    os.makedirs(folder, exist_ok=True)
    start = os.getpid() % PORTS_BLOCKS
    for i in range(PORTS_BLOCKS):
        number = (start + i) % PORTS_BLOCKS
        lock = open(os.path.join(folder, str(number)), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        first = PORTS_FIRST + number * PORTS_BLOCK
        if is_free(first):
            return first, lock
        lock.close()
    raise Failure("no free block of ports")


def call(port, method, path, body=None, headers=None, timeout=10):
    """One HTTP call; returns (status, headers, body)."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        conn.close()


def eventually(what, test, patience_s=PATIENCE_S):
    """Polls until test() is true; an OSError, HTTPException or ValueError counts as false."""
    end = time.monotonic() + patience_s
    while time.monotonic() < end:
        try:
            if test():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.02)
    raise Failure("condition not met in time: " + what)


class Stack:
    """A store, endpoints and hosts: eight engines, four of each of two kinds in two availability zones, and two
    endpoints of a plain service."""

    def __init__(self, hosts=3):
        self.dir = tempfile.mkdtemp(prefix="bgsoak.")
        self.base, self.lock = lock_ports()
        self.procs = {}
        self.version = 0
        self.keys = {"farm": ["key-farm"], "mill": ["key-mill"]}
        self.extra_routes = []
        self.classes = {}       # further streaming routes of the engines' service -> their priority
        self.drain_ms = 2000
        self.timeout_ms = 8000    # timeout of routes, in milliseconds
        self.idle_ms = 15000      # idle timeout of connections, in milliseconds
        self.body_max_bytes = 100000    # largest body of a request
        self.store_port = self.base
        self.engine_control = self.base + 1
        self.hosts = ["host-%d" % i for i in range(hosts)]
        self.store_via = {h: self.store_port for h in self.hosts}
        self.sources = {}       # host -> address that its calls to endpoints and the store come from
        self.known_as = {}      # host or endpoint -> port at which its peers reach it, if not its own
        self.points = []
        for i in range(8):
            kind = "big" if i % 2 else "small"
            self.points.append(("e%d" % i, self.base + 10 + i, "llm", "z%d" % (i // 4), kind))
        for i in range(2):
            self.points.append(("p%d" % i, self.base + 20 + i, "plain", "z%d" % i, "-"))

    def port(self, host, what):
        return self.base + 30 + 5 * self.hosts.index(host) + ["front", "ready", "metrics",
                                                               "control"].index(what)

    def begin(self, name, args):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        proc = subprocess.Popen(args, stdout=log, stderr=log, cwd=self.dir)
        log.close()
        self.procs[name] = proc

    def seed_port(self, host, other):
        """Port in the seed list under which a host finds another one. It is the proxied port, so that a fault of
        the link also cuts off connections made through the seeds. A host's own entry is its real port."""
        own = self.port(other, "control")
        return own if host == other else self.known_as.get(other, own)

    def begin_host(self, host):
        path = os.path.join(self.dir, host + ".ini")
        seeds = ",".join("127.0.0.1:%d" % self.seed_port(host, h) for h in self.hosts[:3])
        with open(path, "w") as ini:
            ini.write("[host]\nname = %s\nzone = z%d\n" % (host, self.hosts.index(host) % 2))
            ini.write("first_start = %d\n" % (host not in self.procs))
            if host in self.sources:
                ini.write("source = %s:0\n" % self.sources[host])
            ini.write("[listen]\n")
            for what in ("front", "ready", "metrics", "control"):
                ini.write("%s = 127.0.0.1:%d\n" % (what, self.port(host, what)))
            if host in self.known_as:
                ini.write("control_known_as = 127.0.0.1:%d\n" % self.known_as[host])
            ini.write("[hosts]\nseeds = %s\n" % seeds)
            ini.write("[store]\naddress = 127.0.0.1:%d\n" % self.store_via[host])
            ini.write("[endpoints]\ndrain_ms = %d\n" % self.drain_ms)
            ini.write("[repeats]\nfixed = 200\n[stop]\ngrace_s = 8\n")
        self.begin(host, [os.path.join(BIN, "bgrouterd"), "--config", path])

    def up(self, wait=True):
        self.begin("store", [os.path.join(BIN, "bgstand-store"), "127.0.0.1:%d" % self.store_port])
        eventually("the store answers", lambda: self.fault_store("ok") or True)
        specs = ["%s,127.0.0.1:%d,%s,%s,%s" % p + (
            ",127.0.0.1:%d" % self.known_as[p[0]] if p[0] in self.known_as else "")
                 for p in self.points]
        self.begin("engine", [os.path.join(BIN, "bgstand-engine"),
                              "127.0.0.1:%d" % self.store_port,
                              "127.0.0.1:%d" % self.engine_control, str(LAYERS)] + specs)
        self.put_config()
        for host in self.hosts:
            self.begin_host(host)
        if wait:
            for host in self.hosts:
                eventually(host + " is ready", lambda h=host: self.is_ready(h))
                eventually(host + " serves a stream", lambda h=host: self.serves_stream(h))

    def faults_counted(self, counter):
        """Returns the counter, which counts what must not happen: host -> number above 0, of the hosts that still run
        and answer."""
        found = {}
        for host in self.hosts:
            if host not in self.procs or self.procs[host].poll() is not None:
                continue
            try:
                text = call(self.port(host, "metrics"), "GET", "/metrics", timeout=5)[2].decode()
            except (OSError, http.client.HTTPException):
                continue    # the case has stopped the host
            found[host] = sum(float(line.split()[-1]) for line in text.splitlines()
                              if line.startswith(counter))
        return {host: n for host, n in found.items() if n > 0}

    def check_answered(self):
        """Fails if a request that was read whole ended without an answer at a host that still runs, or if a host has
        passed on other bytes of an answer than it took."""
        found = self.faults_counted("bg_requests_unanswered_total")
        if found:
            raise Failure("requests that ended without an answer: %r (lines connection_ended)" % found)
        found = self.faults_counted("bg_answers_differ_total")
        if found:
            raise Failure("answers of other bytes than their endpoints': %r (lines answer_differs)" % found)

    def down(self, keep=False):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        self.lock.close()
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)

    def memory_kb(self, host, field="VmRSS"):
        """Returns the resident memory of the host's process; field VmHWM: the largest it has had."""
        with open("/proc/%d/status" % self.procs[host].pid) as status:
            return next(int(line.split()[1]) for line in status if line.startswith(field + ":"))

    def keep_logs(self, name):
        """Copies the logs to a folder that is kept after the test; returns the folder."""
        kept = tempfile.mkdtemp(prefix="bgsoak-failed-%s." % name)
        for log in glob.glob(os.path.join(self.dir, "*.log")):
            shutil.copy(log, kept)
        return kept

    def config(self):
        def route(name, prefix, kind, service, **more):
            return dict({"name": name, "hostname": HOST_NAME, "pathPrefix": prefix,
                         "routeType": kind, "service": service, "timeoutMs": self.timeout_ms,
                         "targetLatencyMs": 500, "maxAttempts": 2, "priority": 1}, **more)

        routes = [route("stream", "/stream/", "streaming", "llm", resumable=True, gapAimMs=200),
                  route("once", "/once/", "non_idempotent", "plain", maxAttempts=1),
                  route("many", "/many/", "idempotent", "plain")]
        routes += [route(n, "/%s/" % n, "streaming", "llm", resumable=True, gapAimMs=200, priority=p)
                   for n, p in self.classes.items()]
        routes += [route(n, "/%s/" % n, "idempotent", "plain") for n in self.extra_routes]
        engine = {"slots": 64, "kvTokenBytes": 1000, "linkMbps": 1000.0, "stride": 1,
                  "models": [{"name": "m", "loadS": 1.0}], "step_ms": 1.0, "per_seq_ms": 0.01,
                  "context_per_k": 0.01, "read_per_s": 100000.0,
                  "usual": {"prompt": 50, "answer": 10}, "layers": LAYERS, "layerMb": 10.0,
                  "actBytes": 100, "pipeMbps": 1000.0,
                  "kinds": [{"name": "big", "sizeMb": 60.0, "pace": 2.0, "readX": 2.0},
                            {"name": "small", "sizeMb": 30.0, "pace": 4.0, "readX": 4.0}]}
        return {"version": self.version, "routes": routes,
                "services": [{"name": "llm", "healthPath": "/health", "engine": engine},
                             {"name": "plain", "healthPath": "/health"}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": self.body_max_bytes,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": self.idle_ms},
                "tenants": [{"name": n, "apiKeys": k} for n, k in self.keys.items()]}

    def put_config(self):
        """Writes the configuration to the store as an operator does; returns its version once it is stored."""
        self.version += 3
        status, _, _ = call(self.store_port, "POST", "/put?topic=keyed.op&key=config",
                            json.dumps(self.config()))
        if status != 200:
            raise Failure("the store rejected the configuration")
        return self.version

    def fault_store(self, mode, topic=None):
        """Sets the fault of the store, for all calls or for those on one topic."""
        call(self.store_port, "POST", "/fault?mode=" + mode + ("&topic=" + topic if topic else ""))

    def copy_store(self):
        """Makes the store copy its contents, for a later rewind_store()."""
        call(self.store_port, "POST", "/mark")

    def rewind_store(self, lost_s=None, away_s=0.8, seed=1):
        """Makes the store unavailable for away_s seconds and then restores it from a copy: the last one made by
        copy_store(), or, if lost_s is given, its contents of lost_s seconds ago."""
        lost = "" if lost_s is None else "lostMs=%d&" % (lost_s * 1000)
        call(self.store_port, "POST", "/rewind?%sawayMs=%d&seed=%d" % (lost, away_s * 1000, seed))

    def store_era(self):
        """Returns the era that the store's answers state; None while the store is unavailable."""
        status, headers, _ = call(self.store_port, "GET", "/-/log-newest?topic=keyed.op")
        return int(headers["Store-Era"]) if status == 200 else None

    def wait_for_era(self, era):
        eventually("the store is restored", lambda: self.store_era() == era)

    def fault_engine(self, name, kind, **fields):
        """Sets the fault of an endpoint and the header fields of its answers from now on; fields that are not given
        are not sent. limit: text of its Server-Limit field; leaving: text of its Server-Leaving field;
        rest: text of the Retry-After field with which it rejects requests; times: number of requests of each
        host that it rejects so."""
        more = "".join("&%s=%s" % (k, urllib.parse.quote(str(v))) for k, v in fields.items() if v is not None)
        call(self.engine_control, "POST", "/fault?endpoint=%s&kind=%s%s" % (name, kind, more))

    def listing(self, topic):
        """Returns the items of all pages of a listing of the topic in the store."""
        items, after, more = [], "", True
        while more:
            page = json.loads(call(self.store_port, "GET", "/-/log-newest?topic=%s%s" % (topic, after))[2])
            items += page["items"]
            more = page["hasMore"]
            after = "&after=" + items[-1]["key"] if items else ""
        return items

    def ledger(self):
        return json.loads(call(self.engine_control, "GET", "/ledger")[2])

    def state(self, host):
        return json.loads(call(self.port(host, "metrics"), "GET", "/state", timeout=5)[2])

    def metric(self, host, name):
        text = call(self.port(host, "metrics"), "GET", "/metrics", timeout=5)[2].decode()
        return float(next(line.split()[-1] for line in text.splitlines()
                          if line.startswith(name + " ")))

    def bgctl(self, host, *words):
        addr = "127.0.0.1:%d" % self.port(host, "metrics")
        return subprocess.run([os.path.join(BIN, "bgctl"), "--control", addr] + list(words),
                              check=True, capture_output=True, timeout=30).stdout.decode()

    def is_ready(self, host):
        return call(self.port(host, "ready"), "GET", "/-/ready", timeout=2)[0] == 200

    def ask(self, host, path, request_id, key="key-farm", port=None, timeout=10, body=b"{}",
            **headers):
        """A request as a caller sends it; returns (status, headers, body)."""
        sent = {"Host": HOST_NAME, "Bronzegauge-Request-Id": request_id,
                "Bronzegauge-Deadline-Ms": "8000", "Bronzegauge-Key": key,
                "Bronzegauge-Token-Counts": "50,12"}
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        return call(port or self.port(host, "front"), "POST", path, body=body, headers=sent,
                    timeout=timeout)

    def serves_stream(self, host):
        return self.ask(host, "/stream/x", "probe-%s-%f" % (host, time.monotonic()))[0] == 200

    def signal(self, name, number):
        self.procs[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs[name].wait()

    def log(self, name):
        with open(os.path.join(self.dir, name + ".log"), errors="replace") as log:
            return log.read()


@functools.lru_cache(maxsize=8)
def words(n):
    """The n bytes with which the stand-in for endpoints fills its answers: each word tells its offset."""
    return b"".join(b"%08x" % offset for offset in range(0, n, WORD_BYTES))[:n]


def check_words(request_id, body, n):
    """Checks that the body has the n bytes that the endpoint sent."""
    want = words(n)
    if body != want:
        same = next((i for i, pair in enumerate(zip(body, want)) if pair[0] != pair[1]), min(len(body), n))
        raise Failure("%s: %d of %d bytes; those from %d on are wrong or missing" % (request_id, len(body), n, same))


def check_stream(request_id, body, first=1, last=12, event_bytes=0):
    """Checks that the body has exactly the events first..last of the request, complete and in order; event_bytes: size
    of the words in the data of each."""
    more = b" " + words(event_bytes) if event_bytes else b""
    want = b"".join(b"id: %d\ndata: %s %d%s\n\n" % (i, request_id.encode(), i, more) for i in range(first, last + 1))
    if body != want:
        raise Failure("stream of %s is incomplete or has wrong events: %r" % (request_id, body[-200:]))


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
