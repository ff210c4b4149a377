/* Tests of the mesh between nodes: which nodes each one elects as bridges of a
 * failure domain, and what it takes in from reports and digests. A bridge is a
 * domain's elected relay node. The nodes of a domain must elect the same ones:
 * otherwise reports go to nodes from which others receive nothing. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

#define NODES         16
#define DOMAIN_NODES  5 /* nodes in the domain of the first */
#define CAPACITY      250
#define DEMAND        5 /* units a second, as reported */
#define LONG_AGO_MS   60000
#define SILENT_MS     6000
#define SOURCE_AGE_MS 1500 /* without content for longer: no source */
#define CLOCK_MS      ((int64_t)1000 * 1000)

int64_t __wrap_rk_mono_ms(void);

/* The clock of all nodes, in place of rk_mono_ms(). It stands still, because usage
 * is counted in proportion to the time between digests. */
int64_t __wrap_rk_mono_ms(void)
{
    return CLOCK_MS;
}

struct fleet {
    struct rk_node nodes[NODES];
    struct rk_mesh meshes[NODES];
};

static void format_name(char *id, char *addr, int number)
{
    snprintf(id, RK_ID_MAX, "edge-%d", number);
    snprintf(addr, RK_ADDR_MAX, "10.0.0.%d:1", number + 1);
}

static const char *domain_of(int number)
{
    return number < DOMAIN_NODES       ? "a-hall"
           : number < 2 * DOMAIN_NODES ? "b-hall"
                                       : "c-hall";
}

static void fleet_init(struct fleet *f)
{
    char addr[RK_ADDR_MAX];
    memset(f, 0, sizeof(*f));
    for (int i = 0; i < NODES; i++) {
        struct rk_node *n = &f->nodes[i];
        format_name(n->file.id, addr, i);
        rk_strcpy(n->file.control_advertise, sizeof(n->file.control_advertise),
                  addr);
        rk_strcpy(n->file.failure_domain, sizeof(n->file.failure_domain),
                  domain_of(i));
        n->file.cpu_share = CAPACITY / 1000.0;
        n->mesh = &f->meshes[i];
        f->meshes[i].n = n;
        rk_mesh_init_members(&f->meshes[i]);
    }
}

static void fleet_free(struct fleet *f)
{
    for (int i = 0; i < NODES; i++)
        rk_mesh_free_members(&f->meshes[i]);
}

/* Node `to` receives a report of node `from`. */
static void receive_report(struct fleet *f, int to, int from)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    Rillknot__NodeReport r = RILLKNOT__NODE_REPORT__INIT;
    format_name(id, addr, from);
    r.id = id;
    r.addr = addr;
    r.domain = (char *)domain_of(from);
    r.capacity = CAPACITY;
    r.incarnation = 1;
    rk_report_receive(rk_mesh_find_or_add(&f->meshes[to], id, addr), &r);
}

/* Makes a digest of the fleet by a node. id and addr hold its texts and must
 * outlive it. */
static void init_digest(Rillknot__Digest *d, char *id, char *addr, int from)
{
    format_name(id, addr, from);
    rillknot__digest__init(d);
    d->id = id;
    d->addr = addr;
    d->domain = (char *)domain_of(from);
    d->incarnation = 1;
    d->fleet = true;
}

/* Node `to` receives a digest of node `from` with the members that it knows. The
 * nodes of the domain `unreachable`, which may be NULL, are reported as that. */
static void receive_digest_of_cut(struct fleet *f, int to, int from,
                                  int64_t capacity, const char *unreachable)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    Rillknot__Digest d;
    Rillknot__NodeRow rows[NODES], *ptrs[NODES];
    init_digest(&d, id, addr, from);
    d.capacity = capacity;
    d.members = ptrs;
    for (struct member *k = f->meshes[from].members; k; k = k->next) {
        Rillknot__NodeRow *row = &rows[d.n_members];
        rillknot__node_row__init(row);
        row->id = k->id;
        row->addr = k->addr;
        row->domain = k->domain;
        row->capacity = k->capacity;
        row->heard = !unreachable || strcmp(k->domain, unreachable) != 0;
        ptrs[d.n_members++] = row;
    }
    rk_digest_receive(rk_mesh_find_or_add(&f->meshes[to], id, addr), &d);
}

