"""A fleet for tests of what VMs say of themselves: engines that answer a few calls a
second each, callers of all nodes who ask all the time."""
import itertools
import threading
import time

from hosted import Hosted, wait_until

ZONES = ("a-hall", "b-hall", "c-hall")
# Prompts of a few kinds: each has VMs that calls for it go to first.
PROMPTS = [("Rillknot-Prompt-Prefix", "%04x:2000,%04x:300" % (kind, 100 + kind))
           for kind in range(4)]
TOKENS = ("Rillknot-Token-Usage", "2300,20")


class Fleet:
    def __init__(self, nodes=8, workers=9, events=3, kind="streaming", **kw):
        self.stop = threading.Event()
        self.answers = []  # (when it was sent, node, answer)
        self.askers = []
        self.d = Hosted(nodes=nodes, zones=ZONES, **kw).start()
        engine = {"engine": {"slots": 32, "kvCapacity": 100000}} if events else {}
        for n in range(workers):
            self.add(ZONES[n % len(ZONES)], events)
        self.d.configure([self.d.route("s", "llm", kind, resumable=bool(events))],
                         services=[dict(name="llm", healthPath="/healthz", maxConns=2000,
                                        protocol="h1", tls=False, **engine)])
        self.settle()

    def settle(self):
        self.d.wait_ready()
        wait_until(lambda: all(self.d.gauge(n, "nodes_heard") == len(self.d.nodes)
                               for n in self.d.nodes))
        time.sleep(0.4)

    def add(self, zone, events):
        worker = self.d.add_worker("llm", events=events, zone=zone, slots=32)
        worker.gap_s = 0.01

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.stop.set()
        for asker in self.askers:
            asker.join()
        self.d.__exit__(*failure)

    def ask(self, node, number=0):
        sent = time.monotonic()
        try:
            answer = self.d.call("/s/x", node=node, deadline=3000,
                                 headers=(PROMPTS[number % len(PROMPTS)], TOKENS))
        except OSError:  # the node is being restarted
            return None
        self.answers.append((sent, node, answer))
        return answer

    def _ask_on(self, node, first, pause_s):
        for number in itertools.count(first):
            if self.stop.is_set():
                return
            self.ask(node, number)
            time.sleep(pause_s)

    def keep_asking(self, per_s, nodes=None):
        """So many calls a second, of callers of these nodes, until the fleet ends."""
        nodes = list(nodes or range(len(self.d.nodes)))
        for n in nodes:
            asker = threading.Thread(target=self._ask_on, args=(n, n, len(nodes) / per_s))
            self.askers.append(asker)
            asker.start()

    def served(self, since=0.0):
        """(calls answered whole, calls) of those sent later."""
        answers = [a for at, _, a in self.answers if at >= since]
        return sum(a.status == 200 and a.whole for a in answers), len(answers)


def most_within(times, window_s):
    """The most of these times that lie within some window."""
    times = sorted(times)
    return max((sum(at <= t < at + window_s for t in times) for at in times), default=0)
