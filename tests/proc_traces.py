"""Recorded traces with their expected outcomes, replayed through the core by
rillknot-replay."""
import glob
import os
import subprocess

from fakes import BUILD

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)


def replay(path, *args):
    """Runs rillknot-replay on a trace. Returns its exit code and output."""
    r = subprocess.run([os.path.join(ROOT, BUILD, "rillknot-replay"), *args, path],
                       stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=120,
                       check=False)
    return r.returncode, r.stdout.decode()


def replay_all(user):
    """Replays the traces of one site twice. Each must have its expected outcomes, and
    the same output both times."""
    paths = sorted(glob.glob(os.path.join(HERE, "traces", user + "-*.jsonl")))
    assert len(paths) >= 7, paths
    for path in paths:
        code, out = replay(path)
        assert code == 0, out
        assert replay(path) == (code, out), "two replays differ"
    return "%d traces with the expected outcomes, the same in two replays" % len(paths)


def test_hospital():
    """A change of the core must not worsen the outcomes of the hospital's traces."""
    return replay_all("hospital")


def test_taxi():
    """A change of the core must not worsen the outcomes of the taxi service's
    traces."""
    return replay_all("taxi")


def test_a_trace_with_a_wrong_expectation_fails():
    """A replay must fail when an outcome differs from the expected one; else the two
    tests above would show nothing."""
    path = sorted(glob.glob(os.path.join(HERE, "traces", "hospital-plain.jsonl")))[0]
    with open(path) as f:
        lines = f.read().splitlines()
    changed_path = os.path.join("/tmp", "rillknot-wrong-%d.jsonl" % os.getpid())
    with open(changed_path, "w") as f:
        f.write("\n".join(lines[:-1] + ['{"expect":{"whole":{"max":3}}}']) + "\n")
    code, out = replay(changed_path)
    os.remove(changed_path)
    assert code == 1 and "NOT AS STATED" in out, out
