/* What nodes tell each other of roll-outs: the holder's word, which bridges pass
 * on, and what calls to both versions showed, which they sum for the holder. */
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define WORD_MS      250  /* between words while versions are tried */
#define WORD_IDLE_MS 1000 /* else: only which orders are known is told */
#define SEEN_MS      250
#define SEEN_KEPT_MS 3000 /* what a silent domain told counts for so long */

/* ---- the word ---- */

static void put_rule(Rillknot__RolloutRule *out, struct rk_rollout_rule *rule)
{
    rillknot__rollout_rule__init(out);
    out->service = rule->service;
    out->version = rule->version;
    out->phase = rule->phase;
    out->share = rule->share;
    out->vms = rule->vms;
    out->turn = rule->turn;
    out->revision = rule->revision;
}

/* Who passes a word on: the holder to all it reaches, a bridge to the nodes of its
 * domain, and a word of its own domain to the other bridges, too. */
struct word_from {
    bool own, near; /* said by this node, by one of its domain */
};

static bool wants_word(const struct member *k, const void *ctx)
{
    const struct rk_mesh *m = k->m;
    const struct word_from *from = ctx;
    if (m->direct)
        return from->own;
    if (!m->bridge)
        return from->own && rk_mesh_is_near(k) && k->bridge;
    return rk_mesh_is_near(k) || (k->bridge && (from->own || from->near));
}

static void tell_word(struct rk_mesh *m, const char *domain, bool own)
{
    const struct rk_rollout_word *w = rk_rollouts_word(m->n->rollouts);
    struct rk_rollout_word copy = *w;
    Rillknot__RolloutWord word = RILLKNOT__ROLLOUT_WORD__INIT;
    Rillknot__RolloutRule rules[RK_ROLLOUTS], *ptrs[RK_ROLLOUTS];
    word.domain = (char *)domain;
    word.epoch = copy.epoch;
    word.number = copy.number;
    word.age_ms = rk_mono_ms() - copy.said_ms;
    word.known_at = copy.known_at;
    word.n_rules = copy.len;
    word.rules = ptrs;
    for (size_t i = 0; i < copy.len; i++) {
        put_rule(&rules[i], &copy.rules[i]);
        ptrs[i] = &rules[i];
    }
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_ROLLOUT_WORD;
    frame.rollout_word = &word;
    const struct word_from from = {
        .own = own, .near = !strcmp(domain, m->n->file.failure_domain)};
    rk_mesh_send(m, &frame, wants_word, &from);
}

void rk_mesh_tell_rollouts(struct rk_mesh *m)
{
    const struct rk_rollout_word *w = rk_rollouts_word(m->n->rollouts);
    int64_t now_ms = rk_mono_ms();
    if (!w || now_ms - m->word_ms < (w->len ? WORD_MS : WORD_IDLE_MS))
        return;
    m->word_ms = now_ms;
    tell_word(m, m->n->file.failure_domain, true);
}

static bool read_rule(const Rillknot__RolloutRule *told,
                      struct rk_rollout_rule *out)
{
    *out = (struct rk_rollout_rule){.phase = told->phase,
                                    .share = told->share,
                                    .vms = told->vms,
                                    .turn = told->turn,
                                    .revision = told->revision};
    return told->phase <= RK_ROLLOUT_GIVEN_BACK && told->share <= RK_ROLLOUT_ALL &&
           told->service[0] &&
           rk_strcpy(out->service, sizeof(out->service), told->service) &&
           rk_strcpy(out->version, sizeof(out->version), told->version);
}

void rk_rollout_tell_take_word(struct rk_mesh *m, const Rillknot__RolloutWord *told)
{
    struct rk_rollout_word word = {.epoch = told->epoch,
                                   .number = told->number,
                                   .said_ms = rk_mono_ms() - told->age_ms,
                                   .known_at = told->known_at};
    for (size_t i = 0; i < told->n_rules && word.len < RK_ROLLOUTS; i++) {
        if (read_rule(told->rules[i], &word.rules[word.len])) {
            word.len++;
            continue;
        }
        RK_WARN("rollout.rule_rejected", RK_S("service", told->rules[i]->service));
        return;
    }
    if (told->number > 0 && told->age_ms >= 0 &&
        rk_rollouts_take(m->n->rollouts, &word) && m->bridge)
        tell_word(m, told->domain, false);
}

