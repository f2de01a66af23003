/* Workers, as the protocol has them: sessions, numbers, tokens, leases, gangs that start and end
 * together. What starts or stays here is held against the rules. */
#include "numbers.h"
#include "sim_drain.h"
#include "simulation.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GANG_WAIT_S 30.0

static const char *const subs[] = {"pulling", "gathering", "running", "saving", "exited"};
static const char *const whys[] = {"",      "done",    "stopped", "peers",  "alone",
                                   "error", "no_room", "busy",    "unknown"};

struct sim_job *sim_job_named(struct sim *s, const char *id)
{
    int i = id && strncmp(id, "job-", 4) == 0 ? number_of(id + 4) : -1;
    return i >= 0 && i < s->njobs ? &s->jobs[i] : NULL;
}

int sim_provision(struct sim *s, const char *zone, double boot)
{
    if (s->nworkers == SIM_MACHINES)
        return -1;
    int up = 0;
    for (int i = 0; i < s->nworkers; i++)
        up += !s->workers[i].gone;
    if (up >= s->machines_max)
        return -1;
    struct sim_worker *w = &s->workers[s->nworkers];
    memset(w, 0, sizeof *w);
    snprintf(w->id, sizeof w->id, "vm-%d", s->nworkers);
    snprintf(w->zone, sizeof w->zone, "%s", zone);
    snprintf(w->type, sizeof w->type, "small");
    w->provisioned_at = s->now;
    w->up_at = w->answered = s->now + boot;
    w->next_report = w->up_at + sim_between(s, 0, 0.5);
    w->incarnation = 1;
    w->node = (int)(sim_random(s) * SIM_NODES);
    return s->nworkers++;
}

/* ---- the rules ---- */

static void note_use(struct sim *s, int team)
{
    for (int i = 0; i < s->njobs; i++)
        for (uint32_t k = 0; s->jobs[i].team == team && k < s->jobs[i].tasks; k++)
            if (s->jobs[i].machine[k] >= 0)
                sim_trace(s, "in use: %s/%u on vm-%d, %.0f", s->jobs[i].id, k,
                          s->jobs[i].machine[k], s->jobs[i].cpus);
}

static void on_machine(struct sim *s, struct sim_worker *w, struct sim_slot *t)
{
    struct sim_job *j = &s->jobs[t->job];
    int at = (int)(w - s->workers);
    s->starts++;
    sim_trace(s, "%s/%u begins on %s", j->id, t->task, w->id);
    if (j->machine[t->task] >= 0)
        sim_violation(s, "ran_twice: %s/%u starts on %s while on vm-%d", j->id, t->task, w->id,
                      j->machine[t->task]);
    if (j->zone[0] == '"' && strncmp(j->zone + 1, w->zone, strlen(w->zone)) != 0)
        sim_violation(s, "wrong_place: %s/%u, for zone %s, starts on %s", j->id, t->task, j->zone,
                      w->id);
    if (j->cancelled_at > 0 && s->now > j->cancelled_at + s->cancel_s)
        sim_violation(s, "ran_cancelled: %s/%u starts on %s, %.1f s after", j->id, t->task, w->id,
                      s->now - j->cancelled_at);
    if (j->cancelled_at > 0 && s->now > j->cancelled_at + s->lease_s + 2)
        s->late_starts++;
    j->machine[t->task] = at;
    sim_drain_runs(s, t);
    j->nrunning++;
    s->team_use[j->team] += j->cpus;
    if (s->team_use[j->team] <= s->team_max[j->team] + 1e-6)
        return;
    note_use(s, j->team);
    sim_violation(s, "quota: team %d uses %.0f with %s/%u on %s", j->team, s->team_use[j->team],
                  j->id, t->task, w->id);
}

static void off_machine(struct sim *s, struct sim_worker *w, struct sim_slot *t)
{
    struct sim_job *j = &s->jobs[t->job];
    int at = (int)(w - s->workers);
    if (t->execution != BD_EXECUTION_JOINING_GANG && t->execution != BD_EXECUTION_RUNNING &&
        t->execution != BD_EXECUTION_CHECKPOINTING)
        return;
    if (j->machine[t->task] == at)
        j->machine[t->task] = -1;
    j->nrunning--;
    s->team_use[j->team] -= j->cpus;
}