static void receive_digest(struct fleet *f, int to, int from, int64_t capacity)
{
    receive_digest_of_cut(f, to, from, capacity, NULL);
}

/* Fills in which nodes a node elects as bridges; returns the number of those in the
 * first domain. */
static int elect_bridges(struct fleet *f, int node, bool is_bridge[NODES])
{
    int count = 0;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    rk_mesh_elect(&f->meshes[node], rk_mono_ms());
    for (int i = 0; i < NODES; i++) {
        format_name(id, addr, i);
        const struct member *k = rk_mesh_find(&f->meshes[node], id);
        is_bridge[i] = i == node ? f->meshes[node].bridge : k && k->bridge;
        count += is_bridge[i] && i < DOMAIN_NODES;
    }
    return count;
}

/* All nodes learn of each other: of bridges by their digests, of the others by
 * reports. */
static void exchange_all(struct fleet *f, const bool is_bridge[NODES])
{
    for (int to = 0; to < NODES; to++)
        for (int from = 0; from < NODES; from++)
            if (from != to && is_bridge[from])
                receive_digest(f, to, from, CAPACITY);
            else if (from != to)
                receive_report(f, to, from);
}

/* Guards against nodes of a domain that elect different bridges and then do not
 * reach each other. Nodes rank candidates by capacity. Digests did not contain
 * their sender's capacity, and the node list was not used for a node that was known
 * already. So a node that received a bridge's digest before it read the list ranked
 * that bridge last, with capacity 0, and passed the 0 on to others. Of 96 fleets of
 * 16 nodes that were started together on 8 cores under twice their load, one stayed
 * split for 25 s, with 3 nodes of a domain as bridges at once and 2 not. */
static void nodes_agree_however_they_learnt_of_bridges(void **state)
{
    (void)state;
    static struct fleet f;
    bool first[NODES], seen[NODES];
    const bool none[NODES] = {0};
    fleet_init(&f);
    exchange_all(&f, none);
    assert_int_equal(elect_bridges(&f, 0, first), RK_MESH_BRIDGES);
    fleet_free(&f);
    fleet_init(&f);
    exchange_all(&f, first);
    for (int i = 0; i < NODES; i++) {
        elect_bridges(&f, i, seen);
        assert_memory_equal(seen, first, sizeof(seen));
    }
    fleet_free(&f);
}

/* A digest from a node that doesn't know a member's capacity must not overwrite the
 * capacity that others know. */
static void a_capacity_unknown_to_a_bridge_changes_none(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    receive_report(&f, 0, 1);
    format_name(id, addr, 1);
    /* Node 2 knows only the address of node 1. */
    rk_mesh_find_or_add(&f.meshes[2], id, addr);
    receive_digest(&f, 0, 2, CAPACITY);
    assert_int_equal(rk_mesh_find(&f.meshes[0], id)->capacity, CAPACITY);
    fleet_free(&f);
}

/* During a rolling upgrade nodes of the old version send digests without their
 * capacity, which must not overwrite the known one. */
static void a_digest_without_a_capacity_changes_none(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    receive_report(&f, 0, 1);
    receive_digest(&f, 0, 1, 0);
    format_name(id, addr, 1);
    assert_int_equal(rk_mesh_find(&f.meshes[0], id)->capacity, CAPACITY);
    fleet_free(&f);
}

static int count_contacts(const struct rk_mesh *m)
{
    int count = 0;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        count++;
    return count;
}

/* Guards against work for each message that grows with the fleet. Each message
 * walked over all members to find the few that send reports, some hundred times a
 * second; at 985 nodes that took more than half of a node's CPU time. Only contacts
 * are walked now: members from which the node received something or to which it
 * connected. */
