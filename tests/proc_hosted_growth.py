"""Tests of what a node keeps of identifiers that never come again.

A node has 120 MB, takes some 30 MB of them itself and half of the others for its callers, and
runs for 30 days: 45 MB are left for what grows. At a new identifier a second, or 2.6 million,
each may leave 17 bytes behind, less than one allocation of the smallest size.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
                                "tools"))
from growth import Growth  # noqa: E402

SEED = 1
KEPT_BYTES_MAX = 17  # of each identifier
REMOVED_VMS = 4200  # a node remembers the last 4,096
FILL_ROUNDS, ROUNDS = 4, 3
SERVICE_KEPT_S = 60  # a service's retry budget outlasts its leaving for so long
MARGIN_S = 15  # until the record is gone and its memory is used again
MEASURES_MAX, HEAP_STEPS_MAX = 3, 1
HEAP_VARIES_BYTES = 4 * 1024  # with what is in flight
# By which private memory may be larger at one moment than at another: pages partly in use.
PAGE_KB = 64


def measure_growth(g, kind, count):
    """Use count identifiers in each of some rounds. Returns the allocated bytes and those of
    private memory that each left behind, and the footprints after the rounds."""
    got = g.measure(kind, 1 + ROUNDS, count)
    assert got[0].heap_bytes > 0 or sanitized(g)
    heap = got[-1].heap_bytes - got[0].heap_bytes - HEAP_VARIES_BYTES
    private = (got[-1].private_kb - got[0].private_kb - PAGE_KB) * 1024
    return max(heap, 0) / count / ROUNDS, max(private, 0) / count / ROUNDS, got


def sanitized(g):
    """Return whether the node has an allocator that reports no heap."""
    return "address" in g.d.build or "thread" in g.d.build


def fill_tables(g, kind, count, kept_s):
    """Use identifiers for some rounds, and until the first of them are kept no longer."""
    start = time.monotonic()
    g.measure(kind, FILL_ROUNDS - 1, count)
    while time.monotonic() - start < kept_s:
        g.measure(kind, 1, count)


def check(kind, count, first=0, kept_s=0):
    """Check what a node keeps of the identifiers of a kind, after rounds that fill its tables.
    first: VMs that come and go before, to fill the record of removed ones. kept_s: for how long
    it keeps an identifier. Returns the figures."""
    g = Growth(seed=SEED)
    with g.d:
        g.vms(first)
        fill_tables(g, kind, count, kept_s)
        figures, heap_steps = [], 0
        for _ in range(MEASURES_MAX):
            heap, private, got = measure_growth(g, kind, count)
            figures.append("%.0f bytes each allocated, %.0f private, %s" % (heap, private, got))
            # Memory may grow by a step at a time, private memory by a few: pages are given back
            # only when all of their blocks are free. What each identifier leaves grows again.
            heap_steps += heap > KEPT_BYTES_MAX
            if max(heap, private) <= KEPT_BYTES_MAX or heap_steps > HEAP_STEPS_MAX:
                break
        figure = ", then ".join(figures)
        assert g.d.nodes[0].stop() == 0
    if not sanitized(g):
        assert max(heap, private) <= KEPT_BYTES_MAX, figure
    assert got[-1].fds <= got[0].fds + 16, figure
    assert got[-1].threads == got[0].threads, figure
    return figure


def test_calls_leave_nothing_behind():
    """Guards against a node that grows with each call."""
    return check("calls", 2000)


def test_vms_that_left_leave_nothing_behind():
    """Guards against a node that grows with each VM that comes and goes."""
    return check("vms", 1500, REMOVED_VMS)


def test_services_that_left_leave_nothing_behind():
    """Guards against a node that grows with each service that has ever had a VM."""
    return check("services", 300, REMOVED_VMS, SERVICE_KEPT_S + MARGIN_S)


def test_organisations_that_left_leave_nothing_behind():
    """Guards against a node that grows with each organisation that has ever made a call."""
    return check("tenants", 300)
