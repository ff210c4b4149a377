"""Versions that operators order for services, over real nodes: good ones are taken in
time and without a call lost, bad ones are given back within their bounds."""
import collections
import itertools
import re
import threading
import time

from hosted import Hosted, Worker, answer_json, wait_until

BOUNDS = {"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000}
DURATION_S = 6.0
ZONES = ("a-hall", "b-hall", "c-hall")


class Load:
    """Calls of several callers to all nodes, until it is stopped."""

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
        self.ended = True
        for t in self.threads:
            t.join()
        return self.statuses


def deployment(nodes=3, workers=3, routes=None, **kw):
    d = Hosted(nodes=nodes, zones=ZONES, bounds=BOUNDS, **kw).start()
    for n in range(workers):
        d.add_worker("plain", zone=ZONES[n % 3])
    d.configure(routes or [d.route("r", "plain")])
    d.wait_ready()
    wait_until(lambda: all(d.gauge(n, "nodes_heard") == nodes for n in d.nodes))
    wait_until(lambda: d.store.objects["rillknot-leases"])  # somebody decides
    time.sleep(0.4)
    return d


def failing(share):
    """A fault that answers some requests with 500: the first so many of each hundred."""
    numbers = itertools.count()

    def fault(worker, req, conn):
        if next(numbers) % 100 >= share * 100:
            return None
        worker.runs[req.get("Rillknot-Attempt-Id")] += 1
        body = b"bad"
        conn.sendall(worker.head(req, 500, b"Content-Length: 3\r\n") + body)
        return True
    return fault


def seen(workers):
    return sum(len(w.seen) for w in workers)


def test_a_good_version_is_taken_in_time_and_no_call_is_lost():
    with deployment() as d:
        load = Load(d)
        start = time.monotonic()
        old, new = d.roll_out("plain", "v2", DURATION_S)
        wait_until(lambda: d.rollout_state("plain") == "completed", DURATION_S + 2)
        took = time.monotonic() - start
        time.sleep(1)
        before = seen(new)
        time.sleep(0.5)
        statuses = load.stop()
        assert took < DURATION_S, took
        assert seen(new) > before
        assert set(statuses) == {200}, statuses
        return "taken after %.1f of %.0f s, %d calls" % (took, DURATION_S, sum(statuses.values()))


def check_given_back(d, bad, targets=("/r/x",)):
    """A bad version is given back; returns how many calls it got, and of how many."""
    load = Load(d, targets)
    old, new = d.roll_out("plain", "v2", DURATION_S, bad)
    wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 2)
    time.sleep(0.8)
    got = seen(new)
    time.sleep(1)
    statuses = load.stop()
    assert seen(new) == got, "it still got calls"
    total = seen(old) + seen(new)
    assert got <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"], (got, total)
    return "%d of %d calls; answers %s" % (got, total, dict(statuses))


def test_a_version_that_fails_is_given_back():
    with deployment() as d:
        return check_given_back(d, failing(0.5))


def samples(d, node, name):
    """{(service, version, route or None): value} of a metric at a node."""
    found = re.findall(r'^rillknot_%s\{service="([^"]*)",version="([^"]*)"'
                       r'(?:,route="([^"]*)")?\} (\S+)$' % name, d.metrics(node), re.M)
    return {(s, v, r or None): float(x) for s, v, r, x in found}


def test_metrics_tell_both_versions_apart():
    """Calls and failures by version and route, summed over the nodes, are those that the
    vms saw; phase, share and vms say where it stands."""
    with deployment() as d:
        load = Load(d)
        old, new = d.roll_out("plain", "v2", DURATION_S, failing(0.5))
        wait_until(lambda: seen(new) > 0, 6)
        wait_until(lambda: samples(d, d.nodes[0], "rollout_phase") ==
                   {("plain", "v2", None): 0}, 2)  # the holder tells it
        assert samples(d, d.nodes[0], "rollout_vms") == {("plain", "v1", None): 3,
                                                         ("plain", "v2", None): 3}
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 2)
        load.stop()
        time.sleep(0.6)  # the relays' reports

        def total(name, version):
            return sum(samples(d, n, name).get(("plain", version, "r"), 0) for n in d.nodes)
        assert samples(d, d.nodes[0], "rollout_phase") == {("plain", "v2", None): 4}
        assert samples(d, d.nodes[0], "rollout_share") == {("plain", "v2", None): 0}
        assert total("rollout_calls_total", "v2") == seen(new)
        assert total("rollout_failed_total", "v2") == min(50, seen(new))
        assert 0 < total("rollout_calls_total", "v1") <= seen(old)
        assert total("rollout_failed_total", "v1") == 0


