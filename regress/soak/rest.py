"""What the users count of endpoints that ask for rest or leave, from what callers and the endpoints saw."""

HEARD_S = 0.5   # after an endpoint has asked a host for rest, until the host is bound
AT_MOST = 2     # requests of that host that may reach the endpoint from then to the end of the rest


def host_of(request):
    return request.rsplit("-", 1)[0]


def rests(heard):
    """(endpoint, request, seconds of the answer) of each rest that was asked for."""
    return [(a["endpoint"], a["request"], a["ms"] / 1000.0) for a in heard if a["answer"] == "rest"]


def most_within(heard, rest_s, host_of=host_of, is_bound=lambda host, endpoint, since, until: True):
    """The most requests of one host that reached an endpoint within a rest, and which host and endpoint.

    rest_s: seconds that the endpoint asks for, or endpoint and time -> seconds."""
    seconds = rest_s if callable(rest_s) else lambda endpoint, at: rest_s
    arrivals = [(a["endpoint"], host_of(a["request"]), a["ms"] / 1000.0) for a in heard if a["answer"] != "call"]
    most = (0, None, None)
    for endpoint, request, at in rests(heard):
        host, until = host_of(request), at + seconds(endpoint, at)
        if host is None or not is_bound(host, endpoint, at, until):
            continue
        got = sum(1 for e, h, t in arrivals if (e, h) == (endpoint, host) and at + HEARD_S <= t < until)
        most = max(most, (got, host, endpoint), key=lambda x: x[0])
    return most


def late_at_leaving(heard, endpoint, sent, told, drain_s, host_of=host_of,
                    is_bound=lambda host, endpoint, since, until: True):
    """Requests that reached the endpoint though their callers sent them later than drain_s after their host had
    passed on that it leaves. sent: request -> seconds; told: host -> seconds."""
    late = []
    for arrival in heard:
        request = arrival["request"]
        host = host_of(request) if arrival["answer"] != "call" else None
        if arrival["endpoint"] != endpoint or host not in told or request not in sent:
            continue
        if sent[request] > told[host] + drain_s and is_bound(host, endpoint, told[host], sent[request]):
            late.append(request)
    return late
