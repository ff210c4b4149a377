/* rillknot-timeline: merges the event logs of many processes into one time line, as
 * text or as an SVG picture, and can show the events of a single request. Offsets
 * between the clocks of different machines are estimated from forwarded calls: a
 * peer starts a call after it was forwarded, and ends it before the forwarding
 * process sees its end. */
#include <argp.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/util.h"
#include "core/procfile.h"

#define MAX_PROCESSES 512
#define MAX_LINE      8192
#define LANE_PX       26   /* height of a process's row in the picture */
#define LABEL_PX      190  /* width of the process names */
#define WIDTH_PX      1400 /* of the picture */
#define MAX_PAIRS     4096

struct event {
    int process;
    double at_ms; /* wall clock, with the process's offset added once it is known */
    char name[40];
    char request[RK_ID_MAX];
    int64_t hops, attempt;
    char peer[RK_ID_MAX];
    char *fields; /* the other fields, each as " KEY=VALUE"; owned */
};

struct process {
    char name[RK_ID_MAX];
    char domain[RK_ID_MAX];
    double offset_ms; /* added to the process's wall clock */
    bool aligned;     /* offset_ms is known */
};

static struct {
    struct event *events;
    size_t len, cap;
    struct process processes[MAX_PROCESSES];
    size_t processes_len;
    size_t skipped; /* lines that aren't events */
} tl;

static struct {
    const char *request;
    const char *html;
    bool raw_clocks; /* don't align the clocks */
    char **files;
    int files_len;
} args;

/* ---- reading ---- */

/* Returns the index of the process, which is added if it is new; -1 if the table is
 * full. */
static int get_process(const char *name, const char *domain)
{
    for (size_t i = 0; i < tl.processes_len; i++)
        if (!strcmp(tl.processes[i].name, name))
            return (int)i;
    if (tl.processes_len == MAX_PROCESSES)
        return -1;
    struct process *added = &tl.processes[tl.processes_len];
    rk_strcpy(added->name, sizeof(added->name), name);
    rk_strcpy(added->domain, sizeof(added->domain), domain);
    return (int)tl.processes_len++;
}

/* Returns whether the field is left out of event::fields. */
static bool is_header_field(const char *key)
{
    static const char *const keys[] = {"wall_ms", "mono_us",        "level",
                                       "process", "failure_domain", "event",
                                       "request"};
    for (size_t i = 0; i < RK_ARRAY_LEN(keys); i++)
        if (!strcmp(keys[i], key))
            return true;
    return false;
}

/* Returns the remaining fields as text. The caller frees it. */
static char *other_fields(struct json_object *o)
{
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "");
    json_object_object_foreach(o, key, v)
    {
        const char *text = json_object_get_string(v);
        if (!is_header_field(key) && text && *text)
            rk_buf_printf(&b, " %s=%s", key, text);
    }
    return b.data;
}

/* Adds the event of a log line. Text before the JSON object is ignored: tools that
 * collect the lines of many processes put a time or a name there. */
static void parse_line(const char *line)
{
    const char *event = strchr(line, '{');
    struct json_object *o = event ? json_tokener_parse(event) : NULL;
    if (!json_object_is_type(o, json_type_object) ||
        !rk_json_int(o, "wall_ms", 0)) {
        tl.skipped++;
        json_object_put(o);
        return;
    }
    int process =
        get_process(rk_json_str(o, "process"), rk_json_str(o, "failure_domain"));
    if (process >= 0) {
        if (tl.len == tl.cap) {
            tl.cap = tl.cap ? tl.cap * 2 : 1024;
            tl.events = rk_realloc(tl.events, tl.cap * sizeof(*tl.events));
        }
        struct event *e = &tl.events[tl.len++];
        *e = (struct event){
            .process = process,
            /* wall_ms has whole milliseconds. A fraction of mono_us, below 0.001
             * ms, orders the events within one, but coarsely: as a double, the
             * time has steps of 0.00024 ms. */
            .at_ms = (double)rk_json_int(o, "wall_ms", 0) +
                     (double)(rk_json_int(o, "mono_us", 0) % 1000) / 1e6,
            .hops = rk_json_int(o, "hops", 0),
            .attempt = rk_json_int(o, "attempt", 0)};
        rk_strcpy(e->name, sizeof(e->name), rk_json_str(o, "event"));
        rk_strcpy(e->request, sizeof(e->request), rk_json_str(o, "request"));
        rk_strcpy(e->peer, sizeof(e->peer), rk_json_str(o, "peer"));
        e->fields = other_fields(o);
    }
    json_object_put(o);
}

