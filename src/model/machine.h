/* Machine types, and machines as the leader knows them. */
#ifndef BD_MACHINE_H
#define BD_MACHINE_H
#include "model/job.h"
#include "wire/wire.h"

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
    bool cordoned;              /* a drain keeps new work off it; */
    bool kept_for_drain;        /* ... keeps it although it is idle; */
    bool scale_in_for_drain;    /* ... has it go back now */
    bool consolidating;         /* being emptied, so that a dear machine is free again */
    bool quarantined, headroom; /* spare: kept for work that is expected */
};

struct bd_core;

/* The machine by its number; NULL: none. */
struct bd_machine *bd_machine_of(struct bd_core *core, uint32_t index);
/* The machine by its id, made if it is new. Never NULL. */
struct bd_machine *bd_machine_get(struct bd_core *core, const char *id);
/* When a lease that was renewed at that moment has surely expired. */
struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec answered);
/* Whether its heartbeat is late: it hangs, or looks for a controller. */
bool bd_overdue(const struct bd_core *core, const struct bd_machine *machine);
/* Whether new work may be placed on it. */
bool bd_machine_usable(const struct bd_core *core, const struct bd_machine *machine);

/* Whether the machine holds the image, or fetches it. */
bool bd_has_image(const struct bd_machine *machine, int image);
/* Seconds until the image of such a task would be there; infinite: not known. */
double bd_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                  const struct bd_spec *spec);
/* The image is used, or will be; `there`: a task was seen to run from it. */
void bd_remember_image(struct bd_core *core, struct bd_machine *machine, const struct bd_spec *spec,
                       bool there);
#endif
