"""Test cases with real processes: python3 regress/soak/cases.py NAME. Each docstring names the failure that the
case guards against."""
import base64
import http.client
import itertools
import json
import multiprocessing
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
    """Guards against failures on the whole request path: streams through pipelines, requests to plain services,
    and refusals with the right status."""
    stack.up()
    for host in stack.hosts:
        status, headers, body = stack.ask(host, "/stream/a?b=c", "s-" + host)
        expect("status", status, 200)
        check_stream("s-" + host, body)
        expect("response seal", headers.get("Bronzegauge-Response-Seal"), "stand.s-" + host)
        expect("once", stack.ask(host, "/once/a", "o-" + host)[0], 200)
        expect("many", stack.ask(host, "/many/a", "m-" + host)[0], 200)
        expect("no route", stack.ask(host, "/none/a", "n-" + host)[0], 404)
        expect("bad key", stack.ask(host, "/many/a", "k-" + host, key="wrong")[0], 401)
        expect("resumed stream", stack.ask(host, "/stream/a", "r-" + host, Last_Event_Id="5")[2][:6],
               b"id: 6\n")
    ledger = stack.ledger()
    expect("violations", ledger["violations"], "")
    for name in ("n-", "k-"):
        for host in stack.hosts:
            expect("ran", ledger["runs"].get(name + host, 0), 0)


def case_config(stack):
    """Symptom: a revoked key still worked on some hosts.
    Sequence: the store rejects requests of hosts while the configuration changes.
    Cause: each host knew only the records that it had read from the store itself."""
    stack.up()
    stack.extra_routes.append("new")
    stack.keys["farm"] = ["key-other"]
    stack.put_config()
    for host in stack.hosts:
        eventually("the new route at " + host,
                   lambda h=host: stack.ask(h, "/new/a", "c-" + h, key="key-other")[0] == 200)
        expect("old key", stack.ask(host, "/many/a", "old-" + host)[0], 401)


def case_age_of_the_view(stack):
    """Guards against a log line that reports a host's view as old only because nothing has changed for long."""
    stack.up()
    began, asked = time.monotonic(), [0]

    def is_young():
        asked[0] += 1
        stack.ask("host-0", "/many/a", "age-%d" % asked[0])
        sent = [e for e in after(stack, "host-0", "start", first_start=1) if e["event"] == "sent"]
        return time.monotonic() - began > 6 and sent[-1]["view_age_ms"] < 2000
    eventually("the view of host-0 is up to date", is_young, patience_s=20)


def case_load_is_shown(stack):
    """Checks that an operator sees which endpoints hold each range of layers, and which classes wait, at any host."""
    stack.up()
    serves_all(stack)

    def shows_all_ranges():
        state = stack.state("host-0")
        engines = [e for e in state["endpoints"] if e["to"] > e["from"]]
        return engines and sum(r["holders"] for r in state["ranges"]) == len(engines)
    eventually("the ranges of host-0 count every engine", shows_all_ranges)
    if not all(r["from"] < r["to"] and r["healthy"] <= r["holders"] for r in stack.state("host-0")["ranges"]):
        raise Failure("a range is empty or has more healthy endpoints than holders")
    classes = stack.state("host-0")["classes"]
    expect("classes of a service whose streams are all alike", [c["class"] for c in classes], [0])
    expect("requests that wait", classes[0]["waiting"], 0)
    for view, column in (("ranges", "fullest"), ("classes", "begun_per_s")):
        if column not in stack.bgctl("host-0", "state", view):
            raise Failure("bgctl does not show " + view)


def case_store_away_at_start(stack):
    """Symptom: a host that started while the store was unavailable refused every request.
    Sequence: all hosts run, the store rejects all requests, one host is killed and starts again.
    Cause: the host requested the configuration and endpoints only from the store, not from other hosts."""
    stack.up()
    stack.fault_store("busy")
    stack.kill("host-2")
    stack.begin_host("host-2")
    eventually("host-2 is ready", lambda: stack.is_ready("host-2"))
    expect("served", stack.ask("host-2", "/many/a", "a1")[0], 200)


def ask_state(stack, host):
    """Requests the state of the host over and over; it may not listen yet, or have ended."""
    while True:
        try:
            stack.state(host)
        except (OSError, http.client.HTTPException, ValueError):
            pass


def case_asked_while_it_starts(stack):
    """Guards against a host that ends when its state is requested before all of it has started."""
    stack.up()
    askers = [multiprocessing.Process(target=ask_state, args=(stack, "host-2")) for _ in range(6)]
    for asker in askers:
        asker.start()
    try:
        for _ in range(30):
            stack.kill("host-2")
            stack.begin_host("host-2")
            eventually("host-2 is ready or has ended",
                       lambda: stack.procs["host-2"].poll() is not None or stack.is_ready("host-2"))
            expect("exit status of host-2", stack.procs["host-2"].poll(), None)
    finally:
        for asker in askers:
            asker.kill()
            asker.join()


