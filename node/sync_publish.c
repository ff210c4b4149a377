/* What traffic is told of the list of vms: all of it once, then what changed. Told
 * whole at each change, a list of thousands was most of what a node did while
 * others of them came and went. */
#include <stdlib.h>
#include <string.h>

#include "node/sync_impl.h"

#define LEFT_FIRST 16 /* places, doubled as they fill */

void rk_sync_note_left(struct rk_sync *s, const char *name)
{
    if (!s->published)
        return;
    if (s->left_len == s->left_cap) {
        s->left_cap = s->left_cap ? s->left_cap * 2 : LEFT_FIRST;
        s->left = rk_realloc(s->left, s->left_cap * sizeof(*s->left));
    }
    rk_strcpy(s->left[s->left_len++], sizeof(*s->left), name);
}

/* Traffic's queue was full: what it missed goes with the whole list. */
static void note_told(struct rk_sync *s, bool told)
{
    s->published = told;
    s->left_len = 0;
    rk_duty_keeper_look(s->n->duty_keeper);
}

void rk_sync_publish(struct rk_sync *s)
{
    struct rk_vm_row *rows = rk_alloc(s->entries_len + 1, sizeof(*rows));
    int64_t *since = rk_alloc(s->entries_len + 1, sizeof(*since));
    for (size_t i = 0; i < s->entries_len; i++) {
        rows[i] = s->entries[i]->row;
        since[i] = s->entries[i]->first_revision;
        s->entries[i]->is_news = false;
    }
    rk_rollouts_mark(s->n->rollouts, rows, since, s->entries_len);
    free(since);
    note_told(s, rk_relay_set_vms(s->n->relay, rows, s->entries_len));
}

static size_t take_news(struct rk_sync *s, struct rk_vm_row **rows)
{
    size_t len = 0;
    for (size_t i = 0; i < s->entries_len; i++)
        len += s->entries[i]->is_news;
    *rows = rk_alloc(len + 1, sizeof(**rows));
    len = 0;
    for (size_t i = 0; i < s->entries_len; i++) {
        struct entry *e = s->entries[i];
        if (e->is_news)
            (*rows)[len++] = e->row;
        e->is_news = false;
    }
    return len;
}

void rk_sync_publish_changes(struct rk_sync *s)
{
    /* Which vms an ordered version bars is found out over all of them. */
    if (!s->published || rk_rollouts_are_on(s->n->rollouts)) {
        rk_sync_publish(s);
        return;
    }
    struct rk_vm_row *rows;
    size_t len = take_news(s, &rows), left_len = s->left_len;
    char(*left)[RK_ID_MAX] = rk_alloc(left_len + 1, sizeof(*left));
    if (left_len)
        memcpy(left, s->left, left_len * sizeof(*left));
    note_told(s, rk_relay_change_vms(s->n->relay, rows, len, left, left_len));
}