static void messages_walk_only_contacts(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    for (int i = 2; i < NODES; i++) {
        format_name(id, addr, i);
        rk_strcpy(rk_mesh_find_or_add(&f.meshes[1], id, addr)->domain, RK_ID_MAX,
                  domain_of(i));
    }
    receive_digest(&f, 0, 1, CAPACITY); /* lists all others */
    receive_digest(&f, 0, 1, CAPACITY);
    assert_int_equal(rk_mesh_count(&f.meshes[0]), NODES - 1);
    assert_int_equal(count_contacts(&f.meshes[0]), 1);
    receive_report(&f, 0, 2);
    assert_int_equal(count_contacts(&f.meshes[0]), 2);
    fleet_free(&f);
    assert_null(f.meshes[0].contacts);
}

/* Node `to` receives a digest of the fleet with one row of quota usage. */
static void receive_row_digest(struct fleet *f, int to, int from,
                               Rillknot__OrgUse *use)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    Rillknot__Digest d;
    init_digest(&d, id, addr, from);
    d.uses = &use;
    d.n_uses = 1;
    rk_digest_receive(rk_mesh_find_or_add(&f->meshes[to], id, addr), &d);
}

/* Node `to` receives a digest of the fleet with one organisation's quota usage. */
static void receive_usage_digest(struct fleet *f, int to, int from, char *org,
                                 double units)
{
    Rillknot__OrgUse use = RILLKNOT__ORG_USE__INIT;
    use.org = org;
    use.units = units;
    use.asking = DEMAND;
    receive_row_digest(f, to, from, &use);
}

/* The same with demand per class. */
static void receive_classes_digest(struct fleet *f, int to, int from, char *org,
                                   const double demand[RK_QUOTA_CLASSES])
{
    Rillknot__OrgUse use = RILLKNOT__ORG_USE__INIT;
    float classes[RK_QUOTA_CLASSES];
    use.org = org;
    use.units = 1;
    rk_report_put_demand(&use, demand, classes);
    receive_row_digest(f, to, from, &use);
}

/* Units of an organisation that peers used and that were not passed to the relay
 * yet. */
static double peer_units_of(const struct rk_mesh *m, const char *org)
{
    double sum = 0;
    for (size_t i = 0; i < m->peer_uses_len; i++)
        sum += strcmp(m->peer_uses[i].org, org) ? 0 : m->peer_uses[i].units;
    return sum;
}

/* Guards against quota units that are counted twice or lost: a node's own usage
 * must be subtracted from the fleet's sum, but never more of it than the sum can
 * contain. */
static void a_fleets_sum_excludes_own_usage(void **state)
{
    (void)state;
    static struct fleet f;
    struct rk_org_use own[] = {{.org = "a", .units = 10}, {.org = "b", .units = 7}};
    struct rk_relay_report report = {.quota_usage = own, .quota_usage_len = 2};
    fleet_init(&f);
    f.nodes[0].report = &report;
    receive_usage_digest(&f, 0, 1, "a", 10);
    own[0].units = 15;
    receive_usage_digest(&f, 0, 1, "a", 40);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 25, 0.001);
    receive_usage_digest(&f, 0, 1, "a", 40);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 25, 0.001);
    assert_float_equal(peer_units_of(&f.meshes[0], "b"), 0, 0.001);
    free(f.meshes[0].peer_uses);
    fleet_free(&f);
}

/* Node `to` receives a brief digest: it says only that its sender is alive. */
static void receive_brief_digest(struct fleet *f, int to, int from)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    Rillknot__Digest d;
    init_digest(&d, id, addr, from);
    d.brief = true;
    rk_digest_receive(rk_mesh_find_or_add(&f->meshes[to], id, addr), &d);
}

/* Guards against demand of other domains that is taken for 0, or usage counted
 * again, after each brief digest. */
static void a_brief_digest_keeps_what_was_reported(void **state)
{
    (void)state;
    static struct fleet f;
    struct rk_org_demands demand = {0};
    fleet_init(&f);
    receive_usage_digest(&f, 0, 1, "a", 10);
    receive_brief_digest(&f, 0, 1);
    rk_loads_add_peer_demand(&f.meshes[0], &demand, rk_mono_ms());
    const struct rk_org_demand *a = rk_org_demands_find(&demand, "a");
    assert_non_null(a);
    assert_float_equal(rk_quota_class_sum(a->per_s), DEMAND, 0.001);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 0, 0.001);
    rk_org_demands_free(&demand);
    fleet_free(&f);
}

