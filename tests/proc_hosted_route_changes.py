"""Tests of streams that are taken up after routes of other requests changed."""
import time

from proc_hosted_version_routes import (ENGINE, LIFETIME_S, STREAMS, TENANTS,
                                        start_two_services)


def configure(f, order, extra=False, wait=True):
    """Sets the routes of start_two_services() in an order; extra: with one more of llm2."""
    routes = {"s": f.d.route("s", "llm", "streaming", timeoutMs=8000, resumable=True),
              "t": f.d.route("t", "llm2", "streaming", timeoutMs=8000, resumable=True),
              "u": f.d.route("u", "llm2", "streaming", timeoutMs=8000, resumable=True)}
    services = [{"name": name, "healthPath": "/healthz", "maxConns": 400, "engine": ENGINE}
                for name in ("llm", "llm2")]
    f.d.configure([routes[name] for name in order + ("u" if extra else "")],
                  services=services, tenants=TENANTS, wait=wait)


def taken_up_after_kill(change):
    """Returns how many of STREAMS streams go on after the routes changed while all nodes were
    down."""
    with start_two_services() as f:
        configure(f, "st")
        time.sleep(LIFETIME_S + 1)  # from now on nodes know that there is one version
        begun = [f.begin(n % 3) for n in range(STREAMS)]
        time.sleep(1)
        f.kill_all()
        change(f)
        f.restart_all()
        return f.check_taken_up(begun, [0, 1, 2])


def test_streams_go_on_after_a_kill_of_all_nodes_beside_routes_in_another_order():
    """Guards against streams that are rejected because the settings list the same routes in
    another order."""
    assert taken_up_after_kill(lambda f: configure(f, "st", wait=False)) == STREAMS
    went_on = taken_up_after_kill(lambda f: configure(f, "ts", wait=False))
    assert went_on == STREAMS, went_on


def test_streams_go_on_after_a_kill_of_all_nodes_beside_a_change_of_another_route():
    """Guards against streams that are rejected because another service got a route."""
    went_on = taken_up_after_kill(lambda f: configure(f, "st", extra=True, wait=False))
    assert went_on == STREAMS, went_on
