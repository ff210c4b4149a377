#!/usr/bin/env python3
"""Runs all tests: cmocka unit tests, RapidCheck properties with a fixed seed, and
process tests (tests/proc_*.py).

With --prove it leaves out the unit tests and also prints the results by promise: the
numbered guarantees that rillknot gives to its users. The last line is
"N passed, N failed". The exit code is 1 if a test failed that KNOWN-RED.txt does not
list."""
import argparse
import concurrent.futures
import glob
import importlib
import os
import re
import subprocess
import sys
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path[:0] = [HERE, os.path.join(ROOT, "tools")]
# Debian's Python packages, also when another Python comes first in PATH.
sys.path.append("/usr/lib/python3/dist-packages")

PROPERTY_SEED = "20261202"
PARALLEL_TESTS = 4  # each process test starts up to a dozen processes
TEST_TIMEOUT_S = 400

# The promises that each test file covers, in the order in which --prove prints them.
PROMISES = {
    "proc_reclaim": "1, 5  accepted work survives a reclaim; a leaving VM gets no new work",
    "proc_answers": "2     complete answers to the right caller",
    "proc_refusals": "3     a refused call reported as not run did not run",
    "proc_once": "4     at most once",
    "prop_claims": "4     at most once, random event orders",
    "proc_stop": "6     a planned stop cuts off no call",
    "proc_settings": "7     settings take effect everywhere and never revert",
    "proc_keeper": "8     leases and orders to engines",
    "proc_overload": "9     overload",
    "proc_input": "10    bad input",
    "prop_fuzz": "10    bad input, random bytes",
    "prop_sizing": "1, 8  number of VMs held, for any listed VMs and missing capacity",
    "prop_core": "2-9   VM rows, streams, leases, shares in random order",
    "proc_traces": "all   recorded traces with their expected outcomes",
    "proc_hosted_calls": "hosted  routed calls: bytes, at most once, streams, timing",
    "proc_hosted_framing": "hosted  answers that end early, under each framing",
    "proc_hosted_lifetimes": "hosted  nodes outlive random orders of what ends calls and VMs",
    "proc_hosted_odd_objects": "hosted  nodes outlive odd values in the store's objects",
    "proc_hosted_foreign_entries": "hosted  another writer's entries hide no others",
    "proc_hosted_odd_frames": "hosted  no number of a peer's message stops the fleet",
    "proc_hosted_answer_heads": "hosted  answers that are no HTTP, or are reset, are failures",
    "proc_hosted_recovery": "hosted  served again in time after kills of all nodes",
    "proc_hosted_odd_answers": "hosted  odd answers of VMs and odd requests of peers",
    "proc_hosted_surroundings": "hosted  no limit or output of a process ends a node later",
    "proc_listen": "all   listening addresses that are taken or shared",
    "proc_hosted_late_calls": "hosted  calls that come late in a planned stop are answered",
    "proc_hosted_stops": "hosted  a planned stop ends in time whatever a node waits for",
    "proc_hosted_start": "hosted  a node starts whatever is odd in its figures, or says why",
    "proc_hosted_idle_cpu": "hosted  idle nodes use no processor, however connections are left",
    "proc_hosted_ends": "hosted  a node that ends by itself says why",
    "proc_hosted_fleet_ends": "hosted  no node of a fleet ends by itself in series of faults",
    "proc_hosted_endless": "hosted  VMs that send bytes without end",
    "proc_hosted_input": "hosted  bad input",
    "proc_hosted_descriptors": "hosted  a node with few descriptors serves on",
    "proc_hosted_memory": "hosted  a node holds no more than its machine has, whatever callers do",
    "proc_hosted_growth": "hosted  a node keeps nothing of identifiers that never come again",
    "proc_hosted_entries": "hosted  restarted VMs, entries written by another program",
    "proc_crashes": "9     a call that crashes its VMs is sent to three at most",
    "proc_hosted_quarantine": "hosted  a request that crashes its VMs is stopped",
    "proc_hosted_segments": "hosted  a prompt segment that crashes its VMs is stopped",
    "proc_hosted_signals": "hosted  signals that VMs send in their answers",
    "proc_hosted_limits": "hosted  a VM gets no more requests than its advertised limit",
    "proc_hosted_leaving": "hosted  a VM that signals its leaving gets no more calls",
    "proc_hosted_cooldown": "hosted  a cooldown requested by a VM is kept",
    "proc_hosted_moves": "hosted  streams move unbroken from leaving engines",
    "proc_hosted_version_gaps": "hosted  a node with an old list does not guess versions",
    "proc_hosted_version_lag": "hosted  a node that was out of step asks before it decides",
    "proc_hosted_version_words": "hosted  a peer that doesn't know proves no version",
    "proc_hosted_version_cuts": "hosted  a silent node may serve by an old list",
    "proc_hosted_versions": "hosted  streams go on at the version that began them",
    "proc_hosted_version_sequences": "hosted  kills beside changes of versions, by seed",
    "proc_hosted_rollouts": "hosted  rollouts: good versions committed, bad rolled back",
    "prop_rollout": "hosted  rollouts under random reports and timing",
    "prop_resumes": "hosted  streams of two versions at nodes that are out of step",
    "prop_restores": "hosted  one count for a window over restores of the store",
    "prop_quota_classes": "hosted  shares of priority classes for any demand",
    "proc_hosted_fleet": "hosted  settings, VMs, quotas, leader duties, stops of several nodes",
    "proc_hosted_classes": "hosted  plain calls of an organisation above its quota are served",
    "proc_hosted_speeds": "hosted  an engine that stays slow gets fewer calls",
    "proc_hosted_engines": "hosted  engine speeds: learnt, sent to peers, persisted",
    "proc_hosted_one_node": "hosted  a node that gets all new connections serves them",
    "proc_hosted_clocks": "hosted  machines that have just booted, or whose date is not set",
    "proc_hosted_partition": "hosted  nodes without links to the VMs serve through their peers",
    "proc_hosted_brittle": "hosted  VMs that fall over when they have to refuse requests",
    "proc_hosted_restore": "hosted  a store that comes back from an older copy",
    "proc_hosted_bridges": "hosted  a large fleet: bridges, digests, updates, quotas, usage",
    "proc_load_report": "hosted  the report from the logs: who waited, who was refused",
    "proc_soak": "hosted  the promises under random faults",
}


