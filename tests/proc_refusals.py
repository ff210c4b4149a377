"""Promise 3: a refusal that says a booking or a ride was not run is true.
The upstream's own count of runs is compared with what the caller was told."""
import socket
import time

from cluster import Answer, call, chat, wait_for
from fakes import OK_ANSWER, RawUpstream, check_truth, cluster, small, spill_cluster


def with_upstream(behave, calls=1, path="slots/confirm", **kw):
    up = RawUpstream(behave)
    with small(services=0, engines=0, **kw) as c:
        c.list_vm("raw", up.port, "klein-hall", "slots", "small")
        c.wait_ready()
        answers = [call(c.entries[0].port, path, "k%d" % i) for i in range(calls)]
        up.close()
        for i, a in enumerate(answers):
            check_truth(a, up.runs.get("k%d" % i, 0))
        return answers, up


def test_no_listener_is_not_run():
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    with small(services=0, engines=0) as c:
        c.list_vm("gone", s.getsockname()[1], "klein-hall", "slots", "small")
        c.wait_ready()
        a = call(c.entries[0].port, "slots/confirm", "k0")
        assert a.verdict == "not-run", (a.status, a.verdict, a.body)
        assert "retry-after" in a.headers
    s.close()


def test_connect_that_hangs_is_not_run():
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    s.listen(0)
    fill = []
    for _ in range(4):  # the backlog is full: further connects hang
        f = socket.socket()
        f.setblocking(False)
        f.connect_ex(s.getsockname())
        fill.append(f)
    with small(services=0, engines=0) as c:
        c.list_vm("hung", s.getsockname()[1], "klein-hall", "slots", "small")
        c.wait_ready()
        a = call(c.entries[0].port, "slots/confirm", "k0", headers={
            "Rillknot-Deadline-Ms": "4000"})
        assert a.verdict == "not-run", (a.status, a.verdict, a.body)
    for f in fill + [s]:
        f.close()


def test_cut_after_0_bytes():
    answers, _ = with_upstream(lambda conn, read, n: None)
    assert answers[0].verdict == "may-have-run"


def test_cut_after_1_byte():
    answers, _ = with_upstream(lambda conn, read, n: read(1))
    assert answers[0].verdict == "may-have-run"


def test_cut_after_all_bytes():
    answers, up = with_upstream(lambda conn, read, n: read())
    assert answers[0].verdict == "may-have-run"
    assert up.seen == ["k0"], up.seen


def test_cut_inside_the_answer():
    def behave(conn, read, n):
        read()
        conn.sendall(OK_ANSWER[:-1])
    answers, _ = with_upstream(behave)
    assert answers[0].verdict == "may-have-run"
    assert not answers[0].whole()


def test_reused_connection_that_dies():
    """libcurl sends a request again by itself when a kept connection dies before
    a byte came back: for what may not be repeated that must not happen."""
    def behave(conn, read, n):
        read()
        conn.sendall(OK_ANSWER)
        read()  # a second request on the kept connection: taken, then dropped
    answers, up = with_upstream(behave, calls=6)
    assert all(n == 1 for n in up.runs.values()), up.runs
    assert [a.verdict for a in answers] == ["ran"] * 6


def test_503_proves_nothing_without_a_contract():
    with small(engines=0) as c:
        c.fault(c.services[0], "refuse-run", 1)  # runs, and says 503
        a = call(c.entries[0].port, "slots/confirm", "k0")
        check_truth(a, c.runs().get("k0", 0))
        assert a.verdict == "may-have-run"
        c.fault(c.services[0], "refuse", 1)  # doesn't run
        a = call(c.entries[0].port, "slots/confirm", "k1")
        check_truth(a, c.runs().get("k1", 0))


def test_503_with_a_contract_is_retried():
    with small(engines=0, services=2) as c:
        c.put_change(2, {"id": "c", "set": {"/services/slots/refusal_not_run": True}})
        c.wait_head(2)
        for s in c.services:
            c.fault(s, "refuse", 1)
        a = call(c.entries[0].port, "slots/confirm", "k0")
        runs = c.runs().get("k0", 0)
        check_truth(a, runs)
        assert a.verdict == "not-run" or runs == 1, (a.verdict, runs)


