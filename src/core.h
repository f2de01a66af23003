/* The pure state machine: commands and the time go in, effects come out. No input or output, no
 * clock and no threads live here, so that scenarios can play any order of events. */
#ifndef BD_CORE_H
#define BD_CORE_H
#include "brambledoor/settings.h"
#include "wire.h"
#include <stdint.h>
#include <time.h>
#include <uthash.h>

#define BD_NO_MACHINE UINT32_MAX
#define BD_PROVISIONS 64 /* requests to the cloud that are not settled; no more are made */
#define BD_IMAGES 40     /* that a machine is known to have; older ones are fetched again */
#define BD_PROBES 64
#define BD_SENT_AWAY 8192
#define BD_DELEGATE_PARTS 6 /* of a delegate's record, a value each */

enum bd_task_state {
    BD_T_WAIT,    /* on no machine; may be placed */
    BD_T_PLAN,    /* placed; its intent is not known to be committed: nothing was sent */
    BD_T_LAUNCH,  /* intent committed; the launch is repeated until a report shows it */
    BD_T_LIVE,    /* a report showed it */
    BD_T_UNKNOWN, /* an earlier term's intent without a report: its room stays held */
    BD_T_DONE
};

enum {
    BD_F_STOP = 1,    /* is to be halted */
    BD_F_DO = 2,      /* a direct launch has no answer yet: it may still run late */
    BD_F_RECEIPT = 4, /* the receipt is committed */
    BD_F_EXITED = 8,  /* exited, but held until the late launch is excluded */
    BD_F_SENT = 16,   /* a launch was sent in any form */
    BD_F_FORCE = 32,  /* halt without grace */
    BD_F_TOLD = 64,   /* launched in the answer to the newest check-in: it may still be under way */
    BD_F_SHOWN = 128  /* in the report being read */
};

struct bd_task {
    uint64_t attempt;
    uint32_t machine;
    uint8_t state, sub, flags;
    uint32_t begun; /* tenths of a second of the steady clock; 0: not seen to begin */
};

struct bd_spec {
    int job_class, team, image, zone; /* zone -1: any */
    uint32_t types;                   /* bits of allowed types, all set for any */
    bool any_type;
    enum bd_shape shape;
    enum bd_rank rank;
    double cpus, gpus, mem, image_gb, estimate, checkpoint, save, due;
    bool together, scatter, spot;
};

struct bd_job {
    UT_hash_handle hh;
    char id[BD_ID];
    uint64_t revision;
    enum bd_job_state state;
    bool stale; /* a transaction saw another revision; wait for the change itself */
    bool dirty; /* has receipts to commit */
    uint32_t ntasks, ndone, nwait, nlive, nrun, shown_done, shown_run;
    uint64_t receipt_chunks; /* bits of chunks committed */
    uint32_t dirty_chunks;
    double at;
    struct timespec next_force;    /* when something may be stopped for it again */
    struct timespec backoff_until; /* nothing is written of it before: see limits.c */
    struct timespec hold_until, last_placed, last_begun;
    uint32_t restarts;            /* tasks that lost a place they had */
    struct timespec cancel_heard; /* when another controller said that it is cancelled */
    bool started;                 /* some start of it was committed in this term */
    uint32_t errors;
    uint32_t runs, longest_run; /* finished tasks seen from begin to end, and tenths of a second */
    struct bd_spec spec;
    bool has_spec, in_guarantee, pinned;
    /* what it waits for, see dependencies.c */
    struct bd_dependency *dependencies;
    uint32_t ndependencies, open;         /* it is ready when none is open */
    struct bd_prerequisite *prerequisite; /* who waits for it */
    uint32_t parts; /* of its needs, some of which have not been seen; 0: complete */
    char parts_of[BD_HASH];
    bool chained;      /* it waits, or waited, for others: its due time is minded */
    bool derived;      /* cancelled because a job before it is: its record does not say so yet */
    double ready, end; /* by the time of day: when it could begin; when it was done */
    enum bd_rank rank; /* the highest among it and all that need it */
    double due_by;     /* when it must be done for all of them to be in time; infinite: no matter */
    struct bd_job *todo;
    int job_class;         /* -1: not known */
    json_t *record_spec;   /* the record's own text of the job, kept for rewriting */
    struct bd_task *tasks; /* only while leading */
};

