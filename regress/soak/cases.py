"""Cases with real processes: python3 regress/soak/cases.py NAME. Each opens with what went wrong."""
import base64
import http.client
import json
import os
import signal
import sys
import threading
import time

from proxy import Proxy
from stack import Failure, Stack, call, check_stream, eventually


def expect(what, got, want):
    if got != want:
        raise Failure("%s: got %r, expected %r" % (what, got, want))


def case_path(stack):
    """The whole path: streams through pipelines, plain services, refusals with their reason."""
    stack.up()
    for host in stack.hosts:
        status, headers, body = stack.ask(host, "/stream/a?b=c", "s-" + host)
        expect("status", status, 200)
        check_stream("s-" + host, body)
        expect("proof", headers.get("Bronzegauge-Response-Seal"), "stand.s-" + host)
        expect("once", stack.ask(host, "/once/a", "o-" + host)[0], 200)
        expect("many", stack.ask(host, "/many/a", "m-" + host)[0], 200)
        expect("no route", stack.ask(host, "/none/a", "n-" + host)[0], 404)
        expect("bad key", stack.ask(host, "/many/a", "k-" + host, key="wrong")[0], 401)
        expect("goes on", stack.ask(host, "/stream/a", "r-" + host, Last_Event_Id="5")[2][:6],
               b"id: 6\n")
    ledger = stack.ledger()
    expect("violations", ledger["violations"], "")
    for name in ("n-", "k-"):
        for host in stack.hosts:
            expect("ran", ledger["runs"].get(name + host, 0), 0)


def case_config(stack):
    """Symptom: a key that was taken away still worked on some hosts.
    Sequence: the store turns hosts away while the configuration changes.
    Cause: each host knew only what it read itself."""
    stack.up()
    stack.extra_routes.append("new")
    stack.keys["farm"] = ["key-other"]
    stack.put_config()
    for host in stack.hosts:
        eventually("the new route at " + host,
                   lambda h=host: stack.ask(h, "/new/a", "c-" + h, key="key-other")[0] == 200)
        expect("old key", stack.ask(host, "/many/a", "old-" + host)[0], 401)


def case_age_of_the_view(stack):
    """Guards against a line that calls a host's knowledge old since nothing has changed for long."""
    stack.up()
    began, asked = time.monotonic(), [0]

    def is_young():
        asked[0] += 1
        stack.ask("host-0", "/many/a", "age-%d" % asked[0])
        sent = [e for e in after(stack, "host-0", "start", first_start=1) if e["event"] == "sent"]
        return time.monotonic() - began > 6 and sent[-1]["view_age_ms"] < 2000
    eventually("what host-0 knows is young", is_young, patience_s=20)


def case_store_away_at_start(stack):
    """Symptom: a host that started while the store was away refused everything.
    Sequence: all hosts run, the store goes silent, one host is killed and starts again.
    Cause: nobody but the store was asked."""
    stack.up()
    stack.fault_store("busy")
    stack.signal("host-2", signal.SIGKILL)
    stack.procs["host-2"].wait()
    stack.begin_host("host-2")
    eventually("host-2 is ready", lambda: stack.is_ready("host-2"))
    expect("served", stack.ask("host-2", "/many/a", "a1")[0], 200)


def case_start_in_an_outage(stack):
    """Symptom: after a kill of all hosts in an outage of the store, most requests were refused.
    Sequence: the store is away, the endpoints' entries lapse, all hosts are killed and start, the
    store comes back before the endpoints have registered again.
    Cause: what was known of the endpoints died with the hosts, and an empty list was believed. Those
    that had waited for it were then refused as if they had waited at engines."""
    stack.up()
    eventually("the endpoints are noted", lambda: any(stack.state(h)["noted"] for h in stack.hosts))
    ids = [e["id"] for e in stack.state("host-0")["endpoints"]]
    stack.fault_store("busy")
    stack.signal("engine", signal.SIGSTOP)
    for point in ids:
        call(stack.store_port, "POST", "/put?topic=keyed.servers&key=" + point, "")
    for host in stack.hosts:
        stack.signal(host, signal.SIGKILL)
        stack.procs[host].wait()
        stack.begin_host(host)
    for host in stack.hosts:
        eventually(host + " listens", lambda h=host: stack.is_ready(h) is not None)
    answers = {}

    def ask(name, host, path):
        answers[name] = stack.ask(host, path, name)

    asking = [threading.Thread(target=ask, args=("%s-%d" % (h, i), h, "/stream/a"))
              for h in stack.hosts for i in range(6)]
    for thread in asking:
        thread.start()
    stack.fault_store("ok")
    eventually("the endpoints are recalled",
               lambda: any('"endpoints_recalled"' in stack.log(h) for h in stack.hosts))
    stack.signal("engine", signal.SIGCONT)
    for thread in asking:
        thread.join()
    for name, (status, _, body) in answers.items():
        expect(name, status, 200)
        check_stream(name, body)
    expect("violations", stack.ledger()["violations"], "")


