"""A small deployment for the cases 6 to 10: the store of store_2.py, runners of a plain service that keep a record
of what reaches them, and hosts of the router, which run the program and the settings template of the deploy file.

Only processes that were started here are ended, by their process ids. All addresses are loopback ones.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
HOST_NAME = "local.test"
KEY = "key-farm"
# Bounds of the sites' sheets that the settings name.
BOUNDS = {"configApplyMs": 2000, "drainMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "retryBudgetSlack": 198, "graceS": 8}
HEARTBEAT_S = 1.2
START_S = 30
PORTS = (15000, 30000)
USED_PORTS = set()


class NotRun(Exception):
    """The case could not run."""


def free_ports(n):
    """Returns ports below those that the kernel gives to sockets, so that nothing takes one before its owner listens."""
    ports = []
    for port in random.sample(range(*PORTS), PORTS[1] - PORTS[0]):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            ports.append(port)
            USED_PORTS.add(port)
        if len(ports) == n:
            return ports
    raise NotRun("no free ports")


def http_call(port, method, path, body=None, headers=None, timeout=5):
    """One call on a new connection; returns (status, headers in lower case, body)."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    finally:
        conn.close()


def record_bytes(key, value):
    """A record of a keyed topic with its length before it."""
    return struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value


class Record:
    """What was sent, answered and run, written to record.txt with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, *words):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, " ".join(str(w) for w in words)))
            self.file.flush()


class Deployment:
    def __init__(self, record, hosts=3):
        self.record = record
        self.dir = tempfile.mkdtemp(prefix="bgreview.")
        self.procs = {}
        self.version = 0
        self.store_port = free_ports(1)[0]
        self.hosts = ["host-%d" % i for i in range(hosts)]
        self.ports = {h: dict(zip(("front", "ready", "control", "metrics"), free_ports(4))) for h in self.hosts}
        self.started = set()

    def start(self, name, args, env=None):
        with open(os.path.join(self.dir, name + ".log"), "ab") as log:
            self.procs[name] = subprocess.Popen(args, stdout=log, stderr=log, cwd=ROOT, env=env)
        self.record("start", name, "pid", self.procs[name].pid)

    @staticmethod
    def until(what, test, patience_s=START_S):
        end = time.monotonic() + patience_s
        while time.monotonic() < end:
            try:
                if test():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.02)
        raise NotRun("not in time: " + what)

    def start_store(self):
        self.start("store", [sys.executable, os.path.join(HERE, "store_2.py"), "127.0.0.1:%d" % self.store_port])
        self.until("the store answers",
                   lambda: http_call(self.store_port, "GET", "/-/log-newest?topic=keyed.op&part=0")[0] == 200)

    def write(self, topic, key, value):
        status = http_call(self.store_port, "POST", "/-/log-append?topic=%s&part=0" % topic,
                           record_bytes(key, value))[0]
        if status != 200:
            raise NotRun("the store did not take a record")

    def put_config(self, **streams):
        """streams: more fields of the streaming route."""
        self.version += 3
        route = {"hostname": HOST_NAME, "service": "plain", "timeoutMs": 4000, "targetLatencyMs": 300,
                 "maxAttempts": 2, "priority": 1}
        config = {"version": self.version,
                  "routes": [dict(route, name="once", pathPrefix="/once/", routeType="non_idempotent"),
                             dict(route, name="many", pathPrefix="/many/", routeType="idempotent"),
                             dict(route, name="stream", pathPrefix="/stream/", routeType="streaming",
                                  timeoutMs=20000, gapAimMs=200, resumable=False, **streams)],
                  "services": [{"name": "plain", "healthPath": "/health"}],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                             "idleTimeoutMs": 15000},
                  "tenants": [{"name": "farm", "apiKeys": [KEY]}]}
        self.write("keyed.op", b"config", json.dumps(config).encode())
        self.record("configuration", self.version, "acknowledged")

    def settings(self, host):
        """Fills in deploy/router.ini.in as the platform does."""
        ports = self.ports[host]
        values = {"nodeName": host, "zone": "z%d" % (self.hosts.index(host) % 2), "limits.linkMbps": "1000.0",
                  "limits.cpuShare": "0.25", "heartbeatMs": int(HEARTBEAT_S * 1000),
                  "listen.front": "127.0.0.1:%d" % ports["front"],
                  "listen.readinessAddr": "127.0.0.1:%d" % ports["ready"],
                  "listen.control": "127.0.0.1:%d" % ports["control"],
                  "seeds": ",".join("127.0.0.1:%d" % self.ports[h]["control"] for h in self.hosts[:3]),
                  "platform.address": "127.0.0.1:%d" % self.store_port}
        values.update(("bounds." + k, v) for k, v in BOUNDS.items())
        with open(os.path.join(ROOT, "deploy", "router.ini.in")) as template:
            text = template.read()
        first = 0 if host in self.started else 1
        text = text.replace("{{#bootstrap}}1{{/bootstrap}}{{^bootstrap}}0{{/bootstrap}}", str(first))
        text = text.replace("{{ip}}:9470", "127.0.0.1:%d" % ports["metrics"])
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, str(value))
        path = os.path.join(self.dir, host + ".ini")
        with open(path, "w") as out:
            out.write(text)
        return path

    def up(self, runners):
        """Starts everything; the runners check in and the hosts become ready."""
        self.start_store()
        for runner in runners:
            runner.check_in_always()
        self.put_config()
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            self.until(host + " is ready", lambda h=host: self.is_ready(h))
        time.sleep(1)

    def start_host(self, host):
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C",
               "BRONZEGAUGE_CONFIG": self.settings(host)}
        self.started.add(host)
        self.start(host, [os.path.join(ROOT, "target", "bgrouterd")], env)

    def is_ready(self, host):
        return http_call(self.ports[host]["ready"], "GET", "/-/ready", timeout=2)[0] == 200

    def kill(self, name):
        self.procs[name].send_signal(signal.SIGKILL)
        self.procs[name].wait()
        self.record("killed", name)

    def log(self, host):
        with open(os.path.join(self.dir, host + ".log"), errors="replace") as log:
            return log.read()

    def ask(self, host, path, request_id, body=b"{}", deadline_ms=4000, timeout=6):
        """A request as a client sends it; returns (status or the error's text, headers, body) and records it."""
        headers = {"Host": HOST_NAME, "Bronzegauge-Request-Id": request_id, "Bronzegauge-Key": KEY,
                   "Bronzegauge-Deadline-Ms": str(deadline_ms)}
        self.record("sent", request_id, path, "to", host)
        try:
            answer = http_call(self.ports[host]["front"], "POST", path, body, headers, timeout)
        except (OSError, http.client.HTTPException) as error:
            answer = (type(error).__name__, {}, b"")
        self.record("answered", request_id, answer[0], answer[2][:80])
        return answer

    def down(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        if os.environ.get("KEEP"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class Runner:
    """A sound runner of the plain service. It answers each request at once with its body; a subclass may do otherwise
    in serve()."""

    def __init__(self, deployment, name, zone="z0", slots=64):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.zone, self.slots = name, zone, slots
        self.sequence, self.state = 0, "ready"
        self.born = int(time.time() * 1000)
        self.runs = {}          # request id -> number of runs
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        self.sequence += 1
        return {"service": "plain", "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    def check_in(self):
        self.deployment.write("keyed.servers", self.name.encode(), json.dumps(self.entry()).encode())

    def check_in_always(self):
        self.check_in()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            try:
                self.check_in()
            except (OSError, http.client.HTTPException, NotRun):
                pass

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            threading.Thread(target=self.handle, args=(conn,), daemon=True).start()

    def handle(self, conn):
        stream = conn.makefile("rb")
        try:
            while True:
                line = stream.readline()
                if not line:
                    return
                headers = {}
                for text in iter(stream.readline, b"\r\n"):
                    if not text:
                        return
                    name, _, value = text.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                if b" /health " in line:
                    conn.sendall(b"HTTP/1.1 200 OK\r\nBronzegauge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" %
                                 self.name.encode())
                elif "bronzegauge-request-id" not in headers:
                    conn.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                elif headers.get("bronzegauge-expect-instance", self.name) != self.name:
                    conn.sendall(b"HTTP/1.1 421 Misdirected Request\r\nBronzegauge-Not-Executed: 1\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                else:
                    self.take(conn, stream, headers)
        except OSError:
            pass
        finally:
            conn.close()

    def take(self, conn, stream, headers):
        """Takes the body of a request whose head has come, and answers."""
        body = stream.read(int(headers.get("content-length", 0)))
        self.serve(conn, headers, body)

    def note_run(self, headers):
        request_id = headers["bronzegauge-request-id"]
        with self.lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record("run", request_id, "by", self.name)

    def head(self, headers, length, status=200):
        return ("HTTP/1.1 %d OK\r\nBronzegauge-Request-Id: %s\r\nBronzegauge-Response-Seal: seal-%s\r\n"
                "Content-Length: %d\r\n\r\n" % (status, headers["bronzegauge-request-id"], self.name,
                                                length)).encode()

    def serve(self, conn, headers, body):
        self.note_run(headers)
        conn.sendall(self.head(headers, len(body)) + body)


def main(case):
    """Runs case(record, trouble), which returns what broke the rule, or nothing. Exits as the issue asks."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE") != "0"
    try:
        broken = case(record, trouble)
    except (NotRun, OSError, KeyError) as error:
        record("could not run:", repr(error))
        print("could not run:", repr(error))
        sys.exit(2)
    record("broken: %s" % broken if broken else "held")
    print("broken: %s" % broken if broken else "held")
    sys.exit(1 if broken else 0)
