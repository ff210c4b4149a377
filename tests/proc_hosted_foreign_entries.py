"""Entries that another writer left among those of the store, under names of their own: they name
nothing that a node could use, and must not keep it from reading the others."""
import concurrent.futures
import time

import odd_objects
from hosted import Hosted, Worker, wait_until

CALLS_PER_VM, CALL_S = 4, 0.1  # side by side, so that all VMs are needed
OBJECT_MAX_BYTES = 1048576  # the largest object that the platform's store takes
NAMES = ("a&b", "i+b", "z#b", "a%b", "i%41", "z b", "a&sinceRev=zzz", "i?stale=1", "z/../b", "a\tb",
         "i\u00e9\U0001f600", "z\"\\", "a\0b", "i;=,@", "&", "+", "#", "%", " ", "%zz", "a" * 700,
         "z%s%n")


def nested(opening, closing, depth):
    return odd_objects.RawJson(opening * depth + "1" + closing * depth)


def deep_values():
    """Return values that are nested up to the size that the store takes."""
    found = []
    for opening, closing in (("[", "]"), ('{"a":', "}"), ('[{"a":', "}]"), ('{"a":[0,', "]}")):
        deepest = (OBJECT_MAX_BYTES - 1000) // len(opening + closing)
        found += [nested(opening, closing, depth) for depth in (600, 5000, 40000, deepest)]
    return found


def dense_values():
    """Return flat values that take many times their size once they are parsed."""
    return [odd_objects.RawJson(text) for text in (
        "[%s0]" % ("{}," * 349000), "[%s0]" % ("[]," * 349000), "[%s0]" % ("0," * 520000),
        '{"address":[%s{}]}' % ("{}," * 340000), '"%s"' % ("{" * 1000000),
        "{%s}" % ",".join('"%x":{}' % i for i in range(80000)))]


def odd_entries(spec):
    """Return a VM's contents with members that no VM can have."""
    addresses = ["127.0.0.1:%s" % port for port in
                 ("0", "65536", "99999", "-1", "4294967376", "18446744073709551617", "1e3",
                  "9" * 400, "")] + ["127.0.0.1", "[::1]:80", "256.0.0.1:80", ":80", "", 80, [], {}]
    numbers = [odd_objects.RawJson(x) for x in
               ("1e999", "-1e999", "9" * 400, "-" + "9" * 400, "18446744073709551616", "1e308",
                "9" * 200000)]
    found = [dict(spec, address=x) for x in addresses]
    for member in ("slots", "seqNo", "coldLeftMs", "born", "leaves_ms"):
        found += [dict(spec, **{member: x}) for x in numbers]
    return found


def deployment(nodes=2, vms=3, page=5):
    d = Hosted(nodes=nodes)
    d.store.close()
    d.store = odd_objects.OddStore()
    d.store.page = page
    d.start()
    for _ in range(vms):
        d.add_worker("plain").work_s = CALL_S
    d.configure([d.route("r", "plain")])
    d.wait_ready()
    return d


def restart_all(d):
    for n in d.nodes:
        n.kill()
    for i in range(len(d.nodes)):
        d.restart_node(i)


def call_all(d, node, what):
    count = CALLS_PER_VM * len(d.workers)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        statuses = list(pool.map(lambda _: d.call("/r/x", node=node).status, range(count)))
    assert statuses == [200] * count, (what, statuses)


def check_serves(d, what):
    """Check that each node serves all calls and uses all VMs."""
    try:
        d.wait_ready(8)
    except AssertionError as e:
        raise AssertionError("not ready, %s" % (what,)) from e
    for w in d.workers:
        w.seen.clear()
    for i in range(len(d.nodes)):
        call_all(d, i, what)
    # A VM that was slow to answer, as on a busy machine, is left alone for a moment.
    end = time.monotonic() + 8
    while not all(w.seen for w in d.workers) and time.monotonic() < end:
        call_all(d, 0, what)
    assert all(w.seen for w in d.workers), (what, [len(w.seen) for w in d.workers])


def check_restarts(d, cases):
    """Restart all nodes beside the entries of each case, which are (kind, name, value)."""
    for what, entries in cases:
        for kind, name, value in entries:
            d.store.put(kind, name, value)
        restart_all(d)
        check_serves(d, what)
        for kind, name, _ in entries:
            d.store.drop(kind, name)


def test_names_that_a_url_has_to_escape_keep_no_list_from_being_read():
    """Guards against the name of another writer's entry that is not escaped in the request for the
    next page of a list: restarted nodes served nothing."""
    for page in (1, 2, 5):
        with deployment(page=page) as d:
            d.store.put("servers", "i-odd", {})
            check_restarts(d, [
                ("%s, pages of %d" % (names, page), [("servers", name, {}) for name in names])
                for names in (NAMES[:7], NAMES[7:14], NAMES[14:])])


def test_a_single_name_that_a_url_has_to_escape_keeps_no_list_from_being_read():
    """Guards against the same where the entry is the only one of its kind and begins each page."""
    with deployment(nodes=1, page=1) as d:
        check_restarts(d, [(repr(name), [("servers", name, [])]) for name in NAMES])


