"""Promise 3: a refusal that reports a booking or a ride as not run is true. The tests
compare the verdict that the caller receives with the upstream's own count of runs."""
import socket
import threading
import time

from cluster import Answer, call, chat, wait_for
from fakes import OK_ANSWER, RawUpstream, check_verdict, cluster, small_cluster, forwarding_cluster


def with_upstream(behave, calls=1, path="slots/confirm", **kw):
    """Sends calls to one RawUpstream with this behaviour and checks their verdicts.
    Returns the answers and the upstream."""
    upstream = RawUpstream(behave)
    with small_cluster(services=0, engines=0, **kw) as c:
        c.list_vm("raw", upstream.port, "klein-hall", "slots", "small")
        c.wait_ready()
        answers = [call(c.entries[0].port, path, "k%d" % i) for i in range(calls)]
        upstream.close()
        for i, a in enumerate(answers):
            check_verdict(a, upstream.runs.get("k%d" % i, 0))
        return answers, upstream


def test_no_listener_is_not_run():
    """A refused connect proves that the call did not run. The refusal must say so, and
    when to retry."""
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    with small_cluster(services=0, engines=0) as c:
        c.list_vm("gone", s.getsockname()[1], "klein-hall", "slots", "small")
        c.wait_ready()
        a = call(c.entries[0].port, "slots/confirm", "k0")
        assert a.verdict == "not-run", (a.status, a.verdict, a.body)
        assert "retry-after" in a.headers
    s.close()


def test_connect_that_hangs_is_not_run():
    """A connect that times out proves that the call did not run."""
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    s.listen(0)
    backlog = []
    for _ in range(4):  # a full backlog makes further connects hang
        f = socket.socket()
        f.setblocking(False)
        f.connect_ex(s.getsockname())
        backlog.append(f)
    with small_cluster(services=0, engines=0) as c:
        c.list_vm("hung", s.getsockname()[1], "klein-hall", "slots", "small")
        c.wait_ready()
        a = call(c.entries[0].port, "slots/confirm", "k0", headers={
            "Rillknot-Deadline-Ms": "4000"})
        assert a.verdict == "not-run", (a.status, a.verdict, a.body)
    for f in backlog + [s]:
        f.close()


def test_cut_after_0_bytes():
    """The upstream closes the connection at once: the request may have been sent, so it
    may have run."""
    answers, _ = with_upstream(lambda conn, read, n: None)
    assert answers[0].verdict == "may-have-run"


def test_cut_after_1_byte():
    """The upstream closes the connection after 1 byte of the request: it may have
    run."""
    answers, _ = with_upstream(lambda conn, read, n: read(1))
    assert answers[0].verdict == "may-have-run"


def test_cut_after_all_bytes():
    """The upstream reads the whole request and closes without an answer: it may have
    run, and must not be sent again."""
    answers, upstream = with_upstream(lambda conn, read, n: read())
    assert answers[0].verdict == "may-have-run"
    assert upstream.received_keys == ["k0"], upstream.received_keys


def test_cut_inside_the_answer():
    """An answer that lacks its last byte must not pass as complete."""
    def behave(conn, read, n):
        read()
        conn.sendall(OK_ANSWER[:-1])
    answers, _ = with_upstream(behave)
    assert answers[0].verdict == "may-have-run"
    assert not answers[0].whole()


def test_reused_connection_that_dies():
    """libcurl sends a request again by itself when a reused connection closes before
    the first byte of the answer. It must not do so for a call that may not be
    repeated."""
    def behave(conn, read, n):
        read()
        conn.sendall(OK_ANSWER)
        read()  # read a second request on the same connection, then close it
    answers, upstream = with_upstream(behave, calls=6)
    assert all(n == 1 for n in upstream.runs.values()), upstream.runs
    assert [a.verdict for a in answers] == ["ran"] * 6


def test_503_proves_nothing_without_a_contract():
    """A 503 may be sent after the call ran. Unless the settings state that the
    service's refusals were not run, the verdict must be may-have-run."""
    with small_cluster(engines=0) as c:
        c.fault(c.services[0], "refuse-run", 1)  # runs the call, then answers 503
        a = call(c.entries[0].port, "slots/confirm", "k0")
        check_verdict(a, c.runs().get("k0", 0))
        assert a.verdict == "may-have-run"
        c.fault(c.services[0], "refuse", 1)  # answers 503 without running it
        a = call(c.entries[0].port, "slots/confirm", "k1")
        check_verdict(a, c.runs().get("k1", 0))


