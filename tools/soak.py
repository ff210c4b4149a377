#!/usr/bin/env python3
"""A fault soak: real nodes as processes of their own, in front of stand-ins, harmed
from outside by signals, loopback proxies and a store that misbehaves, while callers
keep using their connections. The promises are checked from what callers and upstream
vms see. A seed repeats the order of faults.

    tools/soak.py [--seeds N] [--first SEED] [--seconds S] [--nodes N] [--jobs N]

tests/soak-seeds.txt keeps each seed that ever failed; --regress plays those."""
import argparse
import collections
import concurrent.futures
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import faultproxy  # noqa: E402
from hosted import Hosted, Worker, read_answer  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SEEDS_FILE = os.path.join(ROOT, "tests", "soak-seeds.txt")
ZONES = ("a-hall", "b-hall", "c-hall")
PROMISES_NOT_RUN = (408, 421, 429, 503)
CALLERS = 6
QUOTA_WINDOW_S, QUOTA_RATE, QUOTA_BURST, QUOTA_SLACK = 4, 20, 20, 40
QUOTA_MOST = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * 1.1 + QUOTA_SLACK
SETTLE_S = 12  # after the last fault
IN_TOUCH_S = 3.0  # until all nodes know what a vm says in its answers
CALM_S = 6.0
REST_S, REST_WINDOW_S = 3, 2.5
IN_A_REST = 3  # requests of a node: the one that is told, and two
LIMIT, LIMIT_WINDOW_S = 1, 4.0
LIMIT_MOST = 1.5 * LIMIT * LIMIT_WINDOW_S + 5
PUBLIC, SMALL = "key-public", "key-small"


class SlowWorker(Worker):
    """A worker whose calls take a moment, so that faults meet them in hand."""

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.rng = random.Random(self.id)
        self.ran_at = []  # (time, tenant)
        self.gap_s = 0.01

    def run(self, req, conn):
        if not self.events:
            time.sleep(0.005 + self.rng.random() * 0.03)
        self.ran_at.append((time.monotonic(), req.get("Rillknot-Tenant-Id")))
        return super().run(req, conn)


VMS_MOST = 1 << 16  # of one fleet, in its whole life


