#include "core/quota.h"

#include <string.h>

#define RETRY_MIN_MS 250

void rk_quota_init(struct rk_quota *q, int64_t window_ms, double slack)
{
    memset(q, 0, sizeof(*q));
    q->window_ms = window_ms > 0 ? window_ms : RK_QUOTA_WINDOW_MS;
    q->slack = slack;
    q->nodes_heard = 1;
    q->nodes_total = 1;
}

static int64_t bucket_ms(const struct rk_quota *q)
{
    return q->window_ms / (RK_QUOTA_BUCKETS - 1);
}

static struct rk_quota_org *find(struct rk_quota *q, const char *name)
{
    for (size_t i = 0; i < q->orgs_len; i++)
        if (!strcmp(q->orgs[i].name, name))
            return &q->orgs[i];
    if (q->orgs_len == RK_QUOTA_ORGS)
        return NULL;
    struct rk_quota_org *o = &q->orgs[q->orgs_len++];
    rk_strcpy(o->name, sizeof(o->name), name);
    return o;
}

/* Empty the buckets that time has passed over. */
static void advance(const struct rk_quota *q, struct rk_quota_org *o,
                    int64_t now_ms)
{
    int64_t now = now_ms / bucket_ms(q);
    if (now - o->bucket >= RK_QUOTA_BUCKETS) {
        memset(o->used, 0, sizeof(o->used));
        o->bucket = now;
    }
    while (o->bucket < now) {
        o->bucket++;
        o->used[o->bucket % RK_QUOTA_BUCKETS] = 0;
    }
}

static double used(const struct rk_quota_org *o)
{
    double sum = 0;
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        sum += o->used[i];
    return sum;
}

void rk_quota_add(struct rk_quota *q, const char *org, double units, int64_t now_ms)
{
    struct rk_quota_org *o = find(q, org);
    if (!o)
        return;
    advance(q, o, now_ms);
    o->used[o->bucket % RK_QUOTA_BUCKETS] += units;
}

/* When the oldest use that must leave the window for `need` has left it. */
static int64_t free_in_ms(const struct rk_quota *q, const struct rk_quota_org *o,
                          double need)
{
    int64_t ms = 0;
    for (int64_t i = 1; i <= RK_QUOTA_BUCKETS && need > 0; i++) {
        need -= o->used[(o->bucket + i) % RK_QUOTA_BUCKETS];
        ms += bucket_ms(q);
    }
    return ms > RETRY_MIN_MS ? ms : RETRY_MIN_MS;
}

bool rk_quota_admit(struct rk_quota *q, const char *org, double rate, double burst,
                    double units, int64_t now_ms, int64_t *retry_after_ms)
{
    *retry_after_ms = RETRY_MIN_MS;
    struct rk_quota_org *o = find(q, org);
    if (!o)
        return true;
    advance(q, o, now_ms);
    double part = 1.0;
    if (q->nodes_total > 0 && q->nodes_heard < q->nodes_total)
        part = (double)q->nodes_heard / q->nodes_total;
    double limit = (rate * (double)q->window_ms / RK_MS_PER_S + burst) * part +
                   q->slack * part;
    double over = used(o) + units - limit;
    if (rate > 0 && over > 0) {
        *retry_after_ms = free_in_ms(q, o, over);
        return false;
    }
    o->used[o->bucket % RK_QUOTA_BUCKETS] += units;
    o->own_total += units;
    return true;
}

void rk_quota_refund(struct rk_quota *q, const char *org, double units,
                     int64_t now_ms)
{
    rk_quota_add(q, org, -units, now_ms);
    struct rk_quota_org *o = find(q, org);
    if (o)
        o->own_total -= units;
}
