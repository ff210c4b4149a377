#!/usr/bin/env python3
"""make bench: measures routing policies, the cost of a node, and how costs grow with the
size of the fleet. Compares results as ratios within one run.

    tools/bench.py [BUILD [SECTION...]]

Sections: routing, routing2, overhead, streams, users, slopes, gossip; all by default.
"""
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
# The workloads of docs/DESIGN.md. Its 8 engines take 20 ms + 0.2 ms per uncached prompt
# token and 15 ms per generated token, run 4 requests at once, and cache 16k tokens.
PATTERNS = {
    "16 tenants": ["-p", "tenants", "-n", "320", "-c", "8"],
    "one hot tenant": ["-p", "hot", "-n", "200", "-c", "24"],
    "mix": ["-p", "mix", "-n", "320", "-c", "16"],
}


def load(c, entries, args, record=None):
    """Run rillknot-load against the entry nodes and return its results."""
    cmd = [c.bin("rillknot-load"), *args]
    for e in entries:
        cmd += ["-t", "127.0.0.1:%d" % e.port]
    if record:
        cmd += ["-o", record]
    out = subprocess.run(cmd, stdout=subprocess.PIPE, check=False).stdout
    return json.loads(out)


def engines_total(c):
    """Return the counters of all running engines, added up."""
    total = {}
    for m in c.engines:
        if m.popen.poll() is None:
            for k, v in get_json(m.port, "/_runs").items():
                total[k] = total.get(k, 0) + v
    return total


def measure_policy(policy, args, entries=1, reclaim=0):
    """Return the load results of one routing policy.

    reclaim is the number of engines that are reclaimed during the load.
    """
    with Cluster(build=BUILD, domains=["klein-hall"], entries=entries, engines=8,
                 services=0, entry_args=["--quiet", "--routing", policy]) as c:
        reclaimer = None
        if reclaim:
            def reclaim_wave():
                time.sleep(2.0)
                for m in c.engines[:reclaim]:
                    c.reclaim(m.name, in_ms=1500)
                time.sleep(1.6)
                for m in c.engines[:reclaim]:
                    m.kill()
            reclaimer = threading.Thread(target=reclaim_wave)
            reclaimer.start()
        r = load(c, c.entries, args)
        if reclaimer:
            reclaimer.join()
        t = engines_total(c)
        prompt = t["hit_tokens"] + t["prefill_tokens"]
        r["hits"] = 100.0 * t["hit_tokens"] / max(1, prompt)
        m = [metrics(e.port) for e in c.entries]
        r["recomputed"] = sum(x["recomputed_tokens_total"] for x in m)
        return r


def print_row(name, policy, r, base):
    print("  %-30s %-13s hits %5.1f%%  first p50 %6.0f  p90 %6.0f ms (x%.2f)  %5.1f req/s"
          " (x%.2f)  recomputed %d%s" % (
              name, policy, r["hits"], r["first_ms"]["p50"], r["first_ms"]["p90"],
              r["first_ms"]["p90"] / max(0.1, base["first_ms"]["p90"]),
              r["requests_per_s"], r["requests_per_s"] / max(0.01, base["requests_per_s"]),
              r["recomputed"],
              "" if r["whole"] == r["requests"] else "  NOT WHOLE: %d" % (
                  r["requests"] - r["whole"])), flush=True)


def routing(entries=1):
    print("routing, %d entry node(s), 8 engines; ratios to the adaptive policy" % entries)
    cases = [(name, args, 0) for name, args in PATTERNS.items()]
    cases.append(("mix, 2 of 8 VMs reclaimed", PATTERNS["mix"], 2))
    for name, args, reclaim in cases:
        # The policies run side by side, so that the load of the machine affects all alike.
        with concurrent.futures.ThreadPoolExecutor(len(POLICIES)) as pool:
            futures = {p: pool.submit(measure_policy, p, args, entries, reclaim)
                       for p in POLICIES}
            results = {p: f.result() for p, f in futures.items()}
        for p in POLICIES:
            print_row(name, p, results[p], results["adaptive"])


def routing2():
    routing(2)


