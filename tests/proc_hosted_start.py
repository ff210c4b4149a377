"""A node starts whatever is wrong with a figure of its process file, and where it can't
start it says why."""
import concurrent.futures
import errno
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import time

from cluster import Proc, free_port
from hosted import Hosted, http, reset

START_S = 10
HOLD_S = 2
LOWEST_PORT = 10000
# Figures of the process file that deploy/entry.json fills from fields of the platform.
TEMPLATE_FIELDS = {
    "stop_s": "graceS", "lease_ms": "leaseMs", "usage_window_s": "reportWindowS",
    "usage_late_s": "usageLateS", "quota_window_s": "quotaWindowS",
    "quota_slack": "quotaSlack", "quota_overrun": "quotaOverrun",
    "retry_burst": "budgetExtra", "retry_ratio": "retryBudgetRatio",
    "trial_slack": "exposureSlack", "trial_give_up_ms": "rollbackMs"}
FIGURES = sorted(TEMPLATE_FIELDS) + ["traffic_threads", "notice_ms", "max_body",
                                     "max_connections", "cpu_share", "memory_mb", "max_fds",
                                     "trial_share"]
MISSING = object()
BAD_VALUES = [None, -1, 1e18, "", "text", True, [], {}, 10**30]
# 0 and fractions are in range for some figures; a node starts with them, too.
ODD_VALUES = [MISSING, 0, 0.5]
PARALLEL = 4


class Start:
    """A start of a node with a process file of its own, which ends with the test."""

    def __init__(self, d, text, name):
        self.path = os.path.join(d.dir, "%s.json" % name)
        with open(self.path, "w") as f:
            f.write(text)
        self.command = [os.path.join(d.build, "rillknot-node"), self.path]

    def check(self):
        """Return the exit status and the lines of --check."""
        r = subprocess.run(self.command[:1] + ["--check", self.path], capture_output=True,
                           text=True, timeout=START_S, check=False)
        return r.returncode, r.stderr.splitlines()

    def events(self):
        """Start the node and return its events until node.started; the node is killed then."""
        p = self.popen()
        text = read_until_started(p)
        p.kill()
        p.communicate()
        assert "node.started" in text, text
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def popen(self, **kw):
        return subprocess.Popen(self.command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                                text=True, **kw)


def read_until_started(p):
    """Return a node's output up to node.started, or all if it ends before."""
    text = ""
    for line in p.stdout:
        text += line
        if "node.started" in line:
            break
    return text


def check_start_failed(text, why, status):
    """Check that the log of a process whose start failed says why in its last event."""
    lines = [line for line in text.splitlines() if line.startswith("{")]
    event = json.loads(lines[-1]) if lines else {}
    assert event.get("event") == "node.start_failed" and event["level"] == "error", text
    assert why in event["why"] and event["status"] == status, event


def process_file(d):
    """Return the process file of a running node, parsed."""
    with open(d.nodes[0].file) as f:
        return json.loads(re.sub(r"^\s*//.*$", "", f.read(), flags=re.M))


def problems(events):
    return [e["what"] for e in events if e["event"] == "procfile.problem"]


def start_with(d, base, key, value):
    """Start a node with one figure replaced; return an error, or None."""
    conf = dict(base, id="x")
    conf.update({"listen": "127.0.0.1:0", "control_listen": "127.0.0.1:0",
                 "ready_listen": "127.0.0.1:0"})
    conf.pop(key, None)
    if value is not MISSING:
        conf[key] = value
    start = Start(d, json.dumps(conf), "%s-%d" % (key, next(d.ids)))
    is_bad = value is not MISSING and value not in ODD_VALUES
    try:
        found = problems(start.events())
    except AssertionError as e:
        return "%s = %r: did not start: %s" % (key, value, e)
    if is_bad and not any("/%s: expected" % key in p for p in found):
        return "%s = %r: not in the log: %s" % (key, value, found)
    status, lines = start.check()
    if (status != 0) != bool(found) or len(lines) != len(found):
        return "%s = %r: --check: %d, %s; log: %s" % (key, value, status, lines, found)
    return None


