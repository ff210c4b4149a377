#!/usr/bin/env python3
"""Shows that the proofs can fail: takes each protection out of a scratch copy of
the tree, builds it, and runs the one proof that must then fail. Ends with
"N caught, N missed"; exit 0 only when none was missed."""
import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# (promise, what is taken out, [(file, old, new)], proof: process test or program)
MUTANTS = [
    ("3", "a 503 counts as not run without a contract",
     [("core/verdict.c", "refusal && contract->refusal_not_run", "refusal")],
     "503_proves_nothing"),
    ("3", "libcurl may send again by itself",
     [("common/http.c", "r->no_resend = spec->no_resend || spec->once", "r->no_resend = 0"),
      ("common/http.c", "if (spec->once) {", "if (0) {")],
     "reused_connection_that_dies"),
    ("3", "a keyed refusal before its claim says not run",
     [("serve/exchange.c", "return x->claim_wanted || !x->policy.service[0];",
       "return false;")],
     "repeat_of_a_lost_answer"),
    ("4", "a lost write of a claim counts as made",
     [("core/claims.c", "    if (st == RK_OK) {\n        write_stands(c, version);",
       "    if (st != RK_ECONFLICT) {\n        write_stands(c, version);")],
     "prop_claims"),
    ("4", "a claim that lost to another owner is granted",
     [("core/claims.c", "    if (st == RK_OK) {\n        write_stands(c, version);",
       "    if (st == RK_OK || st == RK_ECONFLICT) {\n        write_stands(c, version);")],
     "two_nodes_that_both_believe"),
    ("2", "a repeated token is passed on",
     [("core/stream.c", "return RK_TOKEN_REPEAT;", "return RK_TOKEN_DELIVER;")],
     "tokens_twice"),
    ("2", "an answer under another's id is taken",
     [("engines/attempt.c", "if (strcmp(chunk.id, a->request_id) != 0) {", "if (0) {"),
      ("engines/attempt.c", "strcmp(value, a->request_id) != 0", "0")],
     "proc_answers.test_crossed"),
    ("1", "a stream is not resumed after its vm is gone",
     [("core/verdict.c", "v == RK_NOT_RUN || (repeatable && v == RK_MAY_HAVE_RUN)",
       "v == RK_NOT_RUN || (0 && repeatable)")],
     "stream_moves_before_its_vm_goes"),
    ("6", "a stopping node doesn't wait for its calls",
     [("programs/entry.c", "if (total_busy(n))", "if (0)"),
      ("programs/entry.c", "now - begin >= BALANCER_MS", "1"),
      ("programs/entry.c", "now - idle_since >= BALANCER_MS", "1")],
     "confirmation_in_hand_at_a_stopping_node"),
    ("5", "a lagging list brings a leaving vm back",
     [("core/members.c", "row->incarnation == old->incarnation && row->state > old->state",
       "row->incarnation == old->incarnation && row->state != old->state")],
     "lagging_list"),
    ("7", "a change is taken out of turn",
     [("core/changes.c", "if (n != log->head + 1)", "if (n < 1)")], "prop_core"),
    ("8", "a holder never looks at its clock",
     [("core/lease.c", "now_ms - l->held_from_ms >= usable_ms(l)",
       "now_ms < l->held_from_ms - usable_ms(l)")], "prop_core"),
    ("9", "weights are ignored",
     [("core/admit.c", "VTIME_SCALE / w->weight", "VTIME_SCALE")], "prop_core"),
    ("10", "dot segments pass",
     [("callers/parse.c", 'strstr(rest, "/.")', "0")], "malformed_requests"),
    ("signals", "each node takes a vm's limit for its own",
     [("core/vm_signals.c", "return before < senders ? senders : 0;", "return 1;")],
     "a_limit_of_one_a_second_holds_in_a_fleet_with_bridges"),
    ("signals", "a limit that is over is kept",
     [("core/vm_signals.c", "if (!said->limited && !said->unlimited)",
       "if (!said->limited)")], "a_limit_is_used_and_its_end_is_noticed"),
    ("signals", "a vm that says it leaves is used as the list has it",
     [("core/place_impl.h", "return vm->signal && vm->signal->leaving;", "return 0;")],
     "gets_nothing_while_the_store_is_away"),
    ("signals", "a vm's rest is forgotten",
     [("core/vm_signals.c", "return rest_ms > wait_ms ? rest_ms : wait_ms;",
       "return wait_ms;")], "vms_that_all_ask_for_rest"),
]


def scratch_copy(edits):
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
    for file, old, new in edits:
        target = os.path.join(path, file)
        with open(target) as f:
            text = f.read()
        if old not in text:
            raise RuntimeError("%s: not found: %s" % (file, old))
        with open(target, "w") as f:
            f.write(text.replace(old, new, 1))
    return path


def try_mutant(m):
    _, _, edits, proof = m
    path = scratch_copy(edits)
    try:
        program = proof.startswith("prop_")
        make = ["make", "-s", "-j2", "WARN=-w", "build/" + proof
                if program else "programs"]
        subprocess.run(make, cwd=path, check=True, stdout=subprocess.DEVNULL,
                       stderr=subprocess.DEVNULL)
        if program:
            env = dict(os.environ, RC_PARAMS="seed=20261202 max_success=2000")
            r = subprocess.run(["build/" + proof], cwd=path, env=env, timeout=300,
                               stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                               check=False)
        else:
            r = subprocess.run([sys.executable, "tests/run.py", "--only", proof], cwd=path,
                               stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                               timeout=300, check=False)
        return r.returncode != 0
    finally:
        shutil.rmtree(path, ignore_errors=True)


def main():
    chosen = [m for m in MUTANTS if not sys.argv[1:] or m[0] in sys.argv[1:]]
    caught = 0
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        for m, ok in zip(chosen, pool.map(try_mutant, chosen)):
            caught += ok
            print("%-7s promise %-3s %-50s by %s" % ("caught" if ok else "MISSED", m[0], m[1],
                                                     m[3]), flush=True)
    print("\n%d caught, %d missed" % (caught, len(chosen) - caught))
    return 0 if caught == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