def cpu_s(p):
    """Return the CPU time that the process has used, in seconds."""
    with open("/proc/%d/stat" % p.popen.pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def overhead():
    """Compare calls through a node with direct calls of the same service."""
    print("latency that a node adds to a plain call, compared with a direct one (same service, "
          "same load)")
    with Cluster(build=BUILD, domains=["klein-hall"], entries=1, engines=0,
                 entry_args=["--quiet"], service_args=["--work-ms", "2"]) as c:
        c.put_change(2, {"id": "b", "set": {"/services/slots/vm_slots": 64}})
        c.wait_head(2)
        args = ["-p", "find", "-n", "4000", "-c", "4"]
        tool = c.bin("rillknot-load")
        e, s = c.entries[0], c.services[0]

        def run_load(target, *extra):
            out = subprocess.run([tool, *args, *extra, "-t", "127.0.0.1:%d" % target],
                                 stdout=subprocess.PIPE, check=False).stdout
            return json.loads(out)
        run_load(e.port)
        direct = run_load(s.port, "--direct")
        through = run_load(e.port)
        d, t = direct["total_ms"], through["total_ms"]
        print("  direct p50 %.2f p99 %.2f ms; through a node p50 %.2f p99 %.2f ms: adds "
              "%.2f and %.2f ms (x%.2f, x%.2f)" % (
                  d["p50"], d["p99"], t["p50"], t["p99"], t["p50"] - d["p50"],
                  t["p99"] - d["p99"], t["p50"] / d["p50"], t["p99"] / d["p99"]))
        args[3], args[5] = "20000", "32"
        before = cpu_s(e)
        r = run_load(e.port)
        cpu_used_s = cpu_s(e) - before
        print("  %.0f calls/s with 32 in flight; %.0f calls per second of one core; "
              "%d of %d whole" % (r["requests_per_s"], r["whole"] / cpu_used_s, r["whole"],
                                  r["requests"]))
        before = cpu_s(e)
        time.sleep(5)
        print("  idle: %.2f%% of a core" % ((cpu_s(e) - before) / 5 * 100))


def streams():
    """Measure how many tokens one node can pass on."""
    print("tokens through one node")
    with Cluster(build=BUILD, domains=["klein-hall"], entries=1, engines=4, services=0,
                 entry_args=["--quiet"], engine_args=["--step-ms", "4", "--slots", "16"]) as c:
        c.put_change(2, {"id": "b", "set": {"/services/booking/vm_slots": 16}})
        c.wait_head(2)
        e = c.entries[0]
        args = ["-p", "tenants", "-w", "50", "-k", "300", "-c", "64", "-n", "256"]
        load(c, [e], args)
        before = cpu_s(e)
        r = load(c, [e], args + ["-s", "2"])
        cpu_used_s = cpu_s(e) - before
        tokens = r["tokens_per_s"] * r["seconds"]
        print("  %.0f tokens/s in 64 streams, %.0f tokens per second of one core; first p95 "
              "%.0f ms; between tokens p95 %.1f ms at 4 ms a step; %d of %d whole; %.1f MB "
              "resident" % (r["tokens_per_s"], tokens / cpu_used_s, r["first_ms"]["p95"],
                            r["token_gap_ms"]["p95"], r["whole"], r["requests"],
                            rss_kb(e) / 1000))


def run_tool(name):
    """Run a program of the build and return its output, one JSON object per line."""
    out = subprocess.run([os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                       BUILD, name)], stdout=subprocess.PIPE, check=True)
    return [json.loads(x) for x in out.stdout.splitlines()]


def slopes():
    """Print how the costs of the core grow, as build/slopes measures them."""
    print("slopes: costs of the core alone, in one process")
    rows = run_tool("slopes")
    for r in rows:
        print("  %3d nodes, %d domains, %3d VMs: decision %.2f us (x%.2f); rows %.0f kB"
              " per node; gossip sent %.0f B/s (max %.0f), %.1f us of CPU time per second; a"
              " VM state by gossip alone reaches all in %d rounds (%d with 10%% dead)" % (
                  r["nodes"], r["domains"], r["workers"], r["decision_us"],
                  r["decision_us"] / rows[0]["decision_us"], r["rows_bytes"] / 1000,
                  r["gossip_bytes_s"], r["gossip_bytes_s_most"], r["gossip_cpu_us_s"],
                  r["spread_rounds"], r["spread_rounds_10pct_dead"]))


def rss_kb(p):
    """Return the resident memory of the process, in kB."""
    with open("/proc/%d/status" % p.popen.pid) as f:
        return next(int(x.split()[1]) for x in f if x.startswith("VmRSS"))


