"""Test cases for requests and answers of odd bytes: python3 regress/soak/cases_odd.py NAME. Each docstring names the
failure that the case guards against."""
import base64
import json
import select
import socket
import struct
import sys
import time

from cases import events, expect, run
from cases_lost import WHOLE, Connection, request_bytes
from proxy import Proxy, before_plain_endpoints
from spoil import FORMS, spoil
from stack import Failure, call, eventually

# Kinds of frames, as in msg/kind.h.
FEED_ASK, LIMIT_ASK, TUNNEL_OPEN, TUNNEL_ATTACH = 18, 23, 26, 28


def ask_for_all(stack, host, path, request_id, **headers):
    """Sends a request on a connection of its own; returns what the caller got, the status, the headers and the body."""
    conn = Connection(stack.port(host, "front"))
    conn.send(request_bytes(path, request_id, close=True, **headers))
    answer = conn.read_answer()
    conn.close()
    return answer


def ask(stack, host, path, request_id, **headers):
    """The same without the headers."""
    got, status, _, body = ask_for_all(stack, host, path, request_id, **headers)
    return got, status, body


def case_token_counts(stack):
    """Guards against a host that serves no further stream, since the sum of the tokens at its endpoints stopped being a
    number after requests that state huge or infinite numbers of tokens."""
    stack.up()
    for i, counts in enumerate(["inf,12", "nan,12", "1e999,12", "12,inf", "50,nan", "-1e300,12", "1e300,1e300"] * 4):
        ask(stack, "host-0", "/stream/a", "odd-%d" % i, Bronzegauge_Token_Counts=counts)
    failed = []
    for i in range(20):
        name = "plain-%d" % i
        got, status, body = ask(stack, "host-0", "/stream/a", name)
        if (got, status) != (WHOLE, 200):
            failed.append((name, got, status, body))
    if failed:
        raise Failure("%d of 20 streams failed afterwards: %r" % (len(failed), failed[:3]))


def frame(kind, body=b""):
    """The bytes of a frame between hosts."""
    return struct.pack(">IH", len(body), kind) + body


def case_tunnel_after_feed(stack):
    """Guards against a host that ends, with all that it has under way, since a peer asks for a tunnel on a connection by
    which it followed the host's feed."""
    stack.up()
    for kind in [TUNNEL_OPEN, TUNNEL_ATTACH] * 20:
        sock = socket.create_connection(("127.0.0.1", stack.port("host-0", "control")), timeout=5)
        sock.sendall(frame(FEED_ASK) + frame(LIMIT_ASK) + frame(kind))
        try:
            while sock.recv(65536):
                pass
        except OSError:
            pass
        sock.close()
    for _ in range(3):
        version = stack.put_config()
        for host in stack.hosts:
            eventually(host + " has the version or has ended", lambda h=host, v=version: stack.procs[h].poll() is not None
                       or stack.state(h)["configuration"] == v, 10)
            expect("exit status of " + host, stack.procs[host].poll(), None)


def case_head_method(stack):
    """Guards against HEAD requests that wait for a body, which no answer to them has, until their deadline."""
    stack.up()
    for path in ("/many/a", "/once/a"):
        conn = Connection(stack.port("host-0", "front"))
        conn.send(request_bytes(path, "head", body=b"", close=True).replace(b"POST", b"HEAD", 1))
        expect("first line", conn.take_line(), b"HTTP/1.1 200 OK")
        conn.close()


def case_empty_resume(stack):
    """Guards against a resume after the last event of a stream, which has nothing more to send, that is answered by an
    error."""
    stack.up()
    expect("answer to a resume after the last event",
           ask(stack, "host-0", "/stream/a", "resumed", Last_Event_Id="12"), (WHOLE, 200, b""))


class Blamer(Proxy):
    """Stands before an endpoint. Of all requests to /many/ that reach blamers, the first is rejected with the name of
    an endpoint at fault, and the others get nothing."""

    answers = []    # left to send, of all blamers

    def forward(self, near):
        if not near.recv(65536, socket.MSG_PEEK).startswith(b"POST /many/"):
            super().forward(near)
            return
        near.recv(65536)
        if Blamer.answers:
            near.sendall(Blamer.answers.pop())
        near.close()


