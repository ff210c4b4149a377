"""Clocks of machines that have just booted, have run for years, or don't know the date yet."""
import time

from fakes import preloaded, shifted_clocks
from hosted import wait_until
from proc_hosted_fleet import fleet

NODES = 3
# How long nodes are watched: more than the window of a quota.
WATCH_S = 10
YEAR_S = 365 * 86400
HOUR_S = 3600
NO_BOOT_CLOCK = """
#include <errno.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>
int clock_gettime(clockid_t id, struct timespec *ts)
{
    if (id != CLOCK_BOOTTIME)
        return syscall(SYS_clock_gettime, id, ts);
    errno = EINVAL;
    return -1;
}
"""


def watch(d, seconds=WATCH_S):
    """Call all nodes for a time; none may end. Return the share of calls that was served."""
    statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for n in range(NODES):
            statuses.append(d.call("/r/x", node=n).status)
        codes = [n.popen.poll() for n in d.nodes]
        assert codes == [None] * NODES, codes
        time.sleep(0.05)
    return statuses.count(200) / len(statuses)


def test_nodes_run_on_machines_that_have_just_booted():
    """Guards against times before the boot that are used as indexes, and end nodes at their start."""
    for uptime_s in (0, 1, 4):
        with shifted_clocks(uptime_s=uptime_s), fleet(nodes=NODES) as d:
            share = watch(d)
            assert share == 1, (uptime_s, share)


def test_nodes_run_on_machines_that_booted_years_ago():
    """Guards against uptimes that are cut to 32 bits."""
    with shifted_clocks(uptime_s=12 * YEAR_S), fleet(nodes=NODES) as d:
        share = watch(d)
        assert share == 1, share


def test_nodes_run_while_the_date_is_that_of_1970():
    """Guards against dates that are taken for none, and against the step when the date is set."""
    with shifted_clocks(wall_s=0, wall_right_after_s=6), fleet(nodes=NODES) as d:
        share = watch(d)
        assert share == 1, share
        version = d.configure([d.route("r", "plain"), d.route("later", "plain")], wait=False)
        d.wait_version(version, timeout=5)
        wait_until(lambda: all(d.call("/later/x", node=n).status == 200 for n in range(NODES)), 5)


def test_usage_is_reported_after_a_date_ahead_is_set_right():
    """Guards against windows that no leader reports, as they ended before the date of its start."""
    right_after_s = 6
    with shifted_clocks(wall_s=int(time.time()) + HOUR_S,
                        wall_right_after_s=right_after_s), fleet(nodes=NODES) as d:
        time.sleep(right_after_s)
        first = int(time.time()) + 1
        share = watch(d, 2 * WATCH_S)
        assert share == 1, share
        windows = sorted({window for window, *_ in d.cloud.usage})
        last = int(time.time())
        assert [w for w in windows if first <= w < last], (first, last, windows)


def test_a_later_leader_reports_all_windows_after_a_date_ahead_was_set_right():
    """Guards against windows that are lost when the lease goes to a node which keeps the date of
    its start, ahead, for the first that it may report."""
    right_after_s = 5
    with shifted_clocks(wall_s=int(time.time()) + HOUR_S,
                        wall_right_after_s=right_after_s), fleet(nodes=NODES) as d:
        time.sleep(right_after_s)
        watch(d, WATCH_S)
        first = int(time.time()) - WATCH_S // 2
        leader = d.cloud.usage[-1][2]
        [n for n in d.nodes if n.name == leader][0].kill()
        time.sleep(WATCH_S)
        windows = {window for window, *_ in d.cloud.usage}
        last = int(time.time()) - d.bounds["usageLateS"]
        missing = [w for w in range(first, last) if w not in windows]
        assert not missing, (first, last, missing)


def test_nodes_run_without_the_clock_that_counts_suspended_time():
    """Guards against times that were never read, where the kernel lacks CLOCK_BOOTTIME."""
    with preloaded(NO_BOOT_CLOCK), fleet(nodes=NODES) as d:
        share = watch(d)
        assert share == 1, share
