"""Several hosted nodes: settings and vms reach all and never go back, quotas hold
over all, one usage count a window, fenced duties, planned stops."""
import collections
import http.client
import itertools
import os
import random
import re
import signal
import threading
import time
import weakref

import faultproxy
from hosted import Hosted, answer_json, read_answer, reset, wait_until


def fleet(nodes=3, workers=2, kind="idempotent", zones=("a-hall", "b-hall", "c-hall"),
          tenants=None, **kw):
    d = Hosted(nodes=nodes, zones=zones, **kw).start()
    for n in range(workers):
        d.add_worker("plain", zone=zones[n % len(zones)])
    d.configure([d.route("r", "plain", kind)], tenants=tenants)
    d.wait_ready()
    wait_until(lambda: all(d.gauge(n, "nodes_heard") == nodes ==
                           d.gauge(n, "nodes_known") for n in d.nodes))
    time.sleep(0.4)  # the relays are told with the next report
    return d


def test_a_new_version_is_in_force_everywhere_and_stays():
    with fleet() as d:
        for _ in range(5):
            version = d.configure([d.route("r", "plain"), d.route("n%d" % d.version, "plain")])
            for n in range(3):
                assert d.call("/n%d/x" % (version - 3), node=n).status == 200
        old = dict(d.store.objects["config"]["main"]["spec"], version=1, routes=[])
        d.store.put("config", "main", old)
        time.sleep(0.6)
        for n in range(3):
            assert d.call("/r/x", node=n).status == 200


def test_more_nodes_than_are_told_at_once():
    """Sixteen nodes: each hears each, and news reaches all though the store turns
    most of them away."""
    with fleet(nodes=16) as d:
        away = set()
        for node in d.nodes[2:]:
            away |= {node.popen.pid}
        real = d.store.handle

        def handle(req, conn):
            if any(comes_from(conn, pid) for pid in away):
                reset(conn)
                return False
            return real(req, conn)
        d.store.handle = handle
        start = time.monotonic()
        d.configure([d.route("r", "plain"), d.route("new", "plain")])
        took = time.monotonic() - start
        assert took < 10, took
        wait_until(lambda: all(d.gauge(n, "nodes_heard") == 16 for n in d.nodes))
        return "in force at 16 nodes after %.1f s" % took


def test_a_vm_that_left_while_a_node_was_turned_away_gets_nothing():
    """The store answered the other node all the time: what is off its list is gone,
    and isn't kept as if it had lapsed with the store."""
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        gone = d.workers[1]  # the nearer one
        real = d.store.handle
        turn_away(d, d.nodes[1], 503)
        time.sleep(4)
        d.store.handle = real
        time.sleep(1.3)  # its watch waits, and is answered with the very change
        d.store.drop("servers", gone.id)
        dropped_at = d.store.revision  # nodes go on writing other kinds
        wait_until(lambda: d.gauge(d.nodes[1], "list_revision") >= dropped_at, 6)
        before = len(gone.seen)
        for _ in range(10):
            assert d.call("/r/x", node=1).status == 200
        assert len(gone.seen) == before


def test_a_vm_that_left_while_the_node_that_tells_was_down_gets_nothing():
    """Seen: calls to a vm 3.3 s after its entry had gone, from a node that the node
    following the store had told the list.

    How it came about: the follower was killed just after the entry went, and started
    again half a second later. It listed the vms, and answered those who asked what had
    changed with what it had seen change: not the entry that went while it was down.
    Cause: a list was taken for the knowledge of all that went before it. Proof: here
    the node that is told keeps the vm for good."""
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        gone = d.workers[1]  # the nearer one of the node that is told
        turn_away(d, d.nodes[1], 503)
        time.sleep(1.6)  # its last watch is over
        d.nodes[0].kill()
        d.store.drop("servers", gone.id)
        dropped_at = d.store.revision
        d.restart_node(0)
        wait_until(lambda: d.gauge(d.nodes[1], "list_revision") >= dropped_at, 6)
        before = len(gone.seen)
        for _ in range(10):
            assert d.call("/r/x", node=1).status == 200
        assert len(gone.seen) == before


