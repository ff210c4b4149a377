"""Odd values in the headers of callers' requests and of VMs' answers."""
import contextlib
import time

import odd_calls
import odd_objects
from hosted import Hosted, wait_until

SEED, SECONDS = 107, 8

ODD_USAGES = ("nan", "nan,nan", "inf,inf", "1e308,1e308", "-1e300,0", "0,-1e300", "-inf,inf",
              "1e400", "", ",", "x", "-0", "9" * 400, "0x1p1000,1")
LIMITED = [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream", "plainTokens": 10,
            "ratePerS": 100, "burst": 100}]


def usage(text):
    return [("Rillknot-Token-Usage", text)]


def statuses(d, text, count, node=0):
    return [d.call("/r/x", headers=usage(text), node=node).status for _ in range(count)]


@contextlib.contextmanager
def after_odd_usages():
    """Two nodes and an organisation with a quota that has made a call with each odd usage."""
    with Hosted(nodes=2) as d:
        d.add_worker("plain")
        d.configure([d.route("r", "plain")], tenants=LIMITED)
        d.wait_ready()
        for text in ODD_USAGES:
            statuses(d, text, 1)
        yield d


def test_odd_token_counts_do_not_lift_a_quota():
    """Guards against a count of tokens that is negative or no number: it entered the sum of
    the quota window, after which any call of the organisation was within its quota."""
    with after_odd_usages() as d:
        answers = statuses(d, "100,0", 20)
        assert answers.count(200) <= 5, answers


def test_odd_token_counts_leave_engines_usable():
    """Guards against a count of tokens that makes the work that waits at an engine infinite or
    no number: the engine was then never chosen again."""
    with Hosted(nodes=1) as d:
        engine = {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
                  "engine": {"slots": 32, "kvCapacity": 100000, "moves": False}}
        workers = [d.add_worker("llm", events=3, slots=32) for _ in range(2)]
        d.configure([d.route("r", "llm", "streaming", sloMs=1000)], services=[engine])
        d.wait_ready()
        for text in ODD_USAGES:
            statuses(d, text, 3)
        time.sleep(1)
        before = [sum(w.runs.values()) for w in workers]
        answers = statuses(d, "1000,30", 60)
        used = [sum(w.runs.values()) - b for w, b in zip(workers, before)]
        assert answers == [200] * 60, answers
        assert min(used) >= 6, used


def test_a_call_beyond_the_quota_does_not_use_it_up():
    """Guards against calls that are larger than the whole quota: they were refused, but their
    tokens counted as the organisation's demand, so that its other calls were refused for as
    long as it took to decay."""
    with after_odd_usages() as d:
        for node in range(2):
            wait_until(lambda n=node: statuses(d, "10,0", 1, node=n) == [200],
                       2 * d.bounds["quotaWindowS"], step=0.3)


def test_nodes_outlive_odd_calls_and_odd_orders():
    """Guards against a node that ends, stays busy, does not serve again or forgets quotas
    after odd headers of callers, odd answers to orders, or odd records of streams."""
    run = odd_calls.OddCalls(SEED, SECONDS).run()
    assert not run.problems, odd_objects.report(run)
    assert run.served > 20 and run.odd_answers > 5, (run.served, run.odd_answers)
    return "%d calls served, %d odd answers, %d orders" % (run.served, run.odd_answers,
                                                           run.move_orders())
