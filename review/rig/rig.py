"""A small deployment for the cases of review/4 to review/8.

It starts rillknot-node as the deploy file says, one process a machine, each machine at a
loopback address of its own, with the settings of docs DEPLOY.md (the template of the deploy
file is filled in here). The platform's store and the cloud API are served by threads of
this process, by PROTOCOL.md. Workers are processes of worker.py, so that a case can kill,
stop or replace one.

Nothing here looks into a node: a case judges what clients, workers and the platform saw.
"""
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
NODE = os.environ.get("RILLKNOT_NODE", os.path.join(ROOT, "target", "rillknot-node"))

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerBoundMs": 5000, "revokeStrict": False, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "quotaWindowS": 8,
    "quotaOverrun": 0.1, "quotaSlack": 72000, "fencingEnforced": True, "leaseMs": 3000,
    "thawMs": 300, "reportWindowS": 5, "usageOff": 0.05, "usageLateS": 10, "recoverS": 12,
    "passMs": 120, "retryAfterS": 8.8}


class CannotRun(Exception):
    """The case could not be played; its script exits with 2."""


# ---- the platform: servers on raw sockets ----

class Server:
    """An HTTP/1.1 server; handle(method, target, headers, body, conn) answers."""

    def __init__(self, addr="127.0.0.1"):
        self.sock = socket.socket()
        self.sock.bind((addr, 0))
        self.sock.listen(256)
        self.addr = "%s:%d" % self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        buf = b""
        try:
            while True:
                while b"\r\n\r\n" not in buf:
                    part = conn.recv(65536)
                    if not part:
                        return
                    buf += part
                head, buf = buf.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines[1:])}
                length = int(headers.get("content-length", 0))
                while len(buf) < length:
                    part = conn.recv(65536)
                    if not part:
                        return
                    buf += part
                body, buf = buf[:length], buf[length:]
                status, value = self.handle(method, target, headers, body)
                text = json.dumps(value).encode()
                conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))
        except OSError:
            pass
        finally:
            conn.close()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        self.objects = collections.defaultdict(dict)
        self.log = []
        self.revision = 100
        self.cond = threading.Condition()
        super().__init__()

    def put(self, kind, name, spec):
        with self.cond:
            return self._write(kind, name, spec)

    def drop(self, kind, name):
        with self.cond:
            if name in self.objects[kind]:
                self._remove(kind, name)

    def _write(self, kind, name, spec, status=None):
        self.revision += 1
        old = self.objects[kind].get(name)
        o = {"metadata": {"name": name, "revision": self.revision,
                          "made": old["metadata"]["made"] if old else self.revision,
                          "finalizers": [], "deleting": False},
             "spec": spec, "status": status if status is not None else (old or {}).get("status")}
        self.objects[kind][name] = o
        self.log.append((self.revision, kind, False, o))
        self.cond.notify_all()
        return o

    def _remove(self, kind, name):
        o = self.objects[kind].pop(name)
        self.revision += 1
        self.log.append((self.revision, kind, True, o))
        self.cond.notify_all()
        return o

    def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        parts = url.path[len("/api/objects/"):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
            with self.cond:
                names = sorted(n for n in self.objects[kind] if n > query.get("sinceRev", ""))
                return 200, {"entries": [self.objects[kind][n] for n in names[:50]],
                             "more": len(names) > 50, "at": self.revision}
        with self.cond:
            return self._object(method, kind, name, url.path, query,
                                json.loads(body) if body else {})

    def _watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.cond:
            while True:
                events = [{"gone": gone, "object": o} for rev, k, gone, o in self.log
                          if rev > since and k == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.cond.wait(left)

    def _object(self, method, kind, name, path, query, body):
        if method == "POST":
            name = body["metadata"]["name"]
            if name in self.objects[kind]:
                return 409, self.objects[kind][name]
            return 200, self._write(kind, name, body.get("spec"))
        o = self.objects[kind].get(name)
        if o is None:
            return 404, {}
        if method == "GET":
            return 200, o
        expected = body.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != o["metadata"]["revision"]:
            return 409, o
        if method == "DELETE":
            return 200, self._remove(kind, name)
        if path.endswith("/status"):
            return 200, self._write(kind, name, o["spec"], body.get("status"))
        if o["spec"] == body.get("spec"):
            return 200, o
        return 200, self._write(kind, name, body.get("spec"))


class Cloud(Server):
    """The platform's API for the singleton duties, with fencing."""

    def __init__(self):
        self.calls = []  # (time, path, holder, fence, body, status)
        self.fences = {}
        self.lock = threading.Lock()
        super().__init__()

    def handle(self, method, target, headers, body):
        value = json.loads(body)
        fence = int(headers.get("rillknot-fencing-token", 0))
        subject = target if target == "/usage" else (value["service"], value["zone"])
        with self.lock:
            status = 409 if fence < self.fences.get(subject, 0) else 200
            if status == 200:
                self.fences[subject] = fence
            self.calls.append((time.monotonic(), target, headers.get("rillknot-duty-holder"),
                               fence, value, status))
        return status, {}


class Proxy:
    """A path to one server, which can be cut: nothing passes then, neither bytes nor ends of
    connections. What came meanwhile passes when the cut is over."""

    def __init__(self, target, addr):
        self.target = target
        self.open = threading.Event()
        self.open.set()
        self.sock = socket.socket()
        self.sock.bind((addr, 0))
        self.sock.listen(256)
        self.addr = "%s:%d" % self.sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            conn, _ = self.sock.accept()
            threading.Thread(target=self._connect, args=(conn,), daemon=True).start()

    def _connect(self, conn):
        self.open.wait()
        ip, port = self.target.split(":")
        try:
            up = socket.create_connection((ip, int(port)))
        except OSError:
            conn.close()
            return
        for s in (conn, up):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pass, args=(conn, up), daemon=True).start()
        self._pass(up, conn)

    def _pass(self, source, to):
        try:
            while True:
                part = source.recv(65536)
                self.open.wait()
                if not part:
                    to.shutdown(socket.SHUT_WR)
                    return
                to.sendall(part)
        except OSError:
            for s in (source, to):
                try:
                    s.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


# ---- the settings of a process ----

def render(text, fields):
    """Fill in a template in the part of the platform's language that deploy/entry.json uses."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, TypeError):
                return None
        return value

    def section(match):
        items = lookup(match.group(1))
        if items in (None, False):
            return ""
        if not isinstance(items, list):
            items = [items]
        out = []
        for i, item in enumerate(items):
            out.append(match.group(2).replace("{{.}}", str(item))
                       .replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(out)

    def field(match):
        value = lookup(match.group(1))
        return "" if value is None else json.dumps(value) if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", field, text)


def deploy_role():
    """Return the words of `run` and the template of the deploy file's role."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    run = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
    template = re.search(r'^template = "(.*)"', text, re.M).group(1)
    return run, template


class Node:
    """One machine with its process."""

    def __init__(self, deployment, number, zone):
        self.d, self.number, self.zone = deployment, number, zone
        self.ip = "%s.%d" % (deployment.net, number)
        self.name = "edge-%s-%d" % (zone, number)
        self.popen = None
        self.starts = 0

    def addr(self, port):
        return "%s:%d" % (self.ip, port)

    def start(self, first):
        d = self.d
        base = d.port
        fields = {"nodeName": self.name, "role": "entry", "machineClass": "edge",
                  "serves": ["edge", "control_plane"], "ip": self.ip, "zone": self.zone,
                  "region": "khomas", "portRange": [base + 10, base + 25],
                  "seeds": [n.addr(base + 2) for n in d.nodes[:3]], "bootstrap": first,
                  "discovery": "platform", "entry": "vip", "beatIntervalMs": 1200,
                  "listen": {"front": self.addr(base), "readiness": self.addr(base + 1),
                             "control": self.addr(base + 2)},
                  "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                             "linkMbps": 1000.0, "diskMb": 0},
                  "bounds": BOUNDS, "platform": {"address": d.store.addr},
                  "cloud": {"address": d.cloud.addr}}
        run, template = deploy_role()
        path = os.path.join(d.dir, self.name + ".json")
        with open(path, "w") as out:
            out.write(render(open(os.path.join(ROOT, template)).read(), fields))
        self.starts += 1
        log = open(os.path.join(d.dir, "%s.%d.log" % (self.name, self.starts)), "wb")
        words = [NODE] + run[1:]
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
               "RILLKNOT_CONFIG": path}
        self.popen = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log,
                                      stderr=subprocess.STDOUT)

    def signal(self, sig):
        if self.popen.poll() is None:
            self.popen.send_signal(sig)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def is_ready(self):
        try:
            s = socket.create_connection((self.ip, self.d.port + 1), 1)
            s.settimeout(1)
            s.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            ready = s.recv(100).startswith(b"HTTP/1.1 200")
            s.close()
            return ready
        except OSError:
            return False


