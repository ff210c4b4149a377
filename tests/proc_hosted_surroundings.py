"""A node serves in whatever surroundings it is started, or ends at once and says why: limits
of the system, outputs that take nothing, signals and pauses. It never ends later by itself,
hangs or spins."""
import concurrent.futures
import json
import os
import random
import re
import resource
import signal
import subprocess
import tempfile
import time

from cluster import free_port
from fakes import BUILD, preloaded, write_lone_process_file
from hosted import Hosted, http, wait_until
from proc_hosted_fleet import fleet
from proc_hosted_start import Start, process_file

SEED = 20261204
COMBINATIONS = 12
PARALLEL = 6
SERVE_S = 15  # time for a node to serve or to end
HOLD_S = 1.0
STOP_S = 12  # the platform's notice and a margin
BUSY_SHARE = 0.7  # of a core, of a node with a few calls
IDLE_SHARE = 0.1  # of a core, of a node without any
LOG_ROOM_BYTES = 2000
TEXT_CHARS = 1500  # of a log, in a failure
SMALL_BYTES = 120 << 20
SMALL_STACK, LARGE_STACK = 64 << 10, 1 << 30
FEW_DESCRIPTORS = 64
FEWEST_VARIABLES = ("PATH", "HOME", "LANG")
IS_SANITIZED = "address" in BUILD or "thread" in BUILD

INF = resource.RLIM_INFINITY
LIMITS = {
    "fsize": (resource.RLIMIT_FSIZE, LOG_ROOM_BYTES, LOG_ROOM_BYTES),
    "stack": (resource.RLIMIT_STACK, SMALL_STACK, SMALL_STACK),
    "stack-soft": (resource.RLIMIT_STACK, SMALL_STACK, INF),
    "stack-large": (resource.RLIMIT_STACK, LARGE_STACK, INF),
    "stack-unlimited": (resource.RLIMIT_STACK, INF, INF),
    "nofile": (resource.RLIMIT_NOFILE, FEW_DESCRIPTORS, FEW_DESCRIPTORS),
    "memlock": (resource.RLIMIT_MEMLOCK, 0, 0),
    "core": (resource.RLIMIT_CORE, 0, 0),
    "nproc": (resource.RLIMIT_NPROC, 1, 1),  # of no effect for root
    "as": (resource.RLIMIT_AS, SMALL_BYTES, SMALL_BYTES),
    "data": (resource.RLIMIT_DATA, SMALL_BYTES, SMALL_BYTES),
}
SIZE_LIMITS = ("as", "data", "stack")  # the sanitizers need more
OUTPUTS = ("file", "closed", "full-device", "full-pipe", "broken-pipe", "full-terminal")


def fill(fd):
    os.set_blocking(fd, False)
    for block in (b"x" * 1024, b"\n"):
        try:
            while True:
                os.write(fd, block)
        except BlockingIOError:
            pass
    os.set_blocking(fd, True)


class Output:
    """A standard output or error of a process; text() is what could be read of it."""

    def __init__(self, kind, path):
        self.kind, self.path = kind, path
        self.reader = None  # our end of a pipe or terminal
        if kind == "full-device":
            self.fd = os.open("/dev/full", os.O_WRONLY)
        elif kind in ("full-pipe", "broken-pipe"):
            self.reader, self.fd = os.pipe()
        elif kind == "full-terminal":
            self.reader, self.fd = os.openpty()
        else:
            self.fd = os.open(path, os.O_CREAT | os.O_RDWR | os.O_APPEND)
        if kind in ("full-pipe", "full-terminal"):
            fill(self.fd)
        if kind == "full-terminal":
            os.read(self.reader, 700)  # less than a line of the log, or than a block of lines

    def break_pipe(self):
        if self.kind == "broken-pipe":
            os.close(self.reader)
            self.reader = None

    def text(self):
        if self.kind != "file":
            return None
        with open(self.path) as f:
            return f.read()

    def close(self):
        for fd in (self.fd, self.reader):
            if fd is not None:
                os.close(fd)


