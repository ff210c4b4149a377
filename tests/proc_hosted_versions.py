"""Tests of streams at engines of several software versions in one service.

Events of two versions don't fit together: a stream may go on only at the version that began
it, within one answer and over a caller's attempts, at whichever node. The caller names in
`Resumes` the attempt that brought the first event. What no node knows is rejected as not run.
"""
import concurrent.futures
import multiprocessing
import re
import time

from hosted import Hosted, reset, wait_until

ZONES = ("a-hall", "b-hall", "c-hall")
EVENTS = 12
REJECTED_S = 0.5  # a resume that can't go on is rejected by then
STREAMS = 12
TENANTS = [{"name": name, "apiKeys": [key], "unit": "token_stream", "plainTokens": 1,
            "ratePerS": 0, "burst": 0} for name, key in (("clinic", "key-1"), ("rank", "key-2"))]


class Versions:
    """Nodes with engines of several versions, and what is known of each stream's events."""

    def __init__(self, nodes=3, versions=("v1", "v1", "v1", "v2", "v2", "v2"), zones=ZONES,
                 moves=False, resumable=True, hosted=Hosted, **kw):
        self.d = hosted(nodes=nodes, zones=zones, bounds={"budgetExtra": 4000}, **kw).start()
        for n, version in enumerate(versions):
            self.add(version, zones[n % len(zones)])
        engine = {"slots": 64, "kvCapacity": 100000, "moves": moves}
        self.d.configure([self.d.route("s", "llm", "streaming", timeoutMs=8000,
                                       resumable=resumable)],
                         services=[{"name": "llm", "healthPath": "/healthz", "maxConns": 400,
                                    "engine": engine}], tenants=TENANTS)
        self.settle()

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.d.__exit__(*failure)

    def settle(self):
        """Waits until all nodes are ready and hear each other."""
        d = self.d
        d.wait_ready()
        wait_until(lambda: all(d.gauge(n, "nodes_heard") == len(d.nodes) for n in d.nodes))
        time.sleep(0.5)

    def add(self, version, zone=ZONES[0]):
        worker = self.d.add_worker("llm", events=EVENTS, zone=zone, slots=64, version=version)
        worker.gap_s = 0.02
        return worker

    def workers(self, version):
        return [w for w in self.d.workers if w.version == version]

    def kill_all(self):
        """Kills all nodes at once."""
        for n in self.d.nodes:
            n.kill()

    def restart_all(self):
        """Starts all nodes again and waits until they are ready."""
        for n in range(len(self.d.nodes)):
            self.d.restart_node(n)
        self.settle()

    def drop(self, version):
        """Removes a version's workers from the list; they serve on."""
        for w in self.workers(version):
            self.d.store.drop("servers", w.id)

    def versions_of(self, *idents):
        """Returns the versions of the workers that sent events in these attempts."""
        return {w.version for w in self.d.workers for i in idents if w.events_sent[i]}

    def take_up(self, ident, last, node=0, key="key-1", resumes=None):
        """Takes a stream up at a node after its event `last`, as its caller does."""
        headers = [("Last-Event-Id", str(last)), ("Resumes", ident if resumes is None else resumes)]
        return self.d.call("/s/x", node=node, key=key, deadline=6000, headers=headers)

    def begin(self, node=0, until=3, key="key-1", ident=None):
        """Begins a stream and leaves after some events.

        Returns its id and the number of whole events received.
        """
        ident = ident or "%016x" % next(self.d.ids)
        s = self.d.connect(node)
        s.sendall(b"POST /s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: %s\r\n"
                  b"Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: 6000\r\n"
                  b"Content-Length: 0\r\n\r\n" % (key.encode(), ident.encode()))
        got = b""
        while got.count(b"\n\n") < until:
            part = s.recv(4096)
            assert part, got
            got += part
        s.close()
        return ident, max(int(n) for n in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", got))

    def check_taken_up(self, begun, nodes):
        """Takes streams up at the nodes in turn; returns how many went on.

        None may go on at another version, and one that doesn't go on is rejected at once as
        not run.
        """
        went_on = 0
        for n, (ident, last) in enumerate(begun):
            a = self.take_up(ident, last, nodes[n % len(nodes)])
            if a.status == 200:
                assert a.whole and count_events(a.body) == list(range(last + 1, EVENTS + 1))
                went_on += 1
                versions = self.versions_of(ident, a.ident)
                assert len(versions) == 1, (n, versions)
            else:
                assert a.status == 503 and self.d.runs(a.ident) == 0, (a.status, a.body)
                assert a.took_s < REJECTED_S, (a.took_s, time.time() % 1000, self.d.trace(a.ident))
        return went_on


def count_events(body):
    return [int(n) for n in re.findall(rb"id: (\d+)\n", body)]


def break_off_once(broken):
    """Returns a worker fault that resets each request's first stream after three events."""
    def fault(w, req, conn):
        ident = req.get("Rillknot-Attempt-Id")
        if ident in broken:
            return None
        broken.add(ident)
        w.runs[ident] += 1
        w.stream(req, conn, 3, end=False)
        reset(conn)
        return False
    return fault


def call_all(f, count=STREAMS, nodes=1):
    """Makes calls at the nodes in turn, at the same time; returns the answers."""
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        calls = [pool.submit(f.d.call, "/s/x", n % nodes, deadline=6000) for n in range(count)]
        return [c.result() for c in calls]


def test_a_broken_stream_goes_on_at_its_version():
    """Guards against a node that resumes a broken stream at another version."""
    with Versions(nodes=1) as f:
        broken = set()
        for w in f.d.workers:
            w.fault = break_off_once(broken)
        for a in call_all(f):
            assert a.whole and count_events(a.body) == list(range(1, EVENTS + 1)), a.status
            assert len(f.versions_of(a.ident)) == 1, f.versions_of(a.ident)


def test_a_broken_stream_is_cut_rather_than_mixed():
    """Guards against a stream that goes on at another version because no VM of its own is
    left."""
    with Versions(nodes=1, versions=("v1", "v2", "v2", "v2")) as f:
        broken = set()
        f.workers("v1")[0].fault = break_off_once(broken)
        for a in call_all(f, 24):
            assert len(f.versions_of(a.ident)) == 1, f.versions_of(a.ident)
            assert a.ident not in broken or not a.whole, a.body
        assert broken


def test_a_stream_that_failed_before_its_first_event_is_bound_to_no_version():
    """Guards against a call that fails because a VM which sent no event was of a version that
    has no other VM."""
    def fail_early(w, req, conn):
        conn.sendall(w.head(req, framing=b"Transfer-Encoding: chunked\r\n"))
        reset(conn)
        return False
    with Versions(nodes=1, versions=("v1", "v2", "v2", "v2")) as f:
        f.workers("v1")[0].fault = fail_early
        for a in call_all(f, 24):
            assert a.whole and count_events(a.body) == list(range(1, EVENTS + 1)), a.status
        assert f.workers("v1")[0].seen


def test_a_caller_takes_a_stream_up_at_its_version_at_any_node():
    """Guards against a caller's resume that goes on at another version, or doesn't go on, at
    the node that began the stream and at others."""
    with Versions() as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        assert f.check_taken_up(begun, [0, 1, 2]) == STREAMS
        begun = [f.begin(0) for n in range(STREAMS)]
        assert f.check_taken_up(begun, [1, 2]) == STREAMS


def test_a_stream_is_taken_up_again_after_a_resume():
    """Guards against a version that is forgotten after the first resume."""
    with Versions() as f:
        for n in range(STREAMS):
            ident, last = f.begin(n % 3)
            first = f.take_up(ident, last, (n + 1) % 3)
            second = f.take_up(ident, last + 1, (n + 2) % 3)
            assert first.status == 200 and second.status == 200, (first.status, second.status)
            assert len(f.versions_of(ident, first.ident, second.ident)) == 1


def test_streams_are_taken_up_after_their_node_was_killed():
    """Guards against streams that are lost, or go on at another version, when the node that
    began them has ended."""
    with Versions(nodes=6) as f:
        begun = [f.begin(0) for _ in range(STREAMS)]
        f.d.nodes[0].kill()
        went_on = f.check_taken_up(begun, [1, 2, 3, 4, 5])
        assert went_on == STREAMS, went_on


def test_streams_are_taken_up_after_a_third_of_the_nodes_was_killed():
    """Guards against streams that go on at another version, or mostly don't go on, when those
    that kept their versions were killed, too."""
    with Versions(nodes=6) as f:
        begun = [f.begin(n % 2) for n in range(2 * STREAMS)]
        for n in (0, 1):
            f.d.nodes[n].kill()
        went_on = f.check_taken_up(begun, [2, 3, 4, 5])
        assert went_on > STREAMS, went_on
        return "%d of %d went on" % (went_on, 2 * STREAMS)


def test_a_stream_that_no_node_knows_is_rejected_while_versions_differ():
    """Guards against a version that is guessed: the caller names an attempt that nobody knows,
    or none."""
    with Versions() as f:
        begun = [("%016x" % next(f.d.ids), 3) for _ in range(STREAMS)]
        assert f.check_taken_up(begun, [0, 1, 2]) == 0
        a = f.d.call("/s/x", headers=[("Last-Event-Id", "3")])
        assert a.status == 503 and f.d.runs(a.ident) == 0, a.status


def test_streams_are_not_guessed_after_a_kill_of_all_nodes():
    """Guards against nodes that have forgotten all versions and guess."""
    with Versions(nodes=3) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        f.kill_all()
        f.restart_all()
        f.check_taken_up(begun, [0, 1, 2])


def test_streams_go_on_after_a_kill_of_all_nodes():
    """Guards against streams that are all lost when no node is left that knows their versions,
    though VMs of these versions are there, after one kill and after two in a row."""
    went_on = []
    with Versions(nodes=3) as f:
        begun = [f.begin(n % 3) for n in range(2 * STREAMS)]
        time.sleep(1)  # what is to be persisted has been
        for _ in range(2):
            f.kill_all()
            f.restart_all()
            went_on.append(f.check_taken_up(begun, [0, 1, 2]))
            unknown = [("%016x" % next(f.d.ids), 3) for _ in range(3)]
            assert f.check_taken_up(unknown, [0, 1, 2]) == 0
    assert min(went_on) > len(begun) * 3 / 4, (went_on, len(begun))
    return "%s of %d went on" % (went_on, len(begun))


def test_streams_go_on_when_their_records_can_be_read_late():
    """Guards against nodes that aren't ready, or let callers wait, while the records of
    streams can't be read, and that never read them then; odd records are skipped."""
    odd = ([], {}, {"era": "x", "groups": 1}, {"era": 1, "wall_ms": -2 ** 63, "groups": [1]},
           {"era": 1, "wall_ms": 2 ** 63 - 1, "groups": [{"ttl_ms": {}, "streams": [[]]}]})
    with Versions(nodes=3) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(1)  # what is to be persisted has been
        for n, spec in enumerate(odd):
            f.d.store.put("rillknot-streams", "odd-%d" % n, spec)
        f.d.store.fault = lambda req: 503 if "/rillknot-streams" in req.target else None
        f.kill_all()
        f.restart_all()
        assert f.check_taken_up(begun, [0, 1, 2]) == 0
        f.d.store.fault = None
        ident, last = begun[0]
        wait_until(lambda: f.take_up(ident, last).status == 200)
        went_on = f.check_taken_up(begun, [0, 1, 2])
        assert went_on > STREAMS * 3 / 4, went_on


def test_a_record_of_streams_from_before_a_restore_is_not_believed():
    """Guards against records of a copy of the store, in which what was written since the copy
    is missing."""
    with Versions(nodes=3) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(1)  # what is to be persisted has been
        f.kill_all()
        f.d.store.restore(f.d.store.copy())
        f.restart_all()
        assert f.check_taken_up(begun, [0, 1, 2]) == 0
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(1)
        f.kill_all()
        f.restart_all()
        went_on = f.check_taken_up(begun, [0, 1, 2])
        assert went_on > STREAMS * 3 / 4, went_on


def test_a_record_that_another_node_has_written_is_merged():
    """Guards against a writer that replaces another one's record, or gives up, when two nodes
    take themselves for the writer."""
    with Versions(nodes=3) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(1)
        records = f.d.store.objects["rillknot-streams"]
        assert records
        for name, record in list(records.items()):
            spec = record["spec"]
            foreign = {"version": "v9", "ttl_ms": 15000, "streams": "%016x" % (1 << 60)}
            f.d.store.put("rillknot-streams", name, dict(spec, groups=[foreign]))
        begun += [f.begin(n % 3) for n in range(3)]

        def is_merged():
            groups = [str(o["spec"]["groups"]) for o in records.values()]
            return all("v1" in g and "v9" in g for g in groups)
        wait_until(is_merged)
        f.kill_all()
        f.restart_all()
        went_on = f.check_taken_up(begun, [0, 1, 2])
        assert went_on > len(begun) * 3 / 4, went_on


def old_leaves_while_nodes_are_down(f):
    f.kill_all()
    f.drop("v1")


def new_comes_and_leaves(f):
    f.add("v3")
    time.sleep(0.5)
    f.kill_all()
    f.drop("v3")


def old_leaves_just_before(f):
    f.drop("v1")
    time.sleep(0.3)
    f.kill_all()


def all_are_replaced(f):
    f.kill_all()
    for version in ("v1", "v2"):
        f.drop(version)
    for zone in ZONES:
        f.add("v3", zone)


def two_kills(f):
    f.kill_all()
    f.restart_all()
    f.drop("v1")
    f.kill_all()


def take_up_after(change):
    with Versions(nodes=3) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        change(f)
        f.restart_all()
        return f.check_taken_up(begun, [0, 1, 2])


def test_streams_are_not_mixed_after_a_kill_of_all_nodes_beside_a_change_of_versions():
    """Guards against streams that go on at another version when nodes that have forgotten
    everything see only a part of the versions that served."""
    changes = (old_leaves_while_nodes_are_down, new_comes_and_leaves, old_leaves_just_before,
               all_are_replaced, two_kills)
    # A process for each: to start a node stops all threads of a process for up to 0.4 s.
    with concurrent.futures.ProcessPoolExecutor(len(changes),
                                                multiprocessing.get_context("fork")) as pool:
        went_on = list(pool.map(take_up_after, changes))
    assert went_on[changes.index(all_are_replaced)] == 0, went_on
    return ", ".join("%s: %d of %d went on" % (c.__name__, n, STREAMS)
                     for c, n in zip(changes, went_on))


def test_a_stream_of_a_version_that_is_gone_is_rejected():
    """Guards against a stream that goes on at the only version that is left."""
    with Versions(versions=("v1", "v1", "v2", "v2")) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        of_v1 = [b for b in begun if f.versions_of(b[0]) == {"v1"}]
        of_v2 = [b for b in begun if f.versions_of(b[0]) == {"v2"}]
        for w in f.workers("v1"):
            f.d.store.drop("servers", w.id)
        time.sleep(0.5)
        assert f.check_taken_up(of_v1, [0, 1, 2]) == 0
        assert f.check_taken_up(of_v2, [0, 1, 2]) == len(of_v2)
        unknown = [("%016x" % next(f.d.ids), 3)]
        assert f.check_taken_up(unknown, [0]) == 0
        assert of_v1 and of_v2


def test_a_stream_begun_before_another_version_came_is_taken_up():
    """Guards against streams that nobody knows because one version served when they began."""
    with Versions(versions=("v1", "v1", "v1")) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            for w in f.d.workers:
                w.gap_s = 0.15
            running = [pool.submit(f.d.call, "/s/x", n % 3, deadline=6000) for n in range(6)]
            time.sleep(0.3)
            for zone in ZONES:
                f.add("v2", zone)
            time.sleep(0.5)
            running_ids = [(r.get("Rillknot-Attempt-Id"), 1) for w in f.workers("v1")
                           for r in w.seen[-2:]]
            for w in f.d.workers:
                w.gap_s = 0.02  # all are taken up within the lifetime of a stream
            assert f.check_taken_up(running_ids, [0, 1, 2]) == len(running_ids)
            assert f.check_taken_up(begun, [0, 1, 2]) > STREAMS / 2
            assert all(r.result().whole for r in running)


def test_a_restarted_node_learns_that_one_version_serves():
    """Guards against a restarted node that rejects resumes because it doesn't know whether
    other versions have served."""
    with Versions(versions=("v1", "v1", "v1")) as f:
        begun = [f.begin(0) for _ in range(STREAMS)]
        f.d.restart_node(0)
        f.settle()
        assert f.check_taken_up(begun, [0]) == STREAMS


def test_one_version_is_known_after_a_kill_of_all_nodes():
    """Guards against resumes that are rejected after a kill of all nodes, though only one
    version has ever served."""
    with Versions(versions=("v1", "v1", "v1")) as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(1)  # what is to be persisted has been
        f.kill_all()
        f.restart_all()
        assert f.check_taken_up(begun, [0, 1, 2]) == STREAMS


def refuse_records(req):
    """A fault of the store: nodes can't write what they persist."""
    return 503 if req.method != "GET" and "/rillknot-" in req.target else None


def test_a_version_that_came_after_the_last_record_and_left_is_not_forgotten():
    """Guards against streams that go on at another version after a kill of all nodes because
    a record from before that version came says that there has been only one."""
    with Versions(versions=("v1", "v1", "v1")) as f:
        for n in range(3):
            f.begin(n)
        time.sleep(1)  # what is to be persisted has been
        f.d.store.fault = refuse_records
        for zone in ZONES:
            f.add("v2", zone)
        begun = []

        def has_begun_at_both():
            begun.extend(f.begin(n) for n in range(3))
            return all(any(f.versions_of(ident) == {v} for ident, _ in begun)
                       for v in ("v1", "v2"))
        wait_until(has_begun_at_both)
        f.kill_all()
        f.drop("v2")
        f.d.store.fault = None
        f.restart_all()
        f.check_taken_up(begun, [0, 1, 2])


def test_a_stream_of_another_organisation_is_not_taken_up():
    """Guards against an organisation that takes up, or finds out about, another one's streams."""
    with Versions() as f:
        for n in range(4):
            ident, last = f.begin(n % 3)
            a = f.take_up(ident, last, n % 3, key="key-2")
            assert a.status == 503 and f.d.runs(a.ident) == 0, a.status
            assert f.take_up(ident, last, n % 3).status == 200


def test_a_malformed_resumes_header_is_refused():
    """Guards against long, empty, repeated or invalid values of the header."""
    with Versions(nodes=1) as f:
        ident, last = f.begin()
        for bad in ("", "x" * 200, "a b", "a,b", "a\tb", "\x7f"):
            a = f.take_up(ident, last, resumes=bad)
            assert a.status == 400 and f.d.runs(a.ident) == 0, (bad, a.status)
        twice = [("Last-Event-Id", str(last)), ("Resumes", ident), ("resumes", ident)]
        a = f.d.call("/s/x", headers=twice)
        assert a.status == 400 and f.d.runs(a.ident) == 0, a.status
        assert f.take_up(ident, last).status == 200
        # It says nothing in a request that takes up no stream.
        assert f.d.call("/s/x", headers=[("Resumes", "a b")]).status == 200


def test_a_stream_moves_to_an_engine_of_its_version():
    """Guards against a move of the KV cache to an engine of another version."""
    with Versions(nodes=1, versions=("v1", "v1", "v2", "v2", "v2"), moves=True) as f:
        for w in f.d.workers:
            w.events, w.gap_s = 60, 0.05
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            running = [pool.submit(f.d.call, "/s/x", deadline=8000) for _ in range(6)]
            time.sleep(0.4)
            f.d.drain(f.workers("v1")[0])
            f.d.drain(f.workers("v2")[0])
            for r in running:
                a = r.result()
                assert len(f.versions_of(a.ident)) == 1, f.versions_of(a.ident)
                assert a.whole and count_events(a.body) == list(range(1, 61)), a.body[-40:]
        assert any(w.moved for w in f.d.workers)


def test_a_cached_prefix_is_copied_from_an_engine_of_the_same_version():
    """Guards against an engine that is told to copy a prefix from one of another version."""
    prompt = [("Rillknot-Model-Name", "m"), ("Rillknot-Token-Usage", "3100,20"),
              ("Rillknot-Prompt-Prefix", "aa:3000,bb:100")]
    with Versions(nodes=1, versions=("v1", "v2", "v1", "v2"), moves=True) as f:
        for _ in range(12):
            f.d.call("/s/x", headers=prompt)
        version_at = {w.addr: w.version for w in f.d.workers}
        sources = [(w.version, version_at[r.get("Kv-Fetch")]) for w in f.d.workers
                   for r in w.seen if r.get("Kv-Fetch")]
        assert all(own == other for own, other in sources), sources
