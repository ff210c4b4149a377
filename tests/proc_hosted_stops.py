"""Tests of planned stops: a node ends in time whatever its threads wait for."""
import signal
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