def case_late_blame(stack):
    """Guards against an endpoint that is blamed for an attempt which it had no part in, since an earlier answer to the
    same request named it."""
    before_plain_endpoints(stack, Blamer)
    stack.up()
    named = "127.0.0.1:%d" % stack.points[0][1]
    Blamer.answers = [("HTTP/1.1 503 Service Unavailable\r\nBronzegauge-Not-Executed: 1\r\n"
                       "At-Server: %s\r\nContent-Length: 0\r\n\r\n" % named).encode()]
    expect("what the caller got", ask(stack, "host-0", "/many/a", "blamed")[:2], (WHOLE, 502))
    failed = [(e["status"], e.get("culprit")) for e in events(stack, "host-0", "attempt_failed")]
    expect("status and culprit of the first attempt", failed[0], (503, named))
    expect("status and culprit of the others", set(failed[1:]), {(0, None)})


class Renumberer(Proxy):
    """A proxy that passes on answers with another status once it has one."""

    status = None

    def alter(self, data):
        return data.replace(b"HTTP/1.1 200 ", b"HTTP/1.1 %s " % self.status) if self.status else data


def case_odd_status(stack):
    """Guards against callers that get no byte, or wait until their deadline, since an endpoint answers with a status that
    is no status of a final answer."""
    proxies = before_plain_endpoints(stack, Renumberer)
    stack.up()
    for number in (b"099", b"000", b"101"):
        for proxy in proxies:
            proxy.status = number
        for kind in ("once", "many"):
            began = time.monotonic()
            got, status, _ = ask(stack, "host-0", "/%s/a" % kind, "status-%s-%s" % (number.decode(), kind))
            expect("what the caller got", (got, status), (WHOLE, 502))
            if time.monotonic() - began > 3:
                raise Failure("answered after %.1f s" % (time.monotonic() - began))


class Relengther(Proxy):
    """A proxy that passes on heads with another length once it has one, and the first bytes of their bodies."""

    lines = None

    def alter(self, data):
        head, end, body = data.partition(b"\r\n\r\n")
        if not self.lines or not head.startswith(b"HTTP/1.1 200 ") or b"Request-Id: length-" not in head:
            return data
        kept = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length:")]
        return b"\r\n".join(kept + self.lines) + end + body[:1]


def case_odd_length(stack):
    """Guards against a part of an answer that a caller takes for the whole, since the endpoint states a length that is
    too large for any number, or two."""
    proxies = before_plain_endpoints(stack, Relengther)
    stack.up()
    for name, lines in (("two", [b"Content-Length: 100", b"Content-Length: 1"]),
                        ("huge", [b"Content-Length: 99999999999999999999"])):
        for proxy in proxies:
            proxy.lines = lines
        for kind in ("once", "many"):
            got, status, body = ask(stack, "host-0", "/%s/a" % kind, "length-%s-%s" % (name, kind))
            expect("what the caller got", (got, status), (WHOLE, 502))


class RejectsThenBreaks(Proxy):
    """A proxy that turns the first answer at any of them into a rejection, and ends further connections without one."""

    rejected = None     # list of the rejections so far; None: passes on all

    def alter(self, data):
        if self.rejected is None or b"Request-Id: stale-" not in data:
            return data
        if self.rejected:
            raise OSError("no answer")
        self.rejected.append(1)
        return data.replace(b"HTTP/1.1 200 ", b"HTTP/1.1 421 ")


