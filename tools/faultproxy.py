"""A TCP proxy on loopback that injects faults into the connections through it.

It delays data, holds it back in one direction or in both, limits its rate, drops long
messages, or resets connections. One thread serves all proxies.
"""
import collections
import selectors
import socket
import threading
import time

from hosted import reset

RECV_BYTES = 65536
MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # buffered for one direction; then reading stops
TICK_S = 0.01
MAX_BURST_S = 0.05  # a rate limit lets through this time's worth of bytes at once

# UP_ONLY passes only data to the target, DOWN_ONLY only data to the client.
PASS, SILENT, UP_ONLY, DOWN_ONLY, RESET = "pass", "silent", "up-only", "down-only", "reset"
QUEUE_FILLERS = 4  # more than the shortest queue of pending connections holds
FRAME_HEADER_BYTES = 4  # a message between nodes begins with its length, big endian


class FrameFilter:
    """Removes messages whose body is longer than limit bytes from a byte stream."""

    def __init__(self, limit):
        self.limit, self.buf = limit, b""
        self.remaining = 0  # bytes to come of the current message
        self.pass_frame = True
        self.dropped = 0

    def feed(self, data):
        """Return the bytes to pass on after this input."""
        out, self.buf = b"", self.buf + data
        while self.buf:
            if not self.remaining:
                if len(self.buf) < FRAME_HEADER_BYTES:
                    break
                body_len = int.from_bytes(self.buf[:FRAME_HEADER_BYTES], "big")
                self.remaining = FRAME_HEADER_BYTES + body_len
                self.pass_frame = body_len <= self.limit
                self.dropped += not self.pass_frame
            part, self.buf = self.buf[:self.remaining], self.buf[self.remaining:]
            self.remaining -= len(part)
            out += part if self.pass_frame else b""
        return out


class Direction:
    """The bytes buffered from one socket to the other; up: to the target."""

    def __init__(self, source, sink, up):
        self.source, self.sink, self.up = source, sink, up
        self.queue = []  # (time from which it may be sent, bytes); no bytes mean the end
        self.buffered = 0  # bytes in the queue
        self.eof = False
        self.filter = None  # FrameFilter


class Connection:
    """A client's connection and the proxy's own connection to the target."""

    def __init__(self, client, server):
        self.client, self.server = client, server
        self.directions = (Direction(client, server, True), Direction(server, client, False))


class Loop:
    """The thread that serves all proxies."""

    def __init__(self):
        # Only this thread uses selector and conns.
        self.selector = selectors.DefaultSelector()
        self.conns = {}  # Connection -> FaultProxy
        self.pending_calls = collections.deque()  # passed to call() by other threads
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            for key, _ in self.selector.select(TICK_S):
                try:
                    key.data()
                except OSError:
                    pass
            while self.pending_calls:
                self.pending_calls.popleft()()
            for conn, proxy in list(self.conns.items()):
                proxy.flush(conn)

    def call(self, function):
        """Run a function on the thread that serves the proxies."""
        self.pending_calls.append(function)

    def watch(self, sock, callback):
        """Call callback whenever the socket is readable."""
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, callback)

    def unwatch(self, sock):
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            pass


LOOP = None


def shared_loop():
    global LOOP
    if LOOP is None:
        LOOP = Loop()
    return LOOP


