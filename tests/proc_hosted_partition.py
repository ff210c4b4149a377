"""Tests of nodes that lose their links to the VMs while callers, store and peers reach them."""
import collections
import concurrent.futures
import json
import random
import threading
import time

from hosted import Hosted, Request, Worker, read_answer, reset, wait_until
from vm_links import CUTS, REFUSED, RESET_ALL, UNANSWERED, VmLinks, wait_for_own_links

ZONES = ("klein-hall", "eros-hall")
NODES = 4  # two in each zone
NOTICED_S = 3.0  # from then on a node that lost its links has to serve (contactMs)
PER_S, CALLS = 30, 90  # calls of each kind at the nodes that lost their links
MAX_FAILED = 0.02  # of the first attempts of callers
EVENTS = 4
# Attempts of a call to reach a VM, on average: two find out, and one is the peer's.
MAX_ATTEMPTS = 3
REJECTED_S = 0.5  # a call that no node can serve is rejected by then
USED_AGAIN_S = 3.0

KINDS = {"plain": ("plain", "idempotent"), "once": ("plain", "non_idempotent"),
         "chat": ("llm", "streaming")}


class Partition:
    """A fleet in which some nodes have links to the VMs of their own."""

    def __init__(self, cut_nodes=(0,), nodes=NODES, zones=ZONES, vms=3, **kw):
        self.d = Hosted(nodes=0, zones=zones, **kw)
        self.vms = vms  # of each service
        self.links = {}
        for i in range(nodes):
            more = {}
            if i in cut_nodes:
                self.links[i] = VmLinks(self.d.store)
                more["platform"] = {"address": self.links[i].addr}
            self.d.add_node(**more)

    def __enter__(self):
        d = self.d
        for i in range(self.vms):
            zone = d.zones[i % len(d.zones)]
            d.add_worker("plain", zone=zone, slots=32)
            d.add_worker("llm", zone=zone, slots=64, events=EVENTS)
        d.configure([d.route(name, service, kind, resumable=kind == "streaming")
                     for name, (service, kind) in KINDS.items()],
                    services=("plain", {"name": "llm", "kind": "model", "healthPath": "/healthz",
                                        "maxConns": 200, "protocol": "h1", "tls": False}))
        d.wait_ready()
        for i, links in self.links.items():
            wait_for_own_links(d, i, links, "/plain/x")
        return self

    def __exit__(self, *args):
        self.d.__exit__(*args)
        for links in self.links.values():
            links.close()

    def cut(self, how, **kw):
        for links in self.links.values():
            links.cut(how, **kw)

    def heal(self):
        for links in self.links.values():
            links.heal()

    def call_all(self, per_s=PER_S, count=CALLS, nodes=None, kinds=tuple(KINDS)):
        """Send calls of each kind to each node at a rate; return answers by (node, kind)."""
        nodes = list(self.links) if nodes is None else nodes
        answers = collections.defaultdict(list)
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            start = time.monotonic()
            for n in range(count):
                time.sleep(max(0.0, start + n / per_s - time.monotonic()))
                for node in nodes:
                    for kind in kinds:
                        answers[node, kind].append(pool.submit(
                            self.d.call, "/%s/x" % kind, node, deadline=2000))
            return {key: [f.result() for f in fs] for key, fs in answers.items()}

    def events(self, node, name):
        """Return the log lines of a node with an event."""
        found = []
        with open(self.d.nodes[node].log) as f:
            for line in f:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") == name:
                    found.append(entry)
        return found


def is_served(answer):
    return answer.status == 200 and answer.whole


def failed_shares(answers):
    return {key: sum(not is_served(a) for a in got) / len(got) for key, got in answers.items()}


def check_served(p, answers):
    shares = failed_shares(answers)
    assert max(shares.values()) <= MAX_FAILED, shares
    for (node, kind), got in answers.items():
        for a in got:  # repeatable calls may run again, after 150 ms without an answer
            assert kind == "plain" or p.d.runs(a.ident) <= 1, (a.ident, kind, node, a.took_s)
    return "failed at most %.3f" % max(shares.values())


def check_cut(how, **kw):
    with Partition(**kw) as p:
        p.call_all(count=10)
        p.cut(how)
        p.call_all(count=int(PER_S * NOTICED_S))
        return check_served(p, p.call_all())


def test_a_node_without_a_path_to_any_vm_serves_through_peers_unanswered():
    """Guards against calls that fail at a node whose connects to all VMs get no answer."""
    return check_cut(UNANSWERED)


