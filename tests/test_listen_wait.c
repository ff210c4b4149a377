/* Tests of the wait for listening addresses at the start of a node. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/util.h"
#include "core/procfile.h"
#include "node/listen_wait.h"

#define WAIT_MS 300

/* Listens at a port that the kernel chooses, and writes the address. */
static int hold_address(char *addr)
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sin);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
    assert_int_equal(listen(fd, 1), 0);
    getsockname(fd, (struct sockaddr *)&sin, &len);
    snprintf(addr, RK_ADDR_MAX, "127.0.0.1:%u", ntohs(sin.sin_port));
    return fd;
}

/* Guards against a start that waits without end for an address that stays taken, or
 * does not say for which. */
static void a_wait_for_an_address_ends(void **state)
{
    (void)state;
    char addr[RK_ADDR_MAX];
    int fd = hold_address(addr);
    for (size_t i = 0; i < 4; i++) {
        struct rk_procfile f = {.listen = "127.0.0.1:0",
                                .forward_listen = "127.0.0.1:0",
                                .control_listen = "127.0.0.1:0",
                                .ready_listen = "127.0.0.1:0"};
        char *const listeners[] = {f.listen, f.forward_listen, f.control_listen,
                                   f.ready_listen};
        rk_strcpy(listeners[i], RK_ADDR_MAX, addr);
        int64_t start_ms = rk_mono_ms();
        assert_int_equal(rk_listen_wait(&f, start_ms + WAIT_MS), RK_ECONFLICT);
        assert_true(rk_mono_ms() - start_ms >= WAIT_MS);
        assert_non_null(strstr(rk_last_error(), addr));
        assert_non_null(strstr(rk_last_error(), "in use"));
    }
    close(fd);
}

/* Guards against a wait that is shorter than the planned stop of the process that
 * has the address, or than the time for which a closed connection keeps its port.
 */
static void a_start_waits_longer_than_a_stop(void **state)
{
    (void)state;
    const struct rk_procfile patient = {.stop_s = 600}, hasty = {.stop_s = 1};
    assert_true(rk_listen_deadline_ms(&patient) > rk_mono_ms() + 600 * 1000);
    assert_true(rk_listen_deadline_ms(&hasty) > rk_mono_ms() + 60 * 1000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_wait_for_an_address_ends),
        cmocka_unit_test(a_start_waits_longer_than_a_stop),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
