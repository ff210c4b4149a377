"""Tests of VMs that advertise that they fall over if they have to refuse many requests."""
import concurrent.futures
import time

from hosted import Hosted

NODES, VMS, SLOTS = 4, 3, 4
QUEUE = 2  # requests that may wait at a VM beyond its slots
WORK_S = 0.05
REFUSALS_PER_S = 4  # that a VM stands
NOTICED_S = 3.0  # from then on the nodes have to heed what VMs advertise (contactMs)
OVERLOAD_S = 6.0
THREADS = 24  # callers at each node; all VMs together run 12 requests at once
# A service's VMs may fall over at most 2 + a tenth of their number times.
MAX_FALLS = 2 + VMS / 10


def fleet():
    d = Hosted(nodes=NODES, zones=("klein-hall", "eros-hall"), bounds={"budgetExtra": 1000})
    d.start()
    for i in range(VMS):
        w = d.add_worker("plain", zone=d.zones[i % 2], slots=SLOTS)
        w.room, w.work_s = SLOTS + QUEUE, WORK_S
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


def overload(d, seconds, threads=THREADS, nodes=None):
    """Keep callers at each node busy, without a pause after a refusal; return statuses."""
    end = time.monotonic() + seconds

    def caller(node):
        statuses = []
        while time.monotonic() < end:
            statuses.append(d.call("/r/x", node).status)
            time.sleep(0.01)
        return statuses
    nodes = list(range(len(d.nodes))) if nodes is None else nodes
    with concurrent.futures.ThreadPoolExecutor(threads * len(nodes)) as pool:
        jobs = [pool.submit(caller, n) for n in nodes for _ in range(threads)]
        return [s for j in jobs for s in j.result()]


def set_brittle(d, refusals_per_s):
    for w in d.workers:
        w.brittle = refusals_per_s
        w.falls = 0


def falls(d):
    return sum(w.falls for w in d.workers)


def test_brittle_vms_do_not_fall_over_under_overload():
    """Guards against nodes that send brittle VMs more than they have room for: each refusal
    counts, and beyond some a second the VM falls over with all that it runs."""
    with fleet() as d:
        overload(d, 1)
        set_brittle(d, 1000)  # says so, and nothing happens yet
        overload(d, NOTICED_S)
        set_brittle(d, REFUSALS_PER_S)
        statuses = overload(d, OVERLOAD_S)
        served = statuses.count(200)
        capacity = VMS * SLOTS / WORK_S * OVERLOAD_S
        assert falls(d) <= MAX_FALLS, (falls(d), served)
        # Half of the VMs' capacity: what a VM that falls over costs is not saved by not
        # using it.
        assert served >= 0.5 * capacity, (served, capacity)
        return "%d falls, %d of %d served" % (falls(d), served, capacity)


def test_a_restarted_node_knows_of_brittle_vms():
    """Guards against a node that has just started and fills VMs of which its peers know that
    they are brittle."""
    with fleet() as d:
        set_brittle(d, 1000)
        overload(d, 1)
        d.nodes[1].kill()
        d.restart_node(1)
        d.wait_ready()
        time.sleep(NOTICED_S)
        set_brittle(d, REFUSALS_PER_S)
        overload(d, 3, nodes=[1], threads=4 * THREADS)
        assert falls(d) <= MAX_FALLS, falls(d)
        return "%d falls" % falls(d)


def test_vms_that_are_no_longer_brittle_are_filled():
    """Guards against VMs that are held back after they have stopped being brittle."""
    with fleet() as d:
        set_brittle(d, 1)
        overload(d, NOTICED_S)
        set_brittle(d, None)
        overload(d, NOTICED_S)
        served = overload(d, 3).count(200)
        capacity = VMS * SLOTS / WORK_S * 3
        assert served >= 0.7 * capacity, (served, capacity)
        return "%d of %d served" % (served, capacity)