def test_vms_whose_entries_lapsed_with_the_store_are_used_on():
    """The store is away for all, and comes back without the vms' entries, which the
    vms write anew within two seconds."""
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        d.store.fault = lambda req: 503
        time.sleep(6)  # watches that wait are answered still
        for w in d.workers:
            d.store.drop("servers", w.id)
        d.store.fault = None
        end = time.monotonic() + 1.2
        while time.monotonic() < end:
            assert all(d.call("/r/x", node=n).status == 200 for n in range(2))
        for w in d.workers:
            d.store.put("servers", w.id, w.spec())
        time.sleep(4)  # the store is long back
        assert all(d.call("/r/x", node=n).status == 200 for n in range(2))
        dropped = d.workers[0]
        d.store.drop("servers", dropped.id)
        dropped_at = d.store.revision  # nodes go on writing other kinds
        wait_until(lambda: all(d.gauge(n, "list_revision") >= dropped_at
                               for n in d.nodes), 6)
        before = len(dropped.seen)
        assert all(d.call("/r/x", node=n).status == 200 for n in range(2))
        assert len(dropped.seen) == before


def test_a_vm_that_leaves_after_the_store_was_back_gets_nothing():
    """No change tells of the store's return: nodes must notice it by themselves, or
    they take the next end of a vm for an entry that lapsed with the store."""
    with Hosted(nodes=2) as d:
        old, kept = d.add_worker("plain"), d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        d.store.fault = lambda req: "silent"
        time.sleep(3.9)  # any watch before it is over, so all nodes miss the store
        d.store.fault = None
        time.sleep(3.2)  # the store is taken as sound again
        d.store.drop("servers", old.id)
        time.sleep(0.6)
        before = len(old.seen)
        for n in range(12):
            d.call("/r/x", node=n % 2)
        assert len(old.seen) == before, "calls reached a vm that had left"
        assert kept.seen


def test_a_vm_that_lapsed_and_came_back_in_one_answer_is_used():
    """Its end and its return reach a node with the same answer of the store, and its
    end has no revision of its own."""
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        d.store.fault = lambda req: 503
        time.sleep(6)
        for w in d.workers:
            d.store.drop("servers", w.id)
            d.store.put("servers", w.id, w.spec())
            d.store.put("other", "thing", {})  # the store goes on
        d.store.fault = None
        end = time.monotonic() + 5
        while time.monotonic() < end:
            assert all(d.call("/r/x", node=n).status == 200 for n in range(2))
            time.sleep(0.05)


def test_calls_that_come_while_a_node_starts_wait_a_little():
    """A store that takes 50 ms an answer: what comes before a node knows its routes
    waits for them, instead of being refused."""
    with fleet(nodes=1, zones=("a-hall",)) as d:
        d.nodes[0].kill()
        d.store.fault = lambda req: time.sleep(0.05)
        d.restart_node(0)
        statuses = [d.call("/r/x").status for _ in range(3)]
        assert statuses == [200] * 3, statuses


def test_a_key_taken_away_is_refused_everywhere():
    with fleet() as d:
        assert all(d.call("/r/x", node=n).status == 200 for n in range(3))
        d.configure([d.route("r", "plain")],
                    tenants=[{"name": "clinic", "apiKeys": ["key-2"], "ratePerS": 0}])
        assert all(d.call("/r/x", node=n).status == 401 for n in range(3))
        assert all(d.call("/r/x", node=n, key="key-2").status == 200 for n in range(3))


def turn_away(d, node, how):
    """The store turns a node away and serves all others. Ends when undone."""
    real = d.store.handle

    def handle(req, conn):
        if not comes_from(conn, node.popen.pid):
            return real(req, conn)
        if how == "silent":
            time.sleep(20)
            return False
        if how == "reset":
            reset(conn)
            return False
        answer_json(conn, how, {})
        return True
    d.store.handle = handle


def test_a_node_that_the_store_turns_away_hears_from_its_peers():
    """Settings, a taken key and a draining vm come over the mesh."""
    for how in ("reset", "silent", 503, 429):
        with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
            leaving = d.workers[0]
            turn_away(d, d.nodes[1], how)
            time.sleep(0.2)
            d.configure([d.route("r", "plain"), d.route("new", "plain")],
                        tenants=[{"name": "clinic", "apiKeys": ["key-2"], "ratePerS": 0}],
                        wait=False)
            d.drain(leaving)
            revision = d.store.revision
            d.wait_version(d.version, timeout=6)
            assert d.call("/new/x", node=1, key="key-2").status == 200
            assert d.call("/new/x", node=1).status == 401
            wait_until(lambda: all(d.gauge(n, "list_revision") >= revision
                                   for n in d.nodes), timeout=6)
            before = len(leaving.seen)
            for _ in range(10):
                assert d.call("/r/x", node=1, key="key-2").status == 200
            assert len(leaving.seen) == before and d.workers[1].seen


INODES = weakref.WeakKeyDictionary()  # of a caller's socket, by connection here


