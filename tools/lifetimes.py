#!/usr/bin/env python3
"""Plays what ends calls, VMs, settings and nodes in random orders, against real nodes.

Streams move between engines, entries of VMs lapse and come back, VMs restart under their id,
settings change, callers leave and nodes stop, each before or after each other. Run it with
nodes that are built with the address sanitizer: what it looks for is a record that is used
after something else has freed it. A seed repeats the order of the events.

    tools/lifetimes.py [--build DIR] [--seeds N] [--first SEED] [--seconds S] [--jobs N]
"""
import os
import random
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from hosted import FRAMINGS, Hosted, Worker, read_answer, reset, wait_until  # noqa: E402
from seeds import make_parser, play_each  # noqa: E402

NODES = 2
EVENTS, GAP_S = 80, 0.04  # of a stream, which outlasts the delay of a move by seconds
ENGINES, PLAIN_VMS = 8, 3  # that are listed as ready, at least
MOVE_FAULTS = (None, None, "full", "full", "gone", "lost", "dies")
DEADLINE_MS = 8000
STREAMS, CALLERS = 8, 6  # threads that send streams, and plain calls
CALL_END_S = 10  # after the callers have stopped
STOP_MARGIN_S = 1  # a node has ended so long after its grace period
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) token (\d+)\n\n")


class Engine(Worker):
    """An engine whose copies of KV caches are lost at random."""

    keeps_copies = True

    def take_copy(self, req):
        return super().take_copy(req) and self.keeps_copies


