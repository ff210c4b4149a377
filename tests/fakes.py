"""Helpers of the process tests: clusters of common shapes, an upstream that closes
a connection at an exact byte, and the check of a verdict against run counts."""
import contextlib
import json
import os
import socket
import subprocess
import tempfile
import threading

from cluster import Cluster, call, free_port, wait_for

BUILD = os.environ.get("RILLKNOT_BUILD", "build")


def cluster(**kw):
    """Returns a Cluster of the build under test."""
    kw.setdefault("build", BUILD)
    return Cluster(**kw)


def small_cluster(**kw):
    """Returns a cluster of one failure domain, entry node, engine and service."""
    kw.setdefault("domains", ["klein-hall"])
    kw.setdefault("entries", 1)
    kw.setdefault("engines", 1)
    return cluster(**kw)


def write_lone_process_file(folder):
    """Writes the process file of an entry node or a keeper that reaches no platform and no
    peers. Returns its path."""
    conf = {"id": "a", "failure_domain": "klein-hall", "notice_ms": 2000, "peers": []}
    for name in ("listen", "control_listen", "forward_listen", "entry"):
        conf[name] = "127.0.0.1:%d" % free_port()
    conf["platform"] = "http://127.0.0.1:%d" % free_port()
    path = os.path.join(folder, "conf.json")
    with open(path, "w") as f:
        json.dump(conf, f)
    return path


# A library whose function for the exit takes longer than any grace period here.
SLOW_EXIT = """
#include <unistd.h>
__attribute__((destructor)) static void wait_long(void) { sleep(60); }
"""


@contextlib.contextmanager
def preloaded(source, **variables):
    """Processes that are started meanwhile run with a library and environment variables."""
    with tempfile.TemporaryDirectory() as folder:
        library = os.path.join(folder, "preloaded.so")
        subprocess.run(["cc", "-shared", "-fPIC", "-x", "c", "-", "-o", library], check=True,
                       input=source.encode())
        variables["LD_PRELOAD"] = library
        # A library that doesn't come first ends a process of the address sanitizer's build.
        variables["ASAN_OPTIONS"] = "verify_asan_link_order=0"
        before = {name: os.environ.get(name) for name in variables}
        os.environ.update(variables)
        try:
            yield
        finally:
            for name, value in before.items():
                if value is None:
                    del os.environ[name]
                else:
                    os.environ[name] = value


def slow_exits():
    """Processes that are started meanwhile have a library that delays exit().

    It stands for libraries whose code is not in memory when they are to run it.
    """
    return preloaded(SLOW_EXIT)


# Sets the clocks of a process at its start; NTP sets the wall clock right after a time.
SHIFTED_CLOCKS = """
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>
static long long uptime_shift_s, wall_shift_s, wall_right_at_s = -1;
static long long read_s(clockid_t id)
{
    struct timespec ts;
    syscall(SYS_clock_gettime, id, &ts);
    return ts.tv_sec;
}
__attribute__((constructor)) static void set_clocks(void)
{
    const char *uptime = getenv("UPTIME_S"), *wall = getenv("WALL_S"),
               *right = getenv("WALL_RIGHT_AFTER_S");
    if (uptime)
        uptime_shift_s = atoll(uptime) - read_s(CLOCK_BOOTTIME);
    if (wall)
        wall_shift_s = atoll(wall) - read_s(CLOCK_REALTIME);
    if (right)
        wall_right_at_s = read_s(CLOCK_BOOTTIME) + atoll(right);
}
int clock_gettime(clockid_t id, struct timespec *ts)
{
    int result = syscall(SYS_clock_gettime, id, ts);
    if (result)
        return result;
    if (id == CLOCK_MONOTONIC || id == CLOCK_BOOTTIME)
        ts->tv_sec += uptime_shift_s;
    if (id == CLOCK_REALTIME && (wall_right_at_s < 0 || read_s(CLOCK_BOOTTIME) < wall_right_at_s))
        ts->tv_sec += wall_shift_s;
    return 0;
}
"""


def shifted_clocks(**clocks):
    """Processes that are started meanwhile have shifted clocks, in seconds: uptime_s of the
    machine and wall_s since 1970 at their start, wall_right_after_s until the latter is right."""
    return preloaded(SHIFTED_CLOCKS, **{name.upper(): str(s) for name, s in clocks.items()})


class RawUpstream:
    """A plain service on a raw socket. behave(conn, read, n) handles the n-th
    connection, counted from 0. read(k) reads up to k bytes of the request, read() all
    of it. A request that read() received in full counts as run, under its
    Idempotency-Key."""

    def __init__(self, behave):
        self.behave, self.received_keys, self.runs = behave, [], {}
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
            threading.Thread(target=self._handle, args=(conn, n), daemon=True).start()
            n += 1

    def _handle(self, conn, n):
        def read(k=None):
            data = b""
            if k is not None:
                return conn.recv(k) if k else b""
            while b"\r\n\r\n" not in data:
                chunk = conn.recv(65536)
                if not chunk:
                    return data
                data += chunk
            head, body = data.split(b"\r\n\r\n", 1)
            fields = dict(x.lower().split(b": ", 1) for x in head.split(b"\r\n")[1:]
                          if b": " in x)
            body_length = int(fields.get(b"content-length", b"0"))
            while len(body) < body_length:
                body += conn.recv(65536)
            key = fields.get(b"idempotency-key", b"none").decode()
            with self.lock:
                self.received_keys.append(key)
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


def check_verdict(answer, runs):
    """Checks an answer's verdict against the number of runs its upstream counted, and
    that an incomplete answer has an error status."""
    v = answer.verdict
    assert runs <= 1, "ran %d times" % runs
    assert v in ("not-run", "may-have-run", "ran"), (answer.status, answer.error, v)
    assert not (v == "not-run" and runs), ("verdict not-run, but it ran",
                                              answer.status, answer.body)
    assert not (v == "ran" and not runs), "verdict ran, but it did not run"
    if not answer.whole():
        assert answer.status >= 400, answer.status


__all__ = ["BUILD", "cluster", "small_cluster", "RawUpstream", "OK_ANSWER", "check_verdict",
           "wait_for"]


def forwarding_cluster(warm=True, **kw):
    """Returns a cluster of two failure domains of which only eros-hall has the service,
    so that the entry node of klein-hall forwards its calls.

    warm: it has forwarded one already.
    """
    c = cluster(domains=["klein-hall", "eros-hall"], entries=1, engines=0, services=0, **kw)
    c.add_service("eros-hall-s0", "eros-hall", args=["--work-ms", "1500"])
    c.wait_ready()
    a = c.entry("klein-hall-e0")
    # eros-hall-e0 advertises spare capacity by gossip only after its first call.
    call(c.entry("eros-hall-e0").port, "slots/find")
    if warm:
        wait_for(lambda: call(a.port, "slots/find").whole(), 30, "a forwarded call to succeed")
    return c
