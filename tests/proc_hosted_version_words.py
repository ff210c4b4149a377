"""Tests of streams that are taken up on the word of a peer that doesn't know.

Peers' answers prove that a service has had one version only if the peer knows it for a
lifetime, and as of now.
"""
import concurrent.futures
import signal
import time

from hosted import wait_until
from proc_hosted_version_cuts import port_of
from proc_hosted_version_gaps import refuse_streams
from proc_hosted_version_lag import ProxiedHosted
from proc_hosted_versions import STREAMS, ZONES, Versions

ZONE = ZONES[0]  # each stream is told to two of the other nodes
LAGGING = 0  # the node that stands still
OTHERS = (1, 2, 3, 4)
THAW_S = 0.05  # time in which a question reaches a node that stands still


def begin_at_v2(f):
    """Adds v2 and begins streams at the other nodes; returns those at v2."""
    for _ in range(3):
        f.add("v2", ZONE)
    begun = []

    def has_v2():
        begun.append(f.begin(OTHERS[len(begun) % len(OTHERS)]))
        return f.versions_of(begun[-1][0]) == {"v2"}
    wait_until(has_v2)
    with concurrent.futures.ThreadPoolExecutor(2 * STREAMS) as pool:
        begun += pool.map(lambda n: f.begin(OTHERS[n % len(OTHERS)]), range(2 * STREAMS))
    return [b for b in begun if f.versions_of(b[0]) == {"v2"}]


def stand_still_beside_v2(f):
    """Stops the lagging node while v2 comes, begins streams and leaves; it loses the store.

    The records of streams can't be written. Returns the process and the streams.
    """
    f.d.store.fault = refuse_streams
    process = f.d.nodes[LAGGING].popen
    process.send_signal(signal.SIGSTOP)
    f.d.to_store[LAGGING].cut()
    begun = begin_at_v2(f)
    f.drop("v2")
    return process, begun


def check_not_joined(f, begun, node, process=None):
    """Takes streams up at a node, just before the process that stands still goes on."""
    with concurrent.futures.ThreadPoolExecutor(len(begun)) as pool:
        calls = [pool.submit(f.take_up, ident, last, node) for ident, last in begun]
        if process:
            time.sleep(THAW_S)
            process.send_signal(signal.SIGCONT)
        answers = [c.result() for c in calls]
    joined = 0
    for (ident, _), a in zip(begun, answers):
        joined += len(f.versions_of(ident, a.ident)) > 1
    assert not joined, "%d of %d joined" % (joined, len(begun))


def start():
    """Starts nodes that are sure of v1."""
    f = Versions(nodes=1 + len(OTHERS), versions=("v1", "v1", "v1"), zones=(ZONE,),
                 hosted=ProxiedHosted)
    begun = [f.begin(n) for n in range(3)]
    assert f.check_taken_up(begun, [1, 2, 0]) == len(begun)
    return f


def restart(f, n):
    """Starts a node again at its old addresses."""
    node = f.d.restart_node(n)
    for proxy, bound in zip(f.d.to_peers[n], ("control_bound", "forward")):
        proxy.target = port_of(node.ready[bound])


def restart_others(f):
    """Kills all nodes but the lagging one and starts them again at their old addresses."""
    for n in OTHERS:
        f.d.nodes[n].kill()
    for n in OTHERS:
        restart(f, n)
    wait_until(lambda: all(f.d.ready(f.d.nodes[n]) for n in OTHERS))


def test_restarted_peers_that_know_nothing_are_no_proof_of_one_version():
    """Guards against streams that go on at another version at a node that stood still, because
    peers that have just started answer that they know of none."""
    with start() as f:
        process, begun = stand_still_beside_v2(f)
        restart_others(f)
        check_not_joined(f, begun, LAGGING, process)


def begin_beside_cut_off(f, cut):
    """Cuts nodes off from the store and the others while v2 begins streams elsewhere.

    Returns those streams and the proxies of the cut nodes' ports.
    """
    f.d.store.fault = refuse_streams
    links = [proxy for n in cut for proxy in f.d.to_peers[n]]
    for link in links + [f.d.to_store[n] for n in cut]:
        link.cut()
    for _ in range(3):
        f.add("v2", ZONE)
    time.sleep(0.1)
    in_step = [n for n in range(len(f.d.nodes)) if n not in cut]
    with concurrent.futures.ThreadPoolExecutor(4 * STREAMS) as pool:
        begun = list(pool.map(lambda n: f.begin(in_step[n % len(in_step)]), range(4 * STREAMS)))
    return [b for b in begun if f.versions_of(b[0]) == {"v2"}], links


def test_peers_that_were_cut_off_too_are_no_proof_of_one_version():
    """Guards against streams that go on at another version because the peers that are asked were
    cut off together with the node, and silent nodes are not yet known to be."""
    with start() as f:
        begun, links = begin_beside_cut_off(f, (0, 3, 4))
        for n in (1, 2):
            f.d.nodes[n].kill()
        for link in links:
            link.restore()
        check_not_joined(f, begun, 0)


def test_a_restarted_node_does_not_believe_peers_that_were_cut_off():
    """Guards against streams that go on at another version at a node that has started since,
    because peers with an old list answer that there was only one."""
    with start() as f:
        begun, links = begin_beside_cut_off(f, (0, 3, 4))
        f.drop("v2")
        for n in (0, 1, 2):
            f.d.nodes[n].kill()
        f.d.to_store[0].restore()
        restart(f, 0)
        for link in links:
            link.restore()
        for _ in range(8):
            check_not_joined(f, begun, 0)
            time.sleep(0.1)
