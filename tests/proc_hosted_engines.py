"""Tests of engines whose speed is not configured.

Nodes estimate it from answers, place and refuse calls by it, share it with their peers
and persist it in the store.
"""
import json
import random
import re
import time

from hosted import Hosted, wait_until

FAST_TOKENS_PER_S = 200000  # of prompts
SLOW_TOKENS_PER_S = 12000
LONG_PROMPT_TOKENS = 30000  # read in 0.15 s and in 2.5 s at these speeds
TARGET_MS = 600  # sloMs of the route
TRAINING_CALLS = 40  # calls that train_estimates() makes


def deployment(speed, nodes=1, workers=2, **bounds):
    """Starts nodes with engines that read `speed` prompt tokens a second."""
    d = Hosted(nodes=nodes, bounds=bounds).start()
    for _ in range(workers):
        d.add_worker("llm", events=2, slots=32).tokens_per_s = speed
    d.configure([d.route("s", "llm", "streaming", sloMs=TARGET_MS, timeoutMs=8000,
                         resumable=True)],
                services=[{"name": "llm", "healthPath": "/healthz", "maxConns": 200,
                           "engine": {"slots": 32, "kvCapacity": 100000}}])
    d.wait_ready()
    return d


def prompt_headers(tokens):
    """Returns the headers of a call with a prompt of this length."""
    return [("Rillknot-Token-Usage", "%d,10" % tokens), ("Rillknot-Model-Name", "m")]


def ask(d, tokens, node=0):
    """Makes a call with a prompt of this many tokens and returns its answer."""
    return d.call("/s/x", node=node, deadline=8000, headers=prompt_headers(tokens))


def train_estimates(d, node=0):
    """Makes enough short calls for the node to estimate the engines' speed."""
    rng = random.Random(7)
    for _ in range(TRAINING_CALLS):
        assert ask(d, rng.randrange(200, 3000), node).status == 200


def assert_refused(d, node=0):
    """Checks that a long prompt is refused at once as not run, with a Retry-After."""
    a = ask(d, LONG_PROMPT_TOKENS, node)
    assert a.status == 503 and d.runs(a.ident) == 0, (a.status, d.runs(a.ident))
    assert float(a.headers["retry-after"]) > 0 and a.took_s < 0.5


def test_a_long_prompt_for_a_fast_engine_is_served():
    """Guards against a refusal of a long prompt that the engine reads in time."""
    with deployment(FAST_TOKENS_PER_S) as d:
        train_estimates(d)
        assert ask(d, LONG_PROMPT_TOKENS).status == 200


def test_longer_prompts_are_ranked_behind_shorter_ones():
    """Guards against long prompts that engines run before short ones.

    The rank in Rillknot-Request-Priority, 9 being the last, must grow with the length.
    """
    with deployment(FAST_TOKENS_PER_S) as d:
        answers = {tokens: ask(d, tokens) for tokens in (400, 4000, 40000)}
        ranks = {tokens: int(r.get("Rillknot-Request-Priority"))
                 for tokens, a in answers.items() for w in d.workers for r in w.seen
                 if r.get("Rillknot-Attempt-Id") == a.ident}
        assert all(a.status == 200 for a in answers.values())
        assert ranks[400] < ranks[4000] < ranks[40000] <= 9, ranks


def test_a_long_prompt_for_a_slow_engine_is_refused_as_not_run():
    """Guards against long prompts that are sent to engines which cannot meet the target."""
    with deployment(SLOW_TOKENS_PER_S) as d:
        train_estimates(d)
        assert_refused(d)


def test_prediction_errors_are_a_metric():
    """Guards against a prediction error metric that misses calls or is far too high."""
    with deployment(SLOW_TOKENS_PER_S) as d:
        train_estimates(d)
        text = d.metrics(d.nodes[0])
        counts = [float(x) for x in re.findall(
            r'^rillknot_first_byte_error_ms_count\{service="llm".*\} (\S+)$', text, re.M)]
        small = [float(x) for x in re.findall(
            r'^rillknot_first_byte_error_ms_bucket\{service="llm".*le="100"\} (\S+)$', text, re.M)]
        assert sum(counts) == TRAINING_CALLS, text
        assert sum(small) >= 0.7 * TRAINING_CALLS, (small, counts)


def test_an_engine_without_an_estimate_is_tried():
    """Guards against a refusal while no answer has shown how fast the engine is."""
    with deployment(FAST_TOKENS_PER_S) as d:
        assert ask(d, LONG_PROMPT_TOKENS).status == 200


def test_estimates_follow_engines_that_become_faster():
    """Guards against estimates that stay at an engine's former, lower speed."""
    with deployment(SLOW_TOKENS_PER_S) as d:
        train_estimates(d)
        assert_refused(d)
        for w in d.workers:
            w.tokens_per_s = FAST_TOKENS_PER_S
        train_estimates(d)
        train_estimates(d)
        assert ask(d, LONG_PROMPT_TOKENS).status == 200


def test_a_restarted_node_gets_estimates_from_its_peers():
    """Guards against a restarted node that has to measure the engines again."""
    with deployment(SLOW_TOKENS_PER_S, nodes=2) as d:
        train_estimates(d)
        d.nodes[1].kill()
        d.restart_node(1)
        d.wait_ready()
        wait_until(lambda: d.gauge(d.nodes[1], "nodes_heard") == 2)
        time.sleep(0.8)  # at least two reports of the peer
        assert_refused(d, node=1)


def check_estimates_survive_a_kill(away_s=0):
    """Kills all nodes, and lets the store turn all calls away until away_s after that."""
    with deployment(SLOW_TOKENS_PER_S, nodes=2) as d:
        train_estimates(d)
        stored = d.store.objects["rillknot-engines"]
        wait_until(lambda: "recent" in stored and stored["recent"]["spec"]["llm"]["samples"] >= 20)
        spec = stored["recent"]["spec"]["llm"]
        # At 12 tokens a millisecond 1,000 tokens take 83 ms.
        assert 60 < spec["ktoken_ms"] < 120, json.dumps(spec)
        for node in d.nodes:
            node.kill()
        d.store.fault = (lambda req: 503) if away_s else None
        for n in range(2):
            d.restart_node(n)
        time.sleep(away_s)
        d.store.fault = None
        d.wait_ready()
        time.sleep(1 if away_s else 0.5)
        assert_refused(d)


def test_estimates_survive_a_kill_of_all_nodes():
    """Guards against estimates that are lost when all nodes are killed."""
    check_estimates_survive_a_kill()


def test_estimates_survive_a_kill_of_all_nodes_while_the_store_is_away():
    """Guards against nodes that give up reading the estimates after four failures."""
    check_estimates_survive_a_kill(away_s=3)


def test_invalid_estimates_in_the_store_are_ignored():
    """Guards against refusals by invalid estimates that a node reads from the store."""
    with deployment(FAST_TOKENS_PER_S) as d:
        d.store.put("rillknot-engines", "recent",
                    {"llm": {"fixed_ms": 1e9, "ktoken_ms": "x", "samples": -5}, "other": 7})
        d.nodes[0].kill()
        d.restart_node(0)
        d.wait_ready()
        assert ask(d, LONG_PROMPT_TOKENS).status == 200
