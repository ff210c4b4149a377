#!/usr/bin/env python3
"""Plays variants of the code on the users' bench and compares them pair by pair.

A variant is NAME=COMMIT, or NAME=FOLDER for a working tree as it is. Each is built in
a folder of its own. A pair is one day of one site with one seed, played by each
variant; what is printed is the mean difference of worth to the first variant, with
the 95% interval of Student's t, by site and over all. Plays that are in --out
already are not played again, so a run that was ended goes on where it stopped.

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
sys.path.append("/usr/lib/python3/dist-packages")  # Debian's, beside another Python
import matplotlib  # noqa: E402
from scipy import stats  # noqa: E402

CONFIDENCE = 0.95
NOT_COPIED = shutil.ignore_patterns(".git", "build", "target", "journal")
RESULT = re.compile(r"^\S+\s+\S+\s+(-?[\d.]+)\s+(-?[\d.]+)\s+([\d.]+)", re.M)


def log(text):
    print(text, flush=True)


def check_out(folder, source):
    """The variant's sources in a repository of their own, as the bench wants it."""
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


def days_of(site, pattern):
    with open(site) as f:
        names = re.findall(r'^name = "((?:quiet|trouble|scale)-\d+)"$', f.read(), re.M)
    return [n for n in names if re.search(pattern, n)]


def play(bench, folder, site, day, seed, why):
    """{worth, served, broken} of one play."""
    command = [bench, "run", site, day, "--why", why]
    if seed:
        command += ["--seed", str(seed)]
    out = subprocess.run(command, cwd=folder, stdout=subprocess.PIPE,
                         stderr=subprocess.STDOUT, check=False).stdout.decode()
    line = re.search(r"^%s .*$" % re.escape(day), out, re.M)
    found = line and RESULT.search(line.group(0))
    if not found:
        return {"error": out[-400:]}
    return {"worth": float(found.group(2)), "served": float(found.group(3)),
            "broken": line.group(0).partition("BROKEN: ")[2]}


class Book:
    """All plays so far, in a file."""

    def __init__(self, path):
        self.path = path
        self.plays = {}
        if path and os.path.exists(path):
            with open(path) as f:
                self.plays = json.load(f)

    def add(self, key, result):
        self.plays[key] = result
        if self.path:
            with open(self.path + ".new", "w") as f:
                json.dump(self.plays, f, indent=0)
            os.replace(self.path + ".new", self.path)


def differences(book, first, name, keys):
    """By site: worth of `name` less that of `first`, of all pairs played."""
    found = collections.defaultdict(list)
    for site, day, seed in keys:
        pair = [book.plays.get("|".join((v, site, day, str(seed))), {}) for v in (first, name)]
        if all("worth" in p for p in pair):
            found[site].append(pair[1]["worth"] - pair[0]["worth"])
    return found


def interval(values):
    """Mean and half the width of its interval; infinite for a single value."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("inf")
    t = stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1)
    return mean, t * stats.sem(values)


def verdict(mean, half):
    if abs(mean) <= half:
        return "noise"
    return "better" if mean > 0 else "worse"


def mean_worth(book, name, keys, site):
    worth = [book.plays["|".join((name, s, d, str(n)))]["worth"] for s, d, n in keys
             if s == site and "worth" in book.plays.get("|".join((name, s, d, str(n))), {})]
    return sum(worth) / len(worth) if worth else float("nan")


def table(book, names, keys):
    """Rows of (variant, site, pairs, mean worth, difference, half width)."""
    rows = []
    for name in names[1:]:
        found = differences(book, names[0], name, keys)
        for site, values in sorted(found.items()):
            mean, half = interval(values)
            rows.append((name, os.path.basename(site)[:-5], len(values),
                         mean_worth(book, name, keys, site), mean, half))
        everything = [v for values in found.values() for v in values]
        if len(found) > 1:
            mean, half = interval(everything)
            rows.append((name, "all", len(everything), float("nan"), mean, half))
    return rows


def print_table(rows, first):
    log("| variant | site | pairs | mean worth | against %s | verdict |" % first)
    log("|---|---|---|---|---|---|")
    for name, site, pairs, worth, mean, half in rows:
        log("| %s | %s | %d | %.3f | %+.3f ± %.3f | %s |"
            % (name, site, pairs, worth, mean, half, verdict(mean, half)))


def plot(rows, first, path):
    matplotlib.use("svg" if path.endswith(".svg") else "agg")
    import matplotlib.pyplot as plt
    labels = ["%s, %s" % (r[0], r[1]) for r in rows]
    fig, ax = plt.subplots(figsize=(7, 0.9 + 0.28 * len(rows)))
    ax.errorbar([r[4] for r in rows], range(len(rows)), xerr=[r[5] for r in rows],
                fmt="o", capsize=3, color="black")
    ax.axvline(0, color="grey", linewidth=0.8)
    ax.set_yticks(range(len(rows)), labels)
    ax.invert_yaxis()
    ax.set_xlabel("difference of worth to %s, 95%% interval" % first)
    fig.tight_layout()
    fig.savefig(path)


def main():
    p = argparse.ArgumentParser(description=__doc__,
                                formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("sites", nargs="+")
    p.add_argument("--variant", action="append", required=True, metavar="NAME=COMMIT or NAME=FOLDER")
    p.add_argument("--days", default="trouble|scale", help="pattern of names of days")
    p.add_argument("--seeds", type=int, default=3, help="the day's own, and others")
    p.add_argument("--jobs", type=int, default=4)
    p.add_argument("--minutes", type=float, default=9, help="no play begins after them")
    p.add_argument("--work", default="/tmp/rillknot-experiment", help="folder of builds")
    p.add_argument("--out", help="file that keeps all plays")
    p.add_argument("--plot", help="SVG or PNG file")
    p.add_argument("--why", default="experiment")
    args = p.parse_args()
    bench = os.environ.get("FLEETBENCH") or sys.exit("FLEETBENCH must name the bench's program")
    variants = dict(v.split("=", 1) for v in args.variant)
    names = list(variants)
    for name, source in variants.items():
        check_out(os.path.join(args.work, name), source)
        subprocess.run([bench, "build"], cwd=os.path.join(args.work, name), check=True,
                       stdout=subprocess.DEVNULL)
    keys = [(site, day, seed) for seed in range(args.seeds) for site in args.sites
            for day in days_of(site, args.days)]
    book = Book(args.out)
    end = time.monotonic() + args.minutes * 60
    jobs = [(name,) + key for key in keys for name in names
            if "|".join((name, key[0], key[1], str(key[2]))) not in book.plays]

    def run(job):
        name, site, day, seed = job
        if time.monotonic() > end:
            return job, None
        return job, play(bench, os.path.join(args.work, name), site, day, seed,
                         "%s: %s" % (args.why, name))

    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for job, result in pool.map(run, jobs):
            if result is None:
                continue
            book.add("|".join(map(str, job)), result)
            if result.get("broken") or "error" in result:
                log("%s: %s" % (" ".join(map(str, job)), result.get("broken") or result["error"]))
    rows = table(book, names, keys)
    print_table(rows, names[0])
    if args.plot:
        plot(rows, names[0], args.plot)
    if len([j for j in jobs if "|".join(map(str, j)) not in book.plays]):
        log("incomplete: the time was over; call again with the same --out")


if __name__ == "__main__":
    main()