static void gang_done(struct sim *s, const struct sim_slot *first);

static void exits(struct sim *s, struct sim_worker *w, struct sim_slot *t, enum bd_exit_reason why)
{
    off_machine(s, w, t);
    t->execution = BD_EXECUTION_EXITED;
    t->exit_reason = why;
    sim_trace(s, "%s/%u exits on %s: %s", s->jobs[t->job].id, t->task, w->id, whys[why]);
    if (why == BD_EXIT_DONE) {
        struct sim_job *j = &s->jobs[t->job];
        for (uint32_t k = 0; k < j->tasks; k++) /* a gang's tasks complete together */
            if (k == t->task || j->kind == BD_JOB_GANG)
                j->done[k] = true;
        if (j->kind == BD_JOB_GANG)
            gang_done(s, t);
    }
    if (w->next_report > s->now + 0.3)
        w->next_report = s->now + 0.3;
}

/* A gang's tasks complete at one and the same moment. */
static void gang_done(struct sim *s, const struct sim_slot *first)
{
    int job = first->job;
    uint64_t attempt = first->attempt;
    for (int i = 0; i < s->nworkers; i++) {
        struct sim_worker *w = &s->workers[i];
        for (int k = 0; !w->gone && k < w->nslots; k++) {
            struct sim_slot *t = &w->slots[k];
            if (t->job == job && t->attempt == attempt && t->execution == BD_EXECUTION_RUNNING)
                exits(s, w, t, BD_EXIT_DONE);
        }
    }
}

static void kill_all(struct sim *s, struct sim_worker *w)
{
    for (int i = 0; i < w->nslots; i++) {
        if (w->slots[i].execution == BD_EXECUTION_RUNNING)
            sim_drain_lost(s, &w->slots[i]);
        off_machine(s, w, &w->slots[i]);
    }
    w->nslots = 0;
}

void sim_worker_gone(struct sim *s, struct sim_worker *w)
{
    if (w->gone)
        return;
    kill_all(s, w);
    w->gone = true;
}

/* ---- commands ---- */

static struct sim_slot *slot_of(struct sim_worker *w, int job, uint32_t task, uint64_t attempt)
{
    for (int i = 0; i < w->nslots; i++)
        if (w->slots[i].job == job && w->slots[i].task == task &&
            (!attempt || w->slots[i].attempt == attempt))
            return &w->slots[i];
    return NULL;
}

static bool task_of(struct sim *s, json_t *v, int *job, uint32_t *task)
{
    char id[BD_ID];
    if (!bd_wire_task_name(json_string_value(json_object_get(v, "chore")), id, task))
        return false;
    struct sim_job *j = sim_job_named(s, id);
    *job = j ? (int)(j - s->jobs) : -1;
    return j != NULL && *task < SIM_TASKS;
}

static double used(struct sim *s, const struct sim_worker *w)
{
    double sum = 0;
    for (int i = 0; i < w->nslots; i++)
        if (w->slots[i].execution != BD_EXECUTION_EXITED)
            sum += s->jobs[w->slots[i].job].cpus;
    return sum;
}

static void launch(struct sim *s, struct sim_worker *w, int job, uint32_t task, uint64_t attempt)
{
    if (slot_of(w, job, task, attempt))
        return;
    if (w->nslots == SIM_SLOTS)
        abort();
    struct sim_slot *old = NULL;
    for (int i = 0; i < w->nslots; i++)
        if (w->slots[i].job == job && w->slots[i].task == task &&
            w->slots[i].execution != BD_EXECUTION_EXITED)
            old = &w->slots[i];
    struct sim_slot *t = &w->slots[w->nslots++];
    *t = (struct sim_slot){
        job, task, attempt, BD_EXECUTION_FETCHING, BD_EXIT_NONE, s->now + s->fetch_s};
    if (old) {
        t->execution = BD_EXECUTION_EXITED;
        t->exit_reason = BD_EXIT_BUSY;
    } else if (used(s, w) > 8 + 1e-6) {
        t->execution = BD_EXECUTION_EXITED;
        t->exit_reason = BD_EXIT_NO_CAPACITY;
    }
    if (w->next_report > s->now + 0.4)
        w->next_report = s->now + 0.4;
}

