"""A call that ends the VMs it is sent to: no more than three are given to it.

Seen in review of the same fault in the hosted node (tests/proc_hosted_crashes.py): a lost
VM asks for no budget, as its work must go somewhere, so one call that may be repeated was
sent to up to eight, and each would take its other calls along."""
from cluster import call
from fakes import RawUpstream, small

VMS = 10
VMS_MAX = 3


def ends(conn, read, _n):
    """As a process that is killed when it has begun to run the call."""
    read()
    conn.close()


def test_a_call_under_which_vms_end_gets_three_of_them():
    with small(services=0, engines=0) as c:
        ups = [RawUpstream(ends) for _ in range(VMS)]
        for n, up in enumerate(ups):
            c.list_vm("raw-%d" % n, up.port, "klein-hall", "slots", "small")
        c.wait_ready()
        answer = call(c.entries[0].port, "slots/find")
        sent = sum(len(up.seen) for up in ups)
        for up in ups:
            up.close()
        assert answer.status >= 500, answer.status
        assert 1 < sent <= VMS_MAX, sent
