"""Starts rillknot's processes and stand-ins for the platform and its VMs on one
machine, for the demo, the process tests and the benchmarks.

Only processes that were started here are ended, each by its process id. The kernel
chooses the ports.
"""
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


def sanitizer_report(log):
    """Return the beginning of a sanitizer's report in a log, "" if there is none."""
    with open(log, "rb") as f:
        text = f.read()
    found = re.search(rb"\w+Sanitizer|runtime error:", text)
    return text[found.start():found.start() + 4000].decode("utf-8", "replace") if found else ""


# Signals by which a process ends for a fault of its own.
CRASH_SIGNALS = {signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL, signal.SIGSEGV}


class Proc:
    """A child process that writes its output, a log of JSON events, into a file.

    Waits for ready_event, unless that is empty, and keeps it in self.ready.
    """

    def __init__(self, args, log, ready_event="listening"):
        self.args, self.log = args, log
        self.signals_sent = set()
        # Appending, as tests add lines to the log of a running process.
        with open(log, "wb"), open(log, "ab") as out:
            self.popen = subprocess.Popen(args, stdout=out, stderr=subprocess.STDOUT)
        self.ready = None
        if ready_event:
            self.ready = self.wait_event(ready_event)

    def events(self):
        """Return the events logged so far; lines that are not JSON are skipped."""
        out = []
        with open(self.log, "rb") as f:
            for line in f:
                try:
                    out.append(json.loads(line))
                except ValueError:
                    pass
        return out

    def wait_event(self, name, timeout=START_TIMEOUT_S):
        """Return the first event of this name.

        Raises RuntimeError when the process ends first or after timeout seconds.
        """
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
            self.signals_sent.add(sig)
            self.popen.send_signal(sig)

    def has_crashed(self):
        """Return whether it has ended by a signal of a crash that nobody sent."""
        status = self.popen.poll()
        return -(status or 0) in CRASH_SIGNALS - self.signals_sent

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout=40):
        """Send SIGTERM and return the exit code.

        Kills the process and returns None if it has not exited after timeout seconds.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Answer:
    """An HTTP response as a caller received it; header names are in lower case.

    error describes the failure of the connection, None if there was none.
    """

    def __init__(self, status, headers, body, error=None):
        self.status, self.headers, self.body, self.error = status, headers, body, error
        self.began = self.ended = 0.0  # seconds on the monotonic clock

    @property
    def verdict(self):
        return self.headers.get("rillknot-verdict", "")

    def events(self):
        """Return [(id, data)] of an SSE stream; data of a named event is (name, data)."""
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
        """Return the concatenated tokens of a streamed answer."""
        return "".join(json.loads(d)["choices"][0]["delta"]["content"]
                       for i, d in self.events() if i is not None)

    def whole(self):
        """Return whether the answer is a complete 200; a stream must end in [DONE]."""
        if self.error or self.status != 200:
            return False
        if "event-stream" in self.headers.get("content-type", ""):
            return self.body.rstrip().endswith(b"data: [DONE]")
        return True


def request(port, method, path, body=b"", headers=None, timeout=60, host="127.0.0.1",
            on_data=None):
    """Send one HTTP request and return the Answer.

    A failure of the connection is returned in Answer.error. on_data is called with
    the body received so far whenever more of it arrives.
    """
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
            chunk = r.read1(65536)
            if not chunk:
                break
            got += chunk
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
    """Return the parsed body of a GET, None if it is empty."""
    a = request(port, "GET", path)
    if not a.body:
        print("GET %s at %d: status %d, no body, error %s" % (path, port, a.status, a.error))
    return json.loads(a.body) if a.body else None


def metrics(port):
    """Return the unlabelled integer metrics by name, without the rillknot_ prefix."""
    a = request(port, "GET", "/metrics")
    return {m[0]: int(m[1]) for m in
            re.findall(r"^rillknot_(\w+) (\d+)$", a.body.decode(), re.M)}


class CutProxy:
    """A TCP proxy on loopback whose connections a test can cut and allow again."""

    def __init__(self, target, host="127.0.0.1", port=0):
        self.target = target
        self.is_cut = False
        self.conns = []
        self.sock = socket.socket()
        self.sock.bind((host, port))
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
            threading.Thread(target=self._forward, args=(a, b), daemon=True).start()
            threading.Thread(target=self._forward, args=(b, a), daemon=True).start()

    def _forward(self, a, b):
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

    def restore(self):
        self.is_cut = False

    def close(self):
        self.cut()
        self.sock.close()


RESERVED_SOCKETS = []  # sockets bound to the ports of free_port()


def free_port():
    """Reserve a port for a process whose address must be known before it starts
    or must not change over a restart.

    The port stays bound, but not listening, until this process ends. A process that
    sets SO_REUSEADDR can listen on it, and the kernel gives it to nobody else.
    """
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    RESERVED_SOCKETS.append(s)
    return s.getsockname()[1]


class Cluster:
    """A cluster of entry nodes, engines, services and the stand-in platform.

    Use it as a context manager. entries, engines and services are numbers per failure
    domain. platform_cut and peer_cuts put a CutProxy between each entry node and the
    platform or its peers. proc_extra holds fields that differ in the settings files of
    all entry nodes. The log folder is deleted at the end, unless an exception was raised
    or keep_logs is set.
    """

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
        self.platform_proxies = {}
        self.platform_cut = platform_cut
        self.vms = {}
        for d in self.domains:
            for i in range(engines):
                self.add_engine("%s-m%d" % (d, i), d, engine_service, engine_args)
            for i in range(services):
                self.add_service("%s-s%d" % (d, i), d, plain_service, service_args)
        if settings:
            with open(os.path.join(ROOT, settings)) as f:
                self.push_settings(f.read())
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
        """Start an entry node, on the same ports as an earlier node of this name.

        extra holds settings-file fields that differ; fixed maps listen, control and
        forward to ports.
        """
        old = getattr(self, "_fixed", {})
        ports = fixed or old.get(name) or {k: free_port() for k in ("listen", "control",
                                                                    "forward")}
        old[name] = ports
        self._fixed = old
        platform_port = self.platform.port
        if self.platform_cut:
            if name not in self.platform_proxies:
                self.platform_proxies[name] = CutProxy(self.platform.port)
            platform_port = self.platform_proxies[name].port
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
                    self.cuts[name, kind] = CutProxy(ports[kind])
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
        """Return the port at which peers reach this listener of the node."""
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
        """Write settings change `number` to the platform, unless it exists."""
        return request(self.platform.port, "PUT", "/objects/settings/changes/%010d" % number,
                       json.dumps(change).encode(), {"If-None-Match": "*"})

    def push_settings(self, text):
        """Write all settings as the first change.

        The programs read comments in settings files with json-c; Python's parser does
        not accept them, so they are removed here.
        """
        body = '{"id":"first","author":"cluster","base":0,"set":%s}'
        tree = strip_comments(text)
        flat = {"/" + k: v for k, v in json.loads(tree).items()}
        return request(self.platform.port, "PUT", "/objects/settings/changes/0000000001",
                       (body % json.dumps(flat)).encode(), {"If-None-Match": "*"})

    def wait_ready(self, timeout=START_TIMEOUT_S):
        """Wait until every entry node has settings, lists at least as many VMs as its
        domain has live ones, and sees all other entry nodes alive."""
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
        """Wait until settings change `head` is in force at every entry node."""
        wait_for(lambda: all(get_json(e.port, "/status")["settings_head"] >= head
                             for e in self.entries), timeout, "settings head %d" % head)

    # -- faults --

    def reclaim(self, vm, in_ms=30000, listed=False):
        """Make the platform announce that it reclaims the VM in in_ms.

        listed: the VM list shows the VM as leaving at once; otherwise the list lags.
        """
        post_json(self.platform.port, "/_reclaim",
                  {"id": vm, "in_ms": in_ms, "list": int(listed)})

    def fault(self, proc, mode, count=-1, ms=0):
        """Make a stand-in misbehave for the next count requests; -1: for all.

        An empty mode ends the fault.
        """
        post_json(proc.port, "/_fault", {"mode": mode, "count": count, "ms": ms})

    def runs(self):
        """Return the number of runs by key, as the running plain services counted them."""
        return self._by_key("/_runs", lambda a, b: a + b)

    def run_times(self):
        """Return when each key first ran at a running service, in ms on the monotonic clock."""
        return self._by_key("/_times", min)

    def _by_key(self, page, join):
        """Merge a page of all running services; join combines two values of a key."""
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
        for c in list(self.cuts.values()) + list(self.platform_proxies.values()):
            c.close()

    def _check_sanitizers(self):
        """Raise AssertionError if a sanitizer reported anything in a log."""
        for p in self.procs.values():
            report = sanitizer_report(p.log)
            if report:
                raise AssertionError("%s: %s" % (p.name, report))

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.close()
        if not exc[0] and not self.keep_logs:
            shutil.rmtree(self.dir, ignore_errors=True)


def strip_comments(text):
    """Return JSON text without // and /* */ comments; strings are left alone."""
    return re.sub(r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/',
                  lambda m: m.group(1) or "", text, flags=re.S)


def wait_for(fn, timeout, what):
    """Poll fn until it is true; raise AssertionError after timeout seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if fn():
            return
        time.sleep(0.02)
    raise AssertionError("timed out waiting for " + what)


# -- calls --

ORG = {"Rillknot-Organisation": "khomas-clinics"}


def chat(port, prompt, max_tokens=16, model="booking", stream=True, headers=None, **kw):
    """Send a chat completion request and return its Answer."""
    body = {"model": model, "max_tokens": max_tokens, "stream": stream,
            "messages": [{"role": "user", "content": prompt}]}
    return request(port, "POST", "/v1/chat/completions", json.dumps(body).encode(),
                   {**ORG, "Content-Type": "application/json", **(headers or {})}, **kw)


def call(port, path, key=None, body=b"{}", headers=None, method="POST", **kw):
    """Call a plain service and return its Answer; key is the Idempotency-Key."""
    h = {**ORG, "Content-Type": "application/json", **(headers or {})}
    if key:
        h["Idempotency-Key"] = key
    return request(port, method, "/services/" + path, body, h, **kw)
