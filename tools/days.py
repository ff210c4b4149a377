#!/usr/bin/env python3
"""Runs the project's own scenarios (tests/days/days.json) on a deployment with the
users' bench, several at a time, and prints which rules were broken. The bench calls a
scenario a day. It is not part of the repository; FLEETBENCH names its program.

    FLEETBENCH=.../bin/fleetbench tools/days.py SITE.toml [--only PART] [--jobs N]
"""
import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SEED = 20261202


def toml_value(value):
    if isinstance(value, str):
        return json.dumps(value)
    return repr(value)


def toml_table(table):
    return "{ %s }" % ", ".join("%s = %s" % (k, toml_value(v)) for k, v in table.items())


def day_text(name, day):
    """Return the day as TOML, in the form that the bench reads."""
    lines = ["[[day]]", 'name = "%s"' % name, 'slot = "trouble"', "seed = %d" % SEED,
             "one = 1.0", "zero = 0.0", "labels = []"]
    if "closing" in day:
        lines += ["closing = %s" % toml_table(day["closing"]), "length_s = 59.0"]
    for group in ("plan", "faults"):
        lines.append("%s = [%s]" % (group, ", ".join(toml_table(t) for t in day.get(group, []))))
    return "\n".join(lines) + "\n"


def play(bench, site, name, day, folder, why):
    """Run one day on the site; return its name and the bench's output."""
    path = os.path.join(folder, name + ".toml")
    with open(path, "w") as f:
        f.write(day_text(name, day))
    r = subprocess.run([bench, "run", site, path, "--why", why], cwd=ROOT,
                       stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
    return name, r.stdout.decode("utf-8", "replace")


def main():
    p = argparse.ArgumentParser(description=__doc__)
    p.add_argument("site")
    p.add_argument("--only", default="")
    p.add_argument("--jobs", type=int, default=6)
    p.add_argument("--why", default="own days")
    args = p.parse_args()
    bench = os.environ.get("FLEETBENCH")
    if not bench:
        sys.exit("FLEETBENCH must name the bench's program")
    with open(os.path.join(ROOT, "tests", "days", "days.json")) as f:
        days = {n: d for n, d in json.load(f).items() if args.only in n}
    failed = 0
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        jobs = [pool.submit(play, bench, args.site, n, d, folder, args.why)
                for n, d in days.items()]
        for job in concurrent.futures.as_completed(jobs):
            name, out = job.result()
            line = re.search(r"^%s .*$" % re.escape(name), out, re.M)
            broken = re.findall(r"^(?:rules broken|fault).*$|^[A-Z]+ at .*$", out, re.M)
            if broken or not line:
                failed += 1
                print("BROKEN %s: %s" % (name, "; ".join(broken) or out[-400:]))
            else:
                print("ok     %s" % line.group(0)[:130])
            sys.stdout.flush()
    print("%d passed, %d failed" % (len(days) - failed, failed))
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
