/* The leader's requests to the cloud, and its view of the cloud's capacity.
 *
 * Changed by autoscaling/, except for the demand for GPUs, which scheduling/ computes, and
 * `direct_by_zone`, which workers/ changes. leadership/ resets it at the end of a term. */
#ifndef BD_AUTOSCALING_STATE_H
#define BD_AUTOSCALING_STATE_H
#include "brambledoor/settings.h"
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

#define BD_PROVISION_REQUESTS_MAX 64 /* requests in flight */

/* A request to the cloud for machines, kept until it is answered. */
struct bd_provision_request_state {
    char id[BD_LABEL_BYTES];
    int type, zone, count;
    bool spot;
    struct timespec sent_at;
};

/* A pool of the cloud: one machine type in one zone, on demand or spot. */
struct bd_pool {
    struct timespec next_request_at; /* no request before this time */
    double backoff_s;                /* 0: the last request was filled */
    bool request_in_flight;
};

struct bd_cloud_view {
    /* downtime that consolidation may cause by moves, in replica-seconds, and when the budget was
     * last refilled */
    double move_budget_s;
    struct timespec move_budget_at;
    struct bd_provision_request_state provision_requests[BD_PROVISION_REQUESTS_MAX];
    int nprovision_requests;
    /* an unfinished job has GPU tasks that are not placed, and its team's quota admits one more */
    bool has_pending_gpu_work;
    struct bd_spec largest_gpu_task[BD_TYPES_MAX][2]; /* by type and spot; gpus == 0: none */
    /* circuit breakers of the direct commands to each zone, see direct_commands.c */
    struct {
        uint32_t consecutive_failures; /* commands without an answer */
        struct timespec next_probe_at; /* next command while the circuit breaker is open */
    } direct_by_zone[BD_ZONES_MAX];
    struct bd_pool pools[BD_TYPES_MAX][BD_ZONES_MAX][2]; /* by type, zone and spot */
};
#endif
