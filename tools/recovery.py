#!/usr/bin/env python3
"""Kills all nodes of a deployment amid other trouble, and checks that calls are served again in
time after the nodes are back.

What goes on beside the kills is drawn: the store fails, answers late, loses its history or comes
back from an older copy; other writers leave entries; settings change; VMs are replaced, with or
without an entry that stays behind; an organisation asks for more than its quota; nodes are killed
again while they start, or don't come back. A seed repeats the order of the events.

    tools/recovery.py [--build DIR] [--seeds N] [--first SEED] [--jobs N]
"""
import collections
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import odd_objects  # noqa: E402
from hosted import Hosted  # noqa: E402
from seeds import make_parser, play_each  # noqa: E402

NODES, ENGINES, PLAIN_VMS = 6, 9, 3
ZONES = ("klein-hall", "eros-hall", "olympia-hall")
BOUNDS = {"graceS": 8, "leaseMs": 3000, "reportWindowS": 5, "usageLateS": 10, "quotaWindowS": 8,
          "quotaSlack": 72000, "quotaOverrun": 0.1, "budgetExtra": 52}
CALLERS, PAUSE_S = 16, 0.3  # threads, and the longest pause between two calls of one
BEFORE_S = 5.0  # of load before the nodes are killed
RECOVER_S = 12.0  # from the last start of a node until calls have to be served
JUDGED_S = 6.0  # calls that begin in this time after that count
SERVED_BEFORE, SERVED_AFTER = 0.25, 0.25  # shares of the calls
STORE_BACK_S = 6.0  # the store answers again at the latest so long after the nodes are back
KINDS = (("summary", "llm", 17), ("notice", "llm", 8), ("chat", "llm", 30), ("confirm", "plain", 0),
         ("release", "plain", 0))
ODD_NAMES = ("a&b", "i+b", "z#b", "a%b", "i b", "z" * 300, "i-\u00e9", "a/b")


