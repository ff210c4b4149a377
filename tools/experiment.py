#!/usr/bin/env python3
"""Runs variants of the code on the users' bench and compares them in pairs.

A variant is NAME=COMMIT, or NAME=FOLDER for a working tree. Each variant is built in a
folder of its own. A pair is one day (a scenario) of one site with one seed, run with the
first variant and with another one. Prints the mean difference in worth from the first
variant, with the 95% confidence interval of Student's t, per site and over all sites.
Results that are already in --out are not measured again, so that an interrupted
comparison can be continued.

    FLEETBENCH=.../fleetbench tools/experiment.py --variant before=HEAD~1 \\
        --variant after=. --seeds 4 --out /tmp/x.json --plot docs/x.svg SITE...
"""
import argparse
import collections
import concurrent.futures
import json
import os
import re
import shutil
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Debian's packages are not on the path of a python3 from elsewhere.
sys.path.append("/usr/lib/python3/dist-packages")
import matplotlib  # noqa: E402
from scipy import stats  # noqa: E402

CONFIDENCE = 0.95
NOT_COPIED = shutil.ignore_patterns(".git", "build", "target", "journal")
# The second number of a result line is the worth, the third is what was served.
RESULT_LINE = re.compile(r"^\S+\s+\S+\s+(-?[\d.]+)\s+(-?[\d.]+)\s+([\d.]+)", re.M)


def log(text):
    print(text, flush=True)


def prepare_sources(folder, source):
    """Put the variant's sources into a clone of the repository; the bench requires one.

    A folder that exists is used as it is.
    """
    if os.path.exists(folder):
        return
    subprocess.run(["git", "clone", "-q", ROOT, folder], check=True)
    if os.path.isdir(source):
        for name in os.listdir(folder):
            if name not in (".git", "journal"):
                path = os.path.join(folder, name)
                shutil.rmtree(path) if os.path.isdir(path) else os.remove(path)
        shutil.copytree(source, folder, ignore=NOT_COPIED, dirs_exist_ok=True)
    else:
        commit = subprocess.run(["git", "rev-parse", source], cwd=ROOT, check=True,
                                stdout=subprocess.PIPE).stdout.decode().strip()
        subprocess.run(["git", "checkout", "-q", commit], cwd=folder, check=True)


def matching_days(site, pattern):
    """Return the names of the site's days that match the pattern."""
    with open(site) as f:
        names = re.findall(r'^name = "((?:quiet|trouble|scale)-\d+)"$', f.read(), re.M)
    return [n for n in names if re.search(pattern, n)]


def run_day(bench, folder, site, day, seed, why):
    """Run one day; return {worth, served, broken} or {error}."""
    command = [bench, "run", site, day, "--why", why]
    if seed:
        command += ["--seed", str(seed)]
    out = subprocess.run(command, cwd=folder, stdout=subprocess.PIPE,
                         stderr=subprocess.STDOUT, check=False).stdout.decode()
    line = re.search(r"^%s .*$" % re.escape(day), out, re.M)
    found = line and RESULT_LINE.search(line.group(0))
    if not found:
        return {"error": out[-400:]}
    return {"worth": float(found.group(2)), "served": float(found.group(3)),
            "broken": line.group(0).partition("BROKEN: ")[2]}


class Results:
    """The results of all runs so far, kept in a file if there is a path.

    The key of a run is "VARIANT|SITE|DAY|SEED".
    """

    def __init__(self, path):
        self.path = path
        self.runs = {}
        if path and os.path.exists(path):
            with open(path) as f:
                self.runs = json.load(f)

    def add(self, key, result):
        self.runs[key] = result
        if self.path:
            with open(self.path + ".new", "w") as f:
                json.dump(self.runs, f, indent=0)
            os.replace(self.path + ".new", self.path)


def worth_differences(results, first, name, cases):
    """Return, by site, the worth of `name` minus that of `first` for all complete pairs."""
    found = collections.defaultdict(list)
    for site, day, seed in cases:
        pair = [results.runs.get("|".join((v, site, day, str(seed))), {}) for v in (first, name)]
        if all("worth" in p for p in pair):
            found[site].append(pair[1]["worth"] - pair[0]["worth"])
    return found


def confidence_interval(values):
    """Return the mean and half the width of its confidence interval.

    The width is infinite for a single value.
    """
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("inf")
    t = stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1)
    return mean, t * stats.sem(values)


def verdict(mean, half_width):
    """Return whether a difference is better, worse, or within its interval (noise)."""
    if abs(mean) <= half_width:
        return "noise"
    return "better" if mean > 0 else "worse"