def test_503_with_a_contract_is_retried():
    """With refusal_not_run set, a 503 proves that the call did not run, so it is
    retried or reported as not run."""
    with small_cluster(engines=0, services=2) as c:
        c.put_change(2, {"id": "c", "set": {"/services/slots/refusal_not_run": True}})
        c.wait_head(2)
        for s in c.services:
            c.fault(s, "refuse", 1)
        a = call(c.entries[0].port, "slots/confirm", "k0")
        runs = c.runs().get("k0", 0)
        check_verdict(a, runs)
        assert a.verdict == "not-run" or runs == 1, (a.verdict, runs)


def test_run_then_cut_before_the_answer():
    """A call that ran and lost its answer must be reported as may-have-run."""
    with small_cluster(engines=0) as c:
        c.fault(c.services[0], "cut-after", 1)
        a = call(c.entries[0].port, "slots/release", "k0")
        check_verdict(a, c.runs().get("k0", 0))
        assert a.verdict == "may-have-run"


def test_repeat_of_a_lost_answer_is_never_reported_not_run():
    """The first arrival of a key ran and lost its answer. Whatever refuses the second
    arrival, it must not report the key as not run."""
    with small_cluster(engines=0) as c:
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
    """A call was forwarded to a node that is killed while the call runs: the verdict
    must be may-have-run."""
    with forwarding_cluster() as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        import threading
        got = []
        t = threading.Thread(target=lambda: got.append(
            call(a.port, "slots/confirm", "k0")))
        t.start()
        wait_for(lambda: c.runs().get("k0"), 20, "the call to run")
        b.kill()
        t.join()
        check_verdict(got[0], c.runs().get("k0", 0))
        assert got[0].verdict == "may-have-run", got[0].body


def test_peer_that_is_frozen_with_a_call_in_hand():
    """A call was forwarded to a frozen node, which may still run it when it thaws: the
    verdict must stay true and the call run once at most."""
    with forwarding_cluster() as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        b.freeze()
        answer = call(a.port, "slots/confirm", "k0",
                      headers={"Rillknot-Deadline-Ms": "5000"})
        runs_before_thaw = c.runs().get("k0", 0)
        b.thaw()
        time.sleep(3)
        runs = c.runs().get("k0", 0)
        check_verdict(answer, runs)
        assert runs <= 1, (runs_before_thaw, runs)


def test_a_cut_engine_call_that_may_not_be_repeated_runs_once():
    """A model call that may not be repeated, a report of a lost item, is cut after 3
    tokens. Neither the node nor a repeat with the same key may run it again."""
    kw = dict(settings="etc/taxi.json", domains=["kadikoy"], engine_service="reports",
              plain_service="rides", services=0)
    h = {"Rillknot-Organisation": "drivers", "Idempotency-Key": "lost-1"}
    with small_cluster(**kw) as c:
        c.fault(c.engines[0], "cut-mid", 1, 3)
        a = chat(c.entries[0].port, "a bag was lost at the hotel", model="lost-item",
                 headers=h)
        assert isinstance(a, Answer) and not a.whole()
        from cluster import get_json
        assert get_json(c.engines[0].port, "/_runs")["calls"] == 1
        repeat = chat(c.entries[0].port, "a bag was lost at the hotel", model="lost-item",
                      headers=h)
        assert repeat.verdict == "may-have-run", repeat.body
        assert get_json(c.engines[0].port, "/_runs")["calls"] == 1


