#include "core/config.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/settings.h"

/* Returns a section of the tree; NULL: the tree has none of this name. */
static struct json_object *section(const struct rk_settings *s, const char *name)
{
    struct json_object *v;
    return json_object_object_get_ex(rk_settings_json(s), name, &v) ? v : NULL;
}

/* Calls fn for every member of o that is a node. o may be NULL. */
static void for_each_node(struct json_object *o,
                          void (*fn)(void *ctx, const char *name,
                                     struct json_object *node),
                          void *ctx)
{
    if (!o)
        return;
    json_object_object_foreach(o, key, v)
    {
        if (json_object_is_type(v, json_type_object))
            fn(ctx, key, v);
    }
}

struct builder {
    const struct rk_settings *s;
    struct rk_config *c;
    const char *service; /* whose calls are being added */
};

/* Makes room for one more row in an array of len rows, and returns the array. */
static void *grow(void *array, size_t len, size_t size)
{
    /* Capacities are powers of two, so that a long table isn't copied for each
     * row. */
    if (len & (len - 1))
        return array;
    return rk_realloc(array, (len ? len * 2 : 1) * size);
}

static void copy_str(char *dst, const char *src)
{
    rk_strcpy(dst, RK_ID_MAX, src ? src : "");
}

static void add_policy(struct builder *b, const char *service, const char *call)
{
    struct rk_config *c = b->c;
    char node[RK_SETTING_PATH_MAX];
    snprintf(node, sizeof(node), "/services/%s%s%s", service, *call ? "/" : "",
             call);
    c->policies = grow(c->policies, c->policies_len, sizeof(*c->policies));
    struct rk_policy *p = &c->policies[c->policies_len++];
    *p = (struct rk_policy){
        .repeatable = rk_settings_bool(b->s, node, "repeatable"),
        .refusal_not_run = rk_settings_bool(b->s, node, "refusal_not_run"),
        .checks_fences = rk_settings_bool(b->s, node, "checks_fences"),
        .kv_move = rk_settings_bool(b->s, node, "kv_move"),
        .key_required = rk_settings_bool(b->s, node, "key_required"),
        .deadline_ms = rk_settings_int(b->s, node, "deadline_ms"),
        .connect_ms = rk_settings_int(b->s, node, "connect_ms"),
        .attempt_ms = rk_settings_int(b->s, node, "attempt_ms"),
        .target_first_ms = rk_settings_int(b->s, node, "target_first_ms"),
        .target_token_ms = rk_settings_int(b->s, node, "target_token_ms"),
        .slots = rk_settings_int(b->s, node, "vm_slots"),
        .cache_tokens = rk_settings_int(b->s, node, "cache_tokens"),
        .min_vms = rk_settings_int(b->s, node, "min_vms"),
        .prefill_base_ms = rk_settings_num(b->s, node, "prefill_base_ms"),
        .prefill_token_ms = rk_settings_num(b->s, node, "prefill_token_ms"),
        .token_ms = rk_settings_num(b->s, node, "token_ms"),
    };
    copy_str(p->service, service);
    copy_str(p->call, call);
    copy_str(p->model, rk_settings_str(b->s, node, "model"));
    p->engine = !strcmp(rk_settings_str(b->s, node, "kind"), "engine");
    p->claims_local =
        !strcmp(rk_settings_str(b->s, node, "claims_when_down"), "local");
}

static void add_call(void *ctx, const char *name, struct json_object *node)
{
    (void)node;
    struct builder *b = ctx;
    add_policy(b, b->service, name);
}

static void add_service(void *ctx, const char *name, struct json_object *node)
{
    struct builder *b = ctx;
    b->service = name;
    add_policy(b, name, "");
    for_each_node(node, add_call, b);
}

static void add_class(void *ctx, const char *name, struct json_object *node)
{
    (void)node;
    struct builder *b = ctx;
    struct rk_config *c = b->c;
    char path[RK_SETTING_PATH_MAX];
    snprintf(path, sizeof(path), "/classes/%s", name);
    c->classes = grow(c->classes, c->classes_len, sizeof(*c->classes));
    struct rk_class *k = &c->classes[c->classes_len++];
    *k = (struct rk_class){
        .rank = (int)rk_settings_int(b->s, path, "rank"),
        .deferrable = rk_settings_bool(b->s, path, "deferrable"),
        .promote_ms = rk_settings_int(b->s, path, "promote_ms"),
        .queue_ms = rk_settings_int(b->s, path, "queue_ms"),
        .deadline_ms = rk_settings_int(b->s, path, "class_deadline_ms"),
    };
    copy_str(k->name, name);
}

static void add_org(void *ctx, const char *name, struct json_object *node)
{
    (void)node;
    struct builder *b = ctx;
    struct rk_config *c = b->c;
    char path[RK_SETTING_PATH_MAX];
    snprintf(path, sizeof(path), "/organisations/%s", name);
    c->orgs = grow(c->orgs, c->orgs_len, sizeof(*c->orgs));
    struct rk_org *o = &c->orgs[c->orgs_len++];
    *o = (struct rk_org){
        .weight = rk_settings_int(b->s, path, "weight"),
        .max_in_flight = rk_settings_int(b->s, path, "max_in_flight"),
    };
    copy_str(o->name, name);
    copy_str(o->default_class, rk_settings_str(b->s, path, "default_class"));
}

