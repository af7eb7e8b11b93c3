"""Check of the rate limits that endpoints announce, from the records of the callers and of the endpoint."""

# Time after an endpoint first announces its limit until the limit must be kept, in seconds.
STABLE_S = 3.0
WINDOW_S = 4.0      # length of the sliding window in which requests are counted, in seconds
TOLERANCE = 1.5     # tolerated multiple of the number of requests that the limit allows in a window
SLACK = 5           # number of further requests tolerated in a window
# Time after a host forwards an answer that announces the limit until the host must keep it, in seconds.
NOTICE_S = 0.5


class Period:
    """Period in which an endpoint announces a limit: rate in requests per second, start and end in seconds."""

    def __init__(self, endpoint, rate, began):
        self.endpoint, self.rate, self.began, self.ended = endpoint, rate, began, None

    def end(self, endpoint, now):
        if endpoint == self.endpoint and self.ended is None:
            self.ended = now

    def has(self, at):
        return at >= self.began and (self.ended is None or at <= self.ended)


def max_in_window(period, limited, sent, told_at):
    """Returns (largest number of requests in a window, number allowed).

    limited: arrivals at endpoints while they announced limits; sent: request -> (host, whether the request
    counts); told_at: request -> time at which its answer, which announced a limit, reached the caller."""
    arrivals = [(a["ms"] / 1000.0, a["request"]) for a in limited
            if a["endpoint"] == period.endpoint and period.has(a["ms"] / 1000.0)]
    first_told = {}
    for _, request in arrivals:
        if request in told_at and request in sent:
            host = sent[request][0]
            first_told[host] = min(first_told.get(host, told_at[request]), told_at[request])
    counted = [at for at, request in arrivals
               if request in sent and sent[request][1] and
               at >= first_told.get(sent[request][0], at) + NOTICE_S]
    first = min((at for at, _ in arrivals), default=0)
    most = max((sum(1 for at in counted if end - WINDOW_S < at <= end) for end in counted
                if end >= first + STABLE_S), default=0)
    return most, int(TOLERANCE * period.rate * WINDOW_S + SLACK)
