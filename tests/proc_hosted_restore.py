"""Tests of a store that comes back from an older copy.

What was written since the copy is lost, its revisions are given out again, and the header
Store-Era rises. Operators and VMs write again what they had written.
"""
import collections
import threading
import time

from hosted import wait_until
from proc_hosted_bridges import NODES, wait_settled
from proc_hosted_fleet import fleet

DRAIN_S = 2.0  # drainMs
# A VM that the restored list lacks may be used this long: 0.6 s until the nodes notice the
# store's return, and 1.9 s in which VMs register again.
GRACE_S = 2.5


def raise_revision(d, writes):
    """Raises the store's revision by objects that no node reads."""
    for n in range(writes):
        d.store.put("others", "o%d" % n, {"number": n})


def list_a_vm_after_the_copy(d):
    """Returns a copy of the store and a VM that was listed after it and is in use.

    Its revision, which all nodes know, is 40 above that of the copy.
    """
    copy = d.store.copy()
    raise_revision(d, 40)
    lost = d.add_worker("plain", zone=d.zones[1])
    revision = d.store.revision
    wait_until(lambda: all(d.gauge(n, "list_revision") >= revision for n in d.nodes))
    return copy, lost


def check_unused(d, vm):
    """Checks that calls to all nodes succeed and that none reaches the VM."""
    before = len(vm.seen)
    for n in range(len(d.nodes)):
        for _ in range(5):
            assert d.call("/r/x", node=n).status == 200
    late = len(vm.seen) - before
    assert not late, "%d calls reached the VM" % late


def test_a_vm_removed_after_a_restore_gets_no_calls_from_any_node():
    """Guards against bridges that don't pass on changes whose revisions fell in a restore.

    The bridges read the removal of a VM, but compared its revision with the higher one from
    before the restore and didn't send it to the other nodes. These called the VM 3.2 s
    later, where 3.0 s are allowed, and would have done so until the revisions caught up.
    """
    with fleet(nodes=NODES, workers=3) as d:
        wait_settled(d)
        copy, lost = list_a_vm_after_the_copy(d)
        d.store.restore(copy, away_s=1)
        time.sleep(1)
        d.store.put("servers", lost.id, lost.spec())
        time.sleep(1)
        removed = d.workers[0]
        d.store.drop("servers", removed.id)
        time.sleep(DRAIN_S)
        check_unused(d, removed)


def test_a_vm_removed_during_a_restore_gets_no_calls():
    """Guards against watches that go on in a history that the store no longer has.

    The restored store had given out more revisions than were known at the nodes before
    their watches came back, so that none was answered 410.
    """
    with fleet(nodes=3, workers=3) as d:
        copy, lost = list_a_vm_after_the_copy(d)
        removed = d.workers[0]

        def write_past_the_known_revision():
            d.store.drop("servers", removed.id)
            raise_revision(d, 60)
            d.store.put("servers", lost.id, lost.spec())
        d.store.restore(copy, away_s=0.5, before_return=write_past_the_known_revision)
        time.sleep(GRACE_S)
        check_unused(d, removed)


def test_a_vm_that_left_before_a_restore_is_unused_until_it_registers_again():
    """Guards against calls to a removed VM whose entry comes back with an older copy."""
    with fleet(nodes=3, workers=3) as d:
        copy, lost = list_a_vm_after_the_copy(d)
        left = d.workers[0]
        d.store.drop("servers", left.id)
        time.sleep(0.5)
        d.store.restore(copy, away_s=0.5)
        d.store.put("servers", lost.id, lost.spec())
        time.sleep(1.5)
        check_unused(d, left)
        d.store.put("servers", left.id, left.spec())
        before = len(left.seen)
        wait_until(lambda: d.call("/r/x").status == 200 and len(left.seen) > before, 3)


def test_a_vm_that_the_restored_copy_lacks_is_used_until_it_registers_again():
    """Guards against refused calls while VMs that registered after the copy do so again."""
    with fleet(nodes=3, workers=3) as d:
        copy = d.store.copy()
        raise_revision(d, 40)
        d.add_worker("late", zone=d.zones[1])
        late = d.workers[-1]
        d.configure([d.route("r", "plain"), d.route("s", "late")], services=("plain", "late"))
        wait_until(lambda: all(d.call("/s/x", node=n).status == 200 for n in range(3)))
        d.store.restore(copy, away_s=0.5)
        returned = time.monotonic()
        while time.monotonic() < returned + 3:
            if time.monotonic() > returned + 1.5 and late.id not in d.store.objects["servers"]:
                d.store.put("servers", late.id, late.spec())
            assert [d.call("/s/x", node=n).status for n in range(3)] == [200] * 3
            time.sleep(0.05)