static void add_vm_class(void *ctx, const char *name, struct json_object *node)
{
    (void)node;
    struct builder *b = ctx;
    struct rk_config *c = b->c;
    char path[RK_SETTING_PATH_MAX];
    snprintf(path, sizeof(path), "/vm_classes/%s", name);
    c->vm_classes = grow(c->vm_classes, c->vm_classes_len, sizeof(*c->vm_classes));
    struct rk_vm_class *k = &c->vm_classes[c->vm_classes_len++];
    *k = (struct rk_vm_class){
        .price = rk_settings_num(b->s, path, "price"),
        .reclaimable = rk_settings_bool(b->s, path, "reclaimable"),
    };
    copy_str(k->name, name);
}

static void add_domain(void *ctx, const char *name, struct json_object *node)
{
    (void)node;
    struct builder *b = ctx;
    struct rk_config *c = b->c;
    char path[RK_SETTING_PATH_MAX];
    snprintf(path, sizeof(path), "/failure_domains/%s", name);
    c->domains = grow(c->domains, c->domains_len, sizeof(*c->domains));
    struct rk_domain *d = &c->domains[c->domains_len++];
    *d = (struct rk_domain){0};
    copy_str(d->name, name);
    copy_str(d->region, rk_settings_str(b->s, path, "region"));
}

/* Compares two rows, or a name and a row, of a table whose rows begin with their
 * name. */
static int compare_names(const void *a, const void *b)
{
    return strcmp(a, b);
}

static int compare_policies(const void *a, const void *b)
{
    const struct rk_policy *x = a, *y = b;
    int d = strcmp(x->service, y->service);
    return d ? d : strcmp(x->call, y->call);
}

static void sort_rows(void *array, size_t len, size_t size,
                      int (*cmp)(const void *, const void *))
{
    if (len)
        qsort(array, len, size, cmp);
}

struct rk_config *rk_config_create(const struct rk_settings *s, int64_t head)
{
    struct rk_config *c = rk_alloc(1, sizeof(*c));
    struct builder b = {.s = s, .c = c};
    c->refs = 1;
    c->head = head;
    for_each_node(section(s, "services"), add_service, &b);
    for_each_node(section(s, "classes"), add_class, &b);
    for_each_node(section(s, "organisations"), add_org, &b);
    for_each_node(section(s, "vm_classes"), add_vm_class, &b);
    for_each_node(section(s, "failure_domains"), add_domain, &b);
    sort_rows(c->policies, c->policies_len, sizeof(*c->policies), compare_policies);
    sort_rows(c->classes, c->classes_len, sizeof(*c->classes), compare_names);
    sort_rows(c->orgs, c->orgs_len, sizeof(*c->orgs), compare_names);
    c->retry_budget_pct = rk_settings_int(s, "", "retry_budget_pct");
    c->claim_shards = rk_settings_int(s, "", "claim_shards");
    c->claim_commit_ms = rk_settings_int(s, "", "claim_commit_ms");
    c->claim_writes_per_s = rk_settings_int(s, "", "claim_writes_per_s");
    c->claim_retention_s = rk_settings_int(s, "", "claim_retention_s");
    c->lease_ms = rk_settings_int(s, "", "lease_ms");
    c->max_calls = rk_settings_int(s, "", "max_calls");
    c->weight_cost = rk_settings_num(s, "", "weight_cost");
    c->weight_recompute = rk_settings_num(s, "", "weight_recompute");
    return c;
}

struct rk_config *rk_config_ref(struct rk_config *c)
{
    c->refs++;
    return c;
}

void rk_config_destroy(struct rk_config *c)
{
    if (!c || --c->refs)
        return;
    free(c->policies);
    free(c->classes);
    free(c->orgs);
    free(c->vm_classes);
    free(c->domains);
    free(c);
}

const struct rk_policy *rk_config_policy(const struct rk_config *c,
                                         const char *service, const char *call)
{
    struct rk_policy key;
    if (!c->policies_len || !rk_strcpy(key.service, RK_ID_MAX, service))
        return NULL;
    rk_strcpy(key.call, RK_ID_MAX, call);
    const struct rk_policy *p =
        bsearch(&key, c->policies, c->policies_len, sizeof(key), compare_policies);
    if (p || !call[0])
        return p;
    return rk_config_policy(c, service, "");
}

const struct rk_policy *rk_config_policy_of_model(const struct rk_config *c,
                                                  const char *model)
{
    for (size_t i = 0; i < c->policies_len; i++)
        if (c->policies[i].engine && !c->policies[i].call[0] &&
            !strcmp(c->policies[i].model, model))
            return &c->policies[i];
    return NULL;
}

static const void *find_row(const void *array, size_t len, size_t size,
                            const char *name)
{
    char key[RK_ID_MAX];
    if (!len || !rk_strcpy(key, sizeof(key), name))
        return NULL;
    return bsearch(key, array, len, size, compare_names);
}

const struct rk_org *rk_config_org(const struct rk_config *c, const char *name)
{
    return find_row(c->orgs, c->orgs_len, sizeof(*c->orgs), name);
}

const struct rk_class *rk_config_class(const struct rk_config *c, const char *name)
{
    return find_row(c->classes, c->classes_len, sizeof(*c->classes), name);
}
