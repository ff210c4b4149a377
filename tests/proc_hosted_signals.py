"""Tests of the signals in VMs' answers: they are read, logged, and accepted from VMs only."""
import time

from signals import Fleet


def event_count(fleet, node, name):
    """Returns how often the node logged an event."""
    with open(fleet.d.nodes[node].log) as f:
        return sum('"event":"%s"' % name in line for line in f)


def test_each_change_is_logged_once():
    """Guards against a log line for every answer that repeats a signal."""
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
        assert event_count(f, 0, "vm.limit") == 2
        assert event_count(f, 0, "vm.says_leaving") == 1


def test_a_cooldown_is_logged():
    """Guards against a requested cooldown that is not logged."""
    with Fleet(nodes=1, workers=1) as f:
        f.d.workers[0].retry_after_s = 2
        f.ask(0)
        f.d.nodes[0].kill()
        assert event_count(f, 0, "vm.rest") == 1


def test_invalid_signals_change_nothing():
    """Guards against invalid signals that take effect.

    The signals in a 421 answer, which comes from a process that is not the listed VM,
    must be ignored, too.
    """
    values = [b"many", b"-1", b"nan", b"1e999", b"", b"3 4"]

    def answer_with_bad_signals(worker, req, conn):
        if values:
            extra = b"Server-Limit: %s\r\n" % values.pop()
            conn.sendall(worker.head(req, framing=b"Content-Length: 2\r\n", extra=extra) + b"ok")
        else:
            conn.sendall(b"HTTP/1.1 421 Misdirected Request\r\nServer-Limit: 0\r\n"
                         b"Server-Leaving: 1\r\nRillknot-Attempt-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % req.get("Rillknot-Attempt-Id").encode())
        return True

    with Fleet(nodes=1, workers=1, events=0, kind="idempotent") as f:
        f.d.workers[0].fault = answer_with_bad_signals
        for _ in range(7):
            f.ask(0)
        f.d.workers[0].fault = None
        time.sleep(0.3)
        assert f.ask(0).status == 200
        assert f.d.gauge(f.d.nodes[0], "vm_signals_rejected_total") == 6
        f.d.nodes[0].kill()
        assert not event_count(f, 0, "vm.limit") and not event_count(f, 0, "vm.says_leaving")
