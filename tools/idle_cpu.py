#!/usr/bin/env python3
"""Leaves connections of all kinds in odd states, in random batches, and measures idle nodes.

Callers, VMs, peers, the store and the cloud leave connections half closed, reset, full, unread
or with bytes behind their end. Nothing moves after that, so that no thread of a node may use
more than CPU_SHARE_MAX of a core: a thread that does goes round in its event loop. After the
batch all nodes still run and serve. No loop may report a spin (loop_spins_total). A seed
repeats the states and their order.

    tools/idle_cpu.py [--build DIR] [--seeds N] [--first SEED] [--batches N] [--jobs N]
"""
import os
import random
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from hosted import Hosted, RawServer, reset, wait_until  # noqa: E402
from seeds import make_parser, play_each  # noqa: E402

NODES = 2
CPU_SHARE_MAX = 0.05  # of a core, each thread; the smallest machines have 0.09 in all
SETTLE_S, MEASURE_S = 1.5, 2.0
STATES_PER_BATCH = 8
CONNS_PER_STATE = 4
CALL_MS = 20000  # calls outlast a batch
LIMITS = {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 20000,
          "idleTimeoutMs": 20000}
# More than a node reads behind a call; the kernel takes the rest, and the end of the connection.
BEHIND = b"x" * 100000
BIG_CHUNK = b"10000\r\n" + b"y" * 65536 + b"\r\n"


# ---- how a connection may be left ----

def leave_open(s):
    """The peer does nothing more."""


def half_close(s):
    s.shutdown(socket.SHUT_WR)


def stop_reading(s):
    s.shutdown(socket.SHUT_RD)


def send_urgent(s):
    s.send(b"!", socket.MSG_OOB)


def send_urgent_and_half_close(s):
    s.send(b"!", socket.MSG_OOB)
    s.shutdown(socket.SHUT_WR)


def send_data_and_half_close(s):
    s.setblocking(False)
    try:
        s.send(BEHIND)
    except OSError:
        pass
    s.setblocking(True)
    s.shutdown(socket.SHUT_WR)


def close(s):
    s.close()


ENDS = (leave_open, half_close, stop_reading, send_urgent, send_urgent_and_half_close,
        send_data_and_half_close, close, reset)


def end(s, how):
    try:
        how(s)
    except OSError:
        pass


# ---- VMs and other servers ----

def vm_head(req, vm_id, framing):
    ident = req.get("Rillknot-Attempt-Id")
    return ("HTTP/1.1 200 OK\r\nRillknot-Attempt-Id: %s\r\nRillknot-Server-Signature: %s.%s\r\n"
            "%s\r\n" % (ident, vm_id, ident, framing)).encode()


class OddVm(RawServer):
    """A VM that answers part of each call and leaves the connection in a state."""

    def __init__(self, number, part, how):
        self.id, self.part, self.how = "i-odd-%d" % number, part, how
        super().__init__()

    def handle(self, req, conn):
        conn.settimeout(1)
        try:
            if self.part == "head":
                conn.sendall(vm_head(req, self.id, "Content-Length: 1000\r\n"))
            elif self.part == "part":
                conn.sendall(vm_head(req, self.id, "Content-Length: 1000\r\n") + b"y" * 10)
            elif self.part == "whole":
                conn.sendall(vm_head(req, self.id, "Content-Length: 2\r\n") + b"ok")
            elif self.part == "more":
                conn.sendall(vm_head(req, self.id, "Content-Length: 2\r\n") + b"ok" + BEHIND)
            elif self.part == "endless":
                conn.sendall(vm_head(req, self.id, "Transfer-Encoding: chunked\r\n"))
                for _ in range(200):
                    conn.sendall(BIG_CHUNK)
        except OSError:
            pass
        end(conn, self.how)
        time.sleep(CALL_MS / 1000)
        return False


PARTS = ("nothing", "head", "part", "whole", "more", "endless")


