/* The pure state machine: commands and the time go in, effects come out. No input or output, no
 * clock and no threads live here, so that scenarios can play any order of events. */
#ifndef BD_CORE_H
#define BD_CORE_H
#include "autoscaling/autoscaler.h"
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "jobs/dependency_graph.h"
#include "leadership/kv_limits.h"
#include "leadership/leadership.h"
#include "model/decision_log.h"
#include "model/effect.h"
#include "model/machine.h"
#include "wire/wire.h"
#include "workers/delegate.h"
#include "workers/forwarding.h"

struct bd_metrics;
struct bd_pending_read;
struct bd_drains;

struct bd_names {
    UT_hash_handle hh;
    int index;
    char name[BD_LABEL];
};

/* The jobs' records in memory. Owned by replica.c. */
struct bd_replica {
    uint64_t store_revision;
    bool ready;
    bool evicted; /* some old final records are not in memory any more */
    struct timespec next_evict;
    struct timespec refreshed_at; /* when the newest refresh that was answered was sent */
    struct bd_pending_read *waiting,
        *asked; /* questions that wait for a read barrier; for the one under way */
    bool barrier_out;
};

/* Another controller. */
struct bd_peer_view {
    struct timespec heard, kv_seen_at;
    uint64_t term;
    uint8_t flags;
    double status_sent_wall_s;              /* when it said so, by its time of day */
    double contact;                         /* as leader: its newest record, by its time of day */
    struct timespec maybe_autonomous_until; /* as leader: it may be standing by */
};

struct bd_core {
    const struct bd_settings *settings;
    const struct bd_log *log;
    struct bd_metrics *metrics; /* NULL: nothing is timed */
    struct timespec now;
    double wall;

    struct bd_job *jobs; /* hash by id */
    struct bd_machine *machines;
    struct bd_machine **by_index;
    uint32_t nmachines, cap_machines;
    struct bd_names *images, *classes;
    struct bd_type types[BD_MAX_TYPES];
    int ntypes;
    char zones[BD_MAX_ZONES][BD_LABEL];
    int nzones;
    bool types_known;
    double team_cpus[BD_MAX_TEAMS], team_gpus[BD_MAX_TEAMS]; /* in use, by team */

    struct bd_replica replica;
    struct bd_dependency_graph graph;
    struct bd_kv_limits kv_limits;
    struct bd_peer_view peers[BD_MAX_PEERS]; /* in the settings' order */
    struct timespec confirmed; /* when our own last liveness record that was written was sent, */
    struct timespec liveness_sent; /* ... and the last one that may have been */
    struct bd_delegate delegate;   /* as follower: what we answer for the leader */
    struct bd_delegate_view delegates;
    struct bd_forwarding forwarding;
    struct bd_decision_log decision_log;
    enum bd_role role;
    char leader_name[BD_LABEL];
    uint64_t leader_term, last_term; /* 0 while nobody leads; the last that was not 0 */
    struct timespec leader_seen;
    struct bd_leadership lead;
    struct bd_cloud_view cloud;
    struct bd_drains *drains; /* NULL: draining is off */

    struct bd_effect *first, *last;
};

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log);
void bd_core_free(struct bd_core *core);
/* where the numbers begin that other controllers send back to us: not where our last process's did
 */
void bd_core_seed(struct bd_core *core, uint64_t seed);
struct bd_effect *bd_core_take_effects(struct bd_core *core); /* takes the list */
void bd_effect_free(struct bd_effect *effect);
void bd_core_set_clock(struct bd_core *core, struct timespec now, double wall);

/* users */
void bd_user_submit(struct bd_core *core, void *request, const char *body, size_t len);
void bd_user_status(struct bd_core *core, void *request, const char *id);
void bd_user_cancel(struct bd_core *core, void *request, const char *id);
/* status 200 with the revision, 409, or 0 and others: not known */
/* how: as the effect's status said */
void bd_user_txn_completed(struct bd_core *core, void *request, const char *id, const char *body,
                           int purpose, long status, uint64_t store_revision);