def case_start_in_an_outage(stack):
    """Symptom: after a kill of all hosts in an outage of the store, most requests were refused.
    Sequence: the store is unavailable, the endpoints' entries expire, all hosts are killed and restarted, and
    the store recovers before the endpoints have registered again.
    Cause: the list of endpoints was lost with the hosts, and the store's empty list was accepted. Requests
    that had waited for the list were then refused as if they had waited in the queues of engines."""
    stack.up()
    eventually("the list of endpoints is saved", lambda: any(stack.state(h)["noted"] for h in stack.hosts))
    ids = [e["id"] for e in stack.state("host-0")["endpoints"]]
    stack.fault_store("busy")
    stack.signal("engine", signal.SIGSTOP)
    for point in ids:
        call(stack.store_port, "POST", "/put?topic=keyed.servers&key=" + point, "")
    for host in stack.hosts:
        stack.kill(host)
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
    eventually("the saved endpoints are loaded",
               lambda: any('"endpoints_recalled"' in stack.log(h) for h in stack.hosts))
    stack.signal("engine", signal.SIGCONT)
    for thread in asking:
        thread.join()
    for name, (status, _, body) in answers.items():
        expect(name, status, 200)
        check_stream(name, body)
    expect("violations", stack.ledger()["violations"], "")


def case_settings(stack):
    """Symptom: after a change of the settings hosts answered differently, and it was unknown which of them had
    applied the change.
    Sequence: the file is changed with and without a signal, twice in quick succession, to an invalid value,
    and back to its first contents.
    Cause: two changes within the same second were not distinguished, and no host stated the settings that it
    runs."""
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
    eventually("the invalid value is logged", lambda: "'many'" in stack.log("host-0"))
    expect("what runs", runs()["settings"], second)
    os.unlink(path)
    write("[log]\nlines_per_s = 112\n[repeats]\nratio = 0.3\n")
    eventually("the setting that requires a restart is listed", lambda: runs()["waiting"] == "repeats.ratio")
    expect("what runs", runs()["settings"]["digest"], second["digest"])
    write("[log]\nlines_per_s = 111\n")
    stack.signal("host-0", signal.SIGHUP)
    eventually("the signal is handled", lambda: runs()["settings"]["by"] == "signal"
               or runs()["settings"]["digest"] not in (first["digest"], second["digest"]))
    expect("settings that require a restart", runs()["waiting"], "")
    for host in ("host-0", "host-1"):
        write("", host)
    eventually("the first settings are in force again",
               lambda: runs()["settings"]["digest"] == first["digest"])
    expect("version", runs()["configuration"]["digest"], runs("host-1")["configuration"]["digest"])


def case_spread(stack):
    """Checks that one command lists the hosts with deviating settings and those that do not answer, and shows
    that all hosts have the same configuration."""
    stack.up()
    version = stack.put_config()
    path = os.path.join(stack.dir, "host-1.ini")
    with open(path, "a") as ini:
        ini.write("[log]\nlines_per_s = 77\n")
    stack.signal("host-1", signal.SIGHUP)
    eventually("host-1 runs the changed settings",
               lambda: stack.state("host-1")["runs"]["settings"]["by"] != "start")
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
    Sequence: an engine that is a middle stage of running pipelines stops answering.
    Cause: the failed stage was not identified, or the stream was restarted from its beginning."""
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
    Cause: the stream was abandoned and restarted on other engines, though the leaving stage still served it."""
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
    """Returns the parsed lines of the host's log. Members must be looked up by name: any line may begin with the
    number of lines that were dropped before it."""
    found = []
    for line in stack.log(host).splitlines():
        try:
            found.append(json.loads(line))
        except ValueError:
            pass    # the last line may be written only in part
    return found


def events(stack, host, name):
    """Returns the lines of that event in the host's log."""
    return [e for e in lines(stack, host) if e["event"] == name]


def after(stack, host, name, **members):
    """Returns the log lines after the last line of that event with those members; [] if there is no such line."""
    found = lines(stack, host)
    at = [i for i, e in enumerate(found) if e["event"] == name and members.items() <= e.items()]
    return found[at[-1] + 1:] if at else []


def silent_engines(stack, host):
    """Returns the addresses of engines that twice gave the host no report within 250 ms. Streams through
    such an engine are moved to others; see case_engine_stands_still."""
    return {e["addr"] for e in events(stack, host, "endpoint_suspected") if e["why"] == "no_report"}


