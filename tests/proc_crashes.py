"""A call that crashes the VMs it is sent to must reach three VMs at most.

An attempt that is lost with its VM does not count against the retry budget, as its work
must be done elsewhere. Without the limit, a repeatable call went to up to eight VMs, and
each of these crashes would have cut off the VM's other calls, too. The hosted node has
the same rule (tests/proc_hosted_quarantine.py)."""
from cluster import call
from fakes import RawUpstream, small_cluster

VMS = 10
LOST_VMS_MAX = 3


def close_without_answer(conn, read, _n):
    """Behaves like a process that is killed after it began to run the call."""
    read()
    conn.close()


def test_a_call_that_crashes_its_vms_is_sent_to_three_at_most():
    """Every VM closes the connection after it has read the call: the call must fail
    after two or three VMs."""
    with small_cluster(services=0, engines=0) as c:
        upstreams = [RawUpstream(close_without_answer) for _ in range(VMS)]
        for n, upstream in enumerate(upstreams):
            c.list_vm("raw-%d" % n, upstream.port, "klein-hall", "slots", "small")
        c.wait_ready()
        answer = call(c.entries[0].port, "slots/find")
        sent = sum(len(upstream.received_keys) for upstream in upstreams)
        for upstream in upstreams:
            upstream.close()
        assert answer.status >= 500, answer.status
        assert 1 < sent <= LOST_VMS_MAX, sent