def test_run_then_cut_before_the_answer():
    with small(engines=0) as c:
        c.fault(c.services[0], "cut-after", 1)
        a = call(c.entries[0].port, "slots/release", "k0")
        check_truth(a, c.runs().get("k0", 0))
        assert a.verdict == "may-have-run"


def test_repeat_of_a_lost_answer_is_never_told_not_run():
    """The first arrival ran and its answer was lost. Whatever refuses the second,
    the key must not be said not to have run."""
    with small(engines=0) as c:
        c.fault(c.services[0], "cut-after", 1)
        first = call(c.entries[0].port, "slots/confirm", "k0")
        assert first.verdict == "may-have-run" and c.runs() == {"k0": 1}
        c.fault(c.platform, "down")
        for p in c.services:
            p.kill()
        second = call(c.entries[0].port, "slots/confirm", "k0")
        assert second.verdict != "not-run", second.body
        assert second.headers.get("rillknot-arrival") == "not-sent"


def test_peer_that_is_killed_with_a_call_in_hand():
    with spill_cluster() as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        import threading
        got = []
        t = threading.Thread(target=lambda: got.append(
            call(a.port, "slots/confirm", "k0")))
        t.start()
        wait_for(lambda: c.runs().get("k0"), 20, "the call to run")
        b.kill()
        t.join()
        check_truth(got[0], c.runs().get("k0", 0))
        assert got[0].verdict == "may-have-run", got[0].body


def test_peer_that_is_frozen_with_a_call_in_hand():
    with spill_cluster() as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        b.freeze()
        answer = call(a.port, "slots/confirm", "k0",
                      headers={"Rillknot-Deadline-Ms": "5000"})
        runs_then = c.runs().get("k0", 0)
        b.thaw()
        time.sleep(3)
        runs = c.runs().get("k0", 0)
        check_truth(answer, runs)
        assert runs <= 1, (runs_then, runs)


def test_engine_refusals_are_true_too():
    """A model call that may not be repeated (a lost-item report)."""
    kw = dict(settings="etc/taxi.json", domains=["kadikoy"], engine_service="reports",
              plain_service="rides", services=0)
    h = {"Rillknot-Organisation": "drivers", "Idempotency-Key": "lost-1"}
    with small(**kw) as c:
        c.fault(c.engines[0], "cut-mid", 1, 3)
        a = chat(c.entries[0].port, "a bag was lost at the hotel", model="lost-item",
                 headers=h)
        assert isinstance(a, Answer) and not a.whole()
        from cluster import get_json
        assert get_json(c.engines[0].port, "/_runs")["calls"] == 1
        again = chat(c.entries[0].port, "a bag was lost at the hotel", model="lost-item",
                     headers=h)
        assert again.verdict == "may-have-run", again.body
        assert get_json(c.engines[0].port, "/_runs")["calls"] == 1


# Guards against requests to an upstream that has asked for rest, sent again and again.
def test_an_upstream_that_asks_for_rest_is_left_alone():
    def turn_away(conn, read, n):
        read()
        turned.append(time.monotonic())
        conn.sendall(b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")

    def serve(conn, read, n):
        read()
        conn.sendall(OK_ANSWER)

    turned, tired, fresh = [], RawUpstream(turn_away), RawUpstream(serve)
    with small(services=0, engines=0) as c:
        c.list_vm("tired", tired.port, "klein-hall", "slots", "small")
        c.list_vm("fresh", fresh.port, "klein-hall", "slots", "small")
        c.wait_ready()
        wait_for(lambda: call(c.entries[0].port, "slots/find").whole() and turned, 10,
                 "a call that is turned away")
        end = turned[0] + 5
        while time.monotonic() < end:
            call(c.entries[0].port, "slots/find")
            time.sleep(0.02)
        rested = [t for t in turned if turned[0] + 0.5 < t < turned[0] + 1.9]
        assert len(rested) <= 2, "%d requests in a rest" % len(rested)
        assert [t for t in turned if t > turned[0] + 2], "it isn't used again"
    for up in (tired, fresh):
        up.close()