static void obey(struct sim *s, struct sim_worker *w, json_t *o)
{
    json_t *v;
    size_t i;
    json_array_foreach(json_object_get(o, "bids"), i, v)
    {
        int job;
        uint32_t task;
        const char *verb = json_string_value(json_object_get(v, "verb"));
        uint64_t attempt = (uint64_t)json_integer_value(json_object_get(v, "try"));
        if (!task_of(s, v, &job, &task))
            continue;
        struct sim_slot *t = slot_of(w, job, task, attempt);
        if (strcmp(verb, "launch") == 0)
            launch(s, w, job, task, attempt);
        else if (strcmp(verb, "halt") == 0 && t && t->execution != BD_EXECUTION_EXITED) {
            if (t->execution == BD_EXECUTION_RUNNING)
                sim_drain_stopped(s, w, t);
            exits(s, w, t, BD_EXIT_STOPPED);
        } else if (strcmp(verb, "forget") == 0 && t && t->execution == BD_EXECUTION_EXITED)
            *t = w->slots[--w->nslots];
    }
}

static char *report_text(struct sim *s, struct sim_worker *w)
{
    char name[BD_LABEL], addr[24];
    snprintf(addr, sizeof addr, "w-%d", (int)(w - s->workers));
    json_t *list = json_array();
    for (int i = 0; i < w->nslots; i++) {
        struct sim_slot *t = &w->slots[i];
        snprintf(name, sizeof name, "%.30s/%u", s->jobs[t->job].id, t->task);
        json_t *v = json_pack("{s:s,s:I,s:s}", "chore", name, "try", (json_int_t)t->attempt, "mood",
                              subs[t->execution]);
        if (t->execution == BD_EXECUTION_EXITED)
            json_object_set_new(v, "cause", json_string(whys[t->exit_reason]));
        json_array_append_new(list, v);
    }
    json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "hearth", w->id, "endpoint",
                          addr, "breed", w->type, "glade", w->zone, "windfall", 0, "tenancy",
                          (json_int_t)w->incarnation, "tally", (json_int_t)++w->seq, "seal",
                          (json_int_t)w->fencing_token, "warningS", "chores", list);
    char *text = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return text;
}

/* ---- reports ---- */

static bool reaches(const struct sim *s, int node, const struct sim_worker *w)
{
    return !w->gone && s->now >= w->cut_until &&
           !(s->now < s->zones_cut_until && strcmp(s->nodes[node].settings.zone, w->zone) != 0);
}

static void copy_later(struct sim *s, const char *text, int node, int who)
{
    if (s->now >= s->copies_until || sim_random(s) >= s->copies_share)
        return;
    if (s->copies_for_next) { /* every controller gets it as a new leader begins */
        if (s->nsaved_heartbeats < (int)(sizeof s->saved_heartbeats / sizeof *s->saved_heartbeats))
            s->saved_heartbeats[s->nsaved_heartbeats++] = strdup(text);
        return;
    }
    struct sim_event *e = sim_post(s, sim_between(s, 2, 25), SIM_HEARTBEAT_COPY);
    e->node = node;
    e->who = who;
    e->text = strdup(text);
}

void sim_copies_now(struct sim *s)
{
    for (int k = 0; k < s->nsaved_heartbeats; k++) {
        for (int i = 0; i < SIM_NODES; i++) {
            struct sim_event *e = sim_post(s, sim_between(s, 0, 0.3), SIM_HEARTBEAT_COPY);
            e->node = i;
            e->text = strdup(s->saved_heartbeats[k]);
        }
        free(s->saved_heartbeats[k]);
    }
    s->nsaved_heartbeats = 0;
}

