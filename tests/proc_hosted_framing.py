"""Tests of answers that end early, under each framing of their bodies.

A body ends with its last chunk, after its Content-Length, or only with its connection. In
the last case nothing but the body itself can tell a whole stream from one that was broken
off, as the system closes the connections of a process that crashed in the normal way, too.
"""
import itertools
import socket
import threading
import time

from hosted import FRAMINGS, Hosted, Worker, reset, wait_until

EVENTS = 3
SHORT_ID = "framed-id"
EVENT_MAX_BYTES = 256 * 1024  # longest event of a stream that may be resumed


def deployment(workers=1, nodes=1, events=EVENTS, resumable=False, attempts=1, max_conns=200):
    """Starts nodes with streaming workers behind one route."""
    d = Hosted(nodes=nodes, bounds={"budgetExtra": 4000}).start()
    for _ in range(workers):
        d.add_worker("llm", events=events, slots=64)
    d.configure([d.route("s", "llm", "streaming", resumable=resumable, maxAttempts=attempts)],
                services=[{"name": "llm", "healthPath": "/healthz", "maxConns": max_conns,
                           "protocol": "h1", "tls": False}])
    d.wait_ready()
    return d


def body_of(worker, ident, first=1):
    """Returns the body of a whole stream, from its first event on."""
    return b"".join(b"id: %d\ndata: %s token %d\n\n" % (n, ident.encode(), n)
                    for n in range(first, worker.events + 1))


def break_off(framing, sent, by_reset=False, mark_end=False):
    """Returns a worker fault that sends so many bytes of a stream's body and no more.

    by_reset: then resets the connection, instead of closing it in order. mark_end: sends
    the last chunk of a chunked body, too.
    """
    def fault(w, req, conn):
        ident = req.get("Rillknot-Attempt-Id")
        w.runs[ident] += 1
        body = body_of(w, ident, int(req.get("Last-Event-Id", 0)) + 1)
        conn.sendall(w.head(req, framing=w.framing_header(framing, len(body)),
                            extra=b"Content-Type: text/event-stream\r\n"))
        if sent:
            w.send_body(conn, framing, body[:sent])
        if mark_end and framing == "chunked":
            return w.end_body(conn, framing)
        if by_reset:
            time.sleep(0.02)
            reset(conn)
            return False
        # The connection of a complete answer is kept for the next one.
        return framing == "length" and sent == len(body)
    return fault


def may_look_whole(body, framing, sent, by_reset, mark_end):
    """Returns whether a caller may take the answer for a whole one.

    Without framing, a stream that stops between two events can't be told from a whole one.
    """
    if by_reset:
        return False
    if framing == "chunked":
        return mark_end
    if framing == "length":
        return sent == len(body)
    return sent > 0 and body[:sent].endswith(b"\n\n")


def check_cut_at_each_byte(framing, by_reset=False, mark_end=False):
    """Cuts a stream that may not be resumed at each of its bytes."""
    with deployment() as d:
        worker = d.workers[0]
        body = body_of(worker, SHORT_ID)
        wrong = []
        for sent in range(len(body) + 1):
            worker.fault = break_off(framing, sent, by_reset, mark_end)
            a = d.call("/s/x", ident=SHORT_ID)
            looks_whole = a.status == 200 and a.whole
            if looks_whole != may_look_whole(body, framing, sent, by_reset, mark_end) \
                    or not body.startswith(a.body if a.status == 200 else b""):
                wrong.append((sent, a.status, a.whole, a.body))
        assert not wrong, (len(wrong), wrong[:3])


def test_an_unframed_stream_cut_inside_an_event_looks_cut():
    """Guards against a stream without framing that is framed as complete after its VM has
    broken it off amid an event, at any byte."""
    check_cut_at_each_byte("close")


def test_an_unframed_stream_that_is_reset_looks_cut():
    """Guards against a reset that is taken for the end of a stream without framing."""
    check_cut_at_each_byte("close", by_reset=True)


