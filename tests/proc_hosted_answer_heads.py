"""Answers that are no HTTP, or end before they are whole: callers get a failure, or what looks
broken off, and never a success that the VM did not send."""
import collections
import itertools
import socket
import time

from hosted import Hosted, reset, wait_until

BODY = b"0123456789" * 80
LONG_BODY = 6000000  # bytes, far more than the kernels on the way hold
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": LONG_BODY, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}
CONTROLS = [bytes([c]) for c in range(0x20) if c not in b"\t\r\n"] + [b"\x7f"]
STATUS_LINES = [b"HTTP/1.1 %s" % s for s in (
    b"000 X", b"000", b"020 X", b"20 X", b"2 X", b"0200 OK", b"00200 OK", b"099 X", b"600 X",
    b"999 X", b"1000 X", b"2000 OK", b"99999999999 X", b"-200 X", b"+200 X", b"2e2 X", b"0x0 X",
    b" 200 OK", b"2 00 OK", b"200OK", b"", b"OK", b"\xb2\xb0\xb0 OK")] + [
    b"HTTP/2.0 200 OK", b"HTTP/0.9 200 OK", b"HTTP/11.1 200 OK", b"HTTP/1 200 OK", b"http/1.1 200 OK",
    b"HTTP/1.1\t200 OK", b"ICY 200 OK", b"HTTP/1.1 200 O\x01K"]
FIELDS = [b"X Cache: miss", b"X-Cache : miss", b"X\tCache: miss", b"X-Cache\t: miss", b": miss",
          b"X\x80Cache: miss", b"X-Cache"] + \
    [b"X%sCache: miss" % c for c in (b"(", b")", b"<", b">", b"@", b",", b";", b"\"", b"/", b"[",
                                     b"]", b"?", b"=", b"{", b"}", b"\\")] + \
    [b"X%sCache: miss" % c for c in CONTROLS] + [b"%sX-Cache: miss" % c for c in CONTROLS] + \
    [b"X-Cache: mi%sss" % c for c in CONTROLS + [b"\r"]] + \
    [b"Transfer-Encoding: gzip", b"Transfer-Encoding: gzip, chunked",
     b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", b"Content-Length: 5, 5",
     b"Content-Length: 5\r\nContent-Length: 6", b"Content-Length: 0x5", b"Content-Length: +5",
     b"Content-Length: -1", b"Content-Length: 5\r\nTransfer-Encoding: chunked"]


def deployment(kind="idempotent", events=0):
    d = Hosted(bounds={"budgetExtra": 4000}).start()
    d.add_worker("plain", events=events)
    d.configure([d.route("r", "plain", kind, maxAttempts=1)], limits=LIMITS)
    d.wait_ready()
    return d


def answers_with(d, data):
    """Return the answer to a call whose VM sends these bytes and closes."""
    def fault(w, req, conn):
        w.runs[req.get("Rillknot-Attempt-Id")] += 1
        conn.sendall(data(w, req))
        return False
    d.workers[0].fault = fault
    return d.call("/r/x")


def head(w, req, status_line, fields):
    return b"\r\n".join([status_line] + fields + [b"", b""])


def sound_fields(w, req, framing):
    return [b"Rillknot-Attempt-Id: " + req.get("Rillknot-Attempt-Id").encode(),
            b"Rillknot-Server-Signature: " + w.signature(req).encode()] + framing


def framed(framing):
    """Return the header lines and the bytes of a whole body."""
    if framing == "chunked":
        return [b"Transfer-Encoding: chunked"], b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
    if framing == "length":
        return [b"Content-Length: %d" % len(BODY)], BODY
    return [], BODY


def check_failures(cases):
    """Check that a call fails by each answer: (what, function that returns its bytes)."""
    wrong = []
    with deployment() as d:
        for what, data in cases:
            a = answers_with(d, data)
            if a.status != 502:
                wrong.append((what, a.status, a.headers, a.body[:60]))
        d.workers[0].fault = None
        assert d.call("/r/x").status == 200
    assert not wrong, (len(wrong), wrong[:5])
    return "%d answers" % len(cases)


def test_answers_whose_status_is_none_are_failures():
    """Guards against an answer with a status line that is no HTTP, as "HTTP/1.1 000", and is passed
    on."""
    cases = []
    for line, framing in itertools.product(STATUS_LINES, ("length", "chunked", "close")):
        lines, body = framed(framing)
        cases.append(((line, framing), lambda w, req, s=line, f=lines, b=body:
                      head(w, req, s, sound_fields(w, req, f)) + b))
    return check_failures(cases)


