"""Test cases in which the store is restored from an older copy: python3 regress/soak/cases_copy.py NAME."""
import json
import os
import threading
import time

from cases import after, endpoint_state, expect, run
from proxy import Proxy
from stack import Failure, call, eventually

# Time after the store is restored within which a host must be able to send orders to engines, in seconds.
ORDERS_S = 3.0
# Time after the store is restored within which it must list a host again, in seconds.
HOST_S = 5.0
# Whether the time limits are checked; to be set by hand, on an otherwise idle machine.
TIMED = "BG_TIMED" in os.environ


def report_time(what, began, limit_s):
    """Prints the time since began, in seconds; with BG_TIMED, fails if it exceeds limit_s."""
    seconds = time.monotonic() - began
    print("%s %.1f s after the store was restored" % (what, seconds))
    if TIMED and seconds > limit_s:
        raise Failure("%s only %.1f s after the store was restored" % (what, seconds))


def leader(stack):
    return next((h for h in stack.hosts if stack.state(h)["places_layers"]), None)


def await_leader(stack):
    """Waits for a leader and returns it. A leader that stops reading the store resigns, and there is no leader
    until the next host takes over; so the result is the leader found by the poll, without a second request."""
    seen = []

    def one_leads():
        seen[:] = [leader(stack)]
        return seen[0] is not None

    eventually("one host is the leader", one_leads)
    return seen[0]


def has_era(stack, host, era):
    """Whether the host has reached the era; true for a host of the previous version, which does not report it."""
    return stack.state(host).get("era", era) == era


def addr_of(stack, name):
    return next("127.0.0.1:%d" % p[1] for p in stack.points if p[0] == name)


def count_records(stack, topic):
    return json.loads(call(stack.store_port, "GET", "/-/log-newest?topic=" + topic)[2])["end"]


def is_recovered(stack, era):
    """Whether recovery of that era is complete: a host has saved the endpoints after the store was restored."""
    for host in stack.hosts:
        if any(e["event"] == "endpoints_noted" and e["status"] == 200
               for e in after(stack, host, "store_returned", era=era)):
            return True
    return False


class Watch(threading.Thread):
    """Runs a check repeatedly until stopped, and collects the violations that it finds."""

    def __init__(self, check):
        super().__init__(daemon=True)
        self.check = check
        self.done = threading.Event()
        self.found = []
        self.asked = 0

    def run(self):
        while not self.done.is_set():
            for host, wrong in self.check():
                self.found.append((host, wrong))
            self.asked += 1

    def end(self):
        self.done.set()
        self.join()
        if self.found:
            raise Failure("%d violations in %d rounds, first at %s: %s" % (
                len(self.found), self.asked, *self.found[0]))


def case_configuration(stack):
    """Symptom: a route and a key that had been accepted were missing, or a revoked key worked again.
    Sequence: a configuration is accepted and in force; the store is restored from a copy with an older one;
    the operator writes a newer one later.
    Cause: the listing of the restored store was treated as newer than the host's configuration."""
    stack.up()
    stack.copy_store()
    stack.extra_routes.append("new")
    stack.keys["farm"] = ["key-other"]
    stack.put_config()
    for host in stack.hosts:
        eventually("in force at " + host, lambda h=host: stack.ask(
            h, "/new/a", "c-%s-%f" % (h, time.monotonic()), key="key-other")[0] == 200)

    def check():
        for host in stack.hosts:
            stamp = "%s-%f" % (host, time.monotonic())
            status = stack.ask(host, "/new/a", "n-" + stamp, key="key-other")[0]
            if status in (401, 404):
                yield host, "the new route and key answer %d" % status
            if stack.ask(host, "/many/a", "o-" + stamp)[0] != 401:
                yield host, "the revoked key works"

    watch = Watch(check)
    watch.start()
    stack.rewind_store()
    stack.wait_for_era(2)
    eventually("the recovery is complete", lambda: is_recovered(stack, 2))
    stack.extra_routes.append("newer")
    stack.put_config()
    for host in stack.hosts:
        eventually("the next configuration is in force at " + host, lambda h=host: stack.ask(
            h, "/newer/a", "m-%s-%f" % (h, time.monotonic()), key="key-other")[0] == 200)
    watch.end()


def case_endpoint_registers(stack):
    """Symptom: an endpoint that registered right after the store was restored was used by no host.
    Sequence: the store is restored from a copy; an endpoint registers at an offset below the one that hosts
    have already read.
    Cause: records were ordered by their offsets, which decrease when the store is restored."""
    stack.up()
    stack.copy_store()
    end = count_records(stack, "keyed.servers")
    eventually("many heartbeats are lost", lambda: count_records(stack, "keyed.servers") > end + 60)
    for host in stack.hosts:
        expect("endpoints at " + host, len(stack.state(host)["endpoints"]), len(stack.points))
    addr = addr_of(stack, "p0")
    ids = {h: endpoint_state(stack, h, addr)["born_ms"] for h in stack.hosts}
    end = count_records(stack, "keyed.servers")
    stack.rewind_store()
    stack.wait_for_era(2)
    stack.fault_engine("p0", "restarted")
    for host in stack.hosts:
        eventually(host + " knows the new incarnation",
                   lambda h=host: endpoint_state(stack, h, addr)["born_ms"] > ids[h])
    if count_records(stack, "keyed.servers") >= end:
        raise Failure("the new incarnation was known only after the offsets had caught up")


