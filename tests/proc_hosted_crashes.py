"""A request that ends each VM that begins to run it.

Seen: on a co-operative's day of 8 nodes before 9 engines, one request ended 39 engines
within a minute, another 48; 13 and 16 times it was sent after it had ended the third. Up to
72 other calls were lost beside it with each engine.
How it came about: its caller asked again at once, at any node, each time under another id.
Cause: a node knew the attempts of one try only, so each try was new, and got its two VMs.
Proof: the tests below, where an engine ends as soon as it has begun to run a certain body;
two engines a try ended for as long as it was asked for."""
import threading
import time

from hosted import Hosted, wait_until

GUILTY = b"an order that no engine survives"
IN_TOUCH_S = 3.0  # after the third VM: by then each node that is in touch knows
RETRIES_MAX = 3   # that may reach VMs later than that
SURVIVES_S = 0.05  # an engine, from when it has begun to run it
REPLACED_S = 0.3
TENANTS = [{"name": name, "apiKeys": [key], "unit": "token_stream", "plainTokens": 1,
            "ratePerS": 0, "burst": 0} for name, key in (("clinic", "key-1"), ("rank", "key-2"))]


class Fleet:
    """Nodes before engines, some of which end; each is replaced by another soon."""

    def __init__(self, nodes=3, workers=6, zones=("a-hall", "b-hall", "c-hall"), events=6,
                 kind="streaming", service="llm", reborn=False, **kw):
        self.events, self.service, self.reborn = events, service, reborn
        self.ended = []  # when a worker ended
        self.lock = threading.Lock()
        self.d = Hosted(nodes=nodes, zones=zones, **kw).start()
        for n in range(workers):
            self.add(zones[n % len(zones)])
        engine = {"engine": {"slots": 32, "kvCapacity": 100000}} if events else {}
        self.d.configure([self.d.route("s", service, kind, timeoutMs=8000,
                                       resumable=bool(events))],
                         services=[dict(name=service, healthPath="/healthz", maxConns=200,
                                        protocol="h1", tls=False, **engine)],
                         tenants=TENANTS)
        self.settle()

    def settle(self):
        self.d.wait_ready()
        nodes = len(self.d.nodes)
        wait_until(lambda: all(self.d.gauge(n, "nodes_heard") == nodes for n in self.d.nodes))
        time.sleep(0.4)

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.d.__exit__(*failure)

    def add(self, zone):
        worker = self.d.add_worker(self.service, events=self.events, zone=zone, slots=32)
        worker.gap_s = 0.02
        worker.fault = self.run

    def run(self, worker, req, conn):
        """What the engines do: they end when they have begun to run the guilty one."""
        if req.body != GUILTY:
            return None
        if self.events:
            worker.stream(req, conn, 1, end=False)
        time.sleep(SURVIVES_S)
        with self.lock:
            if not worker.stopped:
                self.ended.append(time.monotonic())
                worker.stop_at_once()
                threading.Timer(REPLACED_S, self.replace, [worker]).start()
        return False

    def replace(self, worker):
        self.d.store.drop("servers", worker.id)
        self.add(worker.zone)

    def ask(self, node=0, body=GUILTY, key="key-1", headers=()):
        try:
            return self.d.call("/s/x", node=node, body=body, key=key, deadline=3000,
                               headers=headers)
        except OSError:
            return None

    def ask_for(self, seconds, nodes=None, body=GUILTY, key="key-1", pause_s=0.1):
        """As its caller, who asks again soon at the next node."""
        nodes = nodes or list(range(len(self.d.nodes)))
        end, n, answers = time.monotonic() + seconds, 0, []
        while time.monotonic() < end:
            answers.append(self.ask(nodes[n % len(nodes)], body, key))
            n += 1
            time.sleep(pause_s)
        return answers

    def arrivals_after(self, at):
        return sum(r.at > at for w in self.d.workers for r in w.seen if r.body == GUILTY)

    def check_bound(self):
        """The stated aim: after the third VM, and the time to tell, at most three."""
        assert len(self.ended) >= 3, self.ended
        late = self.arrivals_after(self.ended[2] + IN_TOUCH_S)
        assert late <= RETRIES_MAX, "%d sent later, %d ended" % (late, len(self.ended))
        return "%d vms ended" % len(self.ended)


def test_it_is_sent_no_more_by_any_node():
    with Fleet() as f:
        f.ask_for(9)
        return f.check_bound()


def test_it_is_sent_no_more_after_a_kill_of_all_nodes():
    """What nodes know of it must outlast them: no machine keeps anything."""
    with Fleet() as f:
        f.ask_for(6)
        for n in range(len(f.d.nodes)):
            f.d.nodes[n].kill()
        for n in range(len(f.d.nodes)):
            f.d.restart_node(n)
        f.settle()
        f.ask_for(5)
        return f.check_bound()


def test_it_is_sent_no_more_by_any_node_of_a_large_fleet():
    """Where bridges tell: one node's callers ask, then those of all."""
    with Fleet(nodes=15) as f:
        f.ask_for(4, nodes=[0])
        f.ask_for(6)
        return f.check_bound()