def went_through(stack, host, request_id, addrs):
    """Whether the pipeline of the request, as sent or as repaired, contained one of the addresses."""
    pipelines = [e["pipeline"] for name in ("sent", "repair") for e in events(stack, host, name)
                 if e["id"] == request_id and "pipeline" in e]
    return any(addr + "=" in pipeline for addr in addrs for pipeline in pipelines)


def case_engine_stands_still(stack):
    """Symptom: a stream ran twice in one run of case_repair_refused, on a machine with thirty busy processes.
    Sequence: the engines' process gets no CPU time for 1.2 s while streams run.
    Cause: not a fault; a stream is moved away from an engine that does not answer and resumes on another one
    after the last event that its caller has received. The caller must notice nothing but the pause."""
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
    eventually("a host detects that an engine does not answer",
               lambda: any(silent_engines(stack, host) for host in stack.hosts))
    stack.signal("engine", signal.SIGCONT)
    for thread in threads:
        thread.join()
    for i, (status, _, body) in results.items():
        expect("status", status, 200)
        check_stream("still-%d" % i, body, last=40)
    expect("violations", stack.ledger()["violations"], "")


def case_stop(stack):
    """Symptom: a graceful shutdown cut streams.
    Sequence: SIGTERM while streams run and callers keep using open connections.
    Cause: the process exited, or stopped serving, before its streams had ended."""
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
    expect("Connection header", headers.get("Connection", "").lower(), "close")
    for thread in threads:
        thread.join()
    for i, (status, _, body) in results.items():
        expect("status", status, 200)
        check_stream("t-%d" % i, body, last=40)
    expect("exit status", stack.procs["host-1"].wait(timeout=20), 0)


def case_stop_refuses(stack):
    """Symptom: a stream was cut at the end of the grace period of a graceful shutdown.
    Sequence: SIGTERM; a caller with an open connection asks for a stream some seconds later.
    Cause: the host accepted a request that it could not finish within the grace period."""
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
        raise Failure("the refusal lacks the reason or Retry-After: %r" % body)
    thread.join()
    expect("status of the running stream", results["long"][0], 200)
    check_stream("f-1", results["long"][2], last=30)
    expect("runs of the refused request", stack.ledger()["runs"].get(request_id, 0), 0)