def test_a_node_without_a_path_to_any_vm_serves_through_peers_reset():
    """Guards against calls that fail at a node whose connections to all VMs are reset."""
    return check_cut(RESET_ALL)


def test_a_node_without_a_path_to_any_vm_serves_through_peers_refused():
    """Guards against calls that fail at a node whose new connections to VMs are refused while
    open ones live on."""
    return check_cut(REFUSED)


def test_a_domain_without_a_path_to_any_vm_serves_through_another_domain():
    """Guards against calls that fail when all nodes of a failure domain lose all VMs."""
    return check_cut(UNANSWERED, cut_nodes=(0, 2))


def test_attempts_of_a_call_are_bounded_when_all_connects_are_refused():
    """Guards against a reconnect storm: a call whose connects are refused at once was sent to
    VM after VM without end, at the cost of the node's whole processor share."""
    with Partition(vms=9) as p:
        p.cut(RESET_ALL)
        sent = sum(len(a) for a in p.call_all(count=30).values())
        failed = len(p.events(0, "call.attempt_failed"))
        assert failed <= MAX_ATTEMPTS * sent, (failed, sent)
        return "%d failed attempts of %d calls" % (failed, sent)


def test_calls_that_no_node_can_serve_are_rejected_at_once():
    """Guards against calls that are held until their deadline though no node reaches a VM, and
    against nodes that pass a call back and forth."""
    with Partition(cut_nodes=(0, 1), nodes=2) as p:
        p.cut(UNANSWERED)
        p.call_all(count=int(PER_S * NOTICED_S))
        for got in p.call_all(count=20).values():
            for a in got:
                assert a.status == 503 and float(a.headers["retry-after"]) > 0, a.status
                assert a.took_s <= REJECTED_S, a.took_s


def test_a_node_uses_the_vms_itself_when_its_links_are_back():
    """Guards against a node that goes on sending calls through its peers, or rejects them,
    after the cut."""
    with Partition() as p:
        for how in CUTS:
            p.cut(how)
            p.call_all(count=int(PER_S * NOTICED_S))
            p.heal()
            time.sleep(USED_AGAIN_S)
            before = p.links[0].passed()
            answers = p.call_all(count=20)
            check_served(p, answers)
            assert p.links[0].passed() > before, how


def test_a_service_whose_vms_all_ended_is_served_by_new_ones():
    """Guards against a service that stays lost for ever: its VMs ended, left the list, and
    nobody probed those that came in their place."""
    with Partition(nodes=2, cut_nodes=()) as p:
        for w in p.d.workers:
            w.stop_at_once()
        p.call_all(count=30, nodes=[0, 1])
        for w in p.d.workers:
            p.d.store.drop("servers", w.id)
        p.call_all(count=30, nodes=[0, 1])
        p.d.add_worker("plain", slots=32)
        p.d.add_worker("llm", slots=64, events=EVENTS)
        time.sleep(1)
        check_served(p, p.call_all(count=20, nodes=[0, 1]))


def test_a_node_that_lost_some_vms_uses_the_others():
    """Guards against a node that takes the loss of some of its links for that of all."""
    with Partition() as p:
        lost = {w.addr for w in p.d.workers[:2]}
        p.cut(UNANSWERED, select=lambda target: target in lost)
        p.call_all(count=int(PER_S * NOTICED_S))
        before = p.links[0].passed()
        check_served(p, p.call_all())
        assert p.links[0].passed() > before


def test_a_caller_cannot_pose_as_a_peer():
    """Guards against callers that set the header of forwarded calls, to raise the count of
    attempts or to get round the quota."""
    with Partition() as p:
        p.cut(RESET_ALL)
        p.call_all(count=30)
        fake = [("Rillknot-Forwarded", "999999 99")]
        for node in (0, 1):
            a = p.d.call("/plain/x", node, headers=fake)
            assert is_served(a), a.status
        for w in p.d.workers:
            assert not any(req.get("Rillknot-Forwarded") for req in w.seen)


def test_a_cut_does_not_put_requests_under_suspicion():
    """Guards against a node that takes the loss of its own links for the end of the VMs and
    suspects the requests that they were running.

    The streams resume through peers; there are fewer than the node has retries (40 shared by
    4 nodes).
    """
    with Partition() as p:
        for w in p.d.workers:
            w.gap_s = 0.2
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            running = [pool.submit(p.d.call, "/chat/x", 0, deadline=8000) for _ in range(8)]
            time.sleep(0.3)
            p.cut(RESET_ALL)
            answers = [f.result() for f in running]
        wait_until(lambda: p.events(0, "call.attempt_failed"))
        time.sleep(0.5)
        assert not p.events(0, "request.suspected")
        assert all(is_served(a) for a in answers), [a.status for a in answers]