def case_settings(stack):
    """Symptom: after a change of the settings hosts answered differently, and nobody could say which
    of them had taken it.
    Sequence: the file is changed with and without a signal, twice within a moment, half, not at all.
    Cause: changes were told apart by the second, and no host said what it runs."""
    stack.up()
    path = os.path.join(stack.dir, "host-0.ini")

    def write(more, host="host-0"):
        path = os.path.join(stack.dir, host + ".ini")
        with open(path + ".new", "w") as ini:
            ini.write(texts[host] + more)
        os.rename(path + ".new", path)

    texts = {}
    for host in stack.hosts:
        with open(os.path.join(stack.dir, host + ".ini")) as ini:
            texts[host] = ini.read()

    def runs(host="host-0"):
        return stack.state(host)["runs"]

    first = runs()["settings"]
    expect("by", first["by"], "start")
    expect("alike", first["digest"], runs("host-1")["settings"]["digest"])
    write("[log]\nlines_per_s = 111\n")
    write("[log]\nlines_per_s = 112\n")
    write("[log]\nlines_per_s = 112\n", "host-1")
    eventually("the last change is in force", lambda: first["digest"] != runs()["settings"]["digest"]
               and runs()["settings"]["digest"] == runs("host-1")["settings"]["digest"])
    second = runs()["settings"]
    expect("by", second["by"], "file")
    write("[log]\nlines_per_s = many\n")
    eventually("the mistake is named", lambda: "'many'" in stack.log("host-0"))
    expect("what runs", runs()["settings"], second)
    os.unlink(path)
    write("[log]\nlines_per_s = 112\n[repeats]\nratio = 0.3\n")
    eventually("what waits for a restart is named", lambda: runs()["waiting"] == "repeats.ratio")
    expect("what runs", runs()["settings"]["digest"], second["digest"])
    write("[log]\nlines_per_s = 111\n")
    stack.signal("host-0", signal.SIGHUP)
    eventually("the signal is heeded", lambda: runs()["settings"]["by"] == "signal"
               or runs()["settings"]["digest"] not in (first["digest"], second["digest"]))
    expect("nothing waits", runs()["waiting"], "")
    for host in ("host-0", "host-1"):
        write("", host)
    eventually("as at first", lambda: runs()["settings"]["digest"] == first["digest"])
    expect("version", runs()["configuration"]["digest"], runs("host-1")["configuration"]["digest"])


def case_spread(stack):
    """One command tells who runs other settings and who does not answer, and that all agree on the
    configuration."""
    stack.up()
    version = stack.put_config()
    path = os.path.join(stack.dir, "host-1.ini")
    with open(path, "a") as ini:
        ini.write("[log]\nlines_per_s = 77\n")
    stack.signal("host-1", signal.SIGHUP)
    eventually("host-1 runs it", lambda: stack.state("host-1")["runs"]["settings"]["by"] != "start")
    for host in stack.hosts:
        eventually(host + " has the configuration",
                   lambda h=host: stack.state(h)["configuration"] == version)
    nobody = "127.0.0.1:%d" % (stack.base + 99)
    addrs = ["127.0.0.1:%d" % stack.port(h, "metrics") for h in stack.hosts]
    report = json.loads(stack.bgctl("host-0", "--json", "spread", nobody, *addrs))
    expect("newest", report["versions"][-1]["version"], version)
    expect("hosts", report["versions"][-1]["hosts"], len(stack.hosts))
    expect("behind", report["behind"], [])
    expect("other settings", [o["host"] for o in report["settings"]["others"]], ["host-1"])
    expect("silent", report["silent"], [nobody + " (no answer)"])


def case_lost_stage(stack):
    """Symptom: streams paused for seconds or were cut when an engine died.
    Sequence: an engine in the middle of running pipelines falls silent.
    Cause: nobody found out which stage it was, or the stream was begun anew."""
    stack.up()
    results = {}

    def stream(i):
        host = stack.hosts[i % len(stack.hosts)]
        results[i] = stack.ask(host, "/stream/a", "l-%d" % i, Bronzegauge_Token_Counts="50,40")

    threads = [threading.Thread(target=stream, args=(i,)) for i in range(24)]
    for thread in threads:
        thread.start()
    eventually("streams run", lambda: stack.ledger()["streams"] >= 20)
    stack.fault_engine("e1", "dark")
    for thread in threads:
        thread.join()
    for i, (status, _, body) in results.items():
        expect("status", status, 200)
        check_stream("l-%d" % i, body, last=40)
    expect("violations", stack.ledger()["violations"], "")
    text = "".join(stack.log(h) for h in stack.hosts)
    if '"event":"repaired"' not in text and '"event":"resume"' not in text:
        raise Failure("no stream was repaired or resumed")


def case_repair_refused(stack):
    """Symptom: streams that ran well were cut while an engine was leaving.
    Sequence: a stage of running pipelines leaves; the first stage refuses to have it replaced.
    Cause: the stream was given up and begun elsewhere, though the leaving stage still served it."""
    stack.drain_ms = 100
    stack.up()
    for name in ("e0", "e1", "e4", "e5"):
        stack.fault_engine(name, "stubborn")
    results = {}

    def stream(i):
        results[i] = stack.ask(stack.hosts[i % 3], "/stream/a", "v-%d" % i,
                               Bronzegauge_Token_Counts="50,40")

    threads = [threading.Thread(target=stream, args=(i,)) for i in range(12)]
    for thread in threads:
        thread.start()
    eventually("streams run", lambda: stack.ledger()["streams"] >= 12)
    for name in ("e3", "e7"):
        stack.fault_engine(name, "drain")
    for thread in threads:
        thread.join()
    for i, (status, _, body) in results.items():
        expect("status", status, 200)
        check_stream("v-%d" % i, body, last=40)
        host = stack.hosts[i % 3]
        if not went_through(stack, host, "v-%d" % i, silent_engines(stack, host)):
            expect("runs", stack.ledger()["runs"].get("v-%d" % i), 1)


