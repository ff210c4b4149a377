#!/usr/bin/env python3
"""Measures what a node keeps of identifiers that never come again.

Drives a real node through rounds of new identifiers of one kind, each used once, and compares
what it has allocated, its private memory and its descriptors after each round. A round runs
until the tables whose size is bounded are full, the later ones are measured: what grows there
grows without end.

    tools/growth.py [--build DIR] [--rounds N] [--round N] [--seed SEED] [--fleet] [KIND ...]
"""
import argparse
import itertools
import os
import random
import signal
import socket
import sys
import threading
import time
from unittest import mock

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from hosted import Hosted, read_answer, reset  # noqa: E402

SETTLE_S = 2.0  # until entries with a lifetime are gone and freed memory is given back
SAMPLES, SAMPLE_S = 5, 0.2  # of allocated bytes; the least is without messages in flight
CALLERS = 4
LIMITS = {"cpuShare": 0.25, "memoryMb": 120, "maxFds": 3075}
# Threads keep no freed memory for themselves, as that counts as allocated.
ALLOCATOR = {"GLIBC_TUNABLES": "glibc.malloc.tcache_count=0"}
TENANT = {"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream", "plainTokens": 1,
          "ratePerS": 0, "burst": 0}


class Footprint:
    """What a node holds: private memory in KB, allocated bytes, descriptors and threads.

    Private memory varies by the pages that the allocator has yet to give back; allocated bytes
    don't, but leave out what is mapped without the allocator.
    """

    def __init__(self, d, node):
        pid = node.popen.pid
        with open("/proc/%d/smaps_rollup" % pid) as f:
            self.private_kb = sum(int(x.split()[1]) for x in f if x.startswith("Private_Dirty"))
        self.fds = len(os.listdir("/proc/%d/fd" % pid))
        self.threads = len(os.listdir("/proc/%d/task" % pid))
        self.heap_bytes = min(self.heap_samples(d, node))

    @staticmethod
    def heap_samples(d, node):
        for _ in range(SAMPLES):
            yield d.gauge(node, "heap_bytes")
            time.sleep(SAMPLE_S)

    def __repr__(self):
        return "%d KB, %d bytes allocated, %d descriptors" % (
            self.private_kb, self.heap_bytes, self.fds)


