#!/usr/bin/env python3
"""Writes copies of a site file of the users' bench with other engines, so that what
is learnt of engines can be tried on more than one: tools/engines.py SITE FOLDER.
Prints the files' names; tools/experiment.py plays them."""
import os
import re
import shutil
import sys

# Tokens read in a ms, time of a step in ms, calls at once.
ENGINES = {
    "slow-reader": (55.0, 3.55, 24),
    "fast": (420.0, 1.8, 24),
    "slow-steps": (157.0, 9.0, 128),
    "mixed": (157.0, 3.55, 48),
}
MIXED_SPEEDS = "speeds = [1.0, 0.6, 1.5]"


def other_engine(text, name):
    read, step, batch = ENGINES[name]
    lines = text.split("\n")
    for i, line in enumerate(lines):
        if "prefill_tokens_per_ms" not in line:
            continue
        line = re.sub(r"prefill_tokens_per_ms = [\d.]+", "prefill_tokens_per_ms = %s" % read, line)
        line = re.sub(r"(?<![\w_])step_ms = [\d.]+", "step_ms = %s" % step, line)
        line = re.sub(r"(?<![\w_])(slots|batch) = \d+", r"\1 = %d" % batch, line)
        if name == "mixed":
            line = re.sub(r"speeds = \[[^]]*\]", MIXED_SPEEDS, line, count=1)
        lines[i] = line
    return "\n".join(lines)


def main():
    site, folder = sys.argv[1:3]
    with open(site) as f:
        text = f.read()
    base = os.path.basename(site)[:-len(".toml")]
    for name in ENGINES:
        place = os.path.join(folder, name)
        os.makedirs(place, exist_ok=True)
        for beside in os.listdir(os.path.dirname(site)):
            if not beside.endswith(".toml"):
                shutil.copy(os.path.join(os.path.dirname(site), beside), place)
        path = os.path.join(place, "%s-%s.toml" % (base, name))
        with open(path, "w") as f:
            f.write(other_engine(text, name))
        print(path)


if __name__ == "__main__":
    main()
