#!/usr/bin/env python3
"""make bench: what measurement says of the routing, of a node's cost, and of the
size of two years, as ratios in one run. Sections by name: routing, overhead,
reclaim, plan, slopes, gossip."""
import concurrent.futures
import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import Cluster, get_json, metrics  # noqa: E402

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
POLICIES = ["adaptive", "round-robin", "least-loaded", "sticky"]
# The bench of ../docs/DESIGN.md: 8 engines, 20 ms + 0.2 ms an uncached token,
# 15 ms a token, 4 at once, 16k tokens of cache.
PATTERNS = {
    "16 tenants": ["-p", "tenants", "-n", "320", "-c", "8"],
    "one hot tenant": ["-p", "hot", "-n", "200", "-c", "24"],
    "mix": ["-p", "mix", "-n", "320", "-c", "16"],
}


def load(c, entries, args, record=None):
    cmd = [c.bin("rillknot-load"), *args]
    for e in entries:
        cmd += ["-t", "127.0.0.1:%d" % e.port]
    if record:
        cmd += ["-o", record]
    out = subprocess.run(cmd, stdout=subprocess.PIPE, check=False).stdout
    return json.loads(out)


def engines_total(c):
    total = {}
    for m in c.engines:
        if m.popen.poll() is None:
            for k, v in get_json(m.port, "/_runs").items():
                total[k] = total.get(k, 0) + v
    return total


def one_routing(policy, args, entries=1, reclaim=0):
    with Cluster(build=BUILD, domains=["klein-hall"], entries=entries, engines=8,
                 services=0, entry_args=["--quiet", "--routing", policy]) as c:
        timer = None
        if reclaim:
            def wave():
                time.sleep(2.0)
                for m in c.engines[:reclaim]:
                    c.reclaim(m.name, in_ms=1500)
                time.sleep(1.6)
                for m in c.engines[:reclaim]:
                    m.kill()
            timer = threading.Thread(target=wave)
            timer.start()
        r = load(c, c.entries, args)
        if timer:
            timer.join()
        t = engines_total(c)
        prompt = t["hit_tokens"] + t["prefill_tokens"]
        r["hits"] = 100.0 * t["hit_tokens"] / max(1, prompt)
        m = [metrics(e.port) for e in c.entries]
        r["recomputed"] = sum(x["recomputed_tokens_total"] for x in m)
        return r


def row(name, policy, r, base):
    print("  %-30s %-13s hits %5.1f%%  first p50 %6.0f  p90 %6.0f ms (x%.2f)  %5.1f req/s"
          " (x%.2f)  recomputed %d%s" % (
              name, policy, r["hits"], r["first_ms"]["p50"], r["first_ms"]["p90"],
              r["first_ms"]["p90"] / max(0.1, base["first_ms"]["p90"]),
              r["requests_per_s"], r["requests_per_s"] / max(0.01, base["requests_per_s"]),
              r["recomputed"],
              "" if r["whole"] == r["requests"] else "  NOT WHOLE: %d" % (
                  r["requests"] - r["whole"])), flush=True)


def routing(entries=1):
    print("routing, %d entry node(s), 8 engines; ratios to our adaptive policy" % entries)
    cases = [(name, args, 0) for name, args in PATTERNS.items()]
    cases.append(("mix, 2 of 8 vms reclaimed", PATTERNS["mix"], 2))
    for name, args, reclaim in cases:
        # The policies side by side, so that the machine's noise is the same for all.
        with concurrent.futures.ThreadPoolExecutor(len(POLICIES)) as pool:
            futures = {p: pool.submit(one_routing, p, args, entries, reclaim)
                       for p in POLICIES}
            got = {p: f.result() for p, f in futures.items()}
        for p in POLICIES:
            row(name, p, got[p], got["adaptive"])


def routing2():
    routing(2)


def cpu_s(p):
    with open("/proc/%d/stat" % p.popen.pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def overhead():
    print("what a node adds to a plain call, over a direct one (same service, same load)")
    with Cluster(build=BUILD, domains=["klein-hall"], entries=1, engines=0,
                 entry_args=["--quiet"], service_args=["--work-ms", "2"]) as c:
        c.put_change(2, {"id": "b", "set": {"/services/slots/vm_slots": 64}})
        c.wait_head(2)
        args = ["-p", "find", "-n", "4000", "-c", "4"]
        tool = c.bin("rillknot-load")
        e, s = c.entries[0], c.services[0]

        def go(target, *extra):
            out = subprocess.run([tool, *args, *extra, "-t", "127.0.0.1:%d" % target],
                                 stdout=subprocess.PIPE, check=False).stdout
            return json.loads(out)
        go(e.port)
        direct = go(s.port, "--direct")
        through = go(e.port)
        d, t = direct["total_ms"], through["total_ms"]
        print("  direct p50 %.2f p99 %.2f ms; through a node p50 %.2f p99 %.2f ms: adds "
              "%.2f and %.2f ms (x%.2f, x%.2f)" % (
                  d["p50"], d["p99"], t["p50"], t["p99"], t["p50"] - d["p50"],
                  t["p99"] - d["p99"], t["p50"] / d["p50"], t["p99"] / d["p99"]))
        args[3], args[5] = "20000", "32"
        before = cpu_s(e)
        r = go(e.port)
        used = cpu_s(e) - before
        print("  %.0f calls/s with 32 in hand; %.0f calls per second of one core; "
              "%d of %d whole" % (r["requests_per_s"], r["whole"] / used, r["whole"],
                                  r["requests"]))
        before = cpu_s(e)
        time.sleep(5)
        print("  idle: %.2f%% of a core" % ((cpu_s(e) - before) / 5 * 100))


SECTIONS = {"routing": routing, "routing2": routing2, "overhead": overhead}


def main():
    names = sys.argv[2:] or list(SECTIONS)
    for name in names:
        start = time.time()
        SECTIONS[name]()
        print("  (%s took %.0f s)\n" % (name, time.time() - start), flush=True)


if __name__ == "__main__":
    main()
