"""Nodes whose connections were left in odd states hand back the processor: tools/idle_cpu.py
with fixed seeds."""
from idle_cpu import run_seed

BATCHES = 3


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
