"""Promise 6: a planned stop of an entry node cuts off no request."""
import collections
import concurrent.futures
import json
import os
import signal
import tempfile
import threading
import time

from cluster import Answer, Proc, call, chat, free_port, request, wait_for
from fakes import BUILD, check_verdict, cluster, forwarding_cluster, slow_exits, small_cluster

PROMPT = "Prepare the patient for the visit at the clinic in Otjiwarongo. " * 10
CALL_INTERVAL_S = 0.05  # between late calls


class Balancer:
    """Stands for the platform's load balancer: polls /health every 100 ms and sends
    calls in turn to the nodes that report ready."""

    def __init__(self, c):
        self.c, self.ready, self.stop = c, [], threading.Event()
        self.picks = 0
        self.poll()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def poll(self):
        self.ready = [e for e in list(self.c.entries)
                      if e.popen.poll() is None and
                      request(e.port, "GET", "/health", timeout=2).status == 200]

    def run(self):
        while not self.stop.wait(0.1):
            self.poll()

    def pick(self):
        self.picks += 1
        return self.ready[self.picks % len(self.ready)]

    def close(self):
        self.stop.set()
        self.thread.join()


def stream_through(balancer, prompt, max_tokens):
    """Receives one stream through the balancer, and resumes it with Last-Event-ID when
    a node asks for that. Returns the last answer, the text and the number of
    resumes."""
    text, last_id, resumes = "", None, 0
    while True:
        h = {"Last-Event-ID": str(last_id)} if last_id is not None else {}
        a = chat(balancer.pick().port, prompt, max_tokens=max_tokens, headers=h)
        if a.status != 200:
            return a, text, resumes
        text += a.text()
        ids = [i for i, _ in a.events() if i is not None]
        last_id = ids[-1] if ids else last_id
        resume_requested = any(isinstance(d, tuple) and d[0] == "resume" for _, d in a.events())
        if not resume_requested:
            return a, text, resumes
        resumes += 1


def rolling_restart(c, notice_ms, max_tokens, seconds=None):
    """Stops and restarts every entry node in turn under load. Checks that no call is
    cut, each text is complete and each confirmation ran once. Returns a summary."""
    b = Balancer(c)
    expected_text = chat(c.entries[0].port, PROMPT, max_tokens=max_tokens).text()
    results, lock, stop = [], threading.Lock(), threading.Event()

    def work(n):
        i = 0
        while not stop.is_set():
            i += 1
            if n % 2:
                a = call(b.pick().port, "slots/confirm", "r%d-%d" % (n, i))
                ok, resumes = a.whole(), 0
            else:
                a, text, resumes = stream_through(b, PROMPT, max_tokens)
                ok = a.whole() and text == expected_text
            with lock:
                results.append((ok, resumes, a))
    threads = [threading.Thread(target=work, args=(n,)) for n in range(8)]
    for t in threads:
        t.start()
    try:
        time.sleep(1)
        for e in list(c.entries):
            code = e.stop()
            assert code == 0, (e.name, code)
            c.add_entry(e.name, e.domain, extra={"notice_ms": notice_ms})
            time.sleep(0.5)
    finally:
        stop.set()
        for t in threads:
            t.join()
        b.close()
    failed = [(a.status, a.error, a.verdict, a.body[-200:]) for ok, _, a in results if not ok]
    assert not failed, (len(failed), len(results), failed[:3])
    assert all(n == 1 for n in c.runs().values())
    return "%d calls during a rolling restart of %d nodes, 0 cut, %d resumed at a peer" % (
        len(results), len(c.entries), sum(r for _, r, _ in results))


def test_rolling_restart_of_all_entry_nodes():
    """With a notice of 15 s, longer than any call, a rolling restart must cut off
    none."""
    with cluster(entries=2, engines=2) as c:
        return rolling_restart(c, 15000, 40)


def cut_gossip(c):
    """Cuts the control links of the two entry nodes, and returns the nodes: neither learns that
    the other one leaves."""
    for name in ("klein-hall-e0", "eros-hall-e0"):
        c.cuts[name, "control"].cut()
    return c.entry("klein-hall-e0"), c.entry("eros-hall-e0")


def confirm_at_intervals(entry, count, interval_s):
    """Begins a call with a key of its own in each interval, and returns the answers."""
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        answers = []
        for n in range(count):
            answers.append(pool.submit(call, entry.port, "slots/confirm", "late%d" % n))
            time.sleep(interval_s)
        return [a.result() for a in answers]


