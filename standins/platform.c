/* standin-platform: a stand-in for the users' platform, with its object API, cloud
 * API and VM list. All state is in memory.
 *
 *   GET    /objects/NAME   value; ETag: version
 *   PUT    /objects/NAME   If-Match: V or If-None-Match: *; 412 if it doesn't hold
 *   GET    /objects?prefix=P[&after=NAME]   [{"name","version","value"}]
 *   GET    /objects?prefix=P&since=R&wait_ms=T   long poll: the same for objects
 *          that changed after revision R; X-Revision: the newest revision
 *   GET    /vms?since=R&wait_ms=T   long poll for rows {"id","addr",
 *          "failure_domain","service","vm_class","incarnation","state","token"}
 *   POST   /cloud/vms      {"vm_class","failure_domain","service","token"}: starts
 *          a VM; 201 with its row, 503 if there is no capacity
 *   DELETE /cloud/vms/ID   stops a VM
 *   GET    /cloud/notices?after=N&wait_ms=T   long poll for notices of reclaims,
 *          [{"seq","id","incarnation","in_ms"}]
 * Test controls:
 *   POST   /_vms           adds or changes a row; a VM in state "spare" isn't
 *          listed, and can be started by the cloud API
 *   POST   /_rows          the body, a JSON text, is listed as a VM's row as it is;
 *          an empty one ends that
 *   POST   /_reclaim       {"id","in_ms","list"}: adds a notice; unless "list" is
 *          set, the VM list lags and doesn't show the VM as leaving
 *   GET    /_stats         counts of calls by kind
 *   POST   /_starts        sets the fault of starts; mode "" clears it
 *   POST   /_fault         modes:
 *          down            503
 *          cut             the connection is closed
 *          slow            the request is handled `ms` later
 *          lose-answer     a PUT takes effect, but the connection is closed
 *                          without a response
 *          stale           reads give the previous version
 *          no-starts       503 for starts of VMs */
#include <argp.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "common/json.h"

#include "standins/httpd.h"

#define MAX_OBJECTS 20000
#define MAX_VMS     2000
#define MAX_NOTICES 4000
#define MAX_NAME    160
#define TOKEN_MAX   128
#define MAX_VALUE   (1024 * 1024)

struct object {
    char name[MAX_NAME];
    char *value;
    char *old_value; /* given to stale reads; NULL: they don't see the object */
    int64_t version, old_version;
    int64_t revision; /* of the last change */
};

struct vm {
    char id[RK_ID_MAX], addr[RK_ADDR_MAX], domain[RK_ID_MAX];
    char service[RK_ID_MAX], vm_class[RK_ID_MAX], state[16];
    char token[TOKEN_MAX]; /* of the order that started it; "": none */
    int64_t incarnation;
    int64_t revision; /* of the last change */
};

struct notice {
    char id[RK_ID_MAX];
    int64_t incarnation;
    int64_t in_ms; /* from the notice to the reclaim */
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    int64_t revision; /* raised by each change of an object, VM or notice */
    struct object *objects;
    size_t objects_len;
    char *odd_row; /* JSON text that is listed as a VM's row, too; NULL: none */
    struct vm *vms;
    size_t vms_len;
    struct notice *notices;
    size_t notices_len;
    int64_t reads, writes, watches, conflicts, starts, stops;
    struct si_fault fault, start_fault;
} plat = {.lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER};

static struct object *find_object(const char *name)
{
    for (size_t i = 0; i < plat.objects_len; i++)
        if (!strcmp(plat.objects[i].name, name))
            return &plat.objects[i];
    return NULL;
}

static bool object_changed(const char *prefix, int64_t since)
{
    for (size_t i = 0; i < plat.objects_len; i++)
        if (plat.objects[i].revision > since &&
            !strncmp(plat.objects[i].name, prefix, strlen(prefix)))
            return true;
    return false;
}

static bool vm_changed(const char *unused, int64_t since)
{
    (void)unused;
    for (size_t i = 0; i < plat.vms_len; i++)
        if (plat.vms[i].revision > since)
            return true;
    return false;
}

static bool notice_added(const char *unused, int64_t after)
{
    (void)unused;
    return (int64_t)plat.notices_len > after;
}

