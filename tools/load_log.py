"""Reads the logs of all nodes and sums calls, refusals and the work of VMs.

Used by tools/load_report.py. Reads JSON lines with an `event` field. A line may have text
before the JSON object; if the first word of that text is a number, it is the time in
seconds (simulated time), else the time is `wall_ms`. Lines that are cut or lack a needed
field are skipped and counted.

Nodes log successful calls as a sample of one in 16, chosen by request id, and all other
calls in full. Each logged success therefore counts as 16 calls.
"""
import collections
import json
import math

SAMPLE = 16  # LOG_SAMPLE_ONE_IN in serve/relay_log.c
MS_PER_S = 1000.0
OUTCOMES = ("in time", "late first", "late pause", "no target", "refused", "failed",
            "broken off", "caller gone")
SERVED = OUTCOMES[:4]
DIMENSIONS = ("route", "organisation", "domain of the node", "domain of the VM", "second")
NONE = "-"  # printed for an absent value

Call = collections.namedtuple("Call", "keys vm outcome status why weight start end held_ms")


def number(event, name):
    """Returns a numeric field; raises ValueError if it is absent or of another type."""
    value = event.get(name)
    if not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError("%s: expected a number, found %r" % (name, value))
    return value


def line_time(prefix, event):
    """Returns the time of a line in seconds."""
    try:
        at = float(prefix.split(None, 1)[0])
    except (IndexError, ValueError):
        at = math.nan
    return at if math.isfinite(at) else number(event, "wall_ms") / MS_PER_S


def is_success(end):
    """Returns whether a call.end is of a call that nodes log as a sample only."""
    return 0 < number(end, "status") < 400 and not end["why"]


def is_late(end, value, target):
    """Returns whether a time of a call.end exceeds its target; target 0: there is none."""
    return 0 < number(end, target) < number(end, value)


def outcome_of(end):
    """Returns the member of OUTCOMES that a call.end belongs to."""
    if is_success(end):
        if "target_ms" not in end:
            return "no target"  # from a version that does not log it
        if is_late(end, "first_ms", "target_ms"):
            return "late first"
        return "late pause" if is_late(end, "pause_ms", "target_gap_ms") else "in time"
    if end["status"] == 0:
        return "caller gone"
    if not end["why"]:
        return "failed"  # the VM answered with an error status
    if number(end, "first_ms") >= 0:
        return "broken off"
    return "failed" if number(end, "may_have_run") else "refused"


class Mean:
    """A mean with its count and maximum."""

    def __init__(self):
        self.n, self.total, self.most = 0, 0.0, 0.0

    def add(self, value):
        self.n, self.total, self.most = self.n + 1, self.total + value, max(self.most, value)

    def mean(self):
        return self.total / self.n if self.n else math.nan


def means():
    """Returns a dictionary that creates a Mean for each new key."""
    return collections.defaultdict(Mean)


class Vm:
    """What the logs say of a VM. Calls and tokens are scaled up from the sample."""

    def __init__(self):
        self.service, self.domain = NONE, NONE
        self.added, self.left, self.last_call = math.inf, math.inf, -math.inf
        self.calls = self.tokens = 0
        self.first_log = Mean()  # log(seen / expected time) of its first bytes
        self.took_log = means()  # by route: log(whole time) of its successful calls
        self.busy_s = collections.Counter()  # by route: time that calls held a slot

    def present_s(self, report):
        """Returns how long it could get calls within the report's time."""
        since = report.start if math.isinf(self.added) else self.added
        until = max(min(self.left, report.end), self.last_call)
        return max(0.0, until - max(since, report.start))


