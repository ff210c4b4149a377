"""Tests of a VM that asks for a cooldown: a 503 with `Retry-After`.

The node that got the answer must send it nothing for that time. The header was dropped:
after any refusal a node avoided the VM for 100 ms, and only where others were as good.
Engines that had asked a node for 3 s got 3 to 7 requests from it in that time, and 55 of
349 callers' requests were refused meanwhile.
"""
import time

from hosted import wait_until
from signals import Fleet

SLACK_S = 0.5  # for requests that were sent before the refusal arrived
ALLOWED_ARRIVALS = 2  # requests in a cooldown


def arrivals_in_cooldown(worker, cooldown_s):
    """Returns the most requests that a worker got within one cooldown.

    The fleet must have a single node, as a cooldown holds for the node that got the
    refusal. Each request of the worker is taken as the start of a cooldown, whose first
    SLACK_S are not counted.
    """
    times = sorted(r.at for r in worker.seen)
    return max((sum(at + SLACK_S < t < at + cooldown_s for t in times) for at in times), default=0)


def test_a_vm_that_asks_for_rest_gets_no_calls():
    """Guards against nodes that send to a VM again 100 ms after each refusal."""
    with Fleet(nodes=1, workers=4) as f:
        f.run_callers(40, nodes=[0] * 8)
        time.sleep(1.5)
        worker = max(f.d.workers, key=lambda w: len(w.seen))
        worker.seen = []
        worker.retry_after_s = 3
        began = time.monotonic()
        wait_until(lambda: f.d.gauge(f.d.nodes[0], "vms_resting") == 1, 3)
        time.sleep(7)
        count = arrivals_in_cooldown(worker, 3)
        assert count <= ALLOWED_ARRIVALS, "%d requests in a rest" % count
        served, sent = f.served(began)
        assert served == sent, "%d of %d served" % (served, sent)
        return "%d requests in a cooldown, 2 allowed" % count


def test_vms_that_all_ask_for_rest_get_no_calls():
    """Guards against nodes that ignore a cooldown when all VMs of a service are in one.

    Each VM is then the best one available. Calls are refused at once, as not run.
    """
    with Fleet(nodes=1, workers=2) as f:
        for worker in f.d.workers:
            worker.retry_after_s = 3
        f.run_callers(40, nodes=[0] * 8)
        time.sleep(7)
        counts = [arrivals_in_cooldown(w, 3) for w in f.d.workers]
        assert max(counts) <= ALLOWED_ARRIVALS, counts
        refused = [a for at, _, a in f.answers[8:] if a.status == 503]
        assert refused
        for a in refused:
            assert a.took_s < 0.5 and f.d.runs(a.ident) == 0
            assert 0 < float(a.headers["retry-after"]) <= 3.0, a.headers


def test_a_cooldown_survives_an_entry_that_expires():
    """Guards against a cooldown that is lost when the VM's entry expires and returns."""
    with Fleet(nodes=1, workers=2) as f:
        worker = f.d.workers[0]
        worker.retry_after_s = 4
        f.run_callers(40, nodes=[0] * 8)
        wait_until(lambda: worker.seen)
        f.d.store.drop("servers", worker.id)
        time.sleep(1.2)
        f.d.store.put("servers", worker.id, worker.spec())
        time.sleep(3)
        assert arrivals_in_cooldown(worker, 4) <= ALLOWED_ARRIVALS, arrivals_in_cooldown(worker, 4)


def test_a_vm_is_used_again_after_its_cooldown():
    """Guards against a cooldown without end."""
    with Fleet(nodes=1, workers=2) as f:
        worker = f.d.workers[0]
        worker.retry_after_s = 1
        f.run_callers(40, nodes=[0] * 8)
        wait_until(lambda: worker.seen)
        worker.retry_after_s = 0
        wait_until(lambda: worker.runs, 4)


def test_a_cooldown_of_a_day_lasts_a_minute():
    """Guards against VMs that ask for a day by mistake: where all of a service did, its calls
    were refused until the VMs were restarted, and callers were told to come back tomorrow."""
    with Fleet(nodes=1, workers=2) as f:
        for worker in f.d.workers:
            worker.retry_after_s = 86400
        answers = [f.d.call("/s/x") for _ in range(6)]
        assert {a.status for a in answers} == {503}, [a.status for a in answers]
        rests = [e["rest_ms"] for e in f.d.nodes[0].events() if e.get("event") == "vm.rest"]
        assert len(rests) == 2 and max(rests) <= 60000, rests
        assert float(answers[-1].headers["retry-after"]) <= 60, answers[-1].headers
