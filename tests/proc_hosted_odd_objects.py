"""Objects of the store with odd values: a node neither ends nor stops serving on what it reads,
and serves again once sound objects are written."""
import itertools
import re
import time

import odd_objects
from hosted import Hosted, wait_until

MAX = 2 ** 63 - 1
SECONDS = 10
SEEDS = (2, 4)


def deployment(nodes=1):
    d = Hosted(nodes=nodes)
    d.store.close()
    d.store = odd_objects.OddStore()
    d.start()
    d.add_worker("plain")
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


def logged(d, event):
    return [e for e in d.nodes[0].events() if e.get("event") == event]


def test_names_that_no_header_can_carry_are_left_out():
    """Guards against names with an end of line, which added headers of their own to requests to
    VMs: of an organisation, and of a VM in the list that others write too."""
    tenant = {"unit": "token_stream", "plainTokens": 1, "ratePerS": 0, "burst": 0}
    with Hosted() as d:
        worker, odd = d.add_worker("plain"), d.add_worker("plain")
        d.configure([d.route("r", "plain")],
                    tenants=[dict(tenant, name="clinic\r\nX-Injected: 1", apiKeys=["key-1"]),
                             dict(tenant, name="clinic\0b", apiKeys=["key-2"]),
                             dict(tenant, name="lab", apiKeys=["key-3"])])
        d.wait_ready()
        d.store.drop("servers", odd.id)
        odd.id = "i-1\r\nX-Injected: 1"
        d.store.put("servers", odd.id, odd.spec())
        time.sleep(1)
        answers = {key: [d.call("/r/x", key=key).status for _ in range(10)]
                   for key in ("key-1", "key-2", "key-3")}
        assert not [r for w in (worker, odd) for r in w.seen if r.get("X-Injected")]
        assert answers == {"key-1": [401] * 10, "key-2": [401] * 10, "key-3": [200] * 10}, answers


def test_settings_with_a_time_beyond_any_clock_serve_calls():
    """Guards against times of the settings that overflow when they are added to a clock.

    The deadline of each call was in the past then, and with the undefined sanitizer the node
    ended.
    """
    with deployment() as d:
        d.configure([d.route("r", "plain", timeoutMs=MAX, sloMs=MAX, itlTargetMs=MAX),
                     d.route("s", "plain", "streaming", timeoutMs=MAX, sloMs=MAX,
                             resumable=True)])
        assert d.call("/r/x", deadline=MAX).status == 200
        assert d.call("/s/x", deadline=MAX).status == 200
        bounded = {e["field"] for e in logged(d, "object.number_bounded")}
        assert bounded == {"timeoutMs", "sloMs", "itlTargetMs"}, bounded
        assert d.nodes[0].popen.poll() is None


def test_settings_with_a_version_that_none_can_follow_are_rejected():
    """Guards against a version that is so large that no later settings take effect."""
    with deployment() as d:
        before = d.version
        for version in (MAX, 2 ** 53, 1e300, -MAX, float("nan")):
            seen = len(logged(d, "settings.rejected")) + len(logged(d, "settings.version"))
            d.store.put("config", "main", dict(d.store.objects["config"]["main"]["spec"],
                                               version=version))
            wait_until(lambda n=seen: len(logged(d, "settings.rejected")) +
                       len(logged(d, "settings.version")) > n, 5)
        assert d.gauge(d.nodes[0], "settings_version") == before
        d.configure([d.route("later", "plain")])
        assert d.call("/later/x").status == 200


def test_a_lease_with_an_epoch_beyond_all_others_is_taken_over():
    """Guards against a lease's epoch that overflows when the next leader counts on from it.

    The next epoch was negative then, so that the cloud refused all of the leader's calls, and
    with the undefined sanitizer the node ended, and each one after it.
    """
    with deployment(nodes=2) as d:
        wait_until(lambda: d.cloud.usage, 15)
        for epoch in (MAX, -MAX):
            fence = d.cloud.highest_fence["usage"]
            d.store.put("rillknot-leases", "duties",
                        {"holder": "edge-gone/1", "addr": "127.0.0.1:9", "epoch": epoch, "beat": 1})
            wait_until(lambda f=fence: d.cloud.highest_fence["usage"] > f, 15)
        assert all(n.popen.poll() is None for n in d.nodes)
        assert not d.cloud.refused, d.cloud.refused
        assert any(logged(d, "lease.rejected"))


