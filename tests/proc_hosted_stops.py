"""Tests of planned stops: a node ends in time whatever its threads wait for."""
import os
import signal
import socket
import time

from hosted import Hosted

END_S = 1.0  # a process has ended so long after its grace period
RELOAD_INTERVAL_S = 0.001


def deployment():
    d = Hosted(nodes=1).start()
    d.add_worker("plain")
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


def wait_end(node, grace_s):
    """Return the exit status of a node that was told to stop."""
    return node.popen.wait(grace_s + END_S)


def test_a_node_reloads_until_it_has_ended():
    """Guards against a log that is freed while another thread still writes to it.

    Each reload of a process file that is invalid is logged, by a thread of its own. The
    thread sanitizer reports the race.
    """
    with deployment() as d:
        node = d.nodes[0]
        with open(node.file, "w") as f:
            f.write("{ not json")
        node.signal(signal.SIGTERM)
        end = time.monotonic() + d.bounds["graceS"] + END_S
        while node.popen.poll() is None and time.monotonic() < end:
            node.signal(signal.SIGHUP)
            time.sleep(RELOAD_INTERVAL_S)
        assert node.popen.poll() == 0, node.popen.poll()


def test_a_process_file_that_cannot_be_read_delays_no_stop():
    """Guards against a node that is deaf to SIGTERM while it reads its process file.

    A pipe without a writer stands for a file on a mount that hangs.
    """
    with deployment() as d:
        node = d.nodes[0]
        os.unlink(node.file)
        os.mkfifo(node.file)
        node.signal(signal.SIGHUP)
        time.sleep(0.3)
        node.signal(signal.SIGTERM)
        assert wait_end(node, d.bounds["graceS"]) == 0


def test_a_stop_amid_all_that_may_delay_it_ends_in_time():
    """Guards against a stop that waits for operators, half requests, reloads or the store."""
    with deployment() as d:
        node = d.nodes[0]
        d.store.fault = lambda req: "silent"
        held = []
        for addr in ("metrics", "ready", "listen", "control", "forward"):
            s = socket.create_connection(("127.0.0.1", d.port(node.ready[addr])))
            s.sendall(b"GET /metrics HTTP/1.1\r\nHost:")
            held.append(s)
        node.signal(signal.SIGTERM)
        end = time.monotonic() + d.bounds["graceS"] + END_S
        while node.popen.poll() is None and time.monotonic() < end:
            node.signal(signal.SIGHUP)
            node.signal(signal.SIGTERM)
            time.sleep(0.01)
        assert node.popen.poll() == 0, node.popen.poll()
        for s in held:
            s.close()
