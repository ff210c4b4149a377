/* The settings file of one process: a flat JSON object, comments allowed. It names
 * the process and its addresses, and holds limits that the deployment sets for the
 * process. Settings that all nodes share come from the operators' settings tree
 * (core/settings.h) or from the platform. */
#ifndef RK_CORE_PROCFILE_H
#define RK_CORE_PROCFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

#define RK_MAX_PEERS            64
#define RK_PROCFILE_PROBLEMS    32
#define RK_PROCFILE_PROBLEM_MAX 192 /* bytes, with the terminating NUL */

/* A settings file. The names of the members are the keys of the file; addresses are
 * ip:port where nothing else is said. */
struct rk_procfile {
    char id[RK_ID_MAX];
    char failure_domain[RK_ID_MAX];
    char listen[RK_ADDR_MAX];            /* listener for callers */
    char control_listen[RK_ADDR_MAX];    /* listener for peers' control messages */
    char forward_listen[RK_ADDR_MAX];    /* listener for calls forwarded by peers */
    char control_advertise[RK_ADDR_MAX]; /* sent to peers; "": the bound address */
    char forward_advertise[RK_ADDR_MAX]; /* sent to peers; "": the bound address */
    char entry[RK_ADDR_MAX];        /* keeper: its entry node's control address */
    char platform[RK_ADDR_MAX * 2]; /* http://ip:port */
    char peers[RK_MAX_PEERS][RK_ADDR_MAX];
    size_t peers_len;
    int64_t traffic_threads;
    int64_t notice_ms; /* longest time that a planned stop may take */
    int64_t max_body;  /* bytes of a caller's request body */
    int64_t max_connections;
    /* The rest is for nodes that a platform hosts (rillknot-node). */
    char dialect[RK_ID_MAX];          /* name of the platform's driver */
    char cloud[RK_ADDR_MAX];          /* API that the leader's duties use */
    char ready_listen[RK_ADDR_MAX];   /* listener for readiness checks */
    char metrics_listen[RK_ADDR_MAX]; /* listener for metrics; "": none */
    bool first_start;                 /* the deployment starts for the first time */
    double stop_s;                    /* time from SIGTERM to SIGKILL */
    double lease_ms;                  /* duration of the leader lease */
    double usage_window_s;            /* length of a window of usage reports */
    double usage_late_s;   /* time from a window's end until its report is late */
    double quota_window_s; /* length of the sliding window of quotas */
    double quota_slack;    /* units above a quota that the deployment tolerates */
    double quota_overrun;  /* share of a quota that it tolerates on top of that */
    double retry_burst;    /* retries of all nodes beyond retry_ratio */
    double retry_ratio;    /* retries per call, of all nodes */
    double cpu_share;      /* CPU cores that this machine gives the process */
    double memory_mb;      /* memory that it gives the process, in MiB */
    double max_fds;        /* descriptors that it gives the process */
    /* Bounds for the canary of a new version that may be bad: the share of the
     * calls of its service (0: this deployment orders no new versions), calls on
     * top of that, and the time in ms from its 50th bad response until it must get
     * none. */
    double trial_share, trial_slack;
    double trial_give_up_ms;
    /* What the file has wrong and the process can do without: "LINE: /KEY: ", what
     * was expected and what is used instead. Further ones are left out. */
    char problems[RK_PROCFILE_PROBLEMS][RK_PROCFILE_PROBLEM_MAX];
    size_t problems_len;
};

/* Reads *out from a file, with defaults for keys that it lacks. A figure that is
 * out of range or of another type, a peer that is no text, and an unknown key are
 * added to out->problems. The value of such a figure in *in_force stays; without
 * one (NULL), the default or the nearest bound is used. On failure, *out must not
 * be used, and rk_last_error() names the path and, where there is one, the key, its
 * line and what was expected. */
enum rk_status rk_procfile_load(const char *path,
                                const struct rk_procfile *in_force,
                                struct rk_procfile *out);

/* Logs each of file->problems as a warning. path: of the file. */
void rk_procfile_log_problems(const struct rk_procfile *file, const char *path);

/* Returns the content of a file, NUL-terminated, which the caller frees; NULL, with
 * rk_last_error() set, if it can't be opened or is larger than 4 MiB. */
char *rk_read_file(const char *path);

#endif
