"""Small fakes for process tests: an upstream that breaks off at an exact byte,
and what the tests ask of answers and run counts."""
import os
import socket
import threading

from cluster import Cluster, call, wait_for

BUILD = os.environ.get("RILLKNOT_BUILD", "build")


def cluster(**kw):
    kw.setdefault("build", BUILD)
    return Cluster(**kw)


def small(**kw):
    """One failure domain, one entry node, one engine, one service."""
    kw.setdefault("domains", ["klein-hall"])
    kw.setdefault("entries", 1)
    kw.setdefault("engines", 1)
    return cluster(**kw)


class RawUpstream:
    """A plain service on a raw socket. behave(conn, read, n) handles the n-th
    connection; read(k) reads k bytes of the request, read() all of it. A request
    that was read whole counts as run, by its Idempotency-Key."""

    def __init__(self, behave):
        self.behave, self.seen, self.runs = behave, [], {}
        self.lock = threading.Lock()
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        n = 0
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._one, args=(conn, n), daemon=True).start()
            n += 1

    def _one(self, conn, n):
        def read(k=None):
            data = b""
            if k is not None:
                return conn.recv(k) if k else b""
            while b"\r\n\r\n" not in data:
                part = conn.recv(65536)
                if not part:
                    return data
                data += part
            head, body = data.split(b"\r\n\r\n", 1)
            fields = dict(x.lower().split(b": ", 1) for x in head.split(b"\r\n")[1:]
                          if b": " in x)
            want = int(fields.get(b"content-length", b"0"))
            while len(body) < want:
                body += conn.recv(65536)
            key = fields.get(b"idempotency-key", b"none").decode()
            with self.lock:
                self.seen.append(key)
                self.runs[key] = self.runs.get(key, 0) + 1
            return data
        try:
            self.behave(conn, read, n)
        except OSError:
            pass
        finally:
            conn.close()

    def close(self):
        self.sock.close()


OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def check_truth(answer, runs):
    """The verdict against the runs an upstream counted."""
    v = answer.verdict
    assert runs <= 1, "ran %d times" % runs
    assert v in ("not-run", "may-have-run", "ran"), (answer.status, answer.error, v)
    assert not (v == "not-run" and runs), ("said not-run, but it ran",
                                              answer.status, answer.body)
    assert not (v == "ran" and not runs), "said ran, but it did not"
    if not answer.whole():
        assert answer.status >= 400, answer.status


__all__ = ["BUILD", "cluster", "small", "RawUpstream", "OK_ANSWER", "check_truth",
           "wait_for"]


def spill_cluster(**kw):
    """Two failure domains; only the second has the service, so that calls of the
    first are forwarded."""
    c = cluster(domains=["klein-hall", "eros-hall"], entries=1, engines=0, services=0, **kw)
    c.add_service("eros-hall-s0", "eros-hall", args=["--work-ms", "1500"])
    c.wait_ready()
    a = c.entry("klein-hall-e0")
    # Its spare is told by gossip after its first call.
    call(c.entry("eros-hall-e0").port, "slots/find")
    wait_for(lambda: call(a.port, "slots/find").whole(), 30, "a forward to work")
    return c
