"""Tests of tools/load_report.py: its figures for known log lines, and for the logs of real
processes compared with what callers saw."""
import glob
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree

from hosted import ROOT, Hosted, wait_until

TOOL = os.path.join(ROOT, "tools", "load_report.py")
SAMPLE = 16  # a logged success stands for this many calls
BROKEN = "the vm closed before its answer was whole"
QUOTA = "the organisation's quota is used up"


def run_tool(*args):
    """Returns the first lines of the tool's output, and its tables by the first words of
    their titles: a list of {column: cell} each."""
    r = subprocess.run([sys.executable, TOOL] + list(args), stdout=subprocess.PIPE,
                       stderr=subprocess.PIPE, timeout=60, check=False)
    assert r.returncode == 0, r.stderr.decode()
    summary, *blocks = r.stdout.decode().split("\n\n")
    tables = {}
    for block in blocks:
        title, *rows = [re.split(r" {2,}", line) for line in block.strip().split("\n")]
        tables[title[0].split(" (")[0]] = [dict(zip(rows[0], row)) for row in rows[1:]]
    return summary, tables


def find(rows, **cells):
    """Returns the only row with these cells; "_" in a name stands for a space."""
    found = [r for r in rows if all(r[k.replace("_", " ")] == v for k, v in cells.items())]
    assert len(found) == 1, (cells, found, rows)
    return found[0]


def check(row, **cells):
    """Checks cells of a row; "_" in a name stands for a space."""
    for name, value in cells.items():
        name = name.replace("_", " ") if name.replace("_", " ") in row else name
        assert row[name] == str(value), (name, value, row)


def line(at, event, node_domain="a-hall", **fields):
    return "%9.4f edge-1 %s\n" % (at, json.dumps(
        dict({"wall_ms": 1700000000000, "failure_domain": node_domain, "event": event}, **fields)))


def end(at, request, route, vm="", took=0, status=200, why="", first=-1, pause=0, org="o1", ran=0):
    return line(at, "call.end", request=request, route=route, organisation=org, vm=vm,
                domain={"v": "a-hall", "p": "b-hall", "": ""}[vm[:1]], status=status, why=why,
                attempts=1, may_have_run=ran, first_ms=first, pause_ms=pause, took_ms=took,
                target_ms=500 if route == "long" else 0, target_gap_ms=100)


def sent(at, request, vm, tokens):
    return line(at, "call.sent", request=request, vm=vm, attempt=1, read_tokens=tokens)


def refused(at, request, units, share, cls, class_share):
    return line(at, "quota.refused", request=request, organisation="o1", units=units,
                share_pct=share, **{"class": cls, "class_share_pct": class_share})


def known_lines():
    """Returns the lines of a few calls in the seconds 10 to 14, one of each outcome and more."""
    vms = [line(1, "vm.changed", vm=v, what="added", service=s, domain=d, leaving=0)
           for v, s, d in (("v1", "llm", "a-hall"), ("v2", "llm", "a-hall"),
                           ("p1", "slots", "b-hall"))]
    return vms + [
        sent(10, "1", "v1", 1000),
        line(10.2, "call.first", request="1", vm="v1", expected_ms=100, seen_ms=200),
        end(12, "1", "long", "v1", 2000, first=200, pause=50),
        sent(10.5, "2", "v2", 500), end(12.5, "2", "long", "v2", 2000, first=600),
        sent(11, "3", "v1", 1000), end(14, "3", "long", "v1", 3000, first=100, pause=150),
        sent(11, "4", "p1", 0), end(11.25, "4", "plain", "p1", 250, first=250),
        refused(11.5, "5", 1000, 50, 3, 25), end(11.5, "5", "long", status=429, why=QUOTA),
        refused(11.5, "6", 200, 60, 0, 80),
        end(11.504, "6", "plain", took=4, status=429, why=QUOTA),
        end(12.002, "7", "long", took=2, status=503, why="its first byte would come too late"),
        end(13, "8", "long", "v1", 1000, 502, BROKEN, first=100, ran=1),
        end(12.125, "9", "plain", "p1", 25, 500, first=20, org="o2"),
        end(12.5, "10", "long", "v2", 500, 0, "the caller is gone", first=100),
        line(13, "call.refused", "b-hall", request="11", status=404, why="no such route"),
        end(13, "12", "long", "v1", 1000, 504, "its time is over", ran=1),
        line(13, "call.end", request="13", route="long"),  # lacks the other fields
        line(13, "call.sent", request="14", vm="v1")[:60] + "\n",  # cut
        "text without an object\n", "\n", '{"no":"event"}\n', "[]{}\n",
    ]


