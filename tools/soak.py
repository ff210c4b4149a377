#!/usr/bin/env python3
"""Fault soak: runs real nodes in front of stand-ins and injects random faults.

The faults come from outside the nodes, by signals, loopback proxies and a misbehaving
store, while callers send requests on persistent connections. The guarantees are checked
from what callers and upstream VMs observe. A seed repeats the order of the faults.

    tools/soak.py [--seeds N] [--first SEED] [--seconds S] [--nodes N] [--jobs N]

tests/soak-seeds.txt lists each seed that ever failed; --regress runs those.
"""
import argparse
import collections
import concurrent.futures
import itertools
import os
import random
import re
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import faultproxy  # noqa: E402
from hosted import (FRAMINGS, STORE_MAX_READS_PER_NODE, Hosted, Worker,  # noqa: E402
                    max_units_in_window, read_answer)

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SEEDS_FILE = os.path.join(ROOT, "tests", "soak-seeds.txt")
ZONES = ("a-hall", "b-hall", "c-hall")
# Statuses which promise that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
CALLERS = 6
QUOTA_WINDOW_S, QUOTA_RATE, QUOTA_BURST, QUOTA_SLACK = 4, 20, 20, 40
# Units allowed in a quota window: the quota and 10% of it, and the slack.
QUOTA_MAX_UNITS = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * 1.1 + QUOTA_SLACK
SETTLE_S = 12  # time for the nodes to become ready after the last fault
SIGNAL_SPREAD_S = 3.0  # until all nodes have received the signals in a VM's answers
RECOVERY_CHECK_S = 6.0  # length of the check after the faults
# The cooldown that a VM asks for, and a shorter window in which calls are counted.
COOLDOWN_S, COOLDOWN_WINDOW_S = 3, 2.5
MAX_PER_COOLDOWN = 3  # calls of one node: the one that learns of the cooldown, and two more
LIMIT, LIMIT_WINDOW_S = 1, 4.0  # calls/s that a VM advertises
# Calls allowed in the window: half more than the limit, and 5.
LIMIT_MAX_CALLS = 1.5 * LIMIT * LIMIT_WINDOW_S + 5
PUBLIC_KEY, SMALL_KEY, MIXED_KEY = "key-public", "key-small", "key-mixed"
# The organisation "mixed" has the same quota as "small" and requests several times as
# much, with plain calls of one unit and with long ones.
PLAIN_UNITS, LONG_UNITS = 1, 10
LONG_CLASS = 3  # of the long ones, by the rank of their route
MIN_COMPARED = 30  # calls of each kind from which on the shares of refusals are compared
SLOW_RATIO = 2.4  # how much longer the calls of the slow VM take
# The slow VM must get more than this share of the calls that an equal VM gets.
SLOW_MIN_SHARE = 0.05
BREAK_SHARE = 0.02  # of the engines' streams that are broken off inside an event
EVENTS = 12  # of a stream
VERSIONS = ("v1", "v2")  # of the engines' software
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) token (\d+) (v\d+)\n\n")


class SlowWorker(Worker):
    """A worker whose calls take some ms, so that faults hit calls in flight."""

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.rng = random.Random(self.id)
        self.ran_at = []  # (time, tenant, quota units)
        self.gap_s = 0.01
        self.first_byte_ratio = 1  # how much longer it takes than other VMs
        self.framings = {}  # of the last answer to a request, by its id
        if self.events:
            self.version = self.rng.choice(VERSIONS)

    def run(self, req, conn):
        time.sleep((0.005 + self.rng.random() * 0.03) * self.first_byte_ratio)
        tokens = req.get("Rillknot-Token-Usage", "%d,0" % PLAIN_UNITS).split(",")
        self.ran_at.append((time.monotonic(), req.get("Rillknot-Tenant-Id"),
                            sum(int(n) for n in tokens)))
        if self.events and self.rng.random() < BREAK_SHARE:
            return self.break_off(req, conn)
        return super().run(req, conn)

    def event(self, req, number):
        """Return an event, which names the version of the worker's software."""
        return b"id: %d\ndata: %s token %d %s\n\n" % (
            number, req.get("Rillknot-Attempt-Id").encode(), number, self.version.encode())

    def choose_framing(self, req):
        """Draw the framing of a stream; a plain answer has a length."""
        framing = self.rng.choice(FRAMINGS) if self.events else self.framing
        self.framings[req.get("Rillknot-Attempt-Id")] = framing
        return framing

    def break_off(self, req, conn):
        """Run a stream and close its connection in order inside an event."""
        ident = req.get("Rillknot-Attempt-Id")
        self.runs[ident] += 1
        first = int(req.get("Last-Event-Id", 0)) + 1
        number = self.rng.randrange(first, self.events + 1) if first <= self.events else first
        self.stream(req, conn, number - 1, end=False)
        event = self.event(req, number)
        self.send_body(conn, self.framings[ident], event[:self.rng.randrange(1, len(event))])
        return False