def inode_of(conn):
    """Of the caller's socket. Looked up once a connection: the kernel's table has
    thousands of lines behind other tests, and took the store 3 s when it was read for
    each request."""
    if conn not in INODES:
        ends = "%04X 0100007F:%04X " % (conn.getpeername()[1], conn.getsockname()[1])
        with open("/proc/net/tcp") as f:
            table = f.read()
        line = table[table.index(ends):].split("\n", 1)[0]
        INODES[conn] = line.split()[8]
    return INODES[conn]


def comes_from(conn, pid):
    """Does a process hold the other end of a connection?"""
    socket = "socket:[%s]" % inode_of(conn)
    for fd in os.listdir("/proc/%d/fd" % pid):
        try:
            if os.readlink("/proc/%d/fd/%s" % (pid, fd)) == socket:
                return True
        except OSError:
            continue
    return False


def test_a_node_restarted_without_the_store_learns_from_its_peers():
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        d.store.fault = lambda req: "reset"
        d.nodes[1].kill()
        node = d.restart_node(1)
        wait_until(lambda: d.ready(node))
        assert d.call("/r/x", node=1).status == 200


def test_history_forgotten_and_watches_cut():
    with fleet(nodes=1, zones=("a-hall",)) as d:
        for n in range(4):
            d.store.forget_history()
            d.configure([d.route("v%d" % n, "plain")])
            assert d.call("/v%d/x" % n).status == 200
        w = d.add_worker("plain")
        d.store.forget_history()
        for old in d.workers[:-1]:
            d.store.drop("servers", old.id)
        wait_until(lambda: d.call("/v3/x").status == 200 and w.seen)


def test_a_draining_vm_gets_no_new_calls():
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        first = d.workers[0]
        d.drain(first)
        revision = d.store.revision
        wait_until(lambda: all(d.gauge(n, "list_revision") >= revision for n in d.nodes))
        time.sleep(0.1)
        before = len(first.seen)
        for n in range(20):
            assert d.call("/r/x", node=n % 2).status == 200
        assert len(first.seen) == before


def test_a_quota_holds_over_all_nodes():
    """Three nodes, asked as fast as they answer: together they admit one quota."""
    rate, burst, window = 20, 20, 4
    tenants = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                "plainTokens": 1, "ratePerS": rate, "burst": burst}]
    with fleet(tenants=tenants, bounds={"quotaWindowS": window}) as d:
        admitted, lock, end = [], threading.Lock(), time.monotonic() + 9
        refused = []

        def ask(node):
            n = 0
            while time.monotonic() < end:
                n += 1
                a = d.call("/r/x", node=node, ident="quota-%d-%d" % (node, n))
                with lock:
                    (admitted if a.status == 200 else refused).append(
                        (time.monotonic(), a))
                time.sleep(0.02)
        threads = [threading.Thread(target=ask, args=(n,)) for n in range(3)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        assert all(a.status == 429 and float(a.headers["retry-after"]) > 0
                   for _, a in refused)
        times = sorted(t for t, _ in admitted)
        most = max(sum(1 for u in times if t <= u < t + window) for t in times)
        bound = rate * window + burst
        assert bound * 0.6 <= most <= bound * 1.25, (most, bound)
        return "%d admitted in the fullest window of %d allowed" % (most, bound)


def test_a_quota_holds_over_a_kill_of_all_nodes():
    """A whole quota is used at once, then every process is killed and started again:
    what was used is kept in the store and still counts."""
    rate, burst, window = 20, 60, 8
    tenants = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                "plainTokens": 1, "ratePerS": rate, "burst": burst}]
    with fleet(nodes=2, zones=("a-hall", "b-hall"), tenants=tenants,
               bounds={"quotaWindowS": window}) as d:
        admitted = []

        def ask(node, ident):
            if d.call("/r/x", node=node, ident=ident).status == 200:
                admitted.append(time.monotonic())
        wait_until(lambda: d.cloud.usage, 20)  # somebody holds the duties
        for n in range(rate * window + burst + 40):
            ask(n % 2, "before-%d" % n)
        wait_until(lambda: "recent" in d.store.objects["rillknot-quotas"], 10)
        time.sleep(0.8)
        for node in d.nodes:
            node.kill()
        for n in range(2):
            d.restart_node(n)
        d.wait_ready()
        end = admitted[0] + window - 0.5
        n = 0
        while time.monotonic() < end:
            n += 1
            ask(n % 2, "after-%d" % n)
            time.sleep(0.01)
        bound = rate * window + burst
        assert len(admitted) <= bound * 1.25, (len(admitted), bound)
        return "%d admitted of %d allowed" % (len(admitted), bound)


