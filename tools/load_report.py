#!/usr/bin/env python3
"""Reports from the logs of all nodes which calls waited, which were refused, and why.

Prints tables by route, organisation, failure domain and time, the work of each VM, the
slots that routes hold, and what quotas refused. docs/OPERATIONS.md explains the columns;
tools/load_log.py, how lines are read.
"""
import argparse
import collections
import math
import os
import signal
import time

import load_plots
from load_log import DIMENSIONS, NONE, OUTCOMES, SAMPLE, Report, means

WALL_CLOCK_FROM_S = 1e9  # later times are printed as a clock time, earlier ones as seconds


# ---- tables: each function returns (title, column names, rows) ----

def group_name(report, dimension, key):
    return show_time(key * report.bin_s) if dimension == "second" else key


def outcome_table(report, dimension):
    rows = [[group_name(report, dimension, key), sum(count.values())] +
            [count[o] for o in OUTCOMES]
            for key, count in sorted(report.calls[dimension].items())]
    return "Calls by %s" % dimension, [dimension, "offered"] + list(OUTCOMES), rows


def held_table(report, dimension):
    rows = [[group_name(report, dimension, key), outcome, status, held.n,
             held.mean(), held.most, why]
            for (key, outcome, status, why), held in sorted(report.held[dimension].items())]
    return ("Calls not served, by %s and reason" % dimension,
            [dimension, "outcome", "status", "calls", "held ms", "most ms", "reason"], rows)


def vm_shares(report):
    """Returns (name, VM, present s, slowness, sampled calls, fair share, fair share by speed,
    calls of its service) of each VM. Slowness is the geometric mean of the times of its
    calls, each over that of its service and route."""
    services, out = collections.defaultdict(list), []
    for name, vm in sorted(report.vms.items()):
        services[vm.service].append((name, vm))
    for _, vms in sorted(services.items()):
        routes, part = means(), []
        for route, m in ((r, m) for _, vm in vms for r, m in vm.took_log.items()):
            routes[route].n += m.n
            routes[route].total += m.total
        for name, vm in vms:
            n = sum(m.n for m in vm.took_log.values())
            excess = sum(m.total - m.n * routes[r].mean() for r, m in vm.took_log.items())
            part.append((name, vm, vm.present_s(report), math.exp(excess / n) if n else 1.0, n))
        present = sum(p[2] for p in part) or math.nan
        speed = sum(p[2] / p[3] for p in part) or math.nan
        calls = sum(vm.calls for _, vm in vms)
        out += [p + (p[2] / present, p[2] / p[3] / speed, calls) for p in part]
    return out


def percent(part, whole):
    return 100.0 * part / whole if whole else math.nan


def vm_table(report):
    tokens = collections.Counter()
    for vm in report.vms.values():
        tokens[vm.service] += vm.tokens
    rows = [[vm.service, name, vm.domain, present, vm.calls, percent(vm.calls, fair * calls),
             percent(vm.calls, by_speed * calls), percent(vm.tokens, fair * tokens[vm.service]),
             100 * slowness if n else math.nan, n, 100 * math.exp(vm.first_log.mean())]
            for name, vm, present, slowness, n, fair, by_speed, calls in vm_shares(report)
            if present or vm.calls]
    return ("Work of the VMs (100: the fair share; the mean time; the expected first byte)",
            ["service", "VM", "domain", "present s", "calls", "of share", "of speed share",
             "tokens of share", "time", "samples", "first byte"], rows)


def slot_table(report):
    span_s, busy, engines = report.end - report.start, collections.Counter(), set()
    for vm in report.vms.values():
        for route, busy_s in vm.busy_s.items():
            busy[vm.service, route] += busy_s
        if vm.tokens:
            engines.add(vm.service)
    present = collections.Counter()
    for vm in report.vms.values():
        present[vm.service] += vm.present_s(report)
    rows = [[service, "engine" if service in engines else "plain", route, busy_s / span_s,
             busy_s / present[service] if present[service] else math.nan,
             max(report.slots[route].values())]
            for (service, route), busy_s in sorted(busy.items()) if span_s]
    return ("Slots held by route", ["service", "kind", "route", "mean", "mean of a VM",
                                    "most in a step"], rows)


