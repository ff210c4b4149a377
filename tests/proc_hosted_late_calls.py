"""Tests of calls that come while a node stops as planned, in calm.

The balancer sends calls to a node until it has noticed the stop, and kept connections send
more. Each call gets a complete answer that is true: the VM's, or a refusal of one that has not
run, or a failure of one that may have run.
"""
import collections
import concurrent.futures
import signal
import socket
import threading
import time

from hosted import Hosted, read_answer
from vm_links import REFUSED, VmLinks, wait_for_own_links

CALL_INTERVAL_S = 0.05
DEADLINE_MS = 6000
NOT_RUN = (429, 503, 408, 421)  # statuses that promise this
BALANCER_S = 2.5  # after which the balancer has noticed a stop
LOSS_SLACK_S = 0.2  # a received call whose connection closes later counts as cut
LONG_ANSWER = 1200000  # bytes, far more than the kernels on the way hold
SLOW_RATES = (800000, 600000)  # bytes/s that callers read
CUT_NOTICED_S = 3.0  # after which a node has noticed that it lost its VMs


def start(grace_s, work_s, kind="non_idempotent", nodes=1):
    """Starts nodes and a VM whose calls take work_s."""
    d = Hosted(nodes=nodes, bounds={"graceS": grace_s}).start()
    worker = d.add_worker("plain", slots=200)
    worker.work_s = work_s
    d.configure([d.route("r", "plain", kind, timeoutMs=DEADLINE_MS)],
                services=[{"name": "plain", "healthPath": "/healthz", "maxConns": 400}])
    d.wait_ready()
    return d


def call_until(d, end, node=0, headers=()):
    """Makes calls at a node at a steady rate; returns the time of each, and its answer."""
    began = time.monotonic()
    made = []
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        while time.monotonic() < end:
            made.append((time.monotonic() - began,
                         pool.submit(d.call, "/r/x", node, deadline=DEADLINE_MS,
                                     headers=headers)))
            time.sleep(CALL_INTERVAL_S)
    # Connections that a stopped process refuses are not calls.
    return [(at, f.result()) for at, f in made if not f.exception()]


def check_answers(d, made):
    """Checks that each answer is complete and true; returns how many have which status."""
    statuses = collections.Counter()
    for at, a in made:
        runs = d.runs(a.ident)
        statuses[a.status] += 1
        if not a.status:
            assert not runs, "a call made at %.2f s ran and got no answer" % at
            assert a.took_s <= LOSS_SLACK_S, "unanswered after %.2f s" % a.took_s
            continue
        assert a.whole, (at, a.status)
        if a.status in NOT_RUN:
            assert not runs, "a call made at %.2f s ran and got %d" % (at, a.status)
        else:
            assert a.status in (200, 502) and runs <= 1, (at, a.status, runs)
    return dict(statuses)


def check_late_calls(grace_s, work_s, warm_calls=4, **kw):
    """Checks the calls of a stop; returns the answers' statuses and times."""
    with start(grace_s, work_s, **kw) as d:
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            warm = pool.map(lambda _: d.call("/r/x", deadline=DEADLINE_MS), range(warm_calls))
            assert all(a.status == 200 for a in warm)
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + grace_s)
        statuses = check_answers(d, made)
        assert d.nodes[0].popen.wait(2) == 0
        return statuses, made


def test_late_calls_in_a_short_grace_period_are_not_cut():
    """Guards against calls that are accepted although they take longer than the rest of a
    stop, and are cut at its end without an answer."""
    for grace_s in (3, 4):
        statuses, made = check_late_calls(grace_s, work_s=1.5)
        assert statuses.get(502, 0) == 0, statuses
        assert statuses[200] > 0, statuses


def test_repeatable_late_calls_in_a_short_grace_period_are_not_cut():
    """Guards against the same for calls that may be repeated."""
    statuses, made = check_late_calls(4, work_s=1.5, kind="idempotent")
    assert statuses.get(502, 0) == 0 and statuses[200] > 0, statuses


def test_calls_that_take_longer_than_a_grace_period_get_an_answer():
    """Guards against calls that are cut without an answer as they take longer than expected."""
    statuses, made = check_late_calls(4, work_s=0.02)
    assert statuses[200] > 40, statuses
    with start(4, work_s=0.02) as d:
        assert all(d.call("/r/x", deadline=DEADLINE_MS).status == 200 for _ in range(8))
        d.workers[0].work_s = 5.0
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + 4)
        statuses = check_answers(d, made)
        assert statuses[502] > 0, statuses


def test_calls_of_unknown_duration_are_not_cut_in_a_short_grace_period():
    """Guards against calls that are cut at a node that has made no calls before its stop."""
    statuses, made = check_late_calls(4, work_s=1.5, warm_calls=0)
    assert statuses.get(502, 0) == 0, statuses


def test_calls_are_accepted_until_the_balancer_has_noticed_a_stop():
    """Guards against refusals of calls that the rest of a stop is long enough for."""
    statuses, made = check_late_calls(8, work_s=0.5)
    early = [a.status for at, a in made if at < BALANCER_S]
    assert set(early) == {200}, collections.Counter(early)


