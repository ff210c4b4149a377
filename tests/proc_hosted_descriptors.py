"""Tests of a node that has few descriptors: it serves on and doesn't spin."""
import collections
import concurrent.futures
import os
import resource
import time

from hosted import Hosted, read_answer, wait_until
from proc_hosted_memory import assert_served
from vm_links import RESET_ALL, VmLinks, wait_for_own_links

FEW = 256  # descriptors of a node in these tests
CPU_SHARE_MAX = 0.5
CALL = (b"POST /r/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
        b"Rillknot-Attempt-Id: d\r\nContent-Length: 2\r\n\r\nhi")


def few_descriptors(system=None, max_fds=None):
    """Starts a node that may open few descriptors, by the system's limit or its machine's."""
    d = Hosted(nodes=0)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system:
        resource.setrlimit(resource.RLIMIT_NOFILE, (system, hard))
    limits = {"cpuShare": 0.25}
    if max_fds:
        limits["maxFds"] = max_fds
    d.add_node(limits=limits)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    d.add_worker("plain")
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


CALLS = 60  # forwarded at once


def test_forwarded_calls_beyond_the_connections_are_refused_as_not_run():
    """Guards against a peer's connection that is closed unread at a node with few descriptors:
    the caller of a call that may run once got 502, though it had not run."""
    d = Hosted(nodes=0, bounds={"budgetExtra": 4000})
    links = VmLinks(d.store)
    d.add_node(platform={"address": links.addr})
    d.add_node(limits={"cpuShare": 0.25, "maxFds": FEW})
    with d:
        for _ in range(2):
            d.add_worker("plain", slots=400)
        d.configure([d.route("p", "plain", "non_idempotent", timeoutMs=8000)],
                    services=[{"name": "plain", "healthPath": "/healthz", "maxConns": 2000}])
        d.wait_ready()
        wait_for_own_links(d, 0, links, "/p/x")
        links.cut(RESET_ALL)
        wait_until(lambda: d.call("/p/x").status == 200, 8)
        time.sleep(1)
        for w in d.workers:
            w.work_s = 0.5
        with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
            answers = list(pool.map(lambda _: d.call("/p/x", deadline=6000), range(CALLS)))
        by_status = collections.Counter(a.status for a in answers)
        assert set(by_status) <= {200, 429, 503} and by_status[200] > 10, by_status
        assert not [a.ident for a in answers if a.status != 200 and d.runs(a.ident)]
        links.close()
        return by_status


def open_count(node):
    """Returns how many descriptors a node has open."""
    return len(os.listdir("/proc/%d/fd" % node.popen.pid))


def cpu_s(node):
    """Returns the CPU time that a node has used, in seconds."""
    with open("/proc/%d/stat" % node.popen.pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def assert_calm(node):
    """The node uses less than half a core."""
    start, used = time.monotonic(), cpu_s(node)
    time.sleep(1.5)
    share = (cpu_s(node) - used) / (time.monotonic() - start)
    assert share < CPU_SHARE_MAX, "%.2f of a core" % share
    return "%.2f of a core" % share


def serve_beside_idle_callers(d):
    """Opens more connections than the node has descriptors; further callers are served, and
    descriptors are left for VMs. Returns the figures."""
    node = d.nodes[0]
    conns = [d.connect() for _ in range(2 * FEW)]
    time.sleep(0.5)
    figure = assert_calm(node)
    assert_served(d)
    most = open_count(node)
    assert most < FEW * 9 // 10, most
    for s in conns:
        s.close()
    assert node.popen.poll() is None
    return "%d descriptors, %s" % (most, figure)


def test_idle_callers_leave_descriptors_for_vms():
    """Guards against callers' connections that take all descriptors the system allows.

    The cap of callers' connections didn't depend on it: no VM could be reached any more, and
    further callers waited for ever.
    """
    with few_descriptors(system=FEW) as d:
        return serve_beside_idle_callers(d)


def test_callers_leave_descriptors_within_the_machines_limit():
    """Guards against callers' connections that take more descriptors than the machine gives.

    The process may open more by the system's limit, and is ended for it by the machine.
    """
    with few_descriptors(max_fds=FEW) as d:
        return serve_beside_idle_callers(d)


def test_the_oldest_idle_connection_makes_room():
    """Guards against a new caller that is turned away for connections that nobody uses.

    Connections that were used last stay open.
    """
    with few_descriptors(max_fds=FEW) as d:
        old = [d.connect() for _ in range(100)]
        used = d.connect()
        for _ in range(3):
            used.sendall(CALL)
            assert read_answer(used).status == 200
            new = [d.connect() for _ in range(40)]
            for s in new:
                s.sendall(CALL)
                assert read_answer(s).status == 200
        used.sendall(CALL)
        assert read_answer(used).status == 200
        for s in old:
            s.close()


def test_callers_that_do_not_close_take_few_descriptors():
    """Guards against answered connections that wait for their callers' close, uncounted.

    Each waits for a second at most, but thousands of them were open where 256 are allowed.
    """
    with few_descriptors(max_fds=FEW) as d:
        node = d.nodes[0]
        most, conns, stop = 0, [], time.monotonic() + 2
        statuses = []
        while time.monotonic() < stop:
            for _ in range(20):
                s = d.connect()
                s.sendall(b"POST /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                          b"Content-Length: 0\r\n\r\n")
                conns.append(s)
            most = max(most, open_count(node))
            statuses.append(d.call("/r/x", deadline=2000).status)
            for s in conns[:-10 * FEW]:
                s.close()
            conns = conns[-10 * FEW:]
        assert most < FEW * 9 // 10, most
        assert set(statuses) == {200}, statuses
        for s in conns[-FEW // 4:]:
            assert read_answer(s).status == 404
        assert node.popen.poll() is None
        return "%d descriptors, %d calls beside" % (most, len(statuses))


def test_a_node_without_descriptors_does_not_spin():
    """Guards against a loop that accepts and fails again and again.

    Connections that can't be accepted wait in the kernel and make the listener ready.
    """
    with few_descriptors() as d:
        node = d.nodes[0]
        before = resource.prlimit(node.popen.pid, resource.RLIMIT_NOFILE)
        conns = [d.connect() for _ in range(2)]
        for s in conns:
            s.sendall(CALL[:-1])
        time.sleep(0.2)
        resource.prlimit(node.popen.pid, resource.RLIMIT_NOFILE, (open_count(node), before[1]))
        for _ in range(20):
            conns.append(d.connect())
            conns[-1].sendall(CALL[:-1])
        figure = assert_calm(node)
        paused = [e for e in node.events() if e["event"] == "accept.paused"]
        assert 1 <= len(paused) <= 3, len(paused)
        resource.prlimit(node.popen.pid, resource.RLIMIT_NOFILE, before)
        assert_served(d)
        for s in conns:
            s.close()
        return figure