def mean_worth(results, name, cases, site):
    """Return a variant's mean worth on the site, NaN if there are no results."""
    worth = [results.runs["|".join((name, s, d, str(n)))]["worth"] for s, d, n in cases
             if s == site and "worth" in results.runs.get("|".join((name, s, d, str(n))), {})]
    return sum(worth) / len(worth) if worth else float("nan")


def comparison_rows(results, names, cases):
    """Return rows of (variant, site, pairs, mean worth, difference, half width)."""
    rows = []
    for name in names[1:]:
        found = worth_differences(results, names[0], name, cases)
        for site, values in sorted(found.items()):
            mean, half_width = confidence_interval(values)
            rows.append((name, os.path.basename(site)[:-5], len(values),
                         mean_worth(results, name, cases, site), mean, half_width))
        all_values = [v for values in found.values() for v in values]
        if len(found) > 1:
            mean, half_width = confidence_interval(all_values)
            rows.append((name, "all", len(all_values), float("nan"), mean, half_width))
    return rows


def print_table(rows, first):
    log("| variant | site | pairs | mean worth | against %s | verdict |" % first)
    log("|---|---|---|---|---|---|")
    for name, site, pairs, worth, mean, half_width in rows:
        log("| %s | %s | %d | %.3f | %+.3f ± %.3f | %s |"
            % (name, site, pairs, worth, mean, half_width, verdict(mean, half_width)))


def plot(rows, first, path):
    """Draw the differences with their intervals into an SVG or PNG file."""
    matplotlib.use("svg" if path.endswith(".svg") else "agg")
    import matplotlib.pyplot as plt
    labels = ["%s, %s" % (r[0], r[1]) for r in rows]
    fig, ax = plt.subplots(figsize=(7, 0.9 + 0.28 * len(rows)))
    ax.errorbar([r[4] for r in rows], range(len(rows)), xerr=[r[5] for r in rows],
                fmt="o", capsize=3, color="black")
    ax.axvline(0, color="grey", linewidth=0.8)
    ax.set_yticks(range(len(rows)), labels)
    ax.invert_yaxis()
    ax.set_xlabel("difference in worth from %s, 95%% interval" % first)
    fig.tight_layout()
    fig.savefig(path)


def main():
    p = argparse.ArgumentParser(description=__doc__,
                                formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("sites", nargs="+")
    p.add_argument("--variant", action="append", required=True,
                   metavar="NAME=COMMIT or NAME=FOLDER")
    p.add_argument("--days", default="trouble|scale",
                   help="regular expression for the names of days")
    p.add_argument("--seeds", type=int, default=3,
                   help="number of seeds: the day's own and further ones")
    p.add_argument("--jobs", type=int, default=4)
    p.add_argument("--minutes", type=float, default=9, help="time after which no run is started")
    p.add_argument("--work", default="/tmp/rillknot-experiment", help="folder for the builds")
    p.add_argument("--out", help="file in which the results are kept")
    p.add_argument("--plot", help="SVG or PNG file")
    p.add_argument("--why", default="experiment")
    args = p.parse_args()
    bench = os.environ.get("FLEETBENCH") or sys.exit("FLEETBENCH must name the bench's program")
    variants = dict(v.split("=", 1) for v in args.variant)
    names = list(variants)
    for name, source in variants.items():
        prepare_sources(os.path.join(args.work, name), source)
        subprocess.run([bench, "build"], cwd=os.path.join(args.work, name), check=True,
                       stdout=subprocess.DEVNULL)
    cases = [(site, day, seed) for seed in range(args.seeds) for site in args.sites
            for day in matching_days(site, args.days)]
    results = Results(args.out)
    deadline = time.monotonic() + args.minutes * 60
    jobs = [(name,) + key for key in cases for name in names
            if "|".join((name, key[0], key[1], str(key[2]))) not in results.runs]

    def run(job):
        name, site, day, seed = job
        if time.monotonic() > deadline:
            return job, None
        return job, run_day(bench, os.path.join(args.work, name), site, day, seed,
                         "%s: %s" % (args.why, name))

    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for job, result in pool.map(run, jobs):
            if result is None:
                continue
            results.add("|".join(map(str, job)), result)
            if result.get("broken") or "error" in result:
                log("%s: %s" % (" ".join(map(str, job)), result.get("broken") or result["error"]))
    rows = comparison_rows(results, names, cases)
    print_table(rows, names[0])
    if args.plot:
        plot(rows, names[0], args.plot)
    if len([j for j in jobs if "|".join(map(str, j)) not in results.runs]):
        log("incomplete: time limit reached; run again with the same --out")


if __name__ == "__main__":
    main()
