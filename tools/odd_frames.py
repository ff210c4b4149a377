#!/usr/bin/env python3
"""Plays odd values in the frames between real nodes.

Proxies on the nodes' control links change some frames: figures, texts, repeated rows, missing
fields, truncated messages. Run it with nodes that are built with the address and undefined
sanitizers. A seed repeats the choices, but not the frames that they meet.

    tools/odd_frames.py [--build DIR] [--seeds N] [--first SEED] [--seconds S] [--jobs N]
"""
import os
import random
import struct
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import CutProxy  # noqa: E402
from odd_objects import NODES, OddObjects, run_seeds  # noqa: E402

FRAME_MAX = 2 * 1024 * 1024
CHANGED_SHARE = 0.2  # of the frames
VARINTS = (0, 1, 2, 127, 2 ** 31 - 1, 2 ** 31, 2 ** 32 - 1, 2 ** 40, 2 ** 53, 2 ** 62, 2 ** 63 - 1,
           2 ** 63, 2 ** 64 - 1)
DOUBLES = (0.0, -1.0, 0.5, 1e300, -1e300, float("nan"), float("inf"), 2.0 ** 63)
TEXTS = (b"", b"x" * 47, b"x" * 48, b"x" * 70000, b"\xff\xfe", b"\0\0", b"%s%n", b"1" * 400,
         b"127.0.0.1:0", b"999.1.1.1:99999")


def read_varint(data, at):
    value = shift = 0
    while True:
        byte = data[at]
        value |= (byte & 127) << shift
        at, shift = at + 1, shift + 7
        if byte < 128:
            return value, at
        if shift > 63:
            raise IndexError


def write_varint(value):
    out = bytearray()
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def parse(data):
    """Return [number, wire type, value] of each field, or None if data is no message."""
    fields, at = [], 0
    try:
        while at < len(data):
            tag, at = read_varint(data, at)
            number, kind = tag >> 3, tag & 7
            if not number or kind not in (0, 1, 2, 5):
                return None
            if kind == 0:
                value, at = read_varint(data, at)
            else:
                size = {1: 8, 5: 4}.get(kind)
                if size is None:
                    size, at = read_varint(data, at)
                if at + size > len(data):
                    return None
                value, at = data[at:at + size], at + size
            fields.append([number, kind, value])
    except IndexError:
        return None
    return fields


def build(fields):
    out = bytearray()
    for number, kind, value in fields:
        out += write_varint(number << 3 | kind)
        if kind == 0:
            out += write_varint(value)
        else:
            out += (write_varint(len(value)) if kind == 2 else b"") + value
    return bytes(out)


def change(rng, data, depth=0):
    """Return a message with one field changed, here or in a message that it holds."""
    fields = parse(data)
    if not fields:
        return data
    i = rng.randrange(len(fields))
    number, kind, value = fields[i]
    if kind == 2 and value and parse(value) and rng.random() < (0.9 if depth < 2 else 0.6):
        fields[i][2] = change(rng, value, depth + 1)
        return build(fields)
    how = rng.random()
    if how < 0.08:
        del fields[i]
    elif how < 0.16:
        times = rng.choice([2, 100, 100000])
        fields[i:i] = [fields[i]] * min(times, FRAME_MAX // 2 // (len(build([fields[i]])) + 1))
    elif kind == 0:
        fields[i][2] = rng.choice(VARINTS)
    elif kind == 1:
        fields[i][2] = struct.pack("<d", rng.choice(DOUBLES))
    elif kind == 5:
        fields[i][2] = struct.pack("<I", rng.choice([0, 2 ** 31, 2 ** 32 - 1]))
    else:
        fields[i][2] = rng.choice(TEXTS + (value * 2, value[:len(value) // 2]))
    return build(fields)


class OddProxy(CutProxy):
    """A proxy that changes some of the frames that pass through it."""

    def __init__(self, rng):
        self.rng, self.changes, self.odd = rng, 0, True
        super().__init__(None)
        self.addr = "127.0.0.1:%d" % self.port

    def _forward(self, a, b):
        buf = b""
        try:
            while True:
                while len(buf) >= 4 and len(buf) >= 4 + int.from_bytes(buf[:4], "big"):
                    size = int.from_bytes(buf[:4], "big")
                    frame, buf = buf[4:4 + size], buf[4 + size:]
                    if self.odd and self.rng.random() < CHANGED_SHARE:
                        self.changes += 1
                        frame = change(self.rng, frame)[:FRAME_MAX]
                    b.sendall(len(frame).to_bytes(4, "big") + frame)
                data = a.recv(65536)
                if not data:
                    break
                buf += data
        except OSError:
            pass
        for s in (a, b):
            try:
                s.shutdown(2)
            except OSError:
                pass


class OddFrames(OddObjects):
    """One run, with sound objects and odd frames."""

    def __init__(self, *args):
        super().__init__(*args)
        self.proxies, self.d.initial_nodes = [], 0

    def start(self):
        for _ in range(NODES):
            proxy = OddProxy(random.Random(self.rng.random()))
            proxy.target = int(self.d.add_node(advertise=proxy.addr).ready["control_bound"]
                               .rsplit(":", 1)[1])
            self.proxies.append(proxy)
        super().start()

    def changes(self):
        return sum(p.changes for p in self.proxies)

    def play(self):
        while time.monotonic() < self.began + self.seconds:
            time.sleep(0.5)
            if self.rng.random() < 0.3:
                self.configure()
            self.check_nodes()
        for p in self.proxies:
            p.odd = False


if __name__ == "__main__":
    sys.exit(run_seeds(OddFrames))
