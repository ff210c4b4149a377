#include "peers/frame_bounds.h"

#include <math.h>
#include <stdint.h>
#include <string.h>

#include "core/revision.h"
#include "core/vm_signals.h"
#include "peers/peers.pb-c.h"

/* Bounds of numbers without a row in the table below: doubles represent all
 * integers up to the first one exactly. Hashes, of a fixed size, may have any
 * value, and so may repeated numbers, which their readers check. */
#define INT_MAX_DEFAULT  9e15
#define REAL_MAX_DEFAULT 1e15

/* The largest one that a double represents exactly. */
#define REVISION_MAX    ((double)(RK_REVISION_MAX - 511))
#define DURATION_MAX_MS (100.0 * 365 * 24 * 3600 * 1000)
#define CALLS_MAX       1e8 /* in flight, in a fleet */
#define NODES_MAX       1e6
#define PORT_MAX        65535
#define INCREMENTS_MAX  1e9 /* of a counter of changes */
/* Within the bounds of each field; most numbers are. */
#define SMALL_MAX PORT_MAX

/* The bounds of a field. */
struct bounds {
    const ProtobufCMessageDescriptor *message;
    const char *field;
    double min, max;
};

#define OF(message) (&rillknot__##message##__descriptor)
#define REVISION(message, field)                                                   \
    {                                                                              \
        OF(message), field, 0, REVISION_MAX                                        \
    }
#define DURATION(message, field)                                                   \
    {                                                                              \
        OF(message), field, 0, DURATION_MAX_MS                                     \
    }

static const struct bounds table[] = {
    {OF(forward_begin), "deadline_left_ms", -INT_MAX_DEFAULT, INT_MAX_DEFAULT},
    {OF(vm_use), "running", 0, CALLS_MAX},
    {OF(usage_row), "count", 0, INT_MAX_DEFAULT},
    {OF(service_use), "running", 0, CALLS_MAX},
    {OF(service_use), "begun", 0, CALLS_MAX},
    REVISION(lease_row, "version"),
    REVISION(node_report, "list_revision"),
    DURATION(node_report, "remembers_ms"),
    {OF(node_report), "store_age_ms", -1, DURATION_MAX_MS},
    {OF(node_report), "forward_port", 0, PORT_MAX},
    {OF(node_row), "forward_port", 0, PORT_MAX},
    REVISION(digest, "list_revision"),
    DURATION(digest, "remembers_ms"),
    {OF(digest), "store_age_ms", -1, DURATION_MAX_MS},
    {OF(digest), "nodes_heard", 0, NODES_MAX},
    {OF(digest), "nodes_total", 0, NODES_MAX},
    {OF(digest), "forward_port", 0, PORT_MAX},
    REVISION(store_wanted, "list_since"),
    REVISION(rollout_word, "epoch"),
    {OF(rollout_word), "number", 0, INCREMENTS_MAX},
    DURATION(rollout_word, "age_ms"),
    REVISION(rollout_word, "known_at"),
    {OF(quarantine_row), "cleared", 0, INCREMENTS_MAX},
    {OF(quarantine_row), "stored_era", 0, (double)RK_REVISION_ERA_MAX},
    {OF(vm_signal), "limit_per_s", 0, RK_VM_RATE_MAX_PER_S},
    {OF(vm_signal), "refusals_per_s", 0, RK_VM_RATE_MAX_PER_S},
    REVISION(list_row, "revision"),
    REVISION(gone_row, "revision"),
    DURATION(gone_row, "lapse_left_ms"),
    REVISION(store_text, "list_revision"),
    REVISION(store_text, "list_since"),
    REVISION(store_text, "zip_revision"),
    DURATION(stream_version, "ttl_ms"),
};

