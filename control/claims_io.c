/* Handles claims of idempotency keys for the shards that this node owns. Receives
 * the traffic threads' requests as messages, passes them to core/claims.h, makes
 * the object API calls that core/claims.h requests, and sends its decisions back.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "control/state.h"
#include "objects/objects.h"
#include "serve/traffic.h"

#define CLAIM_TIMEOUT_MS    1500 /* wait of a claim for the platform */
#define MAX_UNANSWERED      3 /* consecutive ones after which the platform is down */
#define MAX_ANSWER_BYTES    (2 * 1024 * 1024) /* stored answers of one shard */
#define MAX_TICKETS         4096              /* waiting claims of one shard */
#define TICKET_THREAD_SHIFT 56 /* a ticket's top byte is its thread's index */
#define SLOT_DIGITS         2  /* of a slot's number in the name of its object */

struct shard {
    struct rk_claims_io *io;
    struct rk_claims *claims; /* NULL until the first request */
};

struct rk_claims_io {
    struct rk_control *c;
    struct shard shards[RK_MAX_SHARDS];
    struct rk_timer tick_timer;
    int unanswered; /* consecutive unanswered calls, over all shards */
};

/* An object API call in flight. */
struct op {
    struct shard *s;
};

static struct op *make_op(struct shard *s)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    op->s = s;
    return op;
}

/* Schedules a tick after the commit interval, in which claims are collected for one
 * write. */
static void schedule_tick(struct rk_claims_io *io)
{
    if (io->tick_timer.slot)
        return;
    int64_t delay_ms = io->c->config->claim_commit_ms;
    rk_timer_start(io->c->loop, &io->tick_timer, delay_ms > 1 ? delay_ms : 1);
}

/* ---- object API calls ---- */

static void count_unanswered(struct rk_claims_io *io, enum rk_status st)
{
    bool lost = st == RK_EUNKNOWN || st == RK_EUNAVAILABLE;
    io->unanswered = lost ? io->unanswered + 1 : 0;
}

/* Formats the name of the object that holds a slot. */
static void slot_name(char out[RK_OBJECT_NAME_MAX], uint32_t shard, unsigned slot)
{
    snprintf(out, RK_OBJECT_NAME_MAX, "claims/%03u/%0*u", shard, SLOT_DIGITS, slot);
}

/* Returns the slot that an object of a ring holds; RK_CLAIM_SLOTS: it is none's. */
static unsigned parse_slot(const char *name)
{
    const char *slash = strrchr(name, '/');
    const char *digits = slash ? slash + 1 : "";
    size_t len = strspn(digits, "0123456789");
    bool is_number = len == SLOT_DIGITS && !digits[len];
    return is_number ? (unsigned)strtoul(digits, NULL, 10) : RK_CLAIM_SLOTS;
}

static void on_ring_read(void *ctx, enum rk_status st,
                         const struct rk_object *objects, size_t len,
                         int64_t revision)
{
    (void)revision;
    struct op *op = ctx;
    count_unanswered(op->s->io, st);
    struct rk_claim_slot_value *slots = rk_alloc(len + 1, sizeof(*slots));
    for (size_t i = 0; i < len; i++) {
        slots[i] = (struct rk_claim_slot_value){.slot = parse_slot(objects[i].name),
                                                .version = objects[i].version,
                                                .value = objects[i].value};
    }
    rk_claims_on_ring(op->s->claims, st, slots, len, rk_mono_ms(), rk_wall_ms());
    schedule_tick(op->s->io);
    free(slots);
    free(op);
}

static void read_ring(void *ctx, uint32_t shard)
{
    struct shard *s = ctx;
    char prefix[RK_OBJECT_NAME_MAX];
    snprintf(prefix, sizeof(prefix), "claims/%03u/", shard);
    rk_objects_list(s->io->c->objects, prefix, "", on_ring_read, make_op(s));
}

