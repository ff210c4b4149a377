/* Counts of calls by window on their way to the holder of the duties: each node
 * tells its own with its reports, bridges tell it what their domain counted. The
 * windows that still fill are told often, so that little goes with a kill of all
 * nodes; all of the last ones seldom, for what was lost on its way. */
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"
#include "peers/link.h"

#define WINDOWS 4 /* told of, the current one included */
/* With 1,000 for all windows the holder's counts were 1.15 s old on average, and a
 * kill of all 70 nodes took 304 of a window's 1,955 calls with it. The bytes are
 * the same: half as many windows twice as often. */
#define NEW_MS         500
#define ALL_MS         2000
#define ENDED_MS       1500 /* after its end a window still counts as new */
#define DIRECT_LAG_MS  250  /* mean age of counts told by each node to each */
#define BRIDGED_LAG_MS 600  /* the same, of those that come by bridges */

static int64_t window_of(const struct rk_node *n, int64_t wall_ms)
{
    return wall_ms / rk_s_to_ms(n->file.usage_window_s);
}

/* The oldest window that is to be told now; none is: INT64_MAX. */
static int64_t first_due(const struct rk_mesh *m, struct rk_usage_told *told)
{
    int64_t now_ms = rk_mono_ms(), wall_ms = rk_wall_ms();
    if (now_ms - told->all_ms >= ALL_MS) {
        told->all_ms = told->new_ms = now_ms;
        return window_of(m->n, wall_ms) - WINDOWS + 1;
    }
    if (!m->direct && now_ms - told->new_ms < NEW_MS)
        return INT64_MAX;
    told->new_ms = now_ms;
    return window_of(m->n, wall_ms - ENDED_MS);
}

int64_t rk_mesh_usage_lag_ms(const struct rk_mesh *m)
{
    return m->direct ? DIRECT_LAG_MS : BRIDGED_LAG_MS;
}

/* ---- rows ---- */

/* The rows from a window on, as messages. */
static size_t put_rows(Rillknot__UsageRow *out, Rillknot__UsageRow **ptrs,
                       const struct rk_usage_row *rows, size_t len, int64_t first)
{
    size_t n = 0;
    for (size_t i = 0; i < len; i++) {
        if (rows[i].window < first)
            continue;
        rillknot__usage_row__init(&out[n]);
        out[n].node = rows[i].node;
        out[n].window = rows[i].window;
        out[n].org = (char *)rows[i].org;
        out[n].count = rows[i].count;
        out[n].since_ms = rows[i].since_ms;
        ptrs[n] = &out[n];
        n++;
    }
    return n;
}

static void take_row(struct rk_node *n, const Rillknot__UsageRow *told)
{
    struct rk_usage_row row = {.node = told->node,
                               .window = told->window,
                               .count = told->count,
                               .since_ms = told->since_ms};
    rk_strcpy(row.org, sizeof(row.org), told->org);
    rk_usage_merge(&n->usage, &row);
}

void rk_usage_take(struct rk_node *n, Rillknot__UsageRow *const *rows, size_t len)
{
    for (size_t i = 0; i < len; i++)
        take_row(n, rows[i]);
}

/* ---- telling ---- */

void rk_usage_fill_report(struct rk_report *p, struct rk_mesh *m)
{
    const struct rk_relay_report *r = m->n->report;
    int64_t first = first_due(m, &m->own_told);
    if (first == INT64_MAX)
        return;
    p->usage = rk_alloc(r->usage_len + 1, sizeof(*p->usage));
    p->usage_ptrs = rk_alloc(r->usage_len + 1, sizeof(*p->usage_ptrs));
    p->report.n_usage =
        put_rows(p->usage, p->usage_ptrs, r->usage, r->usage_len, first);
    p->report.usage = p->usage_ptrs;
}

static void send_counts(struct rk_mesh *m, struct rk_link *link, int64_t first)
{
    const struct rk_usage *u = &m->n->usage;
    Rillknot__UsageRow *rows = rk_alloc(u->len + 1, sizeof(*rows));
    Rillknot__UsageRow **ptrs = rk_alloc(u->len + 1, sizeof(*ptrs));
    Rillknot__UsageCounts counts = RILLKNOT__USAGE_COUNTS__INIT;
    counts.n_rows = put_rows(rows, ptrs, u->rows, u->len, first);
    counts.rows = ptrs;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_USAGE_COUNTS;
    frame.usage_counts = &counts;
    rk_link_send(link, &frame);
    free(rows);
    free(ptrs);
}

void rk_usage_tell_holder(struct rk_mesh *m, int64_t now_ms)
{
    char id[RK_ID_MAX];
    rk_duty_keeper_holder(m->n->duty_keeper, id);
    struct member *holder = m->bridge && id[0] ? rk_mesh_find(m, id) : NULL;
    if (!holder)
        return;
    holder->wanted_ms = now_ms;
    if (!rk_mesh_takes(holder->link))
        return;
    if (strcmp(m->counts_to, id) != 0)
        m->counts_told = (struct rk_usage_told){0}; /* it knows nothing yet */
    rk_strcpy(m->counts_to, sizeof(m->counts_to), id);
    int64_t first = first_due(m, &m->counts_told);
    if (first != INT64_MAX)
        send_counts(m, holder->link, first);
}
