#include "core/place_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define OTHER_DOMAIN_MS 4.0    /* way there and back, and the price of its bytes */
#define JITTER_MS       2      /* so that nodes don't all choose the same */
#define PAUSED_MS       5000.0 /* cost of a paused vm: the last resort */
#define FULL_MS         3000.0 /* cost of a vm with all slots taken */
#define ERROR_MS                                                                   \
    1200.0 /* cost of a vm that fails each call: a stream notices its silence      \
              after 2.5 s, a plain call after 0.15 s */
#define STALE_BONUS_MS                                                             \
    300.0 /* of a vm whose limit may be over: only an answer tells */
#define TURNED_AWAY_MS                                                             \
    1500.0 /* cost of a vm that turns each call away: an attempt, and a retry */
#define KNOWN_MS   12000 /* how long a part is taken to stay cached */
#define HOMES      4     /* vms that a prefix is sent to first */
#define SHARED_MIN 1000  /* tokens: calls that share less are spread */
#define OUTSIDE_FIRSTS                                                             \
    3.0 /* times a first token, less must speak for a vm that is no home: what is  \
           told of it is old, and all nodes see the same */
/* Of tokens, as they count when vms are compared; both by measurement on two sites.
 */
#define COPY_WEIGHT    1.5 /* of its own prompt: it also holds up all others there */
#define WAITING_WEIGHT 1.0 /* of what waits: what is told of it is old */
#define INDEX_FIRST    64  /* places for vms; a power of two */

/* How much of a shared prefix is taken to be cached at its homes, in their order:
 * those that come later are used only while the first are busy. */
static const double home_shares[HOMES] = {0.95, 0.7, 0.5, 0.35};

struct rk_place *rk_place_create(const char *domain, uint64_t seed)
{
    struct rk_place *p = rk_alloc(1, sizeof(*p));
    rk_strcpy(p->domain, sizeof(p->domain), domain);
    p->rng.state = seed;
    return p;
}

void rk_place_destroy(struct rk_place *p)
{
    for (struct rk_place_vm *v = p->vms, *next; v; v = next) {
        next = v->next;
        free(v);
    }
    free(p->index);
    rk_speeds_free(&p->speeds);
    rk_vm_signals_free(&p->signals);
    free(p);
}

const struct rk_place_vm *rk_place_vms(const struct rk_place *p)
{
    return p->vms;
}

struct rk_speed *rk_place_speed_of(struct rk_place *p, const char *service)
{
    return rk_speeds_of(&p->speeds, service);
}

/* ---- rows ---- */

/* The place of a vm in the index, or the free one where it would stand. */
static size_t place_of(const struct rk_place *p, const char *id, uint64_t hash)
{
    size_t at = hash & (p->index_len - 1);
    while (p->index[at] && strcmp(p->index[at]->row.id, id) != 0)
        at = (at + 1) & (p->index_len - 1);
    return at;
}

static void index_vm(struct rk_place *p, struct rk_place_vm *v)
{
    p->index[place_of(p, v->row.id, rk_hash_str(0, v->row.id))] = v;
}

static void index_vms(struct rk_place *p)
{
    memset(p->index, 0, p->index_len * sizeof(struct rk_place_vm *));
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        if (!v->over)
            index_vm(p, v);
}

/* Room for one more vm. */
static void reserve(struct rk_place *p)
{
    if (p->index_len && (p->vms_len + 1) * 2 <= p->index_len)
        return;
    p->index_len = p->index_len ? p->index_len * 2 : INDEX_FIRST;
    p->index = rk_realloc(p->index, p->index_len * sizeof(struct rk_place_vm *));
    index_vms(p);
}

struct rk_place_vm *rk_place_find(struct rk_place *p, const char *id)
{
    return p->index_len ? p->index[place_of(p, id, rk_hash_str(0, id))] : NULL;
}

