"""Test cases of new configurations while requests are under way: python3 regress/soak/cases_versions.py NAME. Each
docstring names the failure that the case guards against."""
import itertools
import json
import time

from cases import events, expect, run
from cases_lost import WHOLE, Connection, request_bytes
from cases_reach import up
from cases_silence import EVENTS
from stack import call, check_stream, eventually

IDLE_MS = 1000          # the shortest idle timeout, in milliseconds
HELD_S = 1.4            # time for which endpoints stand still, longer than that and than the short route timeout
SHORT_TIMEOUT_MS = 300
HALF = 5                # bytes of a body that are sent before the change
BODY = b"0123456789"


def route_of(whole, name):
    return next(r for r in whole["routes"] if r["name"] == name)


def set_routes(whole, **fields):
    for route in whole["routes"]:
        route.update(fields)


def lose_service(whole):
    whole["services"] = [s for s in whole["services"] if s["name"] != "plain"]
    whole["routes"] = [r for r in whole["routes"] if r["service"] != "plain"]


# Kind of change -> (change of the configuration, status of a request whose body is read meanwhile).
CHANGES = {
    "routes are removed": (lambda whole: whole.update(routes=[]), 404),
    "a route is added": (lambda whole: whole["routes"].append(dict(route_of(whole, "many"), name="more",
                                                                    pathPrefix="/more/")), 200),
    "routes get another service": (lambda whole: set_routes(whole, service="spare"), 200),
    "weights": (lambda whole: set_routes(whole, trafficSplit=[{"service": "plain", "weight": 1},
                                                              {"service": "spare", "weight": 9}]), 200),
    "timeout": (lambda whole: set_routes(whole, timeoutMs=SHORT_TIMEOUT_MS), 200),
    "attempts": (lambda whole: set_routes(whole, maxAttempts=1, resumable=False), 200),
    "priority": (lambda whole: set_routes(whole, priority=3), 200),
    "the tenant is removed": (lambda whole: whole.update(tenants=whole["tenants"][1:]), 401),
    "the key changes": (lambda whole: whole["tenants"][0].update(apiKeys=["key-other"]), 401),
    "idle timeout": (lambda whole: whole["limits"].update(idleTimeoutMs=IDLE_MS), 200),
    "largest body": (lambda whole: whole["limits"].update(maxBodyBytes=1), None),
    "a service is removed": (lose_service, 404),
}


class UnderWay:
    """A request that is brought into a state of its way."""

    def __init__(self, stack, path, request_id, body=b"{}"):
        self.id, self.path = request_id, path
        self.conn = Connection(stack.port("host-0", "front"))
        self.data = request_bytes(path, request_id, body, Bronzegauge_Token_Counts="50,%d" % EVENTS)

    def send(self, without=0):
        self.conn.send(self.data[:len(self.data) - without])
        return self

    def send_rest(self, n):
        self.conn.send(self.data[-n:])

    def await_part(self):
        eventually("a part of " + self.id, lambda: b"\nid: 1\n" in self.conn.data or not self.conn.fill())

    def check_whole(self, what):
        got, status, _, body = self.conn.read_answer()
        expect("%s: %s" % (what, self.id), (got, status), (WHOLE, 200))
        if self.path.startswith("/stream"):
            check_stream(self.id, body, last=EVENTS)
        self.conn.close()


def is_sent(stack, request_id):
    return any(e["id"] == request_id for e in events(stack, "host-0", "sent"))


def put_change(stack, change):
    """Writes a changed configuration and waits until host-0 has it."""
    make = stack.config

    def changed():
        whole = make()
        change(whole)
        return whole
    stack.config = changed
    version = stack.put_config()
    stack.config = make
    eventually("the version is known", lambda: stack.state("host-0")["configuration"] >= version)
    return version


def restore(stack, number):
    """Writes the first configuration again and waits until host-0 admits requests under it."""
    version = put_change(stack, lambda whole: None)
    asked = itertools.count()

    def admits():
        name = "probe-%d-%d" % (number, next(asked))
        stack.ask("host-0", "/many/a", name)
        return any(e["id"] == name and e["version"] >= version for e in events(stack, "host-0", "ended"))
    eventually("the first configuration is in force", admits)


def check_change(stack, gates, number, what):
    """Changes the configuration while requests are under way in each state: those that were read whole keep the one
    under which they were admitted, the other gets the new one."""
    change, status = CHANGES[what]
    begun = UnderWay(stack, "/stream/a", "parts-%d" % number).send()
    begun.await_part()
    for gate in gates:
        gate.begin_cut(list(stack.sources.values()), "accept")
    sent = [UnderWay(stack, "/%s/a" % kind, "%s-%d" % (kind, number)).send() for kind in ("stream", "many", "once")]
    for one in sent:
        eventually(one.id + " is sent", lambda i=one.id: is_sent(stack, i))
    read = UnderWay(stack, "/many/b", "read-%d" % number, BODY).send(without=HALF)
    put_change(stack, change)
    time.sleep(HELD_S)
    for gate in gates:
        gate.mend()
    for one in [begun] + sent:
        one.check_whole(what)
    if status:
        read.send_rest(HALF)
        expect(what + ": a request that was read later", read.conn.read_answer()[:2], (WHOLE, status))
    read.conn.close()
    restore(stack, number)


def case_each_state(stack):
    """Guards against requests that a new configuration ends, shortens, moves or refuses after they were admitted."""
    stack.points += [("s%d" % i, stack.base + 26 + i, "spare", "z%d" % i, "-") for i in range(2)]
    make = stack.config

    def config():
        whole = make()
        whole["services"].append({"name": "spare", "healthPath": "/health"})
        return whole
    stack.config = config
    gates = up(stack, hosts=2)
    for number, what in enumerate(CHANGES):
        check_change(stack, gates, number, what)


def case_other_key(stack):
    """Guards against hosts that take what the operator keeps under another key for the configuration, and refuse the
    true one from then on."""
    stack.up()
    other = dict(stack.config(), version=stack.version + 1000, routes=[])
    call(stack.store_port, "POST", "/put?topic=keyed.op&key=draft", json.dumps(other))
    stack.extra_routes.append("added")
    stack.put_config()
    for host in stack.hosts:
        eventually(host + " serves the route that was added",
                   lambda h=host: stack.ask(h, "/added/x", "added-%s-%f" % (h, time.monotonic()))[0] == 200, 15)
        expect("version at " + host, stack.state(host)["configuration"], stack.version)


CASES = {k[len("case_"):]: v for k, v in globals().items() if k.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
