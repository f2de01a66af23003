/* Machine types, and the leader's view of each machine: identity, lease, connection, reservations
 * and images.
 *
 * src/workers/ sets the fields from heartbeats and direct commands, autoscaling/ those of the
 * inventory, scale-in and headroom, drain/ those that are marked so. reservation.c changes the
 * reservations and their sums, machine_images.c the images. All folders
 * that run as leader read them. */
#ifndef BD_MACHINE_H
#define BD_MACHINE_H
#include "model/job.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Images tracked per machine. An image dropped from the list is assumed to need a new download. */
#define BD_MACHINE_IMAGES_MAX 40

/* Amounts are in cores, accelerators and GB. */
struct bd_machine_type {
    char label[BD_LABEL_BYTES];
    bool known; /* the cloud's list of machine types includes it */
    double cpus, gpus, mem_gb, cache_gb;
    double fetch_gb_per_s;    /* image download rate */
    double price, spot_price; /* per hour */
    double boot_s;
    uint32_t zones; /* bit set of the zones that offer it */
};

/* An image in a machine's cache, or being downloaded to it. */
struct bd_cached_image {
    int image;
    double gb;
    struct timespec available_at; /* expected end of the download, from the type's rate */
};

struct bd_machine {
    UT_hash_handle hh;
    char id[BD_LABEL_BYTES], addr[BD_LABEL_BYTES];
    uint32_t index;
    int type, zone; /* -1: not known yet */
    bool spot;
    bool in_inventory, failed; /* according to the cloud's list of machines */
    /* its newest heartbeat carries a fencing token of the leader's term */
    bool has_seen_term;
    /* terminated: scaled in, or missing from the cloud's inventory */
    bool terminated, scaling_in;

    /* from its newest heartbeat; expired_incarnation: the newest whose lease has expired */
    uint64_t incarnation, heartbeat_seq, expired_incarnation;
    /* the highest fencing token that the machine has seen */
    uint64_t fencing_token;
    /* for the decision log: whether a heartbeat was answered in this term, and whether one was
     * after the machine had seen the term */
    bool answered_in_term;
    bool answered_since_term_seen;
    /* the newest heartbeat received for a reply; one with a number up to it is a duplicate */
    uint64_t received_seq;
    /* the controller that received the newest heartbeat: a peer's index, or -1 for the leader */
    int heartbeat_peer;
    /* consecutive heartbeats that went to another controller although the one before was answered:
     * the reply seems to have been lost */
    uint32_t unreceived_replies;
    /* replies and commands seem not to reach the machine */
    bool outbound_partition;

    struct timespec age_reported_at, scale_in_allowed_at;
    /* after this time no task of the last incarnation runs */
    struct timespec lease_expires_at;
    /* heartbeats have arrived without a gap since then */
    struct timespec heartbeats_steady_since;
    /* last_contact_at: the newest heartbeat or reply to a direct command */
    struct timespec last_contact_at, first_seen_at, idle_since;
    /* no launch before this time: the machine refused one */
    struct timespec launch_backoff_until;
    /* the newest heartbeat; replies to direct commands do not count */
    struct timespec last_heartbeat_at;
    /* the machine's age at age_reported_at */
    double reported_age_s;
    /* seconds until the cloud terminates the machine; < 0: no notice */
    double termination_notice_s;

    /* a direct command awaits its answer; at most one does at a time */
    bool direct_in_flight;
    /* consecutive direct commands without an answer */
    uint32_t direct_failures;
    struct timespec next_direct_at;
    /* the highest fencing token of a direct launch without an answer; 0: none */
    uint64_t unanswered_launch_token;
    struct timespec direct_sent_at;

    struct bd_reservation *reservations; /* owned */
    uint32_t nreservations, reservations_cap;
    double reserved_cpus, reserved_gpus, reserved_mem_gb;
    /* the share of the reserved amounts that services and GPU tasks hold, which do not end by
     * themselves before long */
    double pinned_cpus, pinned_gpus, pinned_mem_gb;
    uint32_t removals_since_sum; /* of reservations, since their sums were last added up anew */

    int nimages;
    struct bd_cached_image images[BD_MACHINE_IMAGES_MAX]; /* most recently used first */
    struct timespec fetches_done_at; /* expected end of all its image downloads */

    /* consecutive task failures, as machine_health.c counts them: those of one job count once, but
     * each counts double if other tasks of the job run or are done */
    uint32_t consecutive_failures;
    struct bd_job *last_failed_job;
    /* a delegate's record named the machine at the last refresh */
    bool is_delegated;
    /* index of that record in core->delegates */
    int delegate_index;
    /* when it was last redirected to a controller of its own zone */
    struct timespec redirected_at;
    /* the last heartbeat came from the machine itself, not through another controller */
    bool heartbeat_was_direct;
    /* set by drain/ */
    bool cordoned;           /* no new work is placed on it */
    bool is_kept_for_drain;  /* not scaled in while idle */
    bool scale_in_for_drain; /* to be scaled in now */
    /* its tasks are being moved so that an expensive machine can be scaled in */
    bool consolidating;
    bool quarantined;
    /* kept idle for expected work */
    bool is_headroom;
};

struct bd_core;

/* Returns NULL if no machine has the index. */
struct bd_machine *bd_machine_by_index(struct bd_core *core, uint32_t index);
/* Finds a machine by id and adds it if it is new. Never NULL; aborts if out of memory. */
struct bd_machine *bd_machine_find_or_add(struct bd_core *core, const char *id);
/* The time by which a lease that was renewed at `renewed_at` has expired, with allowance for clock
 * drift. */
struct timespec bd_lease_expiry(const struct bd_core *core, struct timespec renewed_at);
/* Whether the machine's heartbeat is overdue: the machine hangs, or is trying to reach a
 * controller. A direct command to it would block a sender thread until the timeout. */
bool bd_machine_is_overdue(const struct bd_core *core, const struct bd_machine *machine);
/* Removes and frees all machines, as at the end of a term. */
void bd_machines_free(struct bd_core *core);
/* Whether new work may be placed on the machine. */
bool bd_machine_is_usable(const struct bd_core *core, const struct bd_machine *machine);

/* Whether the machine's cache holds the image, or the image is being downloaded. */
bool bd_machine_has_image(const struct bd_machine *machine, int image);
/* Seconds until the job's image would be available: 0 if it is cached; infinite if the machine's
 * type is not known. */
double bd_image_fetch_s(const struct bd_core *core, const struct bd_machine *machine,
                        const struct bd_spec *spec);
/* Records a use of the image, which becomes the most recently used. is_cached: a task ran from it,
 * so the download has ended; otherwise a new image is assumed to be downloaded from now on. */
void bd_machine_record_image_use(struct bd_core *core, struct bd_machine *machine,
                                 const struct bd_spec *spec, bool is_cached);
#endif
