"""Streams whose engine leaves move to another with the memory of what was read, and
prompts' cached parts are copied instead of read again; what fails on the way falls back
to reading."""
import re
import threading
import time

from hosted import Hosted, wait_until

EVENTS = 60  # longer than a vm that leaves keeps its streams


def deployment(moves=True, workers=3, resumable=True, **kw):
    engine = {"name": "llm", "healthPath": "/healthz", "maxConns": 200,
              "engine": {"slots": 32, "kvCapacity": 100000, "moves": moves}}
    d = Hosted(nodes=1, bounds={"budgetExtra": 400}).start()
    for _ in range(workers):
        d.add_worker("llm", events=EVENTS, slots=32).gap_s = 0.05
    d.configure([d.route("s", "llm", "streaming", timeoutMs=8000, resumable=resumable,
                         **kw)],
                services=[engine])
    d.wait_ready()
    return d


class Stream(threading.Thread):
    """A caller's stream, read to its end in a thread."""

    def __init__(self, d, headers=()):
        super().__init__(daemon=True)
        self.d, self.headers, self.request = d, headers, "%016x" % next(d.ids)
        self.answer = None
        self.start()

    def run(self):
        self.answer = self.d.call("/s/x", deadline=8000, ident=self.request,
                                  headers=self.headers)

    def check_whole(self):
        """Each event came once, in order, and nothing else."""
        self.join(15)
        assert self.answer.status == 200 and self.answer.whole, self.answer.status
        found = [int(n) for n in re.findall(rb"id: (\d+)\n", self.answer.body)]
        assert found == list(range(1, EVENTS + 1)), found


def worker_of(d, stream):
    """Where it runs now."""
    return [w for w in d.workers if stream.request in w.stops]


def begun(d, stream):
    wait_until(lambda: worker_of(d, stream), 5)
    time.sleep(0.2)
    return worker_of(d, stream)[0]


def arrivals(d, stream):
    found = [r for w in d.workers for r in w.seen
             if r.get("Rillknot-Attempt-Id") == stream.request]
    return sorted(found, key=lambda r: r.at)


def test_a_stream_moves_from_an_engine_that_leaves():
    with deployment() as d:
        stream = Stream(d)
        first = begun(d, stream)
        d.drain(first)
        stream.check_whole()
        assert first.moved == [stream.request]
        assert [w for w in d.workers if stream.request in w.went_on]
        went_on = arrivals(d, stream)[-1]
        assert went_on.get("Kv-From").startswith(first.addr + "/")
        assert 0 < int(went_on.get("Last-Event-Id")) < EVENTS
        assert len(arrivals(d, stream)) == 2


def check_falls_back(fault):
    """The move fails in some way: the stream is whole all the same."""
    with deployment() as d:
        stream = Stream(d)
        first = begun(d, stream)
        first.move_fault = fault
        d.drain(first)
        stream.check_whole()
        assert not [w for w in d.workers if w.went_on]
        return d, first, arrivals(d, stream)


def test_a_destination_that_is_full():
    """The run has stopped, and goes on where it was."""
    with deployment() as d:
        stream = Stream(d)
        first = begun(d, stream)
        first.move_fault = "full"
        d.drain(first)
        stream.check_whole()
        assert first.went_on == [stream.request]
        assert len(arrivals(d, stream)) == 2


def test_a_stream_that_may_not_be_repeated_moves_too():
    with deployment(resumable=False, maxAttempts=1) as d:
        stream = Stream(d)
        first = begun(d, stream)
        d.drain(first)
        stream.check_whole()
        assert [w for w in d.workers if stream.request in w.went_on]
        assert sum(w.runs[stream.request] for w in d.workers) == 2  # parts of one run


def test_one_that_may_not_be_repeated_is_cut_rather_than_run_twice():
    with deployment(resumable=False, maxAttempts=1) as d:
        stream = Stream(d)
        first = begun(d, stream)
        first.move_fault = "lost"
        d.drain(first)
        stream.join(15)
        assert not stream.answer.whole
        assert len(arrivals(d, stream)) == 1


def test_a_run_that_is_not_known_goes_on_where_it_is():
    _, _, seen = check_falls_back("gone")
    assert len(seen) == 1


def test_an_answer_that_is_lost_after_the_run_has_stopped():
    _, _, seen = check_falls_back("lost")
    assert len(seen) == 2 and seen[-1].get("Last-Event-Id")


def test_an_engine_that_dies_while_it_copies():
    _, _, seen = check_falls_back("dies")
    assert len(seen) == 2 and seen[-1].get("Last-Event-Id")


def test_a_copy_that_is_gone_when_it_is_to_be_used():
    with deployment() as d:
        stream = Stream(d)
        first = begun(d, stream)
        for w in d.workers:
            w.has_copy = lambda req: False
        d.drain(first)
        stream.check_whole()
        seen = arrivals(d, stream)
        assert len(seen) == 3 and not seen[-1].get("Kv-From"), len(seen)


def test_engines_that_do_not_copy_are_not_asked_to():
    with deployment(moves=False) as d:
        stream = Stream(d)
        first = begun(d, stream)
        first.move_fault = "lost"  # would stop it
        d.drain(first)
        stream.check_whole()
        assert len(arrivals(d, stream)) == 1


def test_a_second_engine_that_leaves():
    with deployment() as d:
        stream = Stream(d)
        first = begun(d, stream)
        d.drain(first)
        wait_until(lambda: [w for w in d.workers if w.went_on], 5)
        second = [w for w in d.workers if w.went_on][0]
        d.drain(second)
        stream.check_whole()
        assert second.moved == [stream.request]


def test_a_caller_that_leaves_amid_a_move_leaves_nothing_behind():
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
        assert not [w for w in d.workers if w.went_on]


def prompt(shared):
    return [("Rillknot-Model-Name", "m"), ("Rillknot-Token-Usage", "%d,20" % (shared + 100)),
            ("Rillknot-Prompt-Prefix", "aa:%d,bb:100" % shared)]


def test_a_cached_part_is_copied_from_where_it_is_likely_kept():
    with deployment() as d:
        addrs = {w.addr for w in d.workers}
        for _ in range(4):
            Stream(d, prompt(3000)).check_whole()
        for w in d.workers:
            for r in w.seen:
                assert r.get("Kv-Fetch") in addrs - {w.addr}, r.get("Kv-Fetch")
        before = sum(len(w.seen) for w in d.workers)
        Stream(d, prompt(100)).check_whole()  # little to copy
        last = [r for w in d.workers for r in w.seen if "aa:100," in r.get("Rillknot-Prompt-Prefix")]
        assert sum(len(w.seen) for w in d.workers) == before + 1
        assert last and not last[0].get("Kv-Fetch")


def test_an_engine_that_leaves_is_still_copied_from():
    with deployment(workers=2) as d:
        Stream(d, prompt(3000)).check_whole()
        first = [w for w in d.workers if w.seen][0]
        other = [w for w in d.workers if w is not first][0]
        d.drain(first)
        wait_until(lambda: Stream(d, prompt(3000)).check_whole() or other.seen, 10)
        assert other.seen[-1].get("Kv-Fetch") == first.addr