static bool read_log(const char *path)
{
    FILE *f = fopen(path, "r");
    if (!f) {
        perror(path);
        return false;
    }
    static char line[MAX_LINE];
    while (fgets(line, sizeof(line), f))
        parse_line(line);
    fclose(f);
    return true;
}

/* ---- clocks ---- */

struct clock_pair {
    int from, to;
    /* Bounds of the clock of `to` minus the clock of `from`. */
    double min_skew_ms, max_skew_ms;
};

static struct clock_pair clock_pairs[MAX_PAIRS];
static size_t clock_pairs_len;

/* Returns the pair, which is added if it is new; NULL if the table is full. */
static struct clock_pair *get_clock_pair(int from, int to)
{
    for (size_t i = 0; i < clock_pairs_len; i++)
        if (clock_pairs[i].from == from && clock_pairs[i].to == to)
            return &clock_pairs[i];
    if (clock_pairs_len == MAX_PAIRS)
        return NULL;
    clock_pairs[clock_pairs_len] = (struct clock_pair){
        .from = from, .to = to, .min_skew_ms = -INFINITY, .max_skew_ms = INFINITY};
    return &clock_pairs[clock_pairs_len++];
}

static struct event *find_event(int process, const char *name, const char *request)
{
    for (size_t i = 0; i < tl.len; i++) {
        struct event *e = &tl.events[i];
        if (e->process == process && !strcmp(e->name, name) &&
            !strcmp(e->request, request))
            return e;
    }
    return NULL;
}

/* Narrows the bounds of the skew between two processes by one forwarded call. The
 * peer starts the call after it was sent, which gives the upper bound, and ends it
 * before the sender sees the end, which gives the lower bound. */
static void narrow_skew(const struct event *sent)
{
    int to = -1;
    for (size_t i = 0; i < tl.processes_len; i++)
        if (!strcmp(tl.processes[i].name, sent->peer))
            to = (int)i;
    if (to < 0)
        return;
    const struct event *started = find_event(to, "call.start", sent->request);
    const struct event *ended = find_event(to, "call.end", sent->request);
    const struct event *returned =
        find_event(sent->process, "forward.end", sent->request);
    struct clock_pair *pair = get_clock_pair(sent->process, to);
    if (!pair)
        return;
    if (started && started->at_ms - sent->at_ms < pair->max_skew_ms)
        pair->max_skew_ms = started->at_ms - sent->at_ms;
    if (ended && returned && ended->at_ms - returned->at_ms > pair->min_skew_ms)
        pair->min_skew_ms = ended->at_ms - returned->at_ms;
}

/* Returns the estimated skew: the middle of the bounds, or 0 if they allow it. With
 * only one bound, it is the value nearest to 0 that the bound allows. */
static double estimate_skew_ms(const struct clock_pair *pair)
{
    if (isinf(pair->min_skew_ms) || isinf(pair->max_skew_ms))
        return isinf(pair->min_skew_ms)
                   ? (isinf(pair->max_skew_ms) ? 0 : fmin(pair->max_skew_ms, 0))
                   : fmax(pair->min_skew_ms, 0);
    if (pair->min_skew_ms <= 0 && pair->max_skew_ms >= 0)
        return 0; /* the events give no evidence of a skew */
    return (pair->min_skew_ms + pair->max_skew_ms) / 2;
}

