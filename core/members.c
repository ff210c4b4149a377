#include "core/members.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Load changes of up to load / LOAD_STEP_DIVISOR count as none. */
#define LOAD_STEP_DIVISOR 4
/* Time after which an unchanged load is passed on again. */
#define LOAD_RESEND_MS       12000
#define LOAD_SEND_MAX_AGE_MS 2000  /* maximum age of a load that is passed on */
#define INDEX_SLOTS          16384 /* a power of two, far more than rows */

struct rk_members {
    struct rk_member *members; /* [0] is this node */
    size_t members_len;
    struct rk_vm *vms;
    size_t vms_len;
    uint64_t seq;           /* last change number */
    uint16_t *member_index; /* open addressing: row index plus one; 0: free */
    uint16_t *vm_index;     /* the same for VMs, by id_hash */
};

static uint32_t id_hash(const char *id)
{
    return (uint32_t)rk_hash_str(0, id);
}

/* ---- index ---- */

static void index_put(uint16_t *index, uint32_t hash, size_t row)
{
    size_t i = hash % INDEX_SLOTS;
    while (index[i])
        i = (i + 1) % INDEX_SLOTS;
    index[i] = (uint16_t)(row + 1);
}

static void rebuild_index(struct rk_members *m)
{
    memset(m->member_index, 0, INDEX_SLOTS * sizeof(uint16_t));
    memset(m->vm_index, 0, INDEX_SLOTS * sizeof(uint16_t));
    for (size_t i = 0; i < m->members_len; i++)
        index_put(m->member_index, id_hash(m->members[i].id), i);
    for (size_t i = 0; i < m->vms_len; i++)
        index_put(m->vm_index, m->vms[i].id_hash, i);
}

int rk_members_index(const struct rk_members *m, const char *id)
{
    size_t i = id_hash(id) % INDEX_SLOTS;
    for (; m->member_index[i]; i = (i + 1) % INDEX_SLOTS)
        if (!strcmp(m->members[m->member_index[i] - 1].id, id))
            return m->member_index[i] - 1;
    return -1;
}

static struct rk_vm *vm_by_hash(const struct rk_members *m, uint32_t hash,
                                const char *id)
{
    size_t i = hash % INDEX_SLOTS;
    for (; m->vm_index[i]; i = (i + 1) % INDEX_SLOTS) {
        struct rk_vm *v = &m->vms[m->vm_index[i] - 1];
        if (v->id_hash == hash && (!id || !strcmp(v->id, id)))
            return v;
    }
    return NULL;
}

/* ---- creation and lookup ---- */

struct rk_members *rk_members_create(const struct rk_member *self)
{
    struct rk_members *m = rk_alloc(1, sizeof(*m));
    m->members = rk_alloc(RK_MAX_MEMBERS, sizeof(*m->members));
    m->vms = rk_alloc(RK_MAX_VMS, sizeof(*m->vms));
    m->member_index = rk_alloc(INDEX_SLOTS, sizeof(uint16_t));
    m->vm_index = rk_alloc(INDEX_SLOTS, sizeof(uint16_t));
    m->members[0] = *self;
    m->members[0].state = RK_MEMBER_ALIVE;
    m->members[0].changed = ++m->seq;
    m->members[0].source = -1;
    m->members_len = 1;
    rebuild_index(m);
    return m;
}

void rk_members_destroy(struct rk_members *m)
{
    if (!m)
        return;
    free(m->members);
    free(m->vms);
    free(m->member_index);
    free(m->vm_index);
    free(m);
}

const struct rk_member *rk_members_self(const struct rk_members *m)
{
    return &m->members[0];
}

size_t rk_members_count(const struct rk_members *m)
{
    return m->members_len;
}

const struct rk_member *rk_members_at(const struct rk_members *m, size_t i)
{
    return &m->members[i];
}

