"""Tests of planned stops: a node ends in time whatever its threads wait for."""
import ctypes
import os
import signal
import socket
import subprocess
import sys
import time

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from fakes import slow_exits  # noqa: E402
from hosted import Hosted  # noqa: E402

END_S = 1.0  # a process has ended so long after its grace period
RELOAD_INTERVAL_S = 0.001
PTRACE_SEIZE, PTRACE_INTERRUPT = 0x4206, 0x4207
WALL = 0x40000000  # waitpid() for any thread
HOLD_MAX_S = 20


def deployment():
    d = Hosted(nodes=1).start()
    d.add_worker("plain")
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


def wait_end(node, grace_s):
    """Return the exit status of a node that was told to stop."""
    return node.popen.wait(grace_s + END_S)


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


def test_a_process_file_that_cannot_be_read_delays_no_stop():
    """Guards against a node that is deaf to SIGTERM while it reads its process file.

    A pipe without a writer stands for a file on a mount that hangs.
    """
    with deployment() as d:
        node = d.nodes[0]
        os.unlink(node.file)
        os.mkfifo(node.file)
        node.signal(signal.SIGHUP)
        time.sleep(0.3)
        node.signal(signal.SIGTERM)
        assert wait_end(node, d.bounds["graceS"]) == 0


def thread_id(pid, name):
    """Return the id of a process's thread of this name."""
    for tid in os.listdir("/proc/%d/task" % pid):
        with open("/proc/%d/task/%s/comm" % (pid, tid)) as f:
            if f.read().strip() == name:
                return int(tid)
    raise AssertionError("no thread %s" % name)


def hold_thread(tid):
    """Stop a thread of another process until that process ends, as if the thread hung."""
    libc = ctypes.CDLL(None, use_errno=True)
    for request in (PTRACE_SEIZE, PTRACE_INTERRUPT):
        if libc.ptrace(request, tid, None, None) != 0:
            raise OSError(ctypes.get_errno(), "ptrace")
    print("held", flush=True)
    end = time.monotonic() + HOLD_MAX_S
    while time.monotonic() < end:
        pid, status = os.waitpid(tid, WALL | os.WNOHANG)
        if pid and not os.WIFSTOPPED(status):
            return
        time.sleep(0.02)


def check_ends_though_held(name):
    """Check that SIGTERM ends a node one of whose threads hangs, and that it says which."""
    with deployment() as d:
        node = d.nodes[0]
        tid = thread_id(node.popen.pid, name)
        # A process of its own: the kernel reports what becomes of the thread to the one that
        # holds it.
        holder = subprocess.Popen([sys.executable, os.path.abspath(__file__), str(tid)],
                                  stdout=subprocess.PIPE)
        try:
            assert holder.stdout.readline() == b"held\n"
            node.signal(signal.SIGTERM)
            assert wait_end(node, d.bounds["graceS"]) == 1
        finally:
            holder.kill()
            holder.wait()
        with open(node.log) as f:
            text = f.read()
        assert "the stop hangs" in text and "thread %d (%s):" % (tid, name) in text, text[-3000:]
        assert "rillknot-node(+0x" in text, text[-3000:]  # the stack of another thread


def test_a_stop_ends_though_the_control_thread_hangs():
    """Guards against a process that hangs in its stop until it is killed.

    It also has to tell where its threads are.
    """
    check_ends_though_held("rillknot-node")


def test_a_stop_ends_though_the_relay_hangs():
    """The same for the thread of the traffic, which the control thread joins."""
    check_ends_though_held("relay")


def test_a_stop_does_not_wait_for_what_libraries_do_at_the_exit():
    """Guards against a node that logs node.stopped and does not end.

    The functions that libraries run at the exit lie in pages that nothing has read before;
    on a busy disk it took seconds until they were there.
    """
    with slow_exits():
        d = Hosted(nodes=1).start()
    with d:
        d.nodes[0].signal(signal.SIGTERM)
        assert wait_end(d.nodes[0], d.bounds["graceS"]) == 0


def test_a_stop_amid_all_that_may_delay_it_ends_in_time():
    """Guards against a stop that waits for operators, half requests, reloads or the store."""
    with deployment() as d:
        node = d.nodes[0]
        d.store.fault = lambda req: "silent"
        held = []
        for addr in ("metrics", "ready", "listen", "control", "forward"):
            s = socket.create_connection(("127.0.0.1", d.port(node.ready[addr])))
            s.sendall(b"GET /metrics HTTP/1.1\r\nHost:")
            held.append(s)
        node.signal(signal.SIGTERM)
        end = time.monotonic() + d.bounds["graceS"] + END_S
        while node.popen.poll() is None and time.monotonic() < end:
            node.signal(signal.SIGHUP)
            node.signal(signal.SIGTERM)
            time.sleep(0.01)
        assert node.popen.poll() == 0, node.popen.poll()
        for s in held:
            s.close()


if __name__ == "__main__":
    hold_thread(int(sys.argv[1]))