def users():
    """Run the workload of each user at a fixed request rate, with two reclaimed engines."""
    print("both users' workloads, open loop, with two engines reclaimed in the middle")
    cases = [("hospital", "etc/hospital.json", "klein-hall", "booking", "slots", "12"),
             ("taxi", "etc/taxi.json", "kadikoy", "dispatch", "rides", "14")]
    for name, settings, domain, engine, plain, rate in cases:
        with Cluster(build=BUILD, settings=settings, domains=[domain], entries=2, engines=6,
                     services=2, engine_service=engine, plain_service=plain,
                     entry_args=["--quiet"]) as c:
            def reclaim_wave(cluster=c):
                time.sleep(8)
                for m in cluster.engines[:2]:
                    cluster.reclaim(m.name, in_ms=2000)
                time.sleep(2.1)
                for m in cluster.engines[:2]:
                    m.kill()
            t = threading.Thread(target=reclaim_wave)
            t.start()
            r = load(c, c.entries, ["-p", name, "-m", engine, "-n", "300", "-r", rate])
            t.join()
            m = [metrics(e.port) for e in c.entries]
            # Prices and hours are those of the engines' VMs, of which two run for 10 s only.
            price = 0.9 if name == "hospital" else 0.8
            vm_hours = (6 * r["seconds"] - 2 * (r["seconds"] - 10)) / 3600
            print("  %-9s %d of %d whole; first p50 %.0f p95 %.0f ms; between tokens p95 %.1f"
                  " ms; %d tokens recomputed in %d resumes; cost per 1000 whole %.3f" % (
                      name, r["whole"], r["requests"], r["first_ms"]["p50"],
                      r["first_ms"]["p95"], r["token_gap_ms"]["p95"],
                      sum(x["recomputed_tokens_total"] for x in m),
                      sum(x["stream_resumes_total"] for x in m),
                      vm_hours * price / max(1, r["whole"]) * 1000))


def gossip():
    """Measure the cost of control traffic between real processes.

    The failure domain grows to the size that is expected in two years; the last case has
    three domains of that size.
    """
    print("control traffic of real processes over 20 s without calls, by nodes and VMs of a "
          "domain")
    for domains, nodes, vms in ((1, 6, 12), (1, 24, 40), (1, 46, 86), (3, 46, 86)):
        names = ["d%d" % i for i in range(domains)]
        with Cluster(build=BUILD, domains=names, entries=nodes, engines=2, services=0,
                     entry_args=["--quiet"]) as c:
            for d in names:
                real = [m for m in c.engines if m.domain == d]
                for i in range(vms - 2):
                    c.list_vm("%s-x%d" % (d, i), real[i % 2].port, d, "booking", "standard")
            c.wait_ready()
            time.sleep(8)
            stats = get_json(c.platform.port, "/_stats")
            before = [(metrics(e.port), cpu_s(e)) for e in c.entries]
            time.sleep(20)
            after = [(metrics(e.port), cpu_s(e)) for e in c.entries]
            stats2 = get_json(c.platform.port, "/_stats")
            sent = sorted((b[0]["peer_bytes_sent_total"] - a[0]["peer_bytes_sent_total"]) / 20
                          for a, b in zip(before, after))
            cpu = sorted((b[1] - a[1]) / 20 * 100 for a, b in zip(before, after))
            rss = sorted(rss_kb(e) for e in c.entries)
            start = time.monotonic()
            c.reclaim(names[0] + "-x1", in_ms=30000)
            same_domain = [e for e in c.entries if e.domain == names[0]]
            while not all(v["state"] != "live" for e in same_domain
                          for v in get_json(e.port, "/status")["vms"]
                          if v["id"] == names[0] + "-x1"):
                pass
            reclaim_ms = (time.monotonic() - start) * 1000
            start = time.monotonic()
            c.put_change(2, {"id": "g", "set": {"/max_calls": 4321}})
            c.wait_head(2)
            change_ms = (time.monotonic() - start) * 1000
            print("  %d x %2d nodes, %2d VMs: sent %.0f B/s per node (max %.0f); %.2f%% of a "
                  "core (max %.2f%%); %.1f MB resident (max %.1f); platform %.1f reads/s; "
                  "reclaim known to all in %.0f ms, settings change in %.0f ms" % (
                      domains, nodes, vms, sum(sent) / len(sent), sent[-1],
                      sum(cpu) / len(cpu), cpu[-1], sum(rss) / len(rss) / 1000,
                      rss[-1] / 1000, (stats2["reads"] - stats["reads"]) / 20, reclaim_ms,
                      change_ms),
                  flush=True)


SECTIONS = {"routing": routing, "routing2": routing2, "overhead": overhead,
            "streams": streams, "users": users,
            "slopes": slopes, "gossip": gossip}


def main():
    names = sys.argv[2:] or list(SECTIONS)
    for name in names:
        start = time.time()
        SECTIONS[name]()
        print("  (%s took %.0f s)\n" % (name, time.time() - start), flush=True)


if __name__ == "__main__":
    main()