def case_stale_head(stack):
    """Guards against an attempt that ends without a head and is judged by the head of an earlier one: the endpoint that
    rejected is blamed again, and the one that failed is not."""
    proxies = before_plain_endpoints(stack, RejectsThenBreaks)
    stack.up()
    for name in range(5):
        for proxy in proxies:
            proxy.rejected = proxies[0].rejected if proxy is not proxies[0] else []
        ask(stack, "host-0", "/many/a", "stale-%d" % name)
    failed = [e for e in events(stack, "host-0", "attempt_failed") if e["id"].startswith("stale-")]
    expect("attempts at least", len(failed) >= 10, True)
    expect("statuses of first attempts", {e["status"] for e in failed[::2]}, {421})
    expect("statuses of attempts without a head", {e["status"] for e in failed[1::2]}, {0})


class Spoiler(Proxy):
    """A proxy that passes on the heads of answers to requests of callers with the seal's line in its form."""

    form = None

    def alter(self, data):
        return spoil(data, self.form) if self.form and b"Request-Id: seal-" in data else data


def case_odd_seal(stack):
    """Guards against a success without its endpoint's seal, since a seal counted that the HTTP library does not send."""
    proxies = before_plain_endpoints(stack, Spoiler)
    stack.up()
    wrong = []
    for form, (_, is_good) in FORMS.items():
        for spoilt in (1, 2):
            for proxy in proxies:
                proxy.form = form if proxies.index(proxy) < spoilt else None
            for i in range(12):
                kind = ("once", "many")[i % 2]
                name = "seal-%s-%d-%d" % (form.replace(" ", "_"), spoilt, i)
                got, status, headers, _ = ask_for_all(stack, "host-%d" % (i % 3), "/%s/a" % kind, name)
                seal = headers.get("bronzegauge-response-seal")
                served = got == WHOLE and status == 200 and seal == "stand." + name
                refused = got == WHOLE and status == 502 and seal is None
                if not (served or refused and not is_good and (spoilt == 2 or kind == "once")):
                    wrong.append((name, got, status, seal))
    expect("wrong answers", wrong, [])
    lost = [e for e in events(stack, "host-0", "attempt_failed") if e["id"].startswith("seal-no_value-")]
    expect("why attempts failed", {e.get("fault") for e in lost}, {"no seal"})


class Marker(Proxy):
    """A proxy that passes on answers as rejections with a mark, once it has one."""

    mark = None

    def alter(self, data):
        if self.mark is None or b"Request-Id: mark-" not in data:
            return data
        return data.replace(b"HTTP/1.1 200 ", b"HTTP/1.1 503 ").replace(
            b"Bronzegauge-Response-Seal:", b"Bronzegauge-Not-Executed:" + self.mark + b"\r\nX-Seal:")


def case_odd_mark(stack):
    """Guards against a request that may run once only and runs twice, or is said not to have run, since a mark without
    a value, or an odd one, is taken for "not run"."""
    proxies = before_plain_endpoints(stack, Marker)
    stack.up()
    for mark in (b"", b" \t", b" 0", b" false", b" 1\r", b" maybe"):
        for proxy in proxies:
            proxy.mark = mark
        for i in range(4):
            name = "mark-%s-%d" % (mark.hex(), i)
            expect("answer to " + name, ask(stack, "host-0", "/once/a", name)[:2], (WHOLE, 502))
            expect("runs of " + name, stack.ledger()["runs"].get(name), 1)


SHAPES = (
    # name, path with query, headers, whether it must be served
    ("400-parameters", "/once/x?" + "&".join("p%d=%s" % (i, "v" * 12) for i in range(400)), {}, True),
    ("8000-parameters", "/once/x?" + "&".join("p" for _ in range(8000)), {}, True),
    ("100-cookies", "/once/x", {"Cookie": "; ".join("c%d=v" % i for i in range(100))}, True),
    ("350-cookies", "/once/x", {"Cookie": "; ".join("c%d=v" % i for i in range(350))}, True),
    ("1500-cookies", "/once/x", {"Cookie": "; ".join("c%d=v" % i for i in range(1500))}, True),
    ("100-lines", "/once/x", {"X-Line-%d" % i: "v" * 100 for i in range(100)}, True),
    ("300-lines", "/once/x", {"X-Line-%d" % i: "v" * 25 for i in range(300)}, True),
    ("1300-lines", "/once/x", {"X%d" % i: "v" for i in range(1300)}, True),
    ("parameters-lines-and-cookies", "/once/x?" + "&".join("p%d=v" % i for i in range(500)),
     dict({"X%d" % i: "v" for i in range(500)}, Cookie="; ".join("c%d=v" % i for i in range(500))), True),
    ("3000-lines", "/once/x", {"X%d" % i: "" for i in range(3000)}, False),
)


