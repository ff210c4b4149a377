"""Starts the stand-ins and rillknot's own processes on one machine, for the
demo, the process tests and the benchmarks. Everything started is ended by its
process id; ports are the kernel's choice."""
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START_TIMEOUT_S = 60


class Proc:
    """A child process whose standard output is its event log."""

    def __init__(self, args, log, ready_event="listening"):
        self.args, self.log = args, log
        self.popen = subprocess.Popen(args, stdout=open(log, "wb"),
                                      stderr=subprocess.STDOUT)
        self.ready = None
        if ready_event:
            self.ready = self.wait_event(ready_event)

    def events(self):
        out = []
        with open(self.log, "rb") as f:
            for line in f:
                try:
                    out.append(json.loads(line))
                except ValueError:
                    pass
        return out

    def wait_event(self, name, timeout=START_TIMEOUT_S):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for e in self.events():
                if e.get("event") == name:
                    return e
            if self.popen.poll() is not None:
                raise RuntimeError("%s ended: %s" % (self.args[0], open(self.log).read()))
            time.sleep(0.01)
        raise RuntimeError("%s: no %s event" % (self.args[0], name))

    @property
    def port(self):
        return self.ready["port"]

    def signal(self, sig):
        if self.popen.poll() is None:
            self.popen.send_signal(sig)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout=40):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Answer:
    """What a caller got: status, headers (lower case), body, SSE parts."""

    def __init__(self, status, headers, body, error=None):
        self.status, self.headers, self.body, self.error = status, headers, body, error
        self.began = self.ended = 0.0  # s of the monotonic clock

    @property
    def verdict(self):
        return self.headers.get("rillknot-verdict", "")

    def events(self):
        """[(id, data)] of a stream; data of named events is (name, data)."""
        out = []
        for block in self.body.decode("utf-8", "replace").split("\n\n"):
            ident = name = data = None
            for line in block.split("\n"):
                if line.startswith("id: "):
                    ident = int(line[4:])
                elif line.startswith("event: "):
                    name = line[7:]
                elif line.startswith("data: "):
                    data = line[6:]
            if data is not None:
                out.append((ident, (name, data) if name else data))
        return out

    def text(self):
        """The tokens of a streamed answer, in order."""
        return "".join(json.loads(d)["choices"][0]["delta"]["content"]
                       for i, d in self.events() if i is not None)

    def whole(self):
        if self.error or self.status != 200:
            return False
        if "event-stream" in self.headers.get("content-type", ""):
            return self.body.rstrip().endswith(b"data: [DONE]")
        return True


def request(port, method, path, body=b"", headers=None, timeout=60, host="127.0.0.1",
            on_data=None):
    """One HTTP call; failures of the connection are in Answer.error."""
    c = http.client.HTTPConnection(host, port, timeout=timeout)
    got = b""
    status, head = 0, {}
    began = time.monotonic()

    def answer(error=None):
        a = Answer(status, head, got, error)
        a.began, a.ended = began, time.monotonic()
        return a
    try:
        c.request(method, path, body, headers or {})
        r = c.getresponse()
        status = r.status
        head = {k.lower(): v for k, v in r.getheaders()}
        while True:
            part = r.read1(65536)
            if not part:
                break
            got += part
            if on_data:
                on_data(got)
        return answer()
    except (OSError, http.client.HTTPException) as e:
        return answer(repr(e))
    finally:
        c.close()


def post_json(port, path, obj):
    return request(port, "POST", path, json.dumps(obj).encode(),
                   {"Content-Type": "application/json"})


def get_json(port, path):
    a = request(port, "GET", path)
    if not a.body:
        print("GET %s at %d: status %d, no body, error %s" % (path, port, a.status, a.error))
    return json.loads(a.body) if a.body else None


def metrics(port):
    a = request(port, "GET", "/metrics")
    return {m[0]: int(m[1]) for m in
            re.findall(r"^rillknot_(\w+) (\d+)$", a.body.decode(), re.M)}


class Cut:
    """A TCP path between two processes that a test can cut, freeze and mend."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.conns = []
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                a, _ = self.sock.accept()
            except OSError:
                return
            if self.is_cut:
                a.close()
                continue
            try:
                b = socket.create_connection(("127.0.0.1", self.target), 5)
            except OSError:
                a.close()
                continue
            self.conns += [a, b]
            threading.Thread(target=self._pump, args=(a, b), daemon=True).start()
            threading.Thread(target=self._pump, args=(b, a), daemon=True).start()

    def _pump(self, a, b):
        try:
            while True:
                data = a.recv(65536)
                if not data:
                    break
                b.sendall(data)
        except OSError:
            pass
        for s in (a, b):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        self.is_cut = True
        for s in self.conns:
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.conns = []

    def mend(self):
        self.is_cut = False

    def close(self):
        self.cut()
        self.sock.close()


HELD = []  # sockets that keep the ports of free_port()


def free_port():
    """A port the kernel gives, for processes whose address must be known early
    or stay the same over a restart. It is kept, without listening, while this process
    lives: a process that is told to may listen there, nobody else is given it."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    HELD.append(s)
    return s.getsockname()[1]