/* replica */
void bd_replica_apply(struct bd_core *core, const struct bd_change *ch);
void bd_replica_refreshed(struct bd_core *core, uint64_t after, uint64_t store_revision,
                          struct timespec sent, bool barrier, bool ok);
/* keeps only the newer of the final records when there are many */
void bd_replica_evict(struct bd_core *core);
/* status 200 with the record, 404, or others: not known */
void bd_replica_lookup_completed(struct bd_core *core, void *request, const char *id, int purpose,
                                 long status, const struct bd_change *ch);
void bd_replica_listed(struct bd_core *core, uint64_t store_revision, struct timespec sent);
/* leadership */
/* dismissed: the leader's key says that it hears the workers that we answer for it */
void bd_leadership_leader_observed(struct bd_core *core, const char *name, uint64_t revision,
                                   struct timespec sent, bool dismissed);
void bd_leadership_acquired(struct bd_core *core, const struct bd_acquisition *g);
void bd_leadership_renewed(struct bd_core *core, uint64_t grant, struct timespec sent);
void bd_leadership_lost(struct bd_core *core);
/* a commit was answered that the rate is used up */
void bd_kv_rate_exceeded(struct bd_core *core);
/* the fate of the leader's transaction, which is known */
void bd_leader_txn_completed(struct bd_core *core, enum bd_txn_outcome outcome,
                             uint64_t store_revision, json_t *failed);
/* the other controllers */
/* heard: when its frame arrived, which may be some time before the frame is handled */
void bd_peer_status_received(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                             double kv_age_s, double status_sent_wall_s, struct timespec heard);
/* our own record of being in touch is about to be sent; it was written */
void bd_liveness_sent(struct bd_core *core, struct timespec sent);
void bd_liveness_written(struct bd_core *core, struct timespec sent);
/* we have not been in touch for so long that we may stand by */
bool bd_autonomous_zone_active(const struct bd_core *core);
/* Another controller says that the job's cancellation was confirmed: until the record shows it, the
 * news stops the job's tasks and starts none. No rule rests on it. */
void bd_job_cancellation_received(struct bd_core *core, const char *id);
void bd_peer_progress_received(struct bd_core *core, const char *id, uint32_t done,
                               uint32_t running);
/* a leader's look at the delegates' records; a follower's own record was written */
void bd_delegate_records_read(struct bd_core *core, json_t *pairs, struct timespec sent);
void bd_delegate_txn_completed(struct bd_core *core, long status, uint64_t store_revision,
                               struct timespec sent, bool revision_known);
bool bd_leadership_healthy(const struct bd_core *core);
bool bd_forward_hears_leader(const struct bd_core *core);
/* workers */
/* body: the report as it came, passed on if the leader is elsewhere */
void bd_worker_heartbeat_received(struct bd_core *core, void *request,
                                  const struct bd_heartbeat *heartbeat, const char *body,
                                  size_t len);
/* a report that another controller passed on to us, and the answer to one that we passed on */
void bd_worker_heartbeat_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                                   const struct bd_heartbeat *heartbeat, const char *body,
                                   size_t len);
void bd_forward_reply_received(struct bd_core *core, uint64_t id, int status, const char *body,
                               size_t len);
void bd_worker_direct_command_completed(struct bd_core *core, uint32_t machine,
                                        uint64_t fencing_token, bool launch, long status,
                                        const struct bd_heartbeat *heartbeat);
/* cloud */
void bd_inventory_types(struct bd_core *core, const struct bd_type_text *t, int n);
void bd_inventory_machines(struct bd_core *core, const struct bd_cloud_machine *l, size_t n,
                           struct timespec asked);
void bd_scale_out_completed(struct bd_core *core, const char *request, long status,
                            char (*names)[BD_LABEL], int n);
void bd_scale_in_completed(struct bd_core *core, char (*names)[BD_LABEL], int n, bool ok);
void bd_core_tick(struct bd_core *core);
/* ranks and due times, if what waits for what has changed */
void bd_dag_update_priorities(struct bd_core *core);
struct timespec bd_core_next(const struct bd_core *core);
bool bd_leadership_may_reply(const struct bd_core *core);
bool bd_leadership_lease_valid(const struct bd_core *core);
#endif