def change_numbers(d, value):
    """Have the store send value as its revision, and as that of each object; None: leave it out."""
    def change(answer):
        objects = [answer] + answer.get("entries", []) + \
            [e["object"] for e in answer.get("events", [])]
        for o in objects:
            member, name = (o["metadata"], "revision") if "metadata" in o else (o, "at")
            member[name] = value
            if value is None:
                del member[name]
        return answer
    d.store.change_answer = change


def check_serves_again(d):
    d.store.change_answer = None
    d.configure([d.route("later", "plain")])
    assert d.call("/later/x").status == 200
    assert all(n.popen.poll() is None for n in d.nodes)


def test_revisions_beyond_the_largest_are_not_counted_on():
    """Guards against a revision of the store that overflows when its era is added to it."""
    with deployment() as d:
        for number in (MAX, -MAX, 2 ** 53):
            change_numbers(d, number)
            time.sleep(0.5)
            d.configure([d.route("r", "plain")], wait=False)
            time.sleep(0.5)
        check_serves_again(d)
        assert any(logged(d, "store.revision_rejected"))


TOO_DEEP = odd_objects.RawJson("[" * 5000 + "]" * 5000)
NO_JSON = odd_objects.RawJson("{]")


def test_settings_that_cannot_be_parsed_do_not_outlast_their_replacement():
    """Guards against a watch that meets an answer without end that can't be parsed: the object
    stays in the changes since the watch's revision, also after it was replaced."""
    with deployment(nodes=2) as d:
        d.store.put("config", "main", NO_JSON)
        wait_until(lambda: any(e["kind"] == "config" for e in logged(d, "store.lost")), 5)
        version = d.configure([d.route("later", "plain")], wait=False)
        d.wait_version(version, timeout=5)
        assert d.call("/later/x").status == 200


def test_an_entry_of_a_vm_that_cannot_be_parsed_does_not_outlast_its_removal():
    """Guards against the same in the list of VMs: no later VM would be used."""
    with deployment(nodes=2) as d:
        d.store.put("servers", "i-odd", NO_JSON)
        wait_until(lambda: any(e["kind"] == "servers" for e in logged(d, "store.lost")), 5)
        d.store.drop("servers", "i-odd")
        d.add_worker("other")
        d.configure([d.route("later", "other")], services=("plain", "other"))
        wait_until(lambda: d.call("/later/x").status == 200, 5)


def test_an_entry_that_is_nested_deep_keeps_no_list_from_being_read():
    """Guards against an object that no parser takes and the others that are lost with it: running
    nodes did not use later VMs, and restarted ones did not get ready."""
    with deployment(nodes=2) as d:
        d.store.put("servers", "i-deep", TOO_DEEP)
        d.store.put("rillknot-nodes", "deep", TOO_DEEP)
        d.add_worker("other")
        d.configure([d.route("later", "other")], services=("plain", "other"))
        wait_until(lambda: d.call("/later/x").status == 200, 5)
        for i in range(2):
            d.nodes[i].kill()
        for i in range(2):
            d.restart_node(i)
        d.wait_ready()
        for i in range(2):
            assert d.call("/later/x", node=i).status == 200


