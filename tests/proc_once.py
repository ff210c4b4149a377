"""Promise 4: what may not be repeated runs at most once. The service stand-in
counts runs by key; the tests kill, freeze and cut what stands between."""
import random
import threading
import time

from cluster import call, get_json, request, wait_for
from fakes import check_truth, cluster, small


def together(fns):
    out = [None] * len(fns)

    def run(i):
        out[i] = fns[i]()
    threads = [threading.Thread(target=run, args=(i,)) for i in range(len(fns))]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return out


def check_all(c, answers):
    """answers: {key: [Answer]}; each key against the services' counts. "Not run"
    is about the past: a later arrival of the key may run it."""
    runs, times = c.runs(), c.run_times()
    for key, got in answers.items():
        for a in got:
            if not a.status:
                continue
            end = a.began if len(got) > 1 else a.ended
            before = key in runs and times[key] < end * 1000
            check_truth(a, 0 if a.verdict == "not-run" and not before
                        else runs.get(key, 0))
    assert all(n == 1 for n in runs.values()), runs
    return runs


def test_one_key_at_all_nodes_at_once():
    with cluster(engines=0) as c:
        answers = {}
        for i in range(20):
            key = "k%d" % i
            answers[key] = together([lambda e=e: call(e.port, "slots/confirm", key)
                                     for e in c.entries])
        runs = check_all(c, answers)
        assert len(runs) == 20
        for got in answers.values():
            assert all(a.whole() and a.body == got[0].body for a in got)
            assert sum(a.headers.get("idempotent-replay") is None for a in got) == 1


def test_a_key_used_for_another_request_is_refused():
    with small(engines=0) as c:
        e = c.entries[0]
        assert call(e.port, "slots/confirm", "k", b'{"slot":1}').whole()
        a = call(e.port, "slots/confirm", "k", b'{"slot":2}')
        assert a.status == 422, a.body
        assert c.runs() == {"k": 1}


def test_no_key_means_one_attempt():
    with small(engines=0) as c:
        c.put_change(2, {"id": "c", "set": {"/services/slots/confirm/key_required": False}})
        c.wait_head(2)
        for mode in ("cut-after", "refuse-run", "crossed", "short"):
            c.fault(c.services[0], mode, 1)
            a = call(c.entries[0].port, "slots/confirm")
            assert a.verdict == "may-have-run", (mode, a.status, a.verdict)
        assert all(n == 1 for n in c.runs().values()), c.runs()


def test_lost_answer_of_the_claim():
    """The claim's write takes effect and its answer is lost: it is read back."""
    with cluster(domains=["klein-hall"], engines=0) as c:
        answers = {}
        for i in range(8):
            c.fault(c.platform, "lose-answer", 1)
            key = "k%d" % i
            answers[key] = [call(c.entries[i % 2].port, "slots/confirm", key)]
        runs = check_all(c, answers)
        assert len(runs) == 8, runs  # each was settled, none refused
        c.fault(c.platform, "")


