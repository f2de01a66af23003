/* Machine types, and machines as the leader knows them. */
#ifndef BD_MACHINE_H
#define BD_MACHINE_H
#include "model/job.h"

#define BD_IMAGES 40 /* that a machine is known to have; older ones are fetched again */

struct bd_type {
    char label[BD_LABEL];
    bool known;
    double cpus, gpus, mem, cache_gb, fetch, price, spot_price, boot;
    uint32_t zones;
};

struct bd_machine {
    UT_hash_handle hh;
    char id[BD_LABEL], addr[BD_LABEL];
    uint32_t index;
    int type, zone; /* -1: not known yet */
    bool spot, in_inventory, failed, fenced, gone, scaling_in;
    uint64_t incarnation, seq, expired_incarnation;
    uint64_t fencing_token;  /* the highest that it has seen, by its newest report */
    bool answered;           /* in this term, */
    bool answered_seen;      /* ... since it has seen it: for the evidence log */
    uint64_t asked_seq;      /* of its newest check-in: what is not newer is a copy */
    int via;                 /* the controller that the check-in came to: a peer's number, or -1 */
    uint32_t misrouted;      /* times in a row that it went elsewhere although it was answered */
    bool outbound_partition; /* seems not to hear what it is told */
    struct timespec age_known, scale_in_not_before;
    struct timespec lease_expires_at; /* from here on nothing of the last session runs */
    struct timespec steady;           /* since then it has been heard without a gap */
    struct timespec heard, known_at, idle_since, refuse_until;
    struct timespec asked; /* its newest check-in: a direct answer is heard, but renews nothing */
    double age_at_known;
    double notice_left;       /* < 0: none */
    bool direct_in_flight;    /* one direct command at a time */
    uint32_t direct_failures; /* without an answer, in a row */
    struct timespec direct_not_before;
    uint64_t late_launch_token; /* highest token of a direct launch without an answer, 0: none */
    struct timespec direct_sent_at;
    struct bd_reservation *reservations;
    uint32_t nreservations, cap;
    double cpus, gpus, mem;                      /* in use */
    double pinned_cpus, pinned_gpus, pinned_mem; /* by services and GPU tasks */
    struct bd_held_image {                       /* the most recently used first */
        int image;
        double gb;
        struct timespec ready; /* when it is there, by the type's rate */
    } images[BD_IMAGES];
    int nimages;
    struct timespec fetched_by; /* when all that it fetches is there */
    uint32_t errors;            /* failed tasks in a row, of different jobs */
    struct bd_job *error_job;
    bool delegated;             /* in a delegate's record at the last refresh, */
    int delegate;               /* whose: an index into the core's delegates */
    struct timespec redirected; /* when it was last sent to its own zone's controller */
    bool direct;                /* its last report came from itself, not by another controller */
    bool consolidating;         /* being emptied, so that a dear machine is free again */
    bool quarantined, headroom; /* spare: kept for work that is expected */
};
#endif
