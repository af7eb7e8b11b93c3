"""Test cases of prompts with a part that crashes each engine that begins to answer on it: python3
regress/soak/cases_part.py NAME. The requests with it are never alike; sound ones share their caller and their other
parts. Arrivals and crashes are counted at the engines."""
import http.client
import itertools
import threading
import time

from cases import all_hold_layers, expect, link_by_proxies, run
from stack import Failure, eventually

# Required maximum number of arrivals of requests with a bad part later than WINDOW_MS after its fifth crash, over all
# hosts, for as long as such requests come.
LATE_MAX = 3
WINDOW_MS = 3000
# Required minimum share of sound requests that are served from twice that window on, of those sent.
SERVED_MIN = 0.9
EVENTS = 20             # length of a sound stream, in events; 0.3 s


def many_engines(stack, engines=12, hosts=4):
    """Four hosts before twelve engines, in two availability zones."""
    stack.hosts = ["host-%d" % i for i in range(hosts)]
    stack.store_via = {h: stack.store_port for h in stack.hosts}
    stack.points = [("e%d" % i, stack.base + 2 + i, "llm", "z%d" % (i % 2), "small" if i % 3 else "big")
                    for i in range(engines)]
    stack.points += [("p%d" % i, stack.base + 20 + i, "plain", "z%d" % i, "-") for i in range(2)]


class Load:
    """Sends bad requests and sound ones of the same callers at a steady rate, at all hosts in turn."""

    def __init__(self, stack, bad=("dead1",), bad_per_s=3, sound_per_s=16):
        self.stack, self.bad = stack, itertools.cycle(bad)
        self.bad_per_s, self.sound_per_s = bad_per_s, sound_per_s
        self.count = itertools.count()
        self.lock = threading.Lock()
        self.answers = []       # (time of sending in ms, whether it was bad, status, headers)
        self.ending = threading.Event()
        self.threads = []

    def prompt(self, part=None):
        """Parts of a prompt: one of three that many share, a bad one or one of twelve sound ones, the request's own."""
        number = next(self.count)
        middle = part or "5%x" % (number % 12)
        return number, "a%x:40,%s:60,f%x:700" % (number % 3, middle, 0x10000 + number)

    def send(self, part=None, prompt=None, host=None):
        number, parts = self.prompt(part)
        host = host or self.stack.hosts[number % len(self.stack.hosts)]
        sent_ms = time.monotonic() * 1000
        try:
            status, headers, _ = self.stack.ask(
                host, "/stream/a", "p-%d" % number, body=b"prompt %d" % number,
                Bronzegauge_Token_Counts="800,%d" % EVENTS, Bronzegauge_Prompt_Prefix=prompt or parts)
        except (OSError, http.client.HTTPException):
            status, headers = 0, {}
        with self.lock:
            self.answers.append((sent_ms, part is not None, status, headers))
        return status, headers

    def send_at_rate(self, per_s, next_part):
        asking = []
        while not self.ending.wait(1.0 / per_s):
            asking.append(threading.Thread(target=self.send, args=(next_part(),)))
            asking[-1].start()
        for thread in asking:
            thread.join()

    def begin(self, per_s, next_part):
        if per_s:
            self.threads.append(threading.Thread(target=self.send_at_rate, args=(per_s, next_part)))
            self.threads[-1].start()

    def __enter__(self):
        self.begin(self.sound_per_s, lambda: None)
        return self

    def begin_bad(self):
        self.begin(self.bad_per_s, lambda: next(self.bad))

    def __exit__(self, *_):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def sent(self, bad, since_ms=0):
        with self.lock:
            return [a for a in self.answers if a[1] == bad and a[0] >= since_ms]

    def served(self, since_ms=0):
        """Returns the numbers of sound requests that were served and sent since then."""
        sent = self.sent(False, since_ms)
        return sum(1 for a in sent if a[2] == 200), len(sent)

    def wait_for(self, what, n, bad=False, since_ms=0):
        eventually(what, lambda: len(self.sent(bad, since_ms)) >= n)


def crashes(stack, part):
    return [c["at_ms"] for c in stack.ledger()["crashes"] if c["mark"].startswith(part)]


def arrivals(stack, part):
    return [m["at_ms"] for m in stack.ledger()["marked"] if m["mark"].startswith(part)]


