/* Measures how the costs of the core grow with the size of the fleet: the CPU time
 * of a routing decision, the memory of a node's member and VM rows, the bytes and
 * CPU time of gossip, and the number of gossip rounds until a VM's leaving state
 * has reached all nodes. Runs in one process, without a network. Prints one JSON
 * object per size; bench.py compares them. */
#include <argp.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/util.h"
#include "core/members.h"
#include "core/router.h"
#include "core/settings.h"
#include "core/shards.h"
#include "peers/rows.h"

#define ROUND_MS           1000
#define WARMUP_ROUNDS      60 /* gossip rounds before the measurement */
#define MEASURED_ROUNDS    60
#define FRAME_HEADER_BYTES 4 /* length prefix of a message between nodes */
#define MAX_SPREAD_ROUNDS  60

/* Size of a fleet; workers is its number of VMs. */
struct size {
    int nodes, domains, workers;
};

static const struct size sizes[] = {{8, 3, 12}, {40, 3, 120}, {320, 7, 600}};

/* ---- routing ---- */

static const char *const settings_text =
    "{\"services\":{\"e\":{\"kind\":\"engine\",\"model\":\"m\",\"repeatable\":true,"
    "\"vm_slots\":32}},\"classes\":{\"c\":{}},\"organisations\":{\"o\":{}}}";

/* Returns the CPU time used by this process, in microseconds. */
static double cpu_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Fills p with a prompt of this many words; tenants share none of them. */
static void fill_prompt(struct rk_prompt *p, int tenant, int words)
{
    struct rk_prompt_builder r;
    char word[48];
    rk_prompt_begin(&r, p);
    for (int i = 0; i < words; i++) {
        snprintf(word, sizeof(word), "t%dw%d ", tenant, i);
        rk_prompt_add(&r, word, strlen(word));
    }
    rk_prompt_end(&r);
}

/* Returns the CPU time, in microseconds, to submit, place and end one call. */
static double decision_us(int vms)
{
    enum { CALLS = 20000, TENANTS = 64, IN_FLIGHT = 256 };
    static struct rk_problems problems;
    static struct rk_prompt prompts[TENANTS];
    static struct rk_job jobs[IN_FLIGHT];
    static struct rk_vm rows[RK_ROUTER_MAX_VMS];
    struct rk_settings *settings = NULL;
    if (rk_settings_parse(settings_text, &settings, &problems) != RK_OK)
        abort();
    struct rk_config *cfg = rk_config_create(settings, 1);
    struct rk_router *r = rk_router_create(1, RK_ROUTE_ADAPTIVE);
    for (int i = 0; i < vms; i++) {
        rows[i] = (struct rk_vm){.incarnation = 1};
        snprintf(rows[i].id, RK_ID_MAX, "vm%d", i);
        rk_strcpy(rows[i].service, RK_ID_MAX, "e");
        rk_strcpy(rows[i].domain, RK_ID_MAX, "d");
    }
    rk_router_update(r, cfg, rows, (size_t)vms, "d", 0);
    for (int t = 0; t < TENANTS; t++)
        fill_prompt(&prompts[t], t, 1000);
    double start_us = cpu_us();
    for (int n = 0; n < CALLS; n++) {
        struct rk_job *j = &jobs[n % IN_FLIGHT];
        int64_t after;
        rk_router_end(r, j, false, n);
        *j = (struct rk_job){.org_weight = 1,
                             .org_max = 100000,
                             .rank = 3,
                             .queue_ms = 100000,
                             .deadline_ms = n + 1000000,
                             .prompt = &prompts[n % TENANTS],
                             .max_tokens = 60};
        rk_strcpy(j->service, RK_ID_MAX, "e");
        rk_strcpy(j->org, RK_ID_MAX, "o");
        rk_router_submit(r, j, n, &after);
        rk_router_next(r, n);
    }
    double us = (cpu_us() - start_us) / CALLS;
    for (int n = 0; n < IN_FLIGHT; n++)
        rk_router_end(r, &jobs[n], false, CALLS);
    rk_router_destroy(r);
    rk_config_destroy(cfg);
    rk_settings_destroy(settings);
    return us;
}