static void on_written(void *ctx, enum rk_status st, int64_t version)
{
    struct op *op = ctx;
    count_unanswered(op->s->io, st);
    if (st == RK_OK)
        rk_counter_add(RK_C_CLAIM_COMMITS, 1);
    else if (st == RK_ECONFLICT)
        RK_WARN("claims.stepped_down", RK_N("shard", op->s - op->s->io->shards));
    rk_claims_on_written(op->s->claims, st, version, rk_mono_ms(), rk_wall_ms());
    schedule_tick(op->s->io);
    free(op);
}

static void write_slot(void *ctx, uint32_t shard, unsigned slot,
                       int64_t expected_version, const char *value)
{
    struct shard *s = ctx;
    char name[RK_OBJECT_NAME_MAX];
    slot_name(name, shard, slot);
    rk_objects_write(s->io->c->objects, name, expected_version, value, on_written,
                     make_op(s));
}

static void on_slot_read(void *ctx, enum rk_status st, const struct rk_object *o)
{
    struct op *op = ctx;
    count_unanswered(op->s->io, st);
    rk_claims_on_slot(op->s->claims, st, o->version, o->value, rk_mono_ms(),
                      rk_wall_ms());
    schedule_tick(op->s->io);
    free(op);
}

static void read_slot(void *ctx, uint32_t shard, unsigned slot)
{
    struct shard *s = ctx;
    char name[RK_OBJECT_NAME_MAX];
    slot_name(name, shard, slot);
    rk_objects_read(s->io->c->objects, name, on_slot_read, make_op(s));
}

/* Sends a decision to the traffic thread of the ticket. */
static void on_decided(void *ctx, uint64_t ticket, const struct rk_claim_result *r)
{
    struct shard *s = ctx;
    struct rk_claim_reply reply = {
        .ticket = ticket & ((1ULL << TICKET_THREAD_SHIFT) - 1),
        .shard = (uint32_t)(s - s->io->shards),
        .decision = r->decision,
        .verdict = r->verdict,
        .retry_after_ms = r->retry_after_ms,
        .detail = r->detail,
        .has_answer = r->answer != NULL,
    };
    if (r->key)
        reply.key = *r->key;
    if (r->answer) {
        reply.answer = *r->answer;
        reply.answer.body = rk_alloc(1, r->answer->len + 1);
        memcpy(reply.answer.body, r->answer->body, r->answer->len);
    }
    rk_traffic_claim_decided(s->io->c->traffic[ticket >> TICKET_THREAD_SHIFT],
                             &reply);
}

static const struct rk_claims_ops ops = {
    .read_ring = read_ring,
    .write_slot = write_slot,
    .read_slot = read_slot,
    .decided = on_decided,
};

/* Returns the claims of a shard, created on first use. They keep the settings that
 * are in force then. */
static struct rk_claims *get_claims(struct rk_claims_io *io, uint32_t shard)
{
    struct shard *s = &io->shards[shard % RK_MAX_SHARDS];
    if (s->claims)
        return s->claims;
    const struct rk_claims_config cfg = {
        .shard = shard,
        .owner = io->c->opt.id,
        .retention_ms = io->c->config->claim_retention_s * RK_MS_PER_S,
        .writes_per_s = (double)io->c->config->claim_writes_per_s /
                        (double)io->c->config->claim_shards,
        .claim_timeout_ms = CLAIM_TIMEOUT_MS,
        .answer_bytes = MAX_ANSWER_BYTES,
        .max_tickets = MAX_TICKETS,
        .seed = rk_rng_next(&io->c->rng),
    };
    s->io = io;
    s->claims = rk_claims_create(&cfg, &ops, s);
    return s->claims;
}

/* Runs the ticks of all shards; goes on while any shard is busy. */
static void on_tick(void *ctx)
{
    struct rk_claims_io *io = ctx;
    bool any_busy = false;
    for (size_t i = 0; i < RK_MAX_SHARDS; i++) {
        struct rk_claims *claims = io->shards[i].claims;
        if (!claims)
            continue;
        rk_claims_set_platform_down(claims, io->unanswered >= MAX_UNANSWERED);
        rk_claims_tick(claims, rk_mono_ms(), rk_wall_ms());
        any_busy = any_busy || rk_claims_busy(claims);
    }
    if (any_busy)
        schedule_tick(io);
}