def proc_cpu_s(popen):
    """Return the processor time of a process."""
    with open("/proc/%d/stat" % popen.pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Node:
    """A node at addresses of its own in surroundings: names of LIMITS, and stdout, stderr,
    stdin (one of OUTPUTS or closed), env, cwd, batch, preload."""

    def __init__(self, d, limits=(), stdout="file", stderr="file", **more):
        self.front, self.ready = free_port(), free_port()
        conf = dict(process_file(d), id="surrounded-%d" % next(d.ids))
        conf.update({"listen": "127.0.0.1:%d" % self.front, "control_listen": "127.0.0.1:0",
                     "ready_listen": "127.0.0.1:%d" % self.ready})
        start = Start(d, json.dumps(conf), conf["id"])
        self.d, self.limits, self.more = d, limits, more
        self.out = Output(stdout, start.path + ".out")
        self.err = Output(stderr, start.path + ".err")
        env = dict(os.environ)
        if more.get("env"):
            env = {k: v for k, v in env.items() if k in FEWEST_VARIABLES}
        if more.get("preload"):
            env["LD_PRELOAD"] = more["preload"]
        command = [os.path.abspath(start.command[0]), start.path]
        self.popen = subprocess.Popen(command, env=env, cwd="/proc" if more.get("cwd") else None,
                                      preexec_fn=self._surround, close_fds=False)

    def _surround(self):
        for number, output in ((1, self.out), (2, self.err)):
            os.dup2(output.fd, number)
            if output.kind == "closed":
                os.close(number)
        if self.more.get("stdin") == "closed":
            os.close(0)
        os.closerange(3, 1000)
        if self.more.get("batch"):
            os.sched_setscheduler(0, os.SCHED_BATCH, os.sched_param(0))
        for name in self.limits:
            kind, soft, hard = LIMITS[name]
            resource.setrlimit(kind, (soft, hard))

    def call(self):
        """Return the status of a call, 0 if the node isn't reached."""
        try:
            return http(self.front, "POST", "/r/x", (
                ("Host", "api.example"), ("X-Api-Key", "key-1"),
                ("Rillknot-Attempt-Id", "%016x" % next(self.d.ids)),
                ("Rillknot-Deadline-Ms", "3000")), b"x", 5).status
        except OSError:
            return 0

    def cpu_s(self):
        return proc_cpu_s(self.popen)

    def check_serves_or_says_why(self):
        """Return whether the node serves; fail if it ended without a reason, or hangs."""
        end = time.monotonic() + SERVE_S
        while self.call() != 200:
            status = self.popen.poll()
            if status is not None:
                assert status in (1, 2), "ended with %d: %s" % (status, self.texts())
                texts = self.texts()
                if texts:
                    assert "rillknot-node:" in texts or "start_failed" in texts, texts
                return False
            assert time.monotonic() < end, "neither serves nor ends: %s" % self.texts()
            time.sleep(0.05)
        return True

    def check_goes_on(self, seconds=HOLD_S):
        """Check that a node which served goes on, beside signals to read its file again, and
        isn't busy."""
        cpu, begin = self.cpu_s(), time.monotonic()
        for output in (self.out, self.err):
            output.break_pipe()
        while time.monotonic() - begin < seconds:
            self.popen.send_signal(signal.SIGHUP)
            status = self.call()
            assert status == 200, (status, self.popen.poll(), self.texts())
            time.sleep(0.02)
        busy = (self.cpu_s() - cpu) / (time.monotonic() - begin)
        assert IS_SANITIZED or busy < BUSY_SHARE, "%.2f of a core" % busy

    def blocks_reload(self):
        with open("/proc/%d/status" % self.popen.pid) as f:
            blocked = re.search(r"SigBlk:\s*(\w+)", f.read())
        return int(blocked.group(1), 16) & 1 << (signal.SIGHUP - 1)

    def check_stops(self):
        self.popen.send_signal(signal.SIGTERM)
        try:
            status = self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired as e:
            raise AssertionError("the stop hangs: %s" % self.texts()) from e
        assert status == 0, (status, self.texts())

    def texts(self):
        return "".join(t[-TEXT_CHARS:] for t in (self.out.text(), self.err.text()) if t)

    def close(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        self.out.close()
        self.err.close()


def deployment():
    """Return a deployment of one more node, with a route to a plain service."""
    d = Hosted(nodes=1)
    d.start()
    d.add_worker("plain")
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


def check(d, **surroundings):
    """Run a node's life in these surroundings; return whether it served, or raise."""
    node = Node(d, **surroundings)
    try:
        if not node.check_serves_or_says_why():
            return False
        node.check_goes_on()
        node.check_stops()
        return True
    except AssertionError as e:
        raise AssertionError("%s: %s" % (surroundings, e)) from e
    finally:
        node.close()


# Fails two of so many additions to epoll sets, or all within some time of the process's start.
FAILING_EPOLL = """
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <time.h>
static time_t started;
__attribute__((constructor)) static void start(void) { started = time(NULL); }
int epoll_ctl(int set, int op, int fd, struct epoll_event *event)
{
    static int (*next)(int, int, int, struct epoll_event *);
    static int calls;
    if (!next)
        next = dlsym(RTLD_NEXT, "epoll_ctl");
    if (op == EPOLL_CTL_ADD && (time(NULL) - started < atoi(getenv("EPOLL_FULL_S")) ||
                                __atomic_add_fetch(&calls, 1, __ATOMIC_RELAXED) %
                                        atoi(getenv("EPOLL_FAILS_EACH")) < 2)) {
        errno = ENOSPC;
        return -1;
    }
    return next(set, op, fd, event);
}
"""


def test_nodes_serve_where_the_kernel_has_no_room_for_epoll_watches():
    """Guards against listeners, connections and wake-ups that nobody watches for ever, since the
    kernel's limit of epoll watches, which a user's processes share, was reached for a moment."""
    for full_s, each in ((0, 5), (4, 1 << 30)):
        with preloaded(FAILING_EPOLL, EPOLL_FULL_S=str(full_s), EPOLL_FAILS_EACH=str(each)), \
                fleet() as d:
            statuses = [d.call("/r/x", node=n % 3).status for n in range(120)]
            assert statuses == [200] * len(statuses), statuses
            assert [n.popen.poll() for n in d.nodes] == [None] * 3
            assert any(e["event"] == "loop.watch_failed" for n in d.nodes for e in n.events())


# Fails accept4() with EPERM while the file named by NO_ACCEPT exists.
FAILING_ACCEPT = """
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
int accept4(int fd, struct sockaddr *addr, socklen_t *len, int flags)
{
    int (*next)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    if (access(getenv("NO_ACCEPT"), F_OK) != 0)
        return next(fd, addr, len, flags);
    errno = EPERM;
    return -1;
}
"""


def test_a_connection_that_cannot_be_accepted_does_not_keep_a_node_busy():
    """Guards against a loop that tries a connection again and again, at a full core, where the
    kernel refuses to hand it over for another reason than want of descriptors or memory."""
    with tempfile.TemporaryDirectory() as folder:
        flag = os.path.join(folder, "no-accept")
        with preloaded(FAILING_ACCEPT, NO_ACCEPT=flag), deployment() as d:
            node = d.nodes[0]
            with open(flag, "w"):
                pass
            waiting = d.connect()
            time.sleep(0.5)
            cpu = proc_cpu_s(node.popen)
            time.sleep(HOLD_S)
            busy = (proc_cpu_s(node.popen) - cpu) / HOLD_S
            os.unlink(flag)
            wait_until(lambda: d.call("/r/x").status == 200, 3)
            waiting.close()
            assert busy < IDLE_SHARE, "%.2f of a core" % busy
            assert any(e["event"] == "accept.paused" for e in node.events())


# Fails waits for signals at once while the file named by NO_WAIT exists.
FAILING_WAITS = """
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>
int sigtimedwait(const sigset_t *set, siginfo_t *info, const struct timespec *timeout)
{
    int (*next)(const sigset_t *, siginfo_t *, const struct timespec *) =
        dlsym(RTLD_NEXT, "sigtimedwait");
    if (access(getenv("NO_WAIT"), F_OK) != 0)
        return next(set, info, timeout);
    errno = EAGAIN;
    return -1;
}
int sigwait(const sigset_t *set, int *sig)
{
    int (*next)(const sigset_t *, int *) = dlsym(RTLD_NEXT, "sigwait");
    return access(getenv("NO_WAIT"), F_OK) == 0 ? EAGAIN : next(set, sig);
}
"""


def test_a_wait_for_a_signal_that_fails_is_no_signal():
    """Guards against a node that stops by itself, or whose reload thread spins, where the system
    ends a wait for signals too early."""
    with tempfile.TemporaryDirectory() as folder:
        flag = os.path.join(folder, "no-wait")
        with open(flag, "w"):
            pass
        with preloaded(FAILING_WAITS, NO_WAIT=flag), deployment() as d:
            node = d.nodes[0]
            cpu = proc_cpu_s(node.popen)
            time.sleep(HOLD_S)
            busy = (proc_cpu_s(node.popen) - cpu) / HOLD_S
            assert d.call("/r/x").status == 200
            assert node.popen.poll() is None and not any(
                e["event"] == "node.stopping" for e in node.events())
            assert busy < IDLE_SHARE, "%.2f of a core" % busy
            os.unlink(flag)
            assert node.stop() == 0


def test_a_closed_standard_output_is_no_connection():
    """Guards against a socket that gets the number of a standard output that was closed at
    the start: the log was then written into a connection, or lost with it."""
    with deployment() as d:
        for outputs in ({"stdout": "closed"}, {"stderr": "closed"},
                        {"stdin": "closed", "stdout": "closed", "stderr": "closed"}):
            node = Node(d, **outputs)
            try:
                assert node.check_serves_or_says_why()
                links = [os.readlink("/proc/%d/fd/%d" % (node.popen.pid, n)) for n in range(3)]
                assert not [x for x in links if "socket:" in x or "anon" in x], (outputs, links)
            finally:
                node.close()


def test_a_closed_standard_output_is_no_connection_of_another_program():
    """The same for the programs that are no hosted node."""
    for program in ("rillknot-entry", "rillknot-keeper"):
        with tempfile.TemporaryDirectory() as folder:
            path = write_lone_process_file(folder)
            p = subprocess.Popen([os.path.join(BUILD, program), path],
                                 preexec_fn=lambda: os.closerange(0, 1000), close_fds=False)
            try:
                time.sleep(HOLD_S)
                assert p.poll() is None, (program, p.poll())
                links = [os.readlink("/proc/%d/fd/%d" % (p.pid, n)) for n in range(3)]
                assert links == ["/dev/null"] * 3, (program, links)
            finally:
                p.kill()
                p.wait()


def test_a_small_stack_ends_no_node_later():
    """Guards against threads whose stacks are as small as the limit of the process's: a node
    said that it had started and ended by SIGSEGV, without a line, at its first call."""
    if IS_SANITIZED:
        return "not run: the sanitizers need larger stacks"
    with deployment() as d:
        assert check(d, limits=["stack-soft"])
        node = Node(d, limits=["stack"])
        try:
            if not node.check_serves_or_says_why():
                assert "stack" in node.texts(), node.texts()
        finally:
            node.close()


def test_a_large_stack_limit_keeps_no_node_from_starting():
    """Guards against threads that are not created as their stacks, as large as the limit,
    don't fit into the address space."""
    with deployment() as d:
        limits = ["stack-large"] + ([] if IS_SANITIZED else ["as"])
        assert check(d, limits=limits)
        assert check(d, limits=["stack-unlimited"])


def test_a_standard_error_that_nobody_reads_holds_up_no_end():
    """Guards against a process that waits for its standard error instead of ending: at a
    start that fails, and at a crash."""
    with deployment() as d:
        out = Output("full-pipe", "")
        path = os.path.join(d.dir, "bad.json")
        for program, status in (("node", 2), ("entry", 2), ("keeper", 2)):
            with open(path, "w") as f:
                f.write("{")
            p = subprocess.Popen([os.path.join(BUILD, "rillknot-%s" % program), path],
                                 stdout=subprocess.DEVNULL, stderr=out.fd)
            assert wait(p, STOP_S) == status, program
        # A sanitizer's own handler writes its report, and waits for standard error.
        for sig in () if IS_SANITIZED else (signal.SIGSEGV, signal.SIGABRT):
            node = Node(d, stderr="full-pipe", stdout="full-pipe")
            assert node.check_serves_or_says_why()
            node.popen.send_signal(sig)
            status = wait(node.popen, STOP_S)
            assert status == -sig, (sig, status)
            node.close()
        out.close()


def test_a_terminal_that_nobody_reads_holds_up_no_node():
    """Guards against a node that hangs, with all its threads, in a write to its log: a
    terminal with room for a byte is said to be writable, and a block then waits for it."""
    with deployment() as d:
        assert check(d, stdout="full-terminal", stderr="full-terminal")


def wait(p, seconds):
    """Return the exit status of a process, or None after seconds; it is killed then."""
    try:
        return p.wait(seconds)
    except subprocess.TimeoutExpired:
        p.kill()
        p.wait()
        return None


# Fails each open of /dev/urandom.
NO_URANDOM = """
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
FILE *fopen(const char *path, const char *mode)
{
    FILE *(*next)(const char *, const char *) = dlsym(RTLD_NEXT, "fopen");
    errno = ENOENT;
    return strcmp(path, "/dev/urandom") ? next(path, mode) : NULL;
}
"""


def build_preload(d):
    library = os.path.join(d.dir, "no_urandom.so")
    subprocess.run(["cc", "-shared", "-fPIC", "-D_GNU_SOURCE", "-x", "c", "-", "-o", library],
                   check=True, input=NO_URANDOM.encode())
    return library


def draw(rng, library):
    """Return random surroundings."""
    names = [n for n in LIMITS if not n.startswith("stack")]
    limits = rng.sample(names, rng.randrange(3))
    if rng.random() < 0.5:
        limits.append(rng.choice([n for n in LIMITS if n.startswith("stack")]))
    if IS_SANITIZED:
        limits = [n for n in limits if not n.startswith(SIZE_LIMITS)]
    more = {key: True for key in ("env", "cwd", "batch") if rng.random() < 0.5}
    if rng.random() < 0.3:
        more["stdin"] = "closed"
    if rng.random() < 0.3 and not IS_SANITIZED:
        more["preload"] = library
    return dict(more, limits=limits, stdout=rng.choice(OUTPUTS), stderr=rng.choice(OUTPUTS))


def run_combinations(seed, count):
    """Return how many of the nodes served; raise with all that failed."""
    rng = random.Random(seed)
    with deployment() as d:
        cases = [draw(rng, build_preload(d)) for _ in range(count)]
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            futures = [pool.submit(check, d, **case) for case in cases]
        errors = [str(f.exception()) for f in futures if f.exception()]
        assert not errors, "seed %d: %d of %d:\n%s" % (seed, len(errors), count,
                                                       "\n".join(errors))
        return sum(f.result() for f in futures)


def test_no_surroundings_end_a_node_later():
    """Guards against surroundings, and pairs of them, that end, hang or spin a node."""
    return "%d of %d served" % (run_combinations(SEED, COMBINATIONS), COMBINATIONS)


def pause(node, rng):
    node.popen.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.3, 2.5))
    node.popen.send_signal(signal.SIGCONT)


