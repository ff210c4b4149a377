"""Promise 10 (issue 4): bad input over real sockets. A node fed garbage on every
port goes on serving, and its memory stays bounded."""
import random
import socket
import time

from cluster import call, chat, request
from fakes import small


def rss_kb(p):
    with open("/proc/%d/status" % p.popen.pid) as f:
        return next(int(x.split()[1]) for x in f if x.startswith("VmRSS"))


def throw(port, data, wait=0.2):
    try:
        s = socket.create_connection(("127.0.0.1", port), 2)
        s.settimeout(wait)
        s.sendall(data)
        try:
            return s.recv(65536)
        except (socket.timeout, OSError):
            return b""
        finally:
            s.close()
    except OSError:
        return b""


def test_garbage_on_every_port():
    rng = random.Random(3)
    with small(services=1) as c:
        e = c.entries[0]
        forward = int(e.conf["forward_listen"].rsplit(":", 1)[1])
        before = rss_kb(e)
        for i in range(120):
            data = bytes(rng.randrange(256) for _ in range(rng.randrange(1, 3000)))
            for port in (e.port, e.control, forward):
                throw(port, data if i % 3 else b"\x00\x00\x10\x00" + data, 0.02)
        assert chat(e.port, "still there?").whole()
        assert call(e.port, "slots/confirm", "k").whole()
        grown = rss_kb(e) - before
        assert grown < 16000, grown
        return "360 connections of garbage, memory grew by %d kB" % grown


def test_malformed_requests_get_a_clear_4xx():
    with small(services=1) as c:
        p = c.entries[0].port
        org = {"Rillknot-Organisation": "patients"}
        cases = [
            ("GET", "/nothing", b"", org, 404),
            ("POST", "/services/slots/confirm", b"", {}, 400),
            ("POST", "/services/slots/confirm", b"", {**org, "Idempotency-Key": "x" * 300}, 400),
            ("POST", "/services/slots/confirm", b"", org, 428),
            ("POST", "/services/nothing/x", b"", org, 404),
            ("POST", "/services/slots/../etc", b"", org, 400),
            ("POST", "/services/slots/find", b"", {"Rillknot-Organisation": "nobody"}, 403),
            ("POST", "/services/slots/find", b"", {**org, "Rillknot-Class": "none"}, 400),
            ("POST", "/services/slots/find", b"", {**org, "Rillknot-Deadline-Ms": "-1"}, 400),
            ("POST", "/v1/chat/completions", b"{", org, 400),
            ("POST", "/v1/chat/completions", b'{"model":"booking"}', org, 400),
            ("POST", "/v1/completions", b'{"model":"none","prompt":"x"}', org, 404),
            ("GET", "/v1/completions", b"", org, 400),
            ("POST", "/services/slots/find", b"x" * 2000000, org, 413),
        ]
        for method, path, body, headers, want in cases:
            a = request(p, method, path, body, headers)
            assert a.status == want, (method, path, headers, a.status, a.error, a.body)
            assert a.headers["content-type"] == "application/problem+json"
            assert b'"detail"' in a.body
        return "%d kinds" % len(cases)


def test_slow_callers_take_no_thread():
    """Hundreds of half-sent requests; others are served as before."""
    with small(services=1) as c:
        p = c.entries[0].port
        slow = []
        for _ in range(300):
            s = socket.create_connection(("127.0.0.1", p), 2)
            s.sendall(b"POST /services/slots/find HTTP/1.1\r\nContent-Length: 10\r\nX: ")
            slow.append(s)
        start = time.monotonic()
        for i in range(30):
            assert call(p, "slots/find", body=b"%d" % i).whole()
        took = time.monotonic() - start
        for s in slow:
            s.close()
        assert took < 10, took
        return "30 calls in %.2f s beside 300 half-sent ones" % took


def test_a_caller_that_does_not_read():
    with small(services=0, engine_args=["--step-ms", "0"]) as c:
        p = c.entries[0].port
        before = rss_kb(c.entries[0])
        body = (b'{"model":"booking","stream":true,"max_tokens":20000,'
                b'"messages":[{"content":"x"}]}')
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.connect(("127.0.0.1", p))
        s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  b"Rillknot-Organisation: patients\r\nContent-Length: %d\r\n\r\n" % len(body)
                  + body)
        time.sleep(4)
        assert chat(p, "are you there").whole()
        grown = rss_kb(c.entries[0]) - before
        s.close()
        assert grown < 16000, grown
        return "memory grew by %d kB" % grown
