"""Tests of streams that are taken up at nodes which have not followed the list of VMs.

A node that was frozen, or cut off from the store and from its peers, knows one software
version where others have seen several. What it knows must not be taken for certain.
"""
import signal
import time

from hosted import wait_until
from proc_hosted_versions import STREAMS, ZONES, Versions

FROZEN_S = 6


def begin_at_both(f, nodes):
    """Begins streams until there are some at v1 and at v2; returns those at v2."""
    begun = []

    def has_both():
        begun.extend(f.begin(n) for n in nodes)
        return all(any(f.versions_of(ident) == {v} for ident, _ in begun) for v in ("v1", "v2"))
    wait_until(has_both)
    begun += [f.begin(nodes[n % len(nodes)]) for n in range(STREAMS)]
    return [b for b in begun if f.versions_of(b[0]) == {"v2"}]


def begin_beside_a_frozen_node(f):
    """Freezes node 2 and begins streams at another version, which it doesn't see.

    Returns the node's process and the streams.
    """
    frozen = f.d.nodes[2].popen
    frozen.send_signal(signal.SIGSTOP)
    wait_until(lambda: all(f.d.gauge(f.d.nodes[n], "nodes_heard") == 2 for n in (0, 1)))
    time.sleep(1)  # nothing is told to the frozen node any more
    for zone in ZONES:
        f.add("v2", zone)
    begun = begin_at_both(f, [0, 1])
    assert begun
    time.sleep(FROZEN_S)
    return frozen, begun


def refuse_streams(req):
    """A fault of the store: the records of streams can't be read or written."""
    return 503 if "/rillknot-streams" in req.target else None


def test_a_version_that_came_and_left_while_a_node_was_frozen_is_not_forgotten():
    """Guards against streams that go on at another version because the only node that was not
    killed was frozen while that version served, and takes the other one for the only one."""
    with Versions(versions=("v1", "v1", "v1")) as f:
        frozen, begun = begin_beside_a_frozen_node(f)
        f.d.store.fault = refuse_streams
        for n in (0, 1):
            f.d.nodes[n].kill()
        f.drop("v2")
        frozen.send_signal(signal.SIGCONT)
        assert f.check_taken_up(begun[:6], [2]) == 0
        for n in (0, 1):
            f.d.restart_node(n)
        f.settle()
        assert f.check_taken_up(begun, [0, 1, 2]) == 0


def test_an_old_list_does_not_make_a_version_the_only_one():
    """Guards against streams that go on at another version at a node whose list of VMs is old
    and that reaches neither the store nor a peer."""
    with Versions(versions=("v1", "v1", "v1")) as f:
        frozen, begun = begin_beside_a_frozen_node(f)
        f.d.store.fault = lambda req: 503
        for n in (0, 1):
            f.d.nodes[n].kill()
        frozen.send_signal(signal.SIGCONT)
        assert f.check_taken_up(begun, [2]) == 0
