"""Tests of a VM that advertises in its answers how many requests a second it takes.

The limit holds for all nodes together. The header was passed on to callers and otherwise
ignored: with 8 nodes and 9 engines, two engines with a limit of 1 a second got 15 to 17
requests in 4 s, where 11 are allowed. Here nodes learn of limits by answers only.
"""
import time

from hosted import wait_until
from signals import Fleet, max_in_window

PROPAGATION_S = 3.0  # from the first answer with a limit until each node knows it
WINDOW_S = 4.0  # the period in which requests are counted


def allowed_arrivals(limit):
    """Returns how many requests a VM with this limit may get within WINDOW_S."""
    return 1.5 * WINDOW_S * limit + 5


def arrivals(worker, since):
    """Returns the arrival times of the worker's requests since a point in time."""
    return [r.at for r in worker.seen if r.at >= since]


def check_limit(worker, limit, since):
    """Checks the limit in each period of WINDOW_S, and returns the largest count."""
    most = max_in_window(arrivals(worker, since), WINDOW_S)
    assert most <= allowed_arrivals(limit), \
        "%d in %g s, allowed %g" % (most, WINDOW_S, allowed_arrivals(limit))
    return most


def set_limits(fleet, limit, count=2):
    """Sets the limit of the VMs with the most requests.

    Returns these VMs and the time from which the limit must hold.
    """
    limited = sorted(fleet.d.workers, key=lambda w: -len(w.seen))[:count]
    for worker in limited:
        worker.limit = limit
    return limited, time.monotonic() + PROPAGATION_S


def test_a_limit_of_one_a_second_holds_over_all_nodes():
    """Guards against nodes that ignore a VM's limit, or each use all of it."""
    with Fleet() as f:
        f.run_callers(60)
        time.sleep(2)
        limited, since = set_limits(f, 1)
        time.sleep(PROPAGATION_S + 2 * WINDOW_S)
        most = [check_limit(w, 1, since) for w in limited]
        served, sent = f.served(since)
        assert served == sent, "%d of %d served" % (served, sent)
        return "%s in 4 s, 11 allowed; %d of %d served" % (most, served, sent)


def test_a_limit_of_one_a_second_holds_in_a_fleet_with_bridges():
    """Guards against a limit that is exceeded with bridges.

    There are more nodes than requests allowed in a period.
    """
    with Fleet(nodes=15) as f:
        f.run_callers(90)
        time.sleep(2)
        limited, since = set_limits(f, 1)
        time.sleep(PROPAGATION_S + 2 * WINDOW_S)
        return "%s in 4 s, 11 allowed" % [check_limit(w, 1, since) for w in limited]


def test_a_limit_holds_over_a_restart_and_changes_of_settings():
    """Guards against a limit that is exceeded by a restarted node.

    New settings, which rebuild the list of VMs, must not reset it, either.
    """
    with Fleet(nodes=4, workers=3) as f:
        f.run_callers(40)
        time.sleep(2)
        limited, since = set_limits(f, 2, count=1)
        time.sleep(PROPAGATION_S)
        f.d.nodes[1].kill()
        f.d.restart_node(1)
        for _ in range(3):
            time.sleep(1.5)
            f.d.configure([f.d.route("s", "llm", "streaming", resumable=True)],
                          services=[dict(name="llm", healthPath="/healthz", maxConns=2000,
                                         protocol="h1", tls=False,
                                         engine={"slots": 32, "kvCapacity": 100000})])
        time.sleep(WINDOW_S)
        return "%d in 4 s, 17 allowed" % check_limit(limited[0], 2, since)


def test_a_limit_holds_while_the_store_is_away():
    """Guards against a limit that nodes only share by way of the store."""
    with Fleet(nodes=4, workers=3) as f:
        f.run_callers(40)
        time.sleep(1)
        f.d.store.fault = lambda req: 503
        time.sleep(1)
        limited, since = set_limits(f, 1, count=1)
        time.sleep(PROPAGATION_S + 2 * WINDOW_S)
        return "%d in 4 s, 11 allowed" % check_limit(limited[0], 1, since)


def test_a_limit_is_used_and_its_end_is_noticed():
    """Guards against a limited VM that gets almost nothing.

    Nodes must also notice when the VM no longer advertises a limit.
    """
    with Fleet(nodes=4, workers=3) as f:
        f.run_callers(40)
        time.sleep(2)
        limited, since = set_limits(f, 5, count=1)
        time.sleep(PROPAGATION_S + 2 * WINDOW_S)
        used = len(arrivals(limited[0], since))
        assert used >= 0.3 * 5 * 2 * WINDOW_S, used
        check_limit(limited[0], 5, since)
        limited[0].limit = 1
        time.sleep(WINDOW_S)
        limited[0].limit = None
        removed_at = time.monotonic()
        wait_until(lambda: max_in_window(arrivals(limited[0], removed_at), 2) >= 10, 6)
        return "%d used of 40" % used


def test_calls_beyond_all_limits_are_refused_at_once_as_not_run():
    """Guards against callers that wait for capacity that comes too late.

    A call beyond the limits of all VMs is refused at once; a retry after Retry-After is
    served.
    """
    with Fleet(nodes=1, workers=1) as f:
        f.d.workers[0].limit = 0.5
        answers = [f.ask(0) for _ in range(20)]
        refused = [a for a in answers if a.status == 503]
        assert len(refused) >= 15, [a.status for a in answers]
        for a in refused:
            assert a.took_s < 0.5 and f.d.runs(a.ident) == 0
            assert 0 < float(a.headers["retry-after"]) <= 2.1, a.headers
        wait_s = float(refused[-1].headers["retry-after"])
        time.sleep(wait_s)
        assert f.ask(0).status == 200, "not served after %g s, as told" % wait_s


def test_the_end_of_limits_is_noticed_when_few_nodes_have_callers():
    """Guards against VMs that stay unused after their limits have ended.

    This happens when the only node that may send to such a VM has no callers.
    """
    with Fleet(nodes=8) as f:
        f.run_callers(60, nodes=[0, 1, 2])
        time.sleep(1.5)
        for worker in f.d.workers:
            worker.limit = 1
        time.sleep(PROPAGATION_S + WINDOW_S)
        for worker in f.d.workers:
            worker.limit = None
        removed_at = time.monotonic()
        wait_until(lambda: not any(f.d.gauge(n, "vms_limited") for n in f.d.nodes), 8)
        return "known everywhere after %.1f s" % (time.monotonic() - removed_at)


def test_a_limit_that_ended_with_the_nodes_that_knew_is_asked_for():
    """Guards against a VM that nodes of other domains never use again.

    Its limit was lifted while the nodes of its domain restarted. They didn't know that
    there had been one and told nobody of its end, and the others had no share of it.
    """
    with Fleet(nodes=3, workers=3) as f:
        for worker in f.d.workers[:2]:
            f.d.drain(worker)
        last = f.d.workers[2]
        last.limit = 1
        # Within the limit: calls beyond it go to peers, which then know it from the VM.
        wait_until(lambda: f.ask(2) and all(f.d.gauge(n, "vms_limited") for n in f.d.nodes),
                   step=1.5)
        f.d.nodes[2].kill()
        last.limit = None
        f.d.restart_node(2)
        f.settle()
        assert f.ask(2).status == 200
        restarted_at = time.monotonic()
        # Its peer with the share takes its calls meanwhile.
        wait_until(lambda: f.ask(0).status == 200
                   and not f.d.gauge(f.d.nodes[0], "vms_limited"), 20)
        return "used again after %.1f s" % (time.monotonic() - restarted_at)
