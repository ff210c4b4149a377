/* Metrics of rollouts: the phase of each, its VMs by version, and the results of
 * this node's calls to both versions. Whoever reads the metrics sums them over the
 * nodes. Services, versions and routes are named by operators and the platform, so
 * the names are escaped. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "node/metric_label.h"
#include "node/rollouts_impl.h"

static void put_sample(struct rk_buf *out, const char *name, const char *service,
                       const char *version, const char *route, double value)
{
    rk_buf_printf(out, "rillknot_%s{", name);
    rk_metric_put_label(out, "service", service);
    rk_buf_addstr(out, ",");
    rk_metric_put_label(out, "version", version);
    if (route) {
        rk_buf_addstr(out, ",");
        rk_metric_put_label(out, "route", route);
    }
    rk_buf_printf(out, "} %.15g\n", value);
}

static void render_rules(struct rk_buf *out,
                         const struct rk_rollout_announcement *announcement)
{
    rk_buf_addstr(out, "# TYPE rillknot_rollout_phase gauge\n");
    for (size_t i = 0; i < announcement->len; i++)
        put_sample(out, "rollout_phase", announcement->rules[i].service,
                   announcement->rules[i].version, NULL,
                   announcement->rules[i].phase);
    rk_buf_addstr(out, "# TYPE rillknot_rollout_share gauge\n");
    for (size_t i = 0; i < announcement->len; i++)
        put_sample(out, "rollout_share", announcement->rules[i].service,
                   announcement->rules[i].version, NULL,
                   (double)announcement->rules[i].share / RK_ROLLOUT_SHARE_ALL);
}

/* ---- VMs ---- */

/* Pairs of a service and a version whose VMs are counted; further ones are left
 * out. */
#define MAX_VERSIONS (4 * RK_ROLLOUTS)

struct version_count {
    const struct rk_vm_row *first; /* of this service and version */
    size_t vms;
};

static void count_vm(struct version_count *all, size_t *len,
                     const struct rk_vm_row *row)
{
    for (size_t i = 0; i < *len; i++)
        if (!strcmp(all[i].first->service, row->service) &&
            !strcmp(all[i].first->version, row->version)) {
            all[i].vms++;
            return;
        }
    if (*len < MAX_VERSIONS)
        all[(*len)++] = (struct version_count){.first = row, .vms = 1};
}

static void render_vms(struct rk_buf *out, const struct rk_rollouts *r)
{
    struct version_count all[MAX_VERSIONS];
    const struct rk_vm_row *row;
    size_t len = 0;
    for (size_t i = 0; (row = rk_sync_vm_at(r->n->sync, i)); i++)
        if (rk_rollout_announced_rule(&r->announcement, row->service))
            count_vm(all, &len, row);
    rk_buf_addstr(out, "# TYPE rillknot_rollout_vms gauge\n");
    for (size_t i = 0; i < len; i++)
        put_sample(out, "rollout_vms", all[i].first->service, all[i].first->version,
                   NULL, (double)all[i].vms);
}

/* ---- calls ---- */

/* Returns whether no earlier row has the same route and version. */
static bool is_first_row(const struct rk_canary_rows *t, size_t row)
{
    for (size_t i = 0; i < row; i++)
        if (t->rows[i].of_new_version == t->rows[row].of_new_version &&
            !strcmp(t->rows[i].route, t->rows[row].route))
            return false;
    return true;
}

static double get_calls(const struct rk_canary_stats *s)
{
    return s->calls;
}

static double get_failed(const struct rk_canary_stats *s)
{
    return s->failed;
}

static double get_latency_ratio(const struct rk_canary_stats *s)
{
    return (double)rk_canary_latency_pct(s) / 100;
}

static void render_calls(struct rk_buf *out, const struct rk_rollouts *r,
                         const char *name, const char *type,
                         double (*value)(const struct rk_canary_stats *s))
{
    const struct rk_relay_report *report = r->n->report;
    rk_buf_printf(out, "# TYPE rillknot_%s %s\n", name, type);
    for (size_t i = 0; report && i < report->canaries_len; i++) {
        const struct rk_rollout_stats *canary = &report->canaries[i];
        for (size_t j = 0; j < canary->rows.len; j++) {
            const struct rk_canary_row *row = &canary->rows.rows[j];
            if (!is_first_row(&canary->rows, j))
                continue;
            const struct rk_canary_stats sum =
                rk_canary_sum(&canary->rows, row->route, row->of_new_version, "");
            const char *version = row->of_new_version
                                      ? canary->version
                                      : rk_rollouts_previous_version(
                                            r, canary->service, canary->version);
            put_sample(out, name, canary->service, version, row->route,
                       value(&sum));
        }
    }
}

void rk_rollouts_render(const struct rk_rollouts *r, struct rk_buf *out)
{
    if (!r->announcement.len)
        return;
    render_rules(out, &r->announcement);
    render_vms(out, r);
    render_calls(out, r, "rollout_calls_total", "counter", get_calls);
    render_calls(out, r, "rollout_failed_total", "counter", get_failed);
    render_calls(out, r, "rollout_pace", "gauge", get_latency_ratio);
}