class Recovery:
    """One run: a deployment, its callers, the kills and what goes on beside them.

    problems lists what was found wrong; log holds the events with their times.
    """

    def __init__(self, seed, build=None):
        self.rng = random.Random(seed)
        self.seed = seed
        self.d = Hosted(nodes=NODES, zones=ZONES, build=build, bounds=BOUNDS,
                        fixed_addresses=self.rng.random() < 0.5)
        self.d.store.close()
        self.d.store = odd_objects.OddStore()
        self.d.store.page = self.rng.choice([1, 5, 500])
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.calls = []  # (start, key, status, whole)
        self.problems, self.log = [], []
        self.gone = set()  # indices of nodes that don't come back
        self.hot = 1.0  # how often the first organisation calls, as a multiple
        self.began = time.monotonic()

    def note(self, what):
        self.log.append("%6.2f %s" % (time.monotonic() - self.began, what))

    # ---- the deployment and its callers ----

    def configure(self, wait=False):
        routes = [self.d.route(name, service, "streaming" if events else
                               "non_idempotent" if name == "confirm" else "idempotent",
                               timeoutMs=8000 if events else 600, resumable=bool(events))
                  for name, service, events in KINDS]
        tenants = [{"name": "org-%d" % i, "apiKeys": ["key-%d" % i], "unit": "token_stream",
                    "plainTokens": 200, "ratePerS": 20000, "burst": 20000} for i in range(1, 6)]
        self.d.configure(routes, services=("llm", "plain"), tenants=tenants, wait=wait)

    def add_vm(self, service):
        events = 17 if service == "llm" else 0
        w = self.d.add_worker(service, events=events, zone=self.rng.choice(ZONES),
                              slots=128 if events else 6)
        w.gap_s, w.work_s = 0.01, 0.015
        return w

    def start(self):
        self.d.start()
        for service, count in (("llm", ENGINES), ("plain", PLAIN_VMS)):
            for _ in range(count):
                self.add_vm(service)
        self.configure(wait=True)
        self.d.wait_ready()

    def caller(self, number):
        rng = random.Random(self.seed * 1000 + number)
        while not self.stop.is_set():
            name, _, events = rng.choice(KINDS)
            i = rng.randrange(NODES)
            if i in self.gone:
                continue
            start = time.monotonic()
            key = "key-%d" % (1 if rng.random() * self.hot > 0.8 else rng.randrange(1, 6))
            try:
                headers = [("Rillknot-Token-Usage", "1000,50")] if events else []
                a = self.d.call("/%s/x" % name, node=i, key=key, headers=headers,
                                deadline=4000 if events else 600, timeout=6)
                status, whole = a.status, a.whole
            except OSError:
                status, whole = 0, False
            with self.lock:
                self.calls.append((start, key, status, whole))
            time.sleep(rng.random() * PAUSE_S / self.hot)

    # ---- what goes on beside the kills ----

    def fail_store(self):
        """The store fails from now on, for all nodes or for some of their calls."""
        rng = random.Random(self.rng.random())
        fault, share = rng.choice(["silent", "reset", "lost", 429, 503, 500]), rng.choice([0.4, 1.0])
        until = self.back_by + rng.uniform(0, STORE_BACK_S)
        self.note("store: %s to %.1f of the calls" % (fault, share))

        def answer(req):
            if time.monotonic() > until:
                return None
            writes = fault != "lost" or req.method != "GET"
            return fault if writes and rng.random() < share else None
        self.d.store.fault = answer

    def leave_entries(self):
        for name in self.rng.sample(ODD_NAMES, 3):
            value = odd_objects.nested(self.rng) if self.rng.random() < 0.5 else \
                odd_objects.RawJson("[" * 520000 + "]" * 520000)
            kind = self.rng.choice(["servers", "servers", "config", "rillknot-nodes",
                                    "rillknot-quotas", "rillknot-leases"])
            self.d.store.put(kind, name, value)
            self.note("entry %s/%s" % (kind, name[:9]))

    def change_settings(self):
        for _ in range(self.rng.choice([1, 12])):
            self.configure()
            time.sleep(0.05)
        self.note("settings %d" % self.d.version)

    def replace_vms(self):
        """Some VMs end, and others take their place; entries of the former may stay behind."""
        old = self.rng.sample(self.d.workers, self.rng.choice([3, len(self.d.workers)]))
        stay = self.rng.random() < 0.5
        for w in old:
            self.add_vm(w.service)
            w.stop_at_once()
            if not stay:
                self.d.store.drop("servers", w.id)
        self.d.workers = [w for w in self.d.workers if w not in old]
        self.note("%d vms replaced, entries stay: %s" % (len(old), stay))

    def restore_store(self):
        copy = self.copy
        self.note("the store comes back from an older copy")
        self.d.store.restore(copy, self.rng.choice([0.0, 1.0]),
                             self.d.store.write_platform_state_again)

    def forget_history(self):
        self.d.store.forget_history()
        self.note("the store forgets its history")

    def press_quota(self):
        self.hot = 6.0
        self.note("an organisation asks for much more")

    # ---- the kills ----

    def kill_all(self):
        for n in self.d.nodes:
            if n.popen.poll() is None:
                n.kill()
        self.note("all nodes are killed")

    def start_all(self):
        order = [i for i in range(NODES) if i not in self.gone]
        self.rng.shuffle(order)
        gap = self.rng.choice([0.0, 0.0, 0.3])
        threads = [threading.Thread(target=self.d.restart_node, args=(i,)) for i in order]
        for t in threads:
            t.start()
            time.sleep(gap)
        for t in threads:
            t.join()
        self.note("%d nodes are back" % len(order))

    def run(self):
        rng = self.rng
        with self.d:
            self.start()
            self.copy = self.d.store.copy()
            callers = [threading.Thread(target=self.caller, args=(n,), daemon=True)
                       for n in range(CALLERS)]
            for t in callers:
                t.start()
            kills = rng.choice([1, 1, 2, 3])
            gaps = [rng.choice([0.3, 1.0, 3.0]) for _ in range(kills)]
            self.back_by = time.monotonic() + BEFORE_S + sum(gaps)
            beside = [f for f in (self.fail_store, self.leave_entries, self.change_settings,
                                  self.replace_vms, self.restore_store, self.forget_history,
                                  self.press_quota) if rng.random() < 0.35]
            before = [f for f in beside if rng.random() < 0.5]
            killed_at = time.monotonic() + BEFORE_S
            while time.monotonic() < killed_at - 1:
                time.sleep(0.1)
            for f in before:
                f()
            killed_at = time.monotonic()
            if rng.random() < 0.3:
                self.gone = set(rng.sample(range(NODES), rng.choice([1, 2, 4])))
            for gap in gaps:
                self.kill_all()
                for f in beside:
                    if f not in before:
                        f()
                beside = []
                time.sleep(gap)
                self.start_all()
            back_at = time.monotonic()
            time.sleep(RECOVER_S + JUDGED_S)
            self.stop.set()
            for t in callers:
                t.join(10)
            self.judge(killed_at, back_at)
        return self

    def share(self, since, until):
        """Return the share of calls in a time that were served, and the count by status."""
        # Calls beyond a quota are not owed.
        seen = [(status, whole) for start, key, status, whole in self.calls
                if since <= start < until and not (self.hot > 1 and key == "key-1")]
        served = sum(status == 200 and whole for status, whole in seen)
        return served / max(1, len(seen)), collections.Counter(s for s, _ in seen)

    def judge(self, killed_at, back_at):
        before, _ = self.share(self.began, killed_at)
        after, statuses = self.share(back_at + RECOVER_S, back_at + RECOVER_S + JUDGED_S)
        self.result = "%.2f served before, %.2f after %s" % (before, after, dict(statuses))
        for s in range(0, int(RECOVER_S)):
            share, statuses = self.share(back_at + s, back_at + s + 1)
            self.log.append("  %2d s after: %.2f %s" % (s, share, dict(statuses)))
        if before >= SERVED_BEFORE and after < SERVED_AFTER:
            self.problems.append("not served again in time: " + self.result)


def report(run):
    return "\n".join(run.problems + run.log)


def run_seed(seed, build=None):
    return Recovery(seed, build).run()


def main():
    args = make_parser("build", seeds=20, jobs=4).parse_args()
    if args.one is None:
        return play_each(args, os.path.abspath(__file__))
    run = run_seed(args.one, args.build)
    print("seed %d: %s" % (args.one, run.result))
    print(report(run))
    return 1 if run.problems else 0


if __name__ == "__main__":
    sys.exit(main())
