/* Learnt speed of a VM: how much longer than at the other VMs of its service calls
 * have taken there over the last ten seconds or more. The placement keeps a record
 * for each incarnation of a VM and feeds it the short-term records of all nodes.
 * Pure: no I/O; times are passed in. */
#ifndef RK_CORE_VM_SPEED_H
#define RK_CORE_VM_SPEED_H

#include <stdint.h>

#include "core/service_speed.h"

/* The smallest and the largest factor, and the steps of these. */
#define RK_VM_SPEED_FACTOR_MAX 4.0
#define RK_VM_SPEED_STEP_MAX   4

/* Long-term record of a VM. Zeroed: nothing is known. */
struct rk_vm_speed {
    double
        log_sum;  /* sum of the logarithms of actual over expected time, decaying */
    double calls; /* number of calls in log_sum, decaying */
    int64_t at_ms; /* time up to which the sums are decayed */
};

/* Adds the calls since the last observation. recent: the short-term records of all
 * nodes, summed and decayed to now_ms. Of the time since the last observation, at
 * most one second is counted, the first time one second. Does nothing if now_ms is
 * not later than the last observation. */
void rk_vm_speed_observe(struct rk_vm_speed *s, const struct rk_vm_health *recent,
                         int64_t now_ms);
/* Returns the ratio of the VM's times to its service's mean, between 1 /
 * RK_VM_SPEED_FACTOR_MAX and RK_VM_SPEED_FACTOR_MAX. It is exactly 1 while the
 * difference may be chance. mean_log_ratio: mean of log_sum over all calls in the
 * records of the service's VMs. */
double rk_vm_speed_factor(const struct rk_vm_speed *s, double mean_log_ratio);
/* Returns the factor rounded to powers of the square root of 2, as the exponent,
 * between -RK_VM_SPEED_STEP_MAX and RK_VM_SPEED_STEP_MAX. Nodes whose factors
 * differ a little mostly agree on the step. */
int rk_vm_speed_step(double factor);

#endif