const struct rk_member *rk_members_find(const struct rk_members *m, const char *id)
{
    int i = rk_members_index(m, id);
    return i < 0 ? NULL : &m->members[i];
}

size_t rk_members_vm_count(const struct rk_members *m)
{
    return m->vms_len;
}

const struct rk_vm *rk_members_vm_at(const struct rk_members *m, size_t i)
{
    return &m->vms[i];
}

const struct rk_vm *rk_members_find_vm(const struct rk_members *m, const char *id)
{
    return vm_by_hash(m, id_hash(id), id);
}

bool rk_member_is_bridge(const struct rk_members *m, const struct rk_member *row)
{
    int before = 0;
    for (size_t i = 0; i < rk_members_count(m); i++) {
        const struct rk_member *o = rk_members_at(m, i);
        bool serves = o->state != RK_MEMBER_DEAD && !o->leaving;
        if (serves && !strcmp(o->domain, row->domain) && strcmp(o->id, row->id) < 0)
            before++;
    }
    return before < RK_BRIDGES;
}

/* ---- members ---- */

static void mark_changed(struct rk_members *m, struct rk_member *row, int source)
{
    row->changed = ++m->seq;
    row->source = source;
}

static void set_state(struct rk_members *m, struct rk_member *row,
                      enum rk_member_state state, int source, int64_t now_ms)
{
    row->state = state;
    row->since_ms = now_ms;
    mark_changed(m, row, source);
}

/* Refutes a report that this node is suspect or dead, or one of an earlier run that
 * peers still know, by a higher incarnation. Returns whether that was necessary. */
static bool refute(struct rk_members *m, const struct rk_member *row)
{
    struct rk_member *self = &m->members[0];
    if (row->incarnation < self->incarnation)
        return false;
    if (row->incarnation == self->incarnation && row->state == RK_MEMBER_ALIVE)
        return false;
    self->incarnation = row->incarnation + 1;
    mark_changed(m, self, -1);
    return true;
}

static bool add_member(struct rk_members *m, const struct rk_member *row,
                       int source, int64_t now_ms)
{
    /* A dead member that was never known needs no row. */
    if (row->state == RK_MEMBER_DEAD || m->members_len == RK_MAX_MEMBERS)
        return false;
    struct rk_member *n = &m->members[m->members_len];
    *n = *row;
    n->since_ms = now_ms;
    mark_changed(m, n, source);
    index_put(m->member_index, id_hash(n->id), m->members_len++);
    return true;
}

bool rk_members_merge(struct rk_members *m, const struct rk_member *row, int source,
                      int64_t now_ms)
{
    int i = rk_members_index(m, row->id);
    if (i == 0)
        return refute(m, row);
    if (i < 0)
        return add_member(m, row, source, now_ms);
    struct rk_member *old = &m->members[i];
    if (row->incarnation < old->incarnation)
        return false;
    if (row->incarnation > old->incarnation) {
        uint64_t attr_seq = old->attr_seq;
        struct rk_member keep = *old;
        *old = *row;
        if (row->attr_seq < attr_seq && row->incarnation == keep.incarnation + 1) {
            /* After a refutation the run is the same, so its newer attributes stay
             * valid. */
            old->attr_seq = attr_seq;
            old->applied_version = keep.applied_version;
            old->free_slots = keep.free_slots;
        }
        old->since_ms = now_ms;
        mark_changed(m, old, source);
        return true;
    }
    bool relevant = false;
    if (row->attr_seq > old->attr_seq) {
        old->attr_seq = row->attr_seq;
        old->applied_version = row->applied_version;
        old->free_slots = row->free_slots;
        mark_changed(m, old, source);
    }
    if (row->leaving && !old->leaving) {
        old->leaving = true;
        mark_changed(m, old, source);
        relevant = true;
    }
    if (row->state > old->state) {
        set_state(m, old, row->state, source, now_ms);
        relevant = true;
    }
    return relevant;
}

