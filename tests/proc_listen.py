"""Addresses belong to one process.

Seen: in two of four runs of all tests beside load an entry node closed the connection
of GET /status without an answer, though all processes of that test lived by their logs.
How: a test frees a port for a node that starts a moment later, and a node of another
test, which ran at the same time, got the same one. Cause: listening sockets let any
process share their port (SO_REUSEPORT), so the second node started as if nothing had
been, the kernel gave it half of the connections, and they ended with that node. Proof:
the second node here started, and took connections meant for the first."""
import subprocess

from cluster import free_port, get_json, request
from fakes import small


def start_again(c, name, kinds):
    """Another process of a node's settings, on its address of the given kinds."""
    conf = dict(c.entry(name).conf)
    fixed = {k: int(conf[k + "_listen" if k != "listen" else k].rsplit(":", 1)[1])
             if k in kinds else free_port() for k in ("listen", "control", "forward")}
    return c.add_entry("twin-" + "-".join(kinds), "klein-hall", fixed=fixed)


def refuses_to_start(c, name, kinds):
    entries = list(c.entries)
    try:
        start_again(c, name, kinds)
    except RuntimeError as e:
        c.entries = entries
        assert "in use" in str(e), e
        return
    raise AssertionError("a second process listens on the first one's %s address" % kinds)


def test_a_second_process_does_not_take_an_address():
    with small(services=1) as c:
        e = c.entries[0]
        for kind in ("listen", "control", "forward"):
            refuses_to_start(c, e.name, (kind,))
        for _ in range(50):
            a = request(e.port, "GET", "/status")
            assert a.status == 200, (a.status, a.error)


def test_traffic_threads_of_one_process_share_their_ports():
    with small(services=1, proc_extra={"traffic_threads": 3}) as c:
        e = c.entries[0]
        for _ in range(50):
            assert get_json(e.port, "/status")
        refuses_to_start(c, e.name, ("listen",))


def test_a_node_that_was_killed_gets_its_address_back():
    with small(services=1) as c:
        e = c.entries[0]
        for _ in range(3):
            request(e.port, "GET", "/status")
            c.entry(e.name).kill()
            c.add_entry(e.name, "klein-hall")
            assert get_json(e.port, "/status")


def test_a_freed_port_is_nobody_elses():
    """While the harness lives the kernel gives a freed port to nobody who asks for any,
    and another harness doesn't get it."""
    ports = [free_port() for _ in range(300)]
    assert len(set(ports)) == len(ports)
    more = subprocess.run(
        ["python3", "-c",
         "import sys; sys.path[:0] = ['tools']; from cluster import free_port\n"
         "print(*[free_port() for _ in range(300)])"],
        stdout=subprocess.PIPE, check=True).stdout.decode().split()
    assert not set(ports) & {int(p) for p in more}