class Report:
    """Sums of the log lines that add_line() was given."""

    def __init__(self, bin_s=1.0):
        self.bin_s, self.start, self.end = bin_s, math.inf, -math.inf
        self.counts = collections.Counter()  # of lines, by what became of them
        self.calls = {d: collections.defaultdict(collections.Counter) for d in DIMENSIONS}
        self.held = {d: means() for d in DIMENSIONS}  # by (group, outcome, status, why)
        self.vms = collections.defaultdict(Vm)
        self.slots = collections.defaultdict(collections.Counter)  # route -> bin -> calls
        self.offered = collections.Counter()  # by (organisation, route)
        self.quota = collections.defaultdict(means)  # (organisation, route) -> field
        # Events that wait for the call.end of their request.
        self.refusals, self.sent_to = {}, {}

    def add_line(self, line):
        """Adds one line of a log."""
        self.counts["lines"] += 1
        brace = line.find("{")
        if brace < 0:
            self.counts["no JSON"] += 1
            return
        try:
            event = json.loads(line[brace:])
            handle = HANDLERS.get(event["event"])
            if handle:
                handle(self, event, line_time(line[:brace], event))
        except (ValueError, KeyError, TypeError):
            self.counts["skipped"] += 1

    def bin(self, at):
        """Returns the number of the bin that a time lies in."""
        return math.floor(at / self.bin_s)

    def on_vm_changed(self, e, at):
        vm = self.vms[e["vm"]]
        vm.service, vm.domain = e["service"], e["domain"]
        if e["what"] == "added":
            vm.added = min(vm.added, at)
        if e["what"] == "removed" or number(e, "leaving"):
            vm.left = min(vm.left, at)

    def on_sent(self, e, at):
        tokens, vm = number(e, "read_tokens"), self.vms[e["vm"]]
        vm.calls += SAMPLE
        vm.tokens += SAMPLE * tokens
        vm.last_call = max(vm.last_call, at)
        self.sent_to[e["request"]] = e["vm"]

    def on_first(self, e, _):
        seen, expected = number(e, "seen_ms"), number(e, "expected_ms")
        if seen > 0 and expected > 0:
            self.vms[e["vm"]].first_log.add(math.log(seen / expected))

    def on_quota_refused(self, e, _):
        self.refusals[e["request"]] = {
            "organisation": e["organisation"], "units": number(e, "units"),
            **{f: number(e, f) for f in ("share_pct", "class_share_pct", "class") if f in e}}

    def on_refused(self, e, at):
        keys = (NONE, NONE, e["failure_domain"], NONE, self.bin(at))
        self.add_call(Call(keys, "", "refused", number(e, "status"), e["why"], 1, at, at, 0))

    def on_end(self, e, at):
        took_ms, refusal = number(e, "took_ms"), self.refusals.pop(e["request"], {})
        sent_to = self.sent_to.pop(e["request"], "")
        org = e.get("organisation") or refusal.get("organisation") or NONE
        start = at - took_ms / MS_PER_S
        keys = (e["route"], org, e["failure_domain"], e.get("domain") or NONE, self.bin(start))
        call = Call(keys, e.get("vm", sent_to), outcome_of(e), e["status"], e["why"],
                    SAMPLE if is_success(e) else 1, start, at, took_ms)
        self.counts["without fields"] += "vm" not in e
        self.add_call(call)
        if call.vm:
            self.add_vm_time(call, e["route"])
        for field, value in refusal.items():
            if field != "organisation":
                self.quota[org, e["route"]][field].add(value)

    def add_call(self, call):
        self.start, self.end = min(self.start, call.start), max(self.end, call.end)
        self.offered[call.keys[1], call.keys[0]] += call.weight
        for dimension, key in zip(DIMENSIONS, call.keys):
            self.calls[dimension][key][call.outcome] += call.weight
            if call.outcome not in SERVED:
                why = call.why or "answered by the VM"
                self.held[dimension][key, call.outcome, call.status, why].add(call.held_ms)

    def add_vm_time(self, call, route):
        """Adds the time of a call to its VM and, spread over the bins, to its route."""
        vm = self.vms[call.vm]
        vm.busy_s[route] += call.weight * (call.end - call.start)
        if vm.domain == NONE:
            vm.domain = call.keys[3]
        if call.outcome in SERVED and call.held_ms > 0:
            vm.took_log[route].add(math.log(call.held_ms))
        for b in range(self.bin(call.start), self.bin(call.end) + 1):
            since, until = max(call.start, b * self.bin_s), min(call.end, (b + 1) * self.bin_s)
            self.slots[route][b] += call.weight * (until - since) / self.bin_s

    def on_dropped(self, e, _):
        self.counts["dropped"] += number(e, "lines")

    def name_services(self):
        """Gives VMs that no vm.changed names the service of other VMs of their routes."""
        of_route = {r: vm.service for vm in self.vms.values() for r in vm.busy_s
                    if vm.service != NONE}
        for vm in self.vms.values():
            if vm.service == NONE:
                vm.service = next((of_route[r] for r in vm.busy_s if r in of_route), NONE)


HANDLERS = {"vm.changed": Report.on_vm_changed, "call.sent": Report.on_sent,
            "call.first": Report.on_first, "quota.refused": Report.on_quota_refused,
            "call.refused": Report.on_refused, "call.end": Report.on_end,
            "log.dropped": Report.on_dropped}