static struct rk_place_vm *add(struct rk_place *p, const struct rk_vm_row *row,
                               int64_t now_ms)
{
    struct rk_place_vm *v = rk_alloc(1, sizeof(*v));
    reserve(p);
    v->row = *row;
    v->hash = rk_vm_life(row);
    v->warm_from_ms = now_ms + row->cold_ms;
    v->service_hash = (uint32_t)rk_hash_str(0, row->service);
    v->speed = rk_speeds_of(&p->speeds, row->service);
    v->signal = rk_vm_signals_find(&p->signals, v->hash);
    v->next = p->vms;
    p->vms = v;
    p->vms_len++;
    index_vm(p, v);
    return v;
}

bool rk_vm_is_reborn(const struct rk_vm_row *before, const struct rk_vm_row *now)
{
    return before->born_ms && now->born_ms > before->born_ms;
}

uint64_t rk_vm_life(const struct rk_vm_row *row)
{
    uint64_t hash = rk_hash_str(0, row->id);
    return row->born_ms ? rk_hash(hash, &row->born_ms, sizeof(row->born_ms)) : hash;
}

/* Of its life before nothing is known any more but the calls that are in hand. */
static struct rk_place_vm *begin_life(struct rk_place *p,
                                      struct rk_place_vm *before,
                                      const struct rk_vm_row *row, int64_t now_ms)
{
    before->over = true;
    before->listed = false;
    before->row.leaving = true;
    index_vms(p);
    return add(p, row, now_ms);
}

/* Forget vms that are off the list and have no call of ours in hand. */
void rk_place_sweep(struct rk_place *p)
{
    size_t before = p->vms_len;
    rk_place_forget_busy(p);
    for (struct rk_place_vm **at = &p->vms; *at;) {
        struct rk_place_vm *v = *at;
        if (!rk_place_is_done(v)) {
            at = &v->next;
            continue;
        }
        *at = v->next;
        p->vms_len--;
        free(v);
    }
    if (p->vms_len != before)
        index_vms(p);
}

/* A row of the list as it stands now; true if a life of its vm ended by that. */
static bool put_row(struct rk_place *p, const struct rk_vm_row *row, int64_t now_ms)
{
    struct rk_place_vm *v = rk_place_find(p, row->id);
    if (!v)
        v = add(p, row, now_ms);
    bool reborn = rk_vm_is_reborn(&v->row, row);
    if (reborn)
        v = begin_life(p, v, row, now_ms);
    v->listed = true;
    if (rk_vm_is_reborn(row, &v->row))
        return false; /* of an earlier life */
    bool leaving = v->row.leaving || row->leaving || rk_place_says_leaving(v);
    if (leaving && !v->left_ms)
        v->left_ms = now_ms;
    v->row = *row;
    v->row.leaving = leaving; /* it never comes back */
    return reborn;
}

void rk_place_set_vms(struct rk_place *p, const struct rk_vm_row *rows, size_t len,
                      int64_t now_ms)
{
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        v->listed = false;
    for (size_t i = 0; i < len; i++)
        put_row(p, &rows[i], now_ms);
    rk_place_sweep(p);
    rk_place_mark_versions(p);
}

void rk_place_change_vms(struct rk_place *p, const struct rk_vm_row *rows,
                         size_t len, const char (*gone)[RK_ID_MAX], size_t gone_len,
                         int64_t now_ms)
{
    bool ended = gone_len > 0;
    for (size_t i = 0; i < gone_len; i++) {
        struct rk_place_vm *v = rk_place_find(p, gone[i]);
        if (v)
            v->listed = false;
    }
    for (size_t i = 0; i < len; i++)
        ended = put_row(p, &rows[i], now_ms) || ended;
    if (ended)
        rk_place_sweep(p);
    rk_place_mark_versions(p);
}

/* ---- what is cached where ---- */

