#!/usr/bin/env python3
"""Plays odd values in what real nodes read.

Objects of any kind are changed in the stand-in store: figures at and beyond the limits of
their types, members of other types, long texts, deep nesting, duplicate members, answers that
are no JSON. VMs and the cloud API give odd answers: status lines, headers, framing, bodies. The
listener for peers' calls gets odd requests. Sound objects are written in between, and nodes are
restarted. Run it with nodes that are built with the address and undefined sanitizers, and with
the release build for the memory that nodes hold. A seed repeats the order of the changes.

    tools/odd_objects.py [--build DIR] [--seeds N] [--first SEED] [--seconds S] [--jobs N]
"""
import copy
import json
import os
import random
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from hosted import Hosted, Store, wait_until  # noqa: E402
from seeds import make_parser, play_each  # noqa: E402

NODES = 3
CALLERS = 4
GAP_S = 0.1  # mean time between changes, at most twice that
SERVES_AGAIN_S = 15  # after sound objects have been written
RESTARTS_PER_RUN = 3
RSS_MAX_KB = 120 * 1024  # of a node without sanitizers
BUSY_WINDOW_S, BUSY_SHARE = 2.0, 0.9  # a node that uses this share of a core is busy
FIRST_VERSION = 3 << 32  # of sound settings: above any version that a change may write
LONG_BYTES = 70 * 1000
HUGE_BYTES = 10 * 1000 * 1000
NUMBERS = (0, -1, 0.5, -0.5, 1e300, -1e300, 2 ** 31, -2 ** 31, 2 ** 32 + 1, 2 ** 53, 2 ** 63 - 1,
           -2 ** 63, 2 ** 64, 10 ** 30, float("nan"), float("inf"))
TEXTS = ("", "NaN", "-1", "9" * 400, "x" * LONG_BYTES, "%s%n", "\0", "\ud800", "../..", "\u00e9" * 99)
ODD_BODIES = (b"", b"{", b"null", b"[]", b"{\"entries\":7}", b"\0" * 64, b"\xff\xfe{}",
              b"[" * 100000, b"{\"a\":" * 100000, b"\"" + b"x" * HUGE_BYTES + b"\"")
ODD_ANSWER_SHARE = 0.15  # of the answers of VMs and of the cloud API
ODD_STATUSES = (b"200", b"503", b"429", b"421", b"404", b"409", b"500", b"204", b"304", b"100",
                b"101", b"000", b"999", b"99999999999", b"-1", b"", b"2e2")
ODD_HEADERS = (b"Server-Limit", b"Server-Brittle", b"Retry-After", b"Rillknot-Not-Executed",
               b"Rillknot-Attempt-Id", b"Rillknot-Server-Signature", b"Rillknot-Stream-Version",
               b"Rillknot-Deadline-Ms", b"Rillknot-Forward-Refused", b"Content-Length",
               b"Transfer-Encoding", b"Connection", b"Content-Type", b"X" * 300, b"", b" a")
ODD_HEADER_VALUES = (b"", b"0", b"-1", b"1e300", b"nan", b"inf", b"9" * 400, b"0x7fffffff",
                     b"9223372036854775807", b"18446744073709551616", b"chunked", b"x" * 5000,
                     b"\xff\xfe", b"a\0b", b"close", b"1, 2", b"0.0000001")
LONG_RESTS = (b"1e300", b"0x7fffffff", b"9223372036854775807", b"18446744073709551616")
ODD_PARTS = (b"", b"\0" * 9, b"x" * 100, b"ffffffffffffffff\r\nx", b"0\r\n\r\n", b"-1\r\nx\r\n",
             b"id: 1\ndata: x\n\n", b"id: 9223372036854775807\ndata: x\n\n", b"data:" * 2000,
             b"{\"handle\":7}", b"HTTP/1.1 200 OK\r\n\r\n", b"\xff" * 50)
