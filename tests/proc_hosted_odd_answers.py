"""Odd answers of VMs, of the cloud API and of the store, and odd requests of peers."""
import time

import odd_objects
from hosted import Hosted, http, wait_until
from proc_hosted_fleet import fleet

SECONDS = 8
SEED = 106
BODY = b"0\r\n\r\n"


def check_interim(head, rest, expected):
    """Have the VM answer with an interim head, what looks like its body, and the rest."""
    def fault(w, req, conn):
        conn.sendall(head + BODY + (rest and w.head(req, framing=rest)))
        return False
    with Hosted() as d:
        d.start()
        d.add_worker("plain").fault = fault
        d.configure([d.route("r", "plain", maxAttempts=1)])
        d.wait_ready()
        a = d.call("/r/x")
        assert a.status in expected, (a.status, a.body)
        assert a.body != BODY


def test_an_interim_answer_with_a_length_has_no_body():
    """Guards against the body that an answer of 100 claims to have: its bytes were sent to the
    caller ahead of the head of the answer."""
    for head in (b"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n",
                 b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"):
        check_interim(head, b"", (502, 503))
        check_interim(head, b"Content-Length: 0\r\n", (502, 503))


def test_an_answer_that_switches_protocols_is_none():
    """Guards against the bytes of another protocol, which no request asks for."""
    check_interim(b"HTTP/1.1 101 X\r\nContent-Length: 5\r\n\r\n", b"", (502, 503))
    check_interim(b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", b"", (502, 503))


def loses_first_create(store, kind):
    """The store executes the first create of a kind without an answer, and refuses later ones
    without the object that is there."""
    seen = []

    def fault(req):
        if req.method != "POST" or not req.target.endswith("/" + kind) or seen:
            return None
        seen.append(req)
        return "lost"
    store.shows_existing, store.fault = False, fault
    return seen


def test_a_node_whose_entry_was_written_without_an_answer_registers():
    """Guards against a node that creates its entry again and again, as a refusal doesn't show
    that the entry is there, and never reads the list of nodes."""
    with fleet(nodes=2) as d:
        seen = loses_first_create(d.store, "rillknot-nodes")
        node = d.add_node()
        wait_until(lambda: any(e["event"] == "mesh.enrolled" for e in node.events()), 8)
        assert seen


def test_a_record_that_was_written_without_an_answer_is_written_again():
    """Guards against a leader that creates a record again and again, as a refusal doesn't show
    the record's revision: what quotas were used is lost with the next kill of all nodes."""
    d = Hosted(nodes=2)
    seen = loses_first_create(d.store, "rillknot-quotas")
    with d:
        d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        records = d.store.objects["rillknot-quotas"]
        written = set()

        def is_written_again():
            assert d.call("/r/x").status == 200
            written.update(o["metadata"]["revision"] for o in records.values())
            return len(written) > 3
        wait_until(is_written_again, 12)
        assert seen


def test_a_limit_beyond_any_rate_is_told_to_peers():
    """Guards against a limit of a VM that peers reject as no node's: they would log each report
    of it, once a second, as long as it holds."""
    with Hosted(nodes=2) as d:
        d.start()
        worker = d.add_worker("plain")
        worker.limit, worker.brittle = 1e300, 1e300
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        assert d.call("/r/x").status == 200
        time.sleep(2)
        events = [e.get("event") for n in d.nodes for e in n.events()]
        assert "vm.limit" in events
        assert "peer.number_rejected" not in events


def test_nodes_outlive_odd_answers_and_requests():
    """Guards against a node that ends, stays busy, sends callers what is no answer or does not
    serve again after odd answers of VMs or of the cloud API, or odd requests of peers."""
    run = odd_objects.OddAnswers(SEED, SECONDS).run()
    assert not run.problems, odd_objects.report(run)
    assert run.served > 20 and run.odd_answers > 20, (run.served, run.odd_answers)
    return "%d calls served, %d odd answers" % (run.served, run.odd_answers)


def test_keep_alive_times_beyond_any_clock_are_harmless():
    """Guards against a Keep-Alive time whose milliseconds don't fit 64 bits."""
    times = ("9223372036854775807", "-9223372036854775808", "99999999999999999999", "-1", "",
             "nan", "9223372036854775", "1, timeout=2")
    with Hosted(nodes=1) as d:
        worker = d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        for text in times:
            worker.signals = lambda t=text: b"Keep-Alive: timeout=%s\r\n" % t.encode()
            assert [d.call("/r/x").status for _ in range(3)] == [200] * 3, text


def test_odd_attempts_of_a_forwarded_call_are_refused():
    """Guards against a peer's count of attempts that overflows at the next one."""
    with Hosted(nodes=1) as d:
        d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        port = d.port(d.nodes[0].ready["forward"])
        for text in ("0 2147483647", "0 4294967295 1", "0 99999999999999999999", "0 -1 1", "0",
                     "99999999999999999999 0", "nan nan"):
            a = http(port, "POST", "/r/x", [
                ("Host", "api.example"), ("X-Api-Key", "key-1"), ("Rillknot-Forwarded", text),
                ("Rillknot-Attempt-Id", "forwarded")])
            assert a.status in (400, 503), (text, a.status)
        assert not d.workers[0].seen
        assert d.call("/r/x").status == 200