void rk_place_parse_parts(struct rk_place_query *q, const char *text)
{
    uint64_t chain = 0;
    q->parts_len = 0;
    while (*text && q->parts_len < RK_PLACE_PARTS) {
        size_t id = strcspn(text, ":,");
        chain = rk_hash(chain, text, id);
        text += id;
        long tokens = *text == ':' ? strtol(text + 1, NULL, 10) : 0;
        q->parts[q->parts_len++] = (struct rk_place_part){
            .chain = chain, .tokens = tokens > 0 ? (uint32_t)tokens : 0};
        text += strcspn(text, ",");
        if (*text == ',')
            text++;
    }
}

static struct memo *memo(struct rk_place *p, uint64_t chain, uint64_t vm)
{
    return &p->memos[(chain ^ vm * 0x9e3779b97f4a7c15ULL) & (MEMO_SLOTS - 1)];
}

static bool known(struct rk_place *p, uint64_t chain, uint64_t vm, int64_t now_ms)
{
    const struct memo *m = memo(p, chain, vm);
    return m->chain == chain && m->vm == vm && now_ms - m->at_ms < KNOWN_MS;
}

/* The part by which calls are kept together: the last that is shared. */
static uint64_t affinity(const struct rk_place_query *q)
{
    if (q->parts_len >= 2)
        return q->parts[q->parts_len - 2].chain;
    return q->parts_len ? q->parts[0].chain : 0;
}

static double shared_tokens(const struct rk_place_query *q)
{
    double sum = 0;
    for (size_t i = 0; i + 1 < q->parts_len; i++)
        sum += q->parts[i].tokens;
    return sum;
}

/* Tokens of the prompt that need not be read at a vm, by what was sent there and by
 * the share of its prefix that it is taken to have. */
static double cached(struct rk_place *p, const struct rk_place_query *q,
                     const struct rk_place_vm *v, double share, int64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < q->parts_len; i++) {
        if (!known(p, q->parts[i].chain, v->hash, now_ms))
            break;
        sum += q->parts[i].tokens;
    }
    double assumed = shared_tokens(q) * share;
    return sum > assumed ? sum : assumed;
}

/* ---- choice ---- */

static bool is_excluded(const struct rk_place_query *q, const struct rk_place_vm *v)
{
    for (size_t i = 0; i < q->excluded_len; i++)
        if (q->excluded[i] == v->hash)
            return true;
    return false;
}

/* While a service moves to another version, calls that try it and others don't
 * meet. */
static bool is_of_version(const struct rk_place_query *q,
                          const struct rk_place_vm *v)
{
    if (v->row.barred || !v->rollout)
        return !v->row.barred;
    return v->is_new ? q->tries && v->gets_new : !q->tries;
}

static bool can_take(const struct rk_place_query *q, uint32_t service_hash,
                     const struct rk_place_vm *v)
{
    return v->listed && !v->row.leaving && v->service_hash == service_hash &&
           !(v->signal && rk_vm_signal_bars(v->signal)) && is_of_version(q, v) &&
           !is_excluded(q, v) && !strcmp(v->row.service, q->service);
}

/* The vms that all nodes send a prefix to while nothing speaks against it: the
 * first by rendezvous hashing. */
struct homes {
    const struct rk_place_vm *vms[HOMES];
    uint64_t weights[HOMES];
    size_t len;
    bool shared; /* they are a prefix's */
};

static void offer_home(struct homes *h, const struct rk_place_vm *v,
                       uint64_t weight)
{
    size_t at = h->len;
    while (at > 0 && weight > h->weights[at - 1])
        at--;
    if (at == HOMES)
        return;
    if (h->len < HOMES)
        h->len++;
    for (size_t i = h->len - 1; i > at; i--) {
        h->vms[i] = h->vms[i - 1];
        h->weights[i] = h->weights[i - 1];
    }
    h->vms[at] = v;
    h->weights[at] = weight;
}