class Worker:
    """A worker's process, see worker.py. Options are those of its command line."""

    ids = 0

    def __init__(self, deployment, service, zone="klein-hall", addr=None, listed=True,
                 behind=False, **options):
        """behind: it is listed at the address of a Proxy, self.path."""
        Worker.ids += 1
        self.d, self.service, self.zone = deployment, service, zone
        self.id = "i-%08x" % (0x7f3a0000 + Worker.ids)
        self.log = os.path.join(deployment.dir, "worker-%s.log" % self.id)
        self.options = dict(options, id=self.id, log=self.log, addr=addr or "%s.%d:0" % (deployment.net, 100 + Worker.ids))
        words = [sys.executable, os.path.join(HERE, "worker.py"), json.dumps(self.options)]
        self.popen = subprocess.Popen(words, stdout=subprocess.PIPE)
        line = self.popen.stdout.readline().decode().strip()
        if not line:
            raise CannotRun("a worker did not start")
        self.addr = line
        self.path = Proxy(line, "%s.%d" % (deployment.net, 200 + Worker.ids)) if behind else None
        if listed:
            self.list()

    def list(self, state="ready"):
        self.d.store.put("servers", self.id, {
            "service": self.service,
            "address": self.path.addr if self.path else self.addr, "zone": self.zone, "version": "v1",
            "slots": self.options.get("slots", 64), "state": state, "coldLeftMs": 0,
            "stage": "combined", "models": [], "seqNo": 1})

    def unlist(self):
        self.d.store.drop("servers", self.id)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def events(self):
        """Return what it has logged: a list of (time, what, request id)."""
        out = []
        try:
            for line in open(self.log):
                at, what, ident = line.split()[:3]
                out.append((float(at), what, ident))
        except OSError:
            pass
        return out