/* ---- gossip ---- */

/* A simulated node. */
struct node {
    struct rk_members *m;
    uint64_t *sent_marks; /* per peer: version up to which rows were sent */
    size_t next_member;   /* next member to gossip with */
    bool dead;
    uint64_t bytes; /* sent */
};

static struct node *nodes;
static int nodes_len;
static struct rk_delta delta;

/* Returns the failure domain of node or VM i, in a static buffer. */
static const char *domain_of(int i, int domains)
{
    static char name[16];
    snprintf(name, sizeof(name), "d%d", i % domains);
    return name;
}

static int node_index(const char *id)
{
    return atoi(id + 1);
}

/* Merges a message from the node `from` at the node `to`. */
static void deliver(struct node *to, const struct rk_rows *rows, const char *from,
                    int64_t now)
{
    int sender = rk_members_index(to->m, from);
    struct rk_member m;
    struct rk_vm v;
    for (size_t i = 0; i < rows->gossip.n_members; i++)
        if (rk_rows_decode_member(rows->gossip.members[i], &m))
            rk_members_merge(to->m, &m, sender, now);
    for (size_t i = 0; i < rows->gossip.n_vms; i++)
        if (rk_rows_decode_vm(rows->gossip.vms[i], &v))
            rk_members_merge_vm(to->m, &v, sender, now);
    for (size_t i = 0; i < rows->gossip.n_loads; i++) {
        const Rillknot__VmLoad *l = rows->gossip.loads[i];
        rk_members_merge_load(to->m, l->id_hash, l->load_seq, l->running, l->queued,
                              sender, now);
    }
}

/* Sends one message with the rows that changed since the last one to `to`, as
 * control/gossip.c does. */
static void send_message(int from, int to, int64_t now)
{
    struct node *a = &nodes[from], *b = &nodes[to];
    const struct rk_member *self = rk_members_self(a->m);
    int peer = rk_members_index(a->m, rk_members_self(b->m)->id);
    rk_members_delta(a->m, a->sent_marks[to], peer, now, &delta);
    struct rk_rows rows;
    rk_rows_encode(&rows, a->m, &delta,
                   !strcmp(self->domain, rk_members_self(b->m)->domain));
    rows.gossip.from = (char *)self->id;
    rows.gossip.from_addr = (char *)self->control_addr;
    rows.gossip.head = self->applied_version;
    /* 3 bytes: tag and length of the gossip message in its frame. */
    a->bytes +=
        rillknot__gossip__get_packed_size(&rows.gossip) + FRAME_HEADER_BYTES + 3;
    a->sent_marks[to] = delta.next_high_water;
    if (!b->dead)
        deliver(b, &rows, self->id, now);
    rk_rows_free(&rows);
}

/* Sends a message each way; a dead node does not reply. */
static void exchange(int from, int to, int64_t now)
{
    send_message(from, to, now);
    if (!nodes[to].dead)
        send_message(to, from, now);
}

/* Runs one gossip round of node i: an exchange with the next live member of its
 * domain and, in every second round, if it is one of the bridges of its domain (see
 * rk_member_is_bridge()), one with a bridge of another domain. */
static void gossip_round(int i, int64_t now, uint64_t round)
{
    struct node *n = &nodes[i];
    const struct rk_member *self = rk_members_self(n->m);
    for (size_t k = rk_members_count(n->m); k; k--) {
        const struct rk_member *row =
            rk_members_at(n->m, n->next_member++ % rk_members_count(n->m));
        if (row == self || row->state == RK_MEMBER_DEAD ||
            strcmp(row->domain, self->domain) != 0)
            continue;
        exchange(i, node_index(row->id), now);
        break;
    }
    if (round % 2 || !rk_member_is_bridge(n->m, self))
        return;
    for (int k = 0; k < nodes_len; k++) {
        int other = (i + 1 + k) % nodes_len;
        const struct rk_member *row =
            rk_members_find(n->m, rk_members_self(nodes[other].m)->id);
        if (row && strcmp(row->domain, self->domain) != 0 &&
            rk_member_is_bridge(n->m, row) && (round / 2 + (uint64_t)k) % 3 == 0) {
            exchange(i, other, now);
            return;
        }
    }
}