def late_arrivals(stack, part):
    """Returns the arrivals later than the window after the fifth crash, or after the last if there are fewer."""
    at = sorted(crashes(stack, part))
    return [a for a in arrivals(stack, part) if at and a > at[:5][-1] + WINDOW_MS]


def check(stack, load, parts=("dead1",)):
    """Checks both rules for each part, and that no sound request was taken for a bad one at the end."""
    for part in parts:
        ended = sorted(crashes(stack, part))
        late = late_arrivals(stack, part)
        since_ms = ended[:5][-1] + 2 * WINDOW_MS if ended else 0
        served, sent = load.served(since_ms)
        print("%s: %d arrivals, %d of them late, %d crashes; then %d of %d sound requests served" % (
            part, len(arrivals(stack, part)), len(late), len(ended), served, sent))
        if len(ended) < 3:
            raise Failure("%s crashed only %d engines" % (part, len(ended)))
        if len(late) > LATE_MAX:
            raise Failure("requests with %s reached engines %d times late, %d crashed" % (part, len(late), len(ended)))
        if sent < 20 or served < SERVED_MIN * sent:
            raise Failure("%d of %d sound requests served" % (served, sent))
    expect("violations", stack.ledger()["violations"], "")


def run_load(stack, load, bad=30):
    """Sends sound requests, then bad ones beside them, and sound ones for long enough after the rules begin."""
    eventually("sound requests are served", lambda: load.served()[0] >= 30)
    load.begin_bad()
    load.wait_for("bad requests have been sent", bad, bad=True)
    since_ms = time.monotonic() * 1000
    load.wait_for("sound requests have been sent", 40, since_ms=since_ms)


def play(stack, parts, bad_per_s=3, bad=30):
    """Plays requests with these parts beside sound ones, and checks both rules."""
    many_engines(stack)
    stack.up()
    with Load(stack, bad=parts, bad_per_s=bad_per_s) as load:
        run_load(stack, load, bad=bad)
    check(stack, load, parts)


def case_part(stack):
    """Guards against requests that crash one engine after the other, no two alike, because a part of their prompts
    does."""
    play(stack, ("dead1",))


def refused_parts(stack, host):
    return {e["content"] for e in stack.state(host)["quarantine"] if e["refused_ms"] > 0}


def stored_contents(stack):
    """Returns the contents of which the store has an entry."""
    return {item["key"] for item in stack.listing("keyed.quarantine")}


def expect_refused(stack, load, host, part="dead1"):
    """Checks that the host refuses requests with the part, with the reason and a time to return, and sends none."""
    before = len(arrivals(stack, part))
    status, headers = load.send(part, host=host)
    expect("status", status, 503)
    expect("time to return", float(headers.get("Retry-After", 0)) >= 10, True)
    expect("arrivals", len(arrivals(stack, part)), before)


def until_refused(stack, load, part="dead1"):
    """Sends requests with the part until all hosts refuse it."""
    def is_refused():
        load.send(part)
        return any("part-" + part in refused_parts(stack, h) for h in stack.hosts)

    eventually("a host refuses the part", is_refused)
    for host in stack.hosts:
        eventually(host + " refuses the part", lambda h=host: "part-" + part in refused_parts(stack, h))


def case_often(stack):
    """Guards against a part that comes so often that most engines have crashed before it is found."""
    play(stack, ("dead1",), bad_per_s=25, bad=150)


def case_two(stack):
    """Guards against one part that hides the other where two crash engines in turn."""
    play(stack, ("dead1", "dead2"), bad_per_s=4, bad=40)


def case_slowly(stack):
    """Guards against a part that comes so seldom that its crashes seem unrelated, while engines end for other reasons."""
    many_engines(stack)
    stack.up()
    with Load(stack, bad_per_s=0.8) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        load.begin_bad()
        for i in range(5):
            stack.fault_engine("e%d" % (2 * i + 1), "reborn")
            load.wait_for("requests have been sent", 16 * (i + 2))
        load.wait_for("bad requests have been sent", 12, bad=True)
        since_ms = time.monotonic() * 1000
        load.wait_for("sound requests have been sent", 40, since_ms=since_ms)
    check(stack, load)


def case_unheard(stack):
    """Guards against a part under which engines end before the head of an answer."""
    play(stack, ("deaf1",))


