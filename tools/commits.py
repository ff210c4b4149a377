#!/usr/bin/env python3
"""Builds each commit of a range in a clone and runs its unit and property tests.

This keeps git bisect usable: it needs commits that build. The last line printed is
"N passed, N failed"; the exit code is 0 only if none failed.

    tools/commits.py ee5e162..HEAD [--jobs N]
    git config core.hooksPath tools/hooks    # checks the commits of each push
"""
import argparse
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TEST_TIMEOUT_S = 300
MAX_SUCCESS = 20  # cases per property; CI tries more, but only at the last commit


def git(*args, folder=ROOT):
    return subprocess.run(["git", *args], cwd=folder, check=True,
                          stdout=subprocess.PIPE).stdout.decode()


def commits(span):
    """Return the commits of the range, oldest first.

    Commits that change only documentation or the journal are left out.
    """
    return git("rev-list", "--reverse", "--no-merges", span, "--", ".",
               ":!docs", ":!journal", ":!*.md").split()


def check(folder, jobs):
    """Build and test the checked-out commit; return None or a text about the failure."""
    build = subprocess.run(["make", "-s", "-j%d" % jobs, "all"], cwd=folder,
                           stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
    if build.returncode:
        return "doesn't build\n" + build.stdout.decode("utf-8", "replace")[-1500:]
    # The commit's own test runner does not count failures listed in its KNOWN-RED.txt.
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
            failure = check(folder, args.jobs)
            failed += failure is not None
            print("%-7s %s%s" % ("FAILED" if failure else "ok",
                                 git("log", "-1", "--format=%h %s", commit).strip(),
                                 ": " + failure if failure else ""), flush=True)
    print("\n%d passed, %d failed" % (len(chosen) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