def stop_owner_under_calls(first_call_s):
    """Stops an owner of claims of which a peer doesn't learn, and sends calls to the peer from
    a time on. Returns their answers, how often each key ran, and how many calls the owner
    refused."""
    with cluster(domains=["klein-hall", "eros-hall"], entries=1, engines=0,
                 peer_cuts=True) as c:
        peer, owner = cut_gossip(c)
        owner.signal(signal.SIGTERM)
        time.sleep(first_call_s)
        answers = confirm_at_intervals(peer, 40, interval_s=0.004)
        assert owner.popen.wait(20) == 0
        with open(peer.log) as log:
            refused = log.read().count('"detail":"the peer stops"')
        return answers, c.runs(), refused


def test_an_owner_of_claims_stops_while_calls_are_forwarded_to_it():
    """Guards against a key in doubt, because the owner exited amid its claim: calls that were
    forwarded since the stopping node last counted its calls were cut."""
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        stops = list(pool.map(stop_owner_under_calls, [0.46 + 0.01 * n for n in range(20)]))
    failed = [(a.status, a.verdict, a.body[-160:]) for answers, _, _ in stops for a in answers
              if not a.whole()]
    assert not failed, (len(failed), failed[:3])
    assert all(n == 1 for _, runs, _ in stops for n in runs.values())
    refused = sum(n for _, _, n in stops)
    assert refused, "no call came that late"
    return "%d calls refused by the owner and served by the peer" % refused


def test_an_owner_of_claims_that_is_never_idle_stops_while_calls_are_forwarded_to_it():
    """Guards against calls that a stopping owner refuses for good, though their senders, which
    don't know that it leaves, could claim their keys."""
    with cluster(domains=["klein-hall", "eros-hall"], entries=1, engines=0, peer_cuts=True,
                 proc_extra={"notice_ms": 2000}) as c:
        peer, owner = cut_gossip(c)

        def keep_busy(n):
            for i in range(10000):
                if owner.popen.poll() is not None:
                    return
                call(owner.port, "slots/confirm", "busy%d-%d" % (n, i))
        busy = [threading.Thread(target=keep_busy, args=(n,)) for n in range(2)]
        for t in busy:
            t.start()
        owner.signal(signal.SIGTERM)
        time.sleep(0.8)
        answers = confirm_at_intervals(peer, 200, interval_s=0.006)
        code = owner.popen.wait(20)
        assert code == 0, code
        for t in busy:
            t.join()
        failed = [(a.status, a.verdict, a.body[-160:]) for a in answers if not a.whole()]
        assert not failed, (len(failed), failed[:3])
        assert all(n == 1 for n in c.runs().values())


def test_streams_longer_than_the_notice_are_handed_over():
    """Streams that last longer than the notice of 2.5 s must be resumed at a peer."""
    with cluster(entries=2, engines=2, proc_extra={"notice_ms": 2500}) as c:
        out = rolling_restart(c, 2500, 400)
        assert " 0 resumed" not in out, out
        return out


def test_confirmation_in_hand_at_a_stopping_node():
    """A node that stops with a call in flight must wait for it and answer."""
    with small_cluster(engines=0, service_args=["--work-ms", "1500"]) as c:
        out = []
        t = threading.Thread(target=lambda: out.append(
            call(c.entries[0].port, "slots/confirm", "k")))
        t.start()
        time.sleep(0.5)
        assert c.entries[0].stop() == 0
        t.join()
        assert isinstance(out[0], Answer) and out[0].whole(), (out[0].status, out[0].error)


def confirm_all(entry, count):
    """Starts calls with keys at once. Returns their answers by key, None until they have
    ended, and their threads."""
    results = {"k%d" % n: None for n in range(count)}

    def confirm(key):
        results[key] = call(entry.port, "slots/confirm", key)
    calls = [threading.Thread(target=confirm, args=(key,)) for key in results]
    for t in calls:
        t.start()
    return results, calls


def test_a_peers_calls_in_hand_when_the_notice_is_over():
    """Forwarded calls of a peer still run when the notice of a planned stop is over: the
    node must exit without an error, and no such call may be reported as not run.

    Guards against a use after free in rk_exchange_cancel(): a planned stop ended with
    SIGSEGV once, and under a sanitizer in 2 of 8 rolling restarts. The node ended all
    its calls without notifying the peers that had forwarded them, then closed the peers'
    links, which cancelled the same calls through addresses that were no longer valid."""
    with forwarding_cluster(proc_extra={"notice_ms": 400}) as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        results, calls = confirm_all(a, 4)
        wait_for(lambda: len(results.keys() & c.runs().keys()) == 4, 20, "the calls to run")
        assert b.stop() == 0
        for t in calls:
            t.join()
        assert all(x.verdict != "not-run" for x in results.values()), [
            (key, x.status, x.verdict) for key, x in sorted(results.items())]