/* Aligns the clocks. The first process keeps its clock; every process that
 * exchanged calls with an aligned one is aligned to it. If some processes can't be
 * reached that way, the first of them keeps its clock, and so on. */
static void align_clocks(void)
{
    for (size_t i = 0; i < tl.len; i++)
        if (!strcmp(tl.events[i].name, "forward.start"))
            narrow_skew(&tl.events[i]);
    for (size_t root = 0; root < tl.processes_len; root++) {
        tl.processes[root].aligned = true;
        for (bool progress = true; progress;) {
            progress = false;
            for (size_t i = 0; i < clock_pairs_len; i++) {
                struct process *a = &tl.processes[clock_pairs[i].from];
                struct process *b = &tl.processes[clock_pairs[i].to];
                if (a->aligned == b->aligned)
                    continue;
                double skew_ms = estimate_skew_ms(&clock_pairs[i]);
                if (a->aligned)
                    b->offset_ms = a->offset_ms - skew_ms;
                else
                    a->offset_ms = b->offset_ms + skew_ms;
                a->aligned = b->aligned = progress = true;
            }
        }
    }
    for (size_t i = 0; i < tl.len; i++)
        tl.events[i].at_ms += tl.processes[tl.events[i].process].offset_ms;
}

/* ---- output ---- */

