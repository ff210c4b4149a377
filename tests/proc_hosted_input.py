"""Tests of bad input: a hosted node answers it clearly, runs nothing and doesn't crash."""
import collections
import socket
import threading
import time

from hosted import Hosted, read_answer, wait_until
from proc_hosted_calls import plain
from proc_hosted_endless import MEMORY_MB, memory_mb

HEAD = (b"Host: api.example\r\nX-Api-Key: key-1\r\nRillknot-Attempt-Id: bad\r\n")


def send_raw(d, data, shut=False):
    """Sends bytes on a new connection, with `shut` also its end, and returns the answer."""
    s = d.connect()
    s.sendall(data)
    if shut:
        s.shutdown(socket.SHUT_WR)
    return read_answer(s)


def test_malformed_requests_are_refused_and_nothing_runs():
    """Guards against malformed requests that reach a worker, crash the node or are misread.

    Some have an ambiguous length, on which two parsers may disagree (request smuggling).
    """
    cases = {
        b"GARBAGE\r\n\r\n": 400,
        b"GET /r/x\r\n\r\n": 505,
        b"GET /r/x HTTP/1.1\r\nno colon\r\n\r\n": 400,
        b"\x00\x01\x02\x03\r\n\r\n": 400,
        # Two lengths, or a length and chunks, leave the request's end ambiguous.
        b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello": 400,
        b"POST /r/x HTTP/1.1\r\n" + HEAD +
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /r/y HTTP/1.1\r\n\r\n": 400,
        b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n": 400,
        b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Content-Length: -5\r\n\r\n": 400,
        b"GET /r/x HTTP/1.1\r\nX-Api-Key: key-1\r\nRillknot-Attempt-Id: a\r\n\r\n": 404,  # no host
        b"GET /r/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n\r\n": 400,  # no id
        b"GET /r/x HTTP/1.1\r\n" + HEAD + b"X-Long: " + b"a" * 9000 + b"\r\n\r\n": 431,
        b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Content-Length: 70000\r\n\r\n": 413,
        b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Rillknot-Deadline-Ms: 0\r\nContent-Length: 0\r\n\r\n": 408,
    }
    with plain(workers=1) as d:
        for data, status in cases.items():
            a = send_raw(d, data)
            assert a.status == status, (data[:60], a.status, status)
        big = b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        assert send_raw(d, big + b"10000\r\n" + b"x" * 65536 +
                        b"\r\n5\r\nhello\r\n0\r\n\r\n").status == 413
        assert not d.workers[0].seen
        assert d.call("/r/x").status == 200
        assert d.nodes[0].popen.poll() is None


def test_heads_that_two_parsers_read_differently_are_refused():
    """Guards against a header or a target that a VM reads in another way than the node.

    A VM that skips the blank before a colon takes the caller for another organisation, or
    the body for chunks.
    """
    begin = b"POST /r/x HTTP/1.1\r\n" + HEAD
    cases = [begin + line + b"\r\nContent-Length: 0\r\n\r\n" for line in (
        b"Rillknot-Tenant-Id : other", b"Rillknot-Tenant-Id\t: other", b"X-Api-Key : other",
        b"Transfer-Encoding : chunked", b"Content-Length : 5", b"Rillknot Tenant-Id: other",
        b"X-Note: a\x01b", b"X-Note: a\x7fb", b"X-(Note): a")]
    cases += [b"POST /r/x%s HTTP/1.1\r\n" % byte + HEAD + b"Content-Length: 0\r\n\r\n"
              for byte in (b"\ty", b"\x0cy")]
    with plain(workers=1) as d:
        for data in cases:
            assert send_raw(d, data).status == 400, data
        assert not d.workers[0].seen
        tab = begin + b"X-Note: a\tb\r\nContent-Length: 0\r\n\r\n"
        assert send_raw(d, tab).status == 200
        assert d.workers[0].seen[0].get("X-Note") == "a\tb"


def test_thousands_of_pipelined_requests_take_little_memory():
    """Guards against a node that copies the rest of what a caller has sent with each request.

    Requests that are answered at once, without a VM, were taken one inside the other. Here
    they wait behind a call. All are answered, in order, and a call behind them is served.
    """
    count = 6000
    with plain(workers=1) as d:
        d.workers[0].work_s = 0.5
        s = d.connect()
        call = b"GET /r/x HTTP/1.1\r\n" + HEAD + b"\r\n"
        sender = threading.Thread(target=s.sendall,
                                  args=(call + b"GET / HTTP/1.1\r\n\r\n" * count + call,))
        sender.start()
        rest, statuses = [], collections.Counter()
        assert read_answer(s, rest=rest).status == 200
        for _ in range(count):
            statuses[read_answer(s, rest=rest).status] += 1
        assert statuses == {404: count}, statuses
        assert read_answer(s, rest=rest).status == 200
        sender.join()
        assert memory_mb(d.nodes[0]) < MEMORY_MB, memory_mb(d.nodes[0])
        return "%d MB at most" % memory_mb(d.nodes[0])


