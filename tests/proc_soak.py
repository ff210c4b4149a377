"""A short fault soak with fixed seeds, and the seeds that ever failed
(tests/soak-seeds.txt). The long one, with fresh seeds, is tools/soak.py."""
import soak

SECONDS = 6
NODES = 4


def play(seed):
    problems, done, faults = soak.soak(seed, SECONDS, NODES)
    assert not problems, "\n".join(problems + faults)
    assert done.get(200, 0) > 50, done
    return "%d served under %d faults" % (done[200], len(faults))


def test_the_promises_hold_under_random_faults():
    return play(20261202)


def test_the_promises_hold_under_other_faults():
    return play(7)


def test_seeds_that_failed_before_hold():
    for seed in soak.known_seeds():
        play(seed)
