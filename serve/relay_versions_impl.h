/* Shared by relay_versions.c (streams that began here, peers' questions and
 * records) and relay_resume.c (streams that callers take up). Relay thread only. */
#ifndef RK_SERVE_RELAY_VERSIONS_IMPL_H
#define RK_SERVE_RELAY_VERSIONS_IMPL_H

#include "peers/peers.pb-c.h"
#include "serve/relay_call_impl.h"

/* A request to a peer: a question for a call, or streams that it is told. */
struct rk_version_request {
    struct rk_relay *r;
    struct rk_version_request *next, **prev;
    struct rk_relay_call *call; /* NULL: not a question */
    char service[RK_ID_MAX];    /* of the only row; "": there are several */
    char addr[RK_ADDR_MAX];
    struct rk_buf sent, answer;
    struct rk_upstream_call *up;
    struct rk_timer timer;
    int status;
    bool is_repeated; /* sent again on another connection */
};

struct rk_relay_versions {
    struct rk_stream_versions table;
    uint64_t domain_hash; /* this node's failure domain */
    struct rk_stream_peer peers[RK_STREAM_PEERS_MAX];
    size_t peers_len;
    struct rk_call_ask *checks; /* resumes that wait for the store */
    /* As in struct rk_relay_peers. */
    bool writes_record;
    char record_writer[RK_ADDR_MAX];
    bool record_changed;
    int64_t next_record_ms;              /* earliest time of the next record */
    struct rk_version_request *requests; /* in flight */
    size_t requests_len;
};

/* ---- relay_versions.c ---- */
/* Sends rows to a peer; call: for which it is asked, or NULL. Returns false if
 * nothing was sent. */
bool rk_version_request_start(struct rk_relay *r, const char *addr,
                              Rillknot__StreamVersions *rows,
                              struct rk_relay_call *call);
/* Returns true if a peer's answer names the only version, and can know that. */
bool rk_version_row_names_only(const struct rk_relay *r,
                               const Rillknot__StreamVersion *row);
/* Cancels the questions for a call. */
void rk_version_requests_cancel(struct rk_relay_call *call);

/* ---- relay_resume.c ---- */
/* Decides on the resumes that wait for the store, after what is known of versions
 * has changed. */
void rk_relay_resumes_judge(struct rk_relay *r);
/* Handles what a peer answered about a call's stream; row NULL: nothing. */
void rk_call_receive_version(struct rk_relay_call *x,
                             const Rillknot__StreamVersion *row);

#endif