def test_claims_stay_within_their_share_of_the_platform():
    """Hundreds of keyed calls a second share writes, and none waits for long."""
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
        together([lambda n=n: send(n) for n in range(24)])
        took = time.monotonic() - began
        writes = get_json(c.platform.port, "/_stats")["writes"] - before
        # 8 shards may each make 10 from standing.
        assert writes <= 40 * took + 80 + 8, (writes, took)
        whole = sum(a.whole() for a in answers)
        assert whole == len(answers), (whole, len(answers))
        assert all(n == 1 for n in c.runs().values())
        slow = sorted(a.ended - a.began for a in answers)
        return "%d keyed calls in %.1f s by %d writes (%.1f keys a write); p50 %.0f p99 %.0f ms" % (
            len(answers), took, writes, len(answers) / writes,
            slow[len(slow) // 2] * 1000, slow[int(len(slow) * 0.99)] * 1000)


def test_platform_down_refuses_truthfully():
    with cluster(domains=["klein-hall"], engines=0) as c:
        assert call(c.entries[0].port, "slots/confirm", "before").whole()
        c.fault(c.platform, "down")
        start = time.monotonic()
        answers = {"k%d" % i: [call(c.entries[i % 2].port, "slots/confirm", "k%d" % i)]
                   for i in range(4)}
        took = time.monotonic() - start
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
        check_all(c, answers)
        return "4 refusals in %.1f s" % took


def test_platform_down_goes_on_locally_where_settings_say_so():
    with small(engines=0) as c:
        c.put_change(2, {"id": "c", "set": {"/services/slots/claims_when_down": "local"}})
        c.wait_head(2)
        for i in range(30):  # so that every shard is known before the outage
            call(c.entries[0].port, "slots/confirm", "warm%d" % i)
        c.fault(c.platform, "down")
        a = call(c.entries[0].port, "slots/confirm", "k0")
        b = call(c.entries[0].port, "slots/confirm", "k0")
        assert a.whole() and b.whole(), (a.body, b.body)
        assert c.runs()["k0"] == 1




def test_owner_killed_between_claim_and_answer():
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
        again = [call(e.port, "slots/confirm", key) for e in alive]
        check_all(c, {key: got + again})
        for a in again:
            assert a.verdict in ("may-have-run", "ran"), a.body


def test_owner_frozen_past_a_takeover():
    """The owner stops with a claim in hand, another node takes the shard over,
    the owner wakes and believes it still owns it."""
    with cluster(engines=0) as c:
        keys = ["warm%d" % i for i in range(24)]
        answers = {k: [call(c.entries[0].port, "slots/confirm", k)] for k in keys}
        owners = [e for e in c.entries
                  if any(x.get("event") == "claim.granted" for x in e.events())]
        victim = owners[0]
        others = [e for e in c.entries if e is not victim]
        victim.freeze()
        fresh = ["during%d" % i for i in range(24)]
        for k in fresh + keys:
            answers.setdefault(k, []).append(
                call(others[0].port, "slots/confirm", k,
                     headers={"Rillknot-Deadline-Ms": "8000"}))
        victim.thaw()
        for k in fresh + keys:  # straight at the node that slept
            answers[k].append(call(victim.port, "slots/confirm", k))
        runs = check_all(c, answers)
        done = sum(any(a.whole() for a in answers[k]) for k in fresh)
        assert done >= 20, "only %d of 24 keys were served around the frozen owner" % done
        return "%d of 24 keys served around the frozen owner, %d runs" % (done, len(runs))


def test_two_nodes_that_both_believe_they_own_every_shard():
    """The paths between two nodes are cut both ways: each thinks itself alone.
    Only the store's conditional writes keep them apart."""
    with cluster(domains=["klein-hall"], engines=0, peer_cuts=True) as c:
        a, b = c.entries
        for cut in c.cuts.values():
            cut.cut()
        wait_for(lambda: all(not [m for m in _members(e) if m["state"] == "alive"]
                             for e in (a, b)), 30, "both to be alone")
        answers = {}
        for i in range(30):
            key = "k%d" % i
            answers[key] = together([lambda: call(a.port, "slots/confirm", key),
                                     lambda: call(b.port, "slots/confirm", key)])
        runs = check_all(c, answers)
        served = sum(any(x.whole() for x in got) for got in answers.values())
        assert served >= 25, served
        return "%d of 30 keys served, %d runs" % (served, len(runs))


def _members(e):
    import json
    return json.loads(request(e.port, "GET", "/status").body)["members"]


def test_chaos_with_one_key_space():
    """Kills, freezes, lost answers and outages in a seeded order, while keys are
    sent to any node, often twice."""
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
        runs = check_all(c, answers)
        whole = sum(a.whole() for got in answers.values() for a in got)
        total = sum(len(got) for got in answers.values())
        assert len(runs) > 100, len(runs)
        return "%d arrivals of %d keys, %d whole answers, %d keys run, none twice" % (
            total, len(answers), whole, len(runs))