def lines(stack, host):
    """The host's log. Members are looked up by name: any line may say first how many were left out before."""
    found = []
    for line in stack.log(host).splitlines():
        try:
            found.append(json.loads(line))
        except ValueError:
            pass    # the last line may be under way
    return found


def events(stack, host, name):
    """The lines of that event in the host's log."""
    return [e for e in lines(stack, host) if e["event"] == name]


def after(stack, host, name, **members):
    """The lines after the last one of that event with those members; none if there is no such line."""
    found = lines(stack, host)
    at = [i for i, e in enumerate(found) if e["event"] == name and members.items() <= e.items()]
    return found[at[-1] + 1:] if at else []


def silent_engines(stack, host):
    """Addresses of engines that gave the host no report twice, 250 ms each time. Streams through one that
    stands still go on elsewhere; case_engine_stands_still has them."""
    return {e["addr"] for e in events(stack, host, "endpoint_suspected") if e["why"] == "no_report"}


def went_through(stack, host, request_id, addrs):
    """Whether the request was sent, or moved by a repair, through one of the addresses."""
    pipelines = [e["pipeline"] for name in ("sent", "repair") for e in events(stack, host, name)
                 if e["id"] == request_id and "pipeline" in e]
    return any(addr + "=" in pipeline for addr in addrs for pipeline in pipelines)