def test_a_page_that_is_no_list_removes_no_vms():
    """Guards against a list of which a later page is an odd answer: the VMs from there on were
    taken for removed, and not used again until their entries changed."""
    with deployment(nodes=2) as d:
        for _ in range(11):  # more than two pages
            d.add_worker("plain")
        d.configure([d.route("r", "plain")])
        wait_until(lambda: len([e for e in logged(d, "vm.changed") if e["what"] == "added"]) == 12,
                   5)
        odd = []

        def change(answer):
            entries = answer.get("entries", [])
            if not answer.get("more") and any(o["metadata"]["name"] == last for o in entries):
                odd.append(answer)
                return {"at": answer["at"]}
            return answer

        last = max(w.id for w in d.workers)
        d.store.change_answer = change
        d.store.put("servers", "a-odd", NO_JSON)
        wait_until(lambda: any(e["kind"] == "servers" for e in logged(d, "store.lost")), 5)
        d.store.drop("servers", "a-odd")
        wait_until(lambda: odd, 5)
        time.sleep(1)
        d.store.change_answer = None
        assert not [e for e in logged(d, "vm.changed") if e["what"] == "removed"]
        check_serves_again(d)


def test_a_list_that_is_not_read_to_its_end_removes_no_vms():
    """Guards against a list with too many pages that counts as complete: the VMs on the pages
    that were not read were taken for removed."""
    with deployment() as d:
        d.configure([d.route("r", "plain")])
        wait_until(lambda: d.call("/r/x").status == 200, 5)
        answer, numbers = d.store._answer, itertools.count()

        def answer_more(req):
            status, value = answer(req)
            if "events" in value:
                return 410, {"error": "history is gone"}
            if "servers" in req.target and "entries" in value:
                name = "a%07d" % next(numbers)
                filler = {"metadata": {"name": name, "revision": d.store.revision}, "spec": {}}
                value = dict(value, entries=[filler], more=True)
            return status, value
        d.store._answer = answer_more
        end = time.monotonic() + 6
        while time.monotonic() < end:
            assert d.call("/r/x").status == 200
            time.sleep(0.02)
        assert next(numbers) > 256  # a list that was read to the limit
        assert not [e for e in logged(d, "vm.changed") if e["what"] == "removed"]
        d.store._answer = answer
        check_serves_again(d)


def test_a_store_that_names_no_revision_is_not_asked_without_pause():
    """Guards against a node that lists at once again, thousands of times a second, as the list
    names no revision to watch from."""
    with deployment() as d:
        change_numbers(d, None)
        d.configure([d.route("r", "plain")], wait=False)
        time.sleep(0.5)
        before, seconds = len(d.store.calls), 3
        time.sleep(seconds)
        rate = (len(d.store.calls) - before) / seconds
        check_serves_again(d)
        assert rate < 40, rate
    return "%d calls/s" % rate


ODD_RECORD = {
    "wall_ms": -MAX - 1, "era": MAX, "restored_wall_ms": MAX, "nodes": 2 ** 31 - 1,
    "largest": 2 ** 31 - 1, "capacity": 1, "shares": [float("nan"), MAX],
    "used": {"clinic": [float("nan"), -1e300], "x" * 300: 1}, "asking": {"clinic": 1e300},
    "usage_wall_ms": MAX, "usage": {"9223372036854775807": {"clinic": 5}, "x": {"x" * 300: -1}}}


def test_an_odd_record_keeps_no_restarted_node_from_serving():
    """Guards against a number of the persisted record that a restarted node counts on.

    With the number of nodes at 2^31, a node waited for months before it read the lists. With a
    restore of the store in the future, no leader reported a window any more, and each wrote that
    time again.
    """
    with deployment(nodes=2) as d:
        wait_until(lambda: d.cloud.usage, 15)
        for n in d.nodes:
            n.kill()
        d.store.put("rillknot-quotas", "recent", ODD_RECORD)
        d.store.put("rillknot-nodes", "edge-odd", {"addr": "9" * 300, "domain": [], "capacity": MAX})
        d.store.put("rillknot-nodes", "x" * 300, {"addr": "127.0.0.1:9", "capacity": 0.5})
        reported = len(d.cloud.usage)
        for i in range(2):
            d.restart_node(i)
        d.wait_ready()
        wait_until(lambda: d.call("/r/x").status == 200, 5)
        wait_until(lambda: len(d.cloud.usage) > reported + 1, 15)
        assert {e["node"][:8] for e in logged(d, "mesh.entry_rejected")} == {"edge-odd", "xxxxxxxx"}
        assert all(n.popen.poll() is None for n in d.nodes)