/* Waits until changed(prefix, since) holds, at most wait_ms. Call with plat.lock
 * held. */
static void wait_for_change(bool (*changed)(const char *prefix, int64_t since),
                            const char *prefix, int64_t since, int64_t wait_ms)
{
    struct timespec deadline;
    clock_gettime(CLOCK_REALTIME, &deadline);
    deadline.tv_sec += wait_ms / 1000;
    deadline.tv_nsec += wait_ms % 1000 * 1000000;
    if (deadline.tv_nsec >= 1000000000) {
        deadline.tv_sec++;
        deadline.tv_nsec -= 1000000000;
    }
    plat.watches++;
    while (!changed(prefix, since))
        if (pthread_cond_timedwait(&plat.changed, &plat.lock, &deadline))
            return;
}

/* Sends a list with the newest revision, and frees it. Unlocks plat.lock. */
static enum MHD_Result reply_rows(struct si_req *req, struct rk_buf *b)
{
    char revision[24];
    snprintf(revision, sizeof(revision), "%" PRId64, plat.revision);
    pthread_mutex_unlock(&plat.lock);
    const char *headers[] = {"Content-Type", "application/json", "X-Revision",
                             revision, NULL};
    enum MHD_Result ret = si_reply(req, 200, b->data, b->len, headers);
    rk_buf_free(b);
    return ret;
}

static int compare_names(const void *a, const void *b)
{
    const struct object *const *x = a, *const *y = b;
    return strcmp((*x)->name, (*y)->name);
}

static enum MHD_Result list_objects(struct si_req *req, bool stale)
{
    const char *prefix = si_query(req, "prefix"), *after = si_query(req, "after");
    int64_t since = si_query_int(req, "since", -1);
    struct rk_buf b = {0};
    struct object **matches = rk_alloc(MAX_OBJECTS, sizeof(*matches));
    size_t n = 0;
    pthread_mutex_lock(&plat.lock);
    if (since >= 0)
        wait_for_change(object_changed, prefix ? prefix : "", since,
                        si_query_int(req, "wait_ms", 0));
    plat.reads++;
    for (size_t i = 0; i < plat.objects_len; i++) {
        struct object *o = &plat.objects[i];
        if (strncmp(o->name, prefix ? prefix : "", prefix ? strlen(prefix) : 0) !=
            0)
            continue;
        if ((after && strcmp(o->name, after) <= 0) || o->revision <= since)
            continue;
        if (!stale || o->old_value)
            matches[n++] = o;
    }
    qsort(matches, n, sizeof(*matches), compare_names);
    rk_buf_addstr(&b, "[");
    for (size_t i = 0; i < n; i++) {
        rk_buf_printf(&b, "%s{\"name\":\"%s\",\"version\":%" PRId64 ",\"value\":",
                      i ? "," : "", matches[i]->name,
                      stale ? matches[i]->old_version : matches[i]->version);
        rk_buf_json_str(&b, stale ? matches[i]->old_value : matches[i]->value);
        rk_buf_addstr(&b, "}");
    }
    rk_buf_addstr(&b, "]\n");
    free(matches);
    return reply_rows(req, &b);
}

static enum MHD_Result get_object(struct si_req *req, const char *name, bool stale)
{
    pthread_mutex_lock(&plat.lock);
    plat.reads++;
    struct object *o = find_object(name);
    bool exists = o && (!stale || o->old_value);
    char version[24] = "0";
    char *value = NULL;
    if (exists) {
        snprintf(version, sizeof(version), "%" PRId64,
                 stale ? o->old_version : o->version);
        value = rk_strdup(stale ? o->old_value : o->value);
    }
    pthread_mutex_unlock(&plat.lock);
    const char *headers[] = {"ETag", version, NULL};
    enum MHD_Result ret =
        si_reply(req, exists ? 200 : 404, exists ? value : "",
                 exists ? strlen(value) : 0, exists ? headers : NULL);
    free(value);
    return ret;
}

/* Returns whether the request's If-Match and If-None-Match allow a write to the
 * object (NULL if it doesn't exist). */