def read_known_red():
    """Returns the entries of KNOWN-RED.txt by test name: known failures that do not
    fail the run."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return {}
    with open(path) as f:
        lines = [x.strip() for x in f if x.strip() and not x.startswith("#")]
    return {x.split(",")[0].strip(): x for x in lines}


def run_binary(path, max_success):
    """Runs a test program. Returns its exit code and output."""
    env = dict(os.environ, RC_PARAMS="seed=%s max_success=%d" % (PROPERTY_SEED, max_success),
               CMOCKA_MESSAGE_OUTPUT="STDOUT")
    r = subprocess.run([path], env=env, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                       timeout=TEST_TIMEOUT_S, cwd=ROOT, check=False)
    return r.returncode, r.stdout.decode("utf-8", "replace")


def binary_results(path, max_success):
    """Runs a test program and returns [(name, passed, output)] of its tests. A program
    that reports no test, or fails though each test passed, counts as one test."""
    name = os.path.basename(path)
    try:
        code, out = run_binary(path, max_success)
    except subprocess.TimeoutExpired:
        return [(name, False, "timed out")]
    tests = re.findall(r"^\[ +(OK|FAILED) +\] (\w+)$", out, re.M)
    passed_by_test = {}
    for result, test in tests:
        passed_by_test[test] = passed_by_test.get(test, True) and result == "OK"
    results = [("%s.%s" % (name, t), ok, "" if ok else out) for t, ok in passed_by_test.items()]
    if not results or (code != 0 and all(ok for _, ok, _ in results)):
        results.append((name, code == 0, out))
    return results


def process_tests(pattern):
    """Returns (module, test) of each process test whose MODULE.TEST contains
    pattern."""
    tests = []
    for path in sorted(glob.glob(os.path.join(HERE, "proc_*.py"))):
        module_name = os.path.basename(path)[:-3]
        module = importlib.import_module(module_name)
        for name in dir(module):
            if name.startswith("test_") and pattern in "%s.%s" % (module_name, name):
                tests.append((module_name, name))
    return tests


def run_process_test(module_name, name, build):
    """Runs one test in a process of its own, so that it shares no state with others.
    Returns (passed, output, seconds)."""
    start = time.time()
    try:
        r = subprocess.run([sys.executable, os.path.abspath(__file__), "--one",
                            "%s.%s" % (module_name, name), "--build", build],
                           stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                           timeout=TEST_TIMEOUT_S, cwd=ROOT, check=False)
        return r.returncode == 0, r.stdout.decode("utf-8", "replace"), time.time() - start
    except subprocess.TimeoutExpired as e:
        return False, "timed out\n" + (e.stdout or b"").decode(), time.time() - start


def run_one(spec, build):
    """Runs one process test in this process and prints its measured figures. Exits with
    1 on failure."""
    os.environ["RILLKNOT_BUILD"] = build
    module_name, name = spec.split(".")
    try:
        out = getattr(importlib.import_module(module_name), name)()
    except BaseException:  # noqa: B902 a test may fail with any exception
        traceback.print_exc()
        sys.exit(1)
    print("measured: %s" % out if out else "")


def print_table(table):
    """Prints the results of the test files in PROMISES, with measured figures."""
    print("\nResults of this run by promise; run counts are those of the upstreams:")
    for file_name, promise in PROMISES.items():
        rows = table.get(file_name, [])
        print("\n%s: %d of %d" % (promise, sum(ok for _, ok, _ in rows), len(rows)))
        for test, ok, measured in sorted(rows):
            print("  %-7s %-66s %s" % ("holds" if ok else "FAILED",
                                       test.replace("test_", "").replace("_", " "), measured))


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--build", default="build")
    p.add_argument("--prove", action="store_true")
    p.add_argument("--one")
    p.add_argument("--only", default="",
                   help="run only the process tests whose MODULE.NAME contains this text")
    p.add_argument("--skip-process", action="store_true",
                   help="run unit tests and properties only (for the sanitizer builds)")
    p.add_argument("--no-count", action="store_true",
                   help='don\'t print the last line, "N passed, N failed" (for an additional run)')
    p.add_argument("--max-success", type=int, default=200)
    args = p.parse_args()
    if args.one:
        run_one(args.one, args.build)
        return 0
    known_red, passed, failed, known_failures = read_known_red(), 0, 0, []
    table = {}

    def report(name, ok, out, took=None):
        nonlocal passed, failed
        measured = re.findall(r"^measured: (.+)$", out, re.M)
        table.setdefault(name.split(".")[0], []).append(
            (name.split(".")[-1], ok, measured[0] if measured else ""))
        if not ok and name in known_red:
            known_failures.append(known_red[name])
            print("known red  %s" % name)
            return
        passed += ok
        failed += not ok
        print("%-7s %s%s%s" % ("ok" if ok else "FAILED", name,
                               " (%.1f s)" % took if took else "",
                               ": " + measured[0] if measured else ""), flush=True)
        if not ok:
            print(out[-6000:], flush=True)

    if not args.only:
        binaries = sorted(glob.glob(os.path.join(ROOT, args.build, "prop_*")))
        if not args.prove:
            binaries += sorted(glob.glob(os.path.join(ROOT, args.build, "test_*")))
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            for results in pool.map(lambda b: binary_results(b, args.max_success), binaries):
                for r in results:
                    report(*r)
    if not args.skip_process:
        tests = process_tests(args.only)
        with concurrent.futures.ThreadPoolExecutor(PARALLEL_TESTS) as pool:
            futures = {pool.submit(run_process_test, module_name, n, args.build):
                       (module_name, n) for module_name, n in tests}
            for f in concurrent.futures.as_completed(futures):
                ok, out, took = f.result()
                report("%s.%s" % futures[f], ok, out, took)
    if args.prove:
        print_table(table)
    for line in known_failures:
        print("KNOWN-RED: %s" % line)
    if not args.no_count:
        print("\n%d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
