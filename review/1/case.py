"""A run goes back to a leaving engine whose entry has lapsed: the node crashes."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment import (BEAT_S, DRAIN_S, LLM, PLAIN, PROMPT, ZONES, Client,  # noqa: E402
                        Deployment, Record, events_of)
from hosted import wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 100  # of the whole run, without its end
ROUNDS = 10
EVENTS, GAP_S = 160, 0.05  # of a chat; the pages allow pauses of 500 ms
SERVES_ON_S = 7.0  # a leaving engine ends that long after its notice
CLIENTS = 10  # of plain calls, each with a kept connection to node 1
CUT_S = 5.0  # a worker is partitioned from the store for so long

record = Record(os.path.join(HERE, "record.txt"))
lost = []  # ids of requests of LOST: passed on, kept connection, closed without an answer
stopping = threading.Event()


class Plain(threading.Thread):
    """A client that confirms slots, one after the other, on a kept connection."""

    def __init__(self, d, number):
        super().__init__(daemon=True)
        self.d, self.number = d, number
        self.start()

    def run(self):
        client, n = Client(self.d), 0
        while not stopping.is_set():
            n += 1
            ident = "c%02d%013x" % (self.number, n)
            try:
                answer, kept = client.send("POST", "/puxa403/2f", ident, 600, b"x" * 600)
            except OSError:
                time.sleep(0.1)
                continue
            ran = self.d.runs(ident)
            if answer.status != 200 or not answer.whole:
                record("plain   %s answered %d%s, ran %d times, kept connection %s", ident,
                       answer.status, "" if answer.whole else " (cut)", ran, kept)
            if not answer.status and kept and ran and not stopping.is_set():
                lost.append(ident)
            time.sleep(0.02)


def chat(d, ident):
    answer, _ = Client(d).send("POST", "/lohu930/2f", ident, 15000, b"y" * 1400, PROMPT)
    record("chat    %s answered %d%s with %d events", ident, answer.status,
           "" if answer.whole else " (cut)", len(events_of(answer.body)))


def begin_chat(d, ident):
    record("chat    %s sent to node 1", ident)
    thread = threading.Thread(target=chat, args=(d, ident), daemon=True)
    thread.start()
    return thread


def add_engine(d, zone):
    w = d.add_worker(LLM, events=EVENTS, zone=zone, slots=128)
    w.gap_s, w.move_fault = GAP_S, "full"
    return w


def leave(d, w, serves_on_s):
    """Ahead of a planned end: say draining, serve on, end; the entry goes with the end."""
    d.drain(w)

    def end():
        time.sleep(serves_on_s)
        try:
            w.stop_at_once()
        except OSError:
            return  # the case is over
        d.store.drop("servers", w.id)
    threading.Thread(target=end, daemon=True).start()


def replace_engines(d, count):
    """The platform replaces engines one after the other; a new one starts first."""
    for w in [w for w in d.workers if w.service == LLM and not w.stopped][:count]:
        add_engine(d, w.zone)
        leave(d, w, DRAIN_S + 0.3)
        time.sleep(0.3)
    time.sleep(DRAIN_S + 0.5)


def play_round(d, number):
    """One engine leaves while it runs a chat; with TROUBLE it loses the store meanwhile."""
    ident = "a%015x" % number
    thread = begin_chat(d, ident)
    wait_until(lambda: any(ident in w.stops for w in d.workers), 10)
    engine = next(w for w in d.workers if ident in w.stops)
    time.sleep(0.4)
    record("engine  %s runs it and says draining", engine.id)
    add_engine(d, engine.zone)
    leave(d, engine, SERVES_ON_S)
    started = time.monotonic()
    if TROUBLE:
        record("engine  %s is partitioned from the store for %.0f s", engine.id, CUT_S)

        def lapse():
            time.sleep(3 * BEAT_S)
            d.store.drop("servers", engine.id)
            record("store   %s: three silent heartbeats, its entry goes", engine.id)
        threading.Thread(target=lapse, daemon=True).start()
    for i, at_s in enumerate((0.6, 1.4, 2.2, 4.2)):
        time.sleep(max(0.0, started + at_s - time.monotonic()))
        begin_chat(d, "b%012x%03x" % (number, i))
    thread.join(12)
    record("engine  %s moved %s; asked again with Kv-From: %s", engine.id, engine.moved,
           [r.get("Rillknot-Expect-Instance") for w in d.workers for r in w.seen
            if r.get("Rillknot-Attempt-Id") == ident and r.get("Kv-From")])
    node = d.nodes[0]
    if node.popen.poll() is not None:
        record("node    %s has ended by itself: %d", node.name, node.popen.returncode)
        time.sleep(0.5)
        d.start_again(0)
        d.wait_ready()
        replace_engines(d, 9)
        return True
    return False


def play(d):
    for _ in range(3):
        d.add_node()
    for i in range(9):
        add_engine(d, ZONES[i % 3])
    for zone in ZONES:
        d.add_worker(PLAIN, zone=zone, slots=6).work_s = 0.1
    d.settings()
    d.wait_ready()
    d.term(0)
    d.start_again(0)
    d.wait_ready()
    replace_engines(d, 9)
    replace_engines(d, 6)
    for i in range(CLIENTS):
        Plain(d, i)
    time.sleep(1)
    ends = 0
    for number in range(1, ROUNDS + 1):
        if time.monotonic() - record.start > LIMIT_S - 12 or len(lost) > 3:
            break
        ends += play_round(d, number)
    return ends


def main():
    d = Deployment(record)
    try:
        ends = play(d)
    except Exception as e:  # the case couldn't run
        record("failed  %r", e)
        print("couldn't run: %r" % e)
        return 2
    finally:
        stopping.set()
        d.finish()
    text = ("node 1 ended by itself %d times; %d requests on kept connections were passed on "
            "to sound workers and lost" % (ends, len(lost)))
    record("result  %s", text)
    print(text)
    return 1 if len(lost) > 3 else 0


code = main()
sys.stdout.flush()
os._exit(code)
