"""A faulty worker sends an answer a second time, late: one by which it had shed a request."""
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
import rig  # noqa: E402

CLIENTS, FOR_S = 40, 5.0
SLOTS, WORK_MS, TIMEOUT_MS = 6, 50, 600
SURPLUS = 34  # one answer of so many is sent a second time: 0.029 of them
PROMISES = (408, 421, 429, 503)  # it has not run and never will


def play(record):
    with rig.Deployment(nodes=2) as d:
        options = {"slots": SLOTS, "first_ms": WORK_MS, "shed_id": False}
        workers = [d.worker("slot-api", surplus=SURPLUS if rig.trouble() else 0, **options),
                   d.worker("slot-api", **options)]
        d.configure([d.route("confirm", "slot-api", "non_idempotent", TIMEOUT_MS, maxAttempts=1)],
                    [d.service("slot-api", maxConns=96)])
        d.start()
        tries = []  # (booking, request id, Answer)
        end = time.monotonic() + FOR_S

        def client(number):
            rnd, s = random.Random(number), None
            for count in range(10000):
                if time.monotonic() > end:
                    return
                for _ in range(2):  # a client repeats once, and only after a promise
                    ident, a = rig.new_id(), rig.Answer()
                    try:
                        s = s or rig.connect(d.nodes[number % 2], 3)
                        s.sendall(rig.request_bytes("/confirm/2f", ident, TIMEOUT_MS, body=b"book"))
                        rig.read_answer(s, a)
                    except OSError as e:
                        a.error = str(e)
                    tries.append(("%d.%d" % (number, count), ident, a))
                    if s and (not a.whole or a.headers.get("connection") == "close"):
                        s.close()
                        s = None
                    if a.status not in PROMISES:
                        break
                    time.sleep(float(a.headers.get("retry-after", 0.1)))
                time.sleep(rnd.random() * 0.06)

        threads = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        events = sorted(e + (w.id,) for w in workers for e in w.events())
        ran = {ident: w for _, what, ident, w in events if what == "begins"}
        bookings = {}
        for booking, ident, _ in tries:
            bookings.setdefault(booking, []).append(ident)
        broken = 0
        for booking, ident, a in tries:
            refused_though_run = a.status in PROMISES and ident in ran
            broken += refused_though_run
            record.line("booking %s, request %s: %d%s%s" % (
                booking, ident, a.status, ", run by %s" % ran[ident] if ident in ran else ", not run",
                "  <- the promise was false" if refused_though_run else ""), a.started)
        for at, what, ident, w in events:
            record.line("worker %s %s %s" % (w, what, ident), at)
        twice = [b for b, idents in bookings.items() if sum(i in ran for i in idents) > 1]
        record.line("%d requests, %d run; %d times an answer came a second time; %d promises were "
                    "false; bookings run twice: %s" % (
                        len(tries), len(ran), sum(e[1] == "repeats" for e in events), broken, twice))
        return broken > 0


rig.main(play, __file__)
