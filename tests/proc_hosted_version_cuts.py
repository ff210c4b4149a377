"""Tests of streams that began at a node which was cut off for longer than a stream lives.

Such a node goes on by the settings and the list of VMs that it had. Others have followed the
changes for so long that they are sure of one version.
"""
import time

from cluster import CutProxy
from hosted import Hosted
from proc_hosted_version_routes import LIFETIME_S, ZONES, route_to, start_two_services

STREAMS = 6
CUT_S = 4  # after which a list of VMs is no longer taken for current


def port_of(addr):
    return int(addr.rsplit(":", 1)[1])


class CutHosted(Hosted):
    """Nodes that reach the store and each other through proxies."""

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.to_store, self.to_control = [], []

    def add_node(self, first_start=True, **more):
        store, control = CutProxy(port_of(self.store.addr)), CutProxy(0)
        seeds = ["127.0.0.1:%d" % c.port for c in self.to_control]
        node = super().add_node(first_start, platform={"address": "127.0.0.1:%d" % store.port},
                                advertise="127.0.0.1:%d" % control.port, seeds=seeds, **more)
        control.target = port_of(node.ready["control_bound"])
        self.to_store.append(store)
        self.to_control.append(control)
        return node

    def cut_off(self, node):
        """Cuts all nodes off from each other, and a node from the store."""
        for control in self.to_control:
            control.cut()
        self.to_store[node].cut()


def check_cut_off(change):
    """Checks that no stream is joined that began at a cut-off node after a change."""
    with start_two_services(nodes=2, hosted=CutHosted) as f:
        time.sleep(LIFETIME_S + 1)
        f.d.cut_off(1)
        time.sleep(CUT_S)
        change(f)
        time.sleep(LIFETIME_S + CUT_S)
        begun = [f.begin(1) for _ in range(STREAMS)]
        assert all(f.versions_of(ident) == {"v1"} for ident, _ in begun)
        f.d.nodes[1].kill()
        joined = 0
        for ident, last in begun:
            a = f.take_up(ident, last)
            joined += len(f.versions_of(ident, a.ident)) > 1
        assert not joined, "%d of %d joined" % (joined, STREAMS)


def test_a_stream_of_a_cut_off_node_is_not_joined_after_its_route_moved():
    """Guards against a stream that goes on at another service's version because the node where
    it began had not heard of new routes, and the others had for the lifetime of a stream."""
    check_cut_off(lambda f: route_to(f, "llm2", wait=False))


def test_a_stream_of_a_cut_off_node_is_not_joined_after_its_version_left():
    """Guards against a stream that goes on at another version because the node where it began
    had not heard that its version left, and the others had for the lifetime of a stream."""
    def replace_version(f):
        for zone in ZONES:
            f.add("v3", zone)
        f.drop("v1")
    check_cut_off(replace_version)