def test_a_chunked_stream_is_whole_only_with_its_last_chunk():
    """Guards against a chunked stream whose missing last chunk is made up."""
    check_cut_at_each_byte("chunked")
    check_cut_at_each_byte("chunked", mark_end=True)


def test_a_stream_with_a_length_is_whole_only_at_its_length():
    """Guards against a stream that ends before its Content-Length and looks whole."""
    check_cut_at_each_byte("length")


def call_until_broken_off(d, worker):
    """Repeats calls, each of which must be whole, until a worker has broken one off."""
    def broken():
        a = d.call("/s/x", deadline=3000)
        assert a.status == 200 and a.whole, (a.status, a.whole, a.body)
        assert a.body == body_of(worker, a.ident), a.body
        return worker.runs[a.ident]
    wait_until(broken, 10)


def test_an_unframed_stream_cut_inside_an_event_is_resumed():
    """Guards against a stream without framing that is not resumed, though its route allows
    it and its VM has broken it off amid an event."""
    with deployment(workers=2, resumable=True, attempts=2) as d:
        worker = d.workers[0]
        event = len(body_of(worker, "%016x" % 1)) // EVENTS
        for sent in (0, 1, event - 1, event + 9, 2 * event + 1, 3 * event - 1):
            worker.fault = break_off("close", sent)
            call_until_broken_off(d, worker)


def named_events(ids, upto):
    """Returns a worker fault that sends events with these ids, and resets after upto of
    them, unless the request goes on with the stream."""
    def fault(w, req, conn):
        w.runs[req.get("Rillknot-Attempt-Id")] += 1
        after = req.get("Last-Event-Id")
        first = ids.index(after) + 1 if after else 0
        last = len(ids) if after else upto
        conn.sendall(w.head(req, framing=w.framing_header("chunked", 0),
                            extra=b"Content-Type: text/event-stream\r\n"))
        for n in range(first, last):
            line = b"id: %s\n" % ids[n].encode() if ids[n] else b""
            w.send_body(conn, "chunked", b"%sdata: %d\n\n" % (line, n))
        if last == len(ids):
            return w.end_body(conn, "chunked")
        time.sleep(0.05)
        reset(conn)
        return False
    return fault


def test_a_broken_stream_with_long_or_no_ids_repeats_no_event():
    """Guards against events that come twice as a stream is begun anew after a break.

    Event ids of 32 bytes or more, as UUIDs are, were taken for none.
    """
    uuids = ["%08d-3f1c-4a77-9e52-c07a5d1be6f0" % n for n in range(6)]
    for ids, resumes in ((uuids, True), ([u * 8 for u in uuids], False), ([""] * 6, False)):
        with deployment(workers=2, resumable=True, attempts=2) as d:
            for w in d.workers:
                w.fault = named_events(ids, 3)
            a = d.call("/s/x")
            found = [int(x[6:]) for x in a.body.split(b"\n") if x.startswith(b"data: ")]
            assert found == list(range(6 if resumes else 3)), (ids[0], found)
            assert a.whole == resumes, (ids[0], a.status, a.whole)


def crash_between_events(d, upto):
    """Returns a worker fault that sends whole events without framing, and then ends as a
    killed process: the kernel closes its listener and its connections in order."""
    def fault(w, req, conn):
        ident = req.get("Rillknot-Attempt-Id")
        first = int(req.get("Last-Event-Id", 0)) + 1
        crashes = not any(other.stopped for other in d.workers)
        conn.sendall(w.head(req, extra=b"Content-Type: text/event-stream\r\n"))
        w.runs[ident] += 1
        last = upto if crashes else w.events
        conn.sendall(b"".join(w.event(req, n) for n in range(first, last + 1)))
        if crashes:
            w.stopped = True
            w.stop_listening()
        return False
    return fault


