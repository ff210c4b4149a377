"""Tests of rollouts: new versions of a service that an operator orders.

A good version is committed in time without a lost call. A bad one is rolled back, and the
calls that it got stay within bounds.
"""
import collections
import itertools
import re
import threading
import time

from hosted import Hosted, Worker, answer_json, wait_until

BOUNDS = {"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000}
DURATION_S = 6.0
ZONES = ("a-hall", "b-hall", "c-hall")
HEADER_FIELDS = ("wall_ms", "mono_us", "level", "process", "failure_domain", "event")


class Load:
    """Calls of several callers to all nodes in turn, until stop() is called."""

    def __init__(self, d, targets=("/r/x",), callers=6, pause_s=0.02):
        self.d, self.targets, self.pause_s = d, targets, pause_s
        self.statuses = collections.Counter()
        self.ended = False
        self.threads = [threading.Thread(target=self._run, args=(n,), daemon=True)
                        for n in range(callers)]
        for t in self.threads:
            t.start()

    def _run(self, number):
        for i in itertools.count():
            if self.ended:
                return
            try:
                answer = self.d.call(self.targets[(i + number) % len(self.targets)],
                                     node=(i + number) % len(self.d.nodes))
                self.statuses[answer.status if answer.whole else "cut"] += 1
            except OSError:
                self.statuses["no node"] += 1
            time.sleep(self.pause_s)

    def stop(self):
        """Stops the callers and returns how often each status was seen."""
        self.ended = True
        for t in self.threads:
            t.join()
        return self.statuses


def deployment(nodes=3, workers=3, routes=None, **kw):
    """Starts nodes with plain workers; returns once there is a leader."""
    d = Hosted(nodes=nodes, zones=ZONES, bounds=BOUNDS, **kw).start()
    for n in range(workers):
        d.add_worker("plain", zone=ZONES[n % 3])
    d.configure(routes or [d.route("r", "plain")])
    d.wait_ready()
    wait_until(lambda: all(d.gauge(n, "nodes_heard") == nodes for n in d.nodes))
    wait_until(lambda: d.store.objects["rillknot-leases"])  # there is a leader
    time.sleep(0.4)
    return d


def failing_fault(share):
    """Returns a fault that answers the first `share` of each 100 requests with 500."""
    numbers = itertools.count()

    def fault(worker, req, conn):
        if next(numbers) % 100 >= share * 100:
            return None
        worker.runs[req.get("Rillknot-Attempt-Id")] += 1
        body = b"bad"
        conn.sendall(worker.head(req, 500, b"Content-Length: 3\r\n") + body)
        return True
    return fault


def calls_seen(workers):
    """Returns how many requests these workers got."""
    return sum(len(w.seen) for w in workers)


def test_a_good_version_is_committed_in_time_and_no_call_is_lost():
    """Guards against a good version that is committed late or at the cost of calls."""
    with deployment() as d:
        load = Load(d)
        start = time.monotonic()
        old, new = d.start_rollout("plain", "v2", DURATION_S)
        wait_until(lambda: d.rollout_state("plain") == "completed", DURATION_S + 2)
        took = time.monotonic() - start
        time.sleep(1)
        before = calls_seen(new)
        time.sleep(0.5)
        statuses = load.stop()
        assert took < DURATION_S, took
        assert calls_seen(new) > before
        assert set(statuses) == {200}, statuses
        return "committed after %.1f of %.0f s, %d calls" % (
            took, DURATION_S, sum(statuses.values()))


def check_rolled_back(d, bad, targets=("/r/x",)):
    """Checks that a bad version is rolled back and got few enough calls.

    After the rollback it must get none. Returns the counts as text.
    """
    load = Load(d, targets)
    old, new = d.start_rollout("plain", "v2", DURATION_S, bad)
    wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 2)
    time.sleep(0.8)
    got = calls_seen(new)
    time.sleep(1)
    statuses = load.stop()
    assert calls_seen(new) == got, "it still got calls"
    total = calls_seen(old) + calls_seen(new)
    assert got <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"], (got, total)
    return "%d of %d calls; answers %s" % (got, total, dict(statuses))


def test_a_version_that_fails_is_rolled_back():
    """Guards against a version that is kept although half of its calls fail."""
    with deployment() as d:
        return check_rolled_back(d, failing_fault(0.5))