def test_calls_that_a_stopping_peer_has_not_run_are_told_apart():
    """Forwarded calls are claimed, queued or running when the peer stops.

    Guards against a call that ran and is answered as not run."""
    def stop_after(delay_s):
        with forwarding_cluster(proc_extra={"notice_ms": 100}) as c:
            a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
            results, calls = confirm_all(a, 8)
            time.sleep(delay_s)
            assert b.stop() == 0
            for t in calls:
                t.join()
            not_run = {key for key, x in results.items() if x.verdict == "not-run"}
            time.sleep(2)  # calls that are still on their way to the service have started
            ran = c.runs()
            assert not not_run & ran.keys(), (delay_s, [
                (key, x.status, x.verdict, ran.get(key)) for key, x in sorted(results.items())])
            assert all(ran[key] == 1 for key in results if key in ran), ran
            return "%d of %d ran, %d not run" % (
                len(results.keys() & ran.keys()), len(results), len(not_run))

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        return "; ".join(pool.map(stop_after, (0, 0.01, 0.03, 0.1)))


def test_a_stop_does_not_wait_for_what_libraries_do_at_the_exit():
    """Guards against a process that has stopped and does not end until it is killed."""
    ports = {k: "127.0.0.1:%d" % free_port() for k in ("listen", "control_listen",
                                                       "forward_listen")}
    conf = {"id": "a", "failure_domain": "klein-hall", "notice_ms": 2000, "peers": [],
            "platform": "http://127.0.0.1:%d" % free_port()}
    for program, event, extra in (("rillknot-entry", "listening", ports),
                                  ("rillknot-keeper", "keeper.started",
                                   {"entry": ports["control_listen"]})):
        with tempfile.TemporaryDirectory() as folder, slow_exits():
            path = os.path.join(folder, "conf.json")
            with open(path, "w") as f:
                json.dump({**conf, **extra}, f)
            p = Proc([os.path.join(BUILD, program), path], os.path.join(folder, "log"), event)
            try:
                p.signal(signal.SIGTERM)
                assert p.popen.wait(conf["notice_ms"] / 1000 + 1) == 0
            finally:
                p.popen.kill()
                p.popen.wait()


def call_through_a_stop(c, entry, stopped, settle_s):
    """Makes calls at an entry node at a steady rate, from 1 s before the SIGTERM of nodes until
    these have ended, and checks their answers. Returns how many ended with which status and
    verdict."""
    began, made = time.monotonic(), []
    told = False
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        while any(e.popen.poll() is None for e in stopped):
            if not told and time.monotonic() - began >= 1:
                told = True
                for e in stopped:
                    e.signal(signal.SIGTERM)
            key = "k%d" % len(made)
            made.append((time.monotonic() - began, key,
                         pool.submit(call, entry.port, "slots/confirm", key)))
            time.sleep(CALL_INTERVAL_S)
    assert all(e.popen.poll() == 0 for e in stopped)
    time.sleep(settle_s)  # what the service still runs has been counted
    runs, ended = c.runs(), collections.Counter()
    for at, key, f in made:
        a = f.result()
        ended[a.status, a.verdict] += 1
        if not a.status:
            assert not runs.get(key), "a call made at %.2f s ran and got no answer" % at
            continue
        assert not a.error, (at, a.status, a.error)
        check_verdict(a, runs.get(key, 0))
        assert not (a.status in (429, 503) and runs.get(key)), (at, a.status)
    assert ended[200, "ran"] > 0, ended
    return dict(ended)


def calls_in_a_stop(notice_ms, work_ms):
    with small_cluster(engines=0, service_args=["--work-ms", str(work_ms)],
                       proc_extra={"notice_ms": notice_ms}) as c:
        entry = c.entries[0]
        assert call(entry.port, "slots/confirm", "first").whole()
        return call_through_a_stop(c, entry, [entry], work_ms / 1000 + 0.5)


def test_late_calls_in_a_planned_stop_are_not_cut():
    """Guards against calls that are taken late in a stop, passed on, and cut at its end without
    an answer."""
    return str([calls_in_a_stop(notice_ms, work_ms)
                for notice_ms, work_ms in ((3000, 50), (4000, 1500))])


def forwarded_calls_in_a_stop(*stopped):
    """Checks notices that are shorter and longer than the calls."""
    out = []
    for notice_ms in (1200, 4000):
        with forwarding_cluster(proc_extra={"notice_ms": notice_ms}) as c:
            out.append(call_through_a_stop(c, c.entry("klein-hall-e0"),
                                           [c.entry(name) for name in stopped], 2))
    return str(out)


def test_late_forwarded_calls_in_a_planned_stop_are_not_cut():
    """Guards against the same for calls that a stopping node took for a peer."""
    return forwarded_calls_in_a_stop("eros-hall-e0")


def test_late_forwarded_calls_are_not_cut_if_both_nodes_stop_at_once():
    """Guards against the same if the node that forwards stops too."""
    return forwarded_calls_in_a_stop("klein-hall-e0", "eros-hall-e0")