/* ---- what calls showed ---- */

/* The trials of one, added to a list of several. */
static void add(struct rk_rollout_seen **sum, size_t *len,
                const struct rk_rollout_seen *trials, size_t trials_len)
{
    for (size_t i = 0; i < trials_len; i++) {
        struct rk_rollout_seen *to =
            rk_rollout_seen_of(*sum, *len, trials[i].service, trials[i].version);
        if (!to && *len < RK_ROLLOUTS) {
            *sum = rk_realloc(*sum, (*len + 1) * sizeof(**sum));
            to = &(*sum)[(*len)++];
            *to = (struct rk_rollout_seen){0};
            rk_strcpy(to->service, sizeof(to->service), trials[i].service);
            rk_strcpy(to->version, sizeof(to->version), trials[i].version);
        }
        if (to)
            rk_rollout_add(&to->rows, &trials[i].rows);
    }
}

/* This node's, and those of the nodes that it sums. */
static size_t sum_near(const struct rk_mesh *m, struct rk_rollout_seen **sum)
{
    const struct rk_relay_report *r = m->n->report;
    size_t len = 0;
    *sum = NULL;
    if (r)
        add(sum, &len, r->trials, r->trials_len);
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (!k->trials_sum && (m->direct || (m->bridge && rk_mesh_is_near(k))))
            add(sum, &len, k->trials, k->trials_len);
    return len;
}

/* The newest sum of each other domain: its bridges tell the same calls. */
static bool is_newest(const struct member *k, int64_t now_ms)
{
    if (!k->trials_sum || now_ms - k->trials_ms > SEEN_KEPT_MS)
        return false;
    for (const struct member *o = k->m->contacts; o; o = o->next_contact)
        if (o != k && o->trials_sum && !strcmp(o->domain, k->domain) &&
            o->trials_ms > k->trials_ms)
            return false;
    return true;
}

void rk_mesh_add_trials(const struct rk_mesh *m, struct rk_rollout_seen *sum)
{
    struct rk_rollout_seen *all, *found;
    int64_t now_ms = rk_mono_ms();
    size_t len = sum_near(m, &all);
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (!m->direct && !rk_mesh_is_near(k) && is_newest(k, now_ms))
            add(&all, &len, k->trials, k->trials_len);
    found = rk_rollout_seen_of(all, len, sum->service, sum->version);
    if (found)
        sum->rows = found->rows;
    free(all);
}

/* A message in the making. */
struct making {
    Rillknot__RolloutSeen seen;
    Rillknot__TrialSeen trials[RK_ROLLOUTS], *trial_ptrs[RK_ROLLOUTS];
    Rillknot__TrialRow rows[RK_ROLLOUTS][RK_TRIAL_ROWS];
    Rillknot__TrialRow *row_ptrs[RK_ROLLOUTS][RK_TRIAL_ROWS];
};

static void put_row(Rillknot__TrialRow *out, struct rk_trial_row *row)
{
    rillknot__trial_row__init(out);
    out->route = row->route;
    out->domain = row->domain;
    out->tried = row->tried;
    out->calls = (float)row->seen.calls;
    out->failed = (float)row->seen.failed;
    out->timed = (float)row->seen.timed;
    out->log_sum = (float)row->seen.log_sum;
    out->log_sq = (float)row->seen.log_sq;
}

