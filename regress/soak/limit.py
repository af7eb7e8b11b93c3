"""What the users count of an endpoint that names a limit, from what callers and the endpoint saw."""

STABLE_S = 3.0      # after an endpoint first names its limit, until it holds
WINDOW_S = 4.0      # of which none may have more
OVER = 1.5          # times what the limit allows in a window
SLACK = 5           # requests in a window, beside
TOLD_S = 0.5        # after a host has passed on an answer that names the limit, until it is bound


class Period:
    """From when, and until when, an endpoint names a limit."""

    def __init__(self, endpoint, rate, began):
        self.endpoint, self.rate, self.began, self.ended = endpoint, rate, began, None

    def end(self, endpoint, now):
        if endpoint == self.endpoint and self.ended is None:
            self.ended = now

    def has(self, at):
        return at >= self.began and (self.ended is None or at <= self.ended)


def most_over(period, limited, sent, told):
    """(most requests in a window, how many are allowed).

    limited: what the endpoints saw while they named limits; sent: request -> (host, whether it counts);
    told: request -> when its answer, which named a limit, had come to the caller."""
    came = [(a["ms"] / 1000.0, a["request"]) for a in limited
            if a["endpoint"] == period.endpoint and period.has(a["ms"] / 1000.0)]
    heard = {}
    for _, request in came:
        if request in told and request in sent:
            host = sent[request][0]
            heard[host] = min(heard.get(host, told[request]), told[request])
    counted = [at for at, request in came
               if request in sent and sent[request][1] and
               at >= heard.get(sent[request][0], at) + TOLD_S]
    first = min((at for at, _ in came), default=0)
    most = max((sum(1 for at in counted if end - WINDOW_S < at <= end) for end in counted
                if end >= first + STABLE_S), default=0)
    return most, int(OVER * period.rate * WINDOW_S + SLACK)
