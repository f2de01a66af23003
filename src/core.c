/* Users' requests, the replica of job records, and names. */
#include "brambledoor/frame.h"
#include "core_in.h"
#include <math.h>
#include <stdio.h>

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log)
{
    struct bd_core *c = calloc(1, sizeof *c);
    if (!c)
        return NULL;
    c->settings = settings;
    c->log = log;
    bd_limits_init(c);
    for (int i = 0; i < settings->nzones; i++)
        (void)bd_zone_index(c, settings->zones[i]);
    return c;
}

void bd_core_seed(struct bd_core *c, uint64_t seed)
{
    c->forward_n = seed;
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

static void free_rounds(struct bd_core *c)
{
    for (uint32_t i = 0; i < c->nrounds; i++)
        free(c->rounds[i].e);
    free(c->rounds);
    c->rounds = NULL;
    c->nrounds = c->cap_rounds = 0;
}

void bd_commit_free(struct bd_commit *k)
{
    if (!k)
        return;
    free(k->plan);
    free(k->receipts);
    free(k);
}

void bd_core_free(struct bd_core *c)
{
    if (!c)
        return;
    struct bd_job *j, *jt;
    struct bd_machine *m, *mt;
    HASH_ITER(hh, c->jobs, j, jt)
    {
        HASH_DEL(c->jobs, j);
        json_decref(j->record_spec);
        free(j->dependencies);
        free(j->tasks);
        free(j);
    }
    HASH_ITER(hh, c->machines, m, mt)
    {
        HASH_DEL(c->machines, m);
        free(m->refs);
        free(m);
    }
    free(c->by_index);
    free_names(&c->images);
    free_names(&c->classes);
    free_waits(&c->waiting);
    free_waits(&c->asked);
    bd_admission_end(c);
    bd_deps_free(c);
    free_rounds(c);
    bd_commit_free(c->commit);
    c->last_term = 0; /* nobody waits for a better answer any more */
    bd_delegate_end(c);
    while (c->forwards) {
        struct bd_forward *f = c->forwards;
        c->forwards = f->next;
        bd_report_free(f->report);
        if (f->request && ((struct bd_remote *)f->request)->remote)
            free(f->request); /* the core's own: see bd_core_forwarded */
        free(f);
    }
    free(c->delegate.served);
    bd_forward_end(c);
    struct bd_effect *e = bd_core_effects(c);
    while (e) {
        struct bd_effect *next = e->next;
        bd_effect_free(e);
        e = next;
    }
    free(c);
}

struct bd_effect *bd_emit(struct bd_core *c, enum bd_effect_kind kind)
{
    struct bd_effect *e = calloc(1, sizeof *e);
    if (!e)
        abort(); /* out of memory: the supervisor restarts us, the state service has it all */
    e->kind = kind;
    if (c->last)
        c->last->next = e;
    else
        c->first = e;
    c->last = e;
    return e;
}

void bd_reply(struct bd_core *c, void *request, int status, char *body, int retry_after)
{
    struct bd_remote *q = request;
    bool remote = q && q->remote;
    struct bd_effect *e = bd_emit(c, remote ? BD_E_ANSWER : BD_E_REPLY);
    e->request = remote ? NULL : request;
    if (remote) {
        e->machine = (uint32_t)q->peer;
        e->token = q->id;
        free(q);
    }
    e->status = status;
    e->body = body;
    e->retry_after = retry_after;
}

void bd_refuse(struct bd_core *c, void *request, int status, const char *why, int retry_after)
{
    char buf[160];
    snprintf(buf, sizeof buf, "{\"error\":\"%s\"}", why);
    bd_reply(c, request, status, strdup(buf), retry_after);
}

struct bd_effect *bd_core_effects(struct bd_core *c)
{
    struct bd_effect *e = c->first;
    c->first = c->last = NULL;
    return e;
}

void bd_effect_free(struct bd_effect *e)
{
    free(e->body);
    free(e);
}

void bd_core_time(struct bd_core *c, struct timespec now, double wall)
{
    c->now = now;
    c->wall = wall;
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

int bd_type_index(struct bd_core *c, const char *label)
{
    for (int i = 0; i < c->ntypes; i++)
        if (strcmp(c->types[i].label, label) == 0)
            return i;
    if (c->ntypes == BD_MAX_TYPES)
        return -1;
    snprintf(c->types[c->ntypes].label, BD_LABEL, "%s", label);
    return c->ntypes++;
}

int bd_zone_find(const struct bd_core *c, const char *name)
{
    for (int i = 0; i < c->nzones; i++)
        if (strcmp(c->zones[i], name) == 0)
            return i;
    return -1;
}

int bd_zone_index(struct bd_core *c, const char *name)
{
    int known = bd_zone_find(c, name);
    if (known >= 0)
        return known;
    if (c->nzones == BD_MAX_ZONES)
        return -1;
    snprintf(c->zones[c->nzones], BD_LABEL, "%s", name);
    return c->nzones++;
}

int bd_team_index(const struct bd_core *c, const char *name)
{
    for (int i = 0; i < c->settings->nteams; i++)
        if (strcmp(c->settings->teams[i].name, name) == 0)
            return i;
    return -1;
}

struct bd_job *bd_job_find(struct bd_core *c, const char *id)
{
    struct bd_job *j = NULL;
    HASH_FIND_STR(c->jobs, id, j);
    return j;
}

void bd_spec_resolve(struct bd_core *c, const struct bd_spec_text *t, struct bd_spec *s)
{
    memset(s, 0, sizeof *s);
    s->job_class = bd_intern(&c->classes, t->job_class);
    s->team = bd_team_index(c, t->team);
    s->image = bd_intern(&c->images, t->image);
    s->zone = *t->zone ? bd_zone_index(c, t->zone) : -1;
    bool nowhere = *t->zone && s->zone < 0; /* a zone too many must not mean any zone */
    s->any_type = t->ntypes < 0 && !nowhere;
    for (int i = 0; i < t->ntypes && !nowhere; i++) {
        int k = bd_type_index(c, t->types[i]);
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

void bd_answer_state(struct bd_core *c, void *request, const struct bd_job *j)
{
    const char *state = "pending";
    uint32_t done = j->ndone, run = j->nrun;
    if (c->role != BD_LEADER) {
        done = j->shown_done;
        run = j->shown_run;
    }
    if (j->state == BD_CANCELLED)
        state = "cancelled";
    else if (j->state == BD_DONE)
        state = "done";
    else if (run > 0)
        state = "running";
    if (j->state != BD_LIVE)
        run = 0;
    if (j->state == BD_DONE)
        done = j->ntasks;
    bd_reply(c, request, 200, bd_wire_state(j->id, state, done, run), 0);
}

#define HEARD_S 2.0 /* another controller's word counts so long */
#define BLIND_S 4.0 /* two answers of the state service in a row may be lost before */
#define ALONE_S 3.0 /* without a word from anywhere users are better sent elsewhere */

/* Whether the state service answered lately: without it nothing can be accepted, and the user is
 * told so at once. */
bool bd_reachable(const struct bd_core *c)
{
    return c->replica_ready && bd_between(c->refreshed_at, c->now) < 2.0;
}

void bd_core_get(struct bd_core *c, void *request, const char *id)
{
    struct bd_job *j = bd_job_find(c, id);
    if (j && j->state != BD_LIVE)
        bd_answer_state(c, request, j);
    else if (!bd_wire_job_id(id) || strlen(id) >= BD_ID - 1)
        bd_refuse(c, request, 404, "no such job", 0);
    else if (!bd_reachable(c))
        bd_refuse(c, request, 503, "state service not reached", OUTAGE_RETRY_S);
    else
        bd_wait_barrier(c, request, id, BD_WAIT_STATE);
}

/* Without what only placing needs: it is no larger than what was accepted, and fits limits that are
 * lower now. */
json_t *bd_cancelled_record(const struct bd_job *j)
{
    struct bd_record r = {.state = BD_CANCELLED, .tasks = j->ntasks, .at = j->at};
    json_t *o = bd_wire_record(&r);
    if (o && j->record_spec)
        json_object_set_new(o, "job", bd_wire_ended_spec(j->record_spec));
    return o;
}

void bd_core_cancel(struct bd_core *c, void *request, const char *id)
{
    struct bd_job *j = bd_job_find(c, id);
    if (j && j->state != BD_LIVE) {
        bd_answer_state(c, request, j);
    } else if (!bd_wire_job_id(id) || strlen(id) >= BD_ID - 1) {
        bd_refuse(c, request, 404, "no such job", 0);
    } else if (!bd_reachable(c)) {
        bd_refuse(c, request, 503, "state service not reached", OUTAGE_RETRY_S);
    } else if (j) {
        bd_user_commit(c, request, id, j->mark, bd_cancelled_record(j), BD_WAIT_CANCEL);
    } else { /* perhaps accepted by another node a moment ago */
        bd_wait_barrier(c, request, id, BD_WAIT_CANCEL);
    }
}

/* ---- replica ---- */

static void stop_tasks(struct bd_core *c, struct bd_job *j)
{
    for (uint32_t i = 0; j->tasks && i < j->ntasks; i++) {
        enum bd_task_state st = (enum bd_task_state)j->tasks[i].state;
        if (st == BD_T_LAUNCH || st == BD_T_LIVE || st == BD_T_UNKNOWN)
            bd_task_stop(c, j, i, true);
    }
}

void bd_job_set_state(struct bd_core *c, struct bd_job *j, enum bd_job_state state)
{
    j->state = state;
    if (state == BD_CANCELLED)
        stop_tasks(c, j);
    if (state == BD_DONE) {
        json_decref(j->record_spec);
        j->record_spec = NULL;
    }
}

static struct bd_job *new_job(struct bd_core *c, const char *id, const struct bd_record *r)
{
    struct bd_job *j = calloc(1, sizeof *j);
    if (!j)
        abort();
    snprintf(j->id, sizeof j->id, "%s", id);
    j->ntasks = r->tasks;
    j->job_class = *r->spec.job_class ? bd_intern(&c->classes, r->spec.job_class) : -1;
    j->at = j->ready = r->at;
    j->rank = r->spec.rank;
    j->due_by = INFINITY;
    HASH_ADD_STR(c->jobs, id, j);
    bd_deps_seen(c, j);
    return j;
}

/* What the record says now. A job that was cancelled with another's record stays so until its own
 * says it too. */
static void take_state(struct bd_core *c, struct bd_job *j, const struct bd_record *r)
{
    if (r->state == BD_LIVE)
        return;
    bd_deps_written(c, j);
    if (j->state == r->state)
        return;
    j->end = r->end > 0 ? r->end : c->replica_ready ? c->wall : r->at;
    bd_job_set_state(c, j, r->state);
    bd_deps_settled(c, j);
}

void bd_core_change(struct bd_core *c, const struct bd_change *ch)
{
    struct bd_record r;
    if (strncmp(ch->key, "j/", 2) != 0 || !ch->value)
        return;
    const char *id = ch->key + 2;
    if (strchr(id, '/')) {
        bd_deps_part(c, id, ch->value);
        return;
    }
    if (strlen(id) >= BD_ID || !bd_wire_read_record(ch->value, &r)) {
        bd_say(c->log, BD_ERROR, "record %s cannot be read", ch->key);
        return;
    }
    struct bd_job *j = bd_job_find(c, id);
    if (j && ch->mark <= j->mark)
        return;
    bool first = !j;
    if (first)
        j = new_job(c, id, &r);
    j->mark = ch->mark;
    j->stale = false;
    j->at = r.at;
    if (r.has_spec && !j->has_spec) {
        bd_spec_resolve(c, &r.spec, &j->spec);
        j->has_spec = true;
        if (r.state != BD_DONE)
            j->record_spec = json_deep_copy(json_object_get(ch->value, "job"));
    }
    if (c->role == BD_LEADER && !j->tasks && r.state == BD_LIVE && !bd_job_lead(c, j))
        bd_say(c->log, BD_ERROR, "%s: no memory for its tasks yet", j->id);
    take_state(c, j, &r);
    if (first && r.state == BD_LIVE)
        bd_deps_take(c, j, &r.prerequisites);
    c->round_wanted = true;
}

#define NEWS_S 5.0 /* a cancellation that is only heard of counts so long */

bool bd_cancel_heard(const struct bd_core *c, const struct bd_job *j)
{
    return !bd_is_zero(j->cancel_heard) && bd_between(j->cancel_heard, c->now) < NEWS_S;
}

/* The record comes with the next refresh, up to seconds later; starts and halts need not wait for
 * it. If it does not come the news is forgotten, and the job is served as before. */
void bd_core_cancelled_elsewhere(struct bd_core *c, const char *id)
{
    struct bd_job *j = bd_job_find(c, id);
    if (!j || j->state != BD_LIVE || bd_cancel_heard(c, j))
        return;
    j->cancel_heard = c->now;
    stop_tasks(c, j);
}

static void answer_none(struct bd_core *c, void *request, enum bd_wait_how how)
{
    if (how == BD_WAIT_BAD)
        bd_refuse(c, request, 400, "malformed", 0);
    else if (how == BD_WAIT_NEVER)
        bd_refuse(c, request, 422, "can never run", 0);
    else
        bd_refuse(c, request, 404, "no such job", 0);
}

static void look_up(struct bd_core *c, const struct bd_wait *w)
{
    struct bd_effect *e = bd_emit(c, BD_E_LOOKUP);
    e->request = w->request;
    e->status = (int)w->how;
    snprintf(e->key, sizeof e->key, "%s", w->id);
}

static void answer_wait(struct bd_core *c, const struct bd_wait *w)
{
    const char *id = w->id;
    struct bd_job *j = bd_job_find(c, id);
    if (w->accept && !j) {
        bd_admission_proven(c, w->accept);
        return;
    }
    bd_admission_drop(w->accept);
    if (j && w->how == BD_WAIT_CANCEL && j->state == BD_LIVE)
        bd_user_commit(c, w->request, id, j->mark, bd_cancelled_record(j), BD_WAIT_CANCEL);
    else if (j)
        bd_answer_state(c, w->request, j);
    else if (c->evicted)
        look_up(c, w);
    else
        answer_none(c, w->request, w->how);
}

void bd_core_looked_up(struct bd_core *c, void *request, const char *id, int how, long status,
                       const struct bd_change *ch)
{
    struct bd_wait w = {.request = request, .how = (enum bd_wait_how)how};
    snprintf(w.id, sizeof w.id, "%s", id);
    if (status == 200)
        bd_core_change(c, ch);
    if (w.how == BD_WAIT_PREREQUISITE)
        return;
    if (w.how == BD_WAIT_ACCEPT)
        bd_admission_looked_up(c, request, status == 200 && !bd_job_find(c, id) ? 0 : status);
    else if (status == 200 && bd_job_find(c, id))
        answer_wait(c, &w);
    else if (status == 404)
        answer_none(c, request, w.how);
    else
        bd_refuse(c, request, 503, "state service not reached", OUTAGE_RETRY_S);
}

/* ---- final records in memory ---- */

#define FINALS_SHARE 0.12    /* of the memory */
#define FINALS_FRESH_S 600.0 /* younger ones are asked about */

static uint32_t finals_most(const struct bd_core *c)
{
    double n = c->settings->ram_mb * 1048576.0 * FINALS_SHARE / sizeof(struct bd_job);
    return n < 100 ? 100 : (uint32_t)n;
}

/* Jobs that something else still points to stay. */
static void pin(struct bd_core *c)
{
    for (struct bd_job *j = c->jobs; j; j = j->hh.next)
        j->pinned = j->state == BD_LIVE || j->tasks || j->receipt_chunks || j->derived;
    for (uint32_t r = 0; r < c->nrounds; r++)
        for (uint32_t k = 0; k < c->rounds[r].n; k++)
            c->rounds[r].e[k].job->pinned = true;
    for (uint32_t k = 0; c->commit && k < c->commit->nplan; k++)
        c->commit->plan[k].job->pinned = true;
    for (uint32_t k = 0; c->commit && k < c->commit->nreceipts; k++)
        c->commit->receipts[k].job->pinned = true;
    for (uint32_t k = 0; c->commit && k < c->commit->ndone; k++)
        c->commit->done[k]->pinned = true;
    for (uint32_t k = 0; c->commit && k < c->commit->ncancelled; k++)
        c->commit->cancelled[k]->pinned = true;
}

void bd_core_evict(struct bd_core *c)
{
    struct bd_job *j, *jt;
    uint32_t count = HASH_COUNT(c->jobs), most = finals_most(c);
    if (count <= most)
        return;
    pin(c);
    HASH_ITER(hh, c->jobs, j, jt)
    {
        if (count <= most)
            return;
        /* by its end: what was withdrawn now may still run, and be asked about, however old it is
         */
        if (j->pinned || c->wall - fmax(j->at, j->end) < FINALS_FRESH_S)
            continue;
        HASH_DEL(c->jobs, j);
        json_decref(j->record_spec);
        free(j);
        count--;
        c->evicted = true;
    }
}

void bd_core_followed(struct bd_core *c, uint64_t after, uint64_t ring, struct timespec sent,
                      bool barrier, bool ok)
{
    if (ok && after <= c->ring && ring > c->ring)
        c->ring = ring;
    if (ok)
        c->refreshed_at = bd_max(c->refreshed_at, sent);
    if (!barrier)
        return;
    c->barrier_out = false;
    struct bd_wait *w = c->asked;
    c->asked = NULL;
    while (w) {
        struct bd_wait *next = w->next;
        if (ok)
            answer_wait(c, w);
        else
            bd_admission_drop(w->accept);
        if (!ok)
            bd_refuse(c, w->request, 503, "state service not reached", OUTAGE_RETRY_S);
        free(w);
        w = next;
    }
}

void bd_core_relisted(struct bd_core *c, uint64_t ring, struct timespec sent)
{
    c->ring = ring;
    c->replica_ready = true;
    c->refreshed_at = bd_max(c->refreshed_at, sent);
}

/* ---- leadership ---- */

static int newer_leader(const struct bd_core *c);
static bool cut_alone(const struct bd_core *c);

bool bd_core_valid(const struct bd_core *c)
{
    return c->role == BD_LEADER && bd_before(c->now, c->valid_until);
}

bool bd_core_may_answer(const struct bd_core *c)
{
    if (c->role != BD_LEADER || !bd_may_renew(c))
        return false;
    if (bd_core_valid(c))
        return true;
    /* a new leader counts with our answers from our last renewal on */
    return newer_leader(c) < 0 && !cut_alone(c) && bd_in_grace(c, c->renewed);
}

void bd_core_leader_is(struct bd_core *c, const char *name, uint64_t mark, struct timespec sent,
                       bool dismissed)
{
    c->delegate.dismissed = dismissed;
    snprintf(c->leader_name, sizeof c->leader_name, "%s", name);
    c->leader_term = mark;
    c->last_term = mark ? mark : c->last_term;
    c->leader_seen = sent;
}

/* ---- the other controllers ---- */

void bd_core_peer(struct bd_core *c, const char *name, uint64_t term, uint8_t flags,
                  double state_age, double said_at, struct timespec heard)
{
    for (int i = 0; i < c->settings->npeers; i++) {
        if (strcmp(c->settings->peers[i].name, name) != 0)
            continue;
        c->peers[i].heard = heard;
        c->peers[i].term = term;
        c->peers[i].flags = flags;
        c->peers[i].said_at = said_at;
        c->peers[i].state_seen = bd_sub(heard, bd_secs(state_age));
    }
}

void bd_core_progress(struct bd_core *c, const char *id, uint32_t done, uint32_t running)
{
    struct bd_job *j = bd_job_find(c, id);
    if (!j || c->role == BD_LEADER)
        return;
    j->shown_done = done;
    j->shown_run = running;
}

/* Whether another controller is served by the state service while we are not. */
static bool cut_alone(const struct bd_core *c)
{
    const double behind = 1.5;
    for (int i = 0; i < c->settings->npeers; i++)
        if (bd_peer_heard(c, i, HEARD_S) && c->peers[i].flags & BD_PEER_STATE &&
            bd_between(c->refreshed_at, c->peers[i].state_seen) > behind)
            return true;
    return false;
}

/* The controller that says it holds a newer term than ours, or -1. */
static int newer_leader(const struct bd_core *c)
{
    for (int i = 0; i < c->settings->npeers; i++)
        if (c->peers[i].term > c->term && bd_peer_heard(c, i, HEARD_S))
            return i;
    return -1;
}

/* Without the state service we are told here, not there, that somebody else leads. */
void bd_core_yield(struct bd_core *c)
{
    int i = c->role == BD_LEADER && !bd_core_valid(c) ? newer_leader(c) : -1;
    if (i < 0)
        return;
    bd_core_lost(c);
    snprintf(c->leader_name, sizeof c->leader_name, "%s", c->settings->peers[i].name);
}

/* Neither the state service nor any other controller is heard: it is likely we who are cut off. */
static bool quite_alone(const struct bd_core *c)
{
    if (c->settings->npeers == 0 || bd_between(c->refreshed_at, c->now) < ALONE_S)
        return false;
    for (int i = 0; i < c->settings->npeers; i++)
        if (bd_peer_heard(c, i, ALONE_S))
            return false;
    return true;
}

bool bd_core_up(const struct bd_core *c)
{
    return c->replica_ready && c->types_known && !cut_alone(c) && !quite_alone(c);
}

/* The lease is renewed, but our refreshes of the records are refused while another controller's are
 * served: nothing could start until ours are served again. Another may start work at once. */
void bd_core_give_up_if_blind(struct bd_core *c)
{
    if (!bd_core_valid(c) || bd_between(c->refreshed_at, c->now) < BLIND_S || !cut_alone(c))
        return;
    bd_say(c->log, BD_INFO, "the records cannot be read here, but elsewhere: gives up the lease");
    bd_core_lost(c);
    c->last->status = BD_LOST_GIVEN_UP;
}

void bd_core_lost(struct bd_core *c)
{
    if (c->role != BD_LEADER)
        return;
    bd_say(c->log, BD_INFO, "term %llu is over", (unsigned long long)c->term);
    c->role = BD_FOLLOWER;
    if (strcmp(c->leader_name, c->settings->node) == 0)
        c->leader_name[0] = '\0';
    struct bd_job *j, *jt;
    HASH_ITER(hh, c->jobs, j, jt)
    {
        bd_job_unlead(j);
    }
    struct bd_machine *m, *mt;
    HASH_ITER(hh, c->machines, m, mt)
    {
        HASH_DEL(c->machines, m);
        free(m->refs);
        free(m);
    }
    free(c->by_index);
    c->by_index = NULL;
    c->nmachines = c->cap_machines = 0;
    free_rounds(c);
    bd_commit_free(c->commit);
    c->commit = NULL;
    c->nprovisions = 0;
    memset(c->team_cpus, 0, sizeof c->team_cpus);
    memset(c->team_gpus, 0, sizeof c->team_gpus);
    memset(c->pools, 0, sizeof c->pools);
    memset(c->direct, 0, sizeof c->direct);
    c->ndelegates = 0;
    (void)bd_emit(c, BD_E_LOST);
}

void bd_core_renewed(struct bd_core *c, uint64_t grant, struct timespec sent)
{
    if (c->role != BD_LEADER || grant != c->grant)
        return;
    struct timespec ttl = c->settings->leader_ttl;
    double valid = bd_to_secs(ttl) * (1 - DRIFT) - 0.1;
    c->valid_until = bd_max(c->valid_until, bd_add(sent, bd_secs(valid)));
    c->renewed = bd_max(c->renewed, sent);
}
