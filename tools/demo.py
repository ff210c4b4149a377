#!/usr/bin/env python3
"""make demo: runs the hospital's deployment on one machine.

Starts all processes, sends requests through several entry nodes, reclaims a VM under a
running stream, prints each caller's answer, and draws the time line. Ends all processes
that it started. The exit code is 0 only if every answer was complete and every booking
ran once.
"""
import glob
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import Cluster, call, chat  # noqa: E402


def print_answer(caller, node, a, extra=""):
    """Print an answer; return whether it is complete."""
    state = "whole" if a.whole() else "NOT WHOLE"
    print("  %-34s via %-16s %3d %-9s verdict %-12s %s" %
          (caller, node, a.status, state, a.verdict or "(stream)", extra))
    return a.whole()


def hosted_demo(build):
    """Run rillknot-node on a stand-in for the hosting platform; return whether all is well.

    The settings files of the processes come from the template in deploy/, the settings
    and the VMs from the platform's store.
    """
    from hosted import Hosted, wait_until
    print("\non the users' platform: store, cloud, 3 nodes in 3 failure domains")
    zones = ("klein-hall", "eros-hall", "olympia-hall")
    with Hosted(nodes=3, zones=zones, build=build) as d:
        for zone in zones:
            d.add_worker("slots", zone=zone)
            d.add_worker("draft", events=8, zone=zone, slots=32)
        d.configure([d.route("confirm", "slots", "non_idempotent", maxAttempts=1),
                     d.route("chat", "draft", "streaming", resumable=True)],
                    services=["slots", "draft"])
        d.wait_ready()
        ok = True
        for n, target in ((0, "/confirm/17"), (1, "/chat/visits"), (2, "/confirm/18")):
            a = d.call(target, node=n)
            ran = d.runs(a.ident)
            print("  %-34s via %-18s %3d %-9s ran %d" % (
                target, d.nodes[n].name, a.status, "whole" if a.whole else "NOT WHOLE", ran))
            ok &= a.whole and a.status == 200 and ran == 1
        wait_until(lambda: d.cloud.usage, 30)
        window, counts, leader, fence = d.cloud.usage[-1]
        print("  usage of window %d: %s, reported by %s under token %d" %
              (window, counts, leader, fence))
    return ok


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    started = time.time()
    ok = True
    print("starting the platform, 9 engines, 3 slot services, 6 entry nodes, 6 keepers")
    with Cluster(build=build, entries=2, engines=3, services=1, keepers=True,
                 keep_logs=True) as c:
        print("ready after %.1f s; logs in %s" % (time.time() - started, c.dir))
        nodes = c.entries
        print("\nrequests through several nodes:")
        ok &= print_answer("clinic: referral summary (stream)", nodes[0].name,
                           chat(nodes[0].port, "Summarise this referral for the specialist. " * 40,
                                max_tokens=24))
        ok &= print_answer("patient: visiting hours", nodes[4].name,
                           chat(nodes[4].port, "When may I visit?", stream=False))
        ok &= print_answer("call centre: confirm slot 17", nodes[1].name,
                           call(nodes[1].port, "slots/confirm", "booking-17", b'{"slot":17}'))
        ok &= print_answer("the same key at another node", nodes[5].name,
                           call(nodes[5].port, "slots/confirm", "booking-17", b'{"slot":17}'),
                           "(answered from the first run)")
        ok &= print_answer("clinic: release slot 4", nodes[2].name,
                           call(nodes[2].port, "slots/release", "release-4", b'{"slot":4}'))

        print("\na VM is reclaimed under a running stream:")
        prompt = "Rewrite this rescheduling notice kindly. " * 60
        reference = chat(nodes[3].port, prompt, max_tokens=120).text()
        result = {}
        first_data = threading.Event()
        t = threading.Thread(target=lambda: result.update(
            a=chat(nodes[0].port, prompt, max_tokens=120, on_data=lambda _: first_data.set())))
        t.start()
        first_data.wait(30)
        starts = [e for e in nodes[0].events() if e.get("event") == "attempt.start"]
        busy = starts[-1]["at"]
        c.reclaim(busy, in_ms=600)
        print("  notice: %s is reclaimed in 0.6 s" % busy)
        time.sleep(0.6)
        c.proc(busy).kill()
        t.join()
        a = result["a"]
        ok &= print_answer("clinic: rescheduling notice", nodes[0].name, a)
        identical = a.text() == reference
        print("  the moved answer equals the uninterrupted one byte for byte: %s" % identical)
        ok &= identical
        runs = c.runs()
        print("\nruns counted by the slot services: %s" % runs)
        ok &= runs == {"booking-17": 1, "release-4": 1}
        for p in c.keepers + c.entries:
            p.stop()
        logs = sorted(glob.glob(os.path.join(c.dir, "*-e*.log")))
        html = os.path.join(c.dir, "timeline.html")
        tool = c.bin("rillknot-timeline")
        ok &= subprocess.call([tool, "--html", html, *logs]) == 0
        print("\ntime line (picture: %s), the moved request:" % html)
        request_id = a.headers["rillknot-request-id"]
        sys.stdout.flush()
        ok &= subprocess.call([tool, "--request", request_id, *logs]) == 0
    ok &= hosted_demo(build)
    print("\n%s in %.1f s" % ("all answers whole" if ok else "FAILED",
                              time.time() - started))
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
