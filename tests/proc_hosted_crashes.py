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


def test_other_requests_are_served():
    """Beside it, callers of two organisations send others; each is answered whole in
    the end, and none is told that it is stopped."""
    with Fleet() as f:
        guilty = threading.Thread(target=f.ask_for, args=(6,))
        guilty.start()
        began, answers = time.monotonic(), []
        while time.monotonic() - began < 6:
            number = len(answers)
            answers.append(f.ask(number % 3, b"innocent %d" % number,
                                 "key-%d" % (1 + number % 2)))
        guilty.join()
        stopped = [a for a in answers if a and b"vms ended" in a.body]
        assert not stopped, stopped[0].body
        late = f.ask_for(1, body=b"another")
        assert all(a and a.status == 200 and a.whole for a in late)
        return "%d of %d at once, %d vms ended" % (
            sum(a is not None and a.status == 200 and a.whole for a in answers),
            len(answers), len(f.ended))


def test_engines_that_end_by_themselves_stop_nothing():
    """Half of the engines end at once, again and again, under streams of callers that
    send the same few requests."""
    with Fleet(workers=8, events=30) as f:
        answers, bodies = [], [b"same %d" % n for n in range(4)]
        askers = [threading.Thread(target=lambda b=b: answers.extend(
            f.ask_for(8, body=b, pause_s=0.05))) for b in bodies for _ in range(3)]
        for asker in askers:
            asker.start()
        for _ in range(5):
            time.sleep(1.4)
            for worker in [w for w in f.d.workers if not w.stopped][::2]:
                worker.stop_at_once()
                threading.Timer(REPLACED_S, f.replace, [worker]).start()
        for asker in askers:
            asker.join()
        assert not [a for a in answers if a and b"vms ended" in a.body]
        assert sum(f.d.gauge(n, "requests_stopped") for n in f.d.nodes) == 0


def test_a_vm_that_breaks_calls_off_and_lives_speaks_against_nothing():
    with Fleet(workers=4) as f:
        def breaks_off(worker, req, conn):
            worker.stream(req, conn, 1, end=False)
            return False
        for worker in f.d.workers:
            worker.fault = breaks_off
        f.ask_for(3, body=b"same")
        for worker in f.d.workers:
            worker.fault = None
        answers = f.ask_for(1, body=b"same")
        assert all(a.status == 200 for a in answers), [a.status for a in answers]


def test_a_plain_call_that_may_not_be_repeated_is_stopped_too():
    """Its answers are true: a failure where it ran, 'not run' where it was not sent."""
    with Fleet(events=0, kind="non_idempotent", service="plain") as f:
        answers = [a for a in f.ask_for(8) if a]
        result = f.check_bound()
        refused = [a for a in answers if a.status == 503]
        assert refused
        for a in refused:
            assert f.d.runs(a.ident) == 0 and b"vms ended" in a.body
            assert float(a.headers["retry-after"]) >= 10, a.headers
        assert all(r.get("Rillknot-Attempt-Id") not in {a.ident for a in refused}
                   for w in f.d.workers for r in w.seen)
        return result


def test_a_node_that_starts_again_is_told():
    with Fleet() as f:
        f.ask_for(5)
        f.d.nodes[1].kill()
        f.d.restart_node(1)
        f.settle()
        f.ask_for(4, nodes=[1])
        return f.check_bound()


def test_an_operator_lets_it_through_again():
    """By taking its object out of the store: the holder of the duties looks now and
    then. The engines survive it by now."""
    with Fleet() as f:
        f.ask_for(3)
        wait_until(lambda: f.d.store.objects.get("rillknot-quarantine"), 5)
        found = f.d.store.objects["rillknot-quarantine"]
        assert len(found) == 1, found
        name, spec = next((n, o["spec"]) for n, o in found.items())
        assert spec["organisation"] == "clinic" and spec["route"] == "s", spec
        assert f.ask().status == 503
        for worker in f.d.workers:
            worker.fault = None
        f.d.store.drop("rillknot-quarantine", name)
        wait_until(lambda: all(f.ask(n).status == 200 for n in range(3)), 45, step=0.5)


def test_it_is_stopped_while_the_store_is_away():
    with Fleet() as f:
        f.d.store.fault = lambda req: 503
        f.ask_for(8)
        return f.check_bound()