def case_engine_stands_still(stack):
    """Symptom: a stream ran twice in case_repair_refused, once, on a machine with thirty busy processes.
    Sequence: the engines' process gets no processor for 1.2 s in the middle of streams.
    Cause: none; an engine that does not answer is left, and the stream goes on elsewhere from what its
    caller has. The caller must not notice more than the pause."""
    stack.up()
    results = {}

    def stream(i):
        results[i] = stack.ask(stack.hosts[i % 3], "/stream/a", "still-%d" % i,
                               Bronzegauge_Token_Counts="50,40")

    threads = [threading.Thread(target=stream, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    eventually("streams run", lambda: stack.ledger()["streams"] >= 6)
    stack.signal("engine", signal.SIGSTOP)
    eventually("an engine is found silent",
               lambda: any(silent_engines(stack, host) for host in stack.hosts))
    stack.signal("engine", signal.SIGCONT)
    for thread in threads:
        thread.join()
    for i, (status, _, body) in results.items():
        expect("status", status, 200)
        check_stream("still-%d" % i, body, last=40)
    expect("violations", stack.ledger()["violations"], "")


def case_stop(stack):
    """Symptom: a planned stop cut streams.
    Sequence: SIGTERM while streams run and callers go on using open connections.
    Cause: the process ended, or stopped serving, before its streams had ended."""
    stack.up()
    results = {}

    def stream(i):
        results[i] = stack.ask("host-1", "/stream/a", "t-%d" % i, Bronzegauge_Token_Counts="50,40")

    threads = [threading.Thread(target=stream, args=(i,)) for i in range(8)]
    for thread in threads:
        thread.start()
    eventually("streams run", lambda: stack.ledger()["streams"] >= 8)
    stack.signal("host-1", signal.SIGTERM)
    eventually("host-1 is not ready", lambda: not stack.is_ready("host-1"))
    status, headers, _ = stack.ask("host-1", "/many/a", "late")
    expect("still served", status, 200)
    expect("told to close", headers.get("Connection", "").lower(), "close")
    for thread in threads:
        thread.join()
    for i, (status, _, body) in results.items():
        expect("status", status, 200)
        check_stream("t-%d" % i, body, last=40)
    expect("exit status", stack.procs["host-1"].wait(timeout=20), 0)


def case_stop_refuses(stack):
    """Symptom: a stream was cut by the end of the grace time of a planned stop.
    Sequence: SIGTERM; a caller with an open connection asks for a stream some seconds later.
    Cause: the host took what it could not end."""
    stack.up()
    for point in stack.points:
        if point[0].startswith("e"):
            stack.fault_engine(point[0], "slow")
    results = {}

    def stream():
        results["long"] = stack.ask("host-1", "/stream/a", "f-1", Bronzegauge_Token_Counts="50,30")

    thread = threading.Thread(target=stream)
    thread.start()
    eventually("the stream runs", lambda: stack.ledger()["streams"] >= 1)
    stack.signal("host-1", signal.SIGTERM)
    refused = []

    def is_refused():
        request_id = "f-late-%f" % time.monotonic()
        status, headers, body = stack.ask("host-1", "/many/a", request_id)
        if status == 503:
            refused.append((request_id, headers, body))
        return bool(refused)

    eventually("a late request is refused", is_refused)
    request_id, headers, body = refused[0]
    if b"stopping" not in body or "Retry-After" not in headers:
        raise Failure("the refusal does not say why and when to come back: %r" % body)
    thread.join()
    expect("status of the running stream", results["long"][0], 200)
    check_stream("f-1", results["long"][2], last=30)
    expect("runs of the refused request", stack.ledger()["runs"].get(request_id, 0), 0)


def case_feed(stack):
    """Symptom: hosts that the store turned away did not hear of a change.
    Sequence: the store answers nobody but one host; the configuration changes.
    Cause: a host knew only what it read itself, or asked only one other host."""
    proxies = {}
    for i, host in enumerate(stack.hosts):
        port = stack.base + 80 + i
        proxies[host] = Proxy(port, stack.store_port)
        stack.store_via[host] = port
    stack.up()
    for served in stack.hosts:
        for host in stack.hosts:
            proxies[host].set("pass" if host == served else "refuse")
        route = "only-" + served
        stack.extra_routes.append(route)
        stack.put_config()
        for host in stack.hosts:
            eventually("%s at %s" % (route, host),
                       lambda h=host, r=route: stack.ask(
                           h, "/%s/a" % r, "q-%s-%f" % (h, time.monotonic()))[0] == 200)


def case_drain(stack):
    """Symptom: requests reached an endpoint after it had left.
    Sequence: an endpoint says that it is leaving; two seconds pass.
    Cause: a host chose it from an old list."""
    stack.up()
    stack.fault_engine("p0", "drain")

    def all_elsewhere():
        answers = [stack.ask(h, "/many/a", "d-%s-%f" % (h, time.monotonic()))
                   for h in stack.hosts for _ in range(5)]
        return all(a[0] == 200 and a[2].endswith(b" p1") for a in answers)

    eventually("nothing goes to the leaving endpoint", all_elsewhere)
    for _ in range(30):
        if not all_elsewhere():
            raise Failure("a request went to an endpoint that is leaving")


def case_once(stack):
    """Symptom: a non-idempotent request ran twice, or was said not to have run though it had.
    Sequence: an endpoint takes requests and never answers.
    Cause: silence was taken for 'not run'."""
    stack.up()
    for name in ("p0", "p1"):
        stack.fault_engine(name, "hang")
    results = {}

    def ask(i):
        results[i] = stack.ask("host-0", "/once/a", "u-%d" % i, timeout=20,
                               Bronzegauge_Deadline_Ms="1500")[0]

    threads = [threading.Thread(target=ask, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = stack.ledger()["runs"]
    for i, status in results.items():
        expect("status", status, 504)
        expect("runs", runs.get("u-%d" % i), 1)


def believed(stack, host, addr):
    """What the host believes of the endpoint at that address."""
    state = stack.state(host)
    return next(e for e in state["endpoints"] if e["addr"] == addr)


def case_dead_in_outage(stack):
    """Symptom: engines that had died rejected requests all through an outage of the store.
    Sequence: the store is away, so its list does not shrink; an engine falls silent.
    Cause: nobody asked engines for reports, or hosts that changed their feeder all the time did not
    hear what was found."""
    stack.up()
    stack.fault_store("busy")
    stack.fault_engine("e3", "dark")
    addr = next("127.0.0.1:%d" % p[1] for p in stack.points if p[0] == "e3")
    for host in stack.hosts:
        eventually("%s passes the dead engine over" % host,
                   lambda h=host: believed(stack, h, addr)["suspected_ms"] > 0)
        status, _, body = stack.ask(host, "/stream/a", "dead-" + host)
        expect("status", status, 200)
        check_stream("dead-" + host, body)
    stack.fault_engine("e3", "ok")
    for host in stack.hosts:
        eventually("%s uses it again" % host,
                   lambda h=host: believed(stack, h, addr)["suspected_ms"] == 0)


def case_restart_same_id(stack):
    """Symptom: requests were rejected by an engine that held nothing, or it never got layers again.
    Sequence: an engine crashes in the middle of a stream and starts again under the id that it had,
    twice.
    Cause: what was known of the id (its layers, orders under way, doubts) was taken to hold for the
    new incarnation."""
    stack.up()
    addr = next("127.0.0.1:%d" % p[1] for p in stack.points if p[0] == "e3")
    for turn in range(2):
        before = believed(stack, "host-0", addr)
        stack.fault_engine("e3", "restarted")
        for host in stack.hosts:
            status, _, body = stack.ask(host, "/stream/a", "r-%s-%d" % (host, turn))
            expect("status", status, 200)
            check_stream("r-%s-%d" % (host, turn), body)
        for host in stack.hosts:
            eventually("%s knows the new incarnation, and it holds layers" % host,
                       lambda h=host, b=before: believed(stack, h, addr)["born_ms"] > b["born_ms"]
                       and believed(stack, h, addr)["to"] > 0)
        expect("id", believed(stack, "host-0", addr)["id"], before["id"])
    expect("violations", stack.ledger()["violations"], "")


def case_between_pages(stack):
    """Symptom: a host went on sending to an endpoint that had said it was leaving.
    Sequence: the host starts and lists the endpoints, page by page; an endpoint whose entry was on the first
    page says that it is leaving before the last one is read.
    Cause: pages are no snapshot, and the reading of records began where the last page had ended."""
    stack.hosts = stack.hosts[:1]       # another host would tell
    stack.up()
    first = sorted(e["id"] for e in stack.state("host-0")["endpoints"])[0]
    entry = next(json.loads(base64.b64decode(i["value"])) for i in json.loads(call(
        stack.store_port, "GET", "/-/log-newest?topic=keyed.servers")[2])["items"] if i["key"] == first)
    stack.signal("engine", signal.SIGSTOP)      # its next heartbeat would say something else
    stack.signal("host-0", signal.SIGKILL)
    stack.procs["host-0"].wait()
    entry.update(state="draining", sequence=entry["sequence"] + 100)
    call(stack.store_port, "POST", "/between?topic=keyed.servers&key=" + first, json.dumps(entry))
    stack.begin_host("host-0")
    eventually("host-0 knows that it is leaving", lambda: believed(
        stack, "host-0", entry["address"])["state"] == "draining")


def case_foreign_entries(stack):
    """Symptom: requests went to addresses that are no endpoint's, or an endpoint was lost.
    Sequence: somebody else writes entries into the list of endpoints, again and again.
    Cause: what was missing or of another type was read as a default."""
    stack.up()
    good = {"service": "plain", "address": "127.0.0.1:9", "zone": "z0", "version": "v1",
            "slots": 64, "state": "ready", "sequence": 1, "coldRemainingMs": 0, "born": 1}
    bad = [b"\xff\xfe", b"{", b"[]", b"{}"]
    for field, value in (("state", "resting"), ("slots", "many"), ("born", 1.5),
                         ("address", "nowhere"), ("service", None), ("layers", 8)):
        bad.append(json.dumps(dict(good, **{field: value})).encode())
    for _ in range(3):
        for i, entry in enumerate(bad):
            call(stack.store_port, "POST", "/put?topic=keyed.servers&key=foreign-%d" % i, entry)

    def counts_them(host):
        text = call(stack.port(host, "metrics"), "GET", "/metrics")[2]
        return b"bg_endpoints_unreadable_total" in text

    for host in stack.hosts:
        eventually("%s counts them" % host,
                   lambda h=host: counts_them(h) or not stack.state(h)["reads_store"])
        expect("endpoints", len(stack.state(host)["endpoints"]), len(stack.points))
        for i in range(20):
            expect("status", stack.ask(host, "/many/a", "f-%s-%d" % (host, i))[0], 200)


def case_state(stack):
    """What operators see of a host: one leader, every endpoint, what accounts used; and the age of
    what it knows, while the store and all that could feed it are away."""
    stack.up()
    for host in stack.hosts:
        expect("served", stack.ask(host, "/stream/a", "w-" + host)[0], 200)
    eventually("one host places layers",
               lambda: sum(stack.state(h)["places_layers"] for h in stack.hosts) == 1)
    for host in stack.hosts:
        state = stack.state(host)
        expect("host", state["host"], host)
        expect("endpoints", len(state["endpoints"]), len(stack.points))
        eventually("all hosts are known", lambda h=host: len(stack.state(h)["hosts"]) == 3)
        if not any(a["name"] == "farm" and a["tokens"] > 0 for a in state["accounts"]):
            raise Failure("%s does not know what farm used: %r" % (host, state["accounts"]))
        shown = stack.bgctl(host, "state", "endpoints")
        for point in stack.points:
            if "127.0.0.1:%d " % point[1] not in shown:
                raise Failure("bgctl does not show %s: %s" % (point[0], shown))
        if "configuration" not in stack.bgctl(host, "state"):
            raise Failure("bgctl shows no version")
    stack.fault_store("busy")
    for host in stack.hosts:
        eventually("%s knows that its view ages" % host,
                   lambda h=host: stack.metric(h, "bg_store_age_ms{}") > 500)
    stack.fault_store("ok")
    for host in stack.hosts:
        eventually("%s is up to date again" % host,
                   lambda h=host: stack.metric(h, "bg_store_age_ms{}") < 500)


def case_caller_leaves(stack):
    """Symptom: engines went on with streams whose callers had left.
    Sequence: a caller closes its connection in the middle of a stream.
    Cause: a suspended connection is not watched by the HTTP library."""
    stack.up()
    try:
        stack.ask("host-0", "/stream/a", "g-1", timeout=0.2, Bronzegauge_Token_Counts="50,40")
    except OSError:
        pass
    eventually("no stream runs", lambda: stack.ledger()["streams"] == 0)


class Repeats:
    """A request that ends the endpoints that run it, asked for at the hosts in turn, as somebody does who
    tries again."""

    def __init__(self, stack, mark, path="/stream/a"):
        self.stack = stack
        self.mark = mark
        self.path = path
        self.sent = 0
        self.answers = []

    def ask(self, host, timeout=10):
        self.sent += 1
        try:
            answer = self.stack.ask(host, self.path, "%s-%d" % (self.mark, self.sent),
                                    body=self.mark.encode(), timeout=timeout,
                                    Bronzegauge_Token_Counts="50,40")
        except (OSError, http.client.HTTPException):
            answer = (0, {}, b"")   # cut in the middle
        self.answers.append(answer)
        return answer

    def crashes(self):
        return [e["at_ms"] for e in self.stack.ledger()["crashes"] if e["mark"] == self.mark]

    def arrivals(self):
        return [e["at_ms"] for e in self.stack.ledger()["marked"] if e["mark"] == self.mark]

    def past_the_third(self, window_ms=0):
        """Arrivals at endpoints later than that after the third of them has ended."""
        crashes = self.crashes()
        if len(crashes) < 3:
            return 0
        return sum(1 for at in self.arrivals() if at > crashes[2] + window_ms)


def serves_all(stack):
    for host in stack.hosts:
        eventually(host + " serves streams", lambda h=host: stack.serves_stream(h))


# Arrivals of a request after its third crash, over all hosts. What the users allow: three retries of it
# after that, however often it comes again.
CRASH_REPEATS_MAX = 3


def case_crashing_request(stack):
    """Symptom: one request ended endpoint after endpoint, fourteen and more, each with all that ran there.
    Sequence: it begins at an engine, the engine's process ends; the host sends it to the next one, its caller
    tries again at another host, and it comes again later, at any host.
    Cause: what an attempt had done to its endpoint was forgotten with the request, and no other host heard
    of it. Shown by the digest of what was asked for: one at the end of each engine."""
    stack.up()
    repeats = Repeats(stack, "crash-begin 1")
    for turn in range(8):
        for host in stack.hosts:
            repeats.ask(host)
        serves_all(stack)
    if len(repeats.crashes()) < 3:
        raise Failure("it did not end three endpoints: %r" % repeats.crashes())
    after = repeats.past_the_third()
    if after > CRASH_REPEATS_MAX:
        raise Failure("it reached endpoints %d times after its third crash, %d ended" % (
            after, len(repeats.crashes())))
    expect("others", stack.ask("host-0", "/stream/a", "other-1", body=b"harmless")[0], 200)
    expect("violations", stack.ledger()["violations"], "")


def learn(stack, repeats, host="host-0"):
    """Asks at one host until the request is in quarantine there. That an endpoint has ended is found some ms
    after the answer; and where all that begin pipelines have, no stream is served while the store is away."""
    for _ in range(6):
        repeats.ask(host)
        eventually(host + " refuses it, or serves streams",
                   lambda: refused_ms(stack, host) > 0 or stack.serves_stream(host))
        if refused_ms(stack, host) > 0:
            return
    raise Failure("%s did not refuse it: %r" % (host, repeats.answers[-1]))


def refused_ms(stack, host):
    return max([e["refused_ms"] for e in stack.state(host)["quarantine"]] + [0])


def expect_refused(stack, repeats, host):
    """The caller hears at once that it did not run, why, and when to come back; no endpoint sees it."""
    before = len(repeats.arrivals())
    began = time.monotonic()
    status, headers, body = repeats.ask(host)
    expect("status at " + host, status, 503)
    if b"crashes_endpoints" not in body or float(headers.get("Retry-After", 0)) < 60:
        raise Failure("the refusal does not say why, and when to come back: %r %r" % (headers, body))
    expect("arrivals", len(repeats.arrivals()), before)
    return time.monotonic() - began


def case_crashing_store_away(stack):
    """Symptom: the same, while the store is away, and at a host that started meanwhile.
    Sequence: the store is away, three endpoints end at one host's attempts, another host is killed and
    starts.
    Cause: what is told only by way of the store is not told then."""
    stack.up()
    stack.fault_store("busy")
    repeats = Repeats(stack, "crash-begin away")
    learn(stack, repeats)
    crashes = len(repeats.crashes())
    for host in stack.hosts:
        eventually(host + " was told", lambda h=host: refused_ms(stack, h) > 0)
        expect_refused(stack, repeats, host)
    stack.signal("host-2", signal.SIGKILL)
    stack.procs["host-2"].wait()
    stack.begin_host("host-2")
    eventually("host-2 was told after its start", lambda: refused_ms(stack, "host-2") > 0)
    stack.fault_store("ok")
    serves_all(stack)
    for host in stack.hosts:
        expect_refused(stack, repeats, host)
    expect("crashes", len(repeats.crashes()), crashes)


def case_crashing_all_start(stack):
    """Symptom: after a kill of all hosts the request ended three more endpoints.
    Sequence: it is in quarantine, all hosts are killed and start, it comes again.
    Cause: what hosts knew of it died with them."""
    stack.up()
    repeats = Repeats(stack, "crash-begin start")
    learn(stack, repeats)
    crashes = len(repeats.crashes())
    eventually("its refusal is written down",
               lambda: any(e["event"] == "quarantine_noted" and e["status"] == 200
                           for e in after(stack, "host-0", "quarantined")))
    for host in stack.hosts:
        stack.signal(host, signal.SIGKILL)
        stack.procs[host].wait()
    for host in stack.hosts:
        stack.begin_host(host)
    for host in stack.hosts:
        eventually(host + " knows it", lambda h=host: refused_ms(stack, h) > 0)
    serves_all(stack)
    for host in stack.hosts:
        expect_refused(stack, repeats, host)
    expect("crashes", len(repeats.crashes()), crashes)


def case_crashing_cut_off(stack):
    """Symptom: a host that had been cut off let the request through after it was back.
    Sequence: no other host reaches host-2, which neither follows nor feeds anybody, while the request
    ends endpoints elsewhere; the cut heals.
    Cause: news are told once, over the feeds that stand at that moment."""
    links = {}
    for i, host in enumerate(stack.hosts):
        port = stack.base + 80 + i
        links[host] = Proxy(port, stack.port(host, "control"))
        stack.known_as[host] = port
        links["store " + host] = Proxy(port + 5, stack.store_port)
        stack.store_via[host] = port + 5
    stack.up()
    for link in [*links.values()]:
        if link is not links["store host-0"] and link is not links["store host-1"]:
            link.set("refuse")
    repeats = Repeats(stack, "crash-begin cut")
    learn(stack, repeats)
    expect("told through the cut", refused_ms(stack, "host-2"), 0)
    for link in links.values():
        link.set("pass")
    for host in stack.hosts:
        eventually(host + " was told", lambda h=host: refused_ms(stack, h) > 0)
        expect_refused(stack, repeats, host)
    for link in links.values():
        link.close()


def case_crashing_all_cut(stack):
    """A request was refused for ten minutes that had ended nothing: five times all endpoints were cut off for
    half a second when it had just begun."""
    stack.hosts.append("host-3")
    links = []
    for i, (name, port, *_) in enumerate(stack.points):
        stack.known_as[name] = stack.base + 60 + i
        links.append(Proxy(stack.known_as[name], port))
    stack.store_via["host-3"] = stack.store_port
    stack.up()
    repeats = Repeats(stack, "all-cut")
    for _ in range(5):
        serves_all(stack)
        began = len(stack.log("host-0"))
        thread = threading.Thread(target=repeats.ask, args=("host-0",))
        thread.start()
        eventually("it has begun", lambda: stack.ledger()["streams"] > 0)
        for link in links:
            link.set("away")
        eventually("the cut is seen", lambda: '"cut_checked"' in stack.log("host-0")[began:])
        for link in links:
            link.set("pass")
        thread.join()
        eventually("they are known to live", lambda: '"endpoint_lives"' in stack.log("host-0")[began:])
    for _ in range(20):
        expect("status", repeats.ask("host-0")[0], 200)
    for host in stack.hosts:
        expect("refused at " + host, refused_ms(stack, host), 0)
    for link in links:
        link.close()


def case_crashing_later(stack):
    """Symptom: endpoints went on ending under requests that end a later stage of their pipeline, or that
    end the first one only after a second of answers.
    Sequence: a stage is lost and replaced within the running pipeline, the new one ends too; or the
    stream goes on elsewhere and ends the next engine some events later.
    Cause: only the endpoint that a request was sent to was looked at, and only its first moment."""
    stack.up()
    for mark in ("crash-stage 1", "crash-late 1"):
        repeats = Repeats(stack, mark)
        for _ in range(12):
            for host in stack.hosts:
                repeats.ask(host)
            serves_all(stack)
        most = {"crash-stage 1": 3, "crash-late 1": 6}[mark]
        # The request that has begun last is under way at one more, and may be at one a host.
        if len(repeats.crashes()) > most + 1:
            raise Failure("%s ended %d endpoints" % (mark, len(repeats.crashes())))
        for host in stack.hosts:
            expect_refused(stack, repeats, host)


def case_crashing_unheard(stack):
    """Symptom: a stream's request went on ending engines, nineteen and more, though it was known at each host.
    Sequence: its engine ends some milliseconds after the body has arrived, before the head of an answer;
    new connections there are refused, or taken and closed, until it starts again.
    Cause: an attempt of which nothing was heard was taken for one that waits in the engine's queue, however
    short ago it was sent; where connections were closed it was not counted at all, and told to nobody."""
    stack.up()
    for mark in ("crash-unheard 1", "crash-closing 1"):
        repeats = Repeats(stack, mark)
        for turn in range(6):
            for host in stack.hosts:
                repeats.ask(host)
            serves_all(stack)
        if len(repeats.crashes()) < 3:
            raise Failure("%s did not end three endpoints: %r" % (mark, repeats.crashes()))
        print("%s: ended %d, arrivals after the third: %d" % (
            mark, len(repeats.crashes()), repeats.past_the_third()))
        if repeats.past_the_third() > CRASH_REPEATS_MAX:
            raise Failure("%s reached endpoints %d times after its third crash" % (
                mark, repeats.past_the_third()))
        for host in stack.hosts:
            expect_refused(stack, repeats, host)
    expect("violations", stack.ledger()["violations"], "")


def case_crashing_ended(stack):
    """Nothing was served for seconds after all engines that begin pipelines had ended: that they had was
    known at once, but their layers were ordered elsewhere only when reports were missed."""
    stack.up()
    repeats = Repeats(stack, "crash-begin ended")
    repeats.ask("host-0")
    ended = {c["endpoint"] for c in stack.ledger()["crashes"]}
    if not ended:
        raise Failure("no engine has ended")
    for host in stack.hosts:
        eventually(host + " knows that it has ended", lambda h=host: any(
            '"why":"ended"' in line and any('"i-%s-' % e in line for e in ended)
            for line in stack.log(h).splitlines() if '"endpoint_dead"' in line))


def held_against(stack, host):
    """Digest of each request in the host's quarantine table -> endpoints that ended under it."""
    return {e["content"]: e["crashes"] for e in stack.state(host)["quarantine"]}


def told_all(stack, repeats, before):
    """News take some ms from host to host; case_crashing_in_flight has what is asked for meanwhile.
    before: digests that were held against other requests."""
    ended = min(len(repeats.crashes()), 3)
    eventually("all hosts hold the ended endpoints against it", lambda: all(
        max([n for c, n in held_against(stack, host).items() if c not in before] + [0]) >= ended
        for host in stack.hosts))


def case_crashing_plain(stack):
    """Symptom: the same at a plain service, of which there are two endpoints.
    Sequence: requests that may and that may not run twice end an endpoint each time that they run.
    Cause: as for engines. A request that may run once is not sent again, and counts when it comes again."""
    stack.up()
    for path, mark in (("/many/a", "crash-begin many"), ("/once/a", "crash-begin once")):
        repeats = Repeats(stack, mark, path)
        before = set(held_against(stack, "host-0"))
        for turn in range(4):
            for host in stack.hosts:
                eventually(host + " reaches the service", lambda h=host: stack.ask(
                    h, "/many/a", "up-%f" % time.monotonic())[0] == 200)
                repeats.ask(host)
                told_all(stack, repeats, before)
        expect("crashes of " + mark, len(repeats.crashes()), 3)
        for host in stack.hosts:
            expect_refused(stack, repeats, host)
    for request_id, runs in stack.ledger()["runs"].items():
        if request_id.startswith("crash-begin once") and runs > 1:
            raise Failure("%s ran %d times" % (request_id, runs))


def case_crashing_account(stack):
    """Symptom: one client account's request was refused for what another one's did.
    Sequence: an account's request is in quarantine; another one sends the same body to the same path.
    Cause: what is counted was the body alone."""
    stack.up()
    repeats = Repeats(stack, "crash-begin account")
    learn(stack, repeats)
    arrivals = len(repeats.arrivals())
    serves_all(stack)
    stack.ask("host-0", "/stream/a", "mill-1", key="key-mill", body=b"crash-begin account")
    if len(repeats.arrivals()) == arrivals:
        raise Failure("the other account's request reached no endpoint")


def case_crashing_cleared(stack):
    """An operator sees the request, clears it at one host, and it is let in at all of them."""
    stack.up()
    repeats = Repeats(stack, "crash-begin clear")
    learn(stack, repeats)
    for host in stack.hosts:
        eventually(host + " was told", lambda h=host: refused_ms(stack, h) > 0)
    content = stack.state("host-1")["quarantine"][0]["content"]
    if content not in stack.bgctl("host-1", "state", "quarantine"):
        raise Failure("bgctl does not show it")
    if "cleared" not in stack.bgctl("host-1", "clear", content):
        raise Failure("bgctl did not clear it")
    for host in stack.hosts:
        eventually(host + " lets it in", lambda h=host: refused_ms(stack, h) == 0)
    arrivals = len(repeats.arrivals())
    serves_all(stack)
    repeats.ask("host-2")
    if len(repeats.arrivals()) == arrivals:
        raise Failure("it was cleared, and reached no endpoint")


def case_crashing_not(stack):
    """Symptom: a request of which the answer broke off was refused, though its endpoints were well.
    Sequence: its answer is cut at each endpoint that runs it, again and again; the endpoints live.
    Cause: an attempt that was cut was taken for the end of its endpoint."""
    stack.up()
    repeats = Repeats(stack, "cut-answer 1")
    for _ in range(4):
        for host in stack.hosts:
            arrivals = len(repeats.arrivals())
            expect("status", repeats.ask(host)[0], 502)
            if len(repeats.arrivals()) == arrivals:
                raise Failure("it was refused at " + host)
    for host in stack.hosts:
        eventually(host + " has looked after its endpoints",
                   lambda h=host: '"finding":"alive"' in stack.log(h))
        expect("quarantine", stack.state(host)["quarantine"], [])


def case_crashing_in_flight(stack):
    """Symptom: a request ended one more endpoint for each host that had it under way when it was refused.
    Sequence: many callers ask for the same request at all hosts at the same moment, again and again.
    Cause: only what came later was refused."""
    stack.up()
    repeats = Repeats(stack, "crash-begin crowd")
    for _ in range(3):
        threads = [threading.Thread(target=repeats.ask, args=(h,)) for h in stack.hosts * 8]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        serves_all(stack)
    crashes = repeats.crashes()
    if len(crashes) < 3:
        raise Failure("it did not end three endpoints: %r" % crashes)
    window_ms = 3000    # within which all hosts must know
    expect("arrivals after the third", repeats.past_the_third(window_ms), 0)
    for host in stack.hosts:
        expect_refused(stack, repeats, host)


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


def run(cases):
    name = sys.argv[1]
    stack = Stack()
    try:
        cases[name](stack)
    except Exception:
        for log in stack.procs:
            sys.stderr.write("--- %s\n%s\n" % (log, stack.log(log)[-4000:]))
        kept = stack.keep_logs(name)
        sys.stderr.write("the whole logs are in %s\n" % kept)
        stack.down()
        raise
    stack.down()


if __name__ == "__main__":
    run(CASES)
