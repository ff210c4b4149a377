/* Roll-outs: the holder of the duties follows what operators order, decides by what
 * all nodes saw of both versions, records the state, and says what each node has to
 * do; the others go by its word. Versions that nobody ordered, as far as is known,
 * get no call. */
#include <stdlib.h>
#include <string.h>

#include "cloud/duties.h"
#include "common/eventlog.h"
#include "node/rollouts_impl.h"
#include "objects/store.h"

/* A word that is older lets nobody try a version that is not judged yet: holders
 * tell it four times a second, over two bridges at the most. */
#define FRESH_MS 1500
/* Without any word for so long, the store is asked what became of a roll-out. */
#define LOST_MS      3000
#define ASK_STORE_MS 2000

bool rk_rollouts_are_on(const struct rk_rollouts *r)
{
    return r->n->file.trial_share > 0;
}

const struct rk_rollout_word *rk_rollouts_word(const struct rk_rollouts *r)
{
    return r->word.number ? &r->word : NULL;
}

/* ---- versions that may be used ---- */

static struct serving *serving_of(struct rk_rollouts *r, const char *service)
{
    for (size_t i = 0; i < r->serving_len; i++)
        if (!strcmp(r->serving[i].service, service))
            return &r->serving[i];
    return NULL;
}

const char *rk_rollouts_before(const struct rk_rollouts *r, const char *service,
                               const char *version)
{
    const struct serving *s = serving_of((struct rk_rollouts *)r, service);
    if (!s)
        return "";
    return strcmp(s->version, version) != 0 ? s->version : s->before;
}

static size_t count_version(const struct rk_vm_row *rows, size_t len,
                            const struct rk_vm_row *like)
{
    size_t count = 0;
    for (size_t i = 0; i < len; i++)
        count += !strcmp(rows[i].service, like->service) &&
                 !strcmp(rows[i].version, like->version);
    return count;
}

/* The vm of a service that has stood longest; NULL: not each tells when it was
 * started. */
static const struct rk_vm_row *find_oldest(const struct rk_vm_row *rows, size_t len,
                                           const char *service)
{
    const struct rk_vm_row *oldest = NULL;
    for (size_t i = 0; i < len; i++) {
        if (strcmp(rows[i].service, service) != 0)
            continue;
        if (!rows[i].born_ms)
            return NULL;
        if (!oldest || rows[i].born_ms < oldest->born_ms)
            oldest = &rows[i];
    }
    return oldest;
}

/* One of the version that most vms of a service have. */
static const struct rk_vm_row *find_common(const struct rk_vm_row *rows, size_t len,
                                           const struct rk_vm_row *first)
{
    const struct rk_vm_row *most = first;
    for (size_t i = 0; i < len; i++)
        if (!strcmp(rows[i].service, first->service) &&
            strcmp(rows[i].version, most->version) != 0 &&
            count_version(rows, len, &rows[i]) > count_version(rows, len, most))
            most = &rows[i];
    return most;
}

/* A service seen for the first time is served by the version that came first: while
 * another one is tried, as many vms may have that. */
static void learn_serving(struct rk_rollouts *r, const struct rk_vm_row *rows,
                          size_t len, const struct rk_vm_row *row)
{
    if (serving_of(r, row->service) || r->serving_len == RK_ROLLOUTS_SERVICES)
        return;
    const struct rk_vm_row *like = find_oldest(rows, len, row->service);
    if (!like)
        like = find_common(rows, len, row);
    struct serving *s = &r->serving[r->serving_len++];
    rk_strcpy(s->service, sizeof(s->service), row->service);
    rk_strcpy(s->version, sizeof(s->version), like->version);
}

const struct rk_rollout_rule *rk_rollout_rule_of(const struct rk_rollout_word *word,
                                                 const char *service)
{
    return rk_rollout_rule_find(word->rules, word->len, service);
}

const struct rk_rollout_rule *rk_rollouts_moving(const struct rk_rollouts *r,
                                                 const char *service)
{
    const struct rk_rollout_rule *rule = rk_rollout_rule_of(&r->word, service);
    return rule && rule->phase < RK_ROLLOUT_TAKEN ? rule : NULL;
}