/* ---- messages from traffic threads ---- */

struct message {
    struct rk_claims_io *io;
    enum { MSG_REQUEST, MSG_CANCEL, MSG_FINISH } kind;
    uint64_t ticket;
    uint32_t shard;
    struct rk_claim_key key;
    bool local;
    enum rk_verdict verdict;
    bool has_answer;
    struct rk_answer answer; /* its body is owned by the message */
    int64_t retry_after_ms;
};

static void on_message(void *ctx)
{
    struct message *m = ctx;
    struct rk_claims *claims = get_claims(m->io, m->shard);
    switch (m->kind) {
    case MSG_REQUEST:
        rk_claims_request(claims, m->ticket, m->key, m->local, rk_mono_ms());
        schedule_tick(m->io);
        break;
    case MSG_CANCEL:
        rk_claims_cancel(claims, m->ticket);
        break;
    case MSG_FINISH:
        rk_claims_finish(claims, m->key, m->verdict,
                         m->has_answer ? &m->answer : NULL, m->retry_after_ms);
        break;
    }
    free(m->answer.body);
    free(m);
}

static struct message *make_message(struct rk_claims_io *io, int kind,
                                    uint32_t shard)
{
    struct message *m = rk_alloc(1, sizeof(*m));
    *m = (struct message){.io = io, .shard = shard};
    m->kind = kind;
    return m;
}

/* Sends a message to the control thread; frees it and returns false if the queue is
 * full. */
static bool post_message(struct message *m)
{
    if (rk_loop_post(m->io->c->loop, on_message, m))
        return true;
    free(m->answer.body);
    free(m);
    return false;
}

/* Makes a ticket unique among the traffic threads. */
static uint64_t make_ticket(unsigned thread, uint64_t ticket)
{
    return ((uint64_t)thread << TICKET_THREAD_SHIFT) | ticket;
}

static bool port_request(void *ctx, unsigned thread, uint64_t ticket,
                         uint32_t shard, struct rk_claim_key key, bool local)
{
    struct message *m = make_message(ctx, MSG_REQUEST, shard);
    m->ticket = make_ticket(thread, ticket);
    m->key = key;
    m->local = local;
    return post_message(m);
}

static void port_cancel(void *ctx, unsigned thread, uint64_t ticket, uint32_t shard)
{
    struct message *m = make_message(ctx, MSG_CANCEL, shard);
    m->ticket = make_ticket(thread, ticket);
    /* If the control thread's queue is full, the message is lost. The decision then
     * finds no waiting call and is ignored. */
    post_message(m);
}

static void port_finish(void *ctx, uint32_t shard, struct rk_claim_key key,
                        enum rk_verdict verdict, const struct rk_answer *answer,
                        int64_t retry_after_ms)
{
    struct message *m = make_message(ctx, MSG_FINISH, shard);
    m->key = key;
    m->verdict = verdict;
    m->retry_after_ms = retry_after_ms;
    if (answer) {
        m->has_answer = true;
        m->answer = *answer;
        m->answer.body = rk_alloc(1, answer->len + 1);
        memcpy(m->answer.body, answer->body, answer->len);
    }
    /* If the control thread's queue is full, the message is lost. The key then
     * counts as running until its retention ends, so that the call is never run
     * twice. */
    post_message(m);
}

struct rk_claim_port rk_claims_io_port(struct rk_claims_io *io)
{
    return (struct rk_claim_port){.ctx = io,
                                  .acquire = port_request,
                                  .cancel = port_cancel,
                                  .finish = port_finish};
}

struct rk_claims_io *rk_claims_io_create(struct rk_control *c)
{
    struct rk_claims_io *io = rk_alloc(1, sizeof(*io));
    io->c = c;
    io->tick_timer = (struct rk_timer){.fn = on_tick, .ctx = io};
    return io;
}

void rk_claims_io_destroy(struct rk_claims_io *io)
{
    if (!io)
        return;
    for (size_t i = 0; i < RK_MAX_SHARDS; i++)
        rk_claims_destroy(io->shards[i].claims);
    free(io);
}
