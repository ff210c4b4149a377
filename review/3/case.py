"""A configuration brings two tenants with long names: workers are told another tenant."""
import collections
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment import (KEY, LLM, PLAIN, PROMPT, TENANT, ZONES, Client, Deployment,  # noqa: E402
                        Record)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS, GAP_S = 10, 0.2
NEW_TENANTS = {"kalahari-bookings-group-windhoek-central-hospital-clinics": "b1f0c5d2e7a94386",
               "kalahari-bookings-group-windhoek-central-hospital-agents": "c7d3a0915be84f62"}

record = Record(os.path.join(HERE, "record.txt"))


def tenant(name, key):
    return {"name": name, "apiKeys": [key], "priority": 1, "unit": "token_stream",
            "plainTokens": 200, "ratePerS": 59302, "burst": 59302}


def call_all(d, holders, node, n):
    """Send a confirmation, a release and a chat with each key."""
    for i, key in enumerate(holders):
        client = Client(d, node, key)
        for j, (method, target, body, more) in enumerate((
                ("POST", "/puxa403/2f", b"x" * 600, ()), ("GET", "/cufi504/fi50/2f", b"", ()),
                ("POST", "/lohu930/2f", b"y" * 1400, PROMPT))):
            ident = "%04x%04x%04x%04x" % (n, node, i, j)
            answer, _ = client.send(method, target, ident, 5000, body, more)
            record("%s sent with the key of %s, answered %d%s", ident, holders[key],
                   answer.status, "" if answer.whole else " (cut)")
        client.close()


def play(d):
    for _ in range(3):
        d.add_node()
    for i in range(9):
        d.add_worker(LLM, events=8, zone=ZONES[i % 3], slots=128)
    for zone in ZONES:
        d.add_worker(PLAIN, zone=zone, slots=6)
    d.settings()
    d.wait_ready()
    holders, tenants = {KEY: TENANT}, [tenant(TENANT, KEY)]
    if TROUBLE:
        holders.update({key: name for name, key in NEW_TENANTS.items()})
        tenants += [tenant(name, key) for name, key in NEW_TENANTS.items()]
    d.settings(tenants=tenants)
    record("config  acknowledged, tenants %s", ", ".join(t["name"] for t in tenants))
    time.sleep(2.5)  # more than configApplyMs
    start, n = time.monotonic(), 0
    while time.monotonic() - start < SECONDS:
        n += 1
        call_all(d, holders, n % 3, n)
        time.sleep(GAP_S)
    return holders


def main():
    d = Deployment(record)
    try:
        holders = play(d)
    except Exception as e:  # the case couldn't run
        record("failed  %r", e)
        print("couldn't run: %r" % e)
        return 2
    finally:
        d.finish()
    names, told = list(holders.values()), collections.Counter()
    wrong = 0
    for w in d.workers:
        for req in w.seen:
            ident, seen = req.get("Rillknot-Attempt-Id"), req.get("Rillknot-Tenant-Id")
            holder = names[int(ident[8:12], 16)]
            told[holder, seen] += 1
            wrong += seen != holder
            record("%s ran at %s for tenant %s%s", ident, w.id, seen,
                   "" if seen == holder else ", not for " + holder)
    for (holder, seen), count in sorted(told.items()):
        record("tenant  %d requests of %s ran for %s", count, holder, seen)
    text = "%d of %d requests ran for a tenant that doesn't hold their key" % (
        wrong, sum(told.values()))
    record("result  %s", text)
    print(text)
    return 1 if wrong else 0


code = main()
sys.stdout.flush()
os._exit(code)
