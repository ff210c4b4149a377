#include "serve/view.h"

#include <ck_pr.h>
#include <stdlib.h>

#include "common/tsan.h"
#include "common/util.h"

struct rk_view_cell {
    ck_epoch_t epoch;
    ck_epoch_record_t writer;
    struct rk_view *current;
    struct rk_view_reader *readers;
};

struct rk_view_reader {
    ck_epoch_record_t record;
    struct rk_view_cell *cell;
    struct rk_view_reader *next;
};

static void free_view(struct rk_view *v)
{
    if (!v)
        return;
    rk_config_destroy(v->config);
    free(v->vms);
    free(v->peers);
    free(v);
}

static void reclaim(ck_epoch_entry_t *e)
{
    struct rk_view *view =
        (struct rk_view *)((char *)e - offsetof(struct rk_view, reclaim));
    RK_TSAN_ACQUIRE(view->cell);
    free_view(view);
}

struct rk_view_cell *rk_view_cell_create(void)
{
    struct rk_view_cell *cell = rk_alloc(1, sizeof(*cell));
    ck_epoch_init(&cell->epoch);
    ck_epoch_register(&cell->epoch, &cell->writer, NULL);
    return cell;
}

void rk_view_cell_destroy(struct rk_view_cell *cell)
{
    if (!cell)
        return;
    ck_epoch_barrier(&cell->writer);
    free_view(cell->current);
    for (struct rk_view_reader *r = cell->readers, *next; r; r = next) {
        next = r->next;
        free(r);
    }
    free(cell);
}

void rk_view_publish(struct rk_view_cell *cell, struct rk_view *view)
{
    struct rk_view *old = ck_pr_load_ptr(&cell->current);
    view->cell = cell;
    RK_TSAN_RELEASE(&cell->current);
    ck_pr_fence_store();
    ck_pr_store_ptr(&cell->current, view);
    if (old)
        ck_epoch_call(&cell->writer, &old->reclaim, reclaim);
    ck_epoch_poll(&cell->writer);
}

struct rk_view_reader *rk_view_reader_create(struct rk_view_cell *cell)
{
    /* Concurrency Kit requires epoch records to be aligned to cache lines. */
    struct rk_view_reader *r = aligned_alloc(
        CK_MD_CACHELINE, (sizeof(*r) / CK_MD_CACHELINE + 1) * CK_MD_CACHELINE);
    if (!r)
        abort();
    r->cell = cell;
    r->next = cell->readers;
    cell->readers = r;
    ck_epoch_register(&cell->epoch, &r->record, NULL);
    return r;
}

void rk_view_reader_destroy(struct rk_view_reader *r)
{
    if (!r)
        return;
    ck_epoch_unregister(&r->record);
    /* The record stays in the epoch's list, so it is freed with the cell. */
}

void rk_view_enter(struct rk_view_reader *r)
{
    ck_epoch_begin(&r->record, NULL);
}

void rk_view_leave(struct rk_view_reader *r)
{
    RK_TSAN_RELEASE(r->cell);
    ck_epoch_end(&r->record, NULL);
}

const struct rk_view *rk_view_get(struct rk_view_reader *r)
{
    struct rk_view *v = ck_pr_load_ptr(&r->cell->current);
    ck_pr_fence_load_depends();
    RK_TSAN_ACQUIRE(&r->cell->current);
    return v;
}