def test_one_odd_figure_keeps_no_node_from_starting():
    """Guards against a fleet that ends with status 2 as one figure of its process file is
    missing, out of range or of another type. The log and --check must name it."""
    with Hosted(nodes=1) as d:
        base = process_file(d)
        cases = [(key, value) for key in FIGURES for value in BAD_VALUES + ODD_VALUES]
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            errors = list(pool.map(lambda c: start_with(d, base, *c), cases))
        errors = [e for e in errors if e]
        assert not errors, "%d of %d:\n%s" % (len(errors), len(cases), "\n".join(errors[:20]))
        return "%d starts" % len(cases)


def test_a_platform_that_leaves_out_a_field_gets_a_node():
    """Guards against a template whose gaps are no JSON where the platform has no value."""
    with Hosted(nodes=1) as d:
        for key, field in sorted(TEMPLATE_FIELDS.items()):
            bounds = dict(d.bounds, exposureShare=0.1, exposureSlack=5, rollbackMs=900)
            bounds.pop(field)
            node = d.add_node(bounds=bounds)
            found = problems(node.events())
            assert len(found) == 1 and "/%s: expected" % key in found[0], (field, found)
            node.kill()
        node = d.add_node(bounds={}, limits={}, bootstrap=False)
        assert "cpu_share" in str(problems(node.events())), problems(node.events())


def test_a_given_zero_is_no_missing_figure():
    """Guards against a budget of 0 retries that is taken for the default of 20."""
    with Hosted(nodes=1, bounds={"budgetExtra": 0, "quotaSlack": 0}) as d:
        assert not problems(d.nodes[0].events())
        assert int(process_file(d)["retry_burst"]) == 0


def test_a_reload_with_a_bad_figure_keeps_the_value_in_force():
    """Guards against a default that a reload installs in place of a sound value, and
    against one bad figure that keeps the sound ones beside it from being taken over."""
    with Hosted(nodes=1, bounds={"quotaSlack": 77}) as d:
        node = d.nodes[0]
        conf = process_file(d)
        conf.update(stop_s=-3, quota_slack="many", retry_ratio=0.4, unheard_of=1)
        with open(node.file, "w") as f:
            json.dump(conf, f)
        reloaded = node.wait_event("node.reloaded", START_S)
        assert reloaded["stop_ms"] == d.bounds["graceS"] * 1000, reloaded
        assert reloaded["quota_slack"] == 77 and reloaded["retry_pct"] == 40, reloaded
        found = problems(node.events())
        for key in ("stop_s", "quota_slack", "unheard_of"):
            assert any("/%s: expected" % key in p for p in found), (key, found)
        assert len(found) == 3, found


def test_what_has_no_default_ends_the_start_with_its_place():
    """Guards against a mistake that ends a node without naming the file, line and key."""
    with Hosted(nodes=1) as d:
        base = process_file(d)
        too_long = '{\n"id": "%s"}' % ("x" * 99)
        cases = [(":3: expected a JSON object", '{"id": "a",\n"stop_s":\n,}'),
                 (":1: expected a JSON object", "[]"),
                 (":1: /id: expected a value", json.dumps(dict(base, id=None))),
                 (": /platform: expected a value", '{"id": "a", "failure_domain": "b"}'),
                 (":2: /id: expected a string of at most 47 characters", too_long),
                 (":2: /listen: expected a string", '{\n"listen": 5}')]
        for expected, text in cases:
            r = subprocess.run(Start(d, text, "bad").command, capture_output=True, text=True,
                               timeout=START_S, check=False)
            assert r.returncode == 2, (text, r)
            assert expected in r.stderr and len(r.stderr.splitlines()) == 1, (expected, r)
            check_start_failed(r.stdout, expected, 2)


# Keys of the process file and the names of the listeners in events.
LISTENERS = {"listen": "callers", "forward_listen": "forward", "control_listen": "control",
             "ready_listen": "ready"}


