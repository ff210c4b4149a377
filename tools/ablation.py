#!/usr/bin/env python3
"""Writes copies of the working tree, each with one mechanism disabled by an edit of its
source, and prints them as arguments for tools/experiment.py:

    tools/experiment.py --variant all=. $(tools/ablation.py FOLDER) SITE...
"""
import os
import shutil
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NOT_COPIED = shutil.ignore_patterns(".git", "build", "target", "journal")

# By name: file, text that must occur there exactly once, its replacement.
MECHANISMS = {
    "no-lateness-refusals": ("serve/relay_call.c", "target_ms <= 0)\n        return false;",
                             "target_ms <= 0 || x->r)\n        return false;"),
    "no-pace-of-vms": ("core/service_speed.c", "return p->log_ratio != 0 ?", "return 0 && now_ms ?"),
    "no-homes": ("core/place_preferred.c", "    if (!q->engine)\n        return;\n    for",
                 "    if (p)\n        return;\n    for"),
    "no-ranks": ("serve/relay_call.c", "return x->org && x->org->rank >= 0 ? x->org->rank : x->route->rank;",
                 "return x->org ? 1 : 1;"),
    "no-pauses": ("core/place.c", "    if (now_ms < v->paused_until_ms)", "    if (0 && now_ms < 0)"),
    "no-error-rates": ("core/place.c", "double ms = v->error_rate * FAILURE_COST_MS;",
                       "double ms = v->error_rate * 0;"),
    "no-stand-ins": ("core/sizing.c", "    if (needed < 0)\n", "    if (needed)\n"),
    "no-peers-loads": ("serve/relay.c", "    rk_place_set_loads(r->place, p->loads, p->loads_len);",
                       "    rk_place_set_loads(r->place, p->loads, 0);"),
    "no-resumes": ("serve/relay_call.c", "if (x->begun && !x->route->resumable)",
                   "if (x->begun)"),
    "no-retries": ("serve/relay_call.c", "if (x->attempts >= x->route->max_attempts)\n        return false;",
                   "if (x->attempts)\n        return false;"),
    "no-quotas-kept": ("core/quota.c", "q->restored = age_ms <= RESTORED_MAX_MS;",
                       "q->restored = age_ms < 0;"),
    "no-overrun": ("core/quota.c", "    if (share < 1)\n", "    if (share < 0)\n"),
    "no-engines-told": ("serve/relay.c", "        rk_engine_set_prior(&speed->engine, &services[i].engine);",
                        "        (void)speed;"),
    "no-own-domain-first": ("core/place.c", "            ms += CROSS_DOMAIN_COST_MS;",
                            "            ms += 0;"),
    "no-wait-at-start": ("serve/relay.c", "    rk_server_set_accepting(r->server, false);",
                         "    rk_server_set_accepting(r->server, true);"),
    "no-reclaimable-minimum": ("core/sizing.c", "left < RECLAIMABLE_MIN ? left : RECLAIMABLE_MIN",
                               "left < 0 ? left : 0"),
}


def main():
    folder = sys.argv[1]
    for name, (path, old, new) in MECHANISMS.items():
        with open(os.path.join(ROOT, path)) as f:
            text = f.read()
        if text.count(old) != 1:
            sys.exit("%s: expected once in %s: %r" % (name, path, old))
        copy_path = os.path.join(folder, name)
        shutil.rmtree(copy_path, ignore_errors=True)
        shutil.copytree(ROOT, copy_path, ignore=NOT_COPIED)
        with open(os.path.join(copy_path, path), "w") as f:
            f.write(text.replace(old, new))
        print("--variant", "%s=%s" % (name, copy_path))


if __name__ == "__main__":
    main()
