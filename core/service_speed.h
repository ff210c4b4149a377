/* Tracks how fast services answer, learned from this node's own calls: the speed
 * of a service as a whole, and the health of each VM relative to it, which shows
 * VMs that are slow, cold or of another hardware generation. No I/O; times are
 * passed in. */
#ifndef RK_CORE_SERVICE_SPEED_H
#define RK_CORE_SERVICE_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/engine_model.h"

/* Speed of a service. */
struct rk_service_speed {
    char service[RK_ID_MAX];
    struct rk_service_speed *next;
    size_t vms; /* VMs that use the record, counted by its owner */
    /* Model of the time to the first token, of an engine service. */
    struct rk_engine engine;
    /* Smoothed time of a plain call that waits for nothing. */
    double plain_ms;
    /* Mean log ratio of actual to expected time, over the recent calls to all its
     * VMs. */
    double mean_log_ratio;
    /* The same over the long-term records of its VMs (vm_speed.h). */
    double mean_lasting_log_ratio;
    double read_per_ms;  /* prompt tokens that an engine reads per ms; 0: unknown */
    double calls_per_vm; /* mean of the recent calls to its VMs, decaying */
};

/* Services without VMs that are kept, in case VMs of them come back. */
#define RK_IDLE_SERVICES_MAX 256

/* The speeds of all services; zeroed: empty. */
struct rk_service_speeds {
    struct rk_service_speed *first;
};

/* Returns the record of the service, which is created if needed. It stays valid
 * until rk_service_speeds_trim() or rk_service_speeds_free(). */
struct rk_service_speed *rk_service_speeds_get(struct rk_service_speeds *s,
                                               const char *service);
/* Frees the oldest records without VMs beyond RK_IDLE_SERVICES_MAX. */
void rk_service_speeds_trim(struct rk_service_speeds *s);
/* Frees all records. */
void rk_service_speeds_free(struct rk_service_speeds *s);

/* Returns the expected time in ms of a plain call to a VM with in_flight_per_slot
 * calls in flight per slot. */
double rk_service_speed_plain_ms(const struct rk_service_speed *s,
                                 double in_flight_per_slot);
/* Records that a plain call took took_ms at a VM with in_flight_per_slot calls in
 * flight per slot when it was sent. */
void rk_service_speed_note_plain(struct rk_service_speed *s,
                                 double in_flight_per_slot, double took_ms);

/* Time after which a call counts half as much in the health of a VM, and the mean
 * time that it counts: the half-life divided by ln 2. A VM that became four times
 * as slow gets fewer calls after a second, and one that is no longer used is tried
 * again after some seconds. */
#define RK_VM_HEALTH_HALF_LIFE_MS 1500.0
#define RK_VM_HEALTH_MEAN_MS      (RK_VM_HEALTH_HALF_LIFE_MS / 0.69314718055994531)

/* Health of a VM: how long its recent calls took relative to what the speed of
 * its service predicts, and how many failed or were refused. The weight of each
 * call decays exponentially. Sums of several nodes can be added. */
struct rk_vm_health {
    double log_sum; /* sum of the logarithms of actual over expected time */
    double failed;  /* calls that failed */
    double calls;   /* all calls except those that the VM refused */
    double refused; /* refused calls; at most a few of each node */
    int64_t at_ms;  /* time up to which the sums are decayed */
};

/* Records a call that took took_ms when expected_ms was predicted. */
void rk_vm_health_note_time(struct rk_vm_health *p, double took_ms,
                            double expected_ms, int64_t now_ms);
/* Records a call that failed after took_ms. If that is later than predicted, it
 * also counts as slow. */
void rk_vm_health_note_failure(struct rk_vm_health *p, double took_ms,
                               double expected_ms, int64_t now_ms);

/* Records a call that the VM refused. */
void rk_vm_health_note_refusal(struct rk_vm_health *p, int64_t now_ms);

/* Returns the sums decayed to now_ms. */
struct rk_vm_health rk_vm_health_decayed(const struct rk_vm_health *p,
                                         int64_t now_ms);
/* Returns the total of two records, decayed to now_ms. */
struct rk_vm_health rk_vm_health_combined(const struct rk_vm_health *a,
                                          const struct rk_vm_health *b,
                                          int64_t now_ms);
/* Adds more to *sum. Both must have been decayed to about the same time. */
void rk_vm_health_accumulate(struct rk_vm_health *sum,
                             const struct rk_vm_health *more);
/* Returns true if the values are within bounds. Records from peers must be
 * checked, as they can hold anything. */
bool rk_vm_health_is_valid(const struct rk_vm_health *p);

/* Returns the factor by which the VM is slower (above 1) or faster (below 1)
 * than its service predicts. mean is the mean log ratio of all VMs of the
 * service, which take exp(mean) times the predicted time. The factor is 1 for a
 * VM that is like the others or was not used for long. If all VMs became slow,
 * none counts as slow: the cause is load. */
double rk_vm_health_slowdown(const struct rk_vm_health *p, double mean);
/* Returns the share of its calls that fail; 0 while no calls are known, and lower
 * than the actual share while few are. */
double rk_vm_health_failure_share(const struct rk_vm_health *p);
/* Returns the share of its calls that the VM refuses. What decay leaves of a single
 * refusal counts little. */
double rk_vm_health_refusal_share(const struct rk_vm_health *p);
/* Returns the number of calls in the sums, after decay. */
double rk_vm_health_weight(const struct rk_vm_health *p);

#endif
