"""Machines are added whose names share their first 30 bytes with others: two leaders."""
import collections
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment import (BOUNDS, DRAIN_S, LLM, PLAIN, PROMPT, Client, Deployment,  # noqa: E402
                        Record, services)
import hosted  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The platform names a machine by its class, its zone and a number.
LONG_ZONES = ("klein-hall-windhoek-central-hospital", "eros-hall-windhoek-private-hospital",
              "olympia-hall-katutura-state-hospital")
LEASE_S = BOUNDS["leaseMs"] / 1000
BOOT_S = 4.0
CALM_S, ADDED_S = 15, 40  # before and after machines are added

record = Record(os.path.join(HERE, "record.txt"))
stopping = threading.Event()


class Platform(hosted.Cloud):
    """The platform's API: checks fences, and carries out the orders that it takes."""

    def __init__(self):
        self.taken = []  # (time, duty, subject, holder, fence) of calls that were taken
        self.d = None
        self.order_lock = threading.Lock()
        super().__init__()

    def handle(self, req, conn):
        body = json.loads(req.body)
        fence, holder = int(req.get("Rillknot-Fencing-Token")), req.get("Rillknot-Duty-Holder")
        usage = req.target == "/usage"
        subject = "usage" if usage else (body["service"], body["zone"])
        with self.order_lock:
            stale = fence < self.highest_fence.get(subject, 0)
            record("call    %s by %s, fence %d: %s%s", req.target, holder, fence,
                   json.dumps(body), ", refused" if stale else "")
            if not stale:
                self.taken.append((time.monotonic(), req.target, subject, holder, fence))
            more = super().handle(req, conn)
        if not stale and not usage:
            threading.Thread(target=self.carry_out, args=(body,), daemon=True).start()
        return more

    def carry_out(self, body):
        spot, zone = bool(body.get("spot")), body["zone"]
        held = [w for w in self.d.workers if w.service == body["service"] and w.zone == zone
                and w.spot == spot and not w.going]
        for w in held[body["desiredCount"]:]:
            w.going = True
            self.d.drain(w)
            threading.Thread(target=self.end, args=(w,), daemon=True).start()
        if len(held) < body["desiredCount"]:
            time.sleep(BOOT_S)
            held = [w for w in self.d.workers if w.service == body["service"]
                    and w.zone == zone and w.spot == spot and not w.going]
            for _ in range(body["desiredCount"] - len(held)):
                add_engine(self.d, zone, spot)

    def end(self, worker):
        time.sleep(DRAIN_S + 0.5)
        try:
            worker.stop_at_once()
        except OSError:
            return
        self.d.store.drop("servers", worker.id)


def add_engine(d, zone, spot=False):
    w = d.add_worker(LLM, events=20, zone=zone, slots=128, spot=spot)
    w.gap_s, w.going = 0.02, False
    return w


def replace(d):
    """The platform replaces three engines of a zone, one a second; a new one starts first."""
    by_zone = collections.defaultdict(list)
    for w in d.workers:
        if w.service == LLM and not w.going:
            by_zone[w.zone].append(w)
    for w in max(by_zone.values(), key=len)[:3]:
        new = add_engine(d, w.zone, w.spot)
        record("engine  %s takes the place of %s in %s", new.id, w.id, w.zone)
        time.sleep(0.3)
        w.going = True
        d.drain(w)
        threading.Thread(target=d.cloud.end, args=(w,), daemon=True).start()
        time.sleep(0.7)


def chats(d, node):
    """A client that sends about one chat a second."""
    client, n = Client(d, node), 0
    while not stopping.is_set():
        n += 1
        try:
            client.send("POST", "/lohu930/2f", "d%02d%013x" % (node, n), 15000, b"y" * 1400,
                        PROMPT)
        except OSError:
            pass
        time.sleep(1)


def scaled_services():
    llm, plain = services()
    llm["scaling"] = {"min": 1, "max": 6, "bootS": BOOT_S, "spotPrice": 0.22,
                      "zonePrices": dict(zip(LONG_ZONES, (0.85, 1.2, 1.0)))}
    return [llm, plain]


def returns(calls):
    """Return the triples of calls for one subject by the holders A, B, A within leaseMs."""
    found, by_subject = [], collections.defaultdict(list)
    for call in calls:
        by_subject[call[2]].append(call)
    for of_subject in by_subject.values():
        for i, a in enumerate(of_subject):
            other = None
            for b in of_subject[i + 1:]:
                if b[0] - a[0] > LEASE_S:
                    break
                if b[3] != a[3]:
                    other = other or b
                elif other:
                    found.append((a, other, b))
                    break
    return found


def play(d):
    for _ in LONG_ZONES:
        d.add_node()
    for i in range(9):
        add_engine(d, LONG_ZONES[i % 3])
    for zone in LONG_ZONES:
        d.add_worker(PLAIN, zone=zone, slots=6).going = False
    d.settings(services=scaled_services())
    d.wait_ready()
    for i in range(3):
        threading.Thread(target=chats, args=(d, i), daemon=True).start()
    time.sleep(CALM_S)
    if TROUBLE:
        for _ in LONG_ZONES:
            d.add_node(first_start=False)
    for _ in range(4):
        time.sleep(ADDED_S / 4)
        replace(d)


def main():
    d = Deployment(record, LONG_ZONES)
    d.cloud.close()
    d.cloud = Platform()
    d.cloud.d = d
    try:
        play(d)
        alive = all(n.popen.poll() is None for n in d.nodes)
    except Exception as e:  # the case couldn't run
        record("failed  %r", e)
        print("couldn't run: %r" % e)
        return 2
    finally:
        stopping.set()
        d.finish()
    if not alive:
        print("couldn't run: a node has ended")
        return 2
    leaders = collections.Counter()
    for node in d.nodes:
        leaders[node.name] = sum(e.get("event") == "lease.taken" for e in node.events())
        record("leader  %s took the lease %d times", node.name, leaders[node.name])
    usage = sum(c[1] == "/usage" for c in d.cloud.taken)
    found = returns(d.cloud.taken)
    for a, b, c in found:
        record("A, B, A %s: %s, %s, %s within %.2f s, fences %d, %d, %d", a[2], a[3], b[3],
               c[3], c[0] - a[0], a[4], b[4], c[4])
    text = ("holders acted in the order A, B, A within leaseMs %d times; the lease was taken "
            "%d times; %d usage reports" % (len(found), sum(leaders.values()), usage))
    record("result  %s", text)
    print(text)
    return 1 if found else 0


code = main()
sys.stdout.flush()
os._exit(code)
