/* Messages about rollouts: the leader's announcement, which bridges forward, and
 * the canary statistics of calls to the old and the new version, which bridges sum
 * for the leader. */
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define ANNOUNCE_INTERVAL_MS      250  /* while there are rules */
#define ANNOUNCE_IDLE_INTERVAL_MS 1000 /* while there are none: known_at only */
#define STATS_INTERVAL_MS         250
#define STATS_MAX_AGE_MS          3000 /* of another domain's statistics */

/* ---- announcements ---- */

static void encode_rule(Rillknot__RolloutRule *out, struct rk_rollout_rule *rule)
{
    rillknot__rollout_rule__init(out);
    out->service = rule->service;
    out->version = rule->version;
    out->phase = rule->phase;
    out->share = rule->share;
    out->vms = rule->vms;
    out->turn = rule->rotation;
    out->revision = rule->revision;
}

/* The origin of an announcement, which decides who gets it. In a direct mesh the
 * leader sends it to all nodes. Otherwise it goes to the bridges of the leader's
 * domain, from there to all other bridges, and from each bridge to the nodes of its
 * domain. */
struct announcement_origin {
    bool own;  /* made by this node */
    bool near; /* made by a node of this domain */
};

static bool wants_announcement(const struct member *k, const void *ctx)
{
    const struct rk_mesh *m = k->m;
    const struct announcement_origin *from = ctx;
    if (m->direct)
        return from->own;
    if (!m->bridge)
        return from->own && rk_mesh_is_same_domain(k) && k->bridge;
    return rk_mesh_is_same_domain(k) || (k->bridge && (from->own || from->near));
}

static void send_announcement(struct rk_mesh *m, const char *domain, bool own)
{
    const struct rk_rollout_announcement *w =
        rk_rollouts_announcement(m->n->rollouts);
    struct rk_rollout_announcement copy = *w;
    Rillknot__RolloutWord msg = RILLKNOT__ROLLOUT_WORD__INIT;
    Rillknot__RolloutRule rules[RK_ROLLOUTS], *ptrs[RK_ROLLOUTS];
    msg.domain = (char *)domain;
    msg.epoch = copy.epoch;
    msg.number = copy.number;
    msg.age_ms = rk_mono_ms() - copy.announced_ms;
    msg.known_at = copy.orders_revision;
    msg.n_rules = copy.len;
    msg.rules = ptrs;
    for (size_t i = 0; i < copy.len; i++) {
        encode_rule(&rules[i], &copy.rules[i]);
        ptrs[i] = &rules[i];
    }
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_ROLLOUT_WORD;
    frame.rollout_word = &msg;
    const struct announcement_origin from = {
        .own = own, .near = !strcmp(domain, m->n->file.failure_domain)};
    rk_mesh_send(m, &frame, wants_announcement, &from);
}

void rk_mesh_announce_rollouts(struct rk_mesh *m)
{
    const struct rk_rollout_announcement *w =
        rk_rollouts_announcement(m->n->rollouts);
    int64_t now_ms = rk_mono_ms();
    if (!w || now_ms - m->announcement_sent_ms <
                  (w->len ? ANNOUNCE_INTERVAL_MS : ANNOUNCE_IDLE_INTERVAL_MS))
        return;
    m->announcement_sent_ms = now_ms;
    send_announcement(m, m->n->file.failure_domain, true);
}

static bool decode_rule(const Rillknot__RolloutRule *from,
                        struct rk_rollout_rule *out)
{
    *out = (struct rk_rollout_rule){.phase = from->phase,
                                    .share = from->share,
                                    .vms = from->vms,
                                    .rotation = from->turn,
                                    .revision = from->revision};
    return from->phase <= RK_ROLLOUT_ROLLED_BACK &&
           from->share <= RK_ROLLOUT_SHARE_ALL && from->service[0] &&
           rk_strcpy(out->service, sizeof(out->service), from->service) &&
           rk_strcpy(out->version, sizeof(out->version), from->version);
}