def case_feed(stack):
    """Symptom: hosts whose requests the store rejected did not receive a change.
    Sequence: only one host can reach the store; the configuration changes.
    Cause: a host knew only the records that it had read itself, or requested them from only one other host."""
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
    Sequence: an endpoint announces that it is leaving; two seconds pass.
    Cause: a host selected it from an outdated list."""
    stack.up()
    stack.fault_engine("p0", "drain")

    def all_at_other_endpoint():
        answers = [stack.ask(h, "/many/a", "d-%s-%f" % (h, time.monotonic()))
                   for h in stack.hosts for _ in range(5)]
        return all(a[0] == 200 and a[2].endswith(b" p1") for a in answers)

    def knows(host):
        states = [e["state"] for e in stack.state(host)["endpoints"] if e["id"].startswith("i-p0-")]
        return "ready" not in states

    for host in stack.hosts:
        eventually(host + " knows that the endpoint is leaving", lambda h=host: knows(h))
    for _ in range(31):
        if not all_at_other_endpoint():
            raise Failure("a request went to an endpoint that is leaving")


def case_once(stack):
    """Symptom: a non-idempotent request ran twice, or was reported as not run although it had run.
    Sequence: an endpoint accepts requests and never answers.
    Cause: a missing answer was treated as 'not run'."""
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


def endpoint_state(stack, host, addr):
    """Returns the endpoint with that address from the host's state. Raises ValueError, which eventually() takes for
    "not yet", if the host does not list it: a host that has just started may list nothing."""
    for endpoint in stack.state(host)["endpoints"]:
        if endpoint["addr"] == addr:
            return endpoint
    raise ValueError("%s does not list %s" % (host, addr))


def case_dead_in_outage(stack):
    """Symptom: requests were sent to dead engines throughout an outage of the store, and failed.
    Sequence: the store is unavailable, so no entry is removed from its list; an engine stops answering.
    Cause: hosts did not request reports from engines, or hosts that kept changing the host that feeds them
    did not receive the result."""
    stack.up()
    stack.fault_store("busy")
    stack.fault_engine("e3", "dark")
    addr = next("127.0.0.1:%d" % p[1] for p in stack.points if p[0] == "e3")
    for host in stack.hosts:
        eventually("%s no longer uses the dead engine" % host,
                   lambda h=host: endpoint_state(stack, h, addr)["suspected_ms"] > 0)
        status, _, body = stack.ask(host, "/stream/a", "dead-" + host)
        expect("status", status, 200)
        check_stream("dead-" + host, body)
    stack.fault_engine("e3", "ok")
    for host in stack.hosts:
        eventually("%s uses it again" % host,
                   lambda h=host: endpoint_state(stack, h, addr)["suspected_ms"] == 0)


def case_restart_same_id(stack):
    """Symptom: requests were rejected by an engine that held no layers, or the engine never got layers again.
    Sequence: an engine crashes during a stream and restarts under the same id, twice.
    Cause: the state kept for the id (its layers, pending orders, suspicions) was applied to the new
    incarnation."""
    stack.up()
    addr = next("127.0.0.1:%d" % p[1] for p in stack.points if p[0] == "e3")
    for turn in range(2):
        before = endpoint_state(stack, "host-0", addr)
        stack.fault_engine("e3", "restarted")
        for host in stack.hosts:
            status, _, body = stack.ask(host, "/stream/a", "r-%s-%d" % (host, turn))
            expect("status", status, 200)
            check_stream("r-%s-%d" % (host, turn), body)
        for host in stack.hosts:
            eventually("%s knows the new incarnation, and it holds layers" % host,
                       lambda h=host, b=before: endpoint_state(stack, h, addr)["born_ms"] > b["born_ms"]
                       and endpoint_state(stack, h, addr)["to"] > 0)
        expect("id", endpoint_state(stack, "host-0", addr)["id"], before["id"])
    expect("violations", stack.ledger()["violations"], "")


def case_between_pages(stack):
    """Symptom: a host kept sending requests to an endpoint that had announced that it was leaving.
    Sequence: the host starts and lists the endpoints page by page; an endpoint whose entry was on the first
    page announces that it is leaving before the last page is read.
    Cause: the pages are not one snapshot, and the host read the later records only from the end offset of the
    last page."""
    stack.hosts = stack.hosts[:1]       # another host would forward the record
    stack.up()
    first = sorted(e["id"] for e in stack.state("host-0")["endpoints"])[0]
    entry = next(json.loads(base64.b64decode(i["value"])) for i in json.loads(call(
        stack.store_port, "GET", "/-/log-newest?topic=keyed.servers")[2])["items"] if i["key"] == first)
    stack.signal("engine", signal.SIGSTOP)      # its next heartbeat would overwrite the entry
    stack.kill("host-0")
    entry.update(state="draining", sequence=entry["sequence"] + 100)
    call(stack.store_port, "POST", "/between?topic=keyed.servers&key=" + first, json.dumps(entry))
    stack.begin_host("host-0")
    eventually("host-0 lists the endpoint as draining", lambda: endpoint_state(
        stack, "host-0", entry["address"])["state"] == "draining")


def case_foreign_entries(stack):
    """Symptom: requests were sent to addresses that belong to no endpoint, or an endpoint was lost.
    Sequence: a foreign program repeatedly writes invalid entries into the list of endpoints.
    Cause: a member that was missing or had the wrong type was read as its default value."""
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
    """Checks the state that operators see of a host: one leader, every endpoint, the usage of client accounts, and
    the age of its view while the store is unavailable."""
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
            raise Failure("%s shows no usage of the account farm: %r" % (host, state["accounts"]))
        shown = stack.bgctl(host, "state", "endpoints")
        for point in stack.points:
            if "127.0.0.1:%d " % point[1] not in shown:
                raise Failure("bgctl does not show %s: %s" % (point[0], shown))
        if "configuration" not in stack.bgctl(host, "state"):
            raise Failure("bgctl shows no version")
    stack.fault_store("busy")
    for host in stack.hosts:
        eventually("%s reports that its view is out of date" % host,
                   lambda h=host: stack.metric(h, "bg_store_age_ms{}") > 500)
    stack.fault_store("ok")
    for host in stack.hosts:
        eventually("%s is up to date again" % host,
                   lambda h=host: stack.metric(h, "bg_store_age_ms{}") < 500)


def case_caller_leaves(stack):
    """Symptom: engines continued streams whose callers had disconnected.
    Sequence: a caller closes its connection during a stream.
    Cause: the HTTP library does not monitor a suspended connection."""
    stack.up()
    try:
        stack.ask("host-0", "/stream/a", "g-1", timeout=0.2, Bronzegauge_Token_Counts="50,40")
    except OSError:
        pass
    eventually("no stream runs", lambda: stack.ledger()["streams"] == 0)


class Repeats:
    """Sends the same request body again and again, as a retrying caller does. Its text (mark) selects how the
    endpoints that run it fail; the engines' ledger records crashes and arrivals by it."""

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
            answer = (0, {}, b"")   # the connection was cut
        self.answers.append(answer)
        return answer

    def crashes(self):
        return [e["at_ms"] for e in self.stack.ledger()["crashes"] if e["mark"] == self.mark]

    def arrivals(self):
        return [e["at_ms"] for e in self.stack.ledger()["marked"] if e["mark"] == self.mark]

    def arrivals_after_third(self, window_ms=0):
        """Returns the number of arrivals at endpoints later than window_ms after the third crash."""
        crashes = self.crashes()
        if len(crashes) < 3:
            return 0
        return sum(1 for at in self.arrivals() if at > crashes[2] + window_ms)