/* Requests running on each VM. */
static uint32_t vm_loads[RK_MAX_VMS];

/* Polls the loads of the VMs that are due in this round. One node of its domain
 * polls each VM, at an interval of 24 ms per VM of the domain, at least ROUND_MS.
 */
static void poll_loads(const struct size *s, int64_t now, struct rk_rng *rng)
{
    int in_domain = s->workers / s->domains;
    int64_t poll_interval_ms =
        in_domain * 24 > ROUND_MS ? in_domain * 24 : ROUND_MS;
    for (int w = 0; w < s->workers; w++) {
        if ((now + w * 97) % poll_interval_ms >= ROUND_MS)
            continue;
        char id[24];
        snprintf(id, sizeof(id), "vm%d", w);
        int polling_node =
            (w / s->domains * s->domains + w % s->domains) % s->nodes;
        while (polling_node % s->domains != w % s->domains ||
               nodes[polling_node].dead)
            polling_node = (polling_node + 1) % s->nodes;
        const struct rk_vm *v = rk_members_find_vm(nodes[polling_node].m, id);
        if (!v)
            continue;
        /* A busy engine of 32 slots; its load changes by up to 4 between polls. */
        int load = (int)vm_loads[w] + (int)rk_rng_below(rng, 9) - 4;
        vm_loads[w] = (uint32_t)(load < 0 ? 0 : load > 32 ? 32 : load);
        rk_members_load_polled(nodes[polling_node].m, v->id_hash, (uint64_t)now,
                               vm_loads[w], 0, now);
    }
}

/* Creates the nodes. Each has the rows of all nodes and of its own domain's VMs,
 * and has nothing left to send. */
static void make_nodes(const struct size *s)
{
    nodes_len = s->nodes;
    nodes = rk_alloc((size_t)nodes_len, sizeof(*nodes));
    for (int i = 0; i < nodes_len; i++) {
        struct rk_member self = {.incarnation = 1796200000000ULL};
        snprintf(self.id, sizeof(self.id), "n%d", i);
        rk_strcpy(self.domain, sizeof(self.domain), domain_of(i, s->domains));
        snprintf(self.control_addr, RK_ADDR_MAX, "10.0.%d.%d:7001", i / 250,
                 i % 250);
        snprintf(self.forward_addr, RK_ADDR_MAX, "10.0.%d.%d:7002", i / 250,
                 i % 250);
        nodes[i] =
            (struct node){.m = rk_members_create(&self), .next_member = (size_t)i};
        nodes[i].sent_marks = rk_alloc((size_t)nodes_len, sizeof(uint64_t));
    }
    for (int i = 0; i < nodes_len; i++)
        for (int k = 0; k < nodes_len; k++)
            rk_members_merge(nodes[i].m, rk_members_self(nodes[k].m), -1, 0);
    for (int w = 0; w < s->workers; w++) {
        struct rk_vm v = {.incarnation = 1, .load_seq = 1};
        snprintf(v.id, sizeof(v.id), "vm%d", w);
        snprintf(v.addr, sizeof(v.addr), "10.1.%d.%d:8000", w / 250, w % 250);
        rk_strcpy(v.domain, sizeof(v.domain), domain_of(w, s->domains));
        rk_strcpy(v.service, sizeof(v.service), "booking");
        rk_strcpy(v.vm_class, sizeof(v.vm_class), "standard");
        for (int i = 0; i < nodes_len; i++)
            if (i % s->domains == w % s->domains)
                rk_members_merge_vm(nodes[i].m, &v, -1, 0);
    }
    for (int i = 0; i < nodes_len; i++) {
        rk_members_delta(nodes[i].m, 0, -1, 0, &delta);
        for (int k = 0; k < nodes_len; k++)
            nodes[i].sent_marks[k] = delta.next_high_water;
    }
}

static void free_nodes(void)
{
    for (int i = 0; i < nodes_len; i++) {
        rk_members_destroy(nodes[i].m);
        free(nodes[i].sent_marks);
    }
    free(nodes);
}