def test_a_half_sent_head_and_body_end_in_time():
    """Guards against incomplete requests that hold a connection open or reach a worker."""
    with plain(workers=1) as d:
        s = d.connect()
        s.sendall(b"GET /r/x HTTP/1.1\r\nHost: api")
        start = time.monotonic()
        assert read_answer(s).status == 408
        assert 1.0 < time.monotonic() - start < 4.5
        s = d.connect()
        s.sendall(b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Content-Length: 10\r\n\r\nhal")
        s.shutdown(socket.SHUT_WR)
        time.sleep(0.3)
        assert not d.workers[0].seen


def test_a_body_may_pause_for_as_long_as_the_idle_timeout():
    """Guards against bodies that are refused for the time-out of their heads.

    A head that arrived in one read with the first byte of its body left the body that time.
    """
    limits = {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 300,
              "idleTimeoutMs": 5000}
    head = b"POST /r/x HTTP/1.1\r\n" + HEAD + b"Content-Length: 5\r\n\r\n"
    with plain(workers=1) as d:
        d.configure([d.route("r", "plain")], limits=limits)
        for sent in (head, head + b"h"):
            s = d.connect()
            s.sendall(sent)
            time.sleep(1.5)
            s.sendall((head + b"hello")[len(sent):])
            assert read_answer(s).status == 200
        s = d.connect()
        s.sendall(head[:-2])
        start = time.monotonic()
        assert read_answer(s).status == 408
        assert time.monotonic() - start < 4.5
        s = d.connect()
        s.sendall(head + b"h")
        s.settimeout(30)
        start = time.monotonic()
        assert read_answer(s).status == 408
        assert time.monotonic() - start > 4.5


def test_a_body_that_trickles_ends_in_time():
    """Guards against bodies that come a byte at a time: each byte began the idle time-out
    anew, so that callers could hold all connections of a node for as long as they liked."""
    limits = {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 1000,
              "idleTimeoutMs": 1500}
    with plain(workers=1) as d:
        d.configure([d.route("r", "plain", timeoutMs=2500)], limits=limits)
        for framing in (b"Content-Length: 1000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"):
            s = d.connect()
            s.sendall(b"POST /r/x HTTP/1.1\r\n" + HEAD + framing)
            s.settimeout(0.3)
            answer, start = b"", time.monotonic()
            while not answer and time.monotonic() - start < 9:
                try:
                    s.sendall(b"h" if b"Length" in framing else b"1\r\nh\r\n")
                    answer = s.recv(4096)
                except socket.timeout:
                    pass
            assert answer.startswith(b"HTTP/1.1 408 "), answer
            assert time.monotonic() - start > 2
        assert not d.workers[0].seen
        assert d.call("/r/x").status == 200


def test_invalid_settings_are_rejected():
    """Guards against invalid settings that take effect or are rejected without a reason."""
    with plain(workers=1) as d:
        before = d.version
        bad = [
            {"version": 1000},
            {"version": 1001, "routes": "none"},
            {"version": 1002, "routes": [dict(d.route("r", "nowhere"))], "services": []},
            {"version": 1003, "routes": [dict(d.route("r", "plain"), timeoutMs=0)],
             "services": [{"name": "plain"}], "limits": {}},
            {"version": 1004, "routes": [dict(d.route("r", "plain"), pathPrefix="x")],
             "services": [{"name": "plain"}], "limits": {}},
            {"version": 1005, "routes": [d.route("r", "plain")], "services": [{"name": "plain"}],
             "limits": {"maxHeaderBytes": -1}},
            [], "text", None,
        ]
        def rejected():
            return [e for e in d.nodes[0].events() if e["event"] == "settings.rejected"]

        for spec in bad:
            count = len(rejected())
            d.store.put("config", "main", spec)
            if spec is not None:
                wait_until(lambda c=count: len(rejected()) > c, 5)
        time.sleep(0.5)
        assert d.gauge(d.nodes[0], "settings_version") == before
        assert d.call("/r/x").status == 200
        assert len(rejected()) == len(bad) - 1 and all(e["why"] for e in rejected())


def test_names_and_keys_that_are_too_long_are_left_out():
    """Guards against identifiers that are cut to another one's.

    Organisations whose names share their first 47 bytes were one organisation to VMs, and a
    key of 128 bytes was never accepted. An entry that does not fit is left out and logged,
    and the others are in force.
    """
    long = "clinic-otjiwarongo-state-hospital-outpatient-department"  # 55 bytes
    with plain(workers=1) as d:
        tenant = {"unit": "token_stream", "plainTokens": 1, "ratePerS": 0, "burst": 0}
        keys = ["key-1", "k" * 128, "k" * 255, "k" * 256, None, 7]
        d.configure([d.route("r", "plain"), d.route("s" * 60, "plain")],
                    tenants=[dict(tenant, name="clinic", apiKeys=keys),
                             dict(tenant, name=long + "-a", apiKeys=["key-a"]),
                             dict(tenant, name="c" * 47, apiKeys=["key-c"])])
        expected = {"key-1": "clinic", "k" * 128: "clinic", "k" * 255: "clinic",
                    "k" * 256: None, "key-a": None, "key-c": "c" * 47, "k" * 127: None}
        for key, tenant in expected.items():
            ident = "t-%s-%d" % (key[-1], len(key))
            a = d.call("/r/x", key=key, ident=ident)
            assert a.status == (200 if tenant else 401), (key, a.status)
            seen = [r.get("Rillknot-Tenant-Id") for r in d.workers[0].seen
                    if r.get("Rillknot-Attempt-Id") == ident]
            assert seen == ([tenant] if tenant else []), (key, seen)
        rejected = collections.Counter(e["kind"] for e in d.nodes[0].events()
                                       if e["event"] == "settings.entry_rejected")
        assert rejected == {"api_key": 3, "organisation": 1, "route": 1}, rejected


def test_a_valid_version_before_an_invalid_one_is_applied():
    """Guards against a valid version that is skipped because an invalid one follows it.

    The store returns both in the same answer.
    """
    with plain(workers=1) as d:
        real, released = d.store.handle, threading.Event()

        def handle(req, conn):
            if "/config?watch" in req.target:
                released.wait(20)
            return real(req, conn)
        d.store.handle = handle
        time.sleep(2)  # the current watch has ended, and the next one is held
        version = d.configure([d.route("r", "plain"), d.route("new", "plain")], wait=False)
        d.store.put("config", "main", {"version": version + 1})
        released.set()
        d.wait_version(version, timeout=5)
        assert d.call("/new/x").status == 200


def test_invalid_vm_entries_are_ignored():
    """Guards against calls to VMs whose entries are invalid."""
    with plain(workers=1) as d:
        for n, spec in enumerate([{}, {"service": "plain"}, "text", {"address": 5},
                                  {"service": "plain", "address": "not an address",
                                   "zone": "klein-hall", "slots": 6, "state": "ready"}]):
            d.store.put("servers", "i-bad%d" % n, spec)
        time.sleep(0.4)
        for _ in range(8):
            assert d.call("/r/x").status == 200


def test_a_mistake_in_the_process_file_is_named():
    """Guards against a failed start that doesn't name the wrong field of the process file."""
    import os
    import subprocess
    import tempfile
    with Hosted(nodes=0) as d:
        for text, name in (('{"id": "a"}', "failure_domain"), ("{", "JSON"),
                           ('{"id":"a","failure_domain":"b","platform":"x","retry_ratio":7}',
                            "retry_ratio"),
                           ('{"id":"a","failure_domain":"b","platform":"x","first_start":1}',
                            "first_start"),
                           ('{"id":"a","failure_domain":"b","platform":"x","dialect":"none"}',
                            "dialect")):
            with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as f:
                f.write(text)
            out = subprocess.run([os.path.join(d.build, "rillknot-node"), f.name],
                                 stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                                 timeout=20, check=False)
            assert out.returncode in (1, 2) and name in out.stdout.decode(), out.stdout
            os.unlink(f.name)


def test_bounds_may_be_fractions():
    """Guards against a rejected process file: the platform's bounds may be fractions."""
    bounds = {"graceS": 7.5, "leaseMs": 1200.5, "reportWindowS": 1.0, "usageLateS": 4.25,
              "quotaWindowS": 3.5, "quotaSlack": 10.75, "budgetExtra": 16.9,
              "retryBudgetRatio": 0.15}
    with Hosted(nodes=1, bounds=bounds) as d:
        d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        assert d.call("/r/x").status == 200
        wait_until(lambda: d.cloud.usage, 20)


def test_a_node_outlasts_invalid_store_answers():
    """Guards against a node that crashes or gives up on invalid answers of the store.

    The answers have the wrong shape; the node has to wait and ask again.
    """
    state = {"bad": True}
    with Hosted(nodes=0) as d:
        real = d.store._answer

        def invalid_answer(req):
            if state["bad"]:
                return 200, ["no", "object"]
            return real(req)
        d.store._answer = invalid_answer
        node = d.add_node()
        time.sleep(0.5)
        assert node.popen.poll() is None and not d.ready(node)
        state["bad"] = False
        d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        wait_until(lambda: d.ready(node))
        assert d.call("/r/x").status == 200
