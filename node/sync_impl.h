/* State of the settings and the VM list, shared by sync.c (store watches, and the
 * freshness of what is known), sync_settings.c, sync_list.c and sync_publish.c.
 * Private to these files; control thread only. */
#ifndef RK_NODE_SYNC_IMPL_H
#define RK_NODE_SYNC_IMPL_H

#include "node/store_watch.h"
#include "node/state.h"

/* Number of removed VMs that are recorded for peers: enough for the loss of the
 * largest failure domain at once. A peer whose list is older than the records is
 * sent the whole list, at 400 bytes per VM. */
#define RK_SYNC_REMOVED_MAX 4096

/* An entry of the VM list. */
struct entry {
    size_t index; /* among the entries */
    char *name;
    char *text;             /* JSON contents, for peers */
    int64_t revision;       /* in the store */
    int64_t first_revision; /* at which this incarnation of the VM was first seen */
    int64_t grace_until_ms; /* if it expired: its VM is used until then; else 0 */
    bool needs_publish;     /* the relay lacks the current row */
    struct rk_vm_row row;
};

/* A VM that was removed from the list. */
struct removed_vm {
    char name[RK_ID_MAX];
    int64_t revision;       /* entries of the VM up to this revision are removed */
    int64_t store_revision; /* at which the removal was seen */
    int64_t last_revision;  /* of its last known entry; 0: none was known */
    int64_t grace_until_ms; /* it may register again until then; 0: it ended */
};

/* A question to the store whether settings and list are current. */
struct rk_sync_check {
    struct rk_sync *sync;
    struct rk_timer timer;
    int64_t asked_ms;        /* when the last one was sent */
    int64_t wanted_until_ms; /* it is repeated until then if it fails */
    int64_t
        settings_since; /* the settings' revision that it refers to; 0: a list */
    int pending;        /* answers that have not come */
    bool failed;
};

struct rk_sync {
    struct rk_node *n;
    struct rk_store_watch settings, vms;
    struct rk_timer tick, grace_timer;
    /* Latest time at which a peer's settings, or its list, were the newest and this
     * node had the same; 0: never. */
    int64_t settings_confirmed_ms, list_confirmed_ms;
    struct rk_sync_check check;
    int64_t newest_reported;      /* newest settings version that a peer reported */
    int64_t newest_list_reported; /* the same of the list's revision */
    int64_t behind_since_ms; /* since when it is newer than here; 0: it isn't */
    int64_t answered_ms;     /* last answer of the store, here or to a peer */
    int64_t recovered_ms;    /* end of the store's last outage; 0: none */
    struct rk_routes *routes;
    /* The settings as they are sent to peers. */
    struct rk_buf settings_zip;
    size_t settings_plain_len; /* in bytes */
    struct entry **entries;
    size_t entries_len, entries_cap;
    struct lh_table *by_name; /* of json-c: entries by name */
    bool list_known;
    int64_t list_known_ms; /* since when */
    bool in_bulk;          /* many changes from a peer are being applied */
    int64_t list_revision; /* every change up to it is known */
    /* Ring of the last removals. removed_len counts all of them; removed_cap grows
     * up to RK_SYNC_REMOVED_MAX. */
    struct removed_vm *removed;
    size_t removed_len, removed_cap;
    /* The ring has all removals after removed_since, except for those between
     * gap_from and gap_to. All are revisions of the store. */
    int64_t removed_since;
    int64_t gap_from, gap_to;
    /* The relay has the list, except for entries with needs_publish and for the
     * removal of the VMs named in unsent_removed. */
    bool published;
    bool past_vm_lost;          /* see rk_sync_repeat_past_vms() */
    int64_t published_revision; /* list_revision at the last update of the relay */
    char (*unsent_removed)[RK_ID_MAX];
    size_t unsent_removed_len, unsent_removed_cap;
    /* Buffers of the message to a peer that is being built. */
    Rillknot__ListRow *rows, **row_ptrs;
    Rillknot__GoneRow *removed_rows, **removed_ptrs;
    struct rk_buf list_zip; /* a long message, compressed; empty: none */
    int64_t zip_since;      /* it has the changes after this revision */
    uint32_t zip_plain_len; /* its bytes before compression */
};

/* ---- sync_settings.c ---- */

/* Applies an answer of the store; a callback of the settings' watch. */
void rk_sync_apply_settings(void *ctx, const struct rk_store_object *objects,
                            size_t len, bool all, int64_t store_revision);
/* Adds the settings to a reply. The data belongs to s. */
void rk_sync_fill_settings(struct rk_sync *s, Rillknot__StoreText *out);
/* Applies settings received from a peer, if they are newer and valid. */
void rk_sync_receive_settings(struct rk_sync *s, const Rillknot__StoreText *text);

/* ---- sync_check.c ---- */

void rk_sync_check_init(struct rk_sync *s);
void rk_sync_check_stop(struct rk_sync *s);

/* ---- sync_publish.c ---- */

/* Tells the relay of a VM that came and left, or changed its version, between two
 * of its updates; NULL: of any VMs that may have. */
void rk_sync_note_past_vm(struct rk_sync *s, const struct rk_vm_row *row);
/* Does so again if the relay's queue was full. Returns false if it still is. */
bool rk_sync_repeat_past_vms(struct rk_sync *s);
/* Notes the removal of a VM, for the next update of the relay. */
void rk_sync_note_removed(struct rk_sync *s, const char *name);
/* Sends the changes of the list since the last update to the relay. */
void rk_sync_publish_changes(struct rk_sync *s);

/* ---- sync_list.c ---- */

void rk_sync_list_init(struct rk_sync *s);
void rk_sync_list_free(struct rk_sync *s);
/* Applies an answer of the store; a callback of the VM list's watch. */
void rk_sync_apply_list(void *ctx, const struct rk_store_object *objects,
                        size_t len, bool all, int64_t store_revision);
/* Adds the changes of the list after a revision to a reply. Adds the whole list if
 * since is 0 or the removals since then are not all known. The data belongs to s
 * and is valid until the next call. */
void rk_sync_fill_list(struct rk_sync *s, int64_t since, Rillknot__StoreText *out);
/* Applies changes of the list received from a peer, if they are newer. */
void rk_sync_receive_list(struct rk_sync *s, const Rillknot__StoreText *text);

#endif