void rk_rollout_receive_announcement(struct rk_mesh *m,
                                     const Rillknot__RolloutWord *msg)
{
    struct rk_rollout_announcement announcement = {
        .epoch = msg->epoch,
        .number = msg->number,
        .announced_ms = rk_mono_ms() - msg->age_ms,
        .orders_revision = msg->known_at};
    for (size_t i = 0; i < msg->n_rules && announcement.len < RK_ROLLOUTS; i++) {
        if (decode_rule(msg->rules[i], &announcement.rules[announcement.len])) {
            announcement.len++;
            continue;
        }
        RK_WARN("rollout.rule_rejected", RK_S("service", msg->rules[i]->service));
        return;
    }
    if (msg->number > 0 && msg->age_ms >= 0 &&
        rk_rollouts_receive(m->n->rollouts, &announcement) && m->bridge)
        send_announcement(m, msg->domain, false);
}

/* ---- canary statistics ---- */

/* Adds the statistics of one node or domain to a sum by service and version. */
static void add_stats(struct rk_rollout_stats **sum, size_t *len,
                      const struct rk_rollout_stats *stats, size_t stats_len)
{
    for (size_t i = 0; i < stats_len; i++) {
        struct rk_rollout_stats *to =
            rk_rollout_stats_find(*sum, *len, stats[i].service, stats[i].version);
        if (!to && *len < RK_ROLLOUTS) {
            *sum = rk_realloc(*sum, (*len + 1) * sizeof(**sum));
            to = &(*sum)[(*len)++];
            *to = (struct rk_rollout_stats){0};
            rk_strcpy(to->service, sizeof(to->service), stats[i].service);
            rk_strcpy(to->version, sizeof(to->version), stats[i].version);
        }
        if (to)
            rk_rollout_add(&to->rows, &stats[i].rows);
    }
}

/* Sums the statistics of this node and of the nodes that send theirs to it. Returns
 * the length of *sum, which the caller frees. */
static size_t sum_stats(const struct rk_mesh *m, struct rk_rollout_stats **sum)
{
    const struct rk_relay_report *r = m->n->report;
    size_t len = 0;
    *sum = NULL;
    if (r)
        add_stats(sum, &len, r->canaries, r->canaries_len);
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (!k->canary_stats_of_domain &&
            (m->direct || (m->bridge && rk_mesh_is_same_domain(k))))
            add_stats(sum, &len, k->canary_stats, k->canary_stats_len);
    return len;
}

/* Returns whether a member's sum is recent and the newest of its domain. Only that
 * one counts,
 * as the bridges of a domain send statistics of the same calls. */
static bool is_newest(const struct member *k, int64_t now_ms)
{
    if (!k->canary_stats_of_domain ||
        now_ms - k->canary_stats_ms > STATS_MAX_AGE_MS)
        return false;
    for (const struct member *o = k->m->contacts; o; o = o->next_contact)
        if (o != k && o->canary_stats_of_domain && !strcmp(o->domain, k->domain) &&
            o->canary_stats_ms > k->canary_stats_ms)
            return false;
    return true;
}

void rk_mesh_sum_canary_stats(const struct rk_mesh *m, struct rk_rollout_stats *sum)
{
    struct rk_rollout_stats *all, *found;
    int64_t now_ms = rk_mono_ms();
    size_t len = sum_stats(m, &all);
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (!m->direct && !rk_mesh_is_same_domain(k) && is_newest(k, now_ms))
            add_stats(&all, &len, k->canary_stats, k->canary_stats_len);
    found = rk_rollout_stats_find(all, len, sum->service, sum->version);
    if (found)
        sum->rows = found->rows;
    free(all);
}

/* A message being built. */
struct message {
    Rillknot__RolloutSeen msg;
    Rillknot__TrialSeen trials[RK_ROLLOUTS], *trial_ptrs[RK_ROLLOUTS];
    Rillknot__TrialRow rows[RK_ROLLOUTS][RK_CANARY_ROWS];
    Rillknot__TrialRow *row_ptrs[RK_ROLLOUTS][RK_CANARY_ROWS];
};

static void encode_row(Rillknot__TrialRow *out, struct rk_canary_row *row)
{
    rillknot__trial_row__init(out);
    out->route = row->route;
    out->domain = row->domain;
    out->tried = row->of_new_version;
    out->calls = (float)row->stats.calls;
    out->failed = (float)row->stats.failed;
    out->timed = (float)row->stats.timed;
    out->log_sum = (float)row->stats.log_sum;
    out->log_sq = (float)row->stats.log_sq;
}