SAMPLES = (
    ("rollouts", "plain", {"service": "plain", "targetVersion": "v2", "durationS": 4}),
    ("rillknot-rollouts", "plain", {"version": "v2", "wall_ms": 1700000000000}),
    ("rillknot-quarantine", "00112233445566aa",
     {"organisation": "clinic", "route": "repeat", "vms": 3, "cleared": 0,
      "wall_ms": 1700000000000, "by": "edge"}),
    ("rillknot-quarantine", "00112233445566bb",
     {"organisation": "clinic", "service": "llm", "segment": "aa", "vms": 3, "cleared": 0,
      "wall_ms": 1700000000000, "by": "edge"}),
    ("rillknot-engines", "recent",
     {"llm": {"fixed_ms": 1.0, "ktoken_ms": 2.0, "calm_ktoken_ms": 2.0, "running_ms": 1.0,
              "error_ms": 1.0, "samples": 50}}),
    ("rillknot-nodes", "edge-gone-9",
     {"addr": "127.0.0.1:9", "domain": "a-hall", "capacity": 10}),
)


class RawJson:
    """A JSON text that is sent as it stands."""

    def __init__(self, text):
        self.text = text


class OddStore(Store):
    """A store whose objects may hold any text, and whose answers may be no JSON."""

    change_answer = None  # takes each answer's value and returns what is sent
    odd_body = None  # takes the next answer's body and returns what is sent

    def send(self, conn, status, value):
        raw = []
        value = self.change_answer(copy.deepcopy(value)) if self.change_answer else value

        def mark(o):
            raw.append(o.text)
            return "raw-json-%d-" % (len(raw) - 1)
        body = json.dumps(value, default=mark)
        body = re.sub(r'"raw-json-(\d+)-"', lambda m: raw[int(m.group(1))], body).encode()
        if self.odd_body is not None:
            body, self.odd_body = self.odd_body(body), None
        conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%sContent-Length: %d"
                     b"\r\n\r\n%s" % (status, self._era_header(), len(body), body))


def paths(value, here=()):
    """Return the paths of all members and items of a JSON value."""
    found = [here]
    items = value.items() if isinstance(value, dict) else \
        enumerate(value) if isinstance(value, list) else ()
    for key, child in items:
        found += paths(child, here + (key,))
    return found


def nested(rng):
    opening, closing = rng.choice([("[", "]"), ('{"a":', "}")])
    depth = rng.choice([31, 40, 300, 5000])
    return RawJson(opening * depth + "1" + closing * depth)


def odd_value(rng):
    kind = rng.randrange(10)
    if kind < 5:
        return rng.choice(NUMBERS)
    if kind < 7:
        return rng.choice(TEXTS)
    return rng.choice([None, True, [], {}, [None], {"": None}, [[]] * 200, nested(rng)])


def change(rng, spec):
    """Return a copy of a JSON value with some odd members."""
    spec = copy.deepcopy(spec)
    for _ in range(rng.choice([1, 1, 1, 2, 6])):
        path = rng.choice(paths(spec))
        if not path:
            if rng.random() < 0.1:
                return odd_value(rng)
            continue
        parent = spec
        for key in path[:-1]:
            parent = parent[key]
        if rng.random() < 0.15:
            del parent[path[-1]]
        elif rng.random() < 0.05 and isinstance(parent, list):
            parent.extend([copy.deepcopy(parent[path[-1]])] * rng.choice([2, 300]))
        else:
            parent[path[-1]] = odd_value(rng)
    if rng.random() < 0.1 and isinstance(spec, dict) and spec:
        key = rng.choice(list(spec))
        try:
            text = json.dumps(spec)
        except TypeError:
            return spec
        return RawJson("%s,%s:%s}" % (text[:-1], json.dumps(key),
                                      json.dumps(rng.choice(NUMBERS))))
    return spec


def odd_head(rng, first_line):
    """Return a head with odd headers, some of them twice."""
    lines = [first_line]
    for _ in range(rng.choice([0, 1, 2, 5, 200])):
        name, value = rng.choice(ODD_HEADERS), rng.choice(ODD_HEADER_VALUES)
        if name != b"Retry-After" or value not in LONG_RESTS:  # a VM's rest is kept, up to a day
            lines.append(name + b": " + value)
    if rng.random() < 0.5:
        lines.append(b"Content-Length: %d" % rng.choice([0, 5, 100]))
    return b"\r\n".join(lines) + rng.choice([b"\r\n\r\n"] * 8 + [b"\n\n", b"\r\n", b""])