class Cluster:
    def __init__(self, build="build", settings="etc/hospital.json", domains=None,
                 entries=2, engines=3, services=1, engine_args=(), service_args=(),
                 keepers=False, entry_args=(), proc_extra=None, workdir=None,
                 engine_service="booking", plain_service="slots", platform_cut=False,
                 peer_cuts=False, keep_logs=False):
        self.keep_logs = keep_logs
        self.build = os.path.join(ROOT, build)
        self.dir = workdir or tempfile.mkdtemp(prefix="rillknot-")
        self.domains = domains or ["klein-hall", "eros-hall", "olympia-hall"]
        self.procs = {}
        self.entry_args, self.proc_extra = list(entry_args), proc_extra or {}
        self.entries, self.engines, self.services, self.keepers = [], [], [], []
        self.cuts = {}
        self.peer_cuts = peer_cuts
        self.platform = self.start("platform", [self.bin("standin-platform")])
        self.platform_path = {}
        self.platform_cut = platform_cut
        self.vms = {}
        for d in self.domains:
            for i in range(engines):
                self.add_engine("%s-m%d" % (d, i), d, engine_service, engine_args)
            for i in range(services):
                self.add_service("%s-s%d" % (d, i), d, plain_service, service_args)
        if settings:
            with open(os.path.join(ROOT, settings)) as f:
                self.push_tree(f.read())
        for i in range(entries):
            for d in self.domains:
                self.add_entry("%s-e%d" % (d, i), d)
        if keepers:
            for e in list(self.entries):
                self.add_keeper(e)
        self.wait_ready()

    # -- processes --

    def bin(self, name):
        return os.path.join(self.build, name)

    def start(self, name, args, ready="listening"):
        p = Proc(args, os.path.join(self.dir, name + ".log"), ready)
        p.name = name
        self.procs[name] = p
        return p

    def add_engine(self, name, domain, service="booking", args=(), vm_class="standard",
                   state="live", listed=True):
        p = self.start(name, [self.bin("standin-engine"), *args])
        p.domain = domain
        self.engines.append(p)
        if listed:
            self.list_vm(name, p.port, domain, service, vm_class, state)
        return p

    def add_service(self, name, domain, service="slots", args=(), vm_class="small",
                    state="live", listed=True):
        p = self.start(name, [self.bin("standin-service"), *args])
        p.domain = domain
        self.services.append(p)
        if listed:
            self.list_vm(name, p.port, domain, service, vm_class, state)
        return p

    def list_vm(self, name, port, domain, service, vm_class, state="live", incarnation=1):
        row = {"id": name, "addr": "127.0.0.1:%d" % port, "failure_domain": domain,
               "service": service, "vm_class": vm_class, "state": state,
               "incarnation": incarnation}
        self.vms[name] = row
        post_json(self.platform.port, "/_vms", row)

    def add_entry(self, name, domain, args=(), extra=None, fixed=None):
        old = getattr(self, "_fixed", {})
        ports = fixed or old.get(name) or {k: free_port() for k in ("listen", "control",
                                                                    "forward")}
        old[name] = ports
        self._fixed = old
        platform_port = self.platform.port
        if self.platform_cut:
            if name not in self.platform_path:
                self.platform_path[name] = Cut(self.platform.port)
            platform_port = self.platform_path[name].port
        seeds = ["127.0.0.1:%d" % self._advertised(e, "control") for e in list(old)[:3]
                 if e != name]
        conf = {"id": name, "failure_domain": domain,
                "listen": "127.0.0.1:%d" % ports["listen"],
                "control_listen": "127.0.0.1:%d" % ports["control"],
                "forward_listen": "127.0.0.1:%d" % ports["forward"],
                "platform": "http://127.0.0.1:%d" % platform_port,
                "peers": seeds, "notice_ms": 15000}
        if self.peer_cuts:
            for kind in ("control", "forward"):
                if (name, kind) not in self.cuts:
                    self.cuts[name, kind] = Cut(ports[kind])
                conf[kind + "_advertise"] = "127.0.0.1:%d" % self.cuts[name, kind].port
        conf.update(self.proc_extra)
        conf.update(extra or {})
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as f:
            json.dump(conf, f)
        p = self.start(name, [self.bin("rillknot-entry"), *self.entry_args, *args, path])
        p.domain, p.conf = domain, conf
        p.control = ports["control"]
        self.entries = [e for e in self.entries if e.name != name] + [p]
        return p

    def _advertised(self, name, kind):
        cut = self.cuts.get((name, kind))
        return cut.port if cut else self._fixed[name][kind]

    def add_keeper(self, entry):
        name = "keeper-" + entry.name
        conf = {"id": name, "failure_domain": entry.domain,
                "platform": entry.conf["platform"],
                "entry": "127.0.0.1:%d" % entry.control}
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as f:
            json.dump(conf, f)
        p = self.start(name, [self.bin("rillknot-keeper"), path], "keeper.started")
        p.domain = entry.domain
        self.keepers.append(p)
        return p

    def entry(self, name):
        return next(e for e in self.entries if e.name == name)

    def proc(self, name):
        return self.procs[name]

    # -- settings --

    def put_change(self, number, change):
        return request(self.platform.port, "PUT", "/objects/settings/changes/%010d" % number,
                       json.dumps(change).encode(), {"If-None-Match": "*"})

    def push_tree(self, text):
        """Write a whole tree as the first change (comments are json-c's to read)."""
        body = '{"id":"first","author":"cluster","base":0,"set":%s}'
        tree = strip_comments(text)
        flat = {"/" + k: v for k, v in json.loads(tree).items()}
        return request(self.platform.port, "PUT", "/objects/settings/changes/0000000001",
                       (body % json.dumps(flat)).encode(), {"If-None-Match": "*"})

    def wait_ready(self, timeout=START_TIMEOUT_S):
        """Every entry node has settings, sees all others alive and its vms."""
        def ready():
            for e in self.entries:
                s = get_json(e.port, "/status")
                want = [v for v in self.vms.values()
                        if v["failure_domain"] == e.domain and v["state"] == "live"]
                if not s or s["settings_head"] < 1 or len(s["vms"]) < len(want):
                    return False
                if sum(m["state"] == "alive" for m in s["members"]) < len(self.entries) - 1:
                    return False
            return True
        wait_for(ready, timeout, "the cluster to be ready")

    def wait_head(self, head, timeout=20):
        """A change of settings is in force at every entry node."""
        wait_for(lambda: all(get_json(e.port, "/status")["settings_head"] >= head
                             for e in self.entries), timeout, "settings head %d" % head)

    # -- faults --

    def reclaim(self, vm, in_ms=30000, listed=False):
        post_json(self.platform.port, "/_reclaim",
                  {"id": vm, "in_ms": in_ms, "list": int(listed)})

    def fault(self, proc, mode, count=-1, ms=0):
        post_json(proc.port, "/_fault", {"mode": mode, "count": count, "ms": ms})

    def runs(self):
        """Runs by key, summed over the plain services, as they counted."""
        return self._by_key("/_runs", lambda a, b: a + b)

    def run_times(self):
        """When each key first ran, in ms of the monotonic clock."""
        return self._by_key("/_times", min)

    def _by_key(self, page, join):
        total = {}
        for s in self.services:
            if s.popen.poll() is None:
                for k, n in get_json(s.port, page).items():
                    total[k] = join(total[k], n) if k in total else n
        return total

    def close(self):
        for p in self.procs.values():
            if p.popen.poll() is None:
                p.kill()
        self._check_sanitizers()
        for c in list(self.cuts.values()) + list(self.platform_path.values()):
            c.close()

    def _check_sanitizers(self):
        """A sanitizer's word in any log fails whatever ran."""
        for p in self.procs.values():
            with open(p.log, "rb") as f:
                text = f.read()
            for word in (b"ThreadSanitizer", b"AddressSanitizer", b"LeakSanitizer",
                         b"runtime error:"):
                at = text.find(word)
                if at >= 0:
                    raise AssertionError("%s: %s" % (
                        p.name, text[at:at + 4000].decode("utf-8", "replace")))

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.close()
        if not exc[0] and not self.keep_logs:
            shutil.rmtree(self.dir, ignore_errors=True)


def strip_comments(text):
    """JSON without // and /* */ comments (outside strings)."""
    return re.sub(r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/',
                  lambda m: m.group(1) or "", text, flags=re.S)


def wait_for(fn, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if fn():
            return
        time.sleep(0.02)
    raise AssertionError("timed out waiting for " + what)


# -- calls --

ORG = {"Rillknot-Organisation": "khomas-clinics"}


def chat(port, prompt, max_tokens=16, model="booking", stream=True, headers=None, **kw):
    body = {"model": model, "max_tokens": max_tokens, "stream": stream,
            "messages": [{"role": "user", "content": prompt}]}
    return request(port, "POST", "/v1/chat/completions", json.dumps(body).encode(),
                   {**ORG, "Content-Type": "application/json", **(headers or {})}, **kw)


def call(port, path, key=None, body=b"{}", headers=None, method="POST", **kw):
    h = {**ORG, "Content-Type": "application/json", **(headers or {})}
    if key:
        h["Idempotency-Key"] = key
    return request(port, method, "/services/" + path, body, h, **kw)
