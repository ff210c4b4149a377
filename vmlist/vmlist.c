#include "vmlist/vmlist.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/addr.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/json.h"
#include "common/json_text.h"
#include "common/rest.h"
#include "common/util.h"

#define URL_MAX 256
/* Level of JSON at which a row of the list has its members. */
#define ROW_MEMBER_LEVEL 3

/* A call in flight. */
struct op {
    rk_vmlist_fn *fn;
    void *ctx;
};

/* Maps the platform's name of a state; an unknown one counts as gone. */
static enum rk_vm_state parse_state(const char *s)
{
    if (!strcmp(s, "live"))
        return RK_VM_LIVE;
    return !strcmp(s, "leaving") ? RK_VM_LEAVING : RK_VM_GONE;
}

/* Copies a member that is a text without control characters and fits. */
static bool get_text(struct json_object *o, const char *name, char *out,
                     size_t size)
{
    const char *text = rk_json_text(rk_json_get(o, name));
    return text && rk_is_header_text(text) && rk_strcpy(out, size, text);
}

/* Returns false for a row that describes no usable VM. */
static bool parse_row(struct json_object *o, struct rk_vm *vm)
{
    *vm = (struct rk_vm){0};
    vm->incarnation = (uint64_t)rk_json_int(o, "incarnation", 0);
    vm->state = parse_state(rk_json_str(o, "state"));
    bool described =
        get_text(o, "id", vm->id, sizeof(vm->id)) &&
        get_text(o, "addr", vm->addr, sizeof(vm->addr)) &&
        get_text(o, "failure_domain", vm->domain, sizeof(vm->domain)) &&
        get_text(o, "service", vm->service, sizeof(vm->service)) &&
        get_text(o, "vm_class", vm->vm_class, sizeof(vm->vm_class));
    if (!described || !vm->id[0])
        return false;
    return vm->state == RK_VM_GONE || rk_addr_is_callable(vm->addr);
}

/* Sets vms to the rows that are usable, and returns how many there are. */
static size_t parse_rows(struct json_object *array, struct rk_vm *vms)
{
    size_t usable = 0;
    for (size_t i = 0; i < rk_json_len(array); i++) {
        struct json_object *row = json_object_array_get_idx(array, i);
        if (parse_row(row, &vms[usable]))
            usable++;
        else
            RK_WARN("vm.rejected", RK_S("vm", rk_json_str(row, "id")));
    }
    return usable;
}

static void on_response(void *ctx, const struct rk_rest_response *response)
{
    struct op *op = ctx;
    enum rk_status st = response->status;
    struct json_object *array =
        st == RK_OK ? rk_json_parse_list(response->body, strlen(response->body),
                                         ROW_MEMBER_LEVEL)
                    : NULL;
    if (st == RK_OK && !json_object_is_type(array, json_type_array))
        st = RK_EPROTO;
    struct rk_vm *vms = rk_alloc(rk_json_len(array) + 1, sizeof(*vms));
    size_t len = st == RK_OK ? parse_rows(array, vms) : 0;
    op->fn(op->ctx, st, vms, len, response->revision);
    free(vms);
    json_object_put(array);
    free(op);
}

void rk_vmlist_watch(struct rk_http *http, const char *base, int64_t since,
                     int64_t wait_ms, rk_vmlist_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.fn = fn, .ctx = ctx};
    char url[URL_MAX];
    snprintf(url, sizeof(url), "%s/vms?since=%" PRId64 "&wait_ms=%" PRId64, base,
             since, wait_ms);
    const struct rk_rest_call call = {
        .method = "GET", .url = url, .wait_ms = wait_ms};
    rk_counter_add(RK_C_OBJECT_READS, 1);
    rk_rest_start(http, &call, on_response, op);
}