static void send_report(struct sim *s, struct sim_worker *w)
{
    int who = (int)(w - s->workers);
    char *text = report_text(s, w);
    bool there = reaches(s, w->node, w) && s->now >= w->outbound_cut_until;
    w->is_asking = true;
    w->asked_seq = w->seq;
    w->asked_at = s->now;
    if (there) {
        struct sim_event *e = sim_post(s, sim_delay(s), SIM_HEARTBEAT_IN);
        e->node = w->node;
        e->who = who;
        e->number = w->seq;
        e->text = strdup(text);
        copy_later(s, text, w->node, who);
    } else if (w->delivers_late && s->now < w->cut_until) {
        struct sim_event *e = sim_post(s, w->cut_until - s->now + 0.1, SIM_HEARTBEAT_COPY);
        e->node = w->node;
        e->who = who;
        e->text = strdup(text);
    }
    bool refused = there && !s->nodes[w->node].core;
    struct sim_event *g = sim_post(s, refused ? 0.01 : 4.0, SIM_HEARTBEAT_TIMEOUT);
    g->who = who;
    g->number = w->seq;
    free(text);
}

static void next_node(struct sim *s, struct sim_worker *w, double pause)
{
    w->is_asking = false;
    w->node = (w->node + 1) % SIM_NODES;
    w->next_report = s->now + pause;
}

static void answered(struct sim *s, struct sim_worker *w, struct sim_event *e)
{
    json_t *o = e->text ? json_loads(e->text, 0, NULL) : NULL;
    bool inbound_partition = s->now < w->inbound_cut_until || !reaches(s, e->node, w);
    if (w->gone || !w->is_asking || w->asked_seq != e->number || inbound_partition ||
        s->now < w->hangs_until) {
        json_decref(o);
        return; /* given up, or lost on the way */
    }
    if (e->status == 421) {
        const char *to = json_string_value(json_object_get(o, "steward"));
        int node = to ? number_of(to + 5) : w->node; /* "node-N" */
        if (to && node != w->node) {
            w->is_asking = false;
            w->node = node;
            w->next_report = s->now + 0.1;
        } else {
            next_node(s, w, 1);
        }
    } else if (e->status != 200) {
        next_node(s, w, 1);
    } else {
        uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(o, "seal"));
        w->is_asking = false;
        w->next_report = w->asked_at + s->report_s * sim_between(s, 0.75, 1.25);
        if (fencing_token >= w->fencing_token) {
            if (fencing_token > w->fencing_token && w->next_report > s->now + 0.5)
                w->next_report = s->now + 0.5;
            w->fencing_token = fencing_token;
            w->answered = w->asked_at;
            sim_trace(s, "%s is answered by node-%d, seal %llu", w->id, e->node,
                      (unsigned long long)fencing_token);
            obey(s, w, o);
        }
    }
    json_decref(o);
}

/* ---- direct commands ---- */

static void do_in(struct sim *s, struct sim_event *e)
{
    struct sim_worker *w = &s->workers[e->who];
    struct sim_direct_command *t = e->data;
    json_t *o = json_loads(e->text, 0, NULL);
    bool there = reaches(s, e->node, w) && s->now >= w->inbound_cut_until;
    bool zones =
        s->now < s->zones_cut_until && strcmp(s->nodes[e->node].settings.zone, w->zone) != 0;
    bool late = (!there && w->delivers_late && s->now < w->cut_until) ||
                (there && s->now < w->hangs_until) || (zones && sim_random(s) < 0.5);
    if (late && !w->gone) { /* executed when the cut ends, or the machine goes on */
        double until = there ? w->hangs_until : zones ? s->zones_cut_until : w->cut_until;
        (void)sim_post_again(s, e, until - s->now + 0.05);
        t->references++;
    } else if (there && s->now >= w->up_at) {
        uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(o, "seal"));
        uint64_t incarnation = (uint64_t)json_integer_value(json_object_get(o, "tenancy"));
        bool good = fencing_token >= w->fencing_token && incarnation == w->incarnation;
        if (good) {
            w->fencing_token = fencing_token;
            obey(s, w, o);
        }
        bool held = sim_is_delayed(s);
        struct sim_event *b =
            sim_post(s, sim_delay(s) + (held ? sim_between(s, 0.3, 4) : 0), SIM_COMMAND_BACK);
        b->node = e->node;
        b->epoch = e->epoch;
        b->who = e->who;
        b->status = good ? 200 : 409;
        b->text = report_text(s, w);
        b->data = t;
        t->references++;
    }
    json_decref(o);
    if (--t->references == 0)
        free(t);
}

