"""Each listening address belongs to one process.

SO_REUSEPORT let a second process listen on a port in use: it started without an error,
the kernel gave it half of the connections, and these broke when it exited. In two of four
runs of all tests under load, an entry node closed the connection of a GET /status without
an answer for this reason: a test had freed a port for a node that it was about to start,
and a node of a test that ran in parallel had got the same port."""
import json
import os
import subprocess
import time

from cluster import Proc, free_port, get_json, request
from fakes import small_cluster


NAMES = {"listen": "callers", "control_listen": "control", "forward_listen": "forward"}
START_S = 10
HOLD_S = 2


def start_second_process(c, name, shared_keys):
    """Starts another entry node with the named node's addresses of these keys and free
    ports for the others; does not wait until it listens."""
    conf = dict(c.entry(name).conf, id="twin")
    for key in NAMES:
        if key not in shared_keys:
            conf[key] = "127.0.0.1:%d" % free_port()
    path = os.path.join(c.dir, "twin-%s.json" % "-".join(shared_keys))
    with open(path, "w") as f:
        json.dump(conf, f)
    return Proc([c.bin("rillknot-entry"), path], path + ".log", "")


def check_waits(c, name, key):
    """Checks that a second process on the first one's address of this key does not listen
    while the first one runs, and says why. Returns the second process."""
    second = start_second_process(c, name, [key])
    event = second.wait_event("listener.waiting", START_S)
    assert event["listener"] == NAMES[key] and "in use" in event["why"], event
    assert event["addr"] == c.entry(name).conf[key], event
    end = time.monotonic() + HOLD_S
    while time.monotonic() < end:
        a = request(c.entry(name).port, "GET", "/status")
        assert a.status == 200 and json.loads(a.body)["id"] == name, (a.status, a.error)
    assert second.popen.poll() is None
    assert not [e for e in second.events() if e["event"] == "listening"], second.events()
    return second


def test_a_second_process_does_not_take_an_address():
    """A second process on the listen, control or forward address of a running node must
    wait and serve nothing, and the first must answer all requests."""
    with small_cluster(services=1) as c:
        for key in NAMES:
            second = check_waits(c, c.entries[0].name, key)
            assert second.stop() == 0  # it is not deaf to SIGTERM while it waits


def test_traffic_threads_of_one_process_share_their_ports():
    """The traffic threads of one process share its port, which another process still
    can't take."""
    with small_cluster(services=1, proc_extra={"traffic_threads": 3}) as c:
        e = c.entries[0]
        for _ in range(50):
            assert get_json(e.port, "/status")
        for key in ("listen", "forward_listen"):
            assert check_waits(c, e.name, key).stop() == 0


def test_an_entry_node_takes_over_from_one_that_is_stopping():
    """Guards against an entry node that ends as the process before it, still in its stop,
    has its addresses: it was started again and again until that had ended."""
    with small_cluster(services=1, proc_extra={"traffic_threads": 3}) as c:
        first = c.entries[0]
        second = start_second_process(c, first.name, list(NAMES))
        try:
            second.wait_event("listener.waiting", START_S)
            assert first.stop() == 0
            second.wait_event("listening", START_S)
            free = [e["listener"] for e in second.events() if e["event"] == "listener.free"]
            assert sorted(free) == sorted(NAMES.values()), free
            assert get_json(first.port, "/status")["id"] == "twin"
            assert second.stop() == 0
        finally:
            second.kill()


def test_an_address_that_is_none_ends_an_entry_node_at_once():
    """Guards against a wait for an address that can't be one."""
    with small_cluster(services=1) as c:
        for key in NAMES:
            path = os.path.join(c.dir, "nowhere.json")
            with open(path, "w") as f:
                json.dump(dict(c.entries[0].conf, **{key: "nowhere"}), f)
            r = subprocess.run([c.bin("rillknot-entry"), path], timeout=START_S,
                               capture_output=True, text=True, check=False)
            assert r.returncode == 1 and "nowhere: expected ip:port" in r.stderr, r


def test_a_node_that_was_killed_gets_its_address_back():
    """A node that is restarted after a kill must be able to listen on its old address
    at once, although old connections linger."""
    with small_cluster(services=1) as c:
        e = c.entries[0]
        for _ in range(3):
            request(e.port, "GET", "/status")
            c.entry(e.name).kill()
            c.add_entry(e.name, "klein-hall")
            assert get_json(e.port, "/status")


def test_a_freed_port_is_not_reassigned():
    """Ports that free_port() returned must not be given to other sockets of this
    harness or to another harness while this one lives."""
    ports = [free_port() for _ in range(300)]
    assert len(set(ports)) == len(ports)
    other_ports = subprocess.run(
        ["python3", "-c",
         "import sys; sys.path[:0] = ['tools']; from cluster import free_port\n"
         "print(*[free_port() for _ in range(300)])"],
        stdout=subprocess.PIPE, check=True).stdout.decode().split()
    assert not set(ports) & {int(p) for p in other_ports}