def test_figures_of_known_lines():
    """Guards against wrong sums: successes that are not scaled up, calls counted under a wrong
    outcome or second, shares of the wrong total. Damaged lines must not stop the tool."""
    with tempfile.TemporaryDirectory() as folder:
        path, svg = os.path.join(folder, "log"), os.path.join(folder, "svg")
        with open(path, "w") as f:
            f.writelines(known_lines())
        summary, t = run_tool(path, "--svg", svg)
        plots = glob.glob(os.path.join(svg, "*.svg"))
        for plot in plots:
            xml.etree.ElementTree.parse(plot)  # raises if it is not well-formed
    assert len(plots) == 4, plots
    assert "28 lines; skipped: 4 cut or incomplete, 2 without JSON; lost by nodes: 0" in summary
    assert "calls from 10 s to 14 s" in summary and "each counts as 16 calls" in summary
    check_outcomes(t)
    check_work(t)
    check_quota(t)


def check_outcomes(t):
    counts = dict(offered=53, in_time=16, late_first=16, late_pause=16, no_target=0, refused=2,
                  failed=1, broken_off=1, caller_gone=1)
    check(find(t["Calls by route"], route="long"), **counts)
    check(find(t["Calls by route"], route="plain"), offered=18, in_time=16, refused=1, failed=1)
    check(find(t["Calls by route"], route="-"), offered=1, refused=1)
    check(find(t["Calls by organisation"], organisation="o1"), offered=70)
    check(find(t["Calls by organisation"], organisation="o2"), offered=1, failed=1)
    check(find(t["Calls by domain of the node"], domain_of_the_node="b-hall"), offered=1)
    check(find(t["Calls by domain of the VM"], domain_of_the_VM="b-hall"), offered=17, failed=1)
    by_second = {r["second"]: (r["offered"], r["in time"]) for r in t["Calls by second"]}
    assert by_second == {"10 s": ("32", "16"), "11 s": ("34", "16"), "12 s": ("5", "0"),
                         "13 s": ("1", "0")}, by_second
    reasons = t["Calls not served, by route and reason"]
    check(find(reasons, route="plain", status="429"), outcome="refused", calls=1, held_ms=4.0)
    check(find(reasons, route="long", status="502"), outcome="broken off", held_ms="1000.0",
          reason=BROKEN)
    check(find(reasons, route="plain", status="500"), outcome="failed", reason="answered by the VM")
    assert len(reasons) == 8, reasons
    check(find(t["Calls not served, by second and reason"], second="13 s"), status=404)


def check_work(t):
    vms = t["Work of the VMs"]
    # Times of 2, 3 and 2 s have the geometric mean 2 * 1.5 ** (1/3) s. Of v1, with 2 and 3 s,
    # it is 1.5 ** (1/6) times that, so the shares by speed are 1 to 1.5 ** (1/2).
    check(find(vms, VM="v1"), service="llm", domain="a-hall", present_s=4.0, calls=32,
          of_share=133.3, of_speed_share=148.3, tokens_of_share="160.0", time="107.0", samples=2,
          first_byte="200.0")
    check(find(vms, VM="v2"), calls=16, of_share=66.7, of_speed_share=60.5, time=87.4,
          first_byte="-")
    check(find(vms, VM="p1"), calls=16, of_share="100.0", tokens_of_share="-")
    slots = t["Slots held by route"]
    # 16 * (2 + 2 + 3) s of the logged successes, 1 + 1 + 0.5 s of the others, in 4 s.
    check(find(slots, route="long"), service="llm", kind="engine", mean=28.6, mean_of_a_VM=14.3,
          most_in_a_step="48.0")
    check(find(slots, route="plain"), service="slots", kind="plain", mean="1.0")


def check_quota(t):
    quota = t["Refused by quota"]
    # Units admitted: 52 calls of 1000 on the route long, 16 of 200 on the route plain.
    row = find(quota, route="long")
    assert (row["class"], row["offered"], row["refused"], row["refused %"], row["share_pct"],
            row["class_share_pct"], row["units"], row["part %"]) == (
                "3", "53", "1", "1.9", "50.0", "25.0", "1000.0", "94.2"), row
    row = find(quota, route="plain")
    assert (row["class"], row["offered"], row["share_pct"], row["part %"]) == (
        "0", "17", "60.0", "5.8"), row


def answer_by_path(worker, req, conn):
    """Injects the fault that the first part of the request's path names."""
    if req.target.startswith("/bad/"):
        conn.sendall(worker.head(req, 500, b"Content-Length: 4\r\n") + b"oops")
        return True
    if req.target.startswith("/cut/"):
        conn.sendall(worker.head(req, framing=b"Content-Length: 100\r\n") + b"begun")
        return False
    if req.target.startswith("/late/"):
        time.sleep(0.06)
    return None


