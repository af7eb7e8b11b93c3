"""A TCP proxy on loopback that injects network faults."""
import select
import socket
import threading
import time

MODES = ("pass", "delay", "refuse", "silent", "deaf", "reset", "away")


class Proxy:
    """Forwards connections to one port to another port. Modes: pass (forwards everything); delay (delays each
    chunk of data by DELAY_S); refuse (resets open and new connections); silent (keeps connections open but
    forwards no data); deaf (drops the data from the target, forwards the data to it); reset (resets the
    open connections once, then acts as pass); away (resets the open connections and closes the listening
    socket)."""

    DELAY_S = 0.3   # delay of each chunk in mode delay, in seconds

    def __init__(self, port, target):
        self.target = target
        self.mode = "pass"
        self.port = port
        self.pairs = set()
        self.lock = threading.Lock()
        self.open = True
        self.listen()

    def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(128)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def set(self, mode):
        before, self.mode = self.mode, "pass" if mode == "reset" else mode
        if mode == "away":
            self.reset_connection(self.listener)
            self.listener.close()
        elif before == "away":
            self.listen()
        if mode in ("reset", "refuse", "away"):
            with self.lock:
                pairs = list(self.pairs)
            for pair in pairs:
                for sock in pair:
                    self.reset_connection(sock)

    @staticmethod
    def reset_connection(sock):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def accept(self, listener):
        while self.open:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            if self.mode == "refuse":
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                near.close()
                continue
            threading.Thread(target=self.forward, args=(near,), daemon=True).start()

    def forward(self, near):
        try:
            far = socket.create_connection(("127.0.0.1", self.target), timeout=5)
        except OSError:
            near.close()
            return
        pair = (near, far)
        with self.lock:
            self.pairs.add(pair)
        # A connection that was accepted just before the mode changed was not yet in self.pairs and thus not reset.
        if self.resets(near):
            self.reset_connection(near)
            self.reset_connection(far)
        try:
            self.pump(near, far)
        except OSError:
            pass
        with self.lock:
            self.pairs.discard(pair)
        near.close()
        far.close()

    def pump(self, near, far):
        while self.open:
            ready, _, _ = select.select([near, far], [], [], 0.2)
            for sock in ready:
                if self.mode == "silent" or self.holds(near):
                    time.sleep(0.05)
                    continue
                data = sock.recv(65536)
                if not data:
                    return
                if self.mode == "deaf" and sock is far:
                    continue
                if self.mode == "delay":
                    time.sleep(self.DELAY_S)
                (far if sock is near else near).sendall(data if sock is near else self.alter(data))

    def alter(self, data):
        """Returns what is passed on in place of this data of the target."""
        return data

    def resets(self, _near):
        """Whether open connections like this one have been reset."""
        return self.mode in ("refuse", "away")

    def holds(self, _near):
        """Whether this connection is kept open but passes nothing now."""
        return False

    def close(self):
        self.open = False
        self.reset_connection(self.listener)
        self.listener.close()


def request_id_of(head):
    """Returns the id of the request with that head."""
    return head.split(b"Request-Id: ")[1].split(b"\r\n")[0]


def before_plain_endpoints(stack, proxy_class):
    """Puts a proxy of this class before each plain endpoint, which its entry names in its place; returns the proxies. To
    be called before the stack is started."""
    proxies = []
    for i, point in enumerate(stack.points):
        if point[4] == "-":
            stack.known_as[point[0]] = stack.base + 60 + i
            proxies.append(proxy_class(stack.base + 60 + i, point[1]))
    return proxies