class Lifetimes:
    """One run: a deployment, its callers, the random events and the checks.

    problems lists what was found wrong; log holds the events with their times.
    """

    def __init__(self, seed, seconds, build=None):
        self.rng = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.d = Hosted(nodes=NODES, zones=("a-hall", "b-hall"), build=build,
                        bounds={"budgetExtra": 400}, fixed_addresses=True)
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.problems, self.log, self.served = [], [], 0
        self.began = time.monotonic()

    def problem(self, text):
        with self.lock:
            self.problems.append("%.2f s: %s" % (time.monotonic() - self.began, text))

    # ---- the deployment ----

    def configure(self, moves=True, resumable=True, max_conns=200):
        engine = {"name": "llm", "healthPath": "/healthz", "maxConns": max_conns,
                  "engine": {"slots": 32, "kvCapacity": 100000, "moves": moves}}
        route = self.d.route
        self.d.configure([route("chat", "llm", "streaming", timeoutMs=8000, resumable=resumable),
                          route("raw", "llm", "streaming", timeoutMs=8000, maxAttempts=1),
                          route("once", "plain", "non_idempotent"), route("repeat", "plain")],
                         services=[engine, "plain"], wait=False)

    def add_engine(self):
        w = Engine("llm", self.rng.choice(self.d.zones), EVENTS, 32)
        w.gap_s, w.framing = GAP_S, self.rng.choice(FRAMINGS)
        self.list_worker(w)

    def add_plain(self):
        w = Worker("plain", self.rng.choice(self.d.zones))
        w.work_s = 0.02
        self.list_worker(w)

    def list_worker(self, w, state="ready"):
        w.state, w.spot = state, False
        if w not in self.d.workers:
            self.d.workers.append(w)
        self.d.store.put("servers", w.id, w.spec(state))

    def start(self):
        self.d.start()
        for _ in range(ENGINES):
            self.add_engine()
        for _ in range(PLAIN_VMS):
            self.add_plain()
        self.configure()
        self.d.wait_ready()

    # ---- callers ----

    def connect(self, rng):
        node = self.d.nodes[rng.randrange(NODES)]
        try:
            sock = socket.create_connection(
                ("127.0.0.1", self.d.port(node.ready["listen"])), 1)
        except OSError:
            return None
        sock.settimeout(DEADLINE_MS / 1000 + 2)
        return sock

    @staticmethod
    def request(route, ident, body):
        return ("POST /%s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
                "Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: %d\r\n"
                "Rillknot-Prompt-Prefix: aa:900,bb:100\r\nRillknot-Token-Usage: 1000,30\r\n"
                "Content-Length: %d\r\n\r\n"
                % (route, ident, DEADLINE_MS, len(body))).encode() + body

    def leave(self, rng, sock):
        """Leave amid a call: read for a time, then close or reset the connection."""
        sock.settimeout(0.05)
        end = time.monotonic() + rng.random() * EVENTS * GAP_S
        while time.monotonic() < end:
            try:
                if not sock.recv(4096):
                    break
            except OSError:
                pass
        if rng.random() < 0.5:
            reset(sock)
        sock.close()

    def caller(self, number, routes, leaving_share):
        """Send calls until the run stops, on a connection that is kept while it lasts."""
        rng = random.Random(self.seed * 1000 + number)
        sock, rest, serial = None, [], 0
        while not self.stop.is_set():
            sock, rest = (sock, rest) if sock else (self.connect(rng), [])
            if sock is None:
                time.sleep(0.05)
                continue
            serial += 1
            ident = "%x-%d-%d" % (self.seed, number, serial)
            try:
                sock.sendall(self.request(rng.choice(routes), ident, b"x" * rng.randrange(900)))
            except OSError:
                sock = None
                continue
            if rng.random() < leaving_share:
                self.leave(rng, sock)
                sock = None
                continue
            answer = read_answer(sock, "POST", rest)
            self.check_answer(ident, answer)
            if not answer.whole or answer.headers.get("connection") == "close":
                sock.close()
                sock = None
            time.sleep(rng.random() * 0.05)
        if sock:
            sock.close()

    def check_answer(self, ident, answer):
        if answer.status != 200 or not answer.whole:
            return
        self.served += 1
        if answer.headers.get("rillknot-attempt-id") != ident:
            self.problem("%s got the answer of %s"
                         % (ident, answer.headers.get("rillknot-attempt-id")))
        numbers = [int(n) for n, _, _ in EVENT.findall(answer.body)]
        if numbers and numbers != list(range(1, len(numbers) + 1)):
            self.problem("%s: events %s" % (ident, numbers))

    # ---- events ----

    def listed(self, service=None, state=None):
        return [w for w in self.d.workers
                if not w.stopped and w.id in self.d.store.objects["servers"] and
                (service is None or w.service == service) and (state is None or w.state == state)]

    def pick(self, *args):
        found = self.listed(*args)
        return self.rng.choice(found) if found else None

    def drain(self):
        w = self.pick("llm", "ready")
        if w:
            w.move_fault = self.rng.choice(MOVE_FAULTS)
            w.keeps_copies = self.rng.random() < 0.8
            self.list_worker(w, "draining")

    def lapse(self):
        """A VM's entry goes while the VM serves on."""
        w = self.pick("llm", "draining") or self.pick()
        if w:
            self.d.store.drop("servers", w.id)

    def come_back(self):
        """An entry that has lapsed is listed again, as that of the same incarnation."""
        gone = [w for w in self.d.workers
                if not w.stopped and w.id not in self.d.store.objects["servers"]]
        if gone:
            w = self.rng.choice(gone)
            self.list_worker(w, w.state)

    def end_vm(self):
        w = self.pick("llm", "draining") or self.pick()
        if w:
            w.stop_at_once()
            if self.rng.random() < 0.7:
                self.d.store.drop("servers", w.id)

    def restart_vm(self, new_incarnation=True):
        """A VM is listed under its id with another address; the old process serves on."""
        old = self.pick()
        if not old:
            return
        w = type(old)(old.service, old.zone, old.events, old.slots)
        w.id, w.gap_s, w.work_s, w.framing = old.id, old.gap_s, old.work_s, old.framing
        w.born = old.born + 1 if new_incarnation else old.born
        self.list_worker(w)

    def move_address(self):
        self.restart_vm(new_incarnation=False)

    def advertise(self):
        w = self.pick()
        if w:
            w.says_leaving = self.rng.random() < 0.5
            w.limit = self.rng.choice([None, None, 5])

    def change_settings(self):
        self.configure(self.rng.random() < 0.8, self.rng.random() < 0.8,
                       self.rng.choice([4, 20, 200]))

    def restart_node(self):
        index = self.rng.randrange(NODES)
        node = self.d.nodes[index]
        code = node.stop(self.d.bounds["graceS"] + STOP_MARGIN_S)
        if code != 0:
            self.problem("%s ended with %s: %s" % (node.name, code, node.log))
        self.d.restart_node(index)

    def play(self):
        kinds = ([self.drain] * 8 + [self.lapse] * 6 + [self.come_back] * 2 + [self.end_vm] * 2 +
                 [self.restart_vm, self.move_address, self.advertise, self.change_settings])
        node_at = self.began + self.seconds * (0.3 + 0.4 * self.rng.random())
        while time.monotonic() < self.began + self.seconds:
            time.sleep(self.rng.random() * 0.3)
            event = self.rng.choice(kinds)
            if node_at and time.monotonic() > node_at:
                event, node_at = self.restart_node, None
            self.log.append("%.2f %s" % (time.monotonic() - self.began, event.__name__))
            event()
            while len(self.listed("llm", "ready")) < ENGINES:
                self.add_engine()
            while len(self.listed("plain")) < PLAIN_VMS:
                self.add_plain()

    # ---- the run ----

    def check_nodes(self):
        for node in self.d.nodes:
            if node.popen.poll() is not None:
                self.problem("%s has ended by itself: %d" % (node.name, node.popen.returncode))
                continue
            try:
                wait_until(lambda n=node: self.d.gauge(n, "calls_in_hand") == 0, CALL_END_S)
            except AssertionError:
                self.problem("%s has %d calls in hand" % (node.name,
                                                          self.d.gauge(node, "calls_in_hand")))

    def moved(self):
        """Return how many runs were moved, and how many went on from a copy."""
        return (sum(len(w.moved) for w in self.d.workers),
                sum(len(w.resumed_from_copy) for w in self.d.workers))

    def run(self):
        with self.d:
            self.start()
            self.began = time.monotonic()
            threads = [threading.Thread(target=self.caller, args=(i, ("chat", "chat", "raw"), 0.3))
                       for i in range(STREAMS)]
            threads += [threading.Thread(target=self.caller, args=(100 + i, ("once", "repeat"), 0.1))
                        for i in range(CALLERS)]
            for t in threads:
                t.start()
            try:
                self.play()
            finally:
                self.stop.set()
                for t in threads:
                    t.join()
            self.check_nodes()
        return self


def run_seed(seed, seconds, build=None):
    """Play one seed and return the finished run. Raises AssertionError on a sanitizer's
    report."""
    return Lifetimes(seed, seconds, build).run()


def main():
    p = make_parser("build/address", seeds=50, jobs=4)
    p.add_argument("--seconds", type=float, default=10)
    args = p.parse_args()
    if args.one is not None:
        run = run_seed(args.one, args.seconds, args.build)
        print("\n".join(run.problems))
        print("seed %d: %d served, %d events, %d runs moved, %d went on from a copy, %d problems"
              % ((args.one, run.served, len(run.log)) + run.moved() + (len(run.problems),)))
        return 1 if run.problems else 0
    return play_each(args, os.path.abspath(__file__), "--seconds", str(args.seconds))


if __name__ == "__main__":
    sys.exit(main())