def test_a_forwarded_stream_cut_inside_an_event_is_resumed():
    """Guards against an unframed stream whose VM breaks it off inside an event and which the
    peer, or the node that forwarded it, passes on as a whole one."""
    broken = set()

    def break_once(w, req, conn):
        """Closes each request's first stream inside its third event."""
        ident = req.get("Rillknot-Attempt-Id")
        if ident in broken:
            return None
        broken.add(ident)
        w.stream(req, conn, 2, end=False)
        w.send_body(conn, w.framing, w.event(req, 3)[:9])
        return False
    with Partition(bounds={"budgetExtra": 4000}) as p:
        p.cut(UNANSWERED)
        p.call_all(count=int(PER_S * NOTICED_S))
        for w in p.d.workers:
            if w.events:
                w.framing, w.fault = "close", break_once
        for a in p.call_all(count=20, kinds=("chat",))[0, "chat"]:
            assert is_served(a) and a.ident in broken, a.status
            assert a.body == b"".join(Worker.event(Request("", "", {
                "rillknot-attempt-id": a.ident}, b""), n) for n in range(1, EVENTS + 1)), a.body


def versions_of(d, *idents):
    """Returns the versions of the workers that sent events in these attempts."""
    return {w.version for w in d.workers for i in idents if w.events_sent[i]}


def test_a_forwarded_stream_goes_on_at_its_version():
    """Guards against a stream that begins through a peer and goes on at another version: after
    a break, or when its caller takes it up at that node or at another one."""
    broken = set()

    def break_once(w, req, conn):
        """Closes each request's first stream after its second event, amid the third."""
        ident = req.get("Rillknot-Attempt-Id")
        if ident in broken or req.get("Last-Event-Id"):
            return None
        broken.add(ident)
        w.stream(req, conn, 2, end=False)
        w.send_body(conn, w.framing, w.event(req, 3)[:9])
        reset(conn)
        return False
    with Partition(vms=6, bounds={"budgetExtra": 4000}) as p:
        engines = [w for w in p.d.workers if w.events]
        for n, w in enumerate(engines):
            w.version = "v%d" % (n % 2 + 1)
            p.d.store.put("servers", w.id, w.spec())
        p.cut(UNANSWERED)
        p.call_all(count=int(PER_S * NOTICED_S))
        for w in engines:
            w.fault = break_once
        answers = p.call_all(count=20, kinds=("chat",))[0, "chat"]
        for a in answers:
            assert is_served(a) and a.ident in broken, a.status
            assert len(versions_of(p.d, a.ident)) == 1, versions_of(p.d, a.ident)
        for n, a in enumerate(answers):
            headers = [("Last-Event-Id", "2"), ("Resumes", a.ident)]
            again = p.d.call("/chat/x", n % NODES, deadline=2000, headers=headers)
            assert is_served(again), (n, again.status, again.body)
            assert len(versions_of(p.d, a.ident, again.ident)) == 1


def test_a_forwarded_call_counts_once_in_its_quota():
    """Guards against forwarded calls that are charged at both nodes, or at none."""
    quota = 60  # units in a window of 4 s
    tenants = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                "plainTokens": 1, "ratePerS": quota / 4, "burst": 0}]
    with Partition() as p:
        p.cut(UNANSWERED)
        p.call_all(count=int(PER_S * NOTICED_S))
        p.d.version += 1
        spec = dict(p.d.store.objects["config"]["main"]["spec"], tenants=tenants)
        spec["version"] = p.d.version
        p.d.store.put("config", "main", spec)
        p.d.wait_version(spec["version"])
        time.sleep(5)
        served = sum(is_served(a) for got in p.call_all(count=160, per_s=40, kinds=("plain",))
                     .values() for a in got)
        assert 0.6 * quota <= served <= quota, served
        return "%d of %d units" % (served, quota)




