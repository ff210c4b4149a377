/* State of what a node knows of the store, shared by its files: sync.c (who
 * follows, how fresh it is, the peers' way in and out), sync_settings.c,
 * sync_list.c and sync_publish.c. Not for others. */
#ifndef RK_NODE_SYNC_IMPL_H
#define RK_NODE_SYNC_IMPL_H

#include "node/follow.h"
#include "node/state.h"

/* Vms that left, remembered for peers: room for all of the largest failure domain
 * at once. A peer that knows less is told the whole list, 400 bytes a vm. */
#define RK_SYNC_GONE_KEPT 4096

/* A vm's object. */
struct entry {
    size_t at; /* its place among the entries */
    char *name;
    char *text; /* its contents, for peers */
    int64_t revision;
    int64_t first_revision; /* under which it was seen first */
    int64_t
        lapse_ends_ms; /* off the store's list, used on till then; 0: it is on */
    bool is_news;      /* traffic has to know its row */
    struct rk_vm_row row;
};

/* A vm that left the list. */
struct gone {
    char name[RK_ID_MAX];
    int64_t revision;      /* up to which its entries are gone */
    int64_t at;            /* the store's, when that was seen */
    int64_t lapse_ends_ms; /* it may come back till then; 0: it left */
};

struct rk_sync {
    struct rk_node *n;
    struct rk_follow settings, vms;
    struct rk_timer tick, lapses;
    /* Until when a peer knew that the settings, the list, were the newest. */
    int64_t settings_confirmed_ms, list_confirmed_ms;
    int64_t newest_told;     /* the newest version that a peer named */
    int64_t behind_since_ms; /* since when that is newer than this node's; 0: no */
    int64_t answered_ms;     /* when the store answered last, here or to a peer */
    int64_t back_ms;         /* when it did so after it had been away; 0: never */
    struct rk_routes *routes;
    /* The settings as peers are told them. */
    struct rk_buf settings_zip;
    size_t settings_len;
    struct entry **entries;
    size_t entries_len, entries_cap;
    struct lh_table *by_name; /* of json-c */
    bool list_known;
    bool in_bulk;               /* a peer's telling of many changes is taken in */
    int64_t list_revision;      /* every change up to it is known */
    struct gone *gone;          /* grows up to RK_SYNC_GONE_KEPT, the newest stay */
    size_t gone_len, gone_cap;  /* ever; places */
    int64_t gone_since;         /* those since this revision are remembered, */
    int64_t hole_from, hole_to; /* but for those that went between these */
    /* What traffic has to know beside the entries that are news. */
    bool published;          /* it has the list, to which changes add */
    char (*left)[RK_ID_MAX]; /* vms that are off it since */
    size_t left_len, left_cap;
    /* A message to a peer in the making. */
    Rillknot__ListRow *rows, **row_ptrs;
    Rillknot__GoneRow *gone_rows, **gone_ptrs;
    struct rk_buf list_zip; /* the same as it goes, if it is long; */
    int64_t zip_since;      /* of the changes since then */
    uint32_t zip_len;       /* packed, before it was compressed */
};

/* sync_settings.c: what the store told, and a peer. */
void rk_sync_apply_settings(void *ctx, const struct rk_store_object *objects,
                            size_t len, bool all, int64_t at);
void rk_sync_tell_settings(struct rk_sync *s, Rillknot__StoreText *out);
void rk_sync_take_settings(struct rk_sync *s, const Rillknot__StoreText *text);

/* sync_publish.c: a vm is off the list. */
void rk_sync_note_left(struct rk_sync *s, const char *name);
/* Tell traffic what changed. */
void rk_sync_publish_changes(struct rk_sync *s);

/* sync_list.c: the same of the list of vms. */
void rk_sync_list_init(struct rk_sync *s);
void rk_sync_list_free(struct rk_sync *s);
void rk_sync_apply_list(void *ctx, const struct rk_store_object *objects,
                        size_t len, bool all, int64_t at);
/* since: a peer knows it up to this revision; 0: nothing of it. */
void rk_sync_tell_list(struct rk_sync *s, int64_t since, Rillknot__StoreText *out);
void rk_sync_take_list(struct rk_sync *s, const Rillknot__StoreText *text);

#endif