static void put_trials(struct making *p, struct rk_rollout_seen *trials, size_t len)
{
    for (size_t i = 0; i < len && i < RK_ROLLOUTS; i++) {
        Rillknot__TrialSeen *to = &p->trials[i];
        rillknot__trial_seen__init(to);
        to->service = trials[i].service;
        to->version = trials[i].version;
        to->rows = p->row_ptrs[i];
        for (size_t j = 0; j < trials[i].rows.len; j++) {
            put_row(&p->rows[i][j], &trials[i].rows.rows[j]);
            p->row_ptrs[i][to->n_rows++] = &p->rows[i][j];
        }
        p->trial_ptrs[p->seen.n_trials++] = to;
    }
    p->seen.trials = p->trial_ptrs;
}

/* Nodes tell those who sum; the first bridge of a domain tells the sum to the
 * holder, who is a bridge, too. */
static bool wants_seen(const struct member *k, const char *holder)
{
    const struct rk_mesh *m = k->m;
    if (m->direct)
        return !strcmp(k->id, holder);
    if (rk_mesh_is_near(k))
        return k->bridge;
    return m->bridge && !m->preceded && !strcmp(k->id, holder);
}

void rk_rollout_tell_seen(struct rk_mesh *m, int64_t now_ms)
{
    char holder[RK_ID_MAX];
    const struct rk_rollout_word *word = rk_rollouts_word(m->n->rollouts);
    const struct rk_relay_report *r = m->n->report;
    if (!word || !word->len || !r || now_ms - m->trials_ms < SEEN_MS)
        return;
    m->trials_ms = now_ms;
    rk_duty_keeper_holder(m->n->duty_keeper, holder);
    struct rk_rollout_seen *sum;
    size_t sum_len = sum_near(m, &sum);
    struct making *own = rk_alloc(1, sizeof(*own)),
                  *all = rk_alloc(1, sizeof(*all));
    rillknot__rollout_seen__init(&own->seen);
    rillknot__rollout_seen__init(&all->seen);
    own->seen.id = all->seen.id = m->n->file.id;
    own->seen.domain = all->seen.domain = m->n->file.failure_domain;
    all->seen.sum = true;
    put_trials(own, r->trials, r->trials_len);
    put_trials(all, sum, sum_len);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_ROLLOUT_SEEN;
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!wants_seen(k, holder) || !rk_mesh_takes(k->link))
            continue;
        bool far = !m->direct && !rk_mesh_is_near(k);
        frame.rollout_seen = far ? &all->seen : &own->seen;
        rk_link_send(k->link, &frame);
    }
    free(own);
    free(all);
    free(sum);
}

static void read_rows(const Rillknot__TrialSeen *told, struct rk_rollout_seen *out)
{
    *out = (struct rk_rollout_seen){0};
    rk_strcpy(out->service, sizeof(out->service), told->service);
    rk_strcpy(out->version, sizeof(out->version), told->version);
    for (size_t i = 0; i < told->n_rows; i++) {
        const Rillknot__TrialRow *row = told->rows[i];
        struct rk_trial_row *to =
            rk_trial_row_at(&out->rows, row->route, row->domain, row->tried);
        if (to)
            to->seen = (struct rk_trial_seen){.calls = row->calls,
                                              .failed = row->failed,
                                              .timed = row->timed,
                                              .log_sum = row->log_sum,
                                              .log_sq = row->log_sq};
    }
}

void rk_rollout_tell_take_seen(struct rk_mesh *m, const Rillknot__RolloutSeen *seen)
{
    struct member *k = rk_mesh_find(m, seen->id);
    size_t len = seen->n_trials < RK_ROLLOUTS ? seen->n_trials : RK_ROLLOUTS;
    if (!k)
        return;
    rk_mesh_meet(k);
    k->trials = rk_realloc(k->trials, (len + 1) * sizeof(*k->trials));
    k->trials_len = len;
    k->trials_sum = seen->sum;
    k->trials_ms = rk_mono_ms();
    rk_strcpy(k->domain, sizeof(k->domain), seen->domain);
    for (size_t i = 0; i < len; i++)
        read_rows(seen->trials[i], &k->trials[i]);
}
