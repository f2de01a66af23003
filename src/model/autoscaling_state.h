/* What the leader asks of the cloud. */
#ifndef BD_AUTOSCALING_STATE_H
#define BD_AUTOSCALING_STATE_H
#include "brambledoor/settings.h"
#include "model/job.h"
#include "wire/wire.h"

#define BD_PROVISION_REQUESTS_MAX                                                                  \
    64 /* requests to the cloud that are not settled; no more are made */

struct bd_provision_request_state { /* one request to the cloud, from its first sending to its
                                     * machines' listing
                                     */
    char request[BD_LABEL];
    int type, zone, count;
    bool spot, answered;
    struct timespec sent;
};

struct bd_pool { /* one type, zone and kind */
    struct timespec refuse_until;
    double backoff;
    bool asked; /* a request is under way */
};

/* Owned by the autoscaler's parts; `direct` by commands.c and heartbeats.c. */
struct bd_cloud_view {
    double moves_s; /* that replicas may be away for moves, */
    struct timespec moves_at;
    struct bd_provision_request_state provision_requests[BD_PROVISION_REQUESTS_MAX];
    int nprovision_requests;
    bool gpu_waiting;                           /* some live job's GPU tasks have no place */
    struct bd_spec gpu_wanted[BD_MAX_TYPES][2]; /* by type and spot: a live job's GPU task */
    struct { /* by zone: direct commands without an answer, in a row */
        uint32_t fails;
        struct timespec until;
    } direct[BD_MAX_ZONES];
    struct bd_pool pools[BD_MAX_TYPES][BD_MAX_ZONES][2];
};
#endif
