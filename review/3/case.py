"""A drill of the store while all nodes are killed: a usage window is reported twice."""
import collections
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment import LLM, PLAIN, ZONES, Client, Deployment, Record  # noqa: E402
from hosted import wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALM_S, AFTER_S = 12, 22
COPY_AGE_S = 3.0  # of the copy that the store comes back from
AWAY_S = 2.5  # of the store
DOWN_S = 1.0  # of the processes

record = Record(os.path.join(HERE, "record.txt"))
stopping = threading.Event()
sent = collections.Counter()  # requests that were answered 200, by usage window


def calls(d, node):
    client, n = Client(d, node), 0
    while not stopping.is_set():
        n += 1
        try:
            answer, _ = client.send("GET", "/cufi504/fi50/2f", "e%02d%013x" % (node, n), 600)
            if answer.status == 200:
                sent[int(time.time()) // 5] += 1
        except OSError:
            pass
        time.sleep(0.1)


class Copies(threading.Thread):
    """Copies of the store's state over the last seconds."""

    def __init__(self, store):
        super().__init__(daemon=True)
        self.store, self.kept = store, collections.deque(maxlen=100)
        self.start()

    def run(self):
        while not stopping.is_set():
            self.kept.append((time.monotonic(), self.store.copy()))
            time.sleep(0.1)

    def of_age(self, age_s):
        before = time.monotonic() - age_s
        return [copy for at, copy in self.kept if at <= before][-1]


def drill(d, copies):
    """All processes are killed; the store is away meanwhile and returns from a copy."""
    copy = copies.of_age(COPY_AGE_S)
    for node in d.nodes:
        node.popen.kill()
    for node in d.nodes:
        node.popen.wait()
    record("drill   all processes are killed; the store is away for %.1f s, and returns from "
           "a copy %.1f s old", AWAY_S, COPY_AGE_S)
    away = threading.Thread(target=d.store.restore, args=(
        copy, AWAY_S, d.store.write_platform_state_again), daemon=True)
    away.start()
    time.sleep(DOWN_S)
    for i in range(len(d.nodes)):
        d.start_again(i)
    away.join()
    record("drill   the store is back, era %d", d.store.era)


def play(d):
    for _ in ZONES:
        d.add_node()
    for zone in ZONES:
        d.add_worker(LLM, events=8, zone=zone, slots=128)
        d.add_worker(PLAIN, zone=zone, slots=6)
    d.settings()
    d.wait_ready()
    copies = Copies(d.store)
    for i in range(len(ZONES)):
        threading.Thread(target=calls, args=(d, i), daemon=True).start()
    time.sleep(CALM_S)
    reported = len(d.cloud.usage)
    wait_until(lambda: len(d.cloud.usage) > reported, 10)
    time.sleep(1)
    if TROUBLE:
        drill(d, copies)
    time.sleep(AFTER_S)


def main():
    d = Deployment(record)
    try:
        play(d)
    except Exception as e:  # the case couldn't run
        record("failed  %r", e)
        print("couldn't run: %r" % e)
        return 2
    finally:
        stopping.set()
        d.finish()
    counts = collections.defaultdict(list)
    for window, reported, leader, fence in d.cloud.usage:
        record("usage   window %d, %s by %s, fence %d; answered 200 in it: %d", window,
               reported, leader, fence, sent[window])
        counts[window].append(reported)
    differ = [w for w, each in counts.items() if any(c != each[0] for c in each)]
    for window in differ:
        record("differ  window %d: %s", window, counts[window])
    text = "%d of %d windows were reported with differing counts" % (len(differ), len(counts))
    record("result  %s", text)
    print(text)
    return 1 if differ else 0


code = main()
sys.stdout.flush()
os._exit(code)