/* A job that others wait for; it is live, or its record has not been seen. */
struct bd_prerequisite {
    UT_hash_handle hh;
    char id[BD_ID];
    struct bd_job *job;          /* NULL: not seen */
    struct bd_dependency *after; /* those that wait for it */
    uint32_t nafter, left;       /* left: while ranks are worked out */
    struct timespec asked_at;    /* a refresh at its record */
};

struct bd_dependency {
    struct bd_prerequisite *prerequisite; /* NULL: it is done */
    struct bd_job *job;                   /* which waits */
    struct bd_dependency *prev, *next;
};

struct bd_prerequisites_part { /* names of what a job waits for, from a record of their own */
    UT_hash_handle hh;
    char key[BD_LABEL];
    json_t *names;
};

/* A submission that waits until it is known what the jobs are that it names. */
struct bd_admission {
    void *request;
    char id[BD_ID];
    struct bd_record record;
    json_t *prerequisites;
    uint32_t lookups;
    struct bd_admission *next;
};

struct bd_ref {
    struct bd_job *job;
    uint32_t task;
};

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
    bool spot, listed_now, failed, fenced, gone, returning;
    uint64_t session, seq, lapsed_session;
    uint64_t asked_seq; /* of its newest check-in: what is not newer is a copy */
    int via;            /* the controller that the check-in came to: a peer's number, or -1 */
    uint32_t misrouted; /* times in a row that it went elsewhere although it was answered */
    bool outbound_cut;  /* seems not to hear what it is told */
    struct timespec age_known, return_after;
    struct timespec lapse_at; /* from here on nothing of the last session runs */
    struct timespec steady;   /* since then it has been heard without a gap */
    struct timespec heard, known_at, idle_since, refuse_until;
    struct timespec asked; /* its newest check-in: a direct answer is heard, but renews nothing */
    double age_at_known;
    double notice_left; /* < 0: none */
    bool do_busy;       /* one direct command at a time */
    uint32_t do_fails;  /* without an answer, in a row */
    struct timespec do_after;
    uint64_t late_token; /* highest token of a direct launch without an answer, 0: none */
    struct timespec do_since;
    struct bd_ref *refs;
    uint32_t nrefs, cap;
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
    bool drain;                 /* being emptied, so that a dear machine is free again */
    bool bad, spare;            /* spare: kept for work that is expected */
};

struct bd_intent {
    struct bd_job *job;
    uint32_t task, machine;
    uint64_t attempt;
};

struct bd_round { /* one intent record in the state service */
    char key[BD_LABEL];
    struct bd_intent *e;
    uint32_t n;
};

