"""Tests of streams that move from a leaving engine to another one.

The KV cache of the run is copied, so that the prompt isn't read again; the cached prefix
of a prompt is copied between engines in the same way. When a copy fails, the prompt is
read again.
"""
import json
import re
import threading
import time

from hosted import Hosted, answer_json, wait_until

EVENTS = 60  # with 50 ms between them, longer than a leaving VM keeps its streams


def deployment(moves=True, workers=3, resumable=True, framing="chunked", retries=400, **kw):
    """Starts one node with engines that can copy the KV cache of runs, if `moves` is set.

    retries: that the node may send, beside those that it earns.
    """
    engine = {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
              "engine": {"slots": 32, "kvCapacity": 100000, "moves": moves}}
    d = Hosted(nodes=1, bounds={"budgetExtra": retries}).start()
    for _ in range(workers):
        worker = d.add_worker("llm", events=EVENTS, slots=32)
        worker.gap_s, worker.framing = 0.05, framing
    d.configure([d.route("s", "llm", "streaming", timeoutMs=8000, resumable=resumable,
                         **kw)],
                services=[engine])
    d.wait_ready()
    return d


class Stream(threading.Thread):
    """A caller's stream, which a thread reads to its end."""

    def __init__(self, d, headers=()):
        super().__init__(daemon=True)
        self.d, self.headers, self.request = d, headers, "%016x" % next(d.ids)
        self.answer = None
        self.start()

    def run(self):
        self.answer = self.d.call("/s/x", deadline=8000, ident=self.request,
                                  headers=self.headers)

    def check_whole(self):
        """Checks that each event arrived once and in order, and nothing else."""
        self.join(15)
        assert self.answer.status == 200 and self.answer.whole, self.answer.status
        found = [int(n) for n in re.findall(rb"id: (\d+)\n", self.answer.body)]
        assert found == list(range(1, EVENTS + 1)), found


def running_workers_of(d, ident):
    """Returns the workers that run a request's stream now."""
    return [w for w in d.workers if ident in w.stops]


def running_workers(d, stream):
    """Returns the workers that run the stream now."""
    return running_workers_of(d, stream.request)


def wait_begun(d, stream):
    """Waits until the stream has begun, and returns its worker."""
    wait_until(lambda: running_workers(d, stream), 5)
    time.sleep(0.2)
    return running_workers(d, stream)[0]


def arrivals(d, stream):
    """Returns the stream's requests at all workers, in the order of their arrival."""
    found = [r for w in d.workers for r in w.seen
             if r.get("Rillknot-Attempt-Id") == stream.request]
    return sorted(found, key=lambda r: r.at)


def test_a_stream_moves_from_an_engine_that_leaves():
    """Guards against a stream that is cut or run again when its engine leaves."""
    with deployment() as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        d.drain(first)
        stream.check_whole()
        assert first.moved == [stream.request]
        assert [w for w in d.workers if stream.request in w.resumed_from_copy]
        resumed = arrivals(d, stream)[-1]
        assert resumed.get("Kv-From").startswith(first.addr + "/")
        assert 0 < int(resumed.get("Last-Event-Id")) < EVENTS
        assert len(arrivals(d, stream)) == 2


def check_fallback(fault, **kw):
    """Checks that a stream is whole although its move fails by `fault`.

    Returns the deployment, the first worker and the stream's requests.
    """
    with deployment(**kw) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        first.move_fault = fault
        d.drain(first)
        stream.check_whole()
        assert not [w for w in d.workers if w.resumed_from_copy]
        return d, first, arrivals(d, stream)


def test_a_stream_whose_destination_is_full_goes_on_at_another_engine():
    """Guards against a stream that returns to its leaving engine, and is cut when that ends.

    The node has one retry: the order to move has taken it, so that none is left later.
    """
    for lapses in (False, True):
        with deployment(workers=4, retries=1) as d:
            stream = Stream(d)
            first = wait_begun(d, stream)
            first.move_fault = "full"
            d.drain(first)
            if lapses:
                time.sleep(0.5)
                d.store.drop("servers", first.id)
            wait_until(lambda: first.moved, 5)
            time.sleep(0.4)
            first.stop_at_once()
            stream.check_whole()
            seen = arrivals(d, stream)
            assert len(seen) == 2 and not seen[1].get("Kv-From"), [r.get("Kv-From") for r in seen]
            assert int(seen[1].get("Last-Event-Id")) > 0


def check_returns_to_its_engine(**kw):
    """Checks that a stream whose destination is full goes on where its run has stopped."""
    with deployment(**kw) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        first.move_fault = "full"
        d.drain(first)
        stream.check_whole()
        assert first.resumed_from_copy == [stream.request]
        assert len(arrivals(d, stream)) == 2


