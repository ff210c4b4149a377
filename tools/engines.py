#!/usr/bin/env python3
"""Writes copies of a site file of the users' bench with other kinds of engines.

    tools/engines.py SITE FOLDER

With them, the estimates of engine speeds can be tested on more than one kind of engine.
Prints the paths of the files, which tools/experiment.py takes as sites.
"""
import os
import re
import shutil
import sys

# Prefill rate in tokens/ms, time of a step in ms, concurrent calls.
ENGINE_KINDS = {
    "slow-reader": (55.0, 3.55, 24),
    "fast": (420.0, 1.8, 24),
    "slow-steps": (157.0, 9.0, 128),
    "mixed": (157.0, 3.55, 48),
}
MIXED_SPEEDS = "speeds = [1.0, 0.6, 1.5]"


def replace_engine(text, name):
    """Return the site file with its engines replaced by those of the named kind."""
    prefill_rate, step_ms, batch = ENGINE_KINDS[name]
    lines = text.split("\n")
    for i, line in enumerate(lines):
        if "prefill_tokens_per_ms" not in line:
            continue
        line = re.sub(r"prefill_tokens_per_ms = [\d.]+",
                      "prefill_tokens_per_ms = %s" % prefill_rate, line)
        line = re.sub(r"(?<![\w_])step_ms = [\d.]+", "step_ms = %s" % step_ms, line)
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
    for name in ENGINE_KINDS:
        kind_folder = os.path.join(folder, name)
        os.makedirs(kind_folder, exist_ok=True)
        for other_file in os.listdir(os.path.dirname(site)):
            if not other_file.endswith(".toml"):
                shutil.copy(os.path.join(os.path.dirname(site), other_file), kind_folder)
        path = os.path.join(kind_folder, "%s-%s.toml" % (base, name))
        with open(path, "w") as f:
            f.write(replace_engine(text, name))
        print(path)


if __name__ == "__main__":
    main()