struct bd_provision { /* one request to the cloud, from its first sending to its machines' listing
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

/* What a request is to the core: the API server's own, or one that another controller passed on.
 * Both begin alike, so that a reply finds its way. */
struct bd_remote {
    bool remote;
    int peer;
    uint64_t id;
};

enum bd_effect_kind {
    BD_E_REPLY,
    BD_E_USER_COMMIT,
    BD_E_COMMIT,
    BD_E_DO,
    BD_E_PROVISION,
    BD_E_RETURN,
    BD_E_BARRIER,
    BD_E_LOST, /* the term is over; status: BD_LOST_... */
    BD_E_DELEGATE,
    BD_E_LOOKUP,   /* one job's record: request, key is the id, status is how it was asked */
    BD_E_FORWARD,  /* a report to the leader */
    BD_E_ANSWER,   /* the answer to a forwarded one */
    BD_E_CANCELLED /* a cancellation was confirmed: key is the job's id */
};

enum { BD_LOST_TAKEN, BD_LOST_GIVEN_UP }; /* given up: the grant still lives and is to be ended */

struct bd_effect {
    enum bd_effect_kind kind;
    void *request;   /* REPLY, USER_COMMIT */
    int status;      /* REPLY; USER_COMMIT, LOOKUP: how it was asked */
    int retry_after; /* REPLY: 0 none */
    char key[BD_LABEL];
    char *body;
    char addr[BD_LABEL]; /* DO */
    uint64_t token;      /* DO */
    uint32_t machine;    /* DO */
    bool launch;         /* DO: launches are among the commands */
    uint64_t sequence;   /* COMMIT; key is the term */
    uint64_t forward_id; /* FORWARD, ANSWER */
    int peer;            /* FORWARD, ANSWER: to whom */
    struct bd_effect *next;
};

enum bd_role { BD_FOLLOWER, BD_LEADER };

struct bd_names {
    UT_hash_handle hh;
    int index;
    char name[BD_LABEL];
};

struct bd_commit;

struct bd_limits { /* the state service's, as its answers have shown them so far */
    size_t value_bytes, txn_ops;
    double write_rps;
    struct timespec busy_at, raised_at;
    struct timespec refused_at, grown_at; /* the newest 400, and the last step up again */
    double grow_after;                    /* seconds without a 400 before a step */
};

struct bd_metrics;

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

    /* replica */
    uint64_t store_revision;
    bool replica_ready;
    bool evicted; /* some old final records are not in memory any more */
    struct timespec next_evict;
    struct timespec
        refreshed_at; /* when the newest answered refresh at the state service was sent */
    struct bd_wait *waiting, *asked;
    struct bd_admission *accepting; /* submissions while a record that left memory is looked up */
    struct bd_prerequisite *prerequisites; /* hash by id */
    struct bd_prerequisites_part
        *parts;                 /* hash by key: of jobs whose own record has not been seen */
    bool weigh;                 /* ranks and due times are to be worked out anew */
    uint32_t nderived, nunseen; /* jobs cancelled by derivation; needs not seen */
    struct timespec next_unseen;
    bool barrier_out;

    /* the other controllers, in the settings' order */
    struct {
        struct timespec heard, state_seen;
        uint64_t term;
        uint8_t flags;
        double said_at;                /* when it said so, by its time of day */
        double contact;                /* as leader: its newest record, by its time of day */
        struct timespec suspect_until; /* as leader: it may be standing by */
    } peers[BD_MAX_PEERS];
    struct timespec confirmed;     /* when our own last such record that was written was sent, */
    struct timespec liveness_sent; /* ... and the last one that may have been */

    /* a follower that answers for a leader its workers cannot reach */
    struct bd_delegate {
        uint64_t term, revision; /* the token of the answers; our record's revision */
        uint64_t leader; /* the revision of the leader's key that the record is conditional on */
        bool revision_known, busy, dismissed;
        struct timespec confirmed_until, next_confirm;
        struct bd_served {
            char id[BD_LABEL];
            struct timespec heard;
            bool confirmed, sent;
        } * served;
        uint32_t nserved, cap_served, parts; /* parts of the record that were ever written */
        struct bd_wait_checkin *asking;
        /* workers sent to the leader, to see whether it can be reached */
        char probes[BD_PROBES][BD_LABEL];
        uint32_t nprobes, batch;
        struct timespec probes_at, since;
    } delegate;
    uint64_t leader_term, last_term; /* 0 while nobody leads; the last that was not 0 */
    struct timespec leader_seen;
    /* reports of our zone's workers on their way to the leader */
    struct bd_forward {
        uint64_t id;
        void *request;
        struct bd_report *report;
        struct timespec until;
        struct bd_forward *next;
    } * forwards;
    uint64_t forward_n;
    struct bd_away { /* a worker that we sent to the leader; beyond BD_SENT_AWAY the oldest go */
        UT_hash_handle hh;
        char id[BD_LABEL];
        struct timespec at;
        bool back; /* it came back: its reports are passed on */
    } * sent_away;
    struct timespec
        inbound_cut_until;  /* the leader's workers are better passed on than sent to it */
    bool inbound_cut;       /* as leader: most workers are silent */
    bool outbound_cut_many; /* as leader: so many seem not to hear us that it is rather us */
    /* as leader: delegates' records as last looked at */
    struct timespec delegates_read;
    char stale_delegate[BD_LABEL];
    struct bd_delegate_seen {
        char key[BD_LABEL]; /* the record's, without its prefix: the node, a slash and the part */
        uint64_t revision;
        struct timespec changed;
        struct timespec dismissed; /* when one of its workers was heard here */
    } delegates[(BD_MAX_PEERS + 1) * BD_DELEGATE_PARTS];
    int ndelegates;