class RandomCuts:
    """A series of cuts, kills and restarts that overlap, beside callers on kept connections."""

    STEPS, STEP_S = 12, 0.7
    SETTLE_S = 5.0

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.down = None  # index of the node that is killed; None: none

    def step(self, p):
        action = self.rng.choice(("cut", "cut", "heal", "kill", "restart"))
        if action == "cut":
            for links in self.rng.sample(list(p.links.values()), 1 + self.rng.randrange(2)):
                links.heal()
                links.cut(self.rng.choice(CUTS))
        elif action == "heal":
            self.rng.choice(list(p.links.values())).heal()
        elif action == "kill" and self.down is None:
            self.down = self.rng.randrange(NODES)
            p.d.nodes[self.down].kill()
        elif action == "restart" and self.down is not None:
            self.restart(p)

    def restart(self, p):
        if self.down is not None:
            p.d.restart_node(self.down)
        self.down = None


def keep_calling(p, stop, answers, seed):
    """Send calls of random kinds, on one connection for as long as the node keeps it open."""
    rng = random.Random(seed)
    while not stop.is_set():
        node, kind, rest = rng.randrange(NODES), rng.choice(list(KINDS)), []
        try:
            s = p.d.connect(node)
        except OSError:
            time.sleep(0.05)
            continue
        for _ in range(rng.randrange(1, 20)):
            ident = "%016x" % next(p.d.ids)
            try:
                s.sendall(b"POST /%s/x HTTP/1.1\r\nHost: api.example\r\nRillknot-Attempt-Id: %s\r\n"
                          b"Rillknot-Deadline-Ms: 1500\r\nX-Api-Key: key-1\r\n"
                          b"Content-Length: 2\r\n\r\nhi" % (kind.encode(), ident.encode()))
                answer = read_answer(s, "POST", rest)
            except OSError:
                break
            answers.append((kind, ident, answer))
            if answer.status == 0 or not answer.whole or stop.is_set():
                break
            time.sleep(0.02)
        s.close()


def check_answers(p, answers):
    """Check that each call ran once where it must, and that answers are whole and its own."""
    for kind, ident, a in answers:
        if kind == "once":
            assert p.d.runs(ident) <= 1, ident
        if a.status in (429, 503) and kind == "once":
            assert p.d.runs(ident) == 0, (ident, a.status)
        if a.status != 200 or not a.whole:
            continue
        assert ident.encode() in a.body, (ident, a.body)
        if kind == "chat":
            expected = b"".join(Worker.event(Request("POST", "", {"rillknot-attempt-id": ident},
                                                     b""), n) for n in range(1, EVENTS + 1))
            assert a.body == expected, (ident, a.body)


def run_random_cuts(seed):
    series, answers, stop = RandomCuts(seed), [], threading.Event()
    with Partition(cut_nodes=(0, 1, 2)) as p:
        callers = [threading.Thread(target=keep_calling, args=(p, stop, answers, seed * 100 + i))
                   for i in range(12)]
        for t in callers:
            t.start()
        for _ in range(series.STEPS):
            time.sleep(series.STEP_S)
            series.step(p)
        series.restart(p)
        p.heal()
        time.sleep(series.SETTLE_S)
        p.d.wait_ready()
        after = p.call_all(count=20, nodes=range(NODES))
        stop.set()
        for t in callers:
            t.join()
        check_answers(p, answers)
        check_served(p, after)
        for i in range(NODES):
            assert not p.events(i, "request.stopped"), "a request was quarantined"
        served = sum(is_served(a) for _, _, a in answers)
        return "%d of %d served beside the faults" % (served, len(answers))


def test_random_cuts_kills_and_restarts():
    """Guards against calls that run twice, answers of other calls, and nodes that do not
    recover, when cuts of links to the VMs overlap with kills and restarts of nodes."""
    return run_random_cuts(7)


def test_a_forwarded_call_runs_at_no_more_vms_than_its_route_allows():
    """Guards against a peer that sends a call to two slow VMs while its node, to which the peer
    seems silent, asks another peer: up to four VMs ran a call of a route that allows two."""
    with Partition(bounds={"budgetExtra": 4000}) as p:
        p.cut(UNANSWERED)
        p.call_all(count=int(PER_S * NOTICED_S), kinds=("plain",))
        for w in p.d.workers:
            w.work_s = 1.2
        answers = p.call_all(per_s=10, count=30, kinds=("plain",))[0, "plain"]
        most = max(sum(any(r.get("Rillknot-Attempt-Id") == a.ident for r in w.seen)
                       for w in p.d.workers) for a in answers)
        assert most <= 2, "%d vms had one call" % most
        return "%d of %d served" % (sum(map(is_served, answers)), len(answers))