def test_calls_of_mixed_durations_are_accepted_while_the_longest_fits():
    """Guards against refusals of all calls from the beginning of a stop because some calls of
    their kind are short and some are long, though the rest of the stop is enough for each."""
    grace_s, long_s = 4, 2.0
    with start(grace_s, work_s=0.02) as d:
        d.add_worker("plain", slots=200).work_s = long_s
        d.wait_ready()
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            warm = list(pool.map(lambda _: d.call("/r/x", deadline=DEADLINE_MS), range(32)))
        assert sum(a.took_s > long_s / 2 for a in warm) > 4, "all calls ran at one worker"
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + grace_s)
        check_answers(d, made)
        # 3.15 s of the stop are left for answers.
        early = [a.status for at, a in made if at < 0.8]
        assert set(early) == {200}, collections.Counter(early)


TOKENS_PER_S = 10  # prefill rate of the VM in the tests of streams
STREAM_EVENTS, EVENT_GAP_S = 4, 0.1


def start_streams(grace_s, resumable):
    d = Hosted(nodes=1, bounds={"graceS": grace_s}).start()
    worker = d.add_worker("llm", events=STREAM_EVENTS, slots=200)
    worker.tokens_per_s, worker.gap_s = TOKENS_PER_S, EVENT_GAP_S
    d.configure([d.route("r", "llm", "streaming", resumable=resumable, timeoutMs=DEADLINE_MS)],
                services=[{"name": "llm", "kind": "model", "healthPath": "/healthz",
                           "maxConns": 400, "protocol": "h1", "tls": False}])
    d.wait_ready()
    return d


def check_stream_answers(d, made):
    """As check_answers(); streams that have begun may be broken off."""
    return check_answers(d, [(at, a) for at, a in made if a.status != 200 or a.whole])


def check_late_streams(grace_s, resumable, prefill_s):
    with start_streams(grace_s, resumable) as d:
        usage = [("Rillknot-Token-Usage", "%d,4" % (prefill_s * TOKENS_PER_S))]

        def stream():
            return d.call("/r/x", deadline=DEADLINE_MS, headers=usage)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            assert all(f.result().status == 200 for f in [pool.submit(stream) for _ in range(4)])
        d.nodes[0].signal(signal.SIGTERM)
        made = call_until(d, time.monotonic() + grace_s, headers=usage)
        statuses = check_stream_answers(d, made)
        assert d.nodes[0].popen.wait(2) == 0
        assert statuses[200] > 0, statuses
        return statuses


def test_late_streams_in_a_short_grace_period_are_not_cut_before_they_begin():
    """Guards against streams that a VM runs and that are cut at the end of a stop without the
    head of an answer."""
    out = []
    for grace_s in (3, 4):
        for resumable in (False, True):
            for prefill_s in (0.5, 1.5):
                out.append(check_late_streams(grace_s, resumable, prefill_s))
    return str(out)


def send_head(s, ident, body):
    s.sendall(b"POST /r/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
              b"Rillknot-Attempt-Id: %s\r\nRillknot-Deadline-Ms: %d\r\n"
              b"Content-Length: %d\r\n\r\n" % (ident.encode(), DEADLINE_MS, len(body)))


def exchange(d, s, count=1, body_delay_s=0.0):
    """Sends pipelined requests on a connection and reads their answers.

    body_delay_s: delay of the last byte of each body.
    """
    body, answers, rest = b"hello", [], []
    idents = ["%016x" % next(d.ids) for _ in range(count)]
    try:
        for ident in idents:
            send_head(s, ident, body)
            s.sendall(body[:-1])
            time.sleep(body_delay_s)
            s.sendall(body[-1:])
    except OSError:
        pass
    sent = time.monotonic()
    for ident in idents:
        a = read_answer(s, "POST", rest)
        a.ident, a.took_s = ident, time.monotonic() - sent
        answers.append(a)
    return answers


def call_on_kept_connections(d, end, count):
    """Makes calls on connections that are kept open while they can be; returns the time of
    each, and its answer."""
    began = time.monotonic()
    made = []

    def caller(number):
        time.sleep(number * CALL_INTERVAL_S)
        s = d.connect()
        while time.monotonic() < end:
            at = time.monotonic() - began
            answers = exchange(d, s, count)
            made.extend((at, a) for a in answers)
            if not answers[-1].whole or answers[-1].headers.get("connection") == "close":
                s.close()
                try:
                    s = d.connect()
                except OSError:
                    return
        s.close()
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        for f in [pool.submit(caller, n) for n in range(20)]:
            f.result()
    return made


def check_kept(grace_s, work_s, count):
    with start(grace_s, work_s) as d:
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda _: d.call("/r/x", deadline=DEADLINE_MS), range(8)))
        timer = threading.Timer(1.0, d.nodes[0].signal, (signal.SIGTERM,))
        timer.start()
        made = call_on_kept_connections(d, time.monotonic() + 1 + grace_s, count)
        statuses = check_answers(d, made)
        assert d.nodes[0].popen.wait(2) == 0
        assert statuses.get(502, 0) == 0 and statuses[200] > 0, statuses
        return statuses