def busiest(workers):
    """Return the worker that is at work on the most requests, by what it has logged."""
    def at_work(w):
        what = [e[1] for e in w.events()]
        return what.count("begins") - what.count("ends") - what.count("left")
    return max(workers, key=at_work)


class Deployment:
    """Store, cloud API, nodes and workers; a context manager that ends all processes."""

    def __init__(self, nodes=1, zones=("klein-hall", "eros-hall", "olympia-hall")):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("%s is not built" % NODE)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.store, self.cloud = Store(), Cloud()
        self.nodes = []
        self.workers = []
        self.version = 0
        self.net, self.lock = self.own_net()
        self.port = self.free_ports(nodes)
        for i in range(nodes):
            self.nodes.append(Node(self, i + 1, zones[i % len(zones)]))

    @staticmethod
    def own_net():
        """Return the first three parts of loopback addresses that no other run uses, and a
        socket that keeps them."""
        for _ in range(200):
            net = "127.%d.%d" % (random.randrange(16, 250), random.randrange(1, 250))
            lock = socket.socket()
            try:
                lock.bind((net + ".250", 20999))
                return net, lock
            except OSError:
                lock.close()
        raise CannotRun("no free loopback addresses")

    def free_ports(self, nodes):
        """Return the first of 30 ports that are free on all machines' addresses."""
        for base in range(21000, 30000, 37):
            try:
                for n in range(nodes):
                    for port in range(base, base + 30):
                        s = socket.socket()
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind(("%s.%d" % (self.net, n + 1), port))
                        s.close()
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for n in self.nodes:
            if n.popen and n.popen.poll() is None:
                n.kill()
        for w in self.workers:
            if w.popen.poll() is None:
                w.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)

    def worker(self, service, **options):
        w = Worker(self, service, **options)
        self.workers.append(w)
        return w

    @staticmethod
    def route(name, service, kind, timeout_ms, **more):
        return dict({"name": "r-" + name, "host": "booking.example", "pathPrefix": "/%s/" % name,
                     "routeType": kind, "timeoutMs": timeout_ms, "sloMs": 1000, "priority": 1,
                     "service": service, "maxAttempts": 2, "anonymous": False,
                     "sticky": False, "resumable": False}, **more)

    @staticmethod
    def service(name, **more):
        return dict({"name": name, "healthPath": "/healthz", "maxConns": 610, "protocol": "h1",
                     "tls": False}, **more)

    def configure(self, routes, services, tenants=None, limits=None):
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": dict({"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}, **(limits or {})),
            "tenants": tenants or [
                {"name": "hule930", "apiKeys": ["key-1"], "priority": 1, "unit": "token_stream",
                 "plainTokens": 200, "ratePerS": 0, "burst": 0}]})

    def start(self, settle_s=1.0):
        """Start all nodes and wait until they are ready."""
        for n in self.nodes:
            n.start(True)
        end = time.monotonic() + 20
        while not all(n.is_ready() for n in self.nodes):
            if time.monotonic() > end or any(n.popen.poll() is not None for n in self.nodes):
                raise CannotRun("the nodes did not become ready")
            time.sleep(0.05)
        time.sleep(settle_s)


