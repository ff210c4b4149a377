/* Tests of the wait for listening addresses at the start of a process. */
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

#include "common/listen.h"
#include "common/util.h"

#define WAIT_MS       300
#define LISTENERS_LEN 4

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

static void set_any(struct rk_listen_socket *sockets)
{
    for (size_t i = 0; i < LISTENERS_LEN; i++)
        sockets[i] =
            (struct rk_listen_socket){.name = "any", .addr = "127.0.0.1:0"};
}

/* Guards against a start that waits without end for an address that stays taken, or
 * does not say for which. */
static void a_wait_for_an_address_ends(void **state)
{
    (void)state;
    char addr[RK_ADDR_MAX];
    int fd = hold_address(addr);
    for (size_t i = 0; i < LISTENERS_LEN; i++) {
        struct rk_listen_socket sockets[LISTENERS_LEN];
        set_any(sockets);
        sockets[i].addr = addr;
        int64_t start_ms = rk_mono_ms();
        assert_int_equal(rk_listen_wait(sockets, LISTENERS_LEN, start_ms + WAIT_MS),
                         RK_ECONFLICT);
        assert_true(rk_mono_ms() - start_ms >= WAIT_MS);
        assert_non_null(strstr(rk_last_error(), addr));
        assert_non_null(strstr(rk_last_error(), "in use"));
        for (size_t k = 0; k < LISTENERS_LEN; k++)
            assert_int_equal(sockets[k].fd, -1);
    }
    close(fd);
}

/* Guards against a wait that is shorter than the planned stop of the process that
 * has the address, or than the time for which a closed connection keeps its port.
 */
static void a_start_waits_longer_than_a_stop(void **state)
{
    (void)state;
    assert_true(rk_listen_deadline_ms(600 * 1000) > rk_mono_ms() + 600 * 1000);
    assert_true(rk_listen_deadline_ms(1000) > rk_mono_ms() + 60 * 1000);
}

/* Guards against two processes whose threads share a port: the kernel divided the
 * connections between the processes. */
static void a_shared_address_is_taken_for_others(void **state)
{
    (void)state;
    char addr[RK_ADDR_MAX];
    enum rk_status st;
    int first = rk_listen_open("127.0.0.1:0", &st);
    assert_true(first >= 0);
    int second = rk_listen_open_shared(first);
    assert_true(second >= 0);
    rk_listen_addr(first, addr);
    assert_int_equal(rk_listen_open(addr, &st), -1);
    assert_int_equal(st, RK_ECONFLICT);
    close(first);
    close(second);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_wait_for_an_address_ends),
        cmocka_unit_test(a_start_waits_longer_than_a_stop),
        cmocka_unit_test(a_shared_address_is_taken_for_others),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