static bool is_barred(struct rk_rollouts *r, const struct rk_vm_row *row,
                      int64_t since)
{
    const struct serving *s = serving_of(r, row->service);
    const struct rk_rollout_rule *rule = rk_rollout_rule_of(&r->word, row->service);
    if (!s || !strcmp(s->version, row->version))
        return false;
    if (rule && !strcmp(rule->version, row->version))
        return rule->phase == RK_ROLLOUT_GIVEN_BACK;
    /* Nobody ordered it by the time it came: the platform's own replacement. */
    return rule || r->word.known_at < since;
}

void rk_rollouts_mark(struct rk_rollouts *r, struct rk_vm_row *rows,
                      const int64_t *since, size_t len)
{
    if (!rk_rollouts_are_on(r))
        return;
    for (size_t i = 0; i < len; i++)
        learn_serving(r, rows, len, &rows[i]);
    r->bars = false;
    for (size_t i = 0; i < len; i++) {
        rows[i].barred = is_barred(r, &rows[i], since[i]);
        r->bars = r->bars || rows[i].barred;
    }
}

/* ---- going by the word ---- */

static bool is_fresh(const struct rk_rollouts *r)
{
    return r->word.number && rk_mono_ms() - r->word.said_ms < FRESH_MS;
}

static void note_taken(struct rk_rollouts *r)
{
    for (size_t i = 0; i < r->word.len; i++) {
        const struct rk_rollout_rule *rule = &r->word.rules[i];
        struct serving *s = serving_of(r, rule->service);
        if (!s || rule->phase != RK_ROLLOUT_TAKEN ||
            !strcmp(s->version, rule->version))
            continue;
        rk_strcpy(s->before, sizeof(s->before), s->version);
        rk_strcpy(s->version, sizeof(s->version), rule->version);
    }
}

/* Tell the relay what has changed. */
static void apply_word(struct rk_rollouts *r)
{
    bool fresh = is_fresh(r);
    if (r->told && fresh == r->was_fresh)
        return;
    struct rk_rollout_rule *rules =
        rk_alloc(r->word.len + 1, sizeof(struct rk_rollout_rule));
    memcpy(rules, r->word.rules, r->word.len * sizeof(*rules));
    bool taken = rk_relay_set_rollouts(r->n->relay, rules, r->word.len, fresh);
    r->told = taken;
    r->was_fresh = fresh;
    note_taken(r);
}

static bool same_rules(const struct rk_rollout_word *a,
                       const struct rk_rollout_word *b)
{
    if (a->len != b->len)
        return false;
    for (size_t i = 0; i < a->len; i++)
        if (a->rules[i].revision != b->rules[i].revision ||
            strcmp(a->rules[i].service, b->rules[i].service) != 0)
            return false;
    return true;
}

static void log_rules(const struct rk_rollouts *r, const char *from)
{
    for (size_t i = 0; i < r->word.len; i++) {
        const struct rk_rollout_rule *rule = &r->word.rules[i];
        RK_EVENT("rollout.rule", RK_S("service", rule->service),
                 RK_S("version", rule->version),
                 RK_S("phase", rk_rollout_phase_str(rule->phase)),
                 RK_N("share", rule->share), RK_N("vms", rule->vms),
                 RK_N("turn", rule->turn), RK_N("epoch", r->word.epoch),
                 RK_S("from", from));
    }
}

static void set_word(struct rk_rollouts *r, const struct rk_rollout_word *word,
                     const char *from)
{
    bool changed = r->word.epoch != word->epoch || !same_rules(&r->word, word);
    bool known = word->known_at != r->told_at;
    r->word = *word;
    r->told_at = word->known_at;
    if (changed) {
        log_rules(r, from);
        r->told = false;
    }
    apply_word(r);
    if (changed || (known && r->bars))
        rk_sync_publish(r->n->sync);
}

