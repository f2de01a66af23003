/* The state of one controller's core, composed of the states of its parts. Only the owner thread
 * uses it, so nothing in it is locked.
 *
 * Each part is changed only by the folder that the part's header names. All folders may read it. */
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
    struct bd_metrics *metrics; /* NULL: metrics are off */
    struct timespec now;        /* monotonic clock at this step */
    double wall_s;              /* time of day at this step, in seconds */

    struct bd_job *jobs;                   /* owned; hash by id */
    struct bd_machine *machines;           /* owned; hash by id */
    struct bd_machine **machines_by_index; /* owned array */
    uint32_t nmachines, machines_cap;
    struct bd_name_entry *images, *classes;
    struct bd_machine_type types[BD_TYPES_MAX];
    int ntypes;
    char zones[BD_ZONES_MAX][BD_LABEL_BYTES];
    int nzones;
    bool types_known; /* the cloud's list of types has been read */
    double team_cpus[BD_TEAMS_MAX], team_gpus[BD_TEAMS_MAX]; /* reserved by each team */

    struct bd_replica replica;
    struct bd_dependency_graph graph;
    struct bd_kv_limits kv_limits;
    struct bd_peer_view peers[BD_PEERS_MAX]; /* in the settings' order */
    /* when this controller sent the newest of its liveness records that was certainly committed */
    struct timespec liveness_confirmed_at;
    /* when it sent the newest one, which may have been committed */
    struct timespec liveness_sent_at;
    struct bd_delegate delegate;       /* used as follower */
    struct bd_delegate_view delegates; /* used as leader */
    struct bd_forwarding forwarding;
    struct bd_decision_log decision_log;
    enum bd_role role;
    char leader_name[BD_LABEL_BYTES]; /* empty: no leader is known */
    uint64_t leader_term;             /* 0: no leader */
    uint64_t last_term;               /* the last leader_term that was not 0 */
    struct timespec leader_read_sent_at;
    struct bd_leadership lead;
    struct bd_cloud_view cloud;
    struct bd_ledger *ledger; /* NULL: draining is off */
    struct bd_drains *drains; /* NULL: draining is off */

    /* owned list of the effects that were emitted and not yet taken; see effect.h */
    struct bd_effect *first_effect, *last_effect;
};
#endif