def samples(d, node, name):
    """Returns {(service, version, route or None): value} of a node's metric."""
    found = re.findall(r'^rillknot_%s\{service="([^"]*)",version="([^"]*)"'
                       r'(?:,route="([^"]*)")?\} (\S+)$' % name, d.metrics(node), re.M)
    return {(s, v, r or None): float(x) for s, v, r, x in found}


def test_metrics_distinguish_both_versions():
    """Guards against rollout metrics that differ from what the VMs saw.

    Calls and failures by version and route are summed over the nodes; the leader
    publishes the rollout's phase, share and VMs.
    """
    with deployment() as d:
        load = Load(d)
        old, new = d.start_rollout("plain", "v2", DURATION_S, failing_fault(0.5))
        wait_until(lambda: calls_seen(new) > 0, 6)
        wait_until(lambda: samples(d, d.nodes[0], "rollout_phase") ==
                   {("plain", "v2", None): 0}, 2)  # the leader publishes it
        assert samples(d, d.nodes[0], "rollout_vms") == {("plain", "v1", None): 3,
                                                         ("plain", "v2", None): 3}
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 2)
        load.stop()
        time.sleep(0.6)  # until the relay threads have reported their counts

        def total(name, version):
            return sum(samples(d, n, name).get(("plain", version, "r"), 0) for n in d.nodes)
        assert samples(d, d.nodes[0], "rollout_phase") == {("plain", "v2", None): 4}
        assert samples(d, d.nodes[0], "rollout_share") == {("plain", "v2", None): 0}
        assert total("rollout_calls_total", "v2") == calls_seen(new)
        assert total("rollout_failed_total", "v2") == min(50, calls_seen(new))
        assert 0 < total("rollout_calls_total", "v1") <= calls_seen(old)
        assert total("rollout_failed_total", "v1") == 0


def test_a_version_that_is_slow_is_rolled_back():
    """Guards against a version that is kept although its calls take 100 ms longer."""

    def slow(worker, req, conn):
        time.sleep(0.1)
        return None
    with deployment() as d:
        return check_rolled_back(d, slow)


def test_a_version_that_fails_on_one_route_is_rolled_back():
    """Guards against a failure on one of several routes that the others' successes hide."""

    def fail_one_route(worker, req, conn):
        return fail_all(worker, req, conn) if req.target.startswith("/s/") else None
    fail_all = failing_fault(1.0)
    routes = [Hosted.route("r", "plain"), Hosted.route("s", "plain")]
    with deployment(routes=routes) as d:
        return check_rolled_back(d, fail_one_route, ("/r/x", "/r/x", "/r/x", "/s/x"))


def test_a_version_that_nobody_ordered_is_used_after_a_while():
    """Guards against a VM of an unknown version that is never used.

    The platform may replace a VM by one of another version by itself. That VM is used
    once it is known that no operator ordered a rollout of its version.
    """
    with deployment() as d:
        worker = d.add_worker("plain", zone="a-hall", version="v9")
        wait_until(lambda: any(d.call("/r/x").status == 200 and worker.seen
                               for _ in range(3)), 8)


def test_a_node_restarted_amid_a_canary_follows_the_announcement():
    """Guards against a restarted node that sends a canary as many calls as any other VM.

    The node must follow the leader's rollout announcement, which limits them.
    """
    with deployment() as d:
        old, new = d.start_rollout("plain", "v2", 20.0, failing_fault(1.0), count=1)
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        d.restart_node(1)
        d.wait_ready()
        load = Load(d)
        time.sleep(2.5)
        load.stop()
        total = calls_seen(old) + calls_seen(new)
        assert calls_seen(new) <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"]


def test_a_node_restarted_amid_a_canary_knows_the_serving_version():
    """Guards against a restarted node that takes the canary for the serving version.

    During a canary as many VMs have the new version as the old one. A restarted node took
    the version of the first VM in the list for the serving one, and sent the VMs of the
    other version no calls; here the new VMs are the first.
    """
    ids = Worker.ids
    Worker.ids = itertools.count(2 ** 20, -1)
    try:
        with deployment() as d:
            old, new = d.start_rollout("plain", "v2", 30.0)
            wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
            other = (leader_index(d) + 1) % len(d.nodes)
            d.nodes[other].kill()
            d.restart_node(other)
            d.wait_ready()
            before, calls = calls_seen(new), 150
            for _ in range(calls):
                d.call("/r/x", node=other)
            canary_calls = calls_seen(new) - before
            most = BOUNDS["exposureShare"] * calls + BOUNDS["exposureSlack"]
            assert canary_calls <= most, (canary_calls, calls)
            return "%d of %d calls went to the canary" % (canary_calls, calls)
    finally:
        Worker.ids = ids