VM_IDS_PER_RUN = 1 << 16  # upper bound of the VMs started in one run


class Soak:
    """One run: a deployment, its callers, the faults and the checks.

    seconds is the duration of the faults; problems lists the violations found.
    """

    def __init__(self, seed, seconds, nodes):
        self.rng = random.Random(seed)
        # A run may be given a port that a concurrent run has just freed, and then gets
        # calls of that run's nodes. VM ids that are unique over all runs let the worker
        # recognise such a call and refuse it.
        Worker.ids = itertools.count(seed % (1 << 24) * VM_IDS_PER_RUN + 1)
        self.seed, self.seconds = seed, seconds
        self.problems = []
        self.lock = threading.Lock()
        self.stop = threading.Event()
        self.answers = collections.Counter()  # answers by status
        self.refused_ids = []  # ids of requests answered as not run
        self.run_once_ids = set()  # ids of requests that may run at most once
        self.faults_over = threading.Event()
        self.answers_after_faults = collections.Counter()  # by status
        self.mixed_answers = collections.Counter()  # by kind and status
        self.taken_up = collections.Counter()  # streams taken up, by status
        self.slow = None  # an engine that is slower than the others for the whole run
        self.faults = []  # start time and kind
        self.bounds = {"quotaWindowS": QUOTA_WINDOW_S, "quotaSlack": QUOTA_SLACK}
        self.hosted = Hosted(nodes=0, zones=ZONES, bounds=self.bounds)
        self.node_proxies = []  # per node: its store, cloud and control proxies
        self.worker_proxies = {}  # proxies of the listed workers, by id
        self.settings_routes = []  # names of routes; each settings version adds one
        self.node_count = nodes
        self.busy_nodes = set()  # indexes of nodes that a fault has reserved

    def problem(self, text):
        """Record a violation; only the first 20 are kept."""
        with self.lock:
            if len(self.problems) < 20:
                self.problems.append("%.2f s: %s" % (time.monotonic() - self.began, text))

    # ---- the deployment ----

    def start(self):
        d = self.hosted
        for _ in range(self.node_count):
            store = faultproxy.FaultProxy(d.store.addr)
            cloud = faultproxy.FaultProxy(d.cloud.addr)
            control = faultproxy.FaultProxy()
            seeds = [p["control"].addr for p in self.node_proxies[:3]]
            self.node_proxies.append({"store": store, "cloud": cloud, "control": control})
            node = d.add_node(platform={"address": store.addr},
                              cloud={"address": cloud.addr}, advertise=control.addr,
                              seeds=seeds)
            control.target = node.ready["control_bound"]
        for zone in ZONES:
            self.add_worker("plain", zone)
            self.add_worker("llm", zone, events=EVENTS)
        self.slow = self.add_worker("llm", ZONES[0], events=EVENTS)
        self.slow.first_byte_ratio = SLOW_RATIO
        self.slow.gap_s *= SLOW_RATIO
        self.configure()
        d.wait_ready()

    def add_worker(self, service, zone, events=0):
        worker = SlowWorker(service, zone, events, 6 if not events else 32)
        worker.spot = False
        proxy = faultproxy.FaultProxy(worker.addr)
        self.worker_proxies[worker.id] = proxy
        self.hosted.workers.append(worker)
        self.publish(worker, "ready")
        return worker

    def publish(self, worker, state):
        """List the worker in the store under its proxy's address."""
        spec = worker.spec(state)
        spec["address"] = self.worker_proxies[worker.id].addr
        self.hosted.store.put("servers", worker.id, spec)

    def configure(self):
        """Write a settings version with one more route, by which it can be recognised."""
        d = self.hosted
        route = d.route
        routes = [route("once", "plain", "non_idempotent"), route("repeat", "plain"),
                  route("stream", "llm", "streaming", resumable=True),
                  route("raw", "llm", "streaming"),
                  route("long", "llm", "streaming", priority=2)]
        name = "gen-%d" % (len(self.settings_routes) + 1)
        all_routes = self.settings_routes + [name]
        routes += [route(g, "plain") for g in all_routes]
        tenants = [{"name": "public", "apiKeys": [PUBLIC_KEY], "ratePerS": 0},
                   {"name": "small", "apiKeys": [SMALL_KEY], "ratePerS": QUOTA_RATE,
                    "burst": QUOTA_BURST},
                   {"name": "mixed", "apiKeys": [MIXED_KEY], "unit": "token_stream",
                    "plainTokens": PLAIN_UNITS, "ratePerS": QUOTA_RATE, "burst": QUOTA_BURST}]
        llm = {"name": "llm", "healthPath": "/healthz", "maxConns": 200, "protocol": "h1",
               "tls": False, "engine": {"slots": 32, "kvCapacity": 100000}}
        d.configure(routes, services=("plain", llm), tenants=tenants, wait=False)
        self.settings_routes = all_routes

    # ---- callers ----

    def caller(self, number):
        """Send requests until the run stops, reusing a connection while possible."""
        rng = random.Random(self.seed * 1000 + number)
        conn, node, rest = None, None, []
        serial = 0
        seen = {}  # process id of a node -> greatest N of the routes gen-N that it served
        while not self.stop.is_set():
            if conn is None:
                node = self.hosted.nodes[rng.randrange(self.node_count)]
                conn, rest = self.connect(node), []
                if conn is None:
                    time.sleep(0.02)
                    continue
            serial += 1
            ident = "%x-%d-%d" % (self.seed, number, serial)
            reusable = self.send_one(rng, conn, node, ident, rest, seen)
            if not reusable or rng.random() < 0.1:
                conn.close()
                conn = None
            time.sleep(rng.random() * 0.02)
        if conn:
            conn.close()

    @staticmethod
    def connect(node):
        """Return a connection to the node, None if it refuses one."""
        try:
            sock = socket.create_connection(
                ("127.0.0.1", int(node.ready["listen"].rsplit(":", 1)[1])), 1)
        except OSError:
            return None
        sock.settimeout(6)
        return sock

    def send_one(self, rng, conn, node, ident, rest, seen):
        """Send a request and check its answer; return whether conn can be reused."""
        kind = rng.choice(["once", "once", "repeat", "stream", "stream", "raw", "small",
                           "gen", "nobody", "plain", "long"])
        path, key, more = kind, PUBLIC_KEY, ""
        if kind == "small":
            path, key = "repeat", SMALL_KEY
        elif kind == "plain":
            path, key = "repeat", MIXED_KEY
        elif kind == "long":
            key, more = MIXED_KEY, "Rillknot-Token-Usage: %d,2\r\n" % (LONG_UNITS - 2)
        elif kind == "nobody":
            path, key = "repeat", "key-unknown"
        elif kind == "gen":
            path = rng.choice(self.settings_routes)
        body = b"b" * rng.randrange(0, 3000)
        if kind in ("once", "raw", "long"):
            with self.lock:
                self.run_once_ids.add(ident)
        head = ("POST /%s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: %s\r\n"
                "Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: 3000\r\n%s"
                "Content-Length: %d\r\n\r\n" % (path, key, ident, more, len(body)))
        try:
            conn.sendall(head.encode() + body)
        except OSError:
            return False
        answer = read_answer(conn, "POST", rest)
        self.check_answer(kind, path, ident, node, answer, seen)
        if kind == "stream" and answer.status == 200 and not answer.whole:
            self.take_up(rng, ident, answer.body)
        return answer.status != 0 and answer.whole and not (rest and rest[-1]) and \
            answer.headers.get("connection") != "close"

    def check_answer(self, kind, path, ident, node, a, seen):
        """Count an answer and check it against the guarantees."""
        faults_over = self.faults_over.is_set()
        with self.lock:
            self.answers[a.status] += 1
            if faults_over and kind not in ("nobody", "small", "plain", "long"):
                self.answers_after_faults[a.status] += 1
            if kind in ("plain", "long"):
                self.mixed_answers[kind, a.status] += 1
            if a.status in NOT_RUN_STATUSES and a.whole:
                self.refused_ids.append(ident)
        if a.status == 200 and a.whole:
            self.check_served(kind, ident, a)
        if kind == "nobody" and a.status == 200:
            self.problem("an unknown key was served: %s" % ident)
        if kind == "gen":
            self.check_settings_version(path, node, a, seen)
        elif kind != "nobody" and a.status in (401, 404):
            self.problem("%s: status %d, but all settings versions allow the call"
                         % (ident, a.status))

    def check_served(self, kind, ident, a):
        """Check that a complete answer belongs to the request and is intact."""
        signature = a.headers.get("rillknot-server-signature", "")
        if a.headers.get("rillknot-attempt-id") != ident:
            self.problem("%s got the answer of %s" %
                         (ident, a.headers.get("rillknot-attempt-id")))
        if kind in ("stream", "raw", "long"):
            if not self.is_stream(ident, a.body):
                self.problem("%s: incomplete stream: %r" % (ident, a.body[:200]))
        elif a.body != b"answer of %s to %s" % (signature.split(".")[0].encode(),
                                                ident.encode()):
            self.problem("%s: not the body that its VM sent: %r" % (ident, a.body[:120]))

    def is_stream(self, ident, body, first=1, version=None):
        """Return whether a body is a whole stream, from its event `first` on, of one version.

        Nobody can tell that a stream was broken off if a VM's connection was closed between
        two events and the answer had no framing. version: of the events before, None if
        there are none.
        """
        events = EVENT.findall(body)
        unframed = any(w.framings.get(ident) == "close" for w in self.hosted.workers)
        last = first + len(events) - 1
        versions = {e[3] for e in events} | ({version} if version else set())
        return EVENT.sub(b"", body) == b"" and len(versions) <= 1 and \
            all(e[1] == ident.encode() for e in events) and \
            [int(e[0]) for e in events] == list(range(first, last + 1)) and \
            (last == EVENTS or (unframed and last >= first))

    def take_up(self, rng, ident, body):
        """Take up a stream that was broken off, at any node, and check how it goes on."""
        events = EVENT.findall(body)
        node = self.hosted.nodes[rng.randrange(self.node_count)]
        conn = self.connect(node) if events and int(events[-1][0]) < EVENTS else None
        if conn is None:
            return
        last, version, again = int(events[-1][0]), events[-1][3], ident + "-again"
        try:
            conn.sendall(("POST /stream/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: %s\r\n"
                          "Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: 3000\r\n"
                          "Last-Event-Id: %d\r\nResumes: %s\r\nContent-Length: 0\r\n\r\n"
                          % (PUBLIC_KEY, again, last, ident)).encode())
            a = read_answer(conn, "POST", [])
        except OSError:
            return
        finally:
            conn.close()
        with self.lock:
            self.taken_up[a.status] += 1
        found = {e[3] for e in EVENT.findall(a.body)} if a.status == 200 else set()
        if found - {version}:
            self.problem("%s: began at %s and was taken up at %s" % (ident, version, found))
        elif a.status == 200 and a.whole and not self.is_stream(again, a.body, last + 1, version):
            self.problem("%s: incomplete stream after a resume: %r" % (ident, a.body[:200]))

    def check_settings_version(self, path, node, a, seen):
        """Check that a process never goes back to older settings than it has served."""
        number = int(path.split("-")[1])
        pid = node.popen.pid
        if a.status == 200:
            seen[pid] = max(seen.get(pid, 0), number)
        elif a.status == 404 and number <= seen.get(pid, 0):
            self.problem("settings of %s went back: no %s after gen-%d"
                         % (node.name, path, seen[pid]))

    # ---- faults ----

    def fault_kinds(self):
        """Return the faults to choose from; one that is listed twice is twice as likely."""
        return [self.kill, self.kill, self.terminate, self.pause, self.pause, self.reload,
                self.fault_store_path, self.fault_store_path, self.fault_peer_path,
                self.fault_peer_path, self.fault_cloud_path, self.fault_worker_path,
                self.fault_worker_path, self.fault_store, self.fault_store,
                self.drop_store_history, self.restore_store, self.change_settings, self.change_settings,
                self.crash_worker, self.drain_worker, self.kill_many, self.advertise_limit,
                self.ask_cooldown, self.advertise_leaving]

    def reserve_node(self, rng):
        """Reserve a random node for a fault.

        Returns its index, or None if faults have reserved all nodes.
        """
        with self.lock:
            free = [i for i in range(self.node_count) if i not in self.busy_nodes]
            if not free:
                return None
            index = rng.choice(free)
            self.busy_nodes.add(index)
            return index

    def release_node(self, index):
        with self.lock:
            self.busy_nodes.discard(index)

    def restart(self, index, rng):
        time.sleep(rng.random() * 0.8)
        node = self.hosted.restart_node(index)
        self.node_proxies[index]["control"].target = node.ready["control_bound"]

    def kill(self, rng):
        index = self.reserve_node(rng)
        if index is None:
            return
        self.hosted.nodes[index].kill()
        self.restart(index, rng)
        self.release_node(index)

    def kill_many(self, rng):
        taken = [i for i in (self.reserve_node(rng) for _ in range(self.node_count))
                 if i is not None]
        for index in taken:
            self.hosted.nodes[index].kill()
        for index in taken:
            self.restart(index, rng)
            self.release_node(index)

    def terminate(self, rng):
        index = self.reserve_node(rng)
        if index is None:
            return
        self.hosted.nodes[index].stop(9)
        self.restart(index, rng)
        self.release_node(index)

    def pause(self, rng):
        index = self.reserve_node(rng)
        if index is None:
            return
        node = self.hosted.nodes[index]
        node.freeze()
        time.sleep(0.2 + rng.random() * 4)
        node.thaw()
        self.release_node(index)

    def reload(self, rng):
        self.hosted.nodes[rng.randrange(self.node_count)].signal(signal.SIGHUP)

    def set_fault(self, proxy, rng, modes):
        """Inject a random fault into the proxy for 0.3 to 4.3 s."""
        mode = rng.choice(modes)
        delay_s = rng.random() * 0.3 if mode == faultproxy.PASS else 0
        proxy.set_fault(mode, delay_s)
        time.sleep(0.3 + rng.random() * 4)
        proxy.clear_fault()

    ALL_MODES = (faultproxy.PASS, faultproxy.SILENT, faultproxy.UP_ONLY,
                 faultproxy.DOWN_ONLY, faultproxy.RESET)

    def fault_store_path(self, rng):
        self.set_fault(rng.choice(self.node_proxies)["store"], rng, self.ALL_MODES)

    def fault_cloud_path(self, rng):
        self.set_fault(rng.choice(self.node_proxies)["cloud"], rng, self.ALL_MODES)

    def fault_peer_path(self, rng):
        self.set_fault(rng.choice(self.node_proxies)["control"], rng, self.ALL_MODES)

    def fault_worker_path(self, rng):
        self.set_fault(rng.choice(list(self.worker_proxies.values())), rng, self.ALL_MODES)

    def fault_store(self, rng):
        store, how = self.hosted.store, rng.choice([503, 429, "reset", "silent", "lost"])
        share = 1.0 if how != "lost" else 0.4
        fault_rng = random.Random(rng.random())
        store.fault = lambda req: how if fault_rng.random() < share else None
        time.sleep(0.3 + rng.random() * 3)
        store.fault = None

    def restore_store(self, rng):
        """Bring the store back from a copy some seconds old.

        Operators and VMs write again what they had written, within two seconds.
        """
        store = self.hosted.store
        copy = store.copy()
        time.sleep(0.3 + rng.random() * 4)
        store.restore(copy, away_s=0.1 + rng.random() * 3)
        time.sleep(rng.random() * 2)
        store.write_platform_state_again()

    def drop_store_history(self, _):
        self.hosted.store.forget_history()

    def change_settings(self, _):
        with self.lock:
            at_limit = len(self.settings_routes) >= 60
        if not at_limit:
            self.configure()

    def choose_worker(self, rng):
        """Return a listed worker whose service has at least two others, else None.

        The slow VM is neither returned nor counted.
        """
        with self.lock:
            alive = [w for w in self.hosted.workers
                     if w.id in self.worker_proxies and w is not self.slow]
        per_service = collections.Counter(w.service for w in alive)
        removable = [w for w in alive if per_service[w.service] > 2]
        return rng.choice(removable) if removable else None

    def crash_worker(self, rng):
        worker = self.choose_worker(rng)
        if worker is None:
            return
        self.worker_proxies.pop(worker.id).close()
        worker.close()
        time.sleep(0.5 + rng.random())
        self.hosted.store.drop("servers", worker.id)
        self.add_worker(worker.service, worker.zone, worker.events)

    def drain_worker(self, rng):
        worker = self.choose_worker(rng)
        if worker is None:
            return
        self.add_worker(worker.service, worker.zone, worker.events)
        self.publish(worker, "draining")
        proxy = self.worker_proxies.pop(worker.id)
        time.sleep(3)
        self.hosted.store.drop("servers", worker.id)
        proxy.close()
        worker.close()

    def advertise_limit(self, rng):
        worker = self.choose_worker(rng)
        if worker is None:
            return
        worker.limit = rng.choice([0.5, 1, 5, 50])
        time.sleep(0.5 + rng.random() * 5)
        worker.limit = None

    def ask_cooldown(self, rng):
        worker = self.choose_worker(rng)
        if worker is None:
            return
        worker.retry_after_s = rng.choice([0.2, 1, 3])
        time.sleep(0.3 + rng.random() * 3)
        worker.retry_after_s = 0

    def advertise_leaving(self, rng):
        """Make a VM advertise in its answers that it leaves; unlist it 3 s later."""
        worker = self.choose_worker(rng)
        if worker is None:
            return
        self.add_worker(worker.service, worker.zone, worker.events)
        worker.says_leaving = True
        proxy = self.worker_proxies.pop(worker.id)
        time.sleep(3)
        self.hosted.store.drop("servers", worker.id)
        proxy.close()
        worker.close()

    def inject_faults(self):
        """Start faults at random times for self.seconds; they may overlap."""
        threads = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            kind = self.rng.choice(self.fault_kinds())
            rng = random.Random(self.rng.random())
            self.faults.append("%.2f %s" % (time.monotonic() - self.began, kind.__name__))
            thread = threading.Thread(target=self.run_fault, args=(kind, rng))
            thread.start()
            threads.append(thread)
            time.sleep(self.rng.random() * 0.9)
        for thread in threads:
            thread.join()

    def run_fault(self, kind, rng):
        """Run a fault; record an exception of it as a problem."""
        try:
            kind(rng)
        except Exception as e:  # pylint: disable=broad-except
            self.problem("%s: %r" % (kind.__name__, e))

    # ---- checks after the faults ----

    def clear_fault(self):
        """End all faults that are still in effect."""
        self.hosted.store.fault = None
        for path in self.node_proxies:
            for proxy in path.values():
                proxy.clear_fault()
        for proxy in self.worker_proxies.values():
            proxy.clear_fault()
        for worker in self.hosted.workers:
            worker.limit, worker.retry_after_s = None, 0

    def check_recovery(self):
        """Check that the deployment recovers when all faults have ended.

        All nodes must become ready and apply new settings, 95% of the calls must be
        served, and VMs that leave or advertise signals must get no more calls than they
        allow.
        """
        try:
            self.hosted.wait_ready(SETTLE_S)
        except AssertionError:
            self.problem("not all nodes are ready again")
            return
        self.configure()
        try:
            self.hosted.wait_version(self.hosted.version, timeout=6)
        except AssertionError:
            self.problem("settings are not in force at all nodes")
        leaving = self.choose_worker(self.rng)
        if leaving:
            self.add_worker(leaving.service, leaving.zone, leaving.events)
            self.publish(leaving, "draining")
        signalling = self.add_signals()
        time.sleep(SIGNAL_SPREAD_S)
        before = len(leaving.seen) if leaving else 0
        self.faults_over.set()
        began = time.monotonic()
        time.sleep(RECOVERY_CHECK_S)
        self.check_slow(began)
        if leaving and len(leaving.seen) > before:
            self.problem("a leaving VM got %d calls" % (len(leaving.seen) - before))
        self.check_signals(signalling, began)
        served, total = self.answers_after_faults[200], sum(self.answers_after_faults.values())
        if total < 20 or served < 0.95 * total:
            self.problem("after the faults, %d of %d calls were served: %s"
                         % (served, total, dict(self.answers_after_faults)))

    def add_signals(self):
        """Make three VMs advertise a signal in their answers: leaving, limit or rest.

        Returns the VMs by signal. Each service keeps other VMs without a signal.
        """
        signalling = {}
        with self.lock:
            listed = [w for w in self.hosted.workers
                      if w.id in self.worker_proxies and w is not self.slow]
        for what, service in (("leaving", "llm"), ("limit", "llm"), ("rest", "plain")):
            ready = [w for w in listed if w.service == service and w not in signalling.values()]
            if len(ready) < 3:
                worker = ready[0]
                self.add_worker(service, worker.zone, worker.events)
            signalling[what] = self.rng.choice(ready)
        signalling["leaving"].says_leaving = True
        signalling["limit"].limit = LIMIT
        signalling["rest"].retry_after_s = COOLDOWN_S
        return signalling

    def check_signals(self, signalling, since):
        """Check the calls that VMs with signals got since that time."""
        def calls_in_window(what, window_s):
            """Return the largest number of calls in any window of this length."""
            times = sorted(r.at for r in signalling[what].seen if r.at >= since)
            return max((sum(at <= t < at + window_s for t in times) for at in times),
                       default=0)
        left = calls_in_window("leaving", RECOVERY_CHECK_S)
        if left and signalling["leaving"].runs \
                and self.answered_before(signalling["leaving"], since):
            self.problem("a VM that advertises leaving got %d calls" % left)
        if calls_in_window("limit", LIMIT_WINDOW_S) > LIMIT_MAX_CALLS:
            self.problem("a VM with a limit of %g/s got %d calls in %g s, %g are allowed" % (
                LIMIT, calls_in_window("limit", LIMIT_WINDOW_S), LIMIT_WINDOW_S, LIMIT_MAX_CALLS))
        if calls_in_window("rest", COOLDOWN_WINDOW_S) > MAX_PER_COOLDOWN * self.node_count:
            self.problem("a VM that asked for a cooldown got %d calls of %d nodes in %g s" % (
                calls_in_window("rest", COOLDOWN_WINDOW_S), self.node_count, COOLDOWN_WINDOW_S))

    @staticmethod
    def answered_before(worker, since):
        """Return whether the worker got a call after it began to send its signal,
        SIGNAL_SPREAD_S before `since`, and at least 1 s before `since`, so that the
        signal has reached all nodes by then."""
        return any(since - SIGNAL_SPREAD_S <= r.at < since - 1 for r in worker.seen)

    def check_runs(self):
        """Check that no request that may run only once ran twice, or ran although it was
        answered as not run, and that no API key reached a VM."""
        runs = collections.Counter()
        for worker in self.hosted.workers:
            runs.update(worker.runs)
            for req in worker.seen:
                if req.get("X-Api-Key"):
                    self.problem("an API key was passed on to a VM")
        for ident in self.run_once_ids:
            if runs[ident] > 1:
                self.problem("%s ran %d times" % (ident, runs[ident]))
        for ident in self.refused_ids:
            if runs[ident] and ident in self.run_once_ids:
                self.problem("%s was answered as not run, but ran" % ident)

    def check_quota(self):
        """Check what the limited organisations used in any period of QUOTA_WINDOW_S."""
        for limited in ("small", "mixed"):
            most = max_units_in_window([(t, units) for w in self.hosted.workers
                                        for t, org, units in w.ran_at if org == limited],
                                       QUOTA_WINDOW_S)
            if most > QUOTA_MAX_UNITS:
                self.problem("quota: %d units of %s in %d s, %d are allowed"
                             % (most, limited, QUOTA_WINDOW_S, QUOTA_MAX_UNITS))

    def check_classes(self):
        """Check that an organisation above its quota had fewer of its plain calls refused
        than of its long ones, and that the nodes took them for calls of two classes."""
        refused, total = {}, {}
        for kind in ("plain", "long"):
            refused[kind] = self.mixed_answers[kind, 429]
            total[kind] = refused[kind] + self.mixed_answers[kind, 200]
        if min(total.values()) >= MIN_COMPARED and \
                refused["plain"] * total["long"] >= refused["long"] * total["plain"]:
            self.problem("classes: %d of %d plain and %d of %d long calls were refused" % (
                refused["plain"], total["plain"], refused["long"], total["long"]))
        classes = {e["class"] for n in self.hosted.nodes for e in n.events()
                   if e["event"] == "quota.refused" and e["organisation"] == "mixed"}
        if refused["long"] >= MIN_COMPARED and LONG_CLASS not in classes:
            self.problem("classes: no call was refused in class %d, but in %s"
                         % (LONG_CLASS, sorted(classes)))

    def check_slow(self, since):
        """Check that the slow VM got calls after the faults."""
        with self.lock:
            others = [w for w in self.hosted.workers
                      if w.service == "llm" and w.id in self.worker_proxies
                      and w is not self.slow]
        calls = {w: sum(r.at >= since for r in list(w.seen)) for w in others + [self.slow]}
        mean = sum(calls[w] for w in others) / len(others)
        if calls[self.slow] <= SLOW_MIN_SHARE * mean:
            self.problem("the slow VM got %d calls, the others %.1f on average"
                         % (calls[self.slow], mean))

    def check_store_reads(self):
        """Check how often the nodes read the store in any second."""
        most = max_units_in_window([(r.at, 1) for r in self.hosted.store.calls
                                    if r.method == "GET"], 1)
        if most > STORE_MAX_READS_PER_NODE * self.node_count:
            self.problem("the store was read %d times in a second, %d are allowed"
                         % (most, STORE_MAX_READS_PER_NODE * self.node_count))

    def check_leaders(self):
        """Check that usage windows have one count and fencing tokens one leader each."""
        counts, leaders = {}, {}
        for window, value, leader, fence in list(self.hosted.cloud.usage):
            if counts.setdefault(window, value) != value:
                self.problem("two counts for window %d" % window)
            if leaders.setdefault(fence, leader) != leader:
                self.problem("fencing token %d was used by two leaders" % fence)

    def run_soak(self):
        """Run the deployment, the faults and the checks; return self."""
        self.began = time.monotonic()
        callers = []
        try:
            self.start()
            callers = [threading.Thread(target=self.caller, args=(n,))
                       for n in range(CALLERS)]
            for thread in callers:
                thread.start()
            self.inject_faults()
            self.clear_fault()
            self.check_recovery()
        finally:
            self.stop.set()
            for thread in callers:
                thread.join()
            self.check_runs()
            self.check_quota()
            self.check_classes()
            self.check_leaders()
            self.check_store_reads()
            self.note_logs()
            self.hosted.stop()
        return self

    def note_logs(self):
        """Name the log folder if there are problems."""
        if self.problems:
            self.problems.append("logs: %s" % self.hosted.dir)


