"""Tests of calls that come while a node stops as planned, in calm.

The balancer sends calls to a node until it has noticed the stop, and kept connections send
more. Each call gets a complete answer that is true: the VM's, or a refusal of one that has not
run, or a failure of one that may have run.
"""
import collections
import concurrent.futures
import signal
import time

from hosted import Hosted

CALL_INTERVAL_S = 0.05
DEADLINE_MS = 6000
NOT_RUN = (429, 503, 408, 421)  # statuses that promise this
BALANCER_S = 2.5  # after which the balancer has noticed a stop


def start(grace_s, work_s, kind="non_idempotent", nodes=1):
    """Starts nodes and a VM whose calls take work_s."""
    d = Hosted(nodes=nodes, bounds={"graceS": grace_s}).start()
    worker = d.add_worker("plain", slots=200)
    worker.work_s = work_s
    d.configure([d.route("r", "plain", kind, timeoutMs=DEADLINE_MS)],
                services=[{"name": "plain", "healthPath": "/healthz", "maxConns": 400}])
    d.wait_ready()
    return d


def call_until(d, end, node=0):
    """Makes calls at a node at a steady rate; returns the time of each, and its answer."""
    began = time.monotonic()
    made = []
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        while time.monotonic() < end:
            made.append((time.monotonic() - began,
                         pool.submit(d.call, "/r/x", node, deadline=DEADLINE_MS)))
            time.sleep(CALL_INTERVAL_S)
    # Connections that a stopped process refuses are not calls.
    return [(at, f.result()) for at, f in made if not f.exception()]


def check_answers(d, made):
    """Checks that each answer is complete and true; returns how many have which status."""
    statuses = collections.Counter()
    for at, a in made:
        runs = d.runs(a.ident)
        statuses[a.status] += 1
        if not a.status:
            assert not runs, "a call made at %.2f s ran and got no answer" % at
            continue
        assert a.whole, (at, a.status)
        if a.status in NOT_RUN:
            assert not runs, "a call made at %.2f s ran and got %d" % (at, a.status)
        else:
            assert a.status in (200, 502) and runs <= 1, (at, a.status, runs)
    return dict(statuses)


def check_late_calls(grace_s, work_s, warm_calls=4, **kw):
    """Checks the calls of a stop; returns the answers' statuses and times."""
    with start(grace_s, work_s, **kw) as d:
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            warm = pool.map(lambda _: d.call("/r/x", deadline=DEADLINE_MS), range(warm_calls))
            assert all(a.status == 200 for a in warm)
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + grace_s)
        statuses = check_answers(d, made)
        assert d.nodes[0].popen.wait(2) == 0
        return statuses, made


def test_late_calls_in_a_short_grace_period_are_not_cut():
    """Guards against calls that are accepted although they take longer than the rest of a
    stop, and are cut at its end without an answer."""
    for grace_s in (3, 4):
        statuses, made = check_late_calls(grace_s, work_s=1.5)
        assert statuses.get(502, 0) == 0, statuses
        assert statuses[200] > 0, statuses


def test_repeatable_late_calls_in_a_short_grace_period_are_not_cut():
    """Guards against the same for calls that may be repeated."""
    statuses, made = check_late_calls(4, work_s=1.5, kind="idempotent")
    assert statuses.get(502, 0) == 0 and statuses[200] > 0, statuses


def test_calls_that_take_longer_than_a_grace_period_get_an_answer():
    """Guards against calls that are cut without an answer as they take longer than expected."""
    statuses, made = check_late_calls(4, work_s=0.02)
    assert statuses[200] > 40, statuses
    with start(4, work_s=0.02) as d:
        assert all(d.call("/r/x", deadline=DEADLINE_MS).status == 200 for _ in range(8))
        d.workers[0].work_s = 5.0
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + 4)
        statuses = check_answers(d, made)
        assert statuses[502] > 0, statuses


def test_calls_of_unknown_duration_are_not_cut_in_a_short_grace_period():
    """Guards against calls that are cut at a node that has made no calls before its stop."""
    statuses, made = check_late_calls(4, work_s=1.5, warm_calls=0)
    assert statuses.get(502, 0) == 0, statuses


def test_calls_are_accepted_until_the_balancer_has_noticed_a_stop():
    """Guards against refusals of calls that the rest of a stop is long enough for."""
    statuses, made = check_late_calls(8, work_s=0.5)
    early = [a.status for at, a in made if at < BALANCER_S]
    assert set(early) == {200}, collections.Counter(early)


def test_calls_of_mixed_durations_are_accepted_while_the_longest_fits():
    """Guards against refusals of all calls from the beginning of a stop because some calls of
    their kind are short and some are long, though the rest of the stop is enough for each."""
    grace_s, long_s = 4, 2.0
    with start(grace_s, work_s=0.02) as d:
        d.add_worker("plain", slots=200).work_s = long_s
        d.wait_ready()
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            warm = list(pool.map(lambda _: d.call("/r/x", deadline=DEADLINE_MS), range(32)))
        assert sum(a.took_s > long_s / 2 for a in warm) > 4, "all calls ran at one worker"
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + grace_s)
        check_answers(d, made)
        # 3.15 s of the stop are left for answers.
        early = [a.status for at, a in made if at < 0.8]
        assert set(early) == {200}, collections.Counter(early)
