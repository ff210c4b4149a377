"""Tests of VMs that advertise that they fall over if they have to refuse many requests."""
import collections
import concurrent.futures
import time

from hosted import Hosted

NODES, VMS, SLOTS = 4, 3, 4
QUEUE = 2  # requests that may wait at a VM beyond its slots
WORK_S = 0.05
REFUSALS_PER_S = 4  # that a VM stands
MANY_NODES, MANY_SLOTS = 14, 2  # one call of each node is more than a VM has room for
USUAL_SERVED = 0.95  # of a load that the VMs can bear
NOTICED_S = 3.0  # from then on the nodes have to heed what VMs advertise (contactMs)
OVERLOAD_S = 6.0
THREADS = 24  # callers at each node; all VMs together run 12 requests at once
# A service's VMs may fall over at most 2 + a tenth of their number times.
MAX_FALLS = 2 + VMS / 10


def fleet(nodes=NODES, slots=SLOTS):
    d = Hosted(nodes=nodes, zones=("klein-hall", "eros-hall"), bounds={"budgetExtra": 1000})
    d.start()
    for i in range(VMS):
        w = d.add_worker("plain", zone=d.zones[i % 2], slots=slots)
        w.room, w.work_s = slots + QUEUE, WORK_S
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


def usual_load(d, seconds):
    """Make a quarter of the calls that the VMs can serve, evenly spread; return statuses."""
    end = time.monotonic() + seconds
    interval_s = 4 * WORK_S * len(d.nodes) / (VMS * MANY_SLOTS)

    def caller(node):
        statuses = []
        time.sleep(interval_s * node / len(d.nodes))
        while time.monotonic() < end:
            statuses.append(d.call("/r/x", node).status)
            time.sleep(interval_s)
        return statuses
    with concurrent.futures.ThreadPoolExecutor(len(d.nodes)) as pool:
        return [s for statuses in pool.map(caller, range(len(d.nodes))) for s in statuses]


def set_brittle(d, refusals_per_s):
    for w in d.workers:
        w.brittle = refusals_per_s
        w.falls = 0


def falls(d):
    return sum(w.falls for w in d.workers)


def check_overload(d, slots, **load):
    """Overload the nodes; check the falls and the calls served, and return these figures."""
    statuses = overload(d, OVERLOAD_S, **load)
    served = statuses.count(200)
    capacity = VMS * slots / WORK_S * OVERLOAD_S
    assert falls(d) <= MAX_FALLS, (falls(d), served)
    # Half of the VMs' capacity: what a VM that falls over costs is not saved by not using it.
    assert served >= 0.5 * capacity, (served, capacity)
    return "%d falls, %d of %d served" % (falls(d), served, capacity)


def test_brittle_vms_do_not_fall_over_under_overload():
    """Guards against nodes that send brittle VMs more than they have room for: each refusal
    counts, and beyond some a second the VM falls over with all that it runs."""
    with fleet() as d:
        overload(d, 1)
        set_brittle(d, 1000)  # says so, and nothing happens yet
        overload(d, NOTICED_S)
        set_brittle(d, REFUSALS_PER_S)
        return check_overload(d, SLOTS)


def many_nodes():
    """Start more nodes than a VM has slots, which know that the VMs are brittle."""
    d = fleet(MANY_NODES, MANY_SLOTS)
    set_brittle(d, REFUSALS_PER_S)
    usual_load(d, NOTICED_S)
    set_brittle(d, REFUSALS_PER_S)
    return d


def test_brittle_vms_stand_an_overload_by_more_nodes_than_slots():
    """Guards against nodes of which each sends a brittle VM one call, which together are more
    than it has room for."""
    with many_nodes() as d:
        return check_overload(d, MANY_SLOTS, threads=4)


def test_nodes_without_a_share_of_brittle_vms_forward_a_usual_load():
    """Guards against calls that are refused at nodes which don't use any of the brittle VMs
    themselves, while the VMs have room."""
    with many_nodes() as d:
        statuses = usual_load(d, OVERLOAD_S)
        assert statuses.count(200) >= USUAL_SERVED * len(statuses), collections.Counter(statuses)
        assert not falls(d), falls(d)
        forwarded = sum(d.gauge(n, "forwards_total") for n in d.nodes)
        assert forwarded, "no call was forwarded"
        return "%d of %d served, %d forwarded" % (statuses.count(200), len(statuses), forwarded)


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