void sim_worker_event(struct sim *s, struct sim_event *e)
{
    struct sim_worker *w = &s->workers[e->who];
    if (e->kind == SIM_COMMAND_IN)
        do_in(s, e);
    else if (e->kind == SIM_HEARTBEAT_BACK)
        answered(s, w, e);
    else if (e->kind == SIM_HEARTBEAT_TIMEOUT && w->is_asking && w->asked_seq == e->number)
        next_node(s, w, 1);
}

/* ---- time ---- */

/* Whether all tasks of the attempt wait for each other or run; on a machine that hangs none does.
 */
static bool together(struct sim *s, int job, uint64_t attempt)
{
    uint32_t n = 0;
    for (int i = 0; i < s->nworkers; i++) {
        struct sim_worker *w = &s->workers[i];
        for (int k = 0; !w->gone && s->now >= w->hangs_until && k < w->nslots; k++) {
            struct sim_slot *t = &w->slots[k];
            if (t->job == job && t->attempt == attempt)
                n += t->execution == BD_EXECUTION_RUNNING ||
                     t->execution == BD_EXECUTION_JOINING_GANG;
        }
    }
    return n == s->jobs[job].tasks;
}

/* Why a task that joins its gang or runs exits now; BD_EXIT_NONE: it goes on. */
static enum bd_exit_reason reason_to_exit(struct sim *s, const struct sim_slot *t)
{
    const struct sim_job *j = &s->jobs[t->job];
    if (j->done[t->task])
        return BD_EXIT_DONE;
    bool is_gang = j->kind == BD_JOB_GANG && j->tasks > 1;
    bool is_complete = !is_gang || together(s, t->job, t->attempt);
    if (t->execution == BD_EXECUTION_JOINING_GANG)
        return !is_complete && s->now >= t->until ? BD_EXIT_GANG_INCOMPLETE : BD_EXIT_NONE;
    if (!is_complete)
        return BD_EXIT_GANG_MEMBER_LOST;
    return j->kind != BD_JOB_SERVICE && s->now >= t->until ? BD_EXIT_DONE : BD_EXIT_NONE;
}

static void run_slot(struct sim *s, struct sim_worker *w, struct sim_slot *t)
{
    struct sim_job *j = &s->jobs[t->job];
    if (t->execution == BD_EXECUTION_FETCHING && s->now >= t->until) {
        bool gang = j->kind == BD_JOB_GANG && j->tasks > 1;
        if (j->done[t->task]) { /* its result is kept */
            exits(s, w, t, BD_EXIT_DONE);
            return;
        }
        on_machine(s, w, t);
        t->execution = gang ? BD_EXECUTION_JOINING_GANG : BD_EXECUTION_RUNNING;
        t->until = s->now + (gang ? GANG_WAIT_S : j->run_s);
        if (w->next_report > s->now + 0.4)
            w->next_report = s->now + 0.4;
    }
    bool joins_gang = t->execution == BD_EXECUTION_JOINING_GANG;
    if (!joins_gang && t->execution != BD_EXECUTION_RUNNING)
        return;
    enum bd_exit_reason reason = reason_to_exit(s, t);
    if (reason != BD_EXIT_NONE) {
        exits(s, w, t, reason);
    } else if (joins_gang && together(s, t->job, t->attempt)) {
        t->execution = BD_EXECUTION_RUNNING;
        t->until = s->now + j->run_s;
    }
}

void sim_workers_tick(struct sim *s)
{
    for (int i = 0; i < s->nworkers; i++) {
        struct sim_worker *w = &s->workers[i];
        if (w->gone || s->now < w->up_at)
            continue;
        if (s->now - w->answered > s->lease_s) {
            sim_trace(s, "%s: its lease is over, %d tasks", w->id, w->nslots);
            kill_all(s, w);
            w->incarnation++;
            w->answered = s->now;
            w->asked_seq = 0; /* responses to an earlier session's reports are dropped */
            if (w->is_asking)
                next_node(s, w, 1);
        }
        if (s->now < w->hangs_until)
            continue;
        for (int k = 0; k < w->nslots; k++)
            run_slot(s, w, &w->slots[k]);
        if (!w->is_asking && s->now >= w->next_report)
            send_report(s, w);
    }
}
