/* Process-wide counters, rendered in the Prometheus text format. Adding to one is a
 * single relaxed atomic operation. */
#ifndef RK_COMMON_COUNTERS_H
#define RK_COMMON_COUNTERS_H

#include <stdint.h>

struct rk_buf;

/* X(identifier, metric name without "rillknot_", help text without full stop). A
 * name may end in labels; counters that differ only in these follow each other. */
#define RK_COUNTERS(X)                                                             \
    X(CALLS, "calls_total", "Calls taken from callers")                            \
    X(ANSWERS_OK, "answers_ok_total", "Whole answers given to callers")            \
    X(REFUSED_NOT_RUN, "refused_not_run_total", "Refusals with verdict not-run")   \
    X(REFUSED_MAY_HAVE_RUN, "refused_may_have_run_total",                          \
      "Failures that may have run")                                                \
    X(BAD_INPUT, "bad_input_total", "Calls refused as malformed")                  \
    X(ATTEMPTS, "attempts_total", "Attempts sent to upstreams")                    \
    X(RETRIES, "retries_total", "Attempts after the first")                        \
    X(RETRY_DENIED, "retry_denied_total", "Retries the budget refused")            \
    X(RESUMES, "stream_resumes_total", "Streams resumed at another upstream")      \
    X(RESUMES_UNKNOWN, "stream_resumes_unknown_total",                             \
      "Streams not taken up because their version is not known")                   \
    X(STREAM_VERSIONS_TOLD, "stream_versions_told_total",                          \
      "Versions of streams sent to peers")                                         \
    X(KV_MOVES, "kv_moves_total", "Streams that took their KV cache along")        \
    X(RECOMPUTED, "recomputed_tokens_total",                                       \
      "Tokens prefilled again after a move")                                       \
    X(PROMPT_TOKENS, "prompt_tokens_total", "Prompt tokens of model calls")        \
    X(TOKENS, "tokens_total", "Generated tokens passed to callers")                \
    X(MISMATCHED, "crossed_answers_total",                                         \
      "Answers dropped: not for this attempt")                                     \
    X(FORWARDS, "forwards_total", "Calls forwarded to a peer")                     \
    X(FORWARDED_IN, "forwarded_in_total", "Calls taken from a peer")               \
    X(FORWARDS_REFUSED, "forwards_refused_total",                                  \
      "Forwarded calls that the peer could not take")                              \
    X(VM_PROBES, "vm_probes_total", "Connects to VMs that may be unreachable")     \
    X(CLAIMS, "claims_total", "Idempotency keys claimed")                          \
    X(CLAIM_COMMITS, "claim_commits_total", "Claim records written")               \
    X(CLAIM_REPLAYS, "claim_replays_total", "Repeated keys answered from memory")  \
    X(OBJECT_READS, "object_reads_total", "Reads and watches at the object API")   \
    X(OBJECT_WRITES, "object_writes_total", "Writes at the object API")            \
    X(PEER_BYTES, "peer_bytes_sent_total", "Control bytes sent to peers")          \
    X(LINK_BYTES, "link_bytes_sent_total",                                         \
      "Bytes sent to processes of the system")                                     \
    X(GOSSIP_ROUNDS, "gossip_rounds_total", "Gossip exchanges begun")              \
    X(EXPIRED, "expired_total", "Calls whose deadline passed")                     \
    X(QUOTA_REFUSED, "quota_refused_total",                                        \
      "Calls beyond an organisation's quota")                                      \
    X(QUOTA_ADMITTED_0, "quota_admitted_class{class=\"0\"}",                       \
      "Calls admitted by an organisation's quota, by class")                       \
    X(QUOTA_ADMITTED_1, "quota_admitted_class{class=\"1\"}",                       \
      "Calls admitted by an organisation's quota, by class")                       \
    X(QUOTA_ADMITTED_2, "quota_admitted_class{class=\"2\"}",                       \
      "Calls admitted by an organisation's quota, by class")                       \
    X(QUOTA_ADMITTED_3, "quota_admitted_class{class=\"3\"}",                       \
      "Calls admitted by an organisation's quota, by class")                       \
    X(QUOTA_REFUSED_0, "quota_refused_class{class=\"0\"}",                         \
      "Calls refused by an organisation's quota, by class")                        \
    X(QUOTA_REFUSED_1, "quota_refused_class{class=\"1\"}",                         \
      "Calls refused by an organisation's quota, by class")                        \
    X(QUOTA_REFUSED_2, "quota_refused_class{class=\"2\"}",                         \
      "Calls refused by an organisation's quota, by class")                        \
    X(QUOTA_REFUSED_3, "quota_refused_class{class=\"3\"}",                         \
      "Calls refused by an organisation's quota, by class")                        \
    X(LATE_REFUSED, "late_refused_total",                                          \
      "Calls refused because their first byte would come too late")                \
    X(QUARANTINED, "stopped_total",                                                \
      "Calls refused because VMs ended under the same request")                    \
    X(VM_SIGNALS_REJECTED, "vm_signals_rejected_total",                            \
      "Headers by which VMs speak of themselves that can't be read")               \
    X(VMS_REJECTED, "vms_rejected_total",                                          \
      "Entries of the list that name no VM which can be used")                     \
    X(MEMORY_REFUSED, "memory_refused_total",                                      \
      "Requests refused because the node buffers too much")                        \
    X(RECEIVE_BOUNDED, "receive_buffers_bounded_total",                            \
      "Connections whose buffer in the kernel grows no further")                   \
    X(LOOP_TURNS, "loop_turns_total", "Turns of the event loops")                  \
    X(LOOP_SPINS, "loop_spins_total",                                              \
      "Series of thousands of turns of a loop for one event")                      \
    X(LOG_DROPPED, "log_lines_dropped_total", "Log lines nobody read in time")

enum rk_counter {
#define RK_COUNTER_ENUM(id, name, help) RK_C_##id,
    RK_COUNTERS(RK_COUNTER_ENUM)
#undef RK_COUNTER_ENUM
        RK_C_COUNT
};

/* Adds n to a counter. Any thread. */
void rk_counter_add(enum rk_counter c, uint64_t n);
/* Returns a counter's value. Any thread. */
uint64_t rk_counter_value(enum rk_counter c);

/* Appends all counters in the Prometheus text format, their names prefixed with
 * "rillknot_". Any thread. */
void rk_counters_render(struct rk_buf *out);

#endif