def test_answers_whose_fields_are_malformed_are_failures():
    """Guards against a header line that is no HTTP, as one with a blank in its name, and is passed
    on: callers read another body than the VM's."""
    cases = []
    for field, at in itertools.product(FIELDS, (0, 1, 3)):
        lines, body = framed("length" if b"Content-L" not in field and b"Transfer" not in field
                             else "close")
        cases.append(((field, at), lambda w, req, x=field, n=at, f=lines, b=body:
                      head(w, req, b"HTTP/1.1 200 OK", (lambda g: g[:n] + [x] + g[n:])(
                          sound_fields(w, req, f))) + b))
    return check_failures(cases)


def test_a_malformed_head_behind_an_interim_one_is_a_failure():
    """Guards against a status line that is checked only where it begins an answer."""
    lines, body = framed("length")
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    return check_failures([
        ((line, count), lambda w, req, s=line, n=count: interim * n +
         head(w, req, s, sound_fields(w, req, lines)) + body)
        for line in STATUS_LINES for count in (1, 3)])


def test_sound_heads_in_single_bytes_are_passed_on():
    """Guards against a check of the status line that depends on how an answer arrives."""
    with deployment() as d:
        for interim, framing in itertools.product((b"", b"HTTP/1.1 103 X\r\n\r\n" * 2, b"\r\n"),
                                                  ("length", "chunked", "close")):
            lines, body = framed(framing)

            def fault(w, req, conn, first=interim, f=lines, b=body):
                for byte in first + head(w, req, b"HTTP/1.1 200 OK", sound_fields(w, req, f)):
                    conn.sendall(bytes([byte]))
                conn.sendall(b)
                return bool(f)  # a close that no header tells would meet the next call
            d.workers[0].fault = fault
            a = d.call("/r/x")
            assert a.status == 200 and a.whole and a.body == BODY, (interim, framing, a.status)


def test_an_answer_cut_inside_its_head_is_a_failure():
    """Guards against an answer whose VM stops inside the head and closes, and that is passed on with
    an empty or short body, framed as whole."""
    wrong = []
    for kind in ("idempotent", "streaming"):
        with deployment(kind) as d:
            d.workers[0].id = "i-1"
            d.store.put("servers", "i-1", d.workers[0].spec())
            for framing in ("length", "chunked", "close"):
                lines, _ = framed(framing)

                def whole(w, req, f=lines):
                    return head(w, req, b"HTTP/1.1 200 OK", [b"A: b"] + sound_fields(w, req, f))
                length = len(whole(d.workers[0], type("R", (), {"get": lambda *a: "%016x" % 0})))
                for cut in range(length):
                    a = answers_with(d, lambda w, req, n=cut: whole(w, req)[:n])
                    if a.status < 500:
                        wrong.append((kind, framing, cut, a.status, a.whole, a.body))
    assert not wrong, (len(wrong), wrong[:5])


def ends_upload(how, status, part, read):
    """Return a function that answers a long upload at once without a length, and then ends the
    connection: by a reset, a close, or a close that is followed by a reset."""
    def answer_early(w, req, conn):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if read:
            conn.recv(read)
        conn.sendall(w.head(req, status) + BODY[:part])
        if how == "close":
            conn.shutdown(socket.SHUT_WR)
            time.sleep(0.02)
        elif how == "late reset":
            time.sleep(0.1)
        reset(conn)
        raise OSError
    return answer_early


def test_an_unframed_answer_that_is_reset_amid_the_upload_is_not_whole():
    """Guards against a reset that is noticed by a send and then taken for the end of an answer
    without a length: its first part was passed on as a whole success."""
    wrong, calls = [], 0
    for kind in ("idempotent", "non_idempotent", "streaming"):
        with deployment(kind) as d:
            worker = d.workers[0]
            for how, part, read in itertools.product(
                    ("reset", "close", "late reset"), (1, 400, len(BODY)), (0, 200000)):
                for _ in range(3):
                    worker.answer_early = lambda req, conn, f=ends_upload(how, 200, part, read): \
                        f(worker, req, conn)
                    a = d.call("/r/x", body=b"x" * LONG_BODY)
                    calls += 1
                    if a.status == 200 and a.whole:
                        wrong.append((kind, how, part, read))
            worker.answer_early = lambda req, conn: False
            wait_until(lambda: d.call("/r/x", body=b"x" * LONG_BODY).status == 200, 5)
    assert not wrong, (len(wrong), calls, collections.Counter(w[:2] for w in wrong))
    return "%d calls" % calls
