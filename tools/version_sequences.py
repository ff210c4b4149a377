#!/usr/bin/env python3
"""Kills all nodes beside random changes of software versions, routes and faults of the store.

Real nodes serve streams at VMs of changing versions. After each kill, callers take their
streams up again: no answer may hold events of another version than the one that began the
stream, and of the streams that were recorded, most must go on.
"""
import argparse
import concurrent.futures
import os
import random
import re
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(HERE), "tests")]
from proc_hosted_versions import EVENTS, TENANTS, ZONES, Versions, count_events  # noqa: E402

NODES = 3
KILLS = 3  # in one sequence
STREAMS = 8  # begun at a time
MOST_VERSIONS = 3  # at a time
RECORDED_S = 1.5  # a stream that began this long before a kill has been recorded
LIFETIME_S = 12  # streams are taken up for so long; nodes know them for longer
SERVICES = ("llm", "llm2")  # a route may move from one to the other


def is_record(req):
    return "/rillknot-streams" in req.target or "/rillknot-quotas" in req.target


def refuse_records(req):
    return 503 if req.method != "GET" and is_record(req) else None


class Stream:
    def __init__(self, ident, last, version):
        self.idents, self.last, self.version = [ident], last, version
        self.began = time.monotonic()
        self.is_unrecorded = False  # when all nodes were killed


