"""Recorded traces with stated outcomes, run through the core: the same verdict
each time."""
import glob
import os
import subprocess

from fakes import BUILD

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)


def replay(path, *args):
    r = subprocess.run([os.path.join(ROOT, BUILD, "rillknot-replay"), *args, path],
                       stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=120,
                       check=False)
    return r.returncode, r.stdout.decode()


def run_all(user):
    paths = sorted(glob.glob(os.path.join(HERE, "traces", user + "-*.jsonl")))
    assert len(paths) >= 7, paths
    for path in paths:
        code, out = replay(path)
        assert code == 0, out
        assert replay(path) == (code, out), "two runs differ"
    return "%d traces as stated, twice the same" % len(paths)


def test_hospital():
    return run_all("hospital")


def test_taxi():
    return run_all("taxi")


def test_a_trace_that_states_otherwise_fails():
    path = sorted(glob.glob(os.path.join(HERE, "traces", "hospital-plain.jsonl")))[0]
    with open(path) as f:
        lines = f.read().splitlines()
    wrong = os.path.join("/tmp", "rillknot-wrong-%d.jsonl" % os.getpid())
    with open(wrong, "w") as f:
        f.write("\n".join(lines[:-1] + ['{"expect":{"whole":{"max":3}}}']) + "\n")
    code, out = replay(wrong)
    os.remove(wrong)
    assert code == 1 and "NOT AS STATED" in out, out