def bind_apart(reuse=0):
    """Return a socket bound to a port that the kernel gives to no outgoing connection.

    A port of the kernel's choice may go to any connection of the machine between its release
    and the node's next try, and is taken for a minute more after that (TIME_WAIT).
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range") as f:
        first = int(f.read().split()[0])
    while True:
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
        try:
            s.bind(("127.0.0.1", random.randrange(LOWEST_PORT, first)))
            return s
        except OSError:
            s.close()


def hold_address():
    """Take a port as another process does; return the sockets and the address."""
    s = bind_apart()
    s.listen(1)
    return [s], "127.0.0.1:%d" % s.getsockname()[1]


def hold_by_connection():
    """The same as the local port of a connection."""
    listener = bind_apart()
    listener.listen(1)
    client = bind_apart()
    client.connect(listener.getsockname())
    peer, _ = listener.accept()
    return [listener, peer, client], "127.0.0.1:%d" % client.getsockname()[1]


def close(sockets):
    for s in sockets:
        reset(s)  # an orderly close could leave the port taken for 60 s (TIME_WAIT)


def with_addresses(d, addresses, **more):
    """Return the start of a node that listens at these addresses, and at any others."""
    conf = dict(process_file(d), id="y", **more)
    conf.update({key: "127.0.0.1:0" for key in list(LISTENERS) + ["metrics_listen"]})
    conf.update(addresses)
    return Start(d, json.dumps(conf), "held-%d" % next(d.ids))


def check_waits_for(d, key, hold=hold_address):
    """Check that a node gets an address that is taken when it starts."""
    held, addr = hold()
    node = Proc(with_addresses(d, {key: addr}).command,
                os.path.join(d.dir, "%s-%d.log" % (key, next(d.ids))), "")
    try:
        event = node.wait_event("listener.waiting", START_S)
        assert (event["listener"], event["addr"]) == (LISTENERS[key], addr), event
        assert "in use" in event["why"], event
        time.sleep(HOLD_S)
        assert node.popen.poll() is None
        close(held)
        started = node.wait_event("node.started", START_S)
        assert addr in started.values(), started
        free = node.wait_event("listener.free", START_S)
        assert free["addr"] == addr and free["waited_ms"] >= HOLD_S * 1000, free
    finally:
        node.kill()


def test_a_node_waits_for_an_address_that_is_taken():
    """Guards against a node that ends as the process before it, still in its stop, has its
    address, or a client of another process has its port."""
    with Hosted(nodes=1) as d:
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            list(pool.map(lambda key: check_waits_for(d, key), LISTENERS))
        check_waits_for(d, "listen", hold_by_connection)


def test_a_node_waits_for_an_address_that_is_taken_meanwhile():
    """Guards against a node that ends as another process takes its address between the
    check that it is free and its use, and callers that wait at a node that doesn't serve."""
    with Hosted(nodes=1) as d:
        rival = bind_apart(reuse=1)  # as the node's own socket: both can be bound
        addr = "127.0.0.1:%d" % rival.getsockname()[1]
        held, ready_addr = hold_address()
        node = Proc(with_addresses(d, {"listen": addr, "ready_listen": ready_addr}).command,
                    os.path.join(d.dir, "meanwhile.log"), "")
        try:
            assert node.wait_event("listener.waiting", START_S)["addr"] == ready_addr
            caller = socket.socket()
            assert caller.connect_ex(rival.getsockname()) == errno.ECONNREFUSED
            rival.listen(1)
            close(held)
            time.sleep(HOLD_S)
            assert node.popen.poll() is None, open(node.log).read()
            assert addr in [e["addr"] for e in node.events() if e["event"] == "listener.waiting"]
            close([rival])
            started = node.wait_event("node.started", START_S)
            assert (started["listen"], started["ready"]) == (addr, ready_addr), started
        finally:
            node.kill()


def test_a_node_takes_over_from_one_that_is_stopping():
    """The same with two real processes: the second is started while the first stops."""
    with Hosted(nodes=1) as d:
        d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        addr = {"listen": "127.0.0.1:%d" % free_port()}
        start = with_addresses(d, addr)
        first = Proc(start.command, start.path + ".1.log", "node.started")
        caller = socket.create_connection(("127.0.0.1", d.port(addr["listen"])))
        caller.sendall(b"POST /r/x HTTP/1.1\r\nHost: api.example\r\n")
        first.signal(signal.SIGTERM)
        second = Proc(start.command, start.path + ".2.log", "node.started")
        try:
            assert first.popen.wait(START_S) == 0
            assert second.popen.poll() is None
        finally:
            caller.close()
            first.kill()
            second.kill()


def test_a_node_that_waits_for_an_address_can_be_stopped():
    """Guards against a start that is deaf to SIGTERM."""
    with Hosted(nodes=1) as d:
        held, addr = hold_address()
        node = Proc(with_addresses(d, {"listen": addr}).command,
                    os.path.join(d.dir, "stopped.log"), "listener.waiting")
        node.signal(signal.SIGTERM)
        assert node.popen.wait(2) == 0
        close(held)