    /* leadership */
    enum bd_role role;
    char leader_name[BD_LABEL];
    uint64_t base_term, term, grant;
    char nonce[BD_LABEL];
    uint64_t counter;        /* attempts */
    uint64_t fenced_attempt; /* up to here all direct launches carried a lower token than ours */
    uint32_t withheld;       /* forgets that wait for a higher token, since it last rose */
    struct timespec withheld_at; /* the first of them */
    struct timespec valid_until, renewed;
    struct timespec others_lapse; /* sessions renewed by earlier terms are over by then */
    bool listed_once;
    uint64_t sequence_revision, sequence, round_n, request_n;
    struct bd_commit *commit;
    struct bd_round *rounds;
    uint32_t nrounds, cap_rounds;
    struct timespec next_round, next_fleet, next_gc, next_tick, last_token_raise, next_summary;
    bool want_token_raise, round_wanted;
    double write_tokens;
    struct bd_limits limits;
    bool classes_said; /* that there are more than spare room is kept for */
    struct timespec token_at;

    /* teams */
    double team_cpus[BD_MAX_TEAMS], team_gpus[BD_MAX_TEAMS];

    /* cloud */
    double moves_s; /* that replicas may be away for moves, */
    struct timespec moves_at;
    struct bd_provision provisions[BD_PROVISIONS];
    int nprovisions;
    bool gpu_waiting;                           /* some live job's GPU tasks have no place */
    struct bd_spec gpu_wanted[BD_MAX_TYPES][2]; /* by type and spot: a live job's GPU task */
    struct { /* by zone: direct commands without an answer, in a row */
        uint32_t fails;
        struct timespec until;
    } direct[BD_MAX_ZONES];
    struct bd_pool pools[BD_MAX_TYPES][BD_MAX_ZONES][2];

    struct bd_effect *first, *last;
};

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log);
void bd_core_free(struct bd_core *core);
/* where the numbers begin that other controllers send back to us: not where our last process's did
 */
void bd_core_seed(struct bd_core *core, uint64_t seed);
struct bd_effect *bd_core_effects(struct bd_core *core); /* takes the list */
void bd_effect_free(struct bd_effect *effect);
void bd_core_time(struct bd_core *core, struct timespec now, double wall);

/* users */
void bd_core_submit(struct bd_core *core, void *request, const char *body, size_t len);
void bd_core_get(struct bd_core *core, void *request, const char *id);
void bd_core_cancel(struct bd_core *core, void *request, const char *id);
/* status 200 with the revision, 409, or 0 and others: not known */
/* how: as the effect's status said */
void bd_core_user_committed(struct bd_core *core, void *request, const char *id, const char *body,
                            int how, long status, uint64_t store_revision);
/* replica */
void bd_core_change(struct bd_core *core, const struct bd_change *ch);
void bd_core_followed(struct bd_core *core, uint64_t after, uint64_t store_revision,
                      struct timespec sent, bool barrier, bool ok);
/* keeps only the newer of the final records when there are many */
void bd_core_evict(struct bd_core *core);
/* status 200 with the record, 404, or others: not known */
void bd_core_looked_up(struct bd_core *core, void *request, const char *id, int how, long status,
                       const struct bd_change *ch);
