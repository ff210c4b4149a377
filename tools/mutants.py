#!/usr/bin/env python3
"""Mutation test of the checks: shows that each of them fails when it should.

Removes one protection at a time from a scratch copy of the tree, builds the copy, and
runs the test that must then fail. The last line printed is "N caught, N missed"; the
exit code is 0 only if none was missed.

    tools/mutants.py [PROMISE...]
"""
import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# (promise, the mutation, [(file, old, new)], test: a prop_ program, or a part of the names
# of process tests, of which at least one must fail)
MUTANTS = [
    ("3", "a 503 counts as not run without a contract",
     [("core/verdict.c", "refusal && contract->refusal_not_run", "refusal")],
     "503_proves_nothing"),
    ("3", "libcurl may send a request again by itself",
     [("common/http.c", "r->no_resend = spec->no_resend || spec->dedicated_conn",
       "r->no_resend = 0"),
      ("common/http.c", "if (spec->dedicated_conn) {", "if (0) {")],
     "reused_connection_that_dies"),
    ("3", "a keyed call refused before its claim is answered as not run",
     [("serve/exchange.c", "return x->claim_wanted || !x->policy.service[0];",
       "return false;")],
     "repeat_of_a_lost_answer"),
    ("4", "a claim whose write was lost counts as written",
     [("core/claims.c", "    if (st == RK_OK) {\n        commit_write(c, version);",
       "    if (st != RK_ECONFLICT) {\n        commit_write(c, version);")],
     "prop_claims"),
    ("4", "a claim that another owner holds is granted",
     [("core/claims.c", "    if (st == RK_OK) {\n        commit_write(c, version);",
       "    if (st == RK_OK || st == RK_ECONFLICT) {\n        commit_write(c, version);")],
     "two_nodes_that_both_believe"),
    ("2", "a repeated token is passed on",
     [("core/token_stream.c", "return RK_TOKEN_REPEAT;", "return RK_TOKEN_DELIVER;")],
     "tokens_twice"),
    ("2", "an answer with another request's id is accepted",
     [("engines/attempt.c", "if (strcmp(chunk.id, a->request_id) != 0) {", "if (0) {"),
      ("engines/attempt.c", "strcmp(value, a->request_id) != 0", "0")],
     "proc_answers.test_crossed"),
    ("1", "a stream is not resumed after its VM disappeared",
     [("core/verdict.c", "v == RK_NOT_RUN || (repeatable && v == RK_MAY_HAVE_RUN)",
       "v == RK_NOT_RUN || (0 && repeatable)")],
     "stream_moves_before_its_vm_goes"),
    ("6", "a stopping node doesn't wait for its calls",
     [("programs/entry.c", "if (total_in_flight(n))", "if (0)"),
      ("programs/entry.c", "now_ms - start_ms >= MIN_LEAVING_MS", "1"),
      ("programs/entry.c", "now_ms - idle_since_ms >= MIN_LEAVING_MS", "1")],
     "confirmation_in_hand_at_a_stopping_node"),
    ("5", "a lagging list makes a leaving VM live again",
     [("core/members.c", "row->incarnation == old->incarnation && row->state > old->state",
       "row->incarnation == old->incarnation && row->state != old->state")],
     "lagging_list"),
    ("7", "a settings change is applied out of order",
     [("core/changelog.c", "if (n != log->head + 1)", "if (n < 1)")], "prop_core"),
    ("8", "a leaseholder does not check its clock",
     [("core/lease.c", "now_ms - l->renewed_ms >= usable_ms(l)",
       "now_ms < l->renewed_ms - usable_ms(l)")], "prop_core"),
    ("9", "weights of organisations are ignored",
     [("core/fair_queue.c", "VTIME_SCALE / w->weight", "VTIME_SCALE")], "prop_core"),
    ("10", "paths with dot segments are accepted",
     [("callers/parse.c", 'strstr(rest, "/.")', "0")], "malformed_requests"),
    ("signals", "each node uses a VM's whole limit",
     [("core/vm_signals.c", "return ranked_before < senders ? senders : 0;", "return 1;")],
     "a_limit_of_one_a_second_holds_in_a_fleet_with_bridges"),
    ("signals", "a limit that the VM has withdrawn is kept",
     [("core/vm_signals.c", "if (!advertised->limited && !advertised->unlimited)",
       "if (!advertised->limited)")], "a_limit_is_used_and_its_end_is_noticed"),
    ("signals", "a VM that advertises leaving is used while listed",
     [("core/place_impl.h", "return vm->signal && vm->signal->leaving;", "return 0;")],
     "gets_nothing_while_the_store_is_away"),
    ("signals", "a VM's cooldown is ignored",
     [("core/vm_signals.c", "return cooldown_ms > wait_ms ? cooldown_ms : wait_ms;",
       "return wait_ms;")], "vms_that_all_ask_for_rest"),
]


def scratch_copy(edits):
    """Return the path of a temporary copy of the tree with the edits applied.

    The sanitizers' builds, address and thread, are not copied.
    """
    path = tempfile.mkdtemp(prefix="rillknot-mutant-")
    for name in os.listdir(ROOT):
        if name in (".git",):
            continue
        source = os.path.join(ROOT, name)
        if os.path.isdir(source):
            shutil.copytree(source, os.path.join(path, name), symlinks=True,
                            ignore=shutil.ignore_patterns("address", "thread"))
        else:
            shutil.copy2(source, path)
    for path_in_tree, old, new in edits:
        target = os.path.join(path, path_in_tree)
        with open(target) as f:
            text = f.read()
        if old not in text:
            raise RuntimeError("%s: not found: %s" % (path_in_tree, old))
        with open(target, "w") as f:
            f.write(text.replace(old, new, 1))
    return path


def try_mutant(mutant):
    """Build a mutant and run its test; return whether the test failed."""
    _, _, edits, test = mutant
    path = scratch_copy(edits)
    try:
        is_program = test.startswith("prop_")
        make_command = ["make", "-s", "-j2", "WARN=-w", "build/" + test
                        if is_program else "programs"]
        subprocess.run(make_command, cwd=path, check=True, stdout=subprocess.DEVNULL,
                       stderr=subprocess.DEVNULL)
        if is_program:
            env = dict(os.environ, RC_PARAMS="seed=20261202 max_success=2000")
            r = subprocess.run(["build/" + test], cwd=path, env=env, timeout=300,
                               stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                               check=False)
        else:
            r = subprocess.run([sys.executable, "tests/run.py", "--only", test], cwd=path,
                               stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                               timeout=300, check=False)
        return r.returncode != 0
    finally:
        shutil.rmtree(path, ignore_errors=True)


def main():
    chosen = [mutant for mutant in MUTANTS if not sys.argv[1:] or mutant[0] in sys.argv[1:]]
    caught = 0
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        for mutant, was_caught in zip(chosen, pool.map(try_mutant, chosen)):
            caught += was_caught
            print("%-7s promise %-3s %-50s by %s" % ("caught" if was_caught else "MISSED",
                                                     mutant[0], mutant[1], mutant[3]),
                  flush=True)
    print("\n%d caught, %d missed" % (caught, len(chosen) - caught))
    return 0 if caught == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
