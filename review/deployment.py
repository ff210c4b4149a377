"""A small deployment for the cases of this review.

Nodes are started with the command, the template and the variables of the deploy file. The
store, the platform's API and the workers are the project's stand-ins (tools/hosted.py); the
settings are those of the site kbg-windhoek.
"""
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path.insert(0, os.path.join(ROOT, "tools"))

from cluster import Proc, free_port  # noqa: E402
import hosted  # noqa: E402
from hosted import Hosted, read_answer, render  # noqa: E402

with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
    ROLE = tomllib.load(f)["roles"]["entry"]

ZONES = ("klein-hall", "eros-hall", "olympia-hall")
BEAT_S = 1.2  # beatIntervalMs
DRAIN_S = 2.0  # drainMs
BOUNDS = {"graceS": 8, "leaseMs": 3000, "reportWindowS": 5, "usageLateS": 10,
          "quotaWindowS": 8, "quotaSlack": 72000, "quotaOverrun": 0.1, "budgetExtra": 52,
          "retryBudgetRatio": 0.2}
HOST, KEY, TENANT = "ficu95.example", "i9n73hh2b9wu3fexd9dn", "hule930"
LLM, PLAIN = "huvo11a", "wuno96b"


def services():
    return [
        {"name": LLM, "healthPath": "/healthz", "maxConns": 610, "protocol": "h1", "tls": False,
         "engine": {"slots": 128, "kvCapacity": 264479, "kvBytes": 131072,
                    "linkMbps": 130000.0, "moves": True, "backups": True, "stride": 3,
                    "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                    "models": [{"name": "m"}]}},
        {"name": PLAIN, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1",
         "tls": False},
    ]


def route(name, prefix, kind, service, timeout_ms, slo_ms, attempts, priority, resumable):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": timeout_ms, "sloMs": slo_ms, "priority": priority,
            "service": service, "maxAttempts": attempts, "anonymous": False,
            "sticky": kind == "streaming", "resumable": resumable, "itlTargetMs": 500}


def routes():
    return [
        route("r-notice", "/pufi791/", "streaming", LLM, 4000, 1000, 1, 0, False),
        route("r-chat", "/lohu930/", "streaming", LLM, 15000, 800, 2, 2, True),
        route("r-confirm", "/puxa403/", "non_idempotent", PLAIN, 600, 100, 1, 2, False),
        route("r-release", "/cufi504/", "idempotent", PLAIN, 600, 100, 2, 2, False),
    ]


class Record:
    """Writes what was sent, answered and run into record.txt, with the time in seconds."""

    def __init__(self, path):
        self.file, self.start, self.lock = open(path, "w"), time.monotonic(), threading.Lock()

    def __call__(self, text, *args):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text % args))
            self.file.flush()


started = []  # every process that was started here


def end_all():
    """End every process that was started and still runs."""
    for popen in started:
        if popen.poll() is None:
            popen.kill()
            popen.wait()


def on_sigterm(number, frame):
    """End as a case that couldn't run, as when its time is over."""
    end_all()
    os._exit(2)


class NodeProc(Proc):
    """A node's process; its settings file is named by a variable, as on the platform."""

    def __init__(self, args, env, log, path):
        self.args, self.log, self.file = args, log, path
        self.popen = subprocess.Popen(args, cwd=ROOT, env=env, stdout=open(log, "wb"),
                                      stderr=subprocess.STDOUT)
        started.append(self.popen)
        self.ready = self.wait_event("node.started")


