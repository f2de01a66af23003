/* What the leader asks of the cloud, and what it knows of the cloud's capacity.
 *
 * Owned by autoscaling/, but for the demand for GPUs, which scheduling/ works out, and `direct`,
 * which workers/ keeps. */
#ifndef BD_AUTOSCALING_STATE_H
#define BD_AUTOSCALING_STATE_H
#include "brambledoor/settings.h"
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

#define BD_PROVISION_REQUESTS_MAX 64 /* without an answer; no more are made */

/* One request to the cloud, until it is answered. */
struct bd_provision_request_state {
    char id[BD_LABEL_BYTES];
    int type, zone, count;
    bool spot;
    struct timespec sent_at;
};

/* One pool of the cloud: a machine type in a zone, on demand or spot. */
struct bd_pool {
    struct timespec next_request_at; /* no request is made before */
    double backoff_s;                /* seconds; 0: the last request was filled */
    bool request_in_flight;          /* a request is under way */
};

struct bd_cloud_view {
    double move_budget_s;           /* replica-seconds that consolidation may spend on moves, */
    struct timespec move_budget_at; /* ... by then */
    struct bd_provision_request_state provision_requests[BD_PROVISION_REQUESTS_MAX];
    int nprovision_requests;
    bool has_pending_gpu_work; /* some unfinished job's GPU tasks have no place */
    struct bd_spec largest_gpu_task[BD_TYPES_MAX][2]; /* by type and spot; gpus 0: none */
    struct { /* by zone: direct commands without an answer, in a row */
        uint32_t consecutive_failures;
        struct timespec next_probe_at; /* no probe before */
    } direct_by_zone[BD_ZONES_MAX];
    struct bd_pool pools[BD_TYPES_MAX][BD_ZONES_MAX][2]; /* by type, zone and spot */
};
#endif