void rk_members_set_applied_version(struct rk_members *m, int64_t head)
{
    struct rk_member *self = &m->members[0];
    assert(head >= self->applied_version);
    if (head == self->applied_version)
        return;
    self->applied_version = head;
    self->attr_seq++;
    mark_changed(m, self, -1);
}

void rk_members_set_free_slots(struct rk_members *m, uint32_t free_slots)
{
    struct rk_member *self = &m->members[0];
    /* A change of at most a quarter is not worth a message. */
    uint32_t step = self->free_slots / 4 + 1;
    if (free_slots + step > self->free_slots &&
        free_slots < self->free_slots + step)
        return;
    self->free_slots = free_slots;
    self->attr_seq++;
    mark_changed(m, self, -1);
}

void rk_members_set_leaving(struct rk_members *m)
{
    m->members[0].leaving = true;
    mark_changed(m, &m->members[0], -1);
}

void rk_members_suspect(struct rk_members *m, const char *id, int64_t now_ms)
{
    int i = rk_members_index(m, id);
    if (i > 0 && m->members[i].state == RK_MEMBER_ALIVE)
        set_state(m, &m->members[i], RK_MEMBER_SUSPECT, -1, now_ms);
}

void rk_members_responded(struct rk_members *m, const char *id, int64_t now_ms)
{
    int i = rk_members_index(m, id);
    /* Clears only this node's own suspicion; the member itself refutes those of
     * others. */
    if (i > 0 && m->members[i].state == RK_MEMBER_SUSPECT &&
        m->members[i].source == -1)
        set_state(m, &m->members[i], RK_MEMBER_ALIVE, -1, now_ms);
}

bool rk_members_expire(struct rk_members *m, int64_t timeout_ms, int64_t now_ms)
{
    bool any = false;
    for (size_t i = 1; i < m->members_len; i++) {
        struct rk_member *row = &m->members[i];
        if (row->state == RK_MEMBER_SUSPECT &&
            now_ms - row->since_ms >= timeout_ms) {
            set_state(m, row, RK_MEMBER_DEAD, -1, now_ms);
            any = true;
        }
    }
    return any;
}

void rk_members_remove_old(struct rk_members *m, int64_t keep_ms, int64_t now_ms)
{
    size_t before = m->members_len + m->vms_len;
    for (size_t i = 1; i < m->members_len;) {
        struct rk_member *row = &m->members[i];
        if (row->state == RK_MEMBER_DEAD && now_ms - row->since_ms > keep_ms)
            *row = m->members[--m->members_len];
        else
            i++;
    }
    for (size_t i = 0; i < m->vms_len;) {
        struct rk_vm *v = &m->vms[i];
        if (v->state == RK_VM_GONE && now_ms - v->since_ms > keep_ms)
            *v = m->vms[--m->vms_len];
        else
            i++;
    }
    if (m->members_len + m->vms_len == before)
        return;
    /* Row indices have changed, so every source is invalid. */
    for (size_t i = 0; i < m->members_len; i++)
        m->members[i].source = -1;
    for (size_t i = 0; i < m->vms_len; i++)
        m->vms[i].source = -1;
    rebuild_index(m);
}

/* ---- VMs ---- */

static void update_load(struct rk_members *m, struct rk_vm *v, uint64_t load_seq,
                        uint32_t running, uint32_t queued, int source,
                        int64_t now_ms)
{
    if (load_seq <= v->load_seq)
        return;
    /* An unchanged load renews the age of the row, but is passed on only now and
     * then. */
    bool same = v->load_seq && v->running == running && v->queued == queued &&
                load_seq - v->load_sent_seq < LOAD_RESEND_MS;
    v->load_seq = load_seq;
    v->load_ms = now_ms;
    v->running = running;
    v->queued = queued;
    if (same)
        return;
    v->load_sent_seq = load_seq;
    v->load_changed = ++m->seq;
    v->source = source;
}