def test_an_answer_without_a_valid_or_with_an_older_era_changes_nothing():
    """Guards against belief in answers of a state that the store no longer has."""
    with fleet(nodes=1, workers=2, zones=("a-hall",)) as d:
        removed, real = d.workers[0], d.store.answer_era
        d.store.drop("servers", removed.id)
        wait_until(lambda: any(e.get("what") == "removed" for e in d.nodes[0].events()))
        d.store.restore(d.store.copy())
        wait_until(lambda: d.gauge(d.nodes[0], "store_era") == d.store.era, 5)
        for era in (None, "1", "x", "-3", "3.5"):
            d.store.answer_era = lambda value=era: value
            d.store.put("servers", removed.id, removed.spec())
            time.sleep(0.8)
            check_unused(d, removed)
            d.store.drop("servers", removed.id)
        assert any(e.get("event") == "store.answer_rejected" for e in d.nodes[0].events())
        d.store.answer_era = real
        d.store.put("servers", removed.id, removed.spec())
        before = len(removed.seen)
        wait_until(lambda: d.call("/r/x").status == 200 and len(removed.seen) > before, 5)


def test_an_era_far_ahead_is_left_again():
    """Guards against one odd answer after which all later answers of the store are rejected."""
    with fleet(nodes=2) as d:
        d.store.answer_era = lambda: "4000000"
        d.configure([d.route("r", "plain")], wait=False)
        wait_until(lambda: any(e["event"] == "store.restored" for e in d.nodes[0].events()), 5)
        d.store.answer_era = lambda: str(d.store.era)
        version = d.configure([d.route("later", "plain")], wait=False)
        d.wait_version(version, timeout=10)
        assert d.call("/later/x").status == 200


def test_one_odd_era_changes_nothing():
    """Guards against a single answer with a higher era after which all true ones are rejected."""
    with fleet(nodes=1, zones=("a-hall",)) as d:
        for era in ("2", "900", "4000000"):
            odd = [era]
            d.store.answer_era = lambda: odd.pop() if odd else str(d.store.era)
            wait_until(lambda: not odd)
            version = d.configure([d.route("r", "plain"), d.route("e" + era, "plain")], wait=False)
            d.wait_version(version, timeout=3)
        assert not any(e["event"] == "store.restored" for e in d.nodes[0].events())


def spread_an_odd_era(d, era):
    """Has the store name an era until some node believes it, and the true one from then on."""
    d.store.answer_era = lambda: era
    d.configure([d.route("r", "plain")], wait=False)
    wait_until(lambda: any(e["event"] == "store.restored" for n in d.nodes for e in n.events()), 5)
    d.store.answer_era = lambda: str(d.store.era)


def test_an_odd_era_that_was_believed_stops_neither_removals_nor_reports():
    """Guards against nodes that know an odd era from peers, and take part in its end apart.

    Their revisions would differ, so that removals of VMs don't reach all of them, or each
    would count the true era higher than the other. A restarted node knows none of it.
    """
    for era in ("4", "4000000"):
        with fleet(nodes=NODES, workers=3) as d:
            wait_settled(d)
            threads = call_until(d, time.monotonic() + 30)
            wait_until(lambda: len(d.cloud.usage) > 1, 10)
            spread_an_odd_era(d, era)
            time.sleep(8)
            removed = d.workers[0]
            d.store.drop("servers", removed.id)
            time.sleep(DRAIN_S + 1)
            check_unused(d, removed)
            eras = {d.gauge(n, "store_era") for n in d.nodes}
            assert len(eras) == 1, eras
            check_reports_go_on(d)
            d.nodes[0].kill()
            d.restart_node(0)
            d.configure([d.route("r", "plain"), d.route("later", "plain")], wait=False)
            d.wait_version(d.version, timeout=10)
            for t in threads:
                t.join()


def test_settings_stay_in_force_over_a_restore():
    """Guards against settings that go back to an older version, or that stay at one.

    The copy has a version that was replaced; the operator writes the newest one again, and
    a later one has a lower revision than what nodes knew before.
    """
    with fleet(nodes=NODES) as d:
        wait_settled(d)
        copy = d.store.copy()
        raise_revision(d, 40)
        newest = d.configure([d.route("r", "plain"), d.route("new", "plain")])
        spec = d.store.objects["config"]["main"]["spec"]
        d.store.restore(copy, away_s=1)
        time.sleep(1)
        d.store.put("config", "main", spec)
        assert {d.gauge(n, "settings_version") for n in d.nodes} == {newest}
        d.configure([d.route("r", "plain"), d.route("newer", "plain")], wait=False)
        d.wait_version(d.version, timeout=3)
        for n in range(NODES):
            assert d.call("/newer/x", node=n).status == 200


