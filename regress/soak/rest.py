"""Checks of endpoints that ask for a rest (reject with Retry-After) or leave, from the records of the callers
and of the endpoints."""

# Time after an endpoint asks a host for a rest until the host must respect the rest, in seconds.
REST_NOTICE_S = 0.5
# Maximum number of requests of one host that may reach the endpoint from then to the end of the rest.
REST_REQUESTS_MAX = 2


def host_of(request):
    return request.rsplit("-", 1)[0]


def rests(calls):
    """Returns (endpoint, request, time of the answer in seconds) for each request that was answered with a rest."""
    return [(a["endpoint"], a["request"], a["ms"] / 1000.0) for a in calls if a["answer"] == "rest"]


def max_during_rest(calls, rest_s, host_of=host_of, is_bound=lambda host, endpoint, since, until: True):
    """Returns (largest number of requests of one host that reached an endpoint during a rest, host, endpoint).

    rest_s: length of each rest in seconds, or a function (endpoint, time) -> length in seconds."""
    seconds = rest_s if callable(rest_s) else lambda endpoint, at: rest_s
    arrivals = [(a["endpoint"], host_of(a["request"]), a["ms"] / 1000.0) for a in calls if a["answer"] != "call"]
    most = (0, None, None)
    for endpoint, request, at in rests(calls):
        host, until = host_of(request), at + seconds(endpoint, at)
        if host is None or not is_bound(host, endpoint, at, until):
            continue
        got = sum(1 for e, h, t in arrivals if (e, h) == (endpoint, host) and at + REST_NOTICE_S <= t < until)
        most = max(most, (got, host, endpoint), key=lambda x: x[0])
    return most


def sent_after_drain(calls, endpoint, sent, told_at, drain_s, host_of=host_of,
                    is_bound=lambda host, endpoint, since, until: True):
    """Returns the requests that reached the endpoint although their callers sent them more than drain_s seconds
    after their host had forwarded the announcement that the endpoint is leaving. sent: request -> time in
    seconds; told_at: host -> time of the first such forwarded announcement, in seconds."""
    late = []
    for arrival in calls:
        request = arrival["request"]
        host = host_of(request) if arrival["answer"] != "call" else None
        if arrival["endpoint"] != endpoint or host not in told_at or request not in sent:
            continue
        if sent[request] > told_at[host] + drain_s and is_bound(host, endpoint, told_at[host], sent[request]):
            late.append(request)
    return late