def case_heads_of_any_shape(stack):
    """Guards against requests that run for an answer that can't be sent, or get no answer at all, since their heads take
    the memory of their connection: each is served, or refused with 431 and has not run."""
    stack.up()
    for name in ("p0", "p1"):
        stack.fault_engine(name, "ok", more="X-Policy: " + "v" * 4000)
    for name, path, headers, must in SHAPES:
        for body in (b"{}", b"b" * 5000):
            conn = Connection(stack.port("host-0", "front"))
            for prefix in ("first", "shaped"):
                request_id = "%s-%s-%d" % (prefix, name, len(body))
                shaped = prefix == "shaped"
                conn.send(request_bytes(path if shaped else "/once/x", request_id, body=body,
                                        **(headers if shaped else {})))
                got, status = conn.read_answer()[:2]
                expect("answer to " + request_id, got, WHOLE)
                if must or not shaped:
                    expect("status of " + request_id, status, 200)
                elif status not in (200, 431):
                    raise Failure("status of %s: %r" % (request_id, status))
                expect("runs of " + request_id, stack.ledger()["runs"].get(request_id, 0),
                       1 if status == 200 else 0)
            conn.close()


def case_heads_without_end(stack):
    """Guards against connections that stay open for ever, one after the other, since the heads of their requests never
    end; a caller that sends a byte now and then is one of them."""
    stack.up()
    whole = request_bytes("/once/x", "endless")
    begun = {"line": whole[:whole.index(b"\r\n") + 2], "lines": whole[:120], "drip": whole[:60]}
    open_conns = {}
    for name, data in begun.items():
        for kept in (False, True):
            conn = Connection(stack.port("host-0", "front"), timeout=30)
            if kept:
                conn.send(request_bytes("/once/x", "before-" + name))
                expect("status before " + name, conn.read_answer()[1], 200)
            conn.send(data)
            open_conns[name, kept] = conn
    for (name, kept), conn in open_conns.items():
        while name == "drip" and not select.select([conn.sock], [], [], 0.1)[0]:
            conn.send(b"x")
        expect("answer to %s, %s" % (name, kept), conn.read_answer()[:2], (WHOLE, 408))
        conn.close()
    expect("runs", stack.ledger()["runs"].get("endless", 0), 0)
    expect("served afterwards", ask(stack, "host-0", "/once/x", "sound")[:2], (WHOLE, 200))


def case_entry_of_no_service(stack):
    """Guards against endpoints that no request reaches, since somebody writes entries with their addresses and a service
    that does not exist."""
    stack.up()
    entries = [json.loads(base64.b64decode(i["value"]))
               for i in stack.listing("keyed.servers")]
    plain = [e for e in entries if e["service"] == "plain"]
    expect("endpoints of the service", len(plain), 2)
    failed = []
    for turn in range(5):
        odd = [dict(e, id="odd-%d-%d" % (turn, i), service="nobody") for i, e in enumerate(plain)]
        for entry in odd:
            call(stack.store_port, "POST", "/put?topic=keyed.servers&key=" + entry["id"], json.dumps(entry))
        for host in stack.hosts:
            eventually("%s has read the entries of turn %d" % (host, turn), lambda h=host: {e["id"] for e in odd} <=
                       {e["id"] for e in stack.state(h)["endpoints"]}, patience_s=20)
            for i in range(4):
                name = "odd-entry-%d-%s-%d" % (turn, host, i)
                status = stack.ask(host, "/once/a", name)[0]
                if status != 200:
                    failed.append((name, status))
    expect("failed requests", failed, [])


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