def test_a_quota_holds_over_a_kill_while_nobody_holds_the_duties():
    """Seen on a grown hospital: an organisation had 1.16 to 1.32 of its quota run around
    two kills of all nodes. Only the holder of the duties wrote down what was used, and
    for a lease after its end there was none: who started again knew nothing, and took
    what had been used just before to leave the window sooner than it did."""
    rate, burst, window = 20, 60, 8
    tenants = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                "plainTokens": 1, "ratePerS": rate, "burst": burst}]
    with fleet(nodes=3, tenants=tenants,
               bounds={"quotaWindowS": window, "leaseMs": 9000}) as d:
        admitted = []

        def ask(node, ident):
            if d.call("/r/x", node=node, ident=ident).status == 200:
                admitted.append(time.monotonic())
        wait_until(lambda: d.cloud.usage, 20)
        holder = next(i for i, n in enumerate(d.nodes)
                      if [e for e in n.events() if e.get("event") == "lease.taken"])
        d.nodes[holder].popen.send_signal(signal.SIGTERM)
        d.nodes[holder].popen.wait()
        left = [n for n in range(3) if n != holder]
        wait_until(lambda: all(d.gauge(d.nodes[n], "nodes_known") == 2 for n in left))
        time.sleep(1)
        for n in range(rate * window + burst + 40):
            ask(left[n % 2], "before-%d" % n)
        time.sleep(0.8)
        for n in left:
            d.nodes[n].kill()
        for n in left:
            d.restart_node(n)
        wait_until(lambda: all(d.ready(d.nodes[n]) for n in left))
        end = admitted[0] + window - 0.5
        n = 0
        while time.monotonic() < end:
            n += 1
            ask(left[n % 2], "after-%d" % n)
            time.sleep(0.01)
        bound = rate * window + burst
        assert len(admitted) <= bound * 1.1, (len(admitted), bound)
        return "%d admitted of %d allowed" % (len(admitted), bound)


def test_an_organisation_within_its_quota_is_served_after_a_kill_of_all_nodes():
    """It asks for half of its rate; nodes that all started again must not count each
    other's news twice."""
    rate, window = 40, 4
    tenants = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                "plainTokens": 1, "ratePerS": rate, "burst": rate}]
    with fleet(nodes=3, tenants=tenants, bounds={"quotaWindowS": window}) as d:
        for node in d.nodes:
            node.kill()
        for n in range(3):
            d.restart_node(n)
        d.wait_ready()
        statuses, end, n = [], time.monotonic() + 2 * window, 0
        while time.monotonic() < end:
            n += 1
            statuses.append(d.call("/r/x", node=n % 3, ident="half-%d" % n).status)
            time.sleep(2.0 / rate)
        refused = sum(s == 429 for s in statuses)
        assert refused <= len(statuses) * 0.1, (refused, len(statuses))
        return "%d of %d refused" % (refused, len(statuses))


def test_tokens_count_for_the_quota():
    tenants = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                "plainTokens": 1, "ratePerS": 100, "burst": 100}]
    with fleet(nodes=1, zones=("a-hall",), tenants=tenants) as d:
        big = [("Rillknot-Token-Usage", "300,100")]
        assert d.call("/r/x", headers=big).status == 200
        assert d.call("/r/x", headers=big).status == 429
        assert d.call("/r/x").status == 200


def windows(d):
    """window -> the set of different counts that were taken for it."""
    out = collections.defaultdict(set)
    for window, counts, _, _ in d.cloud.usage:
        out[window].add(tuple(sorted(counts.items())))
    return out


def test_one_usage_count_a_window_over_takeovers():
    """Calls run while holders are killed: no window has two counts, each call is in
    one, and no token is used by two holders."""
    with fleet(nodes=3) as d:
        made = collections.Counter()
        stop = threading.Event()

        def load():
            n = 0
            while not stop.is_set():
                n += 1
                for node in range(len(d.nodes)):
                    if d.nodes[node].popen.poll() is None:
                        a = d.call("/r/x", node=node, ident="use-%d-%d" % (n, node))
                        if a.status == 200:
                            made[int(time.time())] += 1
                time.sleep(0.05)
        t = threading.Thread(target=load)
        t.start()
        try:
            wait_until(lambda: len(windows(d)) >= 2, 30)
            holder = d.cloud.usage[-1][2]
            time.sleep(1)
            [n for n in d.nodes if n.name == holder][0].kill()
            wait_until(lambda: d.cloud.usage[-1][2] != holder, 30)
            last = max(windows(d))
            wait_until(lambda: max(windows(d)) >= last + 4, 30)
        finally:
            stop.set()
            t.join()
        different = {w: c for w, c in windows(d).items() if len(c) > 1}
        assert not different, different
        by_fence = collections.defaultdict(set)
        for _, _, name, fence in d.cloud.usage:
            by_fence[fence].add(name)
        assert all(len(names) == 1 for names in by_fence.values()), by_fence
        told = sum(dict(c).get("clinic", 0) for w in windows(d).values() for c in w)
        ran = sum(made[w] for w in windows(d))
        assert told and abs(told - ran) <= 0.15 * ran, (told, ran)
        return "%d windows, %d calls told, %d made in them" % (len(windows(d)), told, ran)