def deployment():
    """Starts two nodes before a plain VM and an engine that pauses for 50 ms before each event."""
    d = Hosted(nodes=2, zones=("a-hall", "b-hall")).start()
    d.add_worker("slots", zone="b-hall").fault = answer_by_path
    d.add_worker("llm", events=3, zone="a-hall", slots=32).gap_s = 0.05
    once = dict(kind="non_idempotent", maxAttempts=1)
    d.configure(
        [d.route("ok", "slots", sloMs=2000, **once), d.route("late", "slots", sloMs=20, **once),
         d.route("bad", "slots", **once), d.route("cut", "slots", **once),
         d.route("gap", "llm", "streaming", sloMs=2000, itlTargetMs=20)],
        services=["slots", dict(name="llm", healthPath="/healthz", maxConns=200, protocol="h1",
                                tls=False, engine={"slots": 32, "kvCapacity": 100000})],
        tenants=[{"name": name, "apiKeys": [key], "unit": "token_stream", "plainTokens": 1,
                  "ratePerS": rate, "burst": rate}
                 for name, key, rate in (("clinic", "key-1", 0), ("small", "key-2", 100))])
    d.wait_ready()
    return d


def ask(d, path, count, **kw):
    """Sends calls to both nodes in turn and returns their answers."""
    return [d.call("/%s/x" % path, node=n % 2, ident="%s-%d" % (path, n), **kw)
            for n in range(count)]


def call_ends(d):
    return [e for n in d.nodes for e in n.events() if e["event"] == "call.end"]


def test_logs_of_real_processes():
    """Guards against a field that nodes do not log, or log with another meaning than the tool
    reads it with: figures are compared with what callers saw."""
    with deployment() as d:
        # Enough calls for some of each kind to be in the sample; the ids are the same each run.
        ask(d, "ok", 96), ask(d, "late", 48), ask(d, "gap", 48)
        bad, cut = ask(d, "bad", 4), ask(d, "cut", 3)
        big = [("Rillknot-Token-Usage", "3000,100")]
        small = [d.call("/gap/x", key="key-2", ident="small-%d" % n, headers=big)
                 for n in range(3)]
        none = d.call("/none/x")
        not_sampled = len(bad) + len(cut) + len(small)
        wait_until(lambda: sum(not (0 < e["status"] < 400 and not e["why"])
                               for e in call_ends(d)) >= not_sampled)
        ends = call_ends(d)
        vms = {w.service: (w.id, w.zone) for w in d.workers}
        summary, t = run_tool(*[n.log for n in d.nodes])
    assert [a.status for a in bad + small + [none]] == [500] * 4 + [429] * 3 + [404]
    assert not any(a.whole for a in cut)
    check_ends(ends, vms)
    logged = {r: SAMPLE * sum(e["route"] == r and e["status"] == 200 and not e["why"]
                              for e in ends) for r in ("ok", "late", "gap")}
    assert all(logged.values()), logged
    routes = t["Calls by route"]
    check(find(routes, route="ok"), offered=logged["ok"], in_time=logged["ok"])
    check(find(routes, route="late"), offered=logged["late"], late_first=logged["late"])
    check(find(routes, route="gap"), offered=logged["gap"] + 3, late_pause=logged["gap"], refused=3)
    check(find(routes, route="bad"), offered=4, failed=4)
    check(find(routes, route="cut"), offered=3, broken_off=3)
    check(find(routes, route="-"), offered=1, refused=1)
    check(find(t["Calls by organisation"], organisation="small"), offered=3, refused=3)
    check(find(t["Calls not served, by route and reason"], route="gap"), status=429, reason=QUOTA)
    check(find(t["Refused by quota"], organisation="small"), route="gap", refused=3, units="3100.0")
    check(find(t["Slots held by route"], route="gap"), service="llm")
    assert "without vm" not in summary
    return "%s calls estimated, 96, 48 and 48 sent" % [logged[r] for r in ("ok", "late", "gap")]


def check_ends(ends, vms):
    """Checks the fields of call.end from which the tool gets VM, organisation and targets."""
    for e in ends:
        service = "llm" if e["route"] == "gap" else "slots"
        vm = vms[service] if e["attempts"] else ("", "")
        assert (e["vm"], e["domain"]) == vm, e
        assert e["organisation"] == ("small" if e["status"] == 429 else "clinic"), e
        targets = {"ok": (2000, 0), "late": (20, 0), "gap": (2000, 20)}.get(e["route"], (500, 0))
        assert (e["target_ms"], e["target_gap_ms"]) == targets, e
