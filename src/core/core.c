/* Users' requests, the replica of job records, and names. */
#include "core/core_internal.h"
#include "drain/drain.h"
#include "wire/frame.h"
#include <math.h>
#include <stdio.h>

struct bd_core *bd_core_new(const struct bd_settings *settings, const struct bd_log *log)
{
    struct bd_core *core = calloc(1, sizeof *core);
    if (!core)
        return NULL;
    core->settings = settings;
    core->log = log;
    bd_kv_limits_init(core);
    for (int i = 0; i < settings->nzones; i++)
        (void)bd_zone_index(core, settings->zones[i]);
    if (settings->draining)
        core->drains = bd_drains_new(settings);
    return core;
}

void bd_core_seed(struct bd_core *core, uint64_t seed)
{
    core->forwarding.last_id = seed;
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

static void free_waits(struct bd_pending_read **list)
{
    while (*list) {
        struct bd_pending_read *w = *list;
        *list = w->next;
        bd_admission_drop(w->accept);
        free(w);
    }
}

void bd_intent_records_free(struct bd_core *core)
{
    for (uint32_t i = 0; i < core->lead.nintent_records; i++)
        free(core->lead.intent_records[i].e);
    free(core->lead.intent_records);
    core->lead.intent_records = NULL;
    core->lead.nintent_records = core->lead.cap_intent_records = 0;
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
    bd_drains_free(core->drains);
    core->drains = NULL;
    HASH_ITER(hh, core->jobs, job, jt)
    {
        HASH_DEL(core->jobs, job);
        json_decref(job->record_spec);
        free(job->parent_edges);
        free(job->tasks);
        free(job);
    }
    HASH_ITER(hh, core->machines, machine, mt)
    {
        HASH_DEL(core->machines, machine);
        free(machine->reservations);
        free(machine);
    }
    free(core->by_index);
    free_names(&core->images);
    free_names(&core->classes);
    free_waits(&core->replica.waiting);
    free_waits(&core->replica.asked);
    bd_admission_end(core);
    bd_dag_free(core);
    bd_intent_records_free(core);
    bd_commit_free(core->lead.commit);
    core->last_term = 0; /* nobody waits for a better answer any more */
    bd_delegate_end(core);
    while (core->forwarding.waiting) {
        struct bd_forward *forward = core->forwarding.waiting;
        core->forwarding.waiting = forward->next;
        bd_heartbeat_free(forward->heartbeat);
        if (forward->request && ((struct bd_remote *)forward->request)->remote)
            free(forward->request); /* the core's own: see bd_worker_heartbeat_forwarded */
        free(forward);
    }
    bd_delegate_forget(core);
    bd_forward_end(core);
    struct bd_effect *effect = bd_core_take_effects(core);
    while (effect) {
        struct bd_effect *next = effect->next;
        bd_effect_free(effect);
        effect = next;
    }
    free(core);
}

struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind)
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

void bd_effect_reply(struct bd_core *core, void *request, int status, char *body, int retry_after)
{
    struct bd_remote *q = request;
    bool remote = q && q->remote;
    struct bd_effect *effect =
        bd_effect_emit(core, remote ? BD_EFFECT_FORWARD_REPLY : BD_EFFECT_REPLY);
    effect->request = remote ? NULL : request;
    if (remote) {
        effect->peer = q->peer;
        effect->forward_id = q->id;
        free(q);
    }
    effect->status = status;
    effect->body = body;
    effect->retry_after = retry_after;
}

void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after)
{
    char buf[160];
    snprintf(buf, sizeof buf, "{\"error\":\"%s\"}", why);
    bd_effect_reply(core, request, status, strdup(buf), retry_after);
}

struct bd_effect *bd_core_take_effects(struct bd_core *core)
{
    bd_decision_log_flush(core); /* what allowed them is in the log before they are carried out */
    struct bd_effect *effect = core->first;
    core->first = core->last = NULL;
    return effect;
}

void bd_effect_free(struct bd_effect *effect)
{
    free(effect->body);
    free(effect);
}

void bd_core_set_clock(struct bd_core *core, struct timespec now, double wall)
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
    s->kind = t->kind;
    s->priority = t->priority;
    s->cpus = t->cpus;
    s->gpus = t->gpus;
    s->mem = t->mem;
    s->image_gb = t->image_gb;
    s->estimate = t->estimate;
    s->checkpoint_interval_s = t->checkpoint_interval_s;
    s->checkpoint_save_s = t->checkpoint_save_s;
    s->deadline_s = t->deadline_s;
    s->same_zone = t->same_zone;
    s->spread_zones = t->spread_zones;
    s->spot = t->spot;
}