def test_late_calls_on_kept_connections_are_not_cut():
    """Guards against calls that are read from a kept connection in a stop, passed on, and cut
    without an answer."""
    return str([check_kept(grace_s, work_s, 1) for grace_s in (3, 4) for work_s in (0.05, 0.7)])


def test_late_pipelined_calls_are_not_cut():
    """Guards against the same for calls that wait behind another on their connection."""
    return str([check_kept(grace_s, work_s, 3) for grace_s in (3, 4) for work_s in (0.05, 0.7)])


def test_calls_whose_body_is_complete_late_in_a_stop_are_not_cut():
    """Guards against calls that were accepted by their head before or early in a stop, whose
    body is complete only late, and that are cut without an answer."""
    out = []
    for grace_s, work_s in ((3, 0.3), (4, 0.3), (4, 1.2)):
        with start(grace_s, work_s) as d:
            assert all(d.call("/r/x", deadline=DEADLINE_MS).status == 200 for _ in range(4))
            delays = [n * CALL_INTERVAL_S for n in range(int(grace_s / CALL_INTERVAL_S))]
            with concurrent.futures.ThreadPoolExecutor(len(delays)) as pool:
                made = [(at, pool.submit(exchange, d, d.connect(), 1, at)) for at in delays]
                time.sleep(0.2)
                d.nodes[0].signal(signal.SIGTERM)
                made = [(at, f.result()[0]) for at, f in made]
            statuses = check_answers(d, made)
            assert d.nodes[0].popen.wait(2) == 0
            assert statuses.get(502, 0) == 0 and statuses[200] > 0, statuses
            out.append(statuses)
    return str(out)


def check_forwarded(stopped, kind, grace_s=4, work_s=1.0):
    """Checks the calls at node 0, which reaches VMs through peers only, while nodes stop."""
    d = Hosted(nodes=0, bounds={"graceS": grace_s})
    links = VmLinks(d.store)
    d.add_node(platform={"address": links.addr})
    d.add_node()
    d.add_node()
    try:
        with d:
            worker = d.add_worker("plain", slots=200)
            worker.work_s = work_s
            d.configure([d.route("r", "plain", kind, timeoutMs=DEADLINE_MS)],
                        services=[{"name": "plain", "healthPath": "/healthz", "maxConns": 400}])
            d.wait_ready()
            wait_for_own_links(d, 0, links, "/r/x")
            links.cut(REFUSED)
            call_until(d, time.monotonic() + CUT_NOTICED_S)
            for node in stopped:
                d.nodes[node].signal(signal.SIGTERM)
            made = call_until(d, time.monotonic() + grace_s)
            statuses = check_answers(d, made)
            for node in stopped:
                assert d.nodes[node].popen.wait(2) == 0
            forwarded = d.gauge(d.nodes[2], "forwarded_in_total")
            assert statuses.get(502, 0) == 0 and statuses[200] > 0, statuses
            return "%s, %d forwarded to the last node" % (statuses, forwarded)
    finally:
        links.close()


def test_calls_that_a_stopping_node_took_for_a_peer_are_not_cut():
    """Guards against forwarded calls that are cut, or answered as not run although they ran,
    at the end of the stop of the node that took them."""
    return str([check_forwarded((1,), kind) for kind in ("non_idempotent", "idempotent")])


def test_forwarded_calls_are_not_cut_if_both_nodes_stop_at_once():
    """Guards against the same if the node that forwards stops too."""
    return str([check_forwarded((0, 1), kind) for kind in ("non_idempotent", "idempotent")])


def read_slowly(d, rate):
    """Makes a call and reads its answer, so many bytes a second; returns the body's length."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    s.settimeout(5)
    s.connect(("127.0.0.1", d.port(d.nodes[0].ready["listen"])))
    s.sendall(b"POST /r/x HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key-1\r\n"
              b"Rillknot-Attempt-Id: slow-%d\r\nRillknot-Deadline-Ms: %d\r\n"
              b"Content-Length: 0\r\n\r\n" % (id(s), DEADLINE_MS))
    data = b""
    while b"\r\n\r\n" not in data or len(data.split(b"\r\n\r\n", 1)[1]) < LONG_ANSWER:
        try:
            part = s.recv(rate // 20)
        except OSError:
            break
        if not part:
            break
        data += part
        time.sleep(len(part) / rate)
    s.close()
    return len(data.partition(b"\r\n\r\n")[2])


def test_answers_that_are_read_slowly_outlast_a_stop():
    """Guards against a stopping node that ends while callers still read their answers: their
    connections were closed with the answer and did not count as busy."""
    with start(8, 3.2, "idempotent") as d:
        d.workers[0].body = lambda req: b"x" * LONG_ANSWER
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            made = [pool.submit(read_slowly, d, rate) for rate in SLOW_RATES for _ in range(3)]
            time.sleep(0.2)
            d.nodes[0].signal(signal.SIGTERM)
            lengths = [f.result() for f in made]
        assert lengths == [LONG_ANSWER] * len(lengths), lengths
