#!/usr/bin/env python3
"""Kills all nodes beside random changes of software versions and faults of the store.

Real nodes serve streams at VMs of changing versions. After each kill, callers take their
streams up again: no answer may hold events of another version than the one that began the
stream, and of the streams that were recorded, most must go on.
"""
import argparse
import concurrent.futures
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(HERE), "tests")]
from proc_hosted_versions import EVENTS, ZONES, Versions, count_events  # noqa: E402

NODES = 3
KILLS = 3  # in one sequence
STREAMS = 8  # begun at a time
MOST_VERSIONS = 3  # at a time
RECORDED_S = 1.5  # a stream that began this long before a kill has been recorded
LIFETIME_S = 12  # streams are taken up for so long; nodes know them for longer


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
        self.f.drop(version)
        self.note("leave", version)

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

    def begin(self):
        def begin_one(node):
            ident, last = self.f.begin(node)
            versions = self.f.versions_of(ident)
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
            self.change_versions()
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
        self.f.settle()
        self.note("kill", "restored" if copy else "", "fault" if d.store.fault else "")

    def note_unrecorded(self, stream):
        stream.is_unrecorded |= (
            self.several_since is None or stream.began <= self.unrecorded_until or
            max(stream.began, self.several_since) > self.killed - RECORDED_S)

    def can_go_on(self, stream):
        return (not stream.is_unrecorded and not self.f.d.store.fault and
                stream.version in self.listed)

    def take_up_one(self, n, stream):
        expected = self.can_go_on(stream)
        a = self.f.take_up(stream.idents[0], stream.last, n % NODES)
        stream.idents.append(a.ident)
        self.taken_up += 1
        if a.status == 200:
            if not a.whole or count_events(a.body) != list(range(stream.last + 1, EVENTS + 1)):
                self.problems.append("not whole: %s" % a.body)
            if self.f.versions_of(*stream.idents) != {stream.version}:
                self.problems.append("joined of %s" % self.f.versions_of(*stream.idents))
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
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            list(pool.map(self.take_up_one, range(len(self.streams)), self.streams))
        self.note("taken up", "%d of %d recorded" % (self.went_on, self.recordable))

    def run(self):
        with Versions(nodes=NODES, versions=()) as self.f:
            self.come()
            if self.rng.random() < 0.5:
                self.come()
            time.sleep(0.5)
            steps = (self.begin, self.begin, self.change_versions, self.change_versions,
                     self.change_store, self.restart_one)
            for _ in range(KILLS):
                self.begin()
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