def call_until(d, end):
    """Sends calls to all running nodes until a time, from a thread for each."""
    def send(node):
        while time.monotonic() < end and d.nodes[node].popen.poll() is None:
            try:
                d.call("/r/x", node=node)
            except OSError:
                return
            time.sleep(0.02)
    threads = [threading.Thread(target=send, args=(n,)) for n in range(len(d.nodes))]
    for t in threads:
        t.start()
    return threads


def kill_leader(d):
    """Kills the node that reported usage last, and returns its name."""
    leader = d.cloud.usage[-1][2]
    next(n for n in d.nodes if n.name == leader).kill()
    return leader


def check_duties(d):
    """Checks that no fence has two holders and that no window has two counts."""
    holders, counts = collections.defaultdict(set), collections.defaultdict(set)
    for window, by_org, leader, fence in d.cloud.usage:
        holders[fence].add(leader)
        counts[window].add(tuple(sorted(by_org.items())))
    assert all(len(h) == 1 for h in holders.values()), dict(holders)
    assert all(len(c) == 1 for c in counts.values()), dict(counts)


def test_a_restore_gives_no_fence_to_two_leaders_and_no_window_two_counts():
    """Guards against duties done on two histories, each by another leader.

    The copy has the lease of the first leader. The second one's lease and counts are lost:
    the third took the second one's fencing token again, and reported windows again that
    the second had reported, with counts of its own.
    """
    with fleet(nodes=4, workers=3) as d:
        threads = call_until(d, time.monotonic() + 22)
        wait_until(lambda: len(d.cloud.usage) > 2)
        copy = d.store.copy()
        first = kill_leader(d)
        wait_until(lambda: sum(u[2] != first for u in d.cloud.usage) > 2, 12)
        second = kill_leader(d)
        d.store.restore(copy, away_s=0.5)
        wait_until(lambda: any(u[2] not in (first, second) for u in d.cloud.usage), 15)
        time.sleep(2)
        for t in threads:
            t.join()
        check_duties(d)


def test_a_leader_goes_on_after_a_restore_without_another_count():
    """Guards against windows that are reported twice, or not, by a leader that lives on."""
    with fleet(nodes=3, workers=3) as d:
        threads = call_until(d, time.monotonic() + 14)
        wait_until(lambda: len(d.cloud.usage) > 2)
        copy = d.store.copy()
        time.sleep(3)
        d.store.restore(copy, away_s=0.5)
        d.store.restore(copy, away_s=0.5)
        for t in threads:
            t.join()
        check_duties(d)
        windows = sorted({u[0] for u in d.cloud.usage})
        missing = set(range(windows[0], windows[-1])) - set(windows)
        assert not missing, (missing, windows)


def kill_all(d):
    for node in d.nodes:
        node.kill()


def restart_all(d):
    for n in range(len(d.nodes)):
        d.restart_node(n)


def served_until_reported(d, windows):
    """Starts calls to all nodes, and waits until so many windows have been reported."""
    threads = call_until(d, time.monotonic() + 60)
    wait_until(lambda: len(d.cloud.usage) >= windows, 30)
    return threads


def check_reports_go_on(d):
    """Checks that no window has two counts, and that windows are reported again."""
    newest = max(u[0] for u in d.cloud.usage)
    wait_until(lambda: max(u[0] for u in d.cloud.usage) > newest + 3, 20)
    check_duties(d)


def drill_beside_a_kill(copy_age_s, away_s, down_s, **bounds):
    """Kills all nodes while the store is away and then comes back from an older copy.

    Windows are reported about 1.5 s after their end, so that the copy lacks the counts of
    those that were reported last.
    """
    with fleet(nodes=3, workers=3, bounds=bounds) as d:
        served_until_reported(d, 3)
        copy = d.store.copy()
        time.sleep(copy_age_s)
        kill_all(d)
        away = threading.Thread(target=d.store.restore, args=(
            copy, away_s, d.store.write_platform_state_again))
        away.start()
        time.sleep(down_s)
        restart_all(d)
        away.join()
        check_reports_go_on(d)


def test_a_kill_of_all_nodes_beside_a_restore_gives_no_window_two_counts():
    """Guards against persisted state that counts as read because the store was away.

    The record's era shows a node that started later that the store was restored. After four
    failed reads in 0.9 s it was taken for absent, and the leader wrote a window with 0 calls
    whose counts had been reported and were lost with the restore.
    """
    drill_beside_a_kill(copy_age_s=3, away_s=2.5, down_s=1)