class Sequence:
    """One random sequence. problems lists broken promises, log what was done."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.seed, self.problems, self.log = seed, [], []
        self.streams, self.recordable, self.went_on, self.taken_up = [], 0, 0, 0
        self.several_since = None  # when versions began to serve side by side
        self.unrecorded_until = 0  # the store has refused or lost records until then
        self.next_version = 1
        self.listed = []
        self.moves_routes = self.rng.random() < 0.5

    def note(self, what, *details):
        self.log.append("%s %s" % (what, " ".join(str(d) for d in details)))

    # -- changes --

    def come(self, zones=ZONES):
        version = "v%d" % self.next_version
        self.next_version += 1
        self.listed.append(version)
        for zone in zones:
            self.f.add(version, zone)
        if len(self.listed) > 1 and self.several_since is None:
            self.several_since = time.monotonic()
        self.note("come", version)

    def leave(self):
        version = self.listed.pop(self.rng.randrange(len(self.listed)))
        for w in self.workers(version):
            self.f.d.store.drop("servers", w.id)
        self.note("leave", version)

    def come_again(self):
        """Lists VMs of a version that has left; it counts as the same version."""
        gone = sorted({w.version for w in self.f.d.workers if w.service == SERVICES[0]} -
                      set(self.listed))
        if not gone or len(self.listed) >= MOST_VERSIONS:
            return
        version = self.rng.choice(gone)
        self.listed.append(version)
        self.f.add(version, self.rng.choice(ZONES))
        self.several_since = self.several_since or time.monotonic()
        self.note("come again", version)

    def replace_in_place(self):
        """Restarts the VMs of a version at their addresses with new ids and a new version."""
        old = self.listed.pop(self.rng.randrange(len(self.listed)))
        new = "v%d" % self.next_version
        self.next_version += 1
        self.listed.append(new)
        for w in self.workers(old):
            if w.id in self.f.d.store.objects["servers"]:
                self.f.d.store.drop("servers", w.id)
                w.stop_at_once()
                again = self.f.d.add_worker("llm", events=EVENTS, zone=w.zone, slots=64,
                                            version=new, port=w.port)
                again.gap_s = 0.02
        self.several_since = self.several_since or time.monotonic()
        self.note("in place", old, new)

    def move_route(self, wait=True):
        """Routes the streams to the other service, or splits them anew between both."""
        if not self.moves_routes:
            return
        route = self.f.d.route("s", "llm", "streaming", timeoutMs=8000, resumable=True)
        del route["service"]
        weight = self.rng.choice((0, 20, 80, 100))
        route["split"] = [{"service": s, "weight": n}
                          for s, n in zip(SERVICES, (weight, 100 - weight)) if n]
        engine = {"slots": 64, "kvCapacity": 100000, "moves": False}
        self.f.d.configure([route], services=[
            {"name": s, "healthPath": "/healthz", "maxConns": 400, "engine": engine}
            for s in SERVICES], tenants=TENANTS, wait=wait)
        self.unrecorded_until = time.monotonic()
        for stream in self.streams:
            stream.is_unrecorded = True  # it may belong to another service now
        self.note("route", weight)
        if wait:
            self.break_off_again()

    def change_versions(self):
        if len(self.listed) >= MOST_VERSIONS or (len(self.listed) > 1 and self.rng.random() < 0.5):
            self.leave()
        else:
            self.come(self.rng.sample(ZONES, self.rng.choice((1, 3))))
            if self.rng.random() < 0.2:
                self.leave()

    def change_store(self):
        kind = self.rng.choice(("refuses", "slow", "sound"))
        delay_s = self.rng.uniform(0.1, 1.0)

        def slow(req):
            if is_record(req):
                time.sleep(delay_s)
        self.f.d.store.fault = {"refuses": refuse_records, "slow": slow, "sound": None}[kind]
        self.note("store", kind)

    def workers(self, version):
        return [w for w in self.f.workers(version) if w.service == SERVICES[0]]

    def versions_of(self, *idents):
        """Returns the services and versions of the VMs that sent events in these attempts."""
        return {(w.service, w.version) for w in self.f.d.workers for i in idents
                if w.events_sent[i]}

    def begin(self):
        def begin_one(node):
            ident, last = self.f.begin(node)
            versions = self.versions_of(ident)
            assert len(versions) == 1, versions
            return Stream(ident, last, versions.pop())
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            self.streams += pool.map(begin_one, [n % NODES for n in range(STREAMS)])
        self.note("begin", STREAMS)

    def restart_one(self):
        node = self.rng.randrange(NODES)
        self.f.d.nodes[node].kill()
        self.f.d.restart_node(node)
        self.f.settle()
        self.note("restart", node)

    def break_off_again(self):
        """Takes streams up and leaves after some events, so that chains of resumes arise."""
        for n, stream in enumerate(self.streams[-STREAMS:]):
            ident = "%016x" % next(self.f.d.ids)
            s = self.f.d.connect(n % NODES)
            s.sendall(b"POST /s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
                      b"Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: 6000\r\n"
                      b"Last-Event-Id: %d\r\nResumes: %s\r\nContent-Length: 0\r\n\r\n" % (
                          ident.encode(), stream.last, stream.idents[0].encode()))
            got = b""
            while got.count(b"\n\n") < 3 and not got.startswith(b"HTTP/1.1 5"):
                part = s.recv(4096)
                if not part:
                    break
                got += part
            s.close()
            stream.idents.append(ident)
            whole = [int(i) for i in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", got)]
            stream.last = max([stream.last] + [i for i in whole if i < EVENTS])
            if self.versions_of(*stream.idents) != {stream.version}:
                self.problems.append("joined of %s" % self.versions_of(*stream.idents))
        self.note("break off again")

    def pause(self):
        time.sleep(self.rng.choice((0.0, 0.3, RECORDED_S)))

    # -- kills --

    def kill_all(self):
        d, copy = self.f.d, None
        if self.rng.random() < 0.2:
            copy = d.store.copy()
            self.pause()
        if d.store.fault:
            self.unrecorded_until = time.monotonic()
        self.killed = time.monotonic()
        self.f.kill_all()
        if self.rng.random() < 0.3:
            self.rng.choice((self.change_versions, self.come_again, self.replace_in_place))()
        if self.rng.random() < 0.15:
            self.move_route(wait=False)
        if copy:
            d.store.restore(copy)
            d.store.write_platform_state_again()
            self.unrecorded_until = time.monotonic()
        if self.rng.random() < 0.15:
            d.store.forget_history()
        if self.rng.random() < 0.7:
            d.store.fault = None
        for n in range(NODES):
            d.restart_node(n)
        if self.rng.random() < 0.3:
            time.sleep(self.rng.uniform(0, 0.5))
            self.f.kill_all()
            for n in range(NODES):
                d.restart_node(n)
            self.note("second kill")
        if self.rng.random() < 0.3:
            self.f.settle()
            self.restart_one()
        self.f.settle()
        self.note("kill", "restored" if copy else "", "fault" if d.store.fault else "")

    def note_unrecorded(self, stream):
        stream.is_unrecorded |= (
            self.several_since is None or stream.began <= self.unrecorded_until or
            max(stream.began, self.several_since) > self.killed - RECORDED_S)

    def can_go_on(self, stream):
        return (not stream.is_unrecorded and not self.f.d.store.fault and
                stream.version in [(SERVICES[0], v) for v in self.listed])

    def take_up_one(self, n, stream, named):
        expected = self.can_go_on(stream) and named == stream.idents[0]
        a = self.f.take_up(named, stream.last, n % NODES)
        stream.idents.append(a.ident)
        self.taken_up += 1
        if a.status == 200:
            if not a.whole or count_events(a.body) != list(range(stream.last + 1, EVENTS + 1)):
                self.problems.append("not whole: %s" % a.body)
            if self.versions_of(*stream.idents) != {stream.version}:
                self.problems.append("joined of %s" % self.versions_of(*stream.idents))
        elif a.status != 503 or self.f.d.runs(a.ident):
            self.problems.append("status %s, runs %d" % (a.status, self.f.d.runs(a.ident)))
        if expected and a.status != 200:
            self.note("rejected", stream.idents[0], "of", stream.version, a.body)
        self.recordable += expected
        self.went_on += expected and a.status == 200

    def take_up_all(self):
        now = time.monotonic()
        self.streams = [s for s in self.streams if now - s.began < LIFETIME_S]
        for stream in self.streams:
            self.note_unrecorded(stream)
        # A caller may name a later attempt than the one that it has to.
        named = [self.rng.choice((s.idents[0],) * 4 + (s.idents[-1],)) for s in self.streams]
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            list(pool.map(self.take_up_one, range(len(self.streams)), self.streams, named))
        self.note("taken up", "%d of %d recorded" % (self.went_on, self.recordable))

    def run(self):
        with Versions(nodes=NODES, versions=()) as self.f:
            self.come()
            version = self.rng.choice(("v1", "other"))
            for zone in ZONES:
                other = self.f.d.add_worker(SERVICES[1], events=EVENTS, zone=zone, slots=64,
                                            version=version)
                other.gap_s = 0.02
            if self.rng.random() < 0.5:
                self.come()
            time.sleep(0.5)
            steps = (self.begin, self.begin, self.change_versions, self.change_versions,
                     self.change_store, self.restart_one, self.come_again,
                     self.replace_in_place, self.move_route, self.break_off_again)
            for _ in range(KILLS):
                self.begin()
                if self.rng.random() < 0.5:
                    self.move_route()
                for _ in range(self.rng.randrange(1, 5)):
                    self.rng.choice(steps)()
                    self.pause()
                self.kill_all()
                self.take_up_all()
        return self


def run_seed(seed):
    return Sequence(seed).run()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at a time")
    args = parser.parse_args()
    failed = recordable = went_on = taken_up = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for run in pool.map(run_seed, range(args.first, args.first + args.seeds)):
            failed += bool(run.problems)
            recordable, went_on = recordable + run.recordable, went_on + run.went_on
            taken_up += run.taken_up
            print("seed %d: %d taken up, %d of %d recorded ones went on%s" % (
                run.seed, run.taken_up, run.went_on, run.recordable,
                "".join("\n  " + line for line in run.problems + run.log)
                if run.problems or run.went_on * 2 < run.recordable else ""), flush=True)
    print("%d of %d seeds failed; of %d streams taken up, %d were recorded, %d of them went on" % (
        failed, args.seeds, taken_up, recordable, went_on))
    return 1 if failed or went_on * 2 < recordable else 0


if __name__ == "__main__":
    sys.exit(main())
