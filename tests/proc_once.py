"""Promise 4: a call that may not be repeated runs at most once. The stand-in service
counts runs by key; the tests kill and freeze nodes, cut the paths between them and let
the platform fail."""
import random
import threading
import time

from cluster import call, get_json, request, wait_for
from fakes import check_verdict, cluster, small_cluster


def run_concurrently(functions):
    """Runs each function in a thread of its own. Returns their results in order."""
    results = [None] * len(functions)

    def run(i):
        results[i] = functions[i]()
    threads = [threading.Thread(target=run, args=(i,)) for i in range(len(functions))]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return results


def check_all_verdicts(c, answers):
    """Checks the answers, {key: [Answer]}, against the services' run counts, which are
    returned. Not-run only says that the key had not run by then: a later arrival of the
    same key may run it. With several arrivals, the answer is checked at its start, as
    another arrival may have run the key meanwhile."""
    runs, times = c.runs(), c.run_times()
    for key, got in answers.items():
        for a in got:
            if not a.status:
                continue
            moment = a.began if len(got) > 1 else a.ended
            before = key in runs and times[key] < moment * 1000
            check_verdict(a, 0 if a.verdict == "not-run" and not before
                          else runs.get(key, 0))
    assert all(n == 1 for n in runs.values()), runs
    return runs


def test_one_key_at_all_nodes_at_once():
    """Six nodes receive the same key at once: it must run once, and all callers must
    get the same answer, all but one marked as replayed."""
    with cluster(engines=0) as c:
        answers = {}
        for i in range(20):
            key = "k%d" % i
            answers[key] = run_concurrently([lambda e=e: call(e.port, "slots/confirm", key)
                                             for e in c.entries])
        runs = check_all_verdicts(c, answers)
        assert len(runs) == 20
        for got in answers.values():
            assert all(a.whole() and a.body == got[0].body for a in got)
            assert sum(a.headers.get("idempotent-replay") is None for a in got) == 1


def test_a_key_used_for_another_request_is_refused():
    """A key that is sent again with another body must be refused with 422, not answered
    with the first request's answer."""
    with small_cluster(engines=0) as c:
        e = c.entries[0]
        assert call(e.port, "slots/confirm", "k", b'{"slot":1}').whole()
        a = call(e.port, "slots/confirm", "k", b'{"slot":2}')
        assert a.status == 422, a.body
        assert c.runs() == {"k": 1}


def test_no_key_means_one_attempt():
    """A call without a key must not be retried after any fault under which it may have
    run."""
    with small_cluster(engines=0) as c:
        c.put_change(2, {"id": "c", "set": {"/services/slots/confirm/key_required": False}})
        c.wait_head(2)
        for mode in ("cut-after", "refuse-run", "crossed", "short"):
            c.fault(c.services[0], mode, 1)
            a = call(c.entries[0].port, "slots/confirm")
            assert a.verdict == "may-have-run", (mode, a.status, a.verdict)
        assert all(n == 1 for n in c.runs().values()), c.runs()


def test_lost_answer_of_the_claim():
    """A claim's write takes effect and the platform's answer is lost. The node must
    read the claim back and run the call, once."""
    with cluster(domains=["klein-hall"], engines=0) as c:
        answers = {}
        for i in range(8):
            c.fault(c.platform, "lose-answer", 1)
            key = "k%d" % i
            answers[key] = [call(c.entries[i % 2].port, "slots/confirm", key)]
        runs = check_all_verdicts(c, answers)
        assert len(runs) == 8, runs  # each claim was read back, and no call refused
        c.fault(c.platform, "")