class Soak:
    def __init__(self, seed, seconds, nodes):
        self.rng = random.Random(seed)
        # Fleets that run side by side get ports that others just freed: a call that
        # strays to another fleet's vm is told apart by the vm's id.
        Worker.ids = itertools.count(seed % (1 << 24) * VMS_MOST + 1)
        self.seed, self.seconds = seed, seconds
        self.problems = []
        self.lock = threading.Lock()
        self.stop = threading.Event()
        self.done = collections.Counter()
        self.refused = []       # ids answered with a promise that they did not run
        self.once = set()       # ids that may run once
        self.calm = threading.Event()
        self.calm_done = collections.Counter()
        self.faults = []
        self.bounds = {"quotaWindowS": QUOTA_WINDOW_S, "quotaSlack": QUOTA_SLACK}
        self.hosted = Hosted(nodes=0, zones=ZONES, bounds=self.bounds)
        self.paths = []         # of each node: store, cloud and control proxies
        self.worker_paths = {}
        self.generations = []
        self.node_count = nodes
        self.busy_nodes = set()

    def problem(self, text):
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
            seeds = [p["control"].addr for p in self.paths[:3]]
            self.paths.append({"store": store, "cloud": cloud, "control": control})
            node = d.add_node(platform={"address": store.addr},
                              cloud={"address": cloud.addr}, advertise=control.addr,
                              seeds=seeds)
            control.target = node.ready["control_bound"]
        for zone in ZONES:
            self.add_worker("plain", zone)
            self.add_worker("llm", zone, events=12)
        self.configure()
        d.wait_ready()

    def add_worker(self, service, zone, events=0):
        worker = SlowWorker(service, zone, events, 6 if not events else 32)
        worker.spot = False
        proxy = faultproxy.FaultProxy(worker.addr)
        self.worker_paths[worker.id] = proxy
        self.hosted.workers.append(worker)
        self.publish(worker, "ready")
        return worker

    def publish(self, worker, state):
        spec = worker.spec(state)
        spec["address"] = self.worker_paths[worker.id].addr
        self.hosted.store.put("servers", worker.id, spec)

    def configure(self):
        """A new version: one more route that shows it."""
        d = self.hosted
        route = d.route
        routes = [route("once", "plain", "non_idempotent"), route("repeat", "plain"),
                  route("stream", "llm", "streaming", resumable=True),
                  route("raw", "llm", "streaming")]
        name = "gen-%d" % (len(self.generations) + 1)
        shown = self.generations + [name]
        routes += [route(g, "plain") for g in shown]
        tenants = [{"name": "public", "apiKeys": [PUBLIC], "ratePerS": 0},
                   {"name": "small", "apiKeys": [SMALL], "ratePerS": QUOTA_RATE,
                    "burst": QUOTA_BURST}]
        d.configure(routes, services=("plain", "llm"), tenants=tenants, wait=False)
        self.generations = shown

    # ---- callers ----

    def caller(self, number):
        rng = random.Random(self.seed * 1000 + number)
        conn, node, rest = None, None, []
        serial = 0
        seen = {}  # (process, node) -> newest generation that was served
        while not self.stop.is_set():
            if conn is None:
                node = self.hosted.nodes[rng.randrange(self.node_count)]
                conn, rest = self.connect(node), []
                if conn is None:
                    time.sleep(0.02)
                    continue
            serial += 1
            ident = "%x-%d-%d" % (self.seed, number, serial)
            keep = self.one(rng, conn, node, ident, rest, seen)
            if not keep or rng.random() < 0.1:
                conn.close()
                conn = None
            time.sleep(rng.random() * 0.02)
        if conn:
            conn.close()

    @staticmethod
    def connect(node):
        try:
            sock = socket.create_connection(
                ("127.0.0.1", int(node.ready["listen"].rsplit(":", 1)[1])), 1)
        except OSError:
            return None
        sock.settimeout(6)
        return sock

    def one(self, rng, conn, node, ident, rest, seen):
        kind = rng.choice(["once", "once", "repeat", "stream", "stream", "raw", "small",
                           "gen", "nobody"])
        path, key = kind, PUBLIC
        if kind == "small":
            path, key = "repeat", SMALL
        elif kind == "nobody":
            path, key = "repeat", "key-unknown"
        elif kind == "gen":
            path = rng.choice(self.generations)
        body = b"b" * rng.randrange(0, 3000)
        if kind in ("once", "raw"):
            with self.lock:
                self.once.add(ident)
        head = ("POST /%s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: %s\r\n"
                "Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: 3000\r\n"
                "Content-Length: %d\r\n\r\n" % (path, key, ident, len(body)))
        try:
            conn.sendall(head.encode() + body)
        except OSError:
            return False
        answer = read_answer(conn, "POST", rest)
        self.judge(kind, path, ident, node, answer, seen)
        return answer.status != 0 and answer.whole and not (rest and rest[-1]) and \
            answer.headers.get("connection") != "close"

    def judge(self, kind, path, ident, node, a, seen):
        calm = self.calm.is_set()
        with self.lock:
            self.done[a.status] += 1
            if calm and kind not in ("nobody", "small"):
                self.calm_done[a.status] += 1
            if a.status in PROMISES_NOT_RUN and a.whole:
                self.refused.append(ident)
        if a.status == 200 and a.whole:
            self.judge_served(kind, ident, a)
        if kind == "nobody" and a.status == 200:
            self.problem("an unknown key was served: %s" % ident)
        if kind == "gen":
            self.judge_generation(path, node, a, seen)
        elif kind != "nobody" and a.status in (401, 404):
            self.problem("%s: %d for what all settings allow" % (ident, a.status))

    def judge_served(self, kind, ident, a):
        signature = a.headers.get("rillknot-server-signature", "")
        if a.headers.get("rillknot-attempt-id") != ident:
            self.problem("%s got the answer of %s" %
                         (ident, a.headers.get("rillknot-attempt-id")))
        if kind in ("stream", "raw"):
            expected = b"".join(b"id: %d\ndata: %s token %d\n\n" % (i, ident.encode(), i)
                                for i in range(1, 13))
            if a.body != expected:
                self.problem("%s: a stream that is not whole: %r" % (ident, a.body[:200]))
        elif a.body != b"answer of %s to %s" % (signature.split(".")[0].encode(),
                                                ident.encode()):
            self.problem("%s: not its worker's body: %r" % (ident, a.body[:120]))

    def judge_generation(self, path, node, a, seen):
        """A process that served a generation's route may never lose it again."""
        number = int(path.split("-")[1])
        life = node.popen.pid
        if a.status == 200:
            seen[life] = max(seen.get(life, 0), number)
        elif a.status == 404 and number <= seen.get(life, 0):
            self.problem("settings went back at %s: %s after gen-%d"
                         % (node.name, path, seen[life]))

    # ---- faults ----

    def fault_kinds(self):
        return [self.kill, self.kill, self.term, self.pause, self.pause, self.hup,
                self.store_path, self.store_path, self.peer_path, self.peer_path,
                self.cloud_path, self.worker_path, self.worker_path, self.store_ill,
                self.store_ill, self.forget, self.change, self.change, self.crash_worker,
                self.release_worker, self.kill_many, self.name_limit, self.ask_rest,
                self.say_leaving]

    def take_node(self, rng):
        with self.lock:
            free = [i for i in range(self.node_count) if i not in self.busy_nodes]
            if not free:
                return None
            index = rng.choice(free)
            self.busy_nodes.add(index)
            return index

    def give_node(self, index):
        with self.lock:
            self.busy_nodes.discard(index)

    def restart(self, index, rng):
        time.sleep(rng.random() * 0.8)
        node = self.hosted.restart_node(index)
        self.paths[index]["control"].target = node.ready["control_bound"]

    def kill(self, rng):
        index = self.take_node(rng)
        if index is None:
            return
        self.hosted.nodes[index].kill()
        self.restart(index, rng)
        self.give_node(index)

    def kill_many(self, rng):
        taken = [i for i in (self.take_node(rng) for _ in range(self.node_count))
                 if i is not None]
        for index in taken:
            self.hosted.nodes[index].kill()
        for index in taken:
            self.restart(index, rng)
            self.give_node(index)

    def term(self, rng):
        index = self.take_node(rng)
        if index is None:
            return
        self.hosted.nodes[index].stop(9)
        self.restart(index, rng)
        self.give_node(index)

    def pause(self, rng):
        index = self.take_node(rng)
        if index is None:
            return
        node = self.hosted.nodes[index]
        node.freeze()
        time.sleep(0.2 + rng.random() * 4)
        node.thaw()
        self.give_node(index)

    def hup(self, rng):
        self.hosted.nodes[rng.randrange(self.node_count)].signal(signal.SIGHUP)

    def harm(self, proxy, rng, modes):
        mode = rng.choice(modes)
        delay_s = rng.random() * 0.3 if mode == faultproxy.PASS else 0
        proxy.harm(mode, delay_s)
        time.sleep(0.3 + rng.random() * 4)
        proxy.heal()

    ALL_MODES = (faultproxy.PASS, faultproxy.SILENT, faultproxy.UP_ONLY,
                 faultproxy.DOWN_ONLY, faultproxy.RESET)

    def store_path(self, rng):
        self.harm(rng.choice(self.paths)["store"], rng, self.ALL_MODES)

    def cloud_path(self, rng):
        self.harm(rng.choice(self.paths)["cloud"], rng, self.ALL_MODES)

    def peer_path(self, rng):
        self.harm(rng.choice(self.paths)["control"], rng, self.ALL_MODES)

    def worker_path(self, rng):
        self.harm(rng.choice(list(self.worker_paths.values())), rng, self.ALL_MODES)

    def store_ill(self, rng):
        store, how = self.hosted.store, rng.choice([503, 429, "reset", "silent", "lost"])
        share = 1.0 if how != "lost" else 0.4
        picks = random.Random(rng.random())
        store.fault = lambda req: how if picks.random() < share else None
        time.sleep(0.3 + rng.random() * 3)
        store.fault = None

    def forget(self, _):
        self.hosted.store.forget_history()

    def change(self, _):
        with self.lock:
            many = len(self.generations) >= 60
        if not many:
            self.configure()

    def plain_worker(self, rng):
        with self.lock:
            alive = [w for w in self.hosted.workers if w.id in self.worker_paths]
        same = collections.Counter(w.service for w in alive)
        able = [w for w in alive if same[w.service] > 2]
        return rng.choice(able) if able else None

    def crash_worker(self, rng):
        worker = self.plain_worker(rng)
        if worker is None:
            return
        self.worker_paths.pop(worker.id).close()
        worker.close()
        time.sleep(0.5 + rng.random())
        self.hosted.store.drop("servers", worker.id)
        self.add_worker(worker.service, worker.zone, worker.events)

    def release_worker(self, rng):
        worker = self.plain_worker(rng)
        if worker is None:
            return
        self.add_worker(worker.service, worker.zone, worker.events)
        self.publish(worker, "draining")
        proxy = self.worker_paths.pop(worker.id)
        time.sleep(3)
        self.hosted.store.drop("servers", worker.id)
        proxy.close()
        worker.close()

    def name_limit(self, rng):
        worker = self.plain_worker(rng)
        if worker is None:
            return
        worker.limit = rng.choice([0.5, 1, 5, 50])
        time.sleep(0.5 + rng.random() * 5)
        worker.limit = None

    def ask_rest(self, rng):
        worker = self.plain_worker(rng)
        if worker is None:
            return
        worker.rest_s = rng.choice([0.2, 1, 3])
        time.sleep(0.3 + rng.random() * 3)
        worker.rest_s = 0

    def say_leaving(self, rng):
        """In its answers only; its entry goes later."""
        worker = self.plain_worker(rng)
        if worker is None:
            return
        self.add_worker(worker.service, worker.zone, worker.events)
        worker.says_leaving = True
        proxy = self.worker_paths.pop(worker.id)
        time.sleep(3)
        self.hosted.store.drop("servers", worker.id)
        proxy.close()
        worker.close()

    def strike(self):
        """Series of faults that overlap."""
        threads = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            kind = self.rng.choice(self.fault_kinds())
            rng = random.Random(self.rng.random())
            self.faults.append("%.2f %s" % (time.monotonic() - self.began, kind.__name__))
            thread = threading.Thread(target=self.guarded, args=(kind, rng))
            thread.start()
            threads.append(thread)
            time.sleep(self.rng.random() * 0.9)
        for thread in threads:
            thread.join()

    def guarded(self, kind, rng):
        try:
            kind(rng)
        except Exception as e:  # pylint: disable=broad-except
            self.problem("%s: %r" % (kind.__name__, e))

    # ---- after it ----

    def heal(self):
        self.hosted.store.fault = None
        for path in self.paths:
            for proxy in path.values():
                proxy.heal()
        for proxy in self.worker_paths.values():
            proxy.heal()
        for worker in self.hosted.workers:
            worker.limit, worker.rest_s = None, 0

    def check_calm(self):
        """Once all is well again: everything is served, settings arrive, a vm that
        leaves gets no work."""
        try:
            self.hosted.wait_ready(SETTLE_S)
        except AssertionError:
            self.problem("not all nodes are ready again")
            return
        self.configure()
        try:
            self.hosted.wait_version(self.hosted.version, timeout=6)
        except AssertionError:
            self.problem("settings are not in force everywhere")
        leaving = self.plain_worker(self.rng)
        if leaving:
            self.add_worker(leaving.service, leaving.zone, leaving.events)
            self.publish(leaving, "draining")
        says = self.vms_that_speak()
        time.sleep(IN_TOUCH_S)
        before = len(leaving.seen) if leaving else 0
        self.calm.set()
        began = time.monotonic()
        time.sleep(CALM_S)
        if leaving and len(leaving.seen) > before:
            self.problem("a leaving vm got %d calls" % (len(leaving.seen) - before))
        self.check_signals(says, began)
        served, all_of = self.calm_done[200], sum(self.calm_done.values())
        if all_of < 20 or served < 0.95 * all_of:
            self.problem("after the faults %d of %d served: %s"
                         % (served, all_of, dict(self.calm_done)))

    def vms_that_speak(self):
        """By service, vms that say in their answers that they leave, name a limit, or
        want rest; each service has two others."""
        says = {}
        with self.lock:
            listed = [w for w in self.hosted.workers if w.id in self.worker_paths]
        for what, service in (("leaving", "llm"), ("limit", "llm"), ("rest", "plain")):
            ready = [w for w in listed if w.service == service and w not in says.values()]
            if len(ready) < 3:
                worker = ready[0]
                self.add_worker(service, worker.zone, worker.events)
            says[what] = self.rng.choice(ready)
        says["leaving"].says_leaving = True
        says["limit"].limit = LIMIT
        says["rest"].rest_s = REST_S
        return says

    def check_signals(self, says, since):
        def most(what, window_s):
            times = sorted(r.at for r in says[what].seen if r.at >= since)
            return max((sum(at <= t < at + window_s for t in times) for at in times),
                       default=0)
        left = most("leaving", CALM_S)
        if left and says["leaving"].runs and self.said_before(says["leaving"], since):
            self.problem("a vm that says it leaves got %d calls" % left)
        if most("limit", LIMIT_WINDOW_S) > LIMIT_MOST:
            self.problem("a vm with a limit of %g got %d calls in %g s, %g are allowed" % (
                LIMIT, most("limit", LIMIT_WINDOW_S), LIMIT_WINDOW_S, LIMIT_MOST))
        if most("rest", REST_WINDOW_S) > IN_A_REST * self.node_count:
            self.problem("a vm that asks for rest got %d calls of %d nodes in %g s" % (
                most("rest", REST_WINDOW_S), self.node_count, REST_WINDOW_S))

    @staticmethod
    def said_before(worker, since):
        """Did it answer anybody since it says so, in time for all to know?"""
        return any(since - IN_TOUCH_S <= r.at < since - 1 for r in worker.seen)

    def check_runs(self):
        runs = collections.Counter()
        for worker in self.hosted.workers:
            runs.update(worker.runs)
            for req in worker.seen:
                if req.get("X-Api-Key"):
                    self.problem("a key was passed on")
        for ident in self.once:
            if runs[ident] > 1:
                self.problem("%s ran %d times" % (ident, runs[ident]))
        for ident in self.refused:
            if runs[ident] and ident in self.once:
                self.problem("%s was told that it did not run, and ran" % ident)

    def check_quota(self):
        times = sorted(t for w in self.hosted.workers for t, org in w.ran_at
                       if org == "small")
        first = 0
        for last, t in enumerate(times):
            while t - times[first] > QUOTA_WINDOW_S:
                first += 1
            if last - first + 1 > QUOTA_MOST:
                self.problem("quota: %d runs in %d s, %d are allowed"
                             % (last - first + 1, QUOTA_WINDOW_S, QUOTA_MOST))
                return

    def check_duties(self):
        counts, holders = {}, {}
        for window, value, holder, fence in list(self.hosted.cloud.usage):
            if counts.setdefault(window, value) != value:
                self.problem("two counts for window %d" % window)
            if holders.setdefault(fence, holder) != holder:
                self.problem("token %d was used by two holders" % fence)

    def play(self):
        self.began = time.monotonic()
        callers = []
        try:
            self.start()
            callers = [threading.Thread(target=self.caller, args=(n,))
                       for n in range(CALLERS)]
            for thread in callers:
                thread.start()
            self.strike()
            self.heal()
            self.check_calm()
        finally:
            self.stop.set()
            for thread in callers:
                thread.join()
            self.check_runs()
            self.check_quota()
            self.check_duties()
            self.keep_logs()
            self.hosted.stop()
        return self

    def keep_logs(self):
        if self.problems:
            self.problems.append("logs: %s" % self.hosted.dir)


def soak(seed, seconds, nodes):
    """Problems of one seed, and what it did."""
    s = Soak(seed, seconds, nodes).play()
    return s.problems, dict(s.done), s.faults


def known_seeds():
    if not os.path.exists(SEEDS_FILE):
        return []
    with open(SEEDS_FILE) as f:
        return [int(x.split()[0]) for x in f if x.strip() and not x.startswith("#")]


def play_apart(seed, args):
    """One seed in a process of its own."""
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
        problems, done, faults = soak(args.one, args.seconds, args.nodes)
        print("seed %d: answers %s, %d faults" % (args.one, done, len(faults)))
        for text in problems:
            print("  " + text)
        if problems:
            print("  faults: " + "; ".join(faults))
        sys.exit(bool(problems))
    seeds = known_seeds() if args.regress else \
        [args.first + i for i in range(args.seeds)]
    bad = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for job in concurrent.futures.as_completed(
                [pool.submit(play_apart, s, args) for s in seeds]):
            seed, code, out = job.result()
            bad += code != 0
            print(("FAILED " if code else "ok     ") + out.strip())
            sys.stdout.flush()
    print("%d passed, %d failed" % (len(seeds) - bad, bad))
    sys.exit(bad > 0)


if __name__ == "__main__":
    main()