static void find_homes(const struct rk_place *p, const struct rk_place_query *q,
                       uint32_t service_hash, struct homes *h)
{
    *h = (struct homes){.shared = shared_tokens(q) >= SHARED_MIN};
    uint64_t key = h->shared ? affinity(q) : q->request;
    if (!q->engine)
        return;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next)
        if (can_take(q, service_hash, v))
            offer_home(h, v, rk_hash(key, &v->hash, sizeof(v->hash)));
}

static int home_of(const struct homes *h, const struct rk_place_vm *v)
{
    for (size_t i = 0; i < h->len; i++)
        if (h->vms[i] == v)
            return (int)i;
    return -1;
}

static double home_share(const struct homes *h, const struct rk_place_vm *v)
{
    int home = home_of(h, v);
    return h->shared && home >= 0 ? home_shares[home] : 0;
}

static double trouble_ms(const struct rk_place_vm *v, const struct rk_pace *pace,
                         int64_t now_ms)
{
    double ms =
        rk_pace_failing(pace) * ERROR_MS + rk_pace_refusing(pace) * TURNED_AWAY_MS;
    if (now_ms < v->paused_until_ms)
        ms += PAUSED_MS;
    if (rk_place_is_full(v))
        ms += FULL_MS;
    if (v->signal && rk_vm_signal_is_stale(v->signal, now_ms))
        ms -= STALE_BONUS_MS;
    return ms;
}

static struct rk_engine_load load_of(struct rk_place *p,
                                     const struct rk_place_query *q,
                                     const struct rk_place_vm *v, double share,
                                     int64_t now_ms)
{
    double unread = q->tokens_in - cached(p, q, v, share, now_ms);
    return (struct rk_engine_load){
        .unread = unread > 0 ? unread : 0,
        .waiting = v->waiting_tokens + v->peers_waiting_tokens,
        .running = v->running + (double)v->peers_running};
}

/* What sending a call there costs it and others: the time to its first token, but
 * all that waits counts, as what is told of it is old, and its own reading counts
 * more, as it holds up others. */
static double cost_of(const struct rk_place_vm *v,
                      const struct rk_engine_load *load)
{
    const struct rk_engine_load dearer = {.unread = load->unread * COPY_WEIGHT +
                                                    load->waiting * WAITING_WEIGHT,
                                          .running = load->running};
    return rk_engine_first_ms(&v->speed->engine, &dearer);
}

static double in_hand_per_slot(const struct rk_place_vm *v)
{
    double slots = v->row.slots > 0 ? (double)v->row.slots : 1;
    return (v->running + (double)v->peers_running) / slots;
}

/* Predicted time to the first byte, and *cost_ms by which vms are compared. */
static struct rk_engine_forecast forecast(struct rk_place *p,
                                          const struct rk_place_query *q,
                                          const struct rk_place_vm *v,
                                          const struct homes *homes, int64_t now_ms,
                                          double *cost_ms)
{
    struct rk_pace shown = rk_pace_add(&v->pace, &v->peers_pace, now_ms);
    double pace = rk_pace_factor(&shown, v->speed->pace_mean);
    double trouble = trouble_ms(v, &shown, now_ms);
    struct rk_engine_forecast f = {0};
    if (!q->engine) {
        f.ms = rk_speed_plain(v->speed, in_hand_per_slot(v)) * pace;
        *cost_ms = f.ms + trouble;
        return f;
    }
    struct rk_engine_load load = load_of(p, q, v, home_share(homes, v), now_ms);
    f = rk_engine_first(&v->speed->engine, &load);
    f.ms *= pace;
    *cost_ms = cost_of(v, &load) * pace + trouble;
    if (home_of(homes, v) < 0)
        *cost_ms += OUTSIDE_FIRSTS * v->speed->engine.coef[0];
    return f;
}

double rk_place_unread(struct rk_place *p, const struct rk_place_query *q,
                       const struct rk_place_vm *vm, int64_t now_ms)
{
    struct homes homes;
    find_homes(p, q, vm->service_hash, &homes);
    return load_of(p, q, vm, home_share(&homes, vm), now_ms).unread;
}