void bd_core_relisted(struct bd_core *core, uint64_t store_revision, struct timespec sent);
/* leadership */
struct bd_gain {
    uint64_t term, grant, sequence_revision, sequence;
    const char *nonce;
    struct timespec renewed; /* when the request that made the grant was sent */
    bool clean;              /* taken over without waiting for the old grant's end */
    json_t *receipts;        /* arrays of pairs */
    json_t *intents;
};
/* dismissed: the leader's key says that it hears the workers that we answer for it */
void bd_core_leader_is(struct bd_core *core, const char *name, uint64_t revision,
                       struct timespec sent, bool dismissed);
void bd_core_gained(struct bd_core *core, const struct bd_gain *g);
void bd_core_renewed(struct bd_core *core, uint64_t grant, struct timespec sent);
void bd_core_lost(struct bd_core *core);
/* a commit was answered that the rate is used up */
void bd_core_busy(struct bd_core *core);
enum bd_outcome {
    BD_COMMIT_APPLIED,
    BD_COMMIT_REFUSED,   /* a condition failed: `failed` lists the keys */
    BD_COMMIT_MALFORMED, /* not applied, and to be decided anew in smaller pieces */
    BD_COMMIT_DEPOSED,   /* leadership is gone */
    BD_COMMIT_UNKNOWN    /* to be sent again */
};
/* the fate of the leader's transaction, which is known */
void bd_core_committed(struct bd_core *core, enum bd_outcome outcome, uint64_t store_revision,
                       json_t *failed);
/* the other controllers */
/* heard: when its frame arrived, which may be some time before the frame is handled */
void bd_core_peer(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                  double state_age, double said_at, struct timespec heard);
/* our own record of being in touch is about to be sent; it was written */
void bd_core_liveness_sent(struct bd_core *core, struct timespec sent);
void bd_core_liveness_written(struct bd_core *core, struct timespec sent);
/* we have not been in touch for so long that we may stand by */
bool bd_core_cut(const struct bd_core *core);
/* Another controller says that the job's cancellation was confirmed: until the record shows it, the
 * news stops the job's tasks and starts none. No rule rests on it. */
void bd_core_cancelled_elsewhere(struct bd_core *core, const char *id);
void bd_core_progress(struct bd_core *core, const char *id, uint32_t done, uint32_t running);
/* a leader's look at the delegates' records; a follower's own record was written */
void bd_core_delegates(struct bd_core *core, json_t *pairs, struct timespec sent);
void bd_core_delegate_committed(struct bd_core *core, long status, uint64_t store_revision,
                                struct timespec sent, bool revision_known);
bool bd_core_up(const struct bd_core *core);
bool bd_core_hears_leader(const struct bd_core *core);
/* workers */
/* body: the report as it came, passed on if the leader is elsewhere */
void bd_core_checkin(struct bd_core *core, void *request, const struct bd_report *report,
                     const char *body, size_t len);
/* a report that another controller passed on to us, and the answer to one that we passed on */
void bd_core_forwarded(struct bd_core *core, const char *peer, uint64_t id,
                       const struct bd_report *report, const char *body, size_t len);
void bd_core_answered(struct bd_core *core, uint64_t id, int status, const char *body, size_t len);
void bd_core_did(struct bd_core *core, uint32_t machine, uint64_t token, bool launch, long status,
                 const struct bd_report *report);
/* cloud */
void bd_core_types(struct bd_core *core, const struct bd_type_text *t, int n);
void bd_core_machines(struct bd_core *core, const struct bd_cloud_machine *l, size_t n,
                      struct timespec asked);
void bd_core_provisioned(struct bd_core *core, const char *request, long status,
                         char (*names)[BD_LABEL], int n);
void bd_core_returned(struct bd_core *core, char (*names)[BD_LABEL], int n, bool ok);
void bd_core_tick(struct bd_core *core);
/* ranks and due times, if what waits for what has changed */
void bd_core_weigh(struct bd_core *core);
struct timespec bd_core_next(const struct bd_core *core);
bool bd_core_may_answer(const struct bd_core *core);
bool bd_core_valid(const struct bd_core *core);
#endif