def test_a_cooldown_requested_by_an_upstream_is_kept():
    """Guards against sending requests again and again to an upstream that has asked for
    a cooldown. One that refuses with Retry-After: 2 must get two requests at most from
    0.5 to 1.9 s after its first refusal, and be used again once the 2 s are over."""
    def refuse_with_retry_after(conn, read, n):
        read()
        refused_at.append(time.monotonic())
        conn.sendall(b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")

    def serve(conn, read, n):
        read()
        conn.sendall(OK_ANSWER)

    refused_at, cooling, serving = [], RawUpstream(refuse_with_retry_after), RawUpstream(serve)
    with small_cluster(services=0, engines=0) as c:
        c.list_vm("tired", cooling.port, "klein-hall", "slots", "small")
        c.list_vm("fresh", serving.port, "klein-hall", "slots", "small")
        c.wait_ready()
        wait_for(lambda: call(c.entries[0].port, "slots/find").whole() and refused_at, 10,
                 "a refused call")
        end = refused_at[0] + 5
        while time.monotonic() < end:
            call(c.entries[0].port, "slots/find")
            time.sleep(0.02)
        during_cooldown = [t for t in refused_at if refused_at[0] + 0.5 < t < refused_at[0] + 1.9]
        assert len(during_cooldown) <= 2, "%d requests during the cooldown" % len(during_cooldown)
        assert [t for t in refused_at if t > refused_at[0] + 2], "the VM is not used again"
    for upstream in (cooling, serving):
        upstream.close()


def test_calls_that_wait_for_a_peers_connection_are_not_sent_after_their_refusal():
    """A frozen peer's listener takes no connections until its callers were refused.

    Guards against calls that are answered as not run because the connection to the peer
    didn't come up, and are sent, and run, when it does."""
    with forwarding_cluster(warm=False) as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        time.sleep(1)  # a has heard of b's free slots
        forward_addr = ("127.0.0.1", int(b.conf["forward_listen"].split(":")[1]))
        answers = {"k%d" % n: None for n in range(8)}

        def confirm(key):
            answers[key] = call(a.port, "slots/confirm", key)
        callers = [threading.Thread(target=confirm, args=(key,)) for key in answers]
        b.freeze()
        backlog = []
        for _ in range(400):  # a full backlog makes further connects hang
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex(forward_addr)
            backlog.append(s)
        for t in callers:
            t.start()
        time.sleep(0.65)  # longer than a call waits for a peer's acknowledgement
        b.thaw()
        for t in callers:
            t.join()
        for s in backlog:
            s.close()
        time.sleep(3)  # connects were tried again, and what was sent has run
        runs = c.runs()
        for key, answer in answers.items():
            check_verdict(answer, runs.get(key, 0))
        return ", ".join("%s %s" % (x.status, x.verdict) for x in answers.values())


SOUND_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
ODD_HEADS = [b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok" % status for status in (
    b"000 X", b"020 X", b"20 X", b"0200 OK", b"600 X", b"999 X", b"200OK", b"", b"2e2 OK")] + \
    [SOUND_HEAD + line + b"\r\nContent-Length: 2\r\n\r\nok" for line in (
        b"X Cache: miss", b"X-Cache : miss", b"X\tCache: miss", b": miss", b"X-Cache",
        b"X\x01Cache: miss", b"X\x7fCache: miss", b" X-Cache: miss")]


def test_answers_that_are_no_http_or_end_inside_their_head_are_failures():
    """Guards against an answer that ends inside its head, or whose head is no HTTP, and reaches the
    caller as a whole 200 with an empty or short body."""
    cut = [SOUND_HEAD[:n] for n in range(1, len(SOUND_HEAD) + 1)] + \
        [SOUND_HEAD + b"Content-Length: 2\r\n", SOUND_HEAD + b"Transfer-Encoding: chunked\r\n\r"]
    heads, sent = cut + ODD_HEADS, []

    def behave(conn, read, n):
        read()
        if len(sent) < len(heads):
            sent.append(heads[len(sent)])
            conn.sendall(sent[-1])
        else:
            conn.sendall(OK_ANSWER)
    upstream = RawUpstream(behave)
    with small_cluster(services=0, engines=0) as c:
        c.list_vm("raw", upstream.port, "klein-hall", "slots", "small")
        c.wait_ready()
        wrong, calls = [], 0
        while len(sent) < len(heads):
            before, calls = len(sent), calls + 1
            a = call(c.entries[0].port, "slots/confirm", "k%d" % calls)
            if len(sent) > before and a.status < 400:
                wrong.append((sent[-1], a.status, a.body))
            assert calls < 20 * len(heads), len(sent)
        wait_for(lambda: call(c.entries[0].port, "slots/confirm", "sound").status == 200, 10,
                 "the upstream to serve again")
    assert not wrong, (len(wrong), wrong[:5])