def serves_all(stack):
    for host in stack.hosts:
        eventually(host + " serves streams", lambda h=host: stack.serves_stream(h))


# Required maximum number of arrivals of a request at endpoints after its third crash, over all hosts, no matter
# how often callers repeat it.
CRASH_REPEATS_MAX = 3


def case_crashing_request(stack):
    """Symptom: one request crashed fourteen and more endpoints in turn, and all requests that ran there failed.
    Sequence: the request starts at an engine, whose process crashes; the host sends it to the next engine, its
    caller retries at another host, and later again at any host.
    Cause: the crash that an attempt had caused was forgotten when the request ended, and no other host was
    informed. The same request digest was logged at the crash of each engine."""
    stack.up()
    repeats = Repeats(stack, "crash-begin 1")
    for turn in range(8):
        for host in stack.hosts:
            repeats.ask(host)
        serves_all(stack)
    if len(repeats.crashes()) < 3:
        raise Failure("the request did not crash three endpoints: %r" % repeats.crashes())
    after = repeats.arrivals_after_third()
    if after > CRASH_REPEATS_MAX:
        raise Failure("the request reached endpoints %d times after its third crash, %d crashed" % (
            after, len(repeats.crashes())))
    expect("others", stack.ask("host-0", "/stream/a", "other-1", body=b"harmless")[0], 200)
    expect("violations", stack.ledger()["violations"], "")


def repeat_until_refused(stack, repeats, host="host-0"):
    """Repeats the request at one host until it is quarantined there. The crash of an endpoint is detected some ms
    after the answer; and once all first-stage engines have crashed, no stream is served while the store is
    unavailable."""
    for _ in range(6):
        repeats.ask(host)
        eventually(host + " refuses the request, or serves streams",
                   lambda: refused_ms(stack, host) > 0 or stack.serves_stream(host))
        if refused_ms(stack, host) > 0:
            return
    raise Failure("%s did not refuse the request: %r" % (host, repeats.answers[-1]))


def all_hold_layers(stack, host):
    holding = [e for e in stack.state(host)["endpoints"] if e["to"] > e["from"]]
    return len(holding) == sum(point[2] == "llm" for point in stack.points)


def refused_ms(stack, host):
    return max([e["refused_ms"] for e in stack.state(host)["quarantine"]] + [0])


def expect_refused(stack, repeats, host):
    """Checks that the host refuses the request with the reason and a Retry-After of 60 s or more, and sends it to
    no endpoint. Returns the time to the answer in seconds."""
    before = len(repeats.arrivals())
    began = time.monotonic()
    status, headers, body = repeats.ask(host)
    expect("status at " + host, status, 503)
    if b"crashes_endpoints" not in body or float(headers.get("Retry-After", 0)) < 60:
        raise Failure("the refusal lacks the reason or a Retry-After of 60 s or more: %r %r" % (headers, body))
    expect("arrivals", len(repeats.arrivals()), before)
    return time.monotonic() - began


def case_crashing_store_away(stack):
    """Symptom: a request kept crashing endpoints while the store was unavailable, also through a host that started
    during the outage.
    Sequence: the store is unavailable, three endpoints crash under attempts of one host, another host is
    killed and restarted.
    Cause: information that hosts exchange only through the store is not exchanged during its outage."""
    stack.up()
    eventually("all engines hold layers", lambda: all_hold_layers(stack, "host-0"))
    stack.fault_store("busy")
    repeats = Repeats(stack, "crash-begin away")
    repeat_until_refused(stack, repeats)
    crashes = len(repeats.crashes())
    for host in stack.hosts:
        eventually(host + " has the quarantine entry", lambda h=host: refused_ms(stack, h) > 0)
        expect_refused(stack, repeats, host)
    stack.kill("host-2")
    stack.begin_host("host-2")
    eventually("host-2 has the quarantine entry after its start", lambda: refused_ms(stack, "host-2") > 0)
    stack.fault_store("ok")
    serves_all(stack)
    for host in stack.hosts:
        expect_refused(stack, repeats, host)
    expect("crashes", len(repeats.crashes()), crashes)


