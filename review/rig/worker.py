"""A worker as PROTOCOL.md has it: a process of its own, so that it can be killed.

The one argument is a JSON object: id, log, addr ("ip:port", port 0: any), and
  events      0: a plain answer; else a stream of so many events
  text        what it generates as each token ("token")
  gap_ms      before each event, or each piece of a plain answer (0)
  first_ms    before the first byte (15)
  body_bytes  of a plain answer (800), sent in `pieces` (1)
  framing     "length", "chunked" or "close": how the end of a body is told
  slots       requests at once; those beyond are shed, not run (64)
  surplus     0: none; else one answer of so many, by which a request was shed, is sent a second
              time, late: on the same connection, once the next request has come there
  shed_id     whether an answer that sheds carries the request's id (true)
  preamble    a comment that each stream begins with, as ": worker 7" ("")
  odd_line    a line that spoils the head of every odd_every-th answer that is run
It prints its address, and logs "TIME WHAT REQUEST-ID" lines: begins, ends (its whole answer
was handed to the system), left (its caller's side closed). TIME is the monotonic clock.
"""
import json
import os
import socket
import sys
import threading
import time

opt = json.loads(sys.argv[1])
log = os.open(opt["log"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)


def note(what, ident):
    os.write(log, b"%.4f %s %s\n" % (time.monotonic(), what.encode(), ident.encode() or b"-"))


def plain_body(server, ident, size):
    text = ("answer of %s to %s. " % (server, ident)).encode()
    return (text * (size // len(text) + 1))[:size]


def event(server, ident, number):
    return b"id: %d\ndata: %s %s %d\n\n" % (number, ident.encode(),
                                           opt.get("text", "token").encode(), number)


def frame(framing, data):
    return b"%x\r\n%s\r\n" % (len(data), data) if framing == "chunked" else data


running = threading.Semaphore(opt.get("slots", 64))
lock = threading.Lock()
counts = {"answers": 0, "repeated": 0}
runs = iter(range(1, 1 << 60))


def may_repeat():
    """Return whether one more answer may be sent a second time."""
    with lock:
        if not opt.get("surplus") or counts["repeated"] >= counts["answers"] // opt["surplus"]:
            return False
        counts["repeated"] += 1
        return True


def shed(conn, ident):
    """Answer a request that is not run, as all slots are taken. Returns the answer's bytes."""
    name = b"Rillknot-Attempt-Id: %s\r\n" % ident.encode() if opt.get("shed_id", True) else b""
    data = (b"HTTP/1.1 503 Service Unavailable\r\nRillknot-Not-Executed: 1\r\n%s"
            b"Content-Length: 0\r\n\r\n" % name)
    note("sheds", ident)
    conn.sendall(data)
    return data


def answer(conn, headers, body):
    """Answer one request. Returns whether the connection stays open, and what of it may be
    sent once more."""
    ident = headers.get("rillknot-attempt-id", "")
    if not running.acquire(blocking=False):
        return True, shed(conn, ident)
    try:
        return run(conn, headers, body), b""
    finally:
        running.release()


def run(conn, headers, body):
    """Answer one request. Returns whether the connection stays open."""
    ident = headers.get("rillknot-attempt-id", "")
    framing = opt.get("framing", "length")
    gap = opt.get("gap_ms", 0) / 1000
    if not ident:
        conn.sendall(b"HTTP/1.1 400 Bad Request\r\nRillknot-Not-Executed: 1\r\n"
                     b"Content-Length: 0\r\n\r\n")
        return True
    if headers.get("rillknot-expect-instance", opt["id"]) != opt["id"]:
        conn.sendall(b"HTTP/1.1 421 Misdirected Request\r\nRillknot-Instance-Id: %s\r\n"
                     b"Content-Length: 0\r\n\r\n" % opt["id"].encode())
        return True
    note("begins", ident)
    time.sleep(opt.get("first_ms", 15) / 1000)
    if opt.get("events"):
        last = headers.get("last-event-id", "0")
        first = int(last) + 1 if last.isdigit() else 1
        parts = [event(opt["id"], ident, n) for n in range(first, opt["events"] + 1)]
        if opt.get("preamble"):
            parts.insert(0, opt["preamble"].encode() + b"\n\n")
        kind = b"Content-Type: text/event-stream\r\n"
    else:
        whole = plain_body(opt["id"], ident, opt.get("body_bytes", 800))
        size = -(-len(whole) // opt.get("pieces", 1))
        parts = [whole[i:i + size] for i in range(0, len(whole), size)]
        kind = b"Content-Type: application/octet-stream\r\n"
    line = {"length": b"Content-Length: %d\r\n" % sum(map(len, parts)),
            "chunked": b"Transfer-Encoding: chunked\r\n", "close": b"Connection: close\r\n"}[framing]
    if opt.get("odd_line") and next(runs) % opt["odd_every"] == 0:
        note("spoils", ident)
        kind += opt["odd_line"].encode("latin-1") + b"\r\n"
    head = (b"HTTP/1.1 200 OK\r\nRillknot-Attempt-Id: %s\r\nRillknot-Server-Signature: %s.%s\r\n"
            b"%s%s\r\n" % (ident.encode(), opt["id"].encode(), ident.encode(), kind, line))
    try:
        conn.sendall(head + (frame(framing, parts[0]) if parts else b""))
        for part in parts[1:]:
            time.sleep(gap)
            conn.sendall(frame(framing, part))
        if framing == "chunked":
            conn.sendall(b"0\r\n\r\n")
    except OSError:
        note("left", ident)
        raise
    note("ends", ident)
    return framing != "close"


def serve(conn):
    buf, surplus = b"", b""
    try:
        while True:
            while b"\r\n\r\n" not in buf:
                part = conn.recv(65536)
                if not part:
                    return
                buf += part
            head, buf = buf.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines[1:])}
            length = int(headers.get("content-length", 0))
            while len(buf) < length:
                part = conn.recv(65536)
                if not part:
                    return
                buf += part
            body, buf = buf[:length], buf[length:]
            if lines[0].split(" ")[1] == "/healthz":
                conn.sendall(b"HTTP/1.1 200 OK\r\nRillknot-Instance-Id: %s\r\n"
                             b"Content-Length: 0\r\n\r\n" % opt["id"].encode())
                continue
            if surplus:
                note("repeats", headers.get("rillknot-attempt-id", ""))
                conn.sendall(surplus)
            stays, sent = answer(conn, headers, body)
            with lock:
                counts["answers"] += 1
            surplus = sent if sent and may_repeat() else b""
            if not stays:
                return
    except OSError:
        pass
    finally:
        conn.close()


ip, port = opt["addr"].split(":")
sock = socket.socket()
sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
sock.bind((ip, int(port)))
sock.listen(256)
print("%s:%d" % sock.getsockname(), flush=True)
while True:
    c, _ = sock.accept()
    c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=serve, args=(c,), daemon=True).start()
