"""An engine crashes under streams without a length: callers get them as complete."""
import collections
import os
import random
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment import (BEAT_S, LLM, PROMPT, ROOT, ZONES, Client, Deployment, Record,  # noqa: E402
                        events_of)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS, GAP_S = 100, 0.025  # of a chat
# For 5 s at a time, so many in a hundred answers of half the engines carry no length.
PERCENT, SHARE, UNFRAMED_S = 5, 0.5, 5
CLIENTS, ROUNDS, DOWN_S = 48, 6, 4

record = Record(os.path.join(HERE, "record.txt"))
stopping = threading.Event()
answers, lock = {}, threading.Lock()


class EngineProcess:
    """An engine's process, and what it has written."""

    def __init__(self, d, number):
        self.d, self.id, self.zone = d, "i-%010x" % number, ZONES[number % 3]
        args = [sys.executable, os.path.join(ROOT, "review", "engine.py"), self.id, self.zone,
                str(EVENTS), str(GAP_S)]
        self.popen = subprocess.Popen(args, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                                      text=True)
        self.running = {}  # framing of the streams that it runs
        self.addr = self.popen.stdout.readline().split()[1]
        threading.Thread(target=self.read, daemon=True).start()
        d.store.put("servers", self.id, {
            "service": LLM, "address": self.addr, "zone": self.zone, "version": "v1",
            "slots": 128, "state": "ready", "coldLeftMs": 0, "seqNo": 1})

    def read(self):
        for line in self.popen.stdout:
            words = line.split()
            if words[0] == "begin":
                self.running[words[1]] = words[3]
                record("engine  %s begins %s after event %s, framing %s", self.id, words[1],
                       words[2], words[3])
            else:
                self.running.pop(words[1], None)
                record("engine  %s has sent all of %s", self.id, words[1])

    def set_unframed(self, percent):
        self.popen.stdin.write("%d\n" % percent)
        self.popen.stdin.flush()

    def kill(self):
        """Crash: SIGKILL. The entry goes after three silent heartbeats."""
        self.popen.kill()
        self.popen.wait()
        record("engine  %s is killed while it runs %s", self.id, " ".join(
            "%s (%s)" % item for item in self.running.items()))
        threading.Timer(3 * BEAT_S, self.d.store.drop, ("servers", self.id)).start()


def chats(d, number):
    rng = random.Random(number)
    client = Client(d, number % 3)
    while not stopping.is_set():
        ident = "%016x" % rng.getrandbits(64)
        try:
            answer, _ = client.send("POST", "/lohu930/2f", ident, 15000, b"y" * 1400, PROMPT)
        except OSError:
            time.sleep(0.1)
            continue
        got = events_of(answer.body)
        record("chat    %s answered %d, %s, %d events", ident, answer.status,
               "complete" if answer.whole else "cut", len(got))
        with lock:
            answers[ident] = (answer, got)
        time.sleep(rng.random())


def crash_one(engines):
    """Kill an engine that runs a stream without a length; return whether there was one."""
    for engine in engines:
        if "close" in list(engine.running.values()):
            time.sleep(0.5)
            engines.remove(engine)
            engine.kill()
            return True
    return False


def play_round(d, engines, numbers):
    """Half the engines answer some streams without a length; with TROUBLE one crashes."""
    some = engines[:int(len(engines) * SHARE)]
    record("engines %s answer %d in 100 streams without a length for %d s",
           " ".join(e.id for e in some), PERCENT, UNFRAMED_S)
    for engine in some:
        engine.set_unframed(PERCENT)
    end, crashed = time.monotonic() + UNFRAMED_S, False
    while time.monotonic() < end:
        if TROUBLE and not crashed:
            crashed = crash_one(engines)
        time.sleep(0.02)
    for engine in engines:
        engine.set_unframed(0)
    if crashed:
        time.sleep(DOWN_S - 1)
        engines.append(EngineProcess(d, next(numbers)))
    time.sleep(1)


def play(d, engines):
    numbers = iter(range(1, 1000))
    for _ in range(3):
        d.add_node()
    for _ in range(9):
        engines.append(EngineProcess(d, next(numbers)))
    d.settings()
    d.wait_ready()
    for i in range(CLIENTS):
        threading.Thread(target=chats, args=(d, i), daemon=True).start()
    time.sleep(3)
    for _ in range(ROUNDS):
        play_round(d, engines, numbers)
    stopping.set()
    time.sleep(EVENTS * GAP_S + 2)


def main():
    d, engines = Deployment(record), []
    try:
        play(d, engines)
    except Exception as e:  # the case couldn't run
        record("failed  %r", e)
        print("couldn't run: %r" % e)
        return 2
    finally:
        stopping.set()
        for engine in engines:
            engine.popen.kill()
        d.finish()
    wrong, kinds = [], collections.Counter()
    for ident, (answer, got) in answers.items():
        complete = answer.status == 200 and answer.whole
        kinds["complete" if complete else "cut" if answer.status == 200 else answer.status] += 1
        if complete and got != list(range(1, EVENTS + 1)):
            wrong.append(ident)
            record("wrong   %s ended as complete, with events %s to %s of %d", ident,
                   got[0] if got else "-", got[-1] if got else "-", EVENTS)
    text = "%d of %d chats ended as complete before their last event; all: %s" % (
        len(wrong), len(answers), dict(kinds))
    record("result  %s", text)
    print(text)
    return 1 if wrong else 0


code = main()
sys.stdout.flush()
os._exit(code)
