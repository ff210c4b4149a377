#!/usr/bin/env python3
"""Builds each commit of a range and runs its units and properties, in a clone of its own, so that
a search over commits (git bisect) meets none that doesn't build. Ends with
"N passed, N failed"; exit 0 only when none failed.

    tools/commits.py ee5e162..HEAD [--jobs N]
    git config core.hooksPath tools/hooks    # checks what is about to be pushed
"""
import argparse
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TEST_TIMEOUT_S = 300
MAX_SUCCESS = 20  # cases of each property: CI tries more of the last commit


def git(*args, folder=ROOT):
    return subprocess.run(["git", *args], cwd=folder, check=True,
                          stdout=subprocess.PIPE).stdout.decode()


def commits(span):
    """Oldest first; those that change nothing but pages and journal are left out."""
    return git("rev-list", "--reverse", "--no-merges", span, "--", ".",
               ":!docs", ":!journal", ":!*.md").split()


def check(folder, jobs):
    """None, or what failed."""
    build = subprocess.run(["make", "-s", "-j%d" % jobs, "all"], cwd=folder,
                           stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
    if build.returncode:
        return "doesn't build\n" + build.stdout.decode("utf-8", "replace")[-1500:]
    # The tests of that commit, which pass over what its KNOWN-RED.txt lists.
    run = subprocess.run([sys.executable, os.path.join("tests", "run.py"), "--skip-process",
                          "--no-count", "--max-success", str(MAX_SUCCESS)], cwd=folder,
                         stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                         timeout=TEST_TIMEOUT_S, check=False)
    if run.returncode:
        return "a test fails\n%s" % run.stdout.decode("utf-8", "replace")[-1500:]
    return None


def main():
    p = argparse.ArgumentParser(description=__doc__,
                                formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("range")
    p.add_argument("--jobs", type=int, default=4)
    args = p.parse_args()
    failed = 0
    chosen = commits(args.range)
    with tempfile.TemporaryDirectory(prefix="rillknot-commits-") as folder:
        git("clone", "-q", "--no-checkout", ROOT, folder)
        for commit in chosen:
            git("checkout", "-q", commit, folder=folder)
            what = check(folder, args.jobs)
            failed += what is not None
            print("%-7s %s%s" % ("FAILED" if what else "ok",
                                 git("log", "-1", "--format=%h %s", commit).strip(),
                                 ": " + what if what else ""), flush=True)
    print("\n%d passed, %d failed" % (len(chosen) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