def test_an_unframed_stream_whose_vm_crashes_between_events_is_not_whole():
    """Guards against a stream without framing that ends as complete when its VM is killed.

    It stops between two events, so that the stream itself can't tell.
    """
    for resumable in (True, False):
        for upto in range(1, EVENTS + 1):
            with deployment(workers=2, resumable=resumable, attempts=2) as d:
                for w in d.workers:
                    w.fault = crash_between_events(d, upto)
                a = d.call("/s/x", ident=SHORT_ID)
                sent = body_of(d.workers[0], SHORT_ID)
                assert a.status == 200 and a.whole == resumable, (upto, a.status, a.whole)
                if resumable:
                    assert a.body == sent, (upto, a.body)
                else:
                    assert sent.startswith(a.body), (upto, a.body)


def test_callers_that_leave_while_an_end_is_checked_leave_no_call_in_flight():
    """Guards against a call that is used after its caller has left during the check."""
    with deployment() as d:
        d.workers[0].framing = "close"
        for _ in range(60):
            s = d.connect()
            s.sendall(b"POST /s/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
                      b"Rillknot-Attempt-Id: %016x\r\nRillknot-Deadline-Ms: 2000\r\n"
                      b"Content-Length: 0\r\n\r\n" % next(d.ids))
            s.recv(200)
            reset(s)
        a = d.call("/s/x")
        assert a.status == 200 and a.whole, (a.status, a.whole)


def test_an_unframed_stream_is_whole_with_its_last_event():
    """Guards against a whole stream without framing that is resumed or cut."""
    for resumable in (False, True):
        with deployment(workers=2, resumable=resumable, attempts=2) as d:
            for w in d.workers:
                w.framing = "close"
            for _ in range(8):
                a = d.call("/s/x")
                assert a.whole and a.body == body_of(d.workers[0], a.ident), a.body
                assert d.runs(a.ident) == 1


def test_what_follows_the_last_event_of_an_unframed_stream_is_no_event():
    """Guards against empty lines or a comment behind the last event that are taken for an
    event which was broken off."""
    def fault(w, req, conn):
        w.runs[req.get("Rillknot-Attempt-Id")] += 1
        conn.sendall(w.head(req, extra=b"Content-Type: text/event-stream\r\n") +
                     b"id: 1\r\ndata: a\r\n\r\n\r\n: that is all\r\n")
        return False
    for resumable in (False, True):
        with deployment(resumable=resumable) as d:
            d.workers[0].fault = fault
            a = d.call("/s/x")
            assert a.whole and a.body.endswith(b"data: a\r\n\r\n\r\n: that is all\r\n"), a.body


def test_an_unframed_answer_that_is_no_event_stream_passes():
    """Guards against a JSON answer or a failure on a streaming route that is searched for
    events."""
    def answer(status):
        def fault(w, req, conn):
            conn.sendall(w.head(req, status, extra=b"Content-Type: application/json\r\n") +
                         b"{\"id\": 1}")
            return False
        return fault
    with deployment() as d:
        for status in (200, 400, 500):
            d.workers[0].fault = answer(status)
            a = d.call("/s/x")
            assert (a.status, a.whole, a.body) == (status, True, b"{\"id\": 1}")


def test_a_resumed_stream_may_have_no_more_events():
    """Guards against an endless resume: a VM from which a caller takes up a stream after its
    last event answers with no event at all."""
    with deployment(workers=2, resumable=True, attempts=2) as d:
        for w in d.workers:
            w.framing = "close"
        a = d.call("/s/x", headers=[("Last-Event-Id", str(EVENTS))])
        assert a.status == 200 and a.whole and a.body == b"", (a.status, a.body)
        assert d.runs(a.ident) == 1


def long_event(framing, length):
    """Returns a worker fault that sends a whole stream with one event of so many bytes."""
    def fault(w, req, conn):
        w.runs[req.get("Rillknot-Attempt-Id")] += 1
        body = b"id: 1\ndata: " + b"x" * length + b"\n\n"
        conn.sendall(w.head(req, framing=w.framing_header(framing, len(body)),
                            extra=b"Content-Type: text/event-stream\r\n"))
        w.send_body(conn, framing, body)
        return w.end_body(conn, framing)
    return fault


