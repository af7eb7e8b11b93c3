"""What the users count of endpoints that ask for rest or leave, from what callers and the endpoints saw."""

HEARD_S = 0.5   # after an endpoint has asked a host for rest, until the host is bound
AT_MOST = 2     # requests of that host that may reach the endpoint from then to the end of the rest


def host_of(request):
    return request.rsplit("-", 1)[0]


def rests(heard, rest_s):
    """(endpoint, host, seconds of the answer) of each rest that was asked for."""
    return [(a["endpoint"], host_of(a["request"]), a["ms"] / 1000.0) for a in heard if a["answer"] == "rest"]


def most_within(heard, rest_s, counts=lambda host, since, until: True):
    """The most requests of one host that reached an endpoint within a rest, and which host and endpoint.
    counts: whether a host is bound in that time."""
    arrivals = [(a["endpoint"], host_of(a["request"]), a["ms"] / 1000.0) for a in heard if a["answer"] != "call"]
    most = (0, None, None)
    for endpoint, host, at in rests(heard, rest_s):
        if not counts(host, at, at + rest_s):
            continue
        got = sum(1 for e, h, t in arrivals if (e, h) == (endpoint, host) and at + HEARD_S <= t < at + rest_s)
        most = max(most, (got, host, endpoint), key=lambda x: x[0])
    return most


def late_at_leaving(heard, endpoint, sent, told, drain_s):
    """Requests that reached the endpoint though their callers sent them later than drain_s after their host had
    passed on that it leaves. sent: request -> seconds; told: host -> seconds."""
    return [a["request"] for a in heard if a["endpoint"] == endpoint and a["answer"] != "call" and
            host_of(a["request"]) in told and
            sent.get(a["request"], 0) > told[host_of(a["request"])] + drain_s]
