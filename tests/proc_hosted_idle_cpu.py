"""Nodes whose connections were left in odd states hand back the processor: tools/idle_cpu.py
with fixed seeds."""
import socket
import time

from hosted import Hosted
from idle_cpu import CPU_SHARE_MAX, measure, run_seed

BATCHES = 3
CONNECTIONS = 16
TIMED_OUT_S = 5  # the kernel ends a connection whose peer has not read for 3 s


def check(seed):
    run = run_seed(seed, BATCHES)
    assert not run.problems, "\n".join(run.problems)
    return "%.3f of a core at the most" % run.most


def test_idle_nodes_use_no_processor_whatever_connections_are_left():
    """Guards against an event loop that goes round for a connection without reading from it."""
    return check(115)


def test_idle_nodes_use_no_processor_in_another_order():
    """The same with other states."""
    return check(2)


def test_no_request_is_run_once_its_connection_has_failed():
    """Guards against requests that are answered into a connection that has just failed.

    Their earlier answers had waited for the caller, and were dropped at the failure.
    """
    with Hosted(nodes=1) as d:
        node, conns = d.nodes[0], []
        for _ in range(CONNECTIONS):
            s = socket.socket()
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            s.connect(("127.0.0.1", d.port(node.ready["metrics"])))
            s.settimeout(1)
            conns.append(s)
            try:
                s.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 1800)
            except OSError:
                pass  # the node reads no more
        time.sleep(0.5)
        shares = measure([node], TIMED_OUT_S)
        for s in conns:
            s.close()
        assert max(shares.values()) < CPU_SHARE_MAX, shares
        return "%.3f of a core at the most" % max(shares.values())