/* Guards against demand that changes its class between two nodes: the values of a
 * row pass through the wire format, as they were and in rows of an earlier version,
 * and an invalid one must not reach the sums. */
static void a_packed_row_keeps_its_classes(void **state)
{
    (void)state;
    static const struct {
        double sent[RK_QUOTA_CLASSES];
        bool with_classes;
        float first; /* value sent in place of the first class, unless 0 */
        double received[RK_QUOTA_CLASSES];
    } rows[] = {{{200, 0, 0, 12000}, true, 0, {200, 0, 0, 12000}},
                {{200, 2400, 0, 0}, true, 0, {200, 2400, 0, 0}},
                {{0, 0, 0, 12000}, true, 0, {0, 0, 0, 12000}},
                {{200, 0, 0, 12000}, false, 0, {0, 0, 0, 12200}},
                {{200, 0, 0, 12000}, true, -1, {0, 0, 0, 12200}}};
    for (size_t i = 0; i < RK_ARRAY_LEN(rows); i++) {
        Rillknot__OrgUse use = RILLKNOT__ORG_USE__INIT;
        float classes[RK_QUOTA_CLASSES];
        uint8_t wire[256];
        struct rk_org_use row = {.demand_per_s = 1};
        use.org = "clinic";
        rk_report_put_demand(&use, rows[i].sent, classes);
        if (!rows[i].with_classes)
            use.n_asking_classes = 0;
        if (rows[i].first != 0)
            classes[0] = rows[i].first;
        size_t len = rillknot__org_use__pack(&use, wire);
        Rillknot__OrgUse *in = rillknot__org_use__unpack(NULL, len, wire);
        assert_non_null(in);
        rk_report_receive_demand(&row, in);
        rillknot__org_use__free_unpacked(in, NULL);
        assert_memory_equal(row.class_demand_per_s, rows[i].received,
                            sizeof(row.class_demand_per_s));
        assert_true(row.demand_per_s == rk_quota_class_sum(rows[i].received));
    }
}

/* Guards against own demand that counts twice, and against negative demand: a
 * digest of the fleet includes the node's own, which may have risen since in one
 * class. */
static void a_fleets_demand_excludes_own_per_class(void **state)
{
    (void)state;
    static struct fleet f;
    struct rk_org_demands demand = {0};
    struct rk_org_use own[] = {{.org = "a",
                                .units = 10,
                                .demand_per_s = 9,
                                .class_demand_per_s = {7, 0, 2, 0}}};
    struct rk_relay_report report = {.quota_usage = own, .quota_usage_len = 1};
    const double fleet_demand[RK_QUOTA_CLASSES] = {5, 3, 6, 0};
    const double expected[RK_QUOTA_CLASSES] = {0, 3, 4, 0};
    fleet_init(&f);
    f.nodes[0].report = &report;
    receive_classes_digest(&f, 0, 1, "a", fleet_demand);
    rk_loads_add_peer_demand(&f.meshes[0], &demand, rk_mono_ms());
    const struct rk_org_demand *a = rk_org_demands_find(&demand, "a");
    assert_non_null(a);
    assert_memory_equal(a->per_s, expected, sizeof(expected));
    rk_org_demands_free(&demand);
    fleet_free(&f);
}

/* Guards against a jump in quota usage at a node that has just started: if a brief
 * digest came first and served as the baseline, all usage since the bridge's start
 * would count as new with the next full digest. */
static void a_brief_digest_is_no_baseline(void **state)
{
    (void)state;
    static struct fleet f;
    fleet_init(&f);
    receive_brief_digest(&f, 0, 1);
    assert_null(rk_digest_fleet_source(&f.meshes[0], rk_mono_ms()));
    receive_usage_digest(&f, 0, 1, "a", 100000);
    assert_non_null(rk_digest_fleet_source(&f.meshes[0], rk_mono_ms()));
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 0, 0.001);
    receive_brief_digest(&f, 0, 1);
    receive_usage_digest(&f, 0, 1, "a", 100030);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 30, 0.001);
    free(f.meshes[0].peer_uses);
    fleet_free(&f);
}