class IdleCpu:
    """One run: a deployment, its batches of states and the checks.

    problems lists what was found wrong; log holds the states of the batches.
    """

    def __init__(self, seed, batches, build=None):
        self.rng = random.Random(seed)
        self.batches = batches
        self.d = Hosted(nodes=NODES, zones=("a-hall", "b-hall"), build=build)
        self.problems, self.log, self.most = [], [], 0.0
        self.open, self.servers, self.numbers = [], [], 0
        self.spins = [0] * NODES  # reported by each node so far

    # ---- states ----

    def connect(self, addr):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        s.settimeout(2)
        s.connect(("127.0.0.1", Hosted.port(addr)))
        self.open.append(s)
        return s

    def send(self, s, data):
        try:
            s.sendall(data)
        except OSError:
            pass

    def request(self, route, length=2, more=""):
        self.numbers += 1
        return ("POST /%s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
                "Rillknot-Attempt-Id: odd-%d\r\nRillknot-Deadline-Ms: %d\r\n%s"
                "Content-Length: %d\r\n\r\n" % (route, self.numbers, CALL_MS, more, length)).encode()

    def caller(self, route="hang"):
        """Callers leave their connections at some byte of a call."""
        node, how = self.rng.choice(self.d.nodes), self.rng.choice(ENDS)
        whole = self.request(route) + b"hi"
        sent = self.rng.choice([b"", b"PO", whole[:60], whole[:-1], whole, whole + whole,
                                whole + BEHIND, whole + BEHIND * 4])
        for _ in range(CONNS_PER_STATE):
            s = self.connect(node.ready["listen"])
            self.send(s, sent)
            time.sleep(self.rng.choice([0, 0.05]))
            end(s, how)
        return "caller %s, %d bytes, %s" % (route, len(sent), how.__name__)

    def page(self):
        """Readers of the pages of operators leave likewise."""
        node, how = self.rng.choice(self.d.nodes), self.rng.choice(ENDS)
        name, path = self.rng.choice([("ready", "/api/readyz"), ("metrics", "/metrics")])
        whole = ("GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path).encode()
        sent = self.rng.choice([b"", whole[:9], whole, whole * 2000])
        for _ in range(CONNS_PER_STATE):
            s = self.connect(node.ready[name])
            self.send(s, sent)
            end(s, how)
        return "%s page, %d bytes, %s" % (name, len(sent), how.__name__)

    def peer(self):
        """Peers leave the control port at some byte of a frame."""
        node, how = self.rng.choice(self.d.nodes), self.rng.choice(ENDS)
        sent = self.rng.choice([b"", b"\0", b"\0\0\0\0", b"\0\1\0\0" + b"z" * 20000,
                                b"\xff" * 100, b"\0\0\0\2\x0a\0"])
        for _ in range(CONNS_PER_STATE):
            s = self.connect(node.ready["control"])
            self.send(s, sent)
            end(s, how)
        return "peer, %d bytes, %s" % (len(sent), how.__name__)

    def vm(self):
        """A VM answers a part of calls and leaves the connections of its callers."""
        part, how = self.rng.choice(PARTS), self.rng.choice(ENDS)
        self.numbers += 1
        route = "odd-%d" % self.numbers
        vm = OddVm(self.numbers, part, how)
        self.servers.append((vm, vm.id))
        self.list_vm(route, vm.id, vm.addr)
        self.call_route(route)
        return "vm, %s, %s" % (part, how.__name__)

    def unreachable_vm(self):
        """A VM of the list refuses connects, or its backlog is full."""
        server = socket.socket()
        server.bind(("127.0.0.1", 0))
        self.open.append(server)
        port = server.getsockname()[1]
        full = self.rng.random() < 0.5
        if full:
            server.listen(0)
            for _ in range(3):
                s = socket.socket()
                s.setblocking(False)
                s.connect_ex(("127.0.0.1", port))
                self.open.append(s)
        self.numbers += 1
        route, vm_id = "odd-%d" % self.numbers, "i-odd-%d" % self.numbers
        self.servers.append((None, vm_id))
        self.list_vm(route, vm_id, "127.0.0.1:%d" % port)
        self.call_route(route)
        return "vm that %s" % ("has a full backlog" if full else "refuses connects")

    def list_vm(self, service, vm_id, addr):
        self.d.store.put("servers", vm_id, {
            "service": service, "address": addr, "zone": self.d.zones[0], "version": "v1",
            "slots": 40, "state": "ready", "coldLeftMs": 0, "spot": False, "seqNo": 1,
            "born": 1})
        self.routes.append(self.d.route(service, service,
                                        self.rng.choice(["idempotent", "non_idempotent",
                                                         "streaming"]), timeoutMs=CALL_MS))
        self.services.append(service)
        self.configure()

    def configure(self):
        self.d.configure(self.routes, services=self.services, limits=LIMITS)

    def call_route(self, route):
        for node in self.d.nodes:
            for _ in range(CONNS_PER_STATE):
                s = self.connect(node.ready["listen"])
                self.send(s, self.request(route) + b"hi")
        time.sleep(0.2)

    def store(self):
        """The store's connections end, or have bytes behind the answers."""
        how = self.rng.choice(ENDS)
        for conn in list(self.d.store.conns):
            end(conn, how)
        return "store, %s" % how.__name__

    def cloud(self):
        how = self.rng.choice(ENDS)
        for conn in list(self.d.cloud.conns):
            end(conn, how)
        return "cloud, %s" % how.__name__

    def freeze(self):
        """A machine is suspended: the time of all timers has passed."""
        node, for_s = self.rng.choice(self.d.nodes), self.rng.choice([0.5, 3.5])
        node.freeze()
        conns = [self.connect(node.ready["listen"]) for _ in range(CONNS_PER_STATE)]
        for s in conns:
            self.send(s, self.request("hang") + b"hi")
            end(s, self.rng.choice(ENDS))
        time.sleep(for_s)
        node.thaw()
        return "freeze %.1f s" % for_s

    # ---- the run ----

    def start(self):
        self.d.start()
        self.routes = [self.d.route("hang", "hang", timeoutMs=CALL_MS),
                       self.d.route("stream", "hang", "streaming", timeoutMs=CALL_MS),
                       self.d.route("sound", "sound")]
        self.services = ["hang", "sound"]
        hang = self.d.add_worker("hang", slots=4000)
        hang.work_s = CALL_MS / 1000
        self.d.add_worker("sound")
        self.configure()
        self.d.wait_ready()

    def end_states(self):
        for s in self.open:
            s.close()
        for server, vm_id in self.servers:
            self.d.store.drop("servers", vm_id)
            if server:
                server.close()
        self.routes, self.services = self.routes[:3], self.services[:2]
        self.configure()
        self.open, self.servers = [], []

    def play_batch(self, states):
        names = []
        for state in states:
            try:
                names.append(state())
            except OSError as e:
                names.append("%s: %s" % (state.__name__, e))
        time.sleep(SETTLE_S)
        for name, share in measure(self.d.nodes).items():
            self.most = max(self.most, share)
            if share > CPU_SHARE_MAX:
                self.problems.append("%s: %.2f of a core after: %s"
                                     % (name, share, "; ".join(names)))
        for i, node in enumerate(self.d.nodes):
            spins = self.d.gauge(node, "loop_spins_total")
            if spins > self.spins[i]:
                self.problems.append("%s: %d spins of a loop after: %s"
                                     % (node.name, spins - self.spins[i], "; ".join(names)))
            self.spins[i] = spins
        self.log.append("; ".join(names))
        self.end_states()
        for i, node in enumerate(self.d.nodes):
            if node.popen.poll() is not None:
                raise AssertionError("%s ended: %s" % (node.name, node.popen.returncode))
            wait_until(lambda n=i: self.d.call("/sound/x", node=n).status == 200, 5)

    def run(self):
        kinds = ([self.caller] * 4 + [lambda: self.caller("stream")] * 2 + [self.vm] * 5 +
                 [self.peer] * 2 + [self.page, self.unreachable_vm, self.store, self.cloud,
                                    self.freeze])
        with self.d:
            self.start()
            for _ in range(self.batches):
                self.play_batch([self.rng.choice(kinds) for _ in range(STATES_PER_BATCH)])
        return self


def thread_times(node):
    """Return the processor time of each thread of a node so far, in seconds, by its id."""
    times, folder = {}, "/proc/%d/task" % node.popen.pid
    for tid in os.listdir(folder):
        with open("%s/%s/schedstat" % (folder, tid)) as f, open("%s/%s/comm" % (folder, tid)) as c:
            times[tid] = (c.read().strip(), int(f.read().split()[0]) / 1e9)
    return times


def measure(nodes, for_s=MEASURE_S):
    """Return the share of a core that each thread of the nodes uses, by its name."""
    before = [thread_times(n) for n in nodes]
    start = time.monotonic()
    time.sleep(for_s)
    took_s = time.monotonic() - start
    shares = {}
    for n, times in zip(nodes, before):
        for tid, (name, used_s) in thread_times(n).items():
            earlier_s = times[tid][1] if tid in times else 0
            shares["%s/%s/%s" % (n.name, name, tid)] = (used_s - earlier_s) / took_s
    return shares


def run_seed(seed, batches, build=None):
    """Play one seed and return the finished run."""
    return IdleCpu(seed, batches, build).run()


def main():
    p = make_parser("build", seeds=10, jobs=2)
    p.add_argument("--batches", type=int, default=4)
    args = p.parse_args()
    if args.one is not None:
        run = run_seed(args.one, args.batches, args.build)
        print("\n".join(run.problems))
        print("seed %d: %d batches, %.3f of a core at the most, %d problems"
              % (args.one, len(run.log), run.most, len(run.problems)))
        return 1 if run.problems else 0
    return play_each(args, os.path.abspath(__file__), "--batches", str(args.batches))


if __name__ == "__main__":
    sys.exit(main())