static bool preconditions_hold(struct si_req *req, struct object *o)
{
    const char *if_match = si_header(req, "If-Match");
    const char *if_none_match = si_header(req, "If-None-Match");
    if (if_none_match && o)
        return false;
    return !if_match || (o && o->version == atoll(if_match));
}

/* Writes an object. drop_answer: closes the connection without a response. */
static enum MHD_Result put_object(struct si_req *req, const char *name,
                                  bool drop_answer)
{
    if (req->body.len > MAX_VALUE || strlen(name) >= MAX_NAME)
        return si_reply(req, 413, "", 0, NULL);
    pthread_mutex_lock(&plat.lock);
    plat.writes++;
    struct object *o = find_object(name);
    bool ok = preconditions_hold(req, o) && (o || plat.objects_len < MAX_OBJECTS);
    char version[24] = "";
    if (ok) {
        if (!o) {
            o = &plat.objects[plat.objects_len++];
            rk_strcpy(o->name, sizeof(o->name), name);
        }
        free(o->old_value);
        o->old_value = o->value;
        o->old_version = o->version;
        o->value = rk_strdup(req->body.data);
        o->version++;
        o->revision = ++plat.revision;
        snprintf(version, sizeof(version), "%" PRId64, o->version);
        pthread_cond_broadcast(&plat.changed);
    } else {
        plat.conflicts++;
    }
    pthread_mutex_unlock(&plat.lock);
    if (drop_answer)
        return MHD_NO;
    const char *headers[] = {"ETag", version, NULL};
    return si_reply(req, ok ? 200 : 412, "", 0, headers);
}

static void add_vm_json(struct rk_buf *b, const struct vm *v)
{
    rk_buf_printf(b,
                  "{\"id\":\"%s\",\"addr\":\"%s\",\"failure_domain\":\"%s\","
                  "\"service\":\"%s\",\"vm_class\":\"%s\",\"incarnation\":%" PRId64
                  ",\"state\":\"%s\",\"token\":\"%s\"}",
                  v->id, v->addr, v->domain, v->service, v->vm_class,
                  v->incarnation, v->state, v->token);
}

static enum MHD_Result list_vms(struct si_req *req)
{
    int64_t since = si_query_int(req, "since", -1);
    struct rk_buf b = {0};
    pthread_mutex_lock(&plat.lock);
    if (since >= 0)
        wait_for_change(vm_changed, "", since, si_query_int(req, "wait_ms", 0));
    plat.reads++;
    rk_buf_addstr(&b, "[");
    for (size_t i = 0, n = 0; i < plat.vms_len; i++) {
        if (plat.vms[i].revision <= since || !strcmp(plat.vms[i].state, "spare"))
            continue;
        rk_buf_addstr(&b, n++ ? "," : "");
        add_vm_json(&b, &plat.vms[i]);
    }
    if (plat.odd_row) {
        rk_buf_addstr(&b, b.len > 1 ? "," : "");
        rk_buf_addstr(&b, plat.odd_row);
    }
    rk_buf_addstr(&b, "]\n");
    return reply_rows(req, &b);
}

static enum MHD_Result set_odd_row(struct si_req *req)
{
    pthread_mutex_lock(&plat.lock);
    free(plat.odd_row);
    plat.odd_row = req->body.len ? rk_strdup(req->body.data) : NULL;
    pthread_mutex_unlock(&plat.lock);
    return si_reply(req, 200, "", 0, NULL);
}

static struct vm *find_vm(const char *id)
{
    for (size_t i = 0; i < plat.vms_len; i++)
        if (!strcmp(plat.vms[i].id, id))
            return &plat.vms[i];
    return NULL;
}

/* Sets the VM's state and wakes waiting requests. Call with plat.lock held. */
static void set_vm_state(struct vm *v, const char *state)
{
    rk_strcpy(v->state, sizeof(v->state), state);
    v->revision = ++plat.revision;
    pthread_cond_broadcast(&plat.changed);
}