static int compare_times(const void *a, const void *b)
{
    const struct event *x = a, *y = b;
    return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

static bool is_selected(const struct event *e)
{
    return !args.request || !strcmp(e->request, args.request);
}

static void print_text(void)
{
    for (size_t i = 0; i < tl.len; i++) {
        const struct event *e = &tl.events[i];
        if (is_selected(e))
            printf("%10.1f ms  %-18s %-18s %s%s%s\n", e->at_ms - tl.events[0].at_ms,
                   tl.processes[e->process].name, e->name, e->request,
                   e->request[0] ? "" : "-", e->fields);
    }
    for (size_t i = 0; i < tl.processes_len; i++)
        if (fabs(tl.processes[i].offset_ms) >= 1)
            printf("clock of %s moved by %.1f ms\n", tl.processes[i].name,
                   tl.processes[i].offset_ms);
    if (tl.skipped)
        fprintf(stderr, "%zu lines were no events\n", tl.skipped);
}

static double span_ms(void)
{
    double span = tl.len ? tl.events[tl.len - 1].at_ms - tl.events[0].at_ms : 1;
    return span > 0 ? span : 1;
}

static double x_px(const struct event *e)
{
    return LABEL_PX +
           (e->at_ms - tl.events[0].at_ms) / span_ms() * (WIDTH_PX - LABEL_PX - 10);
}

/* Prints text with < and & escaped for SVG. */
static void print_escaped(FILE *f, const char *s)
{
    for (; *s; s++) {
        if (*s == '<')
            fputs("&lt;", f);
        else if (*s == '&')
            fputs("&amp;", f);
        else
            fputc(*s, f);
    }
}

/* Returns the first event after `start` of the same process, request and attempt
 * whose name begins with end_prefix, or the start event if there is none. */
static const struct event *find_end(size_t start, const char *end_prefix)
{
    const struct event *s = &tl.events[start];
    for (size_t i = start + 1; i < tl.len; i++) {
        const struct event *e = &tl.events[i];
        if (e->process == s->process && !strcmp(e->request, s->request) &&
            e->attempt == s->attempt &&
            !strncmp(e->name, end_prefix, strlen(end_prefix)))
            return e;
    }
    return s;
}

static void draw_bar(FILE *f, size_t i, const char *end_prefix, const char *colour,
                     int dy, int height)
{
    const struct event *s = &tl.events[i], *e = find_end(i, end_prefix);
    double width = x_px(e) - x_px(s);
    fprintf(f,
            "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='%s'><title>%s ",
            x_px(s), s->process * LANE_PX + dy + 30, width > 1 ? width : 1, height,
            colour, s->request);
    print_escaped(f, e->fields);
    fprintf(f, "</title></rect>\n");
}

static void draw_event(FILE *f, size_t i)
{
    const struct event *e = &tl.events[i];
    if (!strcmp(e->name, "call.start")) {
        draw_bar(f, i, "call.end", "#9ec5e8", 4, 6);
    } else if (!strcmp(e->name, "attempt.start")) {
        draw_bar(f, i, "attempt.", "#3b7d4f", 12, 5);
    } else if (!strcmp(e->name, "forward.start")) {
        draw_bar(f, i, "forward.end", "#c98a2b", 18, 4);
    } else if (strncmp(e->name, "call.", 5) != 0 &&
               strncmp(e->name, "attempt.", 8) != 0) {
        fprintf(
            f,
            "<line x1='%.1f' x2='%.1f' y1='%d' y2='%d' stroke='#b03030'><title>%s ",
            x_px(e), x_px(e), e->process * LANE_PX + 30,
            e->process * LANE_PX + LANE_PX + 26, e->name);
        print_escaped(f, e->fields);
        fprintf(f, "</title></line>\n");
    }
}

static bool write_html(const char *path)
{
    FILE *f = fopen(path, "w");
    if (!f) {
        perror(path);
        return false;
    }
    int height = (int)tl.processes_len * LANE_PX + 60;
    fprintf(f,
            "<!doctype html><meta charset='utf-8'><title>time line</title>\n"
            "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
            "font-family='sans-serif' font-size='11'>\n"
            "<rect width='100%%' height='100%%' fill='white'/>\n",
            WIDTH_PX, height);
    fprintf(
        f,
        "<text x='4' y='16'>%.1f s; blue: calls, green: attempts, amber: forwards, "
        "red: other events</text>\n",
        span_ms() / 1000);
    for (size_t i = 0; i < tl.processes_len; i++) {
        int y = (int)i * LANE_PX + 30;
        fprintf(f, "<text x='4' y='%d'>%s</text>\n", y + 16, tl.processes[i].name);
        fprintf(f, "<line x1='0' x2='%d' y1='%d' y2='%d' stroke='#ddd'/>\n",
                WIDTH_PX, y, y);
    }
    for (size_t i = 0; i < tl.len; i++)
        if (is_selected(&tl.events[i]))
            draw_event(f, i);
    fprintf(f, "</svg>\n");
    fclose(f);
    return true;
}

/* ---- command line ---- */

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'r':
        args.request = arg;
        return 0;
    case 'o':
        args.html = arg;
        return 0;
    case 'n':
        args.raw_clocks = true;
        return 0;
    case ARGP_KEY_ARGS:
        args.files = state->argv + state->next;
        args.files_len = state->argc - state->next;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_usage(state);
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"request", 'r', "ID", 0, "Show only one request's events", 0},
    {"html", 'o', "FILE", 0, "Draw a picture into FILE instead of text", 0},
    {"raw-clocks", 'n', NULL, 0, "Don't bring the clocks together", 0},
    {0},
};

static const struct argp argp = {
    options,  parse_opt,
    "LOG...", "Merge event logs of many processes into one time line.",
    0,        0,
    0};

int main(int argc, char **argv)
{
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    bool ok = true;
    for (int i = 0; i < args.files_len; i++)
        ok = read_log(args.files[i]) && ok;
    if (!args.raw_clocks)
        align_clocks();
    if (tl.len)
        qsort(tl.events, tl.len, sizeof(*tl.events), compare_times);
    if (args.html)
        ok = write_html(args.html) && ok;
    else
        print_text();
    for (size_t i = 0; i < tl.len; i++)
        free(tl.events[i].fields);
    free(tl.events);
    return ok ? 0 : 1;
}
