#!/usr/bin/env python3
"""Fleet soak: a large fleet of real nodes under series of faults that overlap.

All nodes start at one moment, as on machines of their own: each has a loopback address with
fixed ports, few descriptors and the settings of a small machine. Checks that no node ends by
itself, that each start and each planned stop succeeds, that memory stays within the machine,
and that all nodes serve and are idle when the faults are over.

    tools/fleet_soak.py [--seeds N] [--first SEED] [--seconds S] [--nodes N] [--build DIR]

A seed repeats the order of the faults. The logs of a run with problems are kept.
"""
import argparse
import collections
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import Proc, sanitizer_report  # noqa: E402
from hosted import (TEMPLATE, Hosted, RawServer, Worker, answer_json,  # noqa: E402
                    read_answer, render, reset)
from lifetimes import MOVE_FAULTS  # noqa: E402

ZONES = ("a-hall", "b-hall", "c-hall")
# Figures of a small machine of the fleet.
MEMORY_MB, MAX_FDS, CPU_SHARE = 120, 3075, 0.09
BOUNDS = {"graceS": 8, "leaseMs": 3000, "reportWindowS": 5, "usageLateS": 10,
          "quotaWindowS": 8, "quotaSlack": 140000, "quotaOverrun": 0.1, "budgetExtra": 216}
LOG_MAX_BYTES = 32 << 10  # of a process's log, a limit that many logs reach
FRONT, READY, CONTROL, METRICS, FORWARD = range(7001, 7006)  # ports, below those of clients
START_TIMEOUT_S = 30
STOP_MARGIN_S = 4  # beyond the grace period
MONITOR_S, SAMPLE_S = 0.05, 1.0
SETTLE_S = 20  # time for the fleet to serve and to come to rest after the last fault
IDLE_S, IDLE_SHARE = 3.0, 0.25  # length of the check for idle nodes; share of a core
ENGINES, PLAIN_VMS = 6, 3
EVENTS, GAP_S = 25, 0.06  # of a stream
BIG_EVENT = b"x" * 16384
CALLERS, STREAM_CALLERS = 24, 36  # with calls of all kinds; with streams only
DEADLINE_MS = 4000
MAX_BODY_BYTES = 65536  # of a request, by the settings
KEPT_REQUESTS = 1000  # by the store
DOORS = 3  # addresses of the store
SLOW_S = 0.5  # delay of a slow store
SILENT_S = 15  # until a silent store closes the connection
MAX_PROBLEMS = 20
KEYS = ("key-public", "key-hot")


class Engine(Worker):
    """An engine whose streams for readers that stall are large."""

    def event(self, req, number):
        if req.target.startswith("/large/"):
            return b"id: %d\ndata: %s\n\n" % (number, BIG_EVENT)
        return super().event(req, number)