def check_pauses(d, seed):
    """Pause a node at a random moment of its start, of its work and of its stop."""
    rng = random.Random(seed)
    node = Node(d)
    try:
        time.sleep(rng.uniform(0, 0.1))
        pause(node, rng)
        assert node.check_serves_or_says_why(), node.texts()
        pause(node, rng)
        assert node.check_serves_or_says_why(), node.texts()
        for _ in range(rng.randrange(5)):
            node.popen.send_signal(signal.SIGHUP)
        node.popen.send_signal(signal.SIGTERM)
        time.sleep(rng.uniform(0, 3.2))
        if node.popen.poll() is None:
            pause(node, rng)
        status = wait(node.popen, STOP_S)
        assert status == 0, (seed, status, node.texts())
    finally:
        node.close()


def test_a_paused_node_ends_only_when_it_is_told_to():
    """Guards against a node that takes a pause of its process for a hang of its own, at any
    moment of its start and stop."""
    with deployment() as d:
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            list(pool.map(lambda i: check_pauses(d, SEED + i), range(PARALLEL)))


def test_signals_to_reload_in_series_end_no_start():
    """Guards against a signal that ends a node at any moment of its start or stop."""
    with deployment() as d:
        nodes = [Node(d) for _ in range(PARALLEL)]
        for node in nodes:  # what comes before the program's first lines ends any process
            wait_until(node.blocks_reload, step=0.001)
        end = time.monotonic() + HOLD_S
        while time.monotonic() < end:
            for node in nodes:
                node.popen.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        try:
            for node in nodes:
                assert node.check_serves_or_says_why(), node.texts()
                node.popen.send_signal(signal.SIGTERM)
            end = time.monotonic() + STOP_S
            while time.monotonic() < end and [n for n in nodes if n.popen.poll() is None]:
                for node in nodes:
                    node.popen.send_signal(signal.SIGHUP)
                time.sleep(0.01)
            assert [n.popen.poll() for n in nodes] == [0] * len(nodes), nodes[0].texts()
        finally:
            for node in nodes:
                node.close()