static enum MHD_Result add_vm(struct si_req *req)
{
    struct json_object *o = json_tokener_parse(req->body.data);
    pthread_mutex_lock(&plat.lock);
    struct vm *v = find_vm(rk_json_str(o, "id"));
    if (!v && plat.vms_len < MAX_VMS)
        v = &plat.vms[plat.vms_len++];
    if (v) {
        rk_strcpy(v->id, sizeof(v->id), rk_json_str(o, "id"));
        rk_strcpy(v->addr, sizeof(v->addr), rk_json_str(o, "addr"));
        rk_strcpy(v->domain, sizeof(v->domain), rk_json_str(o, "failure_domain"));
        rk_strcpy(v->service, sizeof(v->service), rk_json_str(o, "service"));
        rk_strcpy(v->vm_class, sizeof(v->vm_class), rk_json_str(o, "vm_class"));
        v->incarnation = rk_json_int(o, "incarnation", 1);
        set_vm_state(v, rk_json_str(o, "state"));
    }
    pthread_mutex_unlock(&plat.lock);
    json_object_put(o);
    return si_reply(req, v ? 200 : 507, "", 0, NULL);
}

static bool spare_matches(const struct vm *v, struct json_object *order)
{
    return !strcmp(v->state, "spare") &&
           !strcmp(v->domain, rk_json_str(order, "failure_domain")) &&
           !strcmp(v->service, rk_json_str(order, "service")) &&
           !strcmp(v->vm_class, rk_json_str(order, "vm_class"));
}

static enum MHD_Result start_vm(struct si_req *req)
{
    struct si_fault f;
    if (si_take_fault(&plat.start_fault, &f))
        return si_reply(req, 503, "no capacity", 11, NULL);
    struct json_object *o = json_tokener_parse(req->body.data);
    struct rk_buf b = {0};
    pthread_mutex_lock(&plat.lock);
    struct vm *started = NULL;
    /* A repeated order with the same token returns the VM of the first order. */
    for (size_t i = 0; i < plat.vms_len && !started; i++)
        if (plat.vms[i].token[0] &&
            !strcmp(plat.vms[i].token, rk_json_str(o, "token")))
            started = &plat.vms[i];
    for (size_t i = 0; i < plat.vms_len && !started; i++)
        if (spare_matches(&plat.vms[i], o)) {
            started = &plat.vms[i];
            rk_strcpy(started->token, sizeof(started->token),
                      rk_json_str(o, "token"));
            plat.starts++;
            set_vm_state(started, "live");
        }
    if (started)
        add_vm_json(&b, started);
    pthread_mutex_unlock(&plat.lock);
    json_object_put(o);
    return started ? si_reply_json(req, 201, &b)
                   : si_reply(req, 503, "no capacity", 11, NULL);
}

static enum MHD_Result stop_vm(struct si_req *req, const char *id)
{
    pthread_mutex_lock(&plat.lock);
    struct vm *v = find_vm(id);
    if (v) {
        plat.stops++;
        set_vm_state(v, "gone");
    }
    pthread_mutex_unlock(&plat.lock);
    return si_reply(req, v ? 200 : 404, "", 0, NULL);
}

static enum MHD_Result add_notice(struct si_req *req)
{
    struct json_object *o = json_tokener_parse(req->body.data);
    pthread_mutex_lock(&plat.lock);
    struct vm *v = find_vm(rk_json_str(o, "id"));
    if (v && plat.notices_len < MAX_NOTICES) {
        struct notice *n = &plat.notices[plat.notices_len++];
        rk_strcpy(n->id, sizeof(n->id), v->id);
        n->incarnation = v->incarnation;
        n->in_ms = rk_json_int(o, "in_ms", 30000);
        plat.revision++;
        if (rk_json_int(o, "list", 0))
            set_vm_state(v, "leaving");
        pthread_cond_broadcast(&plat.changed);
    }
    pthread_mutex_unlock(&plat.lock);
    json_object_put(o);
    return si_reply(req, v ? 200 : 404, "", 0, NULL);
}

