/* Metrics by version, while operators move services: where each roll-out stands,
 * and what this node's calls showed of both versions. Nodes are summed by who reads
 * them; names are the operators' and the platform's, so they are escaped. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "node/rollouts_impl.h"

/* A label's value: backslash, quote and line feed are escaped, as the text format
 * of Prometheus asks. */
static void put_label(struct rk_buf *out, const char *name, const char *value)
{
    rk_buf_printf(out, "%s=\"", name);
    for (const char *c = value; *c; c++) {
        if (*c == '\\' || *c == '"')
            rk_buf_printf(out, "\\%c", *c);
        else if (*c == '\n')
            rk_buf_addstr(out, "\\n");
        else
            rk_buf_printf(out, "%c", *c);
    }
    rk_buf_addstr(out, "\"");
}

static void put_sample(struct rk_buf *out, const char *name, const char *service,
                       const char *version, const char *route, double value)
{
    rk_buf_printf(out, "rillknot_%s{", name);
    put_label(out, "service", service);
    rk_buf_addstr(out, ",");
    put_label(out, "version", version);
    if (route) {
        rk_buf_addstr(out, ",");
        put_label(out, "route", route);
    }
    rk_buf_printf(out, "} %.15g\n", value);
}

static void render_rules(struct rk_buf *out, const struct rk_rollout_word *word)
{
    rk_buf_addstr(out, "# TYPE rillknot_rollout_phase gauge\n");
    for (size_t i = 0; i < word->len; i++)
        put_sample(out, "rollout_phase", word->rules[i].service,
                   word->rules[i].version, NULL, word->rules[i].phase);
    rk_buf_addstr(out, "# TYPE rillknot_rollout_share gauge\n");
    for (size_t i = 0; i < word->len; i++)
        put_sample(out, "rollout_share", word->rules[i].service,
                   word->rules[i].version, NULL,
                   (double)word->rules[i].share / RK_ROLLOUT_ALL);
}

/* ---- vms ---- */

#define VERSIONS (4 * RK_ROLLOUTS) /* that vms have: more aren't counted */

struct version_vms {
    const struct rk_vm_row *like;
    size_t count;
};

static void count_vm(struct version_vms *all, size_t *len,
                     const struct rk_vm_row *row)
{
    for (size_t i = 0; i < *len; i++)
        if (!strcmp(all[i].like->service, row->service) &&
            !strcmp(all[i].like->version, row->version)) {
            all[i].count++;
            return;
        }
    if (*len < VERSIONS)
        all[(*len)++] = (struct version_vms){.like = row, .count = 1};
}

static void render_vms(struct rk_buf *out, const struct rk_rollouts *r)
{
    struct version_vms all[VERSIONS];
    const struct rk_vm_row *row;
    size_t len = 0;
    for (size_t i = 0; (row = rk_sync_vm_at(r->n->sync, i)); i++)
        if (rk_rollout_rule_of(&r->word, row->service))
            count_vm(all, &len, row);
    rk_buf_addstr(out, "# TYPE rillknot_rollout_vms gauge\n");
    for (size_t i = 0; i < len; i++)
        put_sample(out, "rollout_vms", all[i].like->service, all[i].like->version,
                   NULL, (double)all[i].count);
}

/* ---- calls ---- */

static bool is_first_of(const struct rk_trial_rows *t, size_t row)
{
    for (size_t i = 0; i < row; i++)
        if (t->rows[i].tried == t->rows[row].tried &&
            !strcmp(t->rows[i].route, t->rows[row].route))
            return false;
    return true;
}

static double calls_of(const struct rk_trial_seen *s)
{
    return s->calls;
}

static double failed_of(const struct rk_trial_seen *s)
{
    return s->failed;
}

static double pace_of(const struct rk_trial_seen *s)
{
    return (double)rk_trial_pace_pct(s) / 100;
}

static void render_calls(struct rk_buf *out, const struct rk_rollouts *r,
                         const char *name, const char *type,
                         double (*value)(const struct rk_trial_seen *s))
{
    const struct rk_relay_report *report = r->n->report;
    rk_buf_printf(out, "# TYPE rillknot_%s %s\n", name, type);
    for (size_t i = 0; report && i < report->trials_len; i++) {
        const struct rk_rollout_seen *seen = &report->trials[i];
        for (size_t j = 0; j < seen->rows.len; j++) {
            const struct rk_trial_row *row = &seen->rows.rows[j];
            if (!is_first_of(&seen->rows, j))
                continue;
            const struct rk_trial_seen sum =
                rk_trial_sum(&seen->rows, row->route, row->tried, "");
            const char *version =
                row->tried ? seen->version
                           : rk_rollouts_before(r, seen->service, seen->version);
            put_sample(out, name, seen->service, version, row->route, value(&sum));
        }
    }
}

void rk_rollouts_render(const struct rk_rollouts *r, struct rk_buf *out)
{
    if (!r->word.len)
        return;
    render_rules(out, &r->word);
    render_vms(out, r);
    render_calls(out, r, "rollout_calls_total", "counter", calls_of);
    render_calls(out, r, "rollout_failed_total", "counter", failed_of);
    render_calls(out, r, "rollout_pace", "gauge", pace_of);
}