def case_removed_endpoint(stack):
    """Symptom: requests were sent to an endpoint that had been removed.
    Sequence: an endpoint's entry is removed; the store is restored from a copy that still has the entry.
    Cause: the listing of the restored store was applied without a check."""
    stack.up()
    stack.copy_store()
    addr = addr_of(stack, "p0")
    point_id = endpoint_state(stack, "host-0", addr)["id"]
    stack.fault_engine("p0", "dark")
    eventually("p0 writes its entry no more", lambda: "p0" not in stack.ledger()["putting"])
    call(stack.store_port, "POST", "/put?topic=keyed.servers&key=" + point_id, "")

    def listed(host):
        return addr in [e["addr"] for e in stack.state(host)["endpoints"]]

    for host in stack.hosts:
        eventually(host + " has removed the endpoint", lambda h=host: not listed(h))
    watch = Watch(lambda: [(h, "the removed endpoint is listed again") for h in stack.hosts if listed(h)])
    watch.start()
    stack.rewind_store()
    stack.wait_for_era(2)
    for host in stack.hosts:
        eventually(host + " has the new era", lambda h=host: has_era(stack, h, 2))
    eventually("the recovery is complete", lambda: is_recovered(stack, 2))
    watch.end()
    stack.fault_engine("p0", "ok")
    for host in stack.hosts:
        eventually(host + " lists the endpoint after it registers again", lambda h=host: listed(h))


def case_orders(stack):
    """Symptom: engines that restarted without layers never got any, and no stream was served.
    Sequence: the leader changes, the store is restored from an older copy with a lower generation; then the
    same with the leader killed, and once more.
    Cause: hosts accepted only a higher generation, and engines reject a lower fencing number."""
    stack.up()
    await_leader(stack)
    stack.copy_store()
    for turn, kill in ((0, False), (1, True), (2, False)):
        for _ in range(2):
            former = await_leader(stack)
            stack.kill(former)
            stack.begin_host(former)
            await_leader(stack)
        former = await_leader(stack)
        stack.rewind_store(seed=turn)
        if kill:
            stack.kill(former)
        stack.wait_for_era(turn + 2)
        began = time.monotonic()
        eventually("a host can send orders", lambda: any(
            stack.state(h)["places_layers"] and has_era(stack, h, turn + 2)
            for h in stack.hosts if stack.procs[h].poll() is None), patience_s=20)
        report_time("turn %d: orders are possible" % turn, began, ORDERS_S)
        if kill:
            stack.begin_host(former)
        stack.fault_engine("e%d" % (turn + 2), "restarted")
        for host in stack.hosts:
            eventually(host + " serves a stream", lambda h=host: stack.serves_stream(h))
        for name in ("e%d" % (turn + 2),):
            addr = addr_of(stack, name)
            for host in stack.hosts:
                eventually("%s knows that %s holds layers" % (host, name),
                           lambda h=host: endpoint_state(stack, h, addr)["to"] > 0, patience_s=20)
        stack.copy_store()
    expect("violations", stack.ledger()["violations"], "")


def case_host_started(stack):
    """Symptom: a host whose registration was lost with the store's last writes was unknown to hosts that started
    later.
    Sequence: a host registers itself, the store is restored from a copy without its entry; another host starts.
    Cause: a host registered itself only once, and did not check later that its entry still existed."""
    last = stack.hosts[-1]
    others = stack.hosts[:-1]
    stack.hosts = others
    stack.up()
    stack.copy_store()
    stack.hosts = others + [last]
    stack.begin_host(last)
    for host in stack.hosts:
        eventually("%s knows %s" % (host, last), lambda h=host: last in names(stack, h))
    stack.rewind_store()
    stack.wait_for_era(2)
    began = time.monotonic()
    eventually("the store lists the host again", lambda: last in listed_hosts(stack), patience_s=20)
    report_time("the host is listed", began, HOST_S)
    for host in stack.hosts:
        expect("hosts at " + host, len(names(stack, host)), len(stack.hosts))


def names(stack, host):
    return [h["name"] if isinstance(h, dict) else h for h in stack.state(host)["hosts"]]


def listed_hosts(stack):
    return [item["key"] for item in stack.listing("keyed.hosts")]


def case_partitioned(stack):
    """Symptom: a host that was partitioned while the store was restored kept the older era.
    Sequence: host-2 reaches neither the store nor other hosts while the store is restored, and both again
    later; the configuration changes in between.
    Cause: changes were sent only once."""
    links = []
    for i, host in enumerate(stack.hosts):
        port = stack.base + 80 + i
        links.append(Proxy(port, stack.store_port))
        stack.store_via[host] = port
    for i, host in enumerate(stack.hosts):
        port = stack.base + 85 + i
        links.append(Proxy(port, stack.port(host, "control")))
        stack.known_as[host] = port
    stack.up()
    stack.copy_store()
    cut = [links[2], links[3], links[4], links[5]]
    for link in cut:
        link.set("refuse")
    stack.rewind_store()
    stack.wait_for_era(2)
    stack.extra_routes.append("new")
    stack.put_config()
    eventually("in force at host-0", lambda: stack.ask(
        "host-0", "/new/a", "p-%f" % time.monotonic())[0] == 200)
    for link in cut:
        link.set("pass")
    for host in stack.hosts:
        eventually(host + " has the era", lambda h=host: has_era(stack, h, 2))
        eventually(host + " has the configuration", lambda h=host: stack.ask(
            h, "/new/a", "p-%s-%f" % (h, time.monotonic()))[0] == 200)
    for link in links:
        link.close()


if __name__ == "__main__":
    run({name[5:]: fn for name, fn in globals().items() if name.startswith("case_")})
