#include "vmlist/vmlist.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/json.h"
#include "common/rest.h"
#include "common/util.h"

#define URL_MAX 256

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

static void parse_row(struct json_object *o, struct rk_vm *vm)
{
    rk_strcpy(vm->id, sizeof(vm->id), rk_json_str(o, "id"));
    rk_strcpy(vm->addr, sizeof(vm->addr), rk_json_str(o, "addr"));
    rk_strcpy(vm->domain, sizeof(vm->domain), rk_json_str(o, "failure_domain"));
    rk_strcpy(vm->service, sizeof(vm->service), rk_json_str(o, "service"));
    rk_strcpy(vm->vm_class, sizeof(vm->vm_class), rk_json_str(o, "vm_class"));
    vm->incarnation = (uint64_t)rk_json_int(o, "incarnation", 0);
    vm->state = parse_state(rk_json_str(o, "state"));
}

static void on_response(void *ctx, const struct rk_rest_response *response)
{
    struct op *op = ctx;
    enum rk_status st = response->status;
    struct json_object *array =
        st == RK_OK ? json_tokener_parse(response->body) : NULL;
    if (st == RK_OK && !json_object_is_type(array, json_type_array))
        st = RK_EPROTO;
    size_t len = st == RK_OK ? json_object_array_length(array) : 0;
    struct rk_vm *vms = rk_alloc(len + 1, sizeof(*vms));
    for (size_t i = 0; i < len; i++)
        parse_row(json_object_array_get_idx(array, i), &vms[i]);
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
