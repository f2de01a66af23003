/* The state of one controller's core, made of the parts' states. Used by the owner thread only, so
 * that nothing in it is locked.
 *
 * Each part is changed by the functions of the folder that its header names, and read by all. */
#ifndef BD_CORE_STATE_H
#define BD_CORE_STATE_H
#include "brambledoor/log.h"
#include "brambledoor/settings.h"
#include "model/autoscaling_state.h"
#include "model/catalog.h"
#include "model/decision_log.h"
#include "model/delegate_state.h"
#include "model/dependency_state.h"
#include "model/effect.h"
#include "model/forwarding_state.h"
#include "model/kv_limits_state.h"
#include "model/leadership_state.h"
#include "model/machine.h"
#include "model/peer_state.h"
#include "model/replica_state.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

struct bd_drains;
struct bd_ledger;
struct bd_metrics;

struct bd_core {
    const struct bd_settings *settings;
    const struct bd_log *log;
    struct bd_metrics *metrics; /* NULL: nothing is measured */
    struct timespec now;        /* steady clock at this step */
    double wall_s;              /* time of day at this step, in seconds */

    struct bd_job *jobs;                   /* owned; hash by id */
    struct bd_machine *machines;           /* owned; hash by id */
    struct bd_machine **machines_by_index; /* the same, by index */
    uint32_t nmachines, cap_machines;
    struct bd_name_entry *images, *classes;
    struct bd_machine_type types[BD_TYPES_MAX];
    int ntypes;
    char zones[BD_ZONES_MAX][BD_LABEL_BYTES];
    int nzones;
    bool types_known;                                        /* the cloud has described them */
    double team_cpus[BD_TEAMS_MAX], team_gpus[BD_TEAMS_MAX]; /* reserved, by team */

    struct bd_replica replica;
    struct bd_dependency_graph graph;
    struct bd_kv_limits kv_limits;
    struct bd_peer_view peers[BD_PEERS_MAX]; /* in the settings' order */
    struct timespec liveness_confirmed_at; /* when our newest committed liveness record was sent */
    struct timespec liveness_sent_at;      /* ... and the newest that may have been committed */
    struct bd_delegate delegate;           /* as follower: what we renew for the leader */
    struct bd_delegate_view delegates;
    struct bd_forwarding forwarding;
    struct bd_decision_log decision_log;
    enum bd_role role;
    char leader_name[BD_LABEL_BYTES];
    uint64_t leader_term; /* 0: no leader */
    uint64_t last_term;   /* the last leader_term that was not 0 */
    struct timespec leader_seen_at;
    struct bd_leadership lead;
    struct bd_cloud_view cloud;
    struct bd_ledger *ledger; /* NULL: draining is off */
    struct bd_drains *drains; /* NULL: draining is off */

    struct bd_effect *first_effect,
        *last_effect; /* owned: effects that were emitted, see effect.h */
};
#endif