int rk_place_home(const struct rk_place *p, const struct rk_place_query *q,
                  const struct rk_place_vm *vm)
{
    struct homes homes;
    find_homes(p, q, vm->service_hash, &homes);
    return home_of(&homes, vm);
}

/* One that leaves keeps what it has read until it is gone, and vms that came since
 * stand before others as homes, but have read nothing. */
const struct rk_place_vm *rk_place_source(const struct rk_place *p,
                                          const struct rk_place_query *q,
                                          const struct rk_place_vm *vm,
                                          int64_t now_ms)
{
    const struct rk_place_vm *best = NULL;
    uint64_t key = affinity(q), best_weight = 0;
    if (shared_tokens(q) < SHARED_MIN)
        return NULL;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        uint64_t weight = rk_hash(key, &v->hash, sizeof(v->hash));
        if (v == vm || !v->listed || v->service_hash != vm->service_hash ||
            v->is_new != vm->is_new || now_ms < v->paused_until_ms ||
            (best && weight <= best_weight))
            continue;
        best = v;
        best_weight = weight;
    }
    return best;
}

struct rk_place_vm *rk_place_choose(struct rk_place *p,
                                    const struct rk_place_query *q, int64_t now_ms,
                                    struct rk_engine_forecast *first)
{
    uint32_t service_hash = (uint32_t)rk_hash_str(0, q->service);
    struct homes homes;
    struct rk_place_vm *best = NULL;
    double best_ms = INFINITY;
    *first = (struct rk_engine_forecast){0};
    find_homes(p, q, service_hash, &homes);
    for (struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (!can_take(q, service_hash, v) || !rk_place_may_send(v, now_ms))
            continue;
        double ms;
        struct rk_engine_forecast f = forecast(p, q, v, &homes, now_ms, &ms);
        if (strcmp(v->row.domain, p->domain) != 0)
            ms += OTHER_DOMAIN_MS;
        ms += rk_rng_below(&p->rng, JITTER_MS);
        if (ms < best_ms) {
            best_ms = ms;
            *first = f;
            best = v;
        }
    }
    return best;
}

static void remember_parts(struct rk_place *p, const struct rk_place_vm *vm,
                           const struct rk_place_query *q, int64_t now_ms)
{
    for (size_t i = 0; i < q->parts_len; i++)
        *memo(p, q->parts[i].chain, vm->hash) = (struct memo){
            .chain = q->parts[i].chain, .vm = vm->hash, .at_ms = now_ms};
}

void rk_place_sent(struct rk_place *p, struct rk_place_vm *vm,
                   const struct rk_place_query *q, int64_t now_ms,
                   struct rk_place_job *job)
{
    *job = (struct rk_place_job){.engine = q->engine, .sent_ms = now_ms};
    if (q->engine) {
        struct homes homes;
        find_homes(p, q, vm->service_hash, &homes);
        /* What a new version's vms are taken to keep, they have yet to read. */
        double share = rk_place_is_trial(vm) ? 0 : home_share(&homes, vm);
        job->load = load_of(p, q, vm, share, now_ms);
        job->expected_ms = rk_engine_first_ms(&vm->speed->engine, &job->load);
        remember_parts(p, vm, q, now_ms);
        vm->waiting_tokens += job->load.unread;
    } else {
        job->in_hand_per_slot = in_hand_per_slot(vm);
        job->expected_ms = rk_speed_plain(vm->speed, job->in_hand_per_slot);
    }
    if (rk_place_trial_of(vm, q->route, now_ms))
        job->route = q->route;
    if (vm->signal)
        rk_vm_signal_sent(vm->signal, now_ms);
    rk_place_note_busy(p, vm);
    vm->calls++;
    vm->running++;
    vm->unbegun++;
}