def test_a_stream_returns_to_its_engine_if_no_other_one_can_take_it():
    """Guards against a stream that is cut because its destination has no room."""
    check_returns_to_its_engine(workers=2)


def test_a_stream_that_may_not_be_repeated_returns_to_its_engine():
    """The same for a stream that may only go on where its run is."""
    check_returns_to_its_engine(resumable=False, maxAttempts=1)


def test_a_stream_moves_back_to_a_leaving_engine_whose_entry_has_lapsed():
    """Guards against a node that goes on with a VM whose record it has just freed.

    The engine's entry is gone, and the run that returns to it, as no other engine has room,
    was this node's last call there. The node crashed, or named another VM in its request.
    """
    with deployment(resumable=False, maxAttempts=1) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        first.move_fault = "full"
        d.drain(first)
        time.sleep(0.5)
        d.store.drop("servers", first.id)
        stream.check_whole()
        seen = arrivals(d, stream)
        assert first.resumed_from_copy == [stream.request]
        assert [r.get("Rillknot-Expect-Instance") for r in seen] == [first.id] * 2, \
            [(r.get("Rillknot-Expect-Instance"), r.get("Kv-From")) for r in seen]
        assert d.nodes[0].popen.poll() is None


def test_a_stream_that_may_not_be_repeated_moves_too():
    """Guards against a stream that is cut although a move is no second run.

    The stream is not resumable and has a single attempt.
    """
    with deployment(resumable=False, maxAttempts=1) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        d.drain(first)
        stream.check_whole()
        assert [w for w in d.workers if stream.request in w.resumed_from_copy]
        assert sum(w.runs[stream.request] for w in d.workers) == 2  # two parts of a single run


def test_a_stream_that_may_not_be_repeated_is_cut_rather_than_run_twice():
    """Guards against a second run of a non-resumable stream when its move's answer is lost."""
    with deployment(resumable=False, maxAttempts=1) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        first.move_fault = "lost"
        d.drain(first)
        stream.join(15)
        assert not stream.answer.whole
        assert len(arrivals(d, stream)) == 1


def test_a_stream_that_may_not_be_repeated_is_cut_when_its_copy_has_expired():
    """Guards against a second run of a non-resumable stream whose copy is turned away.

    The route has another attempt, but the caller has a part of the first run.
    """
    with deployment(resumable=False, maxAttempts=2) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        for w in d.workers:
            w.take_copy = lambda req: False
        d.drain(first)
        stream.join(15)
        seen = arrivals(d, stream)
        assert len(seen) == 2 and seen[1].get("Kv-From"), [r.get("Kv-From") for r in seen]
        assert stream.answer.status == 200 and not stream.answer.whole


def test_a_run_unknown_to_its_engine_goes_on_where_it_is():
    """Guards against a stream that is cut because its engine doesn't know the run to move."""
    _, _, seen = check_fallback("gone")
    assert len(seen) == 1


def test_a_move_that_moved_nothing_costs_no_retry():
    """Guards against a stream that is cut as its node's only retry went to a refused move."""
    with deployment(retries=1) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        first.move_fault = "gone"
        d.drain(first)
        wait_until(lambda: first.move_orders, 5)
        time.sleep(0.3)
        first.stop_at_once()
        stream.check_whole()
        assert len(arrivals(d, stream)) == 2


def test_a_stream_is_resumed_when_the_answer_to_its_move_is_lost():
    """Guards against a stream that ends because the answer to its move is lost."""
    _, _, seen = check_fallback("lost")
    assert len(seen) == 2 and seen[-1].get("Last-Event-Id")


def test_an_unframed_stream_that_is_stopped_for_a_move_is_not_whole():
    """Guards against a run that is stopped for a move and taken for a whole answer.

    The engine closes the stream between two events. Without framing, that looks like the
    end of the answer.
    """
    for fault in ("lost", "dies", "gone"):
        check_fallback(fault, framing="close")


def test_a_handle_that_no_header_can_carry_is_none():
    """Guards against a handle whose end of line adds headers of the VM's choice to a request to
    another VM, and against a stream that is taken for whole: its run has been stopped, only
    the handle of its copy can't be used."""
    for framing, handle in (("chunked", "h-1\r\nX-Injected: 1"), ("chunked", "x" * 300),
                            ("close", "a b"), ("close", 7)):
        with deployment(framing=framing) as d:
            def move(req, conn, d=d, handle=handle):
                ident = json.loads(req.body)["id"]
                for w in running_workers_of(d, ident):
                    w.stops[ident].set()
                answer_json(conn, 200, {"handle": handle, "made": 1})
                return True
            for w in d.workers:
                w.move = move
            stream = Stream(d)
            d.drain(wait_begun(d, stream))
            stream.check_whole()
            assert not [r for r in arrivals(d, stream) if r.get("X-Injected")], handle