static void encode_stats(struct message *p, struct rk_rollout_stats *stats,
                         size_t len)
{
    for (size_t i = 0; i < len && i < RK_ROLLOUTS; i++) {
        Rillknot__TrialSeen *to = &p->trials[i];
        rillknot__trial_seen__init(to);
        to->service = stats[i].service;
        to->version = stats[i].version;
        to->rows = p->row_ptrs[i];
        for (size_t j = 0; j < stats[i].rows.len; j++) {
            encode_row(&p->rows[i][j], &stats[i].rows.rows[j]);
            p->row_ptrs[i][to->n_rows++] = &p->rows[i][j];
        }
        p->trial_ptrs[p->msg.n_trials++] = to;
    }
    p->msg.trials = p->trial_ptrs;
}

/* Nodes send their statistics to the bridges of their domain, or in a direct mesh
 * to the leader. The first bridge of a domain sends the sum to the leader, which is
 * a bridge, too. */
static bool wants_stats(const struct member *k, const char *leader)
{
    const struct rk_mesh *m = k->m;
    if (m->direct)
        return !strcmp(k->id, leader);
    if (rk_mesh_is_same_domain(k))
        return k->bridge;
    return m->bridge && !m->rank && !strcmp(k->id, leader);
}

void rk_rollout_send_stats(struct rk_mesh *m, int64_t now_ms)
{
    char leader[RK_ID_MAX];
    const struct rk_rollout_announcement *announcement =
        rk_rollouts_announcement(m->n->rollouts);
    const struct rk_relay_report *r = m->n->report;
    if (!announcement || !announcement->len || !r ||
        now_ms - m->canary_stats_sent_ms < STATS_INTERVAL_MS)
        return;
    m->canary_stats_sent_ms = now_ms;
    rk_leader_id(m->n->leader, leader);
    struct rk_rollout_stats *sum;
    size_t sum_len = sum_stats(m, &sum);
    struct message *own = rk_alloc(1, sizeof(*own)),
                   *all = rk_alloc(1, sizeof(*all));
    rillknot__rollout_seen__init(&own->msg);
    rillknot__rollout_seen__init(&all->msg);
    own->msg.id = all->msg.id = m->n->file.id;
    own->msg.domain = all->msg.domain = m->n->file.failure_domain;
    all->msg.sum = true;
    encode_stats(own, r->canaries, r->canaries_len);
    encode_stats(all, sum, sum_len);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_ROLLOUT_SEEN;
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!wants_stats(k, leader) || !rk_mesh_link_is_ready(k->link))
            continue;
        bool far = !m->direct && !rk_mesh_is_same_domain(k);
        frame.rollout_seen = far ? &all->msg : &own->msg;
        rk_link_send(k->link, &frame);
    }
    free(own);
    free(all);
    free(sum);
}

static void decode_rows(const Rillknot__TrialSeen *from,
                        struct rk_rollout_stats *out)
{
    *out = (struct rk_rollout_stats){0};
    rk_strcpy(out->service, sizeof(out->service), from->service);
    rk_strcpy(out->version, sizeof(out->version), from->version);
    for (size_t i = 0; i < from->n_rows; i++) {
        const Rillknot__TrialRow *row = from->rows[i];
        struct rk_canary_row *to =
            rk_canary_get_row(&out->rows, row->route, row->domain, row->tried);
        if (to)
            to->stats = (struct rk_canary_stats){.calls = row->calls,
                                                 .failed = row->failed,
                                                 .timed = row->timed,
                                                 .log_sum = row->log_sum,
                                                 .log_sq = row->log_sq};
    }
}

void rk_rollout_receive_stats(struct rk_mesh *m, const Rillknot__RolloutSeen *msg)
{
    struct member *k = rk_mesh_find(m, msg->id);
    size_t len = msg->n_trials < RK_ROLLOUTS ? msg->n_trials : RK_ROLLOUTS;
    if (!k)
        return;
    rk_mesh_add_contact(k);
    k->canary_stats =
        rk_realloc(k->canary_stats, (len + 1) * sizeof(*k->canary_stats));
    k->canary_stats_len = len;
    k->canary_stats_of_domain = msg->sum;
    k->canary_stats_ms = rk_mono_ms();
    rk_strcpy(k->domain, sizeof(k->domain), msg->domain);
    for (size_t i = 0; i < len; i++)
        decode_rows(msg->trials[i], &k->canary_stats[i]);
}