LARGE_TEXTS = {
    "an answer of many numbers": (None, b'{"entries":[' + b"0," * 5000000 + b'0],"at":200}'),
    "an answer of many empty objects": (None, b'{"entries":[' + b"{}," * 3000000 + b'{}],"at":200}'),
    "routes without members": ("config", '{"version":9999,"routes":[%s{}],"services":[]}' %
                               ("{}," * 330000)),
    "services without members": ("config", '{"version":9998,"routes":[],"services":[%s{}]}' %
                                 ("{}," * 330000)),
    "keys": ("config", '{"version":9997,"routes":[],"services":[],"tenants":[{"name":"clinic",'
             '"apiKeys":[%s"a"]}]}' % ('"a",' * 250000)),
    "organisations of a record": ("rillknot-quotas", '{"used":{%s"a":[]}}' % "".join(
        '"%x":[],' % i for i in range(90000))),
}


def test_large_texts_are_held_in_little_memory():
    """Guards against a node that ends for lack of memory: a text of the store that takes many
    times its size once it is parsed."""
    peaks = {}
    for what, (kind, text) in LARGE_TEXTS.items():
        with deployment() as d:
            if kind is None:
                d.store.odd_body = lambda body, t=text: t
                d.configure([d.route("r", "plain")], wait=False)
            elif kind == "config":
                d.store.put("config", "main", odd_objects.RawJson(text))
            else:
                d.nodes[0].kill()
                d.store.put(kind, "recent", odd_objects.RawJson(text))
                d.restart_node(0)
            time.sleep(2)
            wait_until(lambda: d.ready(d.nodes[0]), 10)
            with open("/proc/%d/status" % d.nodes[0].popen.pid) as f:
                peaks[what] = int(re.search(r"VmHWM:\s+(\d+)", f.read()).group(1)) // 1024
    if not any(x in d.build for x in ("address", "thread", "oldaddr")):
        assert max(peaks.values()) < 80, peaks
    return "%d MB at most" % max(peaks.values())


MANY_VMS, PAGE = 7000, 500


def test_a_long_list_of_vms_is_read():
    """Guards against a node that never gets ready as the list of a large fleet's VMs takes much
    memory, though each of its pages does not."""
    with deployment() as d:
        d.nodes[0].kill()
        listed = next(iter(d.store.objects["servers"].values()))["spec"]
        spec = dict(listed, service="other", stage="combined",
                    models=[{"name": "m", "version": 1, "adapters": []}])
        d.store.page = PAGE
        with d.store.cond:
            for i in range(MANY_VMS):
                d.store._write("servers", "i-%08x" % i,
                               dict(spec, address="127.0.0.1:%d" % (1024 + i)))
        d.restart_node(0)
        d.wait_ready()
        assert d.call("/r/x").status == 200


def test_entries_too_long_for_a_vm_do_not_keep_the_list_from_being_read():
    """Guards against a node that serves nothing after a start as another writer's entries take
    up the memory that a list may take."""
    with deployment() as d:
        d.nodes[0].kill()
        listed = next(iter(d.store.objects["servers"].values()))["spec"]
        d.store.page = 4
        with d.store.cond:
            for i in range(40):
                d.store._write("servers", "i-%08x" % i, dict(listed, pad="x" * 900000))
        d.restart_node(0)
        d.wait_ready()
        assert d.call("/r/x").status == 200


def test_nodes_outlive_odd_values_of_any_object():
    """Guards against a node that ends, stays busy or does not serve again after an odd value in
    any object of the store, whichever reader meets it."""
    served = 0
    for seed in SEEDS:
        run = odd_objects.run_seed(seed, SECONDS)
        assert not run.problems, odd_objects.report(run)
        served += run.served
    assert served > 20, served
    return "%d calls served" % served