def soak(seed, seconds, nodes):
    """Run one seed; return its problems, the answers by status, the faults, and the streams
    that were taken up, by status."""
    s = Soak(seed, seconds, nodes).run_soak()
    return s.problems, dict(s.answers), s.faults, dict(s.taken_up)


def known_seeds():
    """Return the seeds that ever failed."""
    if not os.path.exists(SEEDS_FILE):
        return []
    with open(SEEDS_FILE) as f:
        return [int(x.split()[0]) for x in f if x.strip() and not x.startswith("#")]


def run_in_process(seed, args):
    """Run one seed in a process of its own; return seed, exit code and output."""
    r = subprocess.run([sys.executable, os.path.abspath(__file__), "--one", str(seed),
                        "--seconds", str(args.seconds), "--nodes", str(args.nodes)],
                       cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                       check=False)
    return seed, r.returncode, r.stdout.decode("utf-8", "replace")


def main():
    p = argparse.ArgumentParser(description=__doc__)
    p.add_argument("--seeds", type=int, default=8)
    p.add_argument("--first", type=int, default=int(time.time()))
    p.add_argument("--seconds", type=float, default=12)
    p.add_argument("--nodes", type=int, default=5)
    p.add_argument("--jobs", type=int, default=3)
    p.add_argument("--one", type=int)
    p.add_argument("--regress", action="store_true")
    args = p.parse_args()
    if args.one is not None:
        problems, answers, faults, taken_up = soak(args.one, args.seconds, args.nodes)
        print("seed %d: answers %s, taken up %s, %d faults"
              % (args.one, answers, taken_up, len(faults)))
        for text in problems:
            print("  " + text)
        if problems:
            print("  faults: " + "; ".join(faults))
        sys.exit(bool(problems))
    seeds = known_seeds() if args.regress else \
        [args.first + i for i in range(args.seeds)]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for job in concurrent.futures.as_completed(
                [pool.submit(run_in_process, s, args) for s in seeds]):
            seed, code, out = job.result()
            failed += code != 0
            print(("FAILED " if code else "ok     ") + out.strip())
            sys.stdout.flush()
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
