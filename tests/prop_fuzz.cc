// Promise 10: bytes from outside. Frames, settings, streams, requests and
// snapshots are fed garbage and damaged good input, seeds fixed: no crash, no
// leak (under the sanitizer build), bounded memory.
#include "tests/props.h"

#include <cstring>
#include <string>
#include <vector>

#include <json-c/json.h>

extern "C" {
#include "callers/parse.h"
#include "core/call.h"
#include "core/changes.h"
#include "core/claims.h"
#include "core/completion.h"
#include "core/prefix.h"
#include "core/settings.h"
#include "core/stream.h"
#include "peers/link.h"
#include "common/status.h"
#include "core/place.h"

/* platform/drivers.h, which is no C++. */
enum rk_status rk_hosted_parse_vm(const char *name, struct json_object *spec,
                                  struct rk_vm_row *out);
}

namespace {

std::string garbage()
{
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    return bytes;
}

// Good input with bytes changed, cut out, doubled.
std::string damage(std::string s)
{
    int n = *rc::gen::inRange(0, 6);
    for (int i = 0; i < n && !s.empty(); i++) {
        size_t at = *rc::gen::inRange<size_t>(0, s.size());
        size_t len = *rc::gen::inRange<size_t>(0, 12);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            s[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            s.erase(at, len);
            break;
        case 2:
            s.insert(at, s.substr(at, len));
            break;
        default:
            s.resize(at);
        }
    }
    return s;
}

// Text for functions that take C strings.
std::string text(std::string s)
{
    for (auto &c : s)
        if (!c)
            c = ' ';
    return s;
}

std::string good_frame()
{
    Rillknot__ForwardBegin b = RILLKNOT__FORWARD_BEGIN__INIT;
    b.id = 7;
    b.request_id = const_cast<char *>("r-1");
    b.path = const_cast<char *>("/confirm");
    Rillknot__Frame f = RILLKNOT__FRAME__INIT;
    f.body_case = RILLKNOT__FRAME__BODY_FORWARD_BEGIN;
    f.forward_begin = &b;
    size_t len = rillknot__frame__get_packed_size(&f);
    std::string s(4 + len, '\0');
    s[3] = static_cast<char>(len);
    rillknot__frame__pack(&f, reinterpret_cast<uint8_t *>(&s[4]));
    return s;
}

void frames()
{
    std::string s = *rc::gen::arbitrary<bool>() ? garbage() : damage(good_frame());
    Rillknot__Frame *f;
    long n =
        rk_frame_decode(reinterpret_cast<const uint8_t *>(s.data()), s.size(), &f);
    RC_ASSERT(n <= static_cast<long>(s.size()));
    RC_ASSERT((n > 0) == (f != nullptr));
    if (f)
        rillknot__frame__free_unpacked(f, nullptr);
}

const char *kTree =
    "{ // comment\n \"deadline_ms\": 500, \"services\": {\"s\": {\"kind\": "
    "\"engine\", \"model\": \"m\", \"c\": {\"repeatable\": true}}},\n"
    "\"classes\": {\"a\": {\"rank\": 1}}, \"vm_classes\": {\"v\": "
    "{\"price\": 1.5}} /* end */ }";

void settings()
{
    std::string s = text(*rc::gen::arbitrary<bool>() ? garbage() : damage(kTree));
    struct rk_settings *tree = nullptr;
    static struct rk_problems problems;
    enum rk_status st = rk_settings_parse(s.c_str(), &tree, &problems);
    RC_ASSERT((st == RK_OK) == (problems.count == 0));
    if (st == RK_OK)
        rk_settings_destroy(tree);
}

void changes()
{
    std::string s = text(damage("{\"id\":\"1\",\"set\":{\"/services/s/vm_slots\":4,"
                                "\"/classes/a\":{\"rank\":2},\"/x/y\":null}}"));
    struct rk_changelog *log = rk_changelog_create();
    rk_changelog_take(log, 1, s.c_str());
    RC_ASSERT(rk_changelog_head(log) == 1);
    rk_changelog_restore(log, s.c_str());
    rk_changelog_restore(
        log, text(damage("{\"head\":4,\"tree\":{\"deadline_ms\":50}}")).c_str());
    rk_changelog_destroy(log);
}

bool on_event(void *, const char *data)
{
    struct rk_chunk chunk;
    rk_chunk_parse(data, &chunk);
    return true;
}

void streams()
{
    std::string s =
        *rc::gen::arbitrary<bool>()
            ? garbage()
            : damage("data: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":"
                     "\"w\"}}],\"rk_index\":3}\n\ndata: [DONE]\n\n");
    struct rk_sse sse = {};
    rk_sse_feed(&sse, s.data(), s.size(), on_event, nullptr);
    rk_sse_free(&sse);
}

void long_lines_are_bounded()
{
    struct rk_sse sse = {};
    std::string part(4096, 'x');
    bool ok = true;
    for (int i = 0; i < 64 && ok; i++)
        ok = rk_sse_feed(&sse, part.data(), part.size(), on_event, nullptr);
    RC_ASSERT(!ok && sse.line.cap <= 4 * RK_SSE_LINE_MAX);
    rk_sse_free(&sse);
}

void completions()
{
    std::string s =
        *rc::gen::arbitrary<bool>()
            ? garbage()
            : damage("{\"model\":\"m\",\"max_tokens\":4,\"stream\":true,"
                     "\"messages\":[{\"content\":\"a b c\"}]}");
    static struct rk_prompt prompt;
    struct rk_completion c;
    if (rk_completion_parse(s.data(), s.size(), true, &prompt, &c) == RK_OK)
        free(c.upstream_body);
}

struct Headers {
    std::string values[6];
};

const char *header(void *ctx, const char *name)
{
    static const char *names[] = {"Rillknot-Organisation", "Rillknot-Class",
                                  "Idempotency-Key",       "Content-Type",
                                  "Rillknot-Deadline-Ms",  "Last-Event-ID"};
    auto *h = static_cast<Headers *>(ctx);
    for (int i = 0; i < 6; i++)
        if (!strcmp(names[i], name))
            return h->values[i].empty() ? nullptr : h->values[i].c_str();
    return nullptr;
}

void requests()
{
    Headers h;
    static const char *good[] = {"org",        "urgent", "key-1",
                                 "text/plain", "500",    "4"};
    for (int i = 0; i < 6; i++)
        h.values[i] = text(*rc::gen::inRange(0, 3) ? damage(good[i]) : garbage());
    std::string path = text(damage("/services/slots/confirm/17"));
    std::string query = text(*rc::gen::arbitrary<bool>() ? "" : damage("?a=b&c=d"));
    struct rk_request r = {};
    rk_parse_request(&r, "POST", path.c_str(), query.c_str(), header, &h);
    RC_ASSERT(strlen(r.path) < sizeof(r.path) && strlen(r.key) < sizeof(r.key));
    for (const char *p = r.key; *p; p++)
        RC_ASSERT(*p >= 0x20 && *p <= 0x7e); // nothing that could split a header
    for (const char *p = r.path; *p; p++)
        RC_ASSERT(static_cast<unsigned char>(*p) > 0x20);
}

void no_read(void *, uint32_t)
{
}
void no_write(void *, uint32_t, unsigned, int64_t, const char *)
{
}
void no_slot(void *, uint32_t, unsigned)
{
}
void no_decision(void *, uint64_t, const struct rk_claim_result *)
{
}

void claim_slots()
{
    static const struct rk_claims_ops ops = {no_read, no_write, no_slot,
                                             no_decision};
    struct rk_claims_config cfg = {};
    cfg.owner = "a";
    cfg.retention_ms = 1000;
    cfg.max_tickets = 10;
    cfg.patience_ms = 100;
    struct rk_claims *c = rk_claims_create(&cfg, &ops, nullptr);
    rk_claims_ask(c, 1, rk_claim_key_make("o", "s", "k", "/", "", 0), false, 1);
    rk_claims_tick(c, 1, 1);
    std::string value = text(damage(
        "{\"epoch\":3,\"owner\":\"b\",\"seq\":2,\"sealed\":false,\"newest_ms\":1,"
        "\"nonce\":\"ab\",\"keys\":[\"00112233445566778899aabbccddeeff00112233\"]"
        "}"));
    struct rk_slot_read slot = {0, 4, value.c_str()};
    rk_claims_on_ring(c, RK_OK, &slot, 1, 2, 2);
    rk_claims_destroy(c);
}

// An entry of the list of vms, damaged: it is refused, or is a row within its
// bounds.
void entries_of_the_list()
{
    const std::string good =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,)"
        R"("state":"draining","coldLeftMs":20,"spot":true,"leaves_ms":2100,"seqNo":4,)"
        R"("born":1764740000000,"models":[{"name":"m","version":1}]})";
    const std::string s = *rc::gen::inRange(0, 8) ? damage(good) : garbage();
    json_object *o = json_tokener_parse(text(s).c_str());
    rk_vm_row row;
    if (rk_hosted_parse_vm("i-1", o, &row) == RK_OK) {
        RC_ASSERT(row.slots >= 1 && row.cold_ms >= 0 && row.born_ms >= 0);
        RC_ASSERT(row.service[0] && row.domain[0] && row.version[0]);
        RC_ASSERT(row.leaves_in_ms >= -1);
    }
    json_object_put(o);
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"frames", frames},
        {"entries_of_the_list", entries_of_the_list},
        {"settings", settings},
        {"changes", changes},
        {"streams", streams},
        {"long_lines_are_bounded", long_lines_are_bounded},
        {"completions", completions},
        {"requests", requests},
        {"claim_slots", claim_slots},
    };
    return run_properties(properties);
}