def odd_response(rng):
    head = odd_head(rng, b"HTTP/1.1 %s X" % rng.choice(ODD_STATUSES))
    return head + b"".join(rng.choice(ODD_PARTS) for _ in range(rng.randrange(4)))


def odd_peer_request(rng):
    """Return a request to the listener for peers' calls."""
    path = rng.choice([b"/stream-versions", b"/repeat/x", b"/chat/x", b"", b"/" + b"x" * 9000])
    head = odd_head(rng, b"POST %s HTTP/1.1\r\nHost: x" % path)
    return head + b"".join(rng.choice(ODD_PARTS) for _ in range(rng.randrange(4)))


class OddObjects:
    """One run: a deployment, its callers, the changes and the checks.

    problems lists what was found wrong; log holds the changes with their times.
    """

    odd_answers_on = False

    def __init__(self, seed, seconds, build=None):
        self.rng = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.d = Hosted(nodes=NODES, zones=("a-hall", "b-hall"), build=build,
                        bounds={"budgetExtra": 400}, fixed_addresses=True)
        self.d.store.close()
        self.d.store = OddStore()
        self.d.version = FIRST_VERSION
        self.sanitized = any(x in self.d.build for x in ("address", "thread"))
        self.stop = threading.Event()
        self.problems, self.log, self.served, self.ended = [], [], 0, 0
        self.odd_answers = 0
        self.max_rss_kb = 0
        self.cpu = {}  # process id -> (time, seconds of a core used until then)
        self.began = time.monotonic()

    def problem(self, text):
        self.problems.append("%.2f s: %s" % (time.monotonic() - self.began, text))

    # ---- the deployment ----

    def configure(self, wait=False):
        engine = {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
                  "engine": {"slots": 32, "kvCapacity": 100000, "moves": True},
                  "scaling": {"min": 0, "max": 9, "bootS": 2, "spotPrice": 0.5,
                              "zonePrices": {"a-hall": 1, "b-hall": 2}}}
        route = self.d.route
        self.d.configure(
            [route("chat", "llm", "streaming", timeoutMs=8000, resumable=True, itlTargetMs=50),
             route("once", "plain", "non_idempotent"), route("repeat", "plain"),
             dict(route("both", "plain"), split=[{"service": "plain", "weight": 1},
                                                 {"service": "llm", "weight": 0}])],
            services=[engine, {"name": "plain", "healthPath": "/healthz", "maxConns": 200}],
            tenants=[{"name": "clinic", "apiKeys": ["key-1", "key-2"], "unit": "token_stream",
                      "plainTokens": 1,
                      "ratePerS": 200000, "burst": 200000, "priority": 1},
                     {"name": "lab", "apiKeys": ["key-3"], "ratePerS": 1000, "burst": 10}],
            wait=wait)

    def start(self):
        self.d.start()
        for zone in self.d.zones:
            for _ in range(2):
                self.d.add_worker("plain", zone=zone)
                self.d.add_worker("llm", events=8, slots=32, zone=zone).gap_s = 0.02
        for number, w in enumerate(self.d.workers):
            rng = random.Random(self.seed * 100 + number)
            w.fault = lambda w, req, conn, r=rng: self.odd_answer_of(r, conn)
        self.d.cloud.odd_answer = \
            lambda conn, r=random.Random(self.seed): self.odd_answer_of(r, conn)
        self.configure()
        self.d.wait_ready()

    def odd_answer_of(self, rng, conn):
        """Send an odd answer and return False, or None to have a sound one sent."""
        if not self.odd_answers_on or rng.random() > ODD_ANSWER_SHARE:
            return None
        self.odd_answers += 1
        conn.sendall(odd_response(rng))
        return False

    def call_once(self, node, number):
        route = ("repeat", "chat", "once", "both")[number % 4]
        try:
            return self.d.call("/%s/x" % route, node=node, timeout=5,
                               headers=[("Rillknot-Token-Usage", "1000,30"),
                                        ("Rillknot-Prompt-Prefix", "aa:900,bb:100")])
        except OSError:
            return None
        except ValueError as e:
            self.problem("a malformed answer to /%s: %s" % (route, e))
            return None

    def caller(self, number):
        while not self.stop.is_set():
            answer = self.call_once(number % NODES, number)
            self.served += answer is not None and answer.status == 200 and answer.whole
            number += 1
            time.sleep(0.03)

    # ---- changes ----

    def change_object(self):
        store = self.d.store
        with store.cond:
            kinds = [k for k, named in store.objects.items() if named]
            kind = self.rng.choice(kinds + ["config"] * 3 + ["servers"] * 2)
            if not store.objects[kind]:
                return "nothing"
            name = self.rng.choice(sorted(store.objects[kind]))
            o = store.objects[kind][name]
            sound = store.platform_state.get((kind, name)) or o["spec"]
            spec, status = change(self.rng, sound), o["status"]
            if kind == "config" and isinstance(spec, dict) and \
                    spec.get("version") == sound["version"]:
                self.d.version += 3
                spec["version"] = self.d.version
            if kind == "rollouts" and self.rng.random() < 0.3:
                status = change(self.rng, {"state": "in_progress", "targetVersion": "v2"})
            store._write(kind, name, spec, status)
        return "%s/%s %.300s" % (kind, name, getattr(spec, "text", repr(spec)))

    def add_object(self):
        kind, name, spec = self.rng.choice(SAMPLES)
        if self.rng.random() < 0.3:
            name = self.rng.choice(["0", "x" * 300, "zz", "f" * 40, "a b"])
        with self.d.store.cond:
            self.d.store._write(kind, name, change(self.rng, spec))
        return "%s/%s" % (kind, name[:40])

    def odd_answer(self):
        odd = self.rng.choice(ODD_BODIES)
        cut = self.rng.random()
        truncate = self.rng.random() < 0.4
        self.d.store.odd_body = lambda body: body[:int(len(body) * cut)] if truncate else odd
        return "truncated" if truncate else "%.40r" % odd

    def odd_request(self):
        """Send a node's listener for peers' calls some odd requests."""
        node = self.d.nodes[self.rng.randrange(NODES)]
        data = odd_peer_request(self.rng)
        try:
            port = int(node.ready["forward"].rsplit(":", 1)[1])
            with socket.create_connection(("127.0.0.1", port), 1) as s:
                s.sendall(data)
                s.shutdown(socket.SHUT_WR)
                s.settimeout(0.05)
                s.recv(65536)
        except OSError:
            pass  # closed by the node, or no answer yet
        return "%.60r" % data

    def write_sound(self):
        self.d.store.odd_body = None
        for w in self.d.workers:
            self.d.store.put("servers", w.id, w.spec())
        self.configure()
        return ""

    def restart_node(self):
        index = self.rng.randrange(NODES)
        if self.d.nodes[index].popen.poll() is None:
            self.d.nodes[index].kill()
        self.d.restart_node(index)
        return self.d.nodes[index].name

    def changes(self):
        """Return how many changes were made."""
        return len(self.log)

    # ---- checks ----

    def check_node(self, node):
        pid = node.popen.pid
        if node.popen.poll() is not None:
            return
        with open("/proc/%d/status" % pid) as f:
            peak = re.search(r"VmHWM:\s+(\d+)", f.read())
        if peak:
            self.max_rss_kb = max(self.max_rss_kb, int(peak.group(1)))
        with open("/proc/%d/stat" % pid) as f:
            fields = f.read().rsplit(")", 1)[1].split()
        used = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        now = time.monotonic()
        at, before = self.cpu.setdefault(pid, (now, used))
        if now - at >= BUSY_WINDOW_S:
            self.cpu[pid] = (now, used)
            if used - before > BUSY_SHARE * (now - at):
                self.problem("%s used %.2f s of a core in %.2f s"
                             % (node.name, used - before, now - at))

    def check_nodes(self):
        for index, node in enumerate(self.d.nodes):
            self.check_node(node)
            if node.popen.poll() is None:
                continue
            self.ended += 1
            with open(node.log, "rb") as f:
                last = f.read()[-2500:].decode("utf-8", "replace")
            self.problem("%s has ended by itself: %d: %s"
                         % (node.name, node.popen.returncode, last))
            self.d.restart_node(index)

    def check_serves(self):
        self.odd_answers_on = False
        self.write_sound()
        for index, node in enumerate(self.d.nodes):
            for number in range(4):
                try:
                    wait_until(lambda i=index, n=number:
                               getattr(self.call_once(i, n), "status", 0) == 200, SERVES_AGAIN_S)
                except AssertionError:
                    answer = self.call_once(index, number)
                    self.problem("%s does not serve call %d again: %s"
                                 % (node.name, number, answer and (answer.status, answer.body)))
                    return

    def check_memory(self):
        if not self.sanitized and self.max_rss_kb > RSS_MAX_KB:
            self.problem("a node held %d MB" % (self.max_rss_kb // 1024))

    # ---- the run ----

    def events(self):
        """Return the kinds of changes, each as often as its weight."""
        return ([self.change_object] * 30 + [self.add_object] * 3 + [self.odd_answer] * 3 +
                [self.write_sound] * 2)

    def play(self):
        kinds = self.events()
        restarts = sorted(self.rng.random() * self.seconds for _ in range(RESTARTS_PER_RUN))
        while time.monotonic() < self.began + self.seconds:
            time.sleep(self.rng.random() * 2 * GAP_S)
            event = self.rng.choice(kinds)
            if restarts and time.monotonic() - self.began > restarts[0]:
                event = self.restart_node
                restarts.pop(0)
            at = time.monotonic() - self.began
            self.log.append("%.2f %s %s" % (at, event.__name__, event()))
            self.check_nodes()

    def run(self):
        with self.d:
            self.start()
            for kind, name, spec in SAMPLES:
                self.d.store.put(kind, name, spec)
            self.began = time.monotonic()
            threads = [threading.Thread(target=self.caller, args=(i,)) for i in range(CALLERS)]
            for t in threads:
                t.start()
            try:
                self.play()
                self.check_serves()
                self.check_nodes()
                self.check_memory()
            finally:
                self.stop.set()
                for t in threads:
                    t.join()
        return self


class OddAnswers(OddObjects):
    """One run with odd objects, and also odd answers and odd requests of peers."""

    odd_answers_on = True

    def events(self):
        return super().events() + [self.odd_request] * 20


REPORT_LINE_MAX = 200


def report(run):
    """Return a run's changes and, last, what was wrong, as the runner cuts long messages."""
    return "\n".join(line[:REPORT_LINE_MAX] for line in run.log + run.problems)


def run_seed(seed, seconds, build=None):
    """Play one seed and return the finished run. Raises AssertionError on a sanitizer's
    report."""
    return OddObjects(seed, seconds, build).run()


def run_seeds(runner):
    """Run a command line's seeds, each in a process of its own; return the exit code."""
    p = make_parser("build/address", seeds=10, jobs=2)
    p.add_argument("--seconds", type=float, default=20)
    args = p.parse_args()
    if args.one is not None:
        run = runner(args.one, args.seconds, args.build)
        try:
            run.run()
        finally:
            print("\n".join(run.problems + run.log if run.problems else []))
            print("seed %d: %d served, %d changes, %d ends, %d MB at most, %d problems"
                  % (args.one, run.served, run.changes(), run.ended, run.max_rss_kb // 1024,
                     len(run.problems)))
        return 1 if run.problems else 0
    return play_each(args, os.path.abspath(sys.argv[0]), "--seconds", str(args.seconds))


if __name__ == "__main__":
    sys.exit(run_seeds(OddAnswers))