def test_a_version_that_is_slow_is_given_back():
    def slow(worker, req, conn):
        time.sleep(0.1)
        return None
    with deployment() as d:
        return check_given_back(d, slow)


def test_a_version_that_fails_on_one_route_is_given_back():
    def one_route(worker, req, conn):
        return failing_all(worker, req, conn) if req.target.startswith("/s/") else None
    failing_all = failing(1.0)
    routes = [Hosted.route("r", "plain"), Hosted.route("s", "plain")]
    with deployment(routes=routes) as d:
        return check_given_back(d, one_route, ("/r/x", "/r/x", "/r/x", "/s/x"))


def test_a_version_that_nobody_ordered_gets_nothing_at_first_and_then_its_part():
    """As the platform replaces a vm by one of another version by itself: it is used once
    it is known that no operator ordered it."""
    with deployment() as d:
        worker = d.add_worker("plain", zone="a-hall", version="v9")
        wait_until(lambda: any(d.call("/r/x").status == 200 and worker.seen
                               for _ in range(3)), 8)


def test_a_node_that_starts_amid_a_trial_goes_by_the_word():
    with deployment() as d:
        old, new = d.roll_out("plain", "v2", 20.0, failing(1.0), count=1)
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        d.restart_node(1)
        d.wait_ready()
        load = Load(d)
        time.sleep(2.5)
        load.stop()
        total = seen(old) + seen(new)
        assert seen(new) <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"]


def test_a_node_that_starts_amid_a_trial_knows_which_version_serves():
    """Found by reading. While a version is tried as many vms have it as have the old one.
    A node that started took the one that came first in the list for the one that serves,
    and called the other none: here the new vms come first."""
    ids = Worker.ids
    Worker.ids = itertools.count(2 ** 20, -1)
    try:
        with deployment() as d:
            old, new = d.roll_out("plain", "v2", 30.0)
            wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
            other = (holder_of(d) + 1) % len(d.nodes)
            d.nodes[other].kill()
            d.restart_node(other)
            d.wait_ready()
            before, calls = seen(new), 150
            for _ in range(calls):
                d.call("/r/x", node=other)
            tried = seen(new) - before
            most = BOUNDS["exposureShare"] * calls + BOUNDS["exposureSlack"]
            assert tried <= most, (tried, calls)
            return "%d of %d calls tried it" % (tried, calls)
    finally:
        Worker.ids = ids


def test_another_holder_goes_on_where_the_first_was():
    """The holder is killed amid the trial, and again once the verdict is known."""
    with deployment() as d:
        load = Load(d)
        old, new = d.roll_out("plain", "v2", DURATION_S, failing(0.5))
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        holder = holder_of(d)
        d.nodes[holder].kill()
        d.restart_node(holder)
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 8)
        load.stop()
        total = seen(old) + seen(new)
        assert seen(new) <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"], (
            seen(new), total)


def test_a_holder_that_cannot_read_when_it_began_lets_nobody_try_meanwhile():
    """Seen: 102 of 480 calls at a bad version whose holder was killed and came back. It
    told the order's revision, but no rule until it had read when the roll-out began: all
    nodes took the new vms for replacements that nobody ordered, and used them in full."""
    with deployment() as d:
        load = Load(d)
        old, new = d.roll_out("plain", "v2", 20.0)
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        holder = holder_of(d)
        epoch = d.store.objects["rillknot-leases"]["duties"]["spec"]["epoch"]
        d.store.fault = lambda req: 503 if "rillknot-rollouts" in req.target else None
        d.nodes[holder].kill()
        d.restart_node(holder)
        wait_until(lambda: d.store.objects["rillknot-leases"]["duties"]["spec"]["epoch"]
                   > epoch, 10)
        time.sleep(1)  # what was on its way under the holder's last word
        before = seen(new)
        time.sleep(2)
        tried, total = seen(new) - before, seen(old) + seen(new)
        d.store.fault = None
        statuses = load.stop()
        assert tried == 0, (tried, total)
        assert set(statuses) <= {200, "no node", "cut"}, statuses


def holder_of(d):
    spec = d.store.objects["rillknot-leases"]["duties"]["spec"]
    name = spec["holder"].split("/")[0]
    return [n.name for n in d.nodes].index(name)