static void run_round(const struct size *s, uint64_t round, struct rk_rng *rng)
{
    int64_t now = (int64_t)round * ROUND_MS + 1;
    poll_loads(s, now, rng);
    for (int i = 0; i < nodes_len; i++)
        if (!nodes[i].dead)
            gossip_round(i, now, round);
}

/* Returns the number of gossip rounds until every live node of vm0's domain has its
 * leaving state, when one node receives that state and cannot push it to any peer
 * at once. Returns MAX_SPREAD_ROUNDS when it takes longer. Makes about dead_pct %
 * of the nodes dead; the first node of each domain stays alive. */
static int spread_rounds(const struct size *s, int dead_pct, uint64_t *round,
                         struct rk_rng *rng)
{
    for (int i = s->domains; i < nodes_len; i++)
        nodes[i].dead = (int)rk_rng_below(rng, 100) < dead_pct;
    struct rk_vm v = *rk_members_find_vm(nodes[0].m, "vm0");
    v.state = RK_VM_LEAVING;
    v.incarnation++; /* tells this measurement from the one before it */
    rk_members_merge_vm(nodes[0].m, &v, -1, (int64_t)*round);
    for (int n = 1; n <= MAX_SPREAD_ROUNDS; n++) {
        run_round(s, ++*round, rng);
        bool all_updated = true;
        for (int i = 0; i < nodes_len; i += s->domains) {
            const struct rk_vm *row = rk_members_find_vm(nodes[i].m, "vm0");
            all_updated =
                all_updated && (nodes[i].dead || row->incarnation == v.incarnation);
        }
        if (all_updated)
            return n;
    }
    return MAX_SPREAD_ROUNDS;
}

static void measure(const struct size *s)
{
    struct rk_rng rng = {.state = 42};
    uint64_t round = 0;
    size_t heap_before = mallinfo2().uordblks;
    make_nodes(s);
    double bytes_per_node = (double)(mallinfo2().uordblks - heap_before) / s->nodes;
    for (; round < WARMUP_ROUNDS; round++)
        run_round(s, round, &rng);
    uint64_t bytes = 0, max_bytes = 0;
    for (int i = 0; i < nodes_len; i++)
        nodes[i].bytes = 0;
    double start_us = cpu_us();
    for (; round < WARMUP_ROUNDS + MEASURED_ROUNDS; round++)
        run_round(s, round, &rng);
    double us = (cpu_us() - start_us) / MEASURED_ROUNDS / s->nodes;
    for (int i = 0; i < nodes_len; i++) {
        bytes += nodes[i].bytes;
        max_bytes = nodes[i].bytes > max_bytes ? nodes[i].bytes : max_bytes;
    }
    int rounds_all_live = spread_rounds(s, 0, &round, &rng);
    int rounds_10pct_dead = spread_rounds(s, 10, &round, &rng);
    printf(
        "{\"nodes\":%d,\"domains\":%d,\"workers\":%d,\"decision_us\":%.2f,"
        "\"rows_bytes\":%.0f,\"gossip_bytes_s\":%.0f,\"gossip_bytes_s_most\":%.0f,"
        "\"gossip_cpu_us_s\":%.1f,\"spread_rounds\":%d,\"spread_rounds_10pct_"
        "dead\":%d}\n",
        s->nodes, s->domains, s->workers, decision_us(s->workers / s->domains),
        bytes_per_node, (double)bytes / MEASURED_ROUNDS / s->nodes,
        (double)max_bytes / MEASURED_ROUNDS, us, rounds_all_live,
        rounds_10pct_dead);
    fflush(stdout);
    free_nodes();
}

static const struct argp argp = {
    NULL,
    NULL,
    NULL,
    "Measure how the core's costs grow: 8, 40 and 320 nodes, 12, 120 and 600 VMs.",
    0,
    0,
    0};

int main(int argc, char **argv)
{
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    for (size_t i = 0; i < RK_ARRAY_LEN(sizes); i++)
        measure(&sizes[i]);
    return 0;
}