/* Guards against usage that is counted again when another bridge becomes the
 * source: of a bridge that had only sent heartbeats, all usage since its start
 * counted as new, up to eight times a quota at a node that had just been restarted.
 */
static void a_bridge_known_by_heartbeats_has_no_baseline(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    receive_brief_digest(&f, 0, 2);
    receive_usage_digest(&f, 0, 1, "a", 100000);
    receive_usage_digest(&f, 0, 1, "a", 100030);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 30, 0.001);
    format_name(id, addr, 1);
    rk_mesh_find(&f.meshes[0], id)->digest.received_ms -= LONG_AGO_MS;
    receive_usage_digest(&f, 0, 2, "a", 100050);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 30, 0.001);
    receive_usage_digest(&f, 0, 2, "a", 100060);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 40, 0.001);
    free(f.meshes[0].peer_uses);
    fleet_free(&f);
}

/* Guards against usage that nobody counts. After over half of a fleet had lost
 * power, a bridge on a full link sent its nodes heartbeats only, for three seconds.
 * They kept it as their source, and took nothing from the other bridge, which sent
 * them digests with content: they knew 2 to 4 of 10 million units. */
static void a_bridge_that_sends_only_heartbeats_is_no_source(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    receive_usage_digest(&f, 0, 1, "a", 100000);
    receive_usage_digest(&f, 0, 2, "a", 100000);
    receive_usage_digest(&f, 0, 1, "a", 100000);
    format_name(id, addr, 1);
    rk_mesh_find(&f.meshes[0], id)->digest.content_ms -= SOURCE_AGE_MS;
    receive_brief_digest(&f, 0, 1);
    receive_usage_digest(&f, 0, 2, "a", 100030);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 30, 0.001);
    format_name(id, addr, 1);
    /* Heartbeats still tell which nodes are reachable. */
    assert_string_equal(
        rk_digest_reachability_source(&f.meshes[0], rk_mono_ms())->id, id);
    free(f.meshes[0].peer_uses);
    fleet_free(&f);
}

/* Guards against usage that is lost without a trace when no bridge of a domain is
 * left and others are elected: their first digests only set baselines. */
static void a_gap_between_two_sources_is_noted(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    receive_usage_digest(&f, 0, 1, "a", 100000);
    assert_int_equal(f.meshes[0].usage_gap_ms, 0);
    format_name(id, addr, 1);
    rk_mesh_find(&f.meshes[0], id)->digest.received_ms -= LONG_AGO_MS;
    rk_mesh_find(&f.meshes[0], id)->digest.content_ms -= LONG_AGO_MS;
    f.meshes[0].fleet_counted_ms -= SOURCE_AGE_MS;
    receive_usage_digest(&f, 0, 2, "a", 100050);
    assert_true(f.meshes[0].usage_gap_ms >= SOURCE_AGE_MS);
    fleet_free(&f);
}

/* Guards against usage that is counted twice when a bridge becomes the source after
 * seconds of heartbeats: what it had last told was older than what was counted from
 * the other bridge meanwhile. */
static void an_outdated_baseline_is_not_counted_from(void **state)
{
    (void)state;
    static struct fleet f;
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    fleet_init(&f);
    receive_usage_digest(&f, 0, 1, "a", 100);
    receive_usage_digest(&f, 0, 2, "a", 100);
    format_name(id, addr, 2);
    rk_mesh_find(&f.meshes[0], id)->digest.content_ms -= LONG_AGO_MS;
    receive_brief_digest(&f, 0, 2);
    receive_usage_digest(&f, 0, 1, "a", 5100);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 5000, 0.001);
    format_name(id, addr, 1);
    rk_mesh_find(&f.meshes[0], id)->digest.received_ms -= LONG_AGO_MS;
    receive_usage_digest(&f, 0, 2, "a", 5110);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 5000, 0.001);
    receive_usage_digest(&f, 0, 2, "a", 5130);
    assert_float_equal(peer_units_of(&f.meshes[0], "a"), 5020, 0.001);
    free(f.meshes[0].peer_uses);
    fleet_free(&f);
}

