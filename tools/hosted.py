"""A deployment of real rillknot-node processes on a stand-in for the hosting platform.

The stand-ins implement the published protocol of the platform's metadata store, its
cloud API and its workers (the VMs), with faults that tests can inject. They run in
threads of the test's process, on ports that the kernel chooses.
"""
import collections
import glob
import itertools
import json
import os
import re
import socket
import struct
import tempfile
import threading
import time
import urllib.parse

from cluster import ROOT, Proc, free_port, sanitizer_report

TEMPLATE = os.path.join(ROOT, "deploy", "entry.json")
# Reads that the platform's store serves in a second, divided by the nodes that may watch it.
STORE_MAX_READS_PER_NODE = 2000 / 12
REASON_PHRASES = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected",
           429: "Too Many", 503: "Unavailable"}


class Request:
    """A received HTTP request; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.at = time.monotonic()  # when it had been received
        self.answered = False  # before its body had been received

    def get(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)


# How an answer's body may be delimited: by chunks, by its length, or only by the end of its
# connection.
FRAMINGS = ("chunked", "length", "close")


class RawServer:
    """An HTTP/1.1 server on raw sockets, so that a test can answer with any bytes.

    Each connection has a thread of its own. handle(request, conn) sends the answer
    and returns False to close the connection.
    """

    def __init__(self, port=0):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(256)
        self.port = self.sock.getsockname()[1]
        self.addr = "127.0.0.1:%d" % self.port
        self.connections = 0
        self.conns = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            # As servers do: otherwise the first event of a stream waits up to 40 ms for the
            # acknowledgement of its head, on some connections only.
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections += 1
            self.conns.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        buf = b""
        try:
            while True:
                req, buf = self._read(conn, buf)
                if req is None or (not req.answered and self.handle(req, conn) is False):
                    return
        except OSError:
            pass
        finally:
            self.conns.discard(conn)
            conn.close()

    def _read(self, conn, buf):
        """Return the next request, None at the end, and the bytes received after it."""
        while b"\r\n\r\n" not in buf:
            part = conn.recv(65536)
            if not part:
                return None, b""
            buf += part
        head, buf = buf.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        req = Request(method, target, headers, b"")
        if len(buf) < length:
            req.answered = self.answer_early(req, conn)
        while len(buf) < length:
            part = conn.recv(65536)
            if not part:
                return None, b""
            buf += part
        req.body, req.at = buf[:length], time.monotonic()
        return req, buf[length:]

    def stop_listening(self):
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def close(self):
        """Stop listening and reset all connections, as when a VM has disappeared."""
        self.stop_listening()
        for conn in list(self.conns):
            reset(conn)

    def answer_early(self, req, conn):
        """Answer a request whose body is still being received; return whether it did."""
        return False

    def handle(self, req, conn):
        raise NotImplementedError


def reset(conn):
    """Close a connection with a TCP reset."""
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()
    except OSError:
        pass


def answer_json(conn, status, value, headers=b""):
    body = json.dumps(value).encode()
    conn.sendall(b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                 b"%sContent-Length: %d\r\n\r\n%s"
                 % (status, REASON_PHRASES.get(status, "X").encode(), headers, len(body), body))


class Store(RawServer):
    """The metadata store.

    fault(request) injects a fault: "lost" executes the request and does not answer,
    "silent" does not execute it either, "reset" resets the connection, a number is
    the status of the answer, and None means no fault.

    era counts how often the store came back from an older copy. Each answer has the value
    of answer_era() in the header Store-Era, unless that is None.

    shows_existing: a refused create is answered with the object that is there.
    """

    shows_existing = True

    def __init__(self):
        self.page = 5  # objects; small, so that paging is exercised
        self.era = 1
        self.answer_era = lambda: str(self.era)
        self.objects = collections.defaultdict(dict)  # kind -> name -> object
        self.log = []  # (revision, kind, whether it was deleted, object)
        self.revision = 100
        self.oldest_revision = 0  # a watch from an earlier revision is answered 410
        self.cond = threading.Condition()
        self.fault = None
        self.calls = []  # all requests received
        self.platform_state = {}  # (kind, name) -> spec that put() wrote; None: dropped
        super().__init__()

    def put(self, kind, name, spec):
        """Write an object, as an operator or a worker does, and return it."""
        with self.cond:
            self.platform_state[kind, name] = spec
            return self._write(kind, name, spec)

    def drop(self, kind, name):
        """Delete an object, if it is there, as an operator or a worker does."""
        with self.cond:
            self.platform_state[kind, name] = None
            if name in self.objects[kind]:
                self._remove(kind, name)

    def write_platform_state_again(self):
        """Write what operators and workers wrote and a restore has lost."""
        with self.cond:
            for (kind, name), spec in self.platform_state.items():
                found = self.objects[kind].get(name)
                if spec is None and found:
                    self._remove(kind, name)
                elif spec is not None and (not found or found["spec"] != spec):
                    self._write(kind, name, spec)

    def forget_history(self):
        """Discard the change history; watches from an older revision are answered 410."""
        with self.cond:
            self.oldest_revision = self.revision
            self.cond.notify_all()

    def copy(self):
        """Return a copy of the current state, for restore()."""
        with self.cond:
            return self.revision, {kind: dict(named) for kind, named in self.objects.items()}

    def restore(self, copy, away_s=0.0, before_return=lambda: None):
        """Come back from an earlier copy after away_s seconds without answers.

        What was written since the copy is lost and its revisions are given out again.
        Waiting watches end with a reset. before_return may write to the restored state
        before the first answer.
        """
        normal, self.fault = self.fault, lambda req: "reset"
        for conn in list(self.conns):
            reset(conn)
        time.sleep(away_s)
        with self.cond:
            self.era += 1
            self.revision, objects = copy
            self.objects = collections.defaultdict(dict)
            self.objects.update({kind: dict(named) for kind, named in objects.items()})
            self.log = [entry for entry in self.log if entry[0] <= self.revision]
            self.cond.notify_all()
        before_return()
        self.fault = normal

    def _write(self, kind, name, spec, status=None):
        """Write an object; without a status, it keeps the recorded one."""
        if status is None:
            status = self.objects[kind].get(name, {}).get("status")
        self.revision += 1
        made = self.objects[kind].get(name, {}).get("metadata", {}).get("made", self.revision)
        o = {"metadata": {"name": name, "revision": self.revision, "made": made,
                          "finalizers": [], "deleting": False}, "spec": spec,
             "status": status}
        self.objects[kind][name] = o
        self.log.append((self.revision, kind, False, o))
        self.cond.notify_all()
        return o

    def _remove(self, kind, name):
        o = self.objects[kind].pop(name)
        self.revision += 1
        self.log.append((self.revision, kind, True, o))
        self.cond.notify_all()

    def handle(self, req, conn):
        self.calls.append(req)
        fault = self.fault(req) if self.fault else None
        if fault == "silent":
            time.sleep(30)
            return False
        if fault == "reset":
            reset(conn)
            return False
        if isinstance(fault, int):
            answer_json(conn, fault, {}, self._era_header())
            return True
        status, value = self._answer(req)
        if fault == "lost":
            time.sleep(30)
            return False
        self.send(conn, status, value)
        return True

    def send(self, conn, status, value):
        answer_json(conn, status, value, self._era_header())

    def _era_header(self):
        era = self.answer_era()
        return b"" if era is None else b"Store-Era: %s\r\n" % era.encode()

    def _answer(self, req):
        url = urllib.parse.urlsplit(req.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        parts = url.path[len("/api/objects/"):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if req.method == "GET" and name is None:
            if "watch" in query:
                return self._watch(kind, int(query["watch"]), int(query["waitMs"]))
            return self._list(kind, query.get("sinceRev", ""))
        with self.cond:
            return self._object_request(req, kind, name)

    def _list(self, kind, after):
        """Answer with the next page of objects, by name.

        The query's sinceRev holds the last name of the previous page, not a revision.
        """
        with self.cond:
            names = sorted(n for n in self.objects[kind] if n > after)
            page = names[:self.page]
            return 200, {"entries": [self.objects[kind][n] for n in page],
                         "more": len(names) > len(page), "at": self.revision}

    def _watch(self, kind, since, wait_ms):
        """Long poll: answer with later changes, or with none after wait_ms."""
        end = time.monotonic() + wait_ms / 1000
        with self.cond:
            while True:
                if since < self.oldest_revision or since > self.revision:
                    return 410, {"error": "history is gone"}
                # Backwards: the log of a long run is much longer than what a watch has missed.
                later = itertools.takewhile(lambda entry: entry[0] > since, reversed(self.log))
                events = [{"gone": gone, "object": o} for _, k, gone, o in later if k == kind]
                events.reverse()
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.cond.wait(left)

    def _object_request(self, req, kind, name):
        """Answer a request for one object; the caller holds self.cond."""
        body = json.loads(req.body) if req.body else {}
        if req.method == "POST":
            name = body["metadata"]["name"]
            if name in self.objects[kind]:
                return 409, self.objects[kind][name] if self.shows_existing else {}
            return 200, self._write(kind, name, body["spec"])
        o = self.objects[kind].get(name)
        if o is None:
            return 404, {}
        if req.method == "GET":
            return 200, o
        expected_revision = body.get("metadata", {}).get("revision")
        if expected_revision is not None and expected_revision != o["metadata"]["revision"]:
            return 409, o
        if req.method == "DELETE":
            self._remove(kind, name)
            return 200, o
        if urllib.parse.urlsplit(req.target).path.endswith("/status"):
            return 200, self._write(kind, name, o["spec"], body["status"])
        if o["spec"] == body["spec"]:
            return 200, o
        return 200, self._write(kind, name, body["spec"])


class Cloud(RawServer):
    """The cloud API for usage reports and VM orders, with fencing.

    refuse_spot: orders of spot VMs are refused, as if there were no spot capacity.
    fault(request) may return a status to answer with, or "lost": the request is
    executed and not answered. odd_answer(conn) may answer itself, and returns what handle()
    returns; if it returns None, the cloud answers.
    """

    odd_answer = None

    def __init__(self):
        self.usage = []  # accepted reports: (window, counts, leader, fence)
        self.orders = []  # accepted: (service, zone, spot, count, leader, fence)
        self.highest_fence = {}  # by subject: usage, or (service, zone)
        self.refused = []  # requests with an outdated fence: (subject, fence, leader)
        self.refuse_spot = False
        self.fault = None
        super().__init__()

    def handle(self, req, conn):
        body = json.loads(req.body)
        fence = int(req.get("Rillknot-Fencing-Token"))
        leader = req.get("Rillknot-Duty-Holder")
        subject = "usage" if req.target == "/usage" else (body["service"], body["zone"])
        fault = self.fault(req) if self.fault else None
        if isinstance(fault, int):
            answer_json(conn, fault, {})
            return True
        result = self.odd_answer(conn) if self.odd_answer else None
        if result is not None:
            return result
        if fence < self.highest_fence.get(subject, 0):
            self.refused.append((subject, fence, leader))
            answer_json(conn, 409, {"error": "a higher fence was seen"})
            return True
        self.highest_fence[subject] = fence
        if req.target == "/usage":
            self.usage.append((body["windowId"], body["counts"], leader, fence))
        elif body.get("spot") and self.refuse_spot:
            answer_json(conn, 409, {"error": "none of that kind is to be had"})
            return True
        else:
            self.orders.append((body["service"], body["zone"], bool(body.get("spot")),
                                body["desiredCount"], leader, fence))
        if fault == "lost":
            time.sleep(30)
            return False
        answer_json(conn, 200, {})
        return True


LONG_BODY = 64 * 1024


class Worker(RawServer):
    """A VM that runs a plain service, or a model engine if events is not 0.

    fault(worker, request, conn) may answer a request itself and return what handle()
    returns; if it returns None, the worker answers.
    """

    FALL_S = 2.0
    ids = itertools.count(1)
    # Copies of requests' KV caches, by handle: (request id, address of the worker that
    # holds the copy).
    copies = {}

    def __init__(self, service, zone, events=0, slots=6, version="v1", port=0):
        self.version = version
        self.id = "i-%010x" % next(self.ids)
        self.service, self.zone, self.slots = service, zone, slots
        self.events = events  # number of events in a stream; 0: plain service
        self.framing = "chunked" if events else "length"  # one of FRAMINGS
        self.gap_s = 0.0  # delay before each event
        self.tokens_per_s = 0  # prefill rate before the first event; 0: no delay
        self.fault = None
        self.early_status = None  # status with which long requests are answered early
        self.may_read_rest = threading.Event()  # of a request that was answered early
        self.seen = []  # all requests received, except orders to move a KV cache
        self.runs = collections.Counter()  # executions by request id
        self.events_sent = collections.Counter()  # whole events of streams by request id
        self.left = []  # (request id, time) of streams that the caller's side closed
        self.stops = {}  # threading.Event to stop a running stream, by request id
        self.move_fault = None  # see move()
        self.move_orders = 0  # received, whatever came of them
        self.moved = []  # ids of requests whose KV cache was copied to another worker
        self.resumed_from_copy = []  # ids of requests that resumed from a copied KV cache
        self.limit = None  # accepted requests/s, advertised in each answer
        # Refusals/s for want of room that it stands, advertised in each answer. Beyond them it
        # falls over: it resets all connections for FALL_S. None: not brittle.
        self.brittle = None
        self.room = None  # most requests at once, those that wait included; None: no limit
        self.work_s = 0.0  # time that a plain request takes
        self.active = 0  # requests being run, and those that wait
        self.free_slots = threading.Semaphore(slots)
        self.room_lock = threading.Lock()
        self.refused_at = collections.deque()  # times of the refusals within a second
        self.fallen_until, self.falls = 0.0, 0
        self.says_leaving = False  # whether each answer advertises that the VM leaves
        self.retry_after_s = 0  # if not 0: refuses all requests and asks for this cooldown
        self.stopped = False
        self.born = int(time.time() * 1000)  # start time in ms, the incarnation
        super().__init__(port)

    def spec(self, state="ready", spot=False):
        """Return the worker's object in the metadata store."""
        return {"service": self.service, "address": self.addr, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": state, "coldLeftMs": 0,
                "spot": spot, "seqNo": 1, "born": self.born}

    def move(self, req, conn):
        """Stop a running stream and copy its KV cache to another worker.

        The order's targetVersion holds the address of the other worker. move_fault: "gone"
        answers 404 and does nothing, "full" keeps the copy here and answers 503, "lost"
        stops the stream but makes no copy and does not answer, "dies" also stops the worker.
        """
        order = json.loads(req.body)
        self.move_orders += 1
        stop = self.stops.get(order["id"])
        if self.move_fault == "gone" or stop is None:
            answer_json(conn, 404, {})
            return True
        stop.set()
        if self.move_fault in ("lost", "dies"):
            if self.move_fault == "dies":
                self.stop_at_once()
            time.sleep(5)
            return False
        handle = "h-%d" % next(self.ids)
        full = self.move_fault == "full"
        Worker.copies[handle] = (order["id"], self.addr if full else order["targetVersion"])
        self.moved.append(order["id"])
        answer_json(conn, 503 if full else 200, {"handle": handle, "made": 1})
        return True

    def take_copy(self, req):
        """Take the KV cache copy that the request names; return whether it is usable here.

        A copy can be used once.
        """
        handle = req.get("Kv-From").split("/")[1]
        ident, addr = Worker.copies.pop(handle, (None, None))
        if ident != req.get("Rillknot-Attempt-Id") or addr != self.addr:
            return False
        self.resumed_from_copy.append(ident)
        return True

    def answer_early(self, req, conn):
        """Answer with early_status, and read the rest of the body once that is allowed."""
        if not self.early_status:
            return False
        conn.sendall(self.head(req, self.early_status, b"Content-Length: 0\r\n"))
        self.may_read_rest.wait()
        return True

    def handle(self, req, conn):
        if req.target == "/api/kv-move":
            return self.move(req, conn)
        if req.method == "GET" and req.target == "/healthz":
            conn.sendall(b"HTTP/1.1 200 OK\r\nRillknot-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                         % self.id.encode())
            return True
        self.seen.append(req)
        if req.get("Kv-From") and not self.take_copy(req):
            return self.refuse_request(req, conn)
        if req.get("Rillknot-Expect-Instance", self.id) != self.id:
            conn.sendall(b"HTTP/1.1 421 Misdirected Request\r\nRillknot-Instance-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % self.id.encode())
            return True
        if self.retry_after_s:
            return self.refuse_request(req, conn)
        if self.fault:
            result = self.fault(self, req, conn)
            if result is not None:
                return result
        if time.monotonic() < self.fallen_until:
            reset(conn)
            return False
        if not self.enter():
            return self.refuse_request(req, conn)
        try:
            return self.run(req, conn)
        finally:
            with self.room_lock:
                self.active -= 1

    def stop_at_once(self):
        """Stop like a killed process; running requests are lost."""
        self.stopped = True
        self.close()

    def signature(self, req):
        return "%s.%s" % (self.id, req.get("Rillknot-Attempt-Id"))

    def signals(self):
        """Return the header lines that advertise the worker's state in each answer."""
        lines = b""
        if self.limit is not None:
            lines += b"Server-Limit: %g\r\n" % self.limit
        if self.brittle is not None:
            lines += b"Server-Brittle: %g\r\n" % self.brittle
        if self.says_leaving:
            lines += b"Server-Leaving: 1\r\n"
        return lines

    def enter(self):
        """Take a place for a request; return whether there was one."""
        with self.room_lock:
            if self.room is None or self.active < self.room:
                self.active += 1
                return True
            now = time.monotonic()
            self.refused_at.append(now)
            while self.refused_at[0] < now - 1:
                self.refused_at.popleft()
            if self.brittle is not None and len(self.refused_at) > self.brittle:
                self.refused_at.clear()
                self.falls += 1
                self.fallen_until = now + self.FALL_S
                for conn in list(self.conns):
                    reset(conn)
            return False

    def head(self, req, status=200, framing=b"", extra=b""):
        """Return the status line and the headers of an answer."""
        return (b"HTTP/1.1 %d %s\r\nRillknot-Attempt-Id: %s\r\n"
                b"Rillknot-Server-Signature: %s\r\n%s%s%s\r\n"
                % (status, REASON_PHRASES.get(status, "X").encode(),
                   req.get("Rillknot-Attempt-Id").encode(),
                   self.signature(req).encode(), self.signals(), framing, extra))

    def refuse_request(self, req, conn):
        """Refuse a request: 503, declared as not executed."""
        retry_after = b"Retry-After: %g\r\n" % self.retry_after_s if self.retry_after_s else b""
        conn.sendall(b"HTTP/1.1 503 Service Unavailable\r\nRillknot-Not-Executed: 1\r\n"
                     b"Rillknot-Attempt-Id: %s\r\n%s%sContent-Length: 0\r\n\r\n"
                     % (req.get("Rillknot-Attempt-Id").encode(), self.signals(), retry_after))
        return True

    def body(self, req):
        return b"answer of %s to %s" % (self.id.encode(),
                                        req.get("Rillknot-Attempt-Id").encode())

    def run(self, req, conn):
        self.runs[req.get("Rillknot-Attempt-Id")] += 1
        if self.events:
            return self.stream(req, conn, self.events)
        if self.work_s:
            with self.free_slots:
                time.sleep(self.work_s)
        body = self.body(req)
        framing = self.choose_framing(req)
        head = self.head(req, framing=self.framing_header(framing, len(body)))
        # In one write: the kernel holds a second small one back until the first is
        # acknowledged, for up to 40 ms. A long body is not copied: that stops all threads.
        if framing != "chunked" and len(body) > LONG_BODY:
            conn.sendall(head)
            conn.sendall(body)
        else:
            conn.sendall(head + self.framed(framing, body))
        return self.end_body(conn, framing)

    def choose_framing(self, req):
        """Return the framing of the answer to a request, one of FRAMINGS."""
        return self.framing

    @staticmethod
    def framing_header(framing, length):
        """Return the header line that delimits a body of this length."""
        return {"chunked": b"Transfer-Encoding: chunked\r\n",
                "length": b"Content-Length: %d\r\n" % length, "close": b""}[framing]

    @staticmethod
    def framed(framing, data):
        """Return a part of a body with its framing."""
        return b"%x\r\n%s\r\n" % (len(data), data) if framing == "chunked" else data

    def send_body(self, conn, framing, data):
        """Send a part of a body."""
        conn.sendall(self.framed(framing, data))

    @staticmethod
    def end_body(conn, framing):
        """Complete an answer; return whether its connection stays open."""
        if framing == "chunked":
            conn.sendall(b"0\r\n\r\n")
        return framing != "close"

    @staticmethod
    def event(req, number):
        return b"id: %d\ndata: %s token %d\n\n" % (
            number, req.get("Rillknot-Attempt-Id").encode(), number)

    @staticmethod
    def last_event(req):
        """Return the number after which a request takes its stream up; 0: it names none."""
        value = req.get("Last-Event-Id", "")
        return int(value) if value.isascii() and value.isdigit() else 0

    def stream(self, req, conn, upto, end=True):
        """Send the events after Last-Event-Id up to number upto.

        end: complete the answer. Returns whether the connection stays open.
        """
        if self.tokens_per_s:
            tokens = float(req.get("Rillknot-Token-Usage", "0,0").split(",")[0])
            time.sleep(tokens / self.tokens_per_s)
        framing = self.choose_framing(req)
        first = self.last_event(req) + 1
        whole = sum(len(self.event(req, n)) for n in range(first, self.events + 1))
        conn.sendall(self.head(req, framing=self.framing_header(framing, whole),
                               extra=b"Content-Type: text/event-stream\r\n"))
        stop = self.stops[req.get("Rillknot-Attempt-Id")] = threading.Event()
        for number in range(first, upto + 1):
            if self.gap_s:
                time.sleep(self.gap_s)
            if stop.is_set():
                return False
            try:
                self.send_body(conn, framing, self.event(req, number))
            except OSError:
                self.left.append((req.get("Rillknot-Attempt-Id"), time.monotonic()))
                raise
            self.events_sent[req.get("Rillknot-Attempt-Id")] += 1
        self.stops.pop(req.get("Rillknot-Attempt-Id"), None)
        return self.end_body(conn, framing) if end else True


def render(text, fields):
    """Expand a template in the part of the platform's language that deploy/entry.json uses."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def lookup_or_none(name):
        try:
            return lookup(name)
        except (KeyError, IndexError):
            return None

    def expand_section(match):
        items = lookup_or_none(match.group(1))
        if items in (None, False):
            return ""
        if not isinstance(items, list):
            items = [items]
        out = []
        for i, item in enumerate(items):
            s = match.group(2).replace("{{.}}", str(item))
            out.append(s.replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(out)

    def expand_field(match):
        value = lookup_or_none(match.group(1))
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", expand_section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", expand_field, text)


BOUNDS = {"graceS": 8, "leaseMs": 1200, "reportWindowS": 1, "usageLateS": 4,
          "quotaWindowS": 4, "quotaSlack": 0, "quotaOverrun": 0.0, "budgetExtra": 40, "retryBudgetRatio": 0.2}


class Answer:
    """An HTTP response; status is 0 if none was received."""

    def __init__(self, status, headers, body, whole):
        self.ended = time.monotonic()  # before a long body is copied
        self.status, self.headers, self.whole = status, headers, whole
        self.body = bytes(body)
        self.took_s = 0.0


class Hosted:
    """A deployment of store, cloud, workers and nodes, used as a context manager.

    The nodes are distributed over the zones (failure domains) in turn. bounds overrides
    entries of BOUNDS.
    """

    def __init__(self, nodes=1, zones=("klein-hall",), build=None, bounds=None,
                 fixed_addresses=False):
        self.fixed_addresses = fixed_addresses  # nodes keep their addresses over a restart
        self.build = build or os.environ.get("RILLKNOT_BUILD", "build")
        self.zones = list(zones)
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store, self.cloud = Store(), Cloud()
        self.dir = tempfile.mkdtemp(prefix="rillknot-hosted-")
        self.workers, self.nodes = [], []
        self.processes = []  # all that were started, also of nodes that were restarted since
        self.version = 0
        self.ids = itertools.count(1)
        self.initial_nodes = nodes

    def __enter__(self):
        return self.start()

    def start(self):
        """Start the initial nodes that do not run yet."""
        while len(self.nodes) < self.initial_nodes:
            self.add_node()
        return self

    def __exit__(self, *_):
        self.stop()
        self.check_processes()
        self.check_logs()

    def check_processes(self):
        """Raise AssertionError if a node has crashed."""
        for p in self.processes:
            if p.has_crashed():
                raise AssertionError("crashed, status %d: %s" % (p.popen.returncode, p.log))

    def check_logs(self):
        """Raise AssertionError if a sanitizer has reported something of any process."""
        for log in glob.glob(os.path.join(self.dir, "*.log")):
            report = sanitizer_report(log)
            if report:
                raise AssertionError("a sanitizer's report: %s: %s" % (log, report))

    def stop(self):
        for node in self.nodes:
            if node.popen.poll() is None:
                node.kill()
        for server in [self.store, self.cloud] + self.workers:
            try:
                server.close()
            except OSError:
                pass

    # ---- nodes and workers ----

    def add_node(self, first_start=True, **more):
        """Start a node and return its Proc.

        more holds template fields that differ from the defaults, and `advertise`, the
        control address that peers are given.
        """
        number = len(self.nodes) + 1
        zone = self.zones[(number - 1) % len(self.zones)]
        any_port = "127.0.0.1:0"
        control = "127.0.0.1:%d" % (free_port() if self.fixed_addresses else 0)
        fields = {"nodeName": "edge-%s-%d" % (zone, number), "zone": zone,
                  "ip": "127.0.0.1", "portRange": [0, 0],
                  "platform": {"address": self.store.addr},
                  "cloud": {"address": self.cloud.addr},
                  "listen": {"front": any_port, "readiness": any_port, "control": control},
                  "seeds": [n.ready["control"] for n in self.nodes[:3]],
                  "bootstrap": first_start, "bounds": self.bounds,
                  "limits": {"cpuShare": 0.25}}
        advertise = more.pop("advertise", None)
        fields.update(more)
        path = os.path.join(self.dir, "%s.json" % fields["nodeName"])
        with open(TEMPLATE) as f:
            text = render(f.read(), fields)
        if advertise:
            text = text.replace("{", '{"control_advertise": "%s",' % advertise, 1)
        with open(path, "w") as out:
            out.write(text)
        node = Proc([os.path.join(self.build, "rillknot-node"), path], path + ".log",
                    "node.started")
        node.name, node.file = fields["nodeName"], path
        self.nodes.append(node)
        self.processes.append(node)
        return node

    def restart_node(self, index):
        """Restart a node as after a kill, in a deployment that has started before.

        A node that still runs is killed. Otherwise it would keep sending requests to the
        address of its store, which another server may be given later.
        """
        old = self.nodes[index]
        if old.popen.poll() is None:
            old.kill()
        with open(old.file) as f:
            text = f.read().replace('"first_start": true', '"first_start": false')
        with open(old.file, "w") as f:
            f.write(text)
        node = Proc([os.path.join(self.build, "rillknot-node"), old.file],
                    "%s.%d.log" % (old.file, next(self.ids)), "node.started")
        node.name, node.file = old.name, old.file
        self.nodes[index] = node
        self.processes.append(node)
        return node

    def add_worker(self, service, events=0, zone=None, spot=False, **kw):
        """Start a worker and list it in the store."""
        worker = Worker(service, zone or self.zones[0], events, **kw)
        worker.spot = spot
        self.workers.append(worker)
        self.store.put("servers", worker.id, worker.spec(spot=spot))
        return worker

    def start_rollout(self, service, version, duration_s, bad=None, count=None):
        """Order a rollout as an operator does; return the old and the new workers.

        Starts workers of the new version beside the old ones, at most count of them; bad
        is their Worker.fault. Acts for the platform at the end of the rollout: the old workers
        are killed when it has completed, the new ones are drained when it is rolled back.
        """
        listed = self.store.objects["servers"]
        old = [w for w in self.workers if w.service == service and w.id in listed]
        new = [self.add_worker(service, events=w.events, zone=w.zone, slots=w.slots,
                               version=version) for w in old[:count]]
        for w in new:
            w.fault = bad
        self.store.put("rollouts", service, {"service": service, "targetVersion": version,
                                             "durationS": duration_s})

        def watch():
            while True:
                time.sleep(0.01)
                state = self.rollout_state(service, version)
                if state == "completed":
                    for w in old:
                        w.stop_at_once()
                        self.store.drop("servers", w.id)
                if state == "rolled_back":
                    for w in new:
                        self.drain(w)
                if state in ("completed", "rolled_back"):
                    return
        threading.Thread(target=watch, daemon=True).start()
        return old, new

    def rollout_state(self, service, version=None):
        """Return the recorded state of the service's rollout.

        Returns None if there is none, or if it is of another version than the named one.
        """
        status = self.store.objects["rollouts"].get(service, {}).get("status") or {}
        return status.get("state") if version in (None, status.get("targetVersion")) else None

    def drain(self, worker):
        """List the worker as draining."""
        self.store.put("servers", worker.id, worker.spec("draining", worker.spot))

    @staticmethod
    def route(name, service, kind="idempotent", **kw):
        r = {"name": name, "host": "api.example", "pathPrefix": "/%s/" % name,
             "routeType": kind, "timeoutMs": 3000, "sloMs": 500, "priority": 1,
             "service": service, "maxAttempts": 2, "anonymous": False, "sticky": False,
             "resumable": False}
        r.update(kw)
        return r

    def configure(self, routes, services=("plain",), tenants=None, wait=True, **kw):
        """Write the next settings version and return its number.

        wait: return only when all nodes have applied it.
        """
        self.version += 3
        spec = {"version": self.version, "routes": routes,
                "services": [s if isinstance(s, dict) else
                             {"name": s, "healthPath": "/healthz", "maxConns": 200,
                              "protocol": "h1", "tls": False} for s in services],
                "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536,
                           "headerTimeoutMs": 1500, "idleTimeoutMs": 6000},
                "tenants": tenants if tenants is not None else
                [{"name": "clinic", "apiKeys": ["key-1"], "unit": "token_stream",
                  "plainTokens": 1, "ratePerS": 0, "burst": 0}]}
        spec.update(kw)
        self.store.put("config", "main", spec)
        if wait:
            self.wait_version(spec["version"])
        return spec["version"]

    def wait_version(self, version, nodes=None, timeout=20):
        wait_until(lambda: all(self.gauge(n, "settings_version") >= version
                               for n in nodes or self.nodes), timeout)

    def wait_ready(self, timeout=20):
        wait_until(lambda: all(self.ready(n) for n in self.nodes), timeout)

    # ---- requests to nodes ----

    @staticmethod
    def port(addr):
        return int(addr.rsplit(":", 1)[1])

    def page(self, addr, path):
        return http(self.port(addr), "GET", path)

    def ready(self, node):
        return self.page(node.ready["ready"], "/api/readyz").status == 200

    def metrics(self, node):
        return self.page(node.ready["metrics"], "/metrics").body.decode()

    def gauge(self, node, name):
        """Return the value of an unlabelled metric, 0 if there is none."""
        found = re.search(r"^rillknot_%s (-?\d+)$" % name, self.metrics(node), re.M)
        return int(found.group(1)) if found else 0

    def call(self, target, node=0, method="POST", body=b"hello", key="key-1", ident=None,
             deadline=2000, headers=(), host="api.example", timeout=20):
        """Send a request to a node and return the Answer; deadline is in ms."""
        ident = ident or "%016x" % next(self.ids)
        fields = [("Host", host), ("Rillknot-Attempt-Id", ident),
                  ("Rillknot-Deadline-Ms", str(deadline))]
        if key:
            fields.append(("X-Api-Key", key))
        answer = http(self.port(self.nodes[node].ready["listen"]), method, target,
                      fields + list(headers), body, timeout)
        answer.ident = ident
        return answer

    def connect(self, node=0):
        s = socket.create_connection(
            ("127.0.0.1", self.port(self.nodes[node].ready["listen"])))
        s.settimeout(20)
        return s

    def trace(self, ident):
        """Return what the nodes have logged of a request, with the clock's time in seconds."""
        return [(round(e["wall_ms"] / 1000 % 1000, 3), n.ready["listen"], e["event"],
                 {k: e[k] for k in ("status", "why", "took_ms", "after_ms", "what", "vm", "peer")
                  if k in e})
                for n in self.nodes for e in n.events() if e.get("request") == ident]

    def runs(self, ident):
        """Return how often all workers together executed the request."""
        return sum(w.runs[ident] for w in self.workers)


def http(port, method, target, headers=(("Host", "x"),), body=b"", timeout=20):
    """Send one request on a new connection and return the Answer.

    Answer.whole is False if the answer was incomplete or the connection broke. Raises
    OSError if the connection can't be made.
    """
    start = time.monotonic()
    s = socket.create_connection(("127.0.0.1", port), timeout)
    s.settimeout(timeout)
    lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % h for h in headers]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    try:
        s.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = read_answer(s, method)
    except OSError:
        answer = Answer(0, {}, b"", False)
    s.close()
    answer.took_s = answer.ended - start
    return answer


KEPT_MAX = 32 * 1024 * 1024  # bytes of a body


def read_answer(s, method="GET", rest=None):
    """Read one answer from a connection.

    rest is a list in which bytes received after the answer are kept for the next call.
    """
    buf = rest.pop() if rest else b""
    try:
        while b"\r\n\r\n" not in buf:
            part = s.recv(65536)
            if not part:
                return Answer(0, {}, buf, False)
            buf += part
        head, buf = buf.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        try:
            status = int(lines[0].split(" ")[1])
            headers = dict((k.lower(), v.strip()) for k, v in
                           (x.split(":", 1) for x in lines[1:]))
        except (IndexError, ValueError):
            raise ValueError("malformed head: %.300r" % head) from None
        body, buf, whole = read_body(s, headers, buf, method)
    except OSError:
        return Answer(0, {}, buf, False)
    if rest is not None:
        rest.append(buf)
    return Answer(status, headers, body, whole)


def read_body(s, headers, buf, method):
    """Return the body, the bytes received after it, and whether it is complete.

    A body without end is read to its end, but no more than about KEPT_MAX bytes are kept.
    To copy or allocate hundreds of megabytes stops all threads for up to a second.
    """
    buf = bytearray(buf)  # grows in place

    def more():
        try:
            part = s.recv(65536)
        except OSError:
            return None
        buf.extend(part)
        return part

    if method == "HEAD":
        return b"", bytes(buf), True
    if "content-length" in headers:
        length = int(headers["content-length"])
        while len(buf) < length:
            if not more():
                return buf, b"", False
        return buf[:length], bytes(buf[length:]), True
    if "chunked" not in headers.get("transfer-encoding", ""):
        while True:
            part = more()
            if not part:
                assert part is None or len(buf) < KEPT_MAX, "cut by this reader"
                return buf, b"", part is not None
            del buf[KEPT_MAX:]
    body = bytearray()
    searched = 0  # bytes of buf that hold no end of the line
    while True:
        while (end := buf.find(b"\r\n", max(searched - 1, 0))) < 0:
            searched = len(buf)
            if not more():
                return body, b"", False
        size = int(buf[:end], 16)
        del buf[:end + 2]
        searched = 0
        while len(buf) < size + 2:
            if not more():
                body.extend(buf)
                return body, b"", False
        if len(body) < KEPT_MAX:
            body.extend(buf[:size])
        del buf[:size + 2]
        if not size:
            assert len(body) < KEPT_MAX, "cut by this reader"
            return body, bytes(buf), True


def max_units_in_window(uses, window_s):
    """Return the most units in any window of window_s; uses holds (time, units)."""
    uses = sorted(uses)
    first, units, most = 0, 0, 0
    for at, used in uses:
        units += used
        while at - uses[first][0] >= window_s:
            units -= uses[first][1]
            first += 1
        most = max(most, units)
    return most


def wait_until(condition, timeout=20, step=0.02):
    """Poll condition until it is true; raise AssertionError after timeout seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(step)
    raise AssertionError("condition not met within %s s: %s" % (timeout, condition))