def test_a_new_leader_continues_a_rollout():
    """Guards against a bad version that is kept when the leader is killed during the canary."""
    with deployment() as d:
        load = Load(d)
        old, new = d.start_rollout("plain", "v2", DURATION_S, failing_fault(0.5))
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        leader = leader_index(d)
        d.nodes[leader].kill()
        d.restart_node(leader)
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 8)
        load.stop()
        total = calls_seen(old) + calls_seen(new)
        assert calls_seen(new) <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"], (
            calls_seen(new), total)


def test_a_version_is_unused_until_the_leader_knows_its_rollouts_start():
    """Guards against a new version that gets full traffic after a restart of the leader.

    A bad version got 102 of 480 calls. The restarted leader announced the rollout's
    revision, but no rule until it had read when the rollout began, so all nodes took the
    new VMs for replacements that nobody ordered and used them in full.
    """
    with deployment() as d:
        load = Load(d)
        old, new = d.start_rollout("plain", "v2", 20.0)
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        leader = leader_index(d)
        epoch = d.store.objects["rillknot-leases"]["duties"]["spec"]["epoch"]
        d.store.fault = lambda req: 503 if "rillknot-rollouts" in req.target else None
        d.nodes[leader].kill()
        d.restart_node(leader)
        wait_until(lambda: d.store.objects["rillknot-leases"]["duties"]["spec"]["epoch"]
                   > epoch, 10)
        time.sleep(1)  # until calls placed by the killed leader's last announcement have ended
        before = calls_seen(new)
        time.sleep(2)
        new_calls, total = calls_seen(new) - before, calls_seen(old) + calls_seen(new)
        d.store.fault = None
        statuses = load.stop()
        assert new_calls == 0, (new_calls, total)
        assert set(statuses) <= {200, "no node", "cut"}, statuses


def leader_index(d):
    """Returns the index of the node that holds the leader lease."""
    spec = d.store.objects["rillknot-leases"]["duties"]["spec"]
    name = spec["holder"].split("/")[0]
    return [n.name for n in d.nodes].index(name)


def test_a_bad_version_is_stopped_while_the_store_is_down():
    """Guards against a bad version that keeps its calls while the verdict cannot be stored.

    The store goes down during the canary.
    """
    with deployment() as d:
        load = Load(d)
        old, new = d.start_rollout("plain", "v2", DURATION_S, failing_fault(0.5))
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        d.store.fault = lambda req: 503
        time.sleep(4)
        got = calls_seen(new)
        time.sleep(1)
        assert calls_seen(new) == got, "it still got calls"
        d.store.fault = None
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", 8)
        load.stop()


def test_a_cancelled_rollout_gives_no_more_calls():
    """Guards against a new version that still gets calls after its rollout was cancelled."""
    with deployment() as d:
        load = Load(d)
        old, new = d.start_rollout("plain", "v2", 20.0)
        wait_until(lambda: calls_seen(new) > 0, 8)
        d.store.drop("rollouts", "plain")
        time.sleep(2)
        got = calls_seen(new)
        time.sleep(1)
        statuses = load.stop()
        assert calls_seen(new) == got
        assert set(statuses) == {200}, statuses


def test_a_rollout_cancelled_before_its_start_gives_no_calls():
    """Guards against a new version that gets calls although its rollout never began.

    The leader cannot read when the rollout began, and the operator cancels the rollout.
    """
    with deployment() as d:
        load = Load(d)
        d.store.fault = lambda req: 503 if "rillknot-rollouts" in req.target else None
        old, new = d.start_rollout("plain", "v2", 20.0)
        time.sleep(1.5)
        d.store.drop("rollouts", "plain")
        time.sleep(2)
        load.stop()
        assert calls_seen(old) and not calls_seen(new), (calls_seen(old), calls_seen(new))


