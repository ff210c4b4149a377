#!/usr/bin/env python3
"""Plays odd headers of callers and odd answers of VMs to real nodes.

Callers' requests have odd values in every header that a node reads. VMs answer requests,
streams and orders to move a KV cache with odd heads, events and objects; some engines say that
they leave, so that streams are moved. Records of streams' versions in the stand-in store are
odd, its other objects stay sound. Nodes are checked as in odd_objects.py, and organisations'
quotas must still hold afterwards. Run it with the sanitizers and with the release build.

    tools/odd_calls.py [--build DIR] [--seeds N] [--first SEED] [--seconds S] [--jobs N]
"""
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import odd_objects  # noqa: E402
from hosted import answer_json, wait_until  # noqa: E402
from odd_objects import ODD_HEADER_VALUES, OddObjects  # noqa: E402

CALLER_HEADERS = ("Rillknot-Token-Usage", "Rillknot-Prompt-Prefix", "Rillknot-Deadline-Ms",
                  "Last-Event-Id", "Resumes", "Rillknot-Attempt-Id", "Rillknot-Length-Hint",
                  "Rillknot-Model-Name", "Rillknot-Pin-Ms", "Rillknot-Cache-Hold",
                  "Rillknot-Kv-Backup", "Kv-From", "Kv-Fetch", "Rillknot-Request-Priority",
                  "Rillknot-Expect-Instance", "Rillknot-Tenant-Id", "Rillknot-Forwarded",
                  "Rillknot-Stream-Version", "Connection", "Expect", "Keep-Alive", "X-Api-Key")
CALLER_VALUES = ("", "0", "-1", "1", "nan", "inf,inf", "1e308,1e308", "-1e300,0", "1e400", ",",
                 ":", "," * 7000, "a," * 3500, "aa:1e9", "aa:-5,bb:99999999999999999999",
                 "aa:4294967296,bb:1", "9" * 400, "x" * 255, "x" * 256, "x" * 7000, "2147483648",
                 "9007199254740993", "9223372036854775807", "-9223372036854775808",
                 "18446744073709551616", "0x7f", "1 2", "\xff\xfe", "100-continue", "close",
                 "%s%n", "i-0000000001", "127.0.0.1:1/h-1", "9223372036854775807 0 1")
ODD_EVENTS = (b"id: 1\ndata: again\n\n", b"id: 9223372036854775808\ndata: x\n\n",
              b"id: -1\ndata: x\n\n", b"id: " + b"9" * 300 + b"\ndata: x\n\n", b"id:\n\n",
              b"\n\n\n\n", b":\n" * 500 + b"\n", b"id: a\0b\ndata: x\n\n",
              b"rillknot-weight-versions: 9223372036854775808\nid: 3\ndata: x\n\n",
              b"data: " + b"x" * 70000 + b"\n\n", b"data: " + b"x" * 300000, b"\xff\xfe\r\n\r\n",
              b"id: 2\r\ndata: x\r\n\r\n")
ODD_EVENT_SHARE = 0.1  # of streams
LEAVING_SHARE = 0.3  # of engines' answers while odd answers are on
STREAM_GAP_S = 0.22  # streams last longer than the delay of a move
QUOTA_CALLS = 30
QUOTA_PER_S, QUOTA_BURST = 1000, 10  # of the organisation whose quota is checked


def odd_order_answer(rng):
    """Return the body of an answer to an order to move a KV cache."""
    handle = rng.choice(["h-1", "", "x" * 63, "x" * 64, "x" * 4000, "a\\r\\nb: c", 7, -1, None,
                         [], {}, 1e308, "\\u0000", "a/b", "../.."])
    value = odd_objects.change(rng, {"handle": handle, "made": rng.choice(odd_objects.NUMBERS)})
    return json.loads(json.dumps(value, default=lambda raw: raw.text[:400]))