bool rk_rollouts_take(struct rk_rollouts *r, const struct rk_rollout_word *word)
{
    bool newer = word->epoch > r->word.epoch ||
                 (word->epoch == r->word.epoch && word->number > r->word.number);
    if (!newer || r->holds || !rk_rollouts_are_on(r))
        return false;
    set_word(r, word, "peer");
    return true;
}

/* ---- who hears nobody ---- */

static void on_asked(void *ctx, enum rk_status st, const struct rk_store_object *o)
{
    struct rk_rollouts *r = ctx;
    struct rk_rollout_order order;
    r->asking = false;
    if (st != RK_OK || !o || is_fresh(r) || r->holds ||
        !r->n->platform->parse_rollout(o->spec, o->status, &order))
        return;
    struct rk_rollout_word word = r->word;
    for (size_t i = 0; i < word.len; i++) {
        struct rk_rollout_rule *rule = &word.rules[i];
        if (strcmp(rule->service, order.service) != 0 ||
            strcmp(rule->version, order.version) != 0 ||
            order.state < RK_ROLLOUT_DONE)
            continue;
        rule->phase = order.state == RK_ROLLOUT_DONE ? RK_ROLLOUT_TAKEN
                                                     : RK_ROLLOUT_GIVEN_BACK;
        rule->share = order.state == RK_ROLLOUT_DONE ? RK_ROLLOUT_ALL : 0;
        rule->vms = 0;
        rule->revision++;
    }
    if (!same_rules(&word, &r->word))
        set_word(r, &word, "store");
}

/* A node that is cut off from its peers, but not from the store, learns there
 * whether the old vms are gone. */
static void ask_store(struct rk_rollouts *r)
{
    int64_t now_ms = rk_mono_ms();
    if (r->asking || r->holds || !r->word.number ||
        now_ms - r->word.said_ms < LOST_MS || now_ms - r->asked_ms < ASK_STORE_MS)
        return;
    for (size_t i = 0; i < r->word.len; i++) {
        const struct rk_rollout_rule *rule = &r->word.rules[i];
        if (rule->phase >= RK_ROLLOUT_TAKEN)
            continue;
        r->asking = true;
        r->asked_ms = now_ms;
        r->n->store->ops->read(r->n->store, r->n->platform->rollouts_kind,
                               rule->service, false, on_asked, r);
        return;
    }
}

/* Each order that is known has a rule, also before it has begun: without one, its
 * version would pass for a replacement by the platform itself. */
static void say(struct rk_rollouts *r)
{
    struct rk_rollout_word word = {
        .epoch = r->epoch,
        .number = r->word.epoch == r->epoch ? r->word.number + 1 : 1,
        .said_ms = rk_mono_ms(),
        .known_at = r->orders.at};
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (r->courses[i].used)
            word.rules[word.len++] = r->courses[i].rollout.rule;
    set_word(r, &word, "self");
    rk_mesh_tell_rollouts(r->n->mesh);
}

static void hold(struct rk_rollouts *r, const struct rk_duty_token *token)
{
    r->holds = token != NULL;
    r->epoch = token ? token->fence : 0;
    if (!token)
        return;
    /* What an earlier holder knew may be old: it is listed, and begun, again. */
    rk_rollouts_begin_holding(r);
}

void rk_rollouts_tick(struct rk_rollouts *r, const struct rk_duty_token *token)
{
    if (!rk_rollouts_are_on(r))
        return;
    if (r->holds != (token != NULL) || (token && token->fence != r->epoch))
        hold(r, token);
    rk_follow_set(&r->orders, r->holds);
    apply_word(r);
    ask_store(r);
    if (!r->holds || !r->orders.at || !rk_sync_ready(r->n->sync))
        return;
    rk_rollouts_hold(r);
    say(r);
}

/* ---- making ---- */

struct rk_rollouts *rk_rollouts_create(struct rk_node *n)
{
    struct rk_rollouts *r = rk_alloc(1, sizeof(*r));
    r->n = n;
    rk_rollouts_init_orders(r);
    return r;
}

void rk_rollouts_destroy(struct rk_rollouts *r)
{
    rk_follow_destroy(&r->orders);
    free(r);
}