/* Guards against late reports of a node's past incarnation that count as new usage.
 * A domain was cut off and its nodes were restarted meanwhile. Afterwards the old
 * incarnations' reports arrived behind those of the new ones, all usage of 50 s was
 * counted as current, and organisations that had used a third of their quotas were
 * refused for 8 s. */
static void late_reports_of_a_past_incarnation_are_ignored(void **state)
{
    (void)state;
    struct fleet f;
    const struct {
        uint64_t incarnation;
        double units;   /* used since the start of the incarnation */
        double counted; /* usage counted by then */
    } reports[] = {{1, 5000, 0},   {1, 5100, 100}, {2, 40, 140},
                   {1, 5200, 140}, {2, 50, 150},   {3, 7, 157},
                   {2, 60, 157},   {1, 9000, 157}, {3, 8, 158}};
    fleet_init(&f);
    f.meshes[0].direct = true;
    for (size_t i = 0; i < RK_ARRAY_LEN(reports); i++) {
        char id[RK_ID_MAX], addr[RK_ADDR_MAX];
        Rillknot__NodeReport r = RILLKNOT__NODE_REPORT__INIT;
        Rillknot__OrgUse use = RILLKNOT__ORG_USE__INIT, *uses[] = {&use};
        format_name(id, addr, 1);
        r.id = id;
        r.addr = addr;
        r.domain = (char *)domain_of(1);
        r.incarnation = reports[i].incarnation;
        use.org = "clinic";
        use.units = reports[i].units;
        r.uses = uses;
        r.n_uses = 1;
        rk_report_receive(rk_mesh_find_or_add(&f.meshes[0], id, addr), &r);
        double counted = 0;
        for (size_t j = 0; j < f.meshes[0].peer_uses_len; j++)
            counted += f.meshes[0].peer_uses[j].units;
        assert_true(counted == reports[i].counted);
    }
    free(f.meshes[0].peer_uses);
    rk_totals_free(&f.meshes[0].domain_uses);
    rk_totals_free(&f.meshes[0].fleet_uses);
    fleet_free(&f);
}

/* Node `from` learns of all nodes, and node `to` of them from its digest, both long
 * ago. */
static void learn_of_all_long_ago(struct fleet *f, int to, int from)
{
    for (int i = 0; i < NODES; i++)
        if (i != from)
            receive_report(f, from, i);
    receive_digest(f, to, from, CAPACITY);
    for (struct member *k = f->meshes[to].members; k; k = k->next)
        k->added_ms -= LONG_AGO_MS;
}

/* Guards against sides of a partition that each take themselves for the whole
 * fleet. When a bridge reported that it didn't reach a domain, nodes forgot when
 * they had known its members to be alive and removed them at once, if they had been
 * added long ago. Both sides then used the whole quota of each organisation: 11.5
 * million units where 11.0 million are allowed. */
static void members_reported_unreachable_stay_members(void **state)
{
    (void)state;
    static struct fleet f;
    fleet_init(&f);
    learn_of_all_long_ago(&f, 0, 1);
    receive_digest_of_cut(&f, 0, 1, CAPACITY, "c-hall");
    rk_mesh_expire_members(&f.meshes[0], rk_mono_ms());
    assert_int_equal(rk_mesh_count(&f.meshes[0]), NODES - 1);
    fleet_free(&f);
}

/* Guards against sides of a partition that don't look for each other once it is
 * over. Only members that were alive were elected as bridges, so a bridge closed
 * its links to a domain that was silent for 5 s, and opened none until the domain's
 * nodes had been removed and listed again: 10 s after the end of a partition of 5.5
 * s. */
static void bridges_of_a_silent_domain_stay_elected(void **state)
{
    (void)state;
    static struct fleet f;
    int elected = 0;
    fleet_init(&f);
    for (int i = 1; i < NODES; i++)
        receive_report(&f, 0, i);
    for (struct member *k = f.meshes[0].members; k; k = k->next)
        if (!strcmp(k->domain, "c-hall"))
            k->last_received_ms -= SILENT_MS;
    rk_mesh_elect(&f.meshes[0], rk_mono_ms());
    for (const struct member *k = f.meshes[0].members; k; k = k->next)
        elected += !strcmp(k->domain, "c-hall") && k->bridge;
    assert_int_equal(elected, RK_MESH_BRIDGES);
    fleet_free(&f);
}

