#!/usr/bin/env python3
"""Records the users' workloads on a real cluster and writes the traces in tests/traces.

A trace holds the settings, the VMs, the recorded calls, at most one kind of failure, and
the expected outcome. This program is run by hand; the traces are committed.
"""
import json
import os
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import ROOT, Cluster, strip_comments  # noqa: E402

SAFETY_EXPECTATIONS = {"ran_twice": {"max": 0}, "false_not_run": {"max": 0},
                       "past_deadline": {"max": 0}, "new_work_at_leaving": {"max": 0},
                       "most_attempts": {"max": 8}}


def record(settings, domain, engine_service, plain_service, pattern, model, n, rate):
    """Run n calls of a load pattern, rate per second, and return them as recorded."""
    out = os.path.join(tempfile.mkdtemp(), "calls")
    with Cluster(domains=[domain], settings=settings, engines=4, services=2,
                 engine_service=engine_service, plain_service=plain_service, entries=1) as c:
        subprocess.run([c.bin("rillknot-load"), "-p", pattern, "-n", str(n), "-r", str(rate),
                        "-m", model, "-t", "127.0.0.1:%d" % c.entries[0].port, "-o", out],
                       check=False, stdout=subprocess.DEVNULL)
    with open(out) as f:
        return [json.loads(x) for x in f]


def with_keys(calls):
    """Give each call of a plain service an idempotency key."""
    for i, c in enumerate(calls):
        if "/" in c["service"]:
            c["key"] = "key-%d" % i
    return calls


def write_trace(name, settings, vms, calls, events, expect):
    """Write a trace with all its rows in the order of their times."""
    with open(os.path.join(ROOT, settings)) as f:
        tree = json.loads(strip_comments(f.read()))
    rows = sorted(vms + calls + events, key=lambda r: r["at_ms"])
    with open(os.path.join(ROOT, "tests", "traces", name + ".jsonl"), "w") as f:
        for row in [{"settings": tree}] + rows + [{"expect": {**SAFETY_EXPECTATIONS, **expect}}]:
            f.write(json.dumps(row, separators=(",", ":")) + "\n")


def vm_rows(service, plain_service, engines, services):
    return ([{"at_ms": 0, "vm": "m%d" % i, "service": service, "vm_class": "standard",
              "state": "live"} for i in range(engines)] +
            [{"at_ms": 0, "vm": "s%d" % i, "service": plain_service, "vm_class": "standard",
              "state": "live"} for i in range(services)])


def write_user_traces(user, settings, calls, service, plain_service):
    """Write all traces of one user from its recorded calls."""
    n = len(calls)
    keyed = sum("key" in c for c in calls)
    vms = vm_rows(service, plain_service, 4, 2)
    middle_ms = calls[n // 2]["at_ms"]

    def trace(name, events, expect, extra=(), rows=None):
        write_trace("%s-%s" % (user, name), settings, rows or vms, calls + list(extra), events,
                    expect)
    all_complete = {"whole": {"min": n}, "not_run": {"max": 0}, "may_have_run": {"max": 0}}
    trace("plain", [], {**all_complete, "on_target": {"min": n}, "recomputed_tokens": {"max": 0}})
    # One VM of each kind is reclaimed with 5 s of notice. Then the VM list, which lags,
    # shows the engine as live once more.
    trace("reclaim", [{"at_ms": middle_ms, "reclaim": "m0", "in_ms": 5000},
                      {"at_ms": middle_ms, "reclaim": "s0", "in_ms": 5000},
                      {"at_ms": middle_ms + 500, "vm": "m0", "service": service,
                       "vm_class": "standard", "state": "live"}], all_complete)
    # Half of the engines are reclaimed at once, with 5 s of notice.
    trace("wave", [{"at_ms": middle_ms, "reclaim": "m%d" % i, "in_ms": 5000} for i in (0, 1)],
          all_complete)
    # One VM of each kind crashes without notice. Model calls resume; a confirmation in
    # flight at the crashed service may have run, so it is not sent again.
    trace("crash", [{"at_ms": middle_ms, "kill": "m1"}, {"at_ms": middle_ms, "kill": "s1"}],
          {"whole": {"min": n - 4}, "may_have_run": {"max": 4}})
    # Engines cut answers off, do not respond, or refuse with 503.
    trace("faults", [{"at_ms": middle_ms + i * 300, "fault": "m%d" % (i % 4), "mode": mode}
                     for i, mode in enumerate(["cut", "silent", "refuse"] * 3)],
          {"whole": {"min": n - 1}})
    # Every call with a key is sent again 3 s later.
    repeated = [{**c, "at_ms": c["at_ms"] + 3000, "call": n + i}
             for i, c in enumerate(x for x in calls if "key" in x)]
    trace("repeated-keys", [], {"whole": {"min": n}, "may_have_run": {"min": keyed}}, repeated)
    # Half of the VMs get each call three times. A call that is refused must not have run,
    # and a third of the calls must still be answered completely.
    trace("overload", [], {"whole": {"min": n // 3}, "may_have_run": {"max": 0}},
          [{**c, "at_ms": c["at_ms"] + d, "call": n * 2 + i, "key": "again-%d-%d" % (d, i)}
           for d in (37, 71) for i, c in enumerate(calls)],
          vm_rows(service, plain_service, 2, 1))


def main():
    os.makedirs(os.path.join(ROOT, "tests", "traces"), exist_ok=True)
    write_user_traces("hospital", "etc/hospital.json", with_keys(record(
        "etc/hospital.json", "klein-hall", "booking", "slots", "hospital", "booking", 240,
        8)), "booking", "slots")
    write_user_traces("taxi", "etc/taxi.json", with_keys(record(
        "etc/taxi.json", "kadikoy", "dispatch", "rides", "taxi", "dispatch", 240, 10)),
        "dispatch", "rides")


if __name__ == "__main__":
    main()
