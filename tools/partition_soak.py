#!/usr/bin/env python3
"""Runs random cuts of nodes' links to the VMs, beside kills and restarts, with fresh or given
seeds (tests/proc_hosted_partition.py). Exits with 1 if a seed failed."""
import argparse
import concurrent.futures
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
RUN = "import sys; sys.path[:0] = ['tests', 'tools']; " \
      "import proc_hosted_partition as p; print(p.run_random_cuts(int(sys.argv[1])))"


def run_seed(seed, build):
    env = dict(os.environ, RILLKNOT_BUILD=build)
    r = subprocess.run([sys.executable, "-c", RUN, str(seed)], cwd=ROOT, env=env, check=False,
                       stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=300)
    return r.returncode == 0, r.stdout.decode("utf-8", "replace")


def main():
    p = argparse.ArgumentParser(description=__doc__)
    p.add_argument("--first", type=int, default=int(time.time()), help="first seed")
    p.add_argument("--seeds", type=int, default=10, help="how many")
    p.add_argument("--jobs", type=int, default=2)
    p.add_argument("--build", default="build")
    args = p.parse_args()
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        seeds = range(args.first, args.first + args.seeds)
        for seed, (ok, out) in zip(seeds, pool.map(lambda n: run_seed(n, args.build), seeds)):
            failed += not ok
            print("seed %d: %s" % (seed, out.strip() if ok else "FAILED\n" + out), flush=True)
    print("%d of %d seeds failed" % (failed, args.seeds))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