static struct bounds bounds_of(const ProtobufCMessageDescriptor *message,
                               const ProtobufCFieldDescriptor *field)
{
    for (size_t i = 0; i < sizeof(table) / sizeof(table[0]); i++)
        if (table[i].message == message && !strcmp(table[i].field, field->name))
            return table[i];
    switch (field->type) {
    case PROTOBUF_C_TYPE_INT64:
        return (struct bounds){.min = -1, .max = INT_MAX_DEFAULT};
    case PROTOBUF_C_TYPE_FLOAT:
    case PROTOBUF_C_TYPE_DOUBLE:
        return (struct bounds){.min = -REAL_MAX_DEFAULT, .max = REAL_MAX_DEFAULT};
    default:
        return (struct bounds){.min = 0, .max = INFINITY};
    }
}

static double number_at(ProtobufCType type, const void *at)
{
    switch (type) {
    case PROTOBUF_C_TYPE_INT64:
        return (double)*(const int64_t *)at;
    case PROTOBUF_C_TYPE_UINT64:
        return (double)*(const uint64_t *)at;
    case PROTOBUF_C_TYPE_UINT32:
        return *(const uint32_t *)at;
    case PROTOBUF_C_TYPE_FLOAT:
        return (double)*(const float *)at;
    case PROTOBUF_C_TYPE_DOUBLE:
        return *(const double *)at;
    default:
        return 0; /* a hash, or no number */
    }
}

static bool is_in_bounds(const ProtobufCMessageDescriptor *d,
                         const ProtobufCFieldDescriptor *f, const void *at,
                         struct rk_odd_number *first)
{
    double value = number_at(f->type, at);
    if (value >= 0 && value <= SMALL_MAX)
        return true;
    struct bounds b = bounds_of(d, f);
    if (value >= b.min && value <= b.max)
        return true;
    if (!first->message)
        *first = (struct rk_odd_number){d->short_name, f->name, value};
    return false;
}

/* Returns whether the rows of a message are of use only together: a list of VMs is
 * taken for complete up to its revision. */
static bool needs_all_rows(const ProtobufCMessageDescriptor *d)
{
    return d == OF(store_text);
}

/* Removes the rows of a repeated field that are not to be used. Returns false if
 * that makes the message unusable. */
static bool check_rows(const ProtobufCMessageDescriptor *d, ProtobufCMessage **rows,
                       size_t *len, size_t *removed, struct rk_odd_number *first)
{
    size_t kept = 0;
    for (size_t i = 0; i < *len; i++) {
        if (rk_message_check_numbers(rows[i], removed, first))
            rows[kept++] = rows[i];
        else if (needs_all_rows(d))
            return false;
    }
    *removed += *len - kept;
    *len = kept;
    return true;
}

static bool check_field(ProtobufCMessage *m, const ProtobufCFieldDescriptor *f,
                        size_t *removed, struct rk_odd_number *first)
{
    char *base = (char *)m;
    void *at = base + f->offset;
    void *quantifier = base + f->quantifier_offset;
    bool repeated = f->label == PROTOBUF_C_LABEL_REPEATED;
    bool in_oneof = f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF;
    if (in_oneof && *(const uint32_t *)quantifier != f->id)
        return true;
    if (f->type != PROTOBUF_C_TYPE_MESSAGE)
        return repeated || is_in_bounds(m->descriptor, f, at, first);
    if (repeated)
        return check_rows(m->descriptor, *(ProtobufCMessage ***)at, quantifier,
                          removed, first);
    ProtobufCMessage **member = at;
    if (!*member || rk_message_check_numbers(*member, removed, first))
        return true;
    if (in_oneof)
        return false;
    *member = NULL;
    ++*removed;
    return true;
}

bool rk_message_check_numbers(ProtobufCMessage *message, size_t *removed,
                              struct rk_odd_number *first)
{
    const ProtobufCMessageDescriptor *d = message->descriptor;
    for (unsigned i = 0; i < d->n_fields; i++)
        if (!check_field(message, &d->fields[i], removed, first))
            return false;
    return true;
}