def test_a_request_that_is_sent_again_counts_once():
    """Seen: a window off by 138 of 1,950 requests, in each of two plays of a day.

    How it came about: all engines failed a third of the streams for four seconds, and
    those that may be repeated were sent again. Cause: each run was counted, and the
    platform asks for requests. Proof: here three runs of seven fail, with a retry left or
    not: of 120 requests 80 end well, and 140 were told."""
    numbers = itertools.count()

    def fault(worker, req, conn):
        if next(numbers) % 7 not in (0, 1, 3):
            return None
        conn.sendall(worker.head(req, 500, b"Content-Length: 3\r\n") + b"bad")
        return True
    with Hosted(nodes=2, zones=("a-hall", "b-hall"), bounds={"reportWindowS": 2}) as d:
        for zone in d.zones:
            d.add_worker("llm", events=2, zone=zone).fault = fault
        d.configure([d.route("once", "llm", "streaming", maxAttempts=1),
                     d.route("twice", "llm", "streaming", resumable=True)], services=("llm",))
        d.wait_ready()
        answers = [d.call("/%s/x" % route, node=n % 2).status
                   for n in range(60) for route in ("once", "twice")]
        end = int(time.time()) // 2
        wait_until(lambda: end in windows(d), 15)
        told = sum(dict(c).get("clinic", 0) for w in windows(d).values() for c in w)
        assert answers.count(500) >= 10 and set(answers) == {200, 500}, answers
        assert told == len(answers), (told, len(answers))
        return "%d told of %d, %d ended well" % (told, len(answers), answers.count(200))