def quota_table(report):
    """The part of the quota is estimated: admitted calls are taken to cost as many units as
    refused ones of the same route."""
    units = {key: (report.offered[key] - f["units"].n) * f["units"].mean()
             for key, f in report.quota.items()}
    of_org = collections.Counter()
    for (org, _), n in units.items():
        of_org[org] += n
    rows = [[org, route, int(f["class"].most) if f["class"].n else NONE,
             report.offered[org, route], f["units"].n,
             percent(f["units"].n, report.offered[org, route]), f["share_pct"].mean(),
             f["class_share_pct"].mean(), f["units"].mean(),
             percent(units[org, route], of_org[org])]
            for (org, route), f in sorted(report.quota.items())]
    return ("Refused by quota (share_pct and units: means of the refused calls; part: of the "
            "organisation's admitted units, estimated)",
            ["organisation", "route", "class", "offered", "refused", "refused %", "share_pct",
             "class_share_pct", "units", "part %"], rows)


# ---- output ----

def show_time(at):
    """Returns a time in seconds as text; clock times in UTC."""
    if at < WALL_CLOCK_FROM_S:
        return "%g s" % at
    return time.strftime("%m-%d %H:%M:%S", time.gmtime(at))


def show(value):
    """Returns a cell's text."""
    if isinstance(value, float):
        return NONE if math.isnan(value) else "%.1f" % value
    return str(value)


def print_table(title, columns, rows):
    """Prints a table unless it is empty; columns are separated by two spaces or more."""
    if not rows:
        return
    cells = [columns] + [[show(v) for v in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    print("\n" + title)
    for row in cells:
        print("  ".join(c.ljust(w) for c, w in zip(row, widths)).rstrip())


def print_summary(report):
    c = report.counts
    print("%d lines; skipped: %d cut or incomplete, %d without JSON; lost by nodes: %d" %
          (c["lines"], c["skipped"], c["no JSON"], c["dropped"]))
    if report.end >= report.start:
        print("calls from %s to %s" % (show_time(report.start), show_time(report.end)))
    print("Successes are logged as one in %d, by request id; each counts as %d calls." %
          (SAMPLE, SAMPLE))
    if c["without fields"]:
        print("%d calls were logged by a version without vm, organisation and targets in "
              "call.end" % c["without fields"])


def print_report(report):
    print_summary(report)
    for dimension in DIMENSIONS:
        print_table(*outcome_table(report, dimension))
        print_table(*held_table(report, dimension))
    for table in (vm_table, slot_table, quota_table):
        print_table(*table(report))


def write_plots(report, folder):
    """Writes the plots as SVG files."""
    os.makedirs(folder, exist_ok=True)
    outcomes = {o: {b: n[o] for b, n in report.calls["second"].items()} for o in OUTCOMES}
    refused = collections.defaultdict(collections.Counter)
    for (b, outcome, status, why), held in report.held["second"].items():
        refused["%s: %d %s" % (outcome, status, why)][b] += held.n
    dots = [(vm.service, name, 100 * slowness, percent(vm.calls, fair * calls))
            for name, vm, _, slowness, _, fair, _, calls in vm_shares(report)]
    plots = {"outcomes": load_plots.stacked("Calls offered", "calls", outcomes, report.bin_s),
             "not-served": load_plots.stacked("Calls not served", "calls", refused,
                                              report.bin_s),
             "slots": load_plots.stacked("Slots held by route", "slots", report.slots,
                                         report.bin_s),
             "vms": load_plots.dots("Calls of each VM", "time, % of its service's mean",
                                    "calls, % of the fair share", dots)}
    for name, svg in plots.items():
        with open(os.path.join(folder, name + ".svg"), "w") as f:
            f.write(svg)


def main():
    p = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    p.add_argument("logs", nargs="+", metavar="LOG")
    p.add_argument("--svg", metavar="DIR", help="write plots into this folder")
    p.add_argument("--bin", type=float, default=1.0, metavar="SECONDS",
                   help="length of the steps in time (default 1)")
    args = p.parse_args()
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)  # a pager may close the output early
    if not args.bin > 0:
        p.error("--bin: expected more than 0 seconds")
    report = Report(args.bin)
    for path in args.logs:
        with open(path, errors="replace") as f:
            for line in f:
                report.add_line(line)
    report.name_services()
    print_report(report)
    if args.svg:
        write_plots(report, args.svg)


if __name__ == "__main__":
    main()