class FaultProxy:
    """A proxy on a port that the kernel chooses; target may be set later."""

    def __init__(self, target=None):
        self.target = target
        self.mode, self.delay_s = PASS, 0.0
        # Messages to the target with longer bodies are dropped, on connections that are
        # accepted from now on.
        self.frame_limit = None
        self.rate = None  # bytes/s to clients, over all connections; None: no limit
        self.passed = 0  # bytes sent to the target
        self.send_credit = 0.0  # bytes that rate allows now
        self.credit_time = time.monotonic()
        self.loop = shared_loop()
        self.reserved = self._bind(("127.0.0.1", 0))  # keeps the port while nothing listens
        self.address = self.reserved.getsockname()
        self.sock = self._bind(self.address)
        self.sock.listen(256)
        self.fillers = []  # connections that fill the queue of ignore_connects()
        self.addr = "127.0.0.1:%d" % self.address[1]
        self.loop.call(lambda: self.loop.watch(self.sock, self._accept))

    def set_fault(self, mode, delay_s=0.0):
        """Inject a fault: a mode, and a delay of the data read from now on."""
        self.mode, self.delay_s = mode, delay_s
        if mode == RESET:
            self.loop.call(self._reset)

    def clear_fault(self):
        """End the fault."""
        self.mode, self.delay_s = PASS, 0.0

    def refuse_connects(self):
        """Refuse new connections; established ones go on. Ends with accept_connects()."""
        self.loop.call(self._stop_listening)

    def ignore_connects(self):
        """Leave connects unanswered; established connections go on.

        The queue of pending connections is filled, so that the kernel drops the opening
        packets of others. Ends with accept_connects().
        """
        self.loop.call(self._fill_queue)

    def accept_connects(self):
        """Accept connections again."""
        self.loop.call(self._listen)

    def _stop_listening(self):
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _fill_queue(self):
        self.loop.unwatch(self.sock)
        self.sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def _listen(self):
        self._stop_listening()
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.sock = self._bind(self.address)
        self.sock.listen(256)
        self.loop.watch(self.sock, self._accept)

    @staticmethod
    def _bind(address):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        return sock

    def close(self):
        self.loop.call(self._close)

    def _close(self):
        self._stop_listening()
        self.reserved.close()
        self._reset()

    def _reset(self):
        for conn in [c for c, proxy in self.loop.conns.items() if proxy is self]:
            self._end(conn, abort=True)

    def _accept(self):
        client, _ = self.sock.accept()
        if self.mode == RESET or self.target is None:
            reset(client)
            return
        host, port = self.target.rsplit(":", 1)
        server = socket.socket()
        try:
            server.connect((host, int(port)))
        except OSError:
            reset(client)
            return
        conn = Connection(client, server)
        if self.frame_limit is not None:
            conn.directions[0].filter = FrameFilter(self.frame_limit)
        self.loop.conns[conn] = self
        for direction in conn.directions:
            self.loop.watch(direction.source, lambda d=direction, c=conn: self._read(c, d))

    def _read(self, conn, direction):
        if direction.buffered > MAX_BUFFERED_BYTES or direction.eof:
            return
        try:
            data = direction.source.recv(RECV_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._end(conn, abort=True)
            return
        if not data:
            direction.eof = True
            self.loop.unwatch(direction.source)
        elif direction.filter:
            data = direction.filter.feed(data)
            if not data:
                return
        direction.queue.append((time.monotonic() + self.delay_s, data))
        direction.buffered += len(data)

    def _blocked(self, direction):
        return self.mode == SILENT or (self.mode == UP_ONLY and not direction.up) or \
            (self.mode == DOWN_ONLY and direction.up)

    def _allowed_bytes(self, direction, size):
        """Return how many of size bytes may be sent now."""
        if self.rate is None or direction.up:
            return size
        now = time.monotonic()
        earned = (now - self.credit_time) * self.rate
        self.send_credit = min(self.send_credit + earned, self.rate * MAX_BURST_S)
        self.credit_time = now
        return min(size, int(self.send_credit))

    def flush(self, conn):
        """Send the buffered data that may be sent now."""
        now = time.monotonic()
        for direction in conn.directions:
            while (direction.queue and direction.queue[0][0] <= now
                   and not self._blocked(direction)):
                data = direction.queue[0][1]
                if not self._send(conn, direction, data):
                    break

    def _send(self, conn, direction, data):
        """Send the first item of the queue; return whether to go on with the next one."""
        try:
            if not data:
                direction.queue.pop(0)
                direction.sink.shutdown(socket.SHUT_WR)
                if all(d.eof and not d.queue for d in conn.directions):
                    self._end(conn)
                return False
            allowed = self._allowed_bytes(direction, len(data))
            if not allowed:
                return False
            sent = direction.sink.send(data[:allowed])
        except BlockingIOError:
            return False
        except OSError:
            self._end(conn, abort=True)
            return False
        if direction.up:
            self.passed += sent
        elif self.rate is not None:
            self.send_credit -= sent
        direction.buffered -= sent
        if sent < len(data):
            direction.queue[0] = (direction.queue[0][0], data[sent:])
            return False
        direction.queue.pop(0)
        return True

    def _end(self, conn, abort=False):
        """Close both sides of a connection, with a reset if abort is set."""
        if self.loop.conns.pop(conn, None) is None:
            return
        for sock in (conn.client, conn.server):
            self.loop.unwatch(sock)
            if abort:
                reset(sock)
            else:
                sock.close()
