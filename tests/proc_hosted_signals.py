"""What VMs say of themselves in answers is read, logged, and not taken from others."""
import time

from signals import Fleet


def events(fleet, node, name):
    with open(fleet.d.nodes[node].log) as f:
        return sum('"event":"%s"' % name in line for line in f)


def test_each_change_is_logged_once():
    with Fleet(nodes=1, workers=1) as f:
        worker = f.d.workers[0]
        worker.limit = 500
        for _ in range(3):
            f.ask(0)
        worker.limit = None
        for _ in range(3):
            f.ask(0)
        worker.says_leaving = True
        f.ask(0)
        f.d.nodes[0].kill()
        assert events(f, 0, "vm.limit") == 2
        assert events(f, 0, "vm.says_leaving") == 1


def test_a_rest_is_logged():
    with Fleet(nodes=1, workers=1) as f:
        f.d.workers[0].rest_s = 2
        f.ask(0)
        f.d.nodes[0].kill()
        assert events(f, 0, "vm.rest") == 1


def test_what_can_not_be_read_changes_nothing():
    """Nor does what comes from a process that isn't the VM."""
    values = [b"many", b"-1", b"nan", b"1e999", b"", b"3 4"]

    def speak(worker, req, conn):
        if values:
            extra = b"Server-Limit: %s\r\n" % values.pop()
            conn.sendall(worker.head(req, framing=b"Content-Length: 2\r\n", extra=extra) + b"ok")
        else:
            conn.sendall(b"HTTP/1.1 421 Misdirected Request\r\nServer-Limit: 0\r\n"
                         b"Server-Leaving: 1\r\nRillknot-Attempt-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % req.get("Rillknot-Attempt-Id").encode())
        return True

    with Fleet(nodes=1, workers=1, events=0, kind="idempotent") as f:
        f.d.workers[0].fault = speak
        for _ in range(7):
            f.ask(0)
        f.d.workers[0].fault = None
        time.sleep(0.3)
        assert f.ask(0).status == 200
        assert f.d.gauge(f.d.nodes[0], "vm_signals_rejected_total") == 6
        f.d.nodes[0].kill()
        assert not events(f, 0, "vm.limit") and not events(f, 0, "vm.says_leaving")