def test_claims_stay_within_their_share_of_the_platform():
    """Hundreds of keyed calls a second must share the allowed 40 writes a second, and
    all must be answered."""
    with cluster(domains=["klein-hall"], engines=0, services=2) as c:
        c.put_change(2, {"id": "w", "set": {"/claim_writes_per_s": 40,
                                            "/services/slots/vm_slots": 200}})
        c.wait_head(2)
        before = get_json(c.platform.port, "/_stats")["writes"]
        answers, began = [], time.monotonic()

        def send(n):
            for i in range(60):
                a = call(c.entries[n % 2].port, "slots/confirm", "s%d-%d" % (n, i))
                answers.append(a)
        run_concurrently([lambda n=n: send(n) for n in range(24)])
        took_s = time.monotonic() - began
        writes = get_json(c.platform.port, "/_stats")["writes"] - before
        # Beyond the rate, each of the 8 shards may write a burst of 10.
        assert writes <= 40 * took_s + 80 + 8, (writes, took_s)
        whole = sum(a.whole() for a in answers)
        assert whole == len(answers), (whole, len(answers))
        assert all(n == 1 for n in c.runs().values())
        durations_s = sorted(a.ended - a.began for a in answers)
        return "%d keyed calls in %.1f s by %d writes (%.1f keys a write); p50 %.0f p99 %.0f ms" % (
            len(answers), took_s, writes, len(answers) / writes,
            durations_s[len(durations_s) // 2] * 1000,
            durations_s[int(len(durations_s) * 0.99)] * 1000)


def test_platform_down_refuses_truthfully():
    """Without the platform no claim can be written: keyed calls must be refused as not
    sent, and a key that ran before must not be reported as not run."""
    with cluster(domains=["klein-hall"], engines=0) as c:
        assert call(c.entries[0].port, "slots/confirm", "before").whole()
        c.fault(c.platform, "down")
        start = time.monotonic()
        answers = {"k%d" % i: [call(c.entries[i % 2].port, "slots/confirm", "k%d" % i)]
                   for i in range(4)}
        took_s = time.monotonic() - start
        for got in answers.values():
            assert got[0].status == 503, got[0].body
            assert "retry-after" in got[0].headers, got[0].body
            assert got[0].headers["rillknot-arrival"] == "not-sent"
        repeat = call(c.entries[1].port, "slots/confirm", "before")
        c.fault(c.platform, "")
        answers["before"] = [repeat]
        for key, got in answers.items():
            got.append(call(c.entries[0].port, "slots/confirm", key))
            assert got[-1].whole(), got[-1].body
        check_all_verdicts(c, answers)
        return "4 refusals in %.1f s" % took_s


def test_platform_down_goes_on_locally_where_settings_say_so():
    """With claims_when_down "local" a node must serve keyed calls without the platform,
    and still run a repeated key once."""
    with small_cluster(engines=0) as c:
        c.put_change(2, {"id": "c", "set": {"/services/slots/claims_when_down": "local"}})
        c.wait_head(2)
        for i in range(30):  # so that the node has read every claim shard before the outage
            call(c.entries[0].port, "slots/confirm", "warm%d" % i)
        c.fault(c.platform, "down")
        a = call(c.entries[0].port, "slots/confirm", "k0")
        b = call(c.entries[0].port, "slots/confirm", "k0")
        assert a.whole() and b.whole(), (a.body, b.body)
        assert c.runs()["k0"] == 1


def test_owner_killed_between_claim_and_answer():
    """The node that claimed the key is killed while the call runs. The other nodes
    can't know its outcome and must not run the key again or report it as not run."""
    with cluster(engines=0, service_args=["--work-ms", "800"]) as c:
        key = "k0"
        got = []
        t = threading.Thread(target=lambda: got.append(
            call(c.entries[0].port, "slots/confirm", key)))
        t.start()
        wait_for(lambda: c.runs().get(key), 20, "the run")
        owner = next(e for e in c.entries
                     if any(x.get("event") == "claim.granted" for x in e.events()))
        owner.kill()
        t.join()
        alive = [e for e in c.entries if e is not owner]
        repeats = [call(e.port, "slots/confirm", key) for e in alive]
        check_all_verdicts(c, {key: got + repeats})
        for a in repeats:
            assert a.verdict in ("may-have-run", "ran"), a.body


def test_owner_frozen_past_a_takeover():
    """The owner of claim shards is frozen, another node takes them over, and the owner
    wakes and believes that it still owns them. No key may run twice."""
    with cluster(engines=0) as c:
        keys = ["warm%d" % i for i in range(24)]
        answers = {k: [call(c.entries[0].port, "slots/confirm", k)] for k in keys}
        owners = [e for e in c.entries
                  if any(x.get("event") == "claim.granted" for x in e.events())]
        frozen = owners[0]
        others = [e for e in c.entries if e is not frozen]
        frozen.freeze()
        new_keys = ["during%d" % i for i in range(24)]
        for k in new_keys + keys:
            answers.setdefault(k, []).append(
                call(others[0].port, "slots/confirm", k,
                     headers={"Rillknot-Deadline-Ms": "8000"}))
        frozen.thaw()
        for k in new_keys + keys:  # at the node that was frozen
            answers[k].append(call(frozen.port, "slots/confirm", k))
        runs = check_all_verdicts(c, answers)
        done = sum(any(a.whole() for a in answers[k]) for k in new_keys)
        assert done >= 20, "only %d of 24 keys were served while the owner was frozen" % done
        return "%d of 24 keys served while the owner was frozen, %d runs" % (done, len(runs))


def test_two_nodes_that_both_believe_they_own_every_shard():
    """The paths between two nodes are cut both ways, so that each believes that it is
    the only one. Only the store's conditional writes then keep a key from running
    twice."""
    with cluster(domains=["klein-hall"], engines=0, peer_cuts=True) as c:
        a, b = c.entries
        for cut in c.cuts.values():
            cut.cut()
        wait_for(lambda: all(not [m for m in members_of(e) if m["state"] == "alive"]
                             for e in (a, b)), 30, "each node to see no other alive")
        answers = {}
        for i in range(30):
            key = "k%d" % i
            answers[key] = run_concurrently([lambda: call(a.port, "slots/confirm", key),
                                             lambda: call(b.port, "slots/confirm", key)])
        runs = check_all_verdicts(c, answers)
        served = sum(any(x.whole() for x in got) for got in answers.values())
        assert served >= 25, served
        return "%d of 30 keys served, %d runs" % (served, len(runs))


def members_of(e):
    """Returns the member list of an entry node."""
    import json
    return json.loads(request(e.port, "GET", "/status").body)["members"]


def test_chaos_with_one_key_space():
    """Kills, freezes, lost answers and outages in a seeded order, while keys are sent
    to any node, often twice: none may run twice, and no verdict may be false."""
    rng = random.Random(7)
    with cluster(engines=0) as c:
        answers, lock, stop = {}, threading.Lock(), threading.Event()

        def send(n):
            r = random.Random(n)
            while not stop.is_set():
                key = "k%d" % r.randrange(400)
                live = [e for e in c.entries if e.popen.poll() is None]
                a = call(r.choice(live).port, "slots/confirm", key, timeout=20,
                         headers={"Rillknot-Deadline-Ms": "4000"})
                with lock:
                    answers.setdefault(key, []).append(a)
        senders = [threading.Thread(target=send, args=(n,)) for n in range(8)]
        for t in senders:
            t.start()
        for _ in range(12):
            e = rng.choice(c.entries)
            fault = rng.choice(["kill", "freeze", "lose", "down", "service"])
            if fault == "kill":
                e.kill()
                c.add_entry(e.name, e.domain)
            elif fault == "freeze":
                e.freeze()
                time.sleep(rng.uniform(0.2, 1.5))
                e.thaw()
            elif fault == "lose":
                c.fault(c.platform, "lose-answer", 5)
            elif fault == "down":
                c.fault(c.platform, rng.choice(["down", "cut"]))
                time.sleep(rng.uniform(0.2, 1.0))
                c.fault(c.platform, "")
            else:
                c.fault(rng.choice(c.services), rng.choice(
                    ["cut-after", "refuse-run", "short", "crossed"]), 3)
            time.sleep(0.3)
        stop.set()
        for t in senders:
            t.join()
        runs = check_all_verdicts(c, answers)
        whole = sum(a.whole() for got in answers.values() for a in got)
        total = sum(len(got) for got in answers.values())
        assert len(runs) > 100, len(runs)
        return "%d arrivals of %d keys, %d complete answers, %d keys run, none twice" % (
            total, len(answers), whole, len(runs))


def test_keys_of_an_owner_without_settings_are_claimed_elsewhere():
    """An owner that has just restarted, and has no settings yet, must not end calls.

    Guards against calls that are answered 503 "may have run" although nobody ran them, as
    their key's owner can't look up the key yet.
    """
    with cluster(domains=["klein-hall", "eros-hall"], engines=0, entries=1,
                 platform_cut=True, peer_cuts=True) as c:
        a, b = c.entry("klein-hall-e0"), c.entry("eros-hall-e0")
        wait_for(lambda: all(call(a.port, "slots/confirm", "w%d" % i).whole()
                             for i in range(8)), 30, "keys to be claimed")
        c.platform_proxies[b.name].cut()
        c.cuts[b.name, "control"].cut()
        c.cuts[a.name, "control"].cut()
        b.kill()
        c.add_entry(b.name, b.domain)
        answers = run_concurrently([lambda i=i: call(a.port, "slots/confirm", "k%d" % i)
                                    for i in range(40)])
        failed = [(x.status, x.verdict, x.body) for x in answers if not x.whole()]
        assert not failed, (len(failed), failed[0])
        assert all(n == 1 for n in c.runs().values())