class OddCalls(OddObjects):
    """One run with odd headers of callers and odd answers of VMs."""

    odd_answers_on = True

    def configure(self, wait=False):
        super().configure(wait=False)
        spec = self.d.store.objects["config"]["main"]["spec"]
        spec["tenants"][1].update(unit="token_stream", plainTokens=1, ratePerS=QUOTA_PER_S,
                                  burst=QUOTA_BURST)
        self.d.version += 3
        self.d.store.put("config", "main", dict(spec, version=self.d.version))

    def start(self):
        super().start()
        for number, w in enumerate(self.d.workers):
            w.gap_s = STREAM_GAP_S
            rng = random.Random(self.seed * 1000 + number)
            self.make_odd(w, rng)

    def make_odd(self, worker, rng):
        """Have a VM say that it leaves, answer orders oddly and send odd events."""
        sound_signals, sound_event = worker.signals, worker.event

        def signals():
            if not self.odd_answers_on:
                return sound_signals()
            lines = b"Server-Leaving: 1\r\n" if worker.events and rng.random() < LEAVING_SHARE \
                else b""
            if rng.random() < 0.2:
                lines += b"Keep-Alive: timeout=%s\r\n" % rng.choice(
                    [v for v in ODD_HEADER_VALUES if len(v) < 500 and b"\0" not in v])
            return sound_signals() + lines

        def event(req, number):
            if self.odd_answers_on and rng.random() < ODD_EVENT_SHARE:
                return rng.choice(ODD_EVENTS)
            return sound_event(req, number)

        def move(req, conn):
            self.odd_answers += 1
            worker.move_orders += 1
            stop = worker.stops.get(json.loads(req.body).get("id"))
            if stop and rng.random() < 0.6:
                stop.set()
            if rng.random() < 0.3:
                conn.sendall(odd_objects.odd_response(rng))
                return False
            answer_json(conn, rng.choice([200, 200, 200, 503, 404, 409, 500, 204]),
                        odd_order_answer(rng))
            return True
        worker.signals, worker.event, worker.move = signals, event, move

    # ---- changes ----

    def odd_call(self):
        """Send a node a caller's request with odd headers."""
        rng = self.rng
        route = rng.choice(["repeat", "chat", "once", "both"])
        fields = [(rng.choice(CALLER_HEADERS), rng.choice(CALLER_VALUES))
                  for _ in range(rng.choice([1, 1, 2, 3, 40]))]
        if rng.random() < 0.5:
            fields.append(("Rillknot-Token-Usage", rng.choice(CALLER_VALUES)))
        data = "POST /%s/x HTTP/1.1\r\nHost: api.example\r\n" % route
        if not any(name == "X-Api-Key" for name, _ in fields):
            data += "X-Api-Key: %s\r\n" % rng.choice(["key-1", "key-3"])
        if not any(name == "Rillknot-Attempt-Id" for name, _ in fields):
            data += "Rillknot-Attempt-Id: odd-%d\r\n" % len(self.log)
        data += "".join("%s: %s\r\n" % f for f in fields) + "Content-Length: 2\r\n\r\nhi"
        try:
            with self.d.connect(rng.randrange(odd_objects.NODES)) as s:
                s.settimeout(0.2)
                s.sendall(data.encode("latin-1"))
                s.recv(65536)
        except OSError:
            pass  # closed by the node, or no answer yet
        return "%.200r" % fields

    def restart_vms(self):
        """Have each VM begin a new incarnation, as one that says it leaves is used no more."""
        for w in self.d.workers:
            w.born += 1000
            self.d.store.put("servers", w.id, w.spec())
        return ""

    def write_streams(self):
        """Write an odd record of streams' versions, which a restarted node reads."""
        sound = {"era": self.d.store.era, "domain": "a-hall", "wall_ms": int(time.time() * 1000),
                 "groups": [{"version": "v1", "ttl_ms": 9000, "streams": "00112233445566aa" * 3},
                            {"version": "v2", "ttl_ms": 4000, "streams": "f" * 16}]}
        spec = odd_objects.change(self.rng, sound)
        with self.d.store.cond:
            self.d.store._write("rillknot-streams", "%016x" % self.rng.randrange(3), spec)
        return "%.200s" % getattr(spec, "text", repr(spec))

    def move_orders(self):
        return sum(w.move_orders for w in self.d.workers)

    def events(self):
        return ([self.odd_call] * 40 + [self.odd_request] * 5 + [self.restart_vms] * 2 +
                [self.write_streams] * 4)

    # ---- checks ----

    def check_serves(self):
        self.odd_answers_on = False
        self.restart_vms()
        super().check_serves()
        self.check_quota()

    def limited_call(self, number, tokens):
        return self.d.call("/repeat/x", node=number % odd_objects.NODES, key="key-3",
                           headers=[("Rillknot-Token-Usage", "%d,0" % tokens)]).status

    def check_quota(self):
        """An organisation gets what its quota holds, and nothing that is larger."""
        larger = QUOTA_PER_S * self.d.bounds["quotaWindowS"] + QUOTA_BURST + 1
        served = [self.limited_call(n, larger) for n in range(QUOTA_CALLS)].count(200)
        if served:
            self.problem("%d of %d calls beyond a quota were served" % (served, QUOTA_CALLS))
        for number in range(odd_objects.NODES):
            try:
                wait_until(lambda n=number: self.limited_call(n, 1) == 200,
                           2 * self.d.bounds["quotaWindowS"], step=0.2)
            except AssertionError:
                self.problem("node %d serves no call within a quota" % number)


if __name__ == "__main__":
    sys.exit(odd_objects.run_seeds(OddCalls))