def case_first(stack):
    """Guards against blame for the other parts where the bad one stands first, or twice, or among sixty."""
    many_engines(stack)
    stack.up()
    with Load(stack) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        for i in range(12):
            own = "f%x:700" % (0x20000 + i)
            prompts = ("dead1:9,a1:40,5%x:60,%s" % (i, own), "a2:40,dead1:9,dead1:9,%s" % own,
                       ",".join("c%x:5" % j for j in range(40)) + ",dead1:9,a1:40," + own)
            load.send("dead1", prompt=prompts[i % 3])
        since_ms = time.monotonic() * 1000
        load.wait_for("sound requests have been sent", 120, since_ms=since_ms)
    check(stack, load)
    for host in stack.hosts:
        expect("refused at " + host, refused_parts(stack, host), {"part-dead1"})


def case_ends(stack):
    """Guards against sound parts that are refused because engines end one after the other for other reasons."""
    many_engines(stack)
    stack.up()
    with Load(stack) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        for i in range(7):
            stack.fault_engine("e%d" % i, "reborn")
            load.wait_for("requests have been sent", 40 + 10 * i)
        load.wait_for("requests have been sent", 150)
    for host in stack.hosts:
        expect("refused at " + host, refused_parts(stack, host), set())
    if any('"part_blamed"' in stack.log(h) for h in stack.hosts):
        raise Failure("a sound part was blamed")
    served, sent = load.served()
    if served < SERVED_MIN * sent:
        raise Failure("%d of %d sound requests served" % (served, sent))


def case_lists(stack):
    """Guards against hosts that fail, or requests that do, because of a malformed or huge list of parts."""
    many_engines(stack)
    stack.up()
    lists = ["", ",", "5c1e", "a1:", ":4", "zz:1,zz:2", "a1:40,,b2:9", "a1:40 b2:9", "-1:5,+2:6", "0:0,0:0,0:0",
             "a1:99999999999999999999,b:1", "f" * 4000 + ":1,b:1", ",".join("%x:1" % i for i in range(1500)),
             "a1;40,b2;9", "\t a1:40 ,\tb2:9 ", "a1:4e1,b2:1"]
    with Load(stack, sound_per_s=0) as load:
        for i, text in enumerate(lists):
            status, _ = load.send(prompt=text or " ", host=stack.hosts[i % len(stack.hosts)])
            expect("status of %r" % text[:40], status, 200)
    for host in stack.hosts:
        expect("runs " + host, stack.procs[host].poll(), None)


def case_all_start(stack):
    """Guards against a part that is free again after a kill of all hosts, and against one that keeps coming meanwhile."""
    many_engines(stack)
    stack.up()
    with Load(stack) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        until_refused(stack, load)
        eventually("the verdict is stored", lambda: "part-dead1" in stored_contents(stack))
        ended = len(crashes(stack, "dead1"))
        for host in stack.hosts:
            stack.kill(host)
        for host in stack.hosts:
            stack.begin_host(host)
        load.begin_bad()
        for host in stack.hosts:
            eventually(host + " refuses the part", lambda h=host: "part-dead1" in refused_parts(stack, h))
            eventually(host + " serves a stream", lambda h=host: stack.serves_stream(h))
        since_ms = time.monotonic() * 1000
        load.wait_for("sound requests have been sent", 120, since_ms=since_ms)
        for host in stack.hosts:
            expect_refused(stack, load, host)
    print("crashes before and after the starts: %d, %d" % (ended, len(crashes(stack, "dead1")) - ended))
    check(stack, load)


def case_all_start_unread(stack):
    """Guards against hosts that serve before they know what is refused: all start anew, and the store answers all reads
    but those of the quarantine."""
    many_engines(stack)
    stack.up()
    with Load(stack, sound_per_s=0) as load:
        until_refused(stack, load)
        eventually("the verdict is stored", lambda: "part-dead1" in stored_contents(stack))
        stack.fault_store("busy", "keyed.quarantine")
        begins = {}
        for host in stack.hosts:
            stack.kill(host)
            begins[host] = len(stack.log(host))
        for host in stack.hosts:
            stack.begin_host(host)
        for host in stack.hosts:
            eventually(host + " serves a stream", lambda h=host: stack.serves_stream(h))
        stack.fault_store("ok")
        for host in stack.hosts:
            eventually(host + " refuses the part", lambda h=host: "part-dead1" in refused_parts(stack, h))
            expect_refused(stack, load, host)
    for host in stack.hosts:
        log = stack.log(host)[begins[host]:]
        known = [log.find('"%s"' % event) for event in ("quarantine_known", "quarantine_unknown")]
        if log.find('"sent"') < min(at for at in known if at >= 0):
            raise Failure("%s served a request before it knew what is refused" % host)


