"""Test cases of endpoints that ask hosts for a rest, and of endpoints that announce that they are leaving:
python3 regress/soak/cases_rest.py NAME. An endpoint asks for a rest by rejecting a request with Retry-After."""
import collections
import http.client
import time

from cases import expect, run
from cases_limit import Callers, run_for, plain_only
from rest import REST_NOTICE_S, REST_REQUESTS_MAX, host_of, max_during_rest, rests, sent_after_drain
from stack import Failure, eventually

REST_S = 3.0            # length of the rest that endpoints ask for, in seconds
# Time after the end of a rest within which the endpoint must be used like the others again, in seconds.
REUSE_S = 1.0
# Longest time between two attempts at an engine that keeps rejecting, in seconds; the first 3 follow sooner.
REJECT_RETRY_MAX_S = 4.0
# Minimum share of an endpoint that counts as used like the others, as a fraction of the mean of all endpoints.
SHARE_MIN = 0.4


class RecordingCallers(Callers):
    """Callers that record the time at which each request was sent (sent), and the time at which each host first
    forwarded the announcement that an endpoint is leaving (leaving_seen_at)."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.sent, self.leaving_seen_at = {}, {}

    def ask(self, host):
        request_id = "%s-%d" % (host, next(self.asked))
        self.sent[request_id] = time.monotonic()
        try:
            status, headers, _ = self.stack.ask(host, self.path, request_id)
        except (OSError, http.client.HTTPException):
            status, headers = 0, {}
        with self.lock:
            self.answers.append((time.monotonic(), host, status, headers))
            if headers.get("Server-Leaving", "0") not in ("", "0"):
                self.leaving_seen_at.setdefault(host, time.monotonic())


def recorded_calls(stack):
    return stack.ledger()["heard"]


def check_rest(stack, rest_s=REST_S, **more):
    got, host, endpoint = max_during_rest(recorded_calls(stack), rest_s, **more)
    print("maximum of one host during a rest: %d of %d allowed" % (got, REST_REQUESTS_MAX))
    if got > REST_REQUESTS_MAX:
        raise Failure("%d requests of %s reached %s during its rest" % (got, host, endpoint))


def rested_at(stack, endpoint):
    """Returns a map host -> time at which the endpoint last asked it for a rest, in seconds."""
    return {host_of(request): at for e, request, at in rests(recorded_calls(stack)) if e == endpoint}


def await_rest(stack, endpoint, since=0):
    eventually("%s has asked all hosts for a rest" % endpoint,
               lambda: {h for h, at in rested_at(stack, endpoint).items() if at >= since} == set(stack.hosts))


def count_accepted(stack, endpoint, since):
    """Returns the number of requests that the endpoint has accepted since that time."""
    return sum(1 for a in recorded_calls(stack) if a["endpoint"] == endpoint and a["answer"] == "taken" and
               a["ms"] / 1000.0 >= since)


def first_engines(stack):
    """Returns the names of the engines that are the first stage of pipelines."""
    return [e["id"].split("-")[1] for e in stack.state("host-0")["endpoints"]
            if e["service"] == "llm" and e["from"] == 0 and e["to"] > 0]


def one_host(stack):
    """Starts the engines with only one host, so that all calls that the engines receive come from that host."""
    stack.hosts = ["host-0"]
    stack.store_via = {"host-0": stack.store_port}
    stack.up()


def case_engine_asks(stack):
    """Guards against a host that keeps sending streams to an engine that has asked it for a rest."""
    stack.up()
    with Callers(stack, per_s=6, path="/stream/a") as callers:
        eventually("all are served", lambda: len(callers.answers) >= 30)
        for name in first_engines(stack)[1:]:
            stack.fault_engine(name, "ok", rest="3")
        eventually("a host is asked for a rest", lambda: rests(recorded_calls(stack)))
        run_for(callers, 2 * REST_S)
    check_rest(stack)
    expect("violations", stack.ledger()["violations"], "")


def case_engine_rejects(stack):
    """Guards against sending all streams first to an engine that rejects them, because it appears idle."""
    stack.up()
    with Callers(stack, per_s=6, path="/stream/a") as callers:
        eventually("all are served", lambda: len(callers.answers) >= 30)
        for name in first_engines(stack)[1:]:
            stack.fault_engine(name, "ok", rest="soon")
        eventually("a request is rejected", lambda: rests(recorded_calls(stack)))
        began = time.monotonic()
        run_for(callers, 2 * REST_S)
    seconds = time.monotonic() - began
    got = max(collections.Counter((e, host_of(r)) for e, r, _ in rests(recorded_calls(stack))).values())
    print("maximum of one host at one engine: %d in %.1f s" % (got, seconds))
    if got > 3 + seconds / REJECT_RETRY_MAX_S:
        raise Failure("%d requests of one host were sent to an engine that rejects all requests" % got)


def case_nobody_left(stack):
    """Guards against requests that are sent although all endpoints have asked for a rest, and against refusals
    whose Retry-After does not match the end of the rest."""
    plain_only(stack)
    names = ["p%d" % i for i in range(4)]
    with Callers(stack, per_s=10) as callers:
        eventually("all are served", lambda: len(callers.answers) >= 80)
        began = time.monotonic()
        for name in names:
            stack.fault_engine(name, "ok", rest="3", times=1)
        for name in names:
            await_rest(stack, name)
        run_for(callers, REST_S + REUSE_S)
    check_rest(stack)
    ends = {h: min(rested_at(stack, n)[h] for n in names) + REST_S for h in stack.hosts}
    refused = [(at, host, headers) for at, host, status, headers in callers.answers
               if status == 503 and at > began]
    known = {h: max(rested_at(stack, n)[h] for n in names) + REST_NOTICE_S for h in stack.hosts}
    retry_offsets_s = [(at + float(headers.get("Retry-After", 0)) - ends[host]) for at, host, headers in refused
            if known[host] < at < ends[host] - 1]
    if not retry_offsets_s:
        raise Failure("no request was refused during the rest of all endpoints")
    print("Retry-After points to %.2f to %.2f s after the end of the first rest" % (
        min(retry_offsets_s), max(retry_offsets_s)))
    if min(retry_offsets_s) < 0 or max(retry_offsets_s) > 2 * REUSE_S:
        raise Failure("Retry-After does not match the end of the rest")


def case_used_again(stack):
    """Guards against an endpoint that stays unused for long after its rest, or after a single rejection."""
    plain_only(stack)
    with Callers(stack, per_s=10) as callers:
        eventually("all are served", lambda: len(callers.answers) >= 80)
        for rest, wait_s in (("1", 1 + REUSE_S), ("soon", 4 * REUSE_S)):
            began = time.monotonic()
            stack.fault_engine("p0", "ok", rest=rest, times=1)
            await_rest(stack, "p0", began)
            run_for(callers, wait_s)
            began = time.monotonic()
            run_for(callers, 4)
            asked = sum(1 for at, _, _, _ in callers.answers if at >= began)
            got = count_accepted(stack, "p0", began)
            print("after Retry-After: %s the endpoint receives %d of %d requests" % (rest, got, asked))
            if got < SHARE_MIN * asked / 4:
                raise Failure("the endpoint receives %d of %d requests after its rest" % (got, asked))


def case_starts_anew(stack):
    """Guards against a rest that is applied to the next incarnation of the endpoint at the same address."""
    plain_only(stack)
    with Callers(stack, per_s=10) as callers:
        for fault in ("reborn", "restarted"):
            began = time.monotonic()
            stack.fault_engine("p0", "ok", rest="60")
            await_rest(stack, "p0", began)
            stack.fault_engine("p0", fault)
            began = time.monotonic()

            def serves():
                return any(e["addr"].endswith(":%d" % (stack.base + 20)) and e["in_flight"] >= 0 and
                           not e["rest_ms"] for e in stack.state("host-1")["endpoints"])
            eventually("the new incarnation is listed", serves)
            served = [0]

            def again():
                served[0] += 1
                return stack.ask("host-1", "/many/a", "again%s-%d" % (fault, served[0]))[2].endswith(b"at p0")
            eventually("the new incarnation serves", again)
            if time.monotonic() - began > REST_S + REUSE_S:
                print("the new incarnation serves only after %.1f s" % (time.monotonic() - began))


def case_other_statuses(stack):
    """Guards against a rest that is derived from an invalid Retry-After: zero, a negative number, no number."""
    plain_only(stack)
    with Callers(stack, per_s=10) as callers:
        for value in ("0", "-5", "Fri, 31 Dec 1999 23:59:59 GMT", ""):
            began = time.monotonic()
            stack.fault_engine("p0", "ok", rest=value, times=1)
            await_rest(stack, "p0", began)
            for host in stack.hosts:
                expect("rest at " + host, [e["rest_ms"] for e in stack.state(host)["endpoints"]
                                           if e["id"] == "i-p0-0"], [0])
    expect("answers", callers.statuses(), [200])
    for host in stack.hosts:
        expect("lines of " + host, stack.log(host).count('"rest_unreadable"'), 1)


def case_longest_holds(stack):
    """Guards against a shorter rest that replaces a longer one which has not yet ended."""
    plain_only(stack)
    with Callers(stack, per_s=10) as callers:
        stack.fault_engine("p0", "ok", rest="60", times=1)
        await_rest(stack, "p0")
        stack.fault_engine("p0", "ok", rest="0.2")
        began = time.monotonic()
        run_for(callers, 5)
        got = sum(1 for a in recorded_calls(stack) if a["endpoint"] == "p0" and
                  a["ms"] / 1000.0 >= began + REST_NOTICE_S)
        if got > REST_REQUESTS_MAX:
            raise Failure("%d requests during the longer rest" % got)


def case_reports_wait(stack):
    """Guards against report requests and orders that reach an engine during the rest that it has asked for."""
    one_host(stack)
    with Callers(stack, per_s=20, path="/stream/a") as callers:
        eventually("all are served", lambda: len(callers.answers) >= 30)
        for name in first_engines(stack):
            stack.fault_engine(name, "ok", rest="6", times=1)
        eventually("a host is asked for a rest", lambda: rests(recorded_calls(stack)))
        name, _, asked = rests(recorded_calls(stack))[0]
        run_for(callers, 6)
    calls = [a for a in recorded_calls(stack) if a["answer"] != "rest" and a["endpoint"] == name and
             asked + REST_NOTICE_S <= a["ms"] / 1000.0 < asked + 6]
    print("%d requests, report requests and orders" % len(calls))
    if len(calls) > REST_REQUESTS_MAX:
        raise Failure("%d requests, report requests and orders reached the engine during its rest" % len(calls))


def check_leaving(stack, callers, name):
    late = sent_after_drain(recorded_calls(stack), name, callers.sent, callers.leaving_seen_at,
                            stack.drain_ms / 1000.0)
    print("%d requests reached the leaving endpoint too late" % len(late))
    if late:
        raise Failure("%d requests reached %s after it had announced that it is leaving" % (len(late), name))


def case_leaving(stack):
    """Guards against requests that are sent to an endpoint that announces in its answers that it is leaving."""
    plain_only(stack)
    with RecordingCallers(stack, per_s=10) as callers:
        eventually("all are served", lambda: len(callers.answers) >= 80)
        stack.fault_engine("p0", "ok", leaving="1")
        eventually("the announcement is forwarded", lambda: callers.leaving_seen_at)
        for host in stack.hosts:
            eventually(host + " lists the endpoint as draining", lambda h=host: is_draining(stack, h, "i-p0-0"))
        run_for(callers, 2 * stack.drain_ms / 1000.0)
    expect("answers", callers.statuses(), [200])
    check_leaving(stack, callers, "p0")


def is_draining(stack, host, endpoint):
    return [e["state"] for e in stack.state(host)["endpoints"] if e["id"] == endpoint] == ["draining"]


def case_leaving_engine(stack):
    """Guards against new pipelines through an engine that announces that it is leaving."""
    stack.up()
    with RecordingCallers(stack, per_s=6, path="/stream/a") as callers:
        eventually("all are served", lambda: len(callers.answers) >= 30)
        name = first_engines(stack)[0]
        for other in first_engines(stack)[1:]:
            stack.fault_engine(other, "slow")
        stack.fault_engine(name, "ok", leaving="1")
        for host in stack.hosts:
            eventually(host + " lists the endpoint as draining",
                       lambda h=host: is_draining(stack, h, "i-%s-0" % name))
        run_for(callers, 2 * stack.drain_ms / 1000.0)
    check_leaving(stack, callers, name)
    expect("violations", stack.ledger()["violations"], "")


def case_not_leaving(stack):
    """Guards against an endpoint that is treated as leaving although its Server-Leaving is 0 or empty."""
    plain_only(stack)
    with RecordingCallers(stack, per_s=10) as callers:
        for value in ("0", ""):
            stack.fault_engine("p0", "ok", leaving=value)
            before = len(callers.answers)
            eventually("80 more requests are answered", lambda: len(callers.answers) >= before + 80)
    for host in stack.hosts:
        expect("draining at " + host, is_draining(stack, host, "i-p0-0"), False)


def case_leaving_stays(stack):
    """Guards against a heartbeat entry, a restart of a host or a restored store that reverts the leaving state of
    an endpoint."""
    plain_only(stack)
    with RecordingCallers(stack, per_s=10) as callers:
        stack.fault_engine("p0", "ok", leaving="1")
        for host in stack.hosts:
            eventually(host + " lists the endpoint as draining", lambda h=host: is_draining(stack, h, "i-p0-0"))
        stack.kill("host-3")
        stack.begin_host("host-3")
        eventually("host-3 lists the endpoint as draining", lambda: is_draining(stack, "host-3", "i-p0-0"))
        stack.copy_store()
        era = stack.store_era()
        stack.rewind_store()
        stack.wait_for_era(era + 1)
        for host in stack.hosts:
            eventually(host + " has the new era", lambda h=host: stack.state(h)["era"] == era + 1)
            expect("leaving at " + host, is_draining(stack, host, "i-p0-0"), True)
        stack.fault_engine("p0", "reborn")
        served = [0]

        def again():
            served[0] += 1
            return stack.ask("host-1", "/many/a", "again-%d" % served[0])[2].endswith(b"at p0")
        eventually("the next incarnation serves", again)


def case_unknown_header(stack):
    """Guards against an unknown Server- header field of an endpoint that is not logged."""
    plain_only(stack, hosts=1)
    stack.fault_engine("p0", "ok", more="Server-Mood: tired")
    served = [0]

    def logged():
        served[0] += 1
        stack.ask("host-0", "/many/a", "host-0-%d" % served[0])
        return '"header_unknown"' in stack.log("host-0")
    eventually("the unknown field is logged", logged)
    for _ in range(20):
        served[0] += 1
        stack.ask("host-0", "/many/a", "host-0-%d" % served[0])
    expect("lines", stack.log("host-0").count('"header_unknown"'), 1)


if __name__ == "__main__":
    run({name[5:]: fn for name, fn in globals().items() if name.startswith("case_")})