def case_crashing_all_start(stack):
    """Symptom: after a kill of all hosts a quarantined request crashed three more endpoints.
    Sequence: the request is quarantined, all hosts are killed and restarted, the request is sent again.
    Cause: the quarantine was kept only in the memory of the hosts."""
    stack.up()
    repeats = Repeats(stack, "crash-begin start")
    repeat_until_refused(stack, repeats)
    crashes = len(repeats.crashes())
    eventually("the quarantine entry is stored",
               lambda: any(e["event"] == "quarantine_noted" and e["status"] == 200
                           for e in after(stack, "host-0", "quarantined")))
    for host in stack.hosts:
        stack.kill(host)
    for host in stack.hosts:
        stack.begin_host(host)
    for host in stack.hosts:
        eventually(host + " has loaded the quarantine entry", lambda h=host: refused_ms(stack, h) > 0)
    serves_all(stack)
    for host in stack.hosts:
        expect_refused(stack, repeats, host)
    expect("crashes", len(repeats.crashes()), crashes)


def link_by_proxies(stack):
    """Puts a proxy before each host and one between each host and the store. Returns a map of them: HOST, and
    "store HOST"."""
    links = {}
    for i, host in enumerate(stack.hosts):
        port = stack.base + 80 + i
        links[host] = Proxy(port, stack.port(host, "control"))
        stack.known_as[host] = port
        links["store " + host] = Proxy(port + 5, stack.store_port)
        stack.store_via[host] = port + 5
    return links


def case_crashing_cut_off(stack):
    """Symptom: a host that had been partitioned let a quarantined request through after the partition.
    Sequence: no other host reaches host-2, which has no feed to or from any host, while the request crashes
    endpoints through other hosts; the partition ends.
    Cause: changes were sent only once, over the feeds that were open at that moment."""
    links = link_by_proxies(stack)
    stack.up()
    for link in [*links.values()]:
        if link is not links["store host-0"] and link is not links["store host-1"]:
            link.set("refuse")
    repeats = Repeats(stack, "crash-begin cut")
    repeat_until_refused(stack, repeats)
    expect("quarantine of the partitioned host-2", refused_ms(stack, "host-2"), 0)
    for link in links.values():
        link.set("pass")
    for host in stack.hosts:
        eventually(host + " has the quarantine entry", lambda h=host: refused_ms(stack, h) > 0)
        expect_refused(stack, repeats, host)
    for link in links.values():
        link.close()


def case_crashing_all_cut(stack):
    """Guards against a quarantine of ten minutes for a request that crashed nothing. The fault arose when five
    times the links to all endpoints failed for half a second just after the request had begun."""
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
        eventually("the request has begun", lambda: stack.ledger()["streams"] > 0)
        for link in links:
            link.set("away")
        eventually("the failure of all links is detected", lambda: '"cut_checked"' in stack.log("host-0")[began:])
        for link in links:
            link.set("pass")
        thread.join()
        eventually("the endpoints are found alive, or were not taken for ended", lambda: any(
            s in stack.log("host-0")[began:] for s in ('"endpoint_lives"', '"finding":"unclear"', '"finding":"alive"')))
    # Until its next probe is answered, the host truly refuses what it can't serve; a quarantine would last.
    eventually("host-0 reaches endpoints again", lambda: repeats.ask("host-0")[0] == 200)
    for _ in range(20):
        expect("status", repeats.ask("host-0")[0], 200)
    for host in stack.hosts:
        expect("refused at " + host, refused_ms(stack, host), 0)
    for link in links:
        link.close()


def case_crashing_later(stack):
    """Symptom: endpoints kept crashing under requests that crash a later stage of their pipeline, or that crash
    the first stage only after a second of events.
    Sequence: a stage crashes and is replaced in the running pipeline, and its replacement crashes too; or the
    stream resumes on another engine and crashes it some events later.
    Cause: crashes were counted only for the endpoint that the request was sent to, and only shortly after the
    request began."""
    stack.up()
    for mark in ("crash-stage 1", "crash-late 1"):
        repeats = Repeats(stack, mark)
        for _ in range(12):
            for host in stack.hosts:
                repeats.ask(host)
            serves_all(stack)
        most = {"crash-stage 1": 3, "crash-late 1": 6}[mark]
        # The last request may still be running on one more endpoint, and on up to one for each host.
        if len(repeats.crashes()) > most + 1:
            raise Failure("%s crashed %d endpoints" % (mark, len(repeats.crashes())))
        for host in stack.hosts:
            expect_refused(stack, repeats, host)


def case_crashing_unheard(stack):
    """Symptom: a stream's request kept crashing engines, nineteen and more, though each host had records of it.
    Sequence: its engine crashes some milliseconds after it receives the body, before it sends the response
    header; until it restarts, new connections to it are refused, or accepted and closed.
    Cause: an attempt without a response was treated as one that waits in the engine's queue, no matter how
    recently it was sent; where connections were closed the crash was not counted at all, and not sent to
    other hosts."""
    stack.up()
    for mark in ("crash-unheard 1", "crash-closing 1"):
        repeats = Repeats(stack, mark)
        for turn in range(6):
            for host in stack.hosts:
                repeats.ask(host)
            serves_all(stack)
        if len(repeats.crashes()) < 3:
            raise Failure("%s did not crash three endpoints: %r" % (mark, repeats.crashes()))
        print("%s: endpoints crashed: %d, arrivals after the third crash: %d" % (
            mark, len(repeats.crashes()), repeats.arrivals_after_third()))
        if repeats.arrivals_after_third() > CRASH_REPEATS_MAX:
            raise Failure("%s reached endpoints %d times after its third crash" % (
                mark, repeats.arrivals_after_third()))
        for host in stack.hosts:
            expect_refused(stack, repeats, host)
    expect("violations", stack.ledger()["violations"], "")