def test_deep_values_up_to_the_store_s_size_keep_no_list_from_being_read():
    """Guards against an entry that is nested so deep that the whole answer counted as too large to
    be parsed: restarted nodes served nothing while it stood."""
    with deployment(nodes=1) as d:
        check_restarts(d, [("%d bytes %s" % (len(v.text), v.text[:8]), [("servers", "a&deep", v)])
                           for v in deep_values()])


def test_dense_values_keep_no_list_from_being_read():
    """Guards against the same by a flat entry that takes much memory once it is parsed, and by
    brackets inside a text."""
    with deployment(nodes=1) as d:
        check_restarts(d, [(v.text[:12], [("servers", "i dense", v)]) for v in dense_values()])


def test_many_large_entries_keep_no_list_from_being_read():
    """Guards against the same by several entries that fit one by one, but not together."""
    values = deep_values()[3::4] + dense_values()
    with deployment(nodes=1, page=4) as d:
        check_restarts(d, [("all", [("servers", "a#%02d" % i, v) for i, v in enumerate(values)])])


def test_such_entries_of_other_kinds_keep_no_node_from_serving():
    """Guards against the same in the other lists that a node reads."""
    kinds = ("config", "rillknot-nodes", "rillknot-streams", "rillknot-quarantine", "rollouts")
    values = (deep_values()[3], deep_values()[7], dense_values()[0])
    with deployment() as d:
        check_restarts(d, [
            (kind, [(kind, name, v) for name, v in zip(("a&b", "m#n", "z z"), values)])
            for kind in kinds])


def test_entries_that_appear_while_nodes_run_keep_no_change_from_being_seen():
    """Guards against running nodes that stop following the list of VMs as such an entry appears in
    its changes."""
    values = deep_values()[3::4] + dense_values()[:3]
    with deployment() as d:
        for i, value in enumerate(values):
            name = NAMES[i]
            d.store.put("servers", name, value)
            d.store.drop("servers", d.workers.pop().id)
            d.add_worker("plain").work_s = CALL_S
            time.sleep(0.5)
            check_serves(d, "running")
            d.store.drop("servers", name)
        assert all(n.popen.poll() is None for n in d.nodes)


def test_an_entry_under_a_name_with_a_nul_replaces_no_vm():
    """Guards against a name that is cut at a NUL byte, and so counts as that of a VM: the VM was
    no longer used."""
    with deployment() as d:
        for change in ({}, {"address": "127.0.0.1:9"}, {"state": "draining"}):
            name = d.workers[0].id + "\0b"
            d.store.put("servers", name, dict(d.workers[0].spec(), **change))
            time.sleep(0.3)
            check_serves(d, change)
            restart_all(d)
            check_serves(d, change)
            d.store.drop("servers", name)
            time.sleep(0.3)
            check_serves(d, change)


def test_an_entry_under_a_long_name_removes_no_vm():
    """Guards against a name that is cut to the size of a VM's, and so counts as that of a VM whose
    entry is removed."""
    with deployment() as d:
        worker = Worker("plain", d.zones[0])
        worker.id, worker.work_s = "i" * 47, CALL_S
        d.workers.append(worker)
        d.store.put("servers", worker.id, worker.spec())
        d.store.put("servers", worker.id + "x", {})
        time.sleep(0.5)
        d.store.drop("servers", worker.id + "x")
        time.sleep(0.5)
        check_serves(d, "removed")


def test_an_entry_too_long_for_a_vm_is_used_by_no_node():
    """Guards against an entry that nodes take from the changes of the list but not from the list:
    its VM was used by running nodes only, and peers were sent its whole text."""
    with deployment() as d:
        worker = d.add_worker("plain")
        d.store.put("servers", worker.id, dict(worker.spec(), pad="x" * 900000))
        d.workers.remove(worker)
        for what in ("running", "restarted"):
            time.sleep(0.5)
            worker.seen.clear()
            check_serves(d, what)
            assert not worker.seen, what
            restart_all(d)
        worker.close()


def test_numbers_and_ports_out_of_range_end_no_node():
    """Guards against a node that ends, or stops following the list, by an entry with a number or a
    port that is out of range."""
    with deployment() as d:
        entries = odd_entries(d.workers[0].spec())
        for i, spec in enumerate(entries):
            d.store.put("servers", "odd %d" % i, spec)
        time.sleep(1)
        check_serves(d, "running")
        restart_all(d)
        check_serves(d, "restarted")
        assert all(n.popen.poll() is None for n in d.nodes)


def test_a_page_without_names_removes_no_vms():
    """Guards against a list that ends at a page whose objects have no names though more follow: the
    VMs on later pages were taken for removed."""
    with deployment(vms=8) as d:
        nameless = []

        def change(answer):
            if answer.get("more") and not nameless:
                nameless.append(answer)
                for o in answer["entries"]:
                    o["metadata"]["name"] = None
            return answer
        d.store.change_answer = change
        d.store.put("other-kind", "x", {})
        d.store.forget_history()
        wait_until(lambda: nameless, 5)
        time.sleep(1)
        check_serves(d, "running")
        assert not [e for e in d.nodes[0].events()
                    if e.get("event") == "vm.changed" and e["what"] == "removed"]
