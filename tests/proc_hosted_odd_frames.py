"""Frames of a peer with odd numbers: nodes neither end nor stop serving on what they are sent."""
import os
import re
import socket
import struct
import time

import odd_frames
from hosted import Hosted, wait_until

PROTO = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "peers", "peers.proto")
BODIES = ("node_report", "store_wanted", "store_text", "digest", "usage_counts", "rollout_word",
          "rollout_seen", "quarantine", "vm_signals")
INTEGERS = ("int64", "uint64", "uint32", "fixed32", "fixed64")
REALS = ("double", "float")
ODD_INTEGERS = [v for v in odd_frames.VARINTS if v > 2 ** 30]
ODD_REALS = [v for v in odd_frames.DOUBLES if not -2 < v < 2]
FLAGS = ("limited", "limit_known", "brittle", "brittle_known", "vms_told", "heard", "fleet")
TEXTS = {"addr": "127.0.0.1:9", "domain": "a-hall", "org": "clinic", "service": "plain",
         "version": "v1", "route": "r", "peers": "127.0.0.1:9", "text": "{}"}
DEPTH_MAX = 4
SERVES_AGAIN_S = 10


def read_schema():
    """Return the fields of each message: (number, type, name, whether it is repeated)."""
    with open(PROTO) as f:
        text = re.sub(r"//.*", "", f.read())
    return {name: [(int(number), kind, field, bool(repeated)) for repeated, kind, field, number in
                   re.findall(r"(repeated )?(\w+) (\w+) = (\d+);", body)]
            for name, body in re.findall(r"message (\w+) \{(.*?)\n\}", text, re.S)}


SCHEMA = read_schema()


def number_paths(message, depth=0):
    """Return the paths of all numbers in a message, as lists of field names."""
    found = []
    for _, kind, name, _ in SCHEMA[message]:
        if kind in INTEGERS + REALS:
            found.append([name])
        elif kind in SCHEMA and depth < DEPTH_MAX:
            found += [[name] + path for path in number_paths(kind, depth + 1)]
    return found


def kind_at(message, path):
    kind = next(k for _, k, name, _ in SCHEMA[message] if name == path[0])
    return kind_at(kind, path[1:]) if len(path) > 1 else kind


def encode_number(kind, value):
    """Return the wire type and the value as odd_frames.build() takes them."""
    if kind in INTEGERS:
        size = {"fixed32": 4, "fixed64": 8}.get(kind)
        if size:
            return (5 if size == 4 else 1), (value % 2 ** (8 * size)).to_bytes(size, "little")
        return 0, value
    if kind == "double":
        return 1, struct.pack("<d", value)
    try:
        return 5, struct.pack("<f", value)
    except OverflowError:
        return 5, struct.pack("<f", float("inf") if value > 0 else float("-inf"))


def encode(message, values, path, odd, depth=0):
    """Return a message with sound fields and the odd number at path."""
    fields = []
    for number, kind, name, _ in SCHEMA[message]:
        rest = path[1:] if path and path[0] == name else None
        if kind in SCHEMA:
            if depth < DEPTH_MAX:
                fields.append([number, 2, encode(kind, values, rest, odd, depth + 1)])
        elif kind == "bool":
            fields.append([number, 0, int(name in FLAGS)])
        elif kind in ("string", "bytes"):
            text = values.get(name, TEXTS.get(name, "" if kind == "bytes" else "odd"))
            fields.append([number, 2, text.encode()])
        else:
            value = odd if rest == [] else values.get(name, 0)
            fields.append([number, *encode_number(kind, value)])
    return odd_frames.build(fields)


def odd_frames_of(values):
    """Return a frame for each number of each message with each odd value."""
    frame = {name: (number, kind) for number, kind, name, _ in SCHEMA["Frame"]}
    for body in BODIES:
        number, message = frame[body]
        for path in number_paths(message):
            integer = kind_at(message, path) in INTEGERS
            for odd in ODD_INTEGERS if integer else ODD_REALS:
                yield "%s %s %r" % (body, ".".join(path), odd), \
                    odd_frames.build([[number, 2, encode(message, values, path, odd)]])


def send_frames(node, frames):
    port = int(node.ready["control_bound"].rsplit(":", 1)[1])
    with socket.create_connection(("127.0.0.1", port)) as s:
        for frame in frames:
            s.sendall(len(frame).to_bytes(4, "big") + frame)
            time.sleep(0.001)
        s.shutdown(socket.SHUT_WR)
        s.settimeout(5)
        while s.recv(65536):
            pass


def known_values(d):
    """Return what a sound peer would say: the list as of now, and that it has one more change."""
    revision = (d.store.era << 40) + d.store.revision
    return {"id": d.workers[0].id, "list_since": d.store.era << 40, "list_revision": revision + 1,
            "settings_version": d.version, "store_age_ms": 100, "remembers_ms": 1000,
            "calls": 5, "value": '{"holder":"edge-odd/1","addr":"127.0.0.1:9","epoch":1,"beat":1}'}


def check_serves(d):
    """Check calls, changes of the settings and of the list, and the leader's reports."""
    reported = len(d.cloud.usage)
    d.add_worker("later")
    version = d.configure([d.route("r", "plain"), d.route("later", "later")],
                          services=("plain", "later"), wait=False)
    d.wait_version(version, timeout=SERVES_AGAIN_S)
    for node in range(len(d.nodes)):
        for route in ("r", "later"):
            wait_until(lambda n=node, r=route: d.call("/%s/x" % r, node=n).status == 200,
                       SERVES_AGAIN_S)
    wait_until(lambda: len(d.cloud.usage) > reported + 1, SERVES_AGAIN_S)
    assert all(n.popen.poll() is None for n in d.nodes)


def play(frames_of):
    with Hosted(nodes=3, zones=("a-hall", "b-hall")) as d:
        d.start()
        d.add_worker("plain")
        d.add_worker("plain", zone="b-hall")
        d.configure([d.route("r", "plain")])
        d.wait_ready()
        wait_until(lambda: d.cloud.usage, 15)
        frames = list(frames_of(known_values(d)))
        for node in d.nodes:
            send_frames(node, [frame for _, frame in frames])
        check_serves(d)
        return len(frames)


def test_a_list_of_a_revision_that_no_store_has_does_not_stop_the_fleet():
    """Guards against a peer's revision that is far above the store's.

    The era in it was taken for the store's, so that all nodes rejected all of its answers, and
    told each other the revision again after a restart.
    """
    def list_frames(values):
        for revision in (2 ** 53, 2 ** 60, 2 ** 62, 2 ** 63 - 1):
            text = odd_frames.build([[3, 0, revision], [5, 0, values["list_since"]]])
            yield "", odd_frames.build([[12, 2, text]])
    play(list_frames)


def test_no_odd_number_of_a_peer_stops_the_fleet():
    """Guards against a number of any message that a node counts on though no node sends it."""
    return "%d frames to each node" % play(odd_frames_of)
