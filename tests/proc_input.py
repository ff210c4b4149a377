"""Promise 10: bad input over real sockets. A node that receives garbage on every port
must continue to serve, and its memory must stay bounded."""
import random
import socket
import time

from cluster import call, chat, request
from fakes import small_cluster


def rss_kb(process):
    """Returns the process's resident memory in kB."""
    with open("/proc/%d/status" % process.popen.pid) as f:
        return next(int(x.split()[1]) for x in f if x.startswith("VmRSS"))


def send_raw(port, data, timeout_s=0.2):
    """Sends bytes on a new connection. Returns what comes back within timeout_s
    seconds, b"" if nothing does."""
    try:
        s = socket.create_connection(("127.0.0.1", port), 2)
        s.settimeout(timeout_s)
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
    """Random bytes on the public, control and forward ports, one time in three behind a
    frame length of 4096: the node must still serve, and grow by less than 16 MB."""
    rng = random.Random(3)
    with small_cluster(services=1) as c:
        entry = c.entries[0]
        forward = int(entry.conf["forward_listen"].rsplit(":", 1)[1])
        before_kb = rss_kb(entry)
        for i in range(120):
            data = bytes(rng.randrange(256) for _ in range(rng.randrange(1, 3000)))
            for port in (entry.port, entry.control, forward):
                send_raw(port, data if i % 3 else b"\x00\x00\x10\x00" + data, 0.02)
        assert chat(entry.port, "still there?").whole()
        assert call(entry.port, "slots/confirm", "k").whole()
        growth_kb = rss_kb(entry) - before_kb
        assert growth_kb < 16000, growth_kb
        return "360 connections of garbage, memory grew by %d kB" % growth_kb


def test_malformed_requests_get_a_clear_4xx():
    """Each kind of malformed request must get its own 4xx status and a problem
    description with a detail."""
    with small_cluster(services=1) as c:
        port = c.entries[0].port
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
        for method, path, body, headers, expected_status in cases:
            a = request(port, method, path, body, headers)
            assert a.status == expected_status, (method, path, headers, a.status, a.error, a.body)
            assert a.headers["content-type"] == "application/problem+json"
            assert b'"detail"' in a.body
        return "%d kinds of malformed requests" % len(cases)


def test_slow_callers_take_no_thread():
    """300 connections that send half a request must not delay other callers."""
    with small_cluster(services=1) as c:
        port = c.entries[0].port
        half_sent = []
        for _ in range(300):
            s = socket.create_connection(("127.0.0.1", port), 2)
            s.sendall(b"POST /services/slots/find HTTP/1.1\r\nContent-Length: 10\r\nX: ")
            half_sent.append(s)
        start = time.monotonic()
        for i in range(30):
            assert call(port, "slots/find", body=b"%d" % i).whole()
        took_s = time.monotonic() - start
        for s in half_sent:
            s.close()
        assert took_s < 10, took_s
        return "30 calls in %.2f s beside 300 half-sent requests" % took_s


def test_a_caller_that_does_not_read():
    """A caller that does not read its stream must neither stop other callers nor make
    the node buffer the whole stream."""
    with small_cluster(services=0, engine_args=["--step-ms", "0"]) as c:
        port = c.entries[0].port
        before_kb = rss_kb(c.entries[0])
        body = (b'{"model":"booking","stream":true,"max_tokens":20000,'
                b'"messages":[{"content":"x"}]}')
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.connect(("127.0.0.1", port))
        s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  b"Rillknot-Organisation: patients\r\nContent-Length: %d\r\n\r\n" % len(body)
                  + body)
        time.sleep(4)
        assert chat(port, "are you there").whole()
        growth_kb = rss_kb(c.entries[0]) - before_kb
        s.close()
        assert growth_kb < 16000, growth_kb
        return "memory grew by %d kB" % growth_kb


ODD_ROW = ('{"id":%s,"addr":%s,"failure_domain":"klein-hall","service":"slots","vm_class":"small",'
           '"incarnation":1,"state":"live","token":%s}')
ODD_IDS = ('"odd"', '"odd&"', '"%s"' % ("x" * 300), '"a\\u0000b"', '"a\\nb"', '""', "7", "null")
ODD_ADDRESSES = ('"127.0.0.1:99999"', '"127.0.0.1:0"', '"127.0.0.1:-1"', '"%s"' % ("9" * 400),
                 '"127.0.0.1:4294967376"', '""', "80", "{}", "null")


def test_odd_rows_of_the_vm_list_hide_no_vms():
    """Guards against a row of another writer that is nested deep, large or no VM's: a node that
    started then read no row of the list, or sent calls to an address that is none."""
    tokens = ["%s1%s" % (a * n, b * n) for a, b in (("[", "]"), ('{"a":', "}"))
              for n in (31, 600, 100000)] + ["[%s0]" % ("{}," * 300000), "9" * 400, "1e999"]
    rows = [ODD_ROW % ('"odd"', '"127.0.0.1:9"', token) for token in tokens[:-2]]
    rows += [ODD_ROW % (ident, '"127.0.0.1:99999"', "0") for ident in ODD_IDS]
    rows += [ODD_ROW % ('"odd"', addr, token) for addr in ODD_ADDRESSES for token in tokens[-2:]]
    rows += [tokens[2], "null", "7", '"x"', "[]", "{}"]
    with small_cluster(services=1) as c:
        entry = c.entries[0]
        for i, row in enumerate(rows):
            assert request(c.platform.port, "POST", "/_rows", row.encode()).status == 200
            if i % 4 == 0:
                entry.kill()
                entry = c.add_entry(entry.name, entry.domain)
                c.wait_ready()
            answers = [call(entry.port, "slots/confirm", "k-%d-%d" % (i, n)) for n in range(3)]
            assert all(a.whole() and a.status == 200 for a in answers), \
                (row[:90], [(a.status, a.error) for a in answers])
        assert entry.popen.poll() is None
