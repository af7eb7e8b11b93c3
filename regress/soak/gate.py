"""Gates: TCP proxies on loopback that cut single hosts off from an endpoint. They tell hosts apart by the address
that their connections come from ([host] source)."""
import ctypes
import errno
import socket
import struct
import time

from proxy import Proxy

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
SOURCE_OFFSET = 0xFFF00000 + 12     # of the source address in the IP header, in socket filters
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
KEEP_ALL, DROP = 0xFFFFFFFF, 0
HELD_POLL_S = 0.02      # interval at which a held connection looks whether it goes on, in seconds

CUTS = ("hang", "accept", "reset", "refuse")


def drop_packets(sock, sources):
    """Makes the kernel drop the packets to the socket that come from these addresses. A socket that has just been
    closed is left alone."""
    ops = [(LOAD_WORD, 0, 0, SOURCE_OFFSET)]
    for i, source in enumerate(sources):
        ops.append((JUMP_IF_EQUAL, len(sources) - i, 0, struct.unpack("!I", socket.inet_aton(source))[0]))
    ops += [(RETURN, 0, 0, KEEP_ALL), (RETURN, 0, 0, DROP)]
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *op) for op in ops))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", len(ops), ctypes.addressof(code)))
    except OSError as error:
        if error.errno != errno.EBADF:
            raise


def keep_packets(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    except OSError:
        pass    # no filter was attached


def cut_at_once(gates, sources, how):
    """Cuts all gates. Before the first open connection is reset, no gate lets a new one through: hosts that still reach
    some endpoints through others would rightly take the first ones for dead."""
    for gate in gates:
        gate.begin_cut(sources, how)
    for gate in gates:
        gate.cut_open()


class Gate(Proxy):
    """A proxy that is cut for some hosts. Kinds of cuts: hang (packets are lost, so new connections are never made
    and open ones pass nothing); accept (connections are made and open ones stay, but pass nothing); reset (open
    connections are reset, new ones are reset as soon as they are made); refuse (new connections are reset, open
    ones go on)."""

    def __init__(self, port, target):
        self.cut_sources, self.how = frozenset(), None
        super().__init__(port, target)

    def listen(self):
        super().listen()
        if self.how == "hang":
            drop_packets(self.listener, sorted(self.cut_sources))

    def begin_cut(self, sources, how):
        """Cuts the hosts with these addresses off, but for the connections that are open."""
        self.cut_sources, self.how = frozenset(sources), how

    def cut_open(self):
        """Cuts the open connections."""
        with self.lock:
            pairs = list(self.pairs)
        if self.how == "hang":
            drop_packets(self.listener, sorted(self.cut_sources))
        for near, far in pairs:
            if not self.is_cut(near):
                continue
            if self.how == "hang":
                drop_packets(near, sorted(self.cut_sources))
            if self.how == "reset":
                self.reset_connection(near)
                self.reset_connection(far)

    def mend(self):
        self.cut_sources, self.how = frozenset(), None
        keep_packets(self.listener)
        with self.lock:
            for near, _ in self.pairs:
                keep_packets(near)

    def is_cut(self, near):
        try:
            return near.getpeername()[0] in self.cut_sources
        except OSError:
            return True

    def forward(self, near):
        if self.is_cut(near) and self.how in ("reset", "refuse"):
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            near.close()
            return
        while self.open and self.how == "accept" and self.is_cut(near):
            time.sleep(HELD_POLL_S)
        super().forward(near)

    def resets(self, near):
        return self.how == "reset" and self.is_cut(near)

    def holds(self, near):
        return self.how in ("hang", "accept") and self.is_cut(near)
