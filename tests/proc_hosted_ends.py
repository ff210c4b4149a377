"""A node that ends by itself says why: on standard error, with the thread and its stack.
Nothing that its log can't take ends it."""
import os
import resource
import signal
import subprocess
import tempfile

from cluster import Proc
from fleet_soak import FleetSoak, choose_network
from fakes import BUILD, write_lone_process_file
from hosted import Hosted

END_S = 5
LOG_ROOM_BYTES = 2000  # a few events
CHANGES = 20


def check_says_why(sig):
    """Check that a node which ends by a signal names it, the thread and its stack."""
    with Hosted(nodes=1) as d:
        node = d.nodes[0]
        node.signal(sig)
        assert node.popen.wait(END_S) == -sig
        with open(node.log) as f:
            text = f.read()
        assert "fatal signal %d (%s), thread " % (sig, sig.name) in text, text[-3000:]
        assert "rillknot-node(+0x" in text, text[-3000:]


def test_a_node_that_crashes_tells_where():
    """Guards against a node that ends by a signal and leaves no line in its log."""
    check_says_why(signal.SIGSEGV)


def test_a_node_that_aborts_tells_where():
    """The same for a failed assertion or allocation."""
    check_says_why(signal.SIGABRT)


def test_a_sanitizers_report_of_an_earlier_process_of_a_node_fails_a_test():
    """Guards against reports that nobody sees: only the last log of each node was read.

    A node that logged on overwrote what had been added to its log.
    """
    try:
        with Hosted(nodes=1) as d:
            with open(d.nodes[0].log, "ab") as log:
                log.write(b"WARNING: ThreadSanitizer: data race\n")
            d.nodes[0].signal(signal.SIGHUP)
            d.nodes[0].wait_event("node.reloaded")
            d.restart_node(0)
    except AssertionError as e:
        assert "ThreadSanitizer: data race" in str(e), e
        return
    raise AssertionError("the report was not noticed")


def test_a_crash_of_an_earlier_process_of_a_node_fails_a_test():
    """Guards against nodes that end by themselves in a test which starts them again."""
    try:
        with Hosted(nodes=1) as d:
            os.kill(d.nodes[0].popen.pid, signal.SIGSEGV)
            d.nodes[0].popen.wait(END_S)
            d.restart_node(0)
    except AssertionError as e:
        assert "crashed" in str(e) or "SEGV" in str(e), e
        return
    raise AssertionError("the crash was not noticed")


def test_a_sanitizers_report_of_a_killed_process_fails_a_fleet_soak():
    """Guards against reports that nobody sees: no log of a killed process was read."""
    run = FleetSoak(1, 1, 1)
    run.add_machine(0, choose_network())
    machine = run.machines[0]
    machine.start()
    machine.process.proc.wait_event("node.started")
    with open(machine.process.log, "ab") as log:
        log.write(b"WARNING: ThreadSanitizer: data race\n")
    run.kill([machine], END_S)
    run.watch_process(machine)
    run.d.stop()
    assert run.problems and "ThreadSanitizer: data race" in run.problems[0], run.problems


def limit_log(proc, room):
    """Lets a process's log grow by this many bytes and no more. Returns its largest size."""
    size = os.path.getsize(proc.log) + room
    resource.prlimit(proc.popen.pid, resource.RLIMIT_FSIZE, (size, size))
    return size


def test_a_log_file_that_may_not_grow_does_not_end_a_node():
    """Guards against a node that ends by SIGXFSZ when its log reaches the limit of a file.

    It ended again after each start, as the log went on in the same file.
    """
    with Hosted(nodes=1) as d:
        d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        size = limit_log(d.nodes[0], LOG_ROOM_BYTES)
        for i in range(CHANGES):
            d.configure([d.route("r", "plain"), d.route("r%d" % i, "plain")])
            assert d.call("/r/x").status == 200
        assert os.path.getsize(d.nodes[0].log) == size
        assert d.nodes[0].stop() == 0


def test_a_log_file_that_is_full_keeps_no_process_from_starting():
    """Guards against the same at the start, in every program that serves."""
    for program in ("rillknot-entry", "rillknot-keeper"):
        with tempfile.TemporaryDirectory() as folder:
            path = write_lone_process_file(folder)
            p = Proc(["prlimit", "--fsize=0", os.path.join(BUILD, program), path],
                     os.path.join(folder, "log"), "")
            try:
                p.popen.wait(1)
            except subprocess.TimeoutExpired:
                pass
            assert p.popen.poll() is None, p.popen.poll()
            assert p.stop() == 0
