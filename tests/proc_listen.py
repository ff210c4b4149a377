"""Each listening address belongs to one process.

SO_REUSEPORT let a second process listen on a port in use: it started without an error,
the kernel gave it half of the connections, and these broke when it exited. In two of four
runs of all tests under load, an entry node closed the connection of a GET /status without
an answer for this reason: a test had freed a port for a node that it was about to start,
and a node of a test that ran in parallel had got the same port."""
import subprocess

from cluster import free_port, get_json, request
from fakes import small_cluster


def start_second_process(c, name, shared_kinds):
    """Starts another entry node with the named node's ports of the given kinds (listen,
    control, forward) and free ports for the others."""
    conf = dict(c.entry(name).conf)
    fixed = {k: int(conf[k + "_listen" if k != "listen" else k].rsplit(":", 1)[1])
             if k in shared_kinds else free_port() for k in ("listen", "control", "forward")}
    return c.add_entry("twin-" + "-".join(shared_kinds), "klein-hall", fixed=fixed)


def must_refuse_start(c, name, shared_kinds):
    """Checks that a second process on the first one's addresses of these kinds fails to
    start."""
    entries = list(c.entries)
    try:
        start_second_process(c, name, shared_kinds)
    except RuntimeError as e:
        c.entries = entries
        assert "in use" in str(e), e
        return
    raise AssertionError("a second process listens on the first one's %s address" % shared_kinds)


def test_a_second_process_does_not_take_an_address():
    """A second process on the listen, control or forward address of a running node must
    fail to start, and the first must answer all requests."""
    with small_cluster(services=1) as c:
        e = c.entries[0]
        for kind in ("listen", "control", "forward"):
            must_refuse_start(c, e.name, (kind,))
        for _ in range(50):
            a = request(e.port, "GET", "/status")
            assert a.status == 200, (a.status, a.error)


def test_traffic_threads_of_one_process_share_their_ports():
    """The traffic threads of one process share its port, which another process still
    can't take."""
    with small_cluster(services=1, proc_extra={"traffic_threads": 3}) as c:
        e = c.entries[0]
        for _ in range(50):
            assert get_json(e.port, "/status")
        must_refuse_start(c, e.name, ("listen",))


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
