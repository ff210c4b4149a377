"""Plays the seeds of a randomised tool, each in a process of its own."""
import argparse
import concurrent.futures
import subprocess
import sys
import time


def make_parser(build, seeds, jobs):
    """Return a parser of the arguments that such tools share, with their defaults."""
    p = argparse.ArgumentParser()
    p.add_argument("--build", default=build)
    p.add_argument("--seeds", type=int, default=seeds)
    p.add_argument("--first", type=int, default=int(time.time()))
    p.add_argument("--jobs", type=int, default=jobs)
    p.add_argument("--one", type=int, help="play this seed only, in this process")
    return p


def play_each(args, script, *options):
    """Run a script with --one for each seed and print what it prints. Returns the exit code."""
    def play(seed):
        r = subprocess.run([sys.executable, script, "--one", str(seed), "--build", args.build,
                            *options], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                           check=False)
        return seed, r.returncode, r.stdout.decode("utf-8", "replace")

    failed = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for seed, code, out in pool.map(play, range(args.first, args.first + args.seeds)):
            failed += code != 0
            print(out.strip() if code == 0 else "FAILED seed %d\n%s" % (seed, out), flush=True)
    print("%d of %d seeds failed" % (failed, args.seeds))
    return 1 if failed else 0
