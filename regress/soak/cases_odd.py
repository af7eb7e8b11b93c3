"""Test cases for requests and answers of odd bytes: python3 regress/soak/cases_odd.py NAME. Each docstring names the
failure that the case guards against."""
import sys

from cases import expect, run
from cases_lost import WHOLE, Connection, ask_once, request_bytes
from stack import Failure, check_stream


def ask(stack, host, path, request_id, **headers):
    """Sends a request on a connection of its own; returns what the caller got, the status and the body."""
    conn = Connection(stack.port(host, "front"))
    conn.send(request_bytes(path, request_id, close=True, **headers))
    got, status, _, body = conn.read_answer()
    conn.close()
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


CASES = {name[5:]: fn for name, fn in globals().items() if name.startswith("case_")}

if __name__ == "__main__":
    run(CASES)
