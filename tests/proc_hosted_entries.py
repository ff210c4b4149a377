"""Tests of the store's list of VMs: invalid entries, and VMs that restart with the same id."""
import threading
import time

from hosted import Hosted, wait_until
from proc_hosted_fleet import fleet

INVALID_ENTRIES = {
    "bad-text": "no object at all",
    "bad-bytes": {"service": "plain", "address": "\x00\ufffd\x07", "state": "ready"},
    "bad-empty": {},
    "bad-list": [1, 2],
    "bad-state": {"state": "rebooting"},
    "bad-slots": {"slots": -1},
    "bad-huge": {"slots": 10 ** 30},
    "bad-address": {"address": "10.0.0.300:99999"},
    "bad-type": {"service": {"name": "plain"}},
    "bad-deep": {"service": "plain", "more": None},
}


def put_invalid_entries(d, good):
    """Writes the invalid entries to the store.

    Most of them are the entry `good` with one wrong field.
    """
    nested = []
    for _ in range(200):
        nested = [nested]
    for name, change in INVALID_ENTRIES.items():
        spec = dict(good, **change) if isinstance(change, dict) and change else change
        if name == "bad-deep":
            spec["more"], spec["slots"] = nested, "many"
        d.store.put("servers", name, spec)


def call_statuses(d, nodes):
    """Returns the statuses of three calls at each of the nodes."""
    return [d.call("/r/x", node=n).status for n in nodes for _ in range(3)]


def test_invalid_entries_are_ignored_and_the_others_stay():
    """Guards against invalid entries that are used, or that hide the valid ones beside them.

    They come in a watch, in a list that is read after the store has dropped its history,
    and at a node's start.
    """
    with fleet() as d:
        put_invalid_entries(d, d.workers[0].spec())
        later = d.add_worker("plain", zone="a-hall")
        wait_until(lambda: d.call("/r/x").status == 200 and
                   all(d.gauge(n, "vms_listed") == 3 for n in d.nodes), 10)
        assert set(call_statuses(d, range(3))) == {200}
        d.store.forget_history()
        d.drain(later)
        d.nodes[1].kill()
        d.restart_node(1)
        d.wait_ready()
        wait_until(lambda: all(d.gauge(n, "vms_listed") == 3 for n in d.nodes), 10)
        assert set(call_statuses(d, range(3))) == {200}
        rejected = [e for e in d.nodes[0].events() if e.get("event") == "vm.rejected"]
        assert {e["vm"] for e in rejected} <= set(INVALID_ENTRIES), rejected
        assert len(rejected) <= 3 * len(INVALID_ENTRIES), len(rejected)


def test_a_vm_is_unused_while_its_entry_is_invalid():
    """Guards against calls to a VM whose entry is invalid, and against losing it for good."""
    with fleet(workers=2) as d:
        worker = d.workers[0]
        d.store.put("servers", worker.id, dict(worker.spec(), state=7))
        wait_until(lambda: all(d.gauge(n, "vms_listed") == 1 for n in d.nodes), 10)
        time.sleep(0.3)
        before = len(worker.seen)
        assert set(call_statuses(d, range(3))) == {200}
        assert len(worker.seen) == before
        d.store.put("servers", worker.id, worker.spec())
        wait_until(lambda: all(d.gauge(n, "vms_listed") == 2 for n in d.nodes), 10)
        wait_until(lambda: call_statuses(d, range(3)) and len(worker.seen) > before, 10)


def restart_worker(d, worker, state="ready", born=None):
    """Starts a worker's next incarnation and returns it.

    It has the same id and another address, and knows nothing of earlier calls. `born` is
    its start time, by default one second after that of the old incarnation.
    """
    new = d.add_worker(worker.service, events=worker.events, zone=worker.zone)
    d.store.drop("servers", new.id)
    new.id = worker.id
    new.born = born or worker.born + 1000
    d.store.put("servers", new.id, new.spec(state))
    return new


def test_a_restarted_vm_is_used_again():
    """Guards against a restarted VM that stays unused because its last incarnation drained."""
    with fleet(workers=1) as d:
        first = d.workers[0]
        d.drain(first)
        wait_until(lambda: d.call("/r/x").status == 503, 10)
        first.stop_at_once()
        second = restart_worker(d, first)
        wait_until(lambda: set(call_statuses(d, range(3))) == {200}, 5)
        assert second.seen


def test_a_late_entry_of_a_past_incarnation_is_ignored():
    """Guards against a late entry of a past incarnation that replaces the current one."""
    with fleet(workers=1) as d:
        first = d.workers[0]
        second = restart_worker(d, first)
        wait_until(lambda: call_statuses(d, range(3)) and second.seen, 5)
        before = len(first.seen)
        d.store.put("servers", first.id, first.spec("draining"))
        time.sleep(1)
        assert set(call_statuses(d, range(3))) == {200}
        assert len(first.seen) == before


def test_calls_in_flight_at_a_past_incarnation_go_on_elsewhere():
    """Guards against calls that stay at a past incarnation of a VM.

    It became unreachable without a closed connection. Its next incarnation had another
    address, but in 4 of 5 runs all calls for that id went on to the old address while the
    old call was in flight, as connections were kept by the VM's id alone.
    """
    with Hosted(nodes=1, bounds={"budgetExtra": 400}) as d:
        for _ in range(2):
            d.add_worker("llm", events=40, slots=32).gap_s = 0.05
        d.configure([d.route("s", "llm", "streaming", timeoutMs=8000, resumable=True)],
                    services=[{"name": "llm", "healthPath": "/healthz", "maxConns": 200,
                               "engine": {"slots": 32, "kvCapacity": 100000}}])
        d.wait_ready()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            d.call("/s/x", deadline=8000)))
        caller.start()
        wait_until(lambda: any(w.stops for w in d.workers), 5)
        time.sleep(0.3)
        first = next(w for w in d.workers if w.stops)
        released = threading.Event()

        def hang(_req, _number):
            released.wait(20)
            raise OSError

        first.event = hang
        second = restart_worker(d, first)
        second.gap_s = 0.01
        caller.join(15)
        released.set()
        assert answers[0].status == 200 and answers[0].whole