def test_a_reload_signal_during_the_start_ends_no_node():
    """Guards against a SIGHUP whose default action ends a node that still reads its file.

    A pipe holds the node there.
    """
    with Hosted(nodes=1) as d:
        start = with_addresses(d, {})
        with open(start.path) as f:
            text = f.read()
        os.unlink(start.path)
        os.mkfifo(start.path)
        p = start.popen()
        with open(start.path, "w") as f:  # returns once the node has opened the pipe
            p.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            f.write(text)
        assert "node.started" in read_until_started(p), p.poll()
        p.kill()
        p.communicate()


def test_an_address_that_is_none_ends_the_start_at_once():
    """Guards against a wait for an address that can't be one."""
    with Hosted(nodes=1) as d:
        for key in LISTENERS:
            r = subprocess.run(with_addresses(d, {key: "nowhere"}).command, timeout=1,
                               capture_output=True, text=True, check=False)
            assert r.returncode == 1 and "nowhere: expected ip:port" in r.stderr, r
            check_start_failed(r.stdout, "nowhere: expected ip:port", 1)


def test_a_node_serves_without_its_metrics():
    """Guards against a node that ends as its metrics can't be read. Once the address is free,
    they can."""
    with Hosted(nodes=1) as d:
        held, addr = hold_address()
        start = with_addresses(d, {"metrics_listen": addr})
        node = Proc(start.command, start.path + ".log", "node.started")
        try:
            assert node.ready["metrics"] == "", node.ready
            assert node.wait_event("listener.waiting", START_S)["addr"] == addr
            close(held)
            assert node.wait_event("listener.free", START_S)["addr"] == addr
            assert http(d.port(addr), "GET", "/metrics").status == 200
        finally:
            node.kill()


# Fails the call of pthread_create() whose number, from 1 on, is in FAILING_THREAD.
FAILING_THREADS = """
#include <dlfcn.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
int pthread_create(pthread_t *t, const pthread_attr_t *a, void *(*run)(void *), void *arg)
{
    static int calls;
    int (*next)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *) =
        dlsym(RTLD_NEXT, "pthread_create");
    return ++calls == atoi(getenv("FAILING_THREAD")) ? EAGAIN : next(t, a, run, arg);
}
"""


def start_without_thread(d, library, number):
    """Start a node whose thread of this number can't be created; return the process."""
    env = dict(os.environ, LD_PRELOAD=library, FAILING_THREAD=str(number),
               ASAN_OPTIONS="verify_asan_link_order=0")
    return with_addresses(d, {}).popen(env=env)


def test_a_node_without_a_thread_does_not_say_that_it_started():
    """Guards against a node that says it started and serves nothing, as its relay's thread
    could not be created, or is deaf to SIGTERM, as the other one could not."""
    with Hosted(nodes=1) as d:
        library = os.path.join(d.dir, "failing_threads.so")
        subprocess.run(["cc", "-shared", "-fPIC", "-D_GNU_SOURCE", "-x", "c", "-", "-o",
                        library], check=True, input=FAILING_THREADS.encode())
        for number, name in ((1, "stop"), (3, "relay")):
            p = start_without_thread(d, library, number)
            out, _ = p.communicate(timeout=START_S)
            assert p.returncode == 1 and "node.started" not in out, (name, out)
            check_start_failed(out, "thread %s: Resource temporarily unavailable" % name, 1)
        # Without the thread that reads the process file again, it can serve.
        p = start_without_thread(d, library, 2)
        out = read_until_started(p)
        p.send_signal(signal.SIGTERM)
        p.communicate(timeout=d.bounds["graceS"] + START_S)
        assert "node.reload_unavailable" in out and p.returncode == 0, out