static enum MHD_Result list_notices(struct si_req *req)
{
    int64_t after = si_query_int(req, "after", 0);
    struct rk_buf b = {0};
    pthread_mutex_lock(&plat.lock);
    plat.reads++;
    wait_for_change(notice_added, "", after, si_query_int(req, "wait_ms", 0));
    int64_t len = (int64_t)plat.notices_len;
    rk_buf_addstr(&b, "[");
    for (int64_t i = after; i < len; i++)
        rk_buf_printf(&b,
                      "%s{\"seq\":%" PRId64
                      ",\"id\":\"%s\",\"incarnation\":%" PRId64
                      ",\"in_ms\":%" PRId64 "}",
                      i > after ? "," : "", i + 1, plat.notices[i].id,
                      plat.notices[i].incarnation, plat.notices[i].in_ms);
    rk_buf_addstr(&b, "]\n");
    return reply_rows(req, &b);
}

static enum MHD_Result reply_stats(struct si_req *req)
{
    struct rk_buf b = {0};
    pthread_mutex_lock(&plat.lock);
    rk_buf_printf(&b,
                  "{\"reads\":%" PRId64 ",\"writes\":%" PRId64
                  ",\"watches\":%" PRId64 ",\"conflicts\":%" PRId64
                  ",\"starts\":%" PRId64 ",\"stops\":%" PRId64 "}\n",
                  plat.reads, plat.writes, plat.watches, plat.conflicts,
                  plat.starts, plat.stops);
    pthread_mutex_unlock(&plat.lock);
    return si_reply_json(req, 200, &b);
}

static enum MHD_Result handle_test_control(struct si_req *req)
{
    if (!strcmp(req->path, "/_fault")) {
        bool starts = strstr(req->body.data, "no-starts") != NULL;
        return si_set_fault(req, starts ? &plat.start_fault : &plat.fault);
    }
    if (!strcmp(req->path, "/_starts"))
        return si_set_fault(req, &plat.start_fault);
    if (!strcmp(req->path, "/_vms"))
        return add_vm(req);
    if (!strcmp(req->path, "/_rows"))
        return set_odd_row(req);
    if (!strcmp(req->path, "/_reclaim"))
        return add_notice(req);
    return reply_stats(req);
}

static enum MHD_Result handle(void *ctx, struct si_req *req)
{
    (void)ctx;
    if (req->path[1] == '_')
        return handle_test_control(req);
    struct si_fault fault = {0};
    bool is_put = !strcmp(req->method, "PUT");
    /* Only PUTs get lose-answer and use up its count. */
    if (strcmp(plat.fault.mode, "lose-answer") != 0 || is_put)
        si_take_fault(&plat.fault, &fault);
    if (!strcmp(fault.mode, "down"))
        return si_reply(req, 503, "down", 4, NULL);
    if (!strcmp(fault.mode, "cut"))
        return MHD_NO;
    if (!strcmp(fault.mode, "slow"))
        si_sleep_ms(fault.ms);
    bool stale = !strcmp(fault.mode, "stale");
    bool drop_answer = !strcmp(fault.mode, "lose-answer");
    if (!strcmp(req->path, "/objects"))
        return list_objects(req, stale);
    if (!strncmp(req->path, "/objects/", 9)) {
        const char *name = req->path + 9;
        return is_put ? put_object(req, name, drop_answer)
                      : get_object(req, name, stale);
    }
    if (!strcmp(req->path, "/vms"))
        return list_vms(req);
    if (!strcmp(req->path, "/cloud/vms"))
        return start_vm(req);
    if (!strncmp(req->path, "/cloud/vms/", 11))
        return stop_vm(req, req->path + 11);
    if (!strcmp(req->path, "/cloud/notices"))
        return list_notices(req);
    return si_reply(req, 404, "", 0, NULL);
}

static uint16_t port;

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    (void)state;
    if (key != 'p')
        return ARGP_ERR_UNKNOWN;
    port = (uint16_t)atoi(arg);
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"port", 'p', "PORT", 0, "Listen on 127.0.0.1:PORT (0: any)", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse_opt, NULL, "Stand-in for the platform", 0, 0, 0};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    plat.objects = rk_alloc(MAX_OBJECTS, sizeof(*plat.objects));
    plat.vms = rk_alloc(MAX_VMS, sizeof(*plat.vms));
    plat.notices = rk_alloc(MAX_NOTICES, sizeof(*plat.notices));
    const struct si_server server = {.handle = handle};
    return si_serve(&server, port, "standin-platform");
}
