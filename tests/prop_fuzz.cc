// Promise 10 (bad input), bytes: the parsers of frames, settings, streams, requests
// and snapshots get random bytes and damaged valid input from fixed seeds. They
// must not crash, leak (checked by the sanitizer build) or use unbounded memory.
#include "tests/props.h"

#include <cstring>
#include <string>
#include <vector>

#include <json-c/json.h>

extern "C" {
#include "callers/parse.h"
#include "core/call.h"
#include "core/changelog.h"
#include "core/claims.h"
#include "core/completion.h"
#include "core/prefix_index.h"
#include "core/settings.h"
#include "core/token_stream.h"
#include "peers/link.h"
#include "common/status.h"
#include "core/place.h"

/* Declared as in platform/drivers.h, which C++ can't include. */
enum rk_status rk_hosted_parse_vm(const char *name, struct json_object *spec,
                                  struct rk_vm_row *out);
}

namespace {

std::string random_bytes()
{
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    return bytes;
}

// Returns valid input with up to five changes: a byte replaced, some removed or
// doubled, or the end cut off.
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

// Replaces NUL bytes, for functions that take C strings.
std::string without_nul(std::string s)
{
    for (auto &c : s)
        if (!c)
            c = ' ';
    return s;
}

std::string valid_frame()
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

// A frame must not be read past the bytes received, and is returned only if
// complete.
void frames()
{
    std::string s =
        *rc::gen::arbitrary<bool>() ? random_bytes() : damage(valid_frame());
    Rillknot__Frame *f;
    long n =
        rk_frame_decode(reinterpret_cast<const uint8_t *>(s.data()), s.size(), &f);
    RC_ASSERT(n <= static_cast<long>(s.size()));
    RC_ASSERT((n > 0) == (f != nullptr));
    if (f)
        rillknot__frame__free_unpacked(f, nullptr);
}

const char *kSettings =
    "{ // comment\n \"deadline_ms\": 500, \"services\": {\"s\": {\"kind\": "
    "\"engine\", \"model\": \"m\", \"c\": {\"repeatable\": true}}},\n"
    "\"classes\": {\"a\": {\"rank\": 1}}, \"vm_classes\": {\"v\": "
    "{\"price\": 1.5}} /* end */ }";

// Settings must be refused with a problem, or accepted without one.
void settings()
{
    std::string s = without_nul(*rc::gen::arbitrary<bool>() ? random_bytes()
                                                            : damage(kSettings));
    struct rk_settings *tree = nullptr;
    static struct rk_problems problems;
    enum rk_status st = rk_settings_parse(s.c_str(), &tree, &problems);
    RC_ASSERT((st == RK_OK) == (problems.count == 0));
    if (st == RK_OK)
        rk_settings_destroy(tree);
}

// A damaged change must still count as a version, or a node would wait for it
// forever; damaged snapshots must not crash.
void changes()
{
    std::string s =
        without_nul(damage("{\"id\":\"1\",\"set\":{\"/services/s/vm_slots\":4,"
                           "\"/classes/a\":{\"rank\":2},\"/x/y\":null}}"));
    struct rk_changelog *log = rk_changelog_create();
    rk_changelog_append(log, 1, s.c_str());
    RC_ASSERT(rk_changelog_head(log) == 1);
    rk_changelog_restore(log, s.c_str());
    rk_changelog_restore(
        log,
        without_nul(damage("{\"head\":4,\"tree\":{\"deadline_ms\":50}}")).c_str());
    rk_changelog_destroy(log);
}

bool on_event(void *, const char *data)
{
    struct rk_chunk chunk;
    rk_chunk_parse(data, &chunk);
    return true;
}

// Event streams of engines, whole or damaged, must not crash the parsers.
void streams()
{
    std::string s =
        *rc::gen::arbitrary<bool>()
            ? random_bytes()
            : damage("data: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":"
                     "\"w\"}}],\"rk_index\":3}\n\ndata: [DONE]\n\n");
    struct rk_sse_parser sse = {};
    rk_sse_parser_feed(&sse, s.data(), s.size(), on_event, nullptr);
    rk_sse_parser_free(&sse);
}

// Guards against unbounded memory: an upstream may send a line without an end.
void long_lines_are_bounded()
{
    struct rk_sse_parser sse = {};
    std::string part(4096, 'x');
    bool ok = true;
    for (int i = 0; i < 64 && ok; i++)
        ok = rk_sse_parser_feed(&sse, part.data(), part.size(), on_event, nullptr);
    RC_ASSERT(!ok && sse.line.cap <= 4 * RK_SSE_LINE_MAX);
    rk_sse_parser_free(&sse);
}

// A caller's completion request, whole or damaged, must be refused or parsed.
void completions()
{
    std::string s =
        *rc::gen::arbitrary<bool>()
            ? random_bytes()
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

// Guards against texts of a caller that overflow a field, or carry control
// characters into the header of an upstream's request.
void requests()
{
    Headers h;
    static const char *valid[] = {"org",        "urgent", "key-1",
                                  "text/plain", "500",    "4"};
    for (int i = 0; i < 6; i++)
        h.values[i] = without_nul(*rc::gen::inRange(0, 3) ? damage(valid[i])
                                                          : random_bytes());
    std::string path = without_nul(damage("/services/slots/confirm/17"));
    std::string query =
        without_nul(*rc::gen::arbitrary<bool>() ? "" : damage("?a=b&c=d"));
    struct rk_request r = {};
    rk_parse_request(&r, "POST", path.c_str(), query.c_str(), header, &h);
    RC_ASSERT(strlen(r.path) < sizeof(r.path) && strlen(r.key) < sizeof(r.key));
    for (const char *p = r.key; *p; p++)
        RC_ASSERT(*p >= 0x20 && *p <= 0x7e); // others could split a header
    for (const char *p = r.path; *p; p++)
        RC_ASSERT(static_cast<unsigned char>(*p) > 0x20);
}

void ignore_read(void *, uint32_t)
{
}
void ignore_write(void *, uint32_t, unsigned, int64_t, const char *)
{
}
void ignore_slot(void *, uint32_t, unsigned)
{
}
void ignore_decision(void *, uint64_t, const struct rk_claim_result *)
{
}

// A slot of the claims' ring as read from the store may hold anything.
void claim_slots()
{
    static const struct rk_claims_ops ops = {ignore_read, ignore_write, ignore_slot,
                                             ignore_decision};
    struct rk_claims_config cfg = {};
    cfg.owner = "a";
    cfg.retention_ms = 1000;
    cfg.max_tickets = 10;
    cfg.claim_timeout_ms = 100;
    struct rk_claims *c = rk_claims_create(&cfg, &ops, nullptr);
    rk_claims_request(c, 1, rk_claim_key_make("o", "s", "k", "/", "", 0), false, 1);
    rk_claims_tick(c, 1, 1);
    std::string value = without_nul(damage(
        "{\"epoch\":3,\"owner\":\"b\",\"seq\":2,\"sealed\":false,\"newest_ms\":1,"
        "\"nonce\":\"ab\",\"keys\":[\"00112233445566778899aabbccddeeff00112233\"]"
        "}"));
    struct rk_claim_slot_value slot = {0, 4, value.c_str()};
    rk_claims_on_ring(c, RK_OK, &slot, 1, 2, 2);
    rk_claims_destroy(c);
}

// A damaged entry of the VM list must be refused, or give a row within its bounds.
void vm_list_entries()
{
    const std::string valid =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,)"
        R"("state":"draining","coldLeftMs":20,"spot":true,"leaves_ms":2100,"seqNo":4,)"
        R"("born":1764740000000,"models":[{"name":"m","version":1}]})";
    const std::string s = *rc::gen::inRange(0, 8) ? damage(valid) : random_bytes();
    json_object *o = json_tokener_parse(without_nul(s).c_str());
    rk_vm_row row;
    if (rk_hosted_parse_vm("i-1", o, &row) == RK_OK) {
        RC_ASSERT(row.slots >= 1 && row.cold_ms >= 0 && row.started_ms >= 0);
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
        {"vm_list_entries", vm_list_entries},
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
