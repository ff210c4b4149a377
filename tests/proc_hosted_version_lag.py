"""Tests of streams that are taken up at a node that was out of step while a version joined.

All nodes have known one software version for so long that they are sure of it. One of them
stands still, or is cut off, for a moment in which VMs of another version join and streams
begin there through the other nodes.
"""
import concurrent.futures
import os
import signal
import time

from cluster import CutProxy
from hosted import Hosted, wait_until
from proc_hosted_version_cuts import port_of
from proc_hosted_version_gaps import begin_at_both
from proc_hosted_versions import EVENTS, REJECTED_S, STREAMS, ZONES, Versions, count_events

LAGGING = 2  # the node that is out of step


class Frozen:
    """A node that stands still."""

    def __init__(self, f):
        self.process = f.d.nodes[LAGGING].popen

    def begin(self):
        self.process.send_signal(signal.SIGSTOP)

    def end(self):
        self.process.send_signal(signal.SIGCONT)


class ProxiedHosted(Hosted):
    """Nodes that reach the store and all of each other's ports through proxies.

    Peers derive the address for calls from the advertised host, so each node has a host of its
    own, at which only its proxies listen.
    """

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.to_store, self.to_peers = [], []

    def add_node(self, first_start=True, **more):
        pid = os.getpid()  # tests beside this one have hosts of their own
        host = "127.%d.%d.%d" % (1 + pid // 256 % 254, pid % 256, 10 + len(self.nodes))
        store, control = CutProxy(port_of(self.store.addr)), CutProxy(0, host)
        seeds = ["%s:%d" % proxy.sock.getsockname() for proxy, _ in self.to_peers]
        node = super().add_node(first_start, platform={"address": "127.0.0.1:%d" % store.port},
                                advertise="%s:%d" % (host, control.port), seeds=seeds, **more)
        control.target = port_of(node.ready["control_bound"])
        port = port_of(node.ready["forward"])
        self.to_store.append(store)
        self.to_peers.append((control, CutProxy(port, host, port)))
        return node


class CutOff:
    """A node that reaches neither the store nor the other nodes, and isn't reached by them."""

    def __init__(self, f):
        self.links = [proxy for pair in f.d.to_peers for proxy in pair]
        self.links.append(f.d.to_store[LAGGING])

    def begin(self):
        for link in self.links:
            link.cut()

    def end(self):
        for link in self.links:
            link.restore()


def start():
    """Starts nodes that are sure of v1."""
    f = Versions(versions=("v1", "v1", "v1"), hosted=ProxiedHosted)
    begun = [f.begin(n) for n in range(3)]
    assert f.check_taken_up(begun, [1, 2, 0]) == len(begun)
    return f


def rejected_after_s(f, ident):
    """Returns how long the lagging node had a call that it rejected.

    By its log: the callers of many resumes at once wait for each other in this process.
    """
    ends = [e["took_ms"] for e in f.d.nodes[LAGGING].events()
            if e["event"] == "call.end" and e["request"] == ident]
    assert len(ends) == 1, ends
    return ends[0] / 1000


def take_up_at_once(f, begun):
    """Takes streams up at the lagging node at the same time; returns how many went on.

    None may go on at another version; one that doesn't go on is rejected as not run.
    """
    went_on, joined = 0, 0
    with concurrent.futures.ThreadPoolExecutor(len(begun)) as pool:
        answers = pool.map(lambda b: f.take_up(b[0], b[1], LAGGING), begun)
        for (ident, last), a in zip(begun, answers):
            joined += len(f.versions_of(ident, a.ident)) > 1
            if a.status == 200:
                assert a.whole and count_events(a.body) == list(range(last + 1, EVENTS + 1))
                went_on += 1
            else:
                assert a.status == 503 and f.d.runs(a.ident) == 0, (a.status, a.body)
                assert rejected_after_s(f, a.ident) < REJECTED_S, f.d.trace(a.ident)
    assert not joined, "%d of %d joined" % (joined, len(begun))
    return went_on


def begin_at_v2(f):
    """Adds v2 and begins streams there through the nodes that are in step."""
    for zone in ZONES:
        f.add("v2", zone)
    return begin_at_both(f, [0, 1])


def check_lag(lag, killed, after_s=0.0):
    """Checks that streams of a version that joined meanwhile aren't joined with the old one.

    after_s: how long after the end of the others the lagging node is in step again.
    """
    with start() as f:
        lagging = lag(f)
        lagging.begin()
        begun = begin_at_v2(f)
        for n in killed:
            f.d.nodes[n].kill()
        if after_s:
            take_up_at_once(f, begun)
        time.sleep(after_s)
        lagging.end()
        take_up_at_once(f, begun)
        wait_until(lambda: f.d.ready(f.d.nodes[LAGGING]))
        take_up_at_once(f, begun)


def test_a_cut_off_node_does_not_take_silence_for_one_version():
    """Guards against streams that go on at another version at a node that reaches neither the
    store nor a peer and takes their silence for "there is one version"."""
    check_lag(CutOff, killed=(0, 1), after_s=0.3)


def test_a_node_that_was_cut_off_reads_the_list_before_it_decides():
    """Guards against streams that go on at another version at a node that was cut off until
    the other nodes ended, because it decides before its list of VMs is current."""
    check_lag(CutOff, killed=(0, 1))


def test_a_node_that_stood_still_reads_the_list_before_it_decides():
    """Guards against the same at a node that stood still until the other nodes ended."""
    check_lag(Frozen, killed=(0, 1))


def test_a_node_that_stood_still_beside_one_other_does_not_join_versions():
    """Guards against the same where one of the other nodes lives on."""
    check_lag(Frozen, killed=(0,))


def check_version_left(lag, forget_history=False):
    """Checks that streams aren't joined whose version came and left while a node lagged."""
    with start() as f:
        lagging = lag(f)
        lagging.begin()
        begun = begin_at_v2(f)
        f.drop("v2")
        if forget_history:
            f.d.store.forget_history()
        for n in (0, 1):
            f.d.nodes[n].kill()
        lagging.end()
        take_up_at_once(f, begun)
        time.sleep(0.5)  # the list is current by now
        take_up_at_once(f, begun)


def test_a_version_that_came_and_left_unseen_is_not_forgotten():
    """Guards against streams that go on at another version because theirs came and left between
    two updates of a node's list."""
    check_version_left(CutOff)


def test_a_version_that_came_and_left_in_lost_history_is_not_forgotten():
    """Guards against the same where the store has lost the changes, so that the node sees
    only a whole list."""
    check_version_left(CutOff, forget_history=True)


def test_a_version_that_came_and_left_while_a_node_stood_still_is_not_forgotten():
    """Guards against the same at a node that stood still."""
    check_version_left(Frozen)


def check_goes_on(lag):
    """Checks that streams of the only version go on at the node that was out of step."""
    with start() as f:
        lagging = lag(f)
        lagging.begin()
        begun = [f.begin(n % 2) for n in range(STREAMS)]
        for n in (0, 1):
            f.d.nodes[n].kill()
        lagging.end()
        assert take_up_at_once(f, begun) == STREAMS


def test_streams_of_the_only_version_go_on_at_a_node_that_was_cut_off():
    """Guards against streams that are rejected although no other version can have begun them,
    at a node that was cut off."""
    check_goes_on(CutOff)


def test_streams_of_the_only_version_go_on_at_a_node_that_stood_still():
    """Guards against the same at a node that stood still."""
    check_goes_on(Frozen)