def case_crashing_ended(stack):
    """Guards against an outage of seconds after all first-stage engines have crashed. The crashes were detected at
    once, but their layers were assigned to other engines only after several reports were missed."""
    stack.up()
    repeats = Repeats(stack, "crash-begin ended")
    repeats.ask("host-0")
    ended = {c["endpoint"] for c in stack.ledger()["crashes"]}
    if not ended:
        raise Failure("no engine has crashed")
    for host in stack.hosts:
        eventually(host + " has detected the crash", lambda h=host: any(
            '"why":"ended"' in line and any('"i-%s-' % e in line for e in ended)
            for line in stack.log(h).splitlines() if '"endpoint_dead"' in line))


def crash_counts(stack, host):
    """Returns a map from the digest of each request in the host's quarantine table to the number of endpoints that
    crashed under it."""
    return {e["content"]: e["crashes"] for e in stack.state(host)["quarantine"]}


def await_crash_counts(stack, repeats, before):
    """Waits until all hosts count the crashes of the request. Propagation from host to host takes some ms;
    case_crashing_in_flight tests requests sent in that time. before: digests of other requests that were in
    the quarantine table before."""
    ended = min(len(repeats.crashes()), 3)
    eventually("all hosts count the crashes of the request", lambda: all(
        max([n for c, n in crash_counts(stack, host).items() if c not in before] + [0]) >= ended
        for host in stack.hosts))


def case_crashing_plain(stack):
    """Symptom: a request kept crashing the endpoints of a plain service, of which there are two.
    Sequence: an idempotent and a non-idempotent request crash an endpoint each time that they run.
    Cause: as in case_crashing_request. A host does not retry a non-idempotent request, but counts its crash
    when a caller repeats it."""
    stack.up()
    for path, mark in (("/many/a", "crash-begin many"), ("/once/a", "crash-begin once")):
        repeats = Repeats(stack, mark, path)
        before = set(crash_counts(stack, "host-0"))
        for turn in range(4):
            for host in stack.hosts:
                eventually(host + " reaches the service", lambda h=host: stack.ask(
                    h, "/many/a", "up-%f" % time.monotonic())[0] == 200)
                repeats.ask(host)
                await_crash_counts(stack, repeats, before)
        expect("crashes of " + mark, len(repeats.crashes()), 3)
        for host in stack.hosts:
            expect_refused(stack, repeats, host)
    for request_id, runs in stack.ledger()["runs"].items():
        if request_id.startswith("crash-begin once") and runs > 1:
            raise Failure("%s ran %d times" % (request_id, runs))


def case_crashing_popular(stack):
    """Guards against a quarantine at all hosts for a harmless request that many callers send: a host that has not
    served it since its start had just sent it to three engines that ended one after the other."""
    stack.up()

    def popular(host, name, events=5):
        """Sends the request of this turn. Hosts remember how long one of an earlier turn ran, and count no crash of it."""
        try:
            return stack.ask(host, "/stream/popular-%d" % turn, name, timeout=10,
                             Bronzegauge_Token_Counts="50,%d" % events)[0]
        except (OSError, http.client.HTTPException):
            return 0    # the stream was cut

    def counted():
        """Whether host-2 has put a request into quarantine by its own count that host-0 has served."""
        served = {e["content"] for e in lines(stack, "host-0")
                  if e["event"] == "ended" and e["id"].startswith("popular-0-host-0")}
        return any(e["event"] == "quarantined" and e["content"] in served and e["from"] == "this host"
                   for e in lines(stack, "host-2"))

    def engine_in_use(ended):
        """Returns the name of an engine that runs the first stage of streams of host-2, and has not ended yet."""
        return next((e["id"].split("-")[1] for e in stack.state("host-2")["endpoints"]
                     if e["service"] == "llm" and e["from"] == 0 and e["in_flight"] > 0 and
                     e["id"].split("-")[1] not in ended), None)

    def begin_streams(threads, turn):
        for i in range(8):
            threads.append(threading.Thread(target=popular, args=(
                "host-2", "popular-2-%d-%d" % (turn, len(threads)), 200)))
            threads[-1].start()

    def engine_by_new_streams(threads, turn, ended):
        """The same, after more streams if all have ended, as they do if no engine holds the first layers just then."""
        if not any(thread.is_alive() for thread in threads):
            begin_streams(threads, turn)
        return engine_in_use(ended)

    for turn in range(5):
        serves_all(stack)
        for host in ("host-0", "host-1"):
            expect("status", popular(host, "popular-0-%s-%d" % (host, turn)), 200)
        stack.kill("host-2")
        stack.begin_host("host-2")
        eventually("host-2 is ready", lambda: stack.is_ready("host-2"))
        threads, ended = [], []
        while len(ended) < 3:
            begin_streams(threads, turn)
            eventually("another engine runs streams of host-2",
                       lambda: engine_by_new_streams(threads, turn, ended))
            engine = engine_in_use(ended)
            if not engine:
                continue    # its streams have just ended
            ended.append(engine)
            stack.fault_engine(engine, "reborn")
        for thread in threads:
            thread.join()
        if counted():
            break
    if not counted():
        raise Failure("host-2 has not counted three crashes of the popular request")
    for host in stack.hosts:
        number = itertools.count()
        eventually("%s serves the popular request" % host, lambda h=host: popular(
            h, "popular-9-%s-%d" % (h, next(number))) == 200, patience_s=30)


