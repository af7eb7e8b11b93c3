"""A small deployment of bgrouterd for the cases of the review: the project's stand-in of the store, hosts that run the
command of the deploy file with settings rendered from its template, and runners and clients written here.

All addresses are on 127.0.0.1. Only processes that the deployment started are signalled, by their process ids.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


def free_port(used=set()):
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in used and port != 9470:
            used.add(port)
            return port


def http(port, method, path, body=b"", headers=None, timeout=5):
    """One call on a new connection; returns (status, headers with names in lower case, body)."""
    import http.client
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body=body or None, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    finally:
        conn.close()


def wait_for(what, test, seconds=20.0):
    import http.client
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if test():
                return
        except (OSError, ValueError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise CannotRun("not so in time: " + what)


class Record:
    """record.txt of a case: one line for each event, with seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Deployment:
    """A store and some hosts."""

    def __init__(self, folder, hosts=1, zones=("z0",)):
        self.record = Record(folder)
        self.dir = tempfile.mkdtemp(prefix="bgreview.")
        self.procs = {}
        self.zones = zones
        self.store_port = free_port()
        self.hosts = {}
        for i in range(hosts):
            name = "front-%d" % i
            self.hosts[name] = {what: free_port() for what in ("front", "ready", "control", "metrics")}
        self.version = 0
        self.beating = {}
        self.stopping = threading.Event()

    def program(self, name):
        path = os.path.join(ROOT, "target", name)
        if not os.access(path, os.X_OK):
            raise CannotRun("target/%s is missing: run the build of the deploy file and review/build.sh" % name)
        return path

    def begin(self, name, args, env=None):
        with open(os.path.join(self.dir, name + ".log"), "ab") as log:
            self.procs[name] = subprocess.Popen(args, stdout=log, stderr=log, cwd=ROOT, env=env)
        self.record.line("started %s" % name)

    def settings(self, name, first):
        """Renders the template of the deploy file for a host; the metrics port is a free one."""
        ports = self.hosts[name]
        seeds = ",".join("127.0.0.1:%d" % p["control"] for p in list(self.hosts.values())[:3])
        values = {"nodeName": name, "zone": self.zones[list(self.hosts).index(name) % len(self.zones)],
                  "limits.linkMbps": "1000.0", "limits.cpuShare": "0.25",
                  "listen.front": "127.0.0.1:%d" % ports["front"],
                  "listen.readinessAddr": "127.0.0.1:%d" % ports["ready"],
                  "listen.control": "127.0.0.1:%d" % ports["control"], "ip": "127.0.0.1", "seeds": seeds,
                  "platform.address": "127.0.0.1:%d" % self.store_port, "bounds.configApplyMs": "2000",
                  "bounds.drainMs": "2000", "heartbeatMs": "1200", "bounds.retryBudgetRatio": "0.2",
                  "bounds.budgetWindowS": "10", "bounds.retryBudgetSlack": "198", "bounds.graceS": "8"}
        with open(os.path.join(ROOT, "deploy", "router.ini.in"), encoding="utf-8") as template:
            text = template.read()
        text = text.replace("{{#bootstrap}}1{{/bootstrap}}{{^bootstrap}}0{{/bootstrap}}", "1" if first else "0")
        text = re.sub(r"{{([a-zA-Z.]+)}}", lambda m: values[m.group(1)], text)
        return text.replace("127.0.0.1:9470", "127.0.0.1:%d" % ports["metrics"])

    def begin_host(self, name, first=False):
        path = os.path.join(self.dir, name + ".ini")
        with open(path, "w", encoding="utf-8") as ini:
            ini.write(self.settings(name, first))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BRONZEGAUGE_CONFIG"] = path
        self.begin(name, [self.program("bgrouterd")], env)

    def up(self, config):
        self.begin("store", [self.program("bgstand-store"), "127.0.0.1:%d" % self.store_port])
        wait_for("the store answers", lambda: http(self.store_port, "GET", "/-/log-newest?topic=keyed.op&part=0")[0] == 200)
        self.put_config(config)
        threading.Thread(target=self.beat, daemon=True).start()
        for name in self.hosts:
            self.begin_host(name, first=True)
        for name in self.hosts:
            wait_for(name + " is ready", lambda n=name: self.ready(n))

    def ready(self, name):
        return http(self.hosts[name]["ready"], "GET", "/-/ready", timeout=1)[0] == 200

    def put(self, topic, key, value):
        if http(self.store_port, "POST", "/put?topic=%s&key=%s" % (topic, key), value)[0] != 200:
            raise CannotRun("the store did not take " + key)

    def put_config(self, config):
        self.version += 3
        self.put("keyed.op", "config", json.dumps(dict(config, version=self.version)).encode())

    def list_runner(self, runner_id, **entry):
        """Registers a runner and keeps its heartbeats going."""
        self.beating[runner_id] = dict(entry, sequence=0)
        self.beat_once(runner_id)

    def unlist_runner(self, runner_id):
        self.beating.pop(runner_id, None)
        self.put("keyed.servers", runner_id, b"")

    def beat_once(self, runner_id):
        entry = self.beating.get(runner_id)
        if entry:
            entry["sequence"] += 1
            self.put("keyed.servers", runner_id, json.dumps(entry).encode())

    def beat(self):
        while not self.stopping.wait(1.2):
            for runner_id in list(self.beating):
                try:
                    self.beat_once(runner_id)
                except (OSError, CannotRun):
                    pass

    def signal(self, name, number):
        self.record.line("%s gets %s" % (name, signal.Signals(number).name))
        self.procs[name].send_signal(number)

    def log(self, name):
        with open(os.path.join(self.dir, name + ".log"), errors="replace") as log:
            return log.read()

    def down(self):
        self.stopping.set()
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        if os.environ.get("KEEP"):
            print("kept", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def plain_config(routes, body_max=4194304, idle_ms=15000):
    return {"routes": routes, "services": [{"name": "records", "healthPath": "/health", "maxConnections": 49}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_max, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


def route(name, prefix, kind, service="records", timeout_ms=8000, attempts=1, **more):
    return dict({"name": name, "hostname": HOST, "pathPrefix": prefix, "routeType": kind, "service": service,
                 "timeoutMs": timeout_ms, "targetLatencyMs": 300, "priority": 1, "maxAttempts": attempts,
                 "public": False}, **more)


def run(case, folder):
    """Runs case(deployment factory) and exits with 0 (held), 1 (broken) or 2 (could not run)."""
    code = 2
    holder = []

    def make(**more):
        holder.append(Deployment(folder, **more))
        return holder[0]

    try:
        broken = case(make)
        code = 1 if broken else 0
        text = "BROKEN: %s" % broken if broken else "HELD"
        holder[0].record.line(text)
        print(text)
    except (CannotRun, OSError) as problem:
        print("the case could not be run: %r" % problem)
    finally:
        for deployment in holder:
            deployment.down()
    sys.stdout.flush()
    os._exit(code)