bool rk_members_merge_vm(struct rk_members *m, const struct rk_vm *row, int source,
                         int64_t now_ms)
{
    uint32_t hash = id_hash(row->id);
    struct rk_vm *old = vm_by_hash(m, hash, row->id);
    if (!old) {
        if (row->state == RK_VM_GONE || m->vms_len == RK_MAX_VMS)
            return false;
        old = &m->vms[m->vms_len];
        *old = *row;
        index_put(m->vm_index, hash, m->vms_len++);
    } else if (row->incarnation > old->incarnation) {
        *old = *row;
    } else if (row->incarnation == old->incarnation && row->state > old->state) {
        old->state = row->state;
        old->leave_at_ms = row->leave_at_ms;
        update_load(m, old, row->load_seq, row->running, row->queued, source,
                    now_ms);
    } else {
        if (row->incarnation == old->incarnation)
            update_load(m, old, row->load_seq, row->running, row->queued, source,
                        now_ms);
        return false;
    }
    old->id_hash = hash;
    old->changed = ++m->seq;
    old->since_ms = now_ms;
    old->load_ms = now_ms;
    old->source = source;
    return true;
}

void rk_members_merge_load(struct rk_members *m, uint32_t hash, uint64_t load_seq,
                           uint32_t running, uint32_t queued, int source,
                           int64_t now_ms)
{
    struct rk_vm *v = vm_by_hash(m, hash, NULL);
    if (v)
        update_load(m, v, load_seq, running, queued, source, now_ms);
}

void rk_members_load_polled(struct rk_members *m, uint32_t hash, uint64_t load_seq,
                            uint32_t running, uint32_t queued, int64_t now_ms)
{
    struct rk_vm *v = vm_by_hash(m, hash, NULL);
    if (!v)
        return;
    uint32_t before = v->running + v->queued, now = running + queued;
    uint32_t moved = before > now ? before - now : now - before;
    bool small = v->load_seq && moved && moved <= before / LOAD_STEP_DIVISOR;
    update_load(m, v, load_seq, small ? v->running : running,
                small ? v->queued : queued, -1, now_ms);
}

/* ---- deltas ---- */

void rk_members_delta(const struct rk_members *m, uint64_t mark, int peer,
                      int64_t now_ms, struct rk_delta *out)
{
    out->members_len = out->vms_len = out->loads_len = 0;
    out->next_high_water = m->seq;
    for (size_t i = 0; i < m->members_len; i++) {
        const struct rk_member *row = &m->members[i];
        if (row->changed > mark && (peer < 0 || row->source != peer))
            out->members[out->members_len++] = (uint16_t)i;
    }
    for (size_t i = 0; i < m->vms_len; i++) {
        const struct rk_vm *v = &m->vms[i];
        if (peer >= 0 && v->source == peer)
            continue;
        if (v->changed > mark)
            out->vms[out->vms_len++] = (uint16_t)i;
        else if (v->load_changed > mark &&
                 now_ms - v->load_ms <= LOAD_SEND_MAX_AGE_MS)
            out->loads[out->loads_len++] = (uint16_t)i;
    }
}

uint64_t rk_members_high_water(const struct rk_members *m)
{
    return m->seq;
}

struct rk_digest rk_members_digest(const struct rk_members *m)
{
    struct rk_digest d = {0};
    for (size_t i = 0; i < m->members_len; i++) {
        const struct rk_member *row = &m->members[i];
        uint64_t fields[] = {row->incarnation, row->leaving};
        if (row->state != RK_MEMBER_DEAD)
            d.members ^= rk_hash(rk_hash_str(0, row->id), fields, sizeof(fields));
    }
    for (size_t i = 0; i < m->vms_len; i++) {
        const struct rk_vm *v = &m->vms[i];
        uint64_t fields[] = {v->incarnation, v->state};
        if (v->state != RK_VM_GONE)
            d.vms ^= rk_hash(rk_hash_str(0, v->id), fields, sizeof(fields));
    }
    return d;
}
