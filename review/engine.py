"""A stand-in for one engine, as a process of its own.

    engine.py ID ZONE EVENTS GAP_S

Each line of its input is a number: from then on so many in a hundred streams are answered
without a length, that is, only the close of the connection ends them. It writes a line for
each stream that begins, and for each that has been sent whole.
"""
import os
import sys

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tools"))
import hosted  # noqa: E402


def say(*words):
    sys.stdout.write(" ".join(words) + "\n")
    sys.stdout.flush()


class Engine(hosted.Worker):
    percent = 0

    def choose_framing(self, req):
        number = int(req.get("Rillknot-Attempt-Id")[:8], 16)
        return "close" if number % 100 < self.percent else "chunked"

    def stream(self, req, conn, upto, end=True):
        ident, first = req.get("Rillknot-Attempt-Id"), req.get("Last-Event-Id", "0")
        say("begin", ident, first, self.choose_framing(req))
        more = super().stream(req, conn, upto, end)
        say("whole", ident)
        return more


def main():
    ident, zone, events, gap_s = sys.argv[1:]
    engine = Engine("", zone, int(events), slots=128)
    engine.id, engine.gap_s = ident, float(gap_s)
    say("listen", engine.addr)
    for line in sys.stdin:
        engine.percent = int(line)


main()
