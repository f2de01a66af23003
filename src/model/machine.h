/* Machine types, and machines as the leader knows them: identity, lease, connection, reservations,
 * images.
 *
 * Each field is changed by the part that its comment names, or else by src/workers/ from
 * heartbeats; reservations and sums by reservation.c, images by machine_images.c. Read by all
 * leader's folders. */
#ifndef BD_MACHINE_H
#define BD_MACHINE_H
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

#define BD_MACHINE_IMAGES_MAX 40 /* that a machine is known to have; older ones are fetched again  \
                                  */

/* Amounts are cores, accelerators and GB. */
struct bd_machine_type {
    char label[BD_LABEL_BYTES];
    bool known; /* the cloud has described it */
    double cpus, gpus, mem, cache_gb;
    double fetch_gb_per_s;    /* GB a second */
    double price, spot_price; /* an hour */
    double boot_s;            /* seconds */
    uint32_t zones;           /* bits of the zones that offer it */
};

/* An image in a machine's cache, or on its way there. */
struct bd_cached_image {
    int image;
    double gb;
    struct timespec available_at; /* when it is there, by the type's rate */
};

struct bd_machine {
    UT_hash_handle hh;
    char id[BD_LABEL_BYTES], addr[BD_LABEL_BYTES];
    uint32_t index;
    int type, zone; /* -1: not known yet */
    bool spot, in_inventory, failed;
    bool has_seen_term; /* its newest heartbeat has seen a fencing token of our term */
    bool terminated, scaling_in;

    /* its newest heartbeat */
    uint64_t incarnation, heartbeat_seq, expired_incarnation;
    uint64_t fencing_token;        /* the highest that it has seen */
    bool answered_in_term;         /* in this term */
    bool answered_since_term_seen; /* ... since it has seen it: for the decision log */
    uint64_t received_seq;         /* of the newest that came to be answered: others are copies */
    int heartbeat_peer;            /* the controller that it came to: a peer's index, or -1 */
    uint32_t
        unreceived_replies;  /* times in a row that it went elsewhere although it was answered */
    bool outbound_partition; /* replies and commands seem not to reach it */

    struct timespec age_reported_at, scale_in_allowed_at;
    struct timespec lease_expires_at;        /* later nothing of the last incarnation runs */
    struct timespec heartbeats_steady_since; /* since then heartbeats came without a gap */
    struct timespec last_contact_at, first_seen_at, idle_since;
    struct timespec launch_backoff_until; /* no launch before: it refused one */
    struct timespec
        last_heartbeat_at;       /* newest heartbeat; direct replies count for `heard` alone */
    double reported_age_s;       /* seconds, at age_known_at */
    double termination_notice_s; /* seconds until the cloud takes it; < 0: no notice */

    bool direct_in_flight;    /* one direct command at a time */
    uint32_t direct_failures; /* without an answer, in a row */
    struct timespec next_direct_at;
    uint64_t
        unanswered_launch_token; /* highest token of a direct launch without an answer; 0: none */
    struct timespec direct_sent_at;

    struct bd_reservation *reservations; /* owned */
    uint32_t nreservations, reservations_cap;
    double reserved_cpus, reserved_gpus, reserved_mem_gb; /* reserved */
    double pinned_cpus, pinned_gpus, pinned_mem;          /* of that by services and GPU tasks */

    struct bd_cached_image images[BD_MACHINE_IMAGES_MAX]; /* the most recently used first */
    int nimages;
    struct timespec fetches_done_at; /* when all images that it fetches are there */

    uint32_t consecutive_failures; /* failed tasks in a row, of different jobs */
    struct bd_job *last_failed_job;
    bool is_delegated;             /* in a delegate's record at the last refresh */
    int delegate_index;            /* whose: an index into the core's delegates */
    struct timespec redirected_at; /* when it was last sent to its own zone's controller */
    bool heartbeat_was_direct;     /* its last heartbeat came from itself, not by a controller */
    bool cordoned;                 /* a drain keeps new work off it */
    bool kept_for_drain;           /* ... keeps it although it is idle */
    bool scale_in_for_drain;       /* ... has it scaled in now */
    bool consolidating; /* its tasks move, so that an expensive machine can be scaled in */
    bool quarantined;
    bool is_headroom; /* kept for expected work */
};

struct bd_core;

/* The machine by its index; NULL: none. */
struct bd_machine *bd_machine_by_index(struct bd_core *core, uint32_t index);
/* The machine by its id, added if it is new. Never NULL. */
struct bd_machine *bd_machine_find_or_add(struct bd_core *core, const char *id);
/* When a lease that was renewed at that moment has expired by every clock. */
struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec answered);
/* Whether its heartbeat is overdue: it hangs, or looks for a controller. A direct command would
 * block a sender until its timeout. */
bool bd_machine_is_overdue(const struct bd_core *core, const struct bd_machine *machine);
/* Forgets all machines, as at the end of a term. */
void bd_machines_free(struct bd_core *core);
/* Whether new work may be placed on it. */
bool bd_machine_is_usable(const struct bd_core *core, const struct bd_machine *machine);

/* Whether the machine holds the image, or fetches it. */
bool bd_machine_has_image(const struct bd_machine *machine, int image);
/* Seconds until the image of the job would be there: 0 if it is; infinite if not known. */
double bd_image_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                        const struct bd_spec *spec);
/* Moves the image to the front of those most recently used. there: a task ran from it, so that it
 * has been fetched; else it is being fetched from now on. */
void bd_machine_use_image(struct bd_core *core, struct bd_machine *machine,
                          const struct bd_spec *spec, bool there);
#endif