def test_a_long_absence_of_the_store_beside_a_kill_gives_no_window_two_counts():
    """Guards against the same when the store is away for longer than a quota's window.

    By then a node's own data count as complete, and the node that acts for a missing leader
    replaced the record that it had not read: no later process could see the restore.
    """
    drill_beside_a_kill(copy_age_s=4, away_s=6, down_s=0.5, reportWindowS=2, usageLateS=8)


def test_a_copy_without_a_record_gives_no_window_two_counts():
    """Guards against a restore that goes unnoticed as the copy is older than the record."""
    with fleet(nodes=3, workers=3) as d:
        copy = d.store.copy()
        copy[1].pop("rillknot-quotas", None)
        copy[1].pop("rillknot-usage", None)
        served_until_reported(d, 3)
        kill_all(d)
        d.store.restore(copy, 0.5, d.store.write_platform_state_again)
        restart_all(d)
        check_reports_go_on(d)


def test_two_kills_beside_a_restore_give_no_window_two_counts():
    """Guards against nodes that replace the record between two kills of all nodes.

    A store that turns reads of the record away and takes writes leaves them the time.
    """
    with fleet(nodes=3, workers=3, bounds={"reportWindowS": 2, "usageLateS": 8}) as d:
        served_until_reported(d, 3)
        copy = d.store.copy()
        time.sleep(2)
        kill_all(d)
        d.store.restore(copy, 0.5, d.store.write_platform_state_again)
        d.store.fault = lambda req: 503 if req.method == "GET" and "quotas" in req.target else None
        restart_all(d)
        call_until(d, time.monotonic() + 60)  # so that there is something to persist
        time.sleep(6)
        kill_all(d)
        d.store.fault = None
        restart_all(d)
        check_reports_go_on(d)


def check_fences_rise(d):
    """Checks that no duty was accepted with a lower fence than one before."""
    fences = [u[3] for u in d.cloud.usage]
    assert fences == sorted(fences), fences


def change_store(d, state, era):
    """Has the store come back in a state, in an era that may be lower than before."""
    d.store.restore(state, 0.3, lambda: setattr(d.store, "era", era))


def test_duties_go_on_after_all_nodes_started_with_an_older_copy():
    """Guards against a fence that stays below those given out before, so that duties are refused
    for good. All nodes start while the store answers in the era before, from a copy of it; the
    newer state is back 5 s later."""
    with fleet(nodes=3, workers=3) as d:
        served_until_reported(d, 3)
        copy = d.store.copy()
        raise_revision(d, 40)
        d.store.restore(d.store.copy(), 0.3)
        wait_until(lambda: d.cloud.usage[-1][3] >> 40 == 2, 20)
        newer, era = d.store.copy(), d.store.era
        kill_all(d)
        change_store(d, copy, era - 1)
        restart_all(d)
        time.sleep(5)
        change_store(d, newer, era)
        check_reports_go_on(d)
        check_fences_rise(d)


def check_duties_after_a_wrong_era(versions, led_s=1):
    """Kills all nodes while the store names a wrong era, in which duties are done, and starts
    them as it names the right one. The workers run so many versions; duties are done in the
    wrong era for led_s."""
    with fleet(nodes=3, workers=3) as d:
        for n in range(1, versions):
            d.add_worker("plain", version="v%d" % (n + 1))
        served_until_reported(d, 3)
        d.store.answer_era = lambda: "4"
        wait_until(lambda: d.cloud.usage[-1][3] >> 40 == 4, 20)
        time.sleep(led_s)
        kill_all(d)
        d.store.answer_era = lambda: str(d.store.era)
        restart_all(d)
        check_reports_go_on(d)
        check_fences_rise(d)


def test_duties_go_on_after_all_nodes_started_anew_in_a_wrong_era():
    """Guards against the same where the store names a wrong era, in which duties are done, until
    all nodes are killed. What the nodes keep in the store tells the later ones of that era."""
    check_duties_after_a_wrong_era(versions=1)


def test_duties_go_on_after_a_wrong_era_in_which_two_versions_served():
    """Guards against an era that later nodes know only by what is kept of single versions."""
    check_duties_after_a_wrong_era(versions=2)


def test_duties_go_on_after_a_wrong_era_that_no_record_names_yet():
    """Guards against usage that is refused for good, as all nodes were killed after the first
    duty of a wrong era and before the record of quotas was written in it."""
    check_duties_after_a_wrong_era(versions=1, led_s=0)
