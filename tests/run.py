#!/usr/bin/env python3
"""Runs all tests: cmocka units, RapidCheck properties (seeds fixed here), and
process tests. With --prove only the process tests and properties that prove a
promise, as a table. Ends with "N passed, N failed"."""
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
# Debian's packages, also where another Python stands first in the path.
sys.path.append("/usr/lib/python3/dist-packages")

SEED = "20261202"
PARALLEL = 3  # process tests at once: each starts up to a dozen processes
TEST_TIMEOUT_S = 400


# What each file proves, in the order of the table that --prove prints.
PROMISES = {
    "proc_reclaim": "1, 5  accepted work survives a reclaim; a leaving vm gets no new work",
    "proc_answers": "2     whole answers to the right caller",
    "proc_refusals": "3     a refusal that says not run is true",
    "proc_once": "4     at most once",
    "prop_claims": "4     at most once, any order",
    "proc_stop": "6     a planned stop cuts off nothing",
    "proc_settings": "7     settings in force, never reverting",
    "proc_keeper": "8     leases and orders",
    "proc_overload": "9     overload",
    "proc_input": "10    bad input",
    "prop_fuzz": "10    bad input, bytes",
    "prop_holding": "1, 8  how many vms are held, whatever stands and can't be had",
    "prop_core": "2-9   rows, streams, leases, shares in any order",
    "proc_traces": "all   recorded traces as stated",
    "proc_hosted_calls": "hosted  calls by routes: bytes, at most once, streams, time",
    "proc_hosted_input": "hosted  bad input",
    "proc_hosted_entries": "hosted  vms that start again, entries of another writer",
    "proc_crashes": "9     a call that ends its vms gets three of them",
    "proc_hosted_crashes": "hosted  a request that ends its vms is sent no more",
    "proc_hosted_signals": "hosted  what vms say of themselves in answers",
    "proc_hosted_limits": "hosted  a vm that names a request limit gets no more",
    "proc_hosted_leaving": "hosted  a vm that says it leaves gets nothing more",
    "proc_hosted_rest": "hosted  a vm that asks for rest is left alone",
    "proc_hosted_moves": "hosted  streams move from engines that leave, whole",
    "proc_hosted_rollouts": "hosted  versions: good ones taken, bad ones given back",
    "prop_rollout": "hosted  versions, whatever is seen and when",
    "proc_hosted_fleet": "hosted  settings, vms, quotas, duties, stops over several nodes",
    "proc_hosted_engines": "hosted  engines of unknown speed: learnt, told, kept",
    "proc_hosted_bridges": "hosted  a large fleet: bridges, digests, news, quotas, usage",
    "proc_soak": "hosted  the promises under random faults",
}


def known_red():
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return {}
    with open(path) as f:
        lines = [x.strip() for x in f if x.strip() and not x.startswith("#")]
    return {x.split(",")[0].strip(): x for x in lines}


def run_binary(path, max_success):
    env = dict(os.environ, RC_PARAMS="seed=%s max_success=%d" % (SEED, max_success),
               CMOCKA_MESSAGE_OUTPUT="STDOUT")
    r = subprocess.run([path], env=env, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                       timeout=TEST_TIMEOUT_S, cwd=ROOT, check=False)
    return r.returncode, r.stdout.decode("utf-8", "replace")


def binary_results(path, max_success):
    """[(name, passed, output)] of a test program."""
    name = os.path.basename(path)
    try:
        code, out = run_binary(path, max_success)
    except subprocess.TimeoutExpired:
        return [(name, False, "timed out")]
    tests = re.findall(r"^\[ +(OK|FAILED) +\] (\w+)$", out, re.M)
    seen = {}
    for result, test in tests:
        seen[test] = seen.get(test, True) and result == "OK"
    results = [("%s.%s" % (name, t), ok, "" if ok else out) for t, ok in seen.items()]
    if not results or (code != 0 and all(ok for _, ok, _ in results)):
        results.append((name, code == 0, out))
    return results


def process_tests(pattern):
    tests = []
    for path in sorted(glob.glob(os.path.join(HERE, "proc_*.py"))):
        mod = os.path.basename(path)[:-3]
        m = importlib.import_module(mod)
        for name in dir(m):
            if name.startswith("test_") and pattern in "%s.%s" % (mod, name):
                tests.append((mod, name))
    return tests


def run_process_test(mod, name, build):
    """Each in a process of its own, so that nothing leaks from one to the next."""
    start = time.time()
    try:
        r = subprocess.run([sys.executable, os.path.abspath(__file__), "--one",
                            "%s.%s" % (mod, name), "--build", build],
                           stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                           timeout=TEST_TIMEOUT_S, cwd=ROOT, check=False)
        return r.returncode == 0, r.stdout.decode("utf-8", "replace"), time.time() - start
    except subprocess.TimeoutExpired as e:
        return False, "timed out\n" + (e.stdout or b"").decode(), time.time() - start


def run_one(spec, build):
    os.environ["RILLKNOT_BUILD"] = build
    mod, name = spec.split(".")
    try:
        out = getattr(importlib.import_module(mod), name)()
    except BaseException:  # noqa: B902 a test may fail in any way
        traceback.print_exc()
        sys.exit(1)
    print("measured: %s" % out if out else "")


def print_table(table):
    print("\nWhat was proved in this run, with the counts as the upstreams saw them:")
    for module, promise in PROMISES.items():
        rows = table.get(module, [])
        print("\n%s: %d of %d" % (promise, sum(ok for _, ok, _ in rows), len(rows)))
        for test, ok, measured in sorted(rows):
            print("  %-7s %-66s %s" % ("holds" if ok else "FAILED",
                                       test.replace("test_", "").replace("_", " "), measured))


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--build", default="build")
    p.add_argument("--prove", action="store_true")
    p.add_argument("--one")
    p.add_argument("--only", default="", help="process tests whose name has this")
    p.add_argument("--skip-process", action="store_true",
                   help="units and properties only (for the sanitizer builds)")
    p.add_argument("--no-count", action="store_true",
                   help="don't print the closing line (a run beside the main one)")
    p.add_argument("--max-success", type=int, default=200)
    args = p.parse_args()
    if args.one:
        run_one(args.one, args.build)
        return 0
    red, passed, failed, expected = known_red(), 0, 0, []
    table = {}

    def report(name, ok, out, took=None):
        nonlocal passed, failed
        measured = re.findall(r"^measured: (.+)$", out, re.M)
        table.setdefault(name.split(".")[0], []).append(
            (name.split(".")[-1], ok, measured[0] if measured else ""))
        if not ok and name in red:
            expected.append(red[name])
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
        with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
            futures = {pool.submit(run_process_test, m, n, args.build): (m, n)
                       for m, n in tests}
            for f in concurrent.futures.as_completed(futures):
                ok, out, took = f.result()
                report("%s.%s" % futures[f], ok, out, took)
    if args.prove:
        print_table(table)
    for line in expected:
        print("KNOWN-RED: %s" % line)
    if not args.no_count:
        print("\n%d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
