"""Short runs of tools/recovery.py with fixed seeds."""
import recovery

SEEDS = (106, 112)


def test_calls_are_served_again_after_kills_of_all_nodes_amid_other_trouble():
    """Guards against a deployment that is not served again, or too late, after all of its nodes
    were killed: beside entries of other writers, an older copy of the store and replaced VMs."""
    results = []
    for seed in SEEDS:
        run = recovery.run_seed(seed)
        assert not run.problems, recovery.report(run)
        results.append(run.result)
    return "; ".join(results)
