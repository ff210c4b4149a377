"""Engines of unknown speed: what nodes learn of them decides, and outlasts nodes."""
import json
import random
import re
import time

from hosted import Hosted, wait_until

FAST = 200000  # prompt tokens a second
SLOW = 12000
LONG = 30000   # tokens: 0.15 s and 2.5 s
TARGET_MS = 600
TAUGHT = 40    # calls


def engines(speed, nodes=1, workers=2, **bounds):
    """Nodes before engines that read so fast."""
    d = Hosted(nodes=nodes, bounds=bounds).start()
    for _ in range(workers):
        d.add_worker("llm", events=2, slots=32).tokens_per_s = speed
    d.configure([d.route("s", "llm", "streaming", sloMs=TARGET_MS, timeoutMs=8000,
                         resumable=True)],
                services=[{"name": "llm", "healthPath": "/healthz", "maxConns": 200,
                           "engine": {"slots": 32, "kvCapacity": 100000}}])
    d.wait_ready()
    return d


def prompt(tokens):
    return [("Rillknot-Token-Usage", "%d,10" % tokens), ("Rillknot-Model-Name", "m")]


def ask(d, tokens, node=0):
    return d.call("/s/x", node=node, deadline=8000, headers=prompt(tokens))


def teach(d, node=0):
    rng = random.Random(7)
    for _ in range(TAUGHT):
        assert ask(d, rng.randrange(200, 3000), node).status == 200


def assert_refused(d, node=0):
    a = ask(d, LONG, node)
    assert a.status == 503 and d.runs(a.ident) == 0, (a.status, d.runs(a.ident))
    assert float(a.headers["retry-after"]) > 0 and a.took_s < 0.5


def test_a_long_prompt_for_a_fast_engine_is_served():
    with engines(FAST) as d:
        teach(d)
        assert ask(d, LONG).status == 200


def test_a_long_prompt_comes_after_short_ones_of_its_kind():
    with engines(FAST) as d:
        answers = {tokens: ask(d, tokens) for tokens in (400, 4000, 40000)}
        ranks = {tokens: int(r.get("Rillknot-Request-Priority"))
                 for tokens, a in answers.items() for w in d.workers for r in w.seen
                 if r.get("Rillknot-Attempt-Id") == a.ident}
        assert all(a.status == 200 for a in answers.values())
        assert ranks[400] < ranks[4000] < ranks[40000] <= 9, ranks


def test_a_long_prompt_for_a_slow_engine_is_refused_in_truth():
    with engines(SLOW) as d:
        teach(d)
        assert_refused(d)


def test_how_far_predictions_are_off_is_a_metric():
    with engines(SLOW) as d:
        teach(d)
        text = d.metrics(d.nodes[0])
        counts = [float(x) for x in re.findall(
            r'^rillknot_first_byte_error_ms_count\{service="llm".*\} (\S+)$', text, re.M)]
        small = [float(x) for x in re.findall(
            r'^rillknot_first_byte_error_ms_bucket\{service="llm".*le="100"\} (\S+)$', text, re.M)]
        assert sum(counts) == TAUGHT, text
        assert sum(small) >= 0.7 * TAUGHT, (small, counts)


def test_an_unknown_engine_is_tried():
    with engines(FAST) as d:
        assert ask(d, LONG).status == 200


def test_engines_that_become_faster_are_learnt_anew():
    with engines(SLOW) as d:
        teach(d)
        assert_refused(d)
        for w in d.workers:
            w.tokens_per_s = FAST
        teach(d)
        teach(d)
        assert ask(d, LONG).status == 200


def test_a_node_that_starts_again_is_told_by_its_peers():
    with engines(SLOW, nodes=2) as d:
        teach(d)
        d.nodes[1].kill()
        d.restart_node(1)
        d.wait_ready()
        wait_until(lambda: d.gauge(d.nodes[1], "nodes_heard") == 2)
        time.sleep(0.8)  # two reports
        assert_refused(d, node=1)


def test_what_was_learnt_outlasts_a_kill_of_all_nodes():
    with engines(SLOW, nodes=2) as d:
        teach(d)
        kept = d.store.objects["rillknot-engines"]
        wait_until(lambda: "recent" in kept and kept["recent"]["spec"]["llm"]["samples"] >= 20)
        spec = kept["recent"]["spec"]["llm"]
        assert 60 < spec["ktoken_ms"] < 120, json.dumps(spec)  # 1,000 / 12
        for node in d.nodes:
            node.kill()
        for n in range(2):
            d.restart_node(n)
        d.wait_ready()
        time.sleep(0.5)
        assert_refused(d)


def test_nonsense_in_the_store_is_no_estimate():
    with engines(FAST) as d:
        d.store.put("rillknot-engines", "recent",
                    {"llm": {"fixed_ms": 1e9, "ktoken_ms": "x", "samples": -5}, "other": 7})
        d.nodes[0].kill()
        d.restart_node(0)
        d.wait_ready()
        assert ask(d, LONG).status == 200
