/* Tests of links between nodes, against peers that read slowly or not at all. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/loop.h"
#include "common/memory.h"
#include "common/util.h"
#include "peers/link.h"

#define ROUND_MS          250 /* between samples, like a bridge's rounds */
#define ROUNDS            8
#define STEP_MS           10
#define FRAME_BYTES       (256 * 1024)
#define PEERS             20
#define BUDGET_BYTES      ((size_t)32 * 1024 * 1024)
#define SHORT_FRAME_BYTES (16 * 1024)
#define SLOW_READ_BYTES   (4 * 1024) /* that a slow peer reads each STEP_MS */

/* A peer behind a plain socket with small buffers. */
struct peer {
    struct rk_loop *loop;
    struct rk_link *link;
    int listener, fd;
    bool reads;
};

static void ignore_frame(void *ctx, struct rk_link *link,
                         const Rillknot__Frame *frame)
{
    (void)ctx;
    (void)link;
    (void)frame;
}

static void fail_on_down(void *ctx, struct rk_link *link)
{
    (void)ctx;
    (void)link;
    fail_msg("the link went down");
}

static const struct rk_link_ops ops = {.on_frame = ignore_frame,
                                       .on_down = fail_on_down};

static void peer_init(struct peer *p, bool reads)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sa);
    int small = SLOW_READ_BYTES;
    char addr[RK_ADDR_MAX];
    *p = (struct peer){.loop = rk_loop_create(), .reads = reads};
    p->listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(p->listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    assert_int_equal(bind(p->listener, (struct sockaddr *)&sa, len), 0);
    assert_int_equal(listen(p->listener, 1), 0);
    assert_int_equal(getsockname(p->listener, (struct sockaddr *)&sa, &len), 0);
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sa.sin_port));
    p->link = rk_link_connect(p->loop, addr, &ops, p);
    assert_non_null(p->link);
    p->fd = accept(p->listener, NULL, NULL);
    assert_true(p->fd >= 0);
}

static void peer_free(struct peer *p)
{
    rk_link_destroy(p->link);
    rk_loop_destroy(p->loop);
    close(p->fd);
    close(p->listener);
}

/* Runs the link for a round, in which the peer reads if it reads at all. */
static void run_round(struct peer *p)
{
    static char buf[SLOW_READ_BYTES];
    int64_t end_ms = rk_mono_ms() + ROUND_MS;
    while (rk_mono_ms() < end_ms) {
        rk_loop_step(p->loop, STEP_MS);
        if (p->reads && recv(p->fd, buf, sizeof(buf), MSG_DONTWAIT) < 0)
            continue;
    }
}

static bool try_send_bytes(struct peer *p)
{
    struct rk_packed_frame frame = {.data = rk_alloc(1, FRAME_BYTES),
                                    .len = FRAME_BYTES};
    bool sent = rk_link_send_packed(p->link, &frame);
    rk_packed_frame_free(&frame);
    return sent;
}

static void send_bytes(struct peer *p)
{
    assert_true(try_send_bytes(p));
}

/* Guards against nodes that get no quota usage while others are lost. A bridge
 * counted what waited for lost nodes as congestion of its own link, as it looked
 * for progress only if it was asked at least each 100 ms and a bridge asks each 250
 * ms. For 2.5 s it had no bytes left for the nodes that lived. */
static void bytes_for_a_lost_peer_do_not_count_as_waiting(void **state)
{
    (void)state;
    struct peer p;
    size_t waiting = 0;
    peer_init(&p, false);
    for (int i = 0; i < ROUNDS; i++) {
        if (i < ROUNDS / 2)
            send_bytes(&p);
        run_round(&p);
        waiting = rk_link_queued_len(p.link);
    }
    assert_int_equal(waiting, 0);
    peer_free(&p);
}

/* Guards against a slow peer that is taken for a lost one: its queue grows although
 * it reads all the time. */
static void bytes_for_a_slow_peer_count_as_waiting(void **state)
{
    (void)state;
    struct peer p;
    peer_init(&p, true);
    for (int i = 0; i < ROUNDS; i++) {
        send_bytes(&p);
        run_round(&p);
        assert_true(rk_link_queued_len(p.link) > 0);
    }
    peer_free(&p);
}

/* Connects to peers that don't read, and sends to each as much as its link takes.
 */
static void fill_links(struct peer *peers)
{
    for (int i = 0; i < PEERS; i++) {
        peer_init(&peers[i], false);
        rk_loop_step(peers[i].loop, STEP_MS);
        while (try_send_bytes(&peers[i]))
            continue;
    }
}

/* Guards against peers that don't read and fill the node's memory together: each
 * link buffered up to 8 MB, whatever the others held. */
static void links_to_peers_that_do_not_read_share_a_bound(void **state)
{
    (void)state;
    static struct peer peers[PEERS];
    size_t waiting = 0;
    rk_memory_set_budget(BUDGET_BYTES);
    fill_links(peers);
    for (int i = 0; i < PEERS; i++)
        waiting += rk_link_unsent_len(peers[i].link);
    assert_true(waiting <= BUDGET_BYTES / 4);
    assert_true(rk_memory_used() <= BUDGET_BYTES / 2);
    for (int i = 0; i < PEERS; i++)
        peer_free(&peers[i]);
    assert_int_equal(rk_memory_used(), 0);
    rk_memory_set_budget(0);
}

/* Guards against a bound for all links that silences those to peers which read. */
static void a_peer_that_reads_gets_frames_while_others_do_not(void **state)
{
    (void)state;
    static struct peer peers[PEERS];
    struct peer reading;
    rk_memory_set_budget(BUDGET_BYTES);
    fill_links(peers);
    peer_init(&reading, true);
    for (int i = 0; i < ROUNDS; i++) {
        struct rk_packed_frame frame = {.data = rk_alloc(1, SHORT_FRAME_BYTES),
                                        .len = SHORT_FRAME_BYTES};
        assert_true(rk_link_send_packed(reading.link, &frame));
        rk_packed_frame_free(&frame);
        run_round(&reading);
    }
    peer_free(&reading);
    for (int i = 0; i < PEERS; i++)
        peer_free(&peers[i]);
    rk_memory_set_budget(0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(bytes_for_a_lost_peer_do_not_count_as_waiting),
        cmocka_unit_test(bytes_for_a_slow_peer_count_as_waiting),
        cmocka_unit_test(links_to_peers_that_do_not_read_share_a_bound),
        cmocka_unit_test(a_peer_that_reads_gets_frames_while_others_do_not),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
