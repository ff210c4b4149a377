/* Sends the VM list to the relay: the whole list once, then its changes. When a
 * list of thousands of VMs was sent whole at each change, that was most of a node's
 * work while VMs came and went. */
#include <stdlib.h>
#include <string.h>

#include "node/sync_impl.h"

#define UNSENT_INITIAL_CAP 16

void rk_sync_note_removed(struct rk_sync *s, const char *name)
{
    if (!s->published)
        return;
    if (s->unsent_removed_len == s->unsent_removed_cap) {
        s->unsent_removed_cap =
            s->unsent_removed_cap ? s->unsent_removed_cap * 2 : UNSENT_INITIAL_CAP;
        s->unsent_removed = rk_realloc(
            s->unsent_removed, s->unsent_removed_cap * sizeof(*s->unsent_removed));
    }
    rk_strcpy(s->unsent_removed[s->unsent_removed_len++],
              sizeof(*s->unsent_removed), name);
}

void rk_sync_note_past_vm(struct rk_sync *s, const struct rk_vm_row *row)
{
    static const struct rk_vm_row unknown;
    s->past_vm_lost = s->past_vm_lost ||
                      !rk_relay_note_past_vm(s->n->relay, row ? row : &unknown);
}

bool rk_sync_repeat_past_vms(struct rk_sync *s)
{
    bool lost = s->past_vm_lost;
    s->past_vm_lost = false;
    if (lost)
        rk_sync_note_past_vm(s, NULL);
    return !s->past_vm_lost;
}

/* Notes an update of the relay. If its queue was full, the next update has the
 * whole list. */
static void note_relay_update(struct rk_sync *s, bool queued)
{
    s->published = queued;
    s->unsent_removed_len = 0;
    rk_leader_schedule_tick(s->n->leader);
}

void rk_sync_publish(struct rk_sync *s)
{
    struct rk_vm_row *rows = rk_alloc(s->entries_len + 1, sizeof(*rows));
    int64_t *first_revisions =
        rk_alloc(s->entries_len + 1, sizeof(*first_revisions));
    for (size_t i = 0; i < s->entries_len; i++) {
        rows[i] = s->entries[i]->row;
        first_revisions[i] = s->entries[i]->first_revision;
        s->entries[i]->needs_publish = false;
    }
    rk_rollouts_mark_blocked(s->n->rollouts, rows, first_revisions, s->entries_len);
    free(first_revisions);
    s->published_revision = s->list_revision;
    note_relay_update(s, rk_relay_set_vms(s->n->relay, rows, s->entries_len,
                                          s->published_revision));
}

static size_t take_changes(struct rk_sync *s, struct rk_vm_row **rows)
{
    size_t len = 0;
    for (size_t i = 0; i < s->entries_len; i++)
        len += s->entries[i]->needs_publish;
    *rows = rk_alloc(len + 1, sizeof(**rows));
    len = 0;
    for (size_t i = 0; i < s->entries_len; i++) {
        struct entry *e = s->entries[i];
        if (e->needs_publish)
            (*rows)[len++] = e->row;
        e->needs_publish = false;
    }
    return len;
}

void rk_sync_publish_changes(struct rk_sync *s)
{
    /* With rollouts, which VMs are blocked depends on the whole list. */
    if (!s->published || rk_rollouts_are_enabled(s->n->rollouts)) {
        rk_sync_publish(s);
        return;
    }
    struct rk_vm_row *rows;
    size_t len = take_changes(s, &rows), removed_len = s->unsent_removed_len;
    char(*removed)[RK_ID_MAX] = rk_alloc(removed_len + 1, sizeof(*removed));
    if (removed_len)
        memcpy(removed, s->unsent_removed, removed_len * sizeof(*removed));
    s->published_revision = s->list_revision;
    note_relay_update(s, rk_relay_update_vms(s->n->relay, rows, len, removed,
                                             removed_len, s->published_revision));
}
