"""Tests of a node that gets most new connections of the fleet.

For some seconds the platform's balancer may hand nearly all new connections to one node, then
to another. Limits that each node shares equally then leave that node a small part of what the
VMs can do: of VMs that each take 30 requests/s, one of six nodes may use 5/s.

Each call comes on a connection of its own, at all nodes at first and then at one node.
"""
import concurrent.futures
import random
import socket
import threading
import time

from hosted import Hosted, max_units_in_window

NODES, VMS, SLOTS = 6, 4, 6
ZONES = ("a-hall", "b-hall")
EVERYWHERE_S, AT_ONE_NODE_S = 5.0, 8.0
NOTICED_S = 3.0  # from then on calls at the one node must be served (contactMs)
SERVED_MIN = 0.75  # of the share of calls that were served at first before
WINDOW_S = 4.0  # in which a VM may get 1.5 times its limit, and 5
WORKERS = 60  # threads that make calls


class Background:
    """A thread that runs until the end of a with block."""

    def __init__(self):
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        raise NotImplementedError

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()


class Load(Background):
    """Calls at an even rate, each on a new connection; who gets them may change."""

    def __init__(self, d, per_s, target="/r/x", seed=20261204):
        self.d, self.per_s, self.target = d, per_s, target
        self.rng = random.Random(seed)
        self.nodes = list(range(len(d.nodes)))  # those that get new connections
        self.calls = []  # (time of sending, node, status, whether the answer was whole)
        self.pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        super().__init__()

    def __exit__(self, *failure):
        super().__exit__(*failure)
        self.pool.shutdown()

    def run(self):
        next_at = time.monotonic()
        while not self.stopped.is_set():
            self.pool.submit(self.call, self.rng.choice(self.nodes))
            next_at += 1 / self.per_s
            time.sleep(max(0, next_at - time.monotonic()))

    def call(self, node):
        at = time.monotonic()
        try:
            answer = self.d.call(self.target, node)
        except OSError:
            return  # refused before it was read: a later try may be served
        self.calls.append((at, node, answer.status, answer.whole))

    def served(self, since, until):
        """Returns the share of calls that were served, without those over a quota."""
        calls = [(status, whole) for at, _, status, whole in list(self.calls)
                 if since <= at < until and status != 429]
        return sum(s == 200 and whole for s, whole in calls) / max(1, len(calls)), len(calls)


def fleet(configure=None, nodes=NODES, **service):
    d = Hosted(nodes=nodes, zones=ZONES, bounds={"budgetExtra": 100}).start()
    for i in range(VMS):
        worker = d.add_worker("plain", zone=ZONES[i % 2], slots=SLOTS)
        if configure:
            configure(worker)
    d.configure([d.route("r", "plain")],
                services=[dict({"name": "plain", "healthPath": "/healthz", "maxConns": 200,
                                "protocol": "h1", "tls": False}, **service)])
    d.wait_ready()
    time.sleep(1)
    return d


def check_one_node(d, per_s, nodes=(0,)):
    """Sends all new connections to one node, then to the next of `nodes`; checks that
    calls are served there as well as at all nodes before. Returns figures."""
    with Load(d, per_s) as load:
        began = time.monotonic()
        time.sleep(EVERYWHERE_S)
        before, calls_before = load.served(began + 1, time.monotonic())
        figures = ["%.2f of %d before" % (before, calls_before)]
        for node in nodes:
            load.nodes = [node]
            changed = time.monotonic()
            time.sleep(AT_ONE_NODE_S)
            after, calls = load.served(changed + NOTICED_S, time.monotonic() - 0.5)
            figures.append("%.2f of %d at node %d" % (after, calls, node))
            assert after >= SERVED_MIN * before, ", ".join(figures)
    return ", ".join(figures)


def test_the_limits_of_vms_are_used_from_one_node():
    """Guards against a limit of VMs of which the one node that gets all calls may use a
    sixth: 4 VMs take 30 requests/s each, the callers send 50/s."""
    limit = 30

    def configure(worker):
        worker.limit = limit
    with fleet(configure) as d:
        figures = check_one_node(d, 50, nodes=(0, 1))
        for w in d.workers:
            most = max_units_in_window([(r.at, 1) for r in w.seen], WINDOW_S)
            assert most <= 1.5 * WINDOW_S * limit + 5, most
        return figures


def test_low_limits_of_vms_are_used_from_one_node():
    """Guards against a limit that only some nodes share, of which the one node that gets
    all calls is none: 4 VMs take 2 requests/s each, the callers send 5/s."""
    limit = 2

    def configure(worker):
        worker.limit = limit
    with fleet(configure, nodes=8) as d:
        figures = check_one_node(d, 5)
        for w in d.workers:
            most = max_units_in_window([(r.at, 1) for r in w.seen], WINDOW_S)
            assert most <= 1.5 * WINDOW_S * limit + 5, most
        return figures


def test_the_connections_of_vms_are_used_from_one_node():
    """Guards against connections to VMs of which the one node that gets all calls may open
    a sixth: 4 VMs take 12 connections each, the callers send 60 calls/s of 0.15 s."""
    def configure(worker):
        worker.work_s = 0.15
    with fleet(configure, maxConns=12) as d:
        watch = ConnectionWatch(d)
        with watch:
            figures = check_one_node(d, 60, nodes=(0, 3))
        assert watch.most <= 12, watch.most
        return figures + ", %d connections at a VM at most" % watch.most


def is_open(conn):
    """Returns whether the node still has a VM's connection. The VM's threads notice late that
    one was closed."""
    try:
        return conn.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False


def count_open(worker):
    return sum(is_open(conn) for conn in list(worker.conns))


class ConnectionWatch(Background):
    """Follows how many connections the VMs have."""

    def __init__(self, d):
        self.d, self.most = d, 0
        super().__init__()

    def run(self):
        while not self.stopped.wait(0.005):
            self.most = max([self.most] + [count_open(w) for w in self.d.workers])


def test_a_fleet_at_its_limit_rejects_at_once():
    """Guards against calls that go from node to node when no node can send them, and hold
    their callers: 4 VMs take 5 requests/s each, the callers send 60/s."""
    def configure(worker):
        worker.limit = 5
    with fleet(configure) as d:
        with Load(d, 60) as load:
            began = time.monotonic()
            time.sleep(6)
        served, calls = load.served(began + 2, time.monotonic())
        assert served >= 0.5 * 20 / 60, "%.2f of %d" % (served, calls)
        forwards = sum(d.gauge(n, "forwards_total") for n in d.nodes)
        assert forwards <= 3 * len(load.calls), forwards
        return "%.2f of %d served, %d forwards" % (served, calls, forwards)


def test_calls_without_limits_are_served_at_one_node():
    """Guards against a node that can't take the new connections of the whole fleet."""
    with fleet() as d:
        return check_one_node(d, 80)