def test_an_unframed_stream_moves():
    """Guards against a move that loses a stream without framing."""
    for fault, resumable in ((None, True), ("full", False)):
        with deployment(framing="close", resumable=resumable) as d:
            stream = Stream(d)
            first = wait_begun(d, stream)
            first.move_fault = fault
            d.drain(first)
            stream.check_whole()
            assert [w for w in d.workers if stream.request in w.resumed_from_copy]


def test_a_stream_is_resumed_when_its_engine_crashes_during_a_copy():
    """Guards against a stream that is lost when its engine crashes during the copy."""
    _, _, seen = check_fallback("dies")
    assert len(seen) == 2 and seen[-1].get("Last-Event-Id")


def test_a_stream_is_resumed_when_its_copy_has_expired():
    """Guards against a stream that fails because the copy has expired at its destination."""
    with deployment() as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        for w in d.workers:
            w.take_copy = lambda req: False
        d.drain(first)
        stream.check_whole()
        seen = arrivals(d, stream)
        assert len(seen) == 3 and not seen[-1].get("Kv-From"), len(seen)


def test_engines_that_cannot_copy_are_not_asked_to():
    """Guards against a move at engines that cannot copy: it would stop the run."""
    with deployment(moves=False) as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        first.move_fault = "lost"  # a move would stop the run
        d.drain(first)
        stream.check_whole()
        assert len(arrivals(d, stream)) == 1


def test_a_stream_can_move_twice():
    """Guards against a stream that can move only once."""
    with deployment() as d:
        stream = Stream(d)
        first = wait_begun(d, stream)
        d.drain(first)
        wait_until(lambda: [w for w in d.workers if w.resumed_from_copy], 5)
        second = [w for w in d.workers if w.resumed_from_copy][0]
        d.drain(second)
        stream.check_whole()
        assert second.moved == [stream.request]


def test_a_caller_that_leaves_amid_a_move_leaves_no_call_in_flight():
    """Guards against a call that stays in flight when its caller leaves during the move."""
    with deployment() as d:
        s = d.connect()
        s.sendall(b"POST /s/x HTTP/1.1\r\nHost: api.example\r\nRillknot-Attempt-Id: abc\r\n"
                  b"Rillknot-Deadline-Ms: 8000\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n")
        wait_until(lambda: [w for w in d.workers if "abc" in w.stops], 5)
        time.sleep(0.2)
        first = [w for w in d.workers if "abc" in w.stops][0]
        first.move_fault = "lost"
        d.drain(first)
        time.sleep(0.2)
        s.close()
        wait_until(lambda: d.gauge(d.nodes[0], "calls_in_hand") == 0, 3)
        assert not [w for w in d.workers if w.resumed_from_copy]


def prompt_headers(shared):
    """Returns the headers of a prompt whose first `shared` tokens are also in other prompts."""
    return [("Rillknot-Model-Name", "m"), ("Rillknot-Token-Usage", "%d,20" % (shared + 100)),
            ("Rillknot-Prompt-Prefix", "aa:%d,bb:100" % shared)]


def test_a_cached_prefix_is_copied_from_its_engine():
    """Guards against a prefix that is read again although another engine has it cached.

    Each call with a long prefix, also the first, names another engine that probably has
    it cached, chosen by rendezvous hash. A short prefix is not copied.
    """
    with deployment() as d:
        addrs = {w.addr for w in d.workers}
        for _ in range(4):
            Stream(d, prompt_headers(3000)).check_whole()
        for w in d.workers:
            for r in w.seen:
                assert r.get("Kv-Fetch") in addrs - {w.addr}, r.get("Kv-Fetch")
        before = sum(len(w.seen) for w in d.workers)
        Stream(d, prompt_headers(100)).check_whole()  # too short to be copied
        last = [r for w in d.workers for r in w.seen if "aa:100," in r.get("Rillknot-Prompt-Prefix")]
        assert sum(len(w.seen) for w in d.workers) == before + 1
        assert last and not last[0].get("Kv-Fetch")


def test_a_cached_prefix_is_copied_from_a_draining_engine():
    """Guards against a cached prefix that is given up as soon as its engine drains."""
    with deployment(workers=2) as d:
        Stream(d, prompt_headers(3000)).check_whole()
        first = [w for w in d.workers if w.seen][0]
        other = [w for w in d.workers if w is not first][0]
        d.drain(first)
        wait_until(lambda: Stream(d, prompt_headers(3000)).check_whole() or other.seen, 10)
        assert other.seen[-1].get("Kv-Fetch") == first.addr