def test_a_stream_with_a_long_event_is_whole_or_looks_cut():
    """Guards against a stream that ends at an event longer than the node can hold, framed as
    complete."""
    for resumable in (False, True):
        with deployment(workers=1, resumable=resumable) as d:
            for framing in FRAMINGS:
                for length in (1000, EVENT_MAX_BYTES - 100, EVENT_MAX_BYTES + 100, 400000):
                    d.workers[0].fault = long_event(framing, length)
                    a = d.call("/s/x")
                    whole = len(a.body) == length + len(b"id: 1\ndata: \n\n")
                    assert not (a.status == 200 and a.whole) or whole, \
                        (framing, length, a.status, len(a.body))
                    assert whole or length > EVENT_MAX_BYTES - 100, (framing, length, a.status)


def test_plain_answers_pass_under_each_framing():
    """Guards against a plain answer that depends on its framing."""
    with Hosted() as d:
        worker = d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        for framing in FRAMINGS:
            worker.framing = framing
            for _ in range(3):
                a = d.call("/r/x")
                assert a.status == 200 and a.whole and a.ident.encode() in a.body


def test_a_call_that_ends_early_is_logged_with_its_framing():
    """Guards against logs that don't tell a stream that was broken off from a whole one."""
    with deployment(workers=2, resumable=True, attempts=2) as d:
        for w in d.workers:
            w.fault = break_off("close", 5)
        a = d.call("/s/x")
        assert not a.whole or a.status != 200

        def logged(name):
            return [e for e in d.nodes[0].events()
                    if e["event"] == name and e["request"] == a.ident]
        wait_until(lambda: logged("call.end"), 5)
        failed = logged("call.attempt_failed")
        assert {e["framing"] for e in failed + logged("call.end")} == {"close"}, failed
        assert "inside an event" in failed[0]["what"], failed


def block_connects(worker):
    """Makes connects to a worker hang: its listener takes no more, and its queue is full.

    Returns the connections that fill the queue.
    """
    worker.sock.shutdown(socket.SHUT_RDWR)
    worker.sock.close()
    worker.sock = socket.socket()
    worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    worker.sock.bind(("127.0.0.1", worker.port))
    worker.sock.listen(0)
    fill = []
    for _ in range(4):
        s = socket.socket()
        s.setblocking(False)
        s.connect_ex(("127.0.0.1", worker.port))
        fill.append(s)
    return fill


def test_a_vm_that_moves_while_its_stream_is_checked_keeps_its_connection_limit():
    """Guards against a connection that is given back to another address than it was taken of.

    A stream without framing has ended, and the node connects to its VM to ask whether that
    lives. Meanwhile the VM's entry gets another address.
    """
    with deployment(max_conns=1) as d:
        first = d.workers[0]
        first.events, first.gap_s, first.framing = 12, 0.05, "close"
        stream = threading.Thread(target=d.call, args=("/s/x",), kwargs={"deadline": 2000})
        stream.start()
        wait_until(lambda: first.events_sent, 5)
        fill = block_connects(first)
        wait_until(lambda: sum(first.events_sent.values()) == 12, 5)
        second = Worker("llm", first.zone, 12, first.slots)
        second.id, second.born, second.framing = first.id, first.born, "chunked"
        second.gap_s = 0.05
        d.workers.append(second)
        d.store.put("servers", second.id, second.spec())
        stream.join()
        calls = [threading.Thread(target=d.call, args=("/s/x",), kwargs={"deadline": 2000})
                 for _ in range(3)]
        for t in calls:
            t.start()
        time.sleep(0.4)
        assert second.seen and len(second.conns) == 1, (len(second.seen), len(second.conns))
        for t in calls:
            t.join()
        for s in fill:
            s.close()