/* Node `to` receives a report of units by node `from`, which started age_ms ago. */
static void receive_usage_report(struct fleet *f, int to, int from, double units,
                                 int64_t age_ms)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    Rillknot__NodeReport r = RILLKNOT__NODE_REPORT__INIT;
    Rillknot__OrgUse use = RILLKNOT__ORG_USE__INIT, *uses = &use;
    format_name(id, addr, from);
    use.org = "a";
    use.units = units;
    r.id = id;
    r.addr = addr;
    r.domain = (char *)domain_of(from);
    r.incarnation = 1;
    r.uses = &uses;
    r.n_uses = 1;
    r.remembers_ms = age_ms;
    r.knows = true;
    rk_report_receive(rk_mesh_find_or_add(&f->meshes[to], id, addr), &r);
}

/* Guards against usage that no node knows after a kill of all: what the others had
 * used before their first reports. */
static void usage_since_a_common_start_is_counted(void **state)
{
    (void)state;
    static struct fleet f;
    fleet_init(&f);
    struct rk_mesh *m = &f.meshes[0];
    m->direct = true;
    m->n->file.quota_window_s = 8;
    receive_usage_report(&f, 0, 1, 30, 400);
    assert_float_equal(peer_units_of(m, "a"), 30, 0.001);
    receive_usage_report(&f, 0, 1, 50, 650);
    assert_float_equal(peer_units_of(m, "a"), 50, 0.001);
    receive_usage_report(&f, 0, 2, 1000, 5000);
    assert_float_equal(peer_units_of(m, "a"), 50, 0.001);
    free(m->peer_uses);
    fleet_free(&f);
}

/* Guards against a node restarted inside a partition that never learns what the
 * other side used in it: a first report of a node that has lived for long is none
 * to count from, so a history is merged again. */
static void a_node_that_was_cut_off_is_caught_up_with(void **state)
{
    (void)state;
    static struct fleet f;
    fleet_init(&f);
    struct rk_mesh *m = &f.meshes[0];
    m->direct = true;
    m->n->file.quota_window_s = 8;
    receive_usage_report(&f, 0, 1, 30, 400);
    assert_int_equal(m->catch_up_at_ms, 0);
    receive_usage_report(&f, 0, 2, 1000, 8000);
    assert_true(m->catch_up_at_ms > rk_mono_ms());
    free(m->peer_uses);
    fleet_free(&f);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(late_reports_of_a_past_incarnation_are_ignored),
        cmocka_unit_test(members_reported_unreachable_stay_members),
        cmocka_unit_test(bridges_of_a_silent_domain_stay_elected),
        cmocka_unit_test(nodes_agree_however_they_learnt_of_bridges),
        cmocka_unit_test(a_capacity_unknown_to_a_bridge_changes_none),
        cmocka_unit_test(a_digest_without_a_capacity_changes_none),
        cmocka_unit_test(messages_walk_only_contacts),
        cmocka_unit_test(a_fleets_sum_excludes_own_usage),
        cmocka_unit_test(a_packed_row_keeps_its_classes),
        cmocka_unit_test(a_fleets_demand_excludes_own_per_class),
        cmocka_unit_test(a_brief_digest_keeps_what_was_reported),
        cmocka_unit_test(a_brief_digest_is_no_baseline),
        cmocka_unit_test(a_bridge_known_by_heartbeats_has_no_baseline),
        cmocka_unit_test(an_outdated_baseline_is_not_counted_from),
        cmocka_unit_test(a_bridge_that_sends_only_heartbeats_is_no_source),
        cmocka_unit_test(a_gap_between_two_sources_is_noted),
        cmocka_unit_test(usage_since_a_common_start_is_counted),
        cmocka_unit_test(a_node_that_was_cut_off_is_caught_up_with),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