# ---- clients ----

class Answer:
    """What a client received.

    status: 0 if no head came. whole: the answer ended as its framing says. rest: bytes that
    came with it, behind its end. ran_out: the client's time was over first.
    """

    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.error = 0, {}, b"", False, ""
        self.rest, self.ran_out = b"", False
        self.started = self.ended = time.monotonic()


_ids = [0]


def new_id():
    _ids[0] += 1
    return "%08x%08x" % (os.getpid(), _ids[0])


def request_bytes(path, ident, deadline_ms, method="POST", body=b"", headers=()):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: booking.example",
             "Rillknot-Attempt-Id: " + ident, "Rillknot-Deadline-Ms: %d" % deadline_ms,
             "X-Api-Key: key-1"] + ["%s: %s" % h for h in headers]
    if method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def connect(node, timeout=20, mss=0, rcvbuf=0):
    s = socket.socket()
    if mss:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
    if rcvbuf:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
    s.settimeout(timeout)
    s.connect((node.ip, node.d.port))
    return s


def read_answer(s, answer, rate=0):
    """Read one answer, at most rate bytes a second if that is not 0. Returns it."""
    step = max(1, rate // 20) if rate else 65536
    buf = b""

    def more():
        nonlocal buf
        part = s.recv(step)
        if rate:
            time.sleep(len(part) / rate)
        buf += part
        return bool(part)

    try:
        while b"\r\n\r\n" not in buf:
            if not more():
                answer.error = "closed before a head"
                return answer
        head, buf = buf.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines[1:])}
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(buf) < length:
                if not more():
                    answer.error = "closed after %d of %d bytes" % (len(buf), length)
                    return answer
            answer.rest, buf = buf[length:], buf[:length]
            answer.whole = True
        elif "chunked" in answer.headers.get("transfer-encoding", ""):
            body = b""
            while True:
                while b"\r\n" not in buf:
                    if not more():
                        answer.error = "closed amid chunks"
                        buf = body
                        return answer
                size, buf = buf.split(b"\r\n", 1)
                size = int(size, 16)
                while len(buf) < size + 2:
                    if not more():
                        answer.error = "closed amid a chunk"
                        buf = body + buf
                        return answer
                body += buf[:size]
                buf = buf[size + 2:]
                if not size:
                    break
            answer.rest, buf = buf, body
            answer.whole = True
        else:
            while more():
                pass
            answer.whole = True
    except OSError as e:
        answer.error, answer.ran_out = str(e), isinstance(e, TimeoutError)
    finally:
        answer.body = buf
        answer.ended = time.monotonic()
    return answer


def call(node, path, ident, deadline_ms, rate=0, mss=0, rcvbuf=0, **more):
    """Make one call on a new connection, as the pages' clients do; returns the Answer."""
    a = Answer()
    try:
        s = connect(node, deadline_ms / 1000 + 1, mss, rcvbuf)
    except OSError as e:
        a.error = "no connection: %s" % e
        return a
    try:
        s.sendall(request_bytes(path, ident, deadline_ms, **more))
        read_answer(s, a, rate)
    except OSError as e:
        a.error = str(e)
    s.close()
    return a


class Caller(threading.Thread):
    """A thread that makes one call."""

    def __init__(self, *args, **kw):
        super().__init__(daemon=True)
        self.args, self.kw, self.answer = args, kw, None
        self.start()

    def run(self):
        self.answer = call(*self.args, **self.kw)


# ---- the record of a case ----

class Record:
    """Writes record.txt in the folder of a case."""

    def __init__(self, script):
        path = os.environ.get("RECORD", os.path.join(os.path.dirname(os.path.abspath(script)),
                                                     "record.txt"))
        self.out = open(path, "w")
        self.t0 = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text, at=None):
        with self.lock:
            self.out.write("%8.3f  %s\n" % ((at or time.monotonic()) - self.t0, text))
            self.out.flush()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, script):
    """Play a case: play(record) returns whether the rule was broken."""
    record = Record(script)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = play(record)
    except Exception as e:  # a fault of the case is no broken rule
        record.line("could not run: %r" % e)
        sys.exit(2)
    record.line("the rule %s" % ("was BROKEN" if broken else "held"))
    sys.exit(1 if broken else 0)