def check_usage_outlasts_a_kill(nodes, gap_s, off):
    """off: the share by which the window of the kill may be told otherwise."""
    made = collections.Counter()
    with fleet(nodes=nodes, bounds={"reportWindowS": 3}) as d:
        def call_until(end):
            n = 0
            while time.time() < end:
                n += 1
                if d.call("/r/x", node=n % nodes).status == 200:
                    made[int(time.time()) // 3] += 1
                time.sleep(gap_s)
        start = (int(time.time()) // 3 + 1) * 3
        time.sleep(max(0, start - time.time()))
        call_until(start + 3 + 1.2)  # the first window's report is due at 4.5 s
        for node in d.nodes:
            node.kill()
        for i in range(nodes):
            d.restart_node(i)
        d.wait_ready()
        call_until(start + 6.5)
        first = start // 3
        wait_until(lambda: first + 1 in windows(d), 15)
        told = {w: dict(c).get("clinic", 0) for w in (first, first + 1)
                for c in windows(d)[w]}
        assert abs(told[first] - made[first]) <= 0.05 * made[first] + 2, (told, made)
        assert abs(told[first + 1] - made[first + 1]) <= off * made[first + 1], (told, made)
        return "%s told, %s made" % (told, {w: made[w] for w in told})


def test_usage_outlasts_a_kill_of_all_nodes():
    """Seen: a window that had ended 3 s before all nodes were killed was reported as 0,
    the one of the kill as what came after.

    How it came about: what nodes count is told to the holder, who reports a window when
    nobody is silent any more, 4 s after its end at the latest; all were killed before.
    Cause: nothing of it lay in the store. Proof: here the window before the kill, and
    the one it falls in, are counted against the calls that ran."""
    return check_usage_outlasts_a_kill(nodes=3, gap_s=0.02, off=0.3)


def test_a_report_whose_answer_is_lost_is_repeated_exactly():
    lost = {"n": 0}

    def fault(req):
        lost["n"] += 1
        return "lost" if req.target == "/usage" and lost["n"] % 2 else None
    with fleet(nodes=1, zones=("a-hall",)) as d:
        d.cloud.fault = fault
        for _ in range(10):
            d.call("/r/x")
        wait_until(lambda: len(windows(d)) >= 3, 30)
        assert all(len(c) == 1 for c in windows(d).values()), windows(d)


def test_lost_answers_of_the_store_make_no_second_holder():
    """Half of the writes are done and not answered."""
    state = {"n": 0}

    def fault(req):
        if req.method in ("PUT", "POST") and "leases" in req.target:
            state["n"] += 1
            return "lost" if state["n"] % 2 else None
        return None
    with fleet(nodes=3) as d:
        d.store.fault = fault
        time.sleep(8)
        d.store.fault = None
        wait_until(lambda: d.cloud.usage, 20)
        by_fence = collections.defaultdict(set)
        for _, _, name, fence in d.cloud.usage:
            by_fence[fence].add(name)
        assert all(len(names) == 1 for names in by_fence.values()), by_fence
        assert all(len(c) == 1 for c in windows(d).values())


def test_a_frozen_holder_does_not_act_when_it_wakes():
    with fleet(nodes=3) as d:
        wait_until(lambda: d.cloud.usage, 20)
        old = [n for n in d.nodes if n.name == d.cloud.usage[-1][2]][0]
        old.freeze()
        wait_until(lambda: d.cloud.usage[-1][2] != old.name, 30)
        fence = d.cloud.usage[-1][3]
        old.thaw()
        time.sleep(3)
        late = [u for u in d.cloud.usage if u[2] == old.name and u[3] >= fence]
        assert not late, late
        assert len([r for r in d.cloud.refused if r[2] == old.name]) <= 1


def engine_service(**scaling):
    spec = {"min": 1, "max": 4, "bootS": 0.5, "spotPrice": 0.2,
            "zonePrices": {"a-hall": 1.0, "b-hall": 1.2}}
    spec.update(scaling)
    return {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
            "engine": {"slots": 32, "kvCapacity": 100000}, "scaling": spec}


def test_vms_are_ordered_by_kind_and_domain():
    """What stands at the start is the first estimate of what is needed: reclaimable
    vms are ordered for it, and on-demand ones go only once those serve."""
    with Hosted(nodes=1, zones=("a-hall",)) as d:
        for zone in ("a-hall", "b-hall"):
            for _ in range(3):
                d.add_worker("llm", events=3, zone=zone, slots=32)

        def last():
            return {o[1:3]: o[3] for o in d.cloud.orders}
        d.configure([d.route("s", "llm", "streaming")], services=[engine_service()])
        wait_until(lambda: last().get(("a-hall", True)) == 2 and
                   last().get(("b-hall", True)) == 2, 20)
        assert 1 not in [last().get(("a-hall", False)), last().get(("b-hall", False))]
        for zone in ("a-hall", "b-hall"):
            for _ in range(2):
                d.add_worker("llm", events=3, zone=zone, slots=32, spot=True)
        expected = {("a-hall", False): 1, ("a-hall", True): 2,
                    ("b-hall", False): 1, ("b-hall", True): 2}
        wait_until(lambda: last() == expected, 20)


def test_vms_are_not_ordered_away_just_after_a_restart_of_all():
    """Seen on a fleet of 86 nodes whose processes were all killed: the holder of the
    duties took its lease again 1 s after its start and ordered 2 reclaimable vms in
    each domain instead of 20, by a demand that nobody had measured yet; a second
    later it ordered 32. Seconds of calls were late or lost. What stands was ordered
    for a demand that this process has not seen: it stays until that is known."""
    with Hosted(nodes=2, zones=("a-hall",)) as d:
        for zone in ("a-hall", "b-hall"):
            d.add_worker("llm", events=3, zone=zone, slots=32)
        d.configure([d.route("s", "llm", "streaming")], services=[engine_service()])
        wait_until(lambda: d.cloud.orders, 20)
        for node in d.nodes:
            node.kill()
        for _ in range(8):
            d.add_worker("llm", events=3, zone="a-hall", slots=32, spot=True)
        before = len(d.cloud.orders)
        for index in range(2):
            d.restart_node(index)

        def ordered():
            return [o[3] for o in d.cloud.orders[before:] if o[1:3] == ("a-hall", True)]
        d.wait_ready()
        time.sleep(6)
        assert all(count >= 8 for count in ordered()), ordered()
        wait_until(lambda: ordered() and ordered()[-1] == 2, 30)


def test_who_takes_the_duties_over_orders_at_once():
    with Hosted(nodes=2, zones=("a-hall",)) as d:
        workers = [d.add_worker("llm", events=3, zone=z, slots=32)
                   for z in ("a-hall", "b-hall")]
        d.configure([d.route("s", "llm", "streaming")], services=[engine_service()])
        wait_until(lambda: d.cloud.orders, 20)
        before = d.cloud.orders[-1]
        old = [n for n in d.nodes if n.name == before[4]][0]
        old.kill()
        d.store.drop("servers", workers[0].id)  # one more is missing
        wait_until(lambda: d.store.objects["rillknot-leases"]["duties"]["spec"]["epoch"] >
                   before[5], 20)
        taken = time.monotonic()
        wait_until(lambda: d.cloud.orders[-1][4] != old.name, 20)
        took = time.monotonic() - taken
        assert took < 2, took
        return "first order %.1f s after the lease was taken" % took


def test_on_demand_vms_are_kept_while_no_others_can_be_had():
    with Hosted(nodes=1, zones=("a-hall",)) as d:
        d.cloud.refuse_spot = True
        kept = [d.add_worker("llm", events=3, zone=z, slots=32)
                for z in ("a-hall", "b-hall")]
        d.configure([d.route("s", "llm", "streaming")], services=[engine_service()])
        d.wait_ready()
        time.sleep(5)
        assert all(o[3] >= 1 for o in d.cloud.orders if not o[2]), d.cloud.orders
        assert kept[0].id and not [o for o in d.cloud.orders if o[2]]


def test_a_stop_cuts_nothing_off():
    """Not ready at once, the request in hand is finished, kept connections are told
    to close, the process ends by itself."""
    def slow(w, req, conn):
        time.sleep(1.0)
        return None
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        for w in d.workers:
            w.fault = slow
        got = []
        t = threading.Thread(target=lambda: got.append(d.call("/r/x", deadline=2800)))
        idle = d.connect()
        t.start()
        time.sleep(0.3)
        d.nodes[0].signal(signal.SIGTERM)
        wait_until(lambda: not d.ready(d.nodes[0]), 2)
        for w in d.workers:
            w.fault = None
        idle.sendall(b"GET /r/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
                     b"Rillknot-Attempt-Id: during-stop\r\n\r\n")
        a = read_answer(idle)
        assert a.status == 200 and a.headers.get("connection") == "close"
        t.join()
        assert got[0].status == 200 and got[0].whole
        assert d.nodes[0].popen.wait(10) == 0
        names = set(d.store.objects["rillknot-nodes"])
        assert d.nodes[0].name not in names and d.nodes[1].name in names


def stop_under_load(store_fault=None):
    with fleet(nodes=1, zones=("a-hall",)) as d:
        d.store.fault = store_fault
        lost, done, stop = [], [0], threading.Event()

        def ask(n):
            k = 0
            while not stop.is_set():
                k += 1
                try:
                    a = d.call("/r/x", ident="load-%d-%d" % (n, k))
                except (ConnectionRefusedError, http.client.HTTPException):
                    return
                if a.status != 200 and d.runs(a.ident):
                    lost.append(a.ident)
                done[0] += a.status == 200
                time.sleep(0.005)
        threads = [threading.Thread(target=ask, args=(n,)) for n in range(8)]
        for t in threads:
            t.start()
        time.sleep(0.5)
        d.nodes[0].signal(signal.SIGTERM)
        # A balancer stops sending; here the callers do.
        time.sleep(2.0)
        stop.set()
        for t in threads:
            t.join()
        assert d.nodes[0].popen.wait(10) == 0
        assert not lost and done[0] > 50, (lost, done)


def test_a_stop_under_load_loses_no_call():
    stop_under_load()


def test_a_stop_under_load_loses_no_call_while_the_store_is_away():
    stop_under_load(lambda req: "silent")


def test_a_call_is_answered_whole_while_the_store_comes_and_goes():
    """What disturbs the store alone cuts no call, also one that may not be repeated."""
    with fleet(nodes=2, kind="non_idempotent") as d:
        faults = ["silent", "reset", 503, None, "reset", "silent", None]
        for n, fault in enumerate(faults):
            d.store.fault = (lambda f: lambda req: f)(fault) if fault else None
            end, k = time.monotonic() + 0.8, 0
            while time.monotonic() < end:
                k += 1
                a = d.call("/r/x", node=k % 2, ident="store-%d-%d" % (n, k))
                assert a.status == 200 and a.whole and d.runs(a.ident) == 1, (fault, a.status)


def test_a_draining_vm_gets_nothing_while_the_store_is_away():
    """A node that knows that a vm leaves is bound by it, whatever the store does."""
    with fleet(nodes=2, zones=("a-hall", "b-hall")) as d:
        leaving = d.workers[0]
        d.store.put("servers", leaving.id, leaving.spec(state="draining"))
        told_at = d.store.revision
        wait_until(lambda: all(d.gauge(n, "list_revision") >= told_at for n in d.nodes), 6)
        before = len(leaving.seen)
        d.store.fault = lambda req: "reset"
        end, k = time.monotonic() + 5, 0
        while time.monotonic() < end:
            k += 1
            assert d.call("/r/x", node=k % 2, ident="away-%d" % k).status == 200
            time.sleep(0.01)
        d.store.fault = None
        time.sleep(1)
        assert all(d.call("/r/x", node=n).status == 200 for n in range(2))
        assert len(leaving.seen) == before, "calls reached a vm that leaves"


def test_a_hup_reads_the_file_again():
    with fleet(nodes=1, zones=("a-hall",)) as d:
        node = d.nodes[0]
        with open(node.file) as f:
            good = f.read()
        with open(node.file, "w") as f:
            f.write("{ not json")
        node.signal(signal.SIGHUP)
        node.wait_event("node.reload_failed", 10)
        with open(node.file, "w") as f:
            f.write(good)
        node.signal(signal.SIGHUP)
        node.wait_event("node.reloaded", 10)
        assert d.call("/r/x").status == 200


def test_a_file_that_changes_without_a_signal_is_read():
    with fleet(nodes=1, zones=("a-hall",)) as d:
        node = d.nodes[0]
        with open(node.file) as f:
            good = f.read()
        assert '"quota_slack": 0' in good
        with open(node.file, "w") as f:
            f.write(good.replace('"quota_slack": 0', '"quota_slack": 123'))
        reloaded = node.wait_event("node.reloaded", 10)
        assert reloaded["quota_slack"] == 123, reloaded
        assert d.call("/r/x").status == 200


NARROW_BYTES_S = 1250000  # a machine's link of 10 Mbit/s
STORM_VERSIONS, STORM_GAP_S = 25, 0.06


def large_settings(d):
    """Some 400 KB, with names that compress as badly as those of a deployment."""
    rng = random.Random(1)

    def name():
        return "%016x" % rng.getrandbits(64)
    return [d.route("r", "plain"), d.route("x7", "plain")] + \
        [d.route(name(), "plain", host="%s.example" % name()) for _ in range(1400)]


def behind_a_way(d, rate):
    """A node that reaches the store by a way of so many bytes a second."""
    store = faultproxy.FaultProxy(d.store.addr)
    store.rate = rate
    d.add_node(platform={"address": store.addr})
    d.add_worker("plain")


def test_settings_that_take_long_to_arrive_arrive():
    """The way carries them in some 4 s, longer than a call that gets no byte may
    last: a transfer that goes on is not given up, else no try ever ends."""
    with Hosted(nodes=0) as d:
        behind_a_way(d, NARROW_BYTES_S // 16)
        d.configure(large_settings(d), wait=False)
        d.wait_version(d.version, timeout=12)


def test_a_storm_of_large_settings_is_in_force_soon_behind_a_narrow_link():
    """Seen: a node answered by settings that had been replaced 18 s before, and its
    link was full meanwhile. A watch answers each version since the one known: 25 of
    300 KB each take 6 s on a link of 10 Mbit/s, longer than a watch may last, and the
    next try asks for the same again, until the store forgets its history. Only the
    newest counts, and a list has only that."""
    with Hosted(nodes=0) as d:
        behind_a_way(d, NARROW_BYTES_S)
        routes = large_settings(d)
        d.configure(routes)
        d.wait_ready()
        for n in range(STORM_VERSIONS):
            d.configure(routes + [d.route("new%d" % n, "plain")], wait=False)
            time.sleep(STORM_GAP_S)
        start = time.monotonic()
        d.wait_version(d.version, timeout=3)
        return "in force %.1f s after the last version" % (time.monotonic() - start)


def test_several_nodes_that_the_store_turns_away_hear_a_version_from_the_others():
    """A node that is as old as another one says nothing of who is newer: it neither
    puts off the question to those who are, nor counts as having caught up."""
    with fleet(nodes=4) as d:
        away = d.nodes[2:]
        for node in away:
            turn_away(d, node, 503)
        time.sleep(2)

        def caught_up(node):
            return [e["version"] for e in node.events() if e["event"] == "settings.caught_up"]
        before = [caught_up(node) for node in away]
        d.configure([d.route("r", "plain"), d.route("new", "plain")], wait=False)
        start = time.monotonic()
        d.wait_version(d.version, timeout=3)
        took = time.monotonic() - start
        time.sleep(0.5)
        for node, old in zip(away, before):
            assert caught_up(node) == old + [d.version], caught_up(node)
        return "in force after %.1f s" % took