class Growth:
    """A deployment with one node or two, and the identifiers of each kind."""

    def __init__(self, nodes=1, build=None, seed=1):
        self.rng = random.Random(seed)
        self.ids = itertools.count(1)
        self.seed = seed
        self.d = Hosted(nodes=0, build=build)
        with mock.patch.dict(os.environ, ALLOCATOR):
            for _ in range(nodes):
                self.d.add_node(limits=LIMITS)
        for _ in range(2):
            self.d.add_worker("plain", slots=50)
            self.d.add_worker("engine", events=2, slots=50)
        self.d.store.page = 500
        self.settings()
        self.d.wait_ready()

    def fresh(self, what):
        """Return a name that was not used before."""
        return "%s-%d-%06d" % (what, self.seed, next(self.ids))

    def settings(self, tenants=(), routes=(), services=()):
        d = self.d
        d.configure([d.route("r", "plain"), d.route("p", "plain", "non_idempotent"),
                     d.route("s", "engine", "streaming", resumable=True, sticky=True)]
                    + list(routes), services=["plain", "engine"] + list(services),
                    tenants=[TENANT] + list(tenants))

    # ---- callers ----

    def in_threads(self, count, run):
        """Do run(number) for each of count numbers, divided among some threads."""
        errors = []

        def part(first):
            try:
                for i in range(first, count, CALLERS):
                    run(i)
            except Exception as e:  # reported below
                errors.append(e)
        threads = [threading.Thread(target=part, args=(i,)) for i in range(CALLERS)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        if errors:
            raise errors[0]

    def request(self, target, headers=(), body=b"hi", key="key-1", ident=None):
        lines = ["POST %s HTTP/1.1" % target, "Host: api.example",
                 "Rillknot-Attempt-Id: %s" % (ident or self.fresh("call")),
                 "X-Api-Key: %s" % key, "Rillknot-Deadline-Ms: 3000",
                 "Content-Length: %d" % len(body)]
        return "\r\n".join(lines + ["%s: %s" % h for h in headers]).encode() + b"\r\n\r\n" + body

    def send_kept(self, count, make, expected):
        """Send requests on connections that stay open."""
        local = threading.local()

        def one(i):
            s = getattr(local, "conn", None) or self.d.connect(i % len(self.d.nodes))
            local.conn = s
            s.sendall(make(i))
            a = read_answer(s, rest=local.__dict__.setdefault("rest", []))
            if a.status not in expected:
                raise AssertionError("%d %s" % (a.status, a.body[:200]))
            if a.headers.get("connection") == "close":
                s.close()
                local.conn, local.rest = None, []
        self.in_threads(count, one)

    def calls(self, count):
        """Calls with new ids and paths."""
        self.send_kept(count, lambda i: self.request("/r/" + self.fresh("path")), {200})

    def once_calls(self, count):
        """Calls that may run once."""
        self.send_kept(count, lambda i: self.request("/p/x"), {200})

    def refused(self, count):
        """Calls with unknown keys, routes and hosts."""
        def make(i):
            return (self.request("/r/x", key=self.fresh("key")),
                    self.request("/%s/x" % self.fresh("route")))[i % 2]
        self.send_kept(count, make, {401, 404})

    def connections(self, count):
        """Connections that end in each state of a call."""
        def one(i):
            s = self.d.connect(i % len(self.d.nodes))
            data = self.request("/s/x" if i % 3 else "/r/x", body=b"x" * 100)
            how = i % 6
            try:
                if how == 0:
                    pass
                elif how == 1:
                    s.sendall(data[:40])
                elif how == 2:
                    s.sendall(data[:-10])
                elif how == 3:
                    s.sendall(data)
                elif how == 4:
                    s.sendall(data)
                    s.recv(10)
                else:
                    s.sendall(data + data[:60])
                    read_answer(s)
            except OSError:
                pass
            if i % 4 == 0:
                reset(s)
            else:
                s.close()
        self.in_threads(count, one)

    def streams(self, count):
        """Streams with new sessions, models and prompt segments."""
        def make(i):
            parts = "%08x:800,%s:40,%s:25" % (i % 7, self.hex_id(), self.hex_id())
            return self.request("/s/" + self.fresh("p"), [
                ("Rillknot-Model-Name", "m"), ("Rillknot-Token-Usage", "865,80"),
                ("Rillknot-Prompt-Prefix", parts), ("Rillknot-Length-Hint", "40")])
        self.send_kept(count, make, {200})

    def models(self, count):
        """Streams with a new name of a model each."""
        def make(i):
            return self.request("/s/x", [("Rillknot-Model-Name", self.fresh("model")),
                                         ("Rillknot-Token-Usage", "30,8"),
                                         ("Rillknot-Prompt-Prefix", self.hex_id() + ":30")])
        self.send_kept(count, make, {200, 404, 503})

    def hex_id(self):
        return "%08x" % (0x10000000 + next(self.ids))

    def broken(self, count):
        """Calls whose first attempt breaks off at a VM, and goes on at another."""
        def fault(worker, req, conn):
            if req.get("Rillknot-Attempt-Id").startswith("bad") and req not in done:
                ident = req.get("Rillknot-Attempt-Id")
                with lock:
                    first = ident not in done
                    done.add(ident)
                if first and worker.events:
                    worker.stream(req, conn, 1, end=False)
                if first:
                    reset(conn)
                    return False
            return None
        lock, done = threading.Lock(), set()
        for w in self.d.workers:
            w.fault = fault
        self.send_kept(count, lambda i: self.request(
            "/s/x" if i % 2 else "/r/x", ident=self.fresh("bad" if i % 10 == 0 else "good")),
            {200, 0, 502, 503, 504})
        for w in self.d.workers:
            w.fault = None

    # ---- the store ----

    def vms(self, count):
        """VMs that come and go under new ids and addresses; some get calls."""
        live = []
        for i in range(count):
            service = ("plain", "engine")[i % 2]
            base = next(w for w in self.d.workers if w.service == service)
            ident = self.fresh("i")
            spec = dict(base.spec(), address="127.%d.%d.%d:%d" % (
                1 + i % 200, i // 200 % 250, 1 + i % 7, 2000 + self.rng.randrange(60000)),
                zone=("klein-hall", "a", "b")[i % 3], version="v%d" % (i % 3),
                born=base.born + i)
            self.d.store.put("servers", ident, spec)
            live.append(ident)
            if len(live) > 20:
                self.d.store.drop("servers", live.pop(0))
            if i % 10 == 0:
                self.d.call(("/r/x", "/s/x")[i // 10 % 2], body=b"hi", deadline=1000)
            time.sleep(0.001)
        for ident in live:
            self.d.store.drop("servers", ident)

    def objects(self, count):
        """VMs whose entries change."""
        w = self.d.workers[0]
        for i in range(count):
            spec = dict(w.spec(), seqNo=i, coldLeftMs=i % 100)
            self.d.store.put("servers", w.id, spec)
            time.sleep(0.0005)

    def in_versions(self, count, per_version, make, add, used_share=1):
        """Use count new names, per_version of them in each version of the settings.

        A request of make(name) is sent to each node for one of used_share names.
        """
        for first in range(0, count, per_version):
            names = [self.fresh("n") for _ in range(min(per_version, count - first))]
            self.settings(**add(names))
            used = names[::used_share]
            self.send_kept(len(used) * len(self.d.nodes), lambda i: make(
                used[i // len(self.d.nodes)]), {200, 404, 429, 503})

    def tenants(self, count):
        """Organisations that come and go with the settings, each with a key and a quota."""
        self.in_versions(count, 50, lambda name: self.request("/r/x", key="k" + name),
                         lambda names: {"tenants": [
                             dict(TENANT, name="t" + n, apiKeys=["k" + n], ratePerS=100, burst=10)
                             for n in names]})

    def services(self, count):
        """Services that come and go with the settings, each with a route and a VM."""
        def add(names):
            for n in listed:
                self.d.store.drop("servers", n)
            listed[:] = names
            for n in names:
                self.d.store.put("servers", n, dict(self.d.workers[0].spec(), service="v" + n))
            return {"services": [{"name": "v" + n, "healthPath": "/healthz", "maxConns": 20}
                                 for n in names],
                    "routes": [self.d.route("x" + n, "v" + n) for n in names]}
        listed = []
        self.in_versions(count, 20, lambda name: self.request("/x%s/x" % name), add,
                         used_share=10)
        for n in listed:
            self.d.store.drop("servers", n)

    def reloads(self, count):
        """Reloads of the process file."""
        for _ in range(count):
            for n in self.d.nodes:
                n.popen.send_signal(signal.SIGHUP)
            time.sleep(0.005)

    def rollouts(self, count):
        """Orders of rollouts that replace each other."""
        for i in range(count):
            self.d.store.put("rollouts", ("plain", "engine")[i % 2], {
                "service": ("plain", "engine")[i % 2], "targetVersion": self.fresh("v"),
                "durationS": 1})
            time.sleep(0.004)
        for s in ("plain", "engine"):
            self.d.store.drop("rollouts", s)

    def store_faults(self, count):
        """Answers of the store that fail, and histories that are gone."""
        kinds = itertools.cycle((503, 429, "reset", None))
        self.d.store.fault = lambda req: next(kinds)
        end = time.monotonic() + count / 200
        while time.monotonic() < end:
            self.d.store.forget_history()
            time.sleep(0.02)
        self.d.store.fault = None

    def pages(self, count):
        """Reads of the pages, on new connections."""
        for i in range(count):
            n = self.d.nodes[i % len(self.d.nodes)]
            if i % 2:
                self.d.metrics(n)
            else:
                self.d.ready(n)

    def control_links(self, count):
        """Connections to the control port that end after a part of a frame."""
        for i in range(count):
            s = socket.create_connection(
                ("127.0.0.1", self.d.port(self.d.nodes[0].ready["control"])))
            s.sendall(b"\0\0\1\0abc"[:i % 8])
            s.close()

    def restarts(self, count):
        """Restarts of the peer, each a new incarnation."""
        for _ in range(count):
            self.d.restart_node(1)
            time.sleep(0.05)

    def new_peers(self, count):
        """Peers that come under a new name and leave for good."""
        for _ in range(count):
            node = self.d.add_node()
            time.sleep(0.05)
            node.kill()
            self.d.nodes.remove(node)

    # ---- measurement ----

    def close_idle(self):
        """Close the connections to the VMs: how many are idle, up to 3 KB each in the node, depends
        on how long the round took."""
        for w in self.d.workers:
            for conn in list(w.conns):
                try:
                    conn.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # ended meanwhile

    def measure(self, kind, rounds, count):
        """Return the footprint of the first node after each round."""
        out = []
        for _ in range(rounds):
            getattr(self, kind)(count)
            self.close_idle()
            time.sleep(SETTLE_S)
            for n in self.d.nodes:
                if n.popen.poll() is not None:
                    raise AssertionError("a node ended: %s" % n.log)
            out.append(Footprint(self.d, self.d.nodes[0]))
        return out


KINDS = ("calls", "once_calls", "refused", "connections", "streams", "models", "broken", "vms",
         "objects", "tenants", "services", "reloads", "rollouts", "store_faults", "pages",
         "control_links")
FLEET_KINDS = ("restarts", "new_peers")


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--build", default="build")
    p.add_argument("--rounds", type=int, default=3)
    p.add_argument("--round", type=int, default=1000)
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--fleet", action="store_true")
    p.add_argument("kinds", nargs="*")
    args = p.parse_args()
    for kind in args.kinds or (FLEET_KINDS if args.fleet else KINDS):
        g = Growth(2 if kind in FLEET_KINDS or args.fleet else 1, args.build, args.seed)
        start = time.monotonic()
        try:
            with g.d:
                got = g.measure(kind, args.rounds, args.round)
                g.d.nodes[0].stop()
        except Exception as e:
            print("%s: %r" % (kind, e), flush=True)
            continue
        used = args.round * (args.rounds - 1)
        print("%s: %.1f B each allocated, %.1f B private, %s (%.0f s)" % (
            kind, (got[-1].heap_bytes - got[0].heap_bytes) / used,
            (got[-1].private_kb - got[0].private_kb) * 1024 / used, got,
            time.monotonic() - start), flush=True)


if __name__ == "__main__":
    main()