# Fails the call named by SHORT_CALL, for 2 s from the start on, as the kernel is short of memory.
SHORT_KERNEL = """
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
static time_t started;
__attribute__((constructor)) static void start(void) { started = time(NULL); }
static int fails(const char *call, int error)
{
    errno = error;
    return time(NULL) - started < 2 && strcmp(getenv("SHORT_CALL"), call) == 0;
}
int socket(int domain, int type, int protocol)
{
    int (*next)(int, int, int) = dlsym(RTLD_NEXT, "socket");
    return fails("socket", ENFILE) ? -1 : next(domain, type, protocol);
}
int bind(int fd, const struct sockaddr *addr, socklen_t len)
{
    int (*next)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "bind");
    return fails("bind", ENOMEM) ? -1 : next(fd, addr, len);
}
int listen(int fd, int backlog)
{
    int (*next)(int, int) = dlsym(RTLD_NEXT, "listen");
    return fails("listen", ENOBUFS) ? -1 : next(fd, backlog);
}
int epoll_create1(int flags)
{
    int (*next)(int) = dlsym(RTLD_NEXT, "epoll_create1");
    return fails("epoll_create1", ENFILE) ? -1 : next(flags);
}
int eventfd(unsigned int count, int flags)
{
    int (*next)(unsigned int, int) = dlsym(RTLD_NEXT, "eventfd");
    return fails("eventfd", ENFILE) ? -1 : next(count, flags);
}
"""


def start_short_of(d, library, call):
    """Start a node for which a call fails for 2 s; fail if it does not start. Return its log."""
    env = dict(os.environ, LD_PRELOAD=library, SHORT_CALL=call,
               ASAN_OPTIONS="verify_asan_link_order=0")
    p = with_addresses(d, {}).popen(env=env)
    out = read_until_started(p)
    status = p.poll()
    p.send_signal(signal.SIGTERM)
    p.communicate(timeout=d.bounds["graceS"] + START_S)
    assert "node.started" in out, (call, status, out)
    assert p.returncode == 0, (call, p.returncode)
    return out


def build_short_kernel(d):
    library = os.path.join(d.dir, "short_kernel.so")
    subprocess.run(["cc", "-shared", "-fPIC", "-D_GNU_SOURCE", "-x", "c", "-", "-o",
                    library], check=True, input=SHORT_KERNEL.encode())
    return library


def test_a_start_waits_while_the_kernel_is_short_of_memory_or_files():
    """Guards against nodes that end at their start, with status 1, as all of a host's nodes start
    at one moment and the kernel has no file or memory for a listener just then."""
    with Hosted(nodes=1) as d:
        library = build_short_kernel(d)
        for call in ("socket", "bind", "listen"):
            out = start_short_of(d, library, call)
            assert "listener.waiting" in out, (call, out)


def test_a_start_waits_while_the_kernel_has_no_file_for_an_event_loop():
    """Guards against nodes that end at their start, with status 1, as the kernel is short of
    files after the listeners are bound."""
    with Hosted(nodes=1) as d:
        library = build_short_kernel(d)
        for call in ("epoll_create1", "eventfd"):
            start_short_of(d, library, call)


def test_a_node_with_too_few_descriptors_says_so():
    """Guards against a failed assertion where the kernel gives no descriptor."""
    with Hosted(nodes=1) as d:
        ended = 0
        for fds in range(4, 40):
            p = with_addresses(d, {}).popen(
                preexec_fn=lambda n=fds: resource.setrlimit(resource.RLIMIT_NOFILE, (n, n)))
            out = read_until_started(p)
            if "node.started" in out:
                p.kill()
                p.communicate()
                break
            p.communicate(timeout=START_S)
            ended += 1
            assert p.returncode in (1, 2) and "Too many open files" in out, (fds, out)
        assert ended, "no limit was too low"
        return "%d descriptors needed" % fds


def test_a_node_says_what_it_may_use():
    """Guards against logs that leave open whether a node ended at a limit of its machine."""
    limits = {resource.RLIMIT_NOFILE: 3075, resource.RLIMIT_AS: 1 << 30}

    def set_limits():
        for kind, value in limits.items():
            resource.setrlimit(kind, (value, value))

    with Hosted(nodes=1) as d:
        started = d.nodes[0].ready
        assert started["address_space_kb"] == -1 and started["cpu_share_pct"] == 25, started
        if "address" in d.build or "thread" in d.build:
            limits.pop(resource.RLIMIT_AS)  # the sanitizers reserve terabytes
        p = with_addresses(d, {}).popen(preexec_fn=set_limits)
        started = json.loads(read_until_started(p).splitlines()[-1])
        p.kill()
        p.communicate()
        assert started["descriptors"] == 3075, started
        expected = 1 << 20 if resource.RLIMIT_AS in limits else -1
        assert started["address_space_kb"] == expected, started