def test_a_version_without_vms_is_rolled_back_in_time():
    """Guards against a rollout that stays open because no VM of its version starts."""
    with deployment() as d:
        d.start_rollout("plain", "v2", 3.0, count=0)
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", 5)


def test_a_fleet_with_bridges_rolls_back_and_commits_versions():
    """Guards against rollouts that need each node's own report.

    With 15 nodes, the leader gets the other domains' results as digests of their bridges.
    """
    with deployment(nodes=15) as d:
        load = Load(d, callers=8)
        old, new = d.start_rollout("plain", "v2", DURATION_S, failing_fault(0.5))
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 2)
        time.sleep(1.2)
        got, total = calls_seen(new), calls_seen(old) + calls_seen(new)
        assert got <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"], (got, total)
        for w in new:
            d.store.drop("servers", w.id)
        # Retries of calls that failed there may use up a node's share of the retry budget.
        assert set(load.statuses) <= {200, 502}, load.statuses
        load.statuses.clear()
        d.start_rollout("plain", "v3", DURATION_S)
        wait_completed(d, ("plain",), DURATION_S + 2)
        time.sleep(1)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses
        return "bad: %d of %d calls" % (got, total)


def test_streams_on_the_old_version_end_before_the_commit():
    """Guards against streams that are cut by the commit.

    The platform stops the old VMs as soon as the new version is committed, so nothing may
    run there then.
    """
    routes = [Hosted.route("s", "llm", "streaming", timeoutMs=8000, maxAttempts=1)]
    engine = {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
              "engine": {"slots": 32, "kvCapacity": 100000}}
    with Hosted(nodes=3, zones=ZONES, bounds=BOUNDS) as d:
        for zone in ZONES:
            d.add_worker("llm", events=10, zone=zone, slots=32).gap_s = 0.06
        d.configure(routes, services=[engine])
        d.wait_ready()
        time.sleep(0.5)
        load = Load(d, ("/s/x",), callers=8)
        old, new = d.start_rollout("llm", "v2", 9.0)
        wait_until(lambda: d.rollout_state("llm") == "completed", 9.0)
        time.sleep(1)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses
        assert not [w.left for w in old if w.left]


def wait_completed(d, services, timeout):
    """Waits until the services' rollouts are completed; if they are not, says what the nodes
    logged of them."""
    try:
        wait_until(lambda: all(d.rollout_state(s) == "completed" for s in services), timeout)
    except AssertionError:
        states = {s: d.rollout_state(s) for s in services}
        logged = [(e["wall_ms"], e["process"], e["event"],
                   {k: e[k] for k in e if k not in HEADER_FIELDS})
                  for n in d.nodes for e in n.events()
                  if e.get("event") in ("rollout.begun", "rollout.phase", "rollout.record")]
        raise AssertionError("%s at %d: %s" % (states, time.time() * 1000, logged)) from None


def test_two_services_roll_out_at_once_and_one_order_replaces_another():
    """Guards against rollouts of two services that disturb each other.

    A rollout that is replaced by another one for the same service must end at once.
    """
    routes = [Hosted.route("r", "plain"), Hosted.route("o", "other")]
    with Hosted(nodes=3, zones=ZONES, bounds=BOUNDS) as d:
        for zone in ZONES:
            d.add_worker("plain", zone=zone)
            d.add_worker("other", zone=zone)
        d.configure(routes, services=("plain", "other"))
        d.wait_ready()
        time.sleep(0.5)
        load = Load(d, ("/r/x", "/o/x"))
        d.start_rollout("other", "v2", DURATION_S)
        old, replaced = d.start_rollout("plain", "v2", 30.0)
        wait_until(lambda: calls_seen(replaced) > 0, 8)
        d.start_rollout("plain", "v3", DURATION_S)
        time.sleep(1)
        got = calls_seen(replaced)
        wait_completed(d, ("plain", "other"), DURATION_S + 4)
        assert calls_seen(replaced) == got
        time.sleep(0.5)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses


def test_a_rollout_without_time_for_a_canary_is_rolled_back():
    """Guards against a version that is committed untested because its time is over at once."""
    with deployment() as d:
        load = Load(d)
        time.sleep(0.5)
        old, new = d.start_rollout("plain", "v2", 0.0)
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", 6)
        time.sleep(0.5)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses
