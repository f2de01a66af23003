/* Users' requests, the replica of job records, and names. */
#include "brambledoor/frame.h"
#include "core_internal.h"
#include <math.h>
#include <stdio.h>

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log)
{
    struct bd_core *core = calloc(1, sizeof *core);
    if (!core)
        return NULL;
    core->settings = settings;
    core->log = log;
    bd_limits_init(core);
    for (int i = 0; i < settings->nzones; i++)
        (void)bd_zone_index(core, settings->zones[i]);
    return core;
}

void bd_core_seed(struct bd_core *core, uint64_t seed)
{
    core->forward_n = seed;
}

static void free_names(struct bd_names **t)
{
    struct bd_names *n, *tmp;
    HASH_ITER(hh, *t, n, tmp)
    {
        HASH_DEL(*t, n);
        free(n);
    }
}

static void free_waits(struct bd_wait **list)
{
    while (*list) {
        struct bd_wait *w = *list;
        *list = w->next;
        bd_admission_drop(w->accept);
        free(w);
    }
}

static void free_rounds(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->nrounds; i++)
        free(core->rounds[i].e);
    free(core->rounds);
    core->rounds = NULL;
    core->nrounds = core->cap_rounds = 0;
}

void bd_commit_free(struct bd_commit *commit)
{
    if (!commit)
        return;
    free(commit->plan);
    free(commit->receipts);
    free(commit);
}

void bd_core_free(struct bd_core *core)
{
    if (!core)
        return;
    struct bd_job *job, *jt;
    struct bd_machine *machine, *mt;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        HASH_DEL(core->jobs, job);
        json_decref(job->record_spec);
        free(job->dependencies);
        free(job->tasks);
        free(job);
    }
    HASH_ITER(hh, core->machines, machine, mt)
    {
        HASH_DEL(core->machines, machine);
        free(machine->refs);
        free(machine);
    }
    free(core->by_index);
    free_names(&core->images);
    free_names(&core->classes);
    free_waits(&core->waiting);
    free_waits(&core->asked);
    bd_admission_end(core);
    bd_deps_free(core);
    free_rounds(core);
    bd_commit_free(core->commit);
    core->last_term = 0; /* nobody waits for a better answer any more */
    bd_delegate_end(core);
    while (core->forwards) {
        struct bd_forward *forward = core->forwards;
        core->forwards = forward->next;
        bd_report_free(forward->report);
        if (forward->request && ((struct bd_remote *)forward->request)->remote)
            free(forward->request); /* the core's own: see bd_core_forwarded */
        free(forward);
    }
    free(core->delegate.served);
    bd_forward_end(core);
    struct bd_effect *effect = bd_core_effects(core);
    while (effect) {
        struct bd_effect *next = effect->next;
        bd_effect_free(effect);
        effect = next;
    }
    free(core);
}

struct bd_effect *bd_emit(struct bd_core *core, enum bd_effect_kind kind)
{
    struct bd_effect *e = calloc(1, sizeof *e);
    if (!e)
        abort(); /* out of memory: the supervisor restarts us, the state service has it all */
    e->kind = kind;
    if (core->last)
        core->last->next = e;
    else
        core->first = e;
    core->last = e;
    return e;
}

void bd_reply(struct bd_core *core, void *request, int status, char *body, int retry_after)
{
    struct bd_remote *q = request;
    bool remote = q && q->remote;
    struct bd_effect *effect = bd_emit(core, remote ? BD_E_ANSWER : BD_E_REPLY);
    effect->request = remote ? NULL : request;
    if (remote) {
        effect->machine = (uint32_t)q->peer;
        effect->token = q->id;
        free(q);
    }
    effect->status = status;
    effect->body = body;
    effect->retry_after = retry_after;
}

void bd_refuse(struct bd_core *core, void *request, int status, const char *why, int retry_after)
{
    char buf[160];
    snprintf(buf, sizeof buf, "{\"error\":\"%s\"}", why);
    bd_reply(core, request, status, strdup(buf), retry_after);
}

struct bd_effect *bd_core_effects(struct bd_core *core)
{
    struct bd_effect *effect = core->first;
    core->first = core->last = NULL;
    return effect;
}

void bd_effect_free(struct bd_effect *effect)
{
    free(effect->body);
    free(effect);
}

void bd_core_time(struct bd_core *core, struct timespec now, double wall)
{
    core->now = now;
    core->wall = wall;
}

int bd_intern(struct bd_names **table, const char *name)
{
    struct bd_names *n = NULL;
    HASH_FIND_STR(*table, name, n);
    if (n)
        return n->index;
    n = calloc(1, sizeof *n);
    if (!n)
        abort();
    snprintf(n->name, sizeof n->name, "%s", name);
    n->index = (int)HASH_COUNT(*table);
    HASH_ADD_STR(*table, name, n);
    return n->index;
}

int bd_type_index(struct bd_core *core, const char *label)
{
    for (int i = 0; i < core->ntypes; i++)
        if (strcmp(core->types[i].label, label) == 0)
            return i;
    if (core->ntypes == BD_MAX_TYPES)
        return -1;
    snprintf(core->types[core->ntypes].label, BD_LABEL, "%s", label);
    return core->ntypes++;
}

int bd_zone_find(const struct bd_core *core, const char *name)
{
    for (int i = 0; i < core->nzones; i++)
        if (strcmp(core->zones[i], name) == 0)
            return i;
    return -1;
}

int bd_zone_index(struct bd_core *core, const char *name)
{
    int known = bd_zone_find(core, name);
    if (known >= 0)
        return known;
    if (core->nzones == BD_MAX_ZONES)
        return -1;
    snprintf(core->zones[core->nzones], BD_LABEL, "%s", name);
    return core->nzones++;
}

int bd_team_index(const struct bd_core *core, const char *name)
{
    for (int i = 0; i < core->settings->nteams; i++)
        if (strcmp(core->settings->teams[i].name, name) == 0)
            return i;
    return -1;
}

struct bd_job *bd_job_find(struct bd_core *core, const char *id)
{
    struct bd_job *job = NULL;
    HASH_FIND_STR(core->jobs, id, job);
    return job;
}

void bd_spec_resolve(struct bd_core *core, const struct bd_spec_text *t, struct bd_spec *s)
{
    memset(s, 0, sizeof *s);
    s->job_class = bd_intern(&core->classes, t->job_class);
    s->team = bd_team_index(core, t->team);
    s->image = bd_intern(&core->images, t->image);
    s->zone = *t->zone ? bd_zone_index(core, t->zone) : -1;
    bool nowhere = *t->zone && s->zone < 0; /* a zone too many must not mean any zone */
    s->any_type = t->ntypes < 0 && !nowhere;
    for (int i = 0; i < t->ntypes && !nowhere; i++) {
        int k = bd_type_index(core, t->types[i]);
        if (k >= 0)
            s->types |= 1u << k;
    }
    s->shape = t->shape;
    s->rank = t->rank;
    s->cpus = t->cpus;
    s->gpus = t->gpus;
    s->mem = t->mem;
    s->image_gb = t->image_gb;
    s->estimate = t->estimate;
    s->checkpoint = t->checkpoint;
    s->save = t->save;
    s->due = t->due;
    s->together = t->together;
    s->scatter = t->scatter;
    s->spot = t->spot;
}

/* ---- users ---- */

void bd_answer_state(struct bd_core *core, void *request, const struct bd_job *job)
{
    const char *state = "pending";
    uint32_t done = job->ndone, run = job->nrun;
    if (core->role != BD_LEADER) {
        done = job->shown_done;
        run = job->shown_run;
    }
    if (job->state == BD_CANCELLED)
        state = "cancelled";
    else if (job->state == BD_DONE)
        state = "done";
    else if (run > 0)
        state = "running";
    if (job->state != BD_LIVE)
        run = 0;
    if (job->state == BD_DONE)
        done = job->ntasks;
    bd_reply(core, request, 200, bd_wire_state(job->id, state, done, run), 0);
}

#define HEARD_S 2.0 /* another controller's word counts so long */
#define BLIND_S 4.0 /* two answers of the state service in a row may be lost before */
#define ALONE_S 3.0 /* without a word from anywhere users are better sent elsewhere */

/* Whether the state service answered lately: without it nothing can be accepted, and the user is
 * told so at once. */
bool bd_reachable(const struct bd_core *core)
{
    return core->replica_ready && bd_between(core->refreshed_at, core->now) < 2.0;
}

void bd_core_get(struct bd_core *core, void *request, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (job && job->state != BD_LIVE)
        bd_answer_state(core, request, job);
    else if (!bd_wire_job_id(id) || strlen(id) >= BD_ID - 1)
        bd_refuse(core, request, 404, "no such job", 0);
    else if (!bd_reachable(core))
        bd_refuse(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
    else
        bd_wait_barrier(core, request, id, BD_WAIT_STATE);
}

/* Without what only placing needs: it is no larger than what was accepted, and fits limits that are
 * lower now. */
json_t *bd_cancelled_record(const struct bd_job *job)
{
    struct bd_record r = {.state = BD_CANCELLED, .tasks = job->ntasks, .at = job->at};
    json_t *o = bd_wire_record(&r);
    if (o && job->record_spec)
        json_object_set_new(o, "job", bd_wire_ended_spec(job->record_spec));
    return o;
}

void bd_core_cancel(struct bd_core *core, void *request, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (job && job->state != BD_LIVE) {
        bd_answer_state(core, request, job);
    } else if (!bd_wire_job_id(id) || strlen(id) >= BD_ID - 1) {
        bd_refuse(core, request, 404, "no such job", 0);
    } else if (!bd_reachable(core)) {
        bd_refuse(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
    } else if (job) {
        bd_user_commit(core, request, id, job->revision, bd_cancelled_record(job), BD_WAIT_CANCEL);
    } else { /* perhaps accepted by another node a moment ago */
        bd_wait_barrier(core, request, id, BD_WAIT_CANCEL);
    }
}

/* ---- replica ---- */

static void stop_tasks(struct bd_core *core, struct bd_job *job)
{
    for (uint32_t i = 0; job->tasks && i < job->ntasks; i++) {
        enum bd_task_state st = (enum bd_task_state)job->tasks[i].state;
        if (st == BD_T_LAUNCH || st == BD_T_LIVE || st == BD_T_UNKNOWN)
            bd_task_stop(core, job, i, true);
    }
}

void bd_job_set_state(struct bd_core *core, struct bd_job *job, enum bd_job_state state)
{
    job->state = state;
    if (state == BD_CANCELLED)
        stop_tasks(core, job);
    if (state == BD_DONE) {
        json_decref(job->record_spec);
        job->record_spec = NULL;
    }
}

static struct bd_job *new_job(struct bd_core *core, const char *id, const struct bd_record *record)
{
    struct bd_job *j = calloc(1, sizeof *j);
    if (!j)
        abort();
    snprintf(j->id, sizeof j->id, "%s", id);
    j->ntasks = record->tasks;
    j->job_class = *record->spec.job_class ? bd_intern(&core->classes, record->spec.job_class) : -1;
    j->at = j->ready = record->at;
    j->rank = record->spec.rank;
    j->due_by = INFINITY;
    HASH_ADD_STR(core->jobs, id, j);
    bd_deps_seen(core, j);
    return j;
}

/* What the record says now. A job that was cancelled with another's record stays so until its own
 * says it too. */
static void take_state(struct bd_core *core, struct bd_job *job, const struct bd_record *record)
{
    if (record->state == BD_LIVE)
        return;
    bd_deps_written(core, job);
    if (job->state == record->state)
        return;
    job->end = record->end > 0 ? record->end : core->replica_ready ? core->wall : record->at;
    bd_job_set_state(core, job, record->state);
    bd_deps_settled(core, job);
}

void bd_core_change(struct bd_core *core, const struct bd_change *ch)
{
    struct bd_record r;
    if (strncmp(ch->key, "j/", 2) != 0 || !ch->value)
        return;
    const char *id = ch->key + 2;
    if (strchr(id, '/')) {
        bd_deps_part(core, id, ch->value);
        return;
    }
    if (strlen(id) >= BD_ID || !bd_wire_read_record(ch->value, &r)) {
        bd_say(core->log, BD_ERROR, "record %s cannot be read", ch->key);
        return;
    }
    struct bd_job *job = bd_job_find(core, id);
    if (job && ch->revision <= job->revision)
        return;
    bool first = !job;
    if (first)
        job = new_job(core, id, &r);
    job->revision = ch->revision;
    job->stale = false;
    job->at = r.at;
    if (r.has_spec && !job->has_spec) {
        bd_spec_resolve(core, &r.spec, &job->spec);
        job->has_spec = true;
        if (r.state != BD_DONE)
            job->record_spec = json_deep_copy(json_object_get(ch->value, "job"));
    }
    if (core->role == BD_LEADER && !job->tasks && r.state == BD_LIVE && !bd_job_lead(core, job))
        bd_say(core->log, BD_ERROR, "%s: no memory for its tasks yet", job->id);
    take_state(core, job, &r);
    if (first && r.state == BD_LIVE)
        bd_deps_take(core, job, &r.prerequisites);
    core->round_wanted = true;
}

#define NEWS_S 5.0 /* a cancellation that is only heard of counts so long */

bool bd_cancel_heard(const struct bd_core *core, const struct bd_job *job)
{
    return !bd_is_zero(job->cancel_heard) && bd_between(job->cancel_heard, core->now) < NEWS_S;
}

/* The record comes with the next refresh, up to seconds later; starts and halts need not wait for
 * it. If it does not come the news is forgotten, and the job is served as before. */
void bd_core_cancelled_elsewhere(struct bd_core *core, const char *id)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job || job->state != BD_LIVE || bd_cancel_heard(core, job))
        return;
    job->cancel_heard = core->now;
    stop_tasks(core, job);
}

static void answer_none(struct bd_core *core, void *request, enum bd_wait_how how)
{
    if (how == BD_WAIT_BAD)
        bd_refuse(core, request, 400, "malformed", 0);
    else if (how == BD_WAIT_NEVER)
        bd_refuse(core, request, 422, "can never run", 0);
    else
        bd_refuse(core, request, 404, "no such job", 0);
}

static void look_up(struct bd_core *core, const struct bd_wait *w)
{
    struct bd_effect *effect = bd_emit(core, BD_E_LOOKUP);
    effect->request = w->request;
    effect->status = (int)w->how;
    snprintf(effect->key, sizeof effect->key, "%s", w->id);
}

static void answer_wait(struct bd_core *core, const struct bd_wait *w)
{
    const char *id = w->id;
    struct bd_job *job = bd_job_find(core, id);
    if (w->accept && !job) {
        bd_admission_proven(core, w->accept);
        return;
    }
    bd_admission_drop(w->accept);
    if (job && w->how == BD_WAIT_CANCEL && job->state == BD_LIVE)
        bd_user_commit(core, w->request, id, job->revision, bd_cancelled_record(job),
                       BD_WAIT_CANCEL);
    else if (job)
        bd_answer_state(core, w->request, job);
    else if (core->evicted)
        look_up(core, w);
    else
        answer_none(core, w->request, w->how);
}

void bd_core_looked_up(struct bd_core *core, void *request, const char *id, int how, long status,
                       const struct bd_change *ch)
{
    struct bd_wait w = {.request = request, .how = (enum bd_wait_how)how};
    snprintf(w.id, sizeof w.id, "%s", id);
    if (status == 200)
        bd_core_change(core, ch);
    if (w.how == BD_WAIT_PREREQUISITE)
        return;
    if (w.how == BD_WAIT_ACCEPT)
        bd_admission_looked_up(core, request, status == 200 && !bd_job_find(core, id) ? 0 : status);
    else if (status == 200 && bd_job_find(core, id))
        answer_wait(core, &w);
    else if (status == 404)
        answer_none(core, request, w.how);
    else
        bd_refuse(core, request, 503, "state service not reached", OUTAGE_RETRY_S);
}

/* ---- final records in memory ---- */

#define FINALS_SHARE 0.12    /* of the memory */
#define FINALS_FRESH_S 600.0 /* younger ones are asked about */

static uint32_t finals_most(const struct bd_core *core)
{
    double n = core->settings->ram_mb * 1048576.0 * FINALS_SHARE / sizeof(struct bd_job);
    return n < 100 ? 100 : (uint32_t)n;
}

/* Jobs that something else still points to stay. */
static void pin(struct bd_core *core)
{
    for (struct bd_job *job = core->jobs; job; job = job->hh.next)
        job->pinned = job->state == BD_LIVE || job->tasks || job->receipt_chunks || job->derived;
    for (uint32_t r = 0; r < core->nrounds; r++)
        for (uint32_t k = 0; k < core->rounds[r].n; k++)
            core->rounds[r].e[k].job->pinned = true;
    for (uint32_t k = 0; core->commit && k < core->commit->nplan; k++)
        core->commit->plan[k].job->pinned = true;
    for (uint32_t k = 0; core->commit && k < core->commit->nreceipts; k++)
        core->commit->receipts[k].job->pinned = true;
    for (uint32_t k = 0; core->commit && k < core->commit->ndone; k++)
        core->commit->done[k]->pinned = true;
    for (uint32_t k = 0; core->commit && k < core->commit->ncancelled; k++)
        core->commit->cancelled[k]->pinned = true;
}

void bd_core_evict(struct bd_core *core)
{
    struct bd_job *job, *jt;
    uint32_t count = HASH_COUNT(core->jobs), most = finals_most(core);
    if (count <= most)
        return;
    pin(core);
    HASH_ITER(hh, core->jobs, job, jt)
    {
        if (count <= most)
            return;
        /* by its end: what was cancelled now may still run, and be asked about, however old it is
         */
        if (job->pinned || core->wall - fmax(job->at, job->end) < FINALS_FRESH_S)
            continue;
        HASH_DEL(core->jobs, job);
        json_decref(job->record_spec);
        free(job);
        count--;
        core->evicted = true;
    }
}

void bd_core_followed(struct bd_core *core, uint64_t after, uint64_t store_revision,
                      struct timespec sent, bool barrier, bool ok)
{
    if (ok && after <= core->store_revision && store_revision > core->store_revision)
        core->store_revision = store_revision;
    if (ok)
        core->refreshed_at = bd_max(core->refreshed_at, sent);
    if (!barrier)
        return;
    core->barrier_out = false;
    struct bd_wait *w = core->asked;
    core->asked = NULL;
    while (w) {
        struct bd_wait *next = w->next;
        if (ok)
            answer_wait(core, w);
        else
            bd_admission_drop(w->accept);
        if (!ok)
            bd_refuse(core, w->request, 503, "state service not reached", OUTAGE_RETRY_S);
        free(w);
        w = next;
    }
}

void bd_core_relisted(struct bd_core *core, uint64_t store_revision, struct timespec sent)
{
    core->store_revision = store_revision;
    core->replica_ready = true;
    core->refreshed_at = bd_max(core->refreshed_at, sent);
}

/* ---- leadership ---- */

static int newer_leader(const struct bd_core *core);
static bool cut_alone(const struct bd_core *core);

bool bd_core_valid(const struct bd_core *core)
{
    return core->role == BD_LEADER && bd_before(core->now, core->valid_until);
}

bool bd_core_may_answer(const struct bd_core *core)
{
    if (core->role != BD_LEADER || !bd_may_renew(core))
        return false;
    if (bd_core_valid(core))
        return true;
    /* a new leader counts with our answers from our last renewal on */
    return newer_leader(core) < 0 && !cut_alone(core) && bd_in_grace(core, core->renewed);
}

void bd_core_leader_is(struct bd_core *core, const char *name, uint64_t revision,
                       struct timespec sent, bool dismissed)
{
    core->delegate.dismissed = dismissed;
    snprintf(core->leader_name, sizeof core->leader_name, "%s", name);
    core->leader_term = revision;
    core->last_term = revision ? revision : core->last_term;
    core->leader_seen = sent;
}

/* ---- the other controllers ---- */

void bd_core_peer(struct bd_core *core, const char *name, uint64_t term, uint8_t flags,
                  double state_age, double said_at, struct timespec heard)
{
    for (int i = 0; i < core->settings->npeers; i++) {
        if (strcmp(core->settings->peers[i].name, name) != 0)
            continue;
        core->peers[i].heard = heard;
        core->peers[i].term = term;
        core->peers[i].flags = flags;
        core->peers[i].said_at = said_at;
        core->peers[i].state_seen = bd_sub(heard, bd_secs(state_age));
    }
}

void bd_core_progress(struct bd_core *core, const char *id, uint32_t done, uint32_t running)
{
    struct bd_job *job = bd_job_find(core, id);
    if (!job || core->role == BD_LEADER)
        return;
    job->shown_done = done;
    job->shown_run = running;
}

/* Whether another controller is served by the state service while we are not. */
static bool cut_alone(const struct bd_core *core)
{
    const double behind = 1.5;
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_heard(core, i, HEARD_S) && core->peers[i].flags & BD_PEER_STATE &&
            bd_between(core->refreshed_at, core->peers[i].state_seen) > behind)
            return true;
    return false;
}

/* The controller that says it holds a newer term than ours, or -1. */
static int newer_leader(const struct bd_core *core)
{
    for (int i = 0; i < core->settings->npeers; i++)
        if (core->peers[i].term > core->term && bd_peer_heard(core, i, HEARD_S))
            return i;
    return -1;
}

/* Without the state service we are told here, not there, that somebody else leads. */
void bd_core_yield(struct bd_core *core)
{
    int i = core->role == BD_LEADER && !bd_core_valid(core) ? newer_leader(core) : -1;
    if (i < 0)
        return;
    bd_core_lost(core);
    snprintf(core->leader_name, sizeof core->leader_name, "%s", core->settings->peers[i].name);
}

/* Neither the state service nor any other controller is heard: it is likely we who are cut off. */
static bool quite_alone(const struct bd_core *core)
{
    if (core->settings->npeers == 0 || bd_between(core->refreshed_at, core->now) < ALONE_S)
        return false;
    for (int i = 0; i < core->settings->npeers; i++)
        if (bd_peer_heard(core, i, ALONE_S))
            return false;
    return true;
}

bool bd_core_up(const struct bd_core *core)
{
    return core->replica_ready && core->types_known && !cut_alone(core) && !quite_alone(core);
}

/* The lease is renewed, but our refreshes of the records are refused while another controller's are
 * served: nothing could start until ours are served again. Another may start work at once. */
void bd_core_give_up_if_blind(struct bd_core *core)
{
    if (!bd_core_valid(core) || bd_between(core->refreshed_at, core->now) < BLIND_S ||
        !cut_alone(core))
        return;
    bd_say(core->log, BD_INFO,
           "the records cannot be read here, but elsewhere: gives up the lease");
    bd_core_lost(core);
    core->last->status = BD_LOST_GIVEN_UP;
}

void bd_core_lost(struct bd_core *core)
{
    if (core->role != BD_LEADER)
        return;
    bd_say(core->log, BD_INFO, "term %llu is over", (unsigned long long)core->term);
    core->role = BD_FOLLOWER;
    if (strcmp(core->leader_name, core->settings->node) == 0)
        core->leader_name[0] = '\0';
    struct bd_job *job, *jt;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        bd_job_unlead(job);
    }
    struct bd_machine *machine, *mt;
    HASH_ITER(hh, core->machines, machine, mt)
    {
        HASH_DEL(core->machines, machine);
        free(machine->refs);
        free(machine);
    }
    free(core->by_index);
    core->by_index = NULL;
    core->nmachines = core->cap_machines = 0;
    free_rounds(core);
    bd_commit_free(core->commit);
    core->commit = NULL;
    core->nprovisions = 0;
    memset(core->team_cpus, 0, sizeof core->team_cpus);
    memset(core->team_gpus, 0, sizeof core->team_gpus);
    memset(core->pools, 0, sizeof core->pools);
    memset(core->direct, 0, sizeof core->direct);
    core->ndelegates = 0;
    (void)bd_emit(core, BD_E_LOST);
}

void bd_core_renewed(struct bd_core *core, uint64_t grant, struct timespec sent)
{
    if (core->role != BD_LEADER || grant != core->grant)
        return;
    struct timespec ttl = core->settings->leader_ttl;
    double valid = bd_to_secs(ttl) * (1 - DRIFT) - 0.1;
    core->valid_until = bd_max(core->valid_until, bd_add(sent, bd_secs(valid)));
    core->renewed = bd_max(core->renewed, sent);
}
