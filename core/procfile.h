/* A process's own small settings file: JSON with comments, flat. Says who the
 * process is and where it listens; everything else is in the operators' tree. */
#ifndef RK_CORE_PROCFILE_H
#define RK_CORE_PROCFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

#define RK_MAX_PEERS 64

struct rk_procfile {
    char id[RK_ID_MAX];
    char failure_domain[RK_ID_MAX];
    char listen[RK_ADDR_MAX];            /* callers */
    char control_listen[RK_ADDR_MAX];    /* peers' control */
    char forward_listen[RK_ADDR_MAX];    /* peers' calls */
    char control_advertise[RK_ADDR_MAX]; /* "": as bound */
    char forward_advertise[RK_ADDR_MAX]; /* "": as bound */
    char entry[RK_ADDR_MAX];             /* keeper: its entry node's control */
    char platform[RK_ADDR_MAX * 2];      /* http://ip:port */
    char peers[RK_MAX_PEERS][RK_ADDR_MAX];
    size_t peers_len;
    int64_t traffic_threads;
    int64_t notice_ms; /* how long a planned stop may take */
    int64_t max_body;
    int64_t max_connections;
    /* Of a node that a platform hosts (rillknot-node). */
    char dialect[RK_ID_MAX];          /* word of the platform's driver */
    char cloud[RK_ADDR_MAX];          /* where duties are done */
    char ready_listen[RK_ADDR_MAX];   /* for the balancer */
    char metrics_listen[RK_ADDR_MAX]; /* "": none */
    bool first_start;                 /* of the whole deployment */
    double stop_s;                    /* from SIGTERM to SIGKILL */
    double lease_ms;
    double usage_window_s, usage_late_s;
    double quota_window_s, quota_slack, quota_overrun;
    double retry_burst; /* of all nodes */
    double retry_ratio; /* retries to calls, of all nodes */
    double cpu_share;   /* of a core, that this machine has */
    /* What a new version of a service may get if it turns out to be bad; no share:
     * no new versions are ordered here. */
    double trial_share, trial_slack;
    double trial_give_up_ms;
};

/* Fill out from a file. On failure rk_last_error() names key, line and what was
 * expected. */
enum rk_status rk_procfile_load(const char *path, struct rk_procfile *out);

/* Read a whole file; NULL with rk_last_error() set. The caller frees it. */
char *rk_read_file(const char *path);

#endif