def crash_amid_body(d, body, sent, status):
    """Returns a worker fault that sends a part of a plain answer without framing, and then ends as
    a killed process; the other workers answer as a whole."""
    def fault(w, req, conn):
        w.runs[req.get("Rillknot-Attempt-Id")] += 1
        crashes = not any(other.stopped for other in d.workers)
        conn.sendall(w.head(req, status) + (body[:sent] if crashes else body))
        if crashes:
            w.stopped = True
            w.stop_listening()
        return False
    return fault


def test_an_unframed_plain_answer_whose_vm_crashes_is_not_whole():
    """Guards against a part of a plain answer without framing that ends as a whole one when its VM
    is killed."""
    body = b"0123456789" * 100
    for kind, sent, status in itertools.product(("idempotent", "non_idempotent"),
                                                (0, 1, 500, 999), (200, 404)):
        with Hosted(bounds={"budgetExtra": 4000}) as d:
            for _ in range(2):
                d.add_worker("plain")
            for w in d.workers:
                w.fault = crash_amid_body(d, body, sent, status)
            d.configure([d.route("r", "plain", kind, maxAttempts=1)])
            d.wait_ready()
            a = d.call("/r/x")
            assert a.status == 502 or not a.whole, (kind, sent, status, a.status, a.body[:9])
            a = d.call("/r/x", deadline=4000)
            assert a.status == status and a.whole and a.body == body, (kind, sent, a.status)
            a = d.call("/r/x", method="HEAD")
            assert a.status == status, a.status


def test_a_vm_is_not_judged_by_one_connection_after_an_unframed_answer():
    """Guards against a check of a VM that believes its first connection: a process that ends may
    still take one and reset it, and one that lives may reset one as it has too many."""
    body = b"0123456789" * 100
    for lives in (True, False):
        with Hosted(bounds={"budgetExtra": 4000}) as d:
            w = d.add_worker("plain")
            d.configure([d.route("r", "plain", maxAttempts=1)])
            d.wait_ready()

            def reset_one(conn):
                if not lives:
                    w.stop_listening()
                reset(conn)
                del w._serve

            def fault(w, req, conn):
                w._serve = reset_one
                conn.sendall(w.head(req) + body[:len(body) if lives else 500])
                return False
            w.fault = fault
            a = d.call("/r/x")
            assert (a.status == 200 and a.whole) == lives, (lives, a.status, a.whole)


def restart_amid_answer(d, upto):
    """Returns a worker fault that sends a part of an answer without framing and ends; by then,
    another incarnation listens at the address."""
    def fault(w, req, conn):
        w.runs[req.get("Rillknot-Attempt-Id")] += 1
        whole = body_of(w, req.get("Rillknot-Attempt-Id")) if w.events else b"0123456789" * 100
        kind = b"Content-Type: text/event-stream\r\n" if w.events else b""
        conn.sendall(w.head(req, extra=kind) + whole[:len(whole) * upto // EVENTS])
        w.stop_listening()
        d.workers.append(Worker(w.service, w.zone, w.events, port=w.port))
        return False
    return fault


def test_an_unframed_answer_is_not_confirmed_by_another_incarnation():
    """Guards against an answer without framing that ends as whole as another incarnation of its
    crashed VM, or another VM, has the address by the time the end arrives."""
    for events, upto in itertools.product((0, EVENTS), range(1, EVENTS)):
        with Hosted(bounds={"budgetExtra": 4000}) as d:
            w = d.add_worker("plain", events=events)
            w.fault = restart_amid_answer(d, upto)
            d.configure([d.route("r", "plain", "streaming" if events else "idempotent",
                                 resumable=False, maxAttempts=1)])
            d.wait_ready()
            a = d.call("/r/x", ident=SHORT_ID)
            assert len(d.workers) == 2
            assert a.status == 502 or not a.whole, (events, upto, a.status, a.body)
