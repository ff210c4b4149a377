"""Tests of a node that has few descriptors: it serves on and doesn't spin."""
import os
import resource
import time

from hosted import Hosted
from proc_hosted_memory import assert_served

CPU_SHARE_MAX = 0.5
CALL = (b"POST /r/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
        b"Rillknot-Attempt-Id: d\r\nContent-Length: 2\r\n\r\nhi")


def one_node():
    """Starts a node with a worker."""
    d = Hosted()
    d.start()
    d.add_worker("plain")
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


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


def test_a_node_without_descriptors_does_not_spin():
    """Guards against a loop that accepts and fails again and again.

    Connections that can't be accepted wait in the kernel and make the listener ready.
    """
    with one_node() as d:
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