class Deployment(Hosted):
    """Nodes of the deploy file, workers, a store and the platform's API."""

    def __init__(self, record, zones=ZONES):
        super().__init__(nodes=0, zones=zones, bounds=BOUNDS)
        self.record = record
        signal.signal(signal.SIGTERM, on_sigterm)

    def _start(self, path):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["RILLKNOT_CONFIG"] = path
        log = "%s.%d.log" % (path, next(self.ids))
        args = ROLE["run"].split()
        args[0] = os.path.join(ROOT, args[0])
        return NodeProc(args, env, log, path)

    def add_node(self, first_start=True, **more):
        """Start a node at addresses that it keeps when it is started again."""
        number = len(self.nodes) + 1
        zone = self.zones[(number - 1) % len(self.zones)]
        ports = ["127.0.0.1:%d" % free_port() for _ in range(3)]
        fields = {"nodeName": "edge-%s-%d" % (zone, number), "zone": zone, "ip": "127.0.0.1",
                  "portRange": [0, 0], "platform": {"address": self.store.addr},
                  "cloud": {"address": self.cloud.addr},
                  "listen": dict(zip(("front", "readiness", "control"), ports)),
                  "seeds": [n.ready["control"] for n in self.nodes[:3]],
                  "bootstrap": first_start, "bounds": self.bounds,
                  "limits": {"cpuShare": 0.25}}
        with open(os.path.join(ROOT, ROLE["template"])) as f:
            text = render(f.read(), fields)
        path = os.path.join(self.dir, fields["nodeName"] + ".json")
        with open(path, "w") as f:
            f.write(text)
        node = self._start(path)
        node.name = fields["nodeName"]
        self.nodes.append(node)
        self.record("start   %s, bootstrap %s", node.name, first_start)
        return node

    def start_again(self, index):
        """Start a node that has ended, as the platform does after a short delay."""
        old = self.nodes[index]
        with open(old.file) as f:
            text = f.read().replace('"first_start": true', '"first_start": false')
        with open(old.file, "w") as f:
            f.write(text)
        node = self._start(old.file)
        node.name = old.name
        self.nodes[index] = node
        self.record("start   %s again, bootstrap False", node.name)
        return node

    def term(self, index):
        """Stop a node as planned work does and wait for its end."""
        node = self.nodes[index]
        self.record("SIGTERM %s", node.name)
        node.popen.send_signal(signal.SIGTERM)
        node.popen.wait(self.bounds["graceS"] + 1)

    def settings(self, **kw):
        """Write the next version of the configuration and wait until nodes use it."""
        kw.setdefault("services", services())
        kw.setdefault("tenants", [{"name": TENANT, "apiKeys": [KEY], "priority": 1,
                                   "unit": "token_stream", "plainTokens": 200,
                                   "ratePerS": 59302, "burst": 59302}])
        self.configure(routes(), limits={"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                         "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                       **kw)

    def finish(self):
        end_all()
        self.stop()


def head(method, target, ident, deadline_ms, body, more=(), key=KEY):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST,
             "Rillknot-Attempt-Id: " + ident, "Rillknot-Deadline-Ms: %d" % deadline_ms,
             "X-Api-Key: " + key] + ["%s: %s" % h for h in more]
    if body:
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


PROMPT = (("Rillknot-Model-Name", "m"), ("Rillknot-Token-Usage", "715,240"),
          ("Rillknot-Prompt-Prefix", "5c1e07a2:103,91bd3f06:69,e4402b7d:543"))


class Client:
    """A client with one kept connection to a node; it connects again after a close."""

    def __init__(self, deployment, node=0, key=KEY):
        self.d, self.node, self.key, self.sock, self.rest = deployment, node, key, None, []
        self.answered = 0  # on this connection

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock, self.rest, self.answered = None, [], 0

    def send(self, method, target, ident, deadline_ms, body=b"", more=()):
        """Send a request and return (answer, kept): whether the connection had served one."""
        if not self.sock:
            addr = self.d.nodes[self.node].ready["listen"]
            self.sock = socket.create_connection(("127.0.0.1", self.d.port(addr)), 5)
            self.sock.settimeout(deadline_ms / 1000 + 1)
        kept = self.answered > 0
        try:
            self.sock.sendall(head(method, target, ident, deadline_ms, body, more,
                                   self.key))
            answer = read_answer(self.sock, method, self.rest)
        except OSError:
            answer = hosted.Answer(0, {}, b"", False)
        self.answered += 1
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer, kept


def events_of(body):
    return [int(n) for n in re.findall(rb"^id: (\d+)\n", body, re.M)]
