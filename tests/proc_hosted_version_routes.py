"""Tests of streams that are taken up after requests were routed to another service.

The services run different software versions, one each. A stream belongs to the service that
began it; the only version of the service to which its resume is routed is not its version.
"""
import concurrent.futures
import time

from hosted import http, wait_until
from proc_hosted_versions import EVENTS, STREAMS, TENANTS, ZONES, Versions

ENGINE = {"slots": 64, "kvCapacity": 100000, "moves": False}
LIFETIME_S = 18  # of a stream: the time-out of its route and 10 s


def route_to(f, service, wait=True, split=None):
    """Routes /s/ to a service, or splits it by weights; /t/ goes to llm2 all the time."""
    route = f.d.route("s", service, "streaming", timeoutMs=8000, resumable=True)
    if split:
        del route["service"]
        route["split"] = [{"service": s, "weight": w} for s, w in split.items()]
    other = f.d.route("t", "llm2", "streaming", timeoutMs=8000, resumable=True)
    services = [{"name": name, "healthPath": "/healthz", "maxConns": 400, "engine": ENGINE}
                for name in ("llm", "llm2")]
    f.d.configure([route, other], services=services, tenants=TENANTS, wait=wait)


def start_two_services(split=None, **kw):
    """Starts nodes with service llm at v1 and llm2 at v2, both in use; /s/ goes to llm."""
    f = Versions(versions=("v1", "v1", "v1"), **kw)
    for zone in ZONES:
        worker = f.d.add_worker("llm2", events=EVENTS, zone=zone, slots=64, version="v2")
        worker.gap_s = 0.02
    route_to(f, "llm", split=split)
    wait_until(lambda: all(f.d.call("/t/x", n, deadline=6000).whole
                           for n in range(len(f.d.nodes))))
    time.sleep(1)  # what is to be persisted has been
    return f


def test_a_stream_whose_route_moved_to_another_service_is_not_joined():
    """Guards against a stream that goes on at another service's only version because its route
    has moved there."""
    with start_two_services() as f:
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        route_to(f, "llm2")
        assert f.check_taken_up(begun, [0, 1, 2]) == 0
        # Those that begin from now on are at the service to which they are routed.
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(0.5)
        assert f.check_taken_up(begun, [0, 1, 2]) == STREAMS


def test_a_stream_is_not_joined_after_a_split_between_services_changed():
    """Guards against streams that go on at another service's version because the shares of
    the route's services have changed; those that stay at their service go on."""
    with start_two_services(split={"llm": 80, "llm2": 20}) as f:
        begun = [f.begin(n % 3) for n in range(2 * STREAMS)]
        route_to(f, "llm", split={"llm": 20, "llm2": 80})
        time.sleep(0.5)
        went_on = f.check_taken_up(begun, [0, 1, 2])
        assert went_on, went_on
        return "%d of %d went on" % (went_on, len(begun))


def test_a_stream_is_not_joined_when_its_route_moved_beside_a_kill_of_all_nodes():
    """Guards against nodes that believe the record of a service's only version although its
    routes have changed since, or just before they were killed."""
    def move_beside_a_kill(is_moved_before):
        with start_two_services() as f:
            time.sleep(LIFETIME_S)  # before, no record says that there is one version
            begun = [f.begin(n % 3) for n in range(STREAMS)]
            time.sleep(1)
            if is_moved_before:
                route_to(f, "llm2")
                time.sleep(1)
            f.kill_all()
            if not is_moved_before:
                route_to(f, "llm2", wait=False)
            f.restart_all()
            return f.check_taken_up(begun, [0, 1, 2])
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        assert list(pool.map(move_beside_a_kill, (False, True))) == [0, 0]


def forward(f, service):
    """Forwards a resume at v1 of a service to node 1, as a peer does; returns the answer and
    the services that sent events."""
    ident = "%016x" % next(f.d.ids)
    a = http(f.d.port(f.d.nodes[1].ready["forward"]), "POST", "/s/x", [
        ("Host", "api.example"), ("X-Api-Key", "key-1"), ("Rillknot-Attempt-Id", ident),
        ("Rillknot-Forwarded", "1 0 0 " + service), ("Rillknot-Stream-Version", "v1"),
        ("Last-Event-Id", "3"), ("Resumes", "first")])
    return a, {w.service for w in f.d.workers if w.events_sent[ident]}


def test_a_forwarded_resume_stays_at_its_service():
    """Guards against a peer with newer routes that sends a forwarded resume to another service,
    which has a version of the same name."""
    with start_two_services() as f:
        f.d.add_worker("llm2", events=EVENTS, zone=ZONES[0], slots=64, version="v1")
        time.sleep(0.5)
        a, services = forward(f, "llm")
        assert a.status == 200 and services == {"llm"}, (a.status, services)
        route_to(f, "llm2")
        a, services = forward(f, "llm")
        assert a.status == 503 and not services, (a.status, services)
        a, services = forward(f, "llm2")
        assert a.status == 200 and services == {"llm2"}, (a.status, services)