def test_a_store_that_is_away_from_the_verdict_on_does_not_let_it_run():
    with deployment() as d:
        load = Load(d)
        old, new = d.roll_out("plain", "v2", DURATION_S, failing(0.5))
        wait_until(lambda: d.rollout_state("plain") == "in_progress", 6)
        d.store.fault = lambda req: 503
        time.sleep(4)
        got = seen(new)
        time.sleep(1)
        assert seen(new) == got, "it still got calls"
        d.store.fault = None
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", 8)
        load.stop()


def test_an_order_that_is_taken_back_gives_the_new_version_nothing_more():
    with deployment() as d:
        load = Load(d)
        old, new = d.roll_out("plain", "v2", 20.0)
        wait_until(lambda: seen(new) > 0, 8)
        d.store.drop("rollouts", "plain")
        time.sleep(2)
        got = seen(new)
        time.sleep(1)
        statuses = load.stop()
        assert seen(new) == got
        assert set(statuses) == {200}, statuses


def test_an_order_taken_back_before_it_began_gives_the_new_version_nothing():
    with deployment() as d:
        load = Load(d)
        d.store.fault = lambda req: 503 if "rillknot-rollouts" in req.target else None
        old, new = d.roll_out("plain", "v2", 20.0)
        time.sleep(1.5)
        d.store.drop("rollouts", "plain")
        time.sleep(2)
        load.stop()
        assert seen(old) and not seen(new), (seen(old), seen(new))


def test_a_version_that_never_comes_is_given_back_in_time():
    with deployment() as d:
        d.roll_out("plain", "v2", 3.0, count=0)
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", 5)


def test_a_large_fleet_gives_a_bad_version_back_and_takes_a_good_one():
    """Fifteen nodes: the holder hears the others by their domains' bridges."""
    with deployment(nodes=15) as d:
        load = Load(d, callers=8)
        old, new = d.roll_out("plain", "v2", DURATION_S, failing(0.5))
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", DURATION_S + 2)
        time.sleep(1.2)
        got, total = seen(new), seen(old) + seen(new)
        assert got <= BOUNDS["exposureShare"] * total + BOUNDS["exposureSlack"], (got, total)
        for w in new:
            d.store.drop("servers", w.id)
        # Retries of what failed on it may use up a node's part of the budget.
        assert set(load.statuses) <= {200, 502}, load.statuses
        load.statuses.clear()
        d.roll_out("plain", "v3", DURATION_S)
        wait_until(lambda: d.rollout_state("plain") == "completed", DURATION_S + 2)
        time.sleep(1)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses
        return "bad: %d of %d calls" % (got, total)


def test_streams_that_run_on_the_old_version_end_before_it_is_taken():
    """The old vms stop at once when the new version is taken: nothing runs there then."""
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
        old, new = d.roll_out("llm", "v2", 9.0)
        wait_until(lambda: d.rollout_state("llm") == "completed", 9.0)
        time.sleep(1)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses
        assert not [w.left for w in old if w.left]


def test_two_services_move_at_once_and_one_order_replaces_another():
    routes = [Hosted.route("r", "plain"), Hosted.route("o", "other")]
    with Hosted(nodes=3, zones=ZONES, bounds=BOUNDS) as d:
        for zone in ZONES:
            d.add_worker("plain", zone=zone)
            d.add_worker("other", zone=zone)
        d.configure(routes, services=("plain", "other"))
        d.wait_ready()
        time.sleep(0.5)
        load = Load(d, ("/r/x", "/o/x"))
        d.roll_out("other", "v2", DURATION_S)
        old, replaced = d.roll_out("plain", "v2", 30.0)
        wait_until(lambda: seen(replaced) > 0, 8)
        d.roll_out("plain", "v3", DURATION_S)
        time.sleep(1)
        got = seen(replaced)
        wait_until(lambda: d.rollout_state("plain") == "completed" and
                   d.rollout_state("other") == "completed", DURATION_S + 4)
        assert seen(replaced) == got
        time.sleep(0.5)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses


def test_a_time_that_is_over_at_once_takes_nothing_without_a_trial():
    with deployment() as d:
        load = Load(d)
        time.sleep(0.5)
        old, new = d.roll_out("plain", "v2", 0.0)
        wait_until(lambda: d.rollout_state("plain") == "rolled_back", 6)
        time.sleep(0.5)
        statuses = load.stop()
        assert set(statuses) == {200}, statuses