class StoreDoor(RawServer):
    """An address of the store, with faults for the nodes that use this address only."""

    def __init__(self, store):
        self.store = store
        self.fault = None  # "silent", "reset", the status of all answers, or None
        self.delay_s = 0.0
        super().__init__()

    def handle(self, req, conn):
        time.sleep(self.delay_s)
        if self.fault == "silent":
            time.sleep(SILENT_S)
            return False
        if self.fault == "reset":
            reset(conn)
            return False
        if self.fault:
            answer_json(conn, self.fault, {})
            return True
        if len(self.store.calls) > KEPT_REQUESTS:
            del self.store.calls[:-KEPT_REQUESTS // 2]
        return self.store.handle(req, conn)

    def reset_all(self):
        for conn in list(self.conns):
            reset(conn)


def log_limit(machine):
    """Return the limit of a process's log, which would cut off a sanitizer's report."""
    sanitized = os.path.basename(os.path.dirname(machine.program)) in ("address", "thread")
    return "unlimited" if sanitized else str(LOG_MAX_BYTES)


class Process:
    """One life of a node's process, with what was done to it and seen of it."""

    def __init__(self, machine, log):
        # prlimit becomes the node: it executes the program in its own process.
        self.proc = Proc(["prlimit", "--nofile=%d" % MAX_FDS, "--fsize=%s" % log_limit(machine),
                          machine.program, machine.file], log, ready_event="")
        self.popen, self.log = self.proc.popen, log
        self.started_at = time.monotonic()
        self.serving = False  # has logged that it has started
        self.killed = False
        self.stop_sent_at = None
        self.peak_mb, self.peak_fds = 0.0, 0

    def check_started(self):
        """Return whether the process has logged that it has started."""
        if not self.serving:
            with open(self.log, "rb") as f:
                self.serving = b'"node.started"' in f.read()
        return self.serving

    def kill(self):
        self.sample()
        self.killed = True
        self.proc.kill()

    def sample(self):
        """Update the peaks of memory and of descriptors."""
        try:
            with open("/proc/%d/status" % self.popen.pid) as f:
                found = re.search(r"VmHWM:\s+(\d+) kB", f.read())
            self.peak_fds = max(self.peak_fds, len(os.listdir("/proc/%d/fd" % self.popen.pid)))
        except OSError:
            return
        if found:
            self.peak_mb = max(self.peak_mb, int(found.group(1)) / 1024)

    def cpu_s(self):
        """Return the processor time used so far, in seconds; 0 if the process has ended."""
        try:
            with open("/proc/%d/stat" % self.popen.pid) as f:
                fields = f.read().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def last_lines(self):
        with open(self.log, "rb") as f:
            return f.read()[-2500:].decode("utf-8", "replace")


class Machine:
    """A node's machine: its address, its process file and its present process."""

    def __init__(self, name, address, program, path):
        self.name, self.address, self.program, self.file = name, address, program, path
        self.process = None
        self.start_at = 0.0  # when the next process starts, if there is none
        self.starts = itertools.count(1)
        self.checks = itertools.count()

    def start(self):
        self.process = Process(self, "%s.%d.log" % (self.file, next(self.starts)))

    def serves(self):
        return self.process is not None and self.process.serving

    def use_settings_of_restart(self):
        with open(self.file) as f:
            text = f.read().replace('"first_start": true', '"first_start": false')
        with open(self.file + ".new", "w") as f:
            f.write(text)
        os.rename(self.file + ".new", self.file)


def choose_network():
    """Return the first three numbers of loopback addresses that no other run uses."""
    while True:
        prefix = "127.%d.%d" % (random.randrange(1, 255), random.randrange(1, 255))
        try:
            with socket.socket() as s:
                s.bind(("%s.1" % prefix, FRONT))
                return prefix
        except OSError:
            continue


class FleetSoak:
    """One run: the fleet, its callers, the faults and the checks."""

    def __init__(self, seed, seconds, nodes, build=None):
        self.seed, self.seconds, self.node_count = seed, seconds, nodes
        self.rng = random.Random(seed)
        self.d = Hosted(nodes=0, zones=ZONES, build=build, bounds=BOUNDS)
        self.machines = []
        self.monitor = None  # the thread that runs watch()
        self.store_copy = None  # to restore
        self.problems, self.lock = [], threading.Lock()
        self.stop, self.faults_over = threading.Event(), threading.Event()
        self.monitor_over = threading.Event()
        self.log = []  # faults, with their times
        self.counts = collections.Counter()
        self.answers = collections.Counter()  # by status
        self.peak_mb, self.peak_fds, self.peak_sum_mb = 0.0, 0, 0.0
        self.doors = [StoreDoor(self.d.store) for _ in range(DOORS)]
        self.draining = set()  # ids of VMs that were told to leave
        self.began = time.monotonic()

    def problem(self, text):
        with self.lock:
            if len(self.problems) < MAX_PROBLEMS:
                self.problems.append("%.2f s: %s" % (time.monotonic() - self.began, text))

    def note(self, text):
        self.log.append("%.2f %s" % (time.monotonic() - self.began, text))

    # ---- the deployment ----

    def add_machine(self, number, network):
        zone = ZONES[number % len(ZONES)]
        name = "edge-%s-%d" % (zone, number + 1)
        address = "%s.%d" % (network, number + 1)
        fields = {"nodeName": name, "zone": zone, "ip": address,
                  "portRange": [METRICS, FORWARD],
                  "platform": {"address": self.doors[number // len(ZONES) % DOORS].addr},
                  "cloud": {"address": self.d.cloud.addr},
                  "listen": {"front": "%s:%d" % (address, FRONT),
                             "readiness": "%s:%d" % (address, READY),
                             "control": "%s:%d" % (address, CONTROL)},
                  "seeds": ["%s.%d:%d" % (network, n + 1, CONTROL)
                            for n in range(min(3, self.node_count))],
                  "bootstrap": True, "bounds": self.d.bounds,
                  "limits": {"cpuShare": CPU_SHARE, "maxFds": MAX_FDS, "memoryMb": MEMORY_MB}}
        path = os.path.join(self.d.dir, "%s.json" % name)
        with open(TEMPLATE) as f, open(path, "w") as out:
            out.write(render(f.read(), fields))
        self.machines.append(Machine(name, address,
                                     os.path.join(self.d.build, "rillknot-node"), path))

    def add_vm(self, service, ident=None):
        if service == "llm":
            w = Engine("llm", self.rng.choice(ZONES), EVENTS, 32)
            w.gap_s = GAP_S
        else:
            w = Worker("plain", self.rng.choice(ZONES))
            w.work_s = 0.01
        w.id, w.spot = ident or w.id, False
        self.d.workers.append(w)
        self.d.store.put("servers", w.id, w.spec())

    def configure(self, routes=0, organisations=2):
        route = self.d.route
        routes = [route("repeat", "plain"), route("once", "plain", "non_idempotent"),
                  route("chat", "llm", "streaming", timeoutMs=8000, resumable=True),
                  route("large", "llm", "streaming", timeoutMs=8000, maxAttempts=1)] + \
            [route("idle-%d" % n, "plain") for n in range(routes)]
        tenants = [{"name": "public", "apiKeys": [KEYS[0]], "ratePerS": 0},
                   {"name": "hot", "apiKeys": [KEYS[1]], "unit": "token_stream",
                    "plainTokens": 200, "ratePerS": 2000, "burst": 2000}]
        tenants += [{"name": "org-%d" % n, "apiKeys": ["key-%d-%d" % (n, k) for k in range(8)],
                     "ratePerS": 10} for n in range(organisations)]
        llm = {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
               "engine": {"slots": 32, "kvCapacity": 100000, "moves": True}}
        self.d.configure(routes, services=[llm, "plain"], tenants=tenants, wait=False)

    def start(self):
        network = choose_network()
        for number in range(self.node_count):
            self.add_machine(number, network)
        for _ in range(ENGINES):
            self.add_vm("llm")
        for _ in range(PLAIN_VMS):
            self.add_vm("plain")
        self.configure()
        self.store_copy = self.d.store.copy()
        for m in self.machines:
            m.start()
        self.monitor = threading.Thread(target=self.watch)
        self.monitor.start()
        self.wait(lambda: all(m.serves() for m in self.machines), START_TIMEOUT_S,
                  "not all nodes have started")
        for m in self.machines:
            m.use_settings_of_restart()
        self.wait(lambda: all(self.is_served(m) for m in self.machines), SETTLE_S,
                  "not all nodes serve after the start")

    def wait(self, condition, timeout, text):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.1)
        self.problem(text)

    # ---- processes ----

    def watch(self):
        """Judge how processes end, start them again, and sample what they use."""
        sample_at = 0.0
        while not self.monitor_over.wait(MONITOR_S):
            for m in self.machines:
                self.watch_process(m)
            if time.monotonic() >= sample_at:
                sample_at = time.monotonic() + SAMPLE_S
                self.sample()

    def watch_process(self, m):
        p, now = m.process, time.monotonic()
        if p is None:
            if now >= m.start_at:
                m.start()
                self.counts["starts"] += 1
            return
        if p.popen.poll() is not None:
            self.judge_end(m, p)
            self.check_log(m, p)
            m.process = None
        elif not p.check_started() and now - p.started_at > START_TIMEOUT_S:
            self.problem("%s has not started after %d s" % (m.name, START_TIMEOUT_S))
            p.started_at = now
        elif p.stop_sent_at and now - p.stop_sent_at > BOUNDS["graceS"] + STOP_MARGIN_S:
            self.problem("%s has not stopped in time: %s" % (m.name, p.last_lines()))
            p.kill()

    def judge_end(self, m, p):
        code = p.popen.returncode
        self.counts["full logs"] += os.path.getsize(p.log) >= LOG_MAX_BYTES
        if p.killed and code == -signal.SIGKILL:
            return
        if p.stop_sent_at and code == 0:
            self.counts["planned stops"] += 1
            return
        self.counts["ended by themselves"] += 1
        self.problem("%s ended with %s %.2f s after its start, killed: %s, stopped: %s: %s"
                     % (m.name, code, time.monotonic() - p.started_at, p.killed,
                        bool(p.stop_sent_at), p.last_lines()))

    def check_log(self, m, p):
        """Note a sanitizer's report, also of a process that was killed."""
        report = sanitizer_report(p.log)
        if report:
            self.problem("%s: %s: %s" % (m.name, p.log, report))

    def sample(self):
        total = 0.0
        for m in self.machines:
            p = m.process
            if p is None:
                continue
            before = p.peak_mb
            p.sample()
            total += p.peak_mb
            if p.peak_mb > MEMORY_MB >= before:
                self.problem("%s holds %.0f MB" % (m.name, p.peak_mb))
            self.peak_mb = max(self.peak_mb, p.peak_mb)
            self.peak_fds = max(self.peak_fds, p.peak_fds)
        self.peak_sum_mb = max(self.peak_sum_mb, total)

    def kill(self, machines, down_s):
        """Kill the machines' processes; the next ones start after down_s seconds."""
        for m in machines:
            m.start_at = time.monotonic() + down_s
            if m.process:
                m.process.kill()
                self.counts["kills"] += 1

    def stop_planned(self, m):
        p = m.process
        if p and p.serving and not p.stop_sent_at:
            m.start_at = 0.0
            p.stop_sent_at = time.monotonic()
            p.proc.signal(signal.SIGTERM)
            self.counts["planned stops begun"] += 1

    # ---- callers ----

    def connect(self, m, timeout=1.0):
        try:
            sock = socket.create_connection((m.address, FRONT), timeout)
        except OSError:
            return None
        sock.settimeout(DEADLINE_MS / 1000 + 2)
        return sock

    @staticmethod
    def request(route, ident, body, key, length=None):
        return ("POST /%s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: %s\r\n"
                "Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: %d\r\n"
                "Rillknot-Prompt-Prefix: aa:900,bb:100\r\nRillknot-Token-Usage: 1000,30\r\n"
                "Content-Length: %d\r\n\r\n"
                % (route, key, ident, DEADLINE_MS,
                   len(body) if length is None else length)).encode() + body

    def is_served(self, m):
        """Return whether the node serves a plain call on a new connection."""
        sock = self.connect(m)
        if sock is None:
            return False
        try:
            sock.sendall(self.request("repeat", "check-%d" % next(m.checks), b"x", KEYS[0]))
            return read_answer(sock, "POST").status == 200
        except OSError:
            return False
        finally:
            sock.close()

    def caller(self, number, streams_only):
        """Send calls until the run stops, on a connection that is used while it lasts."""
        rng = random.Random(self.seed * 1000 + number)
        sock, rest, serial = None, [], 0
        while not self.stop.is_set():
            if sock is None:
                sock, rest = self.connect(rng.choice(self.machines)), []
                if sock is None:
                    self.answers["no connection"] += 1
                    time.sleep(0.1)
                    continue
            serial += 1
            route, key = "chat", KEYS[0]
            if not streams_only:
                route = rng.choice(("repeat", "repeat", "once", "chat", "chat"))
                key = rng.choice(KEYS + ("nobody",))
            body = b"x" * rng.choice((0, 10, 2000, MAX_BODY_BYTES))
            try:
                sock.sendall(self.request(route, "%x-%d-%d" % (self.seed, number, serial),
                                          body, key))
                answer = read_answer(sock, "POST", rest)
            except OSError:
                answer = None
            self.answers[answer.status if answer else "broken"] += 1
            if not answer or not answer.whole or answer.headers.get("connection") == "close":
                sock.close()
                sock = None
            time.sleep(rng.random() * 0.1)
        if sock:
            sock.close()

    # ---- series of faults; each runs in a thread of its own ----

    def pause(self, rng, low, high):
        """Sleep; return whether the faults go on."""
        return not self.faults_over.wait(rng.uniform(low, high))

    def kills_at_once(self, rng):
        """Half of the nodes or all are killed, again and again."""
        for _ in range(rng.randrange(2, 5)):
            share = rng.choice((0.1, 0.5, 0.5, 1.0))
            self.note("kill %g" % share)
            self.kill(rng.sample(self.machines, max(1, int(share * len(self.machines)))),
                      rng.choice((0.0, 0.1, 1.0)))
            if not self.pause(rng, 0.2, 4):
                return

    def planned_stops(self, rng):
        """Nodes are stopped and started in turn, several at a time."""
        order = rng.sample(self.machines, len(self.machines))
        size = max(1, int(len(order) * rng.choice((0.03, 0.1, 0.34))))
        self.note("planned stops of %d at a time" % size)
        for first in range(0, len(order), size):
            for m in order[first:first + size]:
                self.stop_planned(m)
            if not self.pause(rng, 0.1, 1):
                return

    def reloads(self, rng):
        """Process files are read again, beside stops too."""
        self.note("reloads")
        for _ in range(rng.randrange(3, 30)):
            for m in rng.sample(self.machines, max(1, len(self.machines) // 3)):
                if m.serves():
                    m.process.proc.signal(signal.SIGHUP)
            if not self.pause(rng, 0.01, 0.5):
                return

    def settings(self, rng):
        """Settings change in quick succession, large ones among them."""
        self.note("settings")
        for _ in range(rng.randrange(5, 20)):
            self.configure(rng.choice((0, 3, 40, 300)), rng.choice((2, 16, 200)))
            if not self.pause(rng, 0.05, 0.5):
                return
        self.configure()

    def store_faults(self, rng):
        """The store is away, slow, refuses some nodes, has lost its history, or is restored."""
        for _ in range(rng.randrange(1, 4)):
            kind = rng.choice(("silent", "reset", 503, 429, "slow", "compacted", "restored"))
            doors = rng.sample(self.doors, rng.randrange(1, DOORS + 1))
            self.note("store %s for %d of %d" % (kind, len(doors), DOORS))
            if kind == "compacted":
                self.d.store.forget_history()
            elif kind == "restored":
                self.restore_store(rng)
            for door in doors:
                door.delay_s = SLOW_S if kind == "slow" else 0.0
                door.fault = kind if kind in ("silent", "reset", 503, 429) else None
                if kind == "reset":
                    door.reset_all()
            going_on = self.pause(rng, 0.5, 5)
            for door in doors:
                door.fault, door.delay_s = None, 0.0
            if not going_on:
                return

    def restore_store(self, rng):
        for door in self.doors:
            door.reset_all()
        self.d.store.restore(self.store_copy, rng.uniform(0, 2),
                             self.d.store.write_platform_state_again)
        self.store_copy = self.d.store.copy()

    def vm_faults(self, rng):
        """Single VMs reset their connections, end, start again, leave, or lapse."""
        for _ in range(rng.randrange(3, 12)):
            listed = [w for w in self.d.workers
                      if not w.stopped and w.id in self.d.store.objects["servers"]]
            # An engine that leaves may be off the list before its streams have moved.
            draining = [w for w in listed if w.id in self.draining]
            w = rng.choice(draining or listed)
            kind = rng.choice(("lapse", "end") if draining else
                              ("reset", "restart", "drain", "drain", "end", "lapse"))
            self.note("VM %s" % kind)
            if kind == "reset":
                for conn in list(w.conns):
                    reset(conn)
            elif kind == "drain":
                w.move_fault = rng.choice(MOVE_FAULTS)
                self.draining.add(w.id)
                self.d.drain(w)
            elif kind == "lapse":
                self.d.store.drop("servers", w.id)
            else:
                w.stop_at_once()
            if kind == "restart":
                self.add_vm(w.service, w.id)
            elif kind == "end":
                self.d.store.drop("servers", w.id)
            self.fill_up()
            if not self.pause(rng, 0.05, 0.8):
                return

    def engines_leave(self, rng):
        """All engines but one leave; they cannot hand over their streams and lapse meanwhile."""
        for _ in range(rng.randrange(4, 8)):
            leaving = [w for w in self.d.workers if w.service == "llm" and not w.stopped and
                       w.id in self.d.store.objects["servers"]][1:]
            self.note("%d engines leave" % len(leaving))
            for w in leaving:
                w.move_fault = "full"
                self.draining.add(w.id)
                self.d.drain(w)
            self.fill_up()
            time.sleep(rng.uniform(0.05, 0.4))
            for w in leaving:
                self.d.store.drop("servers", w.id)
            if not self.pause(rng, 0.8, 1.5):
                return

    def fill_up(self):
        for service, least in (("llm", ENGINES), ("plain", PLAIN_VMS)):
            listed = self.d.store.objects["servers"]
            ready = [o for o in list(listed.values())
                     if o["spec"]["service"] == service and o["spec"]["state"] == "ready"]
            for _ in range(least - len(ready)):
                self.add_vm(service)

    def stalled_callers(self, rng):
        """Callers send half of a request, or do not read what they asked for."""
        kind = rng.choice(("head", "body", "no key", "reader", "pipelined"))
        machines = rng.sample(self.machines, rng.choice((1, max(1, len(self.machines) // 4))))
        count = 160 // len(machines)
        self.note("%d x %d stalled callers: %s" % (len(machines), count, kind))
        conns = []
        for m in machines:
            for n in range(count):
                sock = self.connect(m)
                if sock is None:
                    break
                conns.append(sock)
                self.send_and_stall(sock, kind, "%x-s-%s-%d" % (self.seed, m.name, n))
        self.pause(rng, 1, 8)
        for sock in conns:
            if rng.random() < 0.5:
                reset(sock)
            sock.close()

    def send_and_stall(self, sock, kind, ident):
        body = b"x" * (MAX_BODY_BYTES - 1)
        key = "nobody" if kind == "no key" else KEYS[0]
        sock.settimeout(0.2)
        try:
            if kind == "head":
                sock.sendall(self.request("once", ident, b"", key)[:-3])
            elif kind in ("body", "no key"):
                sock.sendall(self.request("once", ident, body, key, MAX_BODY_BYTES))
            elif kind == "reader":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.sendall(self.request("large", ident, b"x", key))
            else:
                sock.sendall(b"".join(self.request("repeat", "%s-%d" % (ident, n), b"x", key)
                                      for n in range(200)))
        except OSError:
            pass

    SERIES = (kills_at_once, kills_at_once, planned_stops, reloads, settings, store_faults,
              store_faults, vm_faults, engines_leave, engines_leave, stalled_callers,
              stalled_callers)

    def play(self):
        """Begin series at random moments, so that several go on at a time."""
        end = time.monotonic() + self.seconds
        threads, order = [], []
        while time.monotonic() < end:
            order = order or self.rng.sample(self.SERIES, len(self.SERIES))
            series = order.pop()
            t = threading.Thread(target=series, args=(self, random.Random(self.rng.random())))
            t.start()
            threads.append(t)
            time.sleep(min(self.rng.uniform(0.2, 2), max(0.0, end - time.monotonic())))
        self.faults_over.set()
        for t in threads:
            t.join()
        for door in self.doors:
            door.fault, door.delay_s = None, 0.0
        self.configure()

    # ---- the run ----

    def check_recovery(self):
        """Check that all nodes have started and serve after the faults; end the callers."""
        self.wait(lambda: all(m.serves() for m in self.machines), START_TIMEOUT_S,
                  "not all nodes have started after the faults")
        self.wait(lambda: all(self.is_served(m) for m in self.machines), SETTLE_S,
                  "not all nodes serve after the faults")
        self.stop.set()

    def check_idle(self):
        """Check that no node uses much processor time when nobody calls."""
        end = time.monotonic() + SETTLE_S
        while True:
            processes = [(m, m.process) for m in self.machines if m.process]
            before = [p.cpu_s() for _, p in processes]
            time.sleep(IDLE_S)
            busy = ["%s: %.2f" % (m.name, (p.cpu_s() - b) / IDLE_S)
                    for (m, p), b in zip(processes, before)
                    if p.cpu_s() - b > IDLE_SHARE * IDLE_S]
            if not busy:
                return
            if time.monotonic() > end:
                self.problem("busy without calls: %s" % ", ".join(busy))
                return

    def run(self):
        callers = [threading.Thread(target=self.caller, args=(i, i >= CALLERS))
                   for i in range(CALLERS + STREAM_CALLERS)]
        try:
            self.start()
            for t in callers:
                t.start()
            self.play()
            self.check_recovery()
            for t in callers:
                t.join()
            self.check_idle()
        finally:
            self.faults_over.set()
            self.stop.set()
            self.monitor_over.set()
            if self.monitor:
                self.monitor.join()
            self.sample()
            self.end()
        return self

    def end(self):
        for m in self.machines:
            if m.process:
                if m.process.popen.poll() is not None:
                    self.judge_end(m, m.process)
                m.process.kill()
                self.check_log(m, m.process)
        self.d.stop()
        if not self.problems:
            shutil.rmtree(self.d.dir, ignore_errors=True)

    def summary(self):
        return ("seed %d: %d nodes, %s, answers %s, peak of a node %.1f MB and %d descriptors, "
                "of all %.0f MB, %d problems"
                % (self.seed, self.node_count,
                   ", ".join("%d %s" % (n, k) for k, n in sorted(self.counts.items())),
                   json.dumps({str(k): n for k, n in self.answers.most_common()}), self.peak_mb,
                   self.peak_fds, self.peak_sum_mb, len(self.problems)))


def run_seed(seed, seconds, nodes, build=None):
    """Play one seed and return the finished run."""
    return FleetSoak(seed, seconds, nodes, build).run()


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--build", default="build")
    p.add_argument("--seeds", type=int, default=1)
    p.add_argument("--first", type=int, default=int(time.time()))
    p.add_argument("--seconds", type=float, default=30)
    p.add_argument("--nodes", type=int, default=60)
    args = p.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        run = run_seed(seed, args.seconds, args.nodes, args.build)
        print(run.summary(), flush=True)
        if run.problems:
            failed += 1
            print("\n".join(["FAILED, logs in %s" % run.d.dir] + run.problems + run.log),
                  flush=True)
    print("%d of %d seeds failed" % (failed, args.seeds))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