def case_crashing_account(stack):
    """Symptom: a client account's request was refused because of crashes caused by another account.
    Sequence: the request of one account is quarantined; another account sends the same body to the same path.
    Cause: crashes were counted by the body alone, without the account."""
    stack.up()
    repeats = Repeats(stack, "crash-begin account")
    repeat_until_refused(stack, repeats)
    arrivals = len(repeats.arrivals())
    serves_all(stack)
    stack.ask("host-0", "/stream/a", "mill-1", key="key-mill", body=b"crash-begin account")
    if len(repeats.arrivals()) == arrivals:
        raise Failure("the other account's request reached no endpoint")


def case_crashing_cleared(stack):
    """Checks that an operator can list a quarantined request and clear it at one host, and that all hosts then
    accept it."""
    stack.up()
    repeats = Repeats(stack, "crash-begin clear")
    repeat_until_refused(stack, repeats)
    for host in stack.hosts:
        eventually(host + " has the quarantine entry", lambda h=host: refused_ms(stack, h) > 0)
    content = stack.state("host-1")["quarantine"][0]["content"]
    if content not in stack.bgctl("host-1", "state", "quarantine"):
        raise Failure("bgctl does not show the quarantined request")
    if "cleared" not in stack.bgctl("host-1", "clear", content):
        raise Failure("bgctl did not clear the request")
    for host in stack.hosts:
        eventually(host + " accepts the request", lambda h=host: refused_ms(stack, h) == 0)
    arrivals = len(repeats.arrivals())
    serves_all(stack)
    repeats.ask("host-2")
    if len(repeats.arrivals()) == arrivals:
        raise Failure("the request was cleared, but reached no endpoint")


def case_crashing_not(stack):
    """Symptom: a request whose response was truncated was refused, though its endpoints were alive.
    Sequence: each endpoint that runs the request truncates its response; the endpoints stay alive.
    Cause: a truncated attempt was treated as a crash of its endpoint."""
    stack.up()
    repeats = Repeats(stack, "cut-answer 1")
    for _ in range(4):
        for host in stack.hosts:
            arrivals = len(repeats.arrivals())
            expect("status", repeats.ask(host)[0], 502)
            if len(repeats.arrivals()) == arrivals:
                raise Failure("the request was refused at " + host)
    for host in stack.hosts:
        eventually(host + " has checked that the endpoints are alive",
                   lambda h=host: '"finding":"alive"' in stack.log(h))
        expect("quarantine", stack.state(host)["quarantine"], [])


def case_crashing_in_flight(stack):
    """Symptom: a quarantined request crashed one more endpoint for each host where it was still in flight.
    Sequence: many callers repeatedly send the same request at all hosts at the same time.
    Cause: only requests that arrived after the quarantine were refused."""
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
        raise Failure("the request did not crash three endpoints: %r" % crashes)
    window_ms = 3000    # time within which all hosts must know of the third crash
    expect("arrivals after the third", repeats.arrivals_after_third(window_ms), 0)
    for host in stack.hosts:
        expect_refused(stack, repeats, host)


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


def run(cases):
    name = sys.argv[1]
    stack = Stack()
    try:
        cases[name](stack)
        stack.check_answered()
    except Exception:
        for log in stack.procs:
            sys.stderr.write("--- %s\n%s\n" % (log, stack.log(log)[-4000:]))
        kept = stack.keep_logs(name)
        sys.stderr.write("complete logs are in %s\n" % kept)
        stack.down()
        raise
    stack.down()


if __name__ == "__main__":
    run(CASES)
