#!/usr/bin/env python3
"""Records the users' workloads from real load on a real cluster and writes the
traces under tests/traces: the recorded calls, the settings, the vms, and in each
one failure with its stated outcome. Run by hand; the traces are committed."""
import json
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import ROOT, Cluster, strip_comments  # noqa: E402

SAFE = {"ran_twice": {"max": 0}, "false_not_run": {"max": 0}, "past_deadline": {"max": 0},
        "new_work_at_leaving": {"max": 0}, "most_attempts": {"max": 8}}


def record(settings, domain, engine_service, plain, pattern, model, n, rate):
    out = os.path.join(tempfile.mkdtemp(), "calls")
    with Cluster(domains=[domain], settings=settings, engines=4, services=2,
                 engine_service=engine_service, plain_service=plain, entries=1) as c:
        subprocess.run([c.bin("rillknot-load"), "-p", pattern, "-n", str(n), "-r", str(rate),
                        "-m", model, "-t", "127.0.0.1:%d" % c.entries[0].port, "-o", out],
                       check=False, stdout=subprocess.DEVNULL)
    with open(out) as f:
        return [json.loads(x) for x in f]


def with_keys(calls):
    for i, c in enumerate(calls):
        if "/" in c["service"]:
            c["key"] = "key-%d" % i
    return calls


def write(name, settings, vms, calls, events, expect):
    with open(os.path.join(ROOT, settings)) as f:
        tree = json.loads(strip_comments(f.read()))
    rows = sorted(vms + calls + events, key=lambda r: r["at_ms"])
    with open(os.path.join(ROOT, "tests", "traces", name + ".jsonl"), "w") as f:
        for row in [{"settings": tree}] + rows + [{"expect": {**SAFE, **expect}}]:
            f.write(json.dumps(row, separators=(",", ":")) + "\n")


def vm_rows(service, plain, engines, services):
    return ([{"at_ms": 0, "vm": "m%d" % i, "service": service, "vm_class": "standard",
              "state": "live"} for i in range(engines)] +
            [{"at_ms": 0, "vm": "s%d" % i, "service": plain, "vm_class": "standard",
              "state": "live"} for i in range(services)])


def make(user, settings, calls, service, plain):
    n = len(calls)
    keyed = sum("key" in c for c in calls)
    vms = vm_rows(service, plain, 4, 2)
    middle = calls[n // 2]["at_ms"]

    def trace(name, events, expect, extra=(), rows=None):
        write("%s-%s" % (user, name), settings, rows or vms, calls + list(extra), events,
              expect)
    all_whole = {"whole": {"min": n}, "not_run": {"max": 0}, "may_have_run": {"max": 0}}
    trace("plain", [], {**all_whole, "on_target": {"min": n}, "recomputed_tokens": {"max": 0}})
    # A vm of each kind is reclaimed on 5 s of notice; the lagging list then says
    # "live" once more.
    trace("reclaim", [{"at_ms": middle, "reclaim": "m0", "in_ms": 5000},
                      {"at_ms": middle, "reclaim": "s0", "in_ms": 5000},
                      {"at_ms": middle + 500, "vm": "m0", "service": service,
                       "vm_class": "standard", "state": "live"}], all_whole)
    # Half of the engines at once, on 5 s.
    trace("wave", [{"at_ms": middle, "reclaim": "m%d" % i, "in_ms": 5000} for i in (0, 1)],
          all_whole)
    # A vm dies without a word: model calls resume; a confirmation in hand there
    # may have run and is not sent again.
    trace("crash", [{"at_ms": middle, "kill": "m1"}, {"at_ms": middle, "kill": "s1"}],
          {"whole": {"min": n - 4}, "may_have_run": {"max": 4}})
    # Answers broken off, silent, refused with 503.
    trace("faults", [{"at_ms": middle + i * 300, "fault": "m%d" % (i % 4), "mode": mode}
                     for i, mode in enumerate(["cut", "silent", "refuse"] * 3)],
          {"whole": {"min": n - 1}})
    # Every key comes twice.
    again = [{**c, "at_ms": c["at_ms"] + 3000, "call": n + i}
             for i, c in enumerate(x for x in calls if "key" in x)]
    trace("repeated-keys", [], {"whole": {"min": n}, "may_have_run": {"min": keyed}}, again)
    # Half of the capacity for what is asked: refusals are true, urgent work holds.
    trace("overload", [], {"whole": {"min": n // 3}, "may_have_run": {"max": 0}},
          [{**c, "at_ms": c["at_ms"] + d, "call": n * 2 + i, "key": "again-%d-%d" % (d, i)}
           for d in (37, 71) for i, c in enumerate(calls)],
          vm_rows(service, plain, 2, 1))


def main():
    os.makedirs(os.path.join(ROOT, "tests", "traces"), exist_ok=True)
    make("hospital", "etc/hospital.json", with_keys(record(
        "etc/hospital.json", "klein-hall", "booking", "slots", "hospital", "booking", 240,
        8)), "booking", "slots")
    make("taxi", "etc/taxi.json", with_keys(record(
        "etc/taxi.json", "kadikoy", "dispatch", "rides", "taxi", "dispatch", 240, 10)),
        "dispatch", "rides")


if __name__ == "__main__":
    main()