def case_store_away(stack):
    """Guards against a part that is not found while the store is away, when no engine that ends comes back, and against
    one that a host lets through which starts meanwhile."""
    many_engines(stack)
    stack.up()
    with Load(stack) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        eventually("all engines hold layers", lambda: all_hold_layers(stack, "host-0"))
        stack.fault_store("busy")
        until_refused(stack, load)
        stack.kill("host-2")
        stack.begin_host("host-2")
        eventually("host-2 refuses the part after its start", lambda: "part-dead1" in refused_parts(stack, "host-2"))
        load.begin_bad()
        load.wait_for("bad requests have been sent", 20, bad=True)
        stack.fault_store("ok")
        for host in stack.hosts:
            eventually(host + " serves a stream", lambda h=host: stack.serves_stream(h))
        since_ms = time.monotonic() * 1000
        load.wait_for("sound requests have been sent", 120, since_ms=since_ms)
    check(stack, load)


def case_cut_off(stack):
    """Guards against a host that lets the part through after it was cut off from store and hosts."""
    many_engines(stack)
    links = link_by_proxies(stack)
    stack.up()
    for name, link in links.items():
        if name not in ("store host-0", "store host-1", "store host-2"):
            link.set("refuse")
    with Load(stack, sound_per_s=16) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        for _ in range(12):
            load.send("dead1", host="host-0")
            if "part-dead1" in refused_parts(stack, "host-0"):
                break
        expect("refused at the host that is cut off", refused_parts(stack, "host-3"), set())
        for link in links.values():
            link.set("pass")
        for host in stack.hosts:
            eventually(host + " refuses the part", lambda h=host: "part-dead1" in refused_parts(stack, h))
            expect_refused(stack, load, host)
    for link in links.values():
        link.close()


def case_cleared(stack):
    """Checks that an operator sees the part and why it is refused, and lifts that at one host for all."""
    many_engines(stack)
    stack.up()
    with Load(stack) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        until_refused(stack, load)
        if not any('"part_blamed","part":"' in stack.log(h) and "dead1" in stack.log(h) for h in stack.hosts):
            raise Failure("no line tells of the verdict")
        for name in ("quarantine", "parts"):
            if "part-dead1" not in stack.bgctl("host-1", "state", name):
                raise Failure("bgctl state %s does not show the part" % name)
        if "cleared" not in stack.bgctl("host-1", "clear", "part-dead1"):
            raise Failure("bgctl did not clear the part")
        for host in stack.hosts:
            eventually(host + " accepts the part", lambda h=host: not refused_parts(stack, h))
        before, ended = len(arrivals(stack, "dead1")), len(crashes(stack, "dead1"))
        eventually("a request with the cleared part reaches an engine", lambda: load.send(
            "dead1", host="host-2") and len(arrivals(stack, "dead1")) > before)
        until_refused(stack, load)
        if len(crashes(stack, "dead1")) - ended < 3:
            raise Failure("the part was refused again for crashes before it was cleared")


def case_whole(stack):
    """Guards against blame for the parts of one whole request that crashes engines by itself, and against its being let
    in because a part is blamed."""
    many_engines(stack)
    stack.up()

    def ask(host):
        try:
            return stack.ask(host, "/stream/a", "w-%f" % time.monotonic(), body=b"crash-begin whole",
                             Bronzegauge_Token_Counts="800,20", Bronzegauge_Prompt_Prefix="a1:40,51:60,e0:700")[0]
        except (OSError, http.client.HTTPException):
            return 0

    def refused_wholes(host):
        return {c for c in refused_parts(stack, host) if not c.startswith("part-")}

    with Load(stack) as load:
        eventually("sound requests are served", lambda: load.served()[0] >= 30)
        for _ in range(8):
            ask("host-0")
        for host in stack.hosts:
            eventually(host + " refuses the request", lambda h=host: refused_wholes(h))
        expect("refused", refused_parts(stack, "host-0") - refused_wholes("host-0"), set())
        until_refused(stack, load)
        expect("refused whole requests", len(refused_wholes("host-0")), 1)
        expect("status", ask("host-1"), 503)
        since_ms = time.monotonic() * 1000
        load.wait_for("sound requests have been sent", 120, since_ms=since_ms)
    check(stack, load)


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}


if __name__ == "__main__":
    run(CASES)